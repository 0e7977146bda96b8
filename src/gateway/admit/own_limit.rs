//! Watches how far this box is past its own limits. See `docs/design/saturation.md`.

use crate::clock::millis;
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::saturation::OwnDelay;
use crate::saturation::sampler::sample_scheduling;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Gauge;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The standing delay from which the box is logged as late.
const LOGGED_DELAY: Duration = Duration::from_millis(10);
/// The time between two such log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Watches the box's own delay, for as long as the process runs.
pub async fn watch_own_limit(gw: Rc<Gateway>) {
    let next_line = Cell::new(Duration::ZERO);
    sample_scheduling(&gw.saturation, |now| {
        let delay = gw.saturation.current(now);
        gw.own_limit_metrics.record(delay);
        if delay.longest() >= LOGGED_DELAY && now.monotonic >= next_line.get() {
            log_own_delay(&gw, delay);
            next_line.set(now.monotonic + LOG_INTERVAL);
        }
    })
    .await;
}

fn log_own_delay(gw: &Gateway, delay: OwnDelay) {
    log::warn!(
        scheduling_ms = millis(delay.scheduling),
        network_ms = millis(delay.network),
        in_flight = gw.in_flight(),
        connections = gw.caller_connections.count(),
        held_bytes = gw.held_memory.total(),
        budget_bytes = gw.held_memory.budget();
        "this box is late by itself"
    );
}

/// The instruments of the box's own delay.
#[derive(Debug)]
pub struct OwnLimitMetrics {
    delay: Gauge<u64>,
}

impl OwnLimitMetrics {
    /// Creates the instruments.
    pub fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        Self {
            delay: meter
                .u64_gauge("gatepier_own_delay_ms")
                .with_description("Delay that this box causes by itself, by where it arises.")
                .build(),
        }
    }

    fn record(&self, delay: OwnDelay) {
        for (source, delay) in [("scheduling", delay.scheduling), ("network", delay.network)] {
            self.delay
                .record(millis(delay), &[KeyValue::new("source", source)]);
        }
    }
}
