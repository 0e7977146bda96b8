//! Requests whose answer is passed on whole.

use super::refusal::{Execution, RefusalReason};
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::admit::request::{AdmittedRequest, AttemptPlan, NoAttempt};
use crate::gateway::admit::routes::RouteKind;
use crate::gateway::attempt::connect::http1_types;
use crate::gateway::attempt::exchange::{Answer, Tried};
use crate::gateway::attempt::patience::Patience;
use crate::gateway::attempt::retries::Repeat;
use crate::gateway::place::candidates::Pause;
use crate::gateway::place::choose::draw;
use bytes::Bytes;
use std::time::Duration;

/// The largest answer that is kept in memory to be passed on whole; the users' answers
/// take some kilobytes.
const ANSWER_BYTES_LIMIT: usize = 8 * 1024 * 1024;
/// Statuses from this one on are failures of the upstream.
const SERVER_ERRORS: u16 = 500;
/// How many times a request's objective an upstream from which nothing comes may take
/// before another is asked, where the request may run twice.
const SILENT_OBJECTIVES: u32 = 2;
/// The same for an upstream that answers other requests meanwhile.
const ALIVE_OBJECTIVES: u32 = 4;
/// How long a request waits for an upstream to appear or to take it again.
const RETRY_PAUSE: Duration = Duration::from_millis(15);

/// An upstream's whole answer.
#[derive(Debug)]
pub struct WholeAnswer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: http1_types::HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Serves a request by as many tries as its route, the budget and its time allow.
pub async fn serve(gw: &Gateway, request: &AdmittedRequest) -> Result<WholeAnswer, RefusalReason> {
    let mut failed_answer = None;
    loop {
        let plan = AttemptPlan {
            model: None,
            resume_after: None,
            head_wait: patience(gw, request, Now::read()),
            retry_kind: Repeat::Failure,
        };
        match request.run_attempt(gw, plan).await {
            Ok(Tried::Answered(answer)) => match take_whole(gw, request, *answer).await {
                Some(whole) if whole.status < SERVER_ERRORS => return Ok(whole),
                Some(whole) => failed_answer = Some(whole),
                None => {}
            },
            Ok(Tried::NotRun(_) | Tried::Unknown(_)) => {}
            Err(NoAttempt::NoUpstream)
                if request.should_wait_for_upstream(gw, RETRY_PAUSE, Now::read()) =>
            {
                tokio::time::sleep(RETRY_PAUSE).await;
                request.tries.allow_all();
            }
            Err(NoAttempt::Paused(pause)) if request.can_wait(pause.left(), Now::read()) => {
                tokio::time::sleep(pause.left()).await;
                request.tries.allow_all();
            }
            Err(no_try) => return failed_answer.ok_or_else(|| why(no_try, request)),
        }
        if !request.may_run_again() {
            return failed_answer.ok_or_else(|| request.tries.exhausted());
        }
    }
}

/// Returns how long to wait for one upstream.
fn patience(gw: &Gateway, request: &AdmittedRequest, now: Now) -> Patience {
    let all = Patience::up_to(Duration::MAX);
    match request.route.kind {
        RouteKind::Idempotent if !request.is_last_run() && request.can_retry(gw, now) => Patience {
            silent: request.route.latency_objective * SILENT_OBJECTIVES,
            alive: request.route.latency_objective * ALIVE_OBJECTIVES,
            ..all
        },
        // A request that cannot run again has nowhere else to go.
        _ => all,
    }
}

async fn take_whole(
    gw: &Gateway,
    request: &AdmittedRequest,
    mut answer: Answer,
) -> Option<WholeAnswer> {
    let whole = read_whole(gw, request, &mut answer, ANSWER_BYTES_LIMIT).await;
    let now = Now::read();
    match whole.as_ref().map(|whole| whole.status) {
        Some(status) if status < SERVER_ERRORS => {
            if let Some(timed) = request.timing.take() {
                timed.came(now);
            }
            answer.finish(&gw.connections, now);
        }
        Some(_) => {
            if let Some(timed) = request.timing.take() {
                timed.failed();
            }
            answer.upstream().failed(now);
        }
        None => answer.upstream().failed(now),
    }
    whole
}

/// Reads an answer whole within the request's time; what broke it off is logged.
pub async fn read_whole(
    gw: &Gateway,
    request: &AdmittedRequest,
    answer: &mut Answer,
    limit: usize,
) -> Option<WholeAnswer> {
    let left = request.time_left(Now::read());
    let read = tokio::time::timeout(left, answer.read_whole(limit)).await;
    let reason = match read {
        Ok(Ok(body)) => {
            gw.quarantine.answered(request.fingerprint, Now::read());
            return Some(WholeAnswer {
                status: answer.status,
                headers: answer.headers.clone(),
                body,
            });
        }
        Ok(Err(reason)) => {
            request.record_broken_run(gw, answer.upstream(), Now::read());
            reason
        }
        Err(_elapsed) => "out of time".to_owned(),
    };
    gw.telemetry
        .record_broken_answer(request, answer.upstream(), &reason);
    None
}

/// Returns the reason to give when no further try was made.
pub fn why(no_try: NoAttempt, request: &AdmittedRequest) -> RefusalReason {
    match no_try {
        NoAttempt::OutOfTime => RefusalReason::Deadline,
        NoAttempt::Quarantined => RefusalReason::CrashesUpstreams,
        NoAttempt::OnTrial(left) => RefusalReason::OnTrial(left),
        NoAttempt::Paused(Pause::Resting(left)) => {
            RefusalReason::Resting(left + spread(&request.request_id, left))
        }
        NoAttempt::Paused(Pause::WarmingUp(left)) => {
            RefusalReason::WarmingUp(left + spread(&request.request_id, left))
        }
        NoAttempt::Evacuated if request.tries.ran() == Execution::Never => RefusalReason::Evacuated,
        NoAttempt::NoUpstream | NoAttempt::OutOfBudget | NoAttempt::Evacuated => {
            request.tries.exhausted()
        }
    }
}

/// The longest time by which callers are spread that may come back at the same moment.
const LONGEST_SPREAD: Duration = Duration::from_millis(500);

/// Returns by how much later than others a caller should come back, so that those who were told to
/// wait for the same moment do not all come in it.
fn spread(request_id: &str, wait: Duration) -> Duration {
    const PART: u32 = 4;
    let longest = (wait / PART).min(LONGEST_SPREAD);
    let part = (draw(request_id) % 1000) as f64 / 1000.0;
    longest.mul_f64(part)
}
