//! Tells the other boxes which requests were at crashes of upstreams.
//!
//! News go to all boxes at once. Beside that each box tells all that it knows to one other in turn,
//! so that boxes which were restarted, have joined or were cut off learn it too.

use crate::clock::Now;
use crate::crash_ledger::CrashRecord;
use crate::gateway::Gateway;
use crate::gateway::attempt::quarantine::SuspectNews;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// The time between two boxes that are told all: with as many boxes telling as there are to tell,
/// each hears from another one about so often.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);
/// The most records in one datagram.
const RECORDS_PER_DATAGRAM: usize = 100;

/// Tells what this box sees and knows, for as long as the process lives.
pub async fn tell_suspects(gw: &Gateway, send: impl AsyncFn(&[SocketAddr], SuspectNews)) {
    tokio::join!(tell_news(gw, &send), tell_all_in_turn(gw, &send));
}

async fn tell_news(gw: &Gateway, send: &impl AsyncFn(&[SocketAddr], SuspectNews)) {
    loop {
        let news = gw.quarantine.news.next().await;
        let others = gw.other_boxes();
        for news in batch(news) {
            send(&others, news).await;
        }
    }
}

/// Joins records, so that what ran at one crashed upstream goes out together.
fn batch(news: Vec<SuspectNews>) -> Vec<SuspectNews> {
    let mut records: Vec<CrashRecord> = Vec::new();
    let mut batched = Vec::new();
    for news in news {
        match news {
            SuspectNews::Records(more) => records.extend(more),
            SuspectNews::TrialBegan(_) | SuspectNews::TrialEnded(_) => batched.push(news),
        }
    }
    let parts = records.chunks(RECORDS_PER_DATAGRAM);
    batched.extend(parts.map(|part| SuspectNews::Records(part.to_vec())));
    batched
}

async fn tell_all_in_turn(gw: &Gateway, send: &impl AsyncFn(&[SocketAddr], SuspectNews)) {
    let mut known = HashSet::new();
    let mut turn = own_place(gw);
    loop {
        sleep(ROUND_INTERVAL).await;
        let joined = newly_registered(gw, &mut known);
        let records = gw.quarantine.to_tell(Now::read());
        let others = gw.other_boxes();
        if records.is_empty() || others.is_empty() {
            continue;
        }
        turn = (turn + 1) % others.len();
        let mut told = joined;
        told.push(others[turn]);
        for part in records.chunks(RECORDS_PER_DATAGRAM) {
            send(&told, SuspectNews::Records(part.to_vec())).await;
        }
    }
}

/// Returns where this box begins its turns, so that not all boxes tell the same one.
fn own_place(gw: &Gateway) -> usize {
    usize::from(gw.settings().peer_addr.port())
        + gw.incarnation.bytes().map(usize::from).sum::<usize>()
}

/// Returns the addresses of boxes that have registered since the last look.
fn newly_registered(gw: &Gateway, known: &mut HashSet<String>) -> Vec<SocketAddr> {
    let own = gw.settings().peer_addr;
    let knowledge = gw.knowledge.borrow();
    let joined = knowledge
        .boxes()
        .filter(|entry| entry.address != own && !known.contains(&entry.name));
    let joined = joined.map(|entry| entry.address).collect();
    *known = knowledge.boxes().map(|entry| entry.name.clone()).collect();
    joined
}
