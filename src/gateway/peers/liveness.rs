//! When each other box was last heard of.

use crate::clock::Now;
use crate::gateway::control::store::BoxEntry;
use crate::gateway::place::loads::interval;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a box of which nothing is heard is taken to be there: several reports of load of a
/// small fleet, and a pause that a busy machine makes. Its registration lasts eight seconds.
const LIFETIME: Duration = Duration::from_millis(1500);
/// The same in reports of load, whose interval grows with the fleet.
const LIFETIME_INTERVALS: u32 = 3;

/// Returns how long a box of which nothing is heard is taken to be there, among so many.
fn patience(boxes: usize) -> Duration {
    LIFETIME.max(interval(boxes) * LIFETIME_INTERVALS)
}

/// The moments at which something came from each box. A box that was killed, paused or cut off
/// stays registered for seconds; that nothing comes from it shows sooner.
#[derive(Debug, Default)]
pub struct PeerLiveness(HashMap<SocketAddr, Duration>);

impl PeerLiveness {
    /// Returns which boxes, in their order, are this one or were heard of lately.
    pub fn lively<'a>(
        &self,
        boxes: &[&'a BoxEntry],
        own: SocketAddr,
        now: Now,
    ) -> Vec<&'a BoxEntry> {
        let patience = patience(boxes.len());
        let is_lively = |entry: &&&BoxEntry| {
            entry.address == own || self.is_heard(entry.address, patience, now)
        };
        boxes.iter().filter(is_lively).copied().collect()
    }

    /// Records that something came from a box.
    pub fn hear(&mut self, from: SocketAddr, now: Now) {
        self.0.insert(from, now.monotonic);
    }

    /// Tells whether something came from a box of late.
    fn is_heard(&self, from: SocketAddr, patience: Duration, now: Now) -> bool {
        let heard = self.0.get(&from);
        heard.is_some_and(|at| now.monotonic.saturating_sub(*at) <= patience)
    }
}
