//! What was observed of the versions of a service under roll-out, old and new.
//!
//! Answers are grouped by the stretch of the roll-out's time in which their requests were sent,
//! by route and by what is timed, so that those of the new version are compared with those of
//! the old one that ran beside them.

use super::histogram::TimeHistogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::RangeBounds;
use std::time::Duration;

/// Stretches that a report repeats. What changes in older ones are answers that took a third
/// of the roll-out's time.
const REPORTED_WINDOWS: u16 = 10;

/// Stretches that are kept: two minutes, in which a version on trial is judged many times.
const KEPT_WINDOWS: u16 = 120;

/// What is timed of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LatencyMetric {
    /// An engine's way to the head of its answer, in parts of the expected time.
    HeadDelay,
    /// The mean time between two events of a stream, in seconds.
    EventInterval,
    /// A plain answer, in seconds.
    ResponseTime,
}

/// Which answers of a stretch are compared with each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ResponseKind<'a> {
    /// Their route.
    pub route: &'a str,
    /// What is timed.
    pub metric: LatencyMetric,
}

/// Answers that are compared with each other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResponseGroup {
    /// The stretch in which their requests were sent.
    pub window: u16,
    /// Their route.
    pub route: String,
    /// What is timed.
    pub metric: LatencyMetric,
}

impl ResponseGroup {
    /// Returns what the group has in common with those of other stretches.
    pub fn kind(&self) -> ResponseKind<'_> {
        ResponseKind {
            route: &self.route,
            metric: self.metric,
        }
    }
}

/// Where a request stands in a roll-out when it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SampledRequest {
    /// The order's revision in the store.
    pub order: u64,
    /// The stretch of the roll-out's time.
    pub window: u16,
    /// The time since the order.
    pub elapsed: Duration,
    /// Whether the request goes to the new version.
    pub is_new_version: bool,
}

/// The answers of one version in a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseStatistics {
    /// The times of those that came.
    pub completed: TimeHistogram,
    /// How long those under way have taken so far.
    pub in_flight: TimeHistogram,
    /// Those that the upstream failed to give.
    pub failed: u32,
}

impl ResponseStatistics {
    /// Returns the number of those that were or are being timed.
    pub fn timed(&self) -> u32 {
        self.completed.total() + self.in_flight.total()
    }

    /// Returns the number of those that came or failed.
    pub fn finished(&self) -> u32 {
        self.completed.total() + self.failed
    }

    /// Adds other answers.
    pub fn merge(&mut self, other: &Self) {
        self.completed.merge(&other.completed);
        self.in_flight.merge(&other.in_flight);
        self.failed += other.failed;
    }
}

/// The answers of both versions in a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionPair {
    /// Those of the version under roll-out.
    pub new: ResponseStatistics,
    /// Those of the versions before it.
    pub old: ResponseStatistics,
}

impl VersionPair {
    /// Returns the answers of one side.
    pub fn version_mut(&mut self, is_new_version: bool) -> &mut ResponseStatistics {
        match is_new_version {
            true => &mut self.new,
            false => &mut self.old,
        }
    }

    /// Adds the answers of another pair.
    pub fn merge(&mut self, other: &Self) {
        self.new.merge(&other.new);
        self.old.merge(&other.old);
    }
}

/// Requests that were sent to a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Those to the version under roll-out.
    pub new_version: u64,
    /// All of them.
    pub all: u64,
    /// The time since the order at which the first of them was sent; none if there are none.
    /// Boxes that were restarted have not counted what came before.
    pub first_at: Option<Duration>,
}

impl RequestCounts {
    /// Counts a request.
    pub fn record(&mut self, request: SampledRequest) {
        self.all += 1;
        self.new_version += u64::from(request.is_new_version);
        self.first_at = earliest(self.first_at, Some(request.elapsed));
    }

    /// Adds another box's requests.
    pub fn merge(&mut self, other: &Self) {
        self.new_version += other.new_version;
        self.all += other.all;
        self.first_at = earliest(self.first_at, other.first_at);
    }
}

fn earliest(one: Option<Duration>, other: Option<Duration>) -> Option<Duration> {
    one.into_iter().chain(other).min()
}

/// What a box tells others of a roll-out. It takes the place of what the box said before of
/// the same stretches.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatisticsReport {
    /// The name of the box's life.
    pub reporter: String,
    /// Reports of a life count up, so that a late one is known as such.
    pub sequence: u64,
    /// The order's revision in the store.
    pub order: u64,
    /// The requests that the box has sent since the order.
    pub requests: RequestCounts,
    /// The newest stretches.
    pub groups: Vec<(ResponseGroup, VersionPair)>,
}

/// One box's own counts of one roll-out.
#[derive(Debug, Clone, Default)]
pub struct RolloutStatistics {
    /// The requests sent since the order.
    pub requests: RequestCounts,
    /// The answers.
    pub groups: BTreeMap<ResponseGroup, VersionPair>,
}

impl RolloutStatistics {
    /// Takes a box's newer word on some stretches.
    pub fn apply_report(&mut self, report: StatisticsReport) {
        let first = report.groups.iter().map(|(group, _)| group.window).min();
        if let Some(first) = first {
            self.groups.retain(|group, _| group.window < first);
        }
        self.requests = report.requests;
        self.groups.extend(report.groups);
        self.drop_old_windows();
    }

    /// Forgets the oldest stretches of a long roll-out, so that what is kept does not grow.
    pub fn drop_old_windows(&mut self) {
        let newest = self.groups.keys().next_back();
        let first = newest.map_or(0, |group| group.window.saturating_sub(KEPT_WINDOWS));
        self.groups.retain(|group, _| group.window >= first);
    }

    /// Returns the number of the new version's answers before a stretch.
    pub fn responses_before(&self, window: u16) -> u32 {
        let is_before = |(group, _): &(&ResponseGroup, &VersionPair)| {
            group.window < window && group.metric != LatencyMetric::EventInterval
        };
        let groups = self.groups.iter().filter(is_before);
        groups.map(|(_, pair)| pair.new.finished()).sum()
    }

    /// Returns the answers of the stretches that a range holds.
    pub fn in_windows(&self, windows: impl RangeBounds<u16>) -> Self {
        let is_in_range =
            |(group, _): &(&ResponseGroup, &VersionPair)| windows.contains(&group.window);
        let groups = self.groups.iter().filter(is_in_range);
        Self {
            requests: self.requests,
            groups: groups
                .map(|(group, pair)| (group.clone(), pair.clone()))
                .collect(),
        }
    }

    /// Adds another box's counts.
    pub fn merge(&mut self, other: &Self) {
        self.requests.merge(&other.requests);
        for (group, pair) in &other.groups {
            self.groups.entry(group.clone()).or_default().merge(pair);
        }
    }

    /// Returns what a report repeats.
    pub fn recent_windows(&self) -> Vec<(ResponseGroup, VersionPair)> {
        let newest = self.groups.keys().next_back();
        let first = newest.map_or(0, |group| group.window.saturating_sub(REPORTED_WINDOWS));
        let is_recent = |(group, _): &(&ResponseGroup, &VersionPair)| group.window >= first;
        let groups = self.groups.iter().filter(is_recent);
        groups
            .map(|(group, pair)| (group.clone(), pair.clone()))
            .collect()
    }
}
