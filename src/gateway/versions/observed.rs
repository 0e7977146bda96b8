//! What was observed of the versions of a service under roll-out, old and new.
//!
//! Answers are grouped by the stretch of the roll-out's time in which their requests were sent,
//! by route and by what is timed, so that those of the new version are compared with those of
//! the old one that ran beside them.

use super::times::Times;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::RangeBounds;
use std::time::Duration;

/// Stretches that a report repeats. What changes in older ones are answers that took a third
/// of the roll-out's time.
const REPORTED_STRETCHES: u16 = 10;

/// Stretches that are kept: two minutes, in which a version on trial is judged many times.
const KEPT_STRETCHES: u16 = 120;

/// What is timed of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Measure {
    /// An engine's way to the head of its answer, in parts of the expected time.
    Head,
    /// The mean time between two events of a stream, in seconds.
    Pace,
    /// A plain answer, in seconds.
    Whole,
}

/// Which answers of a stretch are compared with each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Kind<'a> {
    /// Their route.
    pub route: &'a str,
    /// What is timed.
    pub measure: Measure,
}

/// Answers that are compared with each other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Group {
    /// The stretch in which their requests were sent.
    pub stretch: u16,
    /// Their route.
    pub route: String,
    /// What is timed.
    pub measure: Measure,
}

impl Group {
    /// Returns what the group has in common with those of other stretches.
    pub fn kind(&self) -> Kind<'_> {
        Kind {
            route: &self.route,
            measure: self.measure,
        }
    }
}

/// Where a request stands in a roll-out when it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    /// The order's revision in the store.
    pub order: u64,
    /// The stretch of the roll-out's time.
    pub stretch: u16,
    /// The time since the order.
    pub elapsed: Duration,
    /// Whether the request goes to the new version.
    pub is_new: bool,
}

/// The answers of one version in a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answers {
    /// The times of those that came.
    pub times: Times,
    /// How long those under way have taken so far.
    pub open: Times,
    /// Those that the upstream failed to give.
    pub failed: u32,
}

impl Answers {
    /// Returns the number of those that were or are being timed.
    pub fn timed(&self) -> u32 {
        self.times.total() + self.open.total()
    }

    /// Returns the number of those that came or failed.
    pub fn answers(&self) -> u32 {
        self.times.total() + self.failed
    }

    /// Adds other answers.
    pub fn extend(&mut self, other: &Self) {
        self.times.extend(&other.times);
        self.open.extend(&other.open);
        self.failed += other.failed;
    }
}

/// The answers of both versions in a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// Those of the version under roll-out.
    pub new: Answers,
    /// Those of the versions before it.
    pub old: Answers,
}

impl Pair {
    /// Returns the answers of one side.
    pub fn side(&mut self, is_new: bool) -> &mut Answers {
        match is_new {
            true => &mut self.new,
            false => &mut self.old,
        }
    }

    /// Adds the answers of another pair.
    pub fn extend(&mut self, other: &Self) {
        self.new.extend(&other.new);
        self.old.extend(&other.old);
    }
}

/// Requests that were sent to a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sent {
    /// Those to the version under roll-out.
    pub new: u64,
    /// All of them.
    pub all: u64,
    /// The time since the order at which the first of them was sent; none if there are none.
    /// Boxes that were restarted have not counted what came before.
    pub from: Option<Duration>,
}

impl Sent {
    /// Counts a request.
    pub fn count(&mut self, trial: Trial) {
        self.all += 1;
        self.new += u64::from(trial.is_new);
        self.from = earlier(self.from, Some(trial.elapsed));
    }

    /// Adds another box's requests.
    pub fn extend(&mut self, other: &Self) {
        self.new += other.new;
        self.all += other.all;
        self.from = earlier(self.from, other.from);
    }
}

fn earlier(one: Option<Duration>, other: Option<Duration>) -> Option<Duration> {
    one.into_iter().chain(other).min()
}

/// What a box tells others of a roll-out. It takes the place of what the box said before of
/// the same stretches.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// The name of the box's life.
    pub reporter: String,
    /// Reports of a life count up, so that a late one is known as such.
    pub number: u64,
    /// The order's revision in the store.
    pub order: u64,
    /// The requests that the box has sent since the order.
    pub sent: Sent,
    /// The newest stretches.
    pub groups: Vec<(Group, Pair)>,
}

/// One box's own counts of one roll-out.
#[derive(Debug, Clone, Default)]
pub struct Counted {
    /// The requests sent since the order.
    pub sent: Sent,
    /// The answers.
    pub groups: BTreeMap<Group, Pair>,
}

impl Counted {
    /// Takes a box's newer word on some stretches.
    pub fn replace(&mut self, report: Report) {
        let first = report.groups.iter().map(|(group, _)| group.stretch).min();
        if let Some(first) = first {
            self.groups.retain(|group, _| group.stretch < first);
        }
        self.sent = report.sent;
        self.groups.extend(report.groups);
        self.forget_oldest();
    }

    /// Forgets the oldest stretches of a long roll-out, so that what is kept does not grow.
    pub fn forget_oldest(&mut self) {
        let newest = self.groups.keys().next_back();
        let first = newest.map_or(0, |group| group.stretch.saturating_sub(KEPT_STRETCHES));
        self.groups.retain(|group, _| group.stretch >= first);
    }

    /// Returns the number of the new version's answers before a stretch.
    pub fn answers_before(&self, stretch: u16) -> u32 {
        let is_before = |(group, _): &(&Group, &Pair)| {
            group.stretch < stretch && group.measure != Measure::Pace
        };
        let groups = self.groups.iter().filter(is_before);
        groups.map(|(_, pair)| pair.new.answers()).sum()
    }

    /// Returns the answers of the stretches that a range holds.
    pub fn within(&self, stretches: impl RangeBounds<u16>) -> Self {
        let is_within = |(group, _): &(&Group, &Pair)| stretches.contains(&group.stretch);
        let groups = self.groups.iter().filter(is_within);
        Self {
            sent: self.sent,
            groups: groups
                .map(|(group, pair)| (group.clone(), pair.clone()))
                .collect(),
        }
    }

    /// Adds another box's counts.
    pub fn extend(&mut self, other: &Self) {
        self.sent.extend(&other.sent);
        for (group, pair) in &other.groups {
            self.groups.entry(group.clone()).or_default().extend(pair);
        }
    }

    /// Returns what a report repeats.
    pub fn newest_stretches(&self) -> Vec<(Group, Pair)> {
        let newest = self.groups.keys().next_back();
        let first = newest.map_or(0, |group| group.stretch.saturating_sub(REPORTED_STRETCHES));
        let is_new = |(group, _): &(&Group, &Pair)| group.stretch >= first;
        let groups = self.groups.iter().filter(is_new);
        groups
            .map(|(group, pair)| (group.clone(), pair.clone()))
            .collect()
    }
}
