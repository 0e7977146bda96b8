//! Serves the completions API: from a caller's request to the response of a model version.

use super::billing::{Cost, record_bill};
use super::body::{BodyError, BodySender, channel_body, read_full_body};
use super::cascade_step::{CascadeStep, StepAnswer, run_step};
use super::context::{Caller, Worker, refuse};
use super::crash_guard::CrashGuard;
use super::rating::{is_sampled, rate_in_background, rate_inline};
use super::responses::{
    OUTCOME_HEADER, RATED_HEADER, REQUEST_ID_HEADER, VERSION_HEADER, refusal_response_to,
};
use super::sse::answer_usage;
use super::stream_relay::StreamRelay;
use super::trace::Trace;
use crate::bundle::{Bundle, Cascade, QualityGate};
use crate::clock::Now;
use crate::fingerprint::{Fingerprint, RequestFingerprints, RequestIdentity};
use crate::name::VersionName;
use crate::outcome::{DispatchLog, Outcome, Reason, Refused};
use crate::routing::admission::AdmissionPermit;
use crate::routing::cascade::first_step;
use crate::routing::snapshot::Snapshot;
use crate::session::{SESSION_HEADER, Session};
use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, COOKIE, SET_COOKIE};
use actix_http::{HttpMessage as _, Request, Response, ResponseBuilder, StatusCode};
use bytes::{Bytes, BytesMut};
use serde_json::{Map, Value};
use std::rc::Rc;

const SESSION_COOKIE: &str = "gatepier_session";
/// How many of a request's first messages are tracked for crashes of upstreams.
const MAX_SHARED_MESSAGES: usize = 8;
/// The content type of a stream of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";

/// A parsed and validated request to the completions API.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// The request's JSON body.
    pub body: Map<String, Value>,
    /// Whether the caller requested a streamed response.
    pub stream: bool,
    /// The model, cascade or version that the caller requested.
    pub requested_name: String,
    /// Identify further sends of the same request, and the messages that other requests share.
    pub fingerprints: RequestFingerprints,
}

/// The models that may serve a request, in the order in which they are tried.
#[derive(Debug, Clone)]
struct StepPlan {
    steps: Vec<String>,
    cascade: Option<Cascade>,
    pinned_version: Option<VersionName>,
}

/// Serves a request to the completions API.
pub async fn serve_completion(
    worker: Rc<Worker>,
    caller: Caller,
    mut req: Request,
) -> Response<BoxBody> {
    let mut trace = Trace::start(&worker.shared, &caller, "completions");
    let result = match read_request(&worker, &caller, &mut req).await {
        Ok(request) => {
            trace.record.asked_for = request.requested_name.clone();
            let session = read_session(&worker, &caller, &req);
            serve_steps(&worker, &caller, request, session, &mut trace).await
        }
        Err(refused) => Err(refused),
    };
    match result {
        Ok(CompletionResponse::Complete(res)) => {
            trace.finish(&worker.shared, Now::read());
            res
        }
        Ok(CompletionResponse::Streaming(relay, body_sender, res)) => {
            actix_rt::spawn(relay.run(worker, caller, body_sender, trace));
            res
        }
        Err(refused) => {
            trace.record_refusal(&refused);
            trace.finish(&worker.shared, Now::read());
            refusal_response_to(&refused, &caller)
        }
    }
}

enum CompletionResponse {
    Complete(Response<BoxBody>),
    Streaming(Box<StreamRelay>, BodySender, Response<BoxBody>),
}

async fn read_request(
    worker: &Worker,
    caller: &Caller,
    req: &mut Request,
) -> Result<CompletionRequest, Refused> {
    let not_run = |reason, message: String| refuse(Outcome::NotRun, reason, message);
    let remaining_time = caller.remaining_time(Now::read());
    let body = read_full_body(
        &mut req.take_payload(),
        worker.shared.settings.body_limit,
        remaining_time,
    )
    .await;
    let body = body.map_err(|err| {
        let reason = match err {
            BodyError::TooLarge => Reason::TooLarge,
            BodyError::Interrupted => Reason::BadRequest,
            BodyError::TimedOut => Reason::Deadline,
        };
        not_run(reason, err.to_string())
    })?;
    let own = Fingerprint::of(RequestIdentity {
        caller: Some(&caller.organisation),
        method: req.method().as_str(),
        host: "",
        target: req.path(),
        body: &body,
    });
    let body: Map<String, Value> = serde_json::from_slice(&body).map_err(|err| {
        not_run(
            Reason::BadRequest,
            format!("the body is not a JSON object: {err}"),
        )
    })?;
    let requested_name = body.get("model").and_then(Value::as_str).map(str::to_owned);
    let requested_name = requested_name.ok_or_else(|| {
        not_run(
            Reason::BadRequest,
            "the body has no `model` field".to_owned(),
        )
    })?;
    let stream = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
    let fingerprints = RequestFingerprints {
        own,
        parts: shared_messages(&body, &requested_name),
    };
    Ok(CompletionRequest {
        body,
        stream,
        requested_name,
        fingerprints,
    })
}

/// Returns the fingerprints of the messages that other requests for a model may share: all but the
/// last, such as instructions and the beginning of a conversation.
fn shared_messages(body: &Map<String, Value>, model: &str) -> Vec<Fingerprint> {
    let messages = body.get("messages").and_then(Value::as_array);
    let shared = messages.and_then(|messages| messages.split_last());
    let shared = shared.map_or(&[][..], |(_, shared)| shared).iter();
    shared
        .take(MAX_SHARED_MESSAGES)
        .map(|message| Fingerprint::of_part(model, &message.to_string()))
        .collect()
}

/// Reads the session from its token in the header or in the cookie, or starts a new one.
fn read_session(worker: &Worker, caller: &Caller, req: &Request) -> Session {
    let header = req
        .headers()
        .get(SESSION_HEADER)
        .and_then(|value| value.to_str().ok());
    let cookies = req
        .headers()
        .get(COOKIE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("");
    let cookie = cookies.split(';').find_map(|cookie| {
        cookie
            .trim()
            .strip_prefix(SESSION_COOKIE)?
            .strip_prefix('=')
    });
    let key = &worker.shared.settings.session_key;
    header
        .or(cookie)
        .and_then(|token| Session::from_token(token, &caller.organisation, key))
        .unwrap_or_else(|| Session::begin(&caller.organisation))
}

/// Decides which models may serve the requested name.
fn plan_steps(
    bundle: &Bundle,
    organisation: &str,
    requested_name: &str,
) -> Result<StepPlan, Refused> {
    let allowed = bundle.organisations.get(organisation);
    let single_model = |model: &str, pinned_version| StepPlan {
        steps: vec![model.to_owned()],
        cascade: None,
        pinned_version,
    };
    if let Some(allowed) = allowed {
        if let Some(cascade) = bundle.cascades.get(requested_name)
            && allowed.cascades.contains(requested_name)
        {
            let (steps, cascade) = (cascade.steps.clone(), Some(cascade.clone()));
            return Ok(StepPlan {
                steps,
                cascade,
                pinned_version: None,
            });
        }
        if allowed
            .allow
            .iter()
            .any(|version| version.model == requested_name)
        {
            return Ok(single_model(requested_name, None));
        }
        if let Some(version) = VersionName::parse(requested_name)
            && allowed.allow.contains(&version)
        {
            return Ok(single_model(&version.model.clone(), Some(version)));
        }
    }
    let message = format!("`{organisation}` may not use a model or cascade `{requested_name}`");
    Err(refuse(Outcome::NotRun, Reason::NotAllowed, message))
}

/// Admits a request if the organisation's share, or capacity lent by others, allows it now.
fn admit_request(
    worker: &Worker,
    snapshot: &Snapshot,
    bundle: &Bundle,
    organisation: &str,
) -> Result<AdmissionPermit, Refused> {
    let share = bundle
        .organisations
        .get(organisation)
        .map_or(0.0, |entry| entry.share);
    let serves_models =
        |upstream: &&crate::routing::placement::Upstream| !upstream.versions.is_empty();
    let upstreams = snapshot
        .upstreams
        .values()
        .flatten()
        .filter(serves_models)
        .count();
    let capacity = upstreams * worker.shared.settings.upstream_limit;
    let capacity = u32::try_from(capacity).unwrap_or(u32::MAX);
    if capacity == 0 {
        let message = "no model upstreams are listed";
        return Err(refuse(Outcome::NotRun, Reason::NoUpstream, message));
    }
    worker
        .shared
        .admission
        .admit(organisation, share, capacity)
        .ok_or_else(|| {
            let message =
                "the organisation's share is used up and no spare capacity can be borrowed";
            refuse(Outcome::NotRun, Reason::Overloaded, message)
        })
}

async fn serve_steps(
    worker: &Rc<Worker>,
    caller: &Caller,
    request: CompletionRequest,
    mut session: Session,
    trace: &mut Trace,
) -> Result<CompletionResponse, Refused> {
    let snapshot = worker.snapshot();
    let bundle = snapshot.bundle.clone().ok_or_else(|| {
        refuse(
            Outcome::NotRun,
            Reason::NotReady,
            "no bundle is in force on this router yet",
        )
    })?;
    let plan = plan_steps(&bundle, &caller.organisation, &request.requested_name)?;
    let permit = admit_request(worker, &snapshot, &bundle, &caller.organisation)?;
    let start = plan.cascade.as_ref().map_or(0, |cascade| {
        first_step(&snapshot, &caller.organisation, cascade, &mut rand::rng())
    });
    let crash_guard = CrashGuard::new(&worker.shared, request.fingerprints.clone());
    let mut dispatch_log = DispatchLog::default();
    let mut cost = Cost::default();
    let mut last_refusal = None;
    for (position, model) in plan.steps.iter().enumerate().skip(start) {
        let is_last_step = position + 1 == plan.steps.len();
        let gate = plan.cascade.as_ref().map(|cascade| cascade.gate);
        let holds_answer = gate == Some(QualityGate::Inline) && !is_last_step;
        let step = CascadeStep {
            model,
            pinned_version: plan.pinned_version.as_ref(),
            request: &request,
            session: &session,
            stream: request.stream && !holds_answer,
            crash_guard: &crash_guard,
        };
        let answer = match run_step(worker, caller, step, &mut dispatch_log, trace).await {
            Ok(answer) => answer,
            Err(refused) => {
                // A more expensive model may still be able to serve.
                last_refusal = Some(refused);
                continue;
            }
        };
        session.pin_version(&answer.version);
        if request.stream && !holds_answer {
            let relay = StreamRelay::new(answer, session, cost, permit);
            let (body_sender, body) = channel_body();
            let res = relay
                .response_head(worker, caller)
                .message_body(body)
                .expect("the head is valid");
            return Ok(CompletionResponse::Streaming(
                Box::new(relay),
                body_sender,
                res,
            ));
        }
        let subject = answer.subject.clone();
        let (version, complete_answer) = match read_complete_answer(worker, caller, answer).await {
            Ok(complete_answer) => complete_answer,
            Err(refused) => {
                last_refusal = Some(refused);
                continue;
            }
        };
        cost.add_tokens(&bundle, &version, complete_answer.tokens);
        let rating = match holds_answer {
            false => Some(true),
            true => {
                let remaining_time = caller.remaining_time(Now::read());
                rate_inline(worker, &subject, &complete_answer.body, remaining_time).await
            }
        };
        if rating == Some(false) {
            continue;
        }
        if !holds_answer && is_sampled(worker, &snapshot, &version) {
            rate_in_background(worker, &subject, complete_answer.body.clone());
        }
        record_bill(worker, caller, &version, &cost, trace).await;
        let mut res = response_head(
            worker,
            caller,
            &session,
            &version,
            &complete_answer.content_type,
        );
        if holds_answer {
            res.insert_header((RATED_HEADER, if rating.is_some() { "yes" } else { "no" }));
        }
        return Ok(CompletionResponse::Complete(build_complete_response(
            res,
            &request,
            complete_answer,
            trace,
        )));
    }
    Err(last_refusal.unwrap_or_else(|| {
        let message = "no step of the cascade returned an answer";
        refuse(
            dispatch_log.refusal_outcome(),
            Reason::UpstreamFailed,
            message,
        )
    }))
}

fn build_complete_response(
    mut res: ResponseBuilder,
    request: &CompletionRequest,
    complete_answer: CompleteAnswer,
    trace: &mut Trace,
) -> Response<BoxBody> {
    trace.record.status = StatusCode::OK.as_u16();
    trace.record.outcome = Outcome::Done;
    if !request.stream {
        res.insert_header((OUTCOME_HEADER, Outcome::Done.to_string()));
        return res.body(complete_answer.body).map_into_boxed_body();
    }
    // The answer was held for its rating, so a caller who requested a stream gets it in one event.
    res.insert_header((CONTENT_TYPE, EVENT_STREAM));
    let mut events = BytesMut::from(&b"data: "[..]);
    events.extend_from_slice(&to_stream_chunk(&complete_answer.body));
    events.extend_from_slice(b"\n\ndata: [DONE]\n\n");
    res.body(events.freeze()).map_into_boxed_body()
}

/// Converts a complete answer to the form of a stream's chunk.
fn to_stream_chunk(body: &Bytes) -> Bytes {
    let Ok(mut answer) = serde_json::from_slice::<Value>(body) else {
        return body.clone();
    };
    answer["object"] = Value::from("chat.completion.chunk");
    for choice in answer["choices"].as_array_mut().into_iter().flatten() {
        let message = choice["message"].take();
        choice["delta"] = message;
    }
    answer.to_string().into()
}

struct CompleteAnswer {
    body: Bytes,
    content_type: String,
    tokens: u64,
}

/// Reads a complete answer; an incomplete one counts as failed.
async fn read_complete_answer(
    worker: &Worker,
    caller: &Caller,
    mut answer: StepAnswer,
) -> Result<(VersionName, CompleteAnswer), Refused> {
    let remaining_time = caller.remaining_time(Now::read());
    let rest = read_full_body(
        &mut answer.response,
        super::body::RESPONSE_MAX_BYTES,
        remaining_time,
    )
    .await;
    let body = rest.map(|rest| prepend(answer.first_chunk.take(), rest));
    let usage = body.as_ref().ok().and_then(|body| answer_usage(body));
    let (Ok(body), Some(usage)) = (body, usage) else {
        answer.record_failure(worker);
        let message = "the upstream's answer is incomplete";
        return Err(refuse(Outcome::Unknown, Reason::UpstreamFailed, message));
    };
    answer.record_success(worker);
    let complete_answer = CompleteAnswer {
        body,
        content_type: answer.content_type(),
        tokens: usage.total_tokens,
    };
    Ok((answer.version, complete_answer))
}

fn prepend(first: Option<Bytes>, rest: Bytes) -> Bytes {
    match first {
        None => rest,
        Some(first) => {
            let mut buf = BytesMut::from(&first[..]);
            buf.extend_from_slice(&rest);
            buf.freeze()
        }
    }
}

/// Starts the response to a caller, with the session's token.
pub fn response_head(
    worker: &Worker,
    caller: &Caller,
    session: &Session,
    version: &VersionName,
    content_type: &str,
) -> ResponseBuilder {
    let token = session.to_token(&worker.shared.settings.session_key);
    let mut res = Response::build(StatusCode::OK);
    res.insert_header((REQUEST_ID_HEADER, caller.request_id.clone()));
    res.insert_header((VERSION_HEADER, version.to_string()));
    res.insert_header((CONTENT_TYPE, content_type.to_owned()));
    let cookie = format!("{SESSION_COOKIE}={token}; Path=/; HttpOnly; SameSite=Lax");
    res.insert_header((SET_COOKIE, cookie));
    res.insert_header((SESSION_HEADER, token));
    res
}
