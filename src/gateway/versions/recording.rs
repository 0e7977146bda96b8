//! Records the requests and responses of services under rollout, and evaluates their new versions.

use super::exposure::RolloutTime;
use super::local_statistics::{ResponseTimer, sampled_request, window_at};
use super::monitor::{RejectionReason, RolloutStatus, Verdict};
use super::rollout::{MIGRATION_STAGE_PERMILLE, stage_start};
use super::statistics::{LatencyMetric, ResponseKind, SampledRequest};
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::admit::request::AdmittedRequest;
use crate::gateway::attempt::exchange::TryOutcome;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::attempt::upstream_answer::Answer;
use crate::gateway::control::rollout::Rollout;
use crate::gateway::control::rollout_leader::{may_advance_rollouts, target_version_name};
use crate::gateway::place::choose::PlacementChoice;
use crate::gateway::place::prefill_rate;
use std::time::Duration;

/// The shortest expected prefill by which the rate of a model is measured for all boxes.
const MIN_SAMPLED_PREFILL: Duration = Duration::from_millis(100);
/// How long after its own start a box sends no requests to an unproven version: three intervals at
/// which other boxes announce the versions that they rejected.
const NEW_VERSION_HOLDOFF: Duration = Duration::from_millis(1200);

impl Gateway {
    /// Counts a request that is being sent, and starts to time an engine's response head or a plain
    /// response.
    ///
    /// Only the first try of a plain request is timed: a request that fails at one upstream often
    /// fails at the next as well, whatever their versions.
    pub fn start_response_timer(
        &self,
        job: &AdmittedRequest,
        choice: &PlacementChoice,
        now: Now,
    ) -> Option<ResponseTimer> {
        let (metric, unit_seconds) = match job.route.kind.stream_gap() {
            Some(_) => {
                let expected =
                    prefill_rate::FIRST_EVENT_OVERHEAD + choice.queue_wait + choice.prefill;
                (LatencyMetric::HeadDelay, expected.as_secs_f64())
            }
            None => (LatencyMetric::ResponseTime, 1.0),
        };
        let request = self.sampled_request(job, &choice.upstream, now)?;
        let versions = self.versions.borrow();
        versions.local_statistics().record_request(request);
        let kind = ResponseKind {
            route: &job.route.name,
            metric,
        };
        let timer = versions
            .local_statistics()
            .start_timer(request, kind, unit_seconds, now);
        (metric == LatencyMetric::HeadDelay || job.tries.possible_runs() == 0).then_some(timer)
    }

    /// Records the outcome of a try at an engine: its response head, or a failure of the engine.
    pub fn record_head(&self, tried: &TryOutcome, timer: Option<ResponseTimer>, now: Now) {
        let (Some(timer), TryOutcome::Answered(answer)) = (timer, tried) else {
            return;
        };
        if !(200..300).contains(&answer.status) {
            timer.record_failure();
            return;
        }
        if answer.has_upstream_times(now) {
            timer.record_completion(now);
        }
    }

    /// Starts to time the events of a stream; `gaps` is the number of intervals that are timed.
    pub fn start_event_timer(
        &self,
        job: &AdmittedRequest,
        upstream: &Upstream,
        gaps: usize,
        now: Now,
    ) -> Option<ResponseTimer> {
        let request = self.sampled_request(job, upstream, now)?;
        let kind = ResponseKind {
            route: &job.route.name,
            metric: LatencyMetric::EventInterval,
        };
        let versions = self.versions.borrow();
        Some(
            versions
                .local_statistics()
                .start_timer(request, kind, gaps as f64, now),
        )
    }

    fn sampled_request(
        &self,
        job: &AdmittedRequest,
        upstream: &Upstream,
        now: Now,
    ) -> Option<SampledRequest> {
        let knowledge = self.knowledge.borrow();
        let rollout = knowledge.rollout(&job.service)?;
        upstream.with_listed(|listed| sampled_request(rollout, &listed.version, now))
    }

    /// Records the first event of a response.
    pub fn record_first_event(
        &self,
        job: &AdmittedRequest,
        answer: &Answer,
        model: &str,
        now: Now,
    ) {
        let upstream = answer.upstream();
        let took = now.monotonic.saturating_sub(answer.sent_at);
        self.telemetry
            .record_first_event(job, model, took, upstream.pending_prefill(now));
        let measured = answer
            .measured_tokens
            .filter(|_| answer.has_upstream_times(now));
        if let Some(tokens) = measured {
            if self.controls_load(&job.service) {
                self.record_engine_prefill(job, upstream, model, tokens, took, now);
            }
            self.record_prefill_rate(&job.service, model, tokens, took);
        }
        upstream.with_listed(|listed| {
            self.sessions
                .borrow_mut()
                .record_version(&job.session_id, &listed.version, now);
        });
    }

    /// Records a measured prefill: the speed of its engine, and the rate of its model for all boxes.
    ///
    /// Short prefills are left out of the rate: the latency of the network and the engine's
    /// scheduling would determine it.
    fn record_engine_prefill(
        &self,
        job: &AdmittedRequest,
        upstream: &Upstream,
        model: &str,
        tokens: f64,
        took: Duration,
        now: Now,
    ) {
        if let Some(speed) = self.prefill_speed(&job.service, model, tokens, took) {
            upstream.speed().record(speed, now);
        }
        let expected = self.prompt_prefill_time(&job.service, Some(model), tokens);
        if expected >= MIN_SAMPLED_PREFILL {
            let prefill = took.saturating_sub(prefill_rate::FIRST_EVENT_OVERHEAD);
            self.rate_samples.record(model, tokens, prefill, now);
        }
    }

    /// Records the mean time between the events of a stream, by which the speed of its engine is
    /// measured where the load is controlled.
    ///
    /// `utilization` is that of the engine's slots when the stream began.
    pub fn record_event_pace(
        &self,
        job: &AdmittedRequest,
        upstream: &Upstream,
        model: &str,
        utilization: f64,
        between_events: Duration,
        now: Now,
    ) {
        if !self.controls_load(&job.service) {
            return;
        }
        let paces = &self.event_paces;
        if let Some(speed) = paces.record(&job.service, model, utilization, between_events) {
            upstream.speed().record(speed, now);
        }
    }

    /// Returns whether the target of a rollout order was rejected.
    pub fn is_version_rejected(&self, order: u64) -> bool {
        self.versions.borrow().rejection(order).is_some()
    }

    /// Evaluates the targets of all active rollouts, and drops the statistics of all others.
    pub fn evaluate_rollouts(&self, now: Now) {
        let knowledge = self.knowledge.borrow();
        let orders: Vec<u64> = knowledge
            .rollouts()
            .values()
            .filter_map(|rollout| rollout.order.as_ref())
            .map(|(order, _)| order.revision)
            .collect();
        let mut versions = self.versions.borrow_mut();
        versions.retain_orders(|order| orders.contains(&order));
        drop(versions);
        let uses_stored_evidence = may_advance_rollouts(self, now);
        for rollout in knowledge.rollouts().values() {
            self.evaluate_rollout(rollout, uses_stored_evidence, now);
        }
    }

    /// Evaluates the target of a rollout; `None` if the rollout is not running.
    ///
    /// Only boxes that may lead use the evidence in the rollout record. Others receive the record
    /// too late to compare it with their own statistics.
    pub fn evaluate_rollout(
        &self,
        rollout: &Rollout,
        uses_stored_evidence: bool,
        now: Now,
    ) -> Option<Verdict> {
        let (order, _) = rollout.order.as_ref()?;
        let record = rollout.running_record(order)?;
        let time = RolloutTime {
            elapsed: rollout.elapsed(now)?,
            duration: order.duration,
        };
        let bound = self.settings().bounds.exposure;
        let status = RolloutStatus {
            order: order.revision,
            target: &target_version_name(order),
            time,
            stage_window: window_at(stage_start(record), order.duration).saturating_add(1),
            is_past_first_stage: record.permille
                >= bound.middle_stage_permille(MIGRATION_STAGE_PERMILLE),
            is_proved: record.is_proved(),
            stored_evidence: uses_stored_evidence.then_some(*record.seen),
        };
        let mut versions = self.versions.borrow_mut();
        Some(versions.evaluate(status, &bound, now))
    }

    /// Records that another box rejected the target of an order.
    pub fn accept_peer_rejection(&self, order: u64, from: &str) {
        if self.versions.borrow_mut().accept_peer_rejection(order) {
            let reason = RejectionReason::ReportedByPeer;
            log::warn!(order, from; "version found bad: {reason}");
        }
    }

    /// Returns whether this box started so recently that it may not yet know of a rejected version.
    pub fn has_just_started(&self, now: Now) -> bool {
        now.monotonic.saturating_sub(self.started_at) < NEW_VERSION_HOLDOFF
    }
}
