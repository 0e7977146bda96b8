//! Receives the updates of agents and sends reports to the agent of the own box.

use super::agent_client::AgentClient;
use super::context::RouterShared;
use crate::bundle::Bundle;
use crate::clock::Now;
use crate::decision_record::DecisionRecord;
use crate::evidence::Evidence;
use crate::metrics::Metrics;
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

const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// How long an agent may send nothing; it sends a keep-alive every second.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long another agent is followed before the own one is tried again.
const OTHER_AGENT_FOLLOW_TIME: Duration = Duration::from_secs(5);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the end of one request is resent until an agent accepts it.
const RESEND_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_RECORDS_PER_REPORT: usize = 1000;

/// Follows the updates of the own agent until the process ends, and those of another agent of the
/// fleet while the own one is unavailable, so that a withdrawal also reaches a box whose agent
/// has ended and has not been restarted. The last state that was received stays in force while no
/// agent can be reached.
pub async fn follow_agents(shared: Arc<RouterShared>, metrics: Metrics) {
    let own_client = WireClient::new(shared.settings.agent, shared.tls.clone());
    let mut evidence = Evidence::default();
    loop {
        if let Err(err) = follow_agent(&own_client, &shared, &metrics, &mut evidence).await {
            log::debug!("the own agent is unavailable: {err}");
        }
        if let Some(address) = choose_other_agent(&shared) {
            let other_client = WireClient::new(address, shared.tls.clone());
            let following = follow_agent(&other_client, &shared, &metrics, &mut evidence);
            if let Ok(Err(err)) = timeout(OTHER_AGENT_FOLLOW_TIME, following).await {
                log::debug!("another agent is unavailable too: {err}");
            }
        }
        sleep(RECONNECT_DELAY).await;
    }
}

fn choose_other_agent(shared: &RouterShared) -> Option<SocketAddr> {
    let snapshot = shared.snapshot.load();
    let others = snapshot.other_agents(&shared.settings.identity.name);
    others.choose(&mut rand::rng()).map(|found| found.address)
}

async fn follow_agent(
    client: &WireClient,
    shared: &Arc<RouterShared>,
    metrics: &Metrics,
    evidence: &mut Evidence,
) -> Result<(), WireError> {
    let mut updates = client.follow().await?;
    // A restarted agent may have lost what was reported to it.
    resend_finishes(shared);
    loop {
        let timed_out = |_| WireError::NoAnswer("no update was received in time".to_owned());
        let update = timeout(UPDATE_TIMEOUT, updates.next())
            .await
            .map_err(timed_out)??;
        match update {
            None => return Ok(()),
            Some(Update::Alive) => {}
            Some(Update::ClaimsLost) => resend_finishes(shared),
            Some(Update::Crashes(records)) => shared.crash_suspects.merge(&records, Now::read()),
            Some(update) => publish_update(shared, metrics, update, evidence),
        }
    }
}

fn publish_update(
    shared: &RouterShared,
    metrics: &Metrics,
    update: Update,
    evidence: &mut Evidence,
) {
    let current = shared.snapshot.load();
    let mut next = Snapshot::clone(&current);
    apply_update(&mut next, update, evidence);
    if next.is_ready() && !current.is_ready() {
        log::info!("ready");
    }
    metrics.set_ready(next.is_ready());
    shared.snapshot.store(Arc::new(next));
}

/// Reports to the agent again how recent requests ended. The ledger and the claims count each key
/// once.
fn resend_finishes(shared: &Arc<RouterShared>) {
    let recent = shared.recent_finishes.recent(Now::read());
    if recent.is_empty() {
        return;
    }
    let agent_client = AgentClient::new(shared.clone());
    actix_rt::spawn(async move {
        for request in recent {
            if timeout(
                RESEND_TIMEOUT,
                agent_client.send_finish_with_retries(&request),
            )
            .await
            .is_err()
            {
                log::error!("invariant: the end of a request was not recorded: {request:?}");
            }
        }
    });
}

fn apply_update(next: &mut Snapshot, update: Update, evidence: &mut Evidence) {
    match update {
        Update::Change { entry, bundle } => apply_change(next, &entry, bundle),
        Update::Live(list) => next.apply_live_list(&list),
        Update::Alive | Update::ClaimsLost | Update::Crashes(_) => {}
        Update::Suspended(suspended) => {
            next.suspended = suspended.into_iter().map(|found| found.version).collect();
        }
        Update::Evidence(cells) => {
            evidence.merge(&cells);
            next.evidence_sums = Arc::new(evidence.by_subject());
        }
    }
}

/// Applies an entry that the agent verified. An older entry, sent by a restarted agent, is ignored.
fn apply_change(next: &mut Snapshot, entry: &crate::change::SignedEntry, bundle: Option<String>) {
    let Ok(entry) = entry.parse_unverified() else {
        log::error!("the agent sent a change log entry that cannot be decoded");
        return;
    };
    if entry.generation <= next.generation {
        return;
    }
    let bundle = match bundle.map(|text| Bundle::parse(&text)).transpose() {
        Ok(bundle) => bundle,
        Err(err) => {
            log::error!("the bundle in force cannot be parsed: {err}");
            return;
        }
    };
    log::info!(generation = entry.generation.0; "change log entry applied: {}", entry.action);
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
    let mut last_accepted = Now::read().monotonic;
    loop {
        let _ = timeout(REPORT_INTERVAL, shared.crash_suspects.changed.notified()).await;
        let report = RouterReport {
            records: drain_records(&mut records).await,
            evidence: shared.evidence_cells(),
            crashes: shared.crash_suspects.report_records(Now::read()),
        };
        // A lost report loses decision records only; the counts are sent again with the next
        // report.
        let sent = Now::read();
        if client
            .call(&ControlRequest::Report(report), REPORT_TIMEOUT)
            .await
            .is_ok()
        {
            last_accepted = sent.monotonic;
        }
        let age = Now::read().monotonic.saturating_sub(last_accepted);
        shared
            .metrics
            .record_state(shared.snapshot.load().generation.0, age);
    }
}

async fn drain_records(records: &mut mpsc::Receiver<DecisionRecord>) -> Vec<DecisionRecord> {
    let mut drained = Vec::new();
    // Without waiting: only records that are already queued are taken.
    let _ = timeout(
        Duration::ZERO,
        records.recv_many(&mut drained, MAX_RECORDS_PER_REPORT),
    )
    .await;
    drained
}
