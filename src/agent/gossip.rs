//! Gossip between agents: each exchanges state with a few peers twice a second.
//!
//! New state is pushed to a few random peers immediately, which push it further; the periodic
//! exchange (anti-entropy) repairs losses. So a box that any peer can reach catches up, even while
//! the store is unavailable.

use super::Agent;
use super::assignment::{CLOSELY_WATCHED_HUBS, hub_order};
use super::crash_records::merge_crash_records;
use super::follow::{BundleSource, apply_entry, apply_live_list, apply_suspensions};
use crate::box_list::{AGENT_SERVICE, ListedBox};
use crate::claim::view::View;
use crate::clock::Now;
use crate::wire::message::{ControlRequest, ControlResponse, NewerState, StateSummary};
use rand::seq::IndexedRandom as _;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const GOSSIP_PERIOD: Duration = Duration::from_millis(500);
const GOSSIP_DEADLINE: Duration = Duration::from_millis(800);
const BUNDLE_FETCH_DEADLINE: Duration = Duration::from_secs(2);
const RANDOM_PEERS_PER_ROUND: usize = 1;
/// One in this many gossip rounds includes one of the first agents in the hall's hub order.
const ROUNDS_BETWEEN_HUB_CONTACTS: u32 = 10;
const FANOUT_PEERS: usize = 3;

/// Runs gossip rounds until the process ends.
pub async fn run_gossip(agent: Rc<Agent>) {
    // Agents start at random rounds, so that they do not all contact the hubs at the same time.
    let mut round: u32 = rand::random();
    loop {
        round = round.wrapping_add(1);
        let mut addresses = peers_of_round(&agent);
        if round.is_multiple_of(ROUNDS_BETWEEN_HUB_CONTACTS) {
            addresses.extend(random_hub(&agent));
        }
        for address in addresses {
            actix_rt::spawn(exchange_with(agent.clone(), address));
        }
        sleep(GOSSIP_PERIOD).await;
    }
}

/// Returns the address of a random one of the first agents in the hall's hub order, from which
/// agents later in the order learn that the hub is alive.
fn random_hub(agent: &Agent) -> Option<SocketAddr> {
    let state = agent.state.borrow();
    let order = hub_order(state.list()?, &agent.settings.identity.hall);
    let first = &order[..order.len().min(CLOSELY_WATCHED_HUBS)];
    let chosen = first.choose(&mut rand::rng())?;
    (chosen.name != agent.member.box_name).then_some(chosen.address)
}

/// Returns the peers for one gossip round: the other members of this agent's shards, the agents
/// before it in the hub order if it is one of the first, and random peers.
fn peers_of_round(agent: &Agent) -> BTreeSet<SocketAddr> {
    let state = agent.state.borrow();
    let Some(list) = state.list() else {
        return agent.settings.seeds.iter().copied().collect();
    };
    let mut names: BTreeSet<&str> = BTreeSet::new();
    for view in state.views().filter(|view| view.includes(&agent.member)) {
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
        .position(|listed| listed.name == agent.member.box_name);
    if position.is_some_and(|position| position < CLOSELY_WATCHED_HUBS) {
        let before = order
            .iter()
            .take_while(|listed| listed.name != agent.member.box_name);
        names.extend(before.map(|listed| listed.name.as_str()));
    }
    let agents: Vec<&ListedBox> = list.of_service(AGENT_SERVICE).collect();
    let by_name = agents
        .iter()
        .filter(|listed| names.contains(listed.name.as_str()));
    let mut addresses: BTreeSet<SocketAddr> = by_name.map(|listed| listed.address).collect();
    let random = agents.choose_multiple(&mut rand::rng(), RANDOM_PEERS_PER_ROUND);
    addresses.extend(random.map(|listed| listed.address));
    if agents.len() <= FANOUT_PEERS {
        addresses.extend(&agent.settings.seeds);
    }
    addresses.remove(&agent.settings.listen);
    addresses
}

/// Starts an exchange with a few random peers, to spread new state without delay.
pub fn push_to_random_peers(agent: &Rc<Agent>) {
    let state = agent.state.borrow();
    let Some(list) = state.list() else {
        return;
    };
    let others: Vec<&ListedBox> = list
        .of_service(AGENT_SERVICE)
        .filter(|listed| listed.address != agent.settings.listen)
        .collect();
    for listed in others.choose_multiple(&mut rand::rng(), FANOUT_PEERS) {
        actix_rt::spawn(exchange_with(agent.clone(), listed.address));
    }
}

/// Announces to the members of its shards and a few other peers that this agent is stopping.
pub async fn announce_stop(agent: &Rc<Agent>) {
    let exchanges = peers_of_round(agent)
        .into_iter()
        .map(|address| exchange_with(agent.clone(), address));
    futures::future::join_all(exchanges).await;
}

/// Sends a summary to a peer and merges the newer state that it returns.
async fn exchange_with(agent: Rc<Agent>, address: SocketAddr) {
    let after = agent.peers.evidence_sent(address);
    let sent = Now::read();
    let (summary, next) =
        agent
            .state
            .borrow()
            .summary(&agent.member, agent.stopping.get(), after, sent);
    let client = agent.peers.client(address);
    let answer = client
        .call(&ControlRequest::Compare(summary), GOSSIP_DEADLINE)
        .await;
    if let Ok(ControlResponse::NewerState(newer)) = answer {
        agent.peers.record_evidence_sent(address, next);
        if let Some(summary) = &newer.summary {
            record_store_age(&agent, summary, sent);
        }
        merge_newer(&agent, *newer, address).await;
    }
}

/// Responds to a peer's summary with what is newer here, and starts an exchange with the peer if it
/// has newer state.
pub fn answer_summary(agent: &Rc<Agent>, theirs: &StateSummary) -> ControlResponse {
    let now = Now::read();
    record_summary(agent, theirs, now);
    let state = agent.state.borrow();
    if state.is_behind(theirs) {
        let address = agent_address(agent, &theirs.member.box_name);
        if let Some(address) = address
            && agent.pulls_in_progress.borrow_mut().insert(address)
        {
            actix_rt::spawn(pull_from(agent.clone(), address));
        }
    }
    let mut newer = state.newer_than(theirs);
    let (summary, _) = state.summary(&agent.member, agent.stopping.get(), u64::MAX, now);
    newer.summary = Some(summary);
    ControlResponse::NewerState(Box::new(newer))
}

async fn pull_from(agent: Rc<Agent>, address: SocketAddr) {
    exchange_with(agent.clone(), address).await;
    agent.pulls_in_progress.borrow_mut().remove(&address);
}

fn record_summary(agent: &Rc<Agent>, theirs: &StateSummary, now: Now) {
    agent
        .peers
        .record_contact(&theirs.member, theirs.stopping, now);
    agent.state.borrow_mut().evidence.merge(&theirs.evidence);
    merge_crash_records(agent, theirs.crashes.clone());
}

/// Records the age of the store's last response that a peer states in its answer to a call. A
/// peer's own call states none that counts, as nothing shows when it was sent.
fn record_store_age(agent: &Agent, theirs: &StateSummary, sent: Now) {
    if let Some(age) = theirs.store_age_ms {
        let mut state = agent.state.borrow_mut();
        state.record_peer_store_age(sent, Duration::from_millis(age));
    }
}

async fn merge_newer(agent: &Rc<Agent>, newer: NewerState, from: SocketAddr) {
    if let Some(summary) = &newer.summary {
        record_summary(agent, summary, Now::read());
    }
    if let Some(list) = newer.list {
        apply_live_list(agent, list);
    }
    merge_views(agent, &newer.views);
    apply_suspensions(agent, newer.suspensions);
    if let Some(signed) = newer.entry {
        apply_entry(agent, signed, BundleSource::Peer(from)).await;
    }
}

/// Merges views that are newer, and pushes them to peers.
pub fn merge_views(agent: &Rc<Agent>, views: &[View]) {
    let mut changed = false;
    for view in views {
        if agent.state.borrow_mut().merge_view(view) {
            changed = true;
            super::claims::apply_view(agent, view);
        }
    }
    if changed {
        push_to_random_peers(agent);
    }
}

/// Fetches the text of a bundle from a peer and verifies its digest.
pub async fn fetch_bundle(agent: &Agent, from: SocketAddr, digest: &str) -> Option<String> {
    let request = ControlRequest::FetchBundle(digest.to_owned());
    match agent
        .peers
        .client(from)
        .call(&request, BUNDLE_FETCH_DEADLINE)
        .await
    {
        Ok(ControlResponse::Bundle(text)) => {
            text.filter(|text| crate::bundle::digest_of(text) == digest)
        }
        _ => None,
    }
}

/// Returns the address of the agent on a box.
pub fn agent_address(agent: &Agent, box_name: &str) -> Option<SocketAddr> {
    let state = agent.state.borrow();
    let list = state.list()?;
    let found = list
        .of_service(AGENT_SERVICE)
        .find(|listed| listed.name == box_name);
    found.map(|listed| listed.address)
}
