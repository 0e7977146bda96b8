//! Limits the requests to an upstream that is warming up.
//!
//! An upstream that has just started can handle only a few requests a second and fails under more,
//! yet every box sees it as the least loaded one. All boxes together therefore stay under its
//! limit, without exchanging messages: only a few boxes send, and every box determines by the same
//! hash which ones they are. See `docs/design/shifted-work.md`.

use super::fleet_view::FleetView;
use crate::clock::Now;
use std::time::Duration;

/// Limits for the upstreams of a service while they warm up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUp {
    /// Warm-up time of an upstream that does not announce one.
    pub duration: Duration,
    /// Number of requests per second that an upstream can handle during warm-up, from all boxes
    /// together.
    pub requests_per_second: f64,
}

/// Fraction of the rate limit that the boxes use, since they may disagree for a while on how many
/// boxes there are.
const USED_RATE_FRACTION: f64 = 0.8;
/// How long after its start a box sends nothing to upstreams that warm up. Boxes that start
/// together do not know of each other yet, and each would use the whole rate limit.
const STARTUP_HOLD: Duration = Duration::from_secs(2);
/// How long a box uses a computed schedule before it computes it again.
const SCHEDULE_LIFETIME: Duration = Duration::from_millis(250);

/// When one box may send to one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
struct SendSchedule {
    /// Minimum time between two requests; `None` if the box may not send any.
    interval: Option<Duration>,
    /// When the schedule was computed.
    computed_at: Duration,
}

/// The warm-up of an upstream, as one box sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WarmUpState {
    until: Option<Duration>,
    last_sent_at: Option<Duration>,
    schedule: Option<SendSchedule>,
}

impl WarmUpState {
    /// Records that the upstream needs this long to warm up from now on. A longer known warm-up is
    /// not shortened: the upstream's entry may be older than the event that caused the warm-up.
    pub fn begin(&mut self, duration: Duration, now: Now) {
        self.until = self.until.max(Some(now.monotonic + duration));
    }

    /// Returns how much longer the warm-up lasts; zero once the upstream is warm.
    pub fn remaining(self, now: Now) -> Duration {
        let until = self.until.unwrap_or_default();
        until.saturating_sub(now.monotonic)
    }

    /// Returns whether the upstream is warming up.
    pub fn is_active(self, now: Now) -> bool {
        !self.remaining(now).is_zero()
    }

    /// Returns how long the box has to wait before it may send a request to the upstream; `None` if
    /// it may send now.
    pub fn send_delay(
        &mut self,
        upstream: u32,
        warm_up: WarmUp,
        fleet: FleetView<'_>,
        now: Now,
    ) -> Option<Duration> {
        if !self.is_active(now) {
            return None;
        }
        let warm_up_left = self.remaining(now);
        let hold_left = STARTUP_HOLD.saturating_sub(fleet.uptime);
        let Some(interval) = self.current_interval(upstream, warm_up, fleet, now) else {
            return Some(warm_up_left);
        };
        let next = self
            .last_sent_at
            .map_or(Duration::ZERO, |sent| sent + interval);
        let delay = next.saturating_sub(now.monotonic).max(hold_left);
        (!delay.is_zero()).then_some(delay.min(warm_up_left))
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, now: Now) {
        if self.is_active(now) {
            self.last_sent_at = Some(now.monotonic);
        }
    }

    fn current_interval(
        &mut self,
        upstream: u32,
        warm_up: WarmUp,
        fleet: FleetView<'_>,
        now: Now,
    ) -> Option<Duration> {
        let is_fresh =
            |schedule: &SendSchedule| now.monotonic - schedule.computed_at < SCHEDULE_LIFETIME;
        let schedule = self
            .schedule
            .filter(is_fresh)
            .unwrap_or_else(|| SendSchedule {
                interval: send_interval(upstream, warm_up, fleet),
                computed_at: now.monotonic,
            });
        self.schedule = Some(schedule);
        schedule.interval
    }
}

/// Returns the minimum time between two requests of a box to an upstream that warms up; `None` if
/// the box is not among the senders.
///
/// The number of senders is the number of requests per second that the upstream can handle, so that
/// each sends about once a second. With more senders and longer intervals, more requests could
/// coincide.
fn send_interval(upstream: u32, warm_up: WarmUp, fleet: FleetView<'_>) -> Option<Duration> {
    let rate = warm_up.requests_per_second * USED_RATE_FRACTION;
    let max_senders = rate.ceil();
    let senders = max_senders.min(fleet.box_count() as f64);
    let is_sender = (fleet.own_rank(upstream) as f64) < senders;
    is_sender.then(|| Duration::from_secs_f64(senders / rate))
}
