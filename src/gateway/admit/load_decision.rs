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
/// New callers leave the latency objective divided by this unused: those who come back find room
/// there, and it covers errors of the estimate.
const SPARED_ROOM_DIVISOR: u32 = 8;
/// The limits of new callers are spread over the latency objective divided by this. Boxes decide
/// by the same reports, some tens of milliseconds old; with one limit for all, they would send
/// everything until the next report and nothing after it.
const SPREAD_DIVISOR: u32 = 4;
/// Requests that yield to others leave this many eighths of the latency objective unused: the limits
/// of new callers that do not yield lie within as much.
const YIELDED_ROOM_EIGHTHS: u32 = 3;

/// A report older than this is no reason to refuse a request, nor one older than the expected wait:
/// what was there then has been served.
const MAX_TRUSTED_REPORT_AGE: Duration = Duration::from_secs(1);
/// Slots are free where the expected queue is shorter than the time to run divided by this.
const FREE_SLOTS_DIVISOR: u32 = 8;

/// What the decision on a request depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadInputs {
    /// The shortest expected wait among the upstreams that may be tried; `None` if there is none.
    pub expected: Option<ExpectedWait>,
    /// Whether all upstreams are full, by what they stated or because they rejected the request, so
    /// that it can only wait for room.
    pub is_full_everywhere: bool,
    /// The route's latency objective.
    pub objective: Duration,
    /// The time left until the objective is missed.
    pub objective_left: Duration,
    /// The time left until the caller's deadline.
    pub deadline_left: Duration,
    /// Whether the caller was refused before.
    pub caller: CallerHistory,
    /// A number that is drawn once for all sends of the request. It spreads the limits of requests,
    /// so that boxes that see the same room do not all take it.
    pub draw: u8,
    /// How the request compares with others for the same room.
    pub standing: Standing,
}

/// Whether a caller was refused before, by the time that it has used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CallerHistory {
    /// It sends the request for the first time, as far as is known.
    #[default]
    New,
    /// It repeats the request at once, which must not gain it anything.
    RepeatsAtOnce,
    /// It has returned some time after a refusal.
    Returned,
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
    if inputs.is_full_everywhere {
        return decide_where_full(inputs, expected);
    }
    if is_free(expected) || inputs.fits_objective(expected) {
        return LoadDecision::Send;
    }
    match inputs.is_kept() {
        true => keep(inputs, expected),
        false => refuse(inputs, expected),
    }
}

/// Returns whether a report is recent enough to show how full an upstream is.
pub fn is_recent(expected: ExpectedWait) -> bool {
    let longest = MAX_TRUSTED_REPORT_AGE.min(total(expected));
    expected.report_age.is_some_and(|age| age <= longest)
}

/// Returns whether slots are free, or nothing recent is known.
fn is_free(expected: ExpectedWait) -> bool {
    !is_recent(expected) || expected.queue <= expected.run / FREE_SLOTS_DIVISOR
}

/// Returns how long it takes until the expected wait fits a limit, if no other request takes the
/// room.
pub fn time_until_room(expected: ExpectedWait, limit: Duration) -> Duration {
    match is_free(expected) {
        true => Duration::ZERO,
        false => total(expected).saturating_sub(limit).min(expected.queue),
    }
}

fn total(expected: ExpectedWait) -> Duration {
    expected.queue.saturating_add(expected.run)
}

fn decide_where_full(inputs: &LoadInputs, expected: ExpectedWait) -> LoadDecision {
    if inputs.is_kept() {
        let at_most = inputs.latest_start(expected);
        return match at_most.is_zero() {
            true => LoadDecision::Refuse { come_back: None },
            false => LoadDecision::Wait { at_most },
        };
    }
    let short_wait = inputs.objective / SHORT_WAIT_DIVISOR;
    let at_most = short_wait.saturating_sub(inputs.elapsed());
    match at_most.is_zero() || !time_until_room(expected, inputs.room_limit()).is_zero() {
        true => refuse(inputs, expected),
        false => LoadDecision::Wait { at_most },
    }
}

/// The request stays until its deadline cannot be met; it is offered to an upstream before its
/// objective is missed in any case.
fn keep(inputs: &LoadInputs, expected: ExpectedWait) -> LoadDecision {
    if total(expected).saturating_add(DEADLINE_MARGIN) > inputs.deadline_left {
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
    let earliest = time_until_room(expected, inputs.room_limit())
        .max(inputs.deadline_left / MIN_RETURN_DIVISOR);
    let latest = inputs.latest_return();
    let come_back = (earliest <= latest).then_some(ReturnWindow { earliest, latest });
    LoadDecision::Refuse { come_back }
}

impl LoadInputs {
    /// Returns the expected wait up to which there is room for the request, if it waits or comes
    /// back.
    pub fn room_limit(&self) -> Duration {
        self.usable(self.objective)
    }

    fn elapsed(&self) -> Duration {
        self.objective.saturating_sub(self.objective_left)
    }

    /// Returns whether a refusal would help the caller less than waiting: it has returned already,
    /// the refusal would come late, or its deadline leaves no time to return.
    fn is_kept(&self) -> bool {
        let is_prompt = self.elapsed() <= self.objective / PROMPT_REFUSAL_DIVISOR;
        let can_return = self.deadline_left / 2 >= self.objective;
        self.caller == CallerHistory::Returned || !is_prompt || !can_return
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
        let yields = [
            self.standing.is_less_urgent,
            self.standing.is_over_share,
            self.caller == CallerHistory::RepeatsAtOnce,
        ];
        let yields: u32 = yields.into_iter().map(u32::from).sum();
        let spared = self.objective / SPARED_ROOM_DIVISOR;
        let (unused, spread) = match self.caller {
            CallerHistory::Returned => (Duration::ZERO, spared),
            CallerHistory::New | CallerHistory::RepeatsAtOnce => {
                (spared, self.objective / SPREAD_DIVISOR)
            }
        };
        let drawn = spread / (u32::from(u8::MAX) + 1) * u32::from(self.draw);
        let yielded = self.objective / 8 * YIELDED_ROOM_EIGHTHS * yields;
        objective.saturating_sub(unused.saturating_add(drawn).saturating_add(yielded))
    }

    fn fits_objective(&self, expected: ExpectedWait) -> bool {
        !self.standing.has_others_ahead && total(expected) <= self.usable(self.objective_left)
    }
}
