//! Closes new connections unread while the process has more to do than it can.
//!
//! The caller of a connection that was closed before anything of its request was read may send it
//! again, and reaches another box. Requests on open connections are served, and their answers ask
//! callers to leave. See `docs/design/saturation.md`.

use crate::clock::Now;
use crate::saturation::OwnDelay;
use crate::saturation::concurrency_limit::{ConcurrencyLimit, MIN_LIMIT};
use crate::saturation::withdrawal::Withdrawal;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// The longest time without an admitted connection while callers connect: a server that accepts
/// none would look dead, and would not find out that it has room again.
const MAX_ADMISSION_INTERVAL: Duration = Duration::from_millis(250);
/// The delay with which requests miss their objectives, as a multiple of the tolerated one.
const CRITICAL_FACTOR: u32 = 4;
/// How long callers on open connections are asked to leave after the process was full.
const FULL_LIFETIME: Duration = Duration::from_secs(1);
/// The time between two reports of a process that is at its limit.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Decides which new connections are served.
#[derive(Debug, Default)]
pub struct LoadShedder {
    limit: RefCell<ConcurrencyLimit>,
    withdrawal: RefCell<Withdrawal>,
    /// Held once by each admitted connection of which no request has been read.
    unread: Rc<()>,
    admitted_at: Cell<Duration>,
    full_at: Cell<Option<Duration>>,
    shed: Cell<u64>,
    reported_shed: Cell<u64>,
    next_report: Cell<Duration>,
}

/// How late a process is by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lateness {
    /// So little that its callers bear it.
    Tolerated,
    /// So much that new callers fare better elsewhere.
    Noticeable,
    /// So much that requests miss their objectives.
    Critical,
}

/// An admitted connection of which no request has been read, until this is dropped.
#[derive(Debug)]
pub struct UnreadConnection(#[expect(dead_code, reason = "counted")] Rc<()>);

impl Lateness {
    /// Classifies a delay by the one that callers bear.
    pub fn of(delay: OwnDelay, tolerated: Duration) -> Self {
        match delay.longest() {
            delay if delay > tolerated * CRITICAL_FACTOR => Self::Critical,
            delay if delay > tolerated => Self::Noticeable,
            _ => Self::Tolerated,
        }
    }
}

impl LoadShedder {
    /// Adjusts what is admitted to how late the process is by itself; `in_flight` is the number of
    /// requests that were read and not answered yet.
    pub fn adjust(&self, in_flight: u32, lateness: Lateness, now: Now) {
        let in_progress = self.in_progress(in_flight);
        let is_critical = lateness == Lateness::Critical;
        let mut limit = self.limit.borrow_mut();
        limit.adjust(in_progress, is_critical, now);
        if lateness != Lateness::Tolerated && in_progress > MIN_LIMIT {
            self.record_full(now);
        }
    }

    /// Admits a new connection, or returns `None` if it has to be closed unread.
    ///
    /// `has_memory` returns whether there is memory for its request; it is called only if the limit
    /// leaves room.
    pub fn admit(
        &self,
        in_flight: u32,
        has_memory: impl FnOnce() -> bool,
        now: Now,
    ) -> Option<UnreadConnection> {
        let is_due = now.monotonic.saturating_sub(self.admitted_at.get()) >= MAX_ADMISSION_INTERVAL;
        let has_room = || self.limit.borrow().has_room(self.in_progress(in_flight));
        let is_admitted = is_due || has_room() && has_memory();
        if !is_admitted {
            self.record_shed(now);
            return None;
        }
        self.admitted_at.set(now.monotonic);
        Some(UnreadConnection(self.unread.clone()))
    }

    /// Records that a new connection was closed unread.
    pub fn record_shed(&self, now: Now) {
        self.shed.set(self.shed.get() + 1);
        self.record_full(now);
    }

    /// Returns whether the process had more to do than it can within the last second.
    pub fn is_full(&self, now: Now) -> bool {
        let full_at = self.full_at.get();
        full_at.is_some_and(|at| now.monotonic.saturating_sub(at) < FULL_LIFETIME)
    }

    /// Returns whether new callers should be sent elsewhere.
    pub fn is_withdrawn(&self, now: Now) -> bool {
        self.withdrawal.borrow().is_withdrawn(now)
    }

    /// Returns how many connections were closed unread.
    pub fn shed_count(&self) -> u64 {
        self.shed.get()
    }

    /// Returns how many connections were closed unread since the last report if one is due: while the
    /// process is late or closes connections, once in each interval.
    pub fn take_report(&self, lateness: Lateness, now: Now) -> Option<u64> {
        let closed = self.shed.get() - self.reported_shed.get();
        let is_at_limit = lateness != Lateness::Tolerated || closed > 0;
        if !is_at_limit || now.monotonic < self.next_report.get() {
            return None;
        }
        self.reported_shed.set(self.shed.get());
        self.next_report.set(now.monotonic + REPORT_INTERVAL);
        Some(closed)
    }

    /// Returns how many requests may be in progress, if that is limited.
    pub fn limit(&self) -> Option<u32> {
        self.limit.borrow().get()
    }

    fn in_progress(&self, in_flight: u32) -> u32 {
        let unread = Rc::strong_count(&self.unread) - 1;
        in_flight.saturating_add(u32::try_from(unread).unwrap_or(u32::MAX))
    }

    fn record_full(&self, now: Now) {
        self.full_at.set(Some(now.monotonic));
        self.withdrawal.borrow_mut().record_full(now);
    }
}
