//! When no request is sent to an upstream: ejection after failures, and backoff on its request.

use crate::clock::Now;
use std::time::Duration;

/// Number of consecutive failures that eject an upstream.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);
const MAX_EJECTION_TIME: Duration = Duration::from_secs(15);

/// Consecutive failures of an upstream or of one version on it, and the ejection they caused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FailureStreak {
    consecutive: u32,
    ejection: Option<Ejection>,
}

/// Period in which no request is sent, in monotonic time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Ejection {
    began: Duration,
    until: Duration,
}

impl FailureStreak {
    /// Records a failed request that began at the given monotonic time.
    ///
    /// A request that began before the newest ejection is not counted: concurrent requests fail
    /// together, and one short fault of a busy upstream would eject it for as long as many
    /// consecutive faults.
    pub fn record_failure(&mut self, began: Duration, now: Now) {
        if self.ejection.is_some_and(|ejection| began < ejection.began) {
            return;
        }
        self.consecutive += 1;
        if let Some(length) = ejection_time(self.consecutive) {
            self.ejection = Some(Ejection {
                began: now.monotonic,
                until: now.monotonic + length,
            });
        }
    }

    /// Records a successful request, which ends the row of failures. A current ejection continues,
    /// because the request may have begun before it.
    pub fn record_success(&mut self) {
        self.consecutive = 0;
    }

    /// Returns whether no request may be sent. After an ejection the next request is a probe.
    pub fn is_ejected(&self, now: Now) -> bool {
        self.ejection
            .is_some_and(|ejection| now.monotonic < ejection.until)
    }
}

/// Returns how long the given number of consecutive failures ejects an upstream, if it does.
fn ejection_time(failures: u32) -> Option<Duration> {
    const MAX_DOUBLINGS: u32 = 8;
    let doublings = failures
        .checked_sub(CONSECUTIVE_FAILURES_TO_EJECT)?
        .min(MAX_DOUBLINGS);
    Some((BASE_EJECTION_TIME * 2u32.pow(doublings)).min(MAX_EJECTION_TIME))
}

/// Maximum number of outstanding requests after a backoff until the upstream has accepted one;
/// otherwise all requests that waited for the end of the backoff would be sent at once.
const MAX_REQUESTS_AFTER_BACKOFF: u32 = 2;
/// Remaining backoff that is reported while the requests after a backoff are outstanding.
const RECHECK_AFTER_BACKOFF: Duration = Duration::from_millis(150);

/// Backoff that an upstream requested from this process: its end in monotonic time, if any.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RequestedBackoff(Option<Duration>);

impl RequestedBackoff {
    /// Records that the upstream requested a backoff. Of several backoffs the one that ends last
    /// applies.
    pub fn extend(&mut self, backoff: Duration, now: Now) {
        let until = now.monotonic + backoff;
        self.0 = self.0.max(Some(until));
    }

    /// Records that the upstream accepted a request, which lifts the limit after a backoff.
    pub fn record_accepted(&mut self, now: Now) {
        if !self.is_active(now) {
            self.0 = None;
        }
    }

    /// Returns whether the backoff has not ended yet.
    pub fn is_active(self, now: Now) -> bool {
        self.0.is_some_and(|until| now.monotonic < until)
    }

    /// Returns how long no request may be sent to the upstream with the given number of outstanding
    /// requests; none if one may be sent now.
    pub fn remaining(self, outstanding: u32, now: Now) -> Option<Duration> {
        let left = self.0?.saturating_sub(now.monotonic);
        match left.is_zero() {
            false => Some(left),
            true => (outstanding >= MAX_REQUESTS_AFTER_BACKOFF).then_some(RECHECK_AFTER_BACKOFF),
        }
    }
}
