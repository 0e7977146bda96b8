//! Lends slots of upstreams with rejection limits between boxes.
//!
//! A box whose slots are all used asks another one for a slot. Without it, callers of a box with a
//! small share, or with more callers than the others, would be refused while slots are free. The
//! lender counts a slot as used until it is given back, so that a lost or late message never lets two
//! boxes use it; one that is lost is made good by the next recall. What a box has
//! borrowed stands in [`super::loan_book`]. See `docs/design/rejection-limits.md`.

use super::loan_book::Loan;
use super::loan_inquiry::inquire_loans;
use super::outbox::Outbox;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::control::store::UpstreamLife;
use crate::gateway::place::slots::{LoanId, SLOT_VALIDITY};
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long to wait for the answer of a lender: several round trips between halls.
const ASK_TIMEOUT: Duration = Duration::from_millis(40);
/// How many lenders one request asks, one after the other.
const MAX_ASKED: usize = 3;
/// The most messages about slots in one datagram.
const MAX_MESSAGES_PER_DATAGRAM: usize = 1000;
/// The time between two messages that extend the loans of a box.
const EXTENSION_INTERVAL: Duration = SLOT_VALIDITY.checked_div(8).unwrap();

/// A message about slots; upstreams are given by [`Upstream::short_hash`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotMessage {
    /// Asks for a slot.
    Request(LoanKey),
    /// Lends a slot, or counts it as lent for longer.
    Grant(LoanKey),
    /// The lender has no free slot.
    Denial(LoanKey),
    /// Gives a slot back.
    Return(LoanKey),
    /// The lender asks for a slot that it has lent.
    Recall(LoanKey),
    /// The borrower still holds a slot.
    Extension(LoanKey),
    /// The sender has started, and numbers its loans from here on.
    Started(u64),
    /// The sender has extended all its loans of the receiver, which has started and stated this number
    /// of its first loan.
    AllStated(u64),
    /// A former process of the sender held a slot; its run may go on.
    Lost(LoanKey),
}

/// Identifies a loan between its two boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoanKey {
    /// The upstream.
    pub upstream: u32,
    /// The number that the borrower gave the loan.
    pub number: u64,
}

impl LoanKey {
    /// Identifies a loan that a lender has made.
    pub fn new(upstream: &Upstream, id: LoanId) -> Self {
        Self {
            upstream: upstream.short_hash(),
            number: id.number,
        }
    }

    /// Identifies the loan for its lender.
    pub fn of(self, borrower: SocketAddr) -> LoanId {
        LoanId {
            borrower,
            number: self.number,
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
            if let Some(loan) = self.ask_for_slot(&upstream, service, lender).await {
                let is_open = upstream.slots().pause_left(Now::read()).is_none();
                return is_open.then_some((upstream, loan));
            }
        }
        None
    }

    /// Returns the upstreams of which this box keeps a borrowed slot unused.
    pub fn with_kept_slots(&self, upstreams: &[Rc<Upstream>]) -> Vec<Rc<Upstream>> {
        let has_kept = |upstream: &&Rc<Upstream>| self.loans.has_idle(upstream.short_hash());
        upstreams.iter().filter(has_kept).cloned().collect()
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
            let hash = upstream.short_hash();
            let mut lenders = upstream.slots().lenders(upstream.known_slots(), fleet, now);
            lenders.retain(|(lender, share)| {
                self.loans.borrowed_from(*lender, hash) < *share
                    && self.loans.may_ask(*lender, hash, now)
            });
            let (lender, _) = lenders.choose(&mut rand::rng()).copied()?;
            Some((upstream, lender))
        })
    }

    async fn ask_for_slot(
        &self,
        upstream: &Upstream,
        service: &str,
        lender: SocketAddr,
    ) -> Option<Loan> {
        let slots = self.rejection_limits.slots_of(service);
        let hash = upstream.short_hash();
        let mut pending = self.loans.ask(lender, hash, slots, Now::read());
        let answered = self.saturation.timeout(ASK_TIMEOUT, pending.answered());
        if answered.await.is_none() {
            self.loans.record_silence(lender, Now::read());
        }
        pending.take()
    }

    /// Handles another box's messages about slots.
    pub fn handle_slot_messages(&self, messages: &[SlotMessage], from: SocketAddr, now: Now) {
        for message in messages {
            match *message {
                SlotMessage::Request(key) => self.answer_slot_request(key, from, now),
                SlotMessage::Grant(key) => self.loans.record_grant(key, from, now),
                SlotMessage::Denial(key) => self.loans.record_denial(key, from, now),
                SlotMessage::Return(key) => self.take_slot_back(key, from),
                SlotMessage::Lost(key) => self.abandon_loan(key, from, now),
                SlotMessage::Recall(key) => self.loans.recall(key, from),
                SlotMessage::Extension(key) => self.extend_loan(key, from, now),
                SlotMessage::Started(first_loan) => self.answer_started_box(first_loan, from, now),
                SlotMessage::AllStated(first_loan) if self.loans.is_first_loan(first_loan) => {
                    self.loan_inquiry.record_answer(from);
                }
                SlotMessage::AllStated(_) => {}
            }
        }
    }

    fn answer_slot_request(&self, key: LoanKey, from: SocketAddr, now: Now) {
        let id = key.of(from);
        let upstream = self.upstream_by_hash(key.upstream);
        let Some(upstream) = upstream else {
            self.loans.outbox.push((from, SlotMessage::Denial(key)));
            return;
        };
        if !self.may_lend_slot(&upstream, now) {
            self.loans.outbox.push((from, SlotMessage::Denial(key)));
            self.recall_slot(&upstream, now);
            return;
        }
        let boxes = self.box_addresses();
        let fleet = self.fleet_view(&boxes, now);
        self.telemetry.record_slot_lent(&upstream, id, fleet, now);
        upstream.slots().lend(id, now);
        self.loans.outbox.push((from, SlotMessage::Grant(key)));
    }

    /// Counts a slot as lent for longer.
    fn extend_loan(&self, key: LoanKey, from: SocketAddr, now: Now) {
        let id = key.of(from);
        if let Some(upstream) = self.upstream_by_hash(key.upstream) {
            upstream.slots().lend(id, now);
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

    /// Asks for one of this box's slots of some upstreams back, for a request that found none.
    pub fn recall_any_slot(&self, upstreams: &[Rc<Upstream>], now: Now) {
        for upstream in upstreams {
            if self.recall_slot(upstream, now) {
                return;
            }
        }
    }

    /// Asks for the slot of an upstream that was lent first; returns whether one is lent.
    fn recall_slot(&self, upstream: &Upstream, now: Now) -> bool {
        let Some(id) = upstream.slots().recall_oldest(now) else {
            return false;
        };
        let message = SlotMessage::Recall(LoanKey::new(upstream, id));
        self.loans.outbox.push((id.borrower, message));
        true
    }

    fn take_slot_back(&self, key: LoanKey, from: SocketAddr) {
        let id = key.of(from);
        if let Some(upstream) = self.upstream_by_hash(key.upstream) {
            if upstream.slots().end_loan(id) {
                self.telemetry.record_loan_end(&upstream, id, "returned");
            }
            let service = upstream.with_listed(|listed| listed.service.clone());
            self.rejection_limits.slots_of(&service).freed.notify_one();
        }
    }

    /// Takes a slot back once a run of the borrower's former process has probably ended.
    fn abandon_loan(&self, key: LoanKey, from: SocketAddr, now: Now) {
        let id = key.of(from);
        if let Some(upstream) = self.upstream_by_hash(key.upstream) {
            let service = upstream.with_listed(|listed| listed.service.clone());
            let run = self.rejection_limits.slots_of(&service).mean_run();
            upstream.slots().abandon_loan(id, now.monotonic + run);
            self.telemetry
                .record_loan_end(&upstream, id, "its borrower has started again");
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
    tokio::join!(
        send_queued(&gw.loans.outbox, send),
        extend_loans(gw),
        return_unused_slots(gw),
        inquire_loans(gw)
    );
}

async fn send_queued(
    outbox: &Outbox<(SocketAddr, SlotMessage)>,
    send: impl AsyncFn(&[SocketAddr], Vec<SlotMessage>),
) {
    loop {
        let mut by_box: BTreeMap<SocketAddr, Vec<SlotMessage>> = BTreeMap::new();
        for (to, message) in outbox.next().await {
            by_box.entry(to).or_default().push(message);
        }
        for (to, messages) in by_box {
            for part in messages.chunks(MAX_MESSAGES_PER_DATAGRAM) {
                send(&[to], part.to_vec()).await;
            }
        }
    }
}

async fn extend_loans(gw: &Gateway) {
    loop {
        sleep(EXTENSION_INTERVAL).await;
        gw.loans.extend_loans(Now::read());
    }
}

async fn return_unused_slots(gw: &Gateway) {
    loop {
        match gw.loans.return_unused(Now::read()) {
            Some(next) => sleep(next).await,
            None => gw.loans.became_idle.notified().await,
        }
    }
}
