//! HTTP server for callers: accepts connections, tracks them and drains them on graceful shutdown.
//!
//! A stopping server must not cut any request, so it has to know of every connection from the
//! moment that it is accepted. Connections are therefore tracked here, and not by the code that
//! serves them. See `docs/design/stopping.md`.

pub mod accept;
pub mod connection_close;
pub mod delivery;
pub mod gated_stream;
pub mod h2;
pub mod handover;
pub mod load_shedding;
pub mod open_connections;
pub mod reclaimable_stream;
pub mod request_gate;
pub mod status;

use crate::error::{Error, Result};
use accept::{AcceptedConnection, ListenerRelease, accept_until_stopped};
use actix_http::Response;
use connection_close::add_close_header;
use std::net::TcpListener;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

/// How long a draining server keeps idle connections open. Callers that send requests at least this
/// often receive `Connection: close` in a response and never find their connection closed.
const IDLE_GRACE: Duration = Duration::from_secs(10);

/// HTTP server in one of its stages: [`Accepting`], [`ShutdownAnnounced`] or [`Draining`].
#[derive(Debug)]
pub struct HttpServer<S> {
    connections: Connections,
    stage: S,
}

/// The server accepts connections.
#[derive(Debug)]
pub struct Accepting {
    task: JoinHandle<()>,
    stop: oneshot::Sender<ListenerRelease>,
}

/// The server still accepts connections, and each response instructs the caller to close its own.
#[derive(Debug)]
pub struct ShutdownAnnounced(Accepting);

/// The server accepts no more connections and finishes the open ones.
#[derive(Debug)]
pub struct Draining;

/// Open connections of a server, and the shutdown signals that they receive.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    open: TaskTracker,
    shutdown_announced: CancellationToken,
    closing: CancellationToken,
}

impl Connections {
    /// Counts a connection as open until the token is dropped.
    pub fn track(&self) -> TaskTrackerToken {
        self.open.token()
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Adds `Connection: close` to a response if the shutdown has been announced, and returns
    /// whether it did.
    pub fn add_close_header_if_stopping<B>(&self, response: &mut Response<B>) -> bool {
        let is_stopping = self.shutdown_announced.is_cancelled();
        if is_stopping {
            add_close_header(response);
        }
        is_stopping
    }

    /// Returns the token that is cancelled when the shutdown is announced.
    pub fn shutdown_token(&self) -> CancellationToken {
        self.shutdown_announced.clone()
    }

    /// Waits until the shutdown is announced, from when on responses instruct callers to close
    /// their connections.
    pub async fn shutdown_announced(&self) {
        self.shutdown_announced.cancelled().await;
    }

    /// Returns whether connections are closed as soon as they are idle.
    pub fn is_closing(&self) -> bool {
        self.closing.is_cancelled()
    }

    /// Waits until connections are to be closed as soon as they are idle.
    pub fn closing(&self) -> impl Future<Output = ()> + use<> {
        self.closing.clone().cancelled_owned()
    }
}

impl HttpServer<Accepting> {
    /// Accepts connections in a background task and passes each to `on_accept`.
    pub fn start(
        listener: TcpListener,
        connections: Connections,
        on_accept: impl FnMut(AcceptedConnection) + 'static,
    ) -> Result<Self> {
        let listener = tokio::net::TcpListener::from_std(listener)
            .map_err(|err| Error::Unreachable(format!("cannot serve callers: {err}")))?;
        let (stop, stop_receiver) = oneshot::channel();
        let accepting =
            accept_until_stopped(listener, stop_receiver, connections.clone(), on_accept);
        let task = actix_rt::spawn(accepting);
        Ok(Self {
            connections,
            stage: Accepting { task, stop },
        })
    }

    /// Instructs callers from now on to close their connections.
    pub fn announce_shutdown(self) -> HttpServer<ShutdownAnnounced> {
        self.connections.shutdown_announced.cancel();
        HttpServer {
            connections: self.connections,
            stage: ShutdownAnnounced(self.stage),
        }
    }
}

impl HttpServer<ShutdownAnnounced> {
    /// Closes a listening socket that no other process holds, after accepting the connections that
    /// are queued on it.
    pub async fn stop_accepting(self) -> HttpServer<Draining> {
        self.release_listener(ListenerRelease::Alone).await
    }

    /// Stops accepting and closes the listening socket, depending on which other processes may hold
    /// it.
    pub async fn release_listener(self, release: ListenerRelease) -> HttpServer<Draining> {
        let ShutdownAnnounced(Accepting { task, stop }) = self.stage;
        if stop.send(release).is_err() {
            log::error!("invariant: the accept task ended before the server was stopped");
        }
        if let Err(err) = task.await {
            log::error!("the accept task failed, connections in the accept queue are lost: {err}");
        }
        HttpServer {
            connections: self.connections,
            stage: Draining,
        }
    }
}

impl HttpServer<Draining> {
    /// Waits until all connections are closed, and returns how many are still open after `limit`.
    ///
    /// Idle connections stay open for a while first, since a request may be in transit.
    pub async fn finish(self, limit: Duration) -> usize {
        let Connections { open, closing, .. } = &self.connections;
        let idle_grace = IDLE_GRACE.min(limit / 2);
        if wait_until_ended(open, idle_grace).await == 0 {
            return 0;
        }
        closing.cancel();
        wait_until_ended(open, limit - idle_grace).await
    }
}

/// Waits until everything tracked has ended, and returns how much is left after `limit`.
pub async fn wait_until_ended(tracker: &TaskTracker, limit: Duration) -> usize {
    tracker.close();
    match timeout(limit, tracker.wait()).await {
        Ok(()) => 0,
        Err(_elapsed) => tracker.len(),
    }
}
