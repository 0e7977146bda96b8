//! What the router's threads share, and what each thread has of its own.

use super::agents::AgentCalls;
use super::crash_guard::Suspects;
use super::finishes::RecentFinishes;
use super::telemetry::RouterMetrics;
use crate::claim::{AttemptId, ClaimKey, ClaimReply, Finish};
use crate::clock::Now;
use crate::decision_record::DecisionRecord;
use crate::evidence::{AnswerCounts, EvidenceCell, EvidenceSubject};
use crate::http_client::{fresh_client, reusing_client};
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

/// How long after its start a router holds requests while it knows of no bundle. Agents tell
/// it within some milliseconds; where none is there, callers are better refused.
const FIRST_KNOWLEDGE: Duration = Duration::from_secs(2);
/// How often it looks whether it knows enough.
const FIRST_KNOWLEDGE_LOOK: Duration = Duration::from_millis(5);
/// How long a router waits for its agent's word on a claim.
const CLAIM_DEADLINE: Duration = Duration::from_millis(700);
/// How long an answer's end waits for its bill while no agent can be reached.
const FINISH_PATIENCE: Duration = Duration::from_secs(3);
/// How long the router goes on trying after that.
const FINISH_LIMIT: Duration = Duration::from_secs(60);

/// What all threads of a router share.
#[derive(Debug)]
pub struct RouterShared {
    /// The settings.
    pub settings: RouterSettings,
    /// The identity towards the agent.
    pub tls: FleetTls,
    /// What is known at this moment.
    pub snapshot: ArcSwap<Snapshot>,
    /// The budget of retries.
    pub budget: RetryBudget,
    /// The admitted requests of each organisation.
    pub admission: Arc<Admission>,
    /// The metrics.
    pub metrics: RouterMetrics,
    /// Takes decision records on their way to the agent.
    pub records: mpsc::Sender<DecisionRecord>,
    /// The name under which this life of the router reports evidence.
    pub reporter: String,
    /// The counts of this life of the router.
    pub evidence: Mutex<HashMap<EvidenceSubject, AnswerCounts>>,
    /// How the newest requests ended.
    pub recent_finishes: RecentFinishes,
    /// Requests that were at crashes of upstreams.
    pub suspects: Suspects,
    /// Ends of requests that no agent has taken yet though their answers are out.
    pub untaken_finishes: TaskTracker,
    /// The monotonic moment at which the router started.
    pub started: Duration,
}

impl RouterShared {
    /// Waits until this router knows enough to serve, for a while after its start.
    ///
    /// A successor shares the callers' address with the router that it replaces, so it gets a
    /// part of the callers as soon as it listens, whatever its readiness says.
    pub async fn await_first_knowledge(&self) {
        let deadline = self.started + FIRST_KNOWLEDGE;
        while !self.snapshot.load().is_ready() && Now::read().monotonic < deadline {
            sleep(FIRST_KNOWLEDGE_LOOK).await;
        }
    }

    /// Returns what a request sent now to a version for an organisation is counted under.
    pub fn subject(&self, version: &VersionName, organisation: &str) -> EvidenceSubject {
        EvidenceSubject {
            version: version.clone(),
            organisation: organisation.to_owned(),
            lift: self.snapshot.load().control.newest_lift(version),
        }
    }

    /// Adds to the counts of what a request was sent under.
    pub fn count(&self, subject: &EvidenceSubject, add: impl FnOnce(&mut AnswerCounts)) {
        let mut evidence = self.evidence.lock().unwrap_or_else(PoisonError::into_inner);
        add(evidence.entry(subject.clone()).or_default());
    }

    /// Returns this router's counts as its agent takes them.
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

/// One thread of a router.
pub struct Worker {
    /// What all threads share.
    pub shared: Arc<RouterShared>,
    /// The client that reuses connections.
    pub client: Client,
    /// The client that opens a connection for each request.
    pub fresh: Client,
    /// The agents of the fleet.
    pub agents: AgentCalls,
}

impl std::fmt::Debug for Worker {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Worker")
            .field("agents", &self.agents)
            .finish_non_exhaustive()
    }
}

impl Worker {
    /// Makes a thread's own part.
    pub fn new(shared: Arc<RouterShared>) -> Rc<Self> {
        Rc::new(Self {
            client: reusing_client(),
            fresh: fresh_client(),
            agents: AgentCalls::new(shared.clone()),
            shared,
        })
    }

    /// Returns what is known at this moment.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.shared.snapshot.load_full()
    }

    /// Asks for a claim; an attempt that gets no word is given back in the background.
    pub async fn claim(
        self: &Rc<Self>,
        key: &ClaimKey,
        attempt: AttemptId,
        left: Duration,
    ) -> ClaimReply {
        let request = ControlRequest::Claim {
            key: key.clone(),
            attempt,
            relayed: false,
        };
        let reply = match self.agents.call(&request, CLAIM_DEADLINE.min(left)).await {
            Ok(ControlResponse::Claim(reply)) => reply,
            Ok(_) => ClaimReply::NotNow("the agent gave an unfitting answer".to_owned()),
            Err(err) => ClaimReply::NotNow(format!("the agent gave no word: {err}")),
        };
        if matches!(reply, ClaimReply::NotNow(_)) {
            self.release_later(key.clone(), attempt);
        }
        reply
    }

    /// Gives a claim back whose request was never dispatched.
    pub fn release_later(self: &Rc<Self>, key: ClaimKey, attempt: AttemptId) {
        let worker = self.clone();
        actix_rt::spawn(async move {
            let request = ControlRequest::Release {
                key,
                attempt,
                relayed: false,
            };
            if let Err(err) = worker.agents.call(&request, CLAIM_DEADLINE).await {
                log::debug!("a claim is not given back, repeats are told it runs: {err}");
            }
        });
    }

    /// Records how a request ended. Returns once agents have taken it; while none can be
    /// reached the answer's end waits a little, since the bill would be lost with this
    /// router, and then goes out while the router goes on trying.
    pub async fn finish(self: &Rc<Self>, key: ClaimKey, attempt: AttemptId, finish: Finish) {
        let request = ControlRequest::Finish {
            key,
            attempt,
            finish,
            relayed: false,
        };
        self.shared
            .recent_finishes
            .push(request.clone(), Now::read());
        if timeout(FINISH_PATIENCE, self.agents.finish_at_last(&request))
            .await
            .is_ok()
        {
            return;
        }
        let worker = self.clone();
        let untaken = self.shared.untaken_finishes.token();
        actix_rt::spawn(async move {
            let _untaken = untaken;
            if timeout(FINISH_LIMIT, worker.agents.finish_at_last(&request))
                .await
                .is_err()
            {
                log::error!("invariant: the end of a request was not recorded: {request:?}");
            }
        });
    }
}

/// Who sent a request, and until when an answer is of use.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The organisation that the credential names.
    pub organisation: String,
    /// The caller's `Idempotency-Key`, else a minted id.
    pub request_id: String,
    /// When the request came.
    pub received: Now,
    /// The monotonic moment after which no answer is of use.
    pub deadline: Duration,
}

impl Caller {
    /// Returns the time that is left.
    pub fn time_left(&self, now: Now) -> Duration {
        self.deadline.saturating_sub(now.monotonic)
    }

    /// Returns the key under which the request is claimed and billed.
    pub fn key(&self) -> ClaimKey {
        ClaimKey {
            organisation: self.organisation.clone(),
            request_id: self.request_id.clone(),
        }
    }
}

/// Makes a refusal.
pub fn refuse(outcome: Outcome, reason: Reason, message: impl Into<String>) -> Refused {
    Refused {
        outcome,
        reason,
        message: message.into(),
        retry_after: None,
    }
}

/// Refuses a request because every upstream that could serve it has asked for rest.
pub fn refuse_for_rest(outcome: Outcome, left: Duration) -> Refused {
    Refused {
        retry_after: Some(left),
        ..refuse(
            outcome,
            Reason::Resting,
            "all upstreams have asked for rest",
        )
    }
}
