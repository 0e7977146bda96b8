//! Requests whose response is buffered whole before it is sent to the caller.
//!
//! Only small answers are, unless their end could not be shown to the caller; larger ones are relayed by
//! [`super::piece_relay`].

use super::held_bytes::{HeldKind, MemoryRoom, NoRoom};
use super::held_memory::PIECE_BYTES;
use super::piece_relay::PieceRelay;
use super::refusal::{Execution, RefusalReason};
use super::stream::ResponseStart;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::admit::request::{AdmittedRequest, AttemptPlan, NoAttempt};
use crate::gateway::admit::room::refusal_without_room;
use crate::gateway::admit::routes::RouteKind;
use crate::gateway::attempt::connection::http1_types;
use crate::gateway::attempt::exchange::TryOutcome;
use crate::gateway::attempt::response_timeout::ResponseTimeout;
use crate::gateway::attempt::retries::RetryReason;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::attempt::upstream_answer::{Answer, ReadBody};
use crate::gateway::place::candidates::BackOff;
use crate::gateway::place::choose::stable_hash;
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;

/// The size limit of a buffered response; typical ones take some kilobytes.
const RESPONSE_BYTES_LIMIT: usize = 8 * 1024 * 1024;
/// The size limit of a buffered response that could be relayed instead.
const SMALL_RESPONSE_BYTES: usize = 64 * 1024;
/// Status codes from this one on are failures of the upstream.
const FIRST_SERVER_ERROR_STATUS: u16 = 500;
/// How long an upstream may be silent to all requests before another one is tried, as a multiple of
/// the latency objective; only for requests that may run twice.
const SILENT_TIMEOUT_OBJECTIVES: u32 = 2;
/// The same for an upstream that answers other requests meanwhile.
const ALIVE_TIMEOUT_OBJECTIVES: u32 = 4;
/// The delay before a request that no upstream accepted is tried at all of them again.
const RETRY_DELAY: Duration = Duration::from_millis(15);

/// An upstream's complete response.
#[derive(Debug)]
pub struct BufferedResponse {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: http1_types::HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A large answer that is relayed to the caller from its first bytes on.
#[derive(Debug)]
pub struct RelayedAnswer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: http1_types::HeaderMap,
    /// The length of the body, if the upstream has stated it.
    pub body_len: Option<u64>,
    /// Relays the body.
    pub relay: Box<PieceRelay>,
}

/// Serves a request with as many attempts as its route, the retry budget and its deadline allow.
pub async fn serve(
    gw: &Rc<Gateway>,
    request: &Rc<AdmittedRequest>,
) -> Result<ResponseStart, RefusalReason> {
    let mut failed_response = None;
    loop {
        if let Err(reason) = request.wait_for_room(gw).await {
            return failed_response
                .map(ResponseStart::Buffered)
                .ok_or_else(|| refusal_without_room(request, reason));
        }
        let plan = AttemptPlan {
            model: None,
            resume_after: None,
            head_wait: response_wait(gw, request, Now::read()),
            retry_kind: RetryReason::Failure,
        };
        match request.run_attempt(gw, plan).await {
            Ok(TryOutcome::Answered(answer)) => {
                match receive_response(gw, request, *answer).await {
                    // Another run of the request would not make room for its answer.
                    Received::NoRoom => {
                        return failed_response
                            .map(ResponseStart::Buffered)
                            .ok_or(RefusalReason::NoMemory);
                    }
                    Received::Whole(response) if response.status < FIRST_SERVER_ERROR_STATUS => {
                        return Ok(ResponseStart::Buffered(response));
                    }
                    Received::Whole(response) => failed_response = Some(response),
                    Received::Begun(answer) => return Ok(ResponseStart::Relayed(answer)),
                    Received::Nothing => {}
                }
            }
            Ok(TryOutcome::NotRun(_) | TryOutcome::Unknown(_)) => {}
            Err(NoAttempt::NoUpstream)
                if !request.waits_for_room(gw)
                    && request.should_wait_for_upstream(gw, RETRY_DELAY, Now::read()) =>
            {
                tokio::time::sleep(RETRY_DELAY).await;
                request.tries.allow_all_upstreams();
            }
            Err(no_attempt) => {
                if let NoAttempt::Paused(pause) = no_attempt
                    && request.wait_for_turn(gw, pause).await
                {
                    continue;
                }
                return failed_response
                    .map(ResponseStart::Buffered)
                    .ok_or_else(|| refusal_reason(gw, no_attempt, request));
            }
        }
        if !request.may_run_again() {
            return failed_response
                .map(ResponseStart::Buffered)
                .ok_or_else(|| request.tries.exhausted_reason());
        }
    }
}

/// Returns how long to wait for the response of one upstream.
fn response_wait(gw: &Gateway, request: &AdmittedRequest, now: Now) -> ResponseTimeout {
    let unlimited = ResponseTimeout::total_only(Duration::MAX);
    match request.route.kind {
        RouteKind::Idempotent if !request.is_last_run() && request.can_retry(gw, now) => {
            ResponseTimeout {
                upstream_silent: request.route.latency_objective * SILENT_TIMEOUT_OBJECTIVES,
                request_stalled: request.route.latency_objective * ALIVE_TIMEOUT_OBJECTIVES,
                ..unlimited
            }
        }
        // A request that cannot run again gains nothing from giving up early.
        _ => unlimited,
    }
}

/// What was received of an answer.
enum Received {
    /// All of it.
    Whole(BufferedResponse),
    /// The beginning of a large answer.
    Begun(RelayedAnswer),
    /// Nothing that can be sent to the caller.
    Nothing,
    /// An answer that this box has no room for.
    NoRoom,
}

/// Why an answer was not read whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRead {
    /// It broke off, came too late or is too large.
    Broken,
    /// This box has no room for it.
    NoRoom,
}

async fn receive_response(
    gw: &Rc<Gateway>,
    request: &Rc<AdmittedRequest>,
    mut answer: Answer,
) -> Received {
    if may_relay(request, &answer) {
        return receive_or_relay(gw, request, answer).await;
    }
    match read_response(gw, request, &mut answer, RESPONSE_BYTES_LIMIT).await {
        Err(NotRead::NoRoom) if answer.status < FIRST_SERVER_ERROR_STATUS => Received::NoRoom,
        read => finish_response(gw, request, answer, read.ok()),
    }
}

/// Records the end of a buffered response.
fn finish_response(
    gw: &Gateway,
    request: &AdmittedRequest,
    answer: Answer,
    response: Option<BufferedResponse>,
) -> Received {
    let now = Now::read();
    match response.as_ref().map(|response| response.status) {
        Some(status) if status < FIRST_SERVER_ERROR_STATUS => {
            let timing = request.timing.take();
            let timing = timing.filter(|_| answer.has_upstream_times(now));
            if let Some(timing) = timing {
                timing.record_completion(now);
            }
            answer.finish(&gw.connections, now);
            gw.record_served(request, now);
        }
        Some(_) => {
            if let Some(timing) = request.timing.take() {
                timing.record_failure();
            }
            answer.record_failure(now);
        }
        None => answer.record_lost(now),
    }
    response.map_or(Received::Nothing, Received::Whole)
}

/// Returns whether an answer may be relayed from its first bytes on: it is no failure that another
/// upstream's answer could replace, and the caller will see if it breaks off.
fn may_relay(request: &AdmittedRequest, answer: &Answer) -> bool {
    let shows_its_end = request.accepts_chunks || answer.body_len().is_some();
    answer.status < FIRST_SERVER_ERROR_STATUS && shows_its_end
}

/// Reads an answer whole if it is small, and begins to relay it otherwise.
async fn receive_or_relay(
    gw: &Rc<Gateway>,
    request: &Rc<AdmittedRequest>,
    mut answer: Answer,
) -> Received {
    let limit = match request.account.room() {
        MemoryRoom::Free => SMALL_RESPONSE_BYTES,
        MemoryRoom::Tight | MemoryRoom::Exhausted => PIECE_BYTES,
    };
    let expected = answer.body_len().unwrap_or(limit as u64);
    let fits = || request.account.try_hold(HeldKind::BufferedAnswer, expected);
    if expected > limit as u64 || fits().is_err() {
        return begin_relay(gw, request, answer, Bytes::new());
    }
    let upstream = answer.upstream().clone();
    let longest = longest_body_wait(gw, request, Now::read());
    let read = answer.read_up_to(limit);
    match read_in_time(gw, request, &upstream, longest, read).await {
        Some(ReadBody::Longer(first)) => begin_relay(gw, request, answer, first),
        Some(ReadBody::Whole(body)) => {
            // No more than was held before.
            let _ = request
                .account
                .try_hold(HeldKind::BufferedAnswer, body.len() as u64);
            let response = whole_response(gw, request, &answer, body);
            finish_response(gw, request, answer, Some(response))
        }
        None => finish_response(gw, request, answer, None),
    }
}

fn begin_relay(
    gw: &Rc<Gateway>,
    request: &Rc<AdmittedRequest>,
    answer: Answer,
    first: Bytes,
) -> Received {
    Received::Begun(RelayedAnswer {
        status: answer.status,
        headers: answer.headers.clone(),
        body_len: answer.body_len().map(|left| left + first.len() as u64),
        relay: Box::new(PieceRelay::new(gw, request, answer, first)),
    })
}

/// Reads a response to its end before the request's deadline; a failure is logged.
pub async fn read_response(
    gw: &Gateway,
    request: &AdmittedRequest,
    answer: &mut Answer,
    limit: usize,
) -> Result<BufferedResponse, NotRead> {
    // Only a failure may be dropped for its size: another upstream's answer can replace it.
    let is_failure = answer.status >= FIRST_SERVER_ERROR_STATUS;
    let limit = match is_failure {
        true => limit.min(SMALL_RESPONSE_BYTES),
        false => limit,
    };
    let stated = answer.body_len().map(|len| len as usize);
    let expected = stated.unwrap_or(SMALL_RESPONSE_BYTES);
    hold_answer(gw, request, answer, expected.min(limit)).await?;
    let upstream = answer.upstream().clone();
    let longest = match is_failure && request.can_retry(gw, Now::read()) {
        true => request.route.latency_objective,
        false => Duration::MAX,
    };
    let read = answer.read_whole(limit);
    let body = read_in_time(gw, request, &upstream, longest, read).await;
    let body = body.ok_or(NotRead::Broken)?;
    // One without a length may have turned out to be larger or smaller.
    hold_answer(gw, request, answer, body.len()).await?;
    Ok(whole_response(gw, request, answer, body))
}

/// Holds this many bytes of an answer. Their lack is logged, and is no fault of the upstream.
async fn hold_answer(
    gw: &Gateway,
    request: &AdmittedRequest,
    answer: &Answer,
    bytes: usize,
) -> Result<(), NotRead> {
    let held = request.account.hold(HeldKind::BufferedAnswer, bytes as u64);
    held.await.map_err(|NoRoom| {
        gw.telemetry
            .record_broken_answer(request, answer.upstream(), "no memory is left");
        NotRead::NoRoom
    })
}

fn whole_response(
    gw: &Gateway,
    request: &AdmittedRequest,
    answer: &Answer,
    body: Bytes,
) -> BufferedResponse {
    let now = Now::read();
    match (200..300).contains(&answer.status) {
        true => request.record_whole_answer(gw, now),
        false => request.record_answered(gw, now),
    }
    BufferedResponse {
        status: answer.status,
        headers: answer.headers.clone(),
        body,
    }
}

/// Returns how long the body of a small answer may take: another upstream may answer in time.
fn longest_body_wait(gw: &Gateway, request: &AdmittedRequest, now: Now) -> Duration {
    match request.route.kind {
        RouteKind::Idempotent if request.runs_left() > 0 && request.can_retry(gw, now) => {
            request.route.latency_objective * ALIVE_TIMEOUT_OBJECTIVES
        }
        _ => Duration::MAX,
    }
}

/// Reads from an upstream for at most `longest`, and before the request's deadline; a failure is
/// logged.
async fn read_in_time<T>(
    gw: &Gateway,
    request: &AdmittedRequest,
    upstream: &Rc<Upstream>,
    longest: Duration,
    read: impl Future<Output = Result<T, String>>,
) -> Option<T> {
    let left = request.time_left(Now::read()).min(longest);
    let reason = match tokio::time::timeout(left, read).await {
        Ok(Ok(body)) => return Some(body),
        Ok(Err(reason)) => {
            request.record_broken_run(gw, upstream, Now::read());
            reason
        }
        Err(_elapsed) => "its body did not end in time".to_owned(),
    };
    gw.telemetry
        .record_broken_answer(request, upstream, &reason);
    None
}

/// Returns the reason to refuse a request for which no further attempt was made.
pub fn refusal_reason(
    gw: &Gateway,
    no_attempt: NoAttempt,
    request: &AdmittedRequest,
) -> RefusalReason {
    match no_attempt {
        NoAttempt::OutOfTime => RefusalReason::Deadline,
        NoAttempt::Quarantined => RefusalReason::CrashesUpstreams,
        NoAttempt::PartQuarantined(left) => {
            RefusalReason::PartCrashesUpstreams(left + retry_jitter(&request.request_id, left))
        }
        NoAttempt::OnTrial(left) => RefusalReason::OnTrial(left),
        NoAttempt::Paused(BackOff::RetryAfter(left)) => {
            RefusalReason::Resting(left + retry_jitter(&request.request_id, left))
        }
        NoAttempt::Paused(BackOff::WarmingUp(left)) => {
            RefusalReason::WarmingUp(left + retry_jitter(&request.request_id, left))
        }
        NoAttempt::Paused(BackOff::RateLimited(left)) => {
            RefusalReason::RateLimited(gw.return_delay(&request.service, left, Now::read()))
        }
        NoAttempt::Paused(BackOff::NoFreeSlot(left)) => {
            RefusalReason::NoFreeSlot(gw.return_delay_for_slot(&request.service, left, Now::read()))
        }
        NoAttempt::Evacuated if request.tries.ran() == Execution::Never => RefusalReason::Evacuated,
        NoAttempt::OutOfReach(reason) if request.tries.ran() == Execution::Never => {
            RefusalReason::OutOfReach(reason)
        }
        NoAttempt::NoUpstream
        | NoAttempt::OutOfBudget
        | NoAttempt::Evacuated
        | NoAttempt::OutOfReach(_) => request.tries.exhausted_reason(),
    }
}

/// The longest jitter that is added to a retry delay.
const MAX_RETRY_JITTER: Duration = Duration::from_millis(500);

/// Returns the jitter to add to a caller's retry delay, so that callers with delays that end at the
/// same moment do not all return at once.
fn retry_jitter(request_id: &str, wait: Duration) -> Duration {
    const WAIT_DIVISOR: u32 = 4;
    let max_jitter = (wait / WAIT_DIVISOR).min(MAX_RETRY_JITTER);
    let fraction = (stable_hash(request_id) % 1000) as f64 / 1000.0;
    max_jitter.mul_f64(fraction)
}
