//! By which way this box reaches the upstreams of a service: directly, or through another box where
//! none of them accepts its own connections. See `docs/design/lost-upstreams.md`.

use super::connect::ConnectionPool;
use super::connection::{Connection, ConnectionOrigin, dial};
use super::reachability::{LossEvidence, ReachChange};
use super::upstream::Upstream;
use super::upstream_stream::{ConnectionPath, UpstreamStream};
use crate::clock::Now;
use crate::gateway::peers::tunnel_client::{PeerFailure, TunnelError, TunnelTarget, Tunnels};
use crate::gateway::peers::tunnel_stream::TunnelStream;
use futures::future::{LocalBoxFuture, select_ok};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Delay before a probe opens a second connection: several round trips.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(50);

/// Why no connection was opened.
#[derive(Debug)]
pub enum ConnectError {
    /// The upstream accepted none.
    Upstream(io::Error),
    /// This box reaches neither the upstream nor a box that does, so that the upstream may be well.
    NoPath(String),
    /// The box that would have to help takes no further connections for others.
    PeerBusy,
    /// It took long while this box was late by itself, which shows nothing of the upstream.
    BoxLate,
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Upstream(err) => err.fmt(f),
            Self::NoPath(reason) => f.write_str(reason),
            Self::PeerBusy => f.write_str("no other box has room for a tunnel"),
            Self::BoxLate => f.write_str("not opened in time by this box, which is late itself"),
        }
    }
}

impl ConnectError {
    /// Holds the failure against the upstream, unless it is this box's own.
    pub fn record(&self, upstream: &Upstream, now: Now) {
        match self {
            Self::Upstream(_) => upstream.record_connect_failure(now),
            Self::NoPath(_) | Self::PeerBusy | Self::BoxLate => {}
        }
    }
}

/// Why this box itself did not open a connection to an upstream.
#[derive(Debug)]
pub enum DialError {
    /// The upstream did not accept it.
    Upstream(io::Error),
    /// It took long while this box was late by itself, which shows nothing of the upstream.
    BoxLate,
}

impl From<DialError> for ConnectError {
    fn from(err: DialError) -> Self {
        match err {
            DialError::Upstream(err) => Self::Upstream(err),
            DialError::BoxLate => Self::BoxLate,
        }
    }
}

impl From<TunnelError> for ConnectError {
    fn from(err: TunnelError) -> Self {
        let text = err.to_string();
        match err {
            TunnelError::Refused => {
                Self::Upstream(io::Error::new(io::ErrorKind::ConnectionRefused, text))
            }
            TunnelError::Unanswered => {
                Self::Upstream(io::Error::new(io::ErrorKind::TimedOut, text))
            }
            TunnelError::NoPeer(Some(PeerFailure::Rejected)) => Self::PeerBusy,
            TunnelError::NotListed | TunnelError::NoPeer(_) => Self::NoPath(text),
        }
    }
}

/// By which way a probe connects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeWay {
    /// As new connections for requests do.
    AsRequests,
    /// From this box.
    Direct,
    /// Through another box.
    Through(SocketAddr),
}

impl ProbeWay {
    /// Returns the way of a connection.
    pub fn of(path: &ConnectionPath) -> Self {
        path.peer().map_or(Self::Direct, Self::Through)
    }
}

/// Why a service is out of reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutOfReach {
    /// No other box could be asked. Its callers may fare better elsewhere.
    ThisBox,
    /// Other boxes said that they do not reach it either.
    AllBoxes,
}

impl ConnectionPool {
    /// Connects to an upstream: directly, or through another box if this one reaches no upstream of
    /// the service.
    pub(super) async fn connect(
        &self,
        upstream: &Rc<Upstream>,
    ) -> Result<UpstreamStream, ConnectError> {
        let service = upstream.with_listed(|listed| listed.service.clone());
        if !self.uses_tunnels(&service, Now::read()) {
            match self.connect_directly(upstream).await {
                Ok(stream) => return Ok(UpstreamStream::Direct(stream)),
                Err(DialError::BoxLate) => return Err(ConnectError::BoxLate),
                Err(DialError::Upstream(err)) if !self.is_lost(&service, Now::read()) => {
                    return Err(ConnectError::Upstream(err));
                }
                Err(DialError::Upstream(err)) if !self.uses_tunnels(&service, Now::read()) => {
                    return Err(ConnectError::NoPath(err.to_string()));
                }
                // This failure showed that the others are this box's own fault as well.
                Err(_) => {}
            }
        }
        let target = TunnelTarget {
            upstream: upstream.short_hash(),
            service: &service,
        };
        let opened = self.tunnels.open(target, Now::read()).await;
        self.count_tunnel(&opened);
        Ok(UpstreamStream::Tunnel(opened?))
    }

    /// Connects to an upstream directly, which shows whether this box reaches the service.
    pub async fn connect_directly(&self, upstream: &Rc<Upstream>) -> Result<TcpStream, DialError> {
        let (address, hall) = upstream.with_listed(|listed| (listed.address, listed.hall.clone()));
        let began = Now::read().monotonic;
        let dialed = dial(address, &hall, &self.saturation).await;
        let now = Now::read();
        if let Err(err) = &dialed
            && err.kind() == io::ErrorKind::TimedOut
            && self.saturation.was_late_since(began, now)
        {
            return Err(DialError::BoxLate);
        }
        self.record_reach(upstream, dialed.as_ref().err(), now);
        dialed.map_err(DialError::Upstream)
    }

    /// Connects to an upstream through one box.
    async fn connect_through(
        &self,
        peer: SocketAddr,
        upstream: &Rc<Upstream>,
    ) -> Result<UpstreamStream, ConnectError> {
        let service = upstream.with_listed(|listed| listed.service.clone());
        let target = TunnelTarget {
            upstream: upstream.short_hash(),
            service: &service,
        };
        let opened = self.tunnels.open_through(peer, target).await;
        Ok(UpstreamStream::Tunnel(opened?))
    }

    fn count_tunnel(&self, opened: &Result<TunnelStream, TunnelError>) {
        let outcome = opened.as_ref().map_or_else(TunnelError::name, |_| "open");
        self.telemetry.count_tunnel("used", outcome);
    }

    /// Returns the tunnels through other boxes.
    pub fn tunnels(&self) -> &Tunnels {
        &self.tunnels
    }

    /// Returns whether no upstream of a service accepts connections from this box.
    pub fn is_lost(&self, service: &str, now: Now) -> bool {
        self.reach.borrow().is_lost(service, now)
    }

    /// Returns whether that has been so for a while; see [`Reachability::is_lost_for_certain`].
    ///
    /// [`Reachability::is_lost_for_certain`]: super::reachability::Reachability::is_lost_for_certain
    pub fn is_lost_for_certain(&self, service: &str, now: Now) -> bool {
        self.reach.borrow().is_lost_for_certain(service, now)
    }

    /// Returns the services that are lost.
    pub fn lost_services(&self, now: Now) -> Vec<String> {
        self.reach.borrow().lost_services(now)
    }

    /// Returns whether a connection to a service is idle, which may be open although no new one can
    /// be opened.
    pub fn has_idle(&self, service: &str) -> bool {
        let upstreams = self.upstreams.borrow();
        let mut of_service = upstreams
            .values()
            .filter(|known| known.service() == service);
        of_service.any(|known| known.idle_count() > 0)
    }

    /// Returns whether no connection to an upstream could be opened lately.
    pub fn has_failed_lately(&self, upstream: &Upstream, now: Now) -> bool {
        self.reach.borrow().has_failed_lately(upstream, now)
    }

    /// Returns whether new connections to a service lead through other boxes.
    fn uses_tunnels(&self, service: &str, now: Now) -> bool {
        self.is_lost(service, now) && self.tunnels.has_usable_peer(service, now)
    }

    /// Returns why neither this box nor another one can connect to a service; `None` if one may.
    pub fn out_of_reach(&self, service: &str, now: Now) -> Option<OutOfReach> {
        if !self.is_lost_for_certain(service, now) || self.tunnels.has_usable_peer(service, now) {
            return None;
        }
        Some(match self.tunnels.last_failure(service, now)? {
            PeerFailure::Lost => OutOfReach::AllBoxes,
            PeerFailure::Rejected | PeerFailure::Unreachable => OutOfReach::ThisBox,
        })
    }

    /// Returns whether a connection leads through another box although this one reaches the service
    /// again.
    pub(super) fn is_needless_tunnel(
        &self,
        upstream: &Upstream,
        connection: &Connection,
        now: Now,
    ) -> bool {
        let is_lost = || upstream.with_listed(|listed| self.is_lost(&listed.service, now));
        connection.path().peer().is_some() && !is_lost()
    }

    /// Returns whether an upstream accepts connections now, and records the result.
    ///
    /// A second connection is opened after a short delay, so that one lost packet does not make an
    /// upstream look dead.
    pub async fn probe(&self, upstream: &Rc<Upstream>, way: ProbeWay) -> bool {
        let now = Now::read();
        let second = async {
            tokio::time::sleep(SECOND_PROBE_DELAY).await;
            self.open_by(upstream, way).await
        };
        let attempts: [LocalBoxFuture<'_, _>; 2] =
            [Box::pin(self.open_by(upstream, way)), Box::pin(second)];
        match select_ok(attempts).await {
            Ok((connection, _)) => {
                upstream.record_connect_success();
                self.release(upstream, connection, None, now);
                true
            }
            // The box answers, so that the way is not lost; nothing is known of the upstream.
            Err(ConnectError::PeerBusy) => matches!(way, ProbeWay::Through(_)),
            // Nothing speaks against the upstream.
            Err(ConnectError::BoxLate) => true,
            Err(err) => {
                log::debug!("probe could not connect to the upstream: {err}");
                err.record(upstream, Now::read());
                false
            }
        }
    }

    /// Opens a connection by a way.
    pub async fn open_by(
        &self,
        upstream: &Rc<Upstream>,
        way: ProbeWay,
    ) -> Result<Connection, ConnectError> {
        let service = || upstream.with_listed(|listed| listed.service.clone());
        let connecting = async {
            match way {
                ProbeWay::AsRequests => self.connect(upstream).await,
                ProbeWay::Through(peer) => self.connect_through(peer, upstream).await,
                ProbeWay::Direct => match self.connect_directly(upstream).await {
                    Ok(stream) => Ok(UpstreamStream::Direct(stream)),
                    Err(DialError::Upstream(err)) if self.is_lost(&service(), Now::read()) => {
                        Err(ConnectError::NoPath(err.to_string()))
                    }
                    Err(err) => Err(err.into()),
                },
            }
        };
        self.open_over(upstream, ConnectionOrigin::New, false, connecting)
            .await
    }

    /// Learns from a connection that was opened, or could not be, whether this box reaches the
    /// upstream's service.
    fn record_reach(&self, upstream: &Rc<Upstream>, err: Option<&io::Error>, now: Now) {
        let mut reach = self.reach.borrow_mut();
        let change = match err {
            None => reach.record_success(upstream, now),
            Some(err) => reach.record_failure(upstream, err, now),
        };
        drop(reach);
        let Some(change) = change else {
            return;
        };
        let service = upstream.with_listed(|listed| listed.service.clone());
        self.telemetry.record_reach_change(&service, &change);
        match change {
            ReachChange::Lost(evidence) => self.withdraw_blame(&service, &evidence),
            ReachChange::Regained(_) => self.close_idle(&service, |path| path.peer().is_some()),
        }
    }

    /// Takes back what was held against upstreams for this box's own fault.
    fn withdraw_blame(&self, service: &str, evidence: &LossEvidence) {
        for upstream in &evidence.failed {
            upstream.withdraw_failures();
        }
        // Without a refusal, open connections have fallen silent as well.
        if evidence.refused == 0 {
            self.close_idle(service, |path| path.peer().is_none());
        }
        let upstreams = self.upstreams.borrow();
        let of_service = upstreams
            .values()
            .filter(|known| known.service() == service);
        of_service.for_each(|known| known.forget_ends());
    }

    /// Closes the idle connections to a service that lead by some way.
    fn close_idle(&self, service: &str, is_meant: impl Fn(&ConnectionPath) -> bool) {
        let upstreams = self.upstreams.borrow();
        let of_service = upstreams
            .values()
            .filter(|known| known.service() == service);
        of_service.for_each(|known| known.close_idle_by_path(&is_meant));
    }

    /// Sets how many upstreams of a service requests may be sent to.
    pub fn set_listed(&self, service: &str, listed: usize) {
        self.reach.borrow_mut().set_listed(service, listed);
    }

    /// Forgets what failed connections showed long ago.
    pub fn expire_reach(&self, now: Now) {
        self.reach.borrow_mut().expire(now);
    }
}
