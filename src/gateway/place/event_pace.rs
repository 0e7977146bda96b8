//! The usual time between the events of a stream, for each model and utilization of an engine.
//!
//! An engine's speed is measured against it. See `docs/design/uneven-engines.md`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// Number of ranges of slot utilization that are distinguished: tokens take longer the more requests
/// run beside each other.
const UTILIZATION_RANGES: usize = 4;
/// The number of streams from which a usual pace is compared with.
const MIN_STREAMS: u32 = 5;
/// The most models whose pace is kept; far more than a configuration names.
const MAX_MODELS: usize = 256;
/// Bound on the change by the first stream, as a fraction; later ones change it less.
const INITIAL_STEP_FRACTION: f64 = 0.5;
/// Smallest bound on the change by a stream, as a fraction.
const MIN_STEP_FRACTION: f64 = 0.02;

/// The usual paces, as one box measured them.
#[derive(Debug, Default)]
pub struct EventPaces {
    by_model: RefCell<HashMap<(String, String), [UsualPace; UTILIZATION_RANGES]>>,
}

/// A median of the times between events.
#[derive(Debug, Clone, Copy, Default)]
struct UsualPace {
    seconds: f64,
    streams: u32,
}

impl UsualPace {
    /// Moves one step towards a measurement, regardless of the distance, so that it settles at the
    /// median.
    fn record(&mut self, seconds: f64) {
        let step = INITIAL_STEP_FRACTION / f64::from(self.streams.saturating_add(1));
        let factor = 1.0 + step.max(MIN_STEP_FRACTION);
        self.seconds = match self.streams {
            0 => seconds,
            _ if seconds > self.seconds => (self.seconds * factor).min(seconds),
            _ => (self.seconds / factor).max(seconds),
        };
        self.streams = self.streams.saturating_add(1);
    }
}

impl EventPaces {
    /// Learns from a stream at an engine of this slot utilization, and returns the speed at which
    /// the engine made it, relative to the usual one; `None` as long as that is not known.
    pub fn record(
        &self,
        service: &str,
        model: &str,
        utilization: f64,
        between_events: Duration,
    ) -> Option<f64> {
        let seconds = between_events.as_secs_f64();
        if seconds <= 0.0 {
            return None;
        }
        let key = (service.to_owned(), model.to_owned());
        let mut by_model = self.by_model.borrow_mut();
        if by_model.len() >= MAX_MODELS && !by_model.contains_key(&key) {
            return None;
        }
        let usual = by_model.entry(key).or_default();
        let range = (utilization.clamp(0.0, 1.0) * UTILIZATION_RANGES as f64) as usize;
        let usual = usual.get_mut(range.min(UTILIZATION_RANGES - 1))?;
        let speed = (usual.streams >= MIN_STREAMS).then(|| usual.seconds / seconds);
        usual.record(seconds);
        speed
    }
}
