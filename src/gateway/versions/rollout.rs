//! The stages of a rollout, and which version serves a request.
//!
//! The leading box moves a rollout through its stages and writes the current one to the store;
//! every box applies the stage that it received last. [`super::monitor`] evaluates whether the new
//! version is bad. See `docs/design/platform.md`.

use super::exposure::{ExposureBound, MAX_FIRST_STAGE_PERMILLE, RolloutTime};
use super::latency_evidence::EvidenceLevel;
use super::monitor::Verdict;
use crate::clock::{Now, millis};
use crate::gateway::control::rollout::{ELAPSED_WRITE_STEP_PERCENT, Rollout};
use crate::gateway::control::store::{
    ALL_SESSIONS_PERMILLE, RolloutOrder, RolloutRecord, RolloutState,
};
use crate::gateway::place::choose::stable_hash;
use std::time::Duration;

/// How long a rollout record may be overdue before the next box in line takes over. This covers a
/// leading box that cannot reach the store although other boxes still hear from it; a good version
/// would be late by as long as that lasts.
const RECORD_OVERDUE_AFTER: Duration = Duration::from_millis(1500);
/// All sessions in thousandths, in the type of a session hash.
const SESSION_BUCKETS: u64 = ALL_SESSIONS_PERMILLE as u64;
/// The size of the first middle stage, in thousandths of the sessions, at which the new engines
/// process the prompts of the sessions that move to them. The operators' share may allow less.
pub const MIGRATION_STAGE_PERMILLE: u32 = 250;
/// The size of the second middle stage, at which the new engines have about as much load as the
/// old ones, so that the two can be compared under load. The operators' share may allow less.
const COMPARISON_STAGE_PERMILLE: u32 = 400;
/// The start of the first middle stage, in per cent of the rollout's time. Sessions in progress may
/// change versions only in its second half.
const MIGRATION_START_PERCENT: u64 = 52;
/// The point, in per cent of the time, until which the second middle stage waits for
/// [`EvidenceLevel::Conclusive`]. A good version loses nothing by it, and what is left of the
/// operators' share is best used to detect a slightly bad one.
const CONCLUSIVE_UNTIL_PERCENT: u64 = 78;
/// The minimum duration of the first middle stage, in per cent of the time.
const MIGRATION_MIN_PERCENT: u32 = 4;
/// The same of the last stage, which has all sessions.
const FULL_STAGE_MIN_PERCENT: u32 = 8;
/// The maximum duration of one per cent in these minimums. A version that has left its first stage
/// has about four seconds for its proof, however long the rollout is.
const MAX_PERCENT_DURATION: Duration = Duration::from_millis(250);
/// How long after an order no session is moved, while boxes send each other the sessions that the
/// old version serves: two report intervals and the delivery of the order.
const SESSION_EXCHANGE_TIME: Duration = Duration::from_millis(1600);
/// The point, in per cent of the time, at which a good rollout is declared done. The rest covers a
/// temporary outage of the store.
const DONE_AT_PERCENT: u64 = 84;
/// The point, in per cent of the time, from which a proof would come too late. A version without
/// one is then reverted: operators read that it is not in service, and no session is left on it.
const GIVE_UP_AT_PERCENT: u64 = 92;

/// Which versions of a service may serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionRule {
    /// Any version except these.
    AnyExcept(Vec<String>),
    /// This version, or any other if it has no upstream left.
    Prefer(String),
}

impl VersionRule {
    /// Returns whether a version may serve, apart from the fallback of [`Self::Prefer`].
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::AnyExcept(excluded) => !excluded.iter().any(|found| found == version),
            Self::Prefer(preferred) => preferred == version,
        }
    }
}

/// What determines the version for a request.
#[derive(Debug, Clone, Copy)]
pub struct VersionQuery<'a> {
    /// The key that the requests of a session share.
    pub session: &'a str,
    /// The version that served the session recently.
    pub session_version: Option<&'a str>,
    /// Whether some box saw the old version serve the session at the time of the order.
    pub stays_on_old_version: bool,
    /// Whether this box has rejected the target or was notified of its rejection.
    pub is_rejected: bool,
    /// Whether this box has just started, so that it may not yet have been notified.
    pub has_just_started: bool,
}

/// Returns which versions may serve a request.
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
    let Some(record) = record.filter(|record| record.is_for(order)) else {
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
            let by_stage =
                stable_hash(query.session) % SESSION_BUCKETS < u64::from(record.permille);
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

/// Returns whether the first stage may move a session, by the session's hash.
pub fn may_move_in_first_stage(session: u64) -> bool {
    session % SESSION_BUCKETS < u64::from(MAX_FIRST_STAGE_PERMILLE)
}

/// What the leading box knows when it decides on the next stage.
#[derive(Debug, Clone, Copy)]
pub struct RolloutProgress {
    /// The time that has certainly passed since the order.
    pub elapsed: Duration,
    /// The additional time that has probably passed while no box was running to count it.
    pub unobserved: Duration,
    /// Whether the target was rejected.
    pub is_rejected: bool,
    /// The evaluation of the target.
    pub verdict: Verdict,
    /// The operators' limits on the use of a bad version.
    pub bound: ExposureBound,
}

/// Returns the time between the order and the start of the current stage.
pub fn stage_start(record: &RolloutRecord) -> Duration {
    Duration::from_millis(record.stage_ms)
}

/// Returns the next record of a rollout, if it has to change.
pub fn next_record(
    order: &RolloutOrder,
    known: Option<&RolloutRecord>,
    progress: RolloutProgress,
) -> Option<RolloutRecord> {
    let current = known.filter(|known| known.is_for(order));
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

/// Returns the time since the order at which the record has to be written again.
fn next_write_due(order: &RolloutOrder, record: &RolloutRecord) -> Duration {
    Duration::from_millis(record.elapsed_ms) + order.duration / 100 * ELAPSED_WRITE_STEP_PERCENT
}

/// Returns whether the leading box has not written the record for so long that another box should.
pub fn is_record_overdue(
    order: &RolloutOrder,
    known: Option<&RolloutRecord>,
    elapsed: Duration,
) -> bool {
    let current = known.filter(|known| known.is_for(order));
    let due = current.map_or(Duration::ZERO, |current| next_write_due(order, current));
    elapsed >= due + RECORD_OVERDUE_AFTER
}

/// Returns the next stage, or the current one if its minimum duration is not over or the evidence
/// for the version is too weak. The absence of a rejection is not enough.
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
                ALL_SESSIONS_PERMILLE,
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

/// Returns the minimum duration of a stage.
fn min_stage_duration(percent: u32, order: &RolloutOrder) -> Duration {
    (order.duration / 100).min(MAX_PERCENT_DURATION) * percent
}

fn percent_of(elapsed: Duration, whole: Duration) -> u64 {
    let whole = millis(whole).max(1);
    millis(elapsed).saturating_mul(100) / whole
}
