//! The connections of a box to upstreams.
//!
//! The client in `crate::http_client` hides its connections, but the rules here depend on a single
//! connection: whether a byte was written, whether the answer was complete, and whether data
//! followed it. This module therefore uses `hyper`'s connection-level client. See
//! `docs/design/platform.md`, and for the rules under load control `docs/design/connections.md`.

use super::connection::{
    Connection, ConnectionOrigin, OpenGuard, Opening, RequestLoss, UpstreamKind,
};
use super::connection_limit::Fleet;
use super::reachability::Reachability;
use super::upstream::Upstream;
use super::upstream_connections::{
    ConnectionEvent, ConnectionMetrics, RestTimesByService, UpstreamConnections,
};
use super::upstream_paths::ConnectError;
use super::upstream_stream::UpstreamStream;
use crate::clock::Now;
use crate::gateway::control::store::UpstreamLife;
use crate::gateway::peers::tunnel_client::Tunnels;
use crate::gateway::telemetry::Telemetry;
use crate::saturation::Saturation;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of idle connections kept for one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 4;
/// The same under load control, where they are kept within the box's share of the limit.
const MAX_CONTROLLED_IDLE_PER_UPSTREAM: usize = 8;
/// Maximum number of idle connections of a box under load control: some megabytes of buffers.
const MAX_CONTROLLED_IDLE: usize = 256;

/// The connections of a box. They are keyed by the upstream's incarnation, never by address
/// alone: an address may be taken over by another service, and an upstream may restart.
#[derive(Debug)]
pub struct ConnectionPool {
    pub(super) upstreams: RefCell<HashMap<UpstreamLife, Rc<UpstreamConnections>>>,
    rest_times: RestTimesByService,
    fleet: Cell<Fleet>,
    /// Which services this box's own connections reach.
    pub(super) reach: RefCell<Reachability>,
    /// The ways through other boxes to services that it does not reach.
    pub(super) tunnels: Tunnels,
    metrics: ConnectionMetrics,
    pub(super) telemetry: Rc<Telemetry>,
    /// This box's own delay, which its connections suffer and show.
    pub(super) saturation: Rc<Saturation>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(telemetry: Rc<Telemetry>, saturation: Rc<Saturation>) -> Self {
        Self {
            upstreams: RefCell::default(),
            rest_times: RestTimesByService::default(),
            fleet: Cell::default(),
            reach: RefCell::default(),
            tunnels: Tunnels::new(saturation.clone()),
            metrics: telemetry.connection_metrics(),
            telemetry,
            saturation,
        }
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

    /// Returns the connections to an upstream.
    pub fn connections_to(&self, upstream: &Upstream) -> Rc<UpstreamConnections> {
        let mut upstreams = self.upstreams.borrow_mut();
        if let Some(known) = upstreams.get(upstream.incarnation()) {
            return known.clone();
        }
        let service = upstream.with_listed(|listed| listed.service.clone());
        let rest_times = self.rest_times.of(&service);
        let metrics = self.metrics.clone();
        let created = Rc::new(UpstreamConnections::new(service, rest_times, metrics));
        upstreams.insert(upstream.incarnation().clone(), created.clone());
        created
    }

    /// Opens a new connection for a purpose, by the way that leads to the upstream now.
    pub async fn open_as(
        &self,
        upstream: &Rc<Upstream>,
        origin: ConnectionOrigin,
        is_controlled: bool,
    ) -> Result<Connection, ConnectError> {
        let opening = self.connect(upstream);
        self.open_over(upstream, origin, is_controlled, opening)
            .await
    }

    /// Opens a new connection over a stream that is being opened.
    pub(super) async fn open_over(
        &self,
        upstream: &Rc<Upstream>,
        origin: ConnectionOrigin,
        is_controlled: bool,
        stream: impl Future<Output = Result<UpstreamStream, ConnectError>>,
    ) -> Result<Connection, ConnectError> {
        let known = self.connections_to(upstream);
        // Counted before the first packet is sent, so that requests that arrive together do not
        // exceed the share.
        let open = OpenGuard::new(known.open_count());
        let opening = Opening {
            origin,
            is_controlled,
            asks_kernel: known.is_controlled(),
        };
        let began = Now::read();
        let stream = stream.await?;
        let now = Now::read();
        let connection = Connection::establish(stream, opening, open, now).await;
        let connection = connection.map_err(ConnectError::Upstream)?;
        known.record_connect(now.monotonic.saturating_sub(began.monotonic));
        known.count(match origin {
            ConnectionOrigin::OpenedAhead => ConnectionEvent::OpenedAhead,
            ConnectionOrigin::New | ConnectionOrigin::Kept => ConnectionEvent::Opened,
        });
        Ok(connection)
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
        let is_useless = connection.has_ended() || connection.is_used_up();
        if is_useless || self.is_needless_tunnel(upstream, &connection, now) {
            return;
        }
        let known = self.connections_to(upstream);
        // A probe passes the time at which it began.
        connection.begin_rest(match known.is_controlled() {
            true => connection.rested_since().max(now.monotonic),
            false => now.monotonic,
        });
        // A box sends to the same engine too rarely for its connections to be worth their memory.
        let is_kept_longer = connection.is_controlled() && known.kind() == UpstreamKind::Plain;
        let max_idle = match is_kept_longer {
            true => {
                known.record_keep_alive(keep_alive);
                connection.set_keep_time(known.keep_time());
                if self.idle_count() >= MAX_CONTROLLED_IDLE {
                    return;
                }
                MAX_CONTROLLED_IDLE_PER_UPSTREAM
            }
            false => MAX_IDLE_PER_UPSTREAM,
        };
        known.put_idle(connection, max_idle);
        let share = known.share(upstream, self.fleet(), now);
        if let Some(share) = share.filter(|_| known.is_controlled()) {
            known.close_idle_beyond(share);
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
        connection.record_answer(now);
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
            RequestLoss::BrokenAfterProof => known.record_loss_after_proof(now),
            // The box ended this connection itself.
            RequestLoss::Late => {}
            // A connection that broke later had been accepted.
            RequestLoss::Broken(since) if since > known.settle_time(now) => {}
            RequestLoss::Broken(_) | RequestLoss::NoAnswer => {
                known.record_lost_request(connection, rest, now);
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
