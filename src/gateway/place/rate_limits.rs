//! Which boxes send to an upstream that states a rate limit, and when.
//!
//! The limit holds for all boxes together. A few boxes, determined by hashing, may send to the
//! upstream, and announce each request to each other, so that any of them can use the whole limit.
//! The fewer boxes, the fewer requests can be sent at the same moment, before one is announced. See
//! `docs/design/rate-limits.md`.

use super::fleet_view::{FleetView, PositionCache};
use crate::clock::Now;
use crate::gateway::peers::gossip_targets::GOSSIP_INTERVAL;
use crate::routing::rate_limit::{LimitStatement, RateLimiter, send_interval};
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

/// The number of boxes that may send to an upstream with a limit near zero.
const MIN_SENDERS: f64 = 5.0;
/// How many more boxes may send for each request per second of the limit.
const SENDERS_PER_LIMIT: f64 = 3.0;
/// How much later a request is due in a box than in the box that ranks above it: several times as
/// long as an announcement takes. Otherwise the requests that wait in all boxes would be sent
/// together.
const RANK_STAGGER: Duration = Duration::from_millis(25);
/// The age of a statement from which more boxes may send, in addition to the time of some requests
/// at the limit's pace and the time in which statements spread: the senders may be gone, or have no
/// callers.
const STALE_STATEMENT_AGE: Duration = Duration::from_secs(3);
const STALE_STATEMENT_REQUESTS: f64 = 2.0;
/// How many rounds of gossip a statement takes to reach all boxes, for each doubling of their
/// number.
const SPREAD_ROUNDS_PER_DOUBLING: f64 = 2.0;
/// The time after which the number of boxes that may send doubles again.
const DOUBLING_TIME: Duration = Duration::from_secs(1);

/// The rate limit of an upstream, as one box sees it.
#[derive(Debug)]
pub struct UpstreamRateLimit {
    /// [`crate::gateway::attempt::upstream::Upstream::short_hash`], by which boxes are ranked.
    upstream: u32,
    limiter: Cell<RateLimiter>,
    position: PositionCache,
    /// Whether an answer has changed the limit and the other boxes are not notified yet.
    has_new_limit: Cell<bool>,
}

impl UpstreamRateLimit {
    /// Creates the state of an upstream that has stated no limit.
    pub fn new(upstream: u32) -> Self {
        Self {
            upstream,
            limiter: Cell::default(),
            position: PositionCache::default(),
            has_new_limit: Cell::default(),
        }
    }

    /// Returns the limit in force, in requests per second from all boxes together.
    pub fn limit(&self) -> Option<f64> {
        self.limiter.get().limit()
    }

    /// Returns the newest statement of the upstream; none if it never stated a limit.
    pub fn statement(&self) -> Option<LimitStatement> {
        self.limiter.get().statement()
    }

    /// Records what an answer states, of a request that was sent at `sent`.
    pub fn record_statement(&self, limit: Option<f64>, sent: Now, now: Now) {
        if self.apply(LimitStatement::of_answer(limit, sent, now), now) {
            self.has_new_limit.set(true);
        }
    }

    /// Returns whether an answer has changed the limit since the last call.
    pub fn take_new_limit(&self) -> bool {
        self.has_new_limit.take()
    }

    /// Applies a statement; returns whether the limit changed.
    pub fn apply(&self, statement: LimitStatement, now: Now) -> bool {
        let mut limiter = self.limiter.get();
        let is_changed = limiter.apply(statement, 1.0, now);
        self.limiter.set(limiter);
        is_changed
    }

    /// Returns how long the box has to wait before it may send a request; none if it may send now.
    pub fn send_delay(&self, fleet: FleetView<'_>, now: Now) -> Option<Duration> {
        let limit = self.limit()?;
        let position = self.position.position(self.upstream, fleet, now);
        let senders = self.max_senders(position.boxes, now)?;
        if position.rank >= senders {
            return Some(STALE_STATEMENT_AGE);
        }
        let even_stagger = send_interval(limit).div_f64(senders.max(1) as f64);
        let stagger = RANK_STAGGER.min(even_stagger);
        let offset = stagger.mul_f64(position.rank as f64);
        self.limiter.get().send_delay(offset, now)
    }

    /// Counts a request, of this box or of another one, that is sent now.
    pub fn record_send(&self, now: Now) {
        let mut limiter = self.limiter.get();
        limiter.record_send(now);
        self.limiter.set(limiter);
    }

    /// Returns the other boxes that may send to the upstream, which have to count this box's
    /// requests.
    pub fn other_senders(&self, fleet: FleetView<'_>, now: Now) -> Vec<SocketAddr> {
        match self.max_senders(fleet.box_count(), now) {
            Some(senders) => fleet.highest_ranked_others(self.upstream, senders),
            None => Vec::new(),
        }
    }

    /// Returns how many of the boxes may send; none if there is no limit.
    fn max_senders(&self, boxes: usize, now: Now) -> Option<usize> {
        const MAX_DOUBLINGS: f64 = 16.0;
        let statement = self.statement()?;
        let limit = statement.limit?;
        let senders = MIN_SENDERS + SENDERS_PER_LIMIT * limit;
        let age = now.monotonic.saturating_sub(statement.as_of);
        let spread_rounds = (boxes.max(1) as f64).log2() * SPREAD_ROUNDS_PER_DOUBLING;
        let fresh_seconds = STALE_STATEMENT_AGE.as_secs_f64()
            + STALE_STATEMENT_REQUESTS * send_interval(limit).as_secs_f64()
            + GOSSIP_INTERVAL.as_secs_f64() * spread_rounds;
        let stale_seconds = (age.as_secs_f64() - fresh_seconds).max(0.0);
        let doublings = (stale_seconds / DOUBLING_TIME.as_secs_f64()).min(MAX_DOUBLINGS);
        Some((senders * doublings.floor().exp2()) as usize)
    }
}
