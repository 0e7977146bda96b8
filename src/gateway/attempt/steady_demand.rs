//! The demand of the boxes by which they share room at an upstream, such as connections.
//!
//! Boxes hear of each other's requests later than a burst takes, so that shares by the requests of
//! the moment overlap. Here the demand is averaged, and a share grows only once the others have
//! certainly heard why, but shrinks at once: the part that is taken back is free before another box
//! uses it. See `docs/design/connections.md`.

use super::connection_limit::Demand;
use crate::clock::Now;
use std::time::Duration;

/// The time constant of the averages: some seconds of traffic, in which bursts even out.
const AVERAGE_TIME: Duration = Duration::from_secs(2);
/// For how long an extreme of the averages counts at least, and at most twice as long. Boxes hear
/// of each other several times within it, and most answers take less.
const EXTREME_TIME: Duration = Duration::from_secs(1);

/// The averaged demand, as far as all boxes know of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct SteadyDemand {
    latest: Option<Averages>,
    period: u128,
    current: Option<Extremes>,
    previous: Option<Extremes>,
}

#[derive(Debug, Clone, Copy)]
struct Averages {
    own: f64,
    others: f64,
    at: Duration,
}

/// The smallest average of the own demand and the largest of the others'.
#[derive(Debug, Clone, Copy)]
struct Extremes {
    own: f64,
    others: f64,
}

impl SteadyDemand {
    /// Records the demand at a time. What a box demanded before it heard of others is not known to
    /// them, so that its own demand begins at zero.
    pub fn record(&mut self, demand: Demand, now: Now) {
        let (own, others) = (f64::from(demand.own), f64::from(demand.others));
        let averages = self.latest.map_or(Averages::first(others, now), |latest| {
            latest.updated(own, others, now)
        });
        self.latest = Some(averages);
        self.roll(now);
        let seen = Extremes {
            own: averages.own,
            others: averages.others,
        };
        self.current = Some(self.current.map_or(seen, |known| known.with(seen)));
    }

    /// Forgets everything, as a box that hears no other does not know their demand.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the demand for a share. Without a record, the own demand is zero and the others' that
    /// of the moment.
    pub fn get(self, moment: Demand) -> Demand {
        let extremes = self.current.into_iter().chain(self.previous);
        let known = extremes.reduce(Extremes::with);
        // The conversions saturate.
        known.map_or(Demand { own: 0, ..moment }, |known| Demand {
            own: known.own.floor() as u32,
            others: known.others.ceil() as u32,
        })
    }

    fn roll(&mut self, now: Now) {
        let period = now.monotonic.as_nanos() / EXTREME_TIME.as_nanos();
        match period.saturating_sub(self.period) {
            0 => {}
            1 => self.previous = self.current.take(),
            _ => (self.previous, self.current) = (None, None),
        }
        self.period = self.period.max(period);
    }
}

impl Averages {
    fn first(others: f64, now: Now) -> Self {
        Self {
            own: 0.0,
            others,
            at: now.monotonic,
        }
    }

    fn updated(self, own: f64, others: f64, now: Now) -> Self {
        let age = now.monotonic.saturating_sub(self.at).as_secs_f64();
        let weight = 1.0 - (-age / AVERAGE_TIME.as_secs_f64()).exp();
        Self {
            own: self.own + (own - self.own) * weight,
            others: self.others + (others - self.others) * weight,
            at: self.at.max(now.monotonic),
        }
    }
}

impl Extremes {
    fn with(self, other: Self) -> Self {
        Self {
            own: self.own.min(other.own),
            others: self.others.max(other.others),
        }
    }
}
