//! Stops requests that crash their upstreams from being sent again.
//!
//! Routers report the crashes they saw to their agent, and agents exchange them; see
//! `docs/design/quarantine.md`.

use super::context::{RouterShared, refuse};
use crate::box_list::AGENT_SERVICE;
use crate::clock::Now;
use crate::crash_ledger::{
    CrashCheckResult, CrashLedger, CrashRecord, CrashRole, IncarnationHash, QuarantineState,
};
use crate::fingerprint::{Fingerprint, RequestFingerprints};
use crate::outcome::{DispatchLog, Reason, Refused};
use crate::routing::placement::Upstream;

use futures::future::select_ok;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// How long after an interruption the upstream's address is checked: a process that ends closes its
/// connections and its listening socket one after the other.
const CONNECT_CHECK_DELAY: Duration = Duration::from_millis(15);
/// The longest wait for the connection of that check.
const CONNECT_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// How many other upstreams are asked for a connection if one refuses it.
const MAX_COMPARED_UPSTREAMS: usize = 4;
/// The most records in one report to the agent.
const MAX_RECORDS_PER_REPORT: usize = 64;

/// The requests that this router knows to have been running at upstreams when these crashed.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    ledger: Mutex<CrashLedger>,
    /// Notified if the agent should get a report at once.
    pub changed: Notify,
}

impl CrashSuspects {
    fn ledger(&self) -> MutexGuard<'_, CrashLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Merges the records that the agent sent.
    pub fn merge(&self, records: &[CrashRecord], now: Now) {
        let mut ledger = self.ledger();
        for record in records {
            let subject = RequestFingerprints::from(record.subject);
            let before = ledger.quarantine_state(&subject, now);
            ledger.merge_record(record, now);
            log_state_change(before, &subject, &ledger, now);
        }
    }

    /// Returns the records for a report to the agent.
    pub fn report_records(&self, now: Now) -> Vec<CrashRecord> {
        self.ledger().top_records(MAX_RECORDS_PER_REPORT, now)
    }

    /// Updates what is known of a request, and triggers a report to the agent.
    fn update(&self, request: Fingerprint, now: Now, update: impl FnOnce(&mut CrashLedger)) {
        let mut ledger = self.ledger();
        let subject = RequestFingerprints::from(request);
        let before = ledger.quarantine_state(&subject, now);
        update(&mut ledger);
        log_state_change(before, &subject, &ledger, now);
        drop(ledger);
        self.changed.notify_one();
    }
}

/// Logs a change of a request's quarantine state.
fn log_state_change(
    before: QuarantineState,
    subject: &RequestFingerprints,
    ledger: &CrashLedger,
    now: Now,
) {
    let after = ledger.quarantine_state(subject, now);
    if std::mem::discriminant(&before) != std::mem::discriminant(&after) {
        let fingerprint = subject.own.to_string();
        log::warn!(fingerprint = fingerprint.as_str(); "{}", after.describe());
    }
}

/// Tracks one request for crashes of its upstreams.
#[derive(Debug)]
pub struct CrashGuard {
    shared: Arc<RouterShared>,
    request: Fingerprint,
    on_trial: Cell<bool>,
}

impl CrashGuard {
    /// Starts to track a request.
    pub fn new(shared: &Arc<RouterShared>, request: Fingerprint) -> Rc<Self> {
        Rc::new(Self {
            shared: shared.clone(),
            request,
            on_trial: Cell::new(false),
        })
    }

    /// Decides whether the request may be sent now.
    pub fn admit(&self, dispatch_log: &DispatchLog, now: Now) -> Result<(), Refused> {
        let state = self
            .shared
            .crash_suspects
            .ledger()
            .quarantine_state(&self.request.into(), now);
        let refused =
            |reason, message| Err(refuse(dispatch_log.refusal_outcome(), reason, message));
        match state {
            QuarantineState::Clear => Ok(()),
            QuarantineState::Suspect | QuarantineState::OnTrial(_) if self.on_trial.get() => Ok(()),
            QuarantineState::Suspect => {
                self.on_trial.set(true);
                let begin = |ledger: &mut CrashLedger| ledger.begin_trial(self.request, now);
                self.shared.crash_suspects.update(self.request, now, begin);
                Ok(())
            }
            QuarantineState::OnTrial(_) => refused(
                Reason::OnTrial,
                "upstreams crashed while they ran this request, and another send of it is on trial",
            ),
            QuarantineState::Quarantined | QuarantineState::PartQuarantined(_) => refused(
                Reason::CrashesUpstreams,
                "upstreams crash when they run this request",
            ),
        }
    }

    /// Checks whether the upstream of an interrupted attempt has crashed, and records the result.
    pub async fn check_for_crash(&self, upstream: &str, address: SocketAddr) {
        let was_on_trial = self.on_trial.take();
        sleep(CONNECT_CHECK_DELAY).await;
        let result = self.check_upstream(address).await;
        let now = Now::read();
        let fingerprint = self.request.to_string();
        let fingerprint = fingerprint.as_str();
        log::info!(upstream, fingerprint; "an attempt was interrupted: {result:?}");
        let role = match was_on_trial {
            true => CrashRole::OnTrial,
            false => CrashRole::Concurrent,
        };
        match result {
            CrashCheckResult::Crashed => {
                let incarnation = incarnation_hash(upstream, address);
                self.shared
                    .crash_suspects
                    .update(self.request, now, |ledger| {
                        ledger.add_crash(incarnation, self.request, role, now);
                    });
            }
            CrashCheckResult::Alive | CrashCheckResult::Unreachable if was_on_trial => {
                let end = |ledger: &mut CrashLedger| ledger.end_trial(self.request);
                self.shared.crash_suspects.update(self.request, now, end);
            }
            CrashCheckResult::Alive | CrashCheckResult::Unreachable => {}
        }
    }

    /// Finds out whether an upstream has crashed.
    ///
    /// A refusal may come from a partition of this box, so another upstream has to accept a
    /// connection, if any is listed.
    async fn check_upstream(&self, address: SocketAddr) -> CrashCheckResult {
        match CrashCheckResult::from_connect_result(&try_connect(address).await) {
            CrashCheckResult::Crashed if !self.reaches_another_upstream(address).await => {
                CrashCheckResult::Unreachable
            }
            result => result,
        }
    }

    async fn reaches_another_upstream(&self, address: SocketAddr) -> bool {
        let snapshot = self.shared.snapshot.load_full();
        let is_upstream = |service: &&String| *service != AGENT_SERVICE;
        let services = snapshot.upstreams.iter();
        let listed = services.filter(|(service, _)| is_upstream(service));
        let addresses = listed
            .flat_map(|(_, upstreams)| upstreams)
            .map(|found| found.address);
        let mut others: Vec<SocketAddr> = addresses.filter(|other| *other != address).collect();
        if others.is_empty() {
            return true;
        }
        // Different requests ask different upstreams.
        others.sort_by_key(|other| incarnation_hash(&self.request.to_string(), *other));
        others.truncate(MAX_COMPARED_UPSTREAMS);
        let connecting = others.into_iter().map(|other| Box::pin(try_connect(other)));
        select_ok(connecting).await.is_ok()
    }

    /// Records that the request was answered completely.
    pub fn record_answered(&self, now: Now) {
        if self.shared.crash_suspects.ledger().is_empty() {
            return;
        }
        self.shared
            .crash_suspects
            .update(self.request, now, |ledger| {
                ledger.add_answer(self.request, now);
            });
    }
}

/// A trial that ran nowhere, or that was abandoned, proves nothing.
impl Drop for CrashGuard {
    fn drop(&mut self) {
        if self.on_trial.get() {
            self.shared.crash_suspects.ledger().end_trial(self.request);
        }
    }
}

async fn try_connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = timeout(CONNECT_CHECK_TIMEOUT, TcpStream::connect(address)).await;
    connecting.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Identifies one incarnation of an upstream. The list doesn't distinguish incarnations, so an
/// upstream that crashes twice under one name and address counts once.
fn incarnation_hash(name: &str, address: SocketAddr) -> IncarnationHash {
    let text = format!("{name} {address}");
    // The lower half of the hash is as evenly distributed as any other part.
    xxhash_rust::xxh3::xxh3_64(text.as_bytes()) as u32
}

/// Runs the check in the background, where the end of a request must not wait for it.
pub fn check_for_crash_in_background(crash_guard: &Rc<CrashGuard>, upstream: &Upstream) {
    let (crash_guard, name, address) =
        (crash_guard.clone(), upstream.name.clone(), upstream.address);
    actix_rt::spawn(async move { crash_guard.check_for_crash(&name, address).await });
}
