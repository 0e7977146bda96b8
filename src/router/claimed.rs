//! Requests that may not be repeated: claimed first, sent once, remembered after.

use super::answer::{OUTCOME_HEADER, REPEATED_HEADER, REQUEST_ID_HEADER};
use super::body::{ANSWER_BYTES_LIMIT, BodyError, UpstreamResponse, read_whole};
use super::context::{Caller, Worker, refuse};
use super::crash_guard::CrashGuard;
use super::dispatch::dispatch;
use super::plain::{ForwardHead, fingerprint, place, response_head, try_record};
use super::trace::Trace;
use crate::bundle::Service;
use crate::claim::{AttemptId, Bill, ClaimReply, Finish, KEPT_ANSWER_BYTES_LIMIT, KeptAnswer};
use crate::clock::Now;
use crate::decision_record::TryRecord;
use crate::outcome::{DispatchLog, Outcome, Reason, Refused};
use crate::routing::placement::{LoadGuard, Upstream};
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;

const MOST_TRIES: usize = 3;

/// A request that may not be repeated, with all that its task needs.
struct Claimed {
    worker: Rc<Worker>,
    caller: Caller,
    service: String,
    head: ForwardHead,
    body: Bytes,
    bill: Option<Bill>,
    crashes: Rc<CrashGuard>,
}

/// Serves a request that may not be repeated.
///
/// Once its body has come, the request goes on in a task of its own: a caller who
/// leaves must not leave behind a claim whose end nobody records.
pub async fn serve_claimed(
    worker: &Rc<Worker>,
    caller: &Caller,
    service: &str,
    found: &Service,
    req: &mut Request,
    trace: &mut Trace,
) -> Result<Response<BoxBody>, Refused> {
    // The whole body comes first, so that a caller who breaks off has run nothing.
    let body = read_body(worker, caller, req).await?;
    let bill = found.billed.contains(req.method().as_str()).then(|| Bill {
        key: caller.key(),
        ran_on: service.to_owned(),
        tokens: 0,
        cost_micros: found.cost_micros,
        at: caller.received.wall,
    });
    let request = fingerprint(caller, req, &body);
    let claimed = Claimed {
        crashes: CrashGuard::new(&worker.shared, request),
        worker: worker.clone(),
        caller: caller.clone(),
        service: service.to_owned(),
        head: ForwardHead::of(req),
        body,
        bill,
    };
    let task = actix_rt::spawn(async move {
        let mut tries = Vec::new();
        let served = claimed.run(&mut tries).await;
        (served, tries)
    });
    let (served, tries) = task.await.map_err(|_| broken("the request's task ended"))?;
    trace.record.tries = tries;
    let Served { res, bill } = served?;
    trace.record.status = res.status().as_u16();
    trace.record.outcome = Outcome::Done;
    trace.record.billed = bill.is_some();
    trace.record.cost_micros = bill.map_or(0, |bill| bill.cost_micros);
    Ok(res)
}

/// An answer, with the bill that was made out for it.
struct Served {
    res: Response<BoxBody>,
    bill: Option<Bill>,
}

impl Claimed {
    async fn run(self, tries: &mut Vec<TryRecord>) -> Result<Served, Refused> {
        let attempt = AttemptId::random();
        let key = self.caller.key();
        let left = self.caller.time_left(Now::read());
        match self.worker.claim(&key, attempt, left).await {
            ClaimReply::Granted => {}
            ClaimReply::Finished(Some(answer)) => {
                return Ok(Served {
                    res: repeat(&self.caller, answer),
                    bill: None,
                });
            }
            reply => return Err(refuse_claim(reply)),
        }
        match self.connect_and_send(tries).await {
            Ok(sent) => self.end(attempt, sent).await,
            Err(refused) => {
                if refused.outcome == Outcome::NotRun {
                    self.worker.release_later(key, attempt);
                }
                Err(refused)
            }
        }
    }

    /// Sends the request; another upstream is tried only while it is proved that no
    /// byte was written to the ones before.
    async fn connect_and_send(&self, tries: &mut Vec<TryRecord>) -> Result<Sent, Refused> {
        let mut log = DispatchLog::default();
        let mut tried = Vec::new();
        let mut last = None;
        loop {
            self.crashes.admit(&log, Now::read())?;
            let upstream = match place(&self.worker, &self.service, &tried, &log) {
                Ok(upstream) => upstream,
                Err(refused) => return Err(last.unwrap_or(refused)),
            };
            let guard = upstream.load.enter();
            let began = Now::read().monotonic;
            let out = self
                .head
                .request(&self.worker.fresh, &self.caller, &upstream);
            let request = out.send_body(self.body.clone());
            let failure = match dispatch(request, &self.caller, &upstream, &mut log).await {
                Ok(response) => {
                    tries.push(try_record(&self.service, &upstream, "answered"));
                    return Ok(Sent {
                        response,
                        upstream,
                        began,
                        _guard: guard,
                    });
                }
                Err(failed) => {
                    if !failed.is_unsent {
                        let (name, address) = (&upstream.name, upstream.address);
                        self.crashes.broke_off(name, address).await;
                    }
                    failed.refused
                }
            };
            tries.push(try_record(&self.service, &upstream, &failure.message));
            upstream.load.failed(began, Now::read());
            tried.push(upstream.name);
            if failure.outcome != Outcome::NotRun || tried.len() >= MOST_TRIES {
                return Err(failure);
            }
            last = Some(failure);
        }
    }

    /// Reads the whole answer, records the end and the bill, and only then answers.
    async fn end(self, attempt: AttemptId, sent: Sent) -> Result<Served, Refused> {
        let Sent {
            mut response,
            upstream,
            began,
            _guard,
        } = sent;
        let mut res = response_head(&self.caller, &response);
        let left = self.caller.time_left(Now::read());
        let body = match read_whole(&mut response, ANSWER_BYTES_LIMIT, left).await {
            Ok(body) => body,
            Err(err) => {
                upstream.load.failed(began, Now::read());
                self.crashes
                    .broke_off(&upstream.name, upstream.address)
                    .await;
                return Err(broken(&err.to_string()));
            }
        };
        upstream
            .load
            .succeeded(Now::read().monotonic.saturating_sub(began));
        self.crashes.answered(Now::read());
        let bill = self.bill.filter(|_| response.status().is_success());
        let finish = Finish {
            answer: keep(&response, &body),
            bill: bill.clone(),
        };
        self.worker.finish(self.caller.key(), attempt, finish).await;
        res.insert_header((OUTCOME_HEADER, Outcome::Done.to_string()));
        Ok(Served {
            res: res.body(body).map_into_boxed_body(),
            bill,
        })
    }
}

/// A request that an upstream has begun to answer.
struct Sent {
    response: UpstreamResponse,
    upstream: Upstream,
    began: Duration,
    _guard: LoadGuard,
}

async fn read_body(worker: &Worker, caller: &Caller, req: &mut Request) -> Result<Bytes, Refused> {
    let left = caller.time_left(Now::read());
    let limit = worker.shared.settings.body_limit;
    read_whole(&mut req.take_payload(), limit, left)
        .await
        .map_err(|err| {
            let reason = match err {
                BodyError::TooLarge => Reason::TooLarge,
                BodyError::Broken => Reason::BadRequest,
                BodyError::TooSlow => Reason::Deadline,
            };
            refuse(Outcome::NotRun, reason, err.to_string())
        })
}

/// Turns an attempt's reply into a refusal. Only a reply that rules out any run of the
/// key by this attempt and by others says "not run".
fn refuse_claim(reply: ClaimReply) -> Refused {
    match reply {
        ClaimReply::NotNow(reason) => refuse(Outcome::NotRun, Reason::NoClaim, reason),
        ClaimReply::Running | ClaimReply::Granted => refuse(
            Outcome::Unknown,
            Reason::AlreadyRunning,
            "a request with this key is under way, or its end is not known",
        ),
        ClaimReply::Finished(_) => refuse(
            Outcome::Done,
            Reason::AlreadyDone,
            "a request with this key has run; its answer is not kept",
        ),
        ClaimReply::Unknown => refuse(
            Outcome::Unknown,
            Reason::ClaimsLost,
            "whether a request with this key has run is not known",
        ),
    }
}

fn repeat(caller: &Caller, answer: KeptAnswer) -> Response<BoxBody> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut res = Response::build(status);
    res.insert_header((CONTENT_TYPE, answer.content_type));
    res.insert_header((REQUEST_ID_HEADER, caller.request_id.clone()));
    res.insert_header((OUTCOME_HEADER, Outcome::Done.to_string()));
    res.insert_header((REPEATED_HEADER, "yes"));
    res.body(answer.body).map_into_boxed_body()
}

fn broken(message: &str) -> Refused {
    refuse(Outcome::Unknown, Reason::UpstreamFailed, message)
}

fn keep(response: &UpstreamResponse, body: &Bytes) -> Option<KeptAnswer> {
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    (body.len() <= KEPT_ANSWER_BYTES_LIMIT).then(|| KeptAnswer {
        status: response.status().as_u16(),
        content_type: content_type
            .unwrap_or("application/octet-stream")
            .to_owned(),
        body: body.to_vec(),
    })
}
