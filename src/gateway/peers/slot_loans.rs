//! Lends slots of upstreams with rejection limits between boxes.
//!
//! A box whose slots are all used asks another one for a slot. Without it, callers of a box with a
//! small share, or with more callers than the others, would be refused while slots are free. A lost
//! message costs a moment of one slot and never lets two boxes use it: the lender counts the slot
//! as used until it is given back, or the borrower has sent nothing for a while. See
//! `docs/design/rejection-limits.md`.

use super::outbox::Outbox;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::control::store::UpstreamLife;
use crate::gateway::place::slots::{LOAN_TIMEOUT, LoanId};
use rand::Rng as _;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// How long to wait for the answer of a lender: several round trips between halls.
const ASK_TIMEOUT: Duration = Duration::from_millis(40);
/// How many lenders one request asks, one after the other.
const MAX_ASKED: usize = 3;
/// How long a lender that had no free slot is not asked again, for each box of the fleet: the fewer
/// the boxes, the fewer ask it.
const DENIAL_MEMORY_PER_BOX: Duration = Duration::from_millis(10);
/// How long a lender that did not answer is not asked again.
const SILENCE_MEMORY: Duration = Duration::from_secs(1);
/// The time between two messages that extend the loans of a box.
const RENEWAL_INTERVAL: Duration = LOAN_TIMEOUT.checked_div(4).unwrap();
/// The number of remembered denials from which outdated ones are dropped.
const MAX_DENIALS: usize = 512;

/// A message about slots; upstreams are given by [`Upstream::short_hash`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotMessage {
    /// Asks for a slot, or extends the loan of one.
    Request(LoanKey),
    /// Lends a slot.
    Grant(LoanKey),
    /// The lender has no free slot.
    Denial(LoanKey),
    /// Gives a slot back.
    Return(LoanKey),
}

/// Identifies a loan between its two boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoanKey {
    upstream: u32,
    number: u64,
}

/// What this box has borrowed and asked for.
#[derive(Debug)]
pub struct LoanBook {
    next_number: Cell<u64>,
    pending: RefCell<HashMap<LoanKey, oneshot::Sender<bool>>>,
    held: RefCell<HashMap<LoanKey, SocketAddr>>,
    /// Until when lenders are not asked for a slot of an upstream, or of any.
    denied_until: RefCell<HashMap<(SocketAddr, Option<u32>), Duration>>,
    outbox: Outbox<(SocketAddr, SlotMessage)>,
}

impl Default for LoanBook {
    fn default() -> Self {
        Self {
            // Loans of an earlier process of this box must not be taken for those of this one.
            next_number: Cell::new(rand::rng().random()),
            pending: RefCell::default(),
            held: RefCell::default(),
            denied_until: RefCell::default(),
            outbox: Outbox::default(),
        }
    }
}

impl LoanBook {
    fn new_key(&self, upstream: u32) -> LoanKey {
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        LoanKey { upstream, number }
    }

    fn remember_denial(
        &self,
        lender: SocketAddr,
        upstream: Option<u32>,
        until: Duration,
        now: Now,
    ) {
        let mut denied = self.denied_until.borrow_mut();
        if denied.len() >= MAX_DENIALS {
            denied.retain(|_, until| *until > now.monotonic);
        }
        denied.insert((lender, upstream), until);
    }

    fn may_ask(&self, lender: SocketAddr, upstream: u32, now: Now) -> bool {
        let denied = self.denied_until.borrow();
        [Some(upstream), None].into_iter().all(|denied_for| {
            let until = denied.get(&(lender, denied_for));
            until.is_none_or(|until| *until <= now.monotonic)
        })
    }
}

/// A slot of another box, which is given back when this is dropped.
#[derive(Debug)]
pub struct Loan {
    key: LoanKey,
    lender: SocketAddr,
    is_given_back: bool,
    book: Rc<LoanBook>,
}

impl Loan {
    /// Leaves the slot to time out at the lender, since its run may go on.
    pub fn let_expire(mut self) {
        self.is_given_back = false;
    }

    /// Returns the box that lends the slot.
    pub fn lender(&self) -> SocketAddr {
        self.lender
    }
}

impl Drop for Loan {
    fn drop(&mut self) {
        self.book.held.borrow_mut().remove(&self.key);
        if self.is_given_back {
            let message = SlotMessage::Return(self.key);
            self.book.outbox.push((self.lender, message));
        }
    }
}

impl Gateway {
    /// Asks other boxes for a slot of an upstream of a service that a session may use and that has
    /// not been tried.
    pub async fn borrow_slot(
        &self,
        service: &str,
        session: &str,
        tried: &[UpstreamLife],
    ) -> Option<(Rc<Upstream>, Loan)> {
        for _ in 0..MAX_ASKED {
            let (upstream, lender) = self.choose_lender(service, session, tried, Now::read())?;
            if let Some(loan) = self.ask_for_slot(&upstream, lender).await {
                let is_open = upstream.slots().pause_left(Now::read()).is_none();
                return is_open.then_some((upstream, loan));
            }
        }
        None
    }

    fn choose_lender(
        &self,
        service: &str,
        session: &str,
        tried: &[UpstreamLife],
        now: Now,
    ) -> Option<(Rc<Upstream>, SocketAddr)> {
        let mut upstreams = self.upstreams_without_own_slot(service, session, now);
        upstreams.retain(|upstream| {
            !tried.contains(upstream.incarnation()) && !upstream.is_backing_off(now)
        });
        upstreams.shuffle(&mut rand::rng());
        let boxes = self.box_addresses();
        let fleet = self.fleet_view(&boxes, now);
        upstreams.into_iter().find_map(|upstream| {
            let mut lenders = upstream.slots().lenders(upstream.known_slots(), fleet, now);
            lenders.retain(|lender| self.loans.may_ask(*lender, upstream.short_hash(), now));
            let lender = lenders.choose(&mut rand::rng()).copied()?;
            Some((upstream, lender))
        })
    }

    async fn ask_for_slot(&self, upstream: &Upstream, lender: SocketAddr) -> Option<Loan> {
        let book = &self.loans;
        let key = book.new_key(upstream.short_hash());
        let (tx, rx) = oneshot::channel();
        book.pending.borrow_mut().insert(key, tx);
        book.outbox.push((lender, SlotMessage::Request(key)));
        let answer = self.saturation.timeout(ASK_TIMEOUT, rx).await;
        book.pending.borrow_mut().remove(&key);
        let now = Now::read();
        match answer {
            Some(Ok(true)) => {
                book.held.borrow_mut().insert(key, lender);
                return Some(Loan {
                    key,
                    lender,
                    is_given_back: true,
                    book: book.clone(),
                });
            }
            Some(Ok(false)) => {
                let boxes = u32::try_from(self.box_addresses().len()).unwrap_or(u32::MAX);
                let until = now.monotonic + DENIAL_MEMORY_PER_BOX * boxes;
                book.remember_denial(lender, Some(key.upstream), until, now);
            }
            Some(Err(_)) | None => {
                let until = now.monotonic + SILENCE_MEMORY;
                book.remember_denial(lender, None, until, now);
                // It may have lent a slot although its answer did not arrive.
                book.outbox.push((lender, SlotMessage::Return(key)));
            }
        }
        None
    }

    /// Handles another box's messages about slots.
    pub fn handle_slot_messages(&self, messages: &[SlotMessage], from: SocketAddr, now: Now) {
        for message in messages {
            match *message {
                SlotMessage::Request(key) => self.answer_slot_request(key, from, now),
                SlotMessage::Grant(key) => {
                    let pending = self.loans.pending.borrow_mut().remove(&key);
                    if pending.is_none_or(|tx| tx.send(true).is_err()) {
                        self.loans.outbox.push((from, SlotMessage::Return(key)));
                    }
                }
                SlotMessage::Denial(key) => {
                    if let Some(tx) = self.loans.pending.borrow_mut().remove(&key) {
                        // The request may have been abandoned, and then needs no slot.
                        let _ = tx.send(false);
                    }
                }
                SlotMessage::Return(key) => self.take_slot_back(key, from),
            }
        }
    }

    fn answer_slot_request(&self, key: LoanKey, from: SocketAddr, now: Now) {
        let id = LoanId {
            borrower: from,
            number: key.number,
        };
        let upstream = self.upstream_by_hash(key.upstream);
        let known = upstream
            .filter(|upstream| upstream.slots().has_lent(id) || self.may_lend_slot(upstream, now));
        let Some(upstream) = known else {
            self.loans.outbox.push((from, SlotMessage::Denial(key)));
            return;
        };
        let is_extended = upstream.slots().has_lent(id);
        upstream.slots().lend(id, now);
        if !is_extended {
            self.loans.outbox.push((from, SlotMessage::Grant(key)));
        }
    }

    /// Returns whether a slot of an upstream is free that no request of this box waits for.
    fn may_lend_slot(&self, upstream: &Upstream, now: Now) -> bool {
        let service = upstream.with_listed(|listed| listed.service.clone());
        let boxes = self.box_addresses();
        let fleet = self.fleet_view(&boxes, now);
        !self.is_stopping()
            && !self.rejection_limits.queue.has_waiting(&service)
            && self.slot_delay(upstream, fleet, now).is_none()
    }

    fn take_slot_back(&self, key: LoanKey, from: SocketAddr) {
        let id = LoanId {
            borrower: from,
            number: key.number,
        };
        if let Some(upstream) = self.upstream_by_hash(key.upstream) {
            upstream.slots().end_loan(id);
            let service = upstream.with_listed(|listed| listed.service.clone());
            self.rejection_limits.slots_of(&service).freed.notify_one();
        }
    }

    fn upstream_by_hash(&self, hash: u32) -> Option<Rc<Upstream>> {
        let knowledge = self.knowledge.borrow();
        let mut upstreams = knowledge.upstreams();
        upstreams
            .find(|upstream| upstream.short_hash() == hash)
            .cloned()
    }
}

/// Sends messages about slots to other boxes, for as long as the process runs.
pub async fn exchange_slots(gw: &Gateway, send: impl AsyncFn(&[SocketAddr], Vec<SlotMessage>)) {
    let send_queued = async {
        loop {
            let mut by_box: BTreeMap<SocketAddr, Vec<SlotMessage>> = BTreeMap::new();
            for (to, message) in gw.loans.outbox.next().await {
                by_box.entry(to).or_default().push(message);
            }
            for (to, messages) in by_box {
                send(&[to], messages).await;
            }
        }
    };
    tokio::join!(send_queued, extend_loans(gw));
}

async fn extend_loans(gw: &Gateway) {
    loop {
        sleep(RENEWAL_INTERVAL).await;
        for (key, lender) in gw.loans.held.borrow().iter() {
            gw.loans.outbox.push((*lender, SlotMessage::Request(*key)));
        }
    }
}
