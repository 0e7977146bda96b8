//! How long answers took, counted in steps by which times differ by a tenth.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Steps by which a time doubles: one is 9 in 100.
const STEPS_TO_DOUBLE: f64 = 8.0;
/// The shortest time that is told from shorter ones, in the unit of what is timed.
const SHORTEST: f64 = 1e-4;

/// Times of answers, by step. Sums of several boxes' times say as much as the times together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Times(BTreeMap<i16, u32>);

impl Times {
    /// Counts a time.
    pub fn add(&mut self, time: f64) {
        *self.0.entry(step(time)).or_default() += 1;
    }

    /// Adds other times.
    pub fn extend(&mut self, other: &Self) {
        for (step, count) in &other.0 {
            *self.0.entry(*step).or_default() += count;
        }
    }

    /// Returns the number of times.
    pub fn total(&self) -> u32 {
        self.0.values().sum()
    }

    /// Returns each step with its times, the shortest first.
    pub fn steps(&self) -> impl Iterator<Item = (i16, u32)> + '_ {
        self.0.iter().map(|(step, count)| (*step, *count))
    }

    /// Returns the number of times of a step.
    pub fn at(&self, step: i16) -> u32 {
        self.0.get(&step).copied().unwrap_or(0)
    }
}

/// Returns the steps by which a time grows by a factor.
pub fn steps_of(factor: f64) -> i16 {
    (factor.log2() * STEPS_TO_DOUBLE).round() as i16
}

fn step(time: f64) -> i16 {
    steps_of(time.max(SHORTEST))
}
