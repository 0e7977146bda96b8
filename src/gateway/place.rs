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

/// The part of its slots up to which an engine gets requests for what it has read. Steps
/// grow slower with each running request, so that above this an emptier engine is faster
/// though it has to read the shared part anew.
const AFFINE_FULLNESS: f64 = 0.45;
/// How many engines share the requests with the same beginning before any other is used.
const AFFINE_ENGINES: usize = 2;
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
    /// What the request shares with others, such as the id of a prompt's beginning.
    pub affinity: Option<&'a str>,
    /// Instances that were tried already.
    pub tried: &'a [String],
    /// A number of the request, which spreads equal choices.
    pub draw: u64,
}

/// Chooses an upstream among those that may run a request.
pub fn choose(candidates: &[Rc<Upstream>], wish: Wish<'_>, now: Now) -> Option<Rc<Upstream>> {
    let untried: Vec<&Rc<Upstream>> = candidates
        .iter()
        .filter(|upstream| !was_tried(upstream, wish.tried))
        .collect();
    if let Some(affinity) = wish.affinity
        && let Some(affine) = affine_choice(&untried, affinity, now)
    {
        return Some(affine);
    }
    let cost = |upstream: &&&Rc<Upstream>| {
        let away = match wish.affinity {
            None if upstream.with_listed(|listed| listed.hall != wish.hall) => OTHER_HALL,
            _ => 0.0,
        };
        penalty(upstream, now) + away
    };
    untried
        .iter()
        .min_by(|a, b| {
            let tie = || rank(a, wish.draw).cmp(&rank(b, wish.draw));
            cost(a).total_cmp(&cost(b)).then_with(tie)
        })
        .map(|upstream| (*upstream).clone())
}

/// Returns the first engine in the order of an affinity that is healthy and not too full.
fn affine_choice(candidates: &[&Rc<Upstream>], affinity: &str, now: Now) -> Option<Rc<Upstream>> {
    let seed = xxh3_64(affinity.as_bytes());
    let mut ranked: Vec<&&Rc<Upstream>> = candidates
        .iter()
        .filter(|upstream| !upstream.rests(now) && failure_penalty(upstream, now) == 0.0)
        .collect();
    ranked.sort_by_cached_key(|upstream| std::cmp::Reverse(rank(upstream, seed)));
    ranked
        .into_iter()
        .take(AFFINE_ENGINES)
        .find(|upstream| upstream.fullness(now) < AFFINE_FULLNESS)
        .map(|upstream| (*upstream).clone())
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
