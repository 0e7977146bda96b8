//! From a caller's request to the answer that it gets.

use super::job::{Job, leaves_choice};
use super::prompt::Prompt;
use super::routes::{Caller, Route, RouteTable};
use crate::clock::Now;
use crate::fingerprint::{Fingerprint, Identity};
use crate::gateway::answer::plain::{self, WholeAnswer};
use crate::gateway::answer::refusal::{self, Ran, Why};
use crate::gateway::answer::relay::Relay;
use crate::gateway::answer::stream::{self, Begun};
use crate::gateway::attempt::connect::http1_types;
use crate::gateway::attempt::tries::TryHistory;
use crate::gateway::control::state::ConfigFreshness;
use crate::gateway::place::choose::stable_hash;
use crate::gateway::settings::UnprovedKeys;
use crate::gateway::{FirstWait, Gateway};
use crate::hop_by_hop::HopByHop;
use actix_http::body::{BodyStream, BoxBody, MessageBody as _};
use actix_http::{HttpMessage as _, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures::StreamExt as _;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The router reads bodies whole before it sends them, so it never asks to be expected.
const EXPECT: &str = "expect";

/// Serves one request and says so in the log.
pub async fn serve(gw: Rc<Gateway>, mut req: Request) -> Response<BoxBody> {
    let received = Now::read();
    let _counted = gw.count_in();
    let request_id = header(&req, &gw.headers.request_id)
        .unwrap_or_default()
        .to_owned();
    let mut response = match admit(&gw, &mut req, &request_id, received).await {
        Ok(job) => serve_job(&gw, Rc::new(job)).await,
        Err(why) => refuse(&gw, &request_id, None, why, Ran::Nowhere, received),
    };
    gw.callers.add_close_header_if_stopping(&mut response);
    response
}

/// Checks a request and reads it whole.
async fn admit(
    gw: &Gateway,
    req: &mut Request,
    request_id: &str,
    received: Now,
) -> Result<Job, Why> {
    let asked = header(req, &gw.headers.deadline).and_then(|text| text.parse().ok());
    let caller_waits = asked.map(Duration::from_millis);
    let waiting = FirstWait {
        received: received.monotonic,
        caller_waits,
    };
    let routes = await_routes(gw, waiting).await?;
    check_caller(gw, req, &routes, received)?;
    let body = read_body(req, &routes, received).await?;
    // Reading may have taken long: what is in force now decides.
    let routes = gw.knowledge.borrow().routes().cloned().unwrap_or(routes);
    let now = Now::read();
    let route = check_caller(gw, req, &routes, now)?.clone();
    let organisation = match routes.caller(&route, header(req, &gw.headers.key)) {
        Caller::Known(organisation) => Some(organisation.clone()),
        Caller::Anonymous | Caller::Unknown => None,
    };
    let model = header(req, &gw.headers.model);
    let chooses_model = leaves_choice(model);
    if !route.models.is_empty() && model.is_some() && !chooses_model {
        return Err(Why::ModelNamed);
    }
    if gw.is_too_late_for(route.kind, now) {
        return Err(Why::Stopping);
    }
    let wait = caller_waits.unwrap_or(route.timeout);
    let prompt = Prompt::read(header(req, &gw.headers.prompt_parts));
    let session = header(req, &gw.headers.session).unwrap_or(request_id);
    let service = route
        .service_for(stable_hash(request_id))
        .ok_or(Why::NoRoute)?
        .to_owned();
    let target = target_of(req);
    let fingerprint = Fingerprint::of(Identity {
        caller: organisation.as_ref().map(|found| found.name.as_str()),
        method: req.method().as_str(),
        host: host(req),
        target: &target,
        body: &body,
    });
    Ok(Job {
        request_id: request_id.to_owned(),
        fingerprint,
        config_version: routes.version,
        service,
        organisation,
        method: method_of(req),
        target,
        headers: passed_headers(gw, req),
        body,
        received: received.monotonic,
        deadline: received.monotonic + wait.min(route.timeout),
        prompt,
        session: session.to_owned(),
        chooses_model,
        route,
        tries: TryHistory::default(),
        trial: Default::default(),
        timed: Default::default(),
    })
}

/// Returns the routes in force, which a box that has just started is about to learn together
/// with the proof that they are the newest.
async fn await_routes(gw: &Gateway, waiting: FirstWait) -> Result<Arc<RouteTable>, Why> {
    let wait = gw.left_of_first_read(waiting, Now::read());
    // Whether it was learned or the wait is over, what is known then tells.
    let _ = tokio::time::timeout(wait, gw.await_first_knowledge()).await;
    let knowledge = gw.knowledge.borrow();
    knowledge.routes().cloned().ok_or(Why::NoConfiguration)
}

/// Checks the route, the key and how fresh the knowledge of both is.
fn check_caller<'a>(
    gw: &Gateway,
    req: &Request,
    routes: &'a RouteTable,
    now: Now,
) -> Result<&'a Arc<Route>, Why> {
    let found = find_route(req, routes);
    let caller = found.map(|route| routes.caller(route, header(req, &gw.headers.key)));
    let unproved = gw.settings().bounds.unproved_keys;
    check(caller, gw.proof(now), unproved)?;
    found.ok_or(Why::NoRoute)
}

/// Decides by a request's route and key whether it is served; no caller means that it has
/// no route.
///
/// That a route or a key does not exist is only said while what is known is proved to be
/// the newest: the operators may have added it since. A box that has known for too long
/// that there is something newer serves nothing by what it has.
pub fn check(
    caller: Option<Caller<'_>>,
    proof: ConfigFreshness,
    unproved: UnprovedKeys,
) -> Result<(), Why> {
    if proof == ConfigFreshness::Outdated {
        return Err(Why::Stale);
    }
    match (caller, proof) {
        (Some(Caller::Anonymous), _) => Ok(()),
        (Some(Caller::Known(_)), ConfigFreshness::Current | ConfigFreshness::KeysValid) => Ok(()),
        (Some(Caller::Known(_)), _) => match unproved {
            UnprovedKeys::ServeKnown => Ok(()),
            UnprovedKeys::Refuse => Err(Why::Stale),
        },
        (None, ConfigFreshness::Current) => Err(Why::NoRoute),
        (Some(Caller::Unknown), ConfigFreshness::Current) => Err(Why::UnknownKey),
        (None | Some(Caller::Unknown), _) => Err(Why::Stale),
    }
}

fn find_route<'a>(req: &Request, routes: &'a RouteTable) -> Option<&'a Arc<Route>> {
    routes.route(host(req), req.path())
}

fn host(req: &Request) -> &str {
    let host = req.headers().get("host");
    host.and_then(|host| host.to_str().ok()).unwrap_or_default()
}

async fn read_body(req: &mut Request, routes: &RouteTable, received: Now) -> Result<Bytes, Why> {
    let limit = routes.limits.body_bytes;
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    let patience = routes.limits.idle;
    while let Some(piece) = tokio::time::timeout(patience, payload.next())
        .await
        .map_err(|_elapsed| Why::NoBody)?
    {
        let piece = piece.map_err(|err| {
            log::debug!(received_ms = received.monotonic.as_millis() as u64; "no whole body: {err}");
            Why::NoBody
        })?;
        if body.len() + piece.len() > limit {
            return Err(Why::TooLarge);
        }
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}

async fn serve_job(gw: &Rc<Gateway>, job: Rc<Job>) -> Response<BoxBody> {
    let result = match job.route.kind.stream_gap() {
        Some(_) => stream::begin(gw, &job).await,
        None => plain::serve(gw, &job).await.map(Begun::Failed),
    };
    match result {
        Ok(Begun::Stream { headers, relay }) => {
            gw.telemetry.passed_on(&job, 200, Now::read());
            stream_response(gw, &headers, relay)
        }
        Ok(Begun::Failed(whole)) => {
            gw.telemetry.passed_on(&job, whole.status, Now::read());
            whole_response(whole)
        }
        Err(why) => {
            job.give_up_trial(gw, Now::read());
            let received = Now {
                monotonic: job.received,
                ..Now::read()
            };
            let fingerprint = Some(job.fingerprint);
            refuse(
                gw,
                &job.request_id,
                fingerprint,
                why,
                job.tries.ran(),
                received,
            )
        }
    }
}

fn refuse(
    gw: &Gateway,
    request: &str,
    fingerprint: Option<Fingerprint>,
    why: Why,
    ran: Ran,
    received: Now,
) -> Response<BoxBody> {
    let now = Now::read();
    let took = now.monotonic.saturating_sub(received.monotonic);
    let age = gw.knowledge.borrow().age(now);
    gw.telemetry
        .refused(request, fingerprint, why, ran, age, took);
    refusal::answer(why, ran)
}

fn whole_response(whole: WholeAnswer) -> Response<BoxBody> {
    let mut response = head(whole.status, &whole.headers);
    response = response.set_body(BoxBody::new(whole.body));
    response
}

fn stream_response(
    gw: &Rc<Gateway>,
    headers: &http1_types::HeaderMap,
    relay: Box<Relay>,
) -> Response<BoxBody> {
    let counted = gw.count_in();
    let events = futures::stream::unfold(Some((relay, counted)), |state| async move {
        let (mut relay, counted) = state?;
        match relay.next().await? {
            Ok(bytes) => Some((Ok(bytes), Some((relay, counted)))),
            Err(err) => Some((Err(err), None)),
        }
    });
    let body = BodyStream::new(Box::pin(events)).boxed();
    head(StatusCode::OK.as_u16(), headers).set_body(body)
}

/// Makes the head of an answer as the upstream gave it.
fn head(status: u16, headers: &http1_types::HeaderMap) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::build(status);
    let connection = headers.get_all(hyper::header::CONNECTION);
    let hop_by_hop = HopByHop::read(connection.iter().filter_map(|value| value.to_str().ok()));
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
    // The server has checked the method already; this only changes the type.
    http1_types::Method::from_bytes(req.method().as_str().as_bytes()).unwrap_or_default()
}

fn target_of(req: &Request) -> String {
    req.uri()
        .path_and_query()
        .map_or_else(|| req.path().to_owned(), ToString::to_string)
}

/// Returns the caller's headers that upstreams get.
fn passed_headers(gw: &Gateway, req: &Request) -> http1_types::HeaderMap {
    let names = &gw.headers;
    let mut passed = http1_types::HeaderMap::new();
    let connection = req.headers().get_all("connection");
    let hop_by_hop = HopByHop::read(connection.filter_map(|value| value.to_str().ok()));
    for (name, value) in req.headers() {
        let name = name.as_str();
        let is_reserved = names.reserved.iter().any(|reserved| reserved == name);
        if is_reserved || hop_by_hop.contains(name) || name == EXPECT {
            continue;
        }
        let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
        let value = hyper::header::HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            passed.append(name, value);
        }
    }
    passed
}
