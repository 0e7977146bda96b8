//! The budget of repeats: how many requests may go to a second upstream.
//!
//! The operators bound the repeats of all boxes together by a part of the requests plus
//! a fixed slack. Each box keeps to the same part of its own requests and to its share of the
//! slack, so that all boxes together stay under it without talking to each other.

use crate::clock::Now;
use std::collections::VecDeque;
use std::time::Duration;

/// The part of the operators' ratio that a box spends, so that requests which arrive at
/// the edge of a window do not break it.
const SPENT_PART: f64 = 0.85;
/// The part of the operators' slack that all boxes together spend. The rest is for boxes that
/// start anew and do not know what their last life spent. Where it is not spent, poor answers of
/// small models are passed on for want of a repeat.
const SPENT_SLACK: f64 = 0.7;
/// The most repeats that one box takes of the slack, however few boxes it knows: one that
/// was cut off from the start knows none.
const MOST_OWN_SLACK: f64 = 8.0;
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

/// How many repeats the operators allow all boxes together in each window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// The most repeats, as a part of the requests.
    pub ratio: f64,
    /// Repeats beyond that.
    pub slack: f64,
    /// The time over which repeats are counted.
    pub window: Duration,
}

impl RetryBound {
    /// Returns what one of so many boxes may take of the slack.
    fn own_slack(&self, boxes: usize) -> f64 {
        let share = self.slack * SPENT_SLACK / boxes.max(1) as f64;
        share.min(MOST_OWN_SLACK)
    }
}

/// A box's budget for one service.
#[derive(Debug)]
pub struct RetryWindow {
    bound: RetryBound,
    boxes: usize,
    firsts: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

impl RetryWindow {
    /// Makes an empty budget.
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            boxes: 1,
            firsts: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Takes note of how many boxes share the operators' slack.
    pub fn share_among(&mut self, boxes: usize) {
        self.boxes = boxes;
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
        let earned = self.firsts.len() as f64 * self.bound.ratio * SPENT_PART;
        let part = match repeat {
            Repeat::Failure => 1.0,
            Repeat::Escalation => ESCALATION_PART,
        };
        self.repeats.len() as f64 + 1.0 <= earned * part + self.bound.own_slack(self.boxes)
    }

    fn forget(&mut self, now: Now) {
        let oldest = now.monotonic.saturating_sub(self.bound.window);
        for times in [&mut self.firsts, &mut self.repeats] {
            while times.front().is_some_and(|time| *time < oldest) {
                times.pop_front();
            }
        }
    }
}
