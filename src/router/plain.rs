//! Plain services: requests that may be repeated are passed through as they come.

use super::answer::{OUTCOME_HEADER, REQUEST_ID_HEADER, refusal_to};
use super::body::{BodyError, UpstreamResponse};
use super::claimed::serve_claimed;
use super::context::{Caller, Worker, refuse, refuse_for_rest};
use super::crash_guard::{CrashGuard, check_aside};
use super::dispatch::{DispatchFailure, dispatch};
use super::headers::{ORGANISATION_HEADER, UPSTREAM_ID_HEADER, end_to_end};
use super::trace::Trace;
use crate::bundle::Service;
use crate::clock::Now;
use crate::decision_record::TryRecord;
use crate::fingerprint::{Fingerprint, RequestIdentity};
use crate::outcome::{DispatchLog, Outcome, Reason, Refused};
use crate::routing::placement::{
    LoadGuard, PlacementQuery, Upstream, choose_upstream, first_rested,
};
use actix_http::body::{BodyStream, BoxBody, MessageBody as _, SizedStream};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use actix_http::{HttpMessage as _, Method, Payload, Request, Response, ResponseBuilder};
use awc::{Client, ClientRequest};
use bytes::Bytes;
use futures::future::ready;
use futures::{Stream, StreamExt as _, stream};
use std::rc::Rc;

const MOST_TRIES: usize = 3;
/// Plain services answer fast, so far more of their requests run at a time than of models'.
const PLAIN_LIMIT: u32 = 4096;

/// Serves a request to a plain service.
pub async fn serve_plain(
    worker: Rc<Worker>,
    caller: Caller,
    service: String,
    mut req: Request,
) -> Response<BoxBody> {
    let mut trace = Trace::begin(&worker.shared, &caller, &service);
    let served = match find_service(&worker, &service, &req) {
        Err(refused) => Err(refused),
        Ok(found) if found.repeatable.contains(req.method().as_str()) => {
            pass_through(&worker, &caller, &service, &mut req, &mut trace).await
        }
        Ok(found) => serve_claimed(&worker, &caller, &service, &found, &mut req, &mut trace).await,
    };
    let res = served.unwrap_or_else(|refused| {
        trace.refused(&refused);
        refusal_to(&refused, &caller)
    });
    trace.end(&worker.shared, Now::read());
    res
}

fn find_service(worker: &Worker, service: &str, req: &Request) -> Result<Service, Refused> {
    let not_run = |reason, message: String| refuse(Outcome::NotRun, reason, message);
    let snapshot = worker.snapshot();
    let Some(bundle) = snapshot.bundle.as_ref() else {
        return Err(not_run(
            Reason::NotReady,
            "no bundle is in force here yet".to_owned(),
        ));
    };
    let found = bundle.services.get(service).cloned();
    let found = found.ok_or_else(|| {
        not_run(
            Reason::NotAllowed,
            format!("there is no service `{service}`"),
        )
    })?;
    let announced = announced_length(req.headers());
    let limit = worker.shared.settings.body_limit as u64;
    if announced.is_some_and(|announced| announced > limit) {
        let message = format!("a body may have {limit} bytes at the most");
        return Err(not_run(Reason::TooLarge, message));
    }
    Ok(found)
}

fn announced_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Tells whether a request has a body, which can be sent only once.
fn has_body(headers: &HeaderMap) -> bool {
    headers.contains_key(TRANSFER_ENCODING)
        || announced_length(headers).is_some_and(|length| length > 0)
}

/// Chooses an upstream of a service.
pub fn place(
    worker: &Worker,
    service: &str,
    tried: &[String],
    log: &DispatchLog,
) -> Result<Upstream, Refused> {
    let snapshot = worker.snapshot();
    let candidates = snapshot.upstreams_of(service);
    let query = PlacementQuery {
        hall: &worker.shared.settings.identity.hall,
        affinity: None,
        limit: PLAIN_LIMIT,
        version: None,
        tried,
    };
    let chosen = choose_upstream(&candidates, query, Now::read(), &mut rand::rng());
    chosen.cloned().ok_or_else(|| {
        if let Some(left) = first_rested(&candidates, Now::read()) {
            return refuse_for_rest(log.refusal_outcome(), left);
        }
        let message = format!("no upstream of `{service}` takes work now");
        refuse(log.refusal_outcome(), Reason::NoUpstream, message)
    })
}

/// What of a request's head is passed on to an upstream.
#[derive(Debug, Clone)]
pub struct ForwardHead {
    method: Method,
    target: String,
    headers: Vec<(HeaderName, HeaderValue)>,
}

impl ForwardHead {
    /// Takes a request's method, target, and the headers that may be passed on.
    pub fn of(req: &Request) -> Self {
        let target = req
            .uri()
            .path_and_query()
            .map_or("/", |target| target.as_str());
        Self {
            method: req.method().clone(),
            target: target.to_owned(),
            headers: end_to_end(req.headers()),
        }
    }

    /// Makes the request to an upstream.
    pub fn request(&self, client: &Client, caller: &Caller, upstream: &Upstream) -> ClientRequest {
        let url = format!("http://{}{}", upstream.address, self.target);
        let mut out = client.request(self.method.clone(), url);
        for (name, value) in &self.headers {
            out.headers_mut().append(name.clone(), value.clone());
        }
        out.insert_header((ORGANISATION_HEADER, caller.organisation.clone()))
            .insert_header((UPSTREAM_ID_HEADER, caller.request_id.clone()))
    }
}

/// Describes a try of a plain service.
pub fn try_record(service: &str, upstream: &Upstream, result: &str) -> TryRecord {
    TryRecord {
        ran_on: service.to_owned(),
        upstream: upstream.name.clone(),
        result: result.to_owned(),
    }
}

/// Begins the response to a caller from an upstream's head.
pub fn response_head(caller: &Caller, response: &UpstreamResponse) -> ResponseBuilder {
    let mut res = Response::build(response.status());
    for header in end_to_end(response.headers()) {
        res.append_header(header);
    }
    res.insert_header((REQUEST_ID_HEADER, caller.request_id.clone()));
    res
}

/// Tells a request apart from others by what the router has of it.
pub fn fingerprint(caller: &Caller, req: &Request, body: &[u8]) -> Fingerprint {
    Fingerprint::of(RequestIdentity {
        caller: Some(&caller.organisation),
        method: req.method().as_str(),
        host: "",
        target: req
            .uri()
            .path_and_query()
            .map_or("/", |target| target.as_str()),
        body,
    })
}

async fn pass_through(
    worker: &Rc<Worker>,
    caller: &Caller,
    service: &str,
    req: &mut Request,
    trace: &mut Trace,
) -> Result<Response<BoxBody>, Refused> {
    let mut log = DispatchLog::default();
    let mut tried = Vec::new();
    let once = has_body(req.headers());
    // A body that passes through as it comes is not known, so each send stands for itself.
    let body = match once {
        true => caller.request_id.as_bytes(),
        false => &[],
    };
    let crashes = CrashGuard::new(&worker.shared, fingerprint(caller, req, body));
    let mut last = None;
    loop {
        crashes.admit(&log, Now::read())?;
        let upstream = match place(worker, service, &tried, &log) {
            Ok(upstream) => upstream,
            Err(refused) => return Err(last.unwrap_or(refused)),
        };
        let guard = upstream.load.enter();
        let began = Now::read().monotonic;
        let payload = req.take_payload();
        let failed = match send(worker, caller, req, payload, &upstream, &mut log).await {
            Ok(response) => {
                trace
                    .record
                    .tries
                    .push(try_record(service, &upstream, "answered"));
                trace.record.status = response.status().as_u16();
                trace.record.outcome = Outcome::Done;
                upstream
                    .load
                    .succeeded(Now::read().monotonic.saturating_sub(began));
                worker.shared.budget.deposit();
                let watched = Watched {
                    upstream,
                    crashes,
                    _load: guard,
                };
                return Ok(relay(caller, response, watched));
            }
            Err(failed) => failed,
        };
        if !failed.is_unsent {
            crashes.broke_off(&upstream.name, upstream.address).await;
        }
        let failure = failed.refused;
        trace
            .record
            .tries
            .push(try_record(service, &upstream, &failure.message));
        upstream.load.failed(began, Now::read());
        tried.push(upstream.name);
        let may_retry = !once && failure.reason != Reason::Deadline && tried.len() < MOST_TRIES;
        if !may_retry || !worker.shared.budget.withdraw() {
            return Err(failure);
        }
        last = Some(failure);
    }
}

async fn send(
    worker: &Worker,
    caller: &Caller,
    req: &Request,
    payload: Payload,
    upstream: &Upstream,
    log: &mut DispatchLog,
) -> Result<UpstreamResponse, DispatchFailure> {
    let out = ForwardHead::of(req).request(&worker.client, caller, upstream);
    let limit = worker.shared.settings.body_limit;
    let sent = if has_body(req.headers()) {
        let body = limited(payload, limit);
        match announced_length(req.headers()) {
            Some(length) => out.send_body(SizedStream::new(length, body)),
            None => out.send_body(BodyStream::new(body)),
        }
    } else {
        out.send()
    };
    dispatch(sent, caller, upstream, log).await
}

/// Passes a body on as it comes, and breaks it off beyond the limit.
fn limited(payload: Payload, limit: usize) -> impl Stream<Item = Result<Bytes, BodyError>> + Unpin {
    let mut seen = 0;
    payload.map(move |chunk| {
        let chunk = chunk.map_err(|_| BodyError::Broken)?;
        seen += chunk.len();
        if seen > limit {
            Err(BodyError::TooLarge)
        } else {
            Ok(chunk)
        }
    })
}

/// An answer that is passed on while it comes.
struct Watched {
    upstream: Upstream,
    crashes: Rc<CrashGuard>,
    _load: LoadGuard,
}

/// Passes an answer on as it comes; the upstream counts as busy until its end.
fn relay(caller: &Caller, response: UpstreamResponse, watched: Watched) -> Response<BoxBody> {
    let length = announced_length(response.headers());
    let mut res = response_head(caller, &response);
    res.insert_header((OUTCOME_HEADER, Outcome::Done.to_string()));
    let mut is_whole = true;
    let pieces = response.map(Some).chain(stream::once(ready(None)));
    let body = pieces.filter_map(move |piece| {
        match &piece {
            Some(Ok(_)) => {}
            Some(Err(_)) => {
                is_whole = false;
                check_aside(&watched.crashes, &watched.upstream);
            }
            None if is_whole => watched.crashes.answered(Now::read()),
            None => {}
        }
        ready(piece)
    });
    let body = match length {
        Some(length) => SizedStream::new(length, body).boxed(),
        None => BodyStream::new(body).boxed(),
    };
    res.message_body(body)
        .expect("the head comes from a valid response")
}
