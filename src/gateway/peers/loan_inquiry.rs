//! Which slots a box's former process had lent and borrowed, as the other boxes know them.
//!
//! Loans outlast the process that made them. A box that has started does not use its share of the
//! slots before every other box has stated which of those slots it holds. See
//! `docs/design/rejection-limits.md`.

use super::slot_loans::{LoanKey, SlotMessage};
use crate::clock::{Now, millis};
use crate::gateway::Gateway;
use crate::gateway::place::slots::{LOAN_TIMEOUT, SLOT_RECHECK, STARTUP_HOLD};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// How soon boxes that have not answered are asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// A box learns of the limits in force within this time of its start. If it had lent or borrowed
/// slots before, a limit was in force.
const LIMITS_LEARNED_WITHIN: Duration = Duration::from_secs(5);

/// What this box knows of its former process's loans.
#[derive(Debug, Default)]
pub struct LoanInquiry {
    answered: RefCell<HashSet<SocketAddr>>,
    state: Cell<InquiryState>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum InquiryState {
    /// No limit is known yet.
    #[default]
    NotNeeded,
    /// The other boxes are asked.
    Asking {
        since: Duration,
        checked_at: Duration,
    },
    /// All loans are known.
    Finished,
}

impl LoanInquiry {
    /// Begins the inquiry if a limit is learned soon after the start of this process.
    pub fn begin(&self, uptime: Duration, now: Now) {
        if self.state.get() == InquiryState::NotNeeded {
            self.state.set(match uptime < LIMITS_LEARNED_WITHIN {
                true => InquiryState::Asking {
                    since: now.monotonic,
                    checked_at: Duration::ZERO,
                },
                false => InquiryState::Finished,
            });
            log::info!(uptime_ms = millis(uptime), is_asking = self.is_asking(); "learned of the first rejection limit");
        }
    }

    /// Records that a box has stated all that it holds of this box's slots.
    pub fn record_answer(&self, from: SocketAddr) {
        self.answered.borrow_mut().insert(from);
    }

    /// Returns whether all loans are known: all boxes have answered, and the first requests that boxes
    /// sent without knowing of a limit have probably ended.
    pub fn is_finished(&self, others: impl FnOnce() -> Vec<SocketAddr>, now: Now) -> bool {
        let InquiryState::Asking { since, checked_at } = self.state.get() else {
            return true;
        };
        let asked_for = now.monotonic.saturating_sub(since);
        let is_due = now.monotonic.saturating_sub(checked_at) >= SLOT_RECHECK;
        if asked_for < STARTUP_HOLD || !is_due {
            return false;
        }
        let unanswered = self.unanswered(others()).len();
        let is_finished = asked_for >= LOAN_TIMEOUT || unanswered == 0;
        if is_finished {
            log::info!(asked_ms = millis(asked_for), unanswered; "using the own share of slots");
        }
        self.state.set(match is_finished {
            true => InquiryState::Finished,
            false => InquiryState::Asking {
                since,
                checked_at: now.monotonic,
            },
        });
        is_finished
    }

    fn is_asking(&self) -> bool {
        matches!(self.state.get(), InquiryState::Asking { .. })
    }

    /// Returns the boxes that have not answered.
    pub fn unanswered(&self, mut others: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let answered = self.answered.borrow();
        others.retain(|address| !answered.contains(address));
        others
    }
}

impl Gateway {
    /// Returns whether this box knows which of its slots others hold.
    pub fn knows_former_loans(&self, now: Now) -> bool {
        self.loan_inquiry.begin(self.uptime(now), now);
        self.loan_inquiry.is_finished(|| self.other_boxes(), now)
    }

    /// Takes note of the start of another box, and states which of its slots this box holds.
    pub fn answer_started_box(&self, first_loan: u64, from: SocketAddr, now: Now) {
        for upstream in self.knowledge.borrow().upstreams() {
            for id in upstream.slots().former_loans(from, first_loan) {
                let message = SlotMessage::Recall(LoanKey::new(upstream, id));
                self.loans.outbox.push((from, message));
            }
        }
        self.loans.restate_loans(from, first_loan, now);
    }
}

/// Asks the other boxes for the loans of this box's former process, if a limit is learned soon after
/// the start.
pub async fn inquire_loans(gw: &Gateway) {
    loop {
        sleep(ASK_INTERVAL).await;
        let now = Now::read();
        if gw.has_rejection_limits(now) && !gw.knows_former_loans(now) {
            for address in gw.loan_inquiry.unanswered(gw.other_boxes()) {
                gw.loans.announce_start(address);
            }
        } else if gw.uptime(now) >= LIMITS_LEARNED_WITHIN && !gw.loan_inquiry.is_asking() {
            return;
        }
    }
}
