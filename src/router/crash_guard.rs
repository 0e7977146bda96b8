//! Keeps requests that crash their upstreams from being sent on.
//!
//! Routers report what they saw to their agent, and agents pool it with each other; see
//! `docs/design/quarantine.md`.

use super::context::{RouterShared, refuse};
use crate::clock::Now;
use crate::crash_ledger::{
    CrashCheckResult, CrashLedger, CrashRecord, CrashRole, IncarnationHash, QuarantineState,
};
use crate::fingerprint::Fingerprint;
use crate::outcome::{DispatchLog, Reason, Refused};
use crate::routing::placement::Upstream;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// How long after a run broke off its upstream is asked for a connection: a process that ends
/// closes its connections and its listening socket one after the other.
const CHECK_DELAY: Duration = Duration::from_millis(15);
/// The longest wait for that connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// The most records in one report to the agent.
const RECORDS_PER_REPORT: usize = 64;

/// What a router knows of requests that were at crashes.
#[derive(Debug, Default)]
pub struct Suspects {
    ledger: Mutex<CrashLedger>,
    /// Rings when the agent should hear of something at once.
    pub changed: Notify,
}

impl Suspects {
    fn ledger(&self) -> MutexGuard<'_, CrashLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes what the agent has heard.
    pub fn take(&self, records: &[CrashRecord], now: Now) {
        let mut ledger = self.ledger();
        for record in records {
            let before = ledger.quarantine_state(record.request, now);
            ledger.merge_record(record, now);
            note_standing(before, record.request, &ledger, now);
        }
    }

    /// Returns what the agent is told.
    pub fn records(&self, now: Now) -> Vec<CrashRecord> {
        self.ledger().top_records(RECORDS_PER_REPORT, now)
    }

    /// Changes what is known of a request here, and has the agent told.
    fn change(&self, request: Fingerprint, now: Now, change: impl FnOnce(&mut CrashLedger)) {
        let mut ledger = self.ledger();
        let before = ledger.quarantine_state(request, now);
        change(&mut ledger);
        note_standing(before, request, &ledger, now);
        drop(ledger);
        self.changed.notify_one();
    }
}

/// Logs a change of what may be done with a request.
fn note_standing(before: QuarantineState, request: Fingerprint, ledger: &CrashLedger, now: Now) {
    let standing = ledger.quarantine_state(request, now);
    if std::mem::discriminant(&before) != std::mem::discriminant(&standing) {
        let fingerprint = request.to_string();
        log::warn!(fingerprint = fingerprint.as_str(); "{}", standing.describe());
    }
}

/// One request on its way, as far as crashes are concerned.
#[derive(Debug)]
pub struct CrashGuard {
    shared: Arc<RouterShared>,
    request: Fingerprint,
    on_trial: Cell<bool>,
}

impl CrashGuard {
    /// Begins to watch a request.
    pub fn new(shared: &Arc<RouterShared>, request: Fingerprint) -> Rc<Self> {
        Rc::new(Self {
            shared: shared.clone(),
            request,
            on_trial: Cell::new(false),
        })
    }

    /// Decides whether the request may be sent now.
    pub fn admit(&self, log: &DispatchLog, now: Now) -> Result<(), Refused> {
        let standing = self
            .shared
            .suspects
            .ledger()
            .quarantine_state(self.request, now);
        let refused = |reason, message| Err(refuse(log.refusal_outcome(), reason, message));
        match standing {
            QuarantineState::Clear => Ok(()),
            QuarantineState::Suspect | QuarantineState::OnTrial(_) if self.on_trial.get() => Ok(()),
            QuarantineState::Suspect => {
                self.on_trial.set(true);
                let begin = |ledger: &mut CrashLedger| ledger.begin_trial(self.request, now);
                self.shared.suspects.change(self.request, now, begin);
                Ok(())
            }
            QuarantineState::OnTrial(_) => refused(
                Reason::OnTrial,
                "upstreams crashed that ran this request, and another send of it is tried alone",
            ),
            QuarantineState::Quarantined => refused(
                Reason::CrashesUpstreams,
                "upstreams crash that run this request",
            ),
        }
    }

    /// Finds out whether the upstream where a run broke off has crashed, and records it.
    pub async fn broke_off(&self, upstream: &str, address: SocketAddr) {
        let was_on_trial = self.on_trial.take();
        sleep(CHECK_DELAY).await;
        let found = CrashCheckResult::from_connect_result(&connect(address).await);
        let now = Now::read();
        let fingerprint = self.request.to_string();
        let fingerprint = fingerprint.as_str();
        log::info!(upstream, fingerprint; "a run broke off: {found:?}");
        let part = match was_on_trial {
            true => CrashRole::OnTrial,
            false => CrashRole::Concurrent,
        };
        match found {
            CrashCheckResult::Crashed => {
                let life = life_hash(upstream, address);
                self.shared.suspects.change(self.request, now, |ledger| {
                    ledger.add_crash(life, self.request, part, now);
                });
            }
            CrashCheckResult::Alive | CrashCheckResult::Unreachable if was_on_trial => {
                let end = |ledger: &mut CrashLedger| ledger.end_trial(self.request);
                self.shared.suspects.change(self.request, now, end);
            }
            CrashCheckResult::Alive | CrashCheckResult::Unreachable => {}
        }
    }

    /// Records that the request was answered whole.
    pub fn answered(&self, now: Now) {
        if self.shared.suspects.ledger().is_empty() {
            return;
        }
        self.shared.suspects.change(self.request, now, |ledger| {
            ledger.add_answer(self.request, now);
        });
    }
}

/// The trial of a request that ran nowhere, or that was given up, tells nothing.
impl Drop for CrashGuard {
    fn drop(&mut self) {
        if self.on_trial.get() {
            self.shared.suspects.ledger().end_trial(self.request);
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    connecting.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Names one life of an upstream. The list tells no lives apart, so an upstream that crashes twice
/// under one name and address counts once.
fn life_hash(name: &str, address: SocketAddr) -> IncarnationHash {
    let text = format!("{name} {address}");
    // The lower half of a hash is as good as any other.
    xxhash_rust::xxh3::xxh3_64(text.as_bytes()) as u32
}

/// Runs a check aside, where a request's end must not wait for it.
pub fn check_aside(guard: &Rc<CrashGuard>, upstream: &Upstream) {
    let (guard, name, address) = (guard.clone(), upstream.name.clone(), upstream.address);
    actix_rt::spawn(async move { guard.broke_off(&name, address).await });
}
