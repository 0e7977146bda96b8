//! Plain services: requests that may be repeated are proxied without being buffered.

use super::body::{BodyError, UpstreamResponse, relay_until_deadline};
use super::claimed_request::serve_claimed;
use super::context::{Caller, Worker, refuse, refuse_for_backoff};
use super::crash_guard::{CrashGuard, check_for_crash_in_background};
use super::dispatch::{DispatchFailure, dispatch};
use super::headers::{ORGANISATION_HEADER, UPSTREAM_ID_HEADER, end_to_end_headers};
use super::responses::{OUTCOME_HEADER, REQUEST_ID_HEADER, refusal_response_to};
use super::trace::Trace;
use crate::box_list::AGENT_SERVICE;
use crate::bundle::Service;
use crate::clock::Now;
use crate::decision_record::TryRecord;
use crate::fingerprint::{Fingerprint, RequestIdentity};
use crate::outcome::{DispatchLog, Outcome, Reason, Refused};
use crate::routing::placement::{
    LoadGuard, Placed, PlacementQuery, RouterFleet, Upstream, choose_upstream,
    shortest_remaining_backoff,
};
use actix_http::body::{BodyStream, BoxBody, MessageBody as _, SizedStream};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use actix_http::{HttpMessage as _, Method, Payload, Request, Response, ResponseBuilder};
use awc::{Client, ClientRequest};
use bytes::Bytes;
use futures::future::ready;
use futures::{Stream, StreamExt as _, stream};
use std::rc::Rc;

const MAX_ATTEMPTS: usize = 3;
/// The most requests at an upstream at a time. Plain services answer fast, so the limit is far
/// above that of models.
const MAX_OUTSTANDING_PER_UPSTREAM: u32 = 4096;

/// Serves a request to a plain service.
pub async fn serve_plain(
    worker: Rc<Worker>,
    caller: Caller,
    service: String,
    mut req: Request,
) -> Response<BoxBody> {
    let mut trace = Trace::start(&worker.shared, &caller, &service);
    let result = match find_service(&worker, &service, &req) {
        Err(refused) => Err(refused),
        Ok(service_config) if service_config.repeatable.contains(req.method().as_str()) => {
            proxy_request(&worker, &caller, &service, &mut req, &mut trace).await
        }
        Ok(service_config) => {
            serve_claimed(
                &worker,
                &caller,
                &service,
                &service_config,
                &mut req,
                &mut trace,
            )
            .await
        }
    };
    let res = result.unwrap_or_else(|refused| {
        trace.record_refusal(&refused);
        refusal_response_to(&refused, &caller)
    });
    trace.finish(&worker.shared, Now::read());
    res
}

fn find_service(worker: &Worker, service: &str, req: &Request) -> Result<Service, Refused> {
    let not_run = |reason, message: String| refuse(Outcome::NotRun, reason, message);
    let snapshot = worker.snapshot();
    let Some(bundle) = snapshot.bundle.as_ref() else {
        return Err(not_run(
            Reason::NotReady,
            "no bundle is in force on this router yet".to_owned(),
        ));
    };
    let service_config = bundle.services.get(service).cloned();
    let service_config = service_config.ok_or_else(|| {
        not_run(
            Reason::NotAllowed,
            format!("service `{service}` does not exist"),
        )
    })?;
    let body_length = content_length(req.headers());
    let limit = worker.shared.settings.body_limit as u64;
    if body_length.is_some_and(|body_length| body_length > limit) {
        let message = format!("the body exceeds the limit of {limit} bytes");
        return Err(not_run(Reason::TooLarge, message));
    }
    Ok(service_config)
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Returns whether a request has a body, which can be sent only once.
fn has_body(headers: &HeaderMap) -> bool {
    headers.contains_key(TRANSFER_ENCODING)
        || content_length(headers).is_some_and(|length| length > 0)
}

/// Chooses an upstream of a service.
pub fn choose_service_upstream(
    worker: &Worker,
    service: &str,
    tried: &[String],
    dispatch_log: &DispatchLog,
) -> Result<Placed, Refused> {
    let snapshot = worker.snapshot();
    let agents = snapshot.upstreams_of(AGENT_SERVICE);
    let fleet = RouterFleet {
        own_box: &worker.shared.settings.identity.name,
        agents: &agents,
    };
    let candidates = snapshot.upstreams_of(service);
    let query = PlacementQuery {
        hall: &worker.shared.settings.identity.hall,
        affinity: None,
        max_outstanding: MAX_OUTSTANDING_PER_UPSTREAM,
        version: None,
        tried,
        fleet,
    };
    let chosen = choose_upstream(&candidates, query, Now::read(), &mut rand::rng());
    chosen.ok_or_else(|| {
        if let Some(backoff) = shortest_remaining_backoff(&candidates, fleet, Now::read()) {
            return refuse_for_backoff(dispatch_log.refusal_outcome(), backoff);
        }
        let message = format!("no upstream of `{service}` accepts requests now");
        refuse(dispatch_log.refusal_outcome(), Reason::NoUpstream, message)
    })
}

/// The parts of a request's head that are forwarded to an upstream.
#[derive(Debug, Clone)]
pub struct ForwardedHead {
    method: Method,
    target: String,
    headers: Vec<(HeaderName, HeaderValue)>,
}

impl ForwardedHead {
    /// Copies a request's method, target, and the headers that may be forwarded.
    pub fn from_request(req: &Request) -> Self {
        let target = req
            .uri()
            .path_and_query()
            .map_or("/", |target| target.as_str());
        Self {
            method: req.method().clone(),
            target: target.to_owned(),
            headers: end_to_end_headers(req.headers()),
        }
    }

    /// Returns the method.
    pub fn method(&self) -> &Method {
        &self.method
    }

    /// Builds the request to an upstream.
    pub fn build_request(
        &self,
        client: &Client,
        caller: &Caller,
        upstream: &Upstream,
    ) -> ClientRequest {
        let url = format!("http://{}{}", upstream.address, self.target);
        let mut request = client.request(self.method.clone(), url);
        for (name, value) in &self.headers {
            request.headers_mut().append(name.clone(), value.clone());
        }
        request
            .insert_header((ORGANISATION_HEADER, caller.organisation.clone()))
            .insert_header((UPSTREAM_ID_HEADER, caller.request_id.clone()))
    }
}

/// Describes an attempt at a plain service.
pub fn attempt_record(service: &str, upstream: &Upstream, result: &str) -> TryRecord {
    TryRecord {
        ran_on: service.to_owned(),
        upstream: upstream.name.clone(),
        result: result.to_owned(),
    }
}

/// Starts the response to a caller from the head of an upstream's response.
pub fn response_head(caller: &Caller, response: &UpstreamResponse) -> ResponseBuilder {
    let mut res = Response::build(response.status());
    for header in end_to_end_headers(response.headers()) {
        res.append_header(header);
    }
    res.insert_header((REQUEST_ID_HEADER, caller.request_id.clone()));
    res
}

/// Identifies sends of the same request by the parts that the router has read.
pub fn request_fingerprint(caller: &Caller, req: &Request, body: &[u8]) -> Fingerprint {
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

async fn proxy_request(
    worker: &Rc<Worker>,
    caller: &Caller,
    service: &str,
    req: &mut Request,
    trace: &mut Trace,
) -> Result<Response<BoxBody>, Refused> {
    let mut dispatch_log = DispatchLog::default();
    let mut tried = Vec::new();
    let is_body_single_use = has_body(req.headers());
    // A streamed body is not known in advance, so each send counts as a different request.
    let body = match is_body_single_use {
        true => caller.request_id.as_bytes(),
        false => &[],
    };
    let fingerprint = request_fingerprint(caller, req, body);
    let crash_guard = CrashGuard::new(&worker.shared, fingerprint.into());
    let mut last_refusal = None;
    loop {
        crash_guard.admit(&dispatch_log, Now::read())?;
        let placed = choose_service_upstream(worker, service, &tried, &dispatch_log);
        let Placed {
            upstream,
            load_guard,
        } = match placed {
            Ok(placed) => placed,
            Err(refused) => return Err(last_refusal.unwrap_or(refused)),
        };
        let started = Now::read().monotonic;
        let payload = req.take_payload();
        let failure =
            match send_attempt(worker, caller, req, payload, &upstream, &mut dispatch_log).await {
                Ok(response) => {
                    trace
                        .record
                        .tries
                        .push(attempt_record(service, &upstream, "answered"));
                    trace.record.status = response.status().as_u16();
                    trace.record.outcome = Outcome::Done;
                    upstream
                        .load
                        .record_success(Now::read().monotonic.saturating_sub(started));
                    worker.shared.retry_budget.deposit();
                    let relay_state = RelayState {
                        upstream,
                        crash_guard,
                        _load_guard: load_guard,
                    };
                    return Ok(relay_response(caller, response, relay_state));
                }
                Err(failure) => failure,
            };
        if !failure.is_unsent {
            crash_guard
                .check_for_crash(&upstream.name, upstream.address)
                .await;
        }
        failure.record(&upstream, started, Now::read());
        let refused = failure.refused;
        trace
            .record
            .tries
            .push(attempt_record(service, &upstream, &refused.message));
        tried.push(upstream.name);
        let may_retry =
            !is_body_single_use && refused.reason != Reason::Deadline && tried.len() < MAX_ATTEMPTS;
        if !may_retry || !worker.shared.retry_budget.withdraw() {
            return Err(refused);
        }
        last_refusal = Some(refused);
    }
}

async fn send_attempt(
    worker: &Worker,
    caller: &Caller,
    req: &Request,
    payload: Payload,
    upstream: &Upstream,
    dispatch_log: &mut DispatchLog,
) -> Result<UpstreamResponse, DispatchFailure> {
    let request_builder =
        ForwardedHead::from_request(req).build_request(&worker.pooled_client, caller, upstream);
    let limit = worker.shared.settings.body_limit;
    let sending = if has_body(req.headers()) {
        let body = limit_body(payload, limit);
        match content_length(req.headers()) {
            Some(length) => request_builder.send_body(SizedStream::new(length, body)),
            None => request_builder.send_body(BodyStream::new(body)),
        }
    } else {
        request_builder.send()
    };
    let method = req.method();
    dispatch(worker, method, sending, caller, upstream, dispatch_log).await
}

/// Forwards a body in chunks as they are received, and fails once it exceeds the limit.
fn limit_body(
    payload: Payload,
    max_bytes: usize,
) -> impl Stream<Item = Result<Bytes, BodyError>> + Unpin {
    let mut received = 0;
    payload.map(move |chunk| {
        let chunk = chunk.map_err(|_| BodyError::Interrupted)?;
        received += chunk.len();
        if received > max_bytes {
            Err(BodyError::TooLarge)
        } else {
            Ok(chunk)
        }
    })
}

/// State that is kept while a response is relayed.
struct RelayState {
    upstream: Upstream,
    crash_guard: Rc<CrashGuard>,
    _load_guard: LoadGuard,
}

/// Relays a response as it is received; the upstream counts as busy until its end.
fn relay_response(
    caller: &Caller,
    response: UpstreamResponse,
    relay_state: RelayState,
) -> Response<BoxBody> {
    let length = content_length(response.headers());
    let mut res = response_head(caller, &response);
    res.insert_header((OUTCOME_HEADER, Outcome::Done.to_string()));
    let mut is_complete = true;
    let caller = caller.clone();
    let chunks = relay_until_deadline(response, length, move |now| caller.remaining_time(now));
    let chunks = chunks.map(Some).chain(stream::once(ready(None)));
    let body = chunks.filter_map(move |chunk| {
        match &chunk {
            Some(Ok(_)) => {}
            Some(Err(_)) => {
                is_complete = false;
                check_for_crash_in_background(&relay_state.crash_guard, &relay_state.upstream);
            }
            None if is_complete => relay_state.crash_guard.record_answered(Now::read()),
            None => {}
        }
        ready(chunk)
    });
    let body = match length {
        Some(length) => SizedStream::new(length, body).boxed(),
        None => BodyStream::new(body).boxed(),
    };
    res.message_body(body)
        .expect("the head of a valid response is valid")
}
