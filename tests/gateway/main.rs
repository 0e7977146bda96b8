//! Tests of the decisions of the gateway, as functions of its state and the current time.

mod boundary;
mod connection_age;
mod connection_limit;
mod connection_write;
mod datagrams;
mod engine_fleet;
mod engine_placement;
mod engine_speed;
mod escalation;
mod expected_wait;
mod fetch_planning;
mod freshness;
mod freshness_exploration;
mod held_bytes;
mod held_streams;
mod initial_sync;
mod load_decision;
mod load_patterns;
mod load_reports;
mod loan_book;
mod model_choice;
mod own_delay;
mod packing;
mod peer_updates;
mod placement;
mod plain_fleet;
mod plain_placement;
mod quarantine;
mod quarantined_parts;
mod rate_limits;
mod reachability;
mod refusals;
mod rejection_limits;
mod restoration;
mod retries;
mod retry_after;
mod rollout_simulation;
mod rollouts;
mod routes;
mod run_times;
mod shared_rates;
mod slot_exchange;
mod stated_speed;
mod steady_demand;
mod streams;
mod tunnels;
mod upstream_restarts;
mod wait_queue;
mod warm_up;

use gatepier::clock::{Now, WallTime};
use gatepier::gateway::control::store::ListedUpstream;
use std::time::Duration;

/// Generates a test for each case.
macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(
            #[googletest::gtest]
            fn $name() $body
        )*
    };
}
pub(crate) use cases;

/// Returns a time in milliseconds since the start of the test.
pub fn at(millis: u64) -> Now {
    Now {
        monotonic: Duration::from_millis(millis),
        wall: WallTime(1_000_000 + millis),
    }
}

/// Returns the registry entry of an upstream that accepts requests.
pub fn listed(instance: &str, service: &str, hall: &str) -> ListedUpstream {
    ListedUpstream {
        instance: instance.to_owned(),
        service: service.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        hall: hall.to_owned(),
        version: "v1".to_owned(),
        slots: 4,
        born: None,
        draining: false,
        warm_up_left: Duration::ZERO,
    }
}
