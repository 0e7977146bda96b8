//! Requests whose answer is passed on whole.

use super::refusal::{Ran, Why};
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::admit::job::{Job, NoTry, TryPlan};
use crate::gateway::admit::routes::RouteKind;
use crate::gateway::attempt::connect::http1_types;
use crate::gateway::attempt::exchange::{Answer, TryOutcome};
use crate::gateway::attempt::response_timeout::ResponseTimeout;
use crate::gateway::attempt::retries::RetryReason;
use crate::gateway::place::candidates::BackOff;
use crate::gateway::place::choose::stable_hash;
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
pub async fn serve(gw: &Gateway, job: &Job) -> Result<WholeAnswer, Why> {
    let mut failed_answer = None;
    loop {
        let plan = TryPlan {
            model: None,
            resume_after: None,
            head: patience(gw, job, Now::read()),
            repeat: RetryReason::Failure,
        };
        match job.try_once(gw, plan).await {
            Ok(TryOutcome::Answered(answer)) => match take_whole(gw, job, *answer).await {
                Some(whole) if whole.status < SERVER_ERRORS => return Ok(whole),
                Some(whole) => failed_answer = Some(whole),
                None => {}
            },
            Ok(TryOutcome::NotRun(_) | TryOutcome::Unknown(_)) => {}
            Err(NoTry::NoUpstream) if job.should_wait(gw, RETRY_PAUSE, Now::read()) => {
                tokio::time::sleep(RETRY_PAUSE).await;
                job.tries.allow_all_upstreams();
            }
            Err(NoTry::Paused(pause)) if job.can_wait(pause.remaining(), Now::read()) => {
                tokio::time::sleep(pause.remaining()).await;
                job.tries.allow_all_upstreams();
            }
            Err(no_try) => return failed_answer.ok_or_else(|| why(no_try, job)),
        }
        if !job.may_run_again() {
            return failed_answer.ok_or_else(|| job.tries.exhausted_reason());
        }
    }
}

/// Returns how long to wait for one upstream.
fn patience(gw: &Gateway, job: &Job, now: Now) -> ResponseTimeout {
    let all = ResponseTimeout::total_only(Duration::MAX);
    match job.route.kind {
        RouteKind::Idempotent if !job.has_last_run_left() && job.can_repeat(gw, now) => {
            ResponseTimeout {
                upstream_silent: job.route.objective * SILENT_OBJECTIVES,
                request_stalled: job.route.objective * ALIVE_OBJECTIVES,
                ..all
            }
        }
        // A request that cannot run again has nowhere else to go.
        _ => all,
    }
}

async fn take_whole(gw: &Gateway, job: &Job, mut answer: Answer) -> Option<WholeAnswer> {
    let whole = read_whole(gw, job, &mut answer, ANSWER_BYTES_LIMIT).await;
    let now = Now::read();
    match whole.as_ref().map(|whole| whole.status) {
        Some(status) if status < SERVER_ERRORS => {
            if let Some(timed) = job.timed.take() {
                timed.record_completion(now);
            }
            answer.finish(&gw.connections, now);
        }
        Some(_) => {
            if let Some(timed) = job.timed.take() {
                timed.record_failure();
            }
            answer.upstream().record_failure(now);
        }
        None => answer.upstream().record_failure(now),
    }
    whole
}

/// Reads an answer whole within the request's time; what broke it off is logged.
pub async fn read_whole(
    gw: &Gateway,
    job: &Job,
    answer: &mut Answer,
    limit: usize,
) -> Option<WholeAnswer> {
    let left = job.left(Now::read());
    let read = tokio::time::timeout(left, answer.read_whole(limit)).await;
    let reason = match read {
        Ok(Ok(body)) => {
            gw.quarantine.record_answer(job.fingerprint, Now::read());
            return Some(WholeAnswer {
                status: answer.status,
                headers: answer.headers.clone(),
                body,
            });
        }
        Ok(Err(reason)) => {
            job.broke_off(gw, answer.upstream(), Now::read());
            reason
        }
        Err(_elapsed) => "out of time".to_owned(),
    };
    gw.telemetry.broke_off(job, answer.upstream(), &reason);
    None
}

/// Returns the reason to give when no further try was made.
pub fn why(no_try: NoTry, job: &Job) -> Why {
    match no_try {
        NoTry::OutOfTime => Why::Deadline,
        NoTry::Quarantined => Why::CrashesUpstreams,
        NoTry::OnTrial(left) => Why::OnTrial(left),
        NoTry::Paused(BackOff::RetryAfter(left)) => {
            Why::Resting(left + spread(&job.request_id, left))
        }
        NoTry::Paused(BackOff::WarmingUp(left)) => {
            Why::WarmingUp(left + spread(&job.request_id, left))
        }
        NoTry::Evacuated if job.tries.ran() == Ran::Nowhere => Why::Evacuated,
        NoTry::NoUpstream | NoTry::OutOfBudget | NoTry::Evacuated => job.tries.exhausted_reason(),
    }
}

/// The longest time by which callers are spread that may come back at the same moment.
const LONGEST_SPREAD: Duration = Duration::from_millis(500);

/// Returns by how much later than others a caller should come back, so that those who were told to
/// wait for the same moment do not all come in it.
fn spread(request_id: &str, wait: Duration) -> Duration {
    const PART: u32 = 4;
    let longest = (wait / PART).min(LONGEST_SPREAD);
    let part = (stable_hash(request_id) % 1000) as f64 / 1000.0;
    longest.mul_f64(part)
}
