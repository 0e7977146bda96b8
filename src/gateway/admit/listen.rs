//! Accepts callers' connections, answers the load balancer's readiness checks, and drains the
//! process when it has to stop.

use super::routes::CallerLimits;
use super::serve::serve;
use crate::clock::Now;
use crate::daemon::listen_reuse_port;
use crate::eof_error_stream::EofErrorStream;
use crate::error::{Error, Result};
use crate::gateway::Gateway;
use crate::gateway::answer::held_memory::{CALLER_BUFFER_BYTES, CALLER_SOCKET_BYTES};
use crate::gateway::control::store::ControlStore;
use crate::gateway::settings::GatewaySettings;
use crate::http_server::accept::{AcceptedConnection, accept};
use crate::http_server::delivery::DeliveringStream;
use crate::http_server::gated_stream::GatedStream;
use crate::http_server::load_shedding::UnreadConnection;
use crate::http_server::open_connections::ConnectionCut;
use crate::http_server::status::StatusConnections;
use crate::http_server::{Accepting, HttpServer};
use crate::metrics::Metrics;
use actix_http::{HttpService, Request, Response, StatusCode};
use actix_service::{Service as _, ServiceFactory as _};
use std::cell::Cell;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

/// The shortest drain: the load balancer checks readiness every second and takes a box out after
/// two failed checks.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(3200);
/// How often a draining box checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long sent bytes may stay unacknowledged before a caller's connection is closed.
const CALLER_TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// The signal that asks the process to stop (SIGTERM).
#[derive(Debug)]
pub struct StopSignal(Signal);

impl StopSignal {
    /// Installs the signal handler.
    pub fn install() -> Result<Self> {
        subscribe(SignalKind::terminate()).map(Self)
    }

    /// Waits until the signal arrives.
    pub async fn wait(mut self) {
        self.0.recv().await;
    }
}

fn subscribe(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|err| Error::Usage(format!("cannot install a signal handler: {err}")))
}

/// The signal that asks the process to read its settings again.
#[derive(Debug)]
pub struct ReloadSignal(Signal);

impl ReloadSignal {
    /// Installs the signal handler.
    pub fn install() -> Result<Self> {
        subscribe(SignalKind::hangup()).map(Self)
    }

    /// Reloads the settings on each signal; settings that cannot be read leave the old ones in
    /// force.
    pub async fn reload_on_each(
        mut self,
        gw: Rc<Gateway>,
        reload: impl Fn() -> Result<GatewaySettings>,
    ) {
        while self.0.recv().await.is_some() {
            match reload() {
                Ok(settings) => {
                    gw.reload(settings);
                    log::info!("settings reloaded");
                }
                Err(err) => log::error!("settings stay as they were: {err}"),
            }
        }
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::from_std(listen_reuse_port(address)?)
        .map_err(|err| Error::Unreachable(format!("cannot listen on {address}: {err}")))
}

/// Accepts callers' connections in the background.
pub fn serve_callers(gw: &Rc<Gateway>) -> Result<HttpServer<Accepting>> {
    let listener = listen_reuse_port(gw.settings().caller_addr)?;
    let connections = gw.caller_connections.clone();
    let gw = gw.clone();
    HttpServer::start(listener, connections, move |accepted| {
        // A connection that is not admitted is closed.
        if let Some(unread) = gw.admit_connection(Now::read()) {
            actix_rt::spawn(serve_connection(gw.clone(), accepted, unread));
        }
    })
}

async fn serve_connection(gw: Rc<Gateway>, accepted: AcceptedConnection, unread: UnreadConnection) {
    let AcceptedConnection { stream, peer, open } = accepted;
    set_socket_options(&stream);
    let limits = gw
        .knowledge
        .borrow()
        .routes()
        .map_or_else(CallerLimits::default, |routes| routes.limits);
    bound_socket_buffers(&stream);
    let stream = EofErrorStream::new(stream, ErrorKind::ConnectionAborted);
    let stopping = gw.caller_connections.shutdown_token();
    let stream = DeliveringStream::new(stream, &gw.deliveries, stopping);
    let stream = GatedStream::new(stream, limits.head());
    let gate = stream.gate().clone();
    let cut = Rc::new(ConnectionCut::default());
    let counted = gw.open_connections.add(&gate, &cut);
    let handler_cut = cut.clone();
    let unread = Rc::new(Cell::new(Some(unread)));
    let handler = move |req: Request| {
        let (gw, cut, gate) = (gw.clone(), handler_cut.clone(), gate.clone());
        drop(unread.take());
        // Boxed, so that an idle connection does not reserve memory for the largest future.
        Box::pin(async move {
            let answer = gate.answer(req, async |req| serve(gw, &cut, req).await);
            Ok::<_, Infallible>(answer.await)
        })
    };
    let builder = HttpService::build()
        .keep_alive(limits.idle_timeout)
        .client_request_timeout(limits.header_timeout)
        .h1_write_buffer_size(CALLER_BUFFER_BYTES);
    match builder.h1(handler).new_service(()).await {
        Ok(service) => tokio::select! {
            result = service.call((stream, Some(peer))) => {
                if let Err(err) = result {
                    log::debug!("connection from {peer} ended: {err}");
                }
            }
            () = cut.wait() => {}
        },
        Err(()) => log::error!("cannot serve the connection from {peer}"),
    }
    drop((open, counted));
}

fn set_socket_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(CALLER_TCP_USER_TIMEOUT)));
    if let Err(err) = result {
        log::debug!("cannot set the socket options of a caller's connection: {err}");
    }
}

/// Bounds what the kernel holds for a caller that does not read, or whose body is not read yet.
fn bound_socket_buffers(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let result = socket
        .set_send_buffer_size(CALLER_SOCKET_BYTES)
        .and_then(|()| socket.set_recv_buffer_size(CALLER_SOCKET_BYTES));
    if let Err(err) = result {
        log::debug!("cannot bound the socket buffers of a caller's connection: {err}");
    }
}

/// Answers the load balancer's readiness checks, and serves metrics.
pub fn serve_readiness(gw: &Rc<Gateway>, metrics: &Metrics) -> Result<()> {
    let listener = listen(gw.settings().readiness_addr)?;
    let readiness_gw = gw.clone();
    let connections = Rc::<StatusConnections>::default();
    actix_rt::spawn(async move {
        accept(&listener, |stream, peer| {
            let (gw, connections) = (readiness_gw.clone(), connections.clone());
            actix_rt::spawn(answer_readiness_checks(gw, connections, stream, peer));
        })
        .await;
    });
    if let Err(err) = metrics.serve(gw.settings().metrics_addr) {
        log::error!("cannot serve metrics: {err}");
    }
    Ok(())
}

async fn answer_readiness_checks(
    gw: Rc<Gateway>,
    connections: Rc<StatusConnections>,
    stream: TcpStream,
    peer: SocketAddr,
) {
    let respond = move |_path: &str| {
        let status = match gw.is_ready(Now::read()) {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        Response::build(status).finish().map_into_boxed_body()
    };
    if let Err(err) = connections.serve(stream, respond).await {
        log::debug!("the readiness connection from {peer} ended: {err}");
    }
}

/// Drains the box: finishes the requests in flight, waits until callers have taken their answers,
/// then returns. A caller that takes nothing at all is waited for until the kernel gives it up
/// ([`CALLER_TCP_USER_TIMEOUT`]).
///
/// Readiness checks fail from the start. Requests that arrive meanwhile are served, and their
/// connections closed after the response. Streams that outlast the grace period are cut at its end;
/// their callers can resume them at another box.
pub async fn drain(gw: &Gateway, server: HttpServer<Accepting>, store: &dyn ControlStore) {
    let drain_start = Now::read();
    gw.begin_stopping(drain_start);
    // Connections are accepted to the end: no successor process listens on the same address.
    let _announced = server.announce_shutdown();
    log::info!(in_flight = gw.in_flight(); "stopping: finishing the requests in flight");
    if let Some(lease) = gw.lease.get()
        && let Err(err) = store.release(lease).await
    {
        log::warn!("cannot release the registration lease, it will expire: {err}");
    }
    let max_duration = gw.settings().bounds.max_stop_duration();
    let mut was_done = false;
    loop {
        let elapsed = Now::read().monotonic.saturating_sub(drain_start.monotonic);
        let have_requests_ended = elapsed >= MIN_DRAIN_TIME && gw.in_flight() == 0;
        let is_done = have_requests_ended && gw.deliveries.unfinished() == 0;
        // In between, the last bytes of tunnels leave the buffers of their connections.
        if elapsed >= max_duration || is_done && was_done {
            break;
        }
        was_done = is_done;
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    log::info!(cut = gw.in_flight(), undelivered = gw.deliveries.unfinished(); "stopped");
}
