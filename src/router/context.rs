//! State that the router's threads share, and the state of each thread.

use super::agent_client::AgentClient;
use super::crash_guard::CrashSuspects;
use super::own_limit::OwnLimit;
use super::recent_finishes::RecentFinishes;
use super::telemetry::RouterMetrics;
use crate::claim::{AttemptId, ClaimKey, ClaimReply, Finish};
use crate::clock::Now;
use crate::decision_record::DecisionRecord;
use crate::evidence::{AnswerCounts, EvidenceCell, EvidenceSubject};
use crate::http_client::{pooled_client, unpooled_client};
use crate::name::VersionName;
use crate::outcome::{Outcome, Reason, Refused};
use crate::routing::admission::Admission;
use crate::routing::budget::RetryBudget;
use crate::routing::snapshot::Snapshot;
use crate::settings::router::RouterSettings;
use crate::wire::message::{ControlRequest, ControlResponse};
use crate::wire::tls::FleetTls;
use arc_swap::ArcSwap;
use awc::Client;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_util::task::TaskTracker;

/// How long after its start a router holds requests while it has no bundle. Agents send the bundle
/// within some milliseconds; if there is no agent, refusing the callers is better.
const INITIAL_BUNDLE_WAIT: Duration = Duration::from_secs(2);
/// The interval of the checks whether a bundle has been received.
const INITIAL_BUNDLE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a router waits for the agent's reply to a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(700);
/// How long the end of a response is held back for its billing record while no agent can be
/// reached.
const FINISH_WAIT_LIMIT: Duration = Duration::from_secs(3);
/// How long the router keeps retrying after that.
const FINISH_RETRY_LIMIT: Duration = Duration::from_secs(60);

/// State that all threads of a router share.
#[derive(Debug)]
pub struct RouterShared {
    /// The settings.
    pub settings: RouterSettings,
    /// The TLS identity for calls to agents.
    pub tls: FleetTls,
    /// The current configuration and fleet state.
    pub snapshot: ArcSwap<Snapshot>,
    /// The retry budget.
    pub retry_budget: RetryBudget,
    /// The admitted requests of each organisation.
    pub admission: Arc<Admission>,
    /// The metrics.
    pub metrics: RouterMetrics,
    /// Queues decision records for the agent.
    pub record_sender: mpsc::Sender<DecisionRecord>,
    /// Identifies this router process in its evidence reports.
    pub reporter: String,
    /// The counts of this router process.
    pub evidence: Mutex<HashMap<EvidenceSubject, AnswerCounts>>,
    /// How recent requests ended.
    pub recent_finishes: RecentFinishes,
    /// Requests that were running at upstreams when these crashed.
    pub crash_suspects: CrashSuspects,
    /// Finish records that no agent has accepted yet although the responses were sent.
    pub undelivered_finishes: TaskTracker,
    /// The monotonic time at which the router started.
    pub started: Duration,
}

impl RouterShared {
    /// Waits until this router is ready to serve, for a limited time after its start.
    ///
    /// A successor shares the callers' address with the router that it replaces, so it gets some of
    /// the callers as soon as it listens, whether it is ready or not.
    pub async fn wait_until_ready(&self) {
        let deadline = self.started + INITIAL_BUNDLE_WAIT;
        while !self.snapshot.load().is_ready() && Now::read().monotonic < deadline {
            sleep(INITIAL_BUNDLE_POLL_INTERVAL).await;
        }
    }

    /// Returns the evidence subject of a request that is sent now to a version for an organisation.
    pub fn evidence_subject(&self, version: &VersionName, organisation: &str) -> EvidenceSubject {
        EvidenceSubject {
            version: version.clone(),
            organisation: organisation.to_owned(),
            lift: self.snapshot.load().control.newest_lift(version),
        }
    }

    /// Updates the counts of an evidence subject.
    pub fn update_counts(&self, subject: &EvidenceSubject, update: impl FnOnce(&mut AnswerCounts)) {
        let mut evidence = self.evidence.lock().unwrap_or_else(PoisonError::into_inner);
        update(evidence.entry(subject.clone()).or_default());
    }

    /// Returns this router's counts for a report to the agent.
    pub fn evidence_cells(&self) -> Vec<EvidenceCell> {
        let evidence = self.evidence.lock().unwrap_or_else(PoisonError::into_inner);
        let cell = |(subject, counts): (&EvidenceSubject, &AnswerCounts)| EvidenceCell {
            reporter: self.reporter.clone(),
            subject: subject.clone(),
            counts: *counts,
        };
        evidence.iter().map(cell).collect()
    }
}

/// The state of one thread of a router.
pub struct Worker {
    /// State that all threads share.
    pub shared: Arc<RouterShared>,
    /// The client that reuses connections.
    pub pooled_client: Client,
    /// The client that opens a connection for each request.
    pub unpooled_client: Client,
    /// The client for the agents of the fleet.
    pub agents: AgentClient,
    /// The limit of what this thread takes on.
    pub own_limit: OwnLimit,
}

impl std::fmt::Debug for Worker {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Worker")
            .field("agents", &self.agents)
            .finish_non_exhaustive()
    }
}

impl Worker {
    /// Creates the state of one thread.
    pub fn new(shared: Arc<RouterShared>) -> Rc<Self> {
        Rc::new(Self {
            pooled_client: pooled_client(),
            unpooled_client: unpooled_client(),
            agents: AgentClient::new(shared.clone()),
            own_limit: OwnLimit::default(),
            shared,
        })
    }

    /// Returns the current configuration and fleet state.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.shared.snapshot.load_full()
    }

    /// Requests a claim. If no agent replies, the claim is released in the background.
    pub async fn claim(
        self: &Rc<Self>,
        key: &ClaimKey,
        attempt: AttemptId,
        time_limit: Duration,
    ) -> ClaimReply {
        let request = ControlRequest::Claim {
            key: key.clone(),
            attempt,
            relayed: false,
        };
        let reply = match self
            .agents
            .call(&request, CLAIM_TIMEOUT.min(time_limit))
            .await
        {
            Ok(ControlResponse::Claim(reply)) => reply,
            Ok(_) => ClaimReply::NotNow("the agent sent an unexpected response".to_owned()),
            Err(err) => ClaimReply::NotNow(format!("the agent did not respond: {err}")),
        };
        if matches!(reply, ClaimReply::NotNow(_)) {
            self.release_in_background(key.clone(), attempt);
        }
        reply
    }

    /// Releases the claim of a request that was never dispatched.
    pub fn release_in_background(self: &Rc<Self>, key: ClaimKey, attempt: AttemptId) {
        let worker = self.clone();
        actix_rt::spawn(async move {
            let request = ControlRequest::Release {
                key,
                attempt,
                relayed: false,
            };
            if let Err(err) = worker.agents.call(&request, CLAIM_TIMEOUT).await {
                log::debug!(
                    "a claim was not released, so repeats are refused as already running: {err}"
                );
            }
        });
    }

    /// Records how a request ended, and returns once an agent has accepted it. While no agent can
    /// be reached the end of the response is held back for a limited time, since the billing record
    /// would be lost if this router terminated; then the response is sent while the router keeps
    /// retrying.
    pub async fn record_finish(self: &Rc<Self>, key: ClaimKey, attempt: AttemptId, finish: Finish) {
        let request = ControlRequest::Finish {
            key,
            attempt,
            finish,
            relayed: false,
        };
        self.shared
            .recent_finishes
            .push(request.clone(), Now::read());
        if timeout(
            FINISH_WAIT_LIMIT,
            self.agents.send_finish_with_retries(&request),
        )
        .await
        .is_ok()
        {
            return;
        }
        let worker = self.clone();
        let undelivered = self.shared.undelivered_finishes.token();
        actix_rt::spawn(async move {
            let _undelivered = undelivered;
            if timeout(
                FINISH_RETRY_LIMIT,
                worker.agents.send_finish_with_retries(&request),
            )
            .await
            .is_err()
            {
                log::error!("invariant: the end of a request was not recorded: {request:?}");
            }
        });
    }
}

/// The sender of a request and the request's deadline.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The organisation that the credential belongs to.
    pub organisation: String,
    /// The caller's `Idempotency-Key`, or a generated id.
    pub request_id: String,
    /// When the request was received.
    pub received: Now,
    /// The monotonic time after which a response is of no use.
    pub deadline: Duration,
}

impl Caller {
    /// Returns the time until the deadline.
    pub fn remaining_time(&self, now: Now) -> Duration {
        self.deadline.saturating_sub(now.monotonic)
    }

    /// Returns the key under which the request is claimed and billed.
    pub fn claim_key(&self) -> ClaimKey {
        ClaimKey {
            organisation: self.organisation.clone(),
            request_id: self.request_id.clone(),
        }
    }
}

/// Creates a refusal.
pub fn refuse(outcome: Outcome, reason: Reason, message: impl Into<String>) -> Refused {
    Refused {
        outcome,
        reason,
        message: message.into(),
        retry_after: None,
    }
}

/// Refuses a request because every upstream that could serve it has requested a back-off or has a
/// rate limit.
pub fn refuse_for_backoff(outcome: Outcome, backoff: Duration) -> Refused {
    Refused {
        retry_after: Some(backoff),
        ..refuse(
            outcome,
            Reason::Resting,
            "all upstreams have asked for a back-off or stated a rate limit",
        )
    }
}
