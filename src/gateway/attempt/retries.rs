//! The retry budget: how many requests may be sent to a second upstream.
//!
//! The operators limit the retries of all boxes together to a ratio of the requests plus a fixed
//! slack. Each box applies the ratio to its own requests and uses its share of the slack, so that
//! all boxes together stay within the limit without coordination.

use crate::clock::Now;
use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the operators' ratio that a box uses, so that requests at the edges of a window do
/// not exceed the limit.
const USED_RATIO_FRACTION: f64 = 0.85;
/// Fraction of the operators' slack that all boxes together use. The rest is for boxes that restart
/// and do not know what they spent before. With less, poor answers of small models are passed on
/// for lack of a retry.
const USED_SLACK_FRACTION: f64 = 0.7;
/// Maximum number of retries that one box takes from the slack, however few boxes it knows of: a
/// box that is cut off from its start on knows of no other.
const MAX_OWN_SLACK_RETRIES: f64 = 8.0;
/// Fraction of the budget available for escalation to a larger model; the rest is reserved for
/// failures.
const ESCALATION_BUDGET_FRACTION: f64 = 0.8;

/// Why a request is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// An upstream failed or refused the request.
    Failure,
    /// The answer of a smaller model was not good enough.
    Escalation,
}

/// The operators' limit on the retries of all boxes together, within any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Maximum retries as a ratio of the requests.
    pub ratio: f64,
    /// Additional retries beyond the ratio.
    pub slack: f64,
    /// The time over which retries are counted.
    pub window: Duration,
}

impl RetryBound {
    /// Returns one box's share of the slack, given the number of boxes.
    fn own_slack(&self, boxes: usize) -> f64 {
        let share = self.slack * USED_SLACK_FRACTION / boxes.max(1) as f64;
        share.min(MAX_OWN_SLACK_RETRIES)
    }
}

/// The retry budget of one box for one service, over a sliding window.
#[derive(Debug)]
pub struct RetryWindow {
    bound: RetryBound,
    boxes: usize,
    first_sends: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryWindow {
    /// Creates a budget of which nothing is spent.
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            boxes: 1,
            first_sends: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Sets the number of boxes that share the operators' slack.
    pub fn set_box_count(&mut self, boxes: usize) {
        self.boxes = boxes;
    }

    /// Counts the first send of a request.
    pub fn record_first(&mut self, now: Now) {
        self.drop_expired(now);
        self.first_sends.push_back(now.monotonic);
    }

    /// Spends one retry if the budget allows it.
    pub fn try_spend(&mut self, reason: RetryReason, now: Now) -> bool {
        let has_budget = self.has_budget(reason, now);
        if has_budget {
            self.retries.push_back(now.monotonic);
        }
        has_budget
    }

    /// Takes back a retry that was spent at a time but never sent.
    pub fn take_back(&mut self, spent_at: Duration) {
        let spent = self.retries.iter().rposition(|time| *time == spent_at);
        if let Some(index) = spent {
            self.retries.remove(index);
        }
    }

    /// Returns whether the budget allows a retry now.
    pub fn has_budget(&mut self, reason: RetryReason, now: Now) -> bool {
        let allowed = self.allowed(reason, now);
        self.retries.len() as f64 + 1.0 <= allowed
    }

    /// Returns which part of the budget is not spent, from 0 to 1.
    pub fn free_part(&mut self, reason: RetryReason, now: Now) -> f64 {
        let allowed = self.allowed(reason, now).max(f64::MIN_POSITIVE);
        (1.0 - self.retries.len() as f64 / allowed).clamp(0.0, 1.0)
    }

    /// Returns how many retries the budget allows within the window that ends now.
    fn allowed(&mut self, reason: RetryReason, now: Now) -> f64 {
        self.drop_expired(now);
        let earned = self.first_sends.len() as f64 * self.bound.ratio * USED_RATIO_FRACTION;
        let fraction = match reason {
            RetryReason::Failure => 1.0,
            RetryReason::Escalation => ESCALATION_BUDGET_FRACTION,
        };
        earned * fraction + self.bound.own_slack(self.boxes)
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
