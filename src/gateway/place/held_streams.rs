//! What a prompt costs the streams that run beside it.
//!
//! An engine makes no event for its streams while it reads a long prompt. Callers count a stream as
//! late that pauses for longer than its route states. See `docs/design/uneven-engines.md`.

use std::time::Duration;

/// Power of the expected pause over its bound by which the odds of exceeding the bound grow: an
/// engine that slows for a moment, or has more to read than is known, takes twice the expected time
/// once in some fifteen times.
const ODDS_POWER: i32 = 4;

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
    /// Behind others, a prompt costs what it adds to their risk, but not less than alone: streams
    /// begin between the prompts.
    pub fn cost_of(self, others: Duration, prompt: Duration) -> Duration {
        let added = self.risk_of(others.saturating_add(prompt)) - self.risk_of(others);
        let risk = added.max(self.risk_of(prompt));
        let cost = self.streams.max(0.0) * risk * self.max_pause.as_secs_f64();
        Duration::try_from_secs_f64(cost).unwrap_or(Duration::MAX)
    }

    /// Returns the probability that a pause expected to last this long exceeds the bound.
    fn risk_of(self, pause: Duration) -> f64 {
        let bound = self.max_pause.as_secs_f64().max(f64::MIN_POSITIVE);
        let odds = (pause.as_secs_f64() / bound).powi(ODDS_POWER);
        match odds.is_finite() {
            true => odds / (1.0 + odds),
            false => 1.0,
        }
    }
}
