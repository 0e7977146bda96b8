//! One line for each decision, and counters and histograms beside it.
//!
//! `docs/OPERATIONS.md` shows how to get from a request's id to the cause of its failure.

use super::admit::job::{Job, TryPlan};
use super::answer::refusal::{Ran, Why};
use super::attempt::crash_detection::InterruptedRun;
use super::attempt::exchange::TryOutcome;
use super::attempt::upstream::Upstream;
use super::control::state::Change;
use super::peers::hub_poller::FetchError;
use super::place::choose::PlacementChoice;
use crate::clock::{Now, millis};
use crate::crash_ledger::{CrashCheckResult, CrashRole};
use crate::fingerprint::Fingerprint;
use crate::metrics::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use std::net::SocketAddr;
use std::time::Duration;

const LATENCY_BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 25.0,
];

/// What is said of a stream at its end.
#[derive(Debug, Clone, Copy)]
pub struct StreamSummary {
    /// The events that were passed on.
    pub events: usize,
    /// How many times another upstream went on with it.
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
    answers: Counter<u64>,
    refusals: Counter<u64>,
    tries: Counter<u64>,
    store_calls: Counter<u64>,
    peer_bytes: Counter<u64>,
    received_bytes: Counter<u64>,
    fetches: Counter<u64>,
    config_version: Gauge<u64>,
    faulty_upstreams: Gauge<u64>,
    lag: Gauge<u64>,
    age: Gauge<u64>,
}

impl Telemetry {
    /// Makes the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        Self {
            latency: meter
                .f64_histogram("gatepier_answer_seconds")
                .with_description("Time from a request to its answer or its first event.")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            answers: meter
                .u64_counter("gatepier_answers_passed_on")
                .with_description("Upstreams' answers that were passed on, by status.")
                .build(),
            refusals: meter
                .u64_counter("gatepier_final_refusals")
                .with_description("Requests without an upstream's answer, by reason.")
                .build(),
            tries: meter
                .u64_counter("gatepier_tries")
                .with_description("Tries at upstreams, by outcome.")
                .build(),
            store_calls: meter
                .u64_counter("gatepier_store_calls")
                .with_description("Calls to the platform's store, by kind.")
                .build(),
            peer_bytes: meter
                .u64_counter("gatepier_peer_bytes")
                .with_description("Bytes of datagrams to other boxes, by purpose.")
                .build(),
            received_bytes: meter
                .u64_counter("gatepier_received_item_bytes")
                .with_description("Bytes of the store's items that other boxes sent, by way.")
                .build(),
            fetches: meter
                .u64_counter("gatepier_fetches")
                .with_description("Fetches from other boxes, by outcome.")
                .build(),
            faulty_upstreams: meter
                .u64_gauge("gatepier_faulty_upstreams")
                .with_description("Upstreams whose entries cannot be read.")
                .build(),
            lag: meter
                .u64_gauge("gatepier_lag_ms")
                .with_description("How long this box has known of something newer than it has.")
                .build(),
            config_version: meter
                .u64_gauge("gatepier_config_version")
                .with_description("The version of the configuration in force.")
                .build(),
            age: meter
                .u64_gauge("gatepier_knowledge_age_ms")
                .with_description("Age of the last proof that nothing newer exists.")
                .build(),
        }
    }

    /// Records a try.
    pub fn tried(
        &self,
        job: &Job,
        choice: &PlacementChoice,
        tried: &TryOutcome,
        plan: TryPlan<'_>,
    ) {
        let outcome = match tried {
            TryOutcome::Answered(_) => "answered",
            TryOutcome::NotRun(_) => "not-run",
            TryOutcome::Unknown(_) => "unknown",
        };
        self.tries.add(1, &[KeyValue::new("outcome", outcome)]);
        let upstream = &choice.upstream;
        let listed = upstream.listed();
        log::info!(
            request = job.request_id.as_str(),
            fingerprint = job.fingerprint.to_string().as_str(),
            route = job.route.name.as_str(),
            config = job.config_version,
            upstream = listed.instance.as_str(),
            version = listed.version.as_str(),
            model = plan.model.unwrap_or(""),
            session = job.session.as_str(),
            shared = job.prompt.shared.as_deref().unwrap_or(""),
            after_event = plan.resume_after.unwrap_or(""),
            attempt = job.tries.sent_count(),
            ahead_ms = millis(choice.queue_wait),
            reading_ms = millis(choice.prefill),
            beginning = choice.prefix_source.name(),
            outstanding = upstream.outstanding(),
            rest_ms = upstream.retry_after_left(Now::read()).map_or(0, millis),
            warm_up_ms = millis(upstream.warm_up_left(Now::read()));
            "try: {}", tried.describe()
        );
    }

    /// Records that an answer broke off or came too late.
    pub fn broke_off(&self, job: &Job, upstream: &Upstream, reason: &str) {
        let instance = upstream.with_listed(|listed| listed.instance.clone());
        log::warn!(
            request = job.request_id.as_str(),
            upstream = instance.as_str();
            "answer broke off: {reason}"
        );
    }

    /// Records what was found of an upstream where a run broke off.
    pub fn checked_after_break(&self, upstream: &Upstream, found: CrashCheckResult) {
        let instance = upstream.with_listed(|listed| listed.instance.clone());
        let upstream = instance.as_str();
        match found {
            CrashCheckResult::Crashed => log::warn!(upstream; "the upstream has crashed"),
            CrashCheckResult::Alive => {
                log::info!(upstream; "connections were lost, the upstream takes others")
            }
            CrashCheckResult::Unreachable => log::info!(upstream; "the upstream cannot be reached"),
        }
    }

    /// Records a request that ran at an upstream when it crashed.
    pub fn ran_at_crash(&self, upstream: &Upstream, run: InterruptedRun) {
        let instance = upstream.with_listed(|listed| listed.instance.clone());
        log::warn!(
            upstream = instance.as_str(),
            fingerprint = run.request.to_string().as_str(),
            on_trial = run.part == CrashRole::OnTrial;
            "this request ran at an upstream that crashed"
        );
    }

    /// Records that an upstream has said in an answer that it leaves, here or to another box.
    pub fn upstream_leaves(&self, upstream: &Upstream, source: &str) {
        let instance = upstream.with_listed(|listed| listed.instance.clone());
        let upstream = instance.as_str();
        log::info!(upstream, source; "the upstream has said that it leaves, nothing more is sent there");
    }

    /// Records that a smaller model's answer was dropped.
    pub fn escalated(&self, job: &Job, place: usize, larger: usize, confidence: Option<u32>) {
        log::info!(
            request = job.request_id.as_str(),
            model = place,
            asked_next = larger,
            confidence = confidence.unwrap_or(0);
            "a larger model is asked"
        );
    }

    /// Records that a smaller model's answer is passed on though the model is unsure of it.
    pub fn unsure_passed_on(
        &self,
        job: &Job,
        place: usize,
        confidence: Option<u32>,
        reason: &str,
        left: Duration,
    ) {
        log::info!(
            request = job.request_id.as_str(),
            model = place,
            confidence = confidence.unwrap_or(0),
            left_ms = millis(left);
            "unsure answer is passed on: {reason}"
        );
    }

    /// Records an answer that is passed on.
    pub fn passed_on(&self, job: &Job, status: u16, now: Now) {
        let took = now.monotonic.saturating_sub(job.received);
        let status_label = KeyValue::new("status", i64::from(status));
        self.answers.add(1, &[status_label]);
        let route = KeyValue::new("route", job.route.name.clone());
        self.latency.record(took.as_secs_f64(), &[route]);
        log::info!(
            request = job.request_id.as_str(),
            status,
            took_ms = millis(took),
            tries = job.tries.sent_count();
            "passed on"
        );
    }

    /// Records when the first event of a try came.
    pub fn first_event(&self, job: &Job, model: &str, took: Duration, unread: Duration) {
        log::info!(
            request = job.request_id.as_str(),
            model,
            took_ms = millis(took),
            tokens = job.prompt.tokens,
            shared_tokens = job.prompt.shared_tokens,
            unread_ms = millis(unread);
            "first event"
        );
    }

    /// Records a stream that came to its end.
    pub fn stream_ended(&self, job: &Job, summary: &StreamSummary) {
        log::info!(
            request = job.request_id.as_str(),
            events = summary.events,
            resumed = summary.resumed,
            longest_pause_ms = millis(summary.longest_pause),
            took_ms = millis(summary.took);
            "stream ended"
        );
    }

    /// Records a stream that will have no end.
    pub fn stream_cut(&self, job: &Job, events: usize, reason: &str) {
        log::warn!(
            request = job.request_id.as_str(),
            events,
            tries = job.tries.sent_count();
            "stream cut: {reason}"
        );
    }

    /// Records a final refusal.
    pub fn refused(
        &self,
        request: &str,
        fingerprint: Option<Fingerprint>,
        why: Why,
        ran: Ran,
        age: Option<Duration>,
        took: Duration,
    ) {
        self.refusals.add(1, &[KeyValue::new("reason", why.name())]);
        let fingerprint = fingerprint.map(|found| found.to_string());
        log::warn!(
            request,
            fingerprint = fingerprint.as_deref().unwrap_or(""),
            reason = why.name(),
            may_have_run = ran == Ran::Perhaps,
            knowledge_age_ms = age.map_or(-1, |age| i64::try_from(millis(age)).unwrap_or(-1)),
            took_ms = millis(took);
            "refused"
        );
    }

    /// Records a change of what the box knows.
    pub fn learned(&self, change: &Change, source: &str, revision: u64) {
        if let Change::Routes(version) = change {
            self.config_version.record(*version, &[]);
        }
        match change {
            Change::Nothing => {}
            Change::Faulty { item, reason } => log::error!(
                item = item.as_str(),
                source,
                revision;
                "cannot be read, the last good state stays in force: {reason}"
            ),
            Change::UpstreamFaulty { instance, reason } => log::error!(
                upstream = instance.as_str(),
                source,
                revision;
                "its entry cannot be read, the upstream is not used: {reason}"
            ),
            change => log::info!(source, revision; "learned: {change:?}"),
        }
    }

    /// Records that a version of the configuration came into force: by which way, how large
    /// it is, how long this box had known that something newer existed, and how old its
    /// proof of fresh knowledge was.
    pub fn in_force(
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

    /// Counts bytes of items that came from other boxes.
    pub fn received(&self, way: &'static str, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.received_bytes.add(bytes, &[KeyValue::new("way", way)]);
    }

    /// Records how a fetch ended.
    pub fn fetched(
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

    /// Counts a call to the store.
    pub fn store_called(&self, kind: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts the bytes of a message to other boxes, those to each box.
    pub fn told_boxes(&self, purpose: &'static str, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.peer_bytes
            .add(bytes, &[KeyValue::new("purpose", purpose)]);
    }

    /// Records how many upstreams have entries that cannot be read.
    pub fn faulty_upstreams(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.faulty_upstreams.record(count, &[]);
    }

    /// Records the age of what is known.
    pub fn aged(&self, age: Option<Duration>, lag: Option<Duration>) {
        self.age.record(age.map_or(u64::MAX, millis), &[]);
        self.lag.record(lag.map_or(0, millis), &[]);
    }
}
