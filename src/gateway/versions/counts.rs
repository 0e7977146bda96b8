//! Counts each request and answer of a service under roll-out, and judges its target.

use super::exposure::Span;
use super::observed::{Kind, Measure, Trial};
use super::rollout::{MOVING, stage_since};
use super::tally::{Timed, stretch_at, trial};
use super::watch::{Finding, Question, Verdict};
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::admit::request::AdmittedRequest;
use crate::gateway::attempt::exchange::{Answer, Tried};
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::control::leading::{is_in_line, target_name};
use crate::gateway::control::rollout::Rollout;
use crate::gateway::place::choose::Choice;
use crate::gateway::place::reading;
use std::time::Duration;

/// How long a box that starts sends a version under trial nothing: three times the time between
/// two words of the others on what they found.
const NEWCOMER: Duration = Duration::from_millis(1200);

impl Gateway {
    /// Counts a request that is sent, and begins to time the head of an engine's answer or a
    /// plain answer.
    ///
    /// Of a plain request only the first try is timed: one that fails at an upstream often
    /// fails at the next as well, whatever their versions.
    pub fn time_try(&self, job: &AdmittedRequest, choice: &Choice, now: Now) -> Option<Timed> {
        let (measure, unit) = match job.route.kind.stream_gap() {
            Some(_) => {
                let expected = reading::FIXED + choice.ahead + choice.reading;
                (Measure::Head, expected.as_secs_f64())
            }
            None => (Measure::Whole, 1.0),
        };
        let trial = self.trial(job, &choice.upstream, now)?;
        let versions = self.versions.borrow();
        versions.tally().sent(trial);
        let kind = Kind {
            route: &job.route.name,
            measure,
        };
        let timed = versions.tally().begin(trial, kind, unit, now);
        (measure == Measure::Head || job.tries.runs() == 0).then_some(timed)
    }

    /// Records how a try with an engine began: its head came, or a failure of its own.
    pub fn head_came(&self, tried: &Tried, timed: Option<Timed>, now: Now) {
        let (Some(timed), Tried::Answered(answer)) = (timed, tried) else {
            return;
        };
        if !(200..300).contains(&answer.status) {
            timed.failed();
            return;
        }
        timed.came(now);
    }

    /// Begins to time the events of an answer, of which the gaps between so many are judged.
    pub fn time_events(
        &self,
        job: &AdmittedRequest,
        upstream: &Upstream,
        gaps: usize,
        now: Now,
    ) -> Option<Timed> {
        let trial = self.trial(job, upstream, now)?;
        let kind = Kind {
            route: &job.route.name,
            measure: Measure::Pace,
        };
        let versions = self.versions.borrow();
        Some(versions.tally().begin(trial, kind, gaps as f64, now))
    }

    fn trial(&self, job: &AdmittedRequest, upstream: &Upstream, now: Now) -> Option<Trial> {
        let knowledge = self.knowledge.borrow();
        let rollout = knowledge.rollout(&job.service)?;
        upstream.with_listed(|listed| trial(rollout, &listed.version, now))
    }

    /// Records when the first event of an answer came.
    pub fn first_event(&self, job: &AdmittedRequest, answer: &Answer, model: &str, now: Now) {
        let upstream = answer.upstream();
        let took = now.monotonic.saturating_sub(answer.sent);
        self.telemetry
            .record_first_event(job, model, took, upstream.unread(now));
        if answer.tells_rate {
            self.record_reading_rate(&job.service, model, job.prompt.weighted_tokens(), took);
        }
        upstream.with_listed(|listed| {
            self.sessions
                .borrow_mut()
                .served(&job.session_id, &listed.version, now);
        });
    }

    /// Tells whether the target of a roll-out was found bad.
    pub fn is_condemned(&self, order: u64) -> bool {
        self.versions.borrow().finding(order).is_some()
    }

    /// Judges the targets of all roll-outs under way, and forgets those that are not.
    pub fn judge_versions(&self, now: Now) {
        let knowledge = self.knowledge.borrow();
        let orders: Vec<u64> = knowledge
            .rollouts()
            .values()
            .filter_map(|rollout| rollout.order.as_ref())
            .map(|(order, _)| order.revision)
            .collect();
        let mut versions = self.versions.borrow_mut();
        versions.keep(|order| orders.contains(&order));
        drop(versions);
        let goes_by_record = is_in_line(self, now);
        for rollout in knowledge.rollouts().values() {
            self.judge_version(rollout, goes_by_record, now);
        }
    }

    /// Judges the target of a roll-out; none if it is not under way.
    ///
    /// Only boxes that may lead go by what the record says was seen: others hear of it too late to
    /// weigh it against what they see themselves.
    pub fn judge_version(
        &self,
        rollout: &Rollout,
        goes_by_record: bool,
        now: Now,
    ) -> Option<Verdict> {
        let (order, _) = rollout.order.as_ref()?;
        let record = rollout.running(order)?;
        let span = Span {
            elapsed: rollout.elapsed(now)?,
            duration: order.duration,
        };
        let bound = self.settings().bounds.exposure;
        let asked = Question {
            order: order.revision,
            target: &target_name(order),
            span,
            since: stretch_at(stage_since(record), order.duration).saturating_add(1),
            is_compared: record.permille >= bound.middle_stage(MOVING),
            is_proved: record.is_proved(),
            seen: goes_by_record.then_some(*record.seen),
        };
        let mut versions = self.versions.borrow_mut();
        Some(versions.judge(asked, &bound, now))
    }

    /// Takes another box's word that the target of an order is bad.
    pub fn take_finding(&self, order: u64, from: &str) {
        if self.versions.borrow_mut().take_finding(order) {
            let finding = Finding::Told;
            log::warn!(order, from; "version found bad: {finding}");
        }
    }

    /// Tells whether this box has been up for too short a time to have been told that a
    /// version is bad.
    pub fn is_newcomer(&self, now: Now) -> bool {
        now.monotonic.saturating_sub(self.started_at) < NEWCOMER
    }
}
