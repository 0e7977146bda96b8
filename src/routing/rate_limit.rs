//! Keeps requests to an upstream within the rate limit that it states in its responses.

use crate::clock::Now;
use std::time::Duration;

/// How far requests may run ahead of an even pace, so that a limit of many requests per second can
/// be used although requests arrive at random times.
const MAX_LEAD: Duration = Duration::from_millis(250);
/// The longest time between two requests: the response to the next one tells whether the limit is
/// over.
const MAX_SEND_INTERVAL: Duration = Duration::from_secs(10);
/// The highest limit that is told apart from a higher one, in requests per second.
const MAX_LIMIT: f64 = 1e6;

/// What an upstream stated about its rate limit, and when.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitStatement {
    /// Requests per second from all boxes together; none if there is no limit.
    pub limit: Option<f64>,
    /// For a limit the monotonic time at which its response was received. For the end of a limit the
    /// time at which the request was sent, since a response may overtake a later one.
    pub as_of: Duration,
}

impl LimitStatement {
    /// Returns whether it replaces the newest statement known. The lack of a limit is worth knowing
    /// only after a limit.
    pub fn supersedes(&self, known: Option<Self>) -> bool {
        match known {
            Some(known) => self.as_of > known.as_of,
            None => self.limit.is_some(),
        }
    }

    /// Returns what an answer states, of a request that was sent at `sent`.
    pub fn of_answer(limit: Option<f64>, sent: Now, now: Now) -> Self {
        Self {
            limit,
            as_of: limit.map_or(sent.monotonic, |_| now.monotonic),
        }
    }
}

/// The rate limit of one upstream and the pace of the requests to it.
///
/// The pace counts every request of which this box knows as a debt of `1 / limit`, and the next one
/// is due when the debt is paid off (a leaky bucket).
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RateLimiter {
    statement: Option<LimitStatement>,
    due: Duration,
    /// The number of boxes that each use an equal share of the limit without knowing of the others'
    /// requests; 0 or 1 if the requests of all boxes are counted.
    sharing_boxes: u32,
}

impl RateLimiter {
    /// Applies a statement unless a newer one is known; returns whether the limit changed.
    ///
    /// The first request is due after `first_delay` of the interval between two requests, from 0 to
    /// 1, so that boxes which learn of a limit together do not send together.
    pub fn apply(&mut self, statement: LimitStatement, first_delay: f64, now: Now) -> bool {
        if !statement.supersedes(self.statement) {
            return false;
        }
        let old = self.limit();
        self.statement = Some(statement);
        match (old, statement.limit) {
            (Some(old), Some(new)) => self.rescale_debt(old, new, now),
            (None, Some(new)) => {
                self.due = now.monotonic + self.share_interval(new).mul_f64(first_delay);
            }
            (_, None) => {}
        }
        old != statement.limit
    }

    fn rescale_debt(&mut self, old: f64, new: f64, now: Now) {
        let debt = self.due.saturating_sub(now.monotonic);
        let ratio = send_interval(new).div_duration_f64(send_interval(old));
        self.due = now.monotonic + debt.mul_f64(ratio);
    }

    /// Returns the limit in force, in requests per second from all boxes together.
    pub fn limit(&self) -> Option<f64> {
        self.statement.and_then(|statement| statement.limit)
    }

    /// Returns the newest statement; none if the upstream never stated a limit.
    pub fn statement(&self) -> Option<LimitStatement> {
        self.statement
    }

    /// Returns how long to wait before the next request; none if one may be sent now. The request
    /// is due `offset` later than at the limit's pace.
    pub fn send_delay(&self, offset: Duration, now: Now) -> Option<Duration> {
        self.limit()?;
        let delay = (self.due + offset).saturating_sub(now.monotonic + MAX_LEAD);
        (!delay.is_zero()).then_some(delay)
    }

    /// Sets how many boxes each use an equal share of the limit.
    pub fn set_sharing_boxes(&mut self, boxes: u32) {
        self.sharing_boxes = boxes;
    }

    /// Counts a request that is sent now.
    pub fn record_send(&mut self, now: Now) {
        if let Some(limit) = self.limit() {
            self.due = self.due.max(now.monotonic) + self.share_interval(limit);
        }
    }

    /// Returns the time between two requests that are counted here.
    fn share_interval(&self, limit: f64) -> Duration {
        send_interval(limit) * self.sharing_boxes.max(1)
    }
}

/// Returns the time between two requests at an even pace.
pub fn send_interval(limit: f64) -> Duration {
    let min_limit = 1.0 / MAX_SEND_INTERVAL.as_secs_f64();
    Duration::from_secs_f64(1.0 / limit.max(min_limit).min(MAX_LIMIT))
}
