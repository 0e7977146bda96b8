//! Load reports between boxes: what each box has in flight at each upstream.

use super::choose::stable_hash;
use crate::clock::Now;
use crate::gateway::attempt::upstream::{PeerLoad, Upstream};
use crate::gateway::control::state::ControlPlaneState;
use crate::gateway::peers::outbox::Outbox;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Minimum time between two reports of a box; requests wait about as long for their prefill.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(120);
/// Time that each other box adds to the report interval, so that a box receives some sixty reports
/// a second regardless of the number of boxes.
const REPORT_INTERVAL_PER_BOX: Duration = Duration::from_millis(15);
/// Minimum length of a prefill that is announced to other boxes as it starts: the next report may
/// be a second away.
pub const MIN_LONG_PREFILL: Duration = Duration::from_millis(165);
/// Number of report intervals after which a report expires if no other follows.
const REPORT_LIFETIME_INTERVALS: u32 = 6;

/// Returns the time between two reports of each box.
pub fn report_interval(other_boxes: usize) -> Duration {
    let boxes = u32::try_from(other_boxes).unwrap_or(u32::MAX);
    (REPORT_INTERVAL_PER_BOX * boxes).max(MIN_REPORT_INTERVAL)
}

/// What one box has in flight.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BoxLoad {
    /// Hash of the name of the reporting box's incarnation.
    reporter: u64,
    /// The upstreams with requests in flight, identified by [`Upstream::short_hash`]: the report
    /// goes to every box, and bytes between halls are charged for.
    upstreams: Vec<UpstreamReport>,
}

/// What one box has in flight at one upstream.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct UpstreamReport {
    upstream: u32,
    /// Total time of the prefills still pending, in milliseconds.
    pending_prefill_ms: u32,
    /// Number of requests in flight.
    outstanding: u32,
}

/// Announces that a box starts a long prefill, ahead of the box's next report.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LongPrefill {
    /// Hash of the name of the reporting box's incarnation.
    reporter: u64,
    /// [`Upstream::short_hash`].
    upstream: u32,
    /// Expected prefill time in milliseconds.
    prefill_ms: u32,
}

impl LongPrefill {
    /// Returns the expected prefill time.
    pub fn prefill(&self) -> Duration {
        Duration::from_millis(self.prefill_ms.into())
    }
}

/// Long prefills started by this box that are still to be announced to other boxes.
#[derive(Debug, Default)]
pub struct LongPrefillOutbox(Outbox<LongPrefill>);

impl LongPrefillOutbox {
    /// Queues the announcement of a prefill that starts, if it is long enough.
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

    /// Waits for announcements to send.
    pub async fn next(&self) -> Vec<LongPrefill> {
        self.0.next().await
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl BoxLoad {
    /// Collects what a box has in flight.
    pub fn collect(reporter: &str, knowledge: &ControlPlaneState) -> Self {
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

    /// Returns whether nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.upstreams.is_empty()
    }
}

/// The sum of the other boxes' reports of one upstream.
#[derive(Debug, Clone, Copy, Default)]
struct LoadSum {
    load: PeerLoad,
    /// The sum of the seconds at which reports were received, each times its pending prefill.
    weighted_seconds: f64,
}

impl LoadSum {
    fn add(&mut self, report: UpstreamReport, received_at: Duration) {
        let pending = Duration::from_millis(report.pending_prefill_ms.into());
        self.load.pending_prefill += pending;
        self.load.outstanding = self.load.outstanding.saturating_add(report.outstanding);
        self.weighted_seconds += pending.as_secs_f64() * received_at.as_secs_f64();
    }

    /// Returns when the reports were received, on the mean of the pending prefills.
    fn mean_received_at(self) -> Duration {
        let seconds = self.weighted_seconds / self.load.pending_prefill.as_secs_f64();
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }
}

/// The latest reports of the other boxes.
#[derive(Debug, Default)]
pub struct PeerLoads {
    reports: HashMap<u64, (BoxLoad, Duration)>,
}

impl PeerLoads {
    /// Replaces a box's previous report.
    pub fn set_report(&mut self, load: BoxLoad, now: Now) {
        self.reports.insert(load.reporter, (load, now.monotonic));
    }

    /// Adds a long prefill announced by another box; the box's next report replaces it.
    pub fn add_long_prefill(
        &mut self,
        long_prefill: LongPrefill,
        knowledge: &ControlPlaneState,
        now: Now,
    ) {
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

    /// Drops expired reports and updates each upstream with what the other boxes have in flight
    /// there.
    pub fn apply_to_upstreams(&mut self, knowledge: &ControlPlaneState, now: Now) {
        self.apply_with_ages(knowledge, |_| false, now);
    }

    /// Does the same; where `counts_ages` holds for an upstream, it is taken to have worked since the
    /// reports were received. With many boxes a report is seconds old, and an engine that was busy
    /// then is idle now.
    pub fn apply_with_ages(
        &mut self,
        knowledge: &ControlPlaneState,
        counts_ages: impl Fn(&Upstream) -> bool,
        now: Now,
    ) {
        let lifetime = report_interval(self.reports.len()) * REPORT_LIFETIME_INTERVALS;
        self.reports
            .retain(|_, (_, at)| now.monotonic.saturating_sub(*at) < lifetime);
        let mut sums: HashMap<u32, LoadSum> = HashMap::new();
        for (load, at) in self.reports.values() {
            for upstream in &load.upstreams {
                let sum = sums.entry(upstream.upstream).or_default();
                sum.add(*upstream, *at);
            }
        }
        for upstream in knowledge.upstreams() {
            let sum = sums.get(&upstream.short_hash()).copied();
            let sum = sum.unwrap_or_default();
            let counts_age = counts_ages(upstream);
            upstream.set_peer_load(PeerLoad {
                as_of: match counts_age {
                    true => sum.mean_received_at(),
                    false => now.monotonic,
                },
                counts_age,
                ..sum.load
            });
        }
    }
}
