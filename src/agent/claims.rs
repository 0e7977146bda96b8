//! The I/O around the claims' state machine: asking witnesses, and passing calls on to
//! the owners of shards.

use super::Agent;
use super::gossip::{address_of, take_views};
use crate::claim::message::{Owed, Refusal, ReplicaMessage};
use crate::claim::replica::{ClaimStep, Replica};
use crate::claim::view::{ShardId, View};
use crate::claim::{AttemptId, ClaimKey, ClaimReply, Finish};
use crate::clock::Now;
use crate::wire::WireError;
use crate::wire::message::{ControlRequest, ControlResponse, Update};
use std::rc::Rc;
use std::time::Duration;

/// How long an owner waits for its witness.
pub(super) const WITNESS_DEADLINE: Duration = Duration::from_millis(250);
/// How long an agent waits for the owner that it passed a call on to.
const OWNER_DEADLINE: Duration = Duration::from_millis(600);
const REPLICATE_DEADLINE: Duration = Duration::from_secs(2);

/// Decides about an attempt, here or at the shard's owner.
pub async fn claim(
    agent: &Rc<Agent>,
    key: ClaimKey,
    attempt: AttemptId,
    relayed: bool,
) -> ClaimReply {
    let not_now = |reason: &str| ClaimReply::NotNow(reason.to_owned());
    let Some(shard) = key.shard(&agent.settings.identity.halls) else {
        return not_now("the halls are not known");
    };
    if owns(agent, &shard) {
        return claim_here(agent, &shard, &key, attempt).await;
    }
    if relayed {
        return not_now("this agent does not own the shard");
    }
    let request = ControlRequest::Claim {
        key,
        attempt,
        relayed: true,
    };
    match call_owner(agent, &shard, &request).await {
        Ok(ControlResponse::Claim(reply)) => reply,
        Ok(_) => not_now("the shard's owner gave an unfitting answer"),
        Err(err) => not_now(&format!("the shard's owner cannot be asked: {err}")),
    }
}

fn owns(agent: &Agent, shard: &ShardId) -> bool {
    agent
        .replicas
        .borrow()
        .get(shard)
        .is_some_and(Replica::is_owner)
}

/// Acts on this agent's copy of a shard, if it has one.
pub(super) fn with_replica<T>(
    agent: &Agent,
    shard: &ShardId,
    act: impl FnOnce(&mut Replica) -> T,
) -> Option<T> {
    agent.replicas.borrow_mut().get_mut(shard).map(act)
}

async fn call_owner(
    agent: &Agent,
    shard: &ShardId,
    request: &ControlRequest,
) -> Result<ControlResponse, WireError> {
    let unknown = || WireError::NotSent("the shard's owner is not known".to_owned());
    let owner = agent
        .shared
        .borrow()
        .view(shard)
        .map(|view| view.owner.clone());
    let address = owner
        .and_then(|owner| address_of(agent, &owner.box_name))
        .ok_or_else(unknown)?;
    agent
        .peers
        .client(address)
        .call(request, OWNER_DEADLINE)
        .await
}

async fn claim_here(
    agent: &Rc<Agent>,
    shard: &ShardId,
    key: &ClaimKey,
    attempt: AttemptId,
) -> ClaimReply {
    let step = with_replica(agent, shard, |replica| {
        replica.claim(key, attempt, Now::read())
    });
    let message = match step {
        None => return ClaimReply::NotNow("the shard is not held here".to_owned()),
        Some(ClaimStep::Answer(reply)) => return reply,
        Some(ClaimStep::Ask(message)) => *message,
    };
    let epoch = message.epoch;
    let asked = ask_witness(agent, message, None, WITNESS_DEADLINE).await;
    let reply = with_replica(agent, shard, |replica| {
        let reply = match asked {
            Ok(()) => replica.acknowledged(epoch, key, attempt, Now::read()),
            Err(reason) => ClaimReply::NotNow(reason),
        };
        if reply != ClaimReply::Granted {
            replica.give_up(key, attempt);
        }
        reply
    });
    reply.unwrap_or_else(|| ClaimReply::NotNow("the shard is not held here".to_owned()))
}

/// Sends a message to the witness that it names; only `Ok` is an acknowledgement.
pub(super) async fn ask_witness(
    agent: &Rc<Agent>,
    message: ReplicaMessage,
    view: Option<View>,
    deadline: Duration,
) -> Result<(), String> {
    let witness = message.to.clone();
    let address = address_of(agent, &witness.box_name)
        .ok_or_else(|| format!("the witness {witness} is not listed"))?;
    let request = ControlRequest::Replicate(Box::new(message), view);
    match agent.peers.client(address).call(&request, deadline).await {
        Ok(ControlResponse::Replicated(Ok(()))) => {
            agent.peers.note(&witness, false, Now::read());
            Ok(())
        }
        Ok(ControlResponse::Replicated(Err((refusal, view)))) => {
            take_views(agent, view.as_slice());
            Err(format!("the witness {witness} refused: {refusal:?}"))
        }
        Ok(_) => Err(format!("the witness {witness} gave an unfitting answer")),
        Err(err) => Err(format!("the witness {witness} cannot be asked: {err}")),
    }
}

/// Takes a message from a shard's owner.
pub fn receive(agent: &Rc<Agent>, message: ReplicaMessage, view: Option<&View>) -> ControlResponse {
    take_views(agent, view.map_or(&[], std::slice::from_ref));
    let now = Now::read();
    agent.peers.note(&message.from, false, now);
    let shard = message.shard.clone();
    let mut replicas = agent.replicas.borrow_mut();
    let outcome = match replicas.get_mut(&shard) {
        Some(replica) => replica.receive(message, now),
        None => Err(Refusal::UnknownEpoch),
    };
    let known = replicas
        .get(&shard)
        .and_then(|replica| replica.view().cloned());
    ControlResponse::Replicated(outcome.map_err(|refusal| (refusal, known)))
}

/// Gives a key back, here or at the shard's owner.
pub async fn release(
    agent: &Rc<Agent>,
    key: ClaimKey,
    attempt: AttemptId,
    relayed: bool,
) -> ControlResponse {
    let failed = |reason: &str| ControlResponse::Failed(reason.to_owned());
    let Some(shard) = key.shard(&agent.settings.identity.halls) else {
        return failed("the halls are not known");
    };
    if owns(agent, &shard) {
        let message = with_replica(agent, &shard, |replica| replica.release(&key, attempt));
        replicate_later(agent, message.flatten());
        return ControlResponse::Done;
    }
    if relayed {
        return failed("this agent does not own the shard");
    }
    let request = ControlRequest::Release {
        key,
        attempt,
        relayed: true,
    };
    call_owner(agent, &shard, &request)
        .await
        .unwrap_or_else(|err| failed(&err.to_string()))
}

/// Tells the witness in the background; what it misses, the next transfer of the
/// table brings.
fn replicate_later(agent: &Rc<Agent>, message: Option<ReplicaMessage>) {
    let Some(message) = message else {
        return;
    };
    let agent = agent.clone();
    actix_rt::spawn(async move {
        if let Err(reason) = ask_witness(&agent, message, None, REPLICATE_DEADLINE).await {
            log::debug!("{reason}");
        }
    });
}

/// Records how a request ended, here or at the shard's owner.
///
/// A bill that no owner takes waits here and is brought to the ledger from here.
pub async fn finish(
    agent: &Rc<Agent>,
    key: ClaimKey,
    attempt: AttemptId,
    finish: Finish,
    relayed: bool,
) -> ControlResponse {
    let shard = key.shard(&agent.settings.identity.halls);
    let placed = place_finish(agent, shard.as_ref(), &key, attempt, &finish, relayed).await;
    if relayed || matches!(placed, ControlResponse::Done) {
        return placed;
    }
    agent.unplaced.borrow_mut().push(Owed {
        key,
        attempt,
        finish,
    });
    ControlResponse::NotReplicated
}

async fn place_finish(
    agent: &Rc<Agent>,
    shard: Option<&ShardId>,
    key: &ClaimKey,
    attempt: AttemptId,
    finish: &Finish,
    relayed: bool,
) -> ControlResponse {
    let failed = |reason: &str| ControlResponse::Failed(reason.to_owned());
    let Some(shard) = shard else {
        return failed("the halls are not known");
    };
    if owns(agent, shard) {
        return finish_here(agent, shard, key, attempt, finish.clone()).await;
    }
    if relayed {
        return failed("this agent does not own the shard");
    }
    let (key, finish) = (key.clone(), finish.clone());
    let request = ControlRequest::Finish {
        key,
        attempt,
        finish,
        relayed: true,
    };
    call_owner(agent, shard, &request)
        .await
        .unwrap_or_else(|err| failed(&err.to_string()))
}

async fn finish_here(
    agent: &Rc<Agent>,
    shard: &ShardId,
    key: &ClaimKey,
    attempt: AttemptId,
    finish: Finish,
) -> ControlResponse {
    let message = with_replica(agent, shard, |replica| {
        replica.finish(key, attempt, finish, Now::read())
    });
    let Some(message) = message.flatten() else {
        return ControlResponse::Failed("the shard has no witness".to_owned());
    };
    match ask_witness(agent, message, None, WITNESS_DEADLINE).await {
        Ok(()) => ControlResponse::Done,
        // An owner that was cut off may hold this alone and be taken over, so whoever
        // told it has to keep it too.
        Err(reason) => ControlResponse::Failed(reason),
    }
}

/// Takes a view into the copy of its shard.
pub fn apply_view(agent: &Rc<Agent>, view: &View) {
    let mut replicas = agent.replicas.borrow_mut();
    let me = agent.me.clone();
    let replica = replicas
        .entry(view.shard.clone())
        .or_insert_with(|| Replica::new(me));
    agent.unplaced.borrow_mut().extend(replica.apply_view(view));
    if view.unknown_until.is_some() {
        agent.push(&Update::ClaimsLost);
    }
    if view.names(&agent.me) {
        log::info!(shard = view.shard.to_string(), epoch = view.epoch.0; "this agent holds the shard as {}", role(agent, view));
    }
}

fn role(agent: &Agent, view: &View) -> &'static str {
    if view.owner == agent.me {
        "owner"
    } else {
        "witness"
    }
}
