//! What all boxes have under way at each upstream.

use super::choose::draw;
use crate::clock::Now;
use crate::gateway::attempt::upstream::{Elsewhere, Upstream};
use crate::gateway::control::state::ControlPlaneState;
use crate::gateway::peers::outbox::Outbox;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// The shortest time between two reports of a box; requests wait about as long to be read.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(120);
/// The time between two reports that each other box adds, so that a box gets some sixty
/// reports a second however many boxes there are.
const INTERVAL_PER_BOX: Duration = Duration::from_millis(15);
/// The time that a read takes from which its beginning is told at once: the next report may
/// be a second away.
const LONG_READ: Duration = Duration::from_millis(165);
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
    /// The hash of the name of the box's life.
    reporter: u64,
    /// The upstreams with something under way. Bytes between halls are priced, and this
    /// goes to every box, so upstreams go by [`Upstream::short_hash`].
    upstreams: Vec<UpstreamLoad>,
}

/// What one box has under way at one upstream.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct UpstreamLoad {
    upstream: u32,
    /// How long reading what waits takes, in milliseconds.
    unread_ms: u32,
    /// The number of requests.
    outstanding: u32,
}

/// The news that a box begins a long read, ahead of its next report.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LongRead {
    /// The hash of the name of the box's life.
    reporter: u64,
    /// [`Upstream::short_hash`].
    upstream: u32,
    /// How long it takes, in milliseconds.
    reading_ms: u32,
}

impl LongRead {
    /// Returns how long it takes.
    pub fn reading(&self) -> Duration {
        Duration::from_millis(self.reading_ms.into())
    }
}

/// Long reads that this box began and has still to tell of.
#[derive(Debug, Default)]
pub struct LongReads(Outbox<LongRead>);

impl LongReads {
    /// Notes a read that begins, if it is long enough to tell of.
    pub fn note(&self, reporter: &str, upstream: &Upstream, reading: Duration) {
        if reading < LONG_READ {
            return;
        }
        self.0.push(LongRead {
            reporter: draw(reporter),
            upstream: upstream.short_hash(),
            reading_ms: millis(reading),
        });
    }

    /// Waits for reads to tell of.
    pub async fn next(&self) -> Vec<LongRead> {
        self.0.next().await
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl BoxLoad {
    /// Collects what a box has under way.
    pub fn of(reporter: &str, knowledge: &ControlPlaneState) -> Self {
        let busy = knowledge
            .upstreams()
            .filter(|upstream| upstream.outstanding() > 0);
        let upstreams = busy
            .map(|upstream| UpstreamLoad {
                upstream: upstream.short_hash(),
                unread_ms: millis(upstream.own_unread()),
                outstanding: upstream.outstanding(),
            })
            .collect();
        Self {
            reporter: draw(reporter),
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
    reports: HashMap<u64, (BoxLoad, Duration)>,
}

impl Loads {
    /// Takes a box's report in place of its last one.
    pub fn take(&mut self, load: BoxLoad, now: Now) {
        self.reports.insert(load.reporter, (load, now.monotonic));
    }

    /// Takes the news of a long read, until the reader's next report replaces it.
    pub fn take_long_read(&mut self, read: LongRead, knowledge: &ControlPlaneState, now: Now) {
        let upstream = UpstreamLoad {
            upstream: read.upstream,
            unread_ms: read.reading_ms,
            outstanding: 1,
        };
        if let Some((load, _)) = self.reports.get_mut(&read.reporter) {
            load.upstreams.push(upstream);
        }
        let is_read_by = |upstream: &&Rc<Upstream>| upstream.short_hash() == read.upstream;
        if let Some(upstream) = knowledge.upstreams().find(is_read_by) {
            upstream.add_elsewhere(read.reading(), now);
        }
    }

    /// Forgets old reports and tells each upstream what the others have under way there.
    pub fn spread(&mut self, knowledge: &ControlPlaneState, now: Now) {
        let lifetime = interval(self.reports.len()) * LIFETIME_INTERVALS;
        self.reports
            .retain(|_, (_, at)| now.monotonic.saturating_sub(*at) < lifetime);
        let mut sums: HashMap<u32, Elsewhere> = HashMap::new();
        for (load, _) in self.reports.values() {
            for upstream in &load.upstreams {
                let sum = sums.entry(upstream.upstream).or_default();
                sum.as_of = now.monotonic;
                sum.unread += Duration::from_millis(upstream.unread_ms.into());
                sum.outstanding += upstream.outstanding;
            }
        }
        for upstream in knowledge.upstreams() {
            let sum = sums.get(&upstream.short_hash()).copied();
            upstream.set_elsewhere(sum.unwrap_or_default());
        }
    }
}
