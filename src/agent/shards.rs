//! Maintains owner and witness of each shard of this hall: witness replacement, takeover, handover
//! and recovery of lost shards.
//!
//! Each change of members is a compare-and-swap of the shard's view in the store.

use super::Agent;
use super::assignment::{choose_witness, is_first};
use super::claims::{WITNESS_DEADLINE, replicate_to_witness, with_replica};
use super::gossip::{agent_address, merge_views};
use crate::claim::SHARDS_PER_HALL;
use crate::claim::replica::Replica;
use crate::claim::view::{Member, Members, ShardId, View};
use crate::clock::Now;
use crate::store::layout::view_key;
use crate::store::{
    Condition, StoreError, StoreResult, Versioned, WriteOutcome, create_with_read_back,
};
use crate::wire::message::{ControlRequest, ControlResponse};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Deadline for one part of a table transfer.
const SYNC_DEADLINE: Duration = Duration::from_secs(2);
const MAINTENANCE_PERIOD: Duration = Duration::from_millis(250);
/// How long a planned stop may take to hand over shards.
const HANDOVER_LIMIT: Duration = Duration::from_secs(4);

/// Maintains the shards until the process ends.
pub async fn maintain_shards(agent: Rc<Agent>) {
    loop {
        sleep(MAINTENANCE_PERIOD).await;
        let now = Now::read();
        agent
            .replicas
            .borrow_mut()
            .values_mut()
            .for_each(|replica| replica.remove_expired(now));
        for shard in shards_of_interest(&agent) {
            if agent
                .shards_in_maintenance
                .borrow_mut()
                .insert(shard.clone())
            {
                actix_rt::spawn(run_maintenance(agent.clone(), shard));
            }
        }
    }
}

/// Returns the shards of this hall and those of which this agent is a member.
fn shards_of_interest(agent: &Agent) -> BTreeSet<ShardId> {
    let hall = &agent.settings.identity.hall;
    let home = (0..SHARDS_PER_HALL).map(|index| ShardId {
        hall: hall.clone(),
        index,
    });
    let state = agent.state.borrow();
    let held = state
        .views()
        .filter(|view| view.includes(&agent.member))
        .map(|view| view.shard.clone());
    home.chain(held).collect()
}

async fn run_maintenance(agent: Rc<Agent>, shard: ShardId) {
    if let Err(err) = maintain(&agent, &shard).await {
        log::debug!(shard = shard.to_string(); "the shard could not be maintained: {err}");
    }
    agent.shards_in_maintenance.borrow_mut().remove(&shard);
}

async fn maintain(agent: &Rc<Agent>, shard: &ShardId) -> StoreResult<()> {
    let now = Now::read();
    let view = agent.state.borrow().view(shard).cloned();
    let Some(view) = view else {
        return create_initial_view(agent, shard, now).await;
    };
    if view.owner == agent.member {
        return maintain_as_owner(agent, &view, now).await;
    }
    if view.witness.as_ref() == Some(&agent.member) {
        return maintain_as_witness(agent, &view, now).await;
    }
    if shard.hall == agent.settings.identity.hall && is_lost(agent, &view) {
        return recover_lost_shard(agent, &view, now).await;
    }
    Ok(())
}

/// Returns whether this agent has to act for a shard of its hall that has no live members.
fn is_responsible_for(agent: &Agent, shard: &ShardId, now: Now) -> bool {
    let state = agent.state.borrow();
    let Some(list) = state.list() else {
        return false;
    };
    let duty = shard.to_string();
    let silent = |name: &str| agent.peers.is_box_silent(name, now);
    list.contains(&agent.member.box_name)
        && !agent.stopping.get()
        && is_first(list, &duty, &shard.hall, &agent.member.box_name, silent)
}

/// Returns members for a new view with this agent as the owner, or none if this agent is not in the
/// live list. The witness is chosen outside of the excluded boxes.
fn choose_members(
    agent: &Agent,
    shard: &ShardId,
    excluded_boxes: &[&str],
    now: Now,
) -> Option<Members> {
    let state = agent.state.borrow();
    let list = state.list()?;
    if !list.contains(&agent.member.box_name) {
        return None;
    }
    let mut excluded = excluded_boxes.to_vec();
    excluded.push(&agent.member.box_name);
    let live_member = |name: &str| agent.peers.live_member(name, now);
    let witness = choose_witness(list, shard, &excluded, live_member);
    Some(Members {
        owner: agent.member.clone(),
        witness,
        list_revision: list.revision,
    })
}

async fn create_initial_view(agent: &Rc<Agent>, shard: &ShardId, now: Now) -> StoreResult<()> {
    let key = view_key(&agent.settings.identity.partner, shard);
    if !is_responsible_for(agent, shard, now) {
        return Ok(());
    }
    if let Some(found) = agent.store.get(&key).await? {
        merge_stored_views(agent, [&found]);
        return Ok(());
    }
    let Some(members) = choose_members(agent, shard, &[], now) else {
        return Ok(());
    };
    if members.witness.is_none() {
        return Ok(());
    }
    let view = View::initial(shard.clone(), members, now.wall);
    match create_with_read_back(agent.store.as_ref(), &key, &to_json(&view)).await? {
        WriteOutcome::Written => merge_views(agent, &[view]),
        WriteOutcome::Conflict(found) => merge_stored_views(agent, found.as_ref()),
    }
    Ok(())
}

fn to_json(view: &View) -> Vec<u8> {
    serde_json::to_vec(view).expect("a view has only plain fields")
}

fn merge_stored_views<'a>(agent: &Rc<Agent>, found: impl IntoIterator<Item = &'a Versioned>) {
    let parse = |found: &Versioned| serde_json::from_slice::<View>(&found.value).ok();
    let views: Vec<View> = found.into_iter().filter_map(parse).collect();
    merge_views(agent, &views);
}

async fn maintain_as_owner(agent: &Rc<Agent>, view: &View, now: Now) -> StoreResult<()> {
    let usable =
        |witness: &Member| !is_gone(agent, witness, view) && !agent.peers.is_silent(witness, now);
    match &view.witness {
        Some(witness) if usable(witness) => {
            if with_replica(agent, &view.shard, |replica| replica.needs_sync()) == Some(true) {
                sync_witness(agent, view).await;
                return Ok(());
            }
            // A witness in another hall is replaced once an agent of the home hall is available.
            let is_away_from_home = !is_in_home_hall(agent, witness, &view.shard);
            if is_away_from_home {
                replace_witness(agent, view, now).await
            } else {
                Ok(())
            }
        }
        _ => replace_witness(agent, view, now).await,
    }
}

fn is_in_home_hall(agent: &Agent, member: &Member, shard: &ShardId) -> bool {
    let state = agent.state.borrow();
    let listed = state.list().and_then(|list| {
        list.boxes
            .iter()
            .find(|listed| listed.name == member.box_name)
    });
    listed.is_some_and(|listed| listed.hall == shard.hall)
}

async fn replace_witness(agent: &Rc<Agent>, view: &View, now: Now) -> StoreResult<()> {
    let current = view.witness.as_ref();
    let silent = current.is_some_and(|witness| agent.peers.is_silent(witness, now));
    let excluded_boxes: Vec<&str> = current
        .filter(|_| silent)
        .map(|witness| witness.box_name.as_str())
        .into_iter()
        .collect();
    let Some(members) = choose_members(agent, &view.shard, &excluded_boxes, now) else {
        return Ok(());
    };
    if members.witness.is_none() || members.witness.as_ref() == current || agent.stopping.get() {
        return Ok(());
    }
    let Some(revision) = read_revision(agent, view).await? else {
        return Ok(());
    };
    let next = view.successor(members, now.wall);
    write_view(agent, &next, revision).await
}

/// Returns the store revision of a shard's view, if the store still has the given view.
async fn read_revision(agent: &Rc<Agent>, view: &View) -> StoreResult<Option<u64>> {
    let key = view_key(&agent.settings.identity.partner, &view.shard);
    let Some(found) = agent.store.get(&key).await? else {
        return Ok(None);
    };
    merge_stored_views(agent, [&found]);
    let same = agent.state.borrow().view(&view.shard) == Some(view);
    Ok(same.then_some(found.revision))
}

async fn write_view(agent: &Rc<Agent>, next: &View, revision: u64) -> StoreResult<()> {
    let key = view_key(&agent.settings.identity.partner, &next.shard);
    let condition = Condition::Revision(revision);
    match agent
        .store
        .write_if(&key, condition, &to_json(next))
        .await?
    {
        WriteOutcome::Written => merge_views(agent, std::slice::from_ref(next)),
        WriteOutcome::Conflict(found) => merge_stored_views(agent, found.as_ref()),
    }
    Ok(())
}

/// Sends the complete table to a new witness.
async fn sync_witness(agent: &Rc<Agent>, view: &View) {
    let parts = with_replica(agent, &view.shard, Replica::sync_parts).unwrap_or_default();
    for part in parts {
        if let Err(reason) =
            replicate_to_witness(agent, part, Some(view.clone()), SYNC_DEADLINE).await
        {
            log::debug!(shard = view.shard.to_string(); "{reason}");
            return;
        }
    }
    with_replica(agent, &view.shard, |replica| {
        replica.mark_witness_synced(view.epoch)
    });
}

async fn maintain_as_witness(agent: &Rc<Agent>, view: &View, now: Now) -> StoreResult<()> {
    let (can_take_over, is_taking_over) = with_replica(agent, &view.shard, |replica| {
        (replica.can_take_over(), replica.is_taking_over())
    })
    .unwrap_or_default();
    let owner_gone = is_gone(agent, &view.owner, view) || agent.peers.is_silent(&view.owner, now);
    if can_take_over && (owner_gone || is_taking_over) && !agent.stopping.get() {
        return take_over(agent, view, now).await;
    }
    if !can_take_over && is_lost(agent, view) {
        return recover_lost_shard(agent, view, now).await;
    }
    Ok(())
}

/// Takes a shard over from its owner.
///
/// From `begin_takeover` on, no message of the old epoch is acknowledged, whatever the outcome of
/// the write. Only if the write provably never left this agent is the takeover cancelled.
async fn take_over(agent: &Rc<Agent>, view: &View, now: Now) -> StoreResult<()> {
    let Some(revision) = read_revision(agent, view).await? else {
        return Ok(());
    };
    let excluded_boxes = [view.owner.box_name.as_str()];
    let excluded_boxes: &[&str] = if agent.peers.has_later_incarnation(&view.owner) {
        &[]
    } else {
        &excluded_boxes
    };
    let Some(members) = choose_members(agent, &view.shard, excluded_boxes, now) else {
        return Ok(());
    };
    let takeover = with_replica(agent, &view.shard, |replica| {
        let is_new = !replica.is_taking_over();
        replica
            .begin_takeover(members, now.wall)
            .map(|next| (next, is_new))
    });
    let Some((next, is_new)) = takeover.flatten() else {
        return Ok(());
    };
    log::info!(shard = view.shard.to_string(); "taking over from {}", view.owner);
    let outcome = write_view(agent, &next, revision).await;
    if is_new && outcome.as_ref().is_err_and(proves_not_written) {
        with_replica(agent, &view.shard, Replica::cancel_takeover);
    }
    outcome
}

/// Takes a shard over at the request of its owner, which is about to stop.
pub fn take_over_on_request(agent: &Rc<Agent>, shard: ShardId) -> ControlResponse {
    let view = agent.state.borrow().view(&shard).cloned();
    let Some(view) = view.filter(|view| view.witness.as_ref() == Some(&agent.member)) else {
        return ControlResponse::Failed("this agent is not the shard's witness".to_owned());
    };
    let agent = agent.clone();
    actix_rt::spawn(async move {
        if let Err(err) = take_over(&agent, &view, Now::read()).await {
            log::debug!(shard = shard.to_string(); "the takeover requested by the owner failed: {err}");
        }
    });
    ControlResponse::Done
}

/// Returns whether a member is provably gone for good.
fn is_gone(agent: &Agent, member: &Member, view: &View) -> bool {
    let is_earlier_incarnation =
        member.box_name == agent.member.box_name && member.incarnation < agent.member.incarnation;
    if is_earlier_incarnation || agent.peers.has_later_incarnation(member) {
        return true;
    }
    let state = agent.state.borrow();
    state
        .list()
        .is_some_and(|list| list.revision >= view.list_revision && !list.contains(&member.box_name))
}

/// Returns whether all members that held a shard's complete table are provably gone.
fn is_lost(agent: &Agent, view: &View) -> bool {
    is_gone(agent, &view.owner, view)
        && view.witness.as_ref().is_none_or(|witness| {
            // The caller checks that this agent, if it is the witness, cannot take over because it
            // never received the complete table.
            *witness == agent.member || is_gone(agent, witness, view)
        })
}

/// Becomes the owner of a shard whose table is lost. Until the retention time of claims has passed,
/// the reply for keys that may have been claimed before the loss is `Unknown`.
async fn recover_lost_shard(agent: &Rc<Agent>, view: &View, now: Now) -> StoreResult<()> {
    let is_witness = view.witness.as_ref() == Some(&agent.member);
    if !is_witness && !is_responsible_for(agent, &view.shard, now) {
        return Ok(());
    }
    let Some(revision) = read_revision(agent, view).await? else {
        return Ok(());
    };
    let Some(members) = choose_members(agent, &view.shard, &[], now) else {
        return Ok(());
    };
    log::warn!(shard = view.shard.to_string(); "the shard's claims are lost; unknown keys are refused until the retention time has passed");
    let next = view.successor_after_loss(members, now.wall);
    write_view(agent, &next, revision).await
}

/// Hands over the owned shards to their witnesses before a planned stop.
pub async fn hand_over_shards(agent: &Rc<Agent>) {
    let deadline = Instant::now() + HANDOVER_LIMIT;
    loop {
        let owned: Vec<View> = {
            let replicas = agent.replicas.borrow();
            let granting = replicas.values().filter(|replica| replica.can_grant());
            granting
                .filter_map(|replica| replica.view().cloned())
                .collect()
        };
        if owned.is_empty() || Instant::now() >= deadline {
            return;
        }
        futures::future::join_all(owned.iter().map(|view| request_takeover(agent, view))).await;
        sleep(MAINTENANCE_PERIOD).await;
    }
}

/// Requests that the witness of a shard take it over.
async fn request_takeover(agent: &Rc<Agent>, view: &View) {
    let witness = view.witness.as_ref();
    let address = witness.and_then(|witness| agent_address(agent, &witness.box_name));
    if let Some(address) = address {
        let request = ControlRequest::HandOverShard(view.shard.clone());
        if let Err(err) = agent
            .peers
            .client(address)
            .call(&request, WITNESS_DEADLINE)
            .await
        {
            log::debug!(shard = view.shard.to_string(); "the call to the witness failed: {err}");
        }
    }
}

/// Returns whether an error proves that the write never reached the store.
fn proves_not_written(err: &StoreError) -> bool {
    matches!(err, StoreError::Unreachable(_))
}
