//! Merges what routers observed about requests that crash upstreams.

use super::Agent;
use super::gossip::push_to_random_peers;
use crate::clock::Now;
use crate::crash_ledger::CrashRecord;
use crate::wire::message::Update;
use std::rc::Rc;

/// Merges records, and sends those with new information to the routers and to peers.
pub fn merge_crash_records(agent: &Rc<Agent>, records: Vec<CrashRecord>) {
    let now = Now::read();
    let mut state = agent.state.borrow_mut();
    let new_records: Vec<CrashRecord> = records
        .into_iter()
        .filter(|record| state.crashes.merge_record(record, now))
        .collect();
    drop(state);
    if new_records.is_empty() {
        return;
    }
    agent.push(&Update::Crashes(new_records));
    push_to_random_peers(agent);
}
