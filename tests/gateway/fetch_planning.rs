//! How fast a large change spreads through fleets of all sizes, and how much each box sends.
//!
//! The decisions are those of real hubs; the links are modelled: each carries `LINK_BYTES_PER_MS`
//! in each direction, shared by concurrent transfers. Boxes poll, fetch and poll again as in
//! `gateway::peers::hubs`; time is simulated.

use super::{at, cases};
use gatepier::gateway::peers::fetch::StallTimeout;
use gatepier::gateway::peers::fetch_planner::{FetchPlanner, FetchSource, MissingChange};
use googletest::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A link of 10 Mbit/s, in bytes per millisecond.
const LINK_BYTES_PER_MS: f64 = 1250.0;
/// The revision of the change.
const CHANGE_REVISION: u64 = 9;
/// The size of a change of 4,200 routes, 1,400 of them new: as a delta to the previous version, and
/// with the full value.
const DELTA_BYTES: usize = 20_000;
const FULL_BYTES: usize = 60_000;
/// The time between two polls of a box that has to retry, in milliseconds.
const RETRY_POLL_MS: u64 = 100;
/// The round-trip time of a poll, in milliseconds.
const ROUND_TRIP_MS: u64 = 4;
/// The operators' bound for deployments of this size, in milliseconds.
const OPERATORS_BOUND_MS: u64 = 3000;

/// A box that lacks the change.
#[derive(Debug)]
enum ReceiverState {
    /// Sends its next poll at this time.
    PollsAt(u64),
    /// Fetches from a box; the number of bytes still missing.
    Fetching(SocketAddr, f64),
    Done,
}

#[derive(Debug)]
struct Outcome {
    /// When the last box had the change, in milliseconds.
    last_ms: u64,
    /// The most bytes that one box sent, in total and in any second.
    max_sent_bytes: f64,
    max_bytes_per_second: f64,
}

fn address(number: usize) -> SocketAddr {
    let number = u16::try_from(number).unwrap();
    SocketAddr::from(([10, 0, 0, 1], 1000 + number))
}

/// Spreads a change of `bytes` bytes from two hubs to a fleet of `boxes` boxes. Every box for which
/// `is_lost` returns true stops sending 50 ms after the start.
fn simulate(boxes: usize, bytes: usize, is_lost: impl Fn(usize) -> bool) -> Outcome {
    let hubs = [address(0), address(1)];
    let lost: Vec<SocketAddr> = (2..boxes).filter(|at| is_lost(*at)).map(address).collect();
    let mut planners = [FetchPlanner::default(), FetchPlanner::default()];
    let mut boxes: HashMap<SocketAddr, ReceiverState> = (2..boxes)
        .map(|number| (address(number), ReceiverState::PollsAt(ROUND_TRIP_MS)))
        .collect();
    let order: Vec<SocketAddr> = (2..boxes.len() + 2).map(address).collect();
    let mut failed_sources: HashMap<SocketAddr, FetchSource> = HashMap::new();
    let mut sent: HashMap<SocketAddr, HashMap<u64, f64>> = HashMap::new();
    for millis in 0..20_000 {
        for (number, receiver) in order.iter().enumerate() {
            let ReceiverState::PollsAt(due) = boxes[receiver] else {
                continue;
            };
            if due > millis || lost.contains(receiver) && millis > 50 {
                continue;
            }
            let hub = number % 2;
            let planner = &mut planners[hub];
            planner.record_poll(*receiver, CHANGE_REVISION - 1, at(millis));
            let missing = MissingChange {
                revision: CHANGE_REVISION,
                bytes,
                failed_source: failed_sources.remove(receiver),
            };
            let source = planner.source_for(*receiver, missing, |_| true, at(millis));
            let state = match source {
                FetchSource::RetryLater => ReceiverState::PollsAt(millis + RETRY_POLL_MS),
                FetchSource::Hub => ReceiverState::Fetching(hubs[hub], bytes as f64),
                FetchSource::Peer(sender) => ReceiverState::Fetching(sender, bytes as f64),
            };
            boxes.insert(*receiver, state);
        }
        let mut receivers: HashMap<SocketAddr, f64> = HashMap::new();
        for state in boxes.values() {
            if let ReceiverState::Fetching(sender, _) = state {
                *receivers.entry(*sender).or_default() += 1.0;
            }
        }
        for (number, receiver) in order.iter().enumerate() {
            let ReceiverState::Fetching(sender, left) = boxes[receiver] else {
                continue;
            };
            if lost.contains(&sender) && millis > 50 {
                failed_sources.insert(*receiver, FetchSource::Peer(sender));
                // It has received nothing for the silence timeout.
                boxes.insert(*receiver, ReceiverState::PollsAt(millis + 500));
                continue;
            }
            let sent_bytes = (LINK_BYTES_PER_MS / receivers[&sender]).min(left);
            *sent
                .entry(sender)
                .or_default()
                .entry(millis / 1000)
                .or_default() += sent_bytes;
            let left = left - sent_bytes;
            boxes.insert(*receiver, ReceiverState::Fetching(sender, left));
            if left <= 0.0 {
                boxes.insert(*receiver, ReceiverState::Done);
                planners[number % 2].record_poll(
                    *receiver,
                    CHANGE_REVISION,
                    at(millis + ROUND_TRIP_MS),
                );
                planners[number % 2].record_fetch_end(*receiver);
            }
        }
        let is_done = |(address, state): (&SocketAddr, &ReceiverState)| {
            matches!(state, ReceiverState::Done) || lost.contains(address)
        };
        if boxes.iter().all(is_done) {
            let of_each = || sent.values().map(|seconds| seconds.values().sum::<f64>());
            let seconds = sent.values().flat_map(HashMap::values).copied();
            return Outcome {
                last_ms: millis,
                max_sent_bytes: of_each().fold(0.0, f64::max),
                max_bytes_per_second: seconds.fold(0.0, f64::max),
            };
        }
    }
    panic!("the change did not reach all boxes in 20 s");
}

cases! {
    senders_get_more_time_only_after_fetches_that_stalled => {
        let half_a_second = Duration::from_millis(500);
        let first = StallTimeout::default();
        expect_that!(first.after(false, Duration::from_millis(300)), eq(first));
        let second = first.after(false, half_a_second);
        expect_that!(second, not(eq(first)));
        expect_that!(second.after(false, half_a_second), eq(second));
        let third = second.after(false, 2 * half_a_second);
        expect_that!(third, not(eq(second)));
        // Two seconds are the most.
        expect_that!(third.after(false, 4 * half_a_second), eq(third));
        expect_that!(third.after(true, half_a_second), eq(first));
    }

    change_reaches_every_box_in_half_the_operators_bound_at_every_size => {
        for bytes in [DELTA_BYTES, FULL_BYTES] {
            for boxes in [6, 30, 91, 300] {
                let outcome = simulate(boxes, bytes, |_| false);
                println!("{boxes} boxes, {bytes} bytes: {outcome:?}");
                expect_that!(outcome.last_ms, lt(OPERATORS_BOUND_MS / 2));
                expect_that!(outcome.max_bytes_per_second, le(1_000_000.0));
                expect_that!(outcome.max_sent_bytes, le(500_000.0));
            }
        }
    }

    lost_senders_delay_their_receivers_by_one_silence_timeout => {
        for boxes in [30, 91, 300] {
            let outcome = simulate(boxes, DELTA_BYTES, |number| number % 5 == 0);
            println!("{boxes} boxes, a fifth of them lost: {outcome:?}");
            expect_that!(outcome.last_ms, lt(OPERATORS_BOUND_MS));
        }
    }

    busy_sender_gets_no_more_receivers => {
        let mut planner = FetchPlanner::default();
        let missing = MissingChange { revision: CHANGE_REVISION, bytes: FULL_BYTES, failed_source: None };
        planner.record_poll(address(1), CHANGE_REVISION - 1, at(0));
        let mut poll = |number, millis| planner.source_for(address(number), missing, |_| true, at(millis));
        expect_that!(poll(1, 0), eq(FetchSource::Hub));
        expect_that!(poll(2, 0), eq(FetchSource::RetryLater));
        // The first receiver has not reported an end; its slot is given away after a while.
        expect_that!(poll(2, 2000), eq(FetchSource::Hub));
    }

    failed_source_is_not_chosen_again => {
        let mut planner = FetchPlanner::default();
        planner.record_poll(address(1), CHANGE_REVISION, at(0));
        let mut missing = MissingChange { revision: CHANGE_REVISION, bytes: FULL_BYTES, failed_source: None };
        missing.failed_source = Some(FetchSource::Peer(address(1)));
        expect_that!(planner.source_for(address(2), missing, |_| true, at(0)), eq(FetchSource::Hub));
        missing.failed_source = Some(FetchSource::Hub);
        let source = planner.source_for(address(2), missing, |_| true, at(1));
        expect_that!(source, eq(FetchSource::Peer(address(1))));
    }

    sender_in_the_own_hall_is_preferred => {
        let mut planner = FetchPlanner::default();
        for number in 1..4 {
            planner.record_poll(address(number), CHANGE_REVISION, at(0));
        }
        let missing = MissingChange { revision: CHANGE_REVISION, bytes: FULL_BYTES, failed_source: None };
        let is_near = |sender| sender == Some(address(3));
        let source = planner.source_for(address(9), missing, is_near, at(0));
        expect_that!(source, eq(FetchSource::Peer(address(3))));
    }
}
