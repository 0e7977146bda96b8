//! Takes roll-outs through their stages: the box that leads, and the next in line where that one
//! does not reach the store.
//!
//! Every step is a conditional write, so that a box which wrongly believes that it leads does no
//! harm. See `docs/design/platform.md`.

use super::membership::place_in_line;
use super::rollout::{Rollout, SeenRecord};
use super::store::{ControlStore, RecordWritten, RolloutOrder, Update};
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::versions::rollout::{Progress, is_overdue, next_record};
use crate::name::VersionName;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The time between two looks at the roll-outs.
const LEAD_INTERVAL: Duration = Duration::from_millis(250);
/// The boxes that take a roll-out on, in line: those that are told the counts of all.
const IN_LINE: usize = 2;
/// The age of what a box knows of the store up to which it may reach it: a watch that is not cut
/// off proves itself several times a second.
const FRESH: Duration = Duration::from_secs(1);

/// Takes roll-outs through their stages while this box leads, or while the one that leads does
/// not.
pub async fn lead(gw: Rc<Gateway>, store: Rc<dyn ControlStore>) {
    // The revision of the last record that this box wrote of each service.
    let mut written: HashMap<String, u64> = HashMap::new();
    loop {
        sleep(LEAD_INTERVAL).await;
        let place = place_in_line(&gw, Now::read());
        if gw.lease.get().is_none() || place.is_none_or(|place| place >= IN_LINE) {
            continue;
        }
        for service in services_under_rollout(&gw) {
            let now = Now::read();
            let Some(standing) = Standing::of(&gw, &service, now) else {
                continue;
            };
            let own = written.get(&service).copied();
            if place != Some(0) && !is_left(&gw, &standing, own, now) {
                continue;
            }
            if let Some(revision) = advance(&gw, &*store, &service, standing, now).await {
                written.insert(service, revision);
            }
        }
    }
}

/// Tells whether the box that leads leaves a roll-out as it is, though this one hears from the
/// store: its record is overdue, or this box took it on when it was and has written the last one,
/// at the revision `own`.
fn is_left(gw: &Gateway, standing: &Standing, own: Option<u64>, now: Now) -> bool {
    let age = gw.knowledge.borrow().age(now);
    let hears_from_store = age.is_some_and(|age| age <= FRESH);
    let known = standing.known.as_ref();
    let is_own = known.is_some_and(|known| Some(known.revision) == own);
    let record = known.map(|known| &known.record);
    hears_from_store && (is_own || is_overdue(&standing.order, record, standing.elapsed))
}

fn services_under_rollout(gw: &Gateway) -> Vec<String> {
    let knowledge = gw.knowledge.borrow();
    let has_order = |(_, rollout): &(&String, &Rollout)| rollout.order.is_some();
    knowledge
        .rollouts()
        .iter()
        .filter(has_order)
        .map(|(service, _)| service.clone())
        .collect()
}

/// Writes the next record of a roll-out if it has to change, and returns the revision at which it
/// was written.
async fn advance(
    gw: &Gateway,
    store: &dyn ControlStore,
    service: &str,
    standing: Standing,
    now: Now,
) -> Option<u64> {
    let progress = progress_of(gw, &standing, now);
    let Standing { order, known, .. } = standing;
    let (record, expected) = match &known {
        Some(known) => (Some(&known.record), known.revision),
        None => (None, 0),
    };
    let next = next_record(&order, record, progress)?;
    gw.telemetry.count_store_call("write");
    match store.write_rollout(&next, expected).await {
        Ok(RecordWritten::At(revision)) => {
            log::info!(
                service,
                version = next.target.as_str(),
                permille = next.permille,
                elapsed_ms = next.elapsed_ms,
                unseen_ms = next.unseen_ms,
                sent_new = progress.verdict.sent.new,
                sent_all = progress.verdict.sent.all,
                answers = progress.verdict.judgement.answers,
                suspects = progress.verdict.judgement.suspects,
                under_way = progress.verdict.judgement.open,
                against = progress.verdict.judgement.against,
                odds = progress.verdict.judgement.all.to_string().as_str(),
                odds_at_stage = progress.verdict.judgement.since.to_string().as_str(),
                condemned = progress.condemned;
                "roll-out taken on: {:?}", next.state
            );
            let update = Update::RolloutStage(next, revision);
            gw.knowledge.borrow_mut().apply(update, Now::read());
            Some(revision)
        }
        Ok(RecordWritten::Conflict) => {
            log::info!(service, expected; "another box took the roll-out on");
            None
        }
        // The watch will tell whether the write took effect.
        Err(err) => {
            gw.store_failed(&err, Now::read());
            None
        }
    }
}

fn progress_of(gw: &Gateway, standing: &Standing, now: Now) -> Progress {
    let order = &standing.order;
    let knowledge = gw.knowledge.borrow();
    let rollout = knowledge.rollout(&order.service);
    let verdict = rollout.and_then(|rollout| gw.judge_version(rollout, true, now));
    let verdict = verdict.unwrap_or_default();
    Progress {
        elapsed: standing.elapsed,
        unseen: standing.unseen,
        condemned: gw.is_condemned(order.revision),
        verdict,
        bound: gw.settings().bounds.exposure,
    }
}

/// Where a service's roll-out stands.
struct Standing {
    order: RolloutOrder,
    /// The newest record, which may be of an earlier order.
    known: Option<SeenRecord>,
    /// The time that has surely passed since the order.
    elapsed: Duration,
    /// What has probably passed beyond it.
    unseen: Duration,
}

impl Standing {
    fn of(gw: &Gateway, service: &str, now: Now) -> Option<Self> {
        let knowledge = gw.knowledge.borrow();
        let rollout = knowledge.rollout(service)?;
        let (order, _) = rollout.order.as_ref()?;
        Some(Self {
            order: order.clone(),
            known: rollout.record.clone(),
            elapsed: rollout.elapsed(now)?,
            unseen: rollout.unseen(now),
        })
    }
}

/// Tells whether this box may take roll-outs on.
pub fn is_in_line(gw: &Gateway, now: Now) -> bool {
    place_in_line(gw, now).is_some_and(|place| place < IN_LINE)
}

/// Returns the name under which a roll-out's target is watched.
pub fn target_name(order: &RolloutOrder) -> VersionName {
    VersionName {
        model: order.service.clone(),
        version: order.target.clone(),
    }
}
