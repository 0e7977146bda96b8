//! What a box knows of each upstream: what it lists of itself, and how it behaves.

use super::headers::ReportedLoad;
use crate::clock::Now;
use crate::gateway::control::store::{ListedUpstream, UpstreamLife};
use crate::gateway::place::choose::stable_hash;
use crate::gateway::place::warm_up::{FleetView, WarmUp, WarmUpState};
use crate::routing::placement::{LoadGuard, UpstreamLoad};
use crate::routing::rest::AskedRest;
use crate::routing::signs::Signs;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How fast old failures stop to matter: after this time they count half. Long enough
/// that an upstream which fails four in ten is told from a healthy one at a few requests
/// a second, short enough that it is tried again within seconds.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Imagined good answers that keep one failure of a new upstream from ruling it out.
const PRIOR_SUCCESSES: f64 = 3.0;
/// How long an upstream that did not even take a connection, or that fell silent, gets
/// only what no other can take; the list drops a crashed one after three heartbeats.
const INITIAL_BACK_OFF: Duration = Duration::from_millis(1200);
/// The longest rest; each one in a row takes twice as long as the one before.
const MAX_BACK_OFF: Duration = Duration::from_secs(5);
/// Rests after which they do not grow any more.
const MAX_BACK_OFF_DOUBLINGS: u32 = 4;
/// How long a report of load is trusted; upstreams serve from two requests a second up.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Fullness that a failure rate of one counts for, so that an upstream which fails some
/// of its requests loses to any that is not nearly full.
const FAILURE_RATE_PENALTY_SLOT_FRACTION: f64 = 4.0;
/// Failure rates below this are taken for chance.
const TOLERATED_FAILURE_RATE: f64 = 0.2;
/// What resting counts for: more than all else together, since the upstream did not even
/// take a connection.
const BACK_OFF_PENALTY_SLOT_FRACTION: f64 = 100.0;

/// One life of an upstream, shared by all requests of the box.
#[derive(Debug)]
pub struct Upstream {
    life: UpstreamLife,
    short_hash: u32,
    listed: RefCell<ListedUpstream>,
    load: Arc<UpstreamLoad>,
    health: Cell<Health>,
    report: Cell<Option<LoadReport>>,
    lapsed_at: Cell<Option<Duration>>,
    pending_prefill: Rc<Cell<Duration>>,
    peer_load: Cell<PeerLoad>,
    last_data_at: Cell<Duration>,
    is_leaving: Cell<bool>,
    retry_after: Cell<AskedRest>,
    warm_up: Cell<WarmUpState>,
    is_evacuated: Cell<bool>,
}

/// What other boxes have under way at an upstream, as they told it last.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerLoad {
    /// How long reading the prompts that wait takes.
    pub pending_prefill: Duration,
    /// Requests under way.
    pub outstanding: u32,
    /// When this was so.
    pub as_of: Duration,
}

impl PeerLoad {
    /// Returns what is left to read by now, since the engine has read on.
    fn remaining_prefill(self, now: Now) -> Duration {
        let age = now.monotonic.saturating_sub(self.as_of);
        self.pending_prefill.saturating_sub(age)
    }
}

/// Counts a prompt out when its first event came or the try ended.
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

/// A report of load, and what this box has sent since.
#[derive(Debug, Clone, Copy)]
struct LoadReport {
    load: ReportedLoad,
    at: Duration,
    outstanding_at_report: u32,
}

/// Answers and failures of late, each fading with time.
#[derive(Debug, Clone, Copy, Default)]
struct Health {
    successes: f64,
    failures: f64,
    updated_at: Duration,
    back_off_until: Duration,
    consecutive_back_offs: u32,
    /// Whether the upstream took no connection, so that one has to succeed first.
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
    /// Makes an upstream that was just listed.
    pub fn new(listed: ListedUpstream) -> Rc<Self> {
        let life = listed.life();
        Rc::new(Self {
            // The lower half of a hash is as good as any other.
            short_hash: stable_hash(&life.to_string()) as u32,
            life,
            listed: RefCell::new(listed),
            load: Arc::default(),
            health: Cell::default(),
            report: Cell::default(),
            lapsed_at: Cell::default(),
            pending_prefill: Rc::default(),
            peer_load: Cell::default(),
            last_data_at: Cell::default(),
            is_leaving: Cell::default(),
            retry_after: Cell::default(),
            warm_up: Cell::default(),
            is_evacuated: Cell::default(),
        })
    }

    /// Returns which life of which upstream this is.
    pub fn life(&self) -> &UpstreamLife {
        &self.life
    }

    /// Returns a hash of the life by which boxes name it to each other.
    ///
    /// Bytes between halls are priced, and reports of load go to every box. That two lives
    /// ever share a hash would only make both look busier.
    pub fn short_hash(&self) -> u32 {
        self.short_hash
    }

    /// Returns a copy of what the upstream lists of itself.
    pub fn listed(&self) -> ListedUpstream {
        self.listed.borrow().clone()
    }

    /// Reads what the upstream lists of itself, without a copy.
    pub fn with_listed<T>(&self, read: impl FnOnce(&ListedUpstream) -> T) -> T {
        read(&self.listed.borrow())
    }

    /// Takes a newer entry of the same life.
    pub fn update_listing(&self, listed: ListedUpstream) {
        self.lapsed_at.set(None);
        *self.listed.borrow_mut() = listed;
    }

    /// Records that the entry vanished while the store was away or had just come back.
    pub fn lapse(&self, now: Now) {
        if self.lapsed_at.get().is_none() {
            self.lapsed_at.set(Some(now.monotonic));
        }
    }

    /// Returns since when the entry has been missing, if it is.
    pub fn lapsed_at(&self) -> Option<Duration> {
        self.lapsed_at.get()
    }

    /// Counts a request in until the guard is dropped.
    pub fn begin_request(&self) -> LoadGuard {
        self.load.enter()
    }

    /// Returns this box's requests that the upstream has not finished.
    pub fn outstanding(&self) -> u32 {
        self.load.outstanding()
    }

    /// Counts a prompt that takes so long to read as waiting until the guard is dropped.
    pub fn begin_prefill(&self, prefill: Duration) -> PendingPrefill {
        self.pending_prefill
            .set(self.pending_prefill.get() + prefill);
        PendingPrefill {
            total: self.pending_prefill.clone(),
            prefill,
        }
    }

    /// Returns how long reading takes what this box sent and the upstream has not read yet.
    pub fn own_pending_prefill(&self) -> Duration {
        self.pending_prefill.get()
    }

    /// Returns how long reading takes what all boxes sent and the upstream has not read yet.
    pub fn pending_prefill(&self, now: Now) -> Duration {
        self.pending_prefill.get() + self.peer_load.get().remaining_prefill(now)
    }

    /// Takes what other boxes have under way here.
    pub fn set_peer_load(&self, peer_load: PeerLoad) {
        self.peer_load.set(peer_load);
    }

    /// Adds a long read that another box begins here.
    pub fn add_peer_prefill(&self, prefill: Duration, now: Now) {
        let known = self.peer_load.get();
        self.peer_load.set(PeerLoad {
            pending_prefill: known.remaining_prefill(now) + prefill,
            outstanding: known.outstanding + 1,
            as_of: now.monotonic,
        });
    }

    /// Takes a report of load out of an answer.
    pub fn record_load_report(&self, load: ReportedLoad, now: Now) {
        self.report.set(Some(LoadReport {
            load,
            at: now.monotonic,
            outstanding_at_report: self.outstanding(),
        }));
    }

    /// Estimates the requests that the upstream has, of all boxes.
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

    /// Returns the occupied part of the slots; over one means that requests wait.
    pub fn slot_utilization(&self, now: Now) -> f64 {
        let slots = self.listed.borrow().slots.max(1);
        f64::from(self.occupancy(now)) / f64::from(slots)
    }

    /// Records a whole answer.
    pub fn record_success(&self, now: Now) {
        let mut health = self.health.get().decayed(now);
        health.successes += 1.0;
        health.back_off_until = Duration::ZERO;
        health.consecutive_back_offs = 0;
        health.connect_failed = false;
        self.health.set(health);
    }

    /// Records a request that the upstream failed though it took it.
    pub fn record_failure(&self, now: Now) {
        let mut health = self.health.get().decayed(now);
        health.failures += 1.0;
        self.health.set(health);
    }

    /// Records that the upstream fell silent.
    pub fn record_timeout(&self, now: Now) {
        self.start_back_off(now, false);
    }

    /// Records that the upstream took no connection.
    pub fn record_connect_failure(&self, now: Now) {
        self.start_back_off(now, true);
    }

    fn start_back_off(&self, now: Now, connect_failed: bool) {
        let mut health = self.health.get().decayed(now);
        health.failures += 1.0;
        health.connect_failed |= connect_failed;
        // Requests that fail together count as one reason to rest.
        if now.monotonic >= health.back_off_until {
            let back_off = INITIAL_BACK_OFF * 2u32.saturating_pow(health.consecutive_back_offs);
            health.back_off_until = now.monotonic + back_off.min(MAX_BACK_OFF);
            health.consecutive_back_offs =
                (health.consecutive_back_offs + 1).min(MAX_BACK_OFF_DOUBLINGS);
        }
        self.health.set(health);
    }

    /// Records that the upstream takes connections.
    pub fn record_connect_success(&self) {
        let mut health = self.health.get();
        if health.connect_failed {
            health.connect_failed = false;
            health.back_off_until = Duration::ZERO;
            self.health.set(health);
        }
    }

    /// Tells whether a connection has to succeed before the upstream is used again.
    pub fn needs_connect_success(&self) -> bool {
        self.health.get().connect_failed
    }

    /// Tells whether the upstream should get only what no other can take.
    pub fn is_backing_off(&self, now: Now) -> bool {
        let health = self.health.get();
        health.connect_failed || now.monotonic < health.back_off_until
    }

    /// Takes what the head of an answer says; that it leaves is never taken back.
    pub fn apply_head_signs(&self, signs: Signs, now: Now) {
        if signs.leaves {
            self.is_leaving.set(true);
        }
        if let Some(rest) = signs.rest {
            self.set_retry_after(rest, now);
        }
        if !signs.is_refusal {
            self.record_accepted_request(now);
        }
    }

    /// Tells whether an answer of the upstream said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Records that the upstream wants nothing from this box for so long.
    pub fn set_retry_after(&self, rest: Duration, now: Now) {
        let mut asked = self.retry_after.get();
        asked.ask(rest, now);
        self.retry_after.set(asked);
    }

    /// Records that the upstream took a request.
    pub fn record_accepted_request(&self, now: Now) {
        let mut asked = self.retry_after.get();
        asked.took_request(now);
        self.retry_after.set(asked);
    }

    /// Tells whether a rest goes on that the upstream asked for.
    pub fn is_in_retry_after(&self, now: Now) -> bool {
        self.retry_after.get().goes_on(now)
    }

    /// Returns how long the upstream takes no request of this box because it asked for rest; none
    /// if it takes one now.
    pub fn retry_after_left(&self, now: Now) -> Option<Duration> {
        self.retry_after.get().left(self.outstanding(), now)
    }

    /// Records that the upstream warms up for so long from now on.
    pub fn begin_warm_up(&self, duration: Duration, now: Now) {
        let mut state = self.warm_up.get();
        state.begin(duration, now);
        self.warm_up.set(state);
    }

    /// Tells whether the upstream warms up.
    pub fn is_warming_up(&self, now: Now) -> bool {
        self.warm_up.get().is_active(now)
    }

    /// Returns how much longer the upstream warms up; zero once it is warm.
    pub fn warm_up_left(&self, now: Now) -> Duration {
        self.warm_up.get().remaining(now)
    }

    /// Returns how long this box has to wait before it may send a request to the upstream, which
    /// warms up; none if it may now.
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

    /// Records that a request is about to go out.
    pub fn record_warm_up_send(&self, now: Now) {
        let mut state = self.warm_up.get();
        state.record_send(now);
        self.warm_up.set(state);
    }

    /// Records whether the operators have evacuated the upstream's hall.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        self.is_evacuated.set(is_evacuated);
    }

    /// Tells whether the operators have evacuated the upstream's hall.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated.get()
    }

    /// Records that something came from the upstream.
    pub fn record_data_received(&self, now: Now) {
        self.last_data_at.set(now.monotonic);
    }

    /// Returns how long nothing has come from the upstream to any request of this box,
    /// counted from a moment at the earliest.
    pub fn time_without_data(&self, moment: Duration, now: Now) -> Duration {
        now.monotonic
            .saturating_sub(moment.max(self.last_data_at.get()))
    }

    /// Returns how little the upstream is wanted, in parts of its slots: how full it is, how
    /// often it fails, and whether it rests.
    pub fn penalty(&self, now: Now) -> f64 {
        let back_off = if self.is_backing_off(now) {
            BACK_OFF_PENALTY_SLOT_FRACTION
        } else {
            0.0
        };
        self.slot_utilization(now) + self.failure_penalty(now) + back_off
    }

    fn failure_penalty(&self, now: Now) -> f64 {
        let rate = self.failure_rate(now);
        match rate > TOLERATED_FAILURE_RATE {
            true => rate * FAILURE_RATE_PENALTY_SLOT_FRACTION,
            false => 0.0,
        }
    }

    /// Returns the part of requests that it failed of late, from 0 to 1.
    pub fn failure_rate(&self, now: Now) -> f64 {
        let health = self.health.get().decayed(now);
        health.failures / (health.successes + health.failures + PRIOR_SUCCESSES)
    }
}
