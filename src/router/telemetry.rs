//! The router's metrics.

use crate::decision_record::DecisionRecord;
use crate::metrics::Metrics;
use crate::saturation::instruments::OwnLimitMetrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use std::time::Duration;

const LATENCY_BUCKETS_SECONDS: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// The router's metric instruments.
#[derive(Debug)]
pub struct RouterMetrics {
    latency: Histogram<f64>,
    refusals: Counter<u64>,
    answers: Counter<u64>,
    cost: Counter<u64>,
    generation: Gauge<u64>,
    agent_age: Gauge<u64>,
    /// The instruments of the threads' own limits.
    pub own_limit: OwnLimitMetrics,
}

impl RouterMetrics {
    /// Creates the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        let latency = meter.f64_histogram("gatepier_request_seconds");
        Self {
            latency: latency
                .with_description("Time from request to the end of its answer.")
                .with_boundaries(LATENCY_BUCKETS_SECONDS.to_vec())
                .build(),
            refusals: meter
                .u64_counter("gatepier_refusals")
                .with_description("Refusals by reason and outcome.")
                .build(),
            answers: meter
                .u64_counter("gatepier_answers")
                .with_description("Answers by version or service: the exposure to each version.")
                .build(),
            cost: meter
                .u64_counter("gatepier_cost_micros")
                .with_description("Price of the answers in millionths of a credit.")
                .build(),
            generation: meter
                .u64_gauge("gatepier_generation")
                .with_description("The generation of the change log in force.")
                .build(),
            agent_age: meter
                .u64_gauge("gatepier_agent_age_ms")
                .with_description("Milliseconds since the agent was heard from.")
                .build(),
            own_limit: OwnLimitMetrics::new(metrics),
        }
    }

    /// Records a request that ended.
    pub fn record_request(&self, record: &DecisionRecord, elapsed: Duration) {
        let organisation = KeyValue::new("organisation", record.organisation.clone());
        let ran_on = record
            .tries
            .last()
            .map_or("", |attempt| attempt.ran_on.as_str());
        let ran_on = KeyValue::new("ran_on", ran_on.to_owned());
        if let Some(reason) = &record.reason {
            let reason = KeyValue::new("reason", reason.clone());
            let outcome = KeyValue::new("outcome", record.outcome.to_string());
            self.refusals.add(1, &[reason, outcome]);
        } else {
            let labels = [organisation.clone(), ran_on.clone()];
            self.answers.add(1, &labels);
            self.cost.add(record.cost_micros, &labels);
        }
        self.latency
            .record(elapsed.as_secs_f64(), &[organisation, ran_on]);
    }

    /// Records the generation in force and the time since the agent last accepted a report.
    pub fn record_state(&self, generation: u64, agent_age: Duration) {
        self.generation.record(generation, &[]);
        self.agent_age.record(
            u64::try_from(agent_age.as_millis()).unwrap_or(u64::MAX),
            &[],
        );
    }
}
