//! The agent's metrics.

use super::Agent;
use crate::clock::Now;
use crate::error::Result;
use crate::metrics::Metrics;
use actix_server::ServerHandle;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Gauge;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const RECORDING_PERIOD: Duration = Duration::from_secs(1);

struct Gauges {
    generation: Gauge<u64>,
    store_age: Gauge<u64>,
    store_calls: Gauge<u64>,
    bytes_sent: Gauge<u64>,
    peers: Gauge<u64>,
    shards: Gauge<u64>,
    bills: Gauge<u64>,
    suspensions: Gauge<u64>,
}

/// Serves the agent's metrics and updates them periodically.
pub fn serve(agent: Rc<Agent>) -> Result<ServerHandle> {
    let metrics = Metrics::new()?;
    let meter = metrics.meter();
    let gauge = |name: &'static str, description: &'static str| {
        meter.u64_gauge(name).with_description(description).build()
    };
    let gauges = Gauges {
        generation: gauge(
            "gatepier_generation",
            "The generation of the change log in force.",
        ),
        store_age: gauge(
            "gatepier_store_age_ms",
            "Milliseconds since the last known response of the store.",
        ),
        store_calls: gauge(
            "gatepier_store_calls",
            "Calls to the store so far, by kind.",
        ),
        bytes_sent: gauge(
            "gatepier_control_bytes_sent",
            "Bytes sent so far to the current peers.",
        ),
        peers: gauge(
            "gatepier_peers_heard",
            "Agents that were in contact recently.",
        ),
        shards: gauge(
            "gatepier_shards",
            "Shards that this agent owns, and those of them that can grant claims.",
        ),
        bills: gauge(
            "gatepier_bills_waiting",
            "Bills that have not been written to the ledger.",
        ),
        suspensions: gauge(
            "gatepier_suspensions",
            "Versions that the exposure guard suspended.",
        ),
    };
    let handle = metrics.serve(agent.settings.metrics)?;
    metrics.set_ready(true);
    actix_rt::spawn(async move {
        loop {
            record(&agent, &gauges);
            sleep(RECORDING_PERIOD).await;
        }
    });
    Ok(handle)
}

fn record(agent: &Agent, gauges: &Gauges) {
    let status = agent.status(Now::read());
    let kind = |name: &'static str| [KeyValue::new("kind", name)];
    gauges.generation.record(status.generation.0, &[]);
    gauges
        .store_age
        .record(status.store_age_ms.unwrap_or(u64::MAX), &[]);
    gauges
        .store_calls
        .record(status.store_calls.reads, &kind("read"));
    gauges
        .store_calls
        .record(status.store_calls.writes, &kind("write"));
    gauges
        .store_calls
        .record(status.store_calls.watches, &kind("watch"));
    gauges.bytes_sent.record(status.bytes_sent, &[]);
    gauges.peers.record(status.peers_heard as u64, &[]);
    gauges.shards.record(status.shards.0 as u64, &kind("owned"));
    gauges
        .shards
        .record(status.shards.1 as u64, &kind("granting"));
    gauges.bills.record(status.bills_waiting as u64, &[]);
    gauges
        .suspensions
        .record(status.suspensions.len() as u64, &[]);
}
