//! Decides whether a request of a service under load is sent, waits in the box, or is refused.
//!
//! A pure function of what is known at the moment; see `docs/design/waiting.md`.

use crate::gateway::place::expected_wait::ExpectedWait;
use std::time::Duration;

/// An upstream needs this long to let its answer through before the deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(30);
/// Callers honour a `Retry-After` of at most their remaining time divided by this.
const RETURN_DIVISOR: u32 = 3;
/// A caller is asked to come back no sooner than its remaining time divided by this, so that its
/// next send is recognised as a return by the time that it has used.
const MIN_RETURN_DIVISOR: u32 = 12;
/// A refusal within the latency objective divided by this leaves the caller time to return.
const PROMPT_REFUSAL_DIVISOR: u32 = 4;
/// A request that was not kept may be held for the latency objective divided by this.
const SHORT_WAIT_DIVISOR: u32 = 8;
/// Requests that yield to others leave the latency objective divided by this unused.
const YIELDED_ROOM_DIVISOR: u32 = 4;

/// What the decision on a request depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadInputs {
    /// The shortest expected wait among the upstreams that may be tried; `None` if there is none.
    pub expected: Option<ExpectedWait>,
    /// Whether all upstreams have rejected the request, so that it can only wait for room.
    pub was_rejected_everywhere: bool,
    /// The route's latency objective.
    pub objective: Duration,
    /// The time left until the objective is missed.
    pub objective_left: Duration,
    /// The time left until the caller's deadline.
    pub deadline_left: Duration,
    /// Whether the caller was refused before and has returned.
    pub came_back: bool,
    /// How the request compares with others for the same room.
    pub standing: Standing,
}

/// How a request compares with others for the same room.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standing {
    /// Requests of a more urgent kind use the service at the moment.
    pub is_less_urgent: bool,
    /// Its organisation has more than its share of what is served.
    pub is_over_share: bool,
    /// A request that goes before it waits in this box.
    pub has_others_ahead: bool,
}

/// The decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadDecision {
    /// It is sent to an upstream.
    Send,
    /// It waits for room in this box, and is decided on again after at most this long.
    Wait {
        /// The longest wait from now on.
        at_most: Duration,
    },
    /// It is refused.
    Refuse {
        /// When the caller should come back; `None` if that would be in vain.
        come_back: Option<ReturnWindow>,
    },
}

/// The times after which a refused caller may come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnWindow {
    /// When room is expected at the earliest.
    pub earliest: Duration,
    /// The longest time for which the caller would wait.
    pub latest: Duration,
}

/// Decides on a request.
pub fn decide(inputs: &LoadInputs) -> LoadDecision {
    let Some(expected) = inputs.expected else {
        // The attempt itself finds out why there is no upstream.
        return LoadDecision::Send;
    };
    if inputs.was_rejected_everywhere {
        return decide_after_rejections(inputs, expected);
    }
    let is_unknown = expected.report_age.is_none();
    if is_unknown || expected.queue.is_zero() || inputs.fits_objective(expected) {
        return LoadDecision::Send;
    }
    match inputs.is_kept() {
        true => keep(inputs, expected),
        false => refuse(inputs, expected),
    }
}

/// Returns whether upstreams have room for a request that waits: later ones would be rejected, or
/// miss their objective.
pub fn has_room(expected: ExpectedWait, objective: Duration) -> bool {
    time_until_room(expected, objective).is_zero()
}

/// Returns how long it takes until there is room for a request that waits, if no other takes it.
pub fn time_until_room(expected: ExpectedWait, objective: Duration) -> Duration {
    match expected.report_age {
        None => Duration::ZERO,
        Some(_) => expected.total().saturating_sub(objective).min(expected.queue),
    }
}

/// All upstreams have rejected the request although there seemed to be room.
fn decide_after_rejections(inputs: &LoadInputs, expected: ExpectedWait) -> LoadDecision {
    if inputs.is_kept() {
        let at_most = inputs.latest_start(expected);
        return match at_most.is_zero() {
            true => LoadDecision::Refuse { come_back: None },
            false => LoadDecision::Wait { at_most },
        };
    }
    let short_wait = inputs.objective / SHORT_WAIT_DIVISOR;
    let at_most = short_wait.saturating_sub(inputs.elapsed());
    match at_most.is_zero() || !has_room(expected, inputs.objective) {
        true => refuse(inputs, expected),
        false => LoadDecision::Wait { at_most },
    }
}

/// The request stays until its deadline cannot be met; it is offered to an upstream before its
/// objective is missed in any case.
fn keep(inputs: &LoadInputs, expected: ExpectedWait) -> LoadDecision {
    if expected.total() + DEADLINE_MARGIN > inputs.deadline_left {
        return LoadDecision::Refuse { come_back: None };
    }
    let offer_in = inputs.objective_left.saturating_sub(expected.run);
    let at_most = offer_in.min(inputs.latest_start(expected));
    match at_most.is_zero() {
        true => LoadDecision::Send,
        false => LoadDecision::Wait { at_most },
    }
}

fn refuse(inputs: &LoadInputs, expected: ExpectedWait) -> LoadDecision {
    let earliest = time_until_room(expected, inputs.usable(inputs.objective))
        .max(inputs.deadline_left / MIN_RETURN_DIVISOR);
    let latest = inputs.latest_return();
    let come_back = (earliest <= latest).then_some(ReturnWindow { earliest, latest });
    LoadDecision::Refuse { come_back }
}

impl LoadInputs {
    fn elapsed(&self) -> Duration {
        self.objective.saturating_sub(self.objective_left)
    }

    /// Returns whether a refusal would help the caller less than waiting: it has returned already,
    /// the refusal would come late, or its deadline leaves no time to return.
    fn is_kept(&self) -> bool {
        let is_prompt = self.elapsed() <= self.objective / PROMPT_REFUSAL_DIVISOR;
        let can_return = self.latest_return() >= self.deadline_left / MIN_RETURN_DIVISOR;
        self.came_back || !is_prompt || !can_return
    }

    /// Returns the longest time after which the caller can come back and still be served within
    /// the objective.
    fn latest_return(&self) -> Duration {
        let left_for_return = self.deadline_left.saturating_sub(self.objective);
        left_for_return.min(self.deadline_left / RETURN_DIVISOR)
    }

    fn latest_start(&self, expected: ExpectedWait) -> Duration {
        self.deadline_left
            .saturating_sub(expected.run.saturating_add(DEADLINE_MARGIN))
    }

    /// Returns the part of an objective that the request may use.
    fn usable(&self, objective: Duration) -> Duration {
        let yields = u32::from(self.standing.is_less_urgent && !self.came_back)
            + u32::from(self.standing.is_over_share);
        objective.saturating_sub(self.objective / YIELDED_ROOM_DIVISOR * yields)
    }

    fn fits_objective(&self, expected: ExpectedWait) -> bool {
        !self.standing.has_others_ahead && expected.total() <= self.usable(self.objective_left)
    }
}
