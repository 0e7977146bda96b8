//! Roll-outs of a service's version: who is served by which.
//!
//! The leading box takes a roll-out through its stages and keeps the stage in the store;
//! every box follows the stage it has heard of last. Whether a version is bad is found by
//! [`super::monitor`]. See `docs/design/platform.md`.

use super::exposure::{ExposureBound, MAX_FIRST_STAGE_PERMILLE, RolloutTime};
use super::latency_evidence::EvidenceLevel;
use super::monitor::Verdict;
use crate::clock::{Now, millis};
use crate::gateway::control::rollout::{Rollout, TIME_WRITTEN_EACH};
use crate::gateway::control::store::{ALL_SESSIONS, RolloutOrder, RolloutRecord, RolloutState};
use crate::gateway::place::choose::draw;
use std::time::Duration;

/// How long the time of a roll-out is overdue in its record before the box that is next in line
/// takes it on: the first one does not reach the store, though others hear of it, and a sound
/// version would be late by as long as that lasts.
const RECORD_OVERDUE_AFTER: Duration = Duration::from_millis(1500);
/// All sessions, in the type of a hash.
const SESSION_BUCKETS: u64 = ALL_SESSIONS as u64;
/// The middle stages, in thousandths of the sessions: at the first the new engines read the
/// prompts of the sessions that move, at the second they bear about what the old ones bear, so
/// that the two can be compared under load. The operators' share may allow less.
pub const MIGRATION_STAGE_PERMILLE: u32 = 250;
const COMPARISON_STAGE_PERMILLE: u32 = 400;
/// When the middle stages begin, in hundredths of the roll-out's time: sessions that are under
/// way may change versions only in its second half.
const MIGRATION_START_PERCENT: u64 = 52;
/// The part of the time, in hundredths, until which the second middle stage goes on while its
/// proof still grows: a sound version loses nothing by it, and what the operators' share leaves
/// is better spent on telling a weak one.
const CONCLUSIVE_UNTIL_PERCENT: u64 = 78;
/// How long a stage lasts at least, in hundredths of the time.
const MIGRATION_MIN_PERCENT: u32 = 4;
const FULL_STAGE_MIN_PERCENT: u32 = 8;
/// The same for each hundredth, at most: a version that has left its first stage has some four
/// seconds to prove itself, however long the whole roll-out takes.
const MAX_PERCENT_DURATION: Duration = Duration::from_millis(250);
/// How long after an order no session is moved, while boxes tell each other which
/// sessions the old version serves: two of their reports and the way of the order.
const SESSION_EXCHANGE_TIME: Duration = Duration::from_millis(1600);
/// The part of its time, in hundredths, at which a good roll-out is declared done; the
/// rest covers a store that is away for a while.
const DONE_AT_PERCENT: u64 = 84;
/// The part from which a proof would come too late to be done in time, so that a version about
/// which too little is known is taken back: operators read that it is not in service, and
/// nobody is left on it.
const GIVE_UP_AT_PERCENT: u64 = 92;
/// Which versions of a service may serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionRule {
    /// Any but these.
    AnyExcept(Vec<String>),
    /// This one, or any other if no upstream of it is left.
    Prefer(String),
}

impl VersionRule {
    /// Tells whether an upstream's version may serve, the fallback left aside.
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::AnyExcept(excluded) => !excluded.iter().any(|found| found == version),
            Self::Prefer(preferred) => preferred == version,
        }
    }
}

/// What is asked about one request.
#[derive(Debug, Clone, Copy)]
pub struct VersionQuery<'a> {
    /// What the requests of a session have in common.
    pub session: &'a str,
    /// The version that served the session a short while ago.
    pub session_version: Option<&'a str>,
    /// Whether some box saw the old version serve the session when the order came.
    pub stays_on_old_version: bool,
    /// Whether this box found the target bad, or was told so.
    pub is_rejected: bool,
    /// Whether this box may not have been told yet, since it has just started.
    pub has_just_started: bool,
}

/// Decides which versions may serve a request.
pub fn version_rule(rollout: Option<&Rollout>, query: VersionQuery<'_>, now: Now) -> VersionRule {
    let Some(rollout) = rollout else {
        return VersionRule::AnyExcept(Vec::new());
    };
    let record = rollout.record.as_ref().map(|record| &record.record);
    let rejected = || record.map_or_else(Vec::new, |record| record.rejected.clone());
    let Some((order, _)) = &rollout.order else {
        return VersionRule::AnyExcept(rejected());
    };
    let any_except_target = || {
        let mut excluded = rejected();
        excluded.push(order.target.clone());
        VersionRule::AnyExcept(excluded)
    };
    let Some(record) = record.filter(|record| record.order_revision == order.revision) else {
        return any_except_target();
    };
    match record.state {
        RolloutState::Done => VersionRule::Prefer(order.target.clone()),
        RolloutState::Reverted => any_except_target(),
        RolloutState::Running if query.is_rejected => any_except_target(),
        RolloutState::Running if query.has_just_started && !record.is_proved() => {
            any_except_target()
        }
        RolloutState::Running => {
            let elapsed = rollout.elapsed(now).unwrap_or_default();
            let is_first_half = elapsed < order.duration / 2;
            let by_stage = draw(query.session) % SESSION_BUCKETS < u64::from(record.permille);
            let target = match query.session_version {
                Some(session_version) if session_version == order.target => true,
                Some(_) if is_first_half => false,
                None if is_first_half && query.stays_on_old_version => false,
                _ => by_stage,
            };
            match target {
                true => VersionRule::Prefer(order.target.clone()),
                false => any_except_target(),
            }
        }
    }
}

/// Tells whether a session, by its hash, is among those that the first stage may move.
pub fn may_move_in_first_stage(session: u64) -> bool {
    session % SESSION_BUCKETS < u64::from(MAX_FIRST_STAGE_PERMILLE)
}

/// What the leading box knows when it takes a roll-out on.
#[derive(Debug, Clone, Copy)]
pub struct RolloutProgress {
    /// The time that has surely passed since the order.
    pub elapsed: Duration,
    /// What has probably passed beyond it while no box was there to count.
    pub unobserved: Duration,
    /// Whether the target was found bad.
    pub is_rejected: bool,
    /// What is known of how it answers.
    pub verdict: Verdict,
    /// What operators allow a bad version.
    pub bound: ExposureBound,
}

/// Returns the time of the order at which the present stage began.
pub fn stage_start(record: &RolloutRecord) -> Duration {
    Duration::from_millis(record.stage_ms)
}

/// Returns the next record of a roll-out, if it has to change.
pub fn next_record(
    order: &RolloutOrder,
    known: Option<&RolloutRecord>,
    progress: RolloutProgress,
) -> Option<RolloutRecord> {
    let current = known.filter(|known| known.order_revision == order.revision);
    let rejected = known.map_or_else(Vec::new, |known| known.rejected.clone());
    let initial = RolloutRecord {
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
    let mut next = current.clone().unwrap_or(initial);
    if next.state != RolloutState::Running {
        return None;
    }
    let percent = percent_of(progress.elapsed, order.duration);
    let stage_duration = progress.elapsed.saturating_sub(stage_start(&next));
    let probable_percent = percent_of(progress.elapsed + progress.unobserved, order.duration);
    let is_too_late = probable_percent >= GIVE_UP_AT_PERCENT && !next.is_proved();
    if progress.is_rejected || is_too_late {
        next.state = RolloutState::Reverted;
        next.permille = 0;
        next.rejected.push(order.target.clone());
    } else if next.is_proved() {
        if probable_percent >= DONE_AT_PERCENT
            && stage_duration >= min_stage_duration(FULL_STAGE_MIN_PERCENT, order)
        {
            next.state = RolloutState::Done;
        }
    } else if progress.elapsed >= SESSION_EXCHANGE_TIME {
        next.permille =
            next_stage_permille(next.permille, percent, stage_duration, order, progress);
    }
    let is_new_stage = current
        .as_ref()
        .is_none_or(|current| current.state != next.state || current.permille != next.permille);
    if is_new_stage {
        next.stage_ms = millis(progress.elapsed);
    }
    let is_write_due = progress.elapsed >= next_write_due(order, &next);
    next.elapsed_ms = millis(progress.elapsed);
    next.unseen_ms = millis(progress.unobserved);
    *next.seen = match is_new_stage {
        true => progress.verdict.stored_evidence.at_next_stage(),
        false => progress.verdict.stored_evidence,
    };
    (is_new_stage || is_write_due).then_some(next)
}

/// Returns the time of an order at which it is to be written down again.
fn next_write_due(order: &RolloutOrder, record: &RolloutRecord) -> Duration {
    Duration::from_millis(record.elapsed_ms) + order.duration / 100 * TIME_WRITTEN_EACH
}

/// Tells whether the box that leads a roll-out has not written for so long that another one
/// should.
pub fn is_record_overdue(
    order: &RolloutOrder,
    known: Option<&RolloutRecord>,
    elapsed: Duration,
) -> bool {
    let current = known.filter(|known| known.order_revision == order.revision);
    let due = current.map_or(Duration::ZERO, |current| next_write_due(order, current));
    elapsed >= due + RECORD_OVERDUE_AFTER
}

/// Returns the stage that follows, or the present one for as long as it has to last or nothing
/// proves the version good: no alarm is no proof.
fn next_stage_permille(
    current: u32,
    percent: u64,
    stage_duration: Duration,
    order: &RolloutOrder,
    progress: RolloutProgress,
) -> u32 {
    let time = RolloutTime {
        elapsed: progress.elapsed,
        duration: order.duration,
    };
    let verdict = progress.verdict;
    let migration = progress
        .bound
        .middle_stage_permille(MIGRATION_STAGE_PERMILLE);
    let comparison = progress
        .bound
        .middle_stage_permille(COMPARISON_STAGE_PERMILLE);
    let (is_stage_over, next) = match current {
        0 => (
            true,
            progress.bound.first_stage_permille(verdict.requests, time),
        ),
        at if at >= comparison => {
            let can_wait = percent < CONCLUSIVE_UNTIL_PERCENT
                && !progress.bound.is_nearly_exhausted(verdict.requests, time);
            let required = match can_wait {
                true => EvidenceLevel::Conclusive,
                false => EvidenceLevel::Sufficient,
            };
            let is_within_exposure = verdict.stage_evidence >= EvidenceLevel::Favourable
                && verdict.evidence >= EvidenceLevel::Sufficient
                && progress.bound.allows_all_sessions(verdict.requests, time);
            (
                verdict.stage_evidence >= required || is_within_exposure,
                ALL_SESSIONS,
            )
        }
        at if at >= migration => (
            stage_duration >= min_stage_duration(MIGRATION_MIN_PERCENT, order)
                && verdict.evidence >= EvidenceLevel::Tentative,
            comparison,
        ),
        _ => (
            percent >= MIGRATION_START_PERCENT && verdict.evidence >= EvidenceLevel::Tentative,
            migration,
        ),
    };
    match is_stage_over {
        true => next.max(current),
        false => current,
    }
}

/// Returns how long a stage of so many hundredths lasts at least.
fn min_stage_duration(percent: u32, order: &RolloutOrder) -> Duration {
    (order.duration / 100).min(MAX_PERCENT_DURATION) * percent
}

fn percent_of(elapsed: Duration, whole: Duration) -> u64 {
    let whole = millis(whole).max(1);
    millis(elapsed).saturating_mul(100) / whole
}
