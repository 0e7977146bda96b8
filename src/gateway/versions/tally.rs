//! What a box has seen of the versions of a service under roll-out, old and new.
//!
//! Answers are counted by the stretch of the roll-out's time in which their requests were sent,
//! by route and by what is timed, so that those of the new version are compared with those of
//! the old one that ran beside them. What is still under way is counted as such: the answers
//! of a slow version are the last ones to come.

use super::times::Times;
use crate::clock::Now;
use crate::gateway::control::knowledge::Rollout;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// The stretches of a roll-out's time. In one, answers of all boxes are some thirty where a
/// service gets 25 requests a second for 20 s; load and trouble change from one to the next.
pub const STRETCHES: u32 = 24;
/// Stretches that a report repeats. What changes in older ones are answers that took a third
/// of the roll-out's time.
const REPORTED_STRETCHES: u16 = 10;

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
    }

    /// Adds another box's counts.
    pub fn extend(&mut self, other: &Self) {
        self.sent.new += other.sent.new;
        self.sent.all += other.sent.all;
        for (group, pair) in &other.groups {
            self.groups.entry(group.clone()).or_default().extend(pair);
        }
    }

    fn newest_stretches(&self) -> Vec<(Group, Pair)> {
        let newest = self.groups.keys().next_back();
        let first = newest.map_or(0, |group| group.stretch.saturating_sub(REPORTED_STRETCHES));
        let is_new = |(group, _): &(&Group, &Pair)| group.stretch >= first;
        let groups = self.groups.iter().filter(is_new);
        groups
            .map(|(group, pair)| (group.clone(), pair.clone()))
            .collect()
    }
}

/// One box's own counts of one roll-out, and its answers under way.
#[derive(Debug, Default)]
struct Own {
    counted: Counted,
    open: HashMap<u64, Open>,
}

/// An answer under way.
#[derive(Debug)]
struct Open {
    group: Group,
    is_new: bool,
    began: Duration,
    unit: f64,
}

impl Own {
    /// Returns the counts with how long the answers under way have taken so far.
    fn by(&self, now: Now) -> Counted {
        let mut counted = self.counted.clone();
        for open in self.open.values() {
            let so_far = now.monotonic.saturating_sub(open.began).as_secs_f64();
            let pair = counted.groups.entry(open.group.clone()).or_default();
            pair.side(open.is_new).open.add(so_far / open.unit);
        }
        counted
    }
}

/// A box's own counts, shared with the answers that are under way.
#[derive(Debug, Clone, Default)]
pub struct Tally(Rc<RefCell<Owns>>);

#[derive(Debug, Default)]
struct Owns {
    next_id: u64,
    by_order: HashMap<u64, Own>,
}

impl Tally {
    /// Counts a request that is sent.
    pub fn sent(&self, trial: Trial) {
        let mut owns = self.0.borrow_mut();
        let sent = &mut owns.by_order.entry(trial.order).or_default().counted.sent;
        sent.all += 1;
        sent.new += u64::from(trial.is_new);
    }

    /// Begins to time an answer; `unit` is what its measure counts in, in seconds.
    pub fn begin(&self, trial: Trial, kind: Kind<'_>, unit: f64, now: Now) -> Timed {
        let open = Open {
            group: Group {
                stretch: trial.stretch,
                route: kind.route.to_owned(),
                measure: kind.measure,
            },
            is_new: trial.is_new,
            began: now.monotonic,
            unit,
        };
        let mut owns = self.0.borrow_mut();
        owns.next_id += 1;
        let id = owns.next_id;
        let own = owns.by_order.entry(trial.order).or_default();
        own.open.insert(id, open);
        Timed {
            tally: self.clone(),
            order: trial.order,
            id,
        }
    }

    /// Forgets all orders but those in force.
    pub fn keep(&self, is_in_force: impl Fn(u64) -> bool) {
        let mut owns = self.0.borrow_mut();
        owns.by_order.retain(|order, _| is_in_force(*order));
    }

    /// Returns what was counted of an order.
    pub fn counted(&self, order: u64, now: Now) -> Counted {
        let owns = self.0.borrow();
        let own = owns.by_order.get(&order);
        own.map_or_else(Counted::default, |own| own.by(now))
    }

    /// Returns what other boxes are to be told.
    pub fn reports(&self, reporter: &str, number: u64, now: Now) -> Vec<Report> {
        let owns = self.0.borrow();
        let report = |(order, own): (&u64, &Own)| {
            let counted = own.by(now);
            Report {
                reporter: reporter.to_owned(),
                number,
                order: *order,
                sent: counted.sent,
                groups: counted.newest_stretches(),
            }
        };
        owns.by_order.iter().map(report).collect()
    }
}

/// An answer under way. One that is dropped without a time says nothing: its caller has left,
/// or it broke off, which is no fault of the version.
#[derive(Debug)]
#[must_use]
pub struct Timed {
    tally: Tally,
    order: u64,
    id: u64,
}

impl Timed {
    /// Records that the answer has come.
    pub fn came(self, now: Now) {
        self.end(|answers, open| {
            let took = now.monotonic.saturating_sub(open.began).as_secs_f64();
            answers.times.add(took / open.unit);
        });
    }

    /// Records the answer's time, in the unit of its measure.
    pub fn took(self, time: f64) {
        self.end(|answers, _open| answers.times.add(time));
    }

    /// Records that the upstream failed to give the answer.
    pub fn failed(self) {
        self.end(|answers, _open| answers.failed += 1);
    }

    /// Ends the answer, if its order is still in force.
    fn end(&self, count: impl FnOnce(&mut Answers, &Open)) {
        let mut owns = self.tally.0.borrow_mut();
        let Some(own) = owns.by_order.get_mut(&self.order) else {
            return;
        };
        let Some(open) = own.open.remove(&self.id) else {
            return;
        };
        let pair = own.counted.groups.entry(open.group.clone()).or_default();
        count(pair.side(open.is_new), &open);
    }
}

impl Drop for Timed {
    fn drop(&mut self) {
        self.end(|_answers, _open| {});
    }
}

/// Returns the stretch of a roll-out's time, the last one from its end on.
pub fn stretch_at(elapsed: Duration, duration: Duration) -> u16 {
    let part = elapsed.as_secs_f64() / duration.as_secs_f64().max(f64::MIN_POSITIVE);
    // A part of the time below one and a small number fit any integer.
    (part.min(1.0) * f64::from(STRETCHES)) as u16
}

/// Returns where a request to a version stands in a service's roll-out; none if there is none
/// under way.
pub fn trial(rollout: &Rollout, version: &str, now: Now) -> Option<Trial> {
    let (order, _) = rollout.order.as_ref()?;
    let elapsed = rollout.elapsed(now)?;
    let is_running = rollout.running(order).is_some();
    (is_running && elapsed <= order.duration).then(|| Trial {
        order: order.revision,
        stretch: stretch_at(elapsed, order.duration),
        is_new: order.target == version,
    })
}
