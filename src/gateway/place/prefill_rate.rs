//! Prefill rates: how fast engines process the prompts of each model, learned from the times to
//! first events.
//!
//! All load that waits at an engine is measured in prefill time, so that prompts of small and large
//! models can be added up. See `docs/design/platform.md`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// Prefill rate assumed for the most expensive model until it is measured, in tokens per
/// millisecond.
const DEFAULT_RATE_TOKENS_PER_MS: f64 = 18.0;
/// Lower and upper bound of an estimated rate, in tokens per millisecond.
const RATE_BOUNDS_TOKENS_PER_MS: (f64, f64) = (2.0, 400.0);
/// Step of the first measurement, as a fraction of the rate; later steps are smaller.
const INITIAL_STEP_FRACTION: f64 = 0.25;
/// Minimum step of a measurement, as a fraction of the rate, so that the estimate follows engines
/// whose speed changes.
const MIN_STEP_FRACTION: f64 = 0.03;
/// Minimum number of tokens for a measurement: the first events of shorter prompts are dominated by
/// network latency and the engine's scheduling steps.
const MIN_MEASURED_TOKENS: f64 = 1500.0;
/// Number of measurements from which single engines are compared with a rate.
const SETTLED_MEASUREMENTS: u32 = 8;
/// The part of the time to the first event that does not depend on the number of tokens: network
/// latency and one or two scheduling steps of the engine.
pub const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(25);

/// The estimated prefill rates of the models, as one box measured them.
///
/// Prices alone are a poor estimate: a model at a fifteenth of the price may be six times as fast.
#[derive(Debug, Default)]
pub struct PrefillRates {
    by_model: RefCell<HashMap<String, Rate>>,
}

/// The estimated prefill rate of one model.
#[derive(Debug, Clone, Copy)]
struct Rate {
    tokens_per_ms: f64,
    measurements: u32,
}

impl Rate {
    /// Returns the rate assumed before any measurement: inversely proportional to the price.
    ///
    /// `price_part` is the model's price as a fraction of the most expensive model's.
    fn from_price(price_part: f64) -> Self {
        let rate = DEFAULT_RATE_TOKENS_PER_MS / price_part.max(f64::MIN_POSITIVE);
        Self {
            tokens_per_ms: rate.clamp(RATE_BOUNDS_TOKENS_PER_MS.0, RATE_BOUNDS_TOKENS_PER_MS.1),
            measurements: 0,
        }
    }

    /// Moves the rate one step towards a measurement, regardless of the distance, so that it
    /// settles at the median. Prompts that were queued, or that the engine had cached after all,
    /// say nothing about the rate and may be wrong by any factor.
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

/// Returns the speed of an engine that sent its first event after `took`, while a prefill usually
/// takes `usual`; `None` if the event came too early to tell.
pub fn speed_of(usual: Duration, took: Duration) -> Option<f64> {
    let prefill = took.checked_sub(FIRST_EVENT_OVERHEAD)?;
    (!prefill.is_zero()).then(|| usual.as_secs_f64() / prefill.as_secs_f64())
}

/// Identifies a model whose prefill time is estimated.
#[derive(Debug, Clone, Copy)]
pub struct PrefillModel<'a> {
    /// The model's name.
    pub name: &'a str,
    /// Its price as a fraction of the most expensive model's, which determines the rate until it is
    /// measured.
    pub price_part: f64,
}

impl PrefillRates {
    /// Learns from the first event of an answer for which an engine computed this many tokens and
    /// nothing else.
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

    /// Returns the speed that a first event shows, relative to the estimated rate of the model;
    /// `None` if the prompt is too short to tell, or the rate is not settled.
    pub fn measured_speed(
        &self,
        model: PrefillModel<'_>,
        tokens: f64,
        took: Duration,
    ) -> Option<f64> {
        let measurements = self.by_model.borrow().get(model.name)?.measurements;
        if tokens < MIN_MEASURED_TOKENS || measurements < SETTLED_MEASUREMENTS {
            return None;
        }
        speed_of(self.prefill_time(model, tokens), took)
    }

    /// Returns the estimated time to prefill this many tokens.
    pub fn prefill_time(&self, model: PrefillModel<'_>, tokens: f64) -> Duration {
        let rates = self.by_model.borrow();
        let known = rates.get(model.name).copied();
        let rate = known.unwrap_or_else(|| Rate::from_price(model.price_part));
        Duration::from_secs_f64(tokens.max(0.0) / rate.tokens_per_ms / 1000.0)
    }
}
