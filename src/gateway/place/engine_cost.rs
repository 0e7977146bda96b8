//! What it costs to send a prompt to an engine: one sum in one unit, milliseconds of an
//! engine's time.
//!
//! Reading prompts fills engines before anything else does, so what a request costs others
//! counts in the time that it keeps an engine from reading theirs; what is priced otherwise
//! is weighed against that. See `docs/design/platform.md`.

use super::choose::Wish;
use super::keepers::{Keepers, Spread, rank};
use crate::clock::Now;
use crate::gateway::attempt::upstream::Upstream;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Milliseconds that reading a token of a shared part anew counts for beyond the time it
/// takes, whatever the model: it is priced by token, and it drives out what the engine kept.
/// A shared part of 5,400 tokens is worth a wait of 0.3 s.
const ANEW_MS: f64 = 0.055;
/// Milliseconds that fetching a token of a shared part from the engine that keeps it counts
/// for. The fetch itself takes some milliseconds in all, but what is moved is priced.
///
/// Fetching makes engines equal for a shared part, so that the idle one can be taken: callers
/// wait less, and more of them get answers of the large model.
const FETCHED_MS: f64 = 0.045;
/// Milliseconds that each kilobyte of a request counts for which leaves the hall.
///
/// Bytes between halls are priced; models that read fast keep beginnings in each hall, so that
/// their requests need not leave it.
const AWAY_MS: f64 = 14.0;
/// Milliseconds that an engine's slots count for when they are full. An engine slows down
/// little with the number of its requests, so this matters only near the last slots.
const SLOTS_MS: f64 = 220.0;
/// Milliseconds that a request out of slots waits for at least: an engine that has none free
/// is taken only when all others are worse.
const NO_SLOT_MS: f64 = 11_000.0;
/// Milliseconds by which an engine that is not compared looks dearer: it is taken only when
/// all that are compared rest, fail or are full.
const NOT_COMPARED_MS: f64 = 5_500.0;
/// Milliseconds that one unit of penalty for failures and rest counts for.
const PENALTY_MS: f64 = 1_100.0;
/// The bytes of a kilobyte.
const KILOBYTE: f64 = 1000.0;

/// A prompt whose beginning other requests share.
#[derive(Debug, Clone, Copy)]
pub struct SharedPrompt<'a> {
    /// What names the shared beginning and the model.
    pub shared: &'a str,
    /// How many engines are expected to keep that beginning.
    pub spread: Spread,
    /// How long an engine that has kept nothing of it reads the prompt.
    pub whole: Duration,
    /// How long an engine that has kept the shared beginning reads the rest.
    pub rest: Duration,
    /// The tokens of the shared beginning.
    pub shared_tokens: f64,
    /// The bytes of the request.
    pub bytes: usize,
}

impl SharedPrompt<'_> {
    /// Returns what fetching the shared beginning costs, if that is less than the time that
    /// reading it takes.
    fn fetching(&self) -> Option<f64> {
        let fetching = self.shared_tokens * FETCHED_MS;
        let saved = millis(self.whole.saturating_sub(self.rest));
        (fetching < saved).then_some(fetching)
    }
}

/// How an engine comes by the shared beginning of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Beginning {
    /// It is expected to have kept it.
    Kept,
    /// It fetches it from the engine at this address, which is expected to have kept it.
    Fetched(SocketAddr),
    /// It reads it.
    Read,
}

impl Beginning {
    /// Returns the name that logs give it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Kept => "kept",
            Self::Fetched(_) => "fetched",
            Self::Read => "read",
        }
    }
}

/// What a request costs and finds at an upstream.
#[derive(Debug, Clone, Copy)]
pub struct PlaceCost {
    /// The sum by which upstreams are compared: in milliseconds of an engine, or in parts of
    /// a plain upstream's slots.
    pub cost: f64,
    /// How long the engine reads what other requests have sent.
    pub ahead: Duration,
    /// How long it then reads this prompt.
    pub reading: Duration,
    /// How it comes by the shared beginning.
    pub beginning: Beginning,
}

/// Returns what a prompt would cost at each engine.
///
/// All engines but a few, drawn by the request, and those that keep the prompt's beginning,
/// are so dear that they are not taken.
pub fn engine_costs(
    candidates: &[&Rc<Upstream>],
    wish: Wish<'_>,
    prompt: SharedPrompt<'_>,
    now: Now,
) -> Vec<PlaceCost> {
    let keepers = Keepers::among(candidates, prompt.shared, prompt.spread);
    let givers = givers(candidates, &keepers, prompt, now);
    let last_drawn = nth_rank(candidates, wish.draw, wish.compared);
    let cost = |upstream: &&Rc<Upstream>| {
        let beginning = beginning(&keepers, &givers, upstream);
        let is_drawn = rank(upstream, wish.draw) >= last_drawn;
        let is_compared = is_drawn || beginning == Beginning::Kept;
        let mut found = engine_cost(upstream, wish.hall, prompt, beginning, now);
        if !is_compared {
            found.cost += NOT_COMPARED_MS;
        }
        found
    };
    candidates.iter().map(cost).collect()
}

/// Returns the engines from which others may fetch a prompt's shared beginning: none where
/// fetching does not pay.
fn givers<'a>(
    candidates: &[&'a Rc<Upstream>],
    keepers: &Keepers,
    prompt: SharedPrompt<'_>,
    now: Now,
) -> Vec<&'a Rc<Upstream>> {
    if prompt.fetching().is_none() {
        return Vec::new();
    }
    let can_give = |upstream: &&Rc<Upstream>| keepers.contain(upstream) && !upstream.rests(now);
    candidates.iter().copied().filter(can_give).collect()
}

/// Tells how an engine would come by a prompt's shared beginning.
fn beginning(keepers: &Keepers, givers: &[&Rc<Upstream>], upstream: &Upstream) -> Beginning {
    if keepers.contain(upstream) {
        return Beginning::Kept;
    }
    let has_same_weights = |giver: &&&Rc<Upstream>| {
        upstream.with_listed(|own| giver.with_listed(|listed| listed.version == own.version))
    };
    match givers.iter().find(has_same_weights) {
        Some(giver) => Beginning::Fetched(giver.with_listed(|listed| listed.address)),
        None => Beginning::Read,
    }
}

fn engine_cost(
    upstream: &Rc<Upstream>,
    hall: &str,
    prompt: SharedPrompt<'_>,
    beginning: Beginning,
    now: Now,
) -> PlaceCost {
    let (reading, getting) = match beginning {
        Beginning::Kept => (prompt.rest, 0.0),
        Beginning::Fetched(_) => (prompt.rest, prompt.fetching().unwrap_or_default()),
        Beginning::Read => (prompt.whole, prompt.shared_tokens * ANEW_MS),
    };
    let is_away = upstream.with_listed(|listed| listed.hall != hall);
    let away = match is_away {
        true => prompt.bytes as f64 / KILOBYTE * AWAY_MS,
        false => 0.0,
    };
    let fullness = upstream.fullness(now);
    let slots = match fullness < 1.0 {
        true => fullness * SLOTS_MS,
        false => fullness * NO_SLOT_MS,
    };
    let troubles = (upstream.penalty(now) - fullness) * PENALTY_MS;
    let ahead = upstream.unread(now);
    PlaceCost {
        cost: millis(ahead) + millis(reading) + getting + away + slots + troubles,
        ahead,
        reading,
        beginning,
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

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
