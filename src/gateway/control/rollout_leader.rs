//! Advances roll-outs through their stages. This is done by the leader, or by the standby box if
//! the leader cannot reach the store.
//!
//! Every step is a conditional write, so that a box which wrongly believes to be the leader does no
//! harm. See `docs/design/platform.md`.

use super::membership::leadership_rank;
use super::revision::EpochRevision;
use super::rollout::{ReceivedRecord, Rollout};
use super::store::{ControlStore, RecordWriteResult, RolloutOrder, Update};
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::versions::rollout::{RolloutProgress, is_record_overdue, next_record};
use crate::name::VersionName;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The time between two checks of the running roll-outs.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(250);
/// The number of boxes that may write roll-out records, by rank: those that receive the version
/// counts of all boxes.
const ROLLOUT_WRITERS: usize = 2;
/// The age of the control-plane state up to which a box is assumed to be in contact with the store.
/// A working watch refreshes the state several times a second.
const MAX_STORE_STATE_AGE: Duration = Duration::from_secs(1);

/// Advances roll-outs while this box is the leader, or while the leader fails to do so.
pub async fn lead_rollouts(gw: Rc<Gateway>, store: Rc<dyn ControlStore>) {
    // By service, the revision of the last record that this box wrote.
    let mut written_revisions: HashMap<String, u64> = HashMap::new();
    loop {
        sleep(ADVANCE_INTERVAL).await;
        let rank = leadership_rank(&gw, Now::read());
        if gw.lease.get().is_none() || rank.is_none_or(|rank| rank >= ROLLOUT_WRITERS) {
            continue;
        }
        for service in services_under_rollout(&gw) {
            let now = Now::read();
            let Some(status) = RolloutStatus::of(&gw, &service, now) else {
                continue;
            };
            let own_revision = written_revisions.get(&service).copied();
            if rank != Some(0) && !should_take_over(&gw, &status, own_revision, now) {
                continue;
            }
            if let Some(revision) = advance(&gw, &*store, &service, status, now).await {
                written_revisions.insert(service, revision);
            }
        }
    }
}

/// Returns whether a standby box in contact with the store should advance a roll-out because the
/// leader does not: its record is overdue, or this box took it over earlier and wrote the latest
/// record, at revision `own_revision`.
fn should_take_over(
    gw: &Gateway,
    status: &RolloutStatus,
    own_revision: Option<u64>,
    now: Now,
) -> bool {
    let age = gw.knowledge.borrow().age(now);
    let has_store_contact = age.is_some_and(|age| age <= MAX_STORE_STATE_AGE);
    let known = status.known.as_ref();
    let is_own = known.is_some_and(|known| Some(known.revision) == own_revision);
    let record = known.map(|known| &known.record);
    has_store_contact && (is_own || is_record_overdue(&status.order, record, status.elapsed))
}

fn services_under_rollout(gw: &Gateway) -> Vec<String> {
    let state = gw.knowledge.borrow();
    let has_order = |(_, rollout): &(&String, &Rollout)| rollout.order.is_some();
    state
        .rollouts()
        .iter()
        .filter(has_order)
        .map(|(service, _)| service.clone())
        .collect()
}

/// Writes the next record of a roll-out if it has to change, and returns the revision of the write.
async fn advance(
    gw: &Gateway,
    store: &dyn ControlStore,
    service: &str,
    status: RolloutStatus,
    now: Now,
) -> Option<u64> {
    let progress = progress_of(gw, &status, now);
    let RolloutStatus { order, known, .. } = status;
    let (record, expected) = match &known {
        Some(known) => (Some(&known.record), known.revision),
        None => (None, 0),
    };
    let lost = known.as_ref().filter(|known| known.is_lost);
    let lost = lost.map(|lost| lost.record.clone());
    let next = next_record(&order, record, progress).or(lost)?;
    gw.telemetry.count_store_call("write");
    match store.write_rollout(&next, expected).await {
        Ok(RecordWriteResult::Written(revision)) => {
            log::info!(
                service,
                version = next.target.as_str(),
                permille = next.permille,
                elapsed_ms = next.elapsed_ms,
                unseen_ms = next.unseen_ms,
                sent_new = progress.verdict.requests.new_version,
                sent_all = progress.verdict.requests.all,
                answers = progress.verdict.latency.responses,
                suspects = progress.verdict.latency.possibly_bad,
                under_way = progress.verdict.latency.in_flight,
                against = progress.verdict.latency.max_cusum,
                odds = progress.verdict.latency.all_windows.to_string().as_str(),
                odds_at_stage = progress.verdict.latency.current_stage.to_string().as_str(),
                condemned = progress.is_rejected;
                "roll-out taken on: {:?}", next.state
            );
            let update = Update::RolloutRecorded(next, revision);
            gw.knowledge.borrow_mut().apply(update, Now::read());
            Some(revision)
        }
        Ok(RecordWriteResult::Conflict) => {
            let EpochRevision { epoch, revision } = EpochRevision::from_qualified(expected);
            log::info!(service, epoch, expected = revision; "another box took the roll-out on");
            None
        }
        // The outcome of the write is unknown; the watch delivers the record if it took effect.
        Err(err) => {
            gw.store_failed(&err, Now::read());
            None
        }
    }
}

fn progress_of(gw: &Gateway, status: &RolloutStatus, now: Now) -> RolloutProgress {
    let order = &status.order;
    let state = gw.knowledge.borrow();
    let rollout = state.rollout(&order.service);
    let verdict = rollout.and_then(|rollout| gw.evaluate_rollout(rollout, true, now));
    let verdict = verdict.unwrap_or_default();
    RolloutProgress {
        elapsed: status.elapsed,
        unobserved: status.unseen,
        is_rejected: gw.is_version_rejected(order.revision),
        verdict,
        bound: gw.settings().bounds.exposure,
    }
}

/// The current status of a service's roll-out.
struct RolloutStatus {
    order: RolloutOrder,
    /// The newest record, which may belong to an earlier order.
    known: Option<ReceivedRecord>,
    /// The time that has certainly passed since the order.
    elapsed: Duration,
    /// The time that has probably passed in addition, while no box was running.
    unseen: Duration,
}

impl RolloutStatus {
    fn of(gw: &Gateway, service: &str, now: Now) -> Option<Self> {
        let state = gw.knowledge.borrow();
        let rollout = state.rollout(service)?;
        let (order, _) = rollout.order.as_ref()?;
        Some(Self {
            order: order.clone(),
            known: rollout.record.clone(),
            elapsed: rollout.elapsed(now)?,
            unseen: rollout.unseen(now),
        })
    }
}

/// Returns whether this box may write roll-out records.
pub fn may_advance_rollouts(gw: &Gateway, now: Now) -> bool {
    leadership_rank(gw, now).is_some_and(|rank| rank < ROLLOUT_WRITERS)
}

/// Returns the name under which the target version of a roll-out is observed.
pub fn target_version_name(order: &RolloutOrder) -> VersionName {
    VersionName {
        model: order.service.clone(),
        version: order.target.clone(),
    }
}
