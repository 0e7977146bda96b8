//! How fast an engine works, relative to the engines of its service.
//!
//! Engines differ in speed for as long as they run, and slow down for moments. The lasting part is
//! learned from first events and from the pace of streams, by this box and by others; the momentary
//! part is what the engine states in its load reports. See `docs/design/uneven-engines.md`.

use crate::clock::Now;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::time::Duration;

/// Lower and upper bound of a speed, as a fraction of the usual one.
pub const SPEED_BOUNDS: (f64, f64) = (0.2, 5.0);
/// After this time, past measurements count half, so that an engine that has changed is seen as it
/// is within some tens of seconds.
const HALF_LIFE: Duration = Duration::from_secs(15);
/// Number of assumed measurements at the usual speed.
const PRIOR_MEASUREMENTS: f64 = 1.5;
/// Weight from which further measurements of other boxes replace older ones.
const MAX_WEIGHT: f64 = 32.0;
/// Largest change by one measurement, in octaves (powers of two of the speed).
const MAX_STEP_OCTAVES: f64 = 1.0;
/// Smallest bound on the change by one measurement, in octaves, so that the estimate follows
/// engines whose speed changes.
const MIN_STEP_OCTAVES: f64 = 0.05;
/// Measurements that count less than this are neither used nor sent to other boxes.
const MIN_WEIGHT: f64 = 0.2;
/// Bounds of a stated work time in percent, so that figures which mean nothing do little harm.
const STATED_BOUNDS_PERCENT: (u32, u32) = (25, 400);
/// Step of the figure that an engine usually states, in octaves; small, so that it settles at the
/// median.
const USUAL_STATEMENT_STEP_OCTAVES: f64 = 0.1;
/// Age up to which a statement counts fully.
const STATEMENT_FULL_AGE: Duration = Duration::from_millis(250);
/// Age from which a statement counts no more.
const STATEMENT_MAX_AGE: Duration = Duration::from_secs(1);
/// Steps in which speeds are sent to other boxes, for each octave.
const STEPS_PER_OCTAVE: f64 = 32.0;
/// Steps in which weights are sent to other boxes, for each measurement.
const STEPS_PER_MEASUREMENT: f64 = 4.0;

/// What a speed rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpeedSource {
    /// Mostly measurements of this box.
    Own,
    /// Mostly measurements of other boxes.
    Peers,
    /// Nothing: the usual speed is assumed.
    Default,
}

impl SpeedSource {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peers => "peers",
            Self::Default => "default",
        }
    }
}

/// The speed that a box believes an engine to have.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedBelief {
    /// The speed as a fraction of the usual one.
    pub speed: f64,
    /// What it rests on, apart from the engine's own statement.
    pub source: SpeedSource,
    /// The age of the latest measurement by that source; `None` if there is none.
    pub age: Option<Duration>,
}

impl SpeedBelief {
    /// The usual speed, assumed of an engine of which nothing is known.
    pub const USUAL: Self = Self {
        speed: 1.0,
        source: SpeedSource::Default,
        age: None,
    };

    /// Returns how long the engine takes for work that usually takes this long.
    pub fn time_for(self, work: Duration) -> Duration {
        scaled(work, 1.0 / self.speed)
    }

    /// Returns how long the work that the engine does in a time usually takes.
    pub fn work_in(self, time: Duration) -> Duration {
        scaled(time, self.speed)
    }
}

/// Multiplies a duration; exact for a factor of one.
fn scaled(duration: Duration, factor: f64) -> Duration {
    if factor == 1.0 {
        return duration;
    }
    Duration::try_from_secs_f64(duration.as_secs_f64() * factor).unwrap_or(Duration::MAX)
}

/// What one box has measured of one engine, as it is sent to other boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MeasuredSpeed {
    /// Logarithm of the speed, in [`STEPS_PER_OCTAVE`].
    octave_steps: i8,
    /// Number of measurements, in [`STEPS_PER_MEASUREMENT`]; older ones count less.
    weight_steps: u8,
}

/// A weighted mean of logarithms of speeds; the weight fades with age.
#[derive(Debug, Clone, Copy, Default)]
struct Estimate {
    octaves: f64,
    weight: f64,
    as_of: Duration,
}

impl Estimate {
    fn weight_at(self, now: Now) -> f64 {
        if self.weight == 0.0 {
            return 0.0;
        }
        let age = now.monotonic.saturating_sub(self.as_of);
        self.weight * (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Moves towards a measurement by a bounded step, so that single ones that were disturbed have
    /// little effect however far off they are.
    fn record(self, octaves: f64, now: Now) -> Self {
        let known = self.weight_at(now);
        let max_step = (MAX_STEP_OCTAVES / (known + 1.0)).max(MIN_STEP_OCTAVES);
        Self {
            octaves: bounded(self.octaves + (octaves - self.octaves).clamp(-max_step, max_step)),
            weight: (known + 1.0).min(MAX_WEIGHT),
            as_of: now.monotonic,
        }
    }

    /// Adds the estimate of another box.
    fn merge(self, octaves: f64, weight: f64, now: Now) -> Self {
        let known = self.weight_at(now);
        let part = weight / (known + weight);
        Self {
            octaves: bounded(self.octaves + (octaves - self.octaves) * part),
            weight: (known + weight).min(MAX_WEIGHT),
            as_of: now.monotonic,
        }
    }
}

fn bounded(octaves: f64) -> f64 {
    octaves.clamp(SPEED_BOUNDS.0.log2(), SPEED_BOUNDS.1.log2())
}

/// What an engine states about the present moment.
#[derive(Debug, Clone, Copy, Default)]
struct Statement {
    /// Logarithm of the stated work time relative to the usual one.
    octaves: f64,
    /// The same, as the engine usually states it: an engine that always states the same figure
    /// says nothing about the moment.
    usual_octaves: f64,
    /// When it was stated; `None` if nothing was.
    at: Option<Duration>,
}

impl Statement {
    fn record(self, percent: u32, now: Now) -> Self {
        let percent = percent.clamp(STATED_BOUNDS_PERCENT.0, STATED_BOUNDS_PERCENT.1);
        let octaves = (f64::from(percent) / 100.0).log2();
        let change = (octaves - self.usual_octaves)
            .clamp(-USUAL_STATEMENT_STEP_OCTAVES, USUAL_STATEMENT_STEP_OCTAVES);
        Self {
            octaves,
            usual_octaves: self.usual_octaves + change,
            at: Some(now.monotonic),
        }
    }

    /// Returns the logarithm of the slowdown that the statement still stands for.
    ///
    /// A statement of being faster than usual counts for nothing: a lasting advantage is measured.
    fn slowdown_octaves(self, now: Now) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let age = now.monotonic.saturating_sub(at);
        let left = STATEMENT_MAX_AGE.saturating_sub(age).as_secs_f64();
        let fading = STATEMENT_MAX_AGE
            .saturating_sub(STATEMENT_FULL_AGE)
            .as_secs_f64();
        (self.octaves - self.usual_octaves).max(0.0) * (left / fading).min(1.0)
    }
}

/// The speed of one incarnation of an engine, as one box sees it.
#[derive(Debug, Default)]
pub struct EngineSpeed {
    own: Cell<Estimate>,
    peers: Cell<Estimate>,
    statement: Cell<Statement>,
}

impl EngineSpeed {
    /// Records a measurement of this box: the usual time of some work divided by the time that it
    /// took here.
    pub fn record(&self, speed: f64, now: Now) {
        if speed.is_finite() && speed > 0.0 {
            self.own
                .set(self.own.get().record(bounded(speed.log2()), now));
        }
    }

    /// Records what the engine states: how long work takes there at the moment, in percent.
    pub fn record_statement(&self, percent: u32, now: Now) {
        self.statement
            .set(self.statement.get().record(percent, now));
    }

    /// Returns what this box has measured itself, for other boxes.
    pub fn measured(&self, now: Now) -> Option<MeasuredSpeed> {
        let own = self.own.get();
        let weight = own.weight_at(now);
        (weight >= MIN_WEIGHT).then_some(MeasuredSpeed {
            octave_steps: (own.octaves * STEPS_PER_OCTAVE).round() as i8,
            weight_steps: (weight * STEPS_PER_MEASUREMENT).round() as u8,
        })
    }

    /// Adds what another box has measured.
    pub fn merge(&self, measured: MeasuredSpeed, now: Now) {
        let weight = f64::from(measured.weight_steps) / STEPS_PER_MEASUREMENT;
        if weight < MIN_WEIGHT {
            return;
        }
        let octaves = bounded(f64::from(measured.octave_steps) / STEPS_PER_OCTAVE);
        self.peers
            .set(self.peers.get().merge(octaves, weight.min(MAX_WEIGHT), now));
    }

    /// Returns the speed that the engine is believed to have now.
    pub fn belief(&self, now: Now) -> SpeedBelief {
        let (own, peers) = (self.own.get(), self.peers.get());
        let (own_weight, peer_weight) = (own.weight_at(now), peers.weight_at(now));
        let slowdown = self.statement.get().slowdown_octaves(now);
        let weight = own_weight + peer_weight;
        if weight < MIN_WEIGHT {
            return SpeedBelief {
                speed: if slowdown == 0.0 {
                    1.0
                } else {
                    bounded(-slowdown).exp2()
                },
                ..SpeedBelief::USUAL
            };
        }
        let sum = own.octaves * own_weight + peers.octaves * peer_weight;
        let learned = sum / (weight + PRIOR_MEASUREMENTS);
        let (source, as_of) = match own_weight >= peer_weight {
            true => (SpeedSource::Own, own.as_of),
            false => (SpeedSource::Peers, peers.as_of),
        };
        SpeedBelief {
            speed: bounded(learned - slowdown).exp2(),
            source,
            age: Some(now.monotonic.saturating_sub(as_of)),
        }
    }
}
