//! What it costs to send a prompt to an engine: one sum in one unit, milliseconds of an
//! engine's time.
//!
//! Reading prompts fills engines before anything else does, so what a request costs others
//! counts in the time that it keeps an engine from reading theirs; what is priced otherwise
//! is weighed against that. See `docs/design/platform.md`.

use super::cache_affinity::{CacheReplication, CachingEngines, rendezvous_weight};
use super::choose::PlacementParams;
use crate::clock::Now;
use crate::gateway::attempt::upstream::Upstream;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Milliseconds that reading a token of a shared part anew counts for beyond the time it
/// takes, whatever the model: it is priced by token, and it drives out what the engine kept.
/// A shared part of 5,400 tokens is worth a wait of 0.3 s.
const PREFIX_PREFILL_COST_MS_PER_TOKEN: f64 = 0.055;
/// Milliseconds that fetching a token of a shared part from the engine that keeps it counts
/// for. The fetch itself takes some milliseconds in all, but what is moved is priced.
///
/// Fetching makes engines equal for a shared part, so that the idle one can be taken: callers
/// wait less, and more of them get answers of the large model.
const PREFIX_FETCH_COST_MS_PER_TOKEN: f64 = 0.045;
/// Milliseconds that each kilobyte of a request counts for which leaves the hall.
///
/// Bytes between halls are priced; models that read fast keep beginnings in each hall, so that
/// their requests need not leave it.
const CROSS_HALL_COST_MS_PER_KB: f64 = 14.0;
/// Milliseconds that an engine's slots count for when they are full. An engine slows down
/// little with the number of its requests, so this matters only near the last slots.
const FULL_SLOTS_COST_MS: f64 = 220.0;
/// Milliseconds that a request out of slots waits for at least: an engine that has none free
/// is taken only when all others are worse.
const NO_FREE_SLOT_COST_MS: f64 = 11_000.0;
/// Milliseconds by which an engine that is not compared looks dearer: it is taken only when
/// all that are compared rest, fail or are full.
const NOT_COMPARED_COST_MS: f64 = 5_500.0;
/// Milliseconds that one unit of penalty for failures and rest counts for.
const PENALTY_UNIT_COST_MS: f64 = 1_100.0;
/// The bytes of a kilobyte.
const BYTES_PER_KB: f64 = 1000.0;

/// A prompt whose beginning other requests share.
#[derive(Debug, Clone, Copy)]
pub struct SharedPrompt<'a> {
    /// What names the shared beginning and the model.
    pub prefix_key: &'a str,
    /// How many engines are expected to keep that beginning.
    pub replication: CacheReplication,
    /// How long an engine that has kept nothing of it reads the prompt.
    pub full_prefill: Duration,
    /// How long an engine that has kept the shared beginning reads the rest.
    pub suffix_prefill: Duration,
    /// The tokens of the shared beginning.
    pub shared_tokens: f64,
    /// The bytes of the request.
    pub request_bytes: usize,
}

impl SharedPrompt<'_> {
    /// Returns what fetching the shared beginning costs, if that is less than the time that
    /// reading it takes.
    fn fetch_cost_ms(&self) -> Option<f64> {
        let cost_ms = self.shared_tokens * PREFIX_FETCH_COST_MS_PER_TOKEN;
        let saved_ms = millis(self.full_prefill.saturating_sub(self.suffix_prefill));
        (cost_ms < saved_ms).then_some(cost_ms)
    }
}

/// How an engine comes by the shared beginning of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrefixSource {
    /// It is expected to have kept it.
    Cached,
    /// It fetches it from the engine at this address, which is expected to have kept it.
    Fetched(SocketAddr),
    /// It reads it.
    Computed,
}

impl PrefixSource {
    /// Returns the name that logs give it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cached => "kept",
            Self::Fetched(_) => "fetched",
            Self::Computed => "read",
        }
    }
}

/// What a request costs and finds at an upstream.
#[derive(Debug, Clone, Copy)]
pub struct PlacementCost {
    /// The sum by which upstreams are compared: in milliseconds of an engine, or in parts of
    /// a plain upstream's slots.
    pub cost: f64,
    /// How long the engine reads what other requests have sent.
    pub queue_wait: Duration,
    /// How long it then reads this prompt.
    pub prefill: Duration,
    /// How it comes by the shared beginning.
    pub prefix_source: PrefixSource,
}

/// Returns what a prompt would cost at each engine.
///
/// All engines but a few, drawn by the request, and those that keep the prompt's beginning,
/// are so dear that they are not taken.
pub fn engine_costs(
    candidates: &[&Rc<Upstream>],
    params: PlacementParams<'_>,
    prompt: SharedPrompt<'_>,
    now: Now,
) -> Vec<PlacementCost> {
    let caching_engines = CachingEngines::among(candidates, prompt.prefix_key, prompt.replication);
    let fetch_sources = fetch_sources(candidates, &caching_engines, prompt, now);
    let min_weight = nth_weight(candidates, params.seed, params.engines_to_compare);
    let cost = |upstream: &&Rc<Upstream>| {
        let prefix_source = prefix_source(&caching_engines, &fetch_sources, upstream);
        let is_sampled = rendezvous_weight(upstream, params.seed) >= min_weight;
        let is_compared = is_sampled || prefix_source == PrefixSource::Cached;
        let mut found = engine_cost(upstream, params.hall, prompt, prefix_source, now);
        if !is_compared {
            found.cost += NOT_COMPARED_COST_MS;
        }
        found
    };
    candidates.iter().map(cost).collect()
}

/// Returns the engines from which others may fetch a prompt's shared beginning: none where
/// fetching does not pay.
fn fetch_sources<'a>(
    candidates: &[&'a Rc<Upstream>],
    caching_engines: &CachingEngines,
    prompt: SharedPrompt<'_>,
    now: Now,
) -> Vec<&'a Rc<Upstream>> {
    if prompt.fetch_cost_ms().is_none() {
        return Vec::new();
    }
    let can_serve = |upstream: &&Rc<Upstream>| {
        caching_engines.contain(upstream) && !upstream.is_backing_off(now)
    };
    candidates.iter().copied().filter(can_serve).collect()
}

/// Tells how an engine would come by a prompt's shared beginning.
fn prefix_source(
    caching_engines: &CachingEngines,
    fetch_sources: &[&Rc<Upstream>],
    upstream: &Upstream,
) -> PrefixSource {
    if caching_engines.contain(upstream) {
        return PrefixSource::Cached;
    }
    let has_same_weights = |source: &&&Rc<Upstream>| {
        upstream.with_listed(|own| source.with_listed(|listed| listed.version == own.version))
    };
    match fetch_sources.iter().find(has_same_weights) {
        Some(source) => PrefixSource::Fetched(source.with_listed(|listed| listed.address)),
        None => PrefixSource::Computed,
    }
}

fn engine_cost(
    upstream: &Rc<Upstream>,
    hall: &str,
    prompt: SharedPrompt<'_>,
    prefix_source: PrefixSource,
    now: Now,
) -> PlacementCost {
    let (prefill, prefix_cost_ms) = match prefix_source {
        PrefixSource::Cached => (prompt.suffix_prefill, 0.0),
        PrefixSource::Fetched(_) => (
            prompt.suffix_prefill,
            prompt.fetch_cost_ms().unwrap_or_default(),
        ),
        PrefixSource::Computed => (
            prompt.full_prefill,
            prompt.shared_tokens * PREFIX_PREFILL_COST_MS_PER_TOKEN,
        ),
    };
    let is_other_hall = upstream.with_listed(|listed| listed.hall != hall);
    let transfer_cost_ms = match is_other_hall {
        true => prompt.request_bytes as f64 / BYTES_PER_KB * CROSS_HALL_COST_MS_PER_KB,
        false => 0.0,
    };
    let slot_utilization = upstream.slot_utilization(now);
    let slot_cost_ms = match slot_utilization < 1.0 {
        true => slot_utilization * FULL_SLOTS_COST_MS,
        false => slot_utilization * NO_FREE_SLOT_COST_MS,
    };
    let health_cost_ms = (upstream.penalty(now) - slot_utilization) * PENALTY_UNIT_COST_MS;
    let queue_wait = upstream.pending_prefill(now);
    PlacementCost {
        cost: millis(queue_wait)
            + millis(prefill)
            + prefix_cost_ms
            + transfer_cost_ms
            + slot_cost_ms
            + health_cost_ms,
        queue_wait,
        prefill,
        prefix_source,
    }
}

/// Returns the rank of the engine at a place, counted from one, in the order of a seed.
fn nth_weight(candidates: &[&Rc<Upstream>], seed: u64, position: usize) -> u64 {
    let mut weights: Vec<u64> = candidates
        .iter()
        .map(|upstream| rendezvous_weight(upstream, seed))
        .collect();
    weights.sort_unstable_by_key(|weight| std::cmp::Reverse(*weight));
    weights
        .get(position.saturating_sub(1))
        .copied()
        .unwrap_or(0)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
