//! How fast an engine works, relative to the engines of its service.
//!
//! Engines differ in speed for as long as they run, and slow down for moments. The lasting part
//! begins with what the engine usually states in its load reports and is learned from first events
//! and from the pace of streams, by this box and by others; the momentary part is what the engine
//! states beyond that. See `docs/design/uneven-engines.md`.

use super::stated_speed::Statements;
use crate::clock::Now;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::time::Duration;

/// Lower and upper bound of a speed, as a fraction of the usual one.
pub const SPEED_BOUNDS: (f64, f64) = (0.2, 5.0);
/// After this time, past measurements count half, so that an engine that has changed is seen as it
/// is within some tens of seconds.
const HALF_LIFE: Duration = Duration::from_secs(15);
/// Number of assumed measurements, at the speed that the engine states or else at the usual one.
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
    /// What the engine usually states.
    Stated,
    /// Nothing: the usual speed is assumed.
    Default,
}

impl SpeedSource {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peers => "peers",
            Self::Stated => "stated",
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
    /// What the engine usually states, in the same steps as the speed.
    stated_steps: Option<i8>,
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

/// The speed of one incarnation of an engine, as one box sees it.
#[derive(Debug, Default)]
pub struct EngineSpeed {
    own: Cell<Estimate>,
    peers: Cell<Estimate>,
    statements: Cell<Statements>,
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
        self.statements
            .set(self.statements.get().record(percent, now));
    }

    /// Returns what the engine has stated.
    pub fn statements(&self) -> Statements {
        self.statements.get()
    }

    /// Sets what the engines of the service usually state.
    pub fn set_service_level(&self, octaves: f64) {
        self.statements
            .set(self.statements.get().with_service_level(octaves));
    }

    /// Returns what this box has measured itself, for other boxes.
    pub fn measured(&self, now: Now) -> Option<MeasuredSpeed> {
        let own = self.own.get();
        let weight = own.weight_at(now);
        let statements = self.statements.get();
        let is_recent = statements.age(now).is_some_and(|age| age <= HALF_LIFE);
        let stated = statements.own_level().filter(|_| is_recent);
        let is_known = weight >= MIN_WEIGHT || stated.is_some();
        is_known.then_some(MeasuredSpeed {
            octave_steps: octave_steps(own.octaves),
            weight_steps: (weight * STEPS_PER_MEASUREMENT).round() as u8,
            stated_steps: stated.map(octave_steps),
        })
    }

    /// Adds what another box has measured.
    pub fn merge(&self, measured: MeasuredSpeed, now: Now) {
        if let Some(steps) = measured.stated_steps {
            let octaves = f64::from(steps) / STEPS_PER_OCTAVE;
            self.statements
                .set(self.statements.get().record_peer_level(octaves));
        }
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
        let statements = self.statements.get();
        let slowdown = statements.slowdown_octaves(now);
        let stated = statements.lasting_octaves();
        let weight = own_weight + peer_weight;
        if weight < MIN_WEIGHT {
            return belief_without_measurements(statements, now);
        }
        let sum = own.octaves * own_weight
            + peers.octaves * peer_weight
            + stated.unwrap_or_default() * PRIOR_MEASUREMENTS;
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

/// Returns what an engine is believed to do that only stated something, or nothing.
fn belief_without_measurements(statements: Statements, now: Now) -> SpeedBelief {
    let Some(lasting) = statements.lasting_octaves() else {
        return SpeedBelief::USUAL;
    };
    SpeedBelief {
        speed: bounded(lasting - statements.slowdown_octaves(now)).exp2(),
        source: SpeedSource::Stated,
        age: statements.age(now),
    }
}

fn octave_steps(octaves: f64) -> i8 {
    (octaves * STEPS_PER_OCTAVE).round() as i8
}
