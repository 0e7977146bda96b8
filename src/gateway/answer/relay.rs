//! Carries a stream to its caller, and over to another upstream where one breaks off.
//!
//! Only whole events pass, so the caller's stream can go on after the last one. The
//! answer keeps the head of its first upstream. See `docs/design/platform.md`.

use super::events::{EventSplitter, Events};
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::admit::request::{AdmittedRequest, AttemptPlan, NoAttempt};
use crate::gateway::attempt::exchange::{Answer, Piece, Tried};
use crate::gateway::attempt::patience::Patience;
use crate::gateway::attempt::retries::Repeat;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::telemetry::StreamSummary;
use crate::gateway::versions::tally::Timed;
use bytes::Bytes;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// The part of the longest timely pause after which an upstream from which nothing came to
/// any request is asked by a connection whether it is alive, in tenths. If it is not,
/// another goes on; the rest of the pause is for reading the prompt there.
const SILENT_TENTHS: u32 = 3;
/// The same if the upstream is alive: such a stream was put back for a while, and is late
/// anyway when it is read anew elsewhere.
const ALIVE_TENTHS: u32 = 25;
/// The events after which the pace of an answer is judged, and the fewest at its end from
/// which it can be: long prompts of others hold up single events.
const PACED_EVENTS: usize = 13;
const LEAST_PACED_EVENTS: usize = 4;
/// How long the head of a resumed answer may take where another upstream is left to ask;
/// reading the longest prompt takes under a second.
const RESUME_HEAD: Duration = Duration::from_millis(1500);
/// The pause before the upstreams that refused a resumed stream are asked again.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// A stream under way.
pub struct Relay {
    gw: Rc<Gateway>,
    request: Rc<AdmittedRequest>,
    answer: Option<Answer>,
    splitter: EventSplitter,
    ready: Option<Events>,
    model: Option<String>,
    last_id: Option<String>,
    events: usize,
    began: Duration,
    last_event: Duration,
    longest_pause: Duration,
    resumed: u32,
    /// The pace of the answer until it is known, or cannot be told any more.
    timed: Option<Timed>,
}

impl fmt::Debug for Relay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relay")
            .field("request_id", &self.request.request_id)
            .field("events", &self.events)
            .finish_non_exhaustive()
    }
}

/// Why a stream could not be brought to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokeOff(pub String);

impl fmt::Display for BrokeOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the stream broke off: {}", self.0)
    }
}

impl std::error::Error for BrokeOff {}

/// A stream that is dropped while its upstream still answers was left by its caller, or cut
/// by the end of the process.
impl Drop for Relay {
    fn drop(&mut self) {
        if self.answer.is_some() {
            let reason = "its caller left, or the process ends";
            self.gw
                .telemetry
                .record_stream_cut(&self.request, self.events, reason);
        }
    }
}

impl Relay {
    /// Takes over a stream whose first events, if it has any, are there.
    pub fn new(
        gw: &Rc<Gateway>,
        request: &Rc<AdmittedRequest>,
        mut answer: Answer,
        splitter: EventSplitter,
        events: Option<Events>,
        model: Option<String>,
    ) -> Self {
        let now = Now::read();
        answer.has_read();
        gw.first_event(request, &answer, model.as_deref().unwrap_or_default(), now);
        let timed = gw.time_events(request, answer.upstream(), PACED_EVENTS - 1, now);
        let asked_after = request.headers.get(gw.headers.last_event_id.as_str());
        let last_id = asked_after
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        Self {
            gw: gw.clone(),
            request: request.clone(),
            answer: Some(answer),
            splitter,
            ready: events,
            model,
            last_id,
            events: 0,
            began: now.monotonic,
            last_event: now.monotonic,
            longest_pause: Duration::ZERO,
            resumed: 0,
            timed,
        }
    }

    /// Returns the next events, none at the end, or why there will be no end.
    pub async fn next(&mut self) -> Option<Result<Bytes, BrokeOff>> {
        loop {
            if let Some(events) = self.ready.take() {
                let now = Now::read();
                self.note_pause(now);
                self.events += events.count;
                if self.events >= PACED_EVENTS {
                    self.judge_pace(now);
                }
                if events.last_id.is_some() {
                    self.last_id = events.last_id;
                }
                return Some(Ok(events.bytes));
            }
            let answer = self.answer.as_mut()?;
            let patience = patience(&self.request).within(self.request.time_left(Now::read()));
            let broken = match answer
                .next_piece_within(&self.gw.connections, patience)
                .await
            {
                Some(Piece::Bytes(bytes)) => match self.splitter.push(&bytes) {
                    Ok(events) => {
                        answer.has_read();
                        self.ready = events;
                        continue;
                    }
                    Err(_too_large) => "an event has no end".to_owned(),
                },
                Some(Piece::End) if !self.splitter.is_inside_event() => {
                    self.finish();
                    return None;
                }
                Some(Piece::End) => {
                    self.note_broken();
                    "the stream ended inside an event".to_owned()
                }
                Some(Piece::Broken(reason)) => {
                    self.note_broken();
                    reason
                }
                None if self.should_wait_on(Now::read()) => continue,
                None => "no event came in time".to_owned(),
            };
            if let Err(broke_off) = self.carry_over(broken).await {
                self.answer = None;
                self.gw
                    .telemetry
                    .record_stream_cut(&self.request, self.events, &broke_off.0);
                return Some(Err(broke_off));
            }
        }
    }

    fn note_broken(&self) {
        if let Some(answer) = &self.answer {
            self.request
                .record_broken_run(&self.gw, answer.upstream(), Now::read());
        }
    }

    /// Tells whether a silent upstream is still the best hope: nobody else may be asked, or nobody
    /// else is there.
    fn should_wait_on(&self, now: Now) -> bool {
        let cannot_go_on = || !self.request.can_retry(&self.gw, now) || self.is_only_hope(now);
        !self.request.time_left(now).is_zero() && cannot_go_on()
    }

    /// Tells whether only the upstream that pauses could go on. It has read the prompt already, so
    /// asking it anew would spend one of the attempts that the route allows to make it later.
    fn is_only_hope(&self, now: Now) -> bool {
        let Some(pausing) = self.answer.as_ref().map(Answer::upstream) else {
            return false;
        };
        let candidates = self
            .gw
            .candidates(&self.request.service, &self.request.session_id, now);
        let is_other = |upstream: &Rc<Upstream>| upstream.life() != pausing.life();
        !pausing.needs_connection() && !candidates.iter().any(is_other)
    }

    fn note_pause(&mut self, now: Now) {
        let pause = now.monotonic.saturating_sub(self.last_event);
        self.longest_pause = self.longest_pause.max(pause);
        self.last_event = now.monotonic;
    }

    /// Tells how fast the events came, once for each answer.
    fn judge_pace(&mut self, now: Now) {
        let Some(timed) = self.timed.take() else {
            return;
        };
        if self.events < LEAST_PACED_EVENTS {
            return;
        }
        let took = now.monotonic.saturating_sub(self.began);
        let gaps = u32::try_from(self.events)
            .unwrap_or(u32::MAX)
            .saturating_sub(1);
        timed.took((took / gaps).as_secs_f64());
    }

    fn finish(&mut self) {
        let now = Now::read();
        self.judge_pace(now);
        self.gw.quarantine.answered(self.request.fingerprint, now);
        if let Some(answer) = self.answer.take() {
            answer.finish(&self.gw.connections, now);
        }
        self.gw.telemetry.record_stream_end(
            &self.request,
            &StreamSummary {
                events: self.events,
                resumed: self.resumed,
                longest_pause: self.longest_pause,
                took: now.monotonic.saturating_sub(self.began),
            },
        );
    }

    /// Lets another upstream go on after the last event that the caller has.
    async fn carry_over(&mut self, reason: String) -> Result<(), BrokeOff> {
        self.timed = None;
        if let Some(answer) = self.answer.take() {
            self.gw
                .telemetry
                .record_broken_answer(&self.request, answer.upstream(), &reason);
            answer.upstream().failed(Now::read());
        }
        self.splitter = EventSplitter::default();
        loop {
            if !self.request.may_run_again() {
                return Err(BrokeOff(reason));
            }
            let plan = AttemptPlan {
                model: self.model.as_deref(),
                resume_after: self.last_id.as_deref(),
                head_wait: match self.request.is_last_run() {
                    true => Patience::up_to(Duration::MAX),
                    false => Patience {
                        silent: RESUME_HEAD,
                        alive: RESUME_HEAD * 2,
                        most: Duration::MAX,
                    },
                },
                retry_kind: Repeat::Failure,
            };
            match self.request.run_attempt(&self.gw, plan).await {
                Ok(Tried::Answered(answer)) if (200..300).contains(&answer.status) => {
                    self.resumed += 1;
                    self.answer = Some(*answer);
                    return Ok(());
                }
                Ok(_) => {}
                Err(NoAttempt::NoUpstream) if !self.request.time_left(Now::read()).is_zero() => {
                    tokio::time::sleep(RESUME_PAUSE).await;
                    self.request.tries.allow_all();
                }
                Err(NoAttempt::Paused(pause)) if self.can_pause(pause.left()) => {
                    tokio::time::sleep(pause.left()).await;
                    self.request.tries.allow_all();
                }
                Err(_) => return Err(BrokeOff(reason)),
            }
        }
    }

    /// Tells whether the caller bears a pause: no longer than one between two events.
    fn can_pause(&self, pause: Duration) -> bool {
        let gap = self.request.route.kind.stream_gap().unwrap_or_default();
        pause < gap.min(self.request.time_left(Now::read()))
    }
}

/// Returns how long a pause may be before another upstream is asked to go on.
fn patience(request: &AdmittedRequest) -> Patience {
    let all = Patience::up_to(Duration::MAX);
    match request.route.kind.stream_gap() {
        Some(gap) if request.may_run_again() => Patience {
            silent: gap * SILENT_TENTHS / 10,
            alive: gap * ALIVE_TENTHS / 10,
            ..all
        },
        _ => all,
    }
}
