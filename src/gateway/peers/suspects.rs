//! Tells the other boxes which requests were running at upstreams when those crashed.
//!
//! New records are broadcast to all boxes at once. In addition, each box sends all its records to
//! one other box in turn, so that boxes that restarted, joined or were cut off receive them too.

use super::gossip_targets::{GOSSIP_INTERVAL, GossipTargets};
use crate::clock::Now;
use crate::crash_ledger::CrashRecord;
use crate::gateway::Gateway;
use crate::gateway::attempt::quarantine::QuarantineUpdate;
use std::net::SocketAddr;
use tokio::time::sleep;

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
    let mut targets = GossipTargets::new(gw);
    loop {
        sleep(GOSSIP_INTERVAL).await;
        let receivers = targets.next_round(gw);
        let records = gw.quarantine.records_to_share(Now::read());
        for part in records.chunks(MAX_RECORDS_PER_DATAGRAM) {
            send(&receivers, QuarantineUpdate::Records(part.to_vec())).await;
        }
    }
}
