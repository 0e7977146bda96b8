//! Decides whether a request of a service under load is sent, waits in the box, or is refused.
//!
//! A pure function of what is known at the moment; see `docs/design/waiting.md`.

use crate::gateway::place::expected_wait::{ExpectedWait, Queue};
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
/// The uncertainty of the expected wait is at most the latency objective divided by this, so that
/// old reports leave room to be used.
const MAX_UNCERTAINTY_DIVISOR: u32 = 3;
/// What requests leave to others is at most the objective without the time to run divided by this, so
/// that those that yield to two others still find some room besides free slots.
const YIELDED_PARTS: u32 = 6;
/// The longest uncertainty, so that multiples of it do not overflow.
const MAX_UNCERTAINTY: Duration = Duration::from_secs(600);
/// The number of values that are drawn to spread limits.
const DRAWS: u32 = 256;
/// Ends of requests differ from their average by about the time to run divided by this.
const UNCERTAIN_RUN_DIVISOR: u32 = 2;

/// A shortage that has lasted this many times as long as the caller could stay away will hardly end
/// while it does; where others go first, one that has lasted as long.
const HOPELESS_SHORTAGE_RETURNS: u32 = 2;
/// An upstream that uses less than this part of its slots has room to spare for any kind.
const MIN_SPARE_UTILIZATION: f64 = 0.5;

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
    /// The number of boxes that decide by the same reports.
    pub boxes: usize,
    /// How long no upstream has stated a free slot.
    pub shortage: Duration,
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

impl Standing {
    /// Returns whether the request leaves room to others.
    fn yields(self) -> bool {
        self.is_less_urgent || self.is_over_share
    }
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
    let has_room = is_free(expected) || inputs.fits(expected);
    if has_room && !inputs.is_full_everywhere {
        return LoadDecision::Send;
    }
    if inputs.is_kept() {
        return keep(inputs, expected);
    }
    match inputs.wait_for_place(expected) {
        Duration::ZERO => refuse(inputs, expected),
        at_most => LoadDecision::Wait { at_most },
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

/// The request waits until its deadline cannot be met, or room is no longer likely before that: a
/// shortage is expected to last as long again as it has lasted.
fn keep(inputs: &LoadInputs, expected: ExpectedWait) -> LoadDecision {
    if total(expected).saturating_add(DEADLINE_MARGIN) > inputs.deadline_left {
        return LoadDecision::Refuse { come_back: None };
    }
    let latest_start = inputs.latest_start(expected);
    let at_most = match inputs.caller {
        CallerHistory::Returned => latest_start,
        CallerHistory::New | CallerHistory::RepeatsAtOnce => {
            latest_start.saturating_sub(inputs.shortage) / 2
        }
    };
    match at_most.is_zero() {
        true => LoadDecision::Refuse { come_back: None },
        false => LoadDecision::Wait { at_most },
    }
}

/// The caller is asked to come back when the shortage is expected to have ended, unless that is
/// unlikely while it would wait.
fn refuse(inputs: &LoadInputs, expected: ExpectedWait) -> LoadDecision {
    let latest = inputs.latest_return();
    // Shortages are expected to last as long again as they have lasted.
    let hopeless_from = match inputs.standing.yields() {
        true => latest,
        false => latest.saturating_mul(HOPELESS_SHORTAGE_RETURNS),
    };
    let end_of_shortage = match inputs.shortage > hopeless_from {
        true => Duration::MAX,
        false => inputs.shortage.min(latest),
    };
    let earliest = time_until_room(expected, inputs.room_limit())
        .max(end_of_shortage)
        .max(inputs.deadline_left / MIN_RETURN_DIVISOR);
    let come_back = (earliest <= latest).then_some(ReturnWindow { earliest, latest });
    LoadDecision::Refuse { come_back }
}

impl LoadInputs {
    /// Returns the expected wait up to which there is room for the request, if it waits or comes
    /// back.
    pub fn room_limit(&self) -> Duration {
        self.objective.saturating_sub(self.left_to_others())
    }

    /// Returns how few requests at an upstream show that it has room to spare for requests of this
    /// kind: all of them would be sent with one uncertainty more.
    pub fn spare_occupancy(&self, slots: u32) -> f64 {
        let all = Self {
            draw: u8::MAX,
            ..*self
        };
        let run = self
            .expected
            .map_or(Duration::ZERO, |expected| expected.run);
        let queue = all
            .room_limit()
            .saturating_sub(run.saturating_add(self.uncertainty()));
        let others = Queue::new(slots, run).others_at_wait(queue.as_secs_f64());
        others.max(f64::from(slots) * MIN_SPARE_UTILIZATION)
    }

    /// Returns how long the request has been here.
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

    /// Returns by how much the wait may differ from what is expected: at twice the capacity it has
    /// grown by the age of the report, and requests end at random. A box that decides alone knows
    /// what it has sent.
    fn uncertainty(&self) -> Duration {
        let run = self
            .expected
            .map_or(Duration::ZERO, |expected| expected.run);
        let age = self.expected.and_then(|expected| expected.report_age);
        let age = age.unwrap_or_default();
        let others = self.boxes.saturating_sub(1) as f64 / self.boxes.max(1) as f64;
        let longest = (self.objective / MAX_UNCERTAINTY_DIVISOR).min(MAX_UNCERTAINTY);
        age.saturating_add(run / UNCERTAIN_RUN_DIVISOR)
            .min(longest)
            .mul_f64(others)
    }

    /// Returns how much of the time the request leaves to others.
    ///
    /// Room for callers that were told to return, and for what is more urgent, is kept free by one
    /// uncertainty of the wait or two. The limits of the requests are spread over another one: boxes
    /// decide by the same reports, and would otherwise send everything until the next report and
    /// nothing after it.
    fn left_to_others(&self) -> Duration {
        let repeats = self.caller == CallerHistory::RepeatsAtOnce;
        let yields = [
            // Each repeat is another chance.
            repeats,
            repeats,
            self.standing.is_less_urgent,
            self.standing.is_over_share,
        ];
        let yields: u32 = yields.into_iter().map(u32::from).sum();
        let uncertainty = self.uncertainty();
        let kept_free = match self.caller {
            CallerHistory::Returned => uncertainty.saturating_mul(yields.min(1)),
            CallerHistory::New | CallerHistory::RepeatsAtOnce => {
                uncertainty.saturating_add(self.yielded().saturating_mul(2 * yields))
            }
        };
        let drawn = uncertainty / DRAWS * u32::from(self.draw);
        kept_free
            .saturating_add(drawn)
            .saturating_add(uncertainty / 2)
    }

    /// Returns how much a request leaves to those before it: the uncertainty of the wait, as far as
    /// the kinds after it still find some room besides free slots.
    fn yielded(&self) -> Duration {
        let run = self
            .expected
            .map_or(Duration::ZERO, |expected| expected.run);
        self.uncertainty()
            .min(self.objective.saturating_sub(run) / YIELDED_PARTS)
    }

    /// Returns how long a request that could be answered in time waits for a place at upstreams that
    /// are full, while a refusal is still prompt.
    fn wait_for_place(&self, expected: ExpectedWait) -> Duration {
        let prompt = self.objective / PROMPT_REFUSAL_DIVISOR;
        let prompt_left = prompt.saturating_sub(self.elapsed());
        match self.is_full_everywhere && self.fits(expected) {
            true => self
                .limit()
                .saturating_sub(total(expected))
                .min(prompt_left),
            false => Duration::ZERO,
        }
    }

    /// Returns whether the request is expected to be answered in time, or before its deadline if its
    /// caller was told that it would find room.
    fn fits(&self, expected: ExpectedWait) -> bool {
        !self.standing.has_others_ahead && total(expected) <= self.limit()
    }

    /// Returns the expected wait up to which the request is sent.
    fn limit(&self) -> Duration {
        let limit = match self.caller {
            CallerHistory::Returned => self.objective.min(self.deadline_left),
            CallerHistory::New | CallerHistory::RepeatsAtOnce => self.objective_left,
        };
        limit.saturating_sub(self.left_to_others())
    }
}
