//! A histogram of response times with logarithmic buckets.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number of buckets in which a time doubles: bucket boundaries differ by 9 %.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// Shorter times share the lowest bucket. In the unit of the recorded metric.
const MIN_TIME: f64 = 1e-4;

/// Numbers of response times by bucket. Merging the histograms of several boxes gives the histogram
/// of all their times.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeHistogram(BTreeMap<i16, u32>);

impl TimeHistogram {
    /// Records a time.
    pub fn record(&mut self, time: f64) {
        *self.0.entry(bucket(time)).or_default() += 1;
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, count) in &other.0 {
            *self.0.entry(*bucket).or_default() += count;
        }
    }

    /// Returns the number of recorded times.
    pub fn total(&self) -> u32 {
        self.0.values().sum()
    }

    /// Returns each bucket with its count, shortest times first.
    pub fn buckets(&self) -> impl Iterator<Item = (i16, u32)> + '_ {
        self.0.iter().map(|(bucket, count)| (*bucket, *count))
    }

    /// Returns the count of a bucket.
    pub fn count_in(&self, bucket: i16) -> u32 {
        self.0.get(&bucket).copied().unwrap_or(0)
    }
}

/// Returns the number of buckets between two times that differ by a factor.
pub fn buckets_in(factor: f64) -> i16 {
    (factor.log2() * BUCKETS_PER_DOUBLING).round() as i16
}

fn bucket(time: f64) -> i16 {
    buckets_in(time.max(MIN_TIME))
}
