//! The completions API: from a caller's request to a version's answer.

use super::answer::{OUTCOME_HEADER, RATED_HEADER, REQUEST_ID_HEADER, VERSION_HEADER, refusal_to};
use super::billing::{Cost, bill};
use super::body::{BodyError, BodySender, read_whole, relayed_body};
use super::context::{Caller, Worker, refuse};
use super::crash_guard::CrashGuard;
use super::model_relay::Relay;
use super::model_try::{Step, StepAnswer, try_step};
use super::rating::{is_sampled, rate_inline, rate_later};
use super::sse::usage_of_answer;
use super::trace::Trace;
use crate::bundle::{Bundle, Cascade, QualityGate};
use crate::clock::Now;
use crate::fingerprint::{Fingerprint, RequestIdentity};
use crate::name::VersionName;
use crate::outcome::{DispatchLog, Outcome, Reason, Refused};
use crate::routing::admission::Admitted;
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
/// The content type of a stream of events.
pub const EVENT_STREAM: &str = "text/event-stream";

/// A caller's request, read and checked.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    /// The request's body.
    pub body: Map<String, Value>,
    /// Whether the answer is asked for as a stream.
    pub stream: bool,
    /// The model, cascade or version asked for.
    pub asked_for: String,
    /// What tells that another send is the same request.
    pub fingerprint: Fingerprint,
}

/// The models that may serve a request, in order.
#[derive(Debug, Clone)]
struct Plan {
    steps: Vec<String>,
    cascade: Option<Cascade>,
    pinned: Option<VersionName>,
}

/// Serves a request of the completions API.
pub async fn serve_model(
    worker: Rc<Worker>,
    caller: Caller,
    mut req: Request,
) -> Response<BoxBody> {
    let mut trace = Trace::begin(&worker.shared, &caller, "completions");
    let served = match read_request(&worker, &caller, &mut req).await {
        Ok(asked) => {
            trace.record.asked_for = asked.asked_for.clone();
            let session = read_session(&worker, &caller, &req);
            serve(&worker, &caller, asked, session, &mut trace).await
        }
        Err(refused) => Err(refused),
    };
    match served {
        Ok(Served::Whole(res)) => {
            trace.end(&worker.shared, Now::read());
            res
        }
        Ok(Served::Streaming(relay, tx, res)) => {
            actix_rt::spawn(relay.run(worker, caller, tx, trace));
            res
        }
        Err(refused) => {
            trace.refused(&refused);
            trace.end(&worker.shared, Now::read());
            refusal_to(&refused, &caller)
        }
    }
}

enum Served {
    Whole(Response<BoxBody>),
    Streaming(Box<Relay>, BodySender, Response<BoxBody>),
}

async fn read_request(
    worker: &Worker,
    caller: &Caller,
    req: &mut Request,
) -> Result<ModelRequest, Refused> {
    let not_run = |reason, message: String| refuse(Outcome::NotRun, reason, message);
    let left = caller.time_left(Now::read());
    let body = read_whole(
        &mut req.take_payload(),
        worker.shared.settings.body_limit,
        left,
    )
    .await;
    let body = body.map_err(|err| {
        let reason = match err {
            BodyError::TooLarge => Reason::TooLarge,
            BodyError::Broken => Reason::BadRequest,
            BodyError::TooSlow => Reason::Deadline,
        };
        not_run(reason, err.to_string())
    })?;
    let fingerprint = Fingerprint::of(RequestIdentity {
        caller: Some(&caller.organisation),
        method: req.method().as_str(),
        host: "",
        target: req.path(),
        body: &body,
    });
    let body: Map<String, Value> = serde_json::from_slice(&body).map_err(|err| {
        not_run(
            Reason::BadRequest,
            format!("the body is no JSON object: {err}"),
        )
    })?;
    let asked_for = body.get("model").and_then(Value::as_str).map(str::to_owned);
    let asked_for = asked_for
        .ok_or_else(|| not_run(Reason::BadRequest, "the body names no `model`".to_owned()))?;
    let stream = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
    Ok(ModelRequest {
        body,
        stream,
        asked_for,
        fingerprint,
    })
}

/// Reads the session from its token in the header or in the cookie, or begins one.
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

/// Decides which models may serve what the caller asked for.
fn plan(bundle: &Bundle, organisation: &str, asked_for: &str) -> Result<Plan, Refused> {
    let allowed = bundle.organisations.get(organisation);
    let single = |model: &str, pinned| Plan {
        steps: vec![model.to_owned()],
        cascade: None,
        pinned,
    };
    if let Some(allowed) = allowed {
        if let Some(cascade) = bundle.cascades.get(asked_for)
            && allowed.cascades.contains(asked_for)
        {
            let (steps, cascade) = (cascade.steps.clone(), Some(cascade.clone()));
            return Ok(Plan {
                steps,
                cascade,
                pinned: None,
            });
        }
        if allowed
            .allow
            .iter()
            .any(|version| version.model == asked_for)
        {
            return Ok(single(asked_for, None));
        }
        if let Some(version) = VersionName::parse(asked_for)
            && allowed.allow.contains(&version)
        {
            return Ok(single(&version.model.clone(), Some(version)));
        }
    }
    let message = format!("`{organisation}` may use no model or cascade `{asked_for}`");
    Err(refuse(Outcome::NotRun, Reason::NotAllowed, message))
}

/// Admits a request, as far as the organisation's share goes at this moment.
fn admit(
    worker: &Worker,
    snapshot: &Snapshot,
    bundle: &Bundle,
    organisation: &str,
) -> Result<Admitted, Refused> {
    let share = bundle
        .organisations
        .get(organisation)
        .map_or(0.0, |found| found.share);
    let has_model = |upstream: &&crate::routing::placement::Upstream| !upstream.versions.is_empty();
    let upstreams = snapshot
        .upstreams
        .values()
        .flatten()
        .filter(has_model)
        .count();
    let capacity = upstreams * worker.shared.settings.upstream_limit;
    let capacity = u32::try_from(capacity).unwrap_or(u32::MAX);
    if capacity == 0 {
        let message = "no model upstream is listed";
        return Err(refuse(Outcome::NotRun, Reason::NoUpstream, message));
    }
    worker
        .shared
        .admission
        .admit(organisation, share, capacity)
        .ok_or_else(|| {
            let message = "the organisation's share is used up and nothing is left to lend";
            refuse(Outcome::NotRun, Reason::Overloaded, message)
        })
}

async fn serve(
    worker: &Rc<Worker>,
    caller: &Caller,
    asked: ModelRequest,
    mut session: Session,
    trace: &mut Trace,
) -> Result<Served, Refused> {
    let snapshot = worker.snapshot();
    let bundle = snapshot.bundle.clone().ok_or_else(|| {
        refuse(
            Outcome::NotRun,
            Reason::NotReady,
            "no bundle is in force here yet",
        )
    })?;
    let plan = plan(&bundle, &caller.organisation, &asked.asked_for)?;
    let admitted = admit(worker, &snapshot, &bundle, &caller.organisation)?;
    let first = plan.cascade.as_ref().map_or(0, |cascade| {
        first_step(&snapshot, &caller.organisation, cascade, &mut rand::rng())
    });
    let guard = CrashGuard::new(&worker.shared, asked.fingerprint);
    let mut log = DispatchLog::default();
    let mut cost = Cost::default();
    let mut last_refusal = None;
    for (position, model) in plan.steps.iter().enumerate().skip(first) {
        let is_last = position + 1 == plan.steps.len();
        let gate = plan.cascade.as_ref().map(|cascade| cascade.gate);
        let holds = gate == Some(QualityGate::Inline) && !is_last;
        let step = Step {
            model,
            pinned: plan.pinned.as_ref(),
            request: &asked,
            session: &session,
            stream: asked.stream && !holds,
            guard: &guard,
        };
        let answer = match try_step(worker, caller, step, &mut log, trace).await {
            Ok(answer) => answer,
            Err(refused) => {
                // A costlier model may still be able to serve.
                last_refusal = Some(refused);
                continue;
            }
        };
        session.pin_version(&answer.version);
        if asked.stream && !holds {
            let relay = Relay::new(answer, session, cost, admitted);
            let (tx, body) = relayed_body();
            let res = relay
                .head(worker, caller)
                .message_body(body)
                .expect("the head is valid");
            return Ok(Served::Streaming(Box::new(relay), tx, res));
        }
        let subject = answer.subject.clone();
        let (version, whole) = match take_whole(worker, caller, answer).await {
            Ok(whole) => whole,
            Err(refused) => {
                last_refusal = Some(refused);
                continue;
            }
        };
        cost.add(&bundle, &version, whole.tokens);
        let passes = match holds {
            false => Some(true),
            true => {
                let left = caller.time_left(Now::read());
                rate_inline(worker, &subject, &whole.body, left).await
            }
        };
        if passes == Some(false) {
            continue;
        }
        if !holds && is_sampled(worker, &snapshot, &version) {
            rate_later(worker, &subject, whole.body.clone());
        }
        bill(worker, caller, &version, &cost, trace).await;
        let mut res = head(worker, caller, &session, &version, &whole.content_type);
        if holds {
            res.insert_header((RATED_HEADER, if passes.is_some() { "yes" } else { "no" }));
        }
        return Ok(Served::Whole(finish_whole(res, &asked, whole, trace)));
    }
    Err(last_refusal.unwrap_or_else(|| {
        let message = "no step of the cascade gave an answer";
        refuse(log.refusal_outcome(), Reason::UpstreamFailed, message)
    }))
}

fn finish_whole(
    mut res: ResponseBuilder,
    asked: &ModelRequest,
    whole: WholeAnswer,
    trace: &mut Trace,
) -> Response<BoxBody> {
    trace.record.status = StatusCode::OK.as_u16();
    trace.record.outcome = Outcome::Done;
    if !asked.stream {
        res.insert_header((OUTCOME_HEADER, Outcome::Done.to_string()));
        return res.body(whole.body).map_into_boxed_body();
    }
    // The gate held the answer, so a stream's caller gets it in one event.
    res.insert_header((CONTENT_TYPE, EVENT_STREAM));
    let mut events = BytesMut::from(&b"data: "[..]);
    events.extend_from_slice(&as_stream_chunk(&whole.body));
    events.extend_from_slice(b"\n\ndata: [DONE]\n\n");
    res.body(events.freeze()).map_into_boxed_body()
}

/// Turns a whole answer into the form of a stream's chunk.
fn as_stream_chunk(body: &Bytes) -> Bytes {
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

struct WholeAnswer {
    body: Bytes,
    content_type: String,
    tokens: u64,
}

/// Reads a whole answer; what is not whole counts as failed.
async fn take_whole(
    worker: &Worker,
    caller: &Caller,
    mut answer: StepAnswer,
) -> Result<(VersionName, WholeAnswer), Refused> {
    let left = caller.time_left(Now::read());
    let rest = read_whole(&mut answer.response, super::body::ANSWER_BYTES_LIMIT, left).await;
    let body = rest.map(|rest| join(answer.first.take(), rest));
    let usage = body.as_ref().ok().and_then(|body| usage_of_answer(body));
    let (Ok(body), Some(usage)) = (body, usage) else {
        answer.failed(worker);
        let message = "the upstream's answer is not whole";
        return Err(refuse(Outcome::Unknown, Reason::UpstreamFailed, message));
    };
    answer.succeeded(worker);
    let whole = WholeAnswer {
        body,
        content_type: answer.content_type(),
        tokens: usage.total_tokens,
    };
    Ok((answer.version, whole))
}

fn join(first: Option<Bytes>, rest: Bytes) -> Bytes {
    match first {
        None => rest,
        Some(first) => {
            let mut buf = BytesMut::from(&first[..]);
            buf.extend_from_slice(&rest);
            buf.freeze()
        }
    }
}

/// Begins the response to a caller, with the session's token.
pub fn head(
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
