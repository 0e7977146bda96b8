//! How long answers took, counted in steps by which times differ by a tenth.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Steps by which a time doubles: one is 9 in 100.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// The shortest time that is told from shorter ones, in the unit of what is timed.
const MIN_TIME: f64 = 1e-4;

/// Times of answers, by step. Sums of several boxes' times say as much as the times together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeHistogram(BTreeMap<i16, u32>);

impl TimeHistogram {
    /// Counts a time.
    pub fn record(&mut self, time: f64) {
        *self.0.entry(bucket(time)).or_default() += 1;
    }

    /// Adds other times.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, count) in &other.0 {
            *self.0.entry(*bucket).or_default() += count;
        }
    }

    /// Returns the number of times.
    pub fn total(&self) -> u32 {
        self.0.values().sum()
    }

    /// Returns each step with its times, the shortest first.
    pub fn buckets(&self) -> impl Iterator<Item = (i16, u32)> + '_ {
        self.0.iter().map(|(bucket, count)| (*bucket, *count))
    }

    /// Returns the number of times of a step.
    pub fn count_in(&self, bucket: i16) -> u32 {
        self.0.get(&bucket).copied().unwrap_or(0)
    }
}

/// Returns the steps by which a time grows by a factor.
pub fn buckets_in(factor: f64) -> i16 {
    (factor.log2() * BUCKETS_PER_DOUBLING).round() as i16
}

fn bucket(time: f64) -> i16 {
    buckets_in(time.max(MIN_TIME))
}
