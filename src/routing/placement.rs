//! Which upstream gets a request.
//!
//! Of two upstreams drawn at random the one with the shorter expected remaining
//! time is taken, the session's own upstream first where it is not much busier, and
//! the own hall first where it is not full. See `docs/design/placement.md`.

use super::rest::{AskedRest, Failures};
use super::signs::Signs;
use crate::clock::Now;
use crate::name::VersionName;
use rand::Rng;
use rand::seq::IndexedRandom as _;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How much of the newest time goes into the running mean: one part of this.
const MEAN_PARTS: u64 = 8;
/// How many times the best alternative's expected time a session's own upstream may take.
const AFFINITY_BOUND: f64 = 1.5;
const UNMEASURED_MICROS: u64 = 1_000;

/// An upstream, as the live list names it.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// The box's name.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The versions that it has loaded.
    pub versions: BTreeSet<VersionName>,
    /// What this router has seen of it.
    pub load: Arc<UpstreamLoad>,
}

/// What a router has seen of an upstream, shared by its threads.
#[derive(Debug, Default)]
pub struct UpstreamLoad {
    outstanding: AtomicU32,
    mean_micros: AtomicU64,
    failures: Mutex<Failures>,
    asked_rest: Mutex<AskedRest>,
    says_it_leaves: AtomicBool,
    /// By version, since one that fails must not make the upstream rest for the others.
    versions: Mutex<HashMap<VersionName, Failures>>,
}

impl UpstreamLoad {
    /// Takes what the head of an answer says; that it leaves is never taken back.
    pub fn take_signs(&self, signs: Signs, now: Now) {
        if signs.leaves {
            self.says_it_leaves.store(true, Ordering::Relaxed);
        }
        let mut asked = lock(&self.asked_rest);
        if let Some(rest) = signs.rest {
            asked.ask(rest, now);
        }
        if !signs.is_refusal {
            asked.took_request(now);
        }
    }

    /// Returns how long the upstream takes no request because it asked for rest; none if it takes
    /// one now.
    pub fn asked_rest_left(&self, now: Now) -> Option<Duration> {
        lock(&self.asked_rest).left(self.outstanding(), now)
    }

    /// Returns the requests of this router that the upstream has not answered.
    pub fn outstanding(&self) -> u32 {
        self.outstanding.load(Ordering::Relaxed)
    }

    /// Counts a request in; it is counted out when the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> LoadGuard {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
        LoadGuard { load: self.clone() }
    }

    /// Records that a request succeeded, and how long it took.
    pub fn succeeded(&self, took: Duration) {
        let took = u64::try_from(took.as_micros()).unwrap_or(u64::MAX).max(1);
        let mean = self.mean_micros.load(Ordering::Relaxed);
        let next = if mean == 0 {
            took
        } else {
            mean - mean / MEAN_PARTS + took / MEAN_PARTS
        };
        self.mean_micros.store(next.max(1), Ordering::Relaxed);
        lock(&self.failures).end_row();
    }

    /// Records that a request failed which had begun at a moment; after several failures in a row
    /// the upstream rests, the longer the more there were.
    pub fn failed(&self, began: Duration, now: Now) {
        lock(&self.failures).add(began, now);
    }

    /// Records that a version answered, whole.
    pub fn version_succeeded(&self, version: &VersionName) {
        lock(&self.versions).remove(version);
    }

    /// Records that a version failed here while the upstream itself answered.
    pub fn version_failed(&self, version: &VersionName, began: Duration, now: Now) {
        let mut versions = lock(&self.versions);
        versions.entry(version.clone()).or_default().add(began, now);
    }

    fn version_rests(&self, version: &VersionName, now: Now) -> bool {
        let versions = lock(&self.versions);
        versions
            .get(version)
            .is_some_and(|failures| failures.rests(now))
    }

    /// Tells whether the upstream rests after failures.
    pub fn rests(&self, now: Now) -> bool {
        lock(&self.failures).rests(now)
    }

    fn expected_micros(&self) -> f64 {
        let mean = match self.mean_micros.load(Ordering::Relaxed) {
            0 => UNMEASURED_MICROS,
            mean => mean,
        };
        (f64::from(self.outstanding()) + 1.0) * mean as f64
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a request out of its upstream when it ends, however it ends.
#[derive(Debug)]
pub struct LoadGuard {
    load: Arc<UpstreamLoad>,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.load.outstanding.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What placement asks of a request.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// The router's hall.
    pub hall: &'a str,
    /// What binds requests to an upstream, such as the session's id; none binds nothing.
    pub affinity: Option<&'a str>,
    /// How many requests one upstream is given at a time by this router.
    pub limit: u32,
    /// The version that is to run; none for a plain service.
    pub version: Option<&'a VersionName>,
    /// Upstreams that were tried in vain already.
    pub tried: &'a [String],
}

/// Returns when the first of some upstreams has rested as it asked; none if one takes requests now,
/// or none is left.
pub fn first_rested(candidates: &[&Upstream], now: Now) -> Option<Duration> {
    let staying = candidates
        .iter()
        .filter(|upstream| !upstream.load.says_it_leaves.load(Ordering::Relaxed));
    // An upstream that does not rest has no time left, and that is the least.
    let rests = staying.map(|upstream| upstream.load.asked_rest_left(now));
    rests.min().flatten()
}

/// Chooses an upstream among candidates.
pub fn choose_upstream<'a>(
    candidates: &[&'a Upstream],
    query: PlacementQuery<'_>,
    now: Now,
    rng: &mut impl Rng,
) -> Option<&'a Upstream> {
    let usable = |upstream: &&&Upstream| {
        upstream.load.outstanding() < query.limit
            && !upstream.load.rests(now)
            && !upstream.load.says_it_leaves.load(Ordering::Relaxed)
            && upstream.load.asked_rest_left(now).is_none()
            && !query
                .version
                .is_some_and(|version| upstream.load.version_rests(version, now))
            && !query.tried.contains(&upstream.name)
    };
    let usable: Vec<&Upstream> = candidates.iter().filter(usable).copied().collect();
    let near: Vec<&Upstream> = usable
        .iter()
        .filter(|upstream| upstream.hall == query.hall)
        .copied()
        .collect();
    let pool = if near.is_empty() { &usable } else { &near };
    let best = pool.choose_multiple(rng, 2).min_by(|a, b| {
        a.load
            .expected_micros()
            .total_cmp(&b.load.expected_micros())
    })?;
    let own = query
        .affinity
        .and_then(|affinity| affine_upstream(pool, affinity));
    let bound = best.load.expected_micros() * AFFINITY_BOUND;
    match own {
        Some(own) if own.load.expected_micros() <= bound => Some(own),
        _ => Some(best),
    }
}

/// Returns the upstream that rendezvous hashing gives to a session.
fn affine_upstream<'a>(pool: &[&'a Upstream], affinity: &str) -> Option<&'a Upstream> {
    let seed = xxhash_rust::xxh3::xxh3_64(affinity.as_bytes());
    let weight = |upstream: &&&Upstream| {
        xxhash_rust::xxh3::xxh3_64_with_seed(upstream.name.as_bytes(), seed)
    };
    pool.iter().max_by_key(weight).copied()
}
