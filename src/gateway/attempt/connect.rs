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
use crate::clock::Now;
use crate::gateway::control::store::UpstreamLife;
use crate::gateway::telemetry::Telemetry;
use futures::future::{LocalBoxFuture, select_ok};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Delay before a probe opens a second connection: several round trips.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(50);
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
    upstreams: RefCell<HashMap<UpstreamLife, Rc<UpstreamConnections>>>,
    rest_times: RestTimesByService,
    fleet: Cell<Fleet>,
    /// Which services this box's own connections reach.
    reach: RefCell<Reachability>,
    metrics: ConnectionMetrics,
    telemetry: Rc<Telemetry>,
    /// Whether the buffers of new connections are bounded.
    bounds_buffers: Cell<bool>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(telemetry: Rc<Telemetry>) -> Self {
        Self {
            upstreams: RefCell::default(),
            rest_times: RestTimesByService::default(),
            fleet: Cell::default(),
            reach: RefCell::default(),
            metrics: telemetry.connection_metrics(),
            telemetry,
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

    /// Returns the connections to an upstream.
    pub fn connections_to(&self, upstream: &Upstream) -> Rc<UpstreamConnections> {
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

    /// Opens a new connection.
    pub async fn open(&self, upstream: &Rc<Upstream>) -> io::Result<Connection> {
        self.open_as(upstream, ConnectionOrigin::New, false).await
    }

    /// Opens a new connection for a purpose.
    pub async fn open_as(
        &self,
        upstream: &Rc<Upstream>,
        origin: ConnectionOrigin,
        is_controlled: bool,
    ) -> io::Result<Connection> {
        let known = self.connections_to(upstream);
        // Counted before the first packet is sent, so that requests that arrive together do not
        // exceed the share.
        let open = OpenGuard::new(known.open_count());
        let opening = Opening {
            origin,
            is_controlled,
            asks_kernel: known.is_controlled(),
            bounds_buffers: self.bounds_buffers.get(),
        };
        let address = upstream.with_listed(|listed| listed.address);
        let opened = Connection::open(address, opening, open).await;
        self.record_reach(upstream, opened.as_ref().err(), Now::read());
        let (connection, took) = opened?;
        known.record_connect(took);
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
        if connection.has_ended() {
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

    /// Returns whether an upstream accepts connections now, and records the result.
    ///
    /// A second connection is opened after a short delay, so that one lost packet does not make an
    /// upstream look dead.
    pub async fn probe(&self, upstream: &Rc<Upstream>) -> bool {
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

    /// Learns from a connection that was opened, or could not be, whether this box reaches the
    /// upstream's service.
    fn record_reach(&self, upstream: &Rc<Upstream>, err: Option<&io::Error>, now: Now) {
        let mut reach = self.reach.borrow_mut();
        let change = match err {
            None => reach.record_success(upstream, now),
            Some(err) => reach.record_failure(upstream, err, now),
        };
        if let Some(change) = change {
            let service = upstream.with_listed(|listed| listed.service.clone());
            self.telemetry.record_reach_change(&service, &change);
        }
    }

    /// Sets how many upstreams of a service requests may be sent to.
    pub fn set_listed(&self, service: &str, listed: usize) {
        self.reach.borrow_mut().set_listed(service, listed);
    }

    /// Forgets what failed connections showed long ago.
    pub fn expire_reach(&self, now: Now) {
        self.reach.borrow_mut().expire(now);
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
