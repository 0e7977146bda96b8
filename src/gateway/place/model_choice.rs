//! Decides, where load is controlled, whether a larger model is asked instead of passing on a
//! smaller model's answer: by what the caller gains against what the larger model costs and the
//! room that it takes from others.
//!
//! All terms are shares of what a right answer in time is worth to the caller. The weights and what
//! they follow from are in `docs/design/model-choice.md`.

use super::escalation::{EscalationDecision, ExpectedFirstEvent, StartedAnswer};
use super::prefill_rate::FIRST_EVENT_OVERHEAD;
use std::time::Duration;

/// Confidence up to which an answer is as good as none, and from which it is as good as a larger
/// model's.
const WRONG_BELOW_CONFIDENCE_PERCENT: f64 = 25.0;
const RIGHT_ABOVE_CONFIDENCE_PERCENT: f64 = 70.0;
/// What a right answer is worth that comes after the objective: the caller is helped, though not
/// as well.
const LATE_ANSWER_WORTH: f64 = 0.5;
/// What is lost of the worth of a stream that pauses for longer than its route allows: it is right
/// and whole, and began in time.
const PAUSE_LOSS: f64 = 0.25;
/// How steeply the chance of being in time falls with the ratio of the expected time to the time
/// left. One measured first event in ten takes 1.7 times the expected time, since other boxes send
/// in the meantime.
const IN_TIME_STEEPNESS: f64 = 4.0;
/// A larger model is asked only if its first event is expected in this part of the time after which
/// the caller has nothing.
const MAX_PATIENCE_PART: f64 = 0.5;
/// How many requests of the usual size wait at an engine whose queue is as long as the objective.
/// Each of them is delayed by the prefill that is sent there.
const WAITING_PER_OBJECTIVE: f64 = 8.0;
/// The free part of the retry budget below which repeats are kept for answers in more doubt.
const SCARCE_BUDGET_PART: f64 = 0.35;
/// How far scarcity raises the bar. The most doubtful answers are repeated until the budget is
/// spent.
const MAX_SCARCITY: f64 = 0.95;

/// What is expected of one of a route's models.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelOutlook {
    /// The time until its first event.
    pub expected: ExpectedFirstEvent,
    /// Its price as a fraction of the most expensive model's; 1 if unknown.
    pub price_part: f64,
    /// The chance that its answer is good enough, if it is asked instead of the answer that has
    /// begun.
    pub acceptance: f64,
}

/// What a decision depends on, apart from the models.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceSituation {
    /// The answer that has begun.
    pub answer: StartedAnswer,
    /// The route's latency objective.
    pub objective: Duration,
    /// The time left of it.
    pub objective_left: Duration,
    /// The time after which the caller has nothing: the route's timeout and what the caller stated.
    pub patience_left: Duration,
    /// The longest pause of a stream that is in time.
    pub pause_limit: Option<Duration>,
    /// How many more runs the route allows.
    pub runs_left: u32,
    /// The part of the retry budget for larger models that is not spent, from 0 to 1.
    pub free_budget: f64,
}

/// A decision and the reason for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelChoice {
    /// The decision.
    pub decision: EscalationDecision,
    /// What is gained by the best larger model, in shares of a right answer's worth.
    pub gain: f64,
    /// The reason, for logs.
    pub reason: &'static str,
}

/// The terms of what a larger model brings.
#[derive(Debug, Clone, Copy, Default)]
struct Terms {
    index: usize,
    /// What the caller gains, less the model's price.
    gain: f64,
    /// What others lose.
    room: f64,
}

/// Decides whether an answer is accepted or a larger model is asked.
///
/// `models` are the route's, smallest first.
pub fn choose_model(situation: ChoiceSituation, models: &[ModelOutlook]) -> ModelChoice {
    let index = situation.answer.model_index;
    let insufficient = situation.answer.insufficient_confidence();
    let accept = |decision, gain, reason| ModelChoice {
        decision,
        gain,
        reason,
    };
    let Some(confidence) = insufficient.filter(|_| index + 1 < models.len()) else {
        return accept(EscalationDecision::Accept, 0.0, "good enough");
    };
    let unsure = |gain, reason| accept(EscalationDecision::AcceptUnsure, gain, reason);
    if situation.runs_left == 0 {
        return unsure(0.0, "no attempt left");
    }
    let rightness = rightness(f64::from(confidence));
    let scale = Scale::new(situation);
    let terms = (index + 1..models.len()).filter_map(|larger| scale.terms(models, larger));
    let value = |terms: &Terms| terms.gain - terms.room;
    let best = terms
        .clone()
        .max_by(|one, other| value(one).total_cmp(&value(other)));
    let Some(best) = best else {
        return unsure(0.0, "no larger model would come before the deadline");
    };
    let accepted = rightness * scale.on_time_or_late();
    let net = value(&best) - accepted;
    let scarcity = scale.scarcity() * value(&best).max(0.0);
    if net > scarcity {
        return accept(EscalationDecision::Escalate(best.index), net, "gains");
    }
    if net > 0.0 {
        return unsure(net, "few repeats left");
    }
    let mut terms = terms;
    match terms.any(|terms| terms.gain > accepted) {
        true => unsure(net, "engines are busy"),
        false => unsure(net, "no larger model would help enough in time"),
    }
}

/// Returns the chance that an answer is right.
fn rightness(confidence_percent: f64) -> f64 {
    let span = RIGHT_ABOVE_CONFIDENCE_PERCENT - WRONG_BELOW_CONFIDENCE_PERCENT;
    ((confidence_percent - WRONG_BELOW_CONFIDENCE_PERCENT) / span).clamp(0.0, 1.0)
}

/// Returns the chance that a time is within a limit, of which it is expected to be this multiple.
fn chance_in_time(ratio: f64) -> f64 {
    1.0 / (1.0 + ratio.powf(IN_TIME_STEEPNESS))
}

/// What times, prices and room mean for one request.
#[derive(Debug, Clone, Copy)]
struct Scale {
    situation: ChoiceSituation,
    /// What the most expensive model costs: an idle fleet asks it wherever the confidence is under
    /// the route's bar.
    price: f64,
}

impl Scale {
    fn new(situation: ChoiceSituation) -> Self {
        let bar = situation.answer.required_confidence();
        Self {
            situation,
            price: 1.0 - rightness(bar),
        }
    }

    /// Returns what asking a model brings, before what is given up for it; `None` if it would come
    /// too close to the deadline.
    fn terms(&self, models: &[ModelOutlook], index: usize) -> Option<Terms> {
        let model = models.get(index)?;
        if model.expected.total > self.latest_first_event() {
            return None;
        }
        let largest = models.len() - 1;
        let own = self.price * model.price_part;
        let room = self.room(model.expected);
        if index == largest {
            let gain = self.worth_after(model.expected.total) - own;
            return Some(Terms { index, gain, room });
        }
        let acceptance = model.acceptance.clamp(0.0, 1.0);
        let next = self.next_after(models, index);
        let in_time = acceptance * self.worth_after(model.expected.total);
        Some(Terms {
            index,
            gain: in_time + (1.0 - acceptance) * next.gain - own,
            room: room + (1.0 - acceptance) * next.room,
        })
    }

    /// Returns the longest time after which a larger model's first event still helps the caller.
    fn latest_first_event(&self) -> Duration {
        self.situation.patience_left.mul_f64(MAX_PATIENCE_PART)
    }

    /// Returns what the largest model brings after a model whose answer is not good enough either.
    fn next_after(&self, models: &[ModelOutlook], index: usize) -> Terms {
        let (Some(first), Some(largest)) = (models.get(index), models.last()) else {
            return Terms::default();
        };
        if self.situation.runs_left < 2 {
            return Terms::default();
        }
        let total = first.expected.total.saturating_add(largest.expected.total);
        if total > self.latest_first_event() {
            return Terms::default();
        }
        let next = Terms {
            index: models.len() - 1,
            gain: self.worth_after(total) - self.price * largest.price_part,
            room: self.room(largest.expected),
        };
        match next.gain > next.room {
            true => next,
            false => Terms::default(),
        }
    }

    /// Returns the worth of a right answer that begins now.
    fn on_time_or_late(&self) -> f64 {
        match self.situation.objective_left.is_zero() {
            true => LATE_ANSWER_WORTH,
            false => 1.0,
        }
    }

    /// Returns the worth of a right answer that is expected to begin after a time.
    fn worth_after(&self, expected: Duration) -> f64 {
        let left = self.situation.objective_left.as_secs_f64();
        if left == 0.0 {
            return LATE_ANSWER_WORTH;
        }
        let in_time = chance_in_time(expected.as_secs_f64() / left);
        in_time + (1.0 - in_time) * LATE_ANSWER_WORTH
    }

    /// Returns what others lose: those that wait at the engine are delayed by the prefill, and
    /// streams that it runs pause for as long.
    fn room(&self, expected: ExpectedFirstEvent) -> f64 {
        let objective = self
            .situation
            .objective
            .as_secs_f64()
            .max(f64::MIN_POSITIVE);
        let own = expected
            .total
            .saturating_sub(expected.queue_wait + FIRST_EVENT_OVERHEAD);
        let waiting = expected.queue_wait.as_secs_f64() / objective * WAITING_PER_OBJECTIVE;
        let delayed = waiting * own.as_secs_f64() / objective;
        let paused = self.situation.pause_limit.map_or(0.0, |limit| {
            let ratio = own.as_secs_f64() / limit.as_secs_f64().max(f64::MIN_POSITIVE);
            f64::from(expected.running) * (1.0 - chance_in_time(ratio))
        });
        delayed + paused * PAUSE_LOSS
    }

    /// Returns which part of the gain has to be given up for those with more doubt, from 0 to 1.
    fn scarcity(&self) -> f64 {
        let missing = 1.0 - self.situation.free_budget / SCARCE_BUDGET_PART;
        missing.clamp(0.0, MAX_SCARCITY)
    }
}
