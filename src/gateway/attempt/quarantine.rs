//! Which requests this box keeps from its upstreams, and what it tells other boxes of them.
//!
//! What is decided stands in [`crate::crash_ledger`]; see `docs/design/quarantine.md`.

use crate::clock::Now;
use crate::crash_ledger::{CrashLedger, CrashRecord, LifeHash, Part, Standing};
use crate::fingerprint::Fingerprint;
use crate::gateway::peers::outbox::Outbox;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;

/// The ledger of a box, and what other boxes have still to be told of it.
#[derive(Debug, Default)]
pub struct Quarantine {
    ledger: RefCell<CrashLedger>,
    /// What other boxes have still to be told.
    pub outbox: Outbox<QuarantineUpdate>,
}

/// What boxes tell each other of requests that were at crashes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineUpdate {
    /// What is known of some requests.
    Records(Vec<CrashRecord>),
    /// A request is on trial from now on.
    TrialBegan(Fingerprint),
    /// A request's trial ended without telling anything, so that another one may begin.
    TrialEnded(Fingerprint),
}

impl Quarantine {
    /// Returns what may be done with a request.
    pub fn standing(&self, request: Fingerprint, now: Now) -> Standing {
        self.ledger.borrow().standing(request, now)
    }

    /// Records a request that ran at an upstream when that crashed.
    pub fn record_crash(&self, life: LifeHash, request: Fingerprint, part: Part, now: Now) {
        self.change(request, "crash", now, |ledger| {
            let record = ledger.crashed(life, request, part, now);
            Some(QuarantineUpdate::Records(vec![record]))
        });
    }

    /// Records that a request was answered whole.
    pub fn record_answer(&self, request: Fingerprint, now: Now) {
        if self.ledger.borrow().is_empty() {
            return;
        }
        self.change(request, "answer", now, |ledger| {
            let record = ledger.answered(request, now)?;
            Some(QuarantineUpdate::Records(vec![record]))
        });
    }

    /// Begins a trial of a request here.
    pub fn begin_trial(&self, request: Fingerprint, now: Now) {
        self.change(request, "trial", now, |ledger| {
            ledger.begin_trial(request, now);
            Some(QuarantineUpdate::TrialBegan(request))
        });
    }

    /// Ends a trial that told nothing: the request ran nowhere, or only its connection was lost.
    pub fn end_trial(&self, request: Fingerprint, now: Now) {
        self.change(request, "trial", now, |ledger| {
            ledger.end_trial(request);
            Some(QuarantineUpdate::TrialEnded(request))
        });
    }

    /// Takes what another box told.
    pub fn apply_peer_update(&self, update: QuarantineUpdate, now: Now) {
        match update {
            QuarantineUpdate::Records(records) => {
                for record in records {
                    self.change(record.request, "box", now, |ledger| {
                        ledger.take(&record, now);
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

    /// Returns what every box has to know.
    pub fn records_to_share(&self, now: Now) -> Vec<CrashRecord> {
        self.ledger.borrow().to_tell(now)
    }

    /// Changes the ledger, logs what became of a request by it, and keeps the news to be told.
    fn change(
        &self,
        request: Fingerprint,
        source: &str,
        now: Now,
        change: impl FnOnce(&mut CrashLedger) -> Option<QuarantineUpdate>,
    ) {
        let before = self.standing(request, now);
        let update = change(&mut self.ledger.borrow_mut());
        let standing = self.standing(request, now);
        if std::mem::discriminant(&before) != std::mem::discriminant(&standing) {
            let fingerprint = request.to_string();
            let fingerprint = fingerprint.as_str();
            log::warn!(fingerprint, source; "{}", standing.describe());
        }
        if let Some(update) = update {
            self.outbox.push(update);
        }
    }
}
