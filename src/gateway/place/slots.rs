//! Which slots of an upstream with a rejection limit this box may use, and what uses them.
//!
//! All boxes together use no more slots than the upstream has, so that it has no request to reject.
//! Each box has a share of the slots and counts what uses it: its own requests, the slots lent to
//! other boxes, and runs that were abandoned and may go on. See `docs/design/rejection-limits.md`.

use super::fleet_view::{FleetView, PositionCache};
use crate::clock::Now;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::peers::loan_book::Loan;
use crate::routing::rate_limit::LimitStatement;
use crate::routing::rejection_limit::{RejectionHistory, RejectionLimit, slot_share};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// How long a lent slot counts as used after the last message of its borrower. A box that is silent
/// for as long has ended: one that is late, or stood still, still holds its slots.
pub const LOAN_TIMEOUT: Duration = Duration::from_secs(30);
/// For how long a request may be written after its slot was certainly this box's. The rest of
/// [`LOAN_TIMEOUT`] is left for its run.
pub const SLOT_VALIDITY: Duration = LOAN_TIMEOUT.checked_div(2).unwrap();
/// How soon a slot that was recalled is recalled again, as a message may be lost.
const RECALL_INTERVAL: Duration = Duration::from_millis(200);
/// Upper bound on the number of loans that one process asks for.
const MAX_LOANS: u64 = 1 << 40;
/// How long a limit is in force after it was stated last. All answers state it, so that an upstream
/// of which this box has heard nothing for so long has no requests to reject.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(30);
/// How soon a request that found no free slot looks for one again, if none is freed before.
pub const SLOT_RECHECK: Duration = Duration::from_millis(20);
/// How long after its start a box uses no slots of its own: runs of its former process may go on.
pub const STARTUP_HOLD: Duration = Duration::from_millis(500);
/// The time of a run that is assumed before one has been measured.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(200);
/// The newest run contributes one part in this many to the mean.
const MEAN_RUN_DIVISOR: u32 = 8;

/// The rejection limit of an upstream and this box's share of its slots.
#[derive(Debug)]
pub struct UpstreamSlots {
    /// [`Upstream::short_hash`], by which boxes are ranked.
    upstream: u32,
    limit: Cell<RejectionLimit>,
    /// Whether an answer has changed the limit and the other boxes are not notified yet.
    has_new_limit: Cell<bool>,
    rejections: Cell<RejectionHistory>,
    position: PositionCache,
    /// How many of this box's requests in flight use slots of other boxes.
    borrowed: Cell<u32>,
    lent: RefCell<Vec<LentSlot>>,
    /// When runs that were abandoned have probably ended.
    abandoned: RefCell<Vec<Duration>>,
}

/// Identifies a slot that a box has borrowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LoanId {
    /// The box that borrows it.
    pub borrower: SocketAddr,
    /// The number that it gave the loan.
    pub number: u64,
}

#[derive(Debug, Clone, Copy)]
struct LentSlot {
    id: LoanId,
    until: Duration,
    /// When the borrower was asked to give it back.
    recalled_at: Option<Duration>,
}

impl UpstreamSlots {
    /// Creates the state of an upstream that has stated no rejection limit.
    pub fn new(upstream: u32) -> Self {
        Self {
            upstream,
            limit: Cell::default(),
            has_new_limit: Cell::default(),
            rejections: Cell::default(),
            position: PositionCache::default(),
            borrowed: Cell::default(),
            lent: RefCell::default(),
            abandoned: RefCell::default(),
        }
    }

    /// Returns the rejection limit in force, in rejections per second.
    pub fn limit(&self) -> Option<f64> {
        self.limit.get().limit()
    }

    /// Returns the newest statement of the upstream; none if it never stated a limit.
    pub fn statement(&self) -> Option<LimitStatement> {
        self.limit.get().statement()
    }

    /// Returns whether the limit is in force: the upstream has stated it lately.
    pub fn is_limited(&self, now: Now) -> bool {
        self.statement().is_some_and(|statement| {
            let age = now.monotonic.saturating_sub(statement.as_of);
            statement.limit.is_some() && age < STATEMENT_LIFETIME
        })
    }

    /// Records what an answer states, of a request that was sent at `sent`.
    pub fn record_statement(&self, limit: Option<u32>, sent: Now, now: Now) {
        let limit = limit.map(f64::from);
        if self.apply(LimitStatement::of_answer(limit, sent, now)) {
            self.has_new_limit.set(true);
        }
    }

    /// Returns whether an answer has changed the limit since the last call.
    pub fn take_new_limit(&self) -> bool {
        self.has_new_limit.take()
    }

    /// Applies a statement; returns whether the limit changed.
    pub fn apply(&self, statement: LimitStatement) -> bool {
        let mut limit = self.limit.get();
        let is_changed = limit.apply(statement);
        self.limit.set(limit);
        is_changed
    }

    /// Records that the upstream has rejected a request of any box for lack of room.
    pub fn record_rejection(&self, now: Now) {
        let mut rejections = self.rejections.get();
        rejections.record(now);
        self.rejections.set(rejections);
    }

    /// Returns how long no box sends a request because of a rejection.
    pub fn pause_left(&self, now: Now) -> Option<Duration> {
        self.rejections.get().pause_left(now)
    }

    /// Returns how many of the upstream's slots are this box's.
    pub fn share(&self, slots: u32, fleet: FleetView<'_>, now: Now) -> u32 {
        if fleet.uptime < STARTUP_HOLD || !fleet.has_own_rank() {
            return 0;
        }
        let position = self.position.position(self.upstream, fleet, now);
        let usable = self.rejections.get().usable_slots(slots, now);
        slot_share(usable, position.rank, position.boxes)
    }

    /// Returns the other boxes that have a share of the upstream's slots, and their shares.
    pub fn lenders(&self, slots: u32, fleet: FleetView<'_>, now: Now) -> Vec<(SocketAddr, u32)> {
        let usable = self.rejections.get().usable_slots(slots, now);
        let boxes = fleet.box_count();
        let others = fleet.ranked_others(self.upstream).into_iter();
        others
            .map(|(rank, address)| (address, slot_share(usable, rank, boxes)))
            .take_while(|(_, share)| *share > 0)
            .collect()
    }

    /// Returns how many slots of the share are used, given this box's requests in flight.
    pub fn in_use(&self, outstanding: u32, now: Now) -> u32 {
        let mut lent = self.lent.borrow_mut();
        lent.retain(|slot| {
            let is_extended = slot.until > now.monotonic;
            if !is_extended {
                let (upstream_hash, loan) = (self.upstream, slot.id.number);
                let borrower = slot.id.borrower.to_string();
                log::info!(upstream_hash, borrower = borrower.as_str(), loan; "a lent slot was not extended");
            }
            is_extended
        });
        let mut abandoned = self.abandoned.borrow_mut();
        abandoned.retain(|until| *until > now.monotonic);
        let others = u32::try_from(lent.len() + abandoned.len()).unwrap_or(u32::MAX);
        let own = outstanding.saturating_sub(self.borrowed.get());
        own.saturating_add(others)
    }

    /// Lends a slot, or extends the loan. A loan that this box does not know is one of its former
    /// process.
    pub fn lend(&self, id: LoanId, now: Now) {
        let until = now.monotonic + LOAN_TIMEOUT;
        let mut lent = self.lent.borrow_mut();
        match lent.iter_mut().find(|slot| slot.id == id) {
            Some(slot) => slot.until = until,
            None => lent.push(LentSlot {
                id,
                until,
                recalled_at: None,
            }),
        }
    }

    /// Returns the slot that was lent first of those that were not recalled just before; its
    /// borrower is to be asked to give it back.
    pub fn recall_oldest(&self, now: Now) -> Option<LoanId> {
        let mut lent = self.lent.borrow_mut();
        let was_recalled = |slot: &LentSlot| {
            slot.recalled_at
                .is_some_and(|at| now.monotonic.saturating_sub(at) < RECALL_INTERVAL)
        };
        let oldest = lent.iter_mut().find(|slot| !was_recalled(slot))?;
        oldest.recalled_at = Some(now.monotonic);
        Some(oldest.id)
    }

    /// Returns the loans of a box, given the number of the first loan of its present process, that
    /// belong to former ones.
    pub fn former_loans(&self, borrower: SocketAddr, first_loan: u64) -> Vec<LoanId> {
        let lent = self.lent.borrow();
        let ids = lent.iter().map(|slot| slot.id);
        ids.filter(|id| id.borrower == borrower && !is_numbered_from(first_loan, id.number))
            .collect()
    }

    /// Takes a slot back that a former process of its borrower held, whose run may go on until
    /// `run_end`.
    pub fn abandon_loan(&self, id: LoanId, run_end: Duration) {
        if self.end_loan(id) {
            self.abandoned.borrow_mut().push(run_end);
        }
    }

    /// Takes a lent slot back; returns whether it was lent.
    pub fn end_loan(&self, id: LoanId) -> bool {
        let mut lent = self.lent.borrow_mut();
        let known = lent.iter().position(|slot| slot.id == id);
        if let Some(index) = known {
            lent.remove(index);
        }
        known.is_some()
    }
}

/// Returns whether a process that numbers its loans from `first` on has given this number.
pub fn is_numbered_from(first: u64, number: u64) -> bool {
    number.wrapping_sub(first) < MAX_LOANS
}

/// What the boxes know of a service while its upstreams state rejection limits.
#[derive(Debug)]
pub struct ServiceSlots {
    /// Notified when a slot that this box may use is free again.
    pub freed: Notify,
    mean_run: Cell<Duration>,
}

impl Default for ServiceSlots {
    fn default() -> Self {
        Self {
            freed: Notify::new(),
            mean_run: Cell::new(DEFAULT_RUN_TIME),
        }
    }
}

impl ServiceSlots {
    /// Returns how long a request holds a slot, on average.
    pub fn mean_run(&self) -> Duration {
        self.mean_run.get()
    }

    fn record_run(&self, took: Duration) {
        let mean = self.mean_run.get();
        let rest = mean - mean / MEAN_RUN_DIVISOR;
        self.mean_run.set(rest + took / MEAN_RUN_DIVISOR);
    }
}

/// Whose slot a request holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOrigin {
    /// It needs none.
    None,
    /// One of this box's share.
    Own,
    /// One that another box has lent.
    Lent {
        /// The other box.
        lender: SocketAddr,
        /// The number of the loan.
        number: u64,
    },
}

impl fmt::Display for SlotOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => f.write_str("none"),
            Self::Own => f.write_str("own"),
            Self::Lent { lender, number } => write!(f, "{lender} {number}"),
        }
    }
}

/// A slot that one request holds until this is dropped, or longer if its run may go on.
#[derive(Debug)]
pub struct HeldSlot {
    upstream: Rc<Upstream>,
    service: Rc<ServiceSlots>,
    loan: Option<Loan>,
    began: Duration,
    may_run: Cell<bool>,
}

impl HeldSlot {
    /// Takes a slot of this box's share, or the one that was borrowed.
    pub fn take(
        upstream: &Rc<Upstream>,
        service: Rc<ServiceSlots>,
        loan: Option<Loan>,
        now: Now,
    ) -> Self {
        if loan.is_some() {
            let borrowed = &upstream.slots().borrowed;
            borrowed.set(borrowed.get().saturating_add(1));
        }
        Self {
            upstream: upstream.clone(),
            service,
            loan,
            began: now.monotonic,
            may_run: Cell::new(false),
        }
    }

    /// Returns whose slot it is.
    pub fn origin(&self) -> SlotOrigin {
        self.loan
            .as_ref()
            .map_or(SlotOrigin::Own, |loan| SlotOrigin::Lent {
                lender: loan.lender(),
                number: loan.number(),
            })
    }

    /// Returns until when the request may be written. After that, other boxes may use the slot.
    pub fn write_by(&self) -> Duration {
        self.loan
            .as_ref()
            .map_or(self.began + SLOT_VALIDITY, Loan::write_by)
    }

    /// Records that the request is written, so that the upstream may run it.
    pub fn record_sent(&self) {
        self.may_run.set(true);
    }

    /// Records that the upstream does not run the request, or no longer.
    pub fn record_not_running(&self) {
        self.may_run.set(false);
    }

    /// Records that the whole answer has arrived.
    pub fn record_answered(&self, now: Now) {
        self.may_run.set(false);
        self.service
            .record_run(now.monotonic.saturating_sub(self.began));
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        let slots = self.upstream.slots();
        if let Some(loan) = self.loan.take() {
            slots.borrowed.set(slots.borrowed.get().saturating_sub(1));
            match self.may_run.get() {
                true => loan.abandon_run(Now::read()),
                false => drop(loan),
            }
        } else if self.may_run.get() {
            let until = Now::read().monotonic + self.service.mean_run();
            slots.abandoned.borrow_mut().push(until);
        }
        self.service.freed.notify_one();
    }
}
