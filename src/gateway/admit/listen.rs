//! Accepts callers, answers the balancer, and ends the process in order.

use super::routes::CallerLimits;
use super::serve::serve;
use crate::clock::Now;
use crate::daemon::listen_shared;
use crate::error::{Error, Result};
use crate::gateway::Gateway;
use crate::gateway::control::store::ControlStore;
use crate::gateway::settings::GatewaySettings;
use crate::http_server::accept::{AcceptedConnection, accept};
use crate::http_server::{Accepting, HttpServer};
use crate::metrics::Metrics;
use crate::strict_stream::StrictStream;
use actix_http::{HttpService, Request, Response, StatusCode};
use actix_service::{Service as _, ServiceFactory as _};
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

/// How long a stopping box goes on at least: the balancer asks every second and takes a
/// box out after two misses.
const BALANCER_NOTICE: Duration = Duration::from_millis(3200);
/// How often a stopping box looks whether all requests have ended.
const DRAIN_STEP: Duration = Duration::from_millis(50);
/// How long written bytes may stay unacknowledged by a caller.
const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Catches the signal to stop.
#[derive(Debug)]
pub struct Stopping(Signal);

impl Stopping {
    /// Starts to catch the signal.
    pub fn catch() -> Result<Self> {
        catch(SignalKind::terminate()).map(Self)
    }

    /// Waits for the signal.
    pub async fn wait(mut self) {
        self.0.recv().await;
    }
}

fn catch(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|err| Error::Usage(format!("signals cannot be received: {err}")))
}

/// Reads the settings again each time the operators ask for it.
pub fn reload_on_request(
    gw: Rc<Gateway>,
    reload: impl Fn() -> Result<GatewaySettings> + 'static,
) -> Result<()> {
    let mut asked = catch(SignalKind::hangup())?;
    actix_rt::spawn(async move {
        while asked.recv().await.is_some() {
            match reload() {
                Ok(settings) => {
                    gw.reload(settings);
                    log::info!("settings reloaded");
                }
                Err(err) => log::error!("settings stay as they were: {err}"),
            }
        }
    });
    Ok(())
}

fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::from_std(listen_shared(address)?)
        .map_err(|err| Error::Unreachable(format!("cannot listen on {address}: {err}")))
}

/// Takes callers' connections in the background.
pub fn serve_callers(gw: &Rc<Gateway>) -> Result<HttpServer<Accepting>> {
    let listener = listen_shared(gw.settings().callers)?;
    let connections = gw.callers.clone();
    let gw = gw.clone();
    HttpServer::start(listener, connections, move |taken| {
        actix_rt::spawn(serve_connection(gw.clone(), taken));
    })
}

async fn serve_connection(gw: Rc<Gateway>, taken: AcceptedConnection) {
    let AcceptedConnection { stream, peer, open } = taken;
    prepare(&stream);
    let limits = gw
        .knowledge
        .borrow()
        .routes()
        .map_or_else(CallerLimits::default, |routes| routes.limits);
    let stream = StrictStream::new(stream, ErrorKind::ConnectionAborted);
    let handler = move |req: Request| {
        let gw = gw.clone();
        // Boxed, so that a connection does not keep the room of the largest future.
        Box::pin(async move { Ok::<_, Infallible>(serve(gw, req).await) })
    };
    let service = HttpService::build()
        .keep_alive(limits.idle)
        .client_request_timeout(limits.head)
        .h1(handler);
    match service.new_service(()).await {
        Ok(service) => {
            if let Err(err) = service.call((stream, Some(peer))).await {
                log::debug!("connection of {peer} ended: {err}");
            }
        }
        Err(()) => log::error!("a connection of {peer} cannot be served"),
    }
    drop(open);
}

fn prepare(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(CALLER_USER_TIMEOUT)));
    if let Err(err) = set {
        log::debug!("a caller's connection keeps its defaults: {err}");
    }
}

/// Answers the balancer's question whether the box takes new connections, and serves
/// metrics.
pub fn serve_readiness(gw: &Rc<Gateway>, metrics: &Metrics) -> Result<()> {
    let listener = listen(gw.settings().readiness)?;
    let answering = gw.clone();
    actix_rt::spawn(async move {
        accept(&listener, |stream, peer| {
            actix_rt::spawn(answer_balancer(answering.clone(), stream, peer));
        })
        .await;
    });
    if let Err(err) = metrics.serve(gw.settings().metrics) {
        log::error!("metrics are not served: {err}");
    }
    Ok(())
}

async fn answer_balancer(gw: Rc<Gateway>, stream: TcpStream, peer: SocketAddr) {
    let handler = move |_req: Request| {
        let status = match gw.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { Ok::<_, Infallible>(Response::build(status).finish()) }
    };
    let service = HttpService::build().h1(handler);
    if let Ok(service) = service.new_service(()).await
        && let Err(err) = service.call((stream, Some(peer))).await
    {
        log::debug!("the balancer's connection from {peer} ended: {err}");
    }
}

/// Finishes what the box has, then returns.
///
/// The balancer is told at once. Requests that come meanwhile are served, and their
/// connections closed after the answer. Streams that outlast the grace are cut at its
/// end, where callers can go on elsewhere.
pub async fn drain(gw: &Gateway, server: HttpServer<Accepting>, store: &dyn ControlStore) {
    let began = Now::read();
    gw.stop(began);
    // Connections are taken to the end: there is no successor on the same address.
    let _announced = server.announce_shutdown();
    log::info!(in_flight = gw.in_flight(); "stopping: requests under way are finished");
    if let Some(lease) = gw.lease.get()
        && let Err(err) = store.release(lease).await
    {
        log::warn!("the lease runs out by itself: {err}");
    }
    let time_to_end = gw.settings().bounds.time_to_end();
    loop {
        let spent = Now::read().monotonic.saturating_sub(began.monotonic);
        let is_idle = gw.in_flight() == 0 && spent >= BALANCER_NOTICE;
        if is_idle || spent >= time_to_end {
            break;
        }
        sleep(DRAIN_STEP).await;
    }
    log::info!(cut = gw.in_flight(); "stopped");
}
