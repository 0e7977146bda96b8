//! Which connection a request gets: an idle one that its kind may use, or a new one.
//!
//! A request that may not be repeated gets only a connection that is known to be accepted and open,
//! and a time by which it has to be written. See `docs/design/connections.md`.

use super::answer_ownership::Awaiting;
use super::connect::ConnectionPool;
use super::connection::{Connection, ConnectionOrigin, UpstreamKind};
use super::connection_proof::{HealthCheck, Proof, prove_open};
use super::headers::HeaderNames;
use super::upstream::Upstream;
use super::upstream_connections::{ConnectionEvent, UpstreamConnections};
use super::upstream_paths::ConnectError;
use crate::clock::Now;
use std::fmt;
use std::num::NonZeroU32;
use std::rc::Rc;
use std::time::Duration;

/// How many connections a request that may not be repeated waits for, one after the other, while
/// the box is too busy to use them in time.
const MAX_CONFIRMATIONS: usize = 3;

/// What a request may use as its connection.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
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
    /// How upstreams of the service are asked for their health; `None` if they have no path for it.
    pub health_check: Option<HealthCheck>,
}

/// Why there is no connection for a request, so that no byte of it was written.
#[derive(Debug)]
pub enum NoConnection {
    /// No connection could be opened.
    Unreachable(ConnectError),
    /// The box's share of the upstream's connection limit is in use.
    ShareInUse,
    /// The upstream ended the connection right after accepting it, as it does with connections for
    /// which it has no room.
    ResetBeforeUse,
    /// The upstream has just done so with another one.
    JustReset,
    /// The box was too busy to use a connection while it was known to be open.
    Unconfirmed,
    /// The upstream did not state its health over a new connection in time.
    Unproven,
    /// The time for the request's answer ended before.
    TooLate,
}

impl NoConnection {
    /// Returns whether a health check may have reached the upstream and wait for a slot there.
    pub fn may_leave_health_check(&self) -> bool {
        match self {
            Self::Unconfirmed | Self::Unproven | Self::TooLate => true,
            Self::Unreachable(_) | Self::ShareInUse | Self::ResetBeforeUse | Self::JustReset => {
                false
            }
        }
    }
}

impl fmt::Display for NoConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(err) => err.fmt(f),
            Self::ShareInUse => f.write_str("this box's share of the connection limit is in use"),
            Self::Unconfirmed => f.write_str("no connection was confirmed in time"),
            Self::Unproven => f.write_str("the upstream did not state its health in time"),
            Self::JustReset => f.write_str("the upstream has just reset a new connection"),
            Self::TooLate => f.write_str("no connection was opened in time"),
            Self::ResetBeforeUse => f.write_str("the connection was reset before it was used"),
        }
    }
}

/// What became of a connection that a request was to use.
enum Confirmation {
    /// The request may be written until this time on the monotonic clock.
    Usable(Duration),
    /// An idle one had ended or cannot be proven; nothing was lost but a moment.
    KeptEnded,
    /// The box was too busy to use it in time, or no proof of an idle one came.
    TooLate,
}

impl ConnectionPool {
    /// Returns a connection for a request: a suitable idle one, or a new one.
    pub async fn acquire(
        &self,
        upstream: &Rc<Upstream>,
        rules: &ConnectionRules,
        request: Awaiting<'_>,
        names: &HeaderNames,
    ) -> Result<Connection, NoConnection> {
        let known = self.connections_to(upstream);
        known.set_rules(rules);
        let acquired = match (rules.is_controlled, rules.is_repeatable) {
            (true, true) => self.acquire_repeatable(upstream, &known, request).await,
            (true, false) => {
                self.acquire_single_run(upstream, &known, rules, request, names)
                    .await
            }
            (false, true) => self.acquire_uncontrolled(upstream, &known, request).await,
            (false, false) => self.open_uncontrolled(upstream).await,
        };
        if acquired.as_ref().is_ok_and(Connection::is_reused) {
            known.count(ConnectionEvent::Reused);
        }
        acquired
    }

    async fn acquire_uncontrolled(
        &self,
        upstream: &Rc<Upstream>,
        known: &UpstreamConnections,
        request: Awaiting<'_>,
    ) -> Result<Connection, NoConnection> {
        match known.take_newest(request, Now::read()) {
            Some(connection) => Ok(connection),
            None => self.open_uncontrolled(upstream).await,
        }
    }

    async fn open_uncontrolled(&self, upstream: &Rc<Upstream>) -> Result<Connection, NoConnection> {
        let opened = self.open_as(upstream, ConnectionOrigin::New, false).await;
        opened.map_err(NoConnection::Unreachable)
    }

    async fn acquire_repeatable(
        &self,
        upstream: &Rc<Upstream>,
        known: &UpstreamConnections,
        request: Awaiting<'_>,
    ) -> Result<Connection, NoConnection> {
        let now = Now::read();
        while let Some(connection) = known.take_for_repeatable(request, now) {
            if connection.is_quiet() {
                return Ok(connection);
            }
            known.record_end(&connection, now);
        }
        self.open_within_limit(upstream, known, now).await
    }

    async fn acquire_single_run(
        &self,
        upstream: &Rc<Upstream>,
        known: &UpstreamConnections,
        rules: &ConnectionRules,
        request: Awaiting<'_>,
        names: &HeaderNames,
    ) -> Result<Connection, NoConnection> {
        known.record_single_run(Now::read());
        let mut confirmations = 0;
        while confirmations < MAX_CONFIRMATIONS {
            let now = Now::read();
            // A health check waits for a slot like a request, and would come too late. This request
            // is among those that are counted.
            let has_free_slot = upstream.slot_utilization(now) <= 1.0;
            let check = rules.health_check.as_ref().filter(|_| has_free_slot);
            // At its limit, the upstream may still count a connection that was closed for another,
            // so that a rested one is proven instead. If that takes too long, the upstream may have
            // forgotten them all.
            let share = known.share(upstream, self.fleet(), now);
            let may_prove = check.is_some() && confirmations == 0;
            let taken = match known.take_for_single_run(request, now) {
                None if may_prove && (!known.has_room(share) || known.is_in_doubt(now)) => {
                    let check = Awaiting::HealthCheck(&upstream.incarnation().instance);
                    known.take_rested(request, check, now)
                }
                taken => taken,
            };
            let mut connection = match taken {
                Some(connection) => connection,
                None => self.open_within_limit(upstream, known, now).await?,
            };
            let confirmation = match check {
                Some(check) if known.needs_proof(&connection, Now::read()) => {
                    prove(&mut connection, upstream, known, check, names).await?
                }
                _ => settle(&mut connection, known).await?,
            };
            match confirmation {
                Confirmation::Usable(write_by) => {
                    connection.require_write_by(write_by);
                    return Ok(connection);
                }
                // Each takes one from the idle connections, which are few.
                Confirmation::KeptEnded => {}
                Confirmation::TooLate => confirmations += 1,
            }
        }
        Err(NoConnection::Unconfirmed)
    }

    async fn open_within_limit(
        &self,
        upstream: &Rc<Upstream>,
        known: &UpstreamConnections,
        now: Now,
    ) -> Result<Connection, NoConnection> {
        let share = known.share(upstream, self.fleet(), now);
        if !known.accepts_for_request(now) {
            return Err(NoConnection::JustReset);
        }
        if !known.make_room(share) {
            return Err(NoConnection::ShareInUse);
        }
        let opened = self.open_as(upstream, ConnectionOrigin::New, true).await;
        opened.map_err(NoConnection::Unreachable)
    }
}

/// Waits until a connection has settled.
async fn settle(
    connection: &mut Connection,
    known: &UpstreamConnections,
) -> Result<Confirmation, NoConnection> {
    let wait = known.settle_time_left(connection, Now::read());
    let survived = !connection.has_ended() && connection.survives(wait).await;
    let now = Now::read();
    if !survived || !connection.is_quiet() {
        known.record_end(connection, now);
        return match connection.has_carried_answer() {
            true => Ok(Confirmation::KeptEnded),
            false => Err(NoConnection::ResetBeforeUse),
        };
    }
    // The wait may have ended late.
    Ok(match known.is_confirmed(connection, now) {
        true => Confirmation::Usable(known.usable_until(connection, now)),
        false => Confirmation::TooLate,
    })
}

/// Lets the upstream state its health over a connection.
async fn prove(
    connection: &mut Connection,
    upstream: &Upstream,
    known: &UpstreamConnections,
    check: &HealthCheck,
    names: &HeaderNames,
) -> Result<Confirmation, NoConnection> {
    let was_kept = connection.has_carried_answer();
    if !connection.allows(Awaiting::HealthCheck(&upstream.incarnation().instance)) {
        return Ok(Confirmation::KeptEnded);
    }
    let rest = connection.rest(Now::read());
    let proof = prove_open(connection, upstream, check, names).await;
    let now = Now::read();
    match proof {
        Proof::Open => {
            known.count(ConnectionEvent::Proven);
            Ok(Confirmation::Usable(known.usable_until(connection, now)))
        }
        Proof::Ended if was_kept => {
            known.record_lost_request(connection, rest, now);
            Ok(Confirmation::KeptEnded)
        }
        Proof::Ended => {
            known.record_reset_under_proof(now);
            Err(NoConnection::ResetBeforeUse)
        }
        Proof::Unusable => {
            known.count(ConnectionEvent::Unproven);
            Err(NoConnection::Unproven)
        }
        Proof::Late | Proof::NotOwn => {
            known.count(ConnectionEvent::Unproven);
            match was_kept {
                // The upstream may have forgotten it, and a surplus answer says nothing of others.
                true => Ok(Confirmation::TooLate),
                false => Err(NoConnection::Unproven),
            }
        }
    }
}
