//! What a box knows of each upstream: its registry entry, its load and its health.

use super::headers::ReportedLoad;
use super::load_report::{KnownRequests, LoadEstimate, LoadHistory};
use crate::clock::Now;
use crate::gateway::control::store::{ListedUpstream, UpstreamLife};
use crate::gateway::peers::load_reports::LastShared;
use crate::gateway::place::choose::stable_hash;
use crate::gateway::place::engine_speed::{EngineSpeed, SpeedBelief};
use crate::gateway::place::fleet_view::FleetView;
use crate::gateway::place::rate_limits::UpstreamRateLimit;
use crate::gateway::place::service_time::UpstreamFactor;
use crate::gateway::place::slots::UpstreamSlots;
use crate::gateway::place::warm_up::{WarmUp, WarmUpState};
use crate::routing::backoff::RequestedBackoff;
use crate::routing::placement::{LoadGuard, UpstreamLoad};
use crate::routing::signals::ResponseSignals;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// After this time, past successes and failures count half. It is long enough to distinguish an
/// upstream that fails four requests in ten from a healthy one at a few requests per second, and
/// short enough that the upstream is tried again within seconds.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Number of assumed successes that keep a single failure of a new upstream from ruling it out.
const PRIOR_SUCCESSES: f64 = 3.0;
/// Length of the first back-off from an upstream that accepted no connection or stopped sending
/// data. During the back-off it gets only requests that no other upstream can take. The registry
/// drops a crashed upstream after three missed heartbeats.
const INITIAL_BACK_OFF: Duration = Duration::from_millis(1200);
/// Maximum length of a back-off; each consecutive one is twice as long as the one before.
const MAX_BACK_OFF: Duration = Duration::from_secs(5);
/// Maximum number of times that the back-off is doubled.
const MAX_BACK_OFF_DOUBLINGS: u32 = 4;
/// How long a load report is trusted; upstreams serve two requests per second or more.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Minimum time between two log lines about unreadable load reports of an upstream.
const INVALID_REPORT_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Penalty for a failure rate of 1, in units of slot utilization: an upstream that fails some of
/// its requests loses to any other that is not nearly full.
const FAILURE_RATE_PENALTY_UTILIZATION: f64 = 4.0;
/// Failure rates up to this one are attributed to chance.
const TOLERATED_FAILURE_RATE: f64 = 0.2;
/// Penalty for an upstream in back-off, in units of slot utilization: more than everything else
/// together, since the upstream did not even accept a connection.
const BACK_OFF_PENALTY_UTILIZATION: f64 = 100.0;

/// One incarnation of an upstream, from a start of its process to the next, shared by all requests
/// of the box.
#[derive(Debug)]
pub struct Upstream {
    incarnation: UpstreamLife,
    short_hash: u32,
    listed: RefCell<ListedUpstream>,
    load: Arc<UpstreamLoad>,
    health: Cell<Health>,
    report: Cell<Option<LoadReport>>,
    states_work_time: Cell<bool>,
    load_history: Cell<LoadHistory>,
    last_shared_report: Cell<Option<LastShared>>,
    invalid_reports: Cell<u32>,
    invalid_report_logged_at: Cell<Option<Duration>>,
    service_factor: UpstreamFactor,
    speed: EngineSpeed,
    lapsed_at: Cell<Option<Duration>>,
    pending_prefill: Rc<Cell<Duration>>,
    peer_load: Cell<PeerLoad>,
    last_data_at: Cell<Duration>,
    is_leaving: Cell<bool>,
    retry_after: Cell<RequestedBackoff>,
    rate_limit: UpstreamRateLimit,
    slots: UpstreamSlots,
    warm_up: Cell<WarmUpState>,
    is_evacuated: Cell<bool>,
}

/// What the other boxes have in flight at an upstream, by their latest reports.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerLoad {
    /// Total time of the prefills still pending.
    pub pending_prefill: Duration,
    /// Number of requests in flight.
    pub outstanding: u32,
    /// When this was the case.
    pub as_of: Duration,
    /// Whether placement considers that other engines' loads have changed as well since then; see
    /// [`QueueEstimate`](crate::gateway::place::engine_queue::QueueEstimate).
    pub counts_age: bool,
}

impl PeerLoad {
    /// Returns the prefill time still pending now, given that the engine has gone on since the
    /// report at its speed.
    pub fn remaining_prefill(self, speed: SpeedBelief, now: Now) -> Duration {
        let age = now.monotonic.saturating_sub(self.as_of);
        self.pending_prefill.saturating_sub(speed.work_in(age))
    }
}

/// Counts a prefill as pending until its first event arrives or the try ends.
#[derive(Debug)]
pub struct PendingPrefill {
    total: Rc<Cell<Duration>>,
    prefill: Duration,
}

impl Drop for PendingPrefill {
    fn drop(&mut self) {
        self.total
            .set(self.total.get().saturating_sub(self.prefill));
    }
}

/// A load report, with this box's requests in flight when it arrived.
#[derive(Debug, Clone, Copy)]
struct LoadReport {
    load: ReportedLoad,
    at: Duration,
    outstanding_at_report: u32,
}

/// Recent successes and failures, which decay exponentially, and the back-off that they led to.
#[derive(Debug, Clone, Copy, Default)]
struct Health {
    successes: f64,
    failures: f64,
    updated_at: Duration,
    back_off_until: Duration,
    consecutive_back_offs: u32,
    /// Whether the upstream accepted no connection; one has to succeed before it is used again.
    connect_failed: bool,
}

impl Health {
    fn decayed(mut self, now: Now) -> Self {
        let age = now.monotonic.saturating_sub(self.updated_at);
        let factor = 0.5f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64());
        self.successes *= factor;
        self.failures *= factor;
        self.updated_at = now.monotonic;
        self
    }
}

impl Upstream {
    /// Creates the state of a newly registered upstream.
    pub fn new(listed: ListedUpstream) -> Rc<Self> {
        let incarnation = listed.incarnation();
        // The lower half of a hash is as good as any other part.
        let short_hash = stable_hash(&incarnation.to_string()) as u32;
        Rc::new(Self {
            short_hash,
            incarnation,
            listed: RefCell::new(listed),
            load: Arc::default(),
            health: Cell::default(),
            report: Cell::default(),
            states_work_time: Cell::default(),
            load_history: Cell::default(),
            last_shared_report: Cell::default(),
            invalid_reports: Cell::default(),
            invalid_report_logged_at: Cell::default(),
            service_factor: UpstreamFactor::default(),
            speed: EngineSpeed::default(),
            lapsed_at: Cell::default(),
            pending_prefill: Rc::default(),
            peer_load: Cell::default(),
            last_data_at: Cell::default(),
            is_leaving: Cell::default(),
            retry_after: Cell::default(),
            rate_limit: UpstreamRateLimit::new(short_hash),
            slots: UpstreamSlots::new(short_hash),
            warm_up: Cell::default(),
            is_evacuated: Cell::default(),
        })
    }

    /// Identifies the upstream and its incarnation.
    pub fn incarnation(&self) -> &UpstreamLife {
        &self.incarnation
    }

    /// Returns a hash of the incarnation, by which boxes identify it in messages.
    ///
    /// Load reports go to every box, and bytes between halls are charged for. If two incarnations
    /// ever shared a hash, both would merely look busier.
    pub fn short_hash(&self) -> u32 {
        self.short_hash
    }

    /// Returns a copy of the upstream's registry entry.
    pub fn listed(&self) -> ListedUpstream {
        self.listed.borrow().clone()
    }

    /// Reads the upstream's registry entry without copying it.
    pub fn with_listed<T>(&self, read: impl FnOnce(&ListedUpstream) -> T) -> T {
        read(&self.listed.borrow())
    }

    /// Replaces the registry entry with a newer one of the same incarnation.
    pub fn update_listing(&self, listed: ListedUpstream) {
        self.lapsed_at.set(None);
        *self.listed.borrow_mut() = listed;
    }

    /// Records that the registry entry disappeared while the store was unavailable or had just
    /// recovered.
    pub fn lapse(&self, now: Now) {
        if self.lapsed_at.get().is_none() {
            self.lapsed_at.set(Some(now.monotonic));
        }
    }

    /// Returns when the registry entry disappeared, if it is missing.
    pub fn lapsed_at(&self) -> Option<Duration> {
        self.lapsed_at.get()
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn begin_request(&self) -> LoadGuard {
        self.load.track_request()
    }

    /// Returns the number of this box's requests in flight at the upstream.
    pub fn outstanding(&self) -> u32 {
        self.load.outstanding()
    }

    /// Counts a prefill as pending until the guard is dropped.
    pub fn begin_prefill(&self, prefill: Duration) -> PendingPrefill {
        self.pending_prefill
            .set(self.pending_prefill.get() + prefill);
        PendingPrefill {
            total: self.pending_prefill.clone(),
            prefill,
        }
    }

    /// Returns the total time of this box's pending prefills.
    pub fn own_pending_prefill(&self) -> Duration {
        self.pending_prefill.get()
    }

    /// Returns the total time of the pending prefills of all boxes, at the usual speed.
    pub fn pending_prefill(&self, now: Now) -> Duration {
        let speed = self.speed.belief(now);
        self.pending_prefill.get() + self.peer_load.get().remaining_prefill(speed, now)
    }

    /// Returns what is known of the speed at which the upstream works.
    pub fn speed(&self) -> &EngineSpeed {
        &self.speed
    }

    /// Returns what the other boxes have in flight here, as far as they reported.
    pub fn peer_load(&self) -> PeerLoad {
        self.peer_load.get()
    }

    /// Sets what the other boxes have in flight here.
    pub fn set_peer_load(&self, peer_load: PeerLoad) {
        self.peer_load.set(peer_load);
    }

    /// Adds a long prefill that another box starts here.
    pub fn add_peer_prefill(&self, prefill: Duration, now: Now) {
        let known = self.peer_load.get();
        self.peer_load.set(PeerLoad {
            pending_prefill: known.remaining_prefill(self.speed.belief(now), now) + prefill,
            outstanding: known.outstanding.saturating_add(1),
            as_of: now.monotonic,
            counts_age: known.counts_age,
        });
    }

    /// Records a load report from the head of an answer.
    pub fn record_load_report(&self, load: ReportedLoad, now: Now) {
        if let Some(percent) = load.work_time_percent {
            self.states_work_time.set(true);
            self.speed.record_statement(percent, now);
        }
        self.report.set(Some(LoadReport {
            load,
            at: now.monotonic,
            outstanding_at_report: self.outstanding(),
        }));
        self.add_to_load_history(load, now.monotonic);
    }

    /// Records a report that another box received.
    pub fn record_shared_report(&self, load: ReportedLoad, as_of: Duration, now: Now) {
        if load.work_time_percent.is_some() {
            self.states_work_time.set(true);
        }
        if self.add_to_load_history(load, as_of) {
            self.set_last_shared_report(LastShared {
                load,
                at: now.monotonic,
            });
        }
    }

    /// Adds a report to what is known of the load; returns whether it is the newest one.
    fn add_to_load_history(&self, load: ReportedLoad, as_of: Duration) -> bool {
        let slots = self.listed.borrow().slots;
        let mut history = self.load_history.get();
        let is_newest = history.record(load, slots, as_of, self.outstanding());
        self.load_history.set(history);
        is_newest
    }

    /// Records that the upstream rejected a request because it was full.
    pub fn record_full(&self, now: Now) {
        let slots = self.listed.borrow().slots;
        let mut history = self.load_history.get();
        history.record_rejection(slots, self.outstanding(), now);
        self.load_history.set(history);
    }

    /// Returns the newest load report and when it was made.
    pub fn newest_report(&self) -> Option<(ReportedLoad, Duration)> {
        self.load_history.get().newest()
    }

    /// Estimates the load from the reports and from what the boxes have in flight, given the
    /// service time of the upstream's service.
    pub fn load_estimate(&self, service_time: Duration, now: Now) -> LoadEstimate {
        let known = KnownRequests {
            own: self.outstanding(),
            peers: self.peer_load.get().outstanding,
        };
        let slots = self.listed.borrow().slots;
        self.load_history
            .get()
            .estimate(known, slots, service_time, now)
    }

    /// Returns how many requests the upstream runs at the same time: by its registry entry, or fewer
    /// by its newest report.
    pub fn known_slots(&self) -> u32 {
        let listed = self.listed.borrow().slots.max(1);
        let reported = self.newest_report().map(|(load, _)| load.slots);
        reported
            .filter(|slots| *slots > 0)
            .map_or(listed, |slots| slots.min(listed))
    }

    /// Returns how long work takes here by the newest report, as a multiple of the usual time.
    pub fn stated_work_time(&self) -> f64 {
        self.load_history.get().stated_work_time()
    }

    /// Returns whether an upstream with this many requests rejects more, as far as is known.
    pub fn is_full(&self, occupancy: f64) -> bool {
        let slots = self.listed.borrow().slots;
        let limit = self.load_history.get().queue_limit();
        limit.is_some_and(|limit| occupancy >= f64::from(slots) + f64::from(limit))
    }

    /// Returns how long requests run here, as a multiple of what the service's usual time and the
    /// stated work time lead to expect.
    pub fn service_factor(&self) -> &UpstreamFactor {
        &self.service_factor
    }

    /// Returns the report that was sent last to other boxes or received from them.
    pub fn last_shared_report(&self) -> Option<LastShared> {
        self.last_shared_report.get()
    }

    /// Records the report that was sent last to other boxes or received from them.
    pub fn set_last_shared_report(&self, shared: LastShared) {
        self.last_shared_report.set(Some(shared));
    }

    /// Counts a load report that cannot be read.
    pub fn record_invalid_report(&self) {
        self.invalid_reports
            .set(self.invalid_reports.get().saturating_add(1));
    }

    /// Returns the number of unreadable load reports since the last call, and whether they are to
    /// be logged: at most once a minute.
    pub fn take_invalid_reports(&self, now: Now) -> (u32, bool) {
        let count = self.invalid_reports.take();
        let logged_at = self.invalid_report_logged_at.get();
        let is_due = logged_at
            .is_none_or(|at| now.monotonic.saturating_sub(at) >= INVALID_REPORT_LOG_INTERVAL);
        if count > 0 && is_due {
            self.invalid_report_logged_at.set(Some(now.monotonic));
        }
        (count, count > 0 && is_due)
    }

    /// Returns whether the upstream has stated how long work takes at the moment.
    pub fn states_work_time(&self) -> bool {
        self.states_work_time.get()
    }

    /// Estimates the number of requests that the upstream has from all boxes.
    pub fn occupancy(&self, now: Now) -> u32 {
        let own = self.outstanding();
        match self.report.get() {
            Some(report) if now.monotonic.saturating_sub(report.at) < LOAD_REPORT_LIFETIME => {
                let others = report.load.running + report.load.waiting;
                (others + own)
                    .saturating_sub(report.outstanding_at_report)
                    .max(own)
            }
            _ => own + self.peer_load.get().outstanding,
        }
    }

    /// Returns the utilization of the slots; above 1, requests are waiting.
    pub fn slot_utilization(&self, now: Now) -> f64 {
        let slots = self.listed.borrow().slots.max(1);
        f64::from(self.occupancy(now)) / f64::from(slots)
    }

    /// Records a complete answer.
    pub fn record_success(&self, now: Now) {
        let mut health = self.health.get().decayed(now);
        health.successes += 1.0;
        health.back_off_until = Duration::ZERO;
        health.consecutive_back_offs = 0;
        health.connect_failed = false;
        self.health.set(health);
    }

    /// Records that the upstream failed a request after accepting it.
    pub fn record_failure(&self, now: Now) {
        let mut health = self.health.get().decayed(now);
        health.failures += 1.0;
        self.health.set(health);
    }

    /// Records that the upstream stopped sending data.
    pub fn record_timeout(&self, now: Now) {
        self.start_back_off(now, false);
    }

    /// Records that the upstream accepted no connection.
    pub fn record_connect_failure(&self, now: Now) {
        self.start_back_off(now, true);
    }

    fn start_back_off(&self, now: Now, connect_failed: bool) {
        let mut health = self.health.get().decayed(now);
        health.failures += 1.0;
        health.connect_failed |= connect_failed;
        // Requests that fail together lead to a single back-off.
        if now.monotonic >= health.back_off_until {
            let back_off = INITIAL_BACK_OFF * 2u32.saturating_pow(health.consecutive_back_offs);
            health.back_off_until = now.monotonic + back_off.min(MAX_BACK_OFF);
            health.consecutive_back_offs =
                (health.consecutive_back_offs + 1).min(MAX_BACK_OFF_DOUBLINGS);
        }
        self.health.set(health);
    }

    /// Forgets failures for which this box's own network was to blame.
    pub fn withdraw_failures(&self) {
        let health = self.health.get();
        self.health.set(Health {
            successes: health.successes,
            updated_at: health.updated_at,
            ..Health::default()
        });
    }

    /// Records that the upstream accepts connections.
    pub fn record_connect_success(&self) {
        let mut health = self.health.get();
        if health.connect_failed {
            health.connect_failed = false;
            health.back_off_until = Duration::ZERO;
            self.health.set(health);
        }
    }

    /// Returns whether a connection has to succeed before the upstream is used again.
    pub fn needs_connect_success(&self) -> bool {
        self.health.get().connect_failed
    }

    /// Returns whether the upstream should get only requests that no other can take.
    pub fn is_backing_off(&self, now: Now) -> bool {
        let health = self.health.get();
        health.connect_failed || now.monotonic < health.back_off_until
    }

    /// Updates the state from the head of an answer. The announcement that the upstream is leaving
    /// is never taken back.
    pub fn update_from_head(&self, signs: ResponseSignals, now: Now) {
        if signs.is_leaving {
            self.is_leaving.set(true);
        }
        if let Some(delay) = signs.requested_backoff {
            self.set_retry_after(delay, now);
        }
        if !signs.is_refusal {
            self.record_accepted_request(now);
        }
    }

    /// Returns the upstream's rate limit, as far as this box knows it.
    pub fn rate_limit(&self) -> &UpstreamRateLimit {
        &self.rate_limit
    }

    /// Returns the upstream's rejection limit, and this box's share of its slots.
    pub fn slots(&self) -> &UpstreamSlots {
        &self.slots
    }

    /// Returns whether the upstream announced in an answer that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Records that the upstream state this box to send nothing for a time (`Retry-After`).
    pub fn set_retry_after(&self, delay: Duration, now: Now) {
        let mut state = self.retry_after.get();
        state.extend(delay, now);
        self.retry_after.set(state);
    }

    /// Records that the upstream accepted a request.
    pub fn record_accepted_request(&self, now: Now) {
        let mut state = self.retry_after.get();
        state.record_accepted(now);
        self.retry_after.set(state);
    }

    /// Returns whether a `Retry-After` time is running.
    pub fn is_in_retry_after(&self, now: Now) -> bool {
        self.retry_after.get().is_active(now)
    }

    /// Returns how long the upstream takes no further request of this box because of a
    /// `Retry-After`; `None` if it takes one now.
    pub fn retry_after_left(&self, now: Now) -> Option<Duration> {
        self.retry_after.get().remaining(self.outstanding(), now)
    }

    /// Records that the upstream needs this long to warm up from now on.
    pub fn begin_warm_up(&self, duration: Duration, now: Now) {
        let mut state = self.warm_up.get();
        state.begin(duration, now);
        self.warm_up.set(state);
    }

    /// Returns whether the upstream is warming up.
    pub fn is_warming_up(&self, now: Now) -> bool {
        self.warm_up.get().is_active(now)
    }

    /// Returns how much longer the warm-up lasts; zero once the upstream is warm.
    pub fn warm_up_left(&self, now: Now) -> Duration {
        self.warm_up.get().remaining(now)
    }

    /// Returns how long this box has to wait before it may send a request to the upstream because
    /// of its warm-up; `None` if it may send now.
    pub fn warm_up_delay(
        &self,
        limits: WarmUp,
        fleet: FleetView<'_>,
        now: Now,
    ) -> Option<Duration> {
        let mut state = self.warm_up.get();
        let delay = state.send_delay(self.short_hash, limits, fleet, now);
        self.warm_up.set(state);
        delay
    }

    /// Records that a request is about to be sent.
    pub fn record_warm_up_send(&self, now: Now) {
        let mut state = self.warm_up.get();
        state.record_send(now);
        self.warm_up.set(state);
    }

    /// Records whether operators have evacuated the upstream's hall.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        self.is_evacuated.set(is_evacuated);
    }

    /// Returns whether operators have evacuated the upstream's hall.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated.get()
    }

    /// Records that data arrived from the upstream.
    pub fn record_data_received(&self, now: Now) {
        self.last_data_at.set(now.monotonic);
    }

    /// Returns how long no data has arrived from the upstream for any request of this box, counted
    /// from `since` at the earliest.
    pub fn time_without_data(&self, since: Duration, now: Now) -> Duration {
        now.monotonic
            .saturating_sub(since.max(self.last_data_at.get()))
    }

    /// Returns the penalty for choosing the upstream, in units of slot utilization: its load, its
    /// failure rate and its back-off.
    pub fn penalty(&self, now: Now) -> f64 {
        self.slot_utilization(now) + self.health_penalty(now)
    }

    /// Returns the part of the penalty that is due to the failure rate and the back-off.
    pub fn health_penalty(&self, now: Now) -> f64 {
        let back_off = if self.is_backing_off(now) {
            BACK_OFF_PENALTY_UTILIZATION
        } else {
            0.0
        };
        self.failure_penalty(now) + back_off
    }

    fn failure_penalty(&self, now: Now) -> f64 {
        let rate = self.failure_rate(now);
        match rate > TOLERATED_FAILURE_RATE {
            true => rate * FAILURE_RATE_PENALTY_UTILIZATION,
            false => 0.0,
        }
    }

    /// Returns the fraction of recent requests that failed, from 0 to 1.
    pub fn failure_rate(&self, now: Now) -> f64 {
        let health = self.health.get().decayed(now);
        health.failures / (health.successes + health.failures + PRIOR_SUCCESSES)
    }
}
