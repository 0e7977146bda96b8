//! Decides whether a smaller model's answer is good enough or a larger model is asked.
//!
//! The smallest model of a route is asked first. Engines report in the head of an answer how
//! confident the model is in it. Until the caller has received any part of the answer, it can be
//! dropped and a larger model asked. The measurements behind the constants are in
//! `docs/design/platform.md`.

use std::time::Duration;

/// Minimum confidence, from 0 to 100, at which a smaller model's answer is accepted: for the most
/// urgent and for the least urgent of the routes that choose a model; interpolated between them.
///
/// Operators rank routes by their value to callers relative to cost, so on the most urgent routes
/// the larger model is worth its price even at less doubt.
const MIN_CONFIDENCE_FIRST_RANK_PERCENT: f64 = 60.0;
const MIN_CONFIDENCE_LAST_RANK_PERCENT: f64 = 46.0;
/// Minimum confidence at which the next larger model is asked rather than the largest. Confidence
/// falls linearly with how far a request exceeds a model's ability; the next model reaches some 16
/// percentage points further, at half of the largest model's price and a quarter of its time.
const NEXT_MODEL_MIN_CONFIDENCE_PERCENT: u32 = 36;
/// The same, if the largest model would be too late.
const NEXT_MODEL_FALLBACK_MIN_CONFIDENCE_PERCENT: u32 = 20;
/// Percentage of the time left of the objective within which the larger model's first event must be
/// expected. A late answer earns less than a poor answer that cost nothing, and the estimate does
/// not include what other boxes send in the meantime.
const IN_TIME_PERCENT: u32 = 80;
/// Percentage of the time left of the objective that queued prompts may take before a larger
/// model's own. The largest model takes ten times as long as the smallest; if its prompts fill the
/// engines, requests of all models wait.
const QUEUE_WAIT_PERCENT: u32 = 20;

/// What to do with an answer whose head has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EscalationDecision {
    /// Pass the answer on: the model is confident, or there is no larger one.
    Accept,
    /// Pass the answer on despite low confidence: no larger model would be in time.
    AcceptUnsure,
    /// Drop the answer and ask the model at this index of the route's list.
    Escalate(usize),
}

/// Expected time until a model's first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedFirstEvent {
    /// The whole time.
    pub total: Duration,
    /// The part of it that is spent on the prompts queued before this one.
    pub queue_wait: Duration,
    /// The number of requests that the engine runs meanwhile.
    pub running: u32,
}

impl ExpectedFirstEvent {
    fn is_in_time(self, time_left: Duration) -> bool {
        let is_total_in_time = self.total < time_left * IN_TIME_PERCENT / 100;
        is_total_in_time && self.queue_wait < time_left * QUEUE_WAIT_PERCENT / 100
    }
}

/// An answer whose head has arrived.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartedAnswer {
    /// Index of its model in the route's list.
    pub model_index: usize,
    /// The model's confidence in the answer, from 0 to 100, if reported.
    pub confidence: Option<u32>,
    /// Rank of the route, from 0 for the most urgent to 1 for the least urgent; see
    /// [`RouteTable::relative_rank`](crate::gateway::admit::routes::RouteTable::relative_rank).
    pub rank_fraction: f64,
}

impl StartedAnswer {
    /// Returns the confidence in percent at which the route accepts an answer.
    pub fn required_confidence(self) -> f64 {
        let span = MIN_CONFIDENCE_FIRST_RANK_PERCENT - MIN_CONFIDENCE_LAST_RANK_PERCENT;
        MIN_CONFIDENCE_FIRST_RANK_PERCENT - span * self.rank_fraction
    }

    /// Returns the model's confidence if it is too low for the route.
    pub fn insufficient_confidence(self) -> Option<u32> {
        let required = self.required_confidence();
        self.confidence
            .filter(|confidence| f64::from(*confidence) < required)
    }
}

/// Decides whether an answer is accepted or a larger model is asked.
///
/// `expected` holds the expected time of the first event for each model, and `time_left` is what is
/// left of the objective. A larger model is asked only if it would be in time.
pub fn judge_answer(
    answer: StartedAnswer,
    expected: &[ExpectedFirstEvent],
    time_left: Duration,
) -> EscalationDecision {
    let index = answer.model_index;
    let largest = expected.len().saturating_sub(1);
    let Some(confidence) = answer.insufficient_confidence() else {
        return EscalationDecision::Accept;
    };
    if index >= largest {
        return EscalationDecision::Accept;
    }
    let is_in_time = |index: usize| {
        expected
            .get(index)
            .is_some_and(|expected| expected.is_in_time(time_left))
    };
    let next = index + 1;
    if confidence >= NEXT_MODEL_MIN_CONFIDENCE_PERCENT && is_in_time(next) {
        return EscalationDecision::Escalate(next);
    }
    if is_in_time(largest) {
        return EscalationDecision::Escalate(largest);
    }
    match confidence >= NEXT_MODEL_FALLBACK_MIN_CONFIDENCE_PERCENT && is_in_time(next) {
        true => EscalationDecision::Escalate(next),
        false => EscalationDecision::AcceptUnsure,
    }
}
