//! Requests that may not be repeated: claimed first, sent once, and answered again from the saved
//! response.

use super::body::{BodyError, RESPONSE_MAX_BYTES, UpstreamResponse, read_full_body};
use super::context::{Caller, Worker, refuse};
use super::crash_guard::CrashGuard;
use super::dispatch::dispatch;
use super::plain_service::{
    ForwardedHead, attempt_record, choose_service_upstream, request_fingerprint, response_head,
};
use super::responses::{OUTCOME_HEADER, REPEATED_HEADER, REQUEST_ID_HEADER};
use super::trace::Trace;
use crate::bundle::Service;
use crate::claim::{AttemptId, Bill, ClaimReply, Finish, SAVED_RESPONSE_MAX_BYTES, SavedResponse};
use crate::clock::Now;
use crate::decision_record::TryRecord;
use crate::outcome::{DispatchLog, Outcome, Reason, Refused};
use crate::routing::placement::{LoadGuard, Placed, Upstream};
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;

const MAX_ATTEMPTS: usize = 3;

/// A request that may not be repeated, with all that its task needs.
struct ClaimedRequest {
    worker: Rc<Worker>,
    caller: Caller,
    service: String,
    head: ForwardedHead,
    body: Bytes,
    bill: Option<Bill>,
    crash_guard: Rc<CrashGuard>,
}

/// Serves a request that may not be repeated.
///
/// Once its body has been received, the request continues in a task of its own, so that a caller
/// who disconnects doesn't leave behind a claim whose end is never recorded.
pub async fn serve_claimed(
    worker: &Rc<Worker>,
    caller: &Caller,
    service: &str,
    service_config: &Service,
    req: &mut Request,
    trace: &mut Trace,
) -> Result<Response<BoxBody>, Refused> {
    // The complete body is read first, so that a request whose caller disconnects meanwhile has not
    // run.
    let body = read_body(worker, caller, req).await?;
    let bill = service_config
        .billed
        .contains(req.method().as_str())
        .then(|| Bill {
            key: caller.claim_key(),
            ran_on: service.to_owned(),
            tokens: 0,
            cost_micros: service_config.cost_micros,
            at: caller.received.wall,
        });
    let fingerprint = request_fingerprint(caller, req, &body);
    let request = ClaimedRequest {
        crash_guard: CrashGuard::new(&worker.shared, fingerprint.into()),
        worker: worker.clone(),
        caller: caller.clone(),
        service: service.to_owned(),
        head: ForwardedHead::from_request(req),
        body,
        bill,
    };
    let task = actix_rt::spawn(async move {
        let mut attempts = Vec::new();
        let result = request.claim_and_run(&mut attempts).await;
        (result, attempts)
    });
    let (result, attempts) = task
        .await
        .map_err(|_| upstream_failure("the request's task ended unexpectedly"))?;
    trace.record.tries = attempts;
    let BilledResponse { res, bill } = result?;
    trace.record.status = res.status().as_u16();
    trace.record.outcome = Outcome::Done;
    trace.record.billed = bill.is_some();
    trace.record.cost_micros = bill.map_or(0, |bill| bill.cost_micros);
    Ok(res)
}

/// A response with the billing record that was made for it.
struct BilledResponse {
    res: Response<BoxBody>,
    bill: Option<Bill>,
}

impl ClaimedRequest {
    async fn claim_and_run(self, attempts: &mut Vec<TryRecord>) -> Result<BilledResponse, Refused> {
        let claim_attempt = AttemptId::random();
        let key = self.caller.claim_key();
        let remaining_time = self.caller.remaining_time(Now::read());
        match self.worker.claim(&key, claim_attempt, remaining_time).await {
            ClaimReply::Granted => {}
            ClaimReply::Finished(Some(saved)) => {
                return Ok(BilledResponse {
                    res: saved_response(&self.caller, saved),
                    bill: None,
                });
            }
            reply => return Err(claim_refusal(reply)),
        }
        match self.send_until_connected(attempts).await {
            Ok(started) => self.finish(claim_attempt, started).await,
            Err(refused) => {
                if refused.outcome == Outcome::NotRun {
                    self.worker.release_in_background(key, claim_attempt);
                }
                Err(refused)
            }
        }
    }

    /// Sends the request. Another upstream is tried only while it is proved that no byte was
    /// written to the earlier ones.
    async fn send_until_connected(
        &self,
        attempts: &mut Vec<TryRecord>,
    ) -> Result<StartedResponse, Refused> {
        let mut dispatch_log = DispatchLog::default();
        let mut tried = Vec::new();
        let mut last_refusal = None;
        loop {
            self.crash_guard.admit(&dispatch_log, Now::read())?;
            let placed =
                choose_service_upstream(&self.worker, &self.service, &tried, &dispatch_log);
            let Placed {
                upstream,
                load_guard,
            } = match placed {
                Ok(placed) => placed,
                Err(refused) => return Err(last_refusal.unwrap_or(refused)),
            };
            let started = Now::read().monotonic;
            let request_builder =
                self.head
                    .build_request(&self.worker.unpooled_client, &self.caller, &upstream);
            let request = request_builder.send_body(self.body.clone());
            let failure = match dispatch(
                &self.worker,
                self.head.method(),
                request,
                &self.caller,
                &upstream,
                &mut dispatch_log,
            )
            .await
            {
                Ok(response) => {
                    attempts.push(attempt_record(&self.service, &upstream, "answered"));
                    return Ok(StartedResponse {
                        response,
                        upstream,
                        started,
                        _load_guard: load_guard,
                    });
                }
                Err(failure) => {
                    if !failure.is_unsent {
                        let (name, address) = (&upstream.name, upstream.address);
                        self.crash_guard.check_for_crash(name, address).await;
                    }
                    failure
                }
            };
            failure.record(&upstream, started, Now::read());
            let refused = failure.refused;
            attempts.push(attempt_record(&self.service, &upstream, &refused.message));
            tried.push(upstream.name);
            if refused.outcome != Outcome::NotRun || tried.len() >= MAX_ATTEMPTS {
                return Err(refused);
            }
            last_refusal = Some(refused);
        }
    }

    /// Reads the complete response and records the end of the request and its billing record before
    /// it returns the response.
    async fn finish(
        self,
        claim_attempt: AttemptId,
        response: StartedResponse,
    ) -> Result<BilledResponse, Refused> {
        let StartedResponse {
            mut response,
            upstream,
            started,
            _load_guard,
        } = response;
        let mut res = response_head(&self.caller, &response);
        let remaining_time = self.caller.remaining_time(Now::read());
        let body = match read_full_body(&mut response, RESPONSE_MAX_BYTES, remaining_time).await {
            Ok(body) => body,
            Err(err) => {
                upstream.load.record_failure(started, Now::read());
                self.crash_guard
                    .check_for_crash(&upstream.name, upstream.address)
                    .await;
                return Err(upstream_failure(&err.to_string()));
            }
        };
        upstream
            .load
            .record_success(Now::read().monotonic.saturating_sub(started));
        self.crash_guard.record_answered(Now::read());
        let bill = self.bill.filter(|_| response.status().is_success());
        let finish = Finish {
            response: to_saved_response(&response, &body),
            bill: bill.clone(),
        };
        self.worker
            .record_finish(self.caller.claim_key(), claim_attempt, finish)
            .await;
        res.insert_header((OUTCOME_HEADER, Outcome::Done.to_string()));
        Ok(BilledResponse {
            res: res.body(body).map_into_boxed_body(),
            bill,
        })
    }
}

/// A request to which an upstream has started to respond.
struct StartedResponse {
    response: UpstreamResponse,
    upstream: Upstream,
    started: Duration,
    _load_guard: LoadGuard,
}

async fn read_body(worker: &Worker, caller: &Caller, req: &mut Request) -> Result<Bytes, Refused> {
    let remaining_time = caller.remaining_time(Now::read());
    let limit = worker.shared.settings.body_limit;
    read_full_body(&mut req.take_payload(), limit, remaining_time)
        .await
        .map_err(|err| {
            let reason = match err {
                BodyError::TooLarge => Reason::TooLarge,
                BodyError::Interrupted => Reason::BadRequest,
                BodyError::TimedOut => Reason::Deadline,
            };
            refuse(Outcome::NotRun, reason, err.to_string())
        })
}

/// Converts the reply to a claim into a refusal. Only a reply that rules out that the key has run,
/// for this attempt and for others, states "not run".
fn claim_refusal(reply: ClaimReply) -> Refused {
    match reply {
        ClaimReply::NotNow(reason) => refuse(Outcome::NotRun, Reason::NoClaim, reason),
        ClaimReply::Running | ClaimReply::Granted => refuse(
            Outcome::Unknown,
            Reason::AlreadyRunning,
            "a request with this key is in progress, or its end is not known",
        ),
        ClaimReply::Finished(_) => refuse(
            Outcome::Done,
            Reason::AlreadyDone,
            "a request with this key has run; its response was not saved",
        ),
        ClaimReply::Unknown => refuse(
            Outcome::Unknown,
            Reason::ClaimsLost,
            "whether a request with this key has run is not known",
        ),
    }
}

fn saved_response(caller: &Caller, saved: SavedResponse) -> Response<BoxBody> {
    let status = StatusCode::from_u16(saved.status).unwrap_or(StatusCode::OK);
    let mut res = Response::build(status);
    res.insert_header((CONTENT_TYPE, saved.content_type));
    res.insert_header((REQUEST_ID_HEADER, caller.request_id.clone()));
    res.insert_header((OUTCOME_HEADER, Outcome::Done.to_string()));
    res.insert_header((REPEATED_HEADER, "yes"));
    res.body(saved.body).map_into_boxed_body()
}

fn upstream_failure(message: &str) -> Refused {
    refuse(Outcome::Unknown, Reason::UpstreamFailed, message)
}

fn to_saved_response(response: &UpstreamResponse, body: &Bytes) -> Option<SavedResponse> {
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    (body.len() <= SAVED_RESPONSE_MAX_BYTES).then(|| SavedResponse {
        status: response.status().as_u16(),
        content_type: content_type
            .unwrap_or("application/octet-stream")
            .to_owned(),
        body: body.to_vec(),
    })
}
