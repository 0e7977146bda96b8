//! Sends the load reports of plain upstreams to the other boxes, so that each box knows the load of
//! an upstream also where it rarely sends requests itself.
//!
//! Every answer brings a report. It is sent on if it differs from what was sent last, by any box,
//! and not before the interval of that upstream has passed: the boxes need no agreement on who
//! sends. Lost messages are replaced by the next one. See `docs/design/expected-wait.md`.

use super::messages::rotating_subset;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::attempt::headers::ReportedLoad;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::place::choose::stable_hash;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The reports that a box receives from all others together, per second.
const RECEIVED_REPORTS_PER_SECOND: f64 = 60.0;
/// Minimum time between two reports of an upstream: requests run for some of these.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a report is sent although nothing has changed, so that its age stays low.
const REFRESH_INTERVAL: Duration = Duration::from_millis(300);
/// A change by this part of the slots is worth a message.
const SHARED_CHANGE_SLOTS_DIVISOR: u32 = 6;
/// A change of the stated work time by its tenth is worth a message.
const SHARED_CHANGE_WORK_TIME_DIVISOR: u32 = 10;
/// The work time that is assumed where none is stated, in percent.
const UNSTATED_WORK_TIME_PERCENT: u32 = 100;
/// The most boxes that a report is sent to, so that the messages of a box do not grow with the
/// fleet; in a larger fleet, a rotating subset receives it.
pub const MAX_RECEIVERS: usize = 96;
/// Reports older than this are not accepted.
const MAX_ACCEPTED_AGE: Duration = Duration::from_secs(5);

/// A load report of an upstream, as one box sends it to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedLoadReport {
    /// [`Upstream::short_hash`].
    upstream: u32,
    running: u32,
    waiting: u32,
    slots: u32,
    work_time_percent: Option<u32>,
    /// The age of the report in milliseconds.
    age_ms: u32,
}

impl SharedLoadReport {
    /// Describes the newest report of an upstream; `None` if there is none.
    pub fn of(upstream: &Upstream, now: Now) -> Option<Self> {
        let (load, as_of) = upstream.newest_report()?;
        let age = now.monotonic.saturating_sub(as_of);
        Some(Self {
            upstream: upstream.short_hash(),
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            work_time_percent: load.work_time_percent,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Returns whether the report is about this upstream.
    pub fn is_about(&self, upstream: &Upstream) -> bool {
        self.upstream == upstream.short_hash()
    }

    /// Applies the report to its upstream, unless it is too old or a newer one is known.
    pub fn apply_to(&self, upstream: &Upstream, now: Now) {
        let age = Duration::from_millis(self.age_ms.into());
        if age > MAX_ACCEPTED_AGE {
            return;
        }
        let load = ReportedLoad {
            running: self.running,
            waiting: self.waiting,
            slots: self.slots,
            work_time_percent: self.work_time_percent,
        };
        let as_of = now.monotonic.saturating_sub(age);
        upstream.record_shared_report(load, as_of, now);
    }
}

/// Returns the time between two reports of the same upstream, given the number of upstreams whose
/// reports are shared.
pub fn sharing_interval(upstreams: usize) -> Duration {
    Duration::from_secs_f64(upstreams as f64 / RECEIVED_REPORTS_PER_SECOND).max(MIN_INTERVAL)
}

/// What was sent last about an upstream, by this or another box.
#[derive(Debug, Clone, Copy)]
pub struct LastShared {
    /// The report.
    pub load: ReportedLoad,
    /// When it was sent or received.
    pub at: Duration,
}

/// Returns whether a report is to be sent to the other boxes.
pub fn is_worth_sharing(
    load: ReportedLoad,
    last: Option<LastShared>,
    interval: Duration,
    now: Now,
) -> bool {
    let Some(last) = last else {
        return true;
    };
    let elapsed = now.monotonic.saturating_sub(last.at);
    elapsed >= interval && (elapsed >= REFRESH_INTERVAL || differs(load, last.load))
}

fn differs(load: ReportedLoad, last: ReportedLoad) -> bool {
    let requests = |load: ReportedLoad| load.running.saturating_add(load.waiting);
    let change = requests(load).abs_diff(requests(last));
    let percent = |load: ReportedLoad| load.work_time_percent.unwrap_or(UNSTATED_WORK_TIME_PERCENT);
    let work_time_change = percent(load).abs_diff(percent(last));
    change >= (load.slots / SHARED_CHANGE_SLOTS_DIVISOR).max(1)
        || work_time_change > percent(last) / SHARED_CHANGE_WORK_TIME_DIVISOR
}

impl Gateway {
    /// Queues the newest report of an upstream for the other boxes, if it differs from what they know.
    pub fn share_load_report(&self, upstream: &Upstream, now: Now) {
        let Some((load, as_of)) = upstream.newest_report() else {
            return;
        };
        let last = upstream.last_shared_report();
        let is_known = last.is_some_and(|last| last.at >= as_of);
        let interval = sharing_interval(self.sharing_upstream_count());
        if !is_known && is_worth_sharing(load, last, interval, now) {
            upstream.set_last_shared_report(LastShared {
                load,
                at: now.monotonic,
            });
            if let Some(report) = SharedLoadReport::of(upstream, now) {
                self.load_reports.push(report);
            }
        }
    }

    /// Applies reports that another box sent.
    pub fn apply_shared_load_reports(&self, reports: &[SharedLoadReport], now: Now) {
        let knowledge = self.knowledge.borrow();
        for upstream in knowledge.upstreams() {
            for report in reports.iter().filter(|report| report.is_about(upstream)) {
                report.apply_to(upstream, now);
            }
        }
        drop(knowledge);
        self.wake_all_waiting(now);
    }

    /// Returns the number of upstreams whose reports are sent between boxes.
    fn sharing_upstream_count(&self) -> usize {
        let knowledge = self.knowledge.borrow();
        let upstreams = knowledge.upstreams();
        upstreams
            .filter(|upstream| upstream.last_shared_report().is_some())
            .count()
    }
}

/// Sends queued reports to other boxes, for as long as the process runs.
pub async fn broadcast_load_reports(
    gw: &Gateway,
    send: impl AsyncFn(&[SocketAddr], Vec<SharedLoadReport>),
) {
    // Boxes begin at different places, so that not all send to the same ones first.
    let mut offset = usize::from(stable_hash(&gw.incarnation) as u16);
    loop {
        let reports = gw.load_reports.next().await;
        let others = rotating_subset(gw.other_boxes(), MAX_RECEIVERS, &mut offset);
        send(&others, reports).await;
    }
}
