//! What all boxes have under way at each upstream.

use super::knowledge::Knowledge;
use super::upstream::Elsewhere;
use crate::clock::Now;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// The shortest time between two reports of a box; requests wait about as long to be read.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(120);
/// The time between two reports that each other box adds, so that a box gets some sixty
/// reports a second however many boxes there are.
const INTERVAL_PER_BOX: Duration = Duration::from_millis(15);
/// How many intervals a report is believed when no other follows.
const LIFETIME_INTERVALS: u32 = 6;

/// Returns the time between two reports of each box.
pub fn interval(other_boxes: usize) -> Duration {
    let boxes = u32::try_from(other_boxes).unwrap_or(u32::MAX);
    (INTERVAL_PER_BOX * boxes).max(SHORTEST_INTERVAL)
}

/// What one box has under way.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BoxLoad {
    /// The name of the box's life.
    reporter: String,
    /// The instances with something under way: weighted tokens that wait to be read, and
    /// the number of requests.
    upstreams: Vec<(String, f32, u32)>,
}

impl BoxLoad {
    /// Collects what a box has under way.
    pub fn of(reporter: &str, knowledge: &Knowledge) -> Self {
        let busy = knowledge
            .upstreams()
            .filter(|upstream| upstream.outstanding() > 0);
        let upstreams = busy
            .map(|upstream| {
                let instance = upstream.with_listed(|listed| listed.instance.clone());
                let unread = upstream.own_unread() as f32;
                (instance, unread, upstream.outstanding())
            })
            .collect();
        Self {
            reporter: reporter.to_owned(),
            upstreams,
        }
    }

    /// Tells whether nothing is under way.
    pub fn is_idle(&self) -> bool {
        self.upstreams.is_empty()
    }
}

/// The newest reports of the other boxes.
#[derive(Debug, Default)]
pub struct Loads {
    reports: HashMap<String, (BoxLoad, Duration)>,
}

impl Loads {
    /// Takes a box's report in place of its last one.
    pub fn take(&mut self, load: BoxLoad, now: Now) {
        let reporter = load.reporter.clone();
        self.reports.insert(reporter, (load, now.monotonic));
    }

    /// Forgets old reports and tells each upstream what the others have under way there.
    pub fn spread(&mut self, knowledge: &Knowledge, now: Now) {
        let lifetime = interval(self.reports.len()) * LIFETIME_INTERVALS;
        self.reports
            .retain(|_, (_, at)| now.monotonic.saturating_sub(*at) < lifetime);
        let mut sums: HashMap<&str, Elsewhere> = HashMap::new();
        for (load, _) in self.reports.values() {
            for (instance, unread, outstanding) in &load.upstreams {
                let sum = sums.entry(instance).or_default();
                sum.unread += f64::from(*unread);
                sum.outstanding += outstanding;
            }
        }
        for upstream in knowledge.upstreams() {
            let instance = upstream.with_listed(|listed| listed.instance.clone());
            let sum = sums.get(instance.as_str()).copied();
            upstream.set_elsewhere(sum.unwrap_or_default());
        }
    }
}
