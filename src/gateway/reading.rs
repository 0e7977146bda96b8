//! How fast engines read prompts, learned from the first events of answers.

use std::cell::Cell;
use std::time::Duration;

/// Weighted tokens that an engine reads in a millisecond before anything was measured.
/// The dearest model of the users' deployments reads about this fast.
pub const USUAL_RATE: f64 = 18.0;
/// The bounds of what is believed of the rate.
const RATE_BOUNDS: (f64, f64) = (2.0, 200.0);
/// How much of the newest measurement goes into the rate.
const NEWEST_PART: f64 = 0.03;
/// The fewest weighted tokens that tell something of the rate; shorter prompts are
/// dominated by the way there and by the engine's steps.
const FEWEST_TOKENS: f64 = 1500.0;
/// The time to the first event that does not depend on the tokens: the way there and a
/// step or two of the engine.
const FIXED: Duration = Duration::from_millis(25);

/// A service's rate of reading, in weighted tokens a millisecond.
#[derive(Debug)]
pub struct ReadingRate(Cell<f64>);

impl Default for ReadingRate {
    fn default() -> Self {
        Self(Cell::new(USUAL_RATE))
    }
}

impl ReadingRate {
    /// Learns from a first event: so many weighted tokens were ahead of it, its own
    /// included, and it took so long.
    pub fn learn(&self, tokens: f64, took: Duration) {
        if tokens < FEWEST_TOKENS {
            return;
        }
        let millis = took.saturating_sub(FIXED).as_secs_f64() * 1000.0;
        let measured = (tokens / millis.max(1.0)).clamp(RATE_BOUNDS.0, RATE_BOUNDS.1);
        // A mean of logarithms, since rates spread by factors.
        let rate = self.0.get().ln() * (1.0 - NEWEST_PART) + measured.ln() * NEWEST_PART;
        self.0.set(rate.exp());
    }

    /// Returns how long so many weighted tokens take.
    pub fn expected(&self, tokens: f64) -> Duration {
        FIXED + Duration::from_secs_f64(tokens.max(0.0) / self.0.get() / 1000.0)
    }
}
