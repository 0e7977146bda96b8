//! Whether a request waits for an upstream to take it, or is refused at once.

use super::request::AdmittedRequest;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::place::candidates::BackOff;
use std::time::Duration;

/// A request that ran nowhere is retried for the latency objective divided by this, then refused; a
/// later refusal helps the caller less than waiting on.
const RETRY_OBJECTIVE_DIVISOR: u32 = 4;

impl AdmittedRequest {
    /// Returns whether a request that no upstream accepted should be retried after a pause rather
    /// than refused.
    pub fn should_wait_for_upstream(&self, gw: &Gateway, pause: Duration, now: Now) -> bool {
        self.can_wait(pause, now)
            && !gw
                .candidates(&self.service, &self.session_id, now)
                .is_empty()
    }

    /// Returns whether the request would still be within its retry window after a pause.
    fn can_wait(&self, pause: Duration, now: Now) -> bool {
        self.may_run_again() && pause < self.longest_wait(now)
    }

    /// Returns how much longer the request may wait before it is refused.
    fn longest_wait(&self, now: Now) -> Duration {
        let waited = now.monotonic.saturating_sub(self.received);
        let window = self.route.latency_objective / RETRY_OBJECTIVE_DIVISOR;
        window.saturating_sub(waited)
    }

    /// Waits until an upstream takes requests of this box again; returns false at once if the
    /// request should be refused instead.
    pub async fn wait_for_turn(&self, gw: &Gateway, pause: BackOff) -> bool {
        let now = Now::read();
        if !self.can_wait(pause.remaining(), now) {
            return false;
        }
        let longest = self.longest_wait(now);
        let _turn = match pause {
            BackOff::RateLimited(_) => match gw.enter_turn_queue(&self.service, longest, now) {
                Some(turn) => Some(turn),
                None => return false,
            },
            BackOff::NoFreeSlot(left) => {
                return self.wait_for_slot(gw, left, longest, now).await;
            }
            BackOff::RetryAfter(_) | BackOff::WarmingUp(_) => None,
        };
        tokio::time::sleep(pause.remaining()).await;
        self.tries.allow_all_upstreams();
        true
    }

    /// Waits until a slot is freed, or for a pause; returns false at once if more requests wait than
    /// will get one within `longest`.
    async fn wait_for_slot(
        &self,
        gw: &Gateway,
        pause: Duration,
        longest: Duration,
        now: Now,
    ) -> bool {
        let Some(_turn) = gw.enter_slot_queue(&self.service, longest, now) else {
            return false;
        };
        let slots = gw.rejection_limits.slots_of(&self.service);
        // Whether a slot was freed or the time passed, the request looks for one again.
        let _ = tokio::time::timeout(pause, slots.freed.notified()).await;
        self.tries.allow_all_upstreams();
        true
    }
}
