//! The callers' side of a server: takes connections, counts them and drains them at a stop.
//!
//! A stopping server may cut no request. It can only keep to that if it knows of every
//! connection from the moment it is taken, so connections are counted here and not by whoever
//! serves them. See `docs/design/stopping.md`.

pub mod accept;
pub mod ending;
pub mod h2;
pub mod handover;
pub mod lent_stream;

use crate::error::{Error, Result};
use accept::{Leaving, Taken, accept_until};
use actix_http::{ConnectionType, Response};
use std::net::TcpListener;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

/// How long a server that stops leaves connections open on which nothing is under way. Callers
/// that use theirs at least this often leave by an answer and never meet a closed connection.
const RESTING_PATIENCE: Duration = Duration::from_secs(10);

/// A server of callers in a stage of its life: [`Accepting`], [`Announced`], [`Draining`].
#[derive(Debug)]
pub struct HttpServer<S> {
    connections: Connections,
    stage: S,
}

/// The server takes connections.
#[derive(Debug)]
pub struct Accepting {
    task: JoinHandle<()>,
    stop: oneshot::Sender<Leaving>,
}

/// The server still takes connections, and asks callers to leave with each answer.
#[derive(Debug)]
pub struct Announced(Accepting);

/// The server takes no connection any more and finishes those that it has.
#[derive(Debug)]
pub struct Draining;

/// The open connections of a server, and what they are told of its stop.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    open: TaskTracker,
    announced: CancellationToken,
    closing: CancellationToken,
}

impl Connections {
    /// Counts a connection as open until the token is dropped.
    pub fn count_in(&self) -> TaskTrackerToken {
        self.open.token()
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Asks a caller to leave with this answer, if the server is about to stop, and tells whether
    /// it did.
    pub fn ask_to_leave<B>(&self, response: &mut Response<B>) -> bool {
        let is_announced = self.announced.is_cancelled();
        if is_announced {
            let head = response.head_mut();
            head.set_connection_type(ConnectionType::Close);
        }
        is_announced
    }

    /// Waits for the moment from which callers should leave.
    pub async fn announced(&self) {
        self.announced.cancelled().await;
    }

    /// Tells whether connections end as soon as nothing is under way on them.
    pub fn is_closing(&self) -> bool {
        self.closing.is_cancelled()
    }

    /// Waits for the moment from which a connection ends as soon as nothing is under way on it.
    pub fn closing(&self) -> impl Future<Output = ()> + use<> {
        self.closing.clone().cancelled_owned()
    }
}

impl HttpServer<Accepting> {
    /// Takes connections in the background and hands each to `take`.
    pub fn start(
        listener: TcpListener,
        connections: Connections,
        take: impl FnMut(Taken) + 'static,
    ) -> Result<Self> {
        let listener = tokio::net::TcpListener::from_std(listener)
            .map_err(|err| Error::Unreachable(format!("cannot serve callers: {err}")))?;
        let (stop, stopped) = oneshot::channel();
        let accepting = accept_until(listener, stopped, connections.clone(), take);
        let task = actix_rt::spawn(accepting);
        Ok(Self {
            connections,
            stage: Accepting { task, stop },
        })
    }

    /// Asks callers to leave from now on.
    pub fn announce(self) -> HttpServer<Announced> {
        self.connections.announced.cancel();
        HttpServer {
            connections: self.connections,
            stage: Announced(self.stage),
        }
    }
}

impl HttpServer<Announced> {
    /// Leaves the callers' address, after the connections that wait there have been taken.
    pub async fn stop_accepting(self) -> HttpServer<Draining> {
        self.leave(Leaving::Alone).await
    }

    /// Leaves the callers' socket, in the way that suits who else may have it.
    pub async fn leave(self, leaving: Leaving) -> HttpServer<Draining> {
        let Announced(Accepting { task, stop }) = self.stage;
        if stop.send(leaving).is_err() {
            log::error!("invariant: connections were not taken any more before the stop");
        }
        if let Err(err) = task.await {
            log::error!("connections that waited to be taken are lost: {err}");
        }
        HttpServer {
            connections: self.connections,
            stage: Draining,
        }
    }
}

impl HttpServer<Draining> {
    /// Waits until every connection has ended, and returns how many have not after `limit`.
    ///
    /// A connection that rests is left open for a while first: a request may be on its way.
    pub async fn finish(self, limit: Duration) -> usize {
        let Connections { open, closing, .. } = &self.connections;
        let resting = RESTING_PATIENCE.min(limit / 2);
        if wait_until_ended(open, resting).await == 0 {
            return 0;
        }
        closing.cancel();
        wait_until_ended(open, limit - resting).await
    }
}

/// Waits until all that is counted has ended, and returns how much has not after `limit`.
pub async fn wait_until_ended(counted: &TaskTracker, limit: Duration) -> usize {
    counted.close();
    match timeout(limit, counted.wait()).await {
        Ok(()) => 0,
        Err(_elapsed) => counted.len(),
    }
}
