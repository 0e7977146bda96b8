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
    pub lasts: Duration,
    /// The requests a second that it bears meanwhile, from all boxes together.
    pub per_second: f64,
}

/// The part of what an upstream bears that the boxes use: they may disagree for a while on how
/// many of them there are.
const USED_PART: f64 = 0.8;
/// How long after its start a box sends nothing to upstreams that warm up: boxes that start
/// together do not know of each other yet, and each would take all turns for its own.
const SETTLING: Duration = Duration::from_secs(2);
/// How long a box goes by the turns that it has worked out.
const SHARE_LIFETIME: Duration = Duration::from_millis(250);

/// A box among others, as all turns depend on it.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// The box's own address.
    pub own: SocketAddr,
    /// The addresses of the registered boxes, in any order.
    pub boxes: &'a [SocketAddr],
    /// How long the box has been up.
    pub up_for: Duration,
}

/// The turns of one box at one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Share {
    /// The shortest time between two requests; none if the box has no turn.
    every: Option<Duration>,
    /// When this was worked out.
    as_of: Duration,
}

/// How an upstream warms up, as one box sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WarmingUp {
    until: Option<Duration>,
    last_sent: Option<Duration>,
    share: Option<Share>,
}

impl WarmingUp {
    /// Records that the upstream warms up for so long from now on. What is known to last longer
    /// lasts: an entry may be older than what made the upstream cold.
    pub fn begin(&mut self, lasts: Duration, now: Now) {
        self.until = self.until.max(Some(now.monotonic + lasts));
    }

    /// Returns how much longer the upstream warms up; zero once it is warm.
    pub fn left(self, now: Now) -> Duration {
        let until = self.until.unwrap_or_default();
        until.saturating_sub(now.monotonic)
    }

    /// Tells whether the upstream warms up.
    pub fn goes_on(self, now: Now) -> bool {
        !self.left(now).is_zero()
    }

    /// Returns how long the box has to wait before it may send the upstream a request; none if it
    /// may now.
    pub fn wait(
        &mut self,
        upstream: u32,
        warm_up: WarmUp,
        fleet: Fleet<'_>,
        now: Now,
    ) -> Option<Duration> {
        if !self.goes_on(now) {
            return None;
        }
        let warm_in = self.left(now);
        let settled_in = SETTLING.saturating_sub(fleet.up_for);
        let Some(every) = self.share(upstream, warm_up, fleet, now) else {
            return Some(warm_in);
        };
        let next = self.last_sent.map_or(Duration::ZERO, |sent| sent + every);
        let wait = next.saturating_sub(now.monotonic).max(settled_in);
        (!wait.is_zero()).then_some(wait.min(warm_in))
    }

    /// Records that a request goes out.
    pub fn sent(&mut self, now: Now) {
        if self.goes_on(now) {
            self.last_sent = Some(now.monotonic);
        }
    }

    fn share(
        &mut self,
        upstream: u32,
        warm_up: WarmUp,
        fleet: Fleet<'_>,
        now: Now,
    ) -> Option<Duration> {
        let is_young = |share: &Share| now.monotonic - share.as_of < SHARE_LIFETIME;
        let share = self.share.filter(is_young).unwrap_or_else(|| Share {
            every: time_between_requests(upstream, warm_up, fleet),
            as_of: now.monotonic,
        });
        self.share = Some(share);
        share.every
    }
}

/// Returns the shortest time between two requests of a box to an upstream that warms up; none if
/// the box is not among those that send it any.
///
/// As many boxes send as the upstream bears requests a second, so that each has a turn in a little
/// over a second: with more boxes and longer times, more turns might come together.
fn time_between_requests(upstream: u32, warm_up: WarmUp, fleet: Fleet<'_>) -> Option<Duration> {
    let rate = warm_up.per_second * USED_PART;
    let rank = |address: &SocketAddr| {
        let text = address.to_string();
        (
            xxh3_64_with_seed(text.as_bytes(), upstream.into()),
            *address,
        )
    };
    let own = rank(&fleet.own);
    let ahead = fleet.boxes.iter().filter(|other| rank(other) > own);
    let most = rate.ceil();
    let others = fleet.boxes.iter().filter(|other| **other != fleet.own);
    let senders = most.min((others.count() + 1) as f64);
    let is_sender = (ahead.count() as f64) < senders;
    is_sender.then(|| Duration::from_secs_f64(senders / rate))
}
