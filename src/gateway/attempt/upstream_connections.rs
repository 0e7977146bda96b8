//! The idle connections to one upstream, and what was learned from those that ended.

use super::acquire::ConnectionRules;
use super::answer_ownership::Awaiting;
use super::connection::{Connection, ConnectionOrigin, UpstreamKind};
use super::connection_age::{ConnectionState, MAX_SETTLE, RestTimes, SettleTime, usable_rest};
use super::connection_limit::{Demand, Fleet, RequestRate, may_open_for_request, share};
use super::steady_demand::SteadyDemand;
use super::upstream::Upstream;
use super::upstream_stream::ConnectionPath;
use crate::clock::Now;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::num::NonZeroU32;
use std::rc::Rc;
use std::time::Duration;

/// How long no connection is opened ahead after the upstream reset one: it has no room.
const SPARE_PAUSE_AFTER_RESET: Duration = Duration::from_secs(1);
/// How long none is opened for a request: some answers take as long, and make room.
const PAUSE_AFTER_RESET: Duration = Duration::from_millis(40);
/// How long an upstream is in doubt after it reset a new connection or closed an idle one early, so
/// that new ones are given the longest settle time. Some of its callers come back within it.
const DOUBT: Duration = Duration::from_secs(10);
/// Until when a request may be written to a connection, as a multiple of the rest up to which it is
/// chosen; still below the shortest rest at which one was closed.
const WRITE_TIME_FACTOR: u32 = 2;
/// How long what was learned of an upstream is kept without a connection.
const UNUSED_RETENTION: Duration = Duration::from_secs(60);

/// What happens to connections, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// One was opened for a request or a probe.
    Opened,
    /// One was opened before a request needed it.
    OpenedAhead,
    /// A request used one that had carried another.
    Reused,
    /// The upstream ended one before it carried anything.
    ResetBeforeUse,
    /// The upstream stated its health over one.
    Proven,
    /// It did not do so in time.
    Unproven,
}

impl ConnectionEvent {
    fn name(self) -> &'static str {
        match self {
            Self::Opened => "opened",
            Self::OpenedAhead => "opened-ahead",
            Self::Reused => "reused",
            Self::ResetBeforeUse => "reset-before-use",
            Self::Proven => "proven",
            Self::Unproven => "unproven",
        }
    }
}

/// Counts connections by event and kind of upstream.
#[derive(Debug, Clone)]
pub struct ConnectionMetrics(Counter<u64>);

impl ConnectionMetrics {
    /// Uses a counter.
    pub fn new(counter: Counter<u64>) -> Self {
        Self(counter)
    }

    fn count(&self, event: ConnectionEvent, kind: UpstreamKind) {
        let labels = [
            KeyValue::new("event", event.name()),
            KeyValue::new("upstreams", kind.name()),
        ];
        self.0.add(1, &labels);
    }
}

/// The rest times of the upstreams of each service, which run the same software.
#[derive(Debug, Default)]
pub struct RestTimesByService(RefCell<HashMap<String, Rc<Cell<RestTimes>>>>);

impl RestTimesByService {
    /// Returns the rest times of a service.
    pub fn of(&self, service: &str) -> Rc<Cell<RestTimes>> {
        let mut known = self.0.borrow_mut();
        known.entry(service.to_owned()).or_default().clone()
    }
}

/// The connections to one incarnation of an upstream.
#[derive(Debug)]
pub struct UpstreamConnections {
    service: String,
    /// The idle connections; the last one was used last.
    idle: RefCell<Vec<Connection>>,
    open: Rc<Cell<u32>>,
    /// How many are being opened ahead of need.
    opening_ahead: Cell<u32>,
    kind: Cell<UpstreamKind>,
    is_controlled: Cell<bool>,
    limit: Cell<Option<NonZeroU32>>,
    settle: Cell<SettleTime>,
    rest_times: Rc<Cell<RestTimes>>,
    /// The requests that may not be repeated.
    single_run_rate: Cell<RequestRate>,
    /// By which boxes share the limit.
    demand: Cell<SteadyDemand>,
    last_reset: Cell<Option<Duration>>,
    last_early_close: Cell<Option<Duration>>,
    last_used: Cell<Duration>,
    metrics: ConnectionMetrics,
}

impl UpstreamConnections {
    /// Creates the state of an upstream without connections.
    pub fn new(
        service: String,
        rest_times: Rc<Cell<RestTimes>>,
        metrics: ConnectionMetrics,
    ) -> Self {
        Self {
            service,
            idle: RefCell::default(),
            open: Rc::default(),
            opening_ahead: Cell::default(),
            kind: Cell::default(),
            is_controlled: Cell::default(),
            limit: Cell::default(),
            settle: Cell::default(),
            rest_times,
            single_run_rate: Cell::default(),
            demand: Cell::default(),
            last_reset: Cell::default(),
            last_early_close: Cell::default(),
            last_used: Cell::new(Now::read().monotonic),
            metrics,
        }
    }

    /// Returns the service of the upstream.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Sets the kind of the upstream, and whether boxes control its load.
    pub fn set_rules(&self, rules: &ConnectionRules) {
        self.kind.set(rules.kind);
        self.is_controlled.set(rules.is_controlled);
        self.limit.set(rules.limit);
    }

    /// Returns the kind of the upstream.
    pub fn kind(&self) -> UpstreamKind {
        self.kind.get()
    }

    /// Records the requests that need a connection, as this box knows of them.
    pub fn record_demand(&self, upstream: &Upstream, fleet: Fleet, now: Now) {
        let mut demand = self.demand.get();
        match fleet.boxes > 1 && !fleet.hears_others {
            true => demand.clear(),
            false => demand.record(Demand::at(upstream, now), now),
        }
        self.demand.set(demand);
    }

    /// Returns this box's share of the limit; `None` without a limit.
    pub fn share(&self, upstream: &Upstream, fleet: Fleet, now: Now) -> Option<u32> {
        let demand = self.demand.get().get(Demand::at(upstream, now));
        let limit = self.limit.get()?;
        Some(share(limit, fleet, demand))
    }

    /// Returns whether the share allows one more connection without closing an idle one.
    pub fn has_room(&self, share: Option<u32>) -> bool {
        may_open_for_request(self.open.get(), share)
    }

    /// Returns whether boxes control the load of the upstream.
    pub fn is_controlled(&self) -> bool {
        self.is_controlled.get()
    }

    /// Counts an event.
    pub fn count(&self, event: ConnectionEvent) {
        self.metrics.count(event, self.kind.get());
    }

    /// Returns the number of open connections, including those that are being opened.
    pub fn open_count(&self) -> &Rc<Cell<u32>> {
        &self.open
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Records how long it took to open a connection.
    pub fn record_connect(&self, took: Duration) {
        let mut settle = self.settle.get();
        settle.record_connect(took);
        self.settle.set(settle);
    }

    /// Records the keep-alive time that the upstream stated, if it did.
    pub fn record_keep_alive(&self, stated: Option<Duration>) {
        if let Some(stated) = stated {
            let mut rest_times = self.rest_times.get();
            rest_times.record_keep_alive(stated);
            self.rest_times.set(rest_times);
        }
    }

    /// Returns how long a connection is kept for requests that may be repeated.
    pub fn keep_time(&self) -> Duration {
        self.rest_times.get().keep_time()
    }

    /// Returns the settle time of connections. An upstream that has just reset one for want of room
    /// is likely to reset the next, and may be slow to do so.
    pub fn settle_time(&self, now: Now) -> Duration {
        match self.was_reset_within(DOUBT, now) {
            true => MAX_SETTLE,
            false => self.settle.get().get(),
        }
    }

    /// Returns whether a request that may not be repeated may be written to a connection now.
    pub fn is_confirmed(&self, connection: &Connection, now: Now) -> bool {
        self.state(connection, now) == ConnectionState::Confirmed
    }

    fn state(&self, connection: &Connection, now: Now) -> ConnectionState {
        let (rest, safe_rest) = (connection.rest(now), self.safe_rest(now));
        if !connection.has_carried_answer() {
            return ConnectionState::after_rest(rest, self.settle_time(now), safe_rest);
        }
        // It holds its place among those that the upstream accepts, but the upstream may close it
        // at any time after the safe rest, however long it takes to settle.
        let settle = self.settle.get().get();
        match rest > safe_rest || settle > safe_rest {
            true => ConnectionState::Rested,
            false => ConnectionState::after_rest(rest, settle, safe_rest),
        }
    }

    /// Returns until when a request may be written to a confirmed connection, on the monotonic
    /// clock: some time after it is no longer chosen, as the box may wait for a processor.
    pub fn usable_until(&self, connection: &Connection, now: Now) -> Duration {
        let settle = match connection.has_carried_answer() {
            true => Duration::ZERO,
            false => self.settle_time(now),
        };
        connection.rested_since() + usable_rest(settle, self.safe_rest(now)) * WRITE_TIME_FACTOR
    }

    /// Returns whether the upstream has lately reset new connections or closed idle ones early, so
    /// that a rested connection is proven rather than left for a new one.
    pub fn is_in_doubt(&self, now: Now) -> bool {
        is_within(self.last_reset.get(), DOUBT, now)
            || is_within(self.last_early_close.get(), DOUBT, now)
    }

    /// Returns whether a connection has to be proven before a request that may not be repeated is
    /// written to it: the upstream may still reset a new one, and may have closed a rested one.
    pub fn needs_proof(&self, connection: &Connection, now: Now) -> bool {
        !connection.has_carried_answer() || self.state(connection, now) == ConnectionState::Rested
    }

    /// Returns how much longer a connection has to survive before it counts as confirmed.
    pub fn settle_time_left(&self, connection: &Connection, now: Now) -> Duration {
        match self.state(connection, now) {
            ConnectionState::Settling(left) => left,
            ConnectionState::Confirmed | ConnectionState::Rested => Duration::ZERO,
        }
    }

    /// Returns the longest rest after which a request that may not be repeated is written.
    pub fn safe_rest(&self, now: Now) -> Duration {
        self.rest_times.get().safe_rest(now)
    }

    /// Counts a request that may not be repeated.
    pub fn record_single_run(&self, now: Now) {
        let mut rate = self.single_run_rate.get();
        rate.record(now);
        self.single_run_rate.set(rate);
    }

    /// Returns the rate of the requests that may not be repeated.
    pub fn single_runs_per_second(&self, now: Now) -> f64 {
        self.single_run_rate.get().per_second(now)
    }

    /// Returns whether connections may be opened ahead.
    pub fn accepts_new(&self, now: Now) -> bool {
        !self.was_reset_within(SPARE_PAUSE_AFTER_RESET, now)
    }

    /// Returns whether a connection may be opened for a request.
    pub fn accepts_for_request(&self, now: Now) -> bool {
        !self.was_reset_within(PAUSE_AFTER_RESET, now)
    }

    fn was_reset_within(&self, time: Duration, now: Now) -> bool {
        is_within(self.last_reset.get(), time, now)
    }

    /// Closes idle connections until the share allows one more; false if it does not.
    pub fn make_room(&self, share: Option<u32>) -> bool {
        let mut idle = self.idle.borrow_mut();
        while !self.has_room(share) {
            if idle.is_empty() {
                return false;
            }
            drop(idle.remove(0));
        }
        true
    }

    /// Takes the connection that was used last and may carry the request, unless it has rested for
    /// too long.
    pub fn take_newest(&self, request: Awaiting<'_>, now: Now) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| !connection.is_expired(now) && connection.is_ready());
        let newest = idle
            .iter()
            .rposition(|connection| connection.allows(request));
        let mut connection = idle.remove(newest?);
        connection.set_origin(ConnectionOrigin::Kept);
        Some(connection)
    }

    /// Takes a connection for a request that may be repeated: one that has rested if there is one,
    /// since requests that may not be repeated cannot use it.
    pub fn take_for_repeatable(&self, request: Awaiting<'_>, now: Now) -> Option<Connection> {
        self.drop_unusable(now);
        let states = self.states_for(request, now);
        let rested = |state: &_| *state == Some(ConnectionState::Rested);
        let confirmed = |state: &_| *state == Some(ConnectionState::Confirmed);
        let newest_rested = states.iter().rposition(rested);
        self.take(newest_rested.or_else(|| states.iter().position(confirmed))?)
    }

    /// Takes a connection for a request that may not be repeated: a confirmed one, or one that will
    /// be within the settle time. Of the confirmed ones it takes the oldest, so that all of them
    /// stay in use and none has to be replaced for its age.
    pub fn take_for_single_run(&self, request: Awaiting<'_>, now: Now) -> Option<Connection> {
        self.drop_unusable(now);
        let states = self.states_for(request, now);
        let confirmed = |state: &_| *state == Some(ConnectionState::Confirmed);
        let settling = |state: &_| matches!(state, Some(ConnectionState::Settling(_)));
        let oldest_confirmed = states.iter().position(confirmed);
        self.take(oldest_confirmed.or_else(|| states.iter().position(settling))?)
    }

    /// Takes the idle connection that was used last and has rested, to be proven by a health check
    /// for a request that may not be repeated.
    pub fn take_rested(
        &self,
        request: Awaiting<'_>,
        check: Awaiting<'_>,
        now: Now,
    ) -> Option<Connection> {
        self.drop_unusable(now);
        let newest = {
            let idle = self.idle.borrow();
            idle.iter()
                .rposition(|connection| connection.allows(request) && connection.allows(check))
        };
        self.take(newest?)
    }

    fn take(&self, index: usize) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        if index >= idle.len() {
            return None;
        }
        let mut connection = idle.remove(index);
        connection.set_origin(match connection.has_carried_answer() {
            true => ConnectionOrigin::Kept,
            false => ConnectionOrigin::OpenedAhead,
        });
        Some(connection)
    }

    fn states(&self, now: Now) -> Vec<ConnectionState> {
        let idle = self.idle.borrow();
        let state = |connection| self.state(connection, now);
        idle.iter().map(state).collect()
    }

    /// Returns the states of the idle connections; `None` for those that may not carry a request.
    fn states_for(&self, request: Awaiting<'_>, now: Now) -> Vec<Option<ConnectionState>> {
        let states = self.states(now).into_iter();
        let idle = self.idle.borrow();
        let allows = idle.iter().map(|connection| connection.allows(request));
        let allowed = states.zip(allows);
        allowed
            .map(|(state, allows)| allows.then_some(state))
            .collect()
    }

    /// Returns how many idle connections a request that may not be repeated can use, now or soon.
    pub fn usable_count(&self, now: Now) -> u32 {
        self.drop_unusable(now);
        let states = self.states(now).into_iter();
        let usable = states.filter(|state| *state != ConnectionState::Rested);
        let usable = u32::try_from(usable.count()).unwrap_or(u32::MAX);
        usable.saturating_add(self.opening_ahead.get())
    }

    /// Adds to the number of connections that are being opened ahead, or subtracts from it.
    pub fn change_opening_ahead(&self, change: i32) {
        let count = self.opening_ahead.get().saturating_add_signed(change);
        self.opening_ahead.set(count);
    }

    /// Adds an idle connection, unless there are enough. Under load control, it replaces the one
    /// that has rested longest.
    pub fn put_idle(&self, connection: Connection, max_idle: usize) {
        let mut idle = self.idle.borrow_mut();
        if connection.is_controlled() {
            idle.push(connection);
            let excess = idle.len().saturating_sub(max_idle);
            idle.drain(..excess);
        } else if idle.len() < max_idle {
            idle.push(connection);
        }
    }

    /// Closes the oldest idle connections while more connections are open than a share.
    pub fn close_idle_beyond(&self, share: u32) {
        let excess = self.open.get().saturating_sub(share);
        let excess = usize::try_from(excess).unwrap_or(usize::MAX);
        let mut idle = self.idle.borrow_mut();
        let end = excess.min(idle.len());
        idle.drain(..end);
    }

    /// Closes the idle connections that lead by some way.
    pub fn close_idle_by_path(&self, is_meant: impl Fn(&ConnectionPath) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| !is_meant(connection.path()));
    }

    /// Forgets which connections ended early, since this box's own network ended them.
    pub fn forget_ends(&self) {
        self.last_reset.set(None);
        self.last_early_close.set(None);
        let mut rest_times = self.rest_times.get();
        rest_times.forget_closes();
        self.rest_times.set(rest_times);
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&self, now: Now) {
        self.drop_unusable(now);
    }

    /// Returns whether the state of the upstream can be forgotten.
    pub fn is_unused(&self, now: Now) -> bool {
        if self.open.get() > 0 {
            self.last_used.set(now.monotonic);
        }
        now.monotonic.saturating_sub(self.last_used.get()) > UNUSED_RETENTION
    }

    fn drop_unusable(&self, now: Now) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| {
            if connection.has_ended() {
                self.record_end(connection, now);
                return false;
            }
            !connection.is_expired(now)
        });
    }

    /// Learns from a request that was written to a connection after this rest and lost with it: the
    /// upstream had ended the connection, or forgotten it.
    pub fn record_lost_request(&self, connection: &Connection, rest: Duration, now: Now) {
        if connection.has_carried_answer() {
            self.record_close(rest, now);
        } else {
            self.record_reset(rest, now);
        }
    }

    fn record_close(&self, rest: Duration, now: Now) {
        let mut rest_times = self.rest_times.get();
        rest_times.record_close(rest, now);
        self.rest_times.set(rest_times);
        self.last_early_close.set(Some(now.monotonic));
    }

    /// Learns from a request that was lost with a proven connection: the upstream ends connections
    /// for another reason than their rest, so that it gets no further ones for a moment.
    pub fn record_loss_after_proof(&self, now: Now) {
        self.last_reset.set(Some(now.monotonic));
    }

    /// Learns from a connection that was ended instead of carrying its first answer. The request
    /// kept it from being idle, so that its age says nothing about rests.
    pub fn record_reset_under_proof(&self, now: Now) {
        self.last_reset.set(Some(now.monotonic));
        self.count(ConnectionEvent::ResetBeforeUse);
    }

    /// Learns from a connection that was ended before it carried an answer: by a reset for want of
    /// room soon after it was accepted, or by a close of an idle one later.
    fn record_reset(&self, age: Duration, now: Now) {
        if age > MAX_SETTLE {
            self.record_close(age, now);
            return;
        }
        let mut settle = self.settle.get();
        settle.record_reset(age);
        self.settle.set(settle);
        self.last_reset.set(Some(now.monotonic));
    }

    /// Learns from a connection that the upstream ended without a request.
    pub fn record_end(&self, connection: &Connection, now: Now) {
        if !connection.is_controlled() {
            return;
        }
        let rest = connection
            .rest_at_end()
            .unwrap_or_else(|| connection.rest(now));
        if connection.has_carried_answer() {
            self.record_close(rest, now);
        } else {
            self.record_reset(rest, now);
            if rest <= MAX_SETTLE {
                self.count(ConnectionEvent::ResetBeforeUse);
            }
        }
    }
}

fn is_within(event: Option<Duration>, time: Duration, now: Now) -> bool {
    event.is_some_and(|at| now.monotonic.saturating_sub(at) < time)
}
