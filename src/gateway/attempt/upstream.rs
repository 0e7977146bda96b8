//! What a box knows of each upstream: what it lists of itself, and how it behaves.

use super::protocol::ReportedLoad;
use crate::clock::Now;
use crate::gateway::control::store::{ListedUpstream, UpstreamLife};
use crate::gateway::place::choose::draw;
use crate::gateway::place::warm_up::{Fleet, WarmUp, WarmingUp};
use crate::routing::backoff::RequestedBackoff;
use crate::routing::placement::{LoadGuard, UpstreamLoad};
use crate::routing::signals::ResponseSignals;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How fast old failures stop to matter: after this time they count half. Long enough
/// that an upstream which fails four in ten is told from a healthy one at a few requests
/// a second, short enough that it is tried again within seconds.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Imagined good answers that keep one failure of a new upstream from ruling it out.
const PRIOR_ANSWERS: f64 = 3.0;
/// How long an upstream that did not even take a connection, or that fell silent, gets
/// only what no other can take; the list drops a crashed one after three heartbeats.
const FIRST_REST: Duration = Duration::from_millis(1200);
/// The longest rest; each one in a row takes twice as long as the one before.
const LONGEST_REST: Duration = Duration::from_secs(5);
/// Rests after which they do not grow any more.
const MOST_DOUBLINGS: u32 = 4;
/// How long a report of load is trusted; upstreams serve from two requests a second up.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Fullness that a failure rate of one counts for, so that an upstream which fails some
/// of its requests loses to any that is not nearly full.
const FAILURE_WEIGHT: f64 = 4.0;
/// Failure rates below this are taken for chance.
const TOLERATED_FAILURES: f64 = 0.2;
/// What resting counts for: more than all else together, since the upstream did not even
/// take a connection.
const RESTING: f64 = 100.0;

/// One life of an upstream, shared by all requests of the box.
#[derive(Debug)]
pub struct Upstream {
    life: UpstreamLife,
    short_hash: u32,
    listed: RefCell<ListedUpstream>,
    load: Arc<UpstreamLoad>,
    health: Cell<Health>,
    report: Cell<Option<Report>>,
    lapsed_at: Cell<Option<Duration>>,
    unread: Rc<Cell<Duration>>,
    elsewhere: Cell<Elsewhere>,
    heard_at: Cell<Duration>,
    says_it_leaves: Cell<bool>,
    asked_rest: Cell<RequestedBackoff>,
    warming_up: Cell<WarmingUp>,
    is_evacuated: Cell<bool>,
}

/// What other boxes have under way at an upstream, as they told it last.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Elsewhere {
    /// How long reading the prompts that wait takes.
    pub unread: Duration,
    /// Requests under way.
    pub outstanding: u32,
    /// When this was so.
    pub as_of: Duration,
}

impl Elsewhere {
    /// Returns what is left to read by now, since the engine has read on.
    fn unread_by(self, now: Now) -> Duration {
        let age = now.monotonic.saturating_sub(self.as_of);
        self.unread.saturating_sub(age)
    }
}

/// Counts a prompt out when its first event came or the try ended.
#[derive(Debug)]
pub struct Unread {
    total: Rc<Cell<Duration>>,
    reading: Duration,
}

impl Drop for Unread {
    fn drop(&mut self) {
        self.total
            .set(self.total.get().saturating_sub(self.reading));
    }
}

/// A report of load, and what this box has sent since.
#[derive(Debug, Clone, Copy)]
struct Report {
    load: ReportedLoad,
    at: Duration,
    outstanding_then: u32,
}

/// Answers and failures of late, each fading with time.
#[derive(Debug, Clone, Copy, Default)]
struct Health {
    answers: f64,
    failures: f64,
    updated: Duration,
    rests_until: Duration,
    rests_in_a_row: u32,
    /// Whether the upstream took no connection, so that one has to succeed first.
    unconnectable: bool,
}

impl Health {
    fn faded(mut self, now: Now) -> Self {
        let age = now.monotonic.saturating_sub(self.updated);
        let factor = 0.5f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64());
        self.answers *= factor;
        self.failures *= factor;
        self.updated = now.monotonic;
        self
    }
}

impl Upstream {
    /// Makes an upstream that was just listed.
    pub fn new(listed: ListedUpstream) -> Rc<Self> {
        let life = listed.life();
        Rc::new(Self {
            // The lower half of a hash is as good as any other.
            short_hash: draw(&life.to_string()) as u32,
            life,
            listed: RefCell::new(listed),
            load: Arc::default(),
            health: Cell::default(),
            report: Cell::default(),
            lapsed_at: Cell::default(),
            unread: Rc::default(),
            elsewhere: Cell::default(),
            heard_at: Cell::default(),
            says_it_leaves: Cell::default(),
            asked_rest: Cell::default(),
            warming_up: Cell::default(),
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
    pub fn relist(&self, listed: ListedUpstream) {
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
    pub fn enter(&self) -> LoadGuard {
        self.load.track_request()
    }

    /// Returns this box's requests that the upstream has not finished.
    pub fn outstanding(&self) -> u32 {
        self.load.outstanding()
    }

    /// Counts a prompt that takes so long to read as waiting until the guard is dropped.
    pub fn begin_reading(&self, reading: Duration) -> Unread {
        self.unread.set(self.unread.get() + reading);
        Unread {
            total: self.unread.clone(),
            reading,
        }
    }

    /// Returns how long reading takes what this box sent and the upstream has not read yet.
    pub fn own_unread(&self) -> Duration {
        self.unread.get()
    }

    /// Returns how long reading takes what all boxes sent and the upstream has not read yet.
    pub fn unread(&self, now: Now) -> Duration {
        self.unread.get() + self.elsewhere.get().unread_by(now)
    }

    /// Takes what other boxes have under way here.
    pub fn set_elsewhere(&self, elsewhere: Elsewhere) {
        self.elsewhere.set(elsewhere);
    }

    /// Adds a long read that another box begins here.
    pub fn add_elsewhere(&self, reading: Duration, now: Now) {
        let known = self.elsewhere.get();
        self.elsewhere.set(Elsewhere {
            unread: known.unread_by(now) + reading,
            outstanding: known.outstanding + 1,
            as_of: now.monotonic,
        });
    }

    /// Takes a report of load out of an answer.
    pub fn reported(&self, load: ReportedLoad, now: Now) {
        self.report.set(Some(Report {
            load,
            at: now.monotonic,
            outstanding_then: self.outstanding(),
        }));
    }

    /// Estimates the requests that the upstream has, of all boxes.
    pub fn occupancy(&self, now: Now) -> u32 {
        let own = self.outstanding();
        match self.report.get() {
            Some(report) if now.monotonic.saturating_sub(report.at) < REPORT_LIFETIME => {
                let others = report.load.running + report.load.waiting;
                (others + own)
                    .saturating_sub(report.outstanding_then)
                    .max(own)
            }
            _ => own + self.elsewhere.get().outstanding,
        }
    }

    /// Returns the occupied part of the slots; over one means that requests wait.
    pub fn fullness(&self, now: Now) -> f64 {
        let slots = self.listed.borrow().slots.max(1);
        f64::from(self.occupancy(now)) / f64::from(slots)
    }

    /// Records a whole answer.
    pub fn answered(&self, now: Now) {
        let mut health = self.health.get().faded(now);
        health.answers += 1.0;
        health.rests_until = Duration::ZERO;
        health.rests_in_a_row = 0;
        health.unconnectable = false;
        self.health.set(health);
    }

    /// Records a request that the upstream failed though it took it.
    pub fn failed(&self, now: Now) {
        let mut health = self.health.get().faded(now);
        health.failures += 1.0;
        self.health.set(health);
    }

    /// Records that the upstream fell silent.
    pub fn fell_silent(&self, now: Now) {
        self.rest(now, false);
    }

    /// Records that the upstream took no connection.
    pub fn unconnectable(&self, now: Now) {
        self.rest(now, true);
    }

    fn rest(&self, now: Now, unconnectable: bool) {
        let mut health = self.health.get().faded(now);
        health.failures += 1.0;
        health.unconnectable |= unconnectable;
        // Requests that fail together count as one reason to rest.
        if now.monotonic >= health.rests_until {
            let rest = FIRST_REST * 2u32.saturating_pow(health.rests_in_a_row);
            health.rests_until = now.monotonic + rest.min(LONGEST_REST);
            health.rests_in_a_row = (health.rests_in_a_row + 1).min(MOST_DOUBLINGS);
        }
        self.health.set(health);
    }

    /// Records that the upstream takes connections.
    pub fn connectable(&self) {
        let mut health = self.health.get();
        if health.unconnectable {
            health.unconnectable = false;
            health.rests_until = Duration::ZERO;
            self.health.set(health);
        }
    }

    /// Tells whether a connection has to succeed before the upstream is used again.
    pub fn needs_connection(&self) -> bool {
        self.health.get().unconnectable
    }

    /// Tells whether the upstream should get only what no other can take.
    pub fn rests(&self, now: Now) -> bool {
        let health = self.health.get();
        health.unconnectable || now.monotonic < health.rests_until
    }

    /// Takes what the head of an answer says; that it leaves is never taken back.
    pub fn take_signs(&self, signs: ResponseSignals, now: Now) {
        if signs.is_leaving {
            self.says_it_leaves.set(true);
        }
        if let Some(rest) = signs.requested_backoff {
            self.asked_for_rest(rest, now);
        }
        if !signs.is_refusal {
            self.took_request(now);
        }
    }

    /// Tells whether an answer of the upstream said that it leaves.
    pub fn says_it_leaves(&self) -> bool {
        self.says_it_leaves.get()
    }

    /// Records that the upstream wants nothing from this box for so long.
    pub fn asked_for_rest(&self, rest: Duration, now: Now) {
        let mut asked = self.asked_rest.get();
        asked.extend(rest, now);
        self.asked_rest.set(asked);
    }

    /// Records that the upstream took a request.
    pub fn took_request(&self, now: Now) {
        let mut asked = self.asked_rest.get();
        asked.record_accepted(now);
        self.asked_rest.set(asked);
    }

    /// Tells whether a rest goes on that the upstream asked for.
    pub fn is_resting_as_asked(&self, now: Now) -> bool {
        self.asked_rest.get().is_active(now)
    }

    /// Returns how long the upstream takes no request of this box because it asked for rest; none
    /// if it takes one now.
    pub fn asked_rest_left(&self, now: Now) -> Option<Duration> {
        self.asked_rest.get().remaining(self.outstanding(), now)
    }

    /// Records that the upstream warms up for so long from now on.
    pub fn begin_warm_up(&self, lasts: Duration, now: Now) {
        let mut warming_up = self.warming_up.get();
        warming_up.begin(lasts, now);
        self.warming_up.set(warming_up);
    }

    /// Tells whether the upstream warms up.
    pub fn is_warming_up(&self, now: Now) -> bool {
        self.warming_up.get().goes_on(now)
    }

    /// Returns how much longer the upstream warms up; zero once it is warm.
    pub fn warm_up_left(&self, now: Now) -> Duration {
        self.warming_up.get().left(now)
    }

    /// Returns how long this box has to wait before it may send a request to the upstream, which
    /// warms up; none if it may now.
    pub fn turn_left(&self, warm_up: WarmUp, fleet: Fleet<'_>, now: Now) -> Option<Duration> {
        let mut warming_up = self.warming_up.get();
        let left = warming_up.wait(self.short_hash, warm_up, fleet, now);
        self.warming_up.set(warming_up);
        left
    }

    /// Records that a request is about to go out.
    pub fn take_turn(&self, now: Now) {
        let mut warming_up = self.warming_up.get();
        warming_up.sent(now);
        self.warming_up.set(warming_up);
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
    pub fn heard(&self, now: Now) {
        self.heard_at.set(now.monotonic);
    }

    /// Returns how long nothing has come from the upstream to any request of this box,
    /// counted from a moment at the earliest.
    pub fn silent_since(&self, moment: Duration, now: Now) -> Duration {
        now.monotonic
            .saturating_sub(moment.max(self.heard_at.get()))
    }

    /// Returns how little the upstream is wanted, in parts of its slots: how full it is, how
    /// often it fails, and whether it rests.
    pub fn penalty(&self, now: Now) -> f64 {
        let rests = if self.rests(now) { RESTING } else { 0.0 };
        self.fullness(now) + self.failure_penalty(now) + rests
    }

    fn failure_penalty(&self, now: Now) -> f64 {
        let rate = self.failure_rate(now);
        match rate > TOLERATED_FAILURES {
            true => rate * FAILURE_WEIGHT,
            false => 0.0,
        }
    }

    /// Returns the part of requests that it failed of late, from 0 to 1.
    pub fn failure_rate(&self, now: Now) -> f64 {
        let health = self.health.get().faded(now);
        health.failures / (health.answers + health.failures + PRIOR_ANSWERS)
    }
}
