//! Pools what routers saw of requests that crash upstreams.

use super::Agent;
use super::gossip::spread;
use crate::clock::Now;
use crate::crash_ledger::CrashRecord;
use crate::wire::message::Update;
use std::rc::Rc;

/// Takes records, and passes on those that told something new.
pub fn take_crashes(agent: &Rc<Agent>, records: Vec<CrashRecord>) {
    let now = Now::read();
    let mut shared = agent.shared.borrow_mut();
    let news: Vec<CrashRecord> = records
        .into_iter()
        .filter(|record| shared.crashes.merge_record(record, now))
        .collect();
    drop(shared);
    if news.is_empty() {
        return;
    }
    agent.push(&Update::Crashes(news));
    spread(agent);
}
