//! The gateway's decisions, as functions of what is known and of the present time.

mod boundary;
mod datagrams;
mod fetch_planning;
mod freshness;
mod initial_sync;
mod models;
mod packing;
mod peer_updates;
mod placement;
mod quarantine;
mod refusals;
mod rests;
mod retries;
mod rollouts;
mod routes;
mod streams;
mod trials;
mod upstream_restarts;
mod warm_up;

use gatepier::clock::{Now, WallTime};
use gatepier::gateway::control::store::ListedUpstream;
use std::time::Duration;

/// Names each case as a test of its own.
macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(
            #[googletest::gtest]
            fn $name() $body
        )*
    };
}
pub(crate) use cases;

/// Returns a present time, in milliseconds since the start.
pub fn at(millis: u64) -> Now {
    Now {
        monotonic: Duration::from_millis(millis),
        wall: WallTime(1_000_000 + millis),
    }
}

/// Lists an upstream that takes work.
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
