//! The router: the data path of one entry box.
//!
//! It keeps nothing that matters and may be killed at any time. What it needs to
//! know comes from the agent of its box and stays in force while the agent is away.

mod agents;
mod answer;
mod billing;
mod body;
mod claimed;
pub mod context;
pub mod crash_guard;
mod dispatch;
pub mod entry;
mod finishes;
mod headers;
mod link;
mod model;
mod model_relay;
mod model_try;
mod plain;
mod rating;
mod served;
mod sse;
mod telemetry;
mod threads;
mod trace;

use crate::clock::Now;
use crate::error::Result;
use crate::http_server::handover::CallerListener;
use crate::http_server::{Connections, Draining, HttpServer, wait_until_ended};
use crate::metrics::Metrics;
use crate::routing::snapshot::Snapshot;
use crate::settings::router::RouterSettings;
use crate::wire::tls::FleetTls;
use arc_swap::ArcSwap;
pub use body::read_whole;
use context::RouterShared;
use served::describe;
use std::sync::Arc;
use std::time::Duration;
use telemetry::RouterMetrics;
use threads::Threads;
use tokio::sync::mpsc;
use tokio::time::sleep;

const RECORD_QUEUE: usize = 4096;
/// How long a stopping router still accepts, so that the balancer can see that it is
/// not ready and send new callers elsewhere.
const READINESS_LEAD: Duration = Duration::from_secs(2);

/// Runs a router until it is asked to stop, and then until it has drained.
pub async fn run(settings: RouterSettings, stop: impl Future<Output = ()>) -> Result<()> {
    let metrics = Metrics::new()?;
    let (records, record_queue) = mpsc::channel(RECORD_QUEUE);
    let shared = Arc::new(RouterShared {
        tls: FleetTls::load(&settings.tls)?,
        snapshot: ArcSwap::from_pointee(Snapshot::default()),
        budget: Default::default(),
        admission: Default::default(),
        metrics: RouterMetrics::new(&metrics),
        records,
        reporter: format!("{}#{}", settings.identity.name, Now::read().wall.0),
        evidence: Default::default(),
        recent_finishes: Default::default(),
        suspects: Default::default(),
        untaken_finishes: Default::default(),
        started: Now::read().monotonic,
        settings,
    });
    let metrics_server = metrics.serve(shared.settings.metrics)?;
    actix_rt::spawn(link::follow_agents(shared.clone(), metrics.clone()));
    let reports = actix_rt::spawn(link::report_to_agent(shared.clone(), record_queue));
    let socket = CallerListener::open(shared.settings.listen).await?;
    let (listener, handover) = socket.offer()?;
    let connections = Connections::default();
    let mut threads = Threads::start(&shared, &connections)?;
    let counts = threads.counts();
    let server = HttpServer::start(listener, connections.clone(), move |taken| {
        threads.hand(taken);
    })?;
    log::info!(
        box_name = shared.settings.identity.name.as_str(),
        hall = shared.settings.identity.hall.as_str();
        "started"
    );
    stop.await;
    log::info!(
        connections = connections.count(),
        under_way = describe(&counts).as_str();
        "stopping: requests under way are finished"
    );
    // The metrics' address is left at once, so that probes are answered by a new router
    // if there is one, and by nobody otherwise.
    metrics_server.stop(false).await;
    let server = server.announce_shutdown();
    sleep(READINESS_LEAD).await;
    let leaving = handover.stop().await;
    let server = server.release_listener(leaving).await;
    log::info!(
        connections = connections.count(),
        leaving:?,
        under_way = describe(&counts).as_str();
        "no connection is taken any more"
    );
    drain(server, &shared).await;
    reports.abort();
    log::info!(under_way = describe(&counts).as_str(); "stopped");
    Ok(())
}

/// Finishes what the router has: its connections, and bills that no agent has taken yet.
async fn drain(server: HttpServer<Draining>, shared: &RouterShared) {
    let began = Now::read().monotonic;
    let cut = server.finish(shared.settings.drain).await;
    if cut > 0 {
        log::warn!(cut; "the time to finish is over, connections are cut");
    }
    let spent = Now::read().monotonic.saturating_sub(began);
    let left = shared.settings.drain.saturating_sub(spent);
    let lost = wait_until_ended(&shared.untaken_finishes, left).await;
    if lost > 0 {
        log::error!(lost; "no agent took the ends of these requests, their bills are lost");
    }
}
