//! Chooses the upstream for a request.
//!
//! Prompts with a shared prefix go to the engine that has the prefix cached, which saves computing
//! it again; plain requests stay in their hall. Both rules yield when an upstream is full, failing
//! or in back-off. See `docs/design/platform.md`.

use super::cache_affinity::rendezvous_weight;
use super::engine_cost::{PlacementCost, PrefixSource, SharedPrompt, engine_costs};
use super::engine_speed::SpeedBelief;
use super::expected_wait::ExpectedWait;
use crate::clock::Now;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::control::store::UpstreamLife;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Penalty for an upstream in another hall, in units of slot utilization: another hall is chosen
/// once the local upstream is fuller by this much. The network takes one or two milliseconds each
/// way, about a tenth of the time of a plain request.
const OTHER_HALL_PENALTY_UTILIZATION: f64 = 0.35;
/// Number of engines that all boxes together compare at the same moment. A box's view of the load
/// from other boxes is stale, more so with more boxes; if all boxes compared all engines, they
/// would all pick the one that looked least loaded.
const FLEET_COMPARED_ENGINES: usize = 90;
/// Minimum number of engines that a box compares.
const MIN_COMPARED_ENGINES: usize = 3;

/// Minimum number of engines that a box compares for a prompt that makes the streams of an engine
/// pause. Such prompts are too rare for boxes to pick the same engine at the same moment.
pub const MIN_COMPARED_IF_LONG: usize = 12;

/// What a placement decision depends on, besides the candidates.
#[derive(Debug, Clone, Copy)]
pub struct PlacementParams<'a> {
    /// The hall of this box.
    pub hall: &'a str,
    /// The prompt, for requests to model engines.
    pub prompt: Option<SharedPrompt<'a>>,
    /// The upstreams that were already tried.
    pub tried: &'a [UpstreamLife],
    /// A hash of the request, which samples the engines to compare and breaks ties.
    pub seed: u64,
    /// How many engines are compared, besides those that have the prefix cached.
    pub engines_to_compare: usize,
    /// The longest pause of a stream that is in time, where prompts are kept from engines whose
    /// streams they would make pause for longer.
    pub pause_limit: Option<Duration>,
}

/// The upstream chosen for a request, and the load expected there.
#[derive(Debug, Clone)]
pub struct PlacementChoice {
    /// The chosen upstream.
    pub upstream: Rc<Upstream>,
    /// Expected time that the upstream spends on the prompts of other requests first.
    pub queue_wait: Duration,
    /// Expected time of this request's own prefill.
    pub prefill: Duration,
    /// Where the engine gets the shared prefix from; `Computed` for plain upstreams.
    pub prefix_source: PrefixSource,
    /// The expected wait, where requests are placed by it.
    pub expected: Option<ExpectedWait>,
    /// The speed that the upstream is believed to have.
    pub speed: SpeedBelief,
}

impl PlacementChoice {
    /// Returns the time of this request's own prefill at the usual speed. Boxes that believe
    /// different speeds can add it up.
    pub fn prefill_work(&self) -> Duration {
        self.speed.work_in(self.prefill)
    }
}

/// Returns how many engines each box compares, given the number of boxes.
pub fn engines_to_compare(boxes: usize) -> usize {
    (FLEET_COMPARED_ENGINES / boxes.max(1)).max(MIN_COMPARED_ENGINES)
}

/// Chooses the cheapest of the candidates that have not been tried.
pub fn choose_placement(
    candidates: &[Rc<Upstream>],
    params: PlacementParams<'_>,
    now: Now,
) -> Option<PlacementChoice> {
    let untried: Vec<&Rc<Upstream>> = candidates
        .iter()
        .filter(|upstream| !params.tried.contains(upstream.incarnation()))
        .collect();
    let costs = match params.prompt {
        Some(prompt) => engine_costs(&untried, params, prompt, now),
        None => plain_costs(&untried, params.hall, now)
            .into_iter()
            .map(Some)
            .collect(),
    };
    let tie = |upstream: &Upstream| std::cmp::Reverse(rendezvous_weight(upstream, params.seed));
    let (upstream, found) = untried
        .into_iter()
        .zip(costs)
        .filter_map(|(upstream, cost)| Some((upstream, cost?)))
        .min_by(|(one, cost), (other, other_cost)| {
            let by_cost = cost.cost.total_cmp(&other_cost.cost);
            by_cost.then_with(|| tie(one).cmp(&tie(other)))
        })?;
    Some(PlacementChoice {
        upstream: upstream.clone(),
        queue_wait: found.queue_wait,
        prefill: found.prefill,
        prefix_source: found.prefix_source,
        expected: None,
        speed: upstream.speed().belief(now),
    })
}

/// Chooses the upstream for a request that may crash it: the one with the fewest other requests.
/// Ties are broken by a hash of the request, so that two suspect requests rarely share an upstream.
pub fn choose_for_trial(
    candidates: &[Rc<Upstream>],
    tried: &[UpstreamLife],
    seed: u64,
    now: Now,
) -> Option<Rc<Upstream>> {
    let untried = candidates
        .iter()
        .filter(|upstream| !tried.contains(upstream.incarnation()));
    let fewest = untried.min_by_key(|upstream| {
        let tie = std::cmp::Reverse(rendezvous_weight(upstream, seed));
        (upstream.is_backing_off(now), upstream.occupancy(now), tie)
    })?;
    Some(fewest.clone())
}

/// Returns the cost of each upstream of a plain service, in fractions of its slots.
fn plain_costs(candidates: &[&Rc<Upstream>], hall: &str, now: Now) -> Vec<PlacementCost> {
    let cost = |upstream: &&Rc<Upstream>| {
        let is_other_hall = upstream.with_listed(|listed| listed.hall != hall);
        PlacementCost {
            cost: upstream.penalty(now)
                + if is_other_hall {
                    OTHER_HALL_PENALTY_UTILIZATION
                } else {
                    0.0
                },
            queue_wait: Duration::ZERO,
            prefill: Duration::ZERO,
            prefix_source: PrefixSource::Computed,
        }
    };
    candidates.iter().map(cost).collect()
}

/// Returns a hash of a text that is the same in every box and process.
pub fn stable_hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}
