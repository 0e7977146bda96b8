//! Runs one step of a cascade: chooses a version and an upstream, and retries on another upstream
//! where that is allowed.

use super::body::UpstreamResponse;
use super::completions::CompletionRequest;
use super::context::{Caller, Worker, refuse, refuse_for_backoff};
use super::crash_guard::{CrashGuard, check_for_crash_in_background};
use super::dispatch::dispatch;
use super::headers::{ORGANISATION_HEADER, UPSTREAM_ID_HEADER};
use super::trace::Trace;
use crate::box_list::AGENT_SERVICE;
use crate::clock::Now;
use crate::decision_record::TryRecord;
use crate::evidence::EvidenceSubject;
use crate::name::VersionName;
use crate::outcome::{DispatchLog, Outcome, Reason, Refused};
use crate::routing::placement::{
    LoadGuard, Placed, PlacementQuery, RouterFleet, Upstream, choose_upstream,
    shortest_remaining_backoff,
};
use crate::routing::versions::{VersionChoice, choose_version, exclusion_reason};
use crate::session::Session;
use actix_http::header::CONTENT_TYPE;
use actix_http::{Method, StatusCode};
use awc::SendClientRequest;
use bytes::Bytes;
use futures::StreamExt as _;
use serde_json::{Value, json};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

const MAX_ATTEMPTS: usize = 4;

/// The parameters of one cascade step.
#[derive(Debug, Clone, Copy)]
pub struct CascadeStep<'a> {
    /// The model.
    pub model: &'a str,
    /// The version, if the caller requested a specific one.
    pub pinned_version: Option<&'a VersionName>,
    /// The request.
    pub request: &'a CompletionRequest,
    /// The session.
    pub session: &'a Session,
    /// Whether a stream is requested from the upstream.
    pub stream: bool,
    /// Stops requests that crash upstreams from being sent.
    pub crash_guard: &'a Rc<CrashGuard>,
}

/// An answer whose start has been received.
pub struct StepAnswer {
    /// The version that answers.
    pub version: VersionName,
    /// The evidence subject that the answer is counted under.
    pub subject: EvidenceSubject,
    /// The response, with the rest of the answer still to be read.
    pub response: UpstreamResponse,
    /// The first chunk of a streamed answer.
    pub first_chunk: Option<Bytes>,
    upstream: Upstream,
    crash_guard: Rc<CrashGuard>,
    _load_guard: LoadGuard,
    started: Duration,
}

impl StepAnswer {
    /// Records that the answer is complete.
    pub fn record_success(&self, worker: &Worker) {
        let duration = Now::read().monotonic.saturating_sub(self.started);
        let load = &self.upstream.load;
        load.record_success(duration);
        load.record_version_success(&self.version);
        self.crash_guard.record_answered(Now::read());
        worker.shared.retry_budget.deposit();
        worker
            .shared
            .update_counts(&self.subject, |counts| counts.served += 1);
    }

    /// Records that the answer was interrupted.
    pub fn record_failure(&self, worker: &Worker) {
        self.upstream.load.record_failure(self.started, Now::read());
        check_for_crash_in_background(&self.crash_guard, &self.upstream);
        count_failure(worker, &self.subject);
    }

    /// Returns the answer's content type.
    pub fn content_type(&self) -> String {
        let value = self.response.headers().get(CONTENT_TYPE);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/json")
            .to_owned()
    }
}

fn count_failure(worker: &Worker, subject: &EvidenceSubject) {
    worker.shared.update_counts(subject, |counts| {
        counts.served += 1;
        counts.failed += 1;
    });
}

/// Makes attempts at one step until an answer starts or no further attempt is allowed.
pub async fn run_step(
    worker: &Rc<Worker>,
    caller: &Caller,
    step: CascadeStep<'_>,
    dispatch_log: &mut DispatchLog,
    trace: &mut Trace,
) -> Result<StepAnswer, Refused> {
    let mut tried: Vec<String> = Vec::new();
    let mut last_refusal = None;
    while tried.len() < MAX_ATTEMPTS {
        if !tried.is_empty() && !worker.shared.retry_budget.withdraw() {
            break;
        }
        step.crash_guard.admit(dispatch_log, Now::read())?;
        // Chosen again for each attempt: a version that was withdrawn meanwhile must not run.
        let version = choose_step_version(worker, caller, step, dispatch_log, trace)?;
        let placed = match choose_step_upstream(worker, step, &version, &tried, dispatch_log) {
            Ok(placed) => placed,
            Err(refused) => return Err(last_refusal.unwrap_or(refused)),
        };
        let upstream = placed.upstream.clone();
        tried.push(upstream.name.clone());
        match run_attempt(worker, caller, step, &version, placed, dispatch_log).await {
            Ok(answer) => {
                record_attempt(trace, &version, &upstream, "answered");
                return Ok(answer);
            }
            Err(failure) => {
                record_attempt(trace, &version, &upstream, &failure.message);
                if matches!(failure.reason, Reason::Deadline | Reason::BadRequest) {
                    return Err(failure);
                }
                last_refusal = Some(failure);
            }
        }
    }
    Err(last_refusal.unwrap_or_else(|| {
        refuse(
            dispatch_log.refusal_outcome(),
            Reason::UpstreamFailed,
            "the retry budget is used up",
        )
    }))
}

fn record_attempt(trace: &mut Trace, version: &VersionName, upstream: &Upstream, result: &str) {
    trace.record.tries.push(TryRecord {
        ran_on: version.to_string(),
        upstream: upstream.name.clone(),
        result: result.to_owned(),
    });
}

fn choose_step_version(
    worker: &Worker,
    caller: &Caller,
    step: CascadeStep<'_>,
    dispatch_log: &DispatchLog,
    trace: &mut Trace,
) -> Result<VersionName, Refused> {
    let snapshot = worker.snapshot();
    let now = Now::read();
    let choice = match step.pinned_version {
        Some(pinned) => {
            let exclusion = exclusion_reason(&snapshot, &caller.organisation, pinned, now);
            let chosen = exclusion.is_none().then(|| pinned.clone());
            VersionChoice {
                chosen,
                considered: vec![(pinned.clone(), exclusion)],
            }
        }
        None => choose_version(
            &snapshot,
            &caller.organisation,
            step.model,
            step.session,
            now,
        ),
    };
    let weighed = choice.considered.iter().map(|(version, exclusion)| {
        (
            version.to_string(),
            exclusion.map(|exclusion| exclusion.to_string()),
        )
    });
    trace.record.weighed.extend(weighed);
    choice.chosen.ok_or_else(|| {
        let message = format!("no version of `{}` is available now", step.model);
        refuse(dispatch_log.refusal_outcome(), Reason::NoVersion, message)
    })
}

fn choose_step_upstream(
    worker: &Worker,
    step: CascadeStep<'_>,
    version: &VersionName,
    tried: &[String],
    dispatch_log: &DispatchLog,
) -> Result<Placed, Refused> {
    let snapshot = worker.snapshot();
    let agents = snapshot.upstreams_of(AGENT_SERVICE);
    let fleet = RouterFleet {
        own_box: &worker.shared.settings.identity.name,
        agents: &agents,
    };
    let candidates = snapshot.upstreams_with(version);
    let settings = &worker.shared.settings;
    let query = PlacementQuery {
        hall: &settings.identity.hall,
        affinity: Some(&step.session.id),
        max_outstanding: u32::try_from(settings.upstream_limit).unwrap_or(u32::MAX),
        version: Some(version),
        tried,
        fleet,
    };
    let chosen = choose_upstream(&candidates, query, Now::read(), &mut rand::rng());
    chosen.ok_or_else(|| {
        if let Some(backoff) = shortest_remaining_backoff(&candidates, fleet, Now::read()) {
            return refuse_for_backoff(dispatch_log.refusal_outcome(), backoff);
        }
        let is_full = candidates
            .iter()
            .any(|upstream| upstream.load.outstanding() >= query.max_outstanding);
        let reason = if is_full {
            Reason::Overloaded
        } else {
            Reason::NoUpstream
        };
        let message = format!("no upstream accepts requests for `{version}` now");
        refuse(dispatch_log.refusal_outcome(), reason, message)
    })
}

async fn run_attempt(
    worker: &Rc<Worker>,
    caller: &Caller,
    step: CascadeStep<'_>,
    version: &VersionName,
    placed: Placed,
    dispatch_log: &mut DispatchLog,
) -> Result<StepAnswer, Refused> {
    let Placed {
        upstream,
        load_guard,
    } = placed;
    let upstream = &upstream;
    let started = Now::read().monotonic;
    let subject = worker
        .shared
        .evidence_subject(version, &caller.organisation);
    let request = upstream_request(worker, caller, step, version, upstream);
    let method = &Method::POST;
    let sending = dispatch(worker, method, request, caller, upstream, dispatch_log);
    let response = match sending.await {
        Ok(response) => response,
        Err(failure) => {
            if failure.refused.reason == Reason::UpstreamFailed {
                failure.record(upstream, started, Now::read());
                if !failure.is_unsent {
                    count_failure(worker, &subject);
                    step.crash_guard
                        .check_for_crash(&upstream.name, upstream.address)
                        .await;
                }
            }
            return Err(failure.refused);
        }
    };
    let (response, first_chunk) = match await_answer_start(caller, step, response).await {
        Ok(started_answer) => started_answer,
        Err(failure) => {
            if matches!(failure, AnswerStartFailure::Upstream(_)) {
                step.crash_guard
                    .check_for_crash(&upstream.name, upstream.address)
                    .await;
            }
            let (reason, message) = match failure {
                AnswerStartFailure::Version(message) => {
                    let now = Now::read();
                    upstream.load.record_version_failure(version, started, now);
                    (Reason::UpstreamFailed, message)
                }
                AnswerStartFailure::Upstream(message) => {
                    upstream.load.record_failure(started, Now::read());
                    (Reason::UpstreamFailed, message)
                }
                AnswerStartFailure::NoFault(reason, message) => (reason, message),
            };
            if reason == Reason::UpstreamFailed {
                count_failure(worker, &subject);
            }
            return Err(refuse(Outcome::Unknown, reason, message));
        }
    };
    Ok(StepAnswer {
        version: version.clone(),
        subject,
        response,
        first_chunk,
        upstream: upstream.clone(),
        crash_guard: step.crash_guard.clone(),
        _load_guard: load_guard,
        started,
    })
}

/// Why an answer did not start although the head of the response was received.
enum AnswerStartFailure {
    /// The upstream returned an error status, which may be caused by the version alone.
    Version(String),
    /// The upstream interrupted the response.
    Upstream(String),
    /// Neither the version nor the upstream is at fault.
    NoFault(Reason, String),
}

fn upstream_request(
    worker: &Worker,
    caller: &Caller,
    step: CascadeStep<'_>,
    version: &VersionName,
    upstream: &Upstream,
) -> SendClientRequest {
    let url = format!("http://{}/v1/chat/completions", upstream.address);
    worker
        .pooled_client
        .post(url)
        .insert_header((CONTENT_TYPE, "application/json"))
        .insert_header((ORGANISATION_HEADER, caller.organisation.clone()))
        .insert_header((UPSTREAM_ID_HEADER, caller.request_id.clone()))
        .send_body(upstream_body(step, version))
}

/// Checks the head of the response and waits for the first chunk of a stream. Until then another
/// attempt is possible.
async fn await_answer_start(
    caller: &Caller,
    step: CascadeStep<'_>,
    mut response: UpstreamResponse,
) -> Result<(UpstreamResponse, Option<Bytes>), AnswerStartFailure> {
    if !response.status().is_success() {
        let message = format!("the upstream returned status {}", response.status());
        return Err(match failure_reason(response.status()) {
            Reason::UpstreamFailed => AnswerStartFailure::Version(message),
            reason => AnswerStartFailure::NoFault(reason, message),
        });
    }
    if !step.stream {
        return Ok((response, None));
    }
    match timeout(caller.remaining_time(Now::read()), response.next()).await {
        Err(_) => Err(AnswerStartFailure::NoFault(
            Reason::Deadline,
            "the deadline passed".to_owned(),
        )),
        Ok(Some(Ok(first))) => Ok((response, Some(first))),
        Ok(_) => {
            let message = "the upstream interrupted the answer before its first bytes";
            Err(AnswerStartFailure::Upstream(message.to_owned()))
        }
    }
}

/// Classifies an upstream's error status: a busy upstream and a caller's invalid request don't
/// count against the version.
fn failure_reason(status: StatusCode) -> Reason {
    match status {
        StatusCode::NOT_FOUND | StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => {
            Reason::NoUpstream
        }
        status if status.is_client_error() => Reason::BadRequest,
        _ => Reason::UpstreamFailed,
    }
}

/// Returns the caller's body with the version as its model, and for a stream with a request for its
/// token usage.
fn upstream_body(step: CascadeStep<'_>, version: &VersionName) -> String {
    let mut body = step.request.body.clone();
    body.insert("model".to_owned(), Value::from(version.to_string()));
    body.insert("stream".to_owned(), Value::from(step.stream));
    if step.stream {
        body.insert(
            "stream_options".to_owned(),
            json!({ "include_usage": true }),
        );
    }
    Value::Object(body).to_string()
}
