//! How long an upstream rests: after failures, and because it asked for it.

use crate::clock::Now;
use std::time::Duration;

/// How many failures in a row make an upstream rest.
const FAILURES_TO_EJECT: u32 = 3;
const FIRST_REST: Duration = Duration::from_millis(500);
const LONGEST_REST: Duration = Duration::from_secs(15);

/// The failures in a row of one upstream, or of one version on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Failures {
    in_a_row: u32,
    rest: Option<Rest>,
}

/// A time in which nothing is sent, in monotonic moments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Rest {
    began: Duration,
    until: Duration,
}

impl Failures {
    /// Records that a request failed which had begun at a moment.
    ///
    /// A request that had begun before the newest rest tells nothing that the rest does not know:
    /// what ran together fails together, and one short fault of a busy upstream would make it rest
    /// as long as many faults in a row.
    pub fn add(&mut self, began: Duration, now: Now) {
        if self.rest.is_some_and(|rest| began < rest.began) {
            return;
        }
        self.in_a_row += 1;
        if let Some(length) = rest_after(self.in_a_row) {
            self.rest = Some(Rest {
                began: now.monotonic,
                until: now.monotonic + length,
            });
        }
    }

    /// Records that a request succeeded: the next failure is the first in a row. A rest goes on,
    /// since the request may have begun before it.
    pub fn end_row(&mut self) {
        self.in_a_row = 0;
    }

    /// Tells whether nothing is to be sent. Once the rest is over, the next request is a probe.
    pub fn rests(&self, now: Now) -> bool {
        self.rest.is_some_and(|rest| now.monotonic < rest.until)
    }
}

/// Returns the length of the rest after so many failures in a row, if there is one.
fn rest_after(failures: u32) -> Option<Duration> {
    const MOST_DOUBLINGS: u32 = 8;
    let doublings = failures.checked_sub(FAILURES_TO_EJECT)?.min(MOST_DOUBLINGS);
    Some((FIRST_REST * 2u32.pow(doublings)).min(LONGEST_REST))
}

/// Requests that an upstream gets at a time after a rest that it asked for, until it has taken one:
/// all that waited for the end of the rest would else come at the same moment.
const REQUESTS_AFTER_REST: u32 = 2;
/// How soon an upstream that has just rested may take more.
const NEXT_AFTER_REST: Duration = Duration::from_millis(150);

/// The rest that an upstream asked this process for, if it did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AskedRest(Option<Duration>);

impl AskedRest {
    /// Records that the upstream wants nothing for so long. Of several rests the one that ends last
    /// holds.
    pub fn ask(&mut self, rest: Duration, now: Now) {
        let until = now.monotonic + rest;
        self.0 = self.0.max(Some(until));
    }

    /// Records that the upstream took a request, which ends the care after its rest.
    pub fn took_request(&mut self, now: Now) {
        if !self.goes_on(now) {
            self.0 = None;
        }
    }

    /// Tells whether the rest goes on.
    pub fn goes_on(self, now: Now) -> bool {
        self.0.is_some_and(|until| now.monotonic < until)
    }

    /// Returns how long the upstream, with so many requests under way, takes no other; none if it
    /// takes one now.
    pub fn left(self, outstanding: u32, now: Now) -> Option<Duration> {
        let left = self.0?.saturating_sub(now.monotonic);
        match left.is_zero() {
            false => Some(left),
            true => (outstanding >= REQUESTS_AFTER_REST).then_some(NEXT_AFTER_REST),
        }
    }
}
