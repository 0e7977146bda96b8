//! I/O around the state machine of claims: replication to witnesses, and forwarding of calls to
//! the owners of shards.

use super::Agent;
use super::gossip::{agent_address, merge_views};
use crate::claim::message::{Refusal, ReplicaMessage, UnrecordedFinish};
use crate::claim::replica::{ClaimStep, Replica};
use crate::claim::view::{ShardId, View};
use crate::claim::{AttemptId, ClaimKey, ClaimReply, Finish};
use crate::clock::Now;
use crate::wire::WireError;
use crate::wire::message::{ControlRequest, ControlResponse, Update};
use std::rc::Rc;
use std::time::Duration;

/// How long an owner waits for the acknowledgement of its witness.
pub(super) const WITNESS_DEADLINE: Duration = Duration::from_millis(250);
/// How long an agent waits for the owner to which it forwarded a call.
const OWNER_DEADLINE: Duration = Duration::from_millis(600);
/// Deadline of a replication in the background.
const REPLICATION_DEADLINE: Duration = Duration::from_secs(2);

/// Handles an attempt to claim a key, on this agent or by forwarding it to the shard's owner.
///
/// `relayed` is set if another agent forwarded the call; it is not forwarded again.
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
        return claim_as_owner(agent, &shard, &key, attempt).await;
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
        Ok(_) => not_now("the shard's owner sent an unexpected response"),
        Err(err) => not_now(&format!("the call to the shard's owner failed: {err}")),
    }
}

fn owns(agent: &Agent, shard: &ShardId) -> bool {
    agent
        .replicas
        .borrow()
        .get(shard)
        .is_some_and(Replica::is_owner)
}

/// Calls a function on this agent's replica of a shard, if it has one.
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
        .state
        .borrow()
        .view(shard)
        .map(|view| view.owner.clone());
    let address = owner
        .and_then(|owner| agent_address(agent, &owner.box_name))
        .ok_or_else(unknown)?;
    agent
        .peers
        .client(address)
        .call(request, OWNER_DEADLINE)
        .await
}

async fn claim_as_owner(
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
        Some(ClaimStep::Reply(reply)) => return reply,
        Some(ClaimStep::Replicate(message)) => *message,
    };
    let epoch = message.epoch;
    let acknowledged = replicate_to_witness(agent, message, None, WITNESS_DEADLINE).await;
    let reply = with_replica(agent, shard, |replica| {
        let reply = match acknowledged {
            Ok(()) => replica.handle_claim_ack(epoch, key, attempt, Now::read()),
            Err(reason) => ClaimReply::NotNow(reason),
        };
        if reply != ClaimReply::Granted {
            replica.abort_attempt(key, attempt);
        }
        reply
    });
    reply.unwrap_or_else(|| ClaimReply::NotNow("the shard is not held here".to_owned()))
}

/// Sends a message to the witness that it is addressed to; only `Ok` is an acknowledgement.
pub(super) async fn replicate_to_witness(
    agent: &Rc<Agent>,
    message: ReplicaMessage,
    view: Option<View>,
    deadline: Duration,
) -> Result<(), String> {
    let witness = message.to.clone();
    let address = agent_address(agent, &witness.box_name)
        .ok_or_else(|| format!("the witness {witness} is not in the live list"))?;
    let request = ControlRequest::Replicate(Box::new(message), view);
    match agent.peers.client(address).call(&request, deadline).await {
        Ok(ControlResponse::Replicated(Ok(()))) => {
            agent.peers.record_contact(&witness, false, Now::read());
            Ok(())
        }
        Ok(ControlResponse::Replicated(Err((refusal, view)))) => {
            merge_views(agent, view.as_slice());
            Err(format!(
                "the witness {witness} refused the message: {refusal:?}"
            ))
        }
        Ok(_) => Err(format!("the witness {witness} sent an unexpected response")),
        Err(err) => Err(format!("the call to the witness {witness} failed: {err}")),
    }
}

/// Applies a replication message from a shard's owner.
pub fn handle_replication(
    agent: &Rc<Agent>,
    message: ReplicaMessage,
    view: Option<&View>,
) -> ControlResponse {
    merge_views(agent, view.map_or(&[], std::slice::from_ref));
    let now = Now::read();
    agent.peers.record_contact(&message.from, false, now);
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

/// Releases a key, on this agent or by forwarding the call to the shard's owner.
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
        replicate_in_background(agent, message.flatten());
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

/// Replicates to the witness in the background. A change that is lost reaches the witness with the
/// next transfer of the table.
fn replicate_in_background(agent: &Rc<Agent>, message: Option<ReplicaMessage>) {
    let Some(message) = message else {
        return;
    };
    let agent = agent.clone();
    actix_rt::spawn(async move {
        if let Err(reason) = replicate_to_witness(&agent, message, None, REPLICATION_DEADLINE).await
        {
            log::debug!("{reason}");
        }
    });
}

/// Records how a request ended, on this agent or by forwarding the call to the shard's owner.
///
/// If the owner does not record it, this agent retains it and writes its bill to the ledger.
pub async fn finish(
    agent: &Rc<Agent>,
    key: ClaimKey,
    attempt: AttemptId,
    finish: Finish,
    relayed: bool,
) -> ControlResponse {
    let shard = key.shard(&agent.settings.identity.halls);
    let response = submit_finish(agent, shard.as_ref(), &key, attempt, &finish, relayed).await;
    if relayed || matches!(response, ControlResponse::Done) {
        return response;
    }
    agent
        .unrecorded_finishes
        .borrow_mut()
        .push(UnrecordedFinish {
            key,
            attempt,
            finish,
        });
    ControlResponse::NotReplicated
}

async fn submit_finish(
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
        return finish_as_owner(agent, shard, key, attempt, finish.clone()).await;
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

async fn finish_as_owner(
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
    match replicate_to_witness(agent, message, None, WITNESS_DEADLINE).await {
        Ok(()) => ControlResponse::Done,
        // A partitioned owner may hold this alone and lose the shard to a takeover, so the caller
        // has to retain it as well.
        Err(reason) => ControlResponse::Failed(reason),
    }
}

/// Applies a view to the replica of its shard.
pub fn apply_view(agent: &Rc<Agent>, view: &View) {
    let mut replicas = agent.replicas.borrow_mut();
    let member = agent.member.clone();
    let replica = replicas
        .entry(view.shard.clone())
        .or_insert_with(|| Replica::new(member));
    agent
        .unrecorded_finishes
        .borrow_mut()
        .extend(replica.apply_view(view));
    if view.unknown_until.is_some() {
        agent.push(&Update::ClaimsLost);
    }
    if view.includes(&agent.member) {
        log::info!(shard = view.shard.to_string(), epoch = view.epoch.0; "this agent is the shard's {}", role(agent, view));
    }
}

fn role(agent: &Agent, view: &View) -> &'static str {
    if view.owner == agent.member {
        "owner"
    } else {
        "witness"
    }
}
