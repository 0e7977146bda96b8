//! Choice of the upstream for a request.
//!
//! Of two upstreams drawn at random, the one with the lower expected latency is chosen. The
//! session's preferred upstream is used instead unless it is much busier, and upstreams of the
//! router's own hall are used as long as one is available. See `docs/design/placement.md`.

use super::backoff::{FailureStreak, RequestedBackoff};
use super::rate_limit::{LimitStatement, RateLimiter};
use super::rejection_limit::{RejectionHistory, RejectionLimit, slot_share};
use super::signals::ResponseSignals;
use crate::clock::Now;
use crate::name::VersionName;
use rand::Rng;
use rand::seq::IndexedRandom as _;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The newest latency contributes one part in this many to the moving average.
const MEAN_LATENCY_DIVISOR: u64 = 8;
/// The session's preferred upstream is used if its expected latency is at most this many times that
/// of the best alternative.
const MAX_AFFINITY_COST_RATIO: f64 = 1.5;
/// How soon a request that found no free slot may find one.
const SLOT_RECHECK: Duration = Duration::from_millis(200);
/// The age of a statement from which each router uses one slot at least: those without a share
/// learn of the end of a limit by their own requests only.
const STALE_STATEMENT_AGE: Duration = Duration::from_secs(10);
/// Mean latency that is assumed for an upstream before its first success.
const UNMEASURED_LATENCY_MICROS: u64 = 1_000;

/// An upstream from the live list.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Name of the box.
    pub name: String,
    /// Hall of the box.
    pub hall: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Versions that it has loaded.
    pub versions: BTreeSet<VersionName>,
    /// Load and failures that this router observed.
    pub load: Arc<UpstreamLoad>,
}

impl Upstream {
    /// Returns whether the upstream has no rejection limit, or the router a free slot there.
    fn has_free_slot(&self, fleet: RouterFleet<'_>, now: Now) -> bool {
        let share = self.load.slot_share(&self.name, fleet, now);
        share.is_none_or(|share| self.load.outstanding() < share)
    }
}

/// Load and failures of an upstream as observed by a router, shared by its threads.
#[derive(Debug, Default)]
pub struct UpstreamLoad {
    outstanding: AtomicU32,
    mean_latency_micros: AtomicU64,
    failures: Mutex<FailureStreak>,
    requested_backoff: Mutex<RequestedBackoff>,
    rate_limiter: Mutex<RateLimiter>,
    stated_slots: Mutex<StatedSlots>,
    is_leaving: AtomicBool,
    /// Failures by version: a failing version must not eject the upstream for the other versions.
    versions: Mutex<HashMap<VersionName, FailureStreak>>,
}

/// What an upstream states about its room, and what rejections show of it.
#[derive(Debug, Default)]
struct StatedSlots {
    limit: RejectionLimit,
    slots: u32,
    rejections: RejectionHistory,
}

impl UpstreamLoad {
    /// Applies the signals in the head of a response. Once an upstream is leaving it stays so.
    pub fn apply_signals(&self, signals: ResponseSignals, now: Now) {
        if signals.is_leaving {
            self.is_leaving.store(true, Ordering::Relaxed);
        }
        let mut backoff = lock(&self.requested_backoff);
        if let Some(duration) = signals.requested_backoff {
            backoff.extend(duration, now);
        }
        if !signals.is_refusal {
            backoff.record_accepted(now);
        }
    }

    /// Applies what the response to a request that was sent at `sent` states about the rate limit;
    /// returns whether the limit changed.
    ///
    /// The first request is due at a random time within the share of this box, so that boxes which
    /// learn of a limit together do not send together.
    pub fn apply_rate_limit(
        &self,
        limit: Option<f64>,
        sent: Now,
        now: Now,
        rng: &mut impl Rng,
    ) -> bool {
        let statement = LimitStatement::of_answer(limit, sent, now);
        let first_delay = rng.random_range(0.0..1.0);
        lock(&self.rate_limiter).apply(statement, first_delay, now)
    }

    /// Applies what the response to a request that was sent at `sent` states about the rejection
    /// limit and the slots, and counts a rejection; returns whether the limit changed.
    pub fn apply_rejection_limit(&self, signals: ResponseSignals, sent: Now, now: Now) -> bool {
        let limit = signals.rejection_limit.map(f64::from);
        let mut stated = lock(&self.stated_slots);
        let is_changed = stated
            .limit
            .apply(LimitStatement::of_answer(limit, sent, now));
        if let Some(slots) = signals.slots {
            stated.slots = slots;
        }
        if signals.is_refusal && stated.limit.limit().is_some() {
            stated.rejections.record(now);
        }
        is_changed
    }

    /// Returns how many requests this router may have in flight at an upstream with a rejection
    /// limit; none if it has no limit.
    fn slot_share(&self, upstream: &str, fleet: RouterFleet<'_>, now: Now) -> Option<u32> {
        let stated = lock(&self.stated_slots);
        let statement = stated.limit.statement()?;
        statement.limit?;
        if stated.rejections.pause_left(now).is_some() {
            return Some(0);
        }
        let usable = stated.rejections.usable_slots(stated.slots, now);
        let share = slot_share(usable, fleet.own_rank(upstream), fleet.count());
        let is_stale = now.monotonic.saturating_sub(statement.as_of) >= STALE_STATEMENT_AGE;
        Some(share.max(u32::from(is_stale)))
    }

    /// Counts a request as outstanding until the guard is dropped, unless as many are as may be.
    fn try_track_request(self: &Arc<Self>, most: u32) -> Option<LoadGuard> {
        let add_one = |outstanding: u32| (outstanding < most).then_some(outstanding + 1);
        let order = Ordering::Relaxed;
        let counted = self.outstanding.fetch_update(order, order, add_one);
        counted.ok().map(|_| LoadGuard { load: self.clone() })
    }

    /// Counts a request against the rate limit, of which each box uses an equal share; returns
    /// false if the request may not be sent now.
    fn try_count_send(&self, boxes: u32, now: Now) -> bool {
        let mut limiter = lock(&self.rate_limiter);
        limiter.set_sharing_boxes(boxes);
        let may_send = limiter.send_delay(Duration::ZERO, now).is_none();
        if may_send {
            limiter.record_send(now);
        }
        may_send
    }

    /// Returns how long no request may be sent because the upstream requested a backoff or stated a
    /// rate limit; none if one may be sent now.
    pub fn backoff_remaining(&self, now: Now) -> Option<Duration> {
        let requested = lock(&self.requested_backoff).remaining(self.outstanding(), now);
        let limited = lock(&self.rate_limiter).send_delay(Duration::ZERO, now);
        requested.max(limited)
    }

    /// Returns the number of this router's requests that the upstream has not finished.
    pub fn outstanding(&self) -> u32 {
        self.outstanding.load(Ordering::Relaxed)
    }

    /// Counts a request as outstanding until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> LoadGuard {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
        LoadGuard { load: self.clone() }
    }

    /// Records a successful request and its latency.
    pub fn record_success(&self, took: Duration) {
        let took = u64::try_from(took.as_micros()).unwrap_or(u64::MAX).max(1);
        let mean = self.mean_latency_micros.load(Ordering::Relaxed);
        let next = if mean == 0 {
            took
        } else {
            mean - mean / MEAN_LATENCY_DIVISOR + took / MEAN_LATENCY_DIVISOR
        };
        self.mean_latency_micros
            .store(next.max(1), Ordering::Relaxed);
        lock(&self.failures).record_success();
    }

    /// Records a failed request that began at the given monotonic time. Several consecutive failures
    /// eject the upstream, for a time that grows with their number.
    pub fn record_failure(&self, began: Duration, now: Now) {
        lock(&self.failures).record_failure(began, now);
    }

    /// Records that a version gave a complete answer.
    pub fn record_version_success(&self, version: &VersionName) {
        lock(&self.versions).remove(version);
    }

    /// Records that a version failed although the upstream itself responded.
    pub fn record_version_failure(&self, version: &VersionName, began: Duration, now: Now) {
        let mut versions = lock(&self.versions);
        versions
            .entry(version.clone())
            .or_default()
            .record_failure(began, now);
    }

    fn is_version_ejected(&self, version: &VersionName, now: Now) -> bool {
        let versions = lock(&self.versions);
        versions
            .get(version)
            .is_some_and(|failures| failures.is_ejected(now))
    }

    /// Returns whether the upstream is ejected after failures.
    pub fn is_ejected(&self, now: Now) -> bool {
        lock(&self.failures).is_ejected(now)
    }

    fn expected_latency_micros(&self) -> f64 {
        let mean = match self.mean_latency_micros.load(Ordering::Relaxed) {
            0 => UNMEASURED_LATENCY_MICROS,
            mean => mean,
        };
        (f64::from(self.outstanding()) + 1.0) * mean as f64
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a request as outstanding at its upstream until dropped, however the request ends.
#[derive(Debug)]
pub struct LoadGuard {
    load: Arc<UpstreamLoad>,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.load.outstanding.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Properties of a request on which the choice of an upstream depends.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// Hall of the router.
    pub hall: &'a str,
    /// Key that assigns related requests to the same upstream, such as the session id, if any.
    pub affinity: Option<&'a str>,
    /// Maximum number of outstanding requests of this router at one upstream.
    pub max_outstanding: u32,
    /// Version that runs the request; none for a plain service.
    pub version: Option<&'a VersionName>,
    /// Names of upstreams at which the request already failed.
    pub tried: &'a [String],
    /// The boxes, which share the limits of upstreams.
    pub fleet: RouterFleet<'a>,
}

/// The boxes whose routers send to the same upstreams.
#[derive(Debug, Clone, Copy)]
pub struct RouterFleet<'a> {
    /// Name of the router's own box.
    pub own_box: &'a str,
    /// The agents of all boxes.
    pub agents: &'a [&'a Upstream],
}

impl RouterFleet<'_> {
    /// Returns the number of boxes, at least one.
    fn count(self) -> usize {
        self.agents.len().max(1)
    }

    /// Returns how many boxes rank above the own one for an upstream, by rendezvous hashing.
    fn own_rank(self, upstream: &str) -> usize {
        let weight = |name: &str| {
            let seed = xxhash_rust::xxh3::xxh3_64(upstream.as_bytes());
            xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), seed)
        };
        let own = weight(self.own_box);
        let others = self
            .agents
            .iter()
            .filter(|agent| agent.name != self.own_box);
        others.filter(|agent| weight(&agent.name) > own).count()
    }
}

/// An upstream that was chosen for a request, which counts as outstanding there.
#[derive(Debug)]
pub struct Placed {
    /// The upstream.
    pub upstream: Upstream,
    /// Counts the request until dropped.
    pub load_guard: LoadGuard,
}

/// Returns the shortest remaining backoff that candidates requested, or the time until a slot may be
/// free; none if a candidate accepts requests now, or if all are leaving.
pub fn shortest_remaining_backoff(
    candidates: &[&Upstream],
    fleet: RouterFleet<'_>,
    now: Now,
) -> Option<Duration> {
    let not_leaving = candidates
        .iter()
        .filter(|upstream| !upstream.load.is_leaving.load(Ordering::Relaxed));
    // `None`, for an upstream without a backoff, is less than any duration.
    let backoffs = not_leaving.map(|upstream| {
        let slot_wait = (!upstream.has_free_slot(fleet, now)).then_some(SLOT_RECHECK);
        upstream.load.backoff_remaining(now).max(slot_wait)
    });
    backoffs.min().flatten()
}

/// Chooses one of the candidates for a request that is sent at once, and counts it against the
/// upstream's limits.
pub fn choose_upstream(
    candidates: &[&Upstream],
    query: PlacementQuery<'_>,
    now: Now,
    rng: &mut impl Rng,
) -> Option<Placed> {
    let boxes = u32::try_from(query.fleet.count()).unwrap_or(u32::MAX);
    loop {
        let chosen = choose_usable_upstream(candidates, query, now, rng)?;
        let share = chosen.load.slot_share(&chosen.name, query.fleet, now);
        let most = share.unwrap_or(u32::MAX);
        // Another thread may have sent to it in the meantime.
        if let Some(load_guard) = chosen.load.try_track_request(most)
            && chosen.load.try_count_send(boxes, now)
        {
            return Some(Placed {
                upstream: chosen.clone(),
                load_guard,
            });
        }
    }
}

fn choose_usable_upstream<'a>(
    candidates: &[&'a Upstream],
    query: PlacementQuery<'_>,
    now: Now,
    rng: &mut impl Rng,
) -> Option<&'a Upstream> {
    let usable = |upstream: &&&Upstream| {
        upstream.load.outstanding() < query.max_outstanding
            && !upstream.load.is_ejected(now)
            && !upstream.load.is_leaving.load(Ordering::Relaxed)
            && upstream.load.backoff_remaining(now).is_none()
            && upstream.has_free_slot(query.fleet, now)
            && !query
                .version
                .is_some_and(|version| upstream.load.is_version_ejected(version, now))
            && !query.tried.contains(&upstream.name)
    };
    let usable: Vec<&Upstream> = candidates.iter().filter(usable).copied().collect();
    let in_own_hall: Vec<&Upstream> = usable
        .iter()
        .filter(|upstream| upstream.hall == query.hall)
        .copied()
        .collect();
    let pool = if in_own_hall.is_empty() {
        &usable
    } else {
        &in_own_hall
    };
    let best = pool.choose_multiple(rng, 2).min_by(|a, b| {
        a.load
            .expected_latency_micros()
            .total_cmp(&b.load.expected_latency_micros())
    })?;
    let preferred = query
        .affinity
        .and_then(|affinity| affinity_upstream(pool, affinity));
    let max_cost = best.load.expected_latency_micros() * MAX_AFFINITY_COST_RATIO;
    match preferred {
        Some(preferred) if preferred.load.expected_latency_micros() <= max_cost => Some(preferred),
        _ => Some(best),
    }
}

/// Returns the upstream that rendezvous hashing assigns to an affinity key.
fn affinity_upstream<'a>(pool: &[&'a Upstream], affinity: &str) -> Option<&'a Upstream> {
    let seed = xxhash_rust::xxh3::xxh3_64(affinity.as_bytes());
    let weight = |upstream: &&&Upstream| {
        xxhash_rust::xxh3::xxh3_64_with_seed(upstream.name.as_bytes(), seed)
    };
    pool.iter().max_by_key(weight).copied()
}
