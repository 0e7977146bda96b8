//! Tracks whether this box's own calls reach the store.
//!
//! A box that is cut off serves on past the operators' bound, where a connected one must not. A
//! store that answers late is not lost: how long a call may stay unanswered depends on how long
//! answers have taken lately. See `docs/design/spreading.md`.

use crate::clock::Now;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// How long after the store has answered again a box still counts as cut off: it takes a few calls
/// to catch up with what it has missed.
const CATCH_UP_TIME: Duration = Duration::from_millis(500);
/// How long a call may stay unanswered at least until the store counts as lost to this box.
const MIN_SILENCE: Duration = Duration::from_millis(250);
/// How long it may stay unanswered at most: calls end with an error after about this time.
const MAX_SILENCE: Duration = Duration::from_millis(1200);
/// The weights of a new answer in the mean of the answer times and in their deviation, as divisors,
/// and how many deviations above the mean an answer may take. They are those of TCP's
/// retransmission timeout (RFC 6298).
const MEAN_DIVISOR: u32 = 8;
const DEVIATION_DIVISOR: u32 = 4;
const DEVIATIONS: u32 = 4;

/// The latest outcomes of this box's calls to the store.
#[derive(Debug, Default)]
pub struct StoreReach {
    failed_at: Option<Duration>,
    /// The first answer after the latest failure.
    answered_at: Option<Duration>,
    answer_times: AnswerTimes,
    /// How many calls have stayed unanswered for too long, and still do.
    silent_calls: Rc<Cell<u32>>,
}

/// A call that has stayed unanswered for too long, until this is dropped: it may still be answered.
#[derive(Debug)]
pub struct SilentCall(Rc<Cell<u32>>);

impl Drop for SilentCall {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl StoreReach {
    /// Records that a call failed.
    pub fn record_failure(&mut self, now: Now) {
        self.failed_at = Some(now.monotonic);
        self.answered_at = None;
    }

    /// Records that a call was answered.
    pub fn record_answer(&mut self, now: Now) {
        self.answered_at.get_or_insert(now.monotonic);
    }

    /// Records how long the store took to answer a call that asks for little.
    pub fn record_answer_time(&mut self, took: Duration) {
        self.answer_times.record(took);
    }

    /// Returns how long a call may stay unanswered until it counts as silent.
    pub fn silence_limit(&self) -> Duration {
        self.answer_times
            .usual_maximum()
            .clamp(MIN_SILENCE, MAX_SILENCE)
    }

    /// Returns whether answers take so long that a call may stay unanswered for longer than usual.
    pub fn is_slow(&self) -> bool {
        self.answer_times.usual_maximum() > MIN_SILENCE
    }

    /// Records that a call has stayed unanswered for that long.
    pub fn begin_silence(&self) -> SilentCall {
        self.silent_calls.set(self.silent_calls.get() + 1);
        SilentCall(self.silent_calls.clone())
    }

    /// Returns whether a call failed since the box's state was last confirmed to be current. A
    /// failure from before that says nothing of the time since.
    pub fn has_failed_since(&self, confirmed_at: Option<Duration>) -> bool {
        self.failed_at.is_some() && self.failed_at >= confirmed_at
    }

    /// Returns whether the box is cut off from the store, given when its state was last confirmed
    /// to be current.
    pub fn is_lost(&self, confirmed_at: Option<Duration>, now: Now) -> bool {
        let answered_long_ago = self
            .answered_at
            .is_some_and(|at| now.monotonic.saturating_sub(at) >= CATCH_UP_TIME);
        let has_failed = self.has_failed_since(confirmed_at) && !answered_long_ago;
        has_failed || self.silent_calls.get() > 0
    }
}

/// How long the store takes to answer.
#[derive(Debug, Default, Clone, Copy)]
struct AnswerTimes {
    mean: Option<Duration>,
    deviation: Duration,
}

impl AnswerTimes {
    fn record(&mut self, took: Duration) {
        let Some(mean) = self.mean else {
            *self = Self {
                mean: Some(took),
                deviation: took / 2,
            };
            return;
        };
        let difference = mean.abs_diff(took);
        self.deviation =
            self.deviation - self.deviation / DEVIATION_DIVISOR + difference / DEVIATION_DIVISOR;
        self.mean = Some(mean - mean / MEAN_DIVISOR + took / MEAN_DIVISOR);
    }

    /// Returns the time that answers rarely exceed.
    fn usual_maximum(self) -> Duration {
        self.mean.unwrap_or_default() + self.deviation * DEVIATIONS
    }
}
