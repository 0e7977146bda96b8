//! How many requests go to an upstream that is warming up.
//!
//! An upstream that has just started bears a few requests a second and falls over under more,
//! and to each box it looks like the emptiest one. So all boxes together send it no more than it
//! bears, without a message between them: a few boxes take turns, and every box works out alike
//! by hashing which ones they are.
//! See `docs/design/shifted-work.md`.

use crate::clock::Now;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What upstreams of a service bear after a start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUp {
    /// How long an upstream warms up that does not say how long.
    pub duration: Duration,
    /// The requests a second that it bears meanwhile, from all boxes together.
    pub requests_per_second: f64,
}

/// The part of what an upstream bears that the boxes use: they may disagree for a while on how
/// many of them there are.
const USED_RATE_FRACTION: f64 = 0.8;
/// How long after its start a box sends nothing to upstreams that warm up: boxes that start
/// together do not know of each other yet, and each would take all turns for its own.
const STARTUP_HOLD: Duration = Duration::from_secs(2);
/// How long a box goes by the turns that it has worked out.
const SCHEDULE_LIFETIME: Duration = Duration::from_millis(250);

/// A box among others, as all turns depend on it.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// The box's own address.
    pub own_address: SocketAddr,
    /// The addresses of the registered boxes, in any order.
    pub box_addresses: &'a [SocketAddr],
    /// How long the box has been up.
    pub uptime: Duration,
}

/// The turns of one box at one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
struct SendSchedule {
    /// The shortest time between two requests; none if the box has no turn.
    interval: Option<Duration>,
    /// When this was worked out.
    computed_at: Duration,
}

/// How an upstream warms up, as one box sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WarmUpState {
    until: Option<Duration>,
    last_sent_at: Option<Duration>,
    schedule: Option<SendSchedule>,
}

impl WarmUpState {
    /// Records that the upstream warms up for so long from now on. What is known to last longer
    /// lasts: an entry may be older than what made the upstream cold.
    pub fn begin(&mut self, duration: Duration, now: Now) {
        self.until = self.until.max(Some(now.monotonic + duration));
    }

    /// Returns how much longer the upstream warms up; zero once it is warm.
    pub fn remaining(self, now: Now) -> Duration {
        let until = self.until.unwrap_or_default();
        until.saturating_sub(now.monotonic)
    }

    /// Tells whether the upstream warms up.
    pub fn is_active(self, now: Now) -> bool {
        !self.remaining(now).is_zero()
    }

    /// Returns how long the box has to wait before it may send the upstream a request; none if it
    /// may now.
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

    /// Records that a request goes out.
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
        let is_young =
            |schedule: &SendSchedule| now.monotonic - schedule.computed_at < SCHEDULE_LIFETIME;
        let schedule = self
            .schedule
            .filter(is_young)
            .unwrap_or_else(|| SendSchedule {
                interval: send_interval(upstream, warm_up, fleet),
                computed_at: now.monotonic,
            });
        self.schedule = Some(schedule);
        schedule.interval
    }
}

/// Returns the shortest time between two requests of a box to an upstream that warms up; none if
/// the box is not among those that send it any.
///
/// As many boxes send as the upstream bears requests a second, so that each has a turn in a little
/// over a second: with more boxes and longer times, more turns might come together.
fn send_interval(upstream: u32, warm_up: WarmUp, fleet: FleetView<'_>) -> Option<Duration> {
    let rate = warm_up.requests_per_second * USED_RATE_FRACTION;
    let weight = |address: &SocketAddr| {
        let text = address.to_string();
        (
            xxh3_64_with_seed(text.as_bytes(), upstream.into()),
            *address,
        )
    };
    let own = weight(&fleet.own_address);
    let higher_ranked = fleet
        .box_addresses
        .iter()
        .filter(|other| weight(other) > own);
    let max_senders = rate.ceil();
    let others = fleet
        .box_addresses
        .iter()
        .filter(|other| **other != fleet.own_address);
    let senders = max_senders.min((others.count() + 1) as f64);
    let is_sender = (higher_ranked.count() as f64) < senders;
    is_sender.then(|| Duration::from_secs_f64(senders / rate))
}
