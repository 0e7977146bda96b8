//! Request and response statistics of the versions of a service under rollout.
//!
//! Responses are grouped by the time window in which their requests were sent, by route and by
//! metric, so that those of the new version are compared with concurrent ones of the old version.

use super::histogram::TimeHistogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::RangeBounds;
use std::time::Duration;

/// The number of recent windows that each report includes. Older windows change only by responses
/// that took a third of the rollout's time.
const REPORTED_WINDOWS: u16 = 10;

/// The number of windows that are kept: two minutes, in which a version is evaluated many times.
const KEPT_WINDOWS: u16 = 120;

/// What is timed of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LatencyMetric {
    /// The time to the head of an engine's response, in multiples of the expected time.
    HeadDelay,
    /// The mean time between two events of a stream, in seconds.
    EventInterval,
    /// The time to a complete plain response, in seconds.
    ResponseTime,
}

/// Identifies the responses of a window that are compared with each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ResponseKind<'a> {
    /// The route.
    pub route: &'a str,
    /// What is timed.
    pub metric: LatencyMetric,
}

/// Identifies a group of responses that are compared with each other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResponseGroup {
    /// The time window in which their requests were sent.
    pub window: u16,
    /// The route.
    pub route: String,
    /// What is timed.
    pub metric: LatencyMetric,
}

impl ResponseGroup {
    /// Returns what the group shares with those of other windows.
    pub fn kind(&self) -> ResponseKind<'_> {
        ResponseKind {
            route: &self.route,
            metric: self.metric,
        }
    }
}

/// The classification of a request when it is sent during a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SampledRequest {
    /// The order's revision in the store.
    pub order: u64,
    /// The time window of the rollout.
    pub window: u16,
    /// The time since the order.
    pub elapsed: Duration,
    /// Whether the request goes to the new version.
    pub is_new_version: bool,
}

/// The responses of one version in a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseStatistics {
    /// The times of completed responses.
    pub completed: TimeHistogram,
    /// The times that responses in flight have taken so far.
    pub in_flight: TimeHistogram,
    /// The number of requests that the upstream failed to answer.
    pub failed: u32,
}

impl ResponseStatistics {
    /// Returns the number of completed responses and of those in flight.
    pub fn timed(&self) -> u32 {
        self.completed.total() + self.in_flight.total()
    }

    /// Returns the number of completed and failed responses.
    pub fn finished(&self) -> u32 {
        self.completed.total() + self.failed
    }

    /// Adds the statistics of other responses.
    pub fn merge(&mut self, other: &Self) {
        self.completed.merge(&other.completed);
        self.in_flight.merge(&other.in_flight);
        self.failed += other.failed;
    }
}

/// The responses of both versions in a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionPair {
    /// The responses of the version under rollout.
    pub new: ResponseStatistics,
    /// The responses of the previous versions.
    pub old: ResponseStatistics,
}

impl VersionPair {
    /// Returns the responses of one of the two.
    pub fn version_mut(&mut self, is_new_version: bool) -> &mut ResponseStatistics {
        match is_new_version {
            true => &mut self.new,
            false => &mut self.old,
        }
    }

    /// Adds the statistics of another pair.
    pub fn merge(&mut self, other: &Self) {
        self.new.merge(&other.new);
        self.old.merge(&other.old);
    }
}

/// Numbers of requests to a service under rollout.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests to the version under rollout.
    pub new_version: u64,
    /// Requests to all versions.
    pub all: u64,
    /// The time between the order and the first counted request; `None` if there is none. A
    /// restarted box has not counted the requests before its start.
    pub first_at: Option<Duration>,
}

impl RequestCounts {
    /// Counts a request.
    pub fn record(&mut self, request: SampledRequest) {
        self.all += 1;
        self.new_version += u64::from(request.is_new_version);
        self.first_at = earliest(self.first_at, Some(request.elapsed));
    }

    /// Adds the counts of another box.
    pub fn merge(&mut self, other: &Self) {
        self.new_version += other.new_version;
        self.all += other.all;
        self.first_at = earliest(self.first_at, other.first_at);
    }
}

fn earliest(one: Option<Duration>, other: Option<Duration>) -> Option<Duration> {
    one.into_iter().chain(other).min()
}

/// One box's report on a rollout to other boxes. It replaces what the box reported before on the
/// same windows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatisticsReport {
    /// Identifies the box and its start.
    pub reporter: String,
    /// Increases with each report of a reporter, so that reports out of order are detected.
    pub sequence: u64,
    /// The order's revision in the store.
    pub order: u64,
    /// The requests that the box has sent since the order.
    pub requests: RequestCounts,
    /// The groups of the most recent windows.
    pub groups: Vec<(ResponseGroup, VersionPair)>,
}

/// The statistics of one rollout.
#[derive(Debug, Clone, Default)]
pub struct RolloutStatistics {
    /// The requests since the order.
    pub requests: RequestCounts,
    /// The responses by group.
    pub groups: BTreeMap<ResponseGroup, VersionPair>,
}

impl RolloutStatistics {
    /// Replaces the windows that a box's newer report covers.
    pub fn apply_report(&mut self, report: StatisticsReport) {
        let first = report.groups.iter().map(|(group, _)| group.window).min();
        if let Some(first) = first {
            self.groups.retain(|group, _| group.window < first);
        }
        self.requests = report.requests;
        self.groups.extend(report.groups);
        self.drop_old_windows();
    }

    /// Drops the oldest windows of a long rollout, so that memory stays bounded.
    pub fn drop_old_windows(&mut self) {
        let newest = self.groups.keys().next_back();
        let first = newest.map_or(0, |group| group.window.saturating_sub(KEPT_WINDOWS));
        self.groups.retain(|group, _| group.window >= first);
    }

    /// Returns the number of responses of the new version before a window.
    pub fn responses_before(&self, window: u16) -> u32 {
        let is_before = |(group, _): &(&ResponseGroup, &VersionPair)| {
            group.window < window && group.metric != LatencyMetric::EventInterval
        };
        let groups = self.groups.iter().filter(is_before);
        groups.map(|(_, pair)| pair.new.finished()).sum()
    }

    /// Returns the statistics of a range of windows.
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

    /// Adds the statistics of another box.
    pub fn merge(&mut self, other: &Self) {
        self.requests.merge(&other.requests);
        for (group, pair) in &other.groups {
            self.groups.entry(group.clone()).or_default().merge(pair);
        }
    }

    /// Returns the windows that a report includes.
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
