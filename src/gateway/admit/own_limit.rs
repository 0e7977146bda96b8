//! Keeps this box from taking on more than it can serve in time: it measures how late it is by
//! itself, and sends new callers elsewhere while it is. See `docs/design/saturation.md`.

use crate::clock::{Now, millis};
use crate::gateway::Gateway;
use crate::http_server::load_shedding::{Lateness, UnreadConnection};
use crate::saturation::OwnDelay;
use crate::saturation::sampler::sample_scheduling;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The tolerated delay is the shortest latency objective divided by this: a request meets the delay
/// several times on its way.
const TOLERATED_DIVISOR: u32 = 8;
/// The bounds of the tolerated delay. Each event of a stream meets it too, whatever the objective.
const MIN_TOLERATED_DELAY: Duration = Duration::from_millis(5);
const MAX_TOLERATED_DELAY: Duration = Duration::from_millis(25);

impl Gateway {
    /// Admits a new connection of a caller, or returns `None` if it has to be closed unread.
    pub fn admit_connection(&self, now: Now) -> Option<UnreadConnection> {
        if !self.open_connections.make_room(now) {
            self.shedder.record_shed(now);
            return None;
        }
        let has_memory = || self.held_memory.has_room_for_request(now);
        self.shedder.admit(self.in_flight(), has_memory, now)
    }

    /// Returns the delay of this box that its callers bear.
    fn tolerated_delay(&self) -> Duration {
        let knowledge = self.knowledge.borrow();
        let routes = knowledge.routes();
        let shortest = routes.and_then(|routes| routes.shortest_objective());
        let tolerated = shortest.map(|shortest| shortest / TOLERATED_DIVISOR);
        tolerated
            .unwrap_or(MAX_TOLERATED_DELAY)
            .clamp(MIN_TOLERATED_DELAY, MAX_TOLERATED_DELAY)
    }

    fn log_own_delay(&self, delay: OwnDelay, closed_unread: u64, now: Now) {
        log::warn!(
            scheduling_ms = millis(delay.scheduling),
            network_ms = millis(delay.network),
            in_flight = self.in_flight(),
            limit = self.shedder.limit().map_or(-1, i64::from),
            closed_unread,
            connections = self.caller_connections.count(),
            held_bytes = self.held_memory.total(),
            budget_bytes = self.held_memory.budget(),
            full_boxes = self.full_boxes.count(now),
            is_ready = self.is_ready(now);
            "this box is at its own limit"
        );
    }
}

/// Watches how late the box is by itself, and adjusts what it takes on, for as long as the process
/// runs.
pub async fn watch_own_limit(gw: Rc<Gateway>) {
    let was_withdrawn = Cell::new(false);
    sample_scheduling(&gw.saturation, |now| {
        let delay = gw.saturation.current(now);
        let lateness = Lateness::of(delay, gw.tolerated_delay());
        gw.shedder.adjust(gw.in_flight(), lateness, now);
        let is_withdrawn = gw.shedder.is_withdrawn(now);
        if !was_withdrawn.replace(is_withdrawn) && is_withdrawn {
            log::warn!("full for a while: not ready, so that new callers are sent elsewhere");
        }
        if let Some(closed_unread) = gw.shedder.take_report(lateness, now) {
            gw.log_own_delay(delay, closed_unread, now);
            gw.own_limit_metrics.record(delay, closed_unread);
        }
    })
    .await;
}
