//! The router: the data path of one entry box.
//!
//! It holds no state that must survive a restart, so it may be killed at any time. Its configuration
//! comes from the agent of its box and stays in force while the agent is unreachable.

mod agent_client;
mod agent_link;
mod billing;
mod body;
mod cascade_step;
mod claimed_request;
mod completions;
mod connection_stats;
pub mod context;
pub mod crash_guard;
mod dispatch;
mod headers;
mod own_limit;
mod plain_service;
mod rating;
mod recent_finishes;
pub mod request_handler;
mod responses;
mod sse;
mod stream_relay;
mod telemetry;
mod trace;
mod worker_threads;

use crate::clock::Now;
use crate::error::Result;
use crate::http_server::handover::CallerListener;
use crate::http_server::{Connections, Draining, HttpServer, wait_until_ended};
use crate::metrics::Metrics;
use crate::routing::snapshot::Snapshot;
use crate::settings::router::RouterSettings;
use crate::wire::tls::FleetTls;
use arc_swap::ArcSwap;
pub use body::read_full_body;
use connection_stats::describe_counts;
use context::RouterShared;
use std::sync::Arc;
use std::time::Duration;
use telemetry::RouterMetrics;
use tokio::sync::mpsc;
use tokio::time::sleep;
use worker_threads::WorkerThreads;

const RECORD_QUEUE_CAPACITY: usize = 4096;
/// How long a stopping router keeps accepting connections, so that the load balancer can see that
/// it is not ready and send new callers elsewhere.
const READINESS_DRAIN_DELAY: Duration = Duration::from_secs(2);

/// Runs a router until it is signalled to stop, and then until it has drained.
pub async fn run(settings: RouterSettings, stop: impl Future<Output = ()>) -> Result<()> {
    let metrics = Metrics::new()?;
    let (record_sender, record_queue) = mpsc::channel(RECORD_QUEUE_CAPACITY);
    let shared = Arc::new(RouterShared {
        tls: FleetTls::load(&settings.tls)?,
        snapshot: ArcSwap::from_pointee(Snapshot::default()),
        retry_budget: Default::default(),
        admission: Default::default(),
        metrics: RouterMetrics::new(&metrics),
        record_sender,
        reporter: format!("{}#{}", settings.identity.name, Now::read().wall.0),
        evidence: Default::default(),
        recent_finishes: Default::default(),
        crash_suspects: Default::default(),
        undelivered_finishes: Default::default(),
        started: Now::read().monotonic,
        settings,
    });
    let metrics_server = metrics.serve(shared.settings.metrics)?;
    actix_rt::spawn(agent_link::follow_agents(shared.clone(), metrics.clone()));
    let reports = actix_rt::spawn(agent_link::report_to_agent(shared.clone(), record_queue));
    let socket = CallerListener::open(shared.settings.listen).await?;
    let (listener, handover) = socket.offer()?;
    let connections = Connections::default();
    let mut threads = WorkerThreads::start(&shared, &connections)?;
    let thread_counts = threads.counts();
    let server = HttpServer::start(listener, connections.clone(), move |accepted| {
        threads.assign(accepted);
    })?;
    log::info!(
        box_name = shared.settings.identity.name.as_str(),
        hall = shared.settings.identity.hall.as_str();
        "started"
    );
    stop.await;
    log::info!(
        connections = connections.count(),
        under_way = describe_counts(&thread_counts).as_str();
        "stopping: finishing requests in progress"
    );
    // The metrics address is released at once, so that readiness probes are answered by a new
    // router if there is one, and by none otherwise.
    metrics_server.stop(false).await;
    let server = server.announce_shutdown();
    sleep(READINESS_DRAIN_DELAY).await;
    let leaving = handover.stop().await;
    let server = server.release_listener(leaving).await;
    log::info!(
        connections = connections.count(),
        leaving:?,
        under_way = describe_counts(&thread_counts).as_str();
        "no more connections are accepted"
    );
    drain(server, &shared).await;
    reports.abort();
    log::info!(under_way = describe_counts(&thread_counts).as_str(); "stopped");
    Ok(())
}

/// Waits until connections have ended and agents have accepted all outstanding finish records.
async fn drain(server: HttpServer<Draining>, shared: &RouterShared) {
    let started = Now::read().monotonic;
    let cut = server.finish(shared.settings.drain).await;
    if cut > 0 {
        log::warn!(cut; "the drain time is over; closing the remaining connections");
    }
    let elapsed = Now::read().monotonic.saturating_sub(started);
    let remaining = shared.settings.drain.saturating_sub(elapsed);
    let lost = wait_until_ended(&shared.undelivered_finishes, remaining).await;
    if lost > 0 {
        log::error!(lost; "no agent accepted the finish records of these requests; their billing records are lost");
    }
}
