//! What a box counts of the versions of a service under roll-out.
//!
//! What is still under way is counted as such: the answers of a slow version are the last ones
//! to come.

use super::observed::{Answers, Counted, Group, Kind, Report, Trial};
use crate::clock::Now;
use crate::gateway::control::rollout::Rollout;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// The stretches of a roll-out's time: long enough for answers to compare, short enough that load
/// and trouble are much the same throughout.
const STRETCHES: u32 = 24;
/// The longest of them. A stage is judged from the stretch after its beginning on, and has some
/// four seconds to prove itself, however long the whole roll-out takes.
const LONGEST_STRETCH: Duration = Duration::from_secs(1);

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
        let own = owns.by_order.entry(trial.order).or_default();
        own.counted.sent.count(trial);
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
        for own in owns.by_order.values_mut() {
            own.counted.forget_oldest();
        }
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
    let length = (duration / STRETCHES).min(LONGEST_STRETCH);
    let seconds = length.as_secs_f64().max(f64::MIN_POSITIVE);
    // A roll-out of more than 65,535 seconds ends in one long stretch.
    (elapsed.min(duration).as_secs_f64() / seconds) as u16
}

/// Returns where a request to a version stands in a service's roll-out; none if there is none
/// under way.
pub fn trial(rollout: &Rollout, version: &str, now: Now) -> Option<Trial> {
    let (order, _) = rollout.order.as_ref()?;
    let elapsed = rollout.elapsed(now)?;
    let is_running = rollout.running_record(order).is_some();
    (is_running && elapsed <= order.duration).then(|| Trial {
        order: order.revision,
        stretch: stretch_at(elapsed, order.duration),
        elapsed,
        is_new: order.target == version,
    })
}
