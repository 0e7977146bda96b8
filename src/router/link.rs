//! The router's link to the agent of its box.

use super::agents::AgentCalls;
use super::context::RouterShared;
use crate::bundle::Bundle;
use crate::clock::Now;
use crate::evidence::Evidence;
use crate::metrics::Metrics;
use crate::record::DecisionRecord;
use crate::routing::snapshot::Snapshot;
use crate::wire::WireError;
use crate::wire::client::WireClient;
use crate::wire::message::{ControlRequest, RouterReport, Update};
use rand::seq::IndexedRandom as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// How long an agent may say nothing; it says every second that it is there.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// How long another agent is followed before the own one is tried again.
const OTHER_AGENT_SPELL: Duration = Duration::from_secs(5);
const REPORT_PERIOD: Duration = Duration::from_millis(250);
const REPORT_DEADLINE: Duration = Duration::from_secs(1);
/// How long one end of a request is told again until agents have taken it.
const RESEND_LIMIT: Duration = Duration::from_secs(60);
const RECORDS_PER_REPORT: usize = 1000;

/// Follows the updates of the own agent until the process ends, and those of another
/// one of the fleet while the own one is away, so that a withdrawal reaches a box whose
/// agent died at night. What was heard stays in force while nobody is there.
pub async fn follow_agents(shared: Arc<RouterShared>, metrics: Metrics) {
    let own = WireClient::new(shared.settings.agent, shared.tls.clone());
    let mut evidence = Evidence::default();
    loop {
        if let Err(err) = follow_once(&own, &shared, &metrics, &mut evidence).await {
            log::debug!("the own agent is away: {err}");
        }
        if let Some(address) = other_agent(&shared) {
            let other = WireClient::new(address, shared.tls.clone());
            let followed = follow_once(&other, &shared, &metrics, &mut evidence);
            if let Ok(Err(err)) = timeout(OTHER_AGENT_SPELL, followed).await {
                log::debug!("another agent is away too: {err}");
            }
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

fn other_agent(shared: &RouterShared) -> Option<SocketAddr> {
    let snapshot = shared.snapshot.load();
    let others = snapshot.other_agents(&shared.settings.identity.name);
    others.choose(&mut rand::rng()).map(|found| found.address)
}

async fn follow_once(
    client: &WireClient,
    shared: &Arc<RouterShared>,
    metrics: &Metrics,
    evidence: &mut Evidence,
) -> Result<(), WireError> {
    let mut updates = client.follow().await?;
    // An agent that started anew may have lost what it was told.
    resend_finishes(shared);
    loop {
        let silent = |_| WireError::NoAnswer("no update came in time".to_owned());
        let update = timeout(SILENCE_LIMIT, updates.next())
            .await
            .map_err(silent)??;
        match update {
            None => return Ok(()),
            Some(Update::Alive) => {}
            Some(Update::ClaimsLost) => resend_finishes(shared),
            Some(Update::Crashes(records)) => shared.suspects.take(&records, Now::read()),
            Some(update) => take(shared, metrics, update, evidence),
        }
    }
}

fn take(shared: &RouterShared, metrics: &Metrics, update: Update, evidence: &mut Evidence) {
    let present = shared.snapshot.load();
    let mut next = Snapshot::clone(&present);
    take_update(&mut next, update, evidence);
    if next.is_ready() && !present.is_ready() {
        log::info!("ready");
    }
    metrics.set_ready(next.is_ready());
    shared.snapshot.store(Arc::new(next));
}

/// Tells the agent once more how the newest requests ended; the ledger and the claims
/// count each key once.
fn resend_finishes(shared: &Arc<RouterShared>) {
    let recent = shared.recent_finishes.newest(Now::read());
    if recent.is_empty() {
        return;
    }
    let agents = AgentCalls::new(shared.clone());
    actix_rt::spawn(async move {
        for request in recent {
            if timeout(RESEND_LIMIT, agents.finish_at_last(&request))
                .await
                .is_err()
            {
                log::error!("invariant: the end of a request was not recorded: {request:?}");
            }
        }
    });
}

fn take_update(next: &mut Snapshot, update: Update, evidence: &mut Evidence) {
    match update {
        Update::Change { entry, bundle } => take_change(next, &entry, bundle),
        Update::Live(list) => next.take_list(&list),
        Update::Alive | Update::ClaimsLost | Update::Crashes(_) => {}
        Update::Suspended(suspended) => {
            next.suspended = suspended.into_iter().map(|found| found.version).collect();
        }
        Update::Evidence(cells) => {
            evidence.merge(&cells);
            next.sums = Arc::new(evidence.by_subject());
        }
    }
}

/// Takes an entry that the agent verified; an older one, from an agent that started
/// anew, changes nothing.
fn take_change(next: &mut Snapshot, entry: &crate::change::SignedEntry, bundle: Option<String>) {
    let Ok(entry) = entry.peek() else {
        log::error!("the agent sent an entry that cannot be read");
        return;
    };
    if entry.generation <= next.generation {
        return;
    }
    let bundle = match bundle.map(|text| Bundle::parse(&text)).transpose() {
        Ok(bundle) => bundle,
        Err(err) => {
            log::error!("the bundle in force cannot be read: {err}");
            return;
        }
    };
    log::info!(generation = entry.generation.0; "in force: {}", entry.action);
    next.generation = entry.generation;
    next.control = entry.state;
    if let Some(bundle) = bundle {
        next.bundle = Some(Arc::new(bundle));
    }
}

/// Reports decisions and evidence to the agent until the process ends.
pub async fn report_to_agent(
    shared: Arc<RouterShared>,
    mut records: mpsc::Receiver<DecisionRecord>,
) {
    let client = WireClient::new(shared.settings.agent, shared.tls.clone());
    let mut heard = Now::read().monotonic;
    loop {
        let _ = timeout(REPORT_PERIOD, shared.suspects.changed.notified()).await;
        let report = RouterReport {
            records: take_records(&mut records).await,
            evidence: shared.evidence_cells(),
            crashes: shared.suspects.records(Now::read()),
        };
        // A lost report costs explanations only; the counts come again with the next.
        if client
            .call(&ControlRequest::Report(report), REPORT_DEADLINE)
            .await
            .is_ok()
        {
            heard = Now::read().monotonic;
        }
        let age = Now::read().monotonic.saturating_sub(heard);
        shared
            .metrics
            .record_state(shared.snapshot.load().generation.0, age);
    }
}

async fn take_records(records: &mut mpsc::Receiver<DecisionRecord>) -> Vec<DecisionRecord> {
    let mut taken = Vec::new();
    // Waits no time: only what is there already is taken.
    let _ = timeout(
        Duration::ZERO,
        records.recv_many(&mut taken, RECORDS_PER_REPORT),
    )
    .await;
    taken
}
