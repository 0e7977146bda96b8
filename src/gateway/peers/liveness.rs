//! Tracks when the last message from each other box arrived.

use crate::clock::Now;
use crate::gateway::control::store::BoxEntry;
use crate::gateway::place::peer_loads::report_interval;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a box without messages is considered alive, at least: several load reports of a small
/// fleet, and a pause of a busy machine. Its registration lasts eight seconds.
const MIN_LIVENESS_TIMEOUT: Duration = Duration::from_millis(1500);
/// The same as a number of load report intervals, which grow with the fleet.
const LIVENESS_TIMEOUT_REPORTS: u32 = 3;

/// Returns how long a box without messages is considered alive in a fleet of this size.
fn liveness_timeout(boxes: usize) -> Duration {
    MIN_LIVENESS_TIMEOUT.max(report_interval(boxes) * LIVENESS_TIMEOUT_REPORTS)
}

/// The time of the last message from each box. A box that was killed, paused or cut off stays
/// registered for seconds; missing messages show this sooner.
#[derive(Debug, Default)]
pub struct PeerLiveness(HashMap<SocketAddr, Duration>);

impl PeerLiveness {
    /// Returns the boxes, in the given order, that are this box or have sent a message recently.
    pub fn live_boxes<'a>(
        &self,
        boxes: &[&'a BoxEntry],
        own: SocketAddr,
        now: Now,
    ) -> Vec<&'a BoxEntry> {
        let liveness_timeout = liveness_timeout(boxes.len());
        let is_live = |entry: &&&BoxEntry| {
            entry.address == own || self.was_heard_within(entry.address, liveness_timeout, now)
        };
        boxes.iter().filter(is_live).copied().collect()
    }

    /// Records a message from a box.
    pub fn record_message(&mut self, from: SocketAddr, now: Now) {
        self.0.insert(from, now.monotonic);
    }

    /// Returns whether any box has sent a message within a time.
    pub fn has_contact_within(&self, time: Duration, now: Now) -> bool {
        let mut contacts = self.0.values();
        contacts.any(|at| now.monotonic.saturating_sub(*at) <= time)
    }

    /// Returns whether a box has sent a message within a time.
    pub fn was_heard_within(&self, from: SocketAddr, time: Duration, now: Now) -> bool {
        let last_message = self.0.get(&from);
        last_message.is_some_and(|at| now.monotonic.saturating_sub(*at) <= time)
    }
}
