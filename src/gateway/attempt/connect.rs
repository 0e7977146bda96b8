//! Connections to upstreams, with access to the state of each.
//!
//! The client in `crate::http_client` hides its connections, but the rules here depend on a single
//! connection: whether a byte was written, whether the answer was complete, and whether data
//! followed it. This module therefore uses `hyper`'s connection-level client. See
//! `docs/design/platform.md`.

use super::upstream::Upstream;
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
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
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

/// One open connection to an upstream.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    idle_since: Duration,
    reused: bool,
}

impl Connection {
    /// Returns whether an earlier request was sent over this connection.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        req: http1_types::Request<Full<Bytes>>,
    ) -> hyper::Result<http1_types::Response<hyper::body::Incoming>> {
        self.sender.send_request(req).await
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

/// The idle connections of a box. They are keyed by the upstream's incarnation, never by address
/// alone: an address may be taken over by another service, and an upstream may restart.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<UpstreamLife, Vec<Connection>>>,
    /// Whether the buffers of new connections are bounded.
    bounds_buffers: Cell<bool>,
}

impl ConnectionPool {
    /// Sets whether the buffers of new connections are bounded.
    pub fn set_bounds_buffers(&self, bounds_buffers: bool) {
        self.bounds_buffers.set(bounds_buffers);
    }

    /// Takes a connection that has been idle only briefly, if there is one.
    pub fn take_idle(&self, incarnation: &UpstreamLife, now: Now) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(incarnation)?;
        while let Some(mut connection) = connections.pop() {
            let idle_time = now.monotonic.saturating_sub(connection.idle_since);
            if idle_time < IDLE_LIFETIME && connection.sender.is_ready() {
                connection.reused = true;
                return Some(connection);
            }
        }
        None
    }

    /// Opens a new connection.
    pub async fn open(&self, upstream: &Upstream, now: Now) -> io::Result<Connection> {
        let address = upstream.with_listed(|listed| listed.address);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
        set_socket_options(&stream, address);
        let mut builder = http1::Builder::new();
        if self.bounds_buffers.get() {
            set_receive_buffer(&stream, address);
            builder.max_buf_size(UPSTREAM_BUFFER_BYTES);
        }
        let (sender, connection) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = actix_rt::spawn(async move {
            if let Err(err) = connection.await {
                log::trace!("connection to {address} ended: {err}");
            }
        });
        Ok(Connection {
            sender,
            driver,
            idle_since: now.monotonic,
            reused: false,
        })
    }

    /// Returns a connection to the pool after a complete answer.
    pub fn release(&self, incarnation: &UpstreamLife, mut connection: Connection, now: Now) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = now.monotonic;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(incarnation.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(connection);
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
            self.open(upstream, now).await
        };
        let attempts: [LocalBoxFuture<'_, _>; 2] =
            [Box::pin(self.open(upstream, now)), Box::pin(second)];
        match select_ok(attempts).await {
            Ok((connection, _)) => {
                upstream.record_connect_success();
                self.release(upstream.incarnation(), connection, now);
                true
            }
            Err(err) => {
                log::debug!("probe could not connect to the upstream: {err}");
                upstream.record_connect_failure(Now::read());
                false
            }
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_stale(&self, now: Now) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| {
                now.monotonic.saturating_sub(connection.idle_since) < IDLE_LIFETIME
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
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
