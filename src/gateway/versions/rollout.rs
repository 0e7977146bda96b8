//! Roll-outs of a service's version: who is served by which.
//!
//! The leading box takes a roll-out through its stages and keeps the stage in the store;
//! every box follows the stage it has heard of last. Whether a version is bad is found by
//! [`super::watch`]. See `docs/design/platform.md`.

use super::exposure::{ExposureBound, MOST_AT_FIRST, Span};
use super::judge::Evidence;
use super::watch::Verdict;
use crate::clock::{Now, millis};
use crate::gateway::control::rollout::{ELAPSED_WRITE_STEP_PERCENT, Rollout};
use crate::gateway::control::store::{
    ALL_SESSIONS_PERMILLE, RolloutOrder, RolloutRecord, RolloutState,
};
use crate::gateway::place::choose::draw;
use std::time::Duration;

/// How long the time of a roll-out is overdue in its record before the box that is next in line
/// takes it on: the first one does not reach the store, though others hear of it, and a sound
/// version would be late by as long as that lasts.
const OVERDUE: Duration = Duration::from_millis(1500);
/// All sessions, in the type of a hash.
const THOUSAND: u64 = ALL_SESSIONS_PERMILLE as u64;
/// The middle stages, in thousandths of the sessions: at the first the new engines read the
/// prompts of the sessions that move, at the second they bear about what the old ones bear, so
/// that the two can be compared under load. The operators' share may allow less.
pub const MOVING: u32 = 250;
const COMPARED: u32 = 400;
/// When the middle stages begin, in hundredths of the roll-out's time: sessions that are under
/// way may change versions only in its second half.
const MOVING_FROM: u64 = 52;
/// The part of the time, in hundredths, until which the second middle stage goes on while its
/// proof still grows: a sound version loses nothing by it, and what the operators' share leaves
/// is better spent on telling a weak one.
const PROOF_GROWS_UNTIL: u64 = 78;
/// How long a stage lasts at least, in hundredths of the time.
const MOVING_LASTS: u32 = 4;
const ALL_LASTS: u32 = 8;
/// The same for each hundredth, at most: a version that has left its first stage has some four
/// seconds to prove itself, however long the whole roll-out takes.
const LONGEST_HUNDREDTH: Duration = Duration::from_millis(250);
/// How long after an order no session is moved, while boxes tell each other which
/// sessions the old version serves: two of their reports and the way of the order.
const SETTLING: Duration = Duration::from_millis(1600);
/// The part of its time, in hundredths, at which a good roll-out is declared done; the
/// rest covers a store that is away for a while.
const DONE_AT: u64 = 84;
/// The part from which a proof would come too late to be done in time, so that a version about
/// which too little is known is taken back: operators read that it is not in service, and
/// nobody is left on it.
const GIVE_UP_AT: u64 = 92;
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
    /// Whether this box found the target bad, or was told so.
    pub condemned: bool,
    /// Whether this box may not have been told yet, since it has just started.
    pub is_newcomer: bool,
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
        RolloutState::Running if query.is_newcomer && !record.is_proved() => all_but_target(),
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

/// Tells whether a session, by its hash, is among those that the first stage may move.
pub fn may_be_moved_first(session: u64) -> bool {
    session % THOUSAND < u64::from(MOST_AT_FIRST)
}

/// What the leading box knows when it takes a roll-out on.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    /// The time that has surely passed since the order.
    pub elapsed: Duration,
    /// What has probably passed beyond it while no box was there to count.
    pub unseen: Duration,
    /// Whether the target was found bad.
    pub condemned: bool,
    /// What is known of how it answers.
    pub verdict: Verdict,
    /// What operators allow a bad version.
    pub bound: ExposureBound,
}

/// Returns the time of the order at which the present stage began.
pub fn stage_since(record: &RolloutRecord) -> Duration {
    Duration::from_millis(record.stage_ms)
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
        stage_ms: millis(progress.elapsed),
        unseen_ms: 0,
        seen: Box::default(),
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
    let hundredths = part_of(progress.elapsed, order.duration);
    let lasted = progress.elapsed.saturating_sub(stage_since(&next));
    let probably = part_of(progress.elapsed + progress.unseen, order.duration);
    let is_too_late = probably >= GIVE_UP_AT && !next.is_proved();
    if progress.condemned || is_too_late {
        next.state = RolloutState::Reverted;
        next.permille = 0;
        next.rejected.push(order.target.clone());
    } else if next.is_proved() {
        if probably >= DONE_AT && lasted >= least(ALL_LASTS, order) {
            next.state = RolloutState::Done;
        }
    } else if progress.elapsed >= SETTLING {
        next.permille = next_stage(next.permille, hundredths, lasted, order, progress);
    }
    let is_stage = current
        .as_ref()
        .is_none_or(|current| current.state != next.state || current.permille != next.permille);
    if is_stage {
        next.stage_ms = millis(progress.elapsed);
    }
    let is_time_due = progress.elapsed >= time_due(order, &next);
    next.elapsed_ms = millis(progress.elapsed);
    next.unseen_ms = millis(progress.unseen);
    *next.seen = match is_stage {
        true => progress.verdict.seen.at_next_stage(),
        false => progress.verdict.seen,
    };
    (is_stage || is_time_due).then_some(next)
}

/// Returns the time of an order at which it is to be written down again.
fn time_due(order: &RolloutOrder, record: &RolloutRecord) -> Duration {
    Duration::from_millis(record.elapsed_ms) + order.duration / 100 * ELAPSED_WRITE_STEP_PERCENT
}

/// Tells whether the box that leads a roll-out has not written for so long that another one
/// should.
pub fn is_overdue(order: &RolloutOrder, known: Option<&RolloutRecord>, elapsed: Duration) -> bool {
    let current = known.filter(|known| known.order_revision == order.revision);
    let due = current.map_or(Duration::ZERO, |current| time_due(order, current));
    elapsed >= due + OVERDUE
}

/// Returns the stage that follows, or the present one for as long as it has to last or nothing
/// proves the version good: no alarm is no proof.
fn next_stage(
    present: u32,
    hundredths: u64,
    lasted: Duration,
    order: &RolloutOrder,
    progress: Progress,
) -> u32 {
    let span = Span {
        elapsed: progress.elapsed,
        duration: order.duration,
    };
    let verdict = progress.verdict;
    let moving = progress.bound.middle_stage(MOVING);
    let compared = progress.bound.middle_stage(COMPARED);
    let (is_due, following) = match present {
        0 => (true, progress.bound.first_stage(verdict.sent, span)),
        at if at >= compared => {
            let may_grow = hundredths < PROOF_GROWS_UNTIL
                && !progress.bound.is_nearly_spent(verdict.sent, span);
            let asked = match may_grow {
                true => Evidence::BeyondDoubt,
                false => Evidence::Proves,
            };
            let is_borne = verdict.at_stage >= Evidence::Speaks
                && verdict.evidence >= Evidence::Proves
                && progress.bound.bears_all(verdict.sent, span);
            (verdict.at_stage >= asked || is_borne, ALL_SESSIONS_PERMILLE)
        }
        at if at >= moving => (
            lasted >= least(MOVING_LASTS, order) && verdict.evidence >= Evidence::Triable,
            compared,
        ),
        _ => (
            hundredths >= MOVING_FROM && verdict.evidence >= Evidence::Triable,
            moving,
        ),
    };
    match is_due {
        true => following.max(present),
        false => present,
    }
}

/// Returns how long a stage of so many hundredths lasts at least.
fn least(hundredths: u32, order: &RolloutOrder) -> Duration {
    (order.duration / 100).min(LONGEST_HUNDREDTH) * hundredths
}

fn part_of(elapsed: Duration, whole: Duration) -> u64 {
    let whole = millis(whole).max(1);
    millis(elapsed).saturating_mul(100) / whole
}
