//! The gateway's log lines, one for each decision, and its metrics.
//!
//! `docs/OPERATIONS.md` shows how to find the cause of a failure from a request's id.

mod slots;

use super::admit::load_decision::{CallerHistory, LoadDecision, LoadInputs};
use super::admit::request::{AdmittedRequest, AttemptPlan, UsedByAttempt};
use super::answer::held_bytes::{HeldKind, YieldingRequest};
use super::answer::held_memory::HeldMemory;
use super::answer::refusal::{Execution, RefusalReason};
use super::attempt::crash_detection::InterruptedRun;
use super::attempt::exchange::{NotRunReason, TryOutcome};
use super::attempt::reachability::{LossEvidence, ReachChange};
use super::attempt::upstream::Upstream;
use super::attempt::upstream_connections::ConnectionMetrics;
use super::control::change::Change;
use super::control::revision::EpochRevision;
use super::control::state::ConfigBasis;
use super::peers::hub_poller::FetchError;
use super::place::choose::PlacementChoice;
use super::place::engine_speed::{SpeedBelief, SpeedSource};
use super::place::escalation::EscalationDecision;
use super::place::fleet_view::FleetView;
use super::place::model_choice::{ChoiceSituation, ModelChoice, ModelOutlook};
use crate::clock::{Now, millis};
use crate::crash_ledger::{CrashCheckResult, QuarantineState};
use crate::fingerprint::Fingerprint;
use crate::metrics::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use std::net::SocketAddr;
use std::time::Duration;

const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 25.0,
];

/// The summary of a stream, logged at its end.
#[derive(Debug, Clone, Copy)]
pub struct StreamSummary {
    /// The number of events that were relayed.
    pub events: usize,
    /// How many times another upstream resumed it.
    pub resumed: u32,
    /// The longest pause between two events.
    pub longest_pause: Duration,
    /// The time from the first event to the end.
    pub took: Duration,
}

/// The gateway's instruments and log lines.
#[derive(Debug)]
pub struct Telemetry {
    latency: Histogram<f64>,
    responses: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    rejections: Counter<u64>,
    load_decisions: Counter<u64>,
    waiting: Gauge<u64>,
    expected_wait: Gauge<f64>,
    invalid_load_reports: Counter<u64>,
    connections: Counter<u64>,
    lost_services: Counter<u64>,
    tunnels: Counter<u64>,
    tunnel_bytes: Counter<u64>,
    store_calls: Counter<u64>,
    peer_bytes: Counter<u64>,
    received_bytes: Counter<u64>,
    fetches: Counter<u64>,
    held_bytes: Gauge<u64>,
    let_go: Counter<u64>,
    config_version: Gauge<u64>,
    faulty_upstreams: Gauge<u64>,
    lag: Gauge<u64>,
    knowledge_age: Gauge<u64>,
    engine_speed: Gauge<u64>,
}

impl Telemetry {
    /// Creates the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        Self {
            latency: meter
                .f64_histogram("gatepier_answer_seconds")
                .with_description("Time from a request to its response or its first event.")
                .with_boundaries(LATENCY_BUCKETS_SECONDS.to_vec())
                .build(),
            responses: meter
                .u64_counter("gatepier_answers_passed_on")
                .with_description("Upstream responses sent to callers, by status.")
                .build(),
            refusals: meter
                .u64_counter("gatepier_final_refusals")
                .with_description("Requests refused by the gateway, by reason.")
                .build(),
            attempts: meter
                .u64_counter("gatepier_tries")
                .with_description("Attempts at upstreams, by outcome.")
                .build(),
            rejections: meter
                .u64_counter("gatepier_rejected_arrivals")
                .with_description("Requests that upstreams rejected, by service.")
                .build(),
            load_decisions: meter
                .u64_counter("gatepier_load_decisions")
                .with_description("Requests that waited or were refused under load, by decision.")
                .build(),
            waiting: meter
                .u64_gauge("gatepier_waiting_requests")
                .with_description("Requests that wait in the box for room.")
                .build(),
            expected_wait: meter
                .f64_gauge("gatepier_expected_wait_seconds")
                .with_description("Expected time until an upstream runs a request, by upstream.")
                .build(),
            invalid_load_reports: meter
                .u64_counter("gatepier_invalid_load_reports")
                .with_description("Load reports of upstreams that cannot be read.")
                .build(),
            connections: meter
                .u64_counter("gatepier_upstream_connections")
                .with_description("Connections to upstreams, by event and kind of upstream.")
                .build(),
            lost_services: meter
                .u64_counter("gatepier_lost_services")
                .with_description("How often no upstream of a service was reached, by service.")
                .build(),
            tunnels: meter
                .u64_counter("gatepier_tunnels")
                .with_description("Tunnels to upstreams through a box, by side and outcome.")
                .build(),
            tunnel_bytes: meter
                .u64_counter("gatepier_tunnel_bytes")
                .with_description("Bytes of upstreams relayed to other boxes.")
                .build(),
            store_calls: meter
                .u64_counter("gatepier_store_calls")
                .with_description("Calls to the platform's store, by kind.")
                .build(),
            peer_bytes: meter
                .u64_counter("gatepier_peer_bytes")
                .with_description("Bytes of messages sent to other boxes, by purpose.")
                .build(),
            received_bytes: meter
                .u64_counter("gatepier_received_item_bytes")
                .with_description("Bytes of store items received from other boxes, by way.")
                .build(),
            fetches: meter
                .u64_counter("gatepier_fetches")
                .with_description("Fetches from other boxes, by outcome.")
                .build(),
            held_bytes: meter
                .u64_gauge("gatepier_held_bytes")
                .with_description("Bytes held for requests, by kind.")
                .build(),
            let_go: meter
                .u64_counter("gatepier_requests_let_go")
                .with_description("Requests let go because their callers did not read.")
                .build(),
            faulty_upstreams: meter
                .u64_gauge("gatepier_faulty_upstreams")
                .with_description("Upstreams whose entries cannot be read.")
                .build(),
            lag: meter
                .u64_gauge("gatepier_lag_ms")
                .with_description("Time since this box learned of a newer state than it has.")
                .build(),
            config_version: meter
                .u64_gauge("gatepier_config_version")
                .with_description("The version of the configuration in force.")
                .build(),
            engine_speed: meter
                .u64_gauge("gatepier_engine_speed_percent")
                .with_description("Speed that the box believes an engine to have, by upstream.")
                .build(),
            knowledge_age: meter
                .u64_gauge("gatepier_knowledge_age_ms")
                .with_description("Age of the last proof that the box's knowledge is current.")
                .build(),
        }
    }

    /// Returns the counter of connections to upstreams.
    pub fn connection_metrics(&self) -> ConnectionMetrics {
        ConnectionMetrics::new(self.connections.clone())
    }

    /// Records an attempt at an upstream.
    pub fn record_attempt(
        &self,
        request: &AdmittedRequest,
        choice: &PlacementChoice,
        tried: &TryOutcome,
        used: UsedByAttempt,
        plan: AttemptPlan<'_>,
    ) {
        let outcome = match tried {
            TryOutcome::Answered(_) => "answered",
            TryOutcome::NotRun(_) => "not-run",
            TryOutcome::Unknown(_) => "unknown",
        };
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
        if matches!(tried, TryOutcome::NotRun(NotRunReason::Refused(_))) {
            let service = KeyValue::new("service", request.service.clone());
            self.rejections.add(1, &[service]);
        }
        let upstream = &choice.upstream;
        let listed = upstream.listed();
        let expected = choice.expected;
        if let Some(expected) = expected {
            let label = KeyValue::new("upstream", listed.instance.clone());
            self.expected_wait
                .record(expected.queue.as_secs_f64(), &[label]);
        }
        let report_age = expected.and_then(|expected| expected.report_age);
        let UsedByAttempt { connection, slot } = used;
        let through = connection.and_then(|used| used.through);
        let through = through.map(|peer| peer.to_string());
        self.record_engine_speed(&listed.instance, choice.speed);
        log::info!(
            request = request.request_id.as_str(),
            fingerprint = request.fingerprints.own.to_string().as_str(),
            route = request.route.name.as_str(),
            config = request.config.version,
            knowledge_age_ms = optional_millis(request.config.age),
            lag_ms = optional_millis(request.config.lag),
            upstream = listed.instance.as_str(),
            version = listed.version.as_str(),
            model = plan.model.unwrap_or(""),
            session = request.session_id.as_str(),
            parts = request.prompt.shared_parts.join(" ").as_str(),
            after_event = plan.resume_after.unwrap_or(""),
            attempt = request.tries.sent_count(),
            ahead_ms = millis(choice.queue_wait),
            reading_ms = millis(choice.prefill),
            beginning = choice.prefix_source.name(),
            expected_wait_ms = expected.map_or(-1, |expected| signed_millis(expected.queue)),
            expected_run_ms = expected.map_or(-1, |expected| signed_millis(expected.run)),
            report_age_ms = report_age.map_or(-1, signed_millis),
            work_time_percent = upstream.newest_report().and_then(|(load, _)| load.work_time_percent).map_or(-1, i64::from),
            speed_percent = percent(choice.speed.speed),
            speed_source = choice.speed.source.name(),
            speed_age_ms = choice.speed.age.map_or(0, millis),
            outstanding = upstream.outstanding(),
            connection = connection.map_or("none", |used| used.origin.name()),
            through = through.as_deref().unwrap_or(""),
            slot = slot.to_string().as_str(),
            rest_ms = upstream.retry_after_left(Now::read()).map_or(0, millis),
            warm_up_ms = millis(upstream.warm_up_left(Now::read())),
            limit = upstream.rate_limit().limit().map_or(String::new(), |limit| limit.to_string()).as_str();
            "try: {}", tried.describe()
        );
    }

    /// Records the speed that the box believes an upstream to have, once it was measured.
    fn record_engine_speed(&self, instance: &str, belief: SpeedBelief) {
        if belief.source != SpeedSource::Default {
            let upstream = KeyValue::new("upstream", instance.to_owned());
            self.engine_speed.record(percent(belief.speed), &[upstream]);
        }
    }

    /// Records that a response broke off or came too late.
    pub fn record_broken_answer(
        &self,
        request: &AdmittedRequest,
        upstream: &Upstream,
        reason: &str,
    ) {
        let instance = upstream.with_listed(|listed| listed.instance.clone());
        log::warn!(
            request = request.request_id.as_str(),
            upstream = instance.as_str();
            "response interrupted: {reason}"
        );
    }

    /// Records the result of checking an upstream at which a run broke off.
    pub fn record_upstream_check(&self, upstream: &Upstream, result: CrashCheckResult) {
        let instance = upstream.with_listed(|listed| listed.instance.clone());
        let upstream = instance.as_str();
        match result {
            CrashCheckResult::Crashed => log::warn!(upstream; "the upstream has crashed"),
            CrashCheckResult::Alive => {
                log::info!(upstream; "connections were lost, but the upstream accepts new ones")
            }
            CrashCheckResult::Unreachable => log::info!(upstream; "the upstream is unreachable"),
        }
    }

    /// Records that this box reaches no upstream of a service, or that it does again.
    pub fn record_reach_change(&self, service: &str, change: &ReachChange) {
        match change {
            ReachChange::Lost(evidence) => self.record_lost_service(service, evidence),
            ReachChange::Regained(after) => log::info!(
                service,
                lost_ms = millis(*after);
                "upstreams of the service accept connections again"
            ),
        }
    }

    /// What other boxes have in flight at these upstreams shows whether those reach them.
    fn record_lost_service(&self, service: &str, evidence: &LossEvidence) {
        self.lost_services
            .add(1, &[KeyValue::new("service", service.to_owned())]);
        let failed = || evidence.failed.iter();
        let own_in_flight: u32 = failed().map(|upstream| upstream.outstanding()).sum();
        let peers_in_flight: u32 = failed()
            .map(|upstream| upstream.peer_load().outstanding)
            .sum();
        log::warn!(
            service,
            failed = evidence.failed.len(),
            refused = evidence.refused,
            last_success_ms = optional_millis(evidence.last_success),
            own_in_flight,
            peers_in_flight;
            "no upstream of the service accepts connections from this box"
        );
    }

    /// Counts a tunnel that was served to another box, or that another box served.
    pub fn count_tunnel(&self, side: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("side", side),
            KeyValue::new("outcome", outcome),
        ];
        self.tunnels.add(1, &labels);
    }

    /// Counts bytes of an upstream that were relayed to another box.
    pub fn count_tunnel_bytes(&self, bytes: u64) {
        self.tunnel_bytes.add(bytes, &[]);
    }

    /// Records what is done with a request that may crash upstreams, or has parts that may.
    pub fn record_quarantine(&self, request: &AdmittedRequest, state: QuarantineState) {
        let fingerprints = &request.fingerprints;
        let parts: Vec<String> = fingerprints.parts.iter().map(ToString::to_string).collect();
        let part_fingerprints = parts.join(" ");
        log::info!(
            request = request.request_id.as_str(),
            fingerprint = fingerprints.own.to_string().as_str(),
            parts = request.prompt.shared_parts.join(" ").as_str(),
            part_fingerprints = part_fingerprints.as_str();
            "{}", state.describe()
        );
    }

    /// Records a request that was running at an upstream when it crashed.
    pub fn record_request_at_crash(&self, upstream: &Upstream, run: &InterruptedRun) {
        let instance = upstream.with_listed(|listed| listed.instance.clone());
        log::warn!(
            request = run.request_id.as_str(),
            upstream = instance.as_str(),
            fingerprint = run.request.to_string().as_str(),
            answered_ms = optional_millis(run.answered_for),
            on_trial = run.trials().count(),
            subjects = run.subjects.len();
            "this request was running at an upstream when it crashed"
        );
    }

    /// Records that an upstream has announced in a response, to this or another box, that it
    /// leaves.
    pub fn record_leaving_upstream(&self, upstream: &Upstream, source: &str) {
        let instance = upstream.with_listed(|listed| listed.instance.clone());
        let upstream = instance.as_str();
        log::info!(upstream, source; "the upstream announced that it leaves; sending it no more requests");
    }

    /// Records that an upstream has stated a new rate limit, or none any more, to this or another
    /// box.
    pub fn record_rate_limit(&self, upstream: &Upstream, source: &str) {
        let instance = upstream.with_listed(|listed| listed.instance.clone());
        let instance = instance.as_str();
        match upstream.rate_limit().limit() {
            Some(limit) => {
                log::info!(upstream = instance, source, limit; "the upstream states a rate limit")
            }
            None => log::info!(upstream = instance, source; "the upstream's rate limit is over"),
        }
    }

    /// Records that an upstream states a rejection limit, or none any more.
    pub fn record_rejection_limit(&self, upstream: &Upstream, source: &str) {
        let instance = upstream.with_listed(|listed| listed.instance.clone());
        let instance = instance.as_str();
        match upstream.slots().limit() {
            Some(limit) => {
                log::info!(upstream = instance, source, limit; "the upstream states a rejection limit")
            }
            None => {
                log::info!(upstream = instance, source; "the upstream's rejection limit is over")
            }
        }
    }

    /// Records that an upstream rejected a request of this box for lack of room, and by what the box
    /// expected it to have some.
    pub fn record_rejection(&self, upstream: &Upstream, fleet: FleetView<'_>, now: Now) {
        let instance = upstream.with_listed(|listed| listed.instance.clone());
        let slots = upstream.known_slots();
        log::info!(
            upstream = instance.as_str(),
            slots,
            limit = upstream.slots().limit().unwrap_or(-1.0),
            share = upstream.slots().share(slots, fleet, now),
            in_use = upstream.slots().in_use(upstream.outstanding(), now),
            outstanding = upstream.outstanding(),
            others = upstream.peer_load().outstanding,
            boxes = fleet.box_count();
            "the upstream rejected a request for lack of room"
        );
    }

    /// Counts load reports that cannot be read, and logs them if a line is due.
    pub fn record_invalid_load_reports(&self, upstream: &Upstream, count: u32, is_logged: bool) {
        self.invalid_load_reports.add(count.into(), &[]);
        if is_logged {
            let instance = upstream.with_listed(|listed| listed.instance.clone());
            log::warn!(
                upstream = instance.as_str(),
                count;
                "the load report cannot be read; using the earlier ones"
            );
        }
    }

    /// Records that a smaller model's answer was dropped to try a larger model.
    pub fn record_escalation(
        &self,
        request: &AdmittedRequest,
        model_index: usize,
        larger: usize,
        confidence: Option<u32>,
    ) {
        log::info!(
            request = request.request_id.as_str(),
            model = model_index,
            asked_next = larger,
            confidence = confidence.unwrap_or(0);
            "retrying with a larger model"
        );
    }

    /// Records a decision about an answer of low confidence, with what it depends on.
    pub fn record_model_choice(
        &self,
        request: &AdmittedRequest,
        situation: &ChoiceSituation,
        models: &[ModelOutlook],
        choice: &ModelChoice,
    ) {
        let expected = |model: &ModelOutlook| {
            let expected = model.expected;
            let times = (millis(expected.total), millis(expected.queue_wait));
            format!("{}/{}/{}", times.0, times.1, expected.running)
        };
        let expected: Vec<String> = models.iter().map(expected).collect();
        let asked_next = match choice.decision {
            EscalationDecision::Escalate(larger) => larger as i64,
            EscalationDecision::Accept | EscalationDecision::AcceptUnsure => -1,
        };
        log::info!(
            request = request.request_id.as_str(),
            model = situation.answer.model_index,
            confidence = situation.answer.confidence.unwrap_or(0),
            asked_next,
            expected_ms = expected.join(" ").as_str(),
            left_ms = millis(situation.objective_left),
            patience_ms = millis(situation.patience_left),
            runs_left = situation.runs_left,
            free_budget_percent = percent(situation.free_budget),
            gain_percent = (choice.gain * 100.0) as i64;
            "choosing the model: {}", choice.reason
        );
    }

    /// Records that a smaller model's answer is relayed although the model has low confidence in
    /// it.
    pub fn record_unsure_answer(
        &self,
        request: &AdmittedRequest,
        model_index: usize,
        confidence: Option<u32>,
        reason: &str,
        left: Duration,
    ) {
        log::info!(
            request = request.request_id.as_str(),
            model = model_index,
            confidence = confidence.unwrap_or(0),
            left_ms = millis(left);
            "relaying an answer of low confidence: {reason}"
        );
    }

    /// Records the head of a response that is sent to the caller.
    pub fn record_answer(&self, request: &AdmittedRequest, status: u16, now: Now) {
        let took = now.monotonic.saturating_sub(request.received);
        let status_label = KeyValue::new("status", i64::from(status));
        self.responses.add(1, &[status_label]);
        let route = KeyValue::new("route", request.route.name.clone());
        self.latency.record(took.as_secs_f64(), &[route]);
        log::info!(
            request = request.request_id.as_str(),
            status,
            took_ms = millis(took),
            tries = request.tries.sent_count();
            "passed on"
        );
    }

    /// Records the time to the first event of an attempt.
    pub fn record_first_event(
        &self,
        request: &AdmittedRequest,
        model: &str,
        took: Duration,
        unread: Duration,
    ) {
        log::info!(
            request = request.request_id.as_str(),
            model,
            took_ms = millis(took),
            tokens = request.prompt.tokens,
            shared_tokens = request.prompt.shared_tokens,
            unread_ms = millis(unread);
            "first event"
        );
    }

    /// Records a stream that was completed.
    pub fn record_stream_end(&self, request: &AdmittedRequest, summary: &StreamSummary) {
        log::info!(
            request = request.request_id.as_str(),
            events = summary.events,
            resumed = summary.resumed,
            longest_pause_ms = millis(summary.longest_pause),
            took_ms = millis(summary.took);
            "stream ended"
        );
    }

    /// Records a stream that was cut before its end.
    pub fn record_stream_cut(&self, request: &AdmittedRequest, events: usize, reason: &str) {
        log::warn!(
            request = request.request_id.as_str(),
            events,
            tries = request.tries.sent_count();
            "stream cut: {reason}"
        );
    }

    /// Records a refusal.
    pub fn record_refusal(
        &self,
        request: &str,
        fingerprint: Option<Fingerprint>,
        reason: RefusalReason,
        execution: Execution,
        config: ConfigBasis,
        took: Duration,
    ) {
        self.refusals
            .add(1, &[KeyValue::new("reason", reason.name())]);
        let fingerprint = fingerprint.map(|fingerprint| fingerprint.to_string());
        log::warn!(
            request,
            fingerprint = fingerprint.as_deref().unwrap_or(""),
            reason = reason.name(),
            may_have_run = execution == Execution::Possible,
            knowledge_age_ms = optional_millis(config.age),
            lag_ms = optional_millis(config.lag),
            took_ms = millis(took);
            "refused"
        );
    }

    /// Records that a request waits or is refused under load, and what this rests on.
    pub fn record_load_decision(
        &self,
        request: &AdmittedRequest,
        inputs: &LoadInputs,
        decision: LoadDecision,
        waiting: usize,
        share: f64,
    ) {
        let (name, limit) = match decision {
            LoadDecision::Send => ("send", None),
            LoadDecision::Wait { at_most } => ("wait", Some(at_most)),
            LoadDecision::Refuse { come_back } => {
                ("refuse", come_back.map(|window| window.earliest))
            }
        };
        self.load_decisions
            .add(1, &[KeyValue::new("decision", name)]);
        let expected = inputs.expected;
        let report_age = expected.and_then(|expected| expected.report_age);
        log::info!(
            request = request.request_id.as_str(),
            service = request.service.as_str(),
            decision = name,
            limit_ms = optional_millis(limit),
            expected_queue_ms = optional_millis(expected.map(|expected| expected.queue)),
            expected_run_ms = optional_millis(expected.map(|expected| expected.run)),
            report_age_ms = optional_millis(report_age),
            objective_left_ms = millis(inputs.objective_left),
            deadline_left_ms = millis(inputs.deadline_left),
            full = inputs.is_full_everywhere,
            came_back = inputs.caller == CallerHistory::Returned,
            repeats_at_once = inputs.caller == CallerHistory::RepeatsAtOnce,
            less_urgent = inputs.standing.is_less_urgent,
            over_share = inputs.standing.is_over_share,
            others_ahead = inputs.standing.has_others_ahead,
            waiting,
            share;
            "little room"
        );
    }

    /// Records the number of requests that wait for room.
    pub fn record_waiting(&self, waiting: usize) {
        let waiting = u64::try_from(waiting).unwrap_or(u64::MAX);
        self.waiting.record(waiting, &[]);
    }

    /// Records a change of the box's knowledge.
    pub fn record_change(&self, change: &Change, source: &str, revision: u64) {
        if let Change::Routes(version) = change {
            self.config_version.record(*version, &[]);
        }
        let EpochRevision { epoch, revision } = EpochRevision::from_qualified(revision);
        match change {
            Change::Nothing => {}
            Change::Faulty { item, reason } => log::error!(
                item = item.as_str(),
                source,
                epoch,
                revision;
                "cannot be read; keeping the last valid state: {reason}"
            ),
            Change::UpstreamFaulty { instance, reason } => log::error!(
                upstream = instance.as_str(),
                source,
                epoch,
                revision;
                "the entry cannot be read; not using the upstream: {reason}"
            ),
            change => log::info!(source, epoch, revision; "learned: {change:?}"),
        }
    }

    /// Records that a version of the configuration came into force: its source and size, how long
    /// this box had known that something newer existed, and the age of its proof of freshness.
    pub fn record_config_in_force(
        &self,
        version: u64,
        source: &str,
        bytes: usize,
        lag: Option<Duration>,
        age: Option<Duration>,
    ) {
        log::info!(
            version,
            source,
            bytes,
            lag_ms = lag.map_or(0, millis),
            knowledge_age_ms = age.map_or(-1, |age| i64::try_from(millis(age)).unwrap_or(-1));
            "configuration in force"
        );
    }

    /// Counts the bytes of items received from other boxes.
    pub fn count_item_bytes(&self, way: &'static str, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.received_bytes.add(bytes, &[KeyValue::new("way", way)]);
    }

    /// Records the outcome of a fetch from another box.
    pub fn record_fetch(
        &self,
        from: SocketAddr,
        outcome: &Result<(), FetchError>,
        bytes: usize,
        took: Duration,
    ) {
        let name = match outcome {
            Ok(()) => "taken",
            Err(err) => err.name(),
        };
        self.fetches.add(1, &[KeyValue::new("outcome", name)]);
        let from = from.to_string();
        let (from, took_ms) = (from.as_str(), millis(took));
        match outcome {
            Ok(()) => log::info!(from, bytes, took_ms; "fetched"),
            Err(err) => log::warn!(from, bytes, took_ms; "fetch failed: {err}"),
        }
    }

    /// Records that a request is let go because its caller made no progress and memory is short.
    pub fn record_let_go(&self, request: &YieldingRequest, budget: u64) {
        self.let_go.add(1, &[]);
        log::warn!(
            request = request.request_id.as_str(),
            held_bytes = request.held,
            without_progress_ms = millis(request.without_progress),
            budget_bytes = budget;
            "let go: its caller makes no progress and memory is short"
        );
    }

    /// Records a large answer that was cut before its end.
    pub fn record_relay_cut(&self, request: &AdmittedRequest, reason: &str) {
        log::warn!(request = request.request_id.as_str(); "answer cut: {reason}");
    }

    /// Records the bytes held of each kind.
    pub fn record_held_bytes(&self, memory: &HeldMemory) {
        for kind in HeldKind::ALL {
            let label = KeyValue::new("kind", kind.name());
            self.held_bytes.record(memory.held(kind), &[label]);
        }
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, kind: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts the bytes of messages sent to other boxes, summed over the receivers.
    pub fn count_peer_bytes(&self, purpose: &'static str, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.peer_bytes
            .add(bytes, &[KeyValue::new("purpose", purpose)]);
    }

    /// Records the number of upstreams whose entries cannot be read.
    pub fn record_faulty_upstreams(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.faulty_upstreams.record(count, &[]);
    }

    /// Records the age of the box's knowledge, and its lag behind a newer state.
    pub fn record_knowledge_age(&self, age: Option<Duration>, lag: Option<Duration>) {
        self.knowledge_age.record(age.map_or(u64::MAX, millis), &[]);
        self.lag.record(lag.map_or(0, millis), &[]);
    }
}

/// Returns a time for the log; -1 if there is none.
fn optional_millis(time: Option<Duration>) -> i64 {
    time.map_or(-1, signed_millis)
}

/// Returns milliseconds as a number that can be -1 where nothing is known.
fn signed_millis(duration: Duration) -> i64 {
    i64::try_from(millis(duration)).unwrap_or(i64::MAX)
}

/// Returns a fraction in whole percent.
fn percent(fraction: f64) -> u64 {
    (fraction * 100.0).round() as u64
}
