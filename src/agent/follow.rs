//! Follows the change log and the live list.
//!
//! In each hall one agent (the hub) calls the store, and the next in order calls it
//! once the hub falls silent, so that the number of calls grows with the halls and
//! not with the boxes.

use super::Agent;
use super::gossip;
use super::shared::Applied;
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

const NOT_HUB_PAUSE: Duration = Duration::from_millis(500);
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
const LIST_PERIOD: Duration = Duration::from_secs(1);
const SUSPENSIONS_LIMIT: usize = 100;

/// Follows the change log as long as this agent is its hall's hub.
pub async fn follow_changes(agent: Rc<Agent>) {
    let mut first = true;
    loop {
        if !first && !agent.is_hub(Now::read()) {
            sleep(NOT_HUB_PAUSE).await;
            continue;
        }
        match catch_up(&agent).await {
            Ok(revision) => {
                agent.shared.borrow_mut().note_store(Now::read().monotonic);
                first = false;
                if agent.is_hub(Now::read()) {
                    wait_for_head(&agent, revision).await;
                }
            }
            Err(err) => {
                log::debug!("the change log cannot be read: {err}");
                // Without the store, peers are the way to catch up.
                first = false;
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

async fn wait_for_head(agent: &Agent, revision: u64) {
    let key = head_key(&agent.settings.identity.partner);
    if agent.store.wait_for_change(&key, revision).await.is_err() {
        sleep(FAILURE_PAUSE).await;
    }
}

/// Reads all entries behind the known one, and returns the revision to watch from.
async fn catch_up(agent: &Rc<Agent>) -> StoreResult<u64> {
    let partner = agent.settings.identity.partner.as_str();
    let store = agent.store.as_ref();
    let (head, revision) = read_head(store, partner).await?;
    let mut generation = agent.shared.borrow().generation().next().max(head);
    while let Some(signed) = read_entry(store, partner, generation).await? {
        take_entry(agent, signed, BundleSource::Store).await;
        generation = generation.next();
    }
    look_back(agent, head).await?;
    let newest = agent.shared.borrow().generation();
    if newest > head {
        advance_head(store, partner, newest).await?;
    }
    read_suspensions(agent).await?;
    Ok(revision)
}

/// Reads backwards to the newest valid entry, where the newest entries are not valid
/// and nothing is known yet.
async fn look_back(agent: &Rc<Agent>, head: Generation) -> StoreResult<()> {
    let partner = agent.settings.identity.partner.as_str();
    for earlier in (1..head.0).rev() {
        if agent.shared.borrow().applied().is_some() {
            return Ok(());
        }
        let signed = read_entry(agent.store.as_ref(), partner, Generation(earlier)).await?;
        if let Some(signed) = signed {
            take_entry(agent, signed, BundleSource::Store).await;
        }
    }
    Ok(())
}

async fn read_suspensions(agent: &Rc<Agent>) -> StoreResult<()> {
    let prefix = suspension_prefix(&agent.settings.identity.partner);
    let found = agent.store.list(&prefix, "", SUSPENSIONS_LIMIT).await?;
    let parse = |value: &[u8]| serde_json::from_slice::<Suspension>(value).ok();
    let suspensions = found
        .iter()
        .filter_map(|(_, found)| parse(&found.value))
        .collect();
    take_suspensions(agent, suspensions);
    Ok(())
}

/// Where an entry's bundle is looked for.
#[derive(Debug, Clone, Copy)]
pub enum BundleSource {
    /// The store.
    Store,
    /// The peer that sent the entry, and then the store.
    Peer(std::net::SocketAddr),
}

/// Verifies an entry and takes it if it is newer, with its bundle.
pub async fn take_entry(agent: &Rc<Agent>, signed: SignedEntry, source: BundleSource) {
    let verified = signed.verify(&agent.settings.identity.partner, &agent.settings.operators);
    let entry = match verified {
        Ok(entry) => entry,
        Err(err) => {
            log::error!("an entry of the change log is not taken: {err}");
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
                    "entry {} waits for its bundle {digest:.12}",
                    entry.generation
                );
                return;
            }
        },
    };
    let generation = entry.generation;
    let action = entry.action.to_string();
    let operator = entry.operator.clone();
    let applied = Applied {
        signed: signed.clone(),
        entry,
        bundle: bundle.clone(),
    };
    if !agent.shared.borrow_mut().apply(applied) {
        return;
    }
    log::info!(generation = generation.0, operator = operator.as_str(); "in force: {action}");
    agent.push(&Update::Change {
        entry: signed,
        bundle,
    });
    agent.push(&Update::Suspended(
        agent.shared.borrow().suspensions_in_force(),
    ));
    gossip::spread(agent);
}

async fn find_bundle(agent: &Agent, digest: &str, source: BundleSource) -> Option<String> {
    let present = agent
        .shared
        .borrow()
        .applied()
        .and_then(|applied| applied.bundle.clone());
    if let Some(text) = present.filter(|text| crate::bundle::digest_of(text) == digest) {
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

/// Follows the live list as long as this agent is its hall's hub, or knows no list.
pub async fn follow_list(agent: Rc<Agent>) {
    loop {
        if agent.is_hub(Now::read()) {
            match agent.list.fetch().await {
                Ok(list) => take_list(&agent, list),
                Err(err) => log::debug!("the live list cannot be read: {err}"),
            }
        }
        sleep(LIST_PERIOD).await;
    }
}

/// Takes a list if it is newer, and passes it on.
pub fn take_list(agent: &Rc<Agent>, list: crate::box_list::BoxList) {
    if !agent.shared.borrow_mut().merge_list(list) {
        return;
    }
    let shared = agent.shared.borrow();
    let Some(list) = shared.list() else {
        return;
    };
    agent.push(&Update::Live(list.clone()));
    let in_use = |address: &std::net::SocketAddr| {
        list.boxes.iter().any(|listed| listed.address == *address)
            || agent.settings.seeds.contains(address)
    };
    agent.peers.keep_only(in_use);
    drop(shared);
    gossip::spread(agent);
}

/// Takes suspensions that are new, and passes them on.
pub fn take_suspensions(agent: &Rc<Agent>, suspensions: Vec<Suspension>) {
    let mut changed = false;
    for suspension in suspensions {
        changed |= agent.shared.borrow_mut().merge_suspension(suspension);
    }
    if changed {
        agent.push(&Update::Suspended(
            agent.shared.borrow().suspensions_in_force(),
        ));
        gossip::spread(agent);
    }
}
