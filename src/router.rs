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
mod sse;
mod telemetry;
mod trace;
mod under_way;

use crate::clock::Now;
use crate::daemon::listen_shared;
use crate::error::{Error, Result};
use crate::metrics::Metrics;
use crate::routing::snapshot::Snapshot;
use crate::settings::router::RouterSettings;
use crate::wire::tls::FleetTls;
use actix_http::HttpService;
use actix_server::Server;
use arc_swap::ArcSwap;
pub use body::read_whole;
use context::{RouterShared, Worker};
use socket2::SockRef;
use std::net::{Shutdown, TcpListener};
use std::sync::Arc;
use std::time::Duration;
use telemetry::RouterMetrics;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

const RECORD_QUEUE: usize = 4096;
/// How long a caller may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// How long a stopping router still accepts, so that the balancer can see that it is
/// not ready and send new callers elsewhere.
const READINESS_LEAD: Duration = Duration::from_secs(2);

/// How often a stopping router looks whether it has finished.
const IDLE_LOOK_INTERVAL: Duration = Duration::from_millis(25);
/// How many looks in a row have to find nothing under way: a connection that was just taken
/// has no request yet.
const IDLE_LOOKS: u32 = 4;

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
        under_way: Default::default(),
        started: Now::read().monotonic,
        settings,
    });
    let metrics_server = metrics.serve(shared.settings.metrics)?;
    actix_rt::spawn(link::follow_agents(shared.clone(), metrics.clone()));
    let reports = actix_rt::spawn(link::report_to_agent(shared.clone(), record_queue));
    let listener = listen_shared(shared.settings.listen)?;
    let front_door = listener
        .try_clone()
        .map_err(|err| Error::Unreachable(format!("the callers' address cannot be kept: {err}")))?;
    let stopping = CancellationToken::new();
    let server = start_server(&shared, listener, stopping.clone())?;
    let handle = server.handle();
    let server = actix_rt::spawn(server);
    log::info!(
        box_name = shared.settings.identity.name.as_str(),
        hall = shared.settings.identity.hall.as_str();
        "started"
    );
    stop.await;
    log::info!(under_way = shared.under_way.count(); "stopping: requests under way are finished");
    // The metrics' address is left at once, so that probes are answered by a new router
    // if there is one, and by nobody otherwise.
    metrics_server.stop(false).await;
    sleep(READINESS_LEAD).await;
    log::info!(under_way = shared.under_way.count(); "no connection is taken or kept any more");
    close_door(&front_door);
    stopping.cancel();
    finish_requests(&shared).await;
    handle.stop(true).await;
    let _ = server.await;
    reports.abort();
    log::info!(under_way = shared.under_way.count(); "stopped");
    Ok(())
}

/// Takes no connection any more, while those that there are go on.
fn close_door(listener: &TcpListener) {
    if let Err(err) = SockRef::from(listener).shutdown(Shutdown::Both) {
        log::warn!("the callers' address is not left before the process ends: {err}");
    }
}

/// Waits until the requests under way have their answers, for the time that operators leave.
///
/// The server library ends a worker at once where it counts no connection of it, and it did so
/// while two and three of eight streams ran there: beside four busy processes 6 of 24 stops
/// cut some. The router's own count is of answers that have not reached their end.
async fn finish_requests(shared: &RouterShared) {
    let deadline = Now::read().monotonic + shared.settings.drain;
    let mut idle_looks = 0;
    while idle_looks < IDLE_LOOKS && Now::read().monotonic < deadline {
        sleep(IDLE_LOOK_INTERVAL).await;
        idle_looks = match shared.under_way.count() {
            0 => idle_looks + 1,
            _ => 0,
        };
    }
    let under_way = shared.under_way.count();
    if under_way > 0 {
        log::warn!(under_way; "the time to finish is over, what is under way is cut");
    }
}

fn start_server(
    shared: &Arc<RouterShared>,
    listener: TcpListener,
    stopping: CancellationToken,
) -> Result<Server> {
    let settings = &shared.settings;
    let drain = settings.drain.as_secs().max(1);
    let shared = shared.clone();
    let server = Server::build()
        .workers(settings.workers)
        .shutdown_timeout(drain)
        .disable_signals()
        .listen("callers", listener, move || {
            let worker = Worker::new(shared.clone());
            let stopping = stopping.clone();
            HttpService::build()
                .keep_alive(KEEP_ALIVE)
                .client_request_timeout(HEAD_TIMEOUT)
                .h1_allow_half_closed(false)
                .tcp_nodelay(true)
                .graceful_shutdown_signal(move || stopping.clone().cancelled_owned())
                // Boxed, so that its room is free again once the answer's body begins; a
                // connection keeps the room of the largest unboxed future for good.
                .finish(move |req| Box::pin(entry::serve(worker.clone(), req)))
                .tcp_auto_h2c()
        })
        .map_err(|err| Error::Unreachable(format!("cannot serve callers: {err}")))?;
    Ok(server.run())
}
