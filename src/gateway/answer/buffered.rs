//! Requests whose response is buffered whole before it is sent to the caller.

use super::refusal::{Execution, RefusalReason};
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::admit::request::{AdmittedRequest, AttemptPlan, NoAttempt};
use crate::gateway::admit::room::refusal_without_room;
use crate::gateway::admit::routes::RouteKind;
use crate::gateway::attempt::connect::http1_types;
use crate::gateway::attempt::exchange::{Answer, TryOutcome};
use crate::gateway::attempt::response_timeout::ResponseTimeout;
use crate::gateway::attempt::retries::RetryReason;
use crate::gateway::place::candidates::BackOff;
use crate::gateway::place::choose::stable_hash;
use bytes::Bytes;
use std::time::Duration;

/// The size limit of a buffered response; typical ones take some kilobytes.
const RESPONSE_BYTES_LIMIT: usize = 8 * 1024 * 1024;
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

/// Serves a request with as many attempts as its route, the retry budget and its deadline allow.
pub async fn serve(
    gw: &Gateway,
    request: &AdmittedRequest,
) -> Result<BufferedResponse, RefusalReason> {
    let mut failed_response = None;
    loop {
        if let Err(reason) = request.wait_for_room(gw).await {
            return failed_response.ok_or_else(|| refusal_without_room(request, reason));
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
                    Some(response) if response.status < FIRST_SERVER_ERROR_STATUS => {
                        return Ok(response);
                    }
                    Some(response) => failed_response = Some(response),
                    None => {}
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
                return failed_response.ok_or_else(|| refusal_reason(gw, no_attempt, request));
            }
        }
        if !request.may_run_again() {
            return failed_response.ok_or_else(|| request.tries.exhausted_reason());
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

async fn receive_response(
    gw: &Gateway,
    request: &AdmittedRequest,
    mut answer: Answer,
) -> Option<BufferedResponse> {
    let response = read_response(gw, request, &mut answer, RESPONSE_BYTES_LIMIT).await;
    let now = Now::read();
    match response.as_ref().map(|response| response.status) {
        Some(status) if status < FIRST_SERVER_ERROR_STATUS => {
            if let Some(timing) = request.timing.take() {
                timing.record_completion(now);
            }
            answer.finish(&gw.connections, now);
            gw.record_served(request, now);
        }
        Some(_) => {
            if let Some(timing) = request.timing.take() {
                timing.record_failure();
            }
            answer.upstream().record_failure(now);
        }
        None => answer.upstream().record_failure(now),
    }
    response
}

/// Reads a response to its end before the request's deadline; a failure is logged.
pub async fn read_response(
    gw: &Gateway,
    request: &AdmittedRequest,
    answer: &mut Answer,
    limit: usize,
) -> Option<BufferedResponse> {
    let left = request.time_left(Now::read());
    let read = tokio::time::timeout(left, answer.read_whole(limit)).await;
    let reason = match read {
        Ok(Ok(body)) => {
            gw.quarantine
                .record_answer(request.fingerprint, Now::read());
            return Some(BufferedResponse {
                status: answer.status,
                headers: answer.headers.clone(),
                body,
            });
        }
        Ok(Err(reason)) => {
            request.record_broken_run(gw, answer.upstream(), Now::read());
            reason
        }
        Err(_elapsed) => "the deadline passed".to_owned(),
    };
    gw.telemetry
        .record_broken_answer(request, answer.upstream(), &reason);
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
        NoAttempt::Evacuated if request.tries.ran() == Execution::Never => RefusalReason::Evacuated,
        NoAttempt::NoUpstream | NoAttempt::OutOfBudget | NoAttempt::Evacuated => {
            request.tries.exhausted_reason()
        }
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
