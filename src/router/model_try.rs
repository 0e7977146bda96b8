//! One step of a request: choosing a version and an upstream, and trying again on
//! another one where that is allowed.

use super::body::UpstreamResponse;
use super::context::{Caller, Worker, refuse, refuse_for_rest};
use super::crash_guard::{CrashGuard, check_aside};
use super::dispatch::dispatch;
use super::headers::{ORGANISATION_HEADER, UPSTREAM_ID_HEADER};
use super::model::ModelRequest;
use super::trace::Trace;
use crate::clock::Now;
use crate::decision_record::TryRecord;
use crate::evidence::EvidenceSubject;
use crate::name::VersionName;
use crate::outcome::{DispatchLog, Outcome, Reason, Refused};
use crate::routing::placement::{
    LoadGuard, PlacementQuery, Upstream, choose_upstream, first_rested,
};
use crate::routing::versions::{VersionChoice, choose_version, ruled_out};
use crate::session::Session;
use actix_http::StatusCode;
use actix_http::header::CONTENT_TYPE;
use awc::SendClientRequest;
use bytes::Bytes;
use futures::StreamExt as _;
use serde_json::{Value, json};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

const MOST_TRIES: usize = 4;

/// What one step is to do.
#[derive(Debug, Clone, Copy)]
pub struct Step<'a> {
    /// The model.
    pub model: &'a str,
    /// The version, where the caller named one.
    pub pinned: Option<&'a VersionName>,
    /// The request.
    pub request: &'a ModelRequest,
    /// The session.
    pub session: &'a Session,
    /// Whether the upstream is asked for a stream.
    pub stream: bool,
    /// What keeps a request that crashes upstreams from being sent on.
    pub guard: &'a Rc<CrashGuard>,
}

/// An answer that has begun to come.
pub struct StepAnswer {
    /// The version that runs.
    pub version: VersionName,
    /// What the answer is counted under.
    pub subject: EvidenceSubject,
    /// The rest of the answer.
    pub response: UpstreamResponse,
    /// The first bytes of a streamed answer.
    pub first: Option<Bytes>,
    upstream: Upstream,
    crashes: Rc<CrashGuard>,
    _load: LoadGuard,
    began: Duration,
}

impl StepAnswer {
    /// Records that the answer is whole.
    pub fn succeeded(&self, worker: &Worker) {
        let took = Now::read().monotonic.saturating_sub(self.began);
        let load = &self.upstream.load;
        load.succeeded(took);
        load.version_succeeded(&self.version);
        self.crashes.answered(Now::read());
        worker.shared.budget.deposit();
        worker
            .shared
            .count(&self.subject, |counts| counts.served += 1);
    }

    /// Records that the answer broke off.
    pub fn failed(&self, worker: &Worker) {
        self.upstream.load.failed(self.began, Now::read());
        check_aside(&self.crashes, &self.upstream);
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
    worker.shared.count(subject, |counts| {
        counts.served += 1;
        counts.failed += 1;
    });
}

/// Tries one step until an answer begins to come, or until nothing more may be tried.
pub async fn try_step(
    worker: &Rc<Worker>,
    caller: &Caller,
    step: Step<'_>,
    log: &mut DispatchLog,
    trace: &mut Trace,
) -> Result<StepAnswer, Refused> {
    let mut tried: Vec<String> = Vec::new();
    let mut last = None;
    while tried.len() < MOST_TRIES {
        if !tried.is_empty() && !worker.shared.budget.withdraw() {
            break;
        }
        step.guard.admit(log, Now::read())?;
        // Chosen anew for each try: what was withdrawn meanwhile must not run.
        let version = choose(worker, caller, step, log, trace)?;
        let upstream = match place(worker, step, &version, &tried, log) {
            Ok(upstream) => upstream,
            Err(refused) => return Err(last.unwrap_or(refused)),
        };
        tried.push(upstream.name.clone());
        match try_once(worker, caller, step, &version, &upstream, log).await {
            Ok(answer) => {
                record_try(trace, &version, &upstream, "answered");
                return Ok(answer);
            }
            Err(failure) => {
                record_try(trace, &version, &upstream, &failure.message);
                if matches!(failure.reason, Reason::Deadline | Reason::BadRequest) {
                    return Err(failure);
                }
                last = Some(failure);
            }
        }
    }
    Err(last.unwrap_or_else(|| {
        refuse(
            log.refusal_outcome(),
            Reason::UpstreamFailed,
            "the retry budget is used up",
        )
    }))
}

fn record_try(trace: &mut Trace, version: &VersionName, upstream: &Upstream, result: &str) {
    trace.record.tries.push(TryRecord {
        ran_on: version.to_string(),
        upstream: upstream.name.clone(),
        result: result.to_owned(),
    });
}

fn choose(
    worker: &Worker,
    caller: &Caller,
    step: Step<'_>,
    log: &DispatchLog,
    trace: &mut Trace,
) -> Result<VersionName, Refused> {
    let snapshot = worker.snapshot();
    let now = Now::read();
    let choice = match step.pinned {
        Some(pinned) => {
            let forbidden = ruled_out(&snapshot, &caller.organisation, pinned, now);
            let chosen = forbidden.is_none().then(|| pinned.clone());
            VersionChoice {
                chosen,
                weighed: vec![(pinned.clone(), forbidden)],
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
    let weighed = choice.weighed.iter().map(|(version, ruled_out)| {
        (
            version.to_string(),
            ruled_out.map(|ruled_out| ruled_out.to_string()),
        )
    });
    trace.record.weighed.extend(weighed);
    choice.chosen.ok_or_else(|| {
        let message = format!("no version of `{}` may serve now", step.model);
        refuse(log.refusal_outcome(), Reason::NoVersion, message)
    })
}

fn place(
    worker: &Worker,
    step: Step<'_>,
    version: &VersionName,
    tried: &[String],
    log: &DispatchLog,
) -> Result<Upstream, Refused> {
    let snapshot = worker.snapshot();
    let candidates = snapshot.upstreams_with(version);
    let settings = &worker.shared.settings;
    let query = PlacementQuery {
        hall: &settings.identity.hall,
        affinity: Some(&step.session.id),
        limit: u32::try_from(settings.upstream_limit).unwrap_or(u32::MAX),
        version: Some(version),
        tried,
    };
    let chosen = choose_upstream(&candidates, query, Now::read(), &mut rand::rng());
    chosen.cloned().ok_or_else(|| {
        if let Some(left) = first_rested(&candidates, Now::read()) {
            return refuse_for_rest(log.refusal_outcome(), left);
        }
        let full = candidates
            .iter()
            .any(|found| found.load.outstanding() >= query.limit);
        let reason = if full {
            Reason::Overloaded
        } else {
            Reason::NoUpstream
        };
        let message = format!("no upstream takes work for `{version}` now");
        refuse(log.refusal_outcome(), reason, message)
    })
}

async fn try_once(
    worker: &Rc<Worker>,
    caller: &Caller,
    step: Step<'_>,
    version: &VersionName,
    upstream: &Upstream,
    log: &mut DispatchLog,
) -> Result<StepAnswer, Refused> {
    let began = Now::read().monotonic;
    let subject = worker.shared.subject(version, &caller.organisation);
    let load = upstream.load.enter();
    let request = upstream_request(worker, caller, step, version, upstream);
    let response = match dispatch(request, caller, upstream, log).await {
        Ok(response) => response,
        Err(failure) => {
            if failure.refused.reason == Reason::UpstreamFailed {
                upstream.load.failed(began, Now::read());
                if !failure.is_unsent {
                    count_failure(worker, &subject);
                    step.guard.broke_off(&upstream.name, upstream.address).await;
                }
            }
            return Err(failure.refused);
        }
    };
    let (response, first) = match begin_answer(caller, step, response).await {
        Ok(begun) => begun,
        Err(failure) => {
            if matches!(failure, BeginFailure::Upstream(_)) {
                step.guard.broke_off(&upstream.name, upstream.address).await;
            }
            let (reason, message) = match failure {
                BeginFailure::Version(message) => {
                    let now = Now::read();
                    upstream.load.version_failed(version, began, now);
                    (Reason::UpstreamFailed, message)
                }
                BeginFailure::Upstream(message) => {
                    upstream.load.failed(began, Now::read());
                    (Reason::UpstreamFailed, message)
                }
                BeginFailure::Other(reason, message) => (reason, message),
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
        first,
        upstream: upstream.clone(),
        crashes: step.guard.clone(),
        _load: load,
        began,
    })
}

/// Why an answer whose head came did not begin.
enum BeginFailure {
    /// The upstream answered that it failed, which may be the version's fault alone.
    Version(String),
    /// The upstream broke off, or answered another request.
    Upstream(String),
    /// Neither is at fault.
    Other(Reason, String),
}

fn upstream_request(
    worker: &Worker,
    caller: &Caller,
    step: Step<'_>,
    version: &VersionName,
    upstream: &Upstream,
) -> SendClientRequest {
    let url = format!("http://{}/v1/chat/completions", upstream.address);
    worker
        .client
        .post(url)
        .insert_header((CONTENT_TYPE, "application/json"))
        .insert_header((ORGANISATION_HEADER, caller.organisation.clone()))
        .insert_header((UPSTREAM_ID_HEADER, caller.request_id.clone()))
        .send_body(upstream_body(step, version))
}

/// Checks an answer's head, and waits for the first bytes of a stream: until then
/// another try is free to be made.
async fn begin_answer(
    caller: &Caller,
    step: Step<'_>,
    mut response: UpstreamResponse,
) -> Result<(UpstreamResponse, Option<Bytes>), BeginFailure> {
    if !response.status().is_success() {
        let message = format!("the upstream answered with status {}", response.status());
        return Err(match reason_of_status(response.status()) {
            Reason::UpstreamFailed => BeginFailure::Version(message),
            reason => BeginFailure::Other(reason, message),
        });
    }
    if !is_own_answer(&response, caller) {
        return Err(BeginFailure::Upstream(
            "the upstream answered another request".to_owned(),
        ));
    }
    if !step.stream {
        return Ok((response, None));
    }
    match timeout(caller.time_left(Now::read()), response.next()).await {
        Err(_) => Err(BeginFailure::Other(
            Reason::Deadline,
            "the deadline passed".to_owned(),
        )),
        Ok(Some(Ok(first))) => Ok((response, Some(first))),
        Ok(_) => {
            let message = "the upstream broke the answer off before its first bytes";
            Err(BeginFailure::Upstream(message.to_owned()))
        }
    }
}

/// Returns whose fault an upstream's status is: only the version's own faults count
/// against it, not a busy upstream's and not the caller's.
fn reason_of_status(status: StatusCode) -> Reason {
    match status {
        StatusCode::NOT_FOUND | StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => {
            Reason::NoUpstream
        }
        status if status.is_client_error() => Reason::BadRequest,
        _ => Reason::UpstreamFailed,
    }
}

/// Tells whether a response belongs to the caller's request, where the upstream says so.
fn is_own_answer(response: &UpstreamResponse, caller: &Caller) -> bool {
    match response.headers().get(UPSTREAM_ID_HEADER) {
        Some(echoed) => echoed.as_bytes() == caller.request_id.as_bytes(),
        None => true,
    }
}

/// Returns the caller's body, addressed to a version and asking for its usage.
fn upstream_body(step: Step<'_>, version: &VersionName) -> String {
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
