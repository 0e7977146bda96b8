//! Requests whose response is a stream of events, up to the first event.
//!
//! Until the caller has received part of a response, the response may be dropped and another
//! upstream or a larger model tried. From then on, [`super::relay`] relays the stream.

use super::buffered::{BufferedResponse, RelayedAnswer, read_response, refusal_reason};
use super::events::{EventSplitter, Events};
use super::larger_model::{AskedModel, larger_model};
use super::refusal::RefusalReason;
use super::relay::Relay;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::admit::request::{AdmittedRequest, AttemptPlan, NoAttempt};
use crate::gateway::attempt::connection::http1_types;
use crate::gateway::attempt::exchange::TryOutcome;
use crate::gateway::attempt::response_timeout::{
    ResponseTimeout, WatchedUpstream, with_response_timeout,
};
use crate::gateway::attempt::retries::RetryReason;
use crate::gateway::attempt::upstream_answer::{Answer, BodyChunk};
use bytes::BytesMut;
use std::rc::Rc;
use std::time::Duration;

/// The size limit of a buffered error response.
const FAILURE_BYTES_LIMIT: usize = 1024 * 1024;
/// The most bytes before the first event that belong to none.
const PADDING_BYTES_LIMIT: usize = 64 * 1024;
/// How long an upstream may be silent to all requests before a connection probes whether it is
/// alive, in percent of the latency objective.
const SILENT_TIMEOUT_PERCENT: u32 = 20;
/// How long to wait before another upstream is tried although the first is alive, in percent of the
/// latency objective.
const ALIVE_TIMEOUT_PERCENT: u32 = 90;
/// An alive upstream may take this multiple of the expected time, if that is longer: the prefill of
/// a long prompt again elsewhere takes longer than waiting for it.
const EXPECTED_TIME_FACTOR: u32 = 3;
/// The delay before the upstreams that rejected a request are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// A response that is ready to be sent to the caller.
#[derive(Debug)]
pub enum ResponseStart {
    /// A stream has begun; the relay holds its first events.
    Stream {
        /// The headers of the response.
        headers: http1_types::HeaderMap,
        /// Relays the events.
        relay: Box<Relay>,
    },
    /// A complete response; for stream requests, an upstream's error response.
    Buffered(BufferedResponse),
    /// A large answer that is relayed piece by piece.
    Relayed(RelayedAnswer),
}

/// Whether the first event was received.
enum FirstEvent {
    Received(Box<Relay>),
    Missing,
}

/// Serves a request until the first event has been received, or the end of an empty stream.
pub async fn start(
    gw: &Rc<Gateway>,
    request: &Rc<AdmittedRequest>,
) -> Result<ResponseStart, RefusalReason> {
    let models = if request.router_chooses_model {
        request.route.models.as_slice()
    } else {
        &[]
    };
    let mut asked = AskedModel::default();
    let mut repeat = RetryReason::Failure;
    let mut failure = None;
    loop {
        let model = models.get(asked.index).map(String::as_str);
        let plan = AttemptPlan {
            model,
            resume_after: None,
            head_wait: head_wait(gw, request, model, Now::read()),
            retry_kind: repeat,
        };
        repeat = RetryReason::Failure;
        match request.run_attempt(gw, plan).await {
            Ok(TryOutcome::Answered(answer)) if is_success(&answer) => {
                if let Some(larger) = larger_model(gw, request, models, asked, &answer) {
                    asked = larger;
                    repeat = RetryReason::Escalation;
                    request.tries.allow_all_upstreams();
                    continue;
                }
                let headers = answer.headers.clone();
                let model = models.get(asked.index).cloned();
                if let FirstEvent::Received(relay) =
                    receive_first_event(gw, request, *answer, model).await
                {
                    return Ok(ResponseStart::Stream { headers, relay });
                }
            }
            Ok(TryOutcome::Answered(answer)) => failure = read_failure(gw, request, *answer).await,
            Ok(TryOutcome::NotRun(_) | TryOutcome::Unknown(_)) => {}
            Err(NoAttempt::NoUpstream)
                if request.should_wait_for_upstream(gw, RETRY_DELAY, Now::read()) =>
            {
                tokio::time::sleep(RETRY_DELAY).await;
                request.tries.allow_all_upstreams();
                continue;
            }
            Err(no_attempt) => {
                if let NoAttempt::Paused(pause) = no_attempt
                    && request.wait_for_turn(gw, pause).await
                {
                    continue;
                }
                return failure
                    .map(ResponseStart::Buffered)
                    .ok_or_else(|| refusal_reason(gw, no_attempt, request));
            }
        }
        if !request.may_run_again() {
            return failure
                .map(ResponseStart::Buffered)
                .ok_or_else(|| request.tries.exhausted_reason());
        }
    }
}

fn is_success(answer: &Answer) -> bool {
    (200..300).contains(&answer.status)
}

/// Returns how long to wait for the head of a response.
fn head_wait(
    gw: &Gateway,
    request: &AdmittedRequest,
    model: Option<&str>,
    now: Now,
) -> ResponseTimeout {
    let can_ask_others = request.can_retry(gw, now) && !request.is_last_run();
    match request.route.kind.is_repeatable() && can_ask_others {
        true => first_event_wait(gw, request, model, now),
        false => ResponseTimeout::total_only(Duration::MAX),
    }
}

fn first_event_wait(
    gw: &Gateway,
    request: &AdmittedRequest,
    model: Option<&str>,
    now: Now,
) -> ResponseTimeout {
    let expected = request.expected_first_event(gw, model, now).total * EXPECTED_TIME_FACTOR;
    let percent = |percent: u32| request.route.latency_objective * percent / 100;
    ResponseTimeout {
        upstream_silent: percent(SILENT_TIMEOUT_PERCENT),
        request_stalled: percent(ALIVE_TIMEOUT_PERCENT).max(expected),
        total: Duration::MAX,
    }
}

/// Waits for the first complete event.
async fn receive_first_event(
    gw: &Rc<Gateway>,
    request: &Rc<AdmittedRequest>,
    mut answer: Answer,
    model: Option<String>,
) -> FirstEvent {
    let mut splitter = EventSplitter::default();
    // Empty lines and comments, which are no event.
    let mut padding = BytesMut::new();
    let now = Now::read();
    let wait = match request.can_retry(gw, now) {
        true => first_event_wait(gw, request, model.as_deref(), now),
        false => ResponseTimeout::total_only(Duration::MAX),
    };
    let wait = wait.capped_at(request.time_left(now));
    let (upstream, path) = (answer.upstream().clone(), answer.path().clone());
    let read = async {
        loop {
            match answer.next_chunk().await {
                BodyChunk::Bytes(bytes) => match splitter.push(&bytes) {
                    Ok(Some(mut events)) if events.count > 0 => {
                        events.prepend(&padding);
                        return Ok(Some(events));
                    }
                    Ok(Some(events))
                        if padding.len() + events.bytes.len() > PADDING_BYTES_LIMIT =>
                    {
                        return Err("it sends no events".to_owned());
                    }
                    Ok(Some(events)) => padding.extend_from_slice(&events.bytes),
                    Ok(None) => {}
                    Err(_too_large) => return Err("an event exceeds the size limit".to_owned()),
                },
                BodyChunk::End if splitter.is_inside_event() => {
                    return Err("the stream ended inside an event".to_owned());
                }
                BodyChunk::End if padding.is_empty() => return Ok(None),
                BodyChunk::End => {
                    return Ok(Some(Events {
                        bytes: std::mem::take(&mut padding).freeze(),
                        count: 0,
                        last_id: None,
                    }));
                }
                BodyChunk::Broken(reason) => return Err(reason),
            }
        }
    };
    let watched = WatchedUpstream {
        connections: &gw.connections,
        upstream: &upstream,
        path: &path,
    };
    let reason = match with_response_timeout(watched, wait, read).await {
        Some(Ok(events)) => {
            let relay = Relay::new(gw, request, answer, splitter, events, model);
            return FirstEvent::Received(Box::new(relay));
        }
        Some(Err(reason)) => {
            answer.record_failure(Now::read());
            request.record_broken_run(gw, &upstream, Now::read());
            reason
        }
        None => "no event arrived in time".to_owned(),
    };
    gw.telemetry
        .record_broken_answer(request, answer.upstream(), &reason);
    FirstEvent::Missing
}

async fn read_failure(
    gw: &Gateway,
    request: &AdmittedRequest,
    mut answer: Answer,
) -> Option<BufferedResponse> {
    answer.record_failure(Now::read());
    let read = read_response(gw, request, &mut answer, FAILURE_BYTES_LIMIT).await;
    read.ok()
}
