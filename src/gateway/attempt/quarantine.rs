//! Withholds requests that crash their upstreams, or have parts that do, and shares what is known of them with other
//! boxes.
//!
//! The rules are in [`crate::crash_ledger`]; see `docs/design/quarantine.md`.

use crate::clock::Now;
use crate::crash_ledger::{CrashLedger, CrashRecord, CrashRole, IncarnationHash, QuarantineState};
use crate::fingerprint::{Fingerprint, RequestFingerprints};
use crate::gateway::peers::outbox::Outbox;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;

/// A box's crash ledger and the updates for other boxes.
#[derive(Debug, Default)]
pub struct Quarantine {
    ledger: RefCell<CrashLedger>,
    /// Updates that are still to be sent to other boxes.
    pub outbox: Outbox<QuarantineUpdate>,
}

/// What boxes send each other about requests that ran at upstreams when those crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineUpdate {
    /// The crash records of some requests and parts.
    Records(Vec<CrashRecord>),
    /// A trial starts: a suspect request, or one with a suspect part, is sent once, with no other send
    /// under way.
    TrialBegan(Fingerprint),
    /// A trial ended without a result, so that another one may start.
    TrialEnded(Fingerprint),
}

impl Quarantine {
    /// Returns whether a request may be sent.
    pub fn state(&self, request: &RequestFingerprints, now: Now) -> QuarantineState {
        self.ledger.borrow().quarantine_state(request, now)
    }

    /// Records that a request or part ran at an upstream when that upstream crashed.
    pub fn record_crash(
        &self,
        incarnation: IncarnationHash,
        subject: Fingerprint,
        role: CrashRole,
        now: Now,
    ) {
        self.change(subject, "crash", now, |ledger| {
            let record = ledger.add_crash(incarnation, subject, role, now);
            Some(QuarantineUpdate::Records(vec![record]))
        });
    }

    /// Records that a request, or one with a part, was answered.
    pub fn record_answer(&self, subject: Fingerprint, now: Now) {
        if self.ledger.borrow().is_empty() {
            return;
        }
        self.change(subject, "answer", now, |ledger| {
            let record = ledger.add_answer(subject, now)?;
            Some(QuarantineUpdate::Records(vec![record]))
        });
    }

    /// Starts a trial of a request at this box; returns what is on trial, itself or some of its
    /// parts.
    pub fn begin_trial(&self, request: &RequestFingerprints, now: Now) -> Vec<Fingerprint> {
        let suspects = self.ledger.borrow().suspects(request, now);
        for suspect in &suspects {
            self.change(*suspect, "trial", now, |ledger| {
                ledger.begin_trial(*suspect, now);
                Some(QuarantineUpdate::TrialBegan(*suspect))
            });
        }
        suspects
    }

    /// Ends a trial without a result: the request ran nowhere, or only its connection was lost.
    pub fn end_trial(&self, subject: Fingerprint, now: Now) {
        self.change(subject, "trial", now, |ledger| {
            ledger.end_trial(subject);
            Some(QuarantineUpdate::TrialEnded(subject))
        });
    }

    /// Applies an update from another box.
    pub fn apply_peer_update(&self, update: QuarantineUpdate, now: Now) {
        match update {
            QuarantineUpdate::Records(records) => {
                for record in records {
                    self.change(record.subject, "box", now, |ledger| {
                        ledger.merge_record(&record, now);
                        None
                    });
                }
            }
            QuarantineUpdate::TrialBegan(subject) => {
                self.ledger.borrow_mut().begin_trial(subject, now);
            }
            QuarantineUpdate::TrialEnded(subject) => {
                self.ledger.borrow_mut().end_trial(subject);
            }
        }
    }

    /// Returns the crash records that every box has to know.
    pub fn records_to_share(&self, now: Now) -> Vec<CrashRecord> {
        self.ledger.borrow().records_for_all_boxes(now)
    }

    /// Changes the ledger, logs a change of what may be done with a request or part, and queues the
    /// update for other boxes.
    fn change(
        &self,
        subject: Fingerprint,
        source: &str,
        now: Now,
        change: impl FnOnce(&mut CrashLedger) -> Option<QuarantineUpdate>,
    ) {
        let alone = RequestFingerprints::from(subject);
        let before = self.state(&alone, now);
        let update = change(&mut self.ledger.borrow_mut());
        let after = self.state(&alone, now);
        if std::mem::discriminant(&before) != std::mem::discriminant(&after) {
            let fingerprint = subject.to_string();
            let fingerprint = fingerprint.as_str();
            log::warn!(fingerprint, source; "{}", after.describe());
        }
        if let Some(update) = update {
            self.outbox.push(update);
        }
    }
}
