//! Tests of the state that agents replicate, without processes.

use gatepier::agent::gossip_state::GossipState;
use gatepier::clock::{Now, WallTime};
use googletest::prelude::*;
use std::time::Duration;

fn at(millis: u64) -> Now {
    Now {
        monotonic: Duration::from_millis(millis),
        wall: WallTime(millis),
    }
}

/// Defines each case as a separate test.
macro_rules! cases {
    ($($name:ident => $body:block)+) => {
        $(
            #[gtest]
            fn $name() $body
        )+
    };
}

cases! {
    age_that_a_peer_states_counts_from_the_call => {
        // Guards against an age that counts from the arrival of the answer: an agent that stood
        // still for eight seconds then showed a contact with the store that was as much younger.
        let mut state = GossipState::default();
        state.record_peer_store_age(at(10_000), Duration::from_millis(200));
        expect_that!(state.store_age(at(18_000)), some(eq(Duration::from_millis(8200))));
    }

    age_from_before_this_process_is_no_contact => {
        let mut state = GossipState::default();
        state.record_peer_store_age(at(1000), Duration::from_millis(2000));
        expect_that!(state.store_age(at(1100)), none());
    }

    older_contact_replaces_no_newer_one => {
        let mut state = GossipState::default();
        state.record_store_contact(at(5000));
        state.record_peer_store_age(at(6000), Duration::from_millis(3000));
        expect_that!(state.store_age(at(7000)), some(eq(Duration::from_millis(2000))));
    }
}
