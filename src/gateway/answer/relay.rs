//! Relays a stream to its caller, and resumes it at another upstream if it breaks off.
//!
//! Only complete events are relayed, so that the stream can be resumed after the last one. The
//! response keeps the head that the first upstream sent. See `docs/design/platform.md`.

use super::events::{EventSplitter, EventTooLarge, Events};
use super::held_bytes::{MIN_STALL, NoRoom};
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::admit::request::{AdmittedRequest, AttemptPlan, NoAttempt};
use crate::gateway::attempt::exchange::TryOutcome;
use crate::gateway::attempt::response_timeout::ResponseTimeout;
use crate::gateway::attempt::retries::RetryReason;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::attempt::upstream_answer::{Answer, BodyChunk};
use crate::gateway::telemetry::StreamSummary;
use crate::gateway::versions::local_statistics::ResponseTimer;
use crate::late_reading::LateReading;
use bytes::Bytes;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// How long an upstream may be silent to all requests before a connection probes whether it is
/// alive, in tenths of the route's event gap. If it is not, another upstream resumes the stream;
/// the rest of the gap is for the prefill there.
const SILENT_TIMEOUT_TENTHS: u32 = 3;
/// The same if the upstream is alive: it has deferred the stream for a while, and another prefill
/// elsewhere would make the stream late anyway.
const ALIVE_TIMEOUT_TENTHS: u32 = 25;
/// The number of events after which the pace of a stream is measured: other requests' long prompts
/// delay single events, so it takes several.
const PACE_EVENTS: usize = 13;
/// The fewest events from which the pace of a stream that ended early is measured, for the same
/// reason.
const MIN_PACE_EVENTS: usize = 4;
/// How long the head of a resumed stream may take if another upstream is left to try; reading the
/// longest prompt takes under a second.
const RESUME_HEAD_TIMEOUT: Duration = Duration::from_millis(1500);
/// The delay before the upstreams that rejected a resumed stream are tried again.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A stream that is being relayed.
pub struct Relay {
    gw: Rc<Gateway>,
    request: Rc<AdmittedRequest>,
    answer: Option<Answer>,
    splitter: EventSplitter,
    pending: Option<Events>,
    model: Option<String>,
    last_id: Option<String>,
    event_count: usize,
    started_at: Duration,
    last_event_at: Duration,
    longest_pause: Duration,
    /// How long the box has waited for the upstream since the last event.
    waited_for_event: Duration,
    late: LateReading,
    resumed: u32,
    /// The measurement of the stream's pace, until it has ended or the stream is resumed elsewhere.
    pace_timing: Option<ResponseTimer>,
    /// The slot utilization of the upstream when the stream began, until the pace is recorded or the
    /// stream is resumed elsewhere.
    initial_utilization: Option<f64>,
}

impl fmt::Debug for Relay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relay")
            .field("request_id", &self.request.request_id)
            .field("events", &self.event_count)
            .finish_non_exhaustive()
    }
}

/// Why a stream could not be completed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamInterrupted(pub String);

impl fmt::Display for StreamInterrupted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the stream broke off: {}", self.0)
    }
}

impl std::error::Error for StreamInterrupted {}

/// A stream that is dropped while its upstream still sends was abandoned by its caller, or cut by
/// the end of the process.
impl Drop for Relay {
    fn drop(&mut self) {
        if self.answer.is_some() {
            let reason = "the caller disconnected, or the process is stopping";
            self.gw
                .telemetry
                .record_stream_cut(&self.request, self.event_count, reason);
        }
    }
}

impl Relay {
    /// Starts to relay a stream whose first events, if it has any, have been received.
    pub fn new(
        gw: &Rc<Gateway>,
        request: &Rc<AdmittedRequest>,
        mut answer: Answer,
        splitter: EventSplitter,
        events: Option<Events>,
        model: Option<String>,
    ) -> Self {
        let now = Now::read();
        answer.finish_prefill();
        request.record_answer_progress(gw, now);
        gw.record_first_event(request, &answer, model.as_deref().unwrap_or_default(), now);
        let upstream = answer.upstream();
        let is_measured = answer.has_upstream_times(now);
        let pace_timing = match is_measured {
            true => gw.start_event_timer(request, upstream, PACE_EVENTS - 1, now),
            false => None,
        };
        let initial_utilization = is_measured.then(|| upstream.slot_utilization(now));
        let resume_after = request.headers.get(gw.headers.last_event_id.as_str());
        let last_id = resume_after
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        Self {
            gw: gw.clone(),
            request: request.clone(),
            answer: Some(answer),
            splitter,
            pending: events,
            model,
            last_id,
            event_count: 0,
            started_at: now.monotonic,
            last_event_at: now.monotonic,
            longest_pause: Duration::ZERO,
            waited_for_event: Duration::ZERO,
            late: LateReading::new(None),
            resumed: 0,
            pace_timing,
            initial_utilization,
        }
    }

    /// Returns the next events, `None` at the end, or why the stream cannot be completed.
    pub async fn next(&mut self) -> Option<Result<Bytes, StreamInterrupted>> {
        let caller_wait = self.request.account.record_progress();
        let events = self.next_events(caller_wait).await;
        self.request.account.wait_for_caller();
        events
    }

    async fn next_events(
        &mut self,
        caller_wait: Duration,
    ) -> Option<Result<Bytes, StreamInterrupted>> {
        // Upstreams cut off answers that sit unread, which says nothing about the upstream.
        let was_read = caller_wait < MIN_STALL;
        loop {
            if let Some(events) = self.pending.take() {
                let now = Now::read();
                if events.count > 0 {
                    self.record_pause(now);
                    self.waited_for_event = Duration::ZERO;
                }
                self.event_count += events.count;
                if self.event_count >= PACE_EVENTS {
                    self.record_pace(now);
                }
                if events.last_id.is_some() {
                    self.last_id = events.last_id;
                }
                return Some(Ok(events.bytes));
            }
            let answer = self.answer.as_mut()?;
            if let Err(interrupted) = hold_events(&self.request, &self.splitter).await {
                return Some(Err(self.interrupt(interrupted)));
            }
            let began = Now::read();
            let left = self.request.time_left(began);
            let Some(longest) = self.late.longest_wait(left) else {
                let reason = "the deadline passed".to_owned();
                return Some(Err(self.interrupt(StreamInterrupted(reason))));
            };
            let wait = gap_wait(&self.request)
                .after(self.waited_for_event)
                .capped_at(longest);
            let chunk = answer.next_chunk_within(&self.gw.connections, wait).await;
            let waited = Now::read().monotonic.saturating_sub(began.monotonic);
            self.waited_for_event += waited;
            let reason = match chunk {
                Some(BodyChunk::Bytes(bytes)) => match self.record_read(&bytes, waited, left) {
                    Ok(()) => continue,
                    Err(_too_large) => "an event exceeds the size limit".to_owned(),
                },
                Some(BodyChunk::End) if !self.splitter.is_inside_event() => {
                    self.finish();
                    return None;
                }
                Some(BodyChunk::End) => {
                    self.record_broken_run(was_read);
                    "the stream ended inside an event".to_owned()
                }
                Some(BodyChunk::Broken(reason)) => {
                    self.record_broken_run(was_read);
                    reason
                }
                None if self.should_keep_waiting(Now::read()) => {
                    self.waited_for_event = Duration::ZERO;
                    continue;
                }
                None => "no event arrived in time".to_owned(),
            };
            if let Err(interrupted) = self.resume_elsewhere(reason, was_read).await {
                return Some(Err(self.interrupt(interrupted)));
            }
        }
    }

    /// Takes bytes that arrived after a wait.
    fn record_read(
        &mut self,
        bytes: &Bytes,
        waited: Duration,
        time_left: Duration,
    ) -> Result<(), EventTooLarge> {
        self.late.record(bytes.len(), waited, time_left);
        let events = self.splitter.push(bytes)?;
        if let Some(answer) = &mut self.answer {
            answer.finish_prefill();
        }
        if events.as_ref().is_some_and(|events| events.count > 0) {
            self.request.record_answer_progress(&self.gw, Now::read());
        }
        self.pending = events;
        Ok(())
    }

    fn interrupt(&mut self, interrupted: StreamInterrupted) -> StreamInterrupted {
        self.answer = None;
        self.gw
            .telemetry
            .record_stream_cut(&self.request, self.event_count, &interrupted.0);
        interrupted
    }

    fn record_broken_run(&self, was_read: bool) {
        if let Some(answer) = self.answer.as_ref().filter(|_| was_read) {
            self.request
                .record_broken_run(&self.gw, answer.upstream(), Now::read());
        }
    }

    /// Returns whether to keep waiting for a silent upstream: no other one may be tried, or there
    /// is none.
    fn should_keep_waiting(&self, now: Now) -> bool {
        let cannot_resume = || !self.request.can_retry(&self.gw, now) || self.is_only_upstream(now);
        !self.request.time_left(now).is_zero() && cannot_resume()
    }

    /// Returns whether only the upstream that pauses could continue the stream. It has read the
    /// prompt already, so sending it the request again would spend one of the attempts that the
    /// route allows and only delay the stream.
    fn is_only_upstream(&self, now: Now) -> bool {
        let Some(pausing) = self.answer.as_ref().map(Answer::upstream) else {
            return false;
        };
        let candidates = self
            .gw
            .candidates(&self.request.service, &self.request.session_id, now);
        let is_other = |upstream: &Rc<Upstream>| upstream.incarnation() != pausing.incarnation();
        !pausing.needs_connect_success() && !candidates.iter().any(is_other)
    }

    fn record_pause(&mut self, now: Now) {
        let pause = now.monotonic.saturating_sub(self.last_event_at);
        self.longest_pause = self.longest_pause.max(pause);
        self.last_event_at = now.monotonic;
    }

    /// Records the mean gap between events, once for each stream.
    fn record_pace(&mut self, now: Now) {
        let pace_timing = self.pace_timing.take();
        let utilization = self.initial_utilization.take();
        let was_late = self.gw.saturation.was_late_since(self.started_at, now);
        if self.event_count < MIN_PACE_EVENTS || was_late {
            return;
        }
        let took = now.monotonic.saturating_sub(self.started_at);
        let gaps = u32::try_from(self.event_count)
            .unwrap_or(u32::MAX)
            .saturating_sub(1);
        let between_events = took / gaps;
        if let Some(pace_timing) = pace_timing {
            pace_timing.record_duration(between_events.as_secs_f64());
        }
        if let (Some(utilization), Some(answer)) = (utilization, &self.answer) {
            let model = self.model.as_deref().unwrap_or_default();
            let upstream = answer.upstream();
            self.gw.record_event_pace(
                &self.request,
                upstream,
                model,
                utilization,
                between_events,
                now,
            );
        }
    }

    fn finish(&mut self) {
        let now = Now::read();
        self.record_pace(now);
        self.request.record_whole_answer(&self.gw, now);
        if let Some(answer) = self.answer.take() {
            answer.finish(&self.gw.connections, now);
        }
        self.gw.telemetry.record_stream_end(
            &self.request,
            &StreamSummary {
                events: self.event_count,
                resumed: self.resumed,
                longest_pause: self.longest_pause,
                took: now.monotonic.saturating_sub(self.started_at),
            },
        );
    }

    /// Resumes the stream at another upstream, after the last event that the caller has.
    async fn resume_elsewhere(
        &mut self,
        reason: String,
        was_read: bool,
    ) -> Result<(), StreamInterrupted> {
        self.pace_timing = None;
        self.initial_utilization = None;
        if let Some(answer) = self.answer.take() {
            self.gw
                .telemetry
                .record_broken_answer(&self.request, answer.upstream(), &reason);
            if was_read {
                answer.record_lost(Now::read());
            }
        }
        self.splitter = EventSplitter::default();
        self.waited_for_event = Duration::ZERO;
        loop {
            if !self.request.may_run_again() {
                return Err(StreamInterrupted(reason));
            }
            let plan = AttemptPlan {
                model: self.model.as_deref(),
                resume_after: self.last_id.as_deref(),
                head_wait: match self.request.is_last_run() {
                    true => ResponseTimeout::total_only(Duration::MAX),
                    false => ResponseTimeout {
                        upstream_silent: RESUME_HEAD_TIMEOUT,
                        request_stalled: RESUME_HEAD_TIMEOUT * 2,
                        total: Duration::MAX,
                    },
                },
                retry_kind: RetryReason::Failure,
            };
            match self.request.run_attempt(&self.gw, plan).await {
                Ok(TryOutcome::Answered(answer)) if (200..300).contains(&answer.status) => {
                    self.resumed += 1;
                    self.answer = Some(*answer);
                    return Ok(());
                }
                Ok(_) => {}
                Err(NoAttempt::NoUpstream | NoAttempt::OutOfReach(_))
                    if !self.request.time_left(Now::read()).is_zero() =>
                {
                    tokio::time::sleep(RESUME_RETRY_DELAY).await;
                    self.request.tries.allow_all_upstreams();
                }
                Err(NoAttempt::Paused(pause)) if self.can_pause(pause.remaining()) => {
                    tokio::time::sleep(pause.remaining()).await;
                    self.request.tries.allow_all_upstreams();
                }
                Err(_) => return Err(StreamInterrupted(reason)),
            }
        }
    }

    /// Returns whether a pause is short enough for the caller: within the route's event gap and the
    /// deadline.
    fn can_pause(&self, pause: Duration) -> bool {
        let gap = self.request.route.kind.stream_gap().unwrap_or_default();
        pause < gap.min(self.request.time_left(Now::read()))
    }
}

/// Waits until there is room for the next events, and for the event that has begun.
async fn hold_events(
    request: &AdmittedRequest,
    splitter: &EventSplitter,
) -> Result<(), StreamInterrupted> {
    let held = request.account.hold_piece(splitter.pending_len()).await;
    held.map_err(|NoRoom| StreamInterrupted("no memory is left".to_owned()))
}

/// Returns how long a pause between events may be before another upstream resumes the stream.
fn gap_wait(request: &AdmittedRequest) -> ResponseTimeout {
    let unlimited = ResponseTimeout::total_only(Duration::MAX);
    match request.route.kind.stream_gap() {
        Some(gap) if request.may_run_again() => ResponseTimeout {
            upstream_silent: gap * SILENT_TIMEOUT_TENTHS / 10,
            request_stalled: gap * ALIVE_TIMEOUT_TENTHS / 10,
            ..unlimited
        },
        _ => unlimited,
    }
}
