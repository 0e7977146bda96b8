//! How fast engines read the prompts of each model, learned from the first events of answers.
//!
//! Everything that waits at an engine is counted in the time that reading it takes, so that
//! prompts of small and large models can be added up. See `docs/design/platform.md`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// Tokens that an engine reads in a millisecond for the dearest model, until it has shown.
const DEFAULT_RATE_TOKENS_PER_MS: f64 = 18.0;
/// The bounds of what is believed of a rate, in tokens a millisecond.
const RATE_BOUNDS_TOKENS_PER_MS: (f64, f64) = (2.0, 400.0);
/// How far the first measurement moves a rate, as a part of it; the next ones move it less.
const INITIAL_STEP_FRACTION: f64 = 0.25;
/// The least that a measurement moves a rate, so that it follows engines that change.
const MIN_STEP_FRACTION: f64 = 0.03;
/// The fewest tokens that tell something of a rate; the first events of shorter prompts are
/// dominated by the way there and by the engine's steps.
const MIN_MEASURED_TOKENS: f64 = 1500.0;
/// The time to the first event that does not depend on the tokens: the way there and a
/// step or two of the engine.
pub const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(25);

/// The rates of a box's models.
///
/// Prices alone say little of them: a model at a fifteenth of the price may read six times as fast.
#[derive(Debug, Default)]
pub struct PrefillRates {
    by_model: RefCell<HashMap<String, Rate>>,
}

/// The rate of one model.
#[derive(Debug, Clone, Copy)]
struct Rate {
    tokens_per_ms: f64,
    measurements: u32,
}

impl Rate {
    /// Returns what is believed before anything was measured: that time goes by price.
    ///
    /// `price_part` is the model's price as a part of the dearest one's.
    fn from_price(price_part: f64) -> Self {
        let rate = DEFAULT_RATE_TOKENS_PER_MS / price_part.max(f64::MIN_POSITIVE);
        Self {
            tokens_per_ms: rate.clamp(RATE_BOUNDS_TOKENS_PER_MS.0, RATE_BOUNDS_TOKENS_PER_MS.1),
            measurements: 0,
        }
    }

    /// Moves a step towards a measurement, however far away that is, so that the rate
    /// settles at the median: a prompt that had to wait, or that the engine had kept after
    /// all, says nothing of the rate, and may be wrong by any factor.
    fn record(&mut self, measured: f64) {
        let step =
            (INITIAL_STEP_FRACTION * 2.0 / f64::from(self.measurements + 2)).max(MIN_STEP_FRACTION);
        let factor = match measured > self.tokens_per_ms {
            true => 1.0 + step,
            false => 1.0 / (1.0 + step),
        };
        self.tokens_per_ms = (self.tokens_per_ms * factor)
            .clamp(RATE_BOUNDS_TOKENS_PER_MS.0, RATE_BOUNDS_TOKENS_PER_MS.1);
        self.measurements = self.measurements.saturating_add(1);
    }
}

/// A model, as far as the time of its reads goes.
#[derive(Debug, Clone, Copy)]
pub struct PrefillModel<'a> {
    /// The model's name.
    pub name: &'a str,
    /// Its price as a part of the dearest model's, which stands in for what is not yet
    /// measured.
    pub price_part: f64,
}

impl PrefillRates {
    /// Learns from a first event for which an engine read so many tokens and nothing else.
    pub fn record(&self, model: PrefillModel<'_>, tokens: f64, took: Duration) {
        if tokens < MIN_MEASURED_TOKENS {
            return;
        }
        let millis = took.saturating_sub(FIRST_EVENT_OVERHEAD).as_secs_f64() * 1000.0;
        let mut rates = self.by_model.borrow_mut();
        let rate = rates
            .entry(model.name.to_owned())
            .or_insert_with(|| Rate::from_price(model.price_part));
        rate.record(tokens / millis.max(1.0));
    }

    /// Returns how long an engine reads so many tokens for a model.
    pub fn prefill_time(&self, model: PrefillModel<'_>, tokens: f64) -> Duration {
        let rates = self.by_model.borrow();
        let known = rates.get(model.name).copied();
        let rate = known.unwrap_or_else(|| Rate::from_price(model.price_part));
        Duration::from_secs_f64(tokens.max(0.0) / rate.tokens_per_ms / 1000.0)
    }
}
