//! Serves callers' requests: admission, the attempts at upstreams, and the response.

use super::load_decision::CallerHistory;
use super::prompt::Prompt;
use super::request::{AdmittedRequest, lets_router_choose};
use super::routes::{Caller, Route, RouteTable};
use super::wait_queue::Urgency;
use crate::clock::Now;
use crate::fingerprint::{Fingerprint, RequestFingerprints, RequestIdentity};
use crate::gateway::answer::buffered::{self, BufferedResponse, RelayedAnswer};
use crate::gateway::answer::held_body::HeldBody;
use crate::gateway::answer::held_bytes::{HeldKind, HolderUrgency, NoRoom};
use crate::gateway::answer::held_memory::RequestAccount;
use crate::gateway::answer::refusal::{self, Execution, RefusalReason};
use crate::gateway::answer::relay::Relay;
use crate::gateway::answer::stream::{self, ResponseStart};
use crate::gateway::attempt::connection::http1_types;
use crate::gateway::attempt::tries::TryHistory;
use crate::gateway::control::state::ConfigFreshness;
use crate::gateway::place::choose::stable_hash;
use crate::gateway::settings::UnverifiedKeyPolicy;
use crate::gateway::{Gateway, StartupWait};
use crate::hop_by_hop::HopByHopHeaders;
use crate::http_server::connection_close::add_close_header;
use crate::http_server::open_connections::ConnectionCut;
use actix_http::body::{BodyStream, BoxBody, MessageBody as _, SizedStream};
use actix_http::{HttpMessage as _, Request, Response, StatusCode, Version};
use bytes::{Bytes, BytesMut};
use futures::StreamExt as _;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The `expect` header, which is not forwarded: the router has the whole body before it sends it,
/// so it never needs `100 Continue` from an upstream.
const EXPECT: &str = "expect";

/// Serves one request and logs the outcome.
///
/// `cut` ends the caller's connection if the request has to yield its memory.
pub async fn serve(
    gw: Rc<Gateway>,
    cut: &Rc<ConnectionCut>,
    mut req: Request,
) -> Response<BoxBody> {
    let received = Now::read();
    let _in_flight = gw.track_request();
    let request_id = header(&req, &gw.headers.request_id)
        .unwrap_or_default()
        .to_owned();
    let account = gw.held_memory.open(&request_id, cut, &gw.telemetry);
    let mut response = match admit(&gw, &mut req, &request_id, account, received).await {
        Ok(request) => serve_until_exit(&gw, Rc::new(request)).await,
        Err(reason) => refuse(&gw, &request_id, None, reason, Execution::Never, received),
    };
    gw.caller_connections
        .add_close_header_if_stopping(&mut response);
    if gw.shedder.is_full(Now::read()) {
        add_close_header(&mut response);
    }
    response
}

/// Decides whether a request is admitted, and reads its body.
async fn admit(
    gw: &Gateway,
    req: &mut Request,
    request_id: &str,
    account: RequestAccount,
    received: Now,
) -> Result<AdmittedRequest, RefusalReason> {
    let caller_timeout_ms = header(req, &gw.headers.deadline).and_then(|text| text.parse().ok());
    let caller_timeout = caller_timeout_ms.map(Duration::from_millis);
    let startup_wait = StartupWait {
        received: received.monotonic,
        caller_timeout,
    };
    let routes = wait_for_routes(gw, startup_wait).await?;
    let route = check_caller(gw, req, &routes, received)?;
    let caller = routes.caller(route, header(req, &gw.headers.key));
    account.set_urgency(HolderUrgency {
        organisation: caller.organisation().map_or(0, |found| found.priority),
        route: route.priority,
    });
    account
        .hold_connections(head_bytes(req))
        .await
        .map_err(no_memory)?;
    let body = read_body(req, &routes, &account, received).await?;
    // Reading the body may have taken long, so the configuration that is in force now decides.
    let routes = gw.knowledge.borrow().routes().cloned().unwrap_or(routes);
    let now = Now::read();
    let route = check_caller(gw, req, &routes, now)?.clone();
    let caller = routes.caller(&route, header(req, &gw.headers.key));
    let organisation = caller.organisation().cloned();
    let model = header(req, &gw.headers.model);
    let router_chooses_model = lets_router_choose(model);
    if !route.models.is_empty() && model.is_some() && !router_chooses_model {
        return Err(RefusalReason::ModelNamed);
    }
    let timeout = caller_timeout.unwrap_or(route.timeout);
    let deadline = received.monotonic + timeout.min(route.timeout);
    if gw.is_too_late_to_admit(&route, deadline, now) {
        return Err(RefusalReason::Stopping);
    }
    let prompt = Prompt::parse(header(req, &gw.headers.prompt_parts));
    let session_id = header(req, &gw.headers.session).unwrap_or(request_id);
    let service = route
        .service_for(stable_hash(request_id))
        .ok_or(RefusalReason::NoRoute)?
        .to_owned();
    let urgency = Urgency {
        organisation: organisation.as_ref().map_or(0, |found| found.priority),
        route: route.priority,
    };
    let is_plain = route.kind.stream_gap().is_none();
    let caller_time = caller_timeout.map(|time| time.min(route.timeout));
    let caller = match is_plain && gw.controls_load(&service) {
        true => {
            let name = organisation.as_ref().map(|found| found.name.as_str());
            let name = name.unwrap_or_default();
            gw.record_arrival(&service, &route.name, name, urgency, caller_time, now)
        }
        false => CallerHistory::New,
    };
    let target = target_of(req);
    let own = Fingerprint::of(RequestIdentity {
        caller: organisation.as_ref().map(|found| found.name.as_str()),
        method: req.method().as_str(),
        host: host(req),
        target: &target,
        body: &body,
    });
    Ok(AdmittedRequest {
        request_id: request_id.to_owned(),
        fingerprints: RequestFingerprints {
            own,
            parts: prompt.part_fingerprints(&service),
        },
        config: gw.knowledge.borrow().config_basis(now),
        service,
        organisation,
        method: method_of(req),
        target,
        headers: forwarded_headers(gw, req),
        body,
        account: Rc::new(account),
        accepts_chunks: req.version() >= Version::HTTP_11,
        received: received.monotonic,
        deadline,
        prompt,
        session_id: session_id.to_owned(),
        caller,
        router_chooses_model,
        route,
        tries: TryHistory::default(),
        answer_began: Default::default(),
        parts_cleared: Default::default(),
        interrupted_at: Default::default(),
        trial: Default::default(),
        timing: Default::default(),
    })
}

/// Returns the routing table in force.
///
/// A box that has just started waits for its first table, and for the proof that it is the newest.
async fn wait_for_routes(
    gw: &Gateway,
    startup_wait: StartupWait,
) -> Result<Arc<RouteTable>, RefusalReason> {
    let timeout = gw.remaining_startup_wait(startup_wait, Now::read());
    // A timeout is no failure by itself: a table that is known without the proof will do.
    let _ = tokio::time::timeout(timeout, gw.wait_for_first_config()).await;
    let knowledge = gw.knowledge.borrow();
    knowledge
        .routes()
        .cloned()
        .ok_or(RefusalReason::NoConfiguration)
}

/// Checks a request's route and key, and that the knowledge of both is fresh enough.
fn check_caller<'a>(
    gw: &Gateway,
    req: &Request,
    routes: &'a RouteTable,
    now: Now,
) -> Result<&'a Arc<Route>, RefusalReason> {
    let route = find_route(req, routes);
    let caller = route.map(|route| routes.caller(route, header(req, &gw.headers.key)));
    let policy = gw.settings().bounds.unverified_key_policy;
    check(caller, gw.config_freshness(now), policy)?;
    route.ok_or(RefusalReason::NoRoute)
}

/// Decides by its route and key whether a request is served; `caller` is `None` if no route
/// matches.
///
/// A refusal says that a route or key does not exist only while the knowledge is proved to be the
/// newest, since operators may have added it meanwhile. A box that has known for too long that
/// something newer exists serves nothing by what it has.
pub fn check(
    caller: Option<Caller<'_>>,
    freshness: ConfigFreshness,
    policy: UnverifiedKeyPolicy,
) -> Result<(), RefusalReason> {
    if freshness == ConfigFreshness::Outdated {
        return Err(RefusalReason::Stale);
    }
    match (caller, freshness) {
        (Some(Caller::Anonymous), _) => Ok(()),
        (Some(Caller::Known(_)), ConfigFreshness::Current | ConfigFreshness::KeysValid) => Ok(()),
        (Some(Caller::Known(_)), _) => match policy {
            UnverifiedKeyPolicy::ServeKnown => Ok(()),
            UnverifiedKeyPolicy::Refuse => Err(RefusalReason::Stale),
        },
        (None, ConfigFreshness::Current) => Err(RefusalReason::NoRoute),
        (Some(Caller::Unknown), ConfigFreshness::Current) => Err(RefusalReason::UnknownKey),
        (None | Some(Caller::Unknown), _) => Err(RefusalReason::Stale),
    }
}

fn find_route<'a>(req: &Request, routes: &'a RouteTable) -> Option<&'a Arc<Route>> {
    routes.route(host(req), req.path())
}

fn host(req: &Request) -> &str {
    let host = req.headers().get("host");
    host.and_then(|host| host.to_str().ok()).unwrap_or_default()
}

async fn read_body(
    req: &mut Request,
    routes: &RouteTable,
    account: &RequestAccount,
    received: Now,
) -> Result<Bytes, RefusalReason> {
    let limit = routes.limits.max_body_bytes;
    // A body that does not fit is refused before it is read.
    let mut held = stated_length(req).min(limit);
    account
        .hold(HeldKind::RequestBody, held as u64)
        .await
        .map_err(no_memory)?;
    let mut payload = req.take_payload();
    let mut body = BytesMut::with_capacity(held);
    let idle_timeout = routes.limits.idle_timeout;
    loop {
        account.wait_for_caller();
        let chunk = tokio::time::timeout(idle_timeout, payload.next())
            .await
            .map_err(|_elapsed| RefusalReason::NoBody)?;
        account.record_progress();
        let Some(chunk) = chunk else {
            break;
        };
        let chunk = chunk.map_err(|err| {
            log::debug!(received_ms = received.monotonic.as_millis() as u64; "the body is incomplete: {err}");
            RefusalReason::NoBody
        })?;
        if body.len() + chunk.len() > limit {
            return Err(RefusalReason::TooLarge);
        }
        if body.len() + chunk.len() > held {
            held = body.len() + chunk.len();
            account
                .hold(HeldKind::RequestBody, held as u64)
                .await
                .map_err(no_memory)?;
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Returns the size of a request's target and headers.
fn head_bytes(req: &Request) -> usize {
    let target = req.uri().path_and_query();
    let target = target.map_or(0, |target| target.as_str().len());
    let headers = req.headers().iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len());
    target + headers.sum::<usize>()
}

/// Returns the length that a request states for its body; 0 if it states none.
fn stated_length(req: &Request) -> usize {
    let length = req.headers().get("content-length");
    let length = length.and_then(|value| value.to_str().ok());
    length.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn no_memory(_no_room: NoRoom) -> RefusalReason {
    RefusalReason::NoMemory
}

/// Serves a request, or answers it before the process exits.
async fn serve_until_exit(gw: &Rc<Gateway>, request: Rc<AdmittedRequest>) -> Response<BoxBody> {
    tokio::select! {
        response = serve_admitted(gw, request.clone()) => response,
        () = gw.await_exit() => refuse_admitted(gw, &request, RefusalReason::Stopping),
    }
}

async fn serve_admitted(gw: &Rc<Gateway>, request: Rc<AdmittedRequest>) -> Response<BoxBody> {
    let result = match request.route.kind.stream_gap() {
        Some(_) => stream::start(gw, &request).await,
        None => buffered::serve(gw, &request).await,
    };
    match result {
        Ok(ResponseStart::Stream { headers, relay }) => {
            gw.telemetry.record_answer(&request, 200, Now::read());
            stream_response(gw, &headers, relay)
        }
        Ok(ResponseStart::Buffered(buffered)) => {
            gw.telemetry
                .record_answer(&request, buffered.status, Now::read());
            buffered_response(buffered, &request)
        }
        Ok(ResponseStart::Relayed(answer)) => {
            gw.telemetry
                .record_answer(&request, answer.status, Now::read());
            relayed_response(gw, answer)
        }
        Err(reason) => refuse_admitted(gw, &request, reason),
    }
}

fn refuse_admitted(
    gw: &Gateway,
    request: &AdmittedRequest,
    reason: RefusalReason,
) -> Response<BoxBody> {
    request.release_trial(gw, Now::read());
    let received = Now {
        monotonic: request.received,
        ..Now::read()
    };
    let fingerprint = Some(request.fingerprints.own);
    let execution = request.tries.ran();
    refuse(
        gw,
        &request.request_id,
        fingerprint,
        reason,
        execution,
        received,
    )
}

fn refuse(
    gw: &Gateway,
    request: &str,
    fingerprint: Option<Fingerprint>,
    reason: RefusalReason,
    execution: Execution,
    received: Now,
) -> Response<BoxBody> {
    let now = Now::read();
    let took = now.monotonic.saturating_sub(received.monotonic);
    let config = gw.knowledge.borrow().config_basis(now);
    gw.telemetry
        .record_refusal(request, fingerprint, reason, execution, config, took);
    refusal::response(reason, execution)
}

fn buffered_response(buffered: BufferedResponse, request: &AdmittedRequest) -> Response<BoxBody> {
    let body = HeldBody::new(buffered.body, request.account.clone()).boxed();
    head(buffered.status, &buffered.headers).set_body(body)
}

fn relayed_response(gw: &Rc<Gateway>, answer: RelayedAnswer) -> Response<BoxBody> {
    let in_flight = gw.track_request();
    let pieces = futures::stream::unfold(Some((answer.relay, in_flight)), |state| async move {
        let (mut relay, in_flight) = state?;
        match relay.next().await? {
            Ok(bytes) => Some((Ok(bytes), Some((relay, in_flight)))),
            Err(err) => Some((Err(err), None)),
        }
    });
    let pieces = Box::pin(pieces);
    let body = match answer.body_len {
        Some(length) => SizedStream::new(length, pieces).boxed(),
        None => BodyStream::new(pieces).boxed(),
    };
    head(answer.status, &answer.headers).set_body(body)
}

fn stream_response(
    gw: &Rc<Gateway>,
    headers: &http1_types::HeaderMap,
    relay: Box<Relay>,
) -> Response<BoxBody> {
    let in_flight = gw.track_request();
    let events = futures::stream::unfold(Some((relay, in_flight)), |state| async move {
        let (mut relay, in_flight) = state?;
        match relay.next().await? {
            Ok(bytes) => Some((Ok(bytes), Some((relay, in_flight)))),
            Err(err) => Some((Err(err), None)),
        }
    });
    let body = BodyStream::new(Box::pin(events)).boxed();
    head(StatusCode::OK.as_u16(), headers).set_body(body)
}

/// Builds the head of a response from the upstream's, without hop-by-hop headers.
fn head(status: u16, headers: &http1_types::HeaderMap) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::build(status);
    let connection = headers.get_all(hyper::header::CONNECTION);
    let hop_by_hop = HopByHopHeaders::from_connection_values(
        connection.iter().filter_map(|value| value.to_str().ok()),
    );
    for (name, value) in headers {
        if hop_by_hop.contains(name.as_str()) {
            continue;
        }
        response.append_header((name.as_str(), value.as_bytes()));
    }
    response.finish().map_into_boxed_body()
}

fn header<'a>(req: &'a Request, name: &http::HeaderName) -> Option<&'a str> {
    req.headers()
        .get(name.as_str())
        .and_then(|value| value.to_str().ok())
}

fn method_of(req: &Request) -> http1_types::Method {
    // The server has already validated the method; this only converts its type.
    http1_types::Method::from_bytes(req.method().as_str().as_bytes()).unwrap_or_default()
}

fn target_of(req: &Request) -> String {
    req.uri()
        .path_and_query()
        .map_or_else(|| req.path().to_owned(), ToString::to_string)
}

/// Returns the caller's headers that are forwarded to upstreams.
fn forwarded_headers(gw: &Gateway, req: &Request) -> http1_types::HeaderMap {
    let names = &gw.headers;
    let mut forwarded = http1_types::HeaderMap::new();
    let connection = req.headers().get_all("connection");
    let hop_by_hop =
        HopByHopHeaders::from_connection_values(connection.filter_map(|value| value.to_str().ok()));
    for (name, value) in req.headers() {
        let name = name.as_str();
        let is_reserved = names.reserved.iter().any(|reserved| reserved == name);
        if is_reserved || hop_by_hop.contains(name) || name == EXPECT {
            continue;
        }
        let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
        let value = hyper::header::HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            forwarded.append(name, value);
        }
    }
    forwarded
}
