//! Which of a route's models answers, and whether a smaller model's answer will do.
//!
//! The smallest model is asked first. Engines say with the head of an answer how sure they are of it. As long as the caller
//! has none of the answer, it may be dropped and a larger model asked. See
//! `docs/design/platform.md` for the measurements behind the figures.

use std::time::Duration;

/// The least confidence, from 0 to 100, with which a smaller model's answer is passed on, for the
/// most urgent of the routes that choose models and for the least urgent one.
///
/// Operators rank first what matters most to callers for what it costs; there the larger model is
/// worth its price at less doubt.
const ENOUGH_CONFIDENCE_OF_FIRST: f64 = 60.0;
const ENOUGH_CONFIDENCE_OF_LAST: f64 = 46.0;
/// The least confidence with which the next larger model is asked and not the largest.
/// Confidence falls evenly with how far a request is beyond a model, and the next model
/// reaches as far as some sixteen of a hundred further, for half the largest one's price
/// and a quarter of its time.
const NEXT_MODEL_CONFIDENCE: u32 = 36;
/// The same where the largest model would be late.
const NEXT_MODEL_AT_LEAST: u32 = 20;
/// The part of the objective, in hundredths, within which the larger model's first event
/// has to be expected; a late answer earns less than a poor one that cost nothing. What the
/// other boxes send meanwhile is not in the expected time.
const IN_TIME_HUNDREDTHS: u32 = 80;
/// The part of what is left of the objective, in hundredths, that the largest model's
/// prompts waiting ahead may take. It is ten times dearer in time than the smallest; when
/// its prompts fill the engines, every request of every model waits.
const AHEAD_HUNDREDTHS: u32 = 20;

/// What to do with an answer that has just begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer is passed on: the model is sure of it, or there is no larger one.
    PassOn,
    /// The answer is passed on though the model is unsure: no larger one would be in time.
    PassOnUnsure,
    /// The answer is dropped, and the model at this place of the route's list asked.
    AskLarger(usize),
}

/// How long until a model's first event is expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expected {
    /// In all.
    pub total: Duration,
    /// For what waits ahead of this request's own prompt.
    pub ahead: Duration,
}

impl Expected {
    fn is_in_time(self, left: Duration) -> bool {
        let is_total_in_time = self.total < left * IN_TIME_HUNDREDTHS / 100;
        is_total_in_time && self.ahead < left * AHEAD_HUNDREDTHS / 100
    }
}

/// An answer that has just begun.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BegunAnswer {
    /// The place of its model in the route's list.
    pub place: usize,
    /// How sure the model is of it, from 0 to 100, where it says so.
    pub confidence: Option<u32>,
    /// How far down the route's rank is; see
    /// [`RouteTable::relative_rank`](crate::gateway::admit::routes::RouteTable::relative_rank).
    pub rank_part: f64,
}

impl BegunAnswer {
    /// Returns the model's confidence if it does not do for the route.
    fn doubt(self) -> Option<u32> {
        let span = ENOUGH_CONFIDENCE_OF_FIRST - ENOUGH_CONFIDENCE_OF_LAST;
        let enough = ENOUGH_CONFIDENCE_OF_FIRST - span * self.rank_part;
        self.confidence.filter(|sure| f64::from(*sure) < enough)
    }
}

/// Judges an answer that has just begun.
///
/// `expected` tells for each model how long its first event would take, and `left` what
/// is left of the objective. A larger model is asked only if it would be in time.
pub fn judge(answer: BegunAnswer, expected: &[Expected], left: Duration) -> Verdict {
    let place = answer.place;
    let largest = expected.len().saturating_sub(1);
    let Some(confidence) = answer.doubt() else {
        return Verdict::PassOn;
    };
    if place >= largest {
        return Verdict::PassOn;
    }
    let is_in_time = |place: usize| {
        expected
            .get(place)
            .is_some_and(|expected| expected.is_in_time(left))
    };
    let next = place + 1;
    if confidence >= NEXT_MODEL_CONFIDENCE && is_in_time(next) {
        return Verdict::AskLarger(next);
    }
    if is_in_time(largest) {
        return Verdict::AskLarger(largest);
    }
    match confidence >= NEXT_MODEL_AT_LEAST && is_in_time(next) {
        true => Verdict::AskLarger(next),
        false => Verdict::PassOnUnsure,
    }
}
