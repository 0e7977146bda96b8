//! Which boxes are full, so that a box asks the load balancer to send callers elsewhere only while
//! most others have room. See `docs/design/saturation.md`.

use crate::clock::Now;
use crate::gateway::Gateway;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// The time between two reports of a box that is full.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a report counts; two of three may be lost.
const REPORT_LIFETIME: Duration = Duration::from_millis(1600);
/// The part of the fleet of which at most one may be out of rotation: the others have to serve its
/// callers.
const WITHDRAWN_DIVISOR: usize = 3;

/// The other boxes that have lately reported that they are full.
#[derive(Debug, Default)]
pub struct FullBoxes(RefCell<HashMap<SocketAddr, Duration>>);

impl FullBoxes {
    /// Records a report of another box.
    pub fn record(&self, from: SocketAddr, now: Now) {
        let mut reported = self.0.borrow_mut();
        reported.retain(|_, at| now.monotonic.saturating_sub(*at) < REPORT_LIFETIME);
        reported.insert(from, now.monotonic);
    }

    /// Returns how many other boxes are full.
    pub fn count(&self, now: Now) -> usize {
        let reported = self.0.borrow();
        let is_recent = |at: &&Duration| now.monotonic.saturating_sub(**at) < REPORT_LIFETIME;
        reported.values().filter(is_recent).count()
    }
}

impl Gateway {
    /// Returns whether this box is full, and so many others are not that new callers fare better
    /// there.
    pub fn is_withdrawn(&self, now: Now) -> bool {
        let full_boxes = self.full_boxes.count(now) + 1;
        self.shedder.is_withdrawn(now)
            && full_boxes * WITHDRAWN_DIVISOR <= self.knowledge.borrow().box_count()
    }
}

/// Reports to the other boxes while this one is full, for as long as the process runs.
pub async fn report_full(gw: &Gateway, send: impl AsyncFn(&[SocketAddr])) {
    loop {
        sleep(REPORT_INTERVAL).await;
        let now = Now::read();
        if gw.shedder.is_full(now) || gw.shedder.is_withdrawn(now) {
            send(&gw.other_boxes()).await;
        }
    }
}
