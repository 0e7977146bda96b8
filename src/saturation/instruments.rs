//! The metrics of a process at its own limit.

use super::OwnDelay;
use crate::clock::millis;
use crate::metrics::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};

/// The instruments of a process's own limit.
#[derive(Debug)]
pub struct OwnLimitMetrics {
    delay: Gauge<u64>,
    shed: Counter<u64>,
}

impl OwnLimitMetrics {
    /// Creates the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        Self {
            delay: meter
                .u64_gauge("gatepier_own_delay_ms")
                .with_description("Latest delay that this box caused by itself, by where it arose.")
                .build(),
            shed: meter
                .u64_counter("gatepier_connections_closed_unread")
                .with_description("Connections of callers closed unread at the box's own limit.")
                .build(),
        }
    }

    /// Records the delays at present, and how many connections were closed unread since the last
    /// record.
    pub fn record(&self, delay: OwnDelay, shed: u64) {
        self.shed.add(shed, &[]);
        for (source, delay) in [("scheduling", delay.scheduling), ("network", delay.network)] {
            self.delay
                .record(millis(delay), &[KeyValue::new("source", source)]);
        }
    }
}
