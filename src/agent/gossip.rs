//! Compares notes with peers: every agent with a few others, twice a second.
//!
//! What is new is passed on at once to a few peers, who pass it on in turn; the
//! regular comparison repairs what got lost on the way. A box that can be reached
//! by any road thus catches up, also when the store is away.

use super::Agent;
use super::crashes::take_crashes;
use super::follow::{BundleSource, take_entry, take_list, take_suspensions};
use super::placement::{WATCHED_HUBS, hub_order};
use crate::claim::view::View;
use crate::clock::Now;
use crate::live::{AGENT_SERVICE, ListedBox};
use crate::wire::message::{ControlRequest, ControlResponse, NewerState, StateSummary};
use rand::seq::IndexedRandom as _;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const COMPARE_PERIOD: Duration = Duration::from_millis(500);
const COMPARE_DEADLINE: Duration = Duration::from_millis(800);
const BUNDLE_DEADLINE: Duration = Duration::from_secs(2);
const RANDOM_PEERS: usize = 1;
/// In one of so many rounds an agent compares notes with one of its hall's first hubs.
const HUB_ROUNDS: u32 = 10;
const SPREAD_PEERS: usize = 3;

/// Compares notes with peers until the process ends.
pub async fn compare_with_peers(agent: Rc<Agent>) {
    // Agents begin at different rounds, so that hubs do not hear all of them at once.
    let mut round: u32 = rand::random();
    loop {
        round = round.wrapping_add(1);
        let mut addresses = regular_peers(&agent);
        if round.is_multiple_of(HUB_ROUNDS) {
            addresses.extend(some_hub(&agent));
        }
        for address in addresses {
            actix_rt::spawn(compare(agent.clone(), address));
        }
        sleep(COMPARE_PERIOD).await;
    }
}

/// Returns the address of one of the agents that are first in the hall's order of hubs,
/// so that agents behind them hear that somebody calls the store.
fn some_hub(agent: &Agent) -> Option<SocketAddr> {
    let shared = agent.shared.borrow();
    let order = hub_order(shared.list()?, &agent.settings.identity.hall);
    let first = &order[..order.len().min(WATCHED_HUBS)];
    let chosen = first.choose(&mut rand::rng())?;
    (chosen.name != agent.me.box_name).then_some(chosen.address)
}

/// Returns the addresses to compare with in this round: the partners in claims, the
/// agents before this one in the order of hubs, and a few at random.
fn regular_peers(agent: &Agent) -> BTreeSet<SocketAddr> {
    let shared = agent.shared.borrow();
    let Some(list) = shared.list() else {
        return agent.settings.seeds.iter().copied().collect();
    };
    let mut names: BTreeSet<&str> = BTreeSet::new();
    for view in shared.views().filter(|view| view.names(&agent.me)) {
        names.insert(&view.owner.box_name);
        names.extend(
            view.witness
                .as_ref()
                .map(|witness| witness.box_name.as_str()),
        );
    }
    let order = hub_order(list, &agent.settings.identity.hall);
    let position = order
        .iter()
        .position(|listed| listed.name == agent.me.box_name);
    if position.is_some_and(|position| position < WATCHED_HUBS) {
        let before = order
            .iter()
            .take_while(|listed| listed.name != agent.me.box_name);
        names.extend(before.map(|listed| listed.name.as_str()));
    }
    let agents: Vec<&ListedBox> = list.of_service(AGENT_SERVICE).collect();
    let by_name = agents
        .iter()
        .filter(|listed| names.contains(listed.name.as_str()));
    let mut addresses: BTreeSet<SocketAddr> = by_name.map(|listed| listed.address).collect();
    let random = agents.choose_multiple(&mut rand::rng(), RANDOM_PEERS);
    addresses.extend(random.map(|listed| listed.address));
    if agents.len() <= SPREAD_PEERS {
        addresses.extend(&agent.settings.seeds);
    }
    addresses.remove(&agent.settings.listen);
    addresses
}

/// Passes on what is new to a few peers.
pub fn spread(agent: &Rc<Agent>) {
    let shared = agent.shared.borrow();
    let Some(list) = shared.list() else {
        return;
    };
    let others: Vec<&ListedBox> = list
        .of_service(AGENT_SERVICE)
        .filter(|listed| listed.address != agent.settings.listen)
        .collect();
    for listed in others.choose_multiple(&mut rand::rng(), SPREAD_PEERS) {
        actix_rt::spawn(compare(agent.clone(), listed.address));
    }
}

/// Tells the partners in claims and a few others that this agent is stopping.
pub async fn announce(agent: &Rc<Agent>) {
    let told = regular_peers(agent)
        .into_iter()
        .map(|address| compare(agent.clone(), address));
    futures::future::join_all(told).await;
}

async fn compare(agent: Rc<Agent>, address: SocketAddr) {
    let after = agent.peers.evidence_sent(address);
    let (summary, next) =
        agent
            .shared
            .borrow()
            .summary(&agent.me, agent.stopping.get(), after, Now::read());
    let client = agent.peers.client(address);
    let answer = client
        .call(&ControlRequest::Compare(summary), COMPARE_DEADLINE)
        .await;
    if let Ok(ControlResponse::NewerState(newer)) = answer {
        agent.peers.note_evidence_sent(address, next);
        absorb(&agent, *newer, address).await;
    }
}

/// Answers a peer's summary with what is newer here, and asks back if the peer is ahead.
pub fn answer(agent: &Rc<Agent>, theirs: &StateSummary) -> ControlResponse {
    let now = Now::read();
    note_summary(agent, theirs, now);
    let shared = agent.shared.borrow();
    if shared.is_behind(theirs) {
        let address = address_of(agent, &theirs.member.box_name);
        if let Some(address) = address
            && agent.comparing.borrow_mut().insert(address)
        {
            actix_rt::spawn(ask_back(agent.clone(), address));
        }
    }
    let mut newer = shared.newer_than(theirs);
    let (summary, _) = shared.summary(&agent.me, agent.stopping.get(), u64::MAX, now);
    newer.summary = Some(summary);
    ControlResponse::NewerState(Box::new(newer))
}

async fn ask_back(agent: Rc<Agent>, address: SocketAddr) {
    compare(agent.clone(), address).await;
    agent.comparing.borrow_mut().remove(&address);
}

fn note_summary(agent: &Rc<Agent>, theirs: &StateSummary, now: Now) {
    agent.peers.note(&theirs.member, theirs.stopping, now);
    let mut shared = agent.shared.borrow_mut();
    if let Some(age) = theirs.store_age_ms {
        shared.note_store(now.monotonic.saturating_sub(Duration::from_millis(age)));
    }
    shared.evidence.merge(&theirs.evidence);
    drop(shared);
    take_crashes(agent, theirs.crashes.clone());
}

async fn absorb(agent: &Rc<Agent>, newer: NewerState, from: SocketAddr) {
    if let Some(summary) = &newer.summary {
        note_summary(agent, summary, Now::read());
    }
    if let Some(list) = newer.list {
        take_list(agent, list);
    }
    take_views(agent, &newer.views);
    take_suspensions(agent, newer.suspensions);
    if let Some(signed) = newer.entry {
        take_entry(agent, signed, BundleSource::Peer(from)).await;
    }
}

/// Takes views that are newer, and passes them on.
pub fn take_views(agent: &Rc<Agent>, views: &[View]) {
    let mut changed = false;
    for view in views {
        if agent.shared.borrow_mut().merge_view(view) {
            changed = true;
            super::claims::apply_view(agent, view);
        }
    }
    if changed {
        spread(agent);
    }
}

/// Fetches a bundle's text from a peer and checks its digest.
pub async fn fetch_bundle(agent: &Agent, from: SocketAddr, digest: &str) -> Option<String> {
    let request = ControlRequest::FetchBundle(digest.to_owned());
    match agent
        .peers
        .client(from)
        .call(&request, BUNDLE_DEADLINE)
        .await
    {
        Ok(ControlResponse::Bundle(text)) => {
            text.filter(|text| crate::bundle::digest_of(text) == digest)
        }
        _ => None,
    }
}

/// Returns where the agent of a box listens.
pub fn address_of(agent: &Agent, box_name: &str) -> Option<SocketAddr> {
    let shared = agent.shared.borrow();
    let list = shared.list()?;
    let found = list
        .of_service(AGENT_SERVICE)
        .find(|listed| listed.name == box_name);
    found.map(|listed| listed.address)
}
