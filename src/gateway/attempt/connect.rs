//! Connections to upstreams, with access to the state of each.
//!
//! The client in `crate::http_client` hides its connections, but the rules here depend on a single
//! connection: whether a byte was written, whether the answer was complete, and whether data
//! followed it. This module therefore uses `hyper`'s connection-level client. See
//! `docs/design/platform.md`, and for the rules under load control `docs/design/connections.md`.

use super::connection_limit::{self, Demand, Fleet};
use super::upstream::Upstream;
use super::upstream_connections::{
    ConnectionEvent, ConnectionMetrics, RestTimesByService, UpstreamConnections,
};
use crate::clock::Now;
use crate::gateway::answer::held_memory::{UPSTREAM_BUFFER_BYTES, UPSTREAM_SOCKET_BYTES};
use crate::gateway::control::store::UpstreamLife;
use bytes::Bytes;
use futures::future::{LocalBoxFuture, select_ok};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Maximum time to open a connection. A round trip takes a few milliseconds; a lost SYN packet is
/// sent again only after a second, by when another upstream has long answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay before a probe opens a second connection: several round trips.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(50);
/// How long written data may stay unacknowledged before the connection counts as dead.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long an idle connection may be reused. Upstreams sometimes close idle connections early; one
/// second is well below the several seconds that they announce.
const IDLE_LIFETIME: Duration = Duration::from_secs(1);
/// Maximum number of idle connections kept for one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 4;
/// The same under load control, where they are kept within the box's share of the limit.
const MAX_CONTROLLED_IDLE_PER_UPSTREAM: usize = 8;
/// Maximum number of idle connections of a box under load control: some megabytes of buffers.
const MAX_CONTROLLED_IDLE: usize = 256;

/// How many connections a request that may not be repeated waits for, one after the other, while
/// the box is too busy to use them in time.
const MAX_CONFIRMATIONS: usize = 3;

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

/// What a request may use as its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ConnectionRules {
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// The kind of its upstream.
    pub kind: UpstreamKind,
    /// Whether boxes control the load of the service. Otherwise a request that may not be repeated
    /// is written to a new connection at once, and idle connections are kept briefly.
    pub is_controlled: bool,
    /// How many connections an upstream of the service accepts from all boxes together.
    pub limit: Option<NonZeroU32>,
}

/// Why there is no connection for a request, so that no byte of it was written.
#[derive(Debug)]
pub enum NoConnection {
    /// The upstream accepted no connection.
    Unreachable(io::Error),
    /// The box's share of the upstream's connection limit is in use.
    ShareInUse,
    /// The upstream ended the connection right after accepting it, as it does with connections for
    /// which it has no room.
    ResetBeforeUse,
    /// The upstream has just done so with another one.
    JustReset,
    /// The box was too busy to use a connection while it was known to be open.
    Unconfirmed,
}

impl fmt::Display for NoConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(err) => err.fmt(f),
            Self::ShareInUse => f.write_str("this box's share of the connection limit is in use"),
            Self::Unconfirmed => f.write_str("no connection was confirmed in time"),
            Self::JustReset => f.write_str("the upstream has just reset a new connection"),
            Self::ResetBeforeUse => f.write_str("the connection was reset before it was used"),
        }
    }
}

/// How a request was lost with its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestLoss {
    /// Nothing of it was written.
    Unsent,
    /// The connection broke this long after it was written.
    Broken(Duration),
    /// Nothing came back.
    NoAnswer,
}

/// Why a request got no head of an answer.
#[derive(Debug)]
pub struct SendError {
    /// The error of the connection.
    pub error: hyper::Error,
    /// Whether the connection had ended before the first byte of the request was written.
    pub is_unsent: bool,
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
    has_carried_answer: bool,
    is_controlled: bool,
    _open: OpenGuard,
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct OpenGuard(Rc<Cell<u32>>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl Connection {
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

    /// Returns whether the upstream has ended the connection.
    pub fn has_ended(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether the kernel knows of no end of the connection, and of no data that follows an
    /// answer. The driver learns of both only when it is scheduled.
    pub fn is_quiet(&self) -> bool {
        let Some(socket) = &self.socket else {
            return !self.has_ended();
        };
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket.peek(&mut byte);
        peeked.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns how long it had rested when the upstream ended it, if it did.
    pub fn rest_at_end(&self) -> Option<Duration> {
        let ended_at = (*self.ended.borrow())?;
        Some(ended_at.saturating_sub(self.idle_since))
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

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        req: http1_types::Request<Full<Bytes>>,
    ) -> Result<http1_types::Response<hyper::body::Incoming>, SendError> {
        let sent = self.sender.try_send_request(req).await;
        sent.map_err(|mut err| SendError {
            // The request comes back only if nothing of it was written.
            is_unsent: err.take_message().is_some(),
            error: err.into_error(),
        })
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

/// The connections of a box. They are keyed by the upstream's incarnation, never by address
/// alone: an address may be taken over by another service, and an upstream may restart.
#[derive(Debug)]
pub struct ConnectionPool {
    upstreams: RefCell<HashMap<UpstreamLife, Rc<UpstreamConnections>>>,
    rest_times: RestTimesByService,
    fleet: Cell<Fleet>,
    metrics: ConnectionMetrics,
    /// Whether the buffers of new connections are bounded.
    bounds_buffers: Cell<bool>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(metrics: ConnectionMetrics) -> Self {
        Self {
            upstreams: RefCell::default(),
            rest_times: RestTimesByService::default(),
            fleet: Cell::default(),
            metrics,
            bounds_buffers: Cell::default(),
        }
    }

    /// Sets whether the buffers of new connections are bounded.
    pub fn set_bounds_buffers(&self, bounds_buffers: bool) {
        self.bounds_buffers.set(bounds_buffers);
    }

    /// Sets what is known of the other boxes, with which limits are shared.
    pub fn set_fleet(&self, fleet: Fleet) {
        self.fleet.set(fleet);
    }

    /// Returns what is known of the other boxes.
    pub fn fleet(&self) -> Fleet {
        self.fleet.get()
    }

    /// Returns whether connections to any upstream under load control were used recently.
    pub fn has_controlled(&self) -> bool {
        let upstreams = self.upstreams.borrow();
        upstreams.values().any(|known| known.is_controlled())
    }

    /// Returns the connections to upstreams under load control that were used recently.
    pub fn controlled(&self) -> Vec<(UpstreamLife, Rc<UpstreamConnections>)> {
        self.select(UpstreamConnections::is_controlled)
    }

    /// Returns those of them to plain upstreams.
    pub fn controlled_plain(&self) -> Vec<(UpstreamLife, Rc<UpstreamConnections>)> {
        self.select(|known| known.is_controlled() && known.kind() == UpstreamKind::Plain)
    }

    fn select(
        &self,
        is_selected: impl Fn(&UpstreamConnections) -> bool,
    ) -> Vec<(UpstreamLife, Rc<UpstreamConnections>)> {
        let upstreams = self.upstreams.borrow();
        let selected = upstreams.iter().filter(|(_, known)| is_selected(known));
        selected
            .map(|(incarnation, known)| (incarnation.clone(), known.clone()))
            .collect()
    }

    fn connections_to(&self, upstream: &Upstream) -> Rc<UpstreamConnections> {
        let mut upstreams = self.upstreams.borrow_mut();
        if let Some(known) = upstreams.get(upstream.incarnation()) {
            return known.clone();
        }
        let service = upstream.with_listed(|listed| listed.service.clone());
        let created = Rc::new(UpstreamConnections::new(
            self.rest_times.of(&service),
            self.metrics.clone(),
        ));
        upstreams.insert(upstream.incarnation().clone(), created.clone());
        created
    }

    /// Returns a connection for a request: a suitable idle one, or a new one.
    pub async fn acquire(
        &self,
        upstream: &Upstream,
        rules: ConnectionRules,
    ) -> Result<Connection, NoConnection> {
        let now = Now::read();
        let known = self.connections_to(upstream);
        known.set_rules(rules);
        let opened = match rules.is_controlled {
            true => self.acquire_controlled(upstream, &known, rules, now).await,
            false => {
                let idle = match rules.is_repeatable {
                    true => known.take_newest(now),
                    false => None,
                };
                match idle {
                    Some(connection) => Ok(connection),
                    None => {
                        let opened = self.open(upstream).await;
                        opened.map_err(NoConnection::Unreachable)
                    }
                }
            }
        };
        match &opened {
            Ok(connection) if connection.is_reused() => known.count(ConnectionEvent::Reused),
            Ok(_) | Err(_) => {}
        }
        opened
    }

    async fn acquire_controlled(
        &self,
        upstream: &Upstream,
        known: &UpstreamConnections,
        rules: ConnectionRules,
        now: Now,
    ) -> Result<Connection, NoConnection> {
        if rules.is_repeatable {
            while let Some(connection) = known.take_for_repeatable(now) {
                if connection.is_quiet() {
                    return Ok(connection);
                }
                known.record_end(&connection, now);
            }
            return self.open_within_limit(upstream, known, rules, now).await;
        }
        known.record_single_run(now);
        for _ in 0..MAX_CONFIRMATIONS {
            let now = Now::read();
            let mut connection = match known.take_for_single_run(now) {
                Some(connection) => connection,
                None => self.open_within_limit(upstream, known, rules, now).await?,
            };
            let wait = known.settle_time_left(&connection, Now::read());
            let survived = !connection.has_ended() && connection.survives(wait).await;
            let now = Now::read();
            if !survived || !connection.is_quiet() {
                known.record_end(&connection, now);
                if connection.has_carried_answer() {
                    continue;
                }
                return Err(NoConnection::ResetBeforeUse);
            }
            // The wait may have ended late.
            if known.is_confirmed(&connection, now) {
                return Ok(connection);
            }
        }
        Err(NoConnection::Unconfirmed)
    }

    async fn open_within_limit(
        &self,
        upstream: &Upstream,
        known: &UpstreamConnections,
        rules: ConnectionRules,
        now: Now,
    ) -> Result<Connection, NoConnection> {
        let demand = Demand::at(upstream, now);
        let share = |limit| connection_limit::share(limit, self.fleet(), demand);
        let share = rules.limit.map(share);
        if !known.accepts_for_request(now) {
            return Err(NoConnection::JustReset);
        }
        if !known.make_room(share) {
            return Err(NoConnection::ShareInUse);
        }
        let opened = self.open_as(upstream, ConnectionOrigin::New, true).await;
        opened.map_err(NoConnection::Unreachable)
    }

    /// Opens a new connection.
    pub async fn open(&self, upstream: &Upstream) -> io::Result<Connection> {
        self.open_as(upstream, ConnectionOrigin::New, false).await
    }

    /// Opens a new connection for a purpose.
    pub async fn open_as(
        &self,
        upstream: &Upstream,
        origin: ConnectionOrigin,
        is_controlled: bool,
    ) -> io::Result<Connection> {
        let known = self.connections_to(upstream);
        // Counted before the first packet is sent, so that requests that arrive together do not
        // exceed the share.
        let open = known.open_count().clone();
        open.set(open.get().saturating_add(1));
        let open = OpenGuard(open);
        let address = upstream.with_listed(|listed| listed.address);
        let began = Now::read();
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
        let now = Now::read();
        known.record_connect(now.monotonic.saturating_sub(began.monotonic));
        known.count(match origin {
            ConnectionOrigin::OpenedAhead => ConnectionEvent::OpenedAhead,
            ConnectionOrigin::New | ConnectionOrigin::Kept => ConnectionEvent::Opened,
        });
        set_socket_options(&stream, address);
        let mut builder = http1::Builder::new();
        if self.bounds_buffers.get() {
            set_receive_buffer(&stream, address);
            builder.max_buf_size(UPSTREAM_BUFFER_BYTES);
        }
        let duplicate = || socket2::SockRef::from(&stream).try_clone();
        let socket = known.is_controlled().then(duplicate).transpose()?;
        let (sender, connection) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let (end, ended) = watch::channel(None);
        let driver = actix_rt::spawn(async move {
            if let Err(err) = connection.await {
                log::trace!("connection to {address} ended: {err}");
            }
            end.send_replace(Some(Now::read().monotonic));
        });
        Ok(Connection {
            sender,
            driver,
            socket,
            ended,
            idle_since: now.monotonic,
            keep_time: IDLE_LIFETIME,
            origin,
            has_carried_answer: false,
            is_controlled,
            _open: open,
        })
    }

    /// Returns a connection to the pool: after a complete answer, or without one after a probe.
    ///
    /// `keep_alive` is the time for which the upstream states that it keeps idle connections.
    pub fn release(
        &self,
        upstream: &Upstream,
        mut connection: Connection,
        keep_alive: Option<Duration>,
        now: Now,
    ) {
        if connection.has_ended() {
            return;
        }
        let known = self.connections_to(upstream);
        connection.idle_since = match known.is_controlled() {
            // A probe passes the time at which it began.
            true => connection.idle_since.max(now.monotonic),
            false => now.monotonic,
        };
        // A box sends to the same engine too rarely for its connections to be worth their memory.
        let is_kept_longer = connection.is_controlled && known.kind() == UpstreamKind::Plain;
        let max_idle = match is_kept_longer {
            true => {
                known.record_keep_alive(keep_alive);
                connection.keep_time = known.keep_time();
                if self.idle_count() >= MAX_CONTROLLED_IDLE {
                    return;
                }
                MAX_CONTROLLED_IDLE_PER_UPSTREAM
            }
            false => MAX_IDLE_PER_UPSTREAM,
        };
        known.put_idle(connection, max_idle);
        if let Some(limit) = known.limit().filter(|_| known.is_controlled()) {
            let demand = Demand::at(upstream, now);
            known.close_idle_beyond(connection_limit::share(limit, self.fleet(), demand));
        }
    }

    /// Returns a connection to the pool after an answer.
    pub fn release_after_answer(
        &self,
        upstream: &Upstream,
        mut connection: Connection,
        keep_alive: Option<Duration>,
        now: Now,
    ) {
        connection.has_carried_answer = true;
        self.release(upstream, connection, keep_alive, now);
    }

    fn idle_count(&self) -> usize {
        let upstreams = self.upstreams.borrow();
        upstreams.values().map(|known| known.idle_count()).sum()
    }

    /// Learns from a request that got no answer over a connection, which had rested for `rest` when
    /// the request was written.
    pub fn record_lost_request(
        &self,
        upstream: &Upstream,
        connection: &Connection,
        rest: Duration,
        loss: RequestLoss,
        now: Now,
    ) {
        let known = self.connections_to(upstream);
        match loss {
            RequestLoss::Unsent => known.record_end(connection, now),
            // A connection that broke later had been accepted.
            RequestLoss::Broken(since) if since > known.settle_time(now) => {}
            RequestLoss::Broken(_) | RequestLoss::NoAnswer => {
                known.record_lost_request(connection, rest, now);
            }
        }
    }

    /// Returns whether an upstream accepts connections now, and records the result.
    ///
    /// A second connection is opened after a short delay, so that one lost packet does not make an
    /// upstream look dead.
    pub async fn probe(&self, upstream: &Upstream) -> bool {
        let now = Now::read();
        let second = async {
            tokio::time::sleep(SECOND_PROBE_DELAY).await;
            self.open(upstream).await
        };
        let attempts: [LocalBoxFuture<'_, _>; 2] =
            [Box::pin(self.open(upstream)), Box::pin(second)];
        match select_ok(attempts).await {
            Ok((connection, _)) => {
                upstream.record_connect_success();
                self.release(upstream, connection, None, now);
                true
            }
            Err(err) => {
                log::debug!("probe could not connect to the upstream: {err}");
                upstream.record_connect_failure(Now::read());
                false
            }
        }
    }

    /// Closes connections that have been idle for too long, and forgets upstreams without any.
    pub fn close_stale(&self, now: Now) {
        let mut upstreams = self.upstreams.borrow_mut();
        for known in upstreams.values() {
            known.close_expired(now);
        }
        upstreams.retain(|_, known| !known.is_unused(now));
    }
}

fn set_receive_buffer(stream: &TcpStream, address: SocketAddr) {
    let socket = socket2::SockRef::from(stream);
    if let Err(err) = socket.set_recv_buffer_size(UPSTREAM_SOCKET_BYTES) {
        log::debug!("cannot bound the receive buffer of the connection to {address}: {err}");
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
