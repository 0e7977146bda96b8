//! Brings bills to the ledger in the store, many in one write.

use super::Agent;
use super::claims;
use crate::claim::message::{Owed, ReplicaMessage};
use crate::claim::{Bill, ClaimKey};
use crate::ledger::{SEGMENT_BILLS, Segment};
use crate::live::AGENT_SERVICE;
use crate::store::layout::segment_key;
use crate::store::{StoreResult, WriteOutcome, create_with_read_back};
use crate::wire::message::ControlRequest;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The ledger writes a second that all agents of a partner make together.
const LEDGER_WRITES_PER_SECOND: u32 = 50;
const SHORTEST_PERIOD: Duration = Duration::from_secs(1);
const STOP_LIMIT: Duration = Duration::from_secs(3);
const REPLICATE_DEADLINE: Duration = Duration::from_millis(500);

/// A segment that is being written; it keeps its content until its write is settled.
#[derive(Debug)]
pub struct OpenSegment {
    number: u64,
    segment: Segment,
}

/// Drains bills until the process ends.
pub async fn drain_bills(agent: Rc<Agent>) {
    loop {
        sleep(period(&agent)).await;
        if let Err(err) = drain_once(&agent).await {
            log::debug!("bills wait for the store: {err}");
        }
    }
}

/// Returns the time between two writes, so that the fleet's writes stay within the
/// store's means however many boxes it has.
fn period(agent: &Agent) -> Duration {
    let shared = agent.shared.borrow();
    let agents = shared
        .list()
        .map_or(1, |list| list.of_service(AGENT_SERVICE).count());
    let agents = u32::try_from(agents).unwrap_or(u32::MAX);
    let spread = Duration::from_secs(1) * agents / LEDGER_WRITES_PER_SECOND;
    spread.max(SHORTEST_PERIOD)
}

async fn drain_once(agent: &Rc<Agent>) -> StoreResult<()> {
    place_unplaced(agent).await;
    if agent.written_segment.borrow().is_none() {
        let bills = waiting_bills(agent);
        if bills.is_empty() {
            return Ok(());
        }
        let number = agent.next_segment.get();
        agent.next_segment.set(number + 1);
        agent.written_segment.replace(Some(OpenSegment {
            number,
            segment: Segment { bills },
        }));
    }
    write_segment(agent).await
}

fn waiting_bills(agent: &Agent) -> Vec<Bill> {
    let replicas = agent.replicas.borrow();
    let mut bills: Vec<Bill> = Vec::new();
    for replica in replicas.values() {
        bills.extend(replica.undrained(SEGMENT_BILLS.saturating_sub(bills.len())));
    }
    let unplaced = agent.unplaced.borrow();
    let own = unplaced
        .iter()
        .filter_map(|unplaced| unplaced.finish.bill.clone());
    bills.extend(own.take(SEGMENT_BILLS));
    bills
}

async fn write_segment(agent: &Rc<Agent>) -> StoreResult<()> {
    let (key, value) = {
        let open = agent.written_segment.borrow();
        let Some(open) = open.as_ref() else {
            return Ok(());
        };
        let key = segment_key(&agent.settings.identity.partner, &agent.me, open.number);
        (
            key,
            serde_json::to_vec(&open.segment).expect("a segment has only plain fields"),
        )
    };
    let outcome = create_with_read_back(agent.store.as_ref(), &key, &value).await?;
    agent
        .shared
        .borrow_mut()
        .note_store(crate::clock::Now::read().monotonic);
    let Some(open) = agent.written_segment.borrow_mut().take() else {
        return Ok(());
    };
    if outcome != WriteOutcome::Written {
        log::error!("invariant: the ledger segment {key} holds something else");
        return Ok(());
    }
    mark_drained(agent, &open.segment).await;
    Ok(())
}

async fn mark_drained(agent: &Rc<Agent>, segment: &Segment) {
    let keys: Vec<ClaimKey> = segment.bills.iter().map(|bill| bill.key.clone()).collect();
    agent
        .unplaced
        .borrow_mut()
        .retain(|unplaced| !keys.contains(&unplaced.key));
    let messages: Vec<ReplicaMessage> = {
        let mut replicas = agent.replicas.borrow_mut();
        let owned = replicas.values_mut().filter(|replica| replica.is_owner());
        owned
            .filter_map(|replica| replica.mark_drained(&keys))
            .collect()
    };
    for message in messages {
        let Some(address) = super::gossip::address_of(agent, &message.to.box_name) else {
            continue;
        };
        let request = ControlRequest::Replicate(Box::new(message), None);
        // A witness that misses this drains the bills again; the ledger counts them once.
        let _ = agent
            .peers
            .client(address)
            .call(&request, REPLICATE_DEADLINE)
            .await;
    }
}

/// Offers the ends that no owner took to their owners once more.
async fn place_unplaced(agent: &Rc<Agent>) {
    let unplaced = agent.unplaced.take();
    for Owed {
        key,
        attempt,
        finish,
    } in unplaced
    {
        // What is not placed now returns to the list.
        claims::finish(agent, key, attempt, finish, false).await;
    }
}

/// Brings all bills to the ledger before a planned stop, as far as the store lets it.
pub async fn drain_before_stop(agent: &Rc<Agent>) {
    let deadline = Instant::now() + STOP_LIMIT;
    while Instant::now() < deadline {
        let waiting = !waiting_bills(agent).is_empty() || agent.written_segment.borrow().is_some();
        if !waiting {
            return;
        }
        if drain_once(agent).await.is_err() {
            sleep(Duration::from_millis(100)).await;
        }
    }
    log::warn!("bills were left to the witnesses, the store did not take them in time");
}
