//! How fast a large change spreads through fleets of all sizes, and what each box sends.
//!
//! Real hubs' decisions over links that are modelled: each carries `LINK` bytes a second
//! each way, shared by what passes at a time. Boxes ask, fetch and ask again as
//! `gateway::peers::hubs` does; the clock is the test's.

use super::{at, cases};
use gatepier::gateway::peers::fetch_planner::{FetchPlanner, FetchSource, MissingChange};
use googletest::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A link of 10 Mbit/s, in bytes a millisecond.
const LINK: f64 = 1250.0;
/// The revision that brings the change.
const CHANGE: u64 = 9;
/// Of 4,200 routes, 1,400 of them new: told apart from the version before, and whole.
const DIFFERENCE: usize = 20_000;
const WHOLE: usize = 60_000;
/// The time between two questions of a box that is told to ask again, in milliseconds.
const ASK_AGAIN: u64 = 100;
/// The way of a question and its answer together, in milliseconds.
const WAY: u64 = 4;
/// The bound of operators on the deployments of this size, in milliseconds.
const OPERATORS_BOUND: u64 = 3000;

/// A box that lacks the change.
#[derive(Debug)]
enum Standing {
    /// It asks at this time.
    AsksAt(u64),
    /// It fetches from a box; so many bytes have still to come.
    Fetches(SocketAddr, f64),
    Has,
}

#[derive(Debug)]
struct Outcome {
    /// When the last box had the change, in milliseconds.
    last: u64,
    /// The most that one box sent, in bytes, and in any second.
    most_sent: f64,
    most_in_a_second: f64,
}

fn address(number: usize) -> SocketAddr {
    let number = u16::try_from(number).unwrap();
    SocketAddr::from(([10, 0, 0, 1], 1000 + number))
}

/// Spreads a change of so many bytes from two hubs to `boxes` boxes, of which every box
/// for which `is_lost` holds is lost as a sender 50 ms after the start.
fn spread(boxes: usize, bytes: usize, is_lost: impl Fn(usize) -> bool) -> Outcome {
    let hubs = [address(0), address(1)];
    let lost: Vec<SocketAddr> = (2..boxes).filter(|at| is_lost(*at)).map(address).collect();
    let mut trackers = [FetchPlanner::default(), FetchPlanner::default()];
    let mut boxes: HashMap<SocketAddr, Standing> = (2..boxes)
        .map(|number| (address(number), Standing::AsksAt(WAY)))
        .collect();
    let order: Vec<SocketAddr> = (2..boxes.len() + 2).map(address).collect();
    let mut failed_sources: HashMap<SocketAddr, FetchSource> = HashMap::new();
    let mut sent: HashMap<SocketAddr, HashMap<u64, f64>> = HashMap::new();
    for millis in 0..20_000 {
        for (number, receiver) in order.iter().enumerate() {
            let Standing::AsksAt(due) = boxes[receiver] else {
                continue;
            };
            if due > millis || lost.contains(receiver) && millis > 50 {
                continue;
            }
            let hub = number % 2;
            let tracker = &mut trackers[hub];
            tracker.record_poll(*receiver, CHANGE - 1, at(millis));
            let missing = MissingChange {
                revision: CHANGE,
                bytes,
                failed_source: failed_sources.remove(receiver),
            };
            let source = tracker.source_for(*receiver, missing, |_| true, at(millis));
            let standing = match source {
                FetchSource::RetryLater => Standing::AsksAt(millis + ASK_AGAIN),
                FetchSource::Hub => Standing::Fetches(hubs[hub], bytes as f64),
                FetchSource::Peer(sender) => Standing::Fetches(sender, bytes as f64),
            };
            boxes.insert(*receiver, standing);
        }
        let mut receivers: HashMap<SocketAddr, f64> = HashMap::new();
        for standing in boxes.values() {
            if let Standing::Fetches(sender, _) = standing {
                *receivers.entry(*sender).or_default() += 1.0;
            }
        }
        for (number, receiver) in order.iter().enumerate() {
            let Standing::Fetches(sender, left) = boxes[receiver] else {
                continue;
            };
            if lost.contains(&sender) && millis > 50 {
                failed_sources.insert(*receiver, FetchSource::Peer(sender));
                // It has heard nothing for the longest silence.
                boxes.insert(*receiver, Standing::AsksAt(millis + 500));
                continue;
            }
            let part = (LINK / receivers[&sender]).min(left);
            *sent
                .entry(sender)
                .or_default()
                .entry(millis / 1000)
                .or_default() += part;
            let left = left - part;
            boxes.insert(*receiver, Standing::Fetches(sender, left));
            if left <= 0.0 {
                boxes.insert(*receiver, Standing::Has);
                trackers[number % 2].record_poll(*receiver, CHANGE, at(millis + WAY));
                trackers[number % 2].record_fetch_end(*receiver);
            }
        }
        let is_done = |(address, standing): (&SocketAddr, &Standing)| {
            matches!(standing, Standing::Has) || lost.contains(address)
        };
        if boxes.iter().all(is_done) {
            let of_each = || sent.values().map(|seconds| seconds.values().sum::<f64>());
            let seconds = sent.values().flat_map(HashMap::values).copied();
            return Outcome {
                last: millis,
                most_sent: of_each().fold(0.0, f64::max),
                most_in_a_second: seconds.fold(0.0, f64::max),
            };
        }
    }
    panic!("the change did not reach all boxes in 20 s");
}

cases! {
    change_reaches_every_box_in_half_the_operators_bound_at_every_size => {
        for bytes in [DIFFERENCE, WHOLE] {
            for boxes in [6, 30, 91, 300] {
                let outcome = spread(boxes, bytes, |_| false);
                println!("{boxes} boxes, {bytes} bytes: {outcome:?}");
                expect_that!(outcome.last, lt(OPERATORS_BOUND / 2));
                expect_that!(outcome.most_in_a_second, le(1_000_000.0));
                expect_that!(outcome.most_sent, le(500_000.0));
            }
        }
    }

    senders_that_are_lost_cost_their_receivers_one_silence => {
        for boxes in [30, 91, 300] {
            let outcome = spread(boxes, DIFFERENCE, |number| number % 5 == 0);
            println!("{boxes} boxes, a fifth of them lost: {outcome:?}");
            expect_that!(outcome.last, lt(OPERATORS_BOUND));
        }
    }

    box_with_much_to_send_is_given_no_more_receivers => {
        let mut spread = FetchPlanner::default();
        let missing = MissingChange { revision: CHANGE, bytes: WHOLE, failed_source: None };
        spread.record_poll(address(1), CHANGE - 1, at(0));
        let mut ask = |number, millis| spread.source_for(address(number), missing, |_| true, at(millis));
        expect_that!(ask(1, 0), eq(FetchSource::Hub));
        expect_that!(ask(2, 0), eq(FetchSource::RetryLater));
        // The first has not said that it is done, and is not waited for without end.
        expect_that!(ask(2, 2000), eq(FetchSource::Hub));
    }

    box_is_not_sent_again_to_where_its_fetch_failed => {
        let mut spread = FetchPlanner::default();
        spread.record_poll(address(1), CHANGE, at(0));
        let mut missing = MissingChange { revision: CHANGE, bytes: WHOLE, failed_source: None };
        missing.failed_source = Some(FetchSource::Peer(address(1)));
        expect_that!(spread.source_for(address(2), missing, |_| true, at(0)), eq(FetchSource::Hub));
        missing.failed_source = Some(FetchSource::Hub);
        let source = spread.source_for(address(2), missing, |_| true, at(1));
        expect_that!(source, eq(FetchSource::Peer(address(1))));
    }

    sender_of_the_own_hall_goes_first => {
        let mut spread = FetchPlanner::default();
        for number in 1..4 {
            spread.record_poll(address(number), CHANGE, at(0));
        }
        let missing = MissingChange { revision: CHANGE, bytes: WHOLE, failed_source: None };
        let is_near = |sender| sender == Some(address(3));
        let source = spread.source_for(address(9), missing, is_near, at(0));
        expect_that!(source, eq(FetchSource::Peer(address(3))));
    }
}
