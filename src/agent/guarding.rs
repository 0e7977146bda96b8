//! Runs the exposure guard over the counts of all boxes.

use super::Agent;
use super::follow::take_suspensions;
use crate::clock::Now;
use crate::evidence::Suspension;
use crate::name::VersionName;
use crate::store::layout::suspension_key;
use crate::store::{Condition, StoreResult, Versioned, WriteOutcome};
use crate::version_guard::Alarm;
use crate::wire::message::Update;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const GUARD_PERIOD: Duration = Duration::from_millis(250);
const EVIDENCE_CELLS_TO_ROUTERS: usize = 4096;

/// Guards the versions until the process ends.
pub async fn guard_versions(agent: Rc<Agent>) {
    let mut pushed = 0;
    let mut unwritten: BTreeMap<VersionName, Suspension> = BTreeMap::new();
    loop {
        sleep(GUARD_PERIOD).await;
        for suspension in observe(&agent) {
            log::warn!(version = suspension.version.to_string(); "suspended: {}", suspension.reason);
            unwritten.insert(suspension.version.clone(), suspension.clone());
            agent.push(&Update::Suspended(
                agent.shared.borrow().suspensions_in_force(),
            ));
            super::gossip::spread(&agent);
        }
        write_suspensions(&agent, &mut unwritten).await;
        pushed = push_evidence(&agent, pushed);
    }
}

fn observe(agent: &Agent) -> Vec<Suspension> {
    let now = Now::read();
    let lifted = agent.shared.borrow().lifted();
    let sums = agent.shared.borrow().evidence.by_version(&lifted);
    let mut guard = agent.guard.borrow_mut();
    guard.reset_lifted(&lifted);
    let mut suspended = Vec::new();
    for (version, counts) in &sums {
        let Some(alarm) = guard.observe(version, counts) else {
            continue;
        };
        let what = match alarm {
            Alarm::Bad => format!(
                "{} of {} rated answers are bad",
                counts.bad,
                counts.bad + counts.good
            ),
            Alarm::Failed => format!("{} of {} answers failed", counts.failed, counts.served),
        };
        guard.reset(version);
        let me = &agent.me.box_name;
        suspended.extend(
            agent
                .shared
                .borrow_mut()
                .suspend(version, me, what, now.wall),
        );
    }
    suspended
}

/// Writes suspensions to the store, so that boxes that start later find them.
async fn write_suspensions(agent: &Rc<Agent>, unwritten: &mut BTreeMap<VersionName, Suspension>) {
    let waiting: Vec<Suspension> = unwritten.values().cloned().collect();
    for suspension in waiting {
        match write_suspension(agent, &suspension).await {
            Ok(()) => {
                unwritten.remove(&suspension.version);
            }
            Err(err) => {
                log::debug!("a suspension waits for the store: {err}");
                return;
            }
        }
    }
}

/// Writes a suspension, unless the store has one that is as new.
///
/// Agents that waited for the store write together when it is back, and one that was behind may
/// write first what operators have lifted since. So whoever finds that another was sooner looks
/// again at what is there.
async fn write_suspension(agent: &Rc<Agent>, suspension: &Suspension) -> StoreResult<()> {
    let key = suspension_key(&agent.settings.identity.partner, &suspension.version);
    let value = serde_json::to_vec(suspension).expect("a suspension has only plain fields");
    let mut found = agent.store.get(&key).await?;
    loop {
        let present = found.as_ref().and_then(read_suspension);
        if let Some(present) = present
            && present.generation >= suspension.generation
        {
            take_suspensions(agent, vec![present]);
            return Ok(());
        }
        let condition = found.map_or(Condition::Absent, |found| {
            Condition::Revision(found.revision)
        });
        match agent.store.write_if(&key, condition, &value).await? {
            WriteOutcome::Written => return Ok(()),
            WriteOutcome::Conflict(sooner) => found = sooner,
        }
    }
}

fn read_suspension(found: &Versioned) -> Option<Suspension> {
    let read = serde_json::from_slice(&found.value);
    read.inspect_err(|err| log::warn!("a suspension in the store cannot be read: {err}"))
        .ok()
}

/// Sends the counts that changed to the routers, which learn from them.
fn push_evidence(agent: &Agent, pushed: u64) -> u64 {
    let (cells, next) = agent
        .shared
        .borrow()
        .evidence
        .changed_since(pushed, EVIDENCE_CELLS_TO_ROUTERS);
    if !cells.is_empty() {
        agent.push(&Update::Evidence(cells));
    }
    next
}
