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
const USED_RATIO_FRACTION: f64 = 0.85;
/// The part of the operators' slack that all boxes together spend. The rest is for boxes that
/// start anew and do not know what their last life spent. Where it is not spent, poor answers of
/// small models are passed on for want of a repeat.
const USED_SLACK_FRACTION: f64 = 0.7;
/// The most repeats that one box takes of the slack, however few boxes it knows: one that
/// was cut off from the start knows none.
const MAX_OWN_SLACK_RETRIES: f64 = 8.0;
/// The part of the budget that raising a request to a larger model may use; the rest is
/// kept for failures.
const ESCALATION_BUDGET_FRACTION: f64 = 0.8;

/// Why a request is sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
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
        let share = self.slack * USED_SLACK_FRACTION / boxes.max(1) as f64;
        share.min(MAX_OWN_SLACK_RETRIES)
    }
}

/// A box's budget for one service.
#[derive(Debug)]
pub struct RetryWindow {
    bound: RetryBound,
    boxes: usize,
    first_sends: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryWindow {
    /// Makes an empty budget.
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            boxes: 1,
            first_sends: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Takes note of how many boxes share the operators' slack.
    pub fn set_box_count(&mut self, boxes: usize) {
        self.boxes = boxes;
    }

    /// Counts a request that is sent for the first time.
    pub fn record_first(&mut self, now: Now) {
        self.drop_expired(now);
        self.first_sends.push_back(now.monotonic);
    }

    /// Takes a repeat out of the budget if there is enough left.
    pub fn try_spend(&mut self, reason: RetryReason, now: Now) -> bool {
        let has_budget = self.has_budget(reason, now);
        if has_budget {
            self.retries.push_back(now.monotonic);
        }
        has_budget
    }

    /// Tells whether a repeat could be taken now.
    pub fn has_budget(&mut self, reason: RetryReason, now: Now) -> bool {
        self.drop_expired(now);
        let earned = self.first_sends.len() as f64 * self.bound.ratio * USED_RATIO_FRACTION;
        let part = match reason {
            RetryReason::Failure => 1.0,
            RetryReason::Escalation => ESCALATION_BUDGET_FRACTION,
        };
        self.retries.len() as f64 + 1.0 <= earned * part + self.bound.own_slack(self.boxes)
    }

    fn drop_expired(&mut self, now: Now) {
        let oldest = now.monotonic.saturating_sub(self.bound.window);
        for times in [&mut self.first_sends, &mut self.retries] {
            while times.front().is_some_and(|time| *time < oldest) {
                times.pop_front();
            }
        }
    }
}
