//! Requests whose answer is a stream of events: the first event decides.
//!
//! Until the caller has some of an answer, the answer may be dropped and another upstream
//! or a larger model asked. From then on [`super::relay`] carries the stream.

use super::events::EventSplitter;
use super::plain::{WholeAnswer, read_whole, why};
use super::refusal::Why;
use super::relay::Relay;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::admit::job::{Job, NoTry, TryPlan};
use crate::gateway::attempt::connect::http1_types;
use crate::gateway::attempt::exchange::{Answer, BodyChunk, TryOutcome};
use crate::gateway::attempt::response_timeout::{ResponseTimeout, with_response_timeout};
use crate::gateway::attempt::retries::RetryReason;
use crate::gateway::place::escalation::{EscalationDecision, StartedAnswer, judge_answer};
use std::rc::Rc;
use std::time::Duration;

/// The largest failure that is kept in memory to be passed on.
const FAILURE_BYTES_LIMIT: usize = 1024 * 1024;
/// The part of the objective, in hundredths, after which an upstream from which nothing
/// came to any request is asked by a connection whether it is alive.
const SILENT_HUNDREDTHS: u32 = 20;
/// The part after which another upstream is asked though the first is alive.
const ALIVE_HUNDREDTHS: u32 = 90;
/// How many times the expected time an alive upstream may take, where that is longer: reading
/// a long prompt anew elsewhere takes longer than waiting for it.
const EXPECTED_TIMES: u32 = 3;
/// How long a request waits before the upstreams that refused it are asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// What a stream's request led to.
#[derive(Debug)]
pub enum Begun {
    /// The stream runs; the first events are in the relay.
    Stream {
        /// The headers of the answer.
        headers: http1_types::HeaderMap,
        /// What carries the rest.
        relay: Box<Relay>,
    },
    /// An upstream failed with an answer of its own.
    Failed(WholeAnswer),
}

/// How the first event came, or did not.
enum First {
    Came(Box<Relay>),
    NotYet,
}

/// Serves a request until the first event is there.
pub async fn begin(gw: &Rc<Gateway>, job: &Rc<Job>) -> Result<Begun, Why> {
    let models = if job.chooses_model {
        job.route.models.as_slice()
    } else {
        &[]
    };
    // The place in the route's list of models; the smallest goes first.
    let mut place = 0;
    let mut repeat = RetryReason::Failure;
    let mut failure = None;
    loop {
        let model = models.get(place).map(String::as_str);
        let plan = TryPlan {
            model,
            resume_after: None,
            head: patience(gw, job, model, Now::read()),
            repeat,
        };
        repeat = RetryReason::Failure;
        match job.try_once(gw, plan).await {
            Ok(TryOutcome::Answered(answer)) if is_success(&answer) => {
                if let Some(larger) = larger_model(gw, job, models, place, &answer) {
                    place = larger;
                    repeat = RetryReason::Escalation;
                    job.tries.allow_all_upstreams();
                    continue;
                }
                let headers = answer.headers.clone();
                let model = models.get(place).cloned();
                if let First::Came(relay) = first_event(gw, job, *answer, model).await {
                    return Ok(Begun::Stream { headers, relay });
                }
            }
            Ok(TryOutcome::Answered(answer)) => failure = take_failure(gw, job, *answer).await,
            Ok(TryOutcome::NotRun(_) | TryOutcome::Unknown(_)) => {}
            Err(NoTry::NoUpstream) if job.should_wait(gw, RETRY_PAUSE, Now::read()) => {
                tokio::time::sleep(RETRY_PAUSE).await;
                job.tries.allow_all_upstreams();
                continue;
            }
            Err(NoTry::Paused(pause)) if job.can_wait(pause.remaining(), Now::read()) => {
                tokio::time::sleep(pause.remaining()).await;
                job.tries.allow_all_upstreams();
                continue;
            }
            Err(no_try) => return failure.map(Begun::Failed).ok_or_else(|| why(no_try, job)),
        }
        if !job.may_run_again() {
            return failure
                .map(Begun::Failed)
                .ok_or_else(|| job.tries.exhausted_reason());
        }
    }
}

/// Returns the place of the larger model that is to be asked in an answer's place, if any.
fn larger_model(
    gw: &Gateway,
    job: &Job,
    models: &[String],
    place: usize,
    answer: &Answer,
) -> Option<usize> {
    let confidence = confidence(gw, answer);
    let now = Now::read();
    let expected = job.expected_of_all(gw, models, now);
    let left = job.left_of_objective(now);
    let begun = StartedAnswer {
        model_index: place,
        confidence,
        rank_fraction: gw.rank_part(&job.route),
    };
    match judge_answer(begun, &expected, left) {
        EscalationDecision::Accept => None,
        EscalationDecision::AcceptUnsure => {
            gw.telemetry
                .unsure_passed_on(job, place, confidence, "no larger model in time", left);
            None
        }
        EscalationDecision::Escalate(_) if !may_escalate(gw, job, now) => {
            gw.telemetry
                .unsure_passed_on(job, place, confidence, "no repeat left", left);
            None
        }
        EscalationDecision::Escalate(larger) => {
            gw.telemetry.escalated(job, place, larger, confidence);
            Some(larger)
        }
    }
}

fn is_success(answer: &Answer) -> bool {
    (200..300).contains(&answer.status)
}

fn confidence(gw: &Gateway, answer: &Answer) -> Option<u32> {
    let value = answer.headers.get(gw.headers.confidence.as_str())?;
    value.to_str().ok()?.trim().parse().ok()
}

/// Tells whether a larger model may be asked. A request on trial runs once: a second run would be
/// one more upstream that it may crash.
fn may_escalate(gw: &Gateway, job: &Job, now: Now) -> bool {
    let has_room = gw.with_retries(&job.service, |window| {
        window.has_budget(RetryReason::Escalation, now)
    });
    has_room && job.may_run_again() && !job.is_on_trial()
}

/// Returns how long to wait for the head of an answer.
fn patience(gw: &Gateway, job: &Job, model: Option<&str>, now: Now) -> ResponseTimeout {
    let can_ask_others = job.can_repeat(gw, now) && !job.has_last_run_left();
    match job.route.kind.is_repeatable() && can_ask_others {
        true => first_event_patience(gw, job, model, now),
        false => ResponseTimeout::total_only(Duration::MAX),
    }
}

fn first_event_patience(gw: &Gateway, job: &Job, model: Option<&str>, now: Now) -> ResponseTimeout {
    let expected = job.expected(gw, model, now).total * EXPECTED_TIMES;
    let part = |hundredths: u32| job.route.objective * hundredths / 100;
    ResponseTimeout {
        upstream_silent: part(SILENT_HUNDREDTHS),
        request_stalled: part(ALIVE_HUNDREDTHS).max(expected),
        total: Duration::MAX,
    }
}

/// Waits for the first whole event.
async fn first_event(
    gw: &Rc<Gateway>,
    job: &Rc<Job>,
    mut answer: Answer,
    model: Option<String>,
) -> First {
    let mut splitter = EventSplitter::default();
    let now = Now::read();
    let patience = match job.can_repeat(gw, now) {
        true => first_event_patience(gw, job, model.as_deref(), now),
        false => ResponseTimeout::total_only(Duration::MAX),
    };
    let patience = patience.capped_at(job.left(now));
    let upstream = answer.upstream().clone();
    let read = async {
        loop {
            match answer.next_chunk().await {
                BodyChunk::Bytes(bytes) => match splitter.push(&bytes) {
                    Ok(Some(events)) => return Ok(Some(events)),
                    Ok(None) => {}
                    Err(_too_large) => return Err("an event has no end".to_owned()),
                },
                BodyChunk::End if splitter.is_inside_event() => {
                    return Err("the stream ended inside an event".to_owned());
                }
                BodyChunk::End => return Ok(None),
                BodyChunk::Broken(reason) => return Err(reason),
            }
        }
    };
    let reason = match with_response_timeout(&gw.connections, &upstream, patience, read).await {
        Some(Ok(events)) => {
            let relay = Relay::new(gw, job, answer, splitter, events, model);
            return First::Came(Box::new(relay));
        }
        Some(Err(reason)) => {
            upstream.record_failure(Now::read());
            job.broke_off(gw, &upstream, Now::read());
            reason
        }
        None => "no event came in time".to_owned(),
    };
    gw.telemetry.broke_off(job, answer.upstream(), &reason);
    First::NotYet
}

async fn take_failure(gw: &Gateway, job: &Job, mut answer: Answer) -> Option<WholeAnswer> {
    answer.upstream().record_failure(Now::read());
    read_whole(gw, job, &mut answer, FAILURE_BYTES_LIMIT).await
}
