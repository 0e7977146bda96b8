//! Tells the other boxes which requests were running at upstreams when those crashed.
//!
//! New records are broadcast to all boxes at once. In addition, each box sends all its records to
//! one other box in turn, so that boxes that restarted, joined or were cut off receive them too.

use crate::clock::Now;
use crate::crash_ledger::CrashRecord;
use crate::gateway::Gateway;
use crate::gateway::attempt::quarantine::QuarantineUpdate;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// The time between two boxes that are sent all records. As all boxes do this, each box receives a
/// full set from another one about once per interval.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(300);
/// The most records in one datagram.
const MAX_RECORDS_PER_DATAGRAM: usize = 100;

/// Sends new and known records to other boxes, for as long as the process runs.
pub async fn share_suspects(gw: &Gateway, send: impl AsyncFn(&[SocketAddr], QuarantineUpdate)) {
    tokio::join!(
        broadcast_new_records(gw, &send),
        gossip_all_records(gw, &send)
    );
}

async fn broadcast_new_records(gw: &Gateway, send: &impl AsyncFn(&[SocketAddr], QuarantineUpdate)) {
    loop {
        let updates = gw.quarantine.outbox.next().await;
        let others = gw.other_boxes();
        for update in batch(updates) {
            send(&others, update).await;
        }
    }
}

/// Merges records, so that requests that ran at one crashed upstream are sent together.
fn batch(updates: Vec<QuarantineUpdate>) -> Vec<QuarantineUpdate> {
    let mut records: Vec<CrashRecord> = Vec::new();
    let mut batched = Vec::new();
    for update in updates {
        match update {
            QuarantineUpdate::Records(more) => records.extend(more),
            QuarantineUpdate::TrialBegan(_) | QuarantineUpdate::TrialEnded(_) => {
                batched.push(update)
            }
        }
    }
    let parts = records.chunks(MAX_RECORDS_PER_DATAGRAM);
    batched.extend(parts.map(|part| QuarantineUpdate::Records(part.to_vec())));
    batched
}

async fn gossip_all_records(gw: &Gateway, send: &impl AsyncFn(&[SocketAddr], QuarantineUpdate)) {
    let mut known = HashSet::new();
    let mut next_peer = initial_offset(gw);
    loop {
        sleep(GOSSIP_INTERVAL).await;
        let joined = newly_registered(gw, &mut known);
        let records = gw.quarantine.records_to_share(Now::read());
        let others = gw.other_boxes();
        if records.is_empty() || others.is_empty() {
            continue;
        }
        next_peer = (next_peer + 1) % others.len();
        let mut receivers = joined;
        receivers.push(others[next_peer]);
        for part in records.chunks(MAX_RECORDS_PER_DATAGRAM) {
            send(&receivers, QuarantineUpdate::Records(part.to_vec())).await;
        }
    }
}

/// Returns the offset at which this box starts its rounds, so that not all boxes send to the same
/// one.
fn initial_offset(gw: &Gateway) -> usize {
    usize::from(gw.settings().peer_addr.port())
        + gw.incarnation.bytes().map(usize::from).sum::<usize>()
}

/// Returns the addresses of boxes that have registered since the last call.
fn newly_registered(gw: &Gateway, known: &mut HashSet<String>) -> Vec<SocketAddr> {
    let own = gw.settings().peer_addr;
    let state = gw.knowledge.borrow();
    let joined = state
        .boxes()
        .filter(|entry| entry.address != own && !known.contains(&entry.name));
    let joined = joined.map(|entry| entry.address).collect();
    *known = state.boxes().map(|entry| entry.name.clone()).collect();
    joined
}
