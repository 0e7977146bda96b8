//! Keeps each shard of this hall in the hands of an owner and a witness.
//!
//! Every change of hands is a compare-and-swap of the shard's view in the store.

use super::Agent;
use super::claims::{WITNESS_DEADLINE, ask_witness, with_replica};
use super::gossip::{address_of, take_views};
use super::placement::{choose_witness, is_first};
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

const SYNC_DEADLINE: Duration = Duration::from_secs(2);
const MAINTENANCE_PERIOD: Duration = Duration::from_millis(250);
const HAND_OVER_LIMIT: Duration = Duration::from_secs(4);

/// Keeps the shards in good hands until the process ends.
pub async fn maintain_shards(agent: Rc<Agent>) {
    loop {
        sleep(MAINTENANCE_PERIOD).await;
        let now = Now::read();
        agent
            .replicas
            .borrow_mut()
            .values_mut()
            .for_each(|replica| replica.expire(now));
        for shard in shards_of_interest(&agent) {
            if agent
                .shards_in_maintenance
                .borrow_mut()
                .insert(shard.clone())
            {
                actix_rt::spawn(maintain_once(agent.clone(), shard));
            }
        }
    }
}

fn shards_of_interest(agent: &Agent) -> BTreeSet<ShardId> {
    let hall = &agent.settings.identity.hall;
    let home = (0..SHARDS_PER_HALL).map(|index| ShardId {
        hall: hall.clone(),
        index,
    });
    let shared = agent.shared.borrow();
    let held = shared
        .views()
        .filter(|view| view.names(&agent.me))
        .map(|view| view.shard.clone());
    home.chain(held).collect()
}

async fn maintain_once(agent: Rc<Agent>, shard: ShardId) {
    if let Err(err) = maintain(&agent, &shard).await {
        log::debug!(shard = shard.to_string(); "the shard stays as it is: {err}");
    }
    agent.shards_in_maintenance.borrow_mut().remove(&shard);
}

async fn maintain(agent: &Rc<Agent>, shard: &ShardId) -> StoreResult<()> {
    let now = Now::read();
    let view = agent.shared.borrow().view(shard).cloned();
    let Some(view) = view else {
        return make_first_view(agent, shard, now).await;
    };
    if view.owner == agent.me {
        return maintain_as_owner(agent, &view, now).await;
    }
    if view.witness.as_ref() == Some(&agent.me) {
        return maintain_as_witness(agent, &view, now).await;
    }
    if shard.hall == agent.settings.identity.hall && is_lost(agent, &view) {
        return take_lost_shard(agent, &view, now).await;
    }
    Ok(())
}

/// Tells whether this agent is the one to act for a shard of its hall that nobody holds.
fn is_first_for(agent: &Agent, shard: &ShardId, now: Now) -> bool {
    let shared = agent.shared.borrow();
    let Some(list) = shared.list() else {
        return false;
    };
    let duty = shard.to_string();
    let silent = |name: &str| agent.peers.is_box_silent(name, now);
    list.holds(&agent.me.box_name)
        && !agent.stopping.get()
        && is_first(list, &duty, &shard.hall, &agent.me.box_name, silent)
}

/// Chooses a witness, and names the list that holds it together with this agent.
fn members_with_me(agent: &Agent, shard: &ShardId, avoided: &[&str], now: Now) -> Option<Members> {
    let shared = agent.shared.borrow();
    let list = shared.list()?;
    if !list.holds(&agent.me.box_name) {
        return None;
    }
    let mut excluded = avoided.to_vec();
    excluded.push(&agent.me.box_name);
    let heard = |name: &str| agent.peers.heard_lately(name, now);
    let witness = choose_witness(list, shard, &excluded, heard);
    Some(Members {
        owner: agent.me.clone(),
        witness,
        list_revision: list.revision,
    })
}

async fn make_first_view(agent: &Rc<Agent>, shard: &ShardId, now: Now) -> StoreResult<()> {
    let key = view_key(&agent.settings.identity.partner, shard);
    if !is_first_for(agent, shard, now) {
        return Ok(());
    }
    if let Some(found) = agent.store.get(&key).await? {
        take_found(agent, [&found]);
        return Ok(());
    }
    let Some(members) = members_with_me(agent, shard, &[], now) else {
        return Ok(());
    };
    if members.witness.is_none() {
        return Ok(());
    }
    let view = View::first(shard.clone(), members, now.wall);
    match create_with_read_back(agent.store.as_ref(), &key, &to_json(&view)).await? {
        WriteOutcome::Written => take_views(agent, &[view]),
        WriteOutcome::Conflict(found) => take_found(agent, found.as_ref()),
    }
    Ok(())
}

fn to_json(view: &View) -> Vec<u8> {
    serde_json::to_vec(view).expect("a view has only plain fields")
}

fn take_found<'a>(agent: &Rc<Agent>, found: impl IntoIterator<Item = &'a Versioned>) {
    let parse = |found: &Versioned| serde_json::from_slice::<View>(&found.value).ok();
    let views: Vec<View> = found.into_iter().filter_map(parse).collect();
    take_views(agent, &views);
}

async fn maintain_as_owner(agent: &Rc<Agent>, view: &View, now: Now) -> StoreResult<()> {
    let usable =
        |witness: &Member| !is_gone(agent, witness, view) && !agent.peers.is_silent(witness, now);
    match &view.witness {
        Some(witness) if usable(witness) => {
            if with_replica(agent, &view.shard, |replica| replica.needs_sync()) == Some(true) {
                bring_up_to_date(agent, view).await;
                return Ok(());
            }
            let moves_home = !stands_at_home(agent, witness, &view.shard);
            if moves_home {
                replace_witness(agent, view, now).await
            } else {
                Ok(())
            }
        }
        _ => replace_witness(agent, view, now).await,
    }
}

fn stands_at_home(agent: &Agent, member: &Member, shard: &ShardId) -> bool {
    let shared = agent.shared.borrow();
    let listed = shared.list().and_then(|list| {
        list.boxes
            .iter()
            .find(|listed| listed.name == member.box_name)
    });
    listed.is_some_and(|listed| listed.hall == shard.hall)
}

async fn replace_witness(agent: &Rc<Agent>, view: &View, now: Now) -> StoreResult<()> {
    let present = view.witness.as_ref();
    let silent = present.is_some_and(|witness| agent.peers.is_silent(witness, now));
    let avoided: Vec<&str> = present
        .filter(|_| silent)
        .map(|witness| witness.box_name.as_str())
        .into_iter()
        .collect();
    let Some(members) = members_with_me(agent, &view.shard, &avoided, now) else {
        return Ok(());
    };
    if members.witness.is_none() || members.witness.as_ref() == present || agent.stopping.get() {
        return Ok(());
    }
    let Some(revision) = read_revision(agent, view).await? else {
        return Ok(());
    };
    let next = view.succeeded_by(members, now.wall);
    write_view(agent, &next, revision).await
}

/// Reads the revision of a shard's record, if the record still holds this view.
async fn read_revision(agent: &Rc<Agent>, view: &View) -> StoreResult<Option<u64>> {
    let key = view_key(&agent.settings.identity.partner, &view.shard);
    let Some(found) = agent.store.get(&key).await? else {
        return Ok(None);
    };
    take_found(agent, [&found]);
    let same = agent.shared.borrow().view(&view.shard) == Some(view);
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
        WriteOutcome::Written => take_views(agent, std::slice::from_ref(next)),
        WriteOutcome::Conflict(found) => take_found(agent, found.as_ref()),
    }
    Ok(())
}

/// Sends the whole table to a new witness.
async fn bring_up_to_date(agent: &Rc<Agent>, view: &View) {
    let parts = with_replica(agent, &view.shard, Replica::sync_parts).unwrap_or_default();
    for part in parts {
        if let Err(reason) = ask_witness(agent, part, Some(view.clone()), SYNC_DEADLINE).await {
            log::debug!(shard = view.shard.to_string(); "{reason}");
            return;
        }
    }
    with_replica(agent, &view.shard, |replica| replica.synced(view.epoch));
}

async fn maintain_as_witness(agent: &Rc<Agent>, view: &View, now: Now) -> StoreResult<()> {
    let (able, begun) = with_replica(agent, &view.shard, |replica| {
        (replica.can_take_over(), replica.is_taking_over())
    })
    .unwrap_or_default();
    let owner_gone = is_gone(agent, &view.owner, view) || agent.peers.is_silent(&view.owner, now);
    if able && (owner_gone || begun) && !agent.stopping.get() {
        return take_over(agent, view, now).await;
    }
    if !able && is_lost(agent, view) {
        return take_lost_shard(agent, view, now).await;
    }
    Ok(())
}

/// Takes a shard over from its owner.
///
/// From `begin_takeover` on, nothing of the old epoch is acknowledged, whatever
/// comes of the write; only the proof that the write never left lifts that.
async fn take_over(agent: &Rc<Agent>, view: &View, now: Now) -> StoreResult<()> {
    let Some(revision) = read_revision(agent, view).await? else {
        return Ok(());
    };
    let avoided = [view.owner.box_name.as_str()];
    let avoided: &[&str] = if agent.peers.has_later_life(&view.owner) {
        &[]
    } else {
        &avoided
    };
    let Some(members) = members_with_me(agent, &view.shard, avoided, now) else {
        return Ok(());
    };
    let begun = with_replica(agent, &view.shard, |replica| {
        let fresh = !replica.is_taking_over();
        replica
            .begin_takeover(members, now.wall)
            .map(|next| (next, fresh))
    });
    let Some((next, fresh)) = begun.flatten() else {
        return Ok(());
    };
    log::info!(shard = view.shard.to_string(); "taking over from {}", view.owner);
    let outcome = write_view(agent, &next, revision).await;
    if fresh && outcome.as_ref().is_err_and(proves_unwritten) {
        with_replica(agent, &view.shard, Replica::cancel_takeover);
    }
    outcome
}

/// Takes a shard over whose owner is about to stop.
pub fn take_over_yielded(agent: &Rc<Agent>, shard: ShardId) -> ControlResponse {
    let view = agent.shared.borrow().view(&shard).cloned();
    let Some(view) = view.filter(|view| view.witness.as_ref() == Some(&agent.me)) else {
        return ControlResponse::Failed("this agent is not the shard's witness".to_owned());
    };
    let agent = agent.clone();
    actix_rt::spawn(async move {
        if let Err(err) = take_over(&agent, &view, Now::read()).await {
            log::debug!(shard = shard.to_string(); "the yielded shard is not taken yet: {err}");
        }
    });
    ControlResponse::Done
}

/// Tells whether a member is proved to be gone for good.
fn is_gone(agent: &Agent, member: &Member, view: &View) -> bool {
    let own_past =
        member.box_name == agent.me.box_name && member.incarnation < agent.me.incarnation;
    if own_past || agent.peers.has_later_life(member) {
        return true;
    }
    let shared = agent.shared.borrow();
    shared
        .list()
        .is_some_and(|list| list.revision >= view.list_revision && !list.holds(&member.box_name))
}

/// Tells whether all who held a shard's table are proved to be gone.
fn is_lost(agent: &Agent, view: &View) -> bool {
    is_gone(agent, &view.owner, view)
        && view.witness.as_ref().is_none_or(|witness| {
            // A witness that never got the whole table cannot take over either.
            *witness == agent.me || is_gone(agent, witness, view)
        })
}

/// Takes a shard whose table is lost; keys that it does not know are answered "unknown"
/// until the horizon has passed.
async fn take_lost_shard(agent: &Rc<Agent>, view: &View, now: Now) -> StoreResult<()> {
    let i_witness = view.witness.as_ref() == Some(&agent.me);
    if !i_witness && !is_first_for(agent, &view.shard, now) {
        return Ok(());
    }
    let Some(revision) = read_revision(agent, view).await? else {
        return Ok(());
    };
    let Some(members) = members_with_me(agent, &view.shard, &[], now) else {
        return Ok(());
    };
    log::warn!(shard = view.shard.to_string(); "the shard's claims are lost, unknown keys are refused for a while");
    let next = view.succeeded_after_loss(members, now.wall);
    write_view(agent, &next, revision).await
}

/// Hands the owned shards to their witnesses before a planned stop.
pub async fn hand_over(agent: &Rc<Agent>) {
    let deadline = Instant::now() + HAND_OVER_LIMIT;
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
        futures::future::join_all(owned.iter().map(|view| yield_shard(agent, view))).await;
        sleep(MAINTENANCE_PERIOD).await;
    }
}

async fn yield_shard(agent: &Rc<Agent>, view: &View) {
    let witness = view.witness.as_ref();
    let address = witness.and_then(|witness| address_of(agent, &witness.box_name));
    if let Some(address) = address {
        let request = ControlRequest::HandOverShard(view.shard.clone());
        if let Err(err) = agent
            .peers
            .client(address)
            .call(&request, WITNESS_DEADLINE)
            .await
        {
            log::debug!(shard = view.shard.to_string(); "the witness cannot be asked: {err}");
        }
    }
}

/// Tells whether an error proves that a write was not made.
fn proves_unwritten(err: &StoreError) -> bool {
    matches!(err, StoreError::Unreachable(_))
}
