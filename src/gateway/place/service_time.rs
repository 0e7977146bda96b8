//! How long requests run at the upstreams of plain services, as this box measured it.

use crate::clock::Now;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

/// The time that is assumed before any measurement.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Bounds of a service time.
const SERVICE_TIME_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(1), Duration::from_secs(30));
/// Step of the first measurements, as a fraction of the estimate; later steps are smaller.
const INITIAL_STEP_FRACTION: f64 = 0.25;
/// Minimum step of a service's time, so that it follows changes.
const MIN_SERVICE_STEP_FRACTION: f64 = 0.02;
/// Minimum step of an upstream's factor, which rests on fewer requests.
const MIN_UPSTREAM_STEP_FRACTION: f64 = 0.05;
/// Number of measurements over which steps shrink to half of the first one.
const STEP_HALVING_MEASUREMENTS: f64 = 4.0;
/// Over this time without measurements, an upstream's factor is forgotten, so that one that was slow
/// is tried again.
const UPSTREAM_FACTOR_LIFE: Duration = Duration::from_secs(60);
/// Bounds of how long an upstream takes, as a multiple of its service's time.
const UPSTREAM_FACTOR_BOUNDS: (f64, f64) = (0.2, 8.0);

/// An estimate that moves by a step towards each measurement, regardless of the distance, so that
/// it settles at the median: the time of a single request may be wrong by any factor.
#[derive(Debug, Clone, Copy)]
struct Median {
    value: f64,
    measurements: u32,
}

impl Median {
    fn record(&mut self, measured: f64, min_step: f64) {
        let step = INITIAL_STEP_FRACTION * STEP_HALVING_MEASUREMENTS
            / (f64::from(self.measurements) + STEP_HALVING_MEASUREMENTS);
        let factor = 1.0 + step.max(min_step);
        // A step does not go beyond the measurement.
        self.value = match measured > self.value {
            true => (self.value * factor).min(measured),
            false => (self.value / factor).max(measured),
        };
        self.measurements = self.measurements.saturating_add(1);
    }
}

/// The learned service time of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceTime {
    /// The time at the usual speed.
    pub usual: Duration,
    /// Whether it rests on measurements.
    pub is_measured: bool,
}

/// The service times of plain services.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    by_service: RefCell<HashMap<String, Median>>,
}

impl ServiceTimes {
    /// Learns from a request that did not wait for a slot; `work_time` is the multiple of the usual
    /// time that work took at that moment.
    pub fn record(&self, service: &str, took: Duration, work_time: f64) {
        let (least, most) = SERVICE_TIME_BOUNDS;
        let usual = took.as_secs_f64() / work_time.max(f64::MIN_POSITIVE);
        let usual = usual.clamp(least.as_secs_f64(), most.as_secs_f64());
        let mut times = self.by_service.borrow_mut();
        match times.get_mut(service) {
            Some(known) => known.record(usual, MIN_SERVICE_STEP_FRACTION),
            None => {
                let first = Median {
                    value: usual,
                    measurements: 1,
                };
                times.insert(service.to_owned(), first);
            }
        }
    }

    /// Returns the service time of a service.
    pub fn of(&self, service: &str) -> ServiceTime {
        match self.by_service.borrow().get(service) {
            Some(known) => ServiceTime {
                usual: Duration::from_secs_f64(known.value),
                is_measured: true,
            },
            None => ServiceTime {
                usual: DEFAULT_SERVICE_TIME,
                is_measured: false,
            },
        }
    }

    /// Drops the services that are no longer configured.
    pub fn retain(&self, is_configured: impl Fn(&str) -> bool) {
        let mut times = self.by_service.borrow_mut();
        times.retain(|service, _| is_configured(service));
    }
}

/// How long one upstream takes, as a multiple of its service's time and of what it states.
///
/// It starts at 1. It also corrects upstreams that state a wrong work time or hide their queue:
/// what they are measured to need counts.
#[derive(Debug, Clone)]
pub struct UpstreamFactor {
    factor: Cell<Median>,
    measured_at: Cell<Duration>,
}

impl Default for UpstreamFactor {
    fn default() -> Self {
        Self {
            factor: Cell::new(Median {
                value: 1.0,
                measurements: 0,
            }),
            measured_at: Cell::default(),
        }
    }
}

impl UpstreamFactor {
    /// Learns from a request that took this long, including its wait, where `expected` was expected
    /// by the factor so far.
    pub fn record(&self, took: Duration, expected: Duration, now: Now) {
        let (least, most) = UPSTREAM_FACTOR_BOUNDS;
        let mut factor = Median {
            value: self.get(now),
            ..self.factor.get()
        };
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(f64::MIN_POSITIVE);
        factor.record(
            (factor.value * ratio).clamp(least, most),
            MIN_UPSTREAM_STEP_FRACTION,
        );
        self.factor.set(factor);
        self.measured_at.set(now.monotonic);
    }

    /// Returns the factor.
    pub fn get(&self, now: Now) -> f64 {
        let age = now.monotonic.saturating_sub(self.measured_at.get());
        let remembered = (-age.as_secs_f64() / UPSTREAM_FACTOR_LIFE.as_secs_f64()).exp();
        1.0 + (self.factor.get().value - 1.0) * remembered
    }
}
