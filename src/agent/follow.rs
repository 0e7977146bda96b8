//! Follows the change log and the live list.
//!
//! In each hall one agent, the hub, calls the store. If the hub falls silent, the next agent in the
//! hub order replaces it. The number of store calls thus grows with the number of halls and not of
//! boxes.

use super::Agent;
use super::gossip;
use super::gossip_state::AppliedEntry;
use crate::change::{Generation, SignedEntry};
use crate::change_log::{advance_head, read_bundle, read_entry, read_head};
use crate::clock::Now;
use crate::evidence::Suspension;
use crate::store::StoreResult;
use crate::store::layout::{head_key, suspension_prefix};
use crate::wire::message::Update;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often an agent that is not the hub checks whether it has become the hub.
const HUB_RECHECK_PERIOD: Duration = Duration::from_millis(500);
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);
const LIVE_LIST_POLL_PERIOD: Duration = Duration::from_secs(1);
const MAX_SUSPENSIONS: usize = 100;

/// Follows the change log while this agent is the hub of its hall. It is read once at start in any
/// case.
pub async fn follow_change_log(agent: Rc<Agent>) {
    let mut first = true;
    loop {
        if !first && !agent.is_hub(Now::read()) {
            sleep(HUB_RECHECK_PERIOD).await;
            continue;
        }
        let sent = Now::read();
        match catch_up(&agent).await {
            Ok(revision) => {
                agent.state.borrow_mut().record_store_contact(sent);
                first = false;
                if agent.is_hub(Now::read()) {
                    wait_for_head(&agent, revision).await;
                }
            }
            Err(err) => {
                log::debug!("the change log cannot be read: {err}");
                // Without the store this agent catches up from its peers.
                first = false;
                sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

async fn wait_for_head(agent: &Agent, revision: u64) {
    let key = head_key(&agent.settings.identity.partner);
    if agent.store.wait_for_change(&key, revision).await.is_err() {
        sleep(STORE_RETRY_DELAY).await;
    }
}

/// Reads all entries after the known one, and returns the revision from which to watch.
async fn catch_up(agent: &Rc<Agent>) -> StoreResult<u64> {
    let partner = agent.settings.identity.partner.as_str();
    let store = agent.store.as_ref();
    let (head, revision) = read_head(store, partner).await?;
    let mut generation = agent.state.borrow().generation().next().max(head);
    while let Some(signed) = read_entry(store, partner, generation).await? {
        apply_entry(agent, signed, BundleSource::Store).await;
        generation = generation.next();
    }
    find_newest_valid_entry(agent, head).await?;
    let newest = agent.state.borrow().generation();
    if newest > head {
        advance_head(store, partner, newest).await?;
    }
    read_suspensions(agent).await?;
    Ok(revision)
}

/// Reads backwards to the newest valid entry if no entry has been applied yet because the newest
/// ones are invalid.
async fn find_newest_valid_entry(agent: &Rc<Agent>, head: Generation) -> StoreResult<()> {
    let partner = agent.settings.identity.partner.as_str();
    for earlier in (1..head.0).rev() {
        if agent.state.borrow().applied().is_some() {
            return Ok(());
        }
        let signed = read_entry(agent.store.as_ref(), partner, Generation(earlier)).await?;
        if let Some(signed) = signed {
            apply_entry(agent, signed, BundleSource::Store).await;
        }
    }
    Ok(())
}

async fn read_suspensions(agent: &Rc<Agent>) -> StoreResult<()> {
    let prefix = suspension_prefix(&agent.settings.identity.partner);
    let found = agent.store.list(&prefix, "", MAX_SUSPENSIONS).await?;
    let parse = |value: &[u8]| serde_json::from_slice::<Suspension>(value).ok();
    let suspensions = found
        .iter()
        .filter_map(|(_, found)| parse(&found.value))
        .collect();
    apply_suspensions(agent, suspensions);
    Ok(())
}

/// Where to get the bundle of an entry.
#[derive(Debug, Clone, Copy)]
pub enum BundleSource {
    /// The store.
    Store,
    /// The peer that sent the entry, or else the store.
    Peer(std::net::SocketAddr),
}

/// Verifies an entry and applies it together with its bundle if it is newer.
pub async fn apply_entry(agent: &Rc<Agent>, signed: SignedEntry, source: BundleSource) {
    let verified = signed.verify(&agent.settings.identity.partner, &agent.settings.operators);
    let entry = match verified {
        Ok(entry) => entry,
        Err(err) => {
            log::error!("rejecting an invalid entry of the change log: {err}");
            return;
        }
    };
    let digest = entry
        .state
        .in_force
        .as_ref()
        .map(|approval| approval.digest.clone());
    let bundle = match digest {
        None => None,
        Some(digest) => match find_bundle(agent, &digest, source).await {
            Some(text) => Some(text),
            None => {
                log::warn!(
                    "entry {} is not applied yet: its bundle {digest:.12} is not available",
                    entry.generation
                );
                return;
            }
        },
    };
    let generation = entry.generation;
    let action = entry.action.to_string();
    let operator = entry.operator.clone();
    let applied = AppliedEntry {
        signed: signed.clone(),
        entry,
        bundle: bundle.clone(),
    };
    if !agent.state.borrow_mut().apply_entry(applied) {
        return;
    }
    log::info!(generation = generation.0, operator = operator.as_str(); "in force: {action}");
    agent.push(&Update::Change {
        entry: signed,
        bundle,
    });
    agent.push(&Update::Suspended(
        agent.state.borrow().suspensions_in_force(),
    ));
    gossip::push_to_random_peers(agent);
}

async fn find_bundle(agent: &Agent, digest: &str, source: BundleSource) -> Option<String> {
    let current = agent
        .state
        .borrow()
        .applied()
        .and_then(|applied| applied.bundle.clone());
    if let Some(text) = current.filter(|text| crate::bundle::digest_of(text) == digest) {
        return Some(text);
    }
    if let BundleSource::Peer(address) = source
        && let Some(text) = gossip::fetch_bundle(agent, address, digest).await
    {
        return Some(text);
    }
    read_bundle(agent.store.as_ref(), digest)
        .await
        .ok()
        .flatten()
}

/// Polls the live list while this agent is the hub of its hall or has no list.
pub async fn poll_live_list(agent: Rc<Agent>) {
    loop {
        if agent.is_hub(Now::read()) {
            match agent.list.fetch().await {
                Ok(list) => apply_live_list(&agent, list),
                Err(err) => log::debug!("the live list cannot be read: {err}"),
            }
        }
        sleep(LIVE_LIST_POLL_PERIOD).await;
    }
}

/// Applies a list if it is newer, and sends it to the routers and to peers.
pub fn apply_live_list(agent: &Rc<Agent>, list: crate::box_list::BoxList) {
    if !agent.state.borrow_mut().merge_list(list) {
        return;
    }
    let state = agent.state.borrow();
    let Some(list) = state.list() else {
        return;
    };
    agent.push(&Update::Live(list.clone()));
    let in_use = |address: &std::net::SocketAddr| {
        list.boxes.iter().any(|listed| listed.address == *address)
            || agent.settings.seeds.contains(address)
    };
    agent.peers.retain_addresses(in_use);
    drop(state);
    gossip::push_to_random_peers(agent);
}

/// Applies suspensions that are newer, and sends them to the routers and to peers.
pub fn apply_suspensions(agent: &Rc<Agent>, suspensions: Vec<Suspension>) {
    let mut changed = false;
    for suspension in suspensions {
        changed |= agent.state.borrow_mut().merge_suspension(suspension);
    }
    if changed {
        agent.push(&Update::Suspended(
            agent.state.borrow().suspensions_in_force(),
        ));
        gossip::push_to_random_peers(agent);
    }
}
