//! How long an upstream rests after failures.

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
