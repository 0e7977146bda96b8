//! What all boxes have under way at each upstream.

use super::choose::stable_hash;
use crate::clock::Now;
use crate::gateway::attempt::upstream::{PeerLoad, Upstream};
use crate::gateway::control::knowledge::Knowledge;
use crate::gateway::peers::outbox::Outbox;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// The shortest time between two reports of a box; requests wait about as long to be read.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(120);
/// The time between two reports that each other box adds, so that a box gets some sixty
/// reports a second however many boxes there are.
const REPORT_INTERVAL_PER_BOX: Duration = Duration::from_millis(15);
/// The time that a read takes from which its beginning is told at once: the next report may
/// be a second away.
const MIN_LONG_PREFILL: Duration = Duration::from_millis(165);
/// How many intervals a report is believed when no other follows.
const REPORT_LIFETIME_INTERVALS: u32 = 6;

/// Returns the time between two reports of each box.
pub fn report_interval(other_boxes: usize) -> Duration {
    let boxes = u32::try_from(other_boxes).unwrap_or(u32::MAX);
    (REPORT_INTERVAL_PER_BOX * boxes).max(MIN_REPORT_INTERVAL)
}

/// What one box has under way.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BoxLoad {
    /// The hash of the name of the box's life.
    reporter: u64,
    /// The upstreams with something under way. Bytes between halls are priced, and this
    /// goes to every box, so upstreams go by [`Upstream::short_hash`].
    upstreams: Vec<UpstreamReport>,
}

/// What one box has under way at one upstream.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct UpstreamReport {
    upstream: u32,
    /// How long reading what waits takes, in milliseconds.
    pending_prefill_ms: u32,
    /// The number of requests.
    outstanding: u32,
}

/// The news that a box begins a long read, ahead of its next report.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LongPrefill {
    /// The hash of the name of the box's life.
    reporter: u64,
    /// [`Upstream::short_hash`].
    upstream: u32,
    /// How long it takes, in milliseconds.
    prefill_ms: u32,
}

impl LongPrefill {
    /// Returns how long it takes.
    pub fn prefill(&self) -> Duration {
        Duration::from_millis(self.prefill_ms.into())
    }
}

/// Long reads that this box began and has still to tell of.
#[derive(Debug, Default)]
pub struct LongPrefillOutbox(Outbox<LongPrefill>);

impl LongPrefillOutbox {
    /// Notes a read that begins, if it is long enough to tell of.
    pub fn push_if_long(&self, reporter: &str, upstream: &Upstream, prefill: Duration) {
        if prefill < MIN_LONG_PREFILL {
            return;
        }
        self.0.push(LongPrefill {
            reporter: stable_hash(reporter),
            upstream: upstream.short_hash(),
            prefill_ms: millis(prefill),
        });
    }

    /// Waits for reads to tell of.
    pub async fn next(&self) -> Vec<LongPrefill> {
        self.0.next().await
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl BoxLoad {
    /// Collects what a box has under way.
    pub fn collect(reporter: &str, knowledge: &Knowledge) -> Self {
        let busy = knowledge
            .upstreams()
            .filter(|upstream| upstream.outstanding() > 0);
        let upstreams = busy
            .map(|upstream| UpstreamReport {
                upstream: upstream.short_hash(),
                pending_prefill_ms: millis(upstream.own_pending_prefill()),
                outstanding: upstream.outstanding(),
            })
            .collect();
        Self {
            reporter: stable_hash(reporter),
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
pub struct PeerLoads {
    reports: HashMap<u64, (BoxLoad, Duration)>,
}

impl PeerLoads {
    /// Takes a box's report in place of its last one.
    pub fn set_report(&mut self, load: BoxLoad, now: Now) {
        self.reports.insert(load.reporter, (load, now.monotonic));
    }

    /// Takes the news of a long read, until the reader's next report replaces it.
    pub fn add_long_prefill(&mut self, long_prefill: LongPrefill, knowledge: &Knowledge, now: Now) {
        let upstream = UpstreamReport {
            upstream: long_prefill.upstream,
            pending_prefill_ms: long_prefill.prefill_ms,
            outstanding: 1,
        };
        if let Some((load, _)) = self.reports.get_mut(&long_prefill.reporter) {
            load.upstreams.push(upstream);
        }
        let is_target = |upstream: &&Rc<Upstream>| upstream.short_hash() == long_prefill.upstream;
        if let Some(upstream) = knowledge.upstreams().find(is_target) {
            upstream.add_peer_prefill(long_prefill.prefill(), now);
        }
    }

    /// Forgets old reports and tells each upstream what the others have under way there.
    pub fn apply_to_upstreams(&mut self, knowledge: &Knowledge, now: Now) {
        let lifetime = report_interval(self.reports.len()) * REPORT_LIFETIME_INTERVALS;
        self.reports
            .retain(|_, (_, at)| now.monotonic.saturating_sub(*at) < lifetime);
        let mut sums: HashMap<u32, PeerLoad> = HashMap::new();
        for (load, _) in self.reports.values() {
            for upstream in &load.upstreams {
                let sum = sums.entry(upstream.upstream).or_default();
                sum.as_of = now.monotonic;
                sum.pending_prefill += Duration::from_millis(upstream.pending_prefill_ms.into());
                sum.outstanding += upstream.outstanding;
            }
        }
        for upstream in knowledge.upstreams() {
            let sum = sums.get(&upstream.short_hash()).copied();
            upstream.set_peer_load(sum.unwrap_or_default());
        }
    }
}
