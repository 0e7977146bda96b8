//! Registers the box with the others, and lets the one registered longest lead.
//!
//! A box is a member as long as its lease in the store lives. Leading means only to take
//! roll-outs through their stages; every step is a conditional write, so that a box which
//! wrongly believes that it leads does no harm. See `docs/design/platform.md`.

use super::store::{BoxEntry, ControlStore, RecordWritten, RegisteredBox, RolloutOrder, Update};
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::versions::rollout::{Progress, is_overdue, next_record};
use crate::name::VersionName;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long a box stays a member without a sign of life: long enough to bear two lost
/// renewals, short enough that a roll-out is not without a leading box for long.
const LEASE: Duration = Duration::from_secs(8);
/// The time between two renewals.
const RENEWAL: Duration = Duration::from_millis(2600);
/// The boxes that take a roll-out on, in line: those that are told the counts of all.
const IN_LINE: usize = 2;
/// The age of what a box knows of the store up to which it may reach it: a watch that is not cut
/// off proves itself several times a second.
const FRESH: Duration = Duration::from_secs(1);
/// The time between two looks at the roll-outs.
const LEAD_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps the box registered until it is asked to stop.
///
/// A box that stops ends its lease by itself and must not register anew: the others would
/// take it for a member until that lease runs out, long after its end.
///
/// What a former life left registered is taken over if its lease still lives: one call of the
/// cheapest kind in place of two that write, and no news for the other boxes. When 295 boxes
/// come back together, that is 590 calls.
pub async fn stay_registered(
    gw: Rc<Gateway>,
    store: Rc<dyn ControlStore>,
    former: Option<RegisteredBox>,
) {
    if let Some(former) = former {
        take_over(&gw, &*store, former).await;
    }
    let entry = BoxEntry::of(&gw);
    while !gw.is_stopping() {
        gw.telemetry.store_called("register");
        match store.register(&entry, LEASE).await {
            Ok(lease) => {
                log::info!(lease, box_name = entry.name.as_str(); "registered");
                hold_lease(&gw, &*store, lease).await;
            }
            Err(err) => {
                gw.store_failed(&err, Now::read());
                sleep(RENEWAL).await;
            }
        }
    }
}

async fn take_over(gw: &Gateway, store: &dyn ControlStore, former: RegisteredBox) {
    gw.telemetry.store_called("renew");
    match store.renew(former.lease).await {
        Ok(true) => {
            let (lease, name) = (former.lease, former.entry.name.as_str());
            log::info!(lease, box_name = name; "the former life's registration is taken over");
            hold_lease(gw, store, lease).await;
        }
        Ok(false) => log::info!(lease = former.lease; "the former life's lease is over"),
        Err(err) => gw.store_failed(&err, Now::read()),
    }
}

/// Keeps a lease for as long as it lives.
async fn hold_lease(gw: &Gateway, store: &dyn ControlStore, lease: u64) {
    gw.lease.set(Some(lease));
    keep_lease(gw, store, lease).await;
    gw.lease.set(None);
    log::warn!(lease; "the lease is over");
}

impl BoxEntry {
    /// Returns the entry under which a box registers.
    pub fn of(gw: &Gateway) -> Self {
        let settings = gw.settings();
        Self {
            name: gw.life.clone(),
            hall: settings.hall.clone(),
            address: settings.peers,
            link_mbps: settings.link_mbps,
            registered: 0,
        }
    }
}

/// Renews a lease until the store says that it is over, or the box stops.
async fn keep_lease(gw: &Gateway, store: &dyn ControlStore, lease: u64) {
    loop {
        sleep(RENEWAL).await;
        if gw.is_stopping() {
            return;
        }
        gw.telemetry.store_called("renew");
        match store.renew(lease).await {
            Ok(true) => {}
            Ok(false) => return,
            Err(err) => gw.store_failed(&err, Now::read()),
        }
    }
}

/// Takes roll-outs through their stages while this box leads.
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
            let own = written.get(&service).copied();
            if place != Some(0) && !is_left(&gw, &service, own, Now::read()) {
                continue;
            }
            if let Some(revision) = advance(&gw, &*store, &service).await {
                written.insert(service, revision);
            }
        }
    }
}

/// Tells whether the box that leads leaves a roll-out as it is, though this one hears from the
/// store: its record is overdue, or this box took it on when it was and has written the last one,
/// at the revision `own`.
fn is_left(gw: &Gateway, service: &str, own: Option<u64>, now: Now) -> bool {
    let Some((order, known, elapsed)) = standing(gw, service, now) else {
        return false;
    };
    let hears = gw.knowledge.borrow().age(now);
    let is_own = known
        .as_ref()
        .is_some_and(|known| Some(known.revision) == own);
    let record = known.as_ref().map(|known| &known.record);
    hears.is_some_and(|age| age <= FRESH) && (is_own || is_overdue(&order, record, elapsed))
}

/// Tells whether this box leads: it is the first in line.
pub fn leads(gw: &Gateway, now: Now) -> bool {
    place_in_line(gw, now) == Some(0)
}

/// Returns this box's place among those registered longest that are heard of; none if it hears
/// of less than half of the others, since whoever leads decides by what they count. Two that
/// both think that they lead do no harm, since records are written under a condition.
///
/// By address and not by life, so that a box which was restarted leads at once and not only
/// when the lease of its last life is over.
fn place_in_line(gw: &Gateway, now: Now) -> Option<usize> {
    let own = gw.settings().peers;
    let knowledge = gw.knowledge.borrow();
    let boxes = knowledge.boxes_by_age();
    let lively = gw.heard.borrow().lively(&boxes, own, now);
    let hears_enough = lively.len() * 2 > boxes.len();
    let place = lively.iter().position(|entry| entry.address == own);
    place.filter(|_| hears_enough)
}

fn services_under_rollout(gw: &Gateway) -> Vec<String> {
    let knowledge = gw.knowledge.borrow();
    let has_order = |(_, rollout): &(&String, &super::knowledge::Rollout)| rollout.order.is_some();
    knowledge
        .rollouts()
        .iter()
        .filter(has_order)
        .map(|(service, _)| service.clone())
        .collect()
}

/// Writes the next record of a roll-out if it has to change, and returns the revision at which it
/// was written.
async fn advance(gw: &Gateway, store: &dyn ControlStore, service: &str) -> Option<u64> {
    let now = Now::read();
    let (order, known, elapsed) = standing(gw, service, now)?;
    let progress = progress_of(gw, &order, elapsed, now);
    let (record, expected) = match &known {
        Some(known) => (Some(&known.record), known.revision),
        None => (None, 0),
    };
    let next = next_record(&order, record, progress)?;
    gw.telemetry.store_called("write");
    match store.write_rollout(&next, expected).await {
        Ok(RecordWritten::At(revision)) => {
            log::info!(
                service,
                version = next.target.as_str(),
                permille = next.permille,
                elapsed_ms = next.elapsed_ms,
                sent_new = progress.sent.new,
                sent_all = progress.sent.all,
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

fn progress_of(gw: &Gateway, order: &RolloutOrder, elapsed: Duration, now: Now) -> Progress {
    let knowledge = gw.knowledge.borrow();
    let rollout = knowledge.rollout(&order.service);
    let verdict = rollout.and_then(|rollout| gw.judge_version(rollout, now));
    let verdict = verdict.unwrap_or_default();
    Progress {
        elapsed,
        condemned: gw.is_condemned(order.revision),
        verdict,
        sent: gw.versions.borrow().counted(order.revision, now).sent,
        bound: gw.settings().bounds.exposure,
    }
}

type Standing = (RolloutOrder, Option<super::knowledge::SeenRecord>, Duration);

fn standing(gw: &Gateway, service: &str, now: Now) -> Option<Standing> {
    let knowledge = gw.knowledge.borrow();
    let rollout = knowledge.rollout(service)?;
    let (order, _) = rollout.order.as_ref()?;
    let elapsed = rollout.elapsed(now)?;
    Some((order.clone(), rollout.record.clone(), elapsed))
}

/// Returns the name under which a roll-out's target is watched.
pub fn target_name(order: &RolloutOrder) -> VersionName {
    VersionName {
        model: order.service.clone(),
        version: order.target.clone(),
    }
}
