//! Which upstream gets a request.
//!
//! Requests with the same beginning go to the engine that keeps it, since it need not read
//! it anew; plain requests stay in their hall. Both give way when an upstream is full, fails
//! or rests. See `docs/design/platform.md`.

use super::cache_affinity::rendezvous_weight;
use super::engine_cost::{PlacementCost, PrefixSource, SharedPrompt, engine_costs};
use crate::clock::Now;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::control::store::UpstreamLife;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Fullness that leaving the hall counts for: an upstream of another hall is taken when
/// the own one is this much fuller. The way costs a millisecond or two each way, about
/// a tenth of a plain request's work.
const OTHER_HALL: f64 = 0.35;
/// Engines that all boxes together compare for the requests of one moment. Each box's
/// picture of the others' load is old, and older with more boxes; if all compared all
/// engines, they would all pick the one that looked emptiest.
const COMPARED_BY_ALL: usize = 90;
/// The fewest engines that are compared.
const LEAST_COMPARED: usize = 3;

/// What placement asks of a request.
#[derive(Debug, Clone, Copy)]
pub struct PlacementParams<'a> {
    /// The box's hall.
    pub hall: &'a str,
    /// The prompt, where a model engine is asked.
    pub prompt: Option<SharedPrompt<'a>>,
    /// The lives of upstreams that were tried already.
    pub tried: &'a [UpstreamLife],
    /// A number of the request, which spreads equal choices.
    pub seed: u64,
    /// How many engines are compared beside those that keep the prompt's beginning.
    pub engines_to_compare: usize,
}

/// The upstream that a request goes to, and what it finds there.
#[derive(Debug, Clone)]
pub struct PlacementChoice {
    /// The upstream.
    pub upstream: Rc<Upstream>,
    /// How long the upstream reads what other requests have sent.
    pub queue_wait: Duration,
    /// How long it then reads this request's prompt.
    pub prefill: Duration,
    /// How it comes by the shared beginning of the prompt; read, for plain upstreams.
    pub prefix_source: PrefixSource,
}

impl PlacementChoice {
    /// Tells whether the time to the first event shows how fast the engine reads: it reads
    /// the prompt whole, and nothing else as far as is known.
    pub fn measures_prefill_rate(&self) -> bool {
        self.prefix_source == PrefixSource::Computed && self.queue_wait.is_zero()
    }
}

/// Returns how many engines a box compares, by the number of boxes.
pub fn engines_to_compare(boxes: usize) -> usize {
    (COMPARED_BY_ALL / boxes.max(1)).max(LEAST_COMPARED)
}

/// Chooses an upstream among those that may run a request.
pub fn choose_placement(
    candidates: &[Rc<Upstream>],
    params: PlacementParams<'_>,
    now: Now,
) -> Option<PlacementChoice> {
    let untried: Vec<&Rc<Upstream>> = candidates
        .iter()
        .filter(|upstream| !params.tried.contains(upstream.life()))
        .collect();
    let costs = match params.prompt {
        Some(prompt) => engine_costs(&untried, params, prompt, now),
        None => plain_costs(&untried, params.hall, now),
    };
    let tie = |upstream: &Upstream| std::cmp::Reverse(rendezvous_weight(upstream, params.seed));
    let (upstream, found) =
        untried
            .into_iter()
            .zip(costs)
            .min_by(|(one, cost), (other, other_cost)| {
                let by_cost = cost.cost.total_cmp(&other_cost.cost);
                by_cost.then_with(|| tie(one).cmp(&tie(other)))
            })?;
    Some(PlacementChoice {
        upstream: upstream.clone(),
        queue_wait: found.queue_wait,
        prefill: found.prefill,
        prefix_source: found.prefix_source,
    })
}

/// Chooses the upstream for a request that may crash it: where the fewest others run, and of these
/// by the request, so that two such requests seldom meet.
pub fn choose_for_trial(
    candidates: &[Rc<Upstream>],
    tried: &[UpstreamLife],
    seed: u64,
    now: Now,
) -> Option<Rc<Upstream>> {
    let untried = candidates
        .iter()
        .filter(|upstream| !tried.contains(upstream.life()));
    let fewest = untried.min_by_key(|upstream| {
        let tie = std::cmp::Reverse(rendezvous_weight(upstream, seed));
        (upstream.is_backing_off(now), upstream.occupancy(now), tie)
    })?;
    Some(fewest.clone())
}

/// Returns what each upstream of a plain service would cost, in parts of its slots.
fn plain_costs(candidates: &[&Rc<Upstream>], hall: &str, now: Now) -> Vec<PlacementCost> {
    let cost = |upstream: &&Rc<Upstream>| {
        let is_away = upstream.with_listed(|listed| listed.hall != hall);
        PlacementCost {
            cost: upstream.penalty(now) + if is_away { OTHER_HALL } else { 0.0 },
            queue_wait: Duration::ZERO,
            prefill: Duration::ZERO,
            prefix_source: PrefixSource::Computed,
        }
    };
    candidates.iter().map(cost).collect()
}

/// Returns a number that a text always gives, to spread requests evenly.
pub fn stable_hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}
