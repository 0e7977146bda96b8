//! What a prompt costs the streams that run beside it.
//!
//! An engine makes no event for its streams while it reads a long prompt. Callers count a stream as
//! late that pauses for longer than its route states. See `docs/design/uneven-engines.md`.

use std::time::Duration;

/// The fraction of the bound from which a pause may turn out too long: estimates of how long an
/// engine reads are off by a factor of two where it slows for a moment.
const SAFE_FRACTION_OF_BOUND: f64 = 0.5;

/// The streams of an engine, and how long they may pause.
#[derive(Debug, Clone, Copy)]
pub struct HeldStreams {
    /// The number of streams.
    pub streams: f64,
    /// The longest pause at which a stream is in time.
    pub max_pause: Duration,
}

impl HeldStreams {
    /// Returns the cost of reading a prompt for this long after reading others, in time: a stream
    /// that pauses for too long counts as late by its bound.
    ///
    /// Only what this prompt adds to the risk counts: streams that others make late anyway are not
    /// charged twice.
    pub fn cost_of(self, others: Duration, prompt: Duration) -> Duration {
        let added = self.risk_of(others.saturating_add(prompt)) - self.risk_of(others);
        let cost = self.streams.max(0.0) * added * self.max_pause.as_secs_f64();
        Duration::try_from_secs_f64(cost).unwrap_or(Duration::MAX)
    }

    /// Returns the probability that a pause expected to last this long exceeds the bound.
    fn risk_of(self, pause: Duration) -> f64 {
        let bound = self.max_pause.as_secs_f64().max(f64::MIN_POSITIVE);
        let fraction = pause.as_secs_f64() / bound;
        ((fraction - SAFE_FRACTION_OF_BOUND) / (1.0 - SAFE_FRACTION_OF_BOUND)).clamp(0.0, 1.0)
    }
}
