//! Roll-outs of a service's version: who is served by which.
//!
//! The leading box takes a roll-out through its stages and keeps the stage in the store;
//! every box follows the stage it has heard of last. Whether a version is bad is found by
//! [`super::watch`]. See `docs/design/platform.md`.

use crate::clock::{Now, millis};
use crate::gateway::control::knowledge::Rollout;
use crate::gateway::control::store::{RolloutOrder, RolloutRecord, RolloutState};
use crate::gateway::place::choose::draw;
use std::time::Duration;

const THOUSAND: u64 = 1000;
/// The stages of a roll-out: from this part of its time on (in hundredths), this part of
/// the sessions (in thousandths) is served by the target. The operators allow a bad
/// version 15 in 100 of the requests of the whole time; 10 in 100 over the first half
/// leaves room for what is under way when it is found bad. Sessions that are under way
/// may change versions only in the second half.
const STAGES: [(u64, u32); 5] = [(0, 100), (52, 250), (60, 500), (68, 800), (76, 1000)];
/// How long after an order no session is moved, while boxes tell each other which
/// sessions the old version serves: two of their reports and the way of the order.
const SETTLING: Duration = Duration::from_millis(1600);
/// The part of its time, in hundredths, at which a good roll-out is declared done; the
/// rest covers a store that is away for a while.
const DONE_AT: u64 = 84;
/// The fewest answers of a new version from which it is taken to be good.
const FEWEST_ANSWERS: u64 = 20;
/// Which versions of a service may serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionRule {
    /// Any but these.
    AnyBut(Vec<String>),
    /// This one, or any other if no upstream of it is left.
    Prefer(String),
}

impl VersionRule {
    /// Tells whether an upstream's version may serve, the fallback left aside.
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::AnyBut(excluded) => !excluded.iter().any(|found| found == version),
            Self::Prefer(wanted) => wanted == version,
        }
    }
}

/// What is asked about one request.
#[derive(Debug, Clone, Copy)]
pub struct VersionQuery<'a> {
    /// What the requests of a session have in common.
    pub session: &'a str,
    /// The version that served the session a short while ago.
    pub pinned: Option<&'a str>,
    /// Whether some box saw the old version serve the session when the order came.
    pub stays_old: bool,
    /// Whether this box found the target bad.
    pub condemned: bool,
}

/// Decides which versions may serve a request.
pub fn version_rule(rollout: Option<&Rollout>, query: VersionQuery<'_>, now: Now) -> VersionRule {
    let Some(rollout) = rollout else {
        return VersionRule::AnyBut(Vec::new());
    };
    let record = rollout.record.as_ref().map(|record| &record.record);
    let rejected = || record.map_or_else(Vec::new, |record| record.rejected.clone());
    let Some((order, _)) = &rollout.order else {
        return VersionRule::AnyBut(rejected());
    };
    let all_but_target = || {
        let mut excluded = rejected();
        excluded.push(order.target.clone());
        VersionRule::AnyBut(excluded)
    };
    let Some(record) = record.filter(|record| record.order_revision == order.revision) else {
        return all_but_target();
    };
    match record.state {
        RolloutState::Done => VersionRule::Prefer(order.target.clone()),
        RolloutState::Reverted => all_but_target(),
        RolloutState::Running if query.condemned => all_but_target(),
        RolloutState::Running => {
            let elapsed = rollout.elapsed(now).unwrap_or_default();
            let is_first_half = elapsed < order.duration / 2;
            let by_stage = draw(query.session) % THOUSAND < u64::from(record.permille);
            let target = match query.pinned {
                Some(pinned) if pinned == order.target => true,
                Some(_) if is_first_half => false,
                None if is_first_half && query.stays_old => false,
                _ => by_stage,
            };
            match target {
                true => VersionRule::Prefer(order.target.clone()),
                false => all_but_target(),
            }
        }
    }
}

/// Tells whether a session, by its hash, is among those that the first stage moves.
pub fn may_be_moved_first(session: u64) -> bool {
    session % THOUSAND < u64::from(STAGES[0].1)
}

/// What the leading box knows when it takes a roll-out on.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    /// The time since the order.
    pub elapsed: Duration,
    /// Whether the target was found bad.
    pub condemned: bool,
    /// The target's answers so far.
    pub answers: u64,
}

/// Returns the next record of a roll-out, if it has to change.
pub fn next_record(
    order: &RolloutOrder,
    known: Option<&RolloutRecord>,
    progress: Progress,
) -> Option<RolloutRecord> {
    let current = known.filter(|known| known.order_revision == order.revision);
    let rejected = known.map_or_else(Vec::new, |known| known.rejected.clone());
    let begun = RolloutRecord {
        service: order.service.clone(),
        target: order.target.clone(),
        order_revision: order.revision,
        state: RolloutState::Running,
        permille: 0,
        elapsed_ms: millis(progress.elapsed),
        rejected: rejected
            .into_iter()
            .filter(|version| *version != order.target)
            .collect(),
    };
    let current = current.cloned();
    let mut next = current.clone().unwrap_or(begun);
    if next.state != RolloutState::Running {
        return None;
    }
    if progress.condemned {
        next.state = RolloutState::Reverted;
        next.permille = 0;
        next.rejected.push(order.target.clone());
    } else if progress.elapsed >= SETTLING {
        let hundredths = part_of(progress.elapsed, order.duration);
        next.permille = next.permille.max(stage(hundredths, progress.answers));
        if hundredths >= DONE_AT && next.permille == STAGES[STAGES.len() - 1].1 {
            next.state = RolloutState::Done;
        }
    }
    let changed = current
        .is_none_or(|current| current.state != next.state || current.permille != next.permille);
    next.elapsed_ms = millis(progress.elapsed);
    changed.then_some(next)
}

fn stage(hundredths: u64, answers: u64) -> u32 {
    let reached = STAGES.iter().rev().find(|(from, _)| hundredths >= *from);
    match reached {
        Some((from, permille)) if *from == 0 || answers >= FEWEST_ANSWERS => *permille,
        _ => STAGES[0].1,
    }
}

fn part_of(elapsed: Duration, whole: Duration) -> u64 {
    let whole = millis(whole).max(1);
    millis(elapsed).saturating_mul(100) / whole
}
