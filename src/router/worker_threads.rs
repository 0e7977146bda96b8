//! The threads that serve a router's callers.

use super::connection_stats::{ConnectionEnd, ServedConnection, ThreadCounts};
use super::context::{RouterShared, Worker};
use super::own_limit::watch_own_limit;
use super::request_handler::handle_request;
use super::responses::connection_closing_response;
use crate::clock::Now;
use crate::error::{Error, Result};
use crate::http_server::Connections;
use crate::http_server::accept::AcceptedConnection;
use crate::http_server::connection_close::close_connection;
use crate::http_server::gated_stream::{GatedStream, HeadLimits};
use crate::http_server::h2;
use crate::http_server::load_shedding::UnreadConnection;
use crate::http_server::reclaimable_stream::{ReclaimableStream, StreamReclaimer};
use crate::http_server::request_gate::RequestGate;
use actix_http::error::DispatchError;
use actix_http::{Extensions, HttpService, Protocol, Request};
use actix_rt::Arbiter;
use actix_service::{Service, ServiceFactory};
use socket2::{SockRef, TcpKeepalive};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::timeout;

/// How long a caller may take to send a request's head.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const HEAD_LIMITS: HeadLimits = HeadLimits {
    max_bytes: 64 * 1024,
    timeout: REQUEST_HEAD_TIMEOUT,
};
/// How long a connection may be idle between two requests.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// The time between two TCP keep-alive probes of an idle connection, and how many may stay
/// unanswered.
const TCP_PROBE_INTERVAL: Duration = Duration::from_secs(10);
const MAX_TCP_PROBES: u32 = 3;

/// A connection in the form that the HTTP library takes.
type Http1Connection = (GatedStream<ReclaimableStream>, Option<SocketAddr>);

/// A connection that is queued for its thread.
struct AssignedConnection {
    stream: std::net::TcpStream,
    served: ServedConnection,
}

/// The queue and the counts of one thread.
#[derive(Debug)]
struct WorkerThread {
    queue: UnboundedSender<AssignedConnection>,
    counts: Arc<ThreadCounts>,
}

/// The threads of a router, which get connections in turn.
#[derive(Debug)]
pub struct WorkerThreads {
    threads: Vec<WorkerThread>,
    next: usize,
}

impl WorkerThreads {
    /// Starts the configured number of threads.
    pub fn start(shared: &Arc<RouterShared>, connections: &Connections) -> Result<Self> {
        let threads = (0..shared.settings.workers)
            .map(|index| start_thread(index, shared.clone(), connections.clone()))
            .collect::<Result<_>>()?;
        Ok(Self { threads, next: 0 })
    }

    /// Returns the live connection counts of each thread.
    pub fn counts(&self) -> Vec<Arc<ThreadCounts>> {
        let counts = self.threads.iter().map(|thread| thread.counts.clone());
        counts.collect()
    }

    /// Assigns a connection to the next thread.
    pub fn assign(&mut self, accepted: AcceptedConnection) {
        let AcceptedConnection { stream, peer, open } = accepted;
        let stream = match stream.into_std() {
            Ok(stream) => stream,
            Err(err) => return log::warn!("the connection of {peer} was lost: {err}"),
        };
        let thread = &self.threads[self.next];
        self.next = (self.next + 1) % self.threads.len();
        let served = ServedConnection::new(thread.counts.clone(), peer, open);
        if thread
            .queue
            .send(AssignedConnection { stream, served })
            .is_err()
        {
            log::error!("invariant: the thread that was to serve {peer} has ended");
        }
    }
}

fn start_thread(
    index: usize,
    shared: Arc<RouterShared>,
    connections: Connections,
) -> Result<WorkerThread> {
    let (queue, rx) = unbounded_channel();
    let is_started = Arbiter::new().spawn_fn(move || {
        actix_rt::spawn(serve_assigned(index, Worker::new(shared), connections, rx));
    });
    match is_started {
        true => Ok(WorkerThread {
            queue,
            counts: Arc::new(ThreadCounts::new(index)),
        }),
        false => Err(Error::Unreachable(
            "a worker thread cannot be started".to_owned(),
        )),
    }
}

/// Serves the connections that are assigned to a thread.
async fn serve_assigned(
    thread: usize,
    worker: Rc<Worker>,
    connections: Connections,
    mut queue: UnboundedReceiver<AssignedConnection>,
) {
    let service = http1_service(worker.clone(), connections.clone());
    let Ok(service) = service.new_service(()).await else {
        return log::error!("a worker thread cannot create its HTTP service");
    };
    let service = Rc::new(service);
    actix_rt::spawn(watch_own_limit(worker.clone(), thread));
    while let Some(AssignedConnection { stream, served }) = queue.recv().await {
        let Some(unread) = worker.own_limit.admit_connection(Now::read()) else {
            served.record_end(&Ok(ConnectionEnd::AtOwnLimit));
            continue;
        };
        let (service, worker) = (service.clone(), worker.clone());
        let connections = connections.clone();
        actix_rt::spawn(async move {
            let end = serve_connection(stream, unread, &*service, worker, &connections).await;
            served.record_end(&end);
        });
    }
}

/// Creates the HTTP/1.1 service of a thread.
fn http1_service(
    worker: Rc<Worker>,
    connections: Connections,
) -> impl ServiceFactory<Http1Connection, Config = (), Response = (), Error = DispatchError> {
    let closing = connections.clone();
    HttpService::build()
        .keep_alive(KEEP_ALIVE_TIMEOUT)
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || closing.closing())
        .on_connect_ext(
            |stream: &GatedStream<ReclaimableStream>, extensions: &mut Extensions| {
                extensions.insert(stream.get_ref().reclaimer().clone());
                extensions.insert(stream.gate().clone());
            },
        )
        .h1(move |req: Request| {
            let reclaimer = req.conn_data::<Rc<StreamReclaimer>>().cloned();
            let gate = req
                .conn_data::<Rc<RequestGate>>()
                .cloned()
                .unwrap_or_default();
            let (worker, connections) = (worker.clone(), connections.clone());
            // Boxed, so that its memory is freed once the body of the response starts; a connection
            // keeps the memory of the largest unboxed future until it ends.
            Box::pin(async move {
                let answer = gate.answer(req, |req| handle_request(worker.clone(), req));
                let mut response = answer.await;
                if let Some(reclaimer) = reclaimer {
                    if worker.own_limit.is_full(Now::read()) {
                        reclaimer.close_header.add(&mut response);
                    }
                    reclaimer
                        .close_header
                        .add_if_stopping(&connections, &mut response);
                }
                Ok::<_, Infallible>(response)
            })
        })
}

async fn serve_connection(
    stream: std::net::TcpStream,
    unread: UnreadConnection,
    service: &impl Service<Http1Connection, Response = (), Error = DispatchError>,
    worker: Rc<Worker>,
    connections: &Connections,
) -> eyre::Result<ConnectionEnd> {
    configure_socket(&stream)?;
    let stream = TcpStream::from_std(stream)?;
    let detected = tokio::select! {
        protocol = timeout(KEEP_ALIVE_TIMEOUT, detect_protocol(&stream)) => protocol,
        () = connections.closing() => {
            close_connection(stream, Some(&connection_closing_response())).await?;
            return Ok(ConnectionEnd::UnreadReported);
        }
    };
    let peer = stream.peer_addr()?;
    // From now on its requests count as in progress.
    drop(unread);
    match detected {
        Ok(Ok(Protocol::Http2)) => {
            let handler = Rc::new(move |req| handle_request(worker.clone(), req));
            h2::serve(stream, peer, connections, handler).await?;
            Ok(ConnectionEnd::Http2)
        }
        Ok(Ok(_)) => serve_http1(stream, peer, service, connections).await,
        Ok(Err(err)) => Err(err.into()),
        Err(_elapsed) => {
            close_connection(stream, None).await?;
            Ok(ConnectionEnd::Idle)
        }
    }
}

/// Disables Nagle's algorithm so that small responses are sent at once, and enables TCP keep-alive
/// probes for idle callers.
fn configure_socket(stream: &std::net::TcpStream) -> io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_TIMEOUT)
        .with_interval(TCP_PROBE_INTERVAL)
        .with_retries(MAX_TCP_PROBES);
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

async fn serve_http1(
    stream: TcpStream,
    peer: SocketAddr,
    service: &impl Service<Http1Connection, Response = (), Error = DispatchError>,
    connections: &Connections,
) -> eyre::Result<ConnectionEnd> {
    let stream = GatedStream::new(ReclaimableStream::new(stream), HEAD_LIMITS);
    let reclaimer = stream.get_ref().reclaimer().clone();
    let served = service.call((stream, Some(peer))).await;
    served.map_err(|err| eyre::eyre!("{err}"))?;
    let end = match reclaimer.close_header.is_sent() {
        true => ConnectionEnd::CloseAnnounced,
        false if connections.is_closing() => ConnectionEnd::UnreadReported,
        false => ConnectionEnd::Idle,
    };
    if let Some(stream) = reclaimer.reclaim() {
        let closing_response =
            (end == ConnectionEnd::UnreadReported).then(connection_closing_response);
        close_connection(stream, closing_response.as_deref()).await?;
    }
    Ok(end)
}

/// Detects the protocol from a caller's first bytes.
async fn detect_protocol(stream: &TcpStream) -> io::Result<Protocol> {
    const H2_PREFACE: &[u8] = b"PRI * HTTP/2";
    let mut buf = [0; H2_PREFACE.len()];
    let read = stream.peek(&mut buf).await?;
    Ok(match &buf[..read] == H2_PREFACE {
        true => Protocol::Http2,
        false => Protocol::Http1,
    })
}
