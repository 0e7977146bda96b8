//! One open connection to an upstream.

use super::answer_ownership::{Awaiting, CarriedRequests, NotOwn, OwnHead};
use super::connection_write::{GatedStream, WriteGate, is_quiet};
use super::headers::HeaderNames;
use super::upstream_stream::{ConnectionPath, UpstreamStream};
use crate::clock::Now;
use crate::gateway::answer::held_memory::{UPSTREAM_BUFFER_BYTES, UPSTREAM_SOCKET_BYTES};
use crate::saturation::Saturation;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Maximum time to open a connection. A round trip takes a few milliseconds; a lost SYN packet is
/// sent again only after a second, by when another upstream has long answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How much longer a connection is waited for only to learn how slow the network is. After that it
/// may have been opened by a packet that was sent again.
const LATE_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// How long written data may stay unacknowledged before the connection counts as dead.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long an idle connection may be reused. Upstreams sometimes close idle connections early; one
/// second is well below the several seconds that they announce.
const IDLE_LIFETIME: Duration = Duration::from_secs(1);

/// Whether an upstream is a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum UpstreamKind {
    /// It serves plain requests.
    #[default]
    Plain,
    /// It runs models.
    Engine,
}

impl UpstreamKind {
    /// Returns the name for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Engine => "engine",
        }
    }
}

/// Where the connection of a try came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionOrigin {
    /// It was opened for the request.
    New,
    /// It carried an earlier request.
    Kept,
    /// It was opened before a request needed it.
    OpenedAhead,
}

impl ConnectionOrigin {
    /// Returns the name for the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Kept => "kept",
            Self::OpenedAhead => "opened-ahead",
        }
    }
}

/// How a request was lost with its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestLoss {
    /// Nothing of it was written, since the connection had ended.
    Unsent,
    /// Nothing of it was written, since the box was too busy to do so in time.
    Late,
    /// The connection broke this long after it was written.
    Broken(Duration),
    /// The connection broke though an answer had come over it just before, so that neither its rest
    /// nor a want of room explains it.
    BrokenAfterProof,
    /// Nothing came back.
    NoAnswer,
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct ReceivedAnswer {
    /// The head.
    pub head: OwnHead,
    /// The rest.
    pub body: hyper::body::Incoming,
}

/// Why a request got no head of an answer. Its connection must not be used again.
#[derive(Debug)]
pub enum SendError {
    /// The connection has ended.
    Broken(BrokenSend),
    /// An answer came that does not belong to the request, which may have run.
    NotOwn(NotOwn),
}

impl SendError {
    /// Returns whether no byte of the request was written.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Broken(broken) if broken.is_unsent)
    }

    /// Returns whether that is because the box was too busy to write it in time.
    pub fn is_late(&self) -> bool {
        matches!(self, Self::Broken(broken) if broken.is_late)
    }
}

/// A request whose connection has ended.
#[derive(Debug)]
pub struct BrokenSend {
    /// The error of the connection.
    pub error: hyper::Error,
    /// Whether no byte of the request was written.
    pub is_unsent: bool,
    /// Whether that is because the box was too busy to write it in time.
    pub is_late: bool,
}

/// One open connection to an upstream.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    /// The same socket, to ask the kernel whether the upstream has closed it; only where load is
    /// controlled, since it is one more descriptor.
    socket: Option<socket2::Socket>,
    ended: watch::Receiver<Option<Duration>>,
    idle_since: Duration,
    keep_time: Duration,
    origin: ConnectionOrigin,
    path: ConnectionPath,
    is_controlled: bool,
    gate: Rc<WriteGate>,
    carried: CarriedRequests,
    has_carried_answer: bool,
    is_proven: bool,
    _open: OpenGuard,
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct OpenGuard(Rc<Cell<u32>>);

impl OpenGuard {
    /// Adds one to a count of open connections.
    pub fn new(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get().saturating_add(1));
        Self(count.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// How to open a connection.
#[derive(Debug, Clone, Copy)]
pub struct Opening {
    /// What it is opened for.
    pub origin: ConnectionOrigin,
    /// Whether it is opened under load control.
    pub is_controlled: bool,
    /// Whether the kernel is asked about ends of the connection.
    pub asks_kernel: bool,
}

/// Opens a socket to an upstream of a hall.
pub async fn dial(
    address: SocketAddr,
    hall: &str,
    saturation: &Rc<Saturation>,
) -> io::Result<TcpStream> {
    let began = Now::read();
    let mut connecting: PendingConnect = Box::pin(TcpStream::connect(address));
    let connected = saturation.timeout(CONNECT_TIMEOUT, &mut connecting).await;
    let Some(connected) = connected else {
        if let Some(counted) = saturation.count_late_connect() {
            let (saturation, hall) = (saturation.clone(), hall.to_owned());
            actix_rt::spawn(async move {
                measure_late_connect(connecting, &hall, &saturation, began).await;
                drop(counted);
            });
        }
        return Err(io::ErrorKind::TimedOut.into());
    };
    let stream = connected?;
    saturation.record_connect(hall, began, Now::read());
    set_socket_options(&stream, address);
    Ok(stream)
}

type PendingConnect = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// Records the connect time of an attempt that has timed out, if it succeeds late: then the network
/// is slow and not cut.
async fn measure_late_connect(
    connecting: PendingConnect,
    hall: &str,
    saturation: &Saturation,
    began: Now,
) {
    let connected = timeout(LATE_CONNECT_TIMEOUT, connecting).await;
    if matches!(connected, Ok(Ok(_))) {
        saturation.record_connect(hall, began, Now::read());
    }
}

impl Connection {
    /// Begins to speak HTTP over a stream.
    pub async fn establish(
        stream: UpstreamStream,
        opening: Opening,
        open: OpenGuard,
        now: Now,
    ) -> io::Result<Self> {
        let mut builder = http1::Builder::new();
        if let Some(socket) = stream.socket() {
            set_receive_buffer(socket);
        }
        builder.max_buf_size(UPSTREAM_BUFFER_BYTES);
        let asked = stream.socket().filter(|_| opening.asks_kernel);
        let socket = asked
            .map(|socket| socket2::SockRef::from(socket).try_clone())
            .transpose()?;
        let path = stream.path();
        let gate = Rc::<WriteGate>::default();
        let io = TokioIo::new(GatedStream::new(stream, gate.clone()));
        let (sender, connection) = builder.handshake(io).await.map_err(io::Error::other)?;
        let (end, ended) = watch::channel(None);
        let driver = actix_rt::spawn(async move {
            if let Err(err) = connection.await {
                log::trace!("connection to an upstream ended: {err}");
            }
            end.send_replace(Some(Now::read().monotonic));
        });
        Ok(Self {
            sender,
            driver,
            socket,
            ended,
            idle_since: now.monotonic,
            keep_time: IDLE_LIFETIME,
            origin: opening.origin,
            path,
            is_controlled: opening.is_controlled,
            gate,
            carried: CarriedRequests::default(),
            has_carried_answer: false,
            is_proven: false,
            _open: open,
        })
    }

    /// Returns by which way it reaches the upstream.
    pub fn path(&self) -> &ConnectionPath {
        &self.path
    }

    /// Returns whether an earlier request was sent over this connection.
    pub fn is_reused(&self) -> bool {
        self.origin == ConnectionOrigin::Kept
    }

    /// Returns where the connection came from.
    pub fn origin(&self) -> ConnectionOrigin {
        self.origin
    }

    /// Returns whether it was opened or kept under load control.
    pub fn is_controlled(&self) -> bool {
        self.is_controlled
    }

    /// Returns whether an answer has arrived over it.
    pub fn has_carried_answer(&self) -> bool {
        self.has_carried_answer
    }

    /// Returns how long ago it was opened or carried an answer.
    pub fn rest(&self, now: Now) -> Duration {
        now.monotonic.saturating_sub(self.idle_since)
    }

    /// Returns whether it has rested for longer than connections to its upstream are kept.
    pub fn is_expired(&self, now: Now) -> bool {
        self.rest(now) >= self.keep_time
    }

    /// Returns whether it can take a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the answer to this can be distinguished from all others that may follow.
    pub fn allows(&self, awaiting: Awaiting<'_>) -> bool {
        self.carried.allows(awaiting)
    }

    /// Returns whether it has carried as many requests as it may.
    pub fn is_used_up(&self) -> bool {
        self.carried.is_full()
    }

    /// Returns whether the upstream has ended the connection.
    pub fn has_ended(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether the kernel knows of no end of the connection, and of no data that follows an
    /// answer. The driver learns of both only when it is scheduled.
    pub fn is_quiet(&self) -> bool {
        let socket = self.socket.as_ref();
        socket.map_or_else(|| !self.has_ended(), is_quiet)
    }

    /// Returns how long it had rested when the upstream ended it, if it did.
    pub fn rest_at_end(&self) -> Option<Duration> {
        let ended_at = (*self.ended.borrow())?;
        Some(ended_at.saturating_sub(self.idle_since))
    }

    /// Records that an answer proves it to be open, just before a request is written.
    pub fn record_proof(&mut self, now: Now) {
        self.record_answer(now);
        self.is_proven = true;
    }

    /// Returns whether it was proven to be open just before the present request.
    pub fn is_proven(&self) -> bool {
        self.is_proven
    }

    /// Records that an answer has arrived.
    pub fn record_answer(&mut self, now: Now) {
        self.has_carried_answer = true;
        self.is_proven = false;
        self.idle_since = self.idle_since.max(now.monotonic);
    }

    /// Requires that the next request is written by a time on the monotonic clock, or not at all.
    pub fn require_write_by(&self, write_by: Duration) {
        self.gate.require(write_by);
    }

    /// Waits until it can take another request; false if it has ended.
    pub async fn becomes_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sets how long it may be reused after it was used last.
    pub fn set_keep_time(&mut self, keep_time: Duration) {
        self.keep_time = keep_time;
    }

    /// Returns since when it has rested, on the monotonic clock.
    pub fn rested_since(&self) -> Duration {
        self.idle_since
    }

    /// Begins a rest at a time on the monotonic clock.
    pub fn begin_rest(&mut self, at: Duration) {
        self.idle_since = at;
    }

    /// Marks the connection as used by a request.
    pub fn set_origin(&mut self, origin: ConnectionOrigin) {
        self.origin = origin;
    }

    /// Waits for a time; returns false as soon as the upstream ends the connection.
    pub async fn survives(&mut self, wait: Duration) -> bool {
        // The driver drops the sender of this channel last, so an error also means the end.
        let ended = self.ended.wait_for(Option::is_some);
        if timeout(wait, ended).await.is_ok() {
            return false;
        }
        // A reset that arrived together with the end of the wait is seen only by the driver's task.
        tokio::task::yield_now().await;
        !self.has_ended()
    }

    /// Sends a request and waits for the head of the answer that belongs to it.
    pub async fn send(
        &mut self,
        req: http1_types::Request<Full<Bytes>>,
        awaiting: Awaiting<'_>,
        names: &HeaderNames,
    ) -> Result<ReceivedAnswer, SendError> {
        debug_assert!(self.allows(awaiting), "invariant: sent twice: {awaiting:?}");
        self.carried.record(awaiting);
        let written = self.gate.written();
        self.gate.begin_head();
        let sent = self.sender.try_send_request(req).await;
        self.gate.end_head();
        let res = sent.map_err(|mut err| {
            // The count is final once the driver cannot write any more.
            self.driver.abort();
            SendError::Broken(BrokenSend {
                // The request comes back only if nothing of it was written.
                is_unsent: err.take_message().is_some() || self.gate.written() == written,
                is_late: self.gate.has_refused(),
                error: err.into_error(),
            })
        })?;
        let (parts, body) = res.into_parts();
        let head = OwnHead::attribute(parts, awaiting, names).map_err(SendError::NotOwn)?;
        Ok(ReceivedAnswer { head, body })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The upstream stops working on a request when its connection closes, so close it now
        // rather than when its task is next scheduled.
        self.driver.abort();
    }
}

/// The types of the `http` crate version that `hyper` uses; the HTTP server of this crate uses an
/// older version.
pub mod http1_types {
    pub use hyper::http::{HeaderMap, Method, Request, Response};
}

fn set_receive_buffer(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    if let Err(err) = socket.set_recv_buffer_size(UPSTREAM_SOCKET_BYTES) {
        log::debug!("cannot bound the receive buffer of a connection to an upstream: {err}");
    }
}

fn set_socket_options(stream: &TcpStream, address: SocketAddr) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on the connection to {address}: {err}");
    }
    let socket = socket2::SockRef::from(stream);
    if let Err(err) = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)) {
        log::debug!("cannot set TCP_USER_TIMEOUT on the connection to {address}: {err}");
    }
}
