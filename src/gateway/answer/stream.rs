//! Requests whose answer is a stream of events: the first event decides.
//!
//! Until the caller has some of an answer, the answer may be dropped and another upstream
//! or a larger model asked. From then on [`super::relay`] carries the stream.

use super::buffered::{WholeAnswer, read_whole, why};
use super::events::EventSplitter;
use super::refusal::RefusalReason;
use super::relay::Relay;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::admit::request::{AdmittedRequest, AttemptPlan, NoAttempt};
use crate::gateway::attempt::connect::http1_types;
use crate::gateway::attempt::exchange::{Answer, Piece, Tried};
use crate::gateway::attempt::patience::{Patience, patiently};
use crate::gateway::attempt::retries::Repeat;
use crate::gateway::place::models::{BegunAnswer, Verdict, judge};
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
pub async fn begin(
    gw: &Rc<Gateway>,
    request: &Rc<AdmittedRequest>,
) -> Result<Begun, RefusalReason> {
    let models = if request.router_chooses_model {
        request.route.models.as_slice()
    } else {
        &[]
    };
    // The place in the route's list of models; the smallest goes first.
    let mut place = 0;
    let mut repeat = Repeat::Failure;
    let mut failure = None;
    loop {
        let model = models.get(place).map(String::as_str);
        let plan = AttemptPlan {
            model,
            resume_after: None,
            head_wait: patience(gw, request, model, Now::read()),
            retry_kind: repeat,
        };
        repeat = Repeat::Failure;
        match request.run_attempt(gw, plan).await {
            Ok(Tried::Answered(answer)) if is_success(&answer) => {
                if let Some(larger) = larger_model(gw, request, models, place, &answer) {
                    place = larger;
                    repeat = Repeat::Escalation;
                    request.tries.allow_all();
                    continue;
                }
                let headers = answer.headers.clone();
                let model = models.get(place).cloned();
                if let First::Came(relay) = first_event(gw, request, *answer, model).await {
                    return Ok(Begun::Stream { headers, relay });
                }
            }
            Ok(Tried::Answered(answer)) => failure = take_failure(gw, request, *answer).await,
            Ok(Tried::NotRun(_) | Tried::Unknown(_)) => {}
            Err(NoAttempt::NoUpstream)
                if request.should_wait_for_upstream(gw, RETRY_PAUSE, Now::read()) =>
            {
                tokio::time::sleep(RETRY_PAUSE).await;
                request.tries.allow_all();
                continue;
            }
            Err(NoAttempt::Paused(pause)) if request.can_wait(pause.left(), Now::read()) => {
                tokio::time::sleep(pause.left()).await;
                request.tries.allow_all();
                continue;
            }
            Err(no_try) => {
                return failure
                    .map(Begun::Failed)
                    .ok_or_else(|| why(no_try, request));
            }
        }
        if !request.may_run_again() {
            return failure
                .map(Begun::Failed)
                .ok_or_else(|| request.tries.exhausted());
        }
    }
}

/// Returns the place of the larger model that is to be asked in an answer's place, if any.
fn larger_model(
    gw: &Gateway,
    request: &AdmittedRequest,
    models: &[String],
    place: usize,
    answer: &Answer,
) -> Option<usize> {
    let confidence = confidence(gw, answer);
    let now = Now::read();
    let expected = request.expected_first_events(gw, models, now);
    let left = request.objective_left(now);
    let begun = BegunAnswer {
        place,
        confidence,
        rank_part: gw.relative_rank(&request.route),
    };
    match judge(begun, &expected, left) {
        Verdict::PassOn => None,
        Verdict::PassOnUnsure => {
            gw.telemetry.record_unsure_answer(
                request,
                place,
                confidence,
                "no larger model in time",
                left,
            );
            None
        }
        Verdict::AskLarger(_) if !may_escalate(gw, request, now) => {
            gw.telemetry
                .record_unsure_answer(request, place, confidence, "no repeat left", left);
            None
        }
        Verdict::AskLarger(larger) => {
            gw.telemetry
                .record_escalation(request, place, larger, confidence);
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
fn may_escalate(gw: &Gateway, request: &AdmittedRequest, now: Now) -> bool {
    let has_room = gw.with_retry_window(&request.service, |window| {
        window.has_room(Repeat::Escalation, now)
    });
    has_room && request.may_run_again() && !request.is_on_trial()
}

/// Returns how long to wait for the head of an answer.
fn patience(gw: &Gateway, request: &AdmittedRequest, model: Option<&str>, now: Now) -> Patience {
    let can_ask_others = request.can_retry(gw, now) && !request.is_last_run();
    match request.route.kind.is_repeatable() && can_ask_others {
        true => first_event_patience(gw, request, model, now),
        false => Patience::up_to(Duration::MAX),
    }
}

fn first_event_patience(
    gw: &Gateway,
    request: &AdmittedRequest,
    model: Option<&str>,
    now: Now,
) -> Patience {
    let expected = request.expected_first_event(gw, model, now).total * EXPECTED_TIMES;
    let part = |hundredths: u32| request.route.latency_objective * hundredths / 100;
    Patience {
        silent: part(SILENT_HUNDREDTHS),
        alive: part(ALIVE_HUNDREDTHS).max(expected),
        most: Duration::MAX,
    }
}

/// Waits for the first whole event.
async fn first_event(
    gw: &Rc<Gateway>,
    request: &Rc<AdmittedRequest>,
    mut answer: Answer,
    model: Option<String>,
) -> First {
    let mut splitter = EventSplitter::default();
    let now = Now::read();
    let patience = match request.can_retry(gw, now) {
        true => first_event_patience(gw, request, model.as_deref(), now),
        false => Patience::up_to(Duration::MAX),
    };
    let patience = patience.within(request.time_left(now));
    let upstream = answer.upstream().clone();
    let read = async {
        loop {
            match answer.next_piece().await {
                Piece::Bytes(bytes) => match splitter.push(&bytes) {
                    Ok(Some(events)) => return Ok(Some(events)),
                    Ok(None) => {}
                    Err(_too_large) => return Err("an event has no end".to_owned()),
                },
                Piece::End if splitter.is_inside_event() => {
                    return Err("the stream ended inside an event".to_owned());
                }
                Piece::End => return Ok(None),
                Piece::Broken(reason) => return Err(reason),
            }
        }
    };
    let reason = match patiently(&gw.connections, &upstream, patience, read).await {
        Some(Ok(events)) => {
            let relay = Relay::new(gw, request, answer, splitter, events, model);
            return First::Came(Box::new(relay));
        }
        Some(Err(reason)) => {
            upstream.failed(Now::read());
            request.record_broken_run(gw, &upstream, Now::read());
            reason
        }
        None => "no event came in time".to_owned(),
    };
    gw.telemetry
        .record_broken_answer(request, answer.upstream(), &reason);
    First::NotYet
}

async fn take_failure(
    gw: &Gateway,
    request: &AdmittedRequest,
    mut answer: Answer,
) -> Option<WholeAnswer> {
    answer.upstream().failed(Now::read());
    read_whole(gw, request, &mut answer, FAILURE_BYTES_LIMIT).await
}
