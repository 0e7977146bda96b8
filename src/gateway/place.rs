//! Which upstream gets a request.
//!
//! Requests with the same beginning go to the same engine, since it keeps what it has
//! read; plain requests stay in their hall. Both give way when an upstream is full, fails
//! or rests. All boxes rank by the same hash, so they agree without talking to each other.
//! See `docs/design/platform.md`.

use super::upstream::Upstream;
use crate::clock::Now;
use std::rc::Rc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How many engines are expected to keep the same beginning of prompts. Each one more reads
/// every shared part once more, which is priced.
const AFFINE_ENGINES: usize = 1;
/// Weighted tokens that reading a token of a shared part anew counts for beyond its time,
/// whatever the model: it is priced by token, and it drives out what the engine kept. At
/// the usual rate the longest shared part, 5,400 tokens, is worth a wait of 0.3 s.
const ANEW: f64 = 1.0;
/// Weighted tokens that a full engine's slots count for. An engine slows down little with
/// the number of its requests, so this matters only near the last slots.
const SLOTS_TOKENS: f64 = 4000.0;
/// Weighted tokens that a request out of slots waits for at least: an engine that has
/// none free is taken only when all others are worse.
const NO_SLOT_TOKENS: f64 = 200_000.0;
/// Weighted tokens by which an engine that is not compared looks dearer: it is taken only
/// when all that are compared rest, fail or are full.
const NOT_COMPARED_TOKENS: f64 = 100_000.0;
/// Weighted tokens that one unit of penalty for failures and rest counts for.
const PENALTY_TOKENS: f64 = 20_000.0;
/// Fullness that a failure rate of one counts for, so that an upstream which fails some
/// of its requests loses to any that is not nearly full.
const FAILURE_WEIGHT: f64 = 4.0;
/// Failure rates below this are taken for chance.
const TOLERATED_FAILURES: f64 = 0.2;
/// Fullness that leaving the hall counts for: an upstream of another hall is taken when
/// the own one is this much fuller. The way costs a millisecond or two each way, about
/// a tenth of a plain request's work.
const OTHER_HALL: f64 = 0.35;
/// What resting counts for: more than all else together, since the upstream did not even
/// take a connection.
const RESTING: f64 = 100.0;

/// What placement asks of a request.
#[derive(Debug, Clone, Copy)]
pub struct Wish<'a> {
    /// The box's hall.
    pub hall: &'a str,
    /// The prompt, where a model engine is asked.
    pub prompt: Option<SharedPrompt<'a>>,
    /// Instances that were tried already.
    pub tried: &'a [String],
    /// A number of the request, which spreads equal choices.
    pub draw: u64,
    /// How many engines are compared beside those that keep the prompt's beginning.
    pub compared: usize,
}

/// Engines that all boxes together compare for the requests of one moment. Each box's
/// picture of the others' load is old, and older with more boxes; if all compared all
/// engines, they would all pick the one that looked emptiest.
const COMPARED_BY_ALL: usize = 90;
/// The fewest engines that are compared.
const LEAST_COMPARED: usize = 3;

/// Returns how many engines a box compares, by the number of boxes.
pub fn compared(boxes: usize) -> usize {
    (COMPARED_BY_ALL / boxes.max(1)).max(LEAST_COMPARED)
}

/// A prompt whose beginning other requests share.
#[derive(Debug, Clone, Copy)]
pub struct SharedPrompt<'a> {
    /// What names the shared beginning and the model.
    pub shared: &'a str,
    /// All tokens of the prompt.
    pub tokens: f64,
    /// The tokens of the shared beginning.
    pub shared_tokens: f64,
    /// How much of an engine's time a token takes, against the dearest model.
    pub weight: f64,
}

/// Chooses an upstream among those that may run a request.
pub fn choose(candidates: &[Rc<Upstream>], wish: Wish<'_>, now: Now) -> Option<Rc<Upstream>> {
    let untried: Vec<&Rc<Upstream>> = candidates
        .iter()
        .filter(|upstream| !was_tried(upstream, wish.tried))
        .collect();
    let costs = match wish.prompt {
        Some(prompt) => {
            let keepers = Keepers::among(&untried, prompt);
            let mut costs = engine_costs(&untried, prompt, &keepers, now);
            leave_out_most(&untried, wish, &keepers, &mut costs);
            costs
        }
        None => plain_costs(&untried, wish.hall, now),
    };
    let mut best: Option<(f64, u64, &Rc<Upstream>)> = None;
    for (upstream, cost) in untried.into_iter().zip(costs) {
        let tie = rank(upstream, wish.draw);
        let is_better = best.is_none_or(|(least, least_tie, _)| {
            cost.total_cmp(&least).then(tie.cmp(&least_tie)).is_lt()
        });
        if is_better {
            best = Some((cost, tie, upstream));
        }
    }
    best.map(|(_, _, upstream)| upstream.clone())
}

/// The engines that all boxes expect to keep a prompt's beginning: those that rank first by
/// its hash.
struct Keepers {
    seed: u64,
    last: u64,
}

impl Keepers {
    fn among(candidates: &[&Rc<Upstream>], prompt: SharedPrompt<'_>) -> Self {
        let seed = xxh3_64(prompt.shared.as_bytes());
        let last = nth_rank(candidates, seed, AFFINE_ENGINES);
        Self { seed, last }
    }

    fn contain(&self, upstream: &Upstream) -> bool {
        rank(upstream, self.seed) >= self.last
    }
}

/// Makes all engines but a few, drawn by the request, and those that keep the prompt's
/// beginning, so dear that they are not taken.
fn leave_out_most(
    candidates: &[&Rc<Upstream>],
    wish: Wish<'_>,
    keepers: &Keepers,
    costs: &mut [f64],
) {
    let last_drawn = nth_rank(candidates, wish.draw, wish.compared);
    for (upstream, cost) in candidates.iter().zip(costs) {
        let is_drawn = rank(upstream, wish.draw) >= last_drawn;
        if !is_drawn && !keepers.contain(upstream) {
            *cost += NOT_COMPARED_TOKENS;
        }
    }
}

/// Returns the rank of the engine at a place, counted from one, in the order of a seed.
fn nth_rank(candidates: &[&Rc<Upstream>], seed: u64, place: usize) -> u64 {
    let mut ranks: Vec<u64> = candidates
        .iter()
        .map(|upstream| rank(upstream, seed))
        .collect();
    ranks.sort_unstable_by_key(|rank| std::cmp::Reverse(*rank));
    ranks.get(place.saturating_sub(1)).copied().unwrap_or(0)
}

/// Returns the least weighted tokens that an engine has to read until a prompt's first
/// event; none if there is no engine.
pub fn least_reading(
    candidates: &[Rc<Upstream>],
    prompt: SharedPrompt<'_>,
    now: Now,
) -> Option<f64> {
    let all: Vec<&Rc<Upstream>> = candidates.iter().collect();
    engine_costs(&all, prompt, &Keepers::among(&all, prompt), now)
        .into_iter()
        .min_by(f64::total_cmp)
}

/// Returns what each upstream of a plain service would cost, in parts of its slots.
fn plain_costs(candidates: &[&Rc<Upstream>], hall: &str, now: Now) -> Vec<f64> {
    let cost = |upstream: &&Rc<Upstream>| {
        let is_away = upstream.with_listed(|listed| listed.hall != hall);
        penalty(upstream, now) + if is_away { OTHER_HALL } else { 0.0 }
    };
    candidates.iter().map(cost).collect()
}

/// Returns what each engine would cost: the weighted tokens until the first event.
fn engine_costs(
    candidates: &[&Rc<Upstream>],
    prompt: SharedPrompt<'_>,
    keepers: &Keepers,
    now: Now,
) -> Vec<f64> {
    let cost = |upstream: &&Rc<Upstream>| {
        let (read, anew) = match keepers.contain(upstream) {
            true => (prompt.tokens - prompt.shared_tokens, 0.0),
            false => (prompt.tokens, prompt.shared_tokens * ANEW),
        };
        let fullness = upstream.fullness(now);
        let slots = match fullness < 1.0 {
            true => fullness * SLOTS_TOKENS,
            false => fullness * NO_SLOT_TOKENS,
        };
        let troubles = (penalty(upstream, now) - fullness) * PENALTY_TOKENS;
        upstream.unread(now) + read * prompt.weight + anew + slots + troubles
    };
    candidates.iter().map(cost).collect()
}

/// Returns how little an upstream is wanted, in parts of its slots.
fn penalty(upstream: &Upstream, now: Now) -> f64 {
    let rests = if upstream.rests(now) { RESTING } else { 0.0 };
    upstream.fullness(now) + failure_penalty(upstream, now) + rests
}

fn failure_penalty(upstream: &Upstream, now: Now) -> f64 {
    let rate = upstream.failure_rate(now);
    match rate > TOLERATED_FAILURES {
        true => rate * FAILURE_WEIGHT,
        false => 0.0,
    }
}

fn was_tried(upstream: &Upstream, tried: &[String]) -> bool {
    upstream.with_listed(|listed| tried.contains(&listed.instance))
}

fn rank(upstream: &Upstream, seed: u64) -> u64 {
    upstream.with_listed(|listed| xxh3_64_with_seed(listed.instance.as_bytes(), seed))
}

/// Returns a number that a text always gives, to spread requests evenly.
pub fn draw(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}
