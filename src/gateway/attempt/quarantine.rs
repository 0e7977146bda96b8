//! Withholds requests that crash their upstreams, and shares what is known of them with other
//! boxes.
//!
//! The rules are in [`crate::crash_ledger`]; see `docs/design/quarantine.md`.

use crate::clock::Now;
use crate::crash_ledger::{CrashLedger, CrashRecord, CrashRole, IncarnationHash, QuarantineState};
use crate::fingerprint::Fingerprint;
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
    /// The crash records of some requests.
    Records(Vec<CrashRecord>),
    /// A trial of a request starts: a suspect request is sent once, with no other send of it under
    /// way.
    TrialBegan(Fingerprint),
    /// A trial of a request ended without a result, so that another one may start.
    TrialEnded(Fingerprint),
}

impl Quarantine {
    /// Returns whether a request may be sent.
    pub fn state(&self, request: Fingerprint, now: Now) -> QuarantineState {
        self.ledger.borrow().quarantine_state(request, now)
    }

    /// Records that a request ran at an upstream when that upstream crashed.
    pub fn record_crash(
        &self,
        incarnation: IncarnationHash,
        request: Fingerprint,
        role: CrashRole,
        now: Now,
    ) {
        self.change(request, "crash", now, |ledger| {
            let record = ledger.add_crash(incarnation, request, role, now);
            Some(QuarantineUpdate::Records(vec![record]))
        });
    }

    /// Records that a request was answered completely.
    pub fn record_answer(&self, request: Fingerprint, now: Now) {
        if self.ledger.borrow().is_empty() {
            return;
        }
        self.change(request, "answer", now, |ledger| {
            let record = ledger.add_answer(request, now)?;
            Some(QuarantineUpdate::Records(vec![record]))
        });
    }

    /// Starts a trial of a request at this box.
    pub fn begin_trial(&self, request: Fingerprint, now: Now) {
        self.change(request, "trial", now, |ledger| {
            ledger.begin_trial(request, now);
            Some(QuarantineUpdate::TrialBegan(request))
        });
    }

    /// Ends a trial without a result: the request ran nowhere, or only its connection was lost.
    pub fn end_trial(&self, request: Fingerprint, now: Now) {
        self.change(request, "trial", now, |ledger| {
            ledger.end_trial(request);
            Some(QuarantineUpdate::TrialEnded(request))
        });
    }

    /// Applies an update from another box.
    pub fn apply_peer_update(&self, update: QuarantineUpdate, now: Now) {
        match update {
            QuarantineUpdate::Records(records) => {
                for record in records {
                    self.change(record.request, "box", now, |ledger| {
                        ledger.merge_record(&record, now);
                        None
                    });
                }
            }
            QuarantineUpdate::TrialBegan(request) => {
                self.ledger.borrow_mut().begin_trial(request, now);
            }
            QuarantineUpdate::TrialEnded(request) => {
                self.ledger.borrow_mut().end_trial(request);
            }
        }
    }

    /// Returns the crash records that every box has to know.
    pub fn records_to_share(&self, now: Now) -> Vec<CrashRecord> {
        self.ledger.borrow().records_for_all_boxes(now)
    }

    /// Changes the ledger, logs a change of what may be done with the request, and queues the
    /// update for other boxes.
    fn change(
        &self,
        request: Fingerprint,
        source: &str,
        now: Now,
        change: impl FnOnce(&mut CrashLedger) -> Option<QuarantineUpdate>,
    ) {
        let before = self.state(request, now);
        let update = change(&mut self.ledger.borrow_mut());
        let after = self.state(request, now);
        if std::mem::discriminant(&before) != std::mem::discriminant(&after) {
            let fingerprint = request.to_string();
            let fingerprint = fingerprint.as_str();
            log::warn!(fingerprint, source; "{}", after.describe());
        }
        if let Some(update) = update {
            self.outbox.push(update);
        }
    }
}
