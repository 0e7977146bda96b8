//! The budget of repeats: how many requests may go to a second upstream.
//!
//! The operators bound the repeats of all boxes together by a part of the requests plus
//! a fixed slack. Each box keeps to the same part of its own requests and to a slack so
//! small that all boxes together stay under the fixed one without talking to each other.

use crate::clock::Now;
use std::collections::VecDeque;
use std::time::Duration;

/// The part of the operators' ratio that a box spends, so that requests which arrive at
/// the edge of a window do not break it.
const SPENT_PART: f64 = 0.85;
/// Repeats that a box may make beyond its ratio in each window. The operators' slack is
/// 54 for 7 boxes and 174 for 67, so that two a box stay under it on each.
const OWN_SLACK: f64 = 2.0;
/// The part of the budget that raising a request to a larger model may use; the rest is
/// kept for failures.
const ESCALATION_PART: f64 = 0.8;

/// Why a request is sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// An upstream failed or refused it.
    Failure,
    /// The answer of a smaller model was not good enough.
    Escalation,
}

/// A box's budget for one service.
#[derive(Debug)]
pub struct RetryWindow {
    ratio: f64,
    window: Duration,
    firsts: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

impl RetryWindow {
    /// Makes a budget by the operators' ratio over their window.
    pub fn new(ratio: f64, window: Duration) -> Self {
        Self {
            ratio,
            window,
            firsts: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn first(&mut self, now: Now) {
        self.forget(now);
        self.firsts.push_back(now.monotonic);
    }

    /// Takes a repeat out of the budget if there is enough left.
    pub fn take(&mut self, repeat: Repeat, now: Now) -> bool {
        let has_room = self.has_room(repeat, now);
        if has_room {
            self.repeats.push_back(now.monotonic);
        }
        has_room
    }

    /// Tells whether a repeat could be taken now.
    pub fn has_room(&mut self, repeat: Repeat, now: Now) -> bool {
        self.forget(now);
        let earned = self.firsts.len() as f64 * self.ratio * SPENT_PART;
        let part = match repeat {
            Repeat::Failure => 1.0,
            Repeat::Escalation => ESCALATION_PART,
        };
        (self.repeats.len() as f64) < earned * part + OWN_SLACK
    }

    fn forget(&mut self, now: Now) {
        let oldest = now.monotonic.saturating_sub(self.window);
        for times in [&mut self.firsts, &mut self.repeats] {
            while times.front().is_some_and(|time| *time < oldest) {
                times.pop_front();
            }
        }
    }
}
