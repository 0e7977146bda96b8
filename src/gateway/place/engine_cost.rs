//! Estimates the cost of sending a prompt to an engine, as one sum in milliseconds of engine time.
//!
//! Prefill (processing the prompt before the first output token) saturates engines before anything
//! else does. The cost of a request is therefore the time for which it keeps an engine from the
//! prefill of others, and charged resources are converted to the same unit. See
//! `docs/design/platform.md`.

use super::cache_affinity::{CacheReplication, CachingEngines, rendezvous_weight};
use super::choose::PlacementParams;
use super::engine_queue::QueueEstimate;
use super::held_streams::HeldStreams;
use super::peer_loads::MIN_LONG_PREFILL;
use crate::clock::Now;
use crate::gateway::attempt::upstream::Upstream;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Cost in milliseconds for each token of a shared prefix that is computed again, on top of the
/// time that it takes and for any model: prefill is charged by token, and it evicts other prefixes
/// from the engine's cache. A prefix of 5,400 tokens is worth a wait of 0.3 s.
const PREFIX_PREFILL_COST_MS_PER_TOKEN: f64 = 0.055;
/// Cost in milliseconds for each token of a shared prefix that is fetched from the engine that has
/// it cached. The transfer itself takes only some milliseconds, but the bytes moved are charged
/// for.
///
/// Fetching makes all engines equal for a prefix, so that an idle one can be chosen. Callers wait
/// less, and more of them get answers of the large model.
const PREFIX_FETCH_COST_MS_PER_TOKEN: f64 = 0.045;
/// Cost in milliseconds for each kilobyte of a request that is sent to another hall.
///
/// Traffic between halls is charged for. Models with a fast prefill have their prefixes cached in
/// each hall, so their requests need not leave it.
const CROSS_HALL_COST_MS_PER_KB: f64 = 14.0;
/// Cost in milliseconds of an engine whose slots are all in use; lower utilization costs
/// proportionally less. An engine slows down little with the number of its requests, so this
/// matters only for the last free slots.
const FULL_SLOTS_COST_MS: f64 = 220.0;
/// Cost in milliseconds of an engine without a free slot, multiplied by its slot utilization: such
/// an engine is chosen only if all others are worse.
const NO_FREE_SLOT_COST_MS: f64 = 11_000.0;
/// Cost in milliseconds added to engines outside of the compared sample: they are chosen only if
/// all compared engines are in back-off, failing or full.
const NOT_COMPARED_COST_MS: f64 = 5_500.0;
/// Cost in milliseconds of one unit of the penalty for failures and back-off.
const PENALTY_UNIT_COST_MS: f64 = 1_100.0;
/// The most times more engines than usual that are compared for a long prompt.
const MAX_LONG_PROMPT_COMPARISONS: f64 = 8.0;
/// Number of bytes in a kilobyte.
const BYTES_PER_KB: f64 = 1000.0;

/// A prompt that shares a prefix with other requests.
#[derive(Debug, Clone, Copy)]
pub struct SharedPrompt<'a> {
    /// Identifies the shared prefix and the model.
    pub prefix_key: &'a str,
    /// How many engines are expected to have the prefix cached.
    pub replication: CacheReplication,
    /// Prefill time on an engine that has none of the prompt cached.
    pub full_prefill: Duration,
    /// Prefill time on an engine that has the shared prefix cached.
    pub suffix_prefill: Duration,
    /// Number of tokens in the shared prefix.
    pub shared_tokens: f64,
    /// Size of the request body in bytes.
    pub request_bytes: usize,
    /// The longest pause at which a stream beside this prompt is in time, where boxes control the
    /// load; `None` elsewhere.
    pub max_pause: Option<Duration>,
}

impl SharedPrompt<'_> {
    /// Returns how many engines are compared for this prompt, given how many are usually.
    ///
    /// Boxes that compare many engines by old reports choose the same ones. Other boxes learn of a
    /// long prompt at once, and long prompts are the rarer the longer they are; so are the engines
    /// where they hold up no streams.
    fn engines_to_compare(&self, usual: usize) -> usize {
        if self.max_pause.is_none() {
            return usual;
        }
        let lengths = self.suffix_prefill.as_secs_f64() / MIN_LONG_PREFILL.as_secs_f64();
        (usual as f64 * lengths.clamp(1.0, MAX_LONG_PROMPT_COMPARISONS)) as usize
    }

    /// Returns the cost of fetching the shared prefix, or `None` if computing it takes less time
    /// than that.
    fn fetch_cost_ms(&self) -> Option<f64> {
        let cost_ms = self.shared_tokens * PREFIX_FETCH_COST_MS_PER_TOKEN;
        let saved_ms = millis(self.full_prefill.saturating_sub(self.suffix_prefill));
        (cost_ms < saved_ms).then_some(cost_ms)
    }
}

/// Where an engine gets the shared prefix of a prompt from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrefixSource {
    /// Expected to be in its own cache.
    Cached,
    /// Fetched from the engine at this address, which is expected to have it cached.
    Fetched(SocketAddr),
    /// Computed by the engine itself.
    Computed,
}

impl PrefixSource {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cached => "kept",
            Self::Fetched(_) => "fetched",
            Self::Computed => "read",
        }
    }
}

/// Estimated cost of a request at one upstream, and its parts.
#[derive(Debug, Clone, Copy)]
pub struct PlacementCost {
    /// The sum by which upstreams are compared: in milliseconds of engine time, or in fractions of
    /// the slots of a plain upstream.
    pub cost: f64,
    /// Time that the engine first spends on the prompts of other requests.
    pub queue_wait: Duration,
    /// This prompt's own prefill time.
    pub prefill: Duration,
    /// Where the engine gets the shared prefix from.
    pub prefix_source: PrefixSource,
}

/// Returns the cost of a prompt at each engine that is compared.
///
/// Only a sample of engines, selected by a hash of the request, and the engines that have the
/// prefix cached are compared; the others only if all of those are as bad as a last resort.
pub fn engine_costs(
    candidates: &[&Rc<Upstream>],
    params: PlacementParams<'_>,
    prompt: SharedPrompt<'_>,
    now: Now,
) -> Vec<Option<PlacementCost>> {
    let caching_engines = CachingEngines::among(candidates, prompt.prefix_key, prompt.replication);
    let fetch_sources = fetch_sources(candidates, &caching_engines, prompt, now);
    let queues = QueueEstimate::new(candidates, params.seed);
    let sample_size = prompt.engines_to_compare(params.engines_to_compare);
    let is_sampled = sample(candidates, params.seed, sample_size);
    let cost = |upstream: &&Rc<Upstream>| {
        let prefix_source = prefix_source(&caching_engines, &fetch_sources, upstream);
        engine_cost(upstream, params.hall, prompt, prefix_source, queues, now)
    };
    let numbered = candidates.iter().zip(&is_sampled);
    let compared: Vec<Option<PlacementCost>> = numbered
        .map(|(upstream, is_sampled)| {
            let is_compared = *is_sampled || caching_engines.contain(upstream);
            is_compared.then(|| cost(upstream))
        })
        .collect();
    let is_good = |found: &PlacementCost| found.cost < NOT_COMPARED_COST_MS;
    if compared.iter().flatten().any(is_good) {
        return compared;
    }
    let last_resort = |upstream: &&Rc<Upstream>| {
        let mut found = cost(upstream);
        found.cost += NOT_COMPARED_COST_MS;
        found
    };
    let all = candidates.iter().zip(compared);
    all.map(|(upstream, found)| Some(found.unwrap_or_else(|| last_resort(upstream))))
        .collect()
}

/// Returns the engines that others can fetch the shared prefix from; empty if fetching does not pay
/// off.
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

/// Returns where an engine would get the shared prefix from. It can be fetched only from an engine
/// with the same weights.
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
    queues: QueueEstimate,
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
    let speed = upstream.speed().belief(now);
    let sampled_wait = speed.time_for(queues.sampled(upstream, speed, now));
    // Short prompts add to pauses only together, and are spread by the time that they wait.
    let max_pause = prompt.max_pause.filter(|_| prefill >= MIN_LONG_PREFILL);
    let prefill = speed.time_for(prefill);
    let held_streams = max_pause.map(|max_pause| HeldStreams {
        streams: queues.streams(upstream),
        max_pause,
    });
    let held_cost = held_streams.map(|held| held.cost_of(sampled_wait, prefill));
    PlacementCost {
        cost: millis(sampled_wait)
            + millis(prefill)
            + millis(held_cost.unwrap_or_default())
            + prefix_cost_ms
            + transfer_cost_ms
            + slot_cost_ms
            + health_cost_ms,
        queue_wait: speed.time_for(upstream.pending_prefill(now)),
        prefill,
        prefix_source,
    }
}

/// Returns which engines are in the sample of this size that a hash of the request selects.
fn sample(candidates: &[&Rc<Upstream>], seed: u64, size: usize) -> Vec<bool> {
    let weights: Vec<u64> = candidates
        .iter()
        .map(|upstream| rendezvous_weight(upstream, seed))
        .collect();
    let left_out = weights.len().saturating_sub(size.max(1));
    let mut ranked = weights.clone();
    let min_weight = match ranked.is_empty() {
        true => 0,
        false => *ranked.select_nth_unstable(left_out).1,
    };
    let is_sampled = |weight: &u64| *weight >= min_weight;
    weights.iter().map(is_sampled).collect()
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
