//! The slots that this box has borrowed from others, and whom it may ask for more.
//!
//! A slot is not given back after each request: the next one uses it, as long as there is one soon.
//! So a box with many callers asks for each slot that it needs once, and not for each request. The
//! lender can ask for a slot back at any time. All messages about a loan change its one entry here
//! as they arrive, so that no request uses a slot that was given back. A loan ends by a message
//! of the borrower; only if that is silent for long does the lender take the slot back. See
//! `docs/design/rejection-limits.md`.

use super::outbox::Outbox;
use super::slot_loans::{LoanKey, SlotMessage};
use crate::clock::Now;
use crate::gateway::place::slots::{SLOT_VALIDITY, ServiceSlots, is_numbered_from};
use rand::Rng as _;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// How long a lender without a free slot is not asked again after a denial, and after many.
const FIRST_DENIAL_PAUSE: Duration = Duration::from_millis(10);
/// The longest such pause.
const MAX_DENIAL_PAUSE: Duration = Duration::from_millis(400);
/// How long a lender that did not answer is not asked again.
const SILENCE_PAUSE: Duration = Duration::from_secs(1);
/// The number of remembered pauses from which outdated ones are dropped.
const MAX_PAUSES: usize = 512;
/// The most messages that wait to be sent: those about all loans of a box with most callers of a
/// large fleet.
const MAX_MESSAGES: usize = 8192;
/// How much longer a loan has to hold to be used for another request.
const MIN_VALIDITY: Duration = Duration::from_secs(1);
/// The bounds of the time for which an unused slot is kept, which otherwise is the mean time of a
/// run.
const MIN_IDLE: Duration = Duration::from_millis(20);
const MAX_IDLE: Duration = Duration::from_millis(400);

/// What this box has borrowed and asked for.
#[derive(Debug)]
pub struct LoanBook {
    /// The number of the first loan of this process.
    first_number: u64,
    next_number: Cell<u64>,
    held: RefCell<HashMap<LoanKey, HeldLoan>>,
    /// The pauses of lenders, for one upstream or for all of them.
    pauses: RefCell<HashMap<(SocketAddr, Option<u32>), Pause>>,
    /// Messages to other boxes.
    pub outbox: Outbox<(SocketAddr, SlotMessage)>,
    /// Notified when a slot is unused.
    pub became_idle: Notify,
}

#[derive(Debug)]
struct HeldLoan {
    lender: SocketAddr,
    service: Rc<ServiceSlots>,
    state: LoanState,
    /// Dropped once the lender has answered.
    answer: Option<oneshot::Sender<()>>,
    confirmation: Confirmation,
}

/// Until when a loan certainly holds, whatever the lender does: it counts the slot as lent for
/// [`LOAN_TIMEOUT`] after it has received a message, so after that was sent.
#[derive(Debug, Clone, Copy)]
struct Confirmation {
    /// When the newest message was sent that the lender has certainly answered.
    confirmed: Option<Duration>,
    /// When the oldest message was sent that it has not answered.
    asked: Option<Duration>,
}

impl Confirmation {
    fn record_asked(&mut self, now: Now) {
        self.asked.get_or_insert(now.monotonic);
    }

    fn record_answer(&mut self) {
        self.confirmed = self.asked.take().or(self.confirmed);
    }

    /// Returns whether the loan holds for long enough to be used for another request.
    fn holds(self, now: Now) -> bool {
        self.write_by() >= now.monotonic + MIN_VALIDITY
    }

    fn write_by(self) -> Duration {
        self.confirmed
            .map_or(Duration::ZERO, |sent| sent + SLOT_VALIDITY)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoanState {
    /// The lender has not answered yet.
    Asked,
    /// A request uses it.
    InUse,
    /// A request uses it, and the lender wants it back after that.
    Recalled,
    /// It is kept for the next request.
    Idle(Duration),
    /// A run that was abandoned may use it until then.
    Abandoned(Duration),
}

/// A time for which a lender is not asked.
#[derive(Debug, Clone, Copy)]
struct Pause {
    until: Duration,
    length: Duration,
}

impl Default for LoanBook {
    fn default() -> Self {
        // Loans of an earlier process of this box must not be taken for those of this one.
        let first_number = rand::rng().random();
        Self {
            first_number,
            next_number: Cell::new(first_number),
            held: RefCell::default(),
            pauses: RefCell::default(),
            outbox: Outbox::with_limit(MAX_MESSAGES),
            became_idle: Notify::default(),
        }
    }
}

impl LoanBook {
    /// Asks another box for a slot of an upstream.
    pub fn ask(
        self: &Rc<Self>,
        lender: SocketAddr,
        upstream: u32,
        service: Rc<ServiceSlots>,
        now: Now,
    ) -> PendingLoan {
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let key = LoanKey { upstream, number };
        let (tx, rx) = oneshot::channel();
        let asked = HeldLoan {
            lender,
            service,
            state: LoanState::Asked,
            answer: Some(tx),
            confirmation: Confirmation {
                confirmed: None,
                asked: Some(now.monotonic),
            },
        };
        self.held.borrow_mut().insert(key, asked);
        self.outbox.push((lender, SlotMessage::Request(key)));
        PendingLoan {
            key,
            lender,
            answer: rx,
            book: self.clone(),
        }
    }

    /// Records that a lender has lent a slot, or counts it as lent for longer. The slot is given back
    /// if it was not asked for, or no longer.
    pub fn record_grant(&self, key: LoanKey, lender: SocketAddr, now: Now) {
        let mut held = self.held.borrow_mut();
        let Some(loan) = held.get_mut(&key) else {
            self.outbox.push((lender, SlotMessage::Return(key)));
            return;
        };
        loan.confirmation.record_answer();
        if loan.state == LoanState::Asked {
            loan.state = LoanState::Idle(now.monotonic);
            loan.answer = None;
            self.became_idle.notify_one();
            let paused = (lender, Some(key.upstream));
            self.pauses.borrow_mut().remove(&paused);
        }
    }

    /// Records that a lender has no free slot, or does not know of a loan: it has started again.
    pub fn record_denial(&self, key: LoanKey, lender: SocketAddr, now: Now) {
        let mut held = self.held.borrow_mut();
        match held.get(&key).map(|loan| loan.state) {
            Some(LoanState::Asked) => {
                held.remove(&key);
                self.pause_after_denial(lender, key.upstream, now);
            }
            Some(_) => {
                drop(held);
                self.recall(key, lender);
            }
            None => {}
        }
    }

    fn loan(self: &Rc<Self>, key: LoanKey, lender: SocketAddr) -> Loan {
        Loan {
            key,
            lender,
            book: self.clone(),
        }
    }

    /// Takes an unused slot of an upstream, the one that was used last, so that those that are not
    /// needed stay unused.
    pub fn take_idle(self: &Rc<Self>, upstream: u32, now: Now) -> Option<Loan> {
        let mut held = self.held.borrow_mut();
        let idle = held.iter_mut().filter_map(|(key, loan)| match loan.state {
            LoanState::Idle(since) if key.upstream == upstream && loan.confirmation.holds(now) => {
                Some((since, *key, loan))
            }
            _ => None,
        });
        let (_, key, loan) = idle.max_by_key(|(since, key, _)| (*since, key.number))?;
        loan.state = LoanState::InUse;
        let lender = loan.lender;
        drop(held);
        Some(self.loan(key, lender))
    }

    /// Returns until when a request may be written that uses a slot.
    fn write_by(&self, key: LoanKey) -> Duration {
        let held = self.held.borrow();
        held.get(&key)
            .map_or(Duration::ZERO, |loan| loan.confirmation.write_by())
    }

    /// Returns whether a slot of an upstream is kept unused.
    pub fn has_idle(&self, upstream: u32) -> bool {
        let held = self.held.borrow();
        let mut loans = held.iter();
        loans
            .any(|(key, loan)| key.upstream == upstream && matches!(loan.state, LoanState::Idle(_)))
    }

    /// Returns how many slots of an upstream this box has from a lender.
    pub fn borrowed_from(&self, lender: SocketAddr, upstream: u32) -> u32 {
        let held = self.held.borrow();
        let from_lender = held
            .iter()
            .filter(|(key, loan)| key.upstream == upstream && loan.lender == lender);
        u32::try_from(from_lender.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether another box answers the start of this process, and not of an earlier one.
    pub fn is_first_loan(&self, number: u64) -> bool {
        number == self.first_number
    }

    /// Lets another box know that this process has no loans of earlier ones.
    pub fn announce_start(&self, to: SocketAddr) {
        self.outbox
            .push((to, SlotMessage::Started(self.first_number)));
    }

    /// Lets the lenders know which slots this box still holds.
    pub fn extend_loans(&self, now: Now) {
        self.extend_loans_if(|_| true, now);
    }

    /// Lets a lender that has started know which slots this box still holds. What its former process
    /// may have lent meanwhile is not used.
    pub fn restate_loans(&self, lender: SocketAddr, first_loan: u64, now: Now) {
        let is_asked = |loan: &HeldLoan| loan.lender == lender && loan.state == LoanState::Asked;
        self.held.borrow_mut().retain(|_, loan| !is_asked(loan));
        self.extend_loans_if(|loan| loan.lender == lender, now);
        self.outbox
            .push((lender, SlotMessage::AllStated(first_loan)));
    }

    fn extend_loans_if(&self, is_due: impl Fn(&HeldLoan) -> bool, now: Now) {
        let mut held = self.held.borrow_mut();
        let lent = held
            .iter_mut()
            .filter(|(_, loan)| loan.state != LoanState::Asked && is_due(loan));
        for (key, loan) in lent {
            loan.confirmation.record_asked(now);
            self.outbox
                .push((loan.lender, SlotMessage::Extension(*key)));
        }
    }

    /// Gives a slot back that the lender asks for, or once the request that uses it has ended.
    pub fn recall(&self, key: LoanKey, lender: SocketAddr) {
        let mut held = self.held.borrow_mut();
        match held.get_mut(&key) {
            Some(loan) if matches!(loan.state, LoanState::InUse | LoanState::Recalled) => {
                loan.state = LoanState::Recalled;
            }
            Some(loan) if matches!(loan.state, LoanState::Abandoned(_)) => {}
            // If the lender has lent it before, its message is given back when it arrives.
            Some(_) | None => {
                held.remove(&key);
                let message = match is_numbered_from(self.first_number, key.number) {
                    true => SlotMessage::Return(key),
                    false => SlotMessage::Lost(key),
                };
                self.outbox.push((lender, message));
            }
        }
    }

    /// Gives back the slots that have been unused for as long as a request runs, and those of abandoned
    /// runs that have probably ended; returns after how long the next one is due, if there is one.
    pub fn return_unused(&self, now: Now) -> Option<Duration> {
        let mut next = None;
        self.held.borrow_mut().retain(|key, loan| {
            let until = match loan.state {
                // A lender that confirms nothing may have ended.
                LoanState::Idle(_) if !loan.confirmation.holds(now) => now.monotonic,
                LoanState::Idle(since) => since + loan.service.mean_run().clamp(MIN_IDLE, MAX_IDLE),
                LoanState::Abandoned(until) => until,
                LoanState::Asked | LoanState::InUse | LoanState::Recalled => return true,
            };
            let left = until.saturating_sub(now.monotonic);
            if left.is_zero() {
                self.outbox.push((loan.lender, SlotMessage::Return(*key)));
                return false;
            }
            next = Some(next.map_or(left, |next: Duration| next.min(left)));
            true
        });
        next
    }

    /// Each time in a row that a lender had no free slot, it is asked less often.
    fn pause_after_denial(&self, lender: SocketAddr, upstream: u32, now: Now) {
        let key = (lender, Some(upstream));
        let known = self.pauses.borrow().get(&key).copied();
        let length = known.map_or(FIRST_DENIAL_PAUSE, |pause| {
            (pause.length * 2).min(MAX_DENIAL_PAUSE)
        });
        self.pause(key, length, now);
    }

    /// Records that a lender did not answer.
    pub fn record_silence(&self, lender: SocketAddr, now: Now) {
        self.pause((lender, None), SILENCE_PAUSE, now);
    }

    fn pause(&self, key: (SocketAddr, Option<u32>), length: Duration, now: Now) {
        let mut pauses = self.pauses.borrow_mut();
        if pauses.len() >= MAX_PAUSES {
            pauses.retain(|_, pause| pause.until > now.monotonic);
        }
        let until = now.monotonic + length;
        pauses.insert(key, Pause { until, length });
    }

    /// Returns whether a lender may be asked for a slot of an upstream.
    pub fn may_ask(&self, lender: SocketAddr, upstream: u32, now: Now) -> bool {
        let pauses = self.pauses.borrow();
        [Some(upstream), None].into_iter().all(|paused_for| {
            let pause = pauses.get(&(lender, paused_for));
            pause.is_none_or(|pause| pause.until <= now.monotonic)
        })
    }
}

/// A slot that was asked for. The request is withdrawn if this is dropped before the lender has
/// answered.
#[derive(Debug)]
pub struct PendingLoan {
    key: LoanKey,
    lender: SocketAddr,
    answer: oneshot::Receiver<()>,
    book: Rc<LoanBook>,
}

impl PendingLoan {
    /// Waits until the lender has answered.
    pub async fn answered(&mut self) {
        // The sender is only dropped.
        let _ = (&mut self.answer).await;
    }

    /// Takes the slot for a request; `None` if it was not lent, or is no longer.
    pub fn take(self) -> Option<Loan> {
        let mut held = self.book.held.borrow_mut();
        let loan = held.get_mut(&self.key)?;
        if !matches!(loan.state, LoanState::Idle(_)) {
            return None;
        }
        loan.state = LoanState::InUse;
        Some(self.book.loan(self.key, self.lender))
    }

    /// Returns the key of the loan.
    pub fn key(&self) -> LoanKey {
        self.key
    }
}

impl Drop for PendingLoan {
    fn drop(&mut self) {
        let mut held = self.book.held.borrow_mut();
        let is_asked = |loan: &HeldLoan| loan.state == LoanState::Asked;
        if held.get(&self.key).is_some_and(is_asked) {
            held.remove(&self.key);
            // The lender may have lent it although its answer did not arrive.
            let message = SlotMessage::Return(self.key);
            self.book.outbox.push((self.lender, message));
        }
    }
}

/// A slot of another box that a request uses. It is kept for the next one when this is dropped.
#[derive(Debug)]
pub struct Loan {
    key: LoanKey,
    lender: SocketAddr,
    book: Rc<LoanBook>,
}

impl Loan {
    /// Gives the slot back once its run, which may go on, has probably ended.
    pub fn abandon_run(self, now: Now) {
        let mut held = self.book.held.borrow_mut();
        if let Some(loan) = held.get_mut(&self.key) {
            loan.state = LoanState::Abandoned(now.monotonic + loan.service.mean_run());
            self.book.became_idle.notify_one();
        }
    }

    /// Returns until when a request may be written that uses the slot.
    pub fn write_by(&self) -> Duration {
        self.book.write_by(self.key)
    }

    /// Returns the box that lends the slot.
    pub fn lender(&self) -> SocketAddr {
        self.lender
    }

    /// Returns the number that this box gave the loan.
    pub fn number(&self) -> u64 {
        self.key.number
    }
}

impl Drop for Loan {
    fn drop(&mut self) {
        let mut held = self.book.held.borrow_mut();
        let Some(loan) = held.get_mut(&self.key) else {
            return;
        };
        match loan.state {
            LoanState::Recalled => {
                held.remove(&self.key);
                let message = SlotMessage::Return(self.key);
                self.book.outbox.push((self.lender, message));
            }
            LoanState::Abandoned(_) => {}
            LoanState::Asked | LoanState::InUse | LoanState::Idle(_) => {
                loan.state = LoanState::Idle(Now::read().monotonic);
                self.book.became_idle.notify_one();
            }
        }
    }
}
