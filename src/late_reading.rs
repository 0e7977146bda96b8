//! Bounds what is read of an answer after its request's deadline.
//!
//! Both data paths use it. An upstream stops at the deadline. What arrives later was sent before and
//! has waited in buffers for a caller that reads slowly, so it is delivered; an upstream that still
//! sends is cut off.

use std::time::Duration;

/// How long a box waits for an upstream after the deadline in all: what was sent before is there.
const MAX_LATE_WAIT: Duration = Duration::from_millis(250);
/// The most bytes that are read after the deadline: more than the buffers of a connection hold.
const MAX_LATE_BYTES: u64 = 1024 * 1024;
/// The longest body that is read whole after the deadline because the upstream has stated its
/// length.
const MAX_STATED_BYTES: u64 = 16 * 1024 * 1024;

/// What was read of an answer after the deadline of its request.
#[derive(Debug, Clone, Copy)]
pub struct LateReading {
    waited: Duration,
    bytes_left: u64,
}

impl LateReading {
    /// Begins with an answer whose length the upstream may have stated.
    pub fn new(stated_bytes: Option<u64>) -> Self {
        let stated = stated_bytes.filter(|bytes| *bytes <= MAX_STATED_BYTES);
        Self {
            waited: Duration::ZERO,
            bytes_left: stated.unwrap_or_default().max(MAX_LATE_BYTES),
        }
    }

    /// Returns how long to wait for the next bytes, given the time left until the deadline; none if
    /// the answer has to end.
    pub fn longest_wait(&self, time_left: Duration) -> Option<Duration> {
        if self.bytes_left == 0 || self.waited >= MAX_LATE_WAIT {
            return None;
        }
        Some(time_left + (MAX_LATE_WAIT - self.waited))
    }

    /// Records bytes that arrived after a wait, given the time that was left when it began.
    pub fn record(&mut self, bytes: usize, waited: Duration, time_left: Duration) {
        self.waited += waited.saturating_sub(time_left);
        if waited >= time_left {
            let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
            self.bytes_left = self.bytes_left.saturating_sub(bytes);
        }
    }
}
