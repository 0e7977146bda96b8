//! Finds out whether an upstream crashed when runs at it broke off.
//!
//! A broken connection alone does not tell: connections are reset, and halls are cut off. Where
//! an upstream's address refuses a connection right after, its process is gone, and whatever ran
//! there may be why.

use super::upstream::Upstream;
use crate::clock::Now;
use crate::crash_ledger::{AfterBreak, Part};
use crate::fingerprint::Fingerprint;
use crate::gateway::Gateway;
use crate::gateway::control::store::UpstreamLife;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// How long after a run broke off its upstream is asked for a connection: a process that ends
/// closes its connections and its listening socket one after the other.
const CHECK_DELAY: Duration = Duration::from_millis(15);
/// How long runs that broke off are kept, to be found at their upstream's crash: the others of
/// one crash are noticed within the time that a lost reset takes to be sent again.
const KEPT_FOR: Duration = Duration::from_secs(2);

/// The runs that broke off of late, by the life of their upstream.
#[derive(Debug, Default)]
pub struct CrashWatch {
    broken: RefCell<HashMap<UpstreamLife, BrokenRuns>>,
    rung: Notify,
}

/// The runs of one upstream that broke off.
#[derive(Debug)]
struct BrokenRuns {
    upstream: Rc<Upstream>,
    runs: Vec<BrokenRun>,
    first: Duration,
    state: CheckState,
}

/// A run that broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenRun {
    /// The request.
    pub request: Fingerprint,
    /// Its part, should the upstream have crashed.
    pub part: Part,
}

/// What the watch has to have done next.
#[derive(Debug, Default)]
struct Due {
    checks: Vec<Rc<Upstream>>,
    crashes: Vec<(Rc<Upstream>, Vec<BrokenRun>)>,
}

/// How the check of an upstream stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckState {
    Due,
    UnderWay,
    Crashed,
}

impl CrashWatch {
    /// Records that a run broke off at an upstream.
    fn add(&self, upstream: &Rc<Upstream>, run: BrokenRun, now: Now) {
        let mut broken = self.broken.borrow_mut();
        broken.retain(|_, known| now.monotonic.saturating_sub(known.first) < KEPT_FOR);
        let known = broken
            .entry(upstream.life().clone())
            .or_insert_with(|| BrokenRuns {
                upstream: upstream.clone(),
                runs: Vec::new(),
                first: now.monotonic,
                state: CheckState::Due,
            });
        known.runs.push(run);
        self.rung.notify_one();
    }

    /// Takes the upstreams whose check is due, and the runs of those that are known to be gone.
    fn take_due(&self) -> Due {
        let mut due = Due::default();
        for known in self.broken.borrow_mut().values_mut() {
            match known.state {
                CheckState::Due => {
                    known.state = CheckState::UnderWay;
                    due.checks.push(known.upstream.clone());
                }
                CheckState::Crashed if !known.runs.is_empty() => {
                    let runs = std::mem::take(&mut known.runs);
                    due.crashes.push((known.upstream.clone(), runs));
                }
                CheckState::UnderWay | CheckState::Crashed => {}
            }
        }
        due
    }

    /// Records what a check found; returns the runs of an upstream that has not crashed.
    fn checked(&self, life: &UpstreamLife, found: AfterBreak) -> Vec<BrokenRun> {
        let mut broken = self.broken.borrow_mut();
        match found {
            AfterBreak::Crashed => {
                if let Some(known) = broken.get_mut(life) {
                    known.state = CheckState::Crashed;
                }
                self.rung.notify_one();
                Vec::new()
            }
            AfterBreak::Alive | AfterBreak::Unreachable => broken
                .remove(life)
                .map_or_else(Vec::new, |known| known.runs),
        }
    }
}

impl Gateway {
    /// Records that a run broke off, and has its upstream checked for a crash.
    pub fn run_broke_off(&self, run: BrokenRun, upstream: &Rc<Upstream>, now: Now) {
        self.crashes.add(upstream, run, now);
    }

    /// Records what ran at an upstream when it crashed. One that was about to leave ended as
    /// planned, whatever ran there.
    fn record_crash(&self, upstream: &Upstream, runs: &[BrokenRun], now: Now) {
        if !self.knowledge.borrow().is_serving(upstream.life()) {
            return;
        }
        for run in runs {
            self.telemetry.record_request_at_crash(upstream, *run);
            let life = upstream.short_hash();
            self.quarantine.crashed(life, run.request, run.part, now);
        }
    }
}

/// Checks upstreams where runs broke off, for as long as the process lives.
pub async fn check_upstreams(gw: Rc<Gateway>) {
    loop {
        gw.crashes.rung.notified().await;
        let due = gw.crashes.take_due();
        for upstream in due.checks {
            actix_rt::spawn(check(gw.clone(), upstream));
        }
        for (upstream, runs) in due.crashes {
            gw.record_crash(&upstream, &runs, Now::read());
        }
    }
}

async fn check(gw: Rc<Gateway>, upstream: Rc<Upstream>) {
    sleep(CHECK_DELAY).await;
    let now = Now::read();
    let opened = gw.connections.open(&upstream, now).await;
    let found = AfterBreak::by(&opened);
    if let Ok(connection) = opened {
        gw.connections.rest(upstream.life(), connection, now);
    }
    gw.telemetry.record_upstream_check(&upstream, found);
    for run in gw.crashes.checked(upstream.life(), found) {
        if run.part == Part::OnTrial {
            gw.quarantine.end_trial(run.request, now);
        }
    }
}
