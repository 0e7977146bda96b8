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
use std::cell::RefCell;
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
    request: RequestFingerprints,
    /// What is on trial: the request, or messages that it shares with others.
    on_trial: RefCell<Vec<Fingerprint>>,
}

/// Whether an attempt had been answered in part when it was interrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerProgress {
    NotBegun,
    Begun,
}

impl CrashGuard {
    /// Starts to track a request.
    pub fn new(shared: &Arc<RouterShared>, request: RequestFingerprints) -> Rc<Self> {
        Rc::new(Self {
            shared: shared.clone(),
            request,
            on_trial: RefCell::default(),
        })
    }

    /// Decides whether the request may be sent now.
    pub fn admit(&self, dispatch_log: &DispatchLog, now: Now) -> Result<(), Refused> {
        let state = self
            .shared
            .crash_suspects
            .ledger()
            .quarantine_state(&self.request, now);
        let refused = |reason, message| refuse(dispatch_log.refusal_outcome(), reason, message);
        match state {
            QuarantineState::Clear => Ok(()),
            QuarantineState::Suspect | QuarantineState::OnTrial(_) if self.is_on_trial() => Ok(()),
            QuarantineState::Suspect => {
                self.begin_trial(now);
                Ok(())
            }
            QuarantineState::OnTrial(_) => Err(refused(
                Reason::OnTrial,
                "upstreams crashed while they ran this request, and another send of it is on trial",
            )),
            QuarantineState::Quarantined => Err(refused(
                Reason::CrashesUpstreams,
                "upstreams crash when they run this request",
            )),
            QuarantineState::PartQuarantined(left) => Err(Refused {
                retry_after: Some(left),
                ..refused(
                    Reason::PartCrashesUpstreams,
                    "upstreams crash when they run requests with a message that is in this one",
                )
            }),
        }
    }

    fn is_on_trial(&self) -> bool {
        !self.on_trial.borrow().is_empty()
    }

    fn begin_trial(&self, now: Now) {
        let suspects = &self.shared.crash_suspects;
        let on_trial = suspects.ledger().suspects(&self.request, now);
        for subject in &on_trial {
            suspects.update(*subject, now, |ledger| ledger.begin_trial(*subject, now));
        }
        self.on_trial.replace(on_trial);
    }

    /// Checks whether the upstream of an attempt that was interrupted before it was answered has
    /// crashed, and records the result.
    pub async fn check_for_crash(&self, upstream: &str, address: SocketAddr) {
        self.check(upstream, address, AnswerProgress::NotBegun)
            .await;
    }

    async fn check(&self, upstream: &str, address: SocketAddr, progress: AnswerProgress) {
        let on_trial = self.on_trial.take();
        sleep(CONNECT_CHECK_DELAY).await;
        let result = self.check_upstream(address).await;
        let now = Now::read();
        let fingerprint = self.request.own.to_string();
        let fingerprint = fingerprint.as_str();
        log::info!(upstream, fingerprint; "an attempt was interrupted: {result:?}");
        let suspects = &self.shared.crash_suspects;
        if result != CrashCheckResult::Crashed {
            for subject in on_trial {
                suspects.update(subject, now, |ledger| ledger.end_trial(subject));
            }
            return;
        }
        let incarnation = incarnation_hash(upstream, address);
        for subject in self.subjects_at_crash(progress) {
            let role = match on_trial.contains(&subject) {
                true => CrashRole::OnTrial,
                false => CrashRole::Concurrent,
            };
            suspects.update(subject, now, |ledger| {
                ledger.add_crash(incarnation, subject, role, now);
            });
        }
    }

    /// Returns what may have caused a crash. A shared message would have done so when the answer
    /// began.
    fn subjects_at_crash(&self, progress: AnswerProgress) -> Vec<Fingerprint> {
        match progress {
            AnswerProgress::NotBegun => self.request.iter().collect(),
            AnswerProgress::Begun => vec![self.request.own],
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
        others.sort_by_key(|other| incarnation_hash(&self.request.own.to_string(), *other));
        others.truncate(MAX_COMPARED_UPSTREAMS);
        let connecting = others.into_iter().map(|other| Box::pin(try_connect(other)));
        select_ok(connecting).await.is_ok()
    }

    /// Records that the request was answered completely.
    pub fn record_answered(&self, now: Now) {
        let suspects = &self.shared.crash_suspects;
        if suspects.ledger().is_empty() {
            return;
        }
        for subject in self.request.iter() {
            suspects.update(subject, now, |ledger| {
                ledger.add_answer(subject, now);
            });
        }
    }
}

/// A trial that ran nowhere, or that was abandoned, proves nothing.
impl Drop for CrashGuard {
    fn drop(&mut self) {
        for subject in self.on_trial.take() {
            self.shared.crash_suspects.ledger().end_trial(subject);
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

/// Checks in the background, where the end of a request must not wait for it, whether an upstream has
/// crashed that had answered in part.
pub fn check_for_crash_in_background(crash_guard: &Rc<CrashGuard>, upstream: &Upstream) {
    let (crash_guard, name, address) =
        (crash_guard.clone(), upstream.name.clone(), upstream.address);
    actix_rt::spawn(async move {
        crash_guard
            .check(&name, address, AnswerProgress::Begun)
            .await;
    });
}
