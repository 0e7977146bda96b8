//! Detects whether an upstream crashed when runs at it were interrupted.
//!
//! A broken connection alone is no proof: connections get reset, and halls get cut off from the
//! network. If the upstream's address refuses a new connection right afterwards while others accept
//! one, its process is gone, and any of the requests that ran there may be the cause.

use super::upstream::Upstream;
use super::upstream_paths::{ConnectError, ProbeWay};
use crate::clock::Now;
use crate::crash_ledger::{CrashCheckResult, CrashRole};
use crate::fingerprint::Fingerprint;
use crate::gateway::Gateway;
use crate::gateway::control::store::UpstreamLife;
use crate::gateway::peers::tunnel_client::{TunnelError, TunnelTarget};
use futures::future::select_ok;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Delay between an interrupted run and the connection check of its upstream: a process that ends
/// closes its connections and its listening socket one after the other.
const CHECK_DELAY: Duration = Duration::from_millis(15);
/// How many other upstreams are asked for a connection if one refuses it.
const MAX_COMPARED_UPSTREAMS: usize = 3;
/// How long interrupted runs are kept so that they can be attributed to a crash: the other runs of
/// the same crash are noticed within the time that a lost TCP reset takes to be sent again.
const INTERRUPTED_RUN_RETENTION: Duration = Duration::from_secs(2);

/// The recently interrupted runs, by the incarnation of their upstream.
#[derive(Debug, Default)]
pub struct CrashDetector {
    interrupted: RefCell<HashMap<UpstreamLife, InterruptedRuns>>,
    work_added: Notify,
    /// Notified when a check has ended, and when crashes have been recorded.
    checked: Notify,
}

/// The interrupted runs at one upstream.
#[derive(Debug)]
struct InterruptedRuns {
    upstream: Rc<Upstream>,
    runs: Vec<InterruptedRun>,
    first_at: Duration,
    state: CheckState,
}

/// A run of a request whose connection broke before the answer was complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InterruptedRun {
    /// The id of this send of the request.
    pub request_id: String,
    /// The request's own fingerprint.
    pub request: Fingerprint,
    /// What may have caused a crash, the request or parts of its prompt, and the role of each.
    pub subjects: Vec<(Fingerprint, CrashRole)>,
    /// How long before the interruption the answer had begun, if it had.
    pub answered_for: Option<Duration>,
}

impl InterruptedRun {
    /// Iterates over what was on trial in this run.
    pub fn trials(&self) -> impl Iterator<Item = &(Fingerprint, CrashRole)> {
        let subjects = self.subjects.iter();
        subjects.filter(|(_, role)| *role == CrashRole::OnTrial)
    }
}

/// The work that is due: upstreams to check, and crashes to record.
#[derive(Debug, Default)]
struct DueWork {
    checks: Vec<Rc<Upstream>>,
    crashes: Vec<(Rc<Upstream>, Vec<InterruptedRun>)>,
}

/// State of the connection check of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckState {
    Due,
    InProgress,
    Crashed,
}

impl CrashDetector {
    /// Records an interrupted run.
    fn add(&self, upstream: &Rc<Upstream>, run: InterruptedRun, now: Now) {
        let mut interrupted = self.interrupted.borrow_mut();
        interrupted.retain(|_, known| {
            now.monotonic.saturating_sub(known.first_at) < INTERRUPTED_RUN_RETENTION
        });
        let known = interrupted
            .entry(upstream.incarnation().clone())
            .or_insert_with(|| InterruptedRuns {
                upstream: upstream.clone(),
                runs: Vec::new(),
                first_at: now.monotonic,
                state: CheckState::Due,
            });
        known.runs.push(run);
        self.work_added.notify_one();
    }

    /// Takes the upstreams whose check is due, and the runs at upstreams that are known to have
    /// crashed.
    fn take_due(&self) -> DueWork {
        let mut due = DueWork::default();
        for known in self.interrupted.borrow_mut().values_mut() {
            match known.state {
                CheckState::Due => {
                    known.state = CheckState::InProgress;
                    due.checks.push(known.upstream.clone());
                }
                CheckState::Crashed if !known.runs.is_empty() => {
                    let runs = std::mem::take(&mut known.runs);
                    due.crashes.push((known.upstream.clone(), runs));
                }
                CheckState::InProgress | CheckState::Crashed => {}
            }
        }
        due
    }

    /// Waits until the interrupted runs at an upstream have been checked, and recorded if it crashed.
    pub async fn wait_until_checked(&self, incarnation: &UpstreamLife) {
        loop {
            let changed = self.checked.notified();
            if !self.has_unchecked_runs(incarnation) {
                return;
            }
            changed.await;
        }
    }

    fn has_unchecked_runs(&self, incarnation: &UpstreamLife) -> bool {
        let interrupted = self.interrupted.borrow();
        let known = interrupted.get(incarnation);
        known.is_some_and(|known| !known.runs.is_empty())
    }

    /// Records the result of a check; returns the runs of the upstream if it has not crashed.
    fn finish_check(
        &self,
        incarnation: &UpstreamLife,
        found: CrashCheckResult,
    ) -> Vec<InterruptedRun> {
        let mut interrupted = self.interrupted.borrow_mut();
        match found {
            CrashCheckResult::Crashed => {
                if let Some(known) = interrupted.get_mut(incarnation) {
                    known.state = CheckState::Crashed;
                }
                self.work_added.notify_one();
                Vec::new()
            }
            CrashCheckResult::Alive | CrashCheckResult::Unreachable => interrupted
                .remove(incarnation)
                .map_or_else(Vec::new, |known| known.runs),
        }
    }
}

impl Gateway {
    /// Records that a run was interrupted, and schedules a crash check of its upstream.
    pub fn record_interrupted_run(&self, run: InterruptedRun, upstream: &Rc<Upstream>, now: Now) {
        self.crashes.add(upstream, run, now);
    }

    /// Records the requests that ran at an upstream when it crashed. An upstream that was about to
    /// leave has ended as planned, whatever ran there.
    fn record_crash(&self, upstream: &Upstream, runs: &[InterruptedRun], now: Now) {
        if !self.knowledge.borrow().is_serving(upstream.incarnation()) {
            return;
        }
        let incarnation = upstream.short_hash();
        for run in runs {
            self.telemetry.record_request_at_crash(upstream, run);
            for (subject, role) in &run.subjects {
                self.quarantine
                    .record_crash(incarnation, *subject, *role, now);
            }
        }
    }
}

/// Checks upstreams with interrupted runs for crashes; runs for the lifetime of the process.
pub async fn check_interrupted_upstreams(gw: Rc<Gateway>) {
    loop {
        gw.crashes.work_added.notified().await;
        let due = gw.crashes.take_due();
        for upstream in due.checks {
            actix_rt::spawn(check(gw.clone(), upstream));
        }
        for (upstream, runs) in due.crashes {
            gw.record_crash(&upstream, &runs, Now::read());
        }
        gw.crashes.checked.notify_waiters();
    }
}

async fn check(gw: Rc<Gateway>, upstream: Rc<Upstream>) {
    sleep(CHECK_DELAY).await;
    let now = Now::read();
    let found = gw.check_for_crash(&upstream, now).await;
    gw.telemetry.record_upstream_check(&upstream, found);
    for run in gw.crashes.finish_check(upstream.incarnation(), found) {
        for (subject, _) in run.trials() {
            gw.quarantine.end_trial(*subject, now);
        }
    }
    gw.crashes.checked.notify_waiters();
}

impl Gateway {
    /// Finds out whether an upstream has crashed.
    ///
    /// A refusal may come from a fault of this box's own network, so that another upstream has to
    /// accept a connection, or another box has to be refused as well.
    async fn check_for_crash(&self, upstream: &Rc<Upstream>, now: Now) -> CrashCheckResult {
        let service = upstream.with_listed(|listed| listed.service.clone());
        if !self.connections.is_lost(&service, now) {
            match self.connections.open_by(upstream, ProbeWay::Direct).await {
                Ok(connection) => {
                    self.connections.release(upstream, connection, None, now);
                    return CrashCheckResult::Alive;
                }
                Err(ConnectError::Upstream(err))
                    if err.kind() != io::ErrorKind::ConnectionRefused =>
                {
                    return CrashCheckResult::Unreachable;
                }
                Err(ConnectError::BoxLate) => return CrashCheckResult::Unreachable,
                Err(_) if self.reaches_beside(upstream).await => return CrashCheckResult::Crashed,
                Err(_) => {}
            }
        }
        let target = TunnelTarget {
            upstream: upstream.short_hash(),
            service: &service,
        };
        match self.connections.tunnels().open(target, Now::read()).await {
            Ok(_) => CrashCheckResult::Alive,
            Err(TunnelError::Refused) => CrashCheckResult::Crashed,
            // Nobody else can tell, and there is nothing to compare with.
            Err(TunnelError::NoPeer(None)) if self.upstreams_beside(upstream).is_empty() => {
                CrashCheckResult::Crashed
            }
            Err(_) => CrashCheckResult::Unreachable,
        }
    }

    /// Returns whether a refusal that this box got for another one comes from the upstream, as far as
    /// it can be compared with others.
    pub async fn confirms_refusal(&self, upstream: &Upstream) -> bool {
        self.upstreams_beside(upstream).is_empty() || self.reaches_beside(upstream).await
    }

    /// Returns whether this box can connect to other upstreams of the same hall, so that one that
    /// refuses a connection does so itself.
    async fn reaches_beside(&self, upstream: &Upstream) -> bool {
        let others = self.upstreams_beside(upstream);
        let connecting = others
            .iter()
            .map(|other| Box::pin(self.connections.connect_directly(other)));
        match others.is_empty() {
            true => false,
            false => select_ok(connecting).await.is_ok(),
        }
    }

    /// Returns the upstreams to compare one with: of the same hall if there are any, and by preference
    /// those that have not failed lately.
    fn upstreams_beside(&self, upstream: &Upstream) -> Vec<Rc<Upstream>> {
        let hall = upstream.with_listed(|listed| listed.hall.clone());
        let now = Now::read();
        let knowledge = self.knowledge.borrow();
        let is_other = |other: &&Rc<Upstream>| {
            other.incarnation() != upstream.incarnation()
                && knowledge.is_serving(other.incarnation())
        };
        let mut others: Vec<Rc<Upstream>> =
            knowledge.upstreams().filter(is_other).cloned().collect();
        let is_elsewhere = |other: &Upstream| other.with_listed(|listed| listed.hall != hall);
        if others.iter().any(|other| !is_elsewhere(other)) {
            others.retain(|other| !is_elsewhere(other));
        }
        others.sort_by_key(|other| self.connections.has_failed_lately(other, now));
        others.truncate(MAX_COMPARED_UPSTREAMS);
        others
    }
}
