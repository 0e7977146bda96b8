//! The threads that serve a router's callers.

use super::answer::closing_answer;
use super::context::{RouterShared, Worker};
use super::entry;
use super::served::{ConnectionEnd, ServedConnection, ThreadCounts};
use crate::error::{Error, Result};
use crate::http_server::Connections;
use crate::http_server::accept::AcceptedConnection;
use crate::http_server::connection_close::close_connection;
use crate::http_server::h2;
use crate::http_server::reclaimable_stream::{ReclaimableStream, StreamReclaimer};
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
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may rest between two requests.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// The time between two probes of a caller that has rested for so long, and how many may be lost.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);
const MOST_PROBES: u32 = 3;

/// A connection as the HTTP library takes it.
type Lent = (ReclaimableStream, Option<SocketAddr>);

/// A connection on its way to the thread that serves it.
struct Handed {
    stream: std::net::TcpStream,
    served: ServedConnection,
}

/// A thread as the one that takes connections knows it.
#[derive(Debug)]
struct Thread {
    queue: UnboundedSender<Handed>,
    counts: Arc<ThreadCounts>,
}

/// The threads of a router, which are given connections in turn.
#[derive(Debug)]
pub struct Threads {
    threads: Vec<Thread>,
    next: usize,
}

impl Threads {
    /// Starts as many threads as the settings say.
    pub fn start(shared: &Arc<RouterShared>, connections: &Connections) -> Result<Self> {
        let threads = (0..shared.settings.workers)
            .map(|number| start_thread(number, shared.clone(), connections.clone()))
            .collect::<Result<_>>()?;
        Ok(Self { threads, next: 0 })
    }

    /// Returns what became of the connections of each thread, as it goes on.
    pub fn counts(&self) -> Vec<Arc<ThreadCounts>> {
        let counts = self.threads.iter().map(|thread| thread.counts.clone());
        counts.collect()
    }

    /// Gives a connection to the next thread.
    pub fn hand(&mut self, taken: AcceptedConnection) {
        let AcceptedConnection { stream, peer, open } = taken;
        let stream = match stream.into_std() {
            Ok(stream) => stream,
            Err(err) => return log::warn!("the connection of {peer} is lost: {err}"),
        };
        let thread = &self.threads[self.next];
        self.next = (self.next + 1) % self.threads.len();
        let served = ServedConnection::new(thread.counts.clone(), peer, open);
        if thread.queue.send(Handed { stream, served }).is_err() {
            log::error!("invariant: the thread that was to serve {peer} has ended");
        }
    }
}

fn start_thread(
    number: usize,
    shared: Arc<RouterShared>,
    connections: Connections,
) -> Result<Thread> {
    let (queue, rx) = unbounded_channel();
    let is_started = Arbiter::new().spawn_fn(move || {
        actix_rt::spawn(serve_handed(Worker::new(shared), connections, rx));
    });
    match is_started {
        true => Ok(Thread {
            queue,
            counts: Arc::new(ThreadCounts::new(number)),
        }),
        false => Err(Error::Unreachable(
            "a thread for callers cannot be started".to_owned(),
        )),
    }
}

/// Serves the connections that a thread is given.
async fn serve_handed(
    worker: Rc<Worker>,
    connections: Connections,
    mut queue: UnboundedReceiver<Handed>,
) {
    let service = http1_service(worker.clone(), connections.clone());
    let Ok(service) = service.new_service(()).await else {
        return log::error!("a thread for callers cannot serve them");
    };
    let service = Rc::new(service);
    while let Some(Handed { stream, served }) = queue.recv().await {
        let (service, worker) = (service.clone(), worker.clone());
        let connections = connections.clone();
        actix_rt::spawn(async move {
            let end = serve_connection(stream, &*service, worker, &connections).await;
            served.end(&end);
        });
    }
}

/// Makes what serves a thread's connections of HTTP/1.1.
fn http1_service(
    worker: Rc<Worker>,
    connections: Connections,
) -> impl ServiceFactory<Lent, Config = (), Response = (), Error = DispatchError> {
    let closing = connections.clone();
    HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEAD_TIMEOUT)
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || closing.closing())
        .on_connect_ext(|stream: &ReclaimableStream, extensions: &mut Extensions| {
            extensions.insert(stream.reclaimer().clone());
        })
        .h1(move |req: Request| {
            let reclaimer = req.conn_data::<Rc<StreamReclaimer>>().cloned();
            let (worker, connections) = (worker.clone(), connections.clone());
            // Boxed, so that its room is free again once the answer's body begins; a
            // connection keeps the room of the largest unboxed future for good.
            Box::pin(async move {
                let mut response = entry::serve(worker, req).await;
                if let Some(reclaimer) = reclaimer {
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
    service: &impl Service<Lent, Response = (), Error = DispatchError>,
    worker: Rc<Worker>,
    connections: &Connections,
) -> eyre::Result<ConnectionEnd> {
    prepare(&stream)?;
    let stream = TcpStream::from_std(stream)?;
    let detected = tokio::select! {
        protocol = timeout(KEEP_ALIVE, detect_protocol(&stream)) => protocol,
        () = connections.closing() => {
            close_connection(stream, Some(&closing_answer())).await?;
            return Ok(ConnectionEnd::ToldUnread);
        }
    };
    let peer = stream.peer_addr()?;
    match detected {
        Ok(Ok(Protocol::Http2)) => {
            let handler = Rc::new(move |req| entry::serve(worker.clone(), req));
            h2::serve(stream, peer, connections, handler).await?;
            Ok(ConnectionEnd::Http2)
        }
        Ok(Ok(_)) => serve_http1(stream, peer, service, connections).await,
        Ok(Err(err)) => Err(err.into()),
        Err(_rested) => {
            close_connection(stream, None).await?;
            Ok(ConnectionEnd::Rested)
        }
    }
}

/// Sends small answers at once, and has the system ask callers that rest whether they are there.
fn prepare(stream: &std::net::TcpStream) -> io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(KEEP_ALIVE)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MOST_PROBES);
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

async fn serve_http1(
    stream: TcpStream,
    peer: SocketAddr,
    service: &impl Service<Lent, Response = (), Error = DispatchError>,
    connections: &Connections,
) -> eyre::Result<ConnectionEnd> {
    let stream = ReclaimableStream::new(stream);
    let reclaimer = stream.reclaimer().clone();
    let served = service.call((stream, Some(peer))).await;
    served.map_err(|err| eyre::eyre!("{err}"))?;
    let end = match reclaimer.close_header.is_sent() {
        true => ConnectionEnd::AskedToLeave,
        false if connections.is_closing() => ConnectionEnd::ToldUnread,
        false => ConnectionEnd::Rested,
    };
    if let Some(stream) = reclaimer.reclaim() {
        let last_words = (end == ConnectionEnd::ToldUnread).then(closing_answer);
        close_connection(stream, last_words.as_deref()).await?;
    }
    Ok(end)
}

/// Tells by a caller's first bytes what it speaks.
async fn detect_protocol(stream: &TcpStream) -> io::Result<Protocol> {
    const H2_PREFACE: &[u8] = b"PRI * HTTP/2";
    let mut buf = [0; H2_PREFACE.len()];
    let read = stream.peek(&mut buf).await?;
    Ok(match &buf[..read] == H2_PREFACE {
        true => Protocol::Http2,
        false => Protocol::Http1,
    })
}
