//! Writes bills to the ledger in the store, in batches.

use super::Agent;
use super::claims;
use crate::billing_ledger::{MAX_SEGMENT_BILLS, Segment};
use crate::box_list::AGENT_SERVICE;
use crate::claim::message::{ReplicaMessage, UnrecordedFinish};
use crate::claim::{Bill, ClaimKey};
use crate::clock::Now;
use crate::store::layout::segment_key;
use crate::store::{StoreResult, WriteOutcome, create_with_read_back};
use crate::wire::message::ControlRequest;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Limit for the ledger writes of all agents of a partner together.
const MAX_LEDGER_WRITES_PER_SECOND: u32 = 50;
const MIN_WRITE_PERIOD: Duration = Duration::from_secs(1);
/// How long a planned stop may take to write bills.
const STOP_FLUSH_LIMIT: Duration = Duration::from_secs(3);
const REPLICATION_DEADLINE: Duration = Duration::from_millis(500);

/// A segment whose write is not settled yet. Its content does not change until then.
#[derive(Debug)]
pub struct PendingSegment {
    number: u64,
    segment: Segment,
}

/// Writes bills periodically until the process ends.
pub async fn write_bills(agent: Rc<Agent>) {
    loop {
        sleep(write_period(&agent)).await;
        if let Err(err) = write_once(&agent).await {
            log::debug!("bills could not be written to the store yet: {err}");
        }
    }
}

/// Returns the interval between two writes, which grows with the number of agents so that the fleet
/// stays within its limit of ledger writes.
fn write_period(agent: &Agent) -> Duration {
    let state = agent.state.borrow();
    let agents = state
        .list()
        .map_or(1, |list| list.of_service(AGENT_SERVICE).count());
    let agents = u32::try_from(agents).unwrap_or(u32::MAX);
    let fleet_period = Duration::from_secs(1) * agents / MAX_LEDGER_WRITES_PER_SECOND;
    fleet_period.max(MIN_WRITE_PERIOD)
}

async fn write_once(agent: &Rc<Agent>) -> StoreResult<()> {
    resubmit_finishes(agent).await;
    if agent.pending_segment.borrow().is_none() {
        let bills = unrecorded_bills(agent);
        if bills.is_empty() {
            return Ok(());
        }
        let number = agent.next_segment_number.get();
        agent.next_segment_number.set(number + 1);
        agent.pending_segment.replace(Some(PendingSegment {
            number,
            segment: Segment { bills },
        }));
    }
    write_segment(agent).await
}

fn unrecorded_bills(agent: &Agent) -> Vec<Bill> {
    let replicas = agent.replicas.borrow();
    let mut bills: Vec<Bill> = Vec::new();
    for replica in replicas.values() {
        bills.extend(replica.unrecorded_bills(MAX_SEGMENT_BILLS.saturating_sub(bills.len())));
    }
    let unrecorded_finishes = agent.unrecorded_finishes.borrow();
    let own_bills = unrecorded_finishes
        .iter()
        .filter_map(|unrecorded| unrecorded.finish.bill.clone());
    bills.extend(own_bills.take(MAX_SEGMENT_BILLS));
    bills
}

async fn write_segment(agent: &Rc<Agent>) -> StoreResult<()> {
    let (key, value) = {
        let pending = agent.pending_segment.borrow();
        let Some(pending) = pending.as_ref() else {
            return Ok(());
        };
        let key = segment_key(
            &agent.settings.identity.partner,
            &agent.member,
            pending.number,
        );
        (
            key,
            serde_json::to_vec(&pending.segment).expect("a segment has only plain fields"),
        )
    };
    let sent = Now::read();
    let outcome = create_with_read_back(agent.store.as_ref(), &key, &value).await?;
    agent.state.borrow_mut().record_store_contact(sent);
    let Some(pending) = agent.pending_segment.borrow_mut().take() else {
        return Ok(());
    };
    if outcome != WriteOutcome::Written {
        log::error!("invariant: the ledger segment {key} has other content");
        return Ok(());
    }
    mark_bills_recorded(agent, &pending.segment).await;
    Ok(())
}

async fn mark_bills_recorded(agent: &Rc<Agent>, segment: &Segment) {
    let keys: Vec<ClaimKey> = segment.bills.iter().map(|bill| bill.key.clone()).collect();
    agent
        .unrecorded_finishes
        .borrow_mut()
        .retain(|unrecorded| !keys.contains(&unrecorded.key));
    let messages: Vec<ReplicaMessage> = {
        let mut replicas = agent.replicas.borrow_mut();
        let owned = replicas.values_mut().filter(|replica| replica.is_owner());
        owned
            .filter_map(|replica| replica.mark_bills_recorded(&keys))
            .collect()
    };
    for message in messages {
        let Some(address) = super::gossip::agent_address(agent, &message.to.box_name) else {
            continue;
        };
        let request = ControlRequest::Replicate(Box::new(message), None);
        // A witness that misses this message may write the bills again; the ledger counts them
        // once.
        let _ = agent
            .peers
            .client(address)
            .call(&request, REPLICATION_DEADLINE)
            .await;
    }
}

/// Submits the ends of requests that no owner has recorded to their owners again.
async fn resubmit_finishes(agent: &Rc<Agent>) {
    let unrecorded_finishes = agent.unrecorded_finishes.take();
    for UnrecordedFinish {
        key,
        attempt,
        finish,
    } in unrecorded_finishes
    {
        // A finish that fails again returns to the list.
        claims::finish(agent, key, attempt, finish, false).await;
    }
}

/// Writes all bills to the ledger before a planned stop, as far as the store is available.
pub async fn flush_before_stop(agent: &Rc<Agent>) {
    let deadline = Instant::now() + STOP_FLUSH_LIMIT;
    while Instant::now() < deadline {
        let waiting =
            !unrecorded_bills(agent).is_empty() || agent.pending_segment.borrow().is_some();
        if !waiting {
            return;
        }
        if write_once(agent).await.is_err() {
            sleep(Duration::from_millis(100)).await;
        }
    }
    log::warn!("not all bills were written before the stop; the witnesses have to write the rest");
}
