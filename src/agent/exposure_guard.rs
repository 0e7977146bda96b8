//! Runs the exposure guard on the counts of all boxes.

use super::Agent;
use super::follow::apply_suspensions;
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
/// Maximum number of evidence cells in one update to the routers.
const EVIDENCE_CELLS_PER_UPDATE: usize = 4096;

/// Checks all versions periodically and suspends bad ones, until the process ends.
pub async fn run_exposure_guard(agent: Rc<Agent>) {
    let mut pushed_until = 0;
    let mut unwritten: BTreeMap<VersionName, Suspension> = BTreeMap::new();
    loop {
        sleep(GUARD_PERIOD).await;
        for suspension in suspend_bad_versions(&agent) {
            log::warn!(version = suspension.version.to_string(); "suspended: {}", suspension.reason);
            unwritten.insert(suspension.version.clone(), suspension.clone());
            agent.push(&Update::Suspended(
                agent.state.borrow().suspensions_in_force(),
            ));
            super::gossip::push_to_random_peers(&agent);
        }
        write_suspensions(&agent, &mut unwritten).await;
        pushed_until = push_evidence(&agent, pushed_until);
    }
}

fn suspend_bad_versions(agent: &Agent) -> Vec<Suspension> {
    let now = Now::read();
    let lifted = agent.state.borrow().lifted();
    let sums = agent.state.borrow().evidence.by_version(&lifted);
    let mut guard = agent.guard.borrow_mut();
    guard.reset_lifted(&lifted);
    let mut suspended = Vec::new();
    for (version, counts) in &sums {
        let Some(alarm) = guard.observe(version, counts) else {
            continue;
        };
        let reason = match alarm {
            Alarm::Bad => format!(
                "{} of {} rated answers are bad",
                counts.bad,
                counts.bad + counts.good
            ),
            Alarm::Failed => format!("{} of {} answers failed", counts.failed, counts.served),
        };
        guard.reset(version);
        let box_name = &agent.member.box_name;
        suspended.extend(
            agent
                .state
                .borrow_mut()
                .suspend(version, box_name, reason, now.wall),
        );
    }
    suspended
}

/// Writes suspensions to the store, so that agents that start later find them.
async fn write_suspensions(agent: &Rc<Agent>, unwritten: &mut BTreeMap<VersionName, Suspension>) {
    let waiting: Vec<Suspension> = unwritten.values().cloned().collect();
    for suspension in waiting {
        match write_suspension(agent, &suspension).await {
            Ok(()) => {
                unwritten.remove(&suspension.version);
            }
            Err(err) => {
                log::debug!("a suspension could not be written to the store yet: {err}");
                return;
            }
        }
    }
}

/// Writes a suspension unless the store has one of the same or a later generation.
///
/// When the store is available again, all agents that waited for it write at the same time, and an
/// agent that was behind may first write a suspension that operators have lifted since. So after a
/// conflict the stored suspension is compared again.
async fn write_suspension(agent: &Rc<Agent>, suspension: &Suspension) -> StoreResult<()> {
    let key = suspension_key(&agent.settings.identity.partner, &suspension.version);
    let value = serde_json::to_vec(suspension).expect("a suspension has only plain fields");
    let mut found = agent.store.get(&key).await?;
    loop {
        let current = found.as_ref().and_then(read_suspension);
        if let Some(current) = current
            && current.generation >= suspension.generation
        {
            apply_suspensions(agent, vec![current]);
            return Ok(());
        }
        let condition = found.map_or(Condition::Absent, |found| {
            Condition::Revision(found.revision)
        });
        match agent.store.write_if(&key, condition, &value).await? {
            WriteOutcome::Written => return Ok(()),
            WriteOutcome::Conflict(latest) => found = latest,
        }
    }
}

fn read_suspension(found: &Versioned) -> Option<Suspension> {
    let read = serde_json::from_slice(&found.value);
    read.inspect_err(|err| log::warn!("a suspension in the store cannot be read: {err}"))
        .ok()
}

/// Sends changed counts to the routers, whose cascades learn from them. Returns the position up to
/// which counts have been sent.
fn push_evidence(agent: &Agent, pushed_until: u64) -> u64 {
    let (cells, next) = agent
        .state
        .borrow()
        .evidence
        .changed_since(pushed_until, EVIDENCE_CELLS_PER_UPDATE);
    if !cells.is_empty() {
        agent.push(&Update::Evidence(cells));
    }
    next
}
