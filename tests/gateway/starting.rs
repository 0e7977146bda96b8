//! How soon a fleet that lost its power as a whole knows everything again.
//!
//! Real decisions of each box over links that are modelled: the store's link is shared by all
//! that read it at a time, and each box's link by all that it tells. The figures are those of
//! a fleet of 295 boxes, six halls and 160 engines; the clock is the test's.

use super::{at, cases};
use gatepier::clock::Now;
use gatepier::gateway::StartupWait;
use gatepier::gateway::control::first_reads::{FirstRead, Own, plan};
use gatepier::gateway::control::store::BoxEntry;
use googletest::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Everything as the store writes it, and packed by a box, in bytes.
const AS_THE_STORE_WRITES_IT: f64 = 600_000.0;
const PACKED: f64 = 60_000.0;
/// The store's link, in bytes a millisecond.
const STORE_LINK: f64 = 125_000.0;
/// What a box takes to unpack everything with an eighth of a core, in milliseconds.
const UNPACKING: u64 = 60;
/// How long a call to the store takes, in milliseconds, when all is well and on its slow days.
const CALL: u64 = 4;
const SLOW_CALL: u64 = 240;
const HALLS: usize = 6;
const SIZES: [usize; 5] = [6, 30, 91, 300, 1000];
/// When each box knew everything where all of 300 read the store: 1.4 s for the bytes alone.
const ALL_READ_300: u64 = 1400;

fn address(number: usize) -> SocketAddr {
    let number = u16::try_from(number).unwrap();
    SocketAddr::from(([10, 0, 0, 1], 1000 + number))
}

/// The fleet, with links from 20 to 200 Mbit/s.
fn fleet(boxes: usize) -> Vec<BoxEntry> {
    let entry = |number: usize| BoxEntry {
        name: format!("box-{number}"),
        hall: format!("hall-{}", number % HALLS),
        address: address(number),
        link_mbps: [20, 50, 100, 200][number / HALLS % 4],
        registered: 1,
    };
    (0..boxes).map(entry).collect()
}

fn own(entry: &BoxEntry) -> Own {
    Own {
        address: entry.address,
        link_mbps: entry.link_mbps,
    }
}

fn plans(fleet: &[BoxEntry], call: u64) -> HashMap<SocketAddr, FirstRead> {
    let hall_of = |entry: &BoxEntry| -> Vec<BoxEntry> {
        let same = fleet.iter().filter(|other| other.hall == entry.hall);
        same.cloned().collect()
    };
    let took = Duration::from_millis(call);
    fleet
        .iter()
        .map(|entry| (entry.address, plan(own(entry), &hall_of(entry), took)))
        .collect()
}

#[derive(Debug)]
struct Outcome {
    /// When half of the boxes knew everything, and when the last one did, in milliseconds.
    half: u64,
    last: u64,
    /// The boxes that read the store.
    reads: usize,
    /// The most that one box sent, in bytes.
    most_sent: f64,
}

/// Starts all boxes but those that are dead, which register nothing anew.
fn start(boxes: usize, call: u64, is_dead: impl Fn(&BoxEntry) -> bool) -> Outcome {
    let fleet = fleet(boxes);
    let plans = plans(&fleet, call);
    let living: Vec<&BoxEntry> = fleet.iter().filter(|entry| !is_dead(entry)).collect();
    let links: HashMap<SocketAddr, f64> = living
        .iter()
        .map(|entry| (entry.address, f64::from(entry.link_mbps) * 125.0))
        .collect();
    // Registering takes two calls and is waited for up to 100 ms; asking for the hall takes one.
    let planned = (2 * call).min(100) + call;
    let mut knows: HashMap<SocketAddr, u64> = HashMap::new();
    // When the bytes begin to come, and how many have still to come.
    let mut from_store: HashMap<SocketAddr, (u64, f64)> = HashMap::new();
    let mut from_box: HashMap<SocketAddr, (SocketAddr, f64)> = HashMap::new();
    let mut sent: HashMap<SocketAddr, f64> = HashMap::new();
    let mut reads = 0;
    for millis in planned..30_000 {
        for entry in &living {
            let own = entry.address;
            if knows.contains_key(&own) || from_store.contains_key(&own) {
                continue;
            }
            let is_due = match &plans[&own] {
                FirstRead::Store => true,
                FirstRead::Boxes { turn, .. } => u128::from(millis - planned) >= turn.as_millis(),
            };
            if is_due && !from_box.contains_key(&own) {
                from_store.insert(own, (millis + call, AS_THE_STORE_WRITES_IT));
                reads += 1;
            }
            if let FirstRead::Boxes { readers, .. } = &plans[&own] {
                let knowing =
                    |reader: &&SocketAddr| knows.get(reader).is_some_and(|since| *since <= millis);
                if let Some(reader) = readers.iter().find(knowing) {
                    from_box.entry(own).or_insert((*reader, PACKED));
                }
            }
        }
        let coming = from_store.values().filter(|(begins, _)| *begins <= millis);
        let store_part = STORE_LINK / coming.count().max(1) as f64;
        for (own, (begins, left)) in &mut from_store {
            if *begins <= millis {
                *left -= store_part.min(links[own]);
            }
        }
        let mut told: HashMap<SocketAddr, f64> = HashMap::new();
        for (reader, _) in from_box.values() {
            *told.entry(*reader).or_default() += 1.0;
        }
        for (own, (reader, left)) in &mut from_box {
            let part = (links[reader] / told[reader]).min(links[own]).min(*left);
            *left -= part;
            *sent.entry(*reader).or_default() += part;
        }
        let read: Vec<SocketAddr> = done(&from_store, |(_, left)| *left <= 0.0);
        let fetched = done(&from_box, |(_, left)| *left <= 0.0);
        for own in read.into_iter().chain(fetched) {
            from_store.remove(&own);
            from_box.remove(&own);
            knows.entry(own).or_insert(millis + UNPACKING);
        }
        if knows.len() == living.len() {
            let mut times: Vec<u64> = knows.into_values().collect();
            times.sort_unstable();
            return Outcome {
                half: times[times.len() / 2],
                last: times[times.len() - 1],
                reads,
                most_sent: sent.into_values().fold(0.0, f64::max),
            };
        }
    }
    panic!("not all boxes knew everything after 30 s");
}

fn done<T>(under_way: &HashMap<SocketAddr, T>, is_done: impl Fn(&T) -> bool) -> Vec<SocketAddr> {
    let done = under_way.iter().filter(|(_, state)| is_done(state));
    done.map(|(own, _)| *own).collect()
}

fn wait(waits_ms: u64, now: Now) -> Duration {
    let waiting = StartupWait {
        received: Duration::from_millis(100),
        caller_timeout: Some(Duration::from_millis(waits_ms)),
    };
    waiting.remaining(Duration::ZERO, now)
}

cases! {
    few_boxes_of_each_hall_read_the_store => {
        for boxes in SIZES {
            let fleet = fleet(boxes);
            let plans = plans(&fleet, CALL);
            let readers = plans.values().filter(|plan| **plan == FirstRead::Store).count();
            expect_that!(readers, le(3 * HALLS));
            expect_that!(readers, ge(boxes.min(HALLS)));
        }
    }

    widest_links_read_and_the_others_are_spread_over_them => {
        let fleet = fleet(300);
        let plans = plans(&fleet, CALL);
        let mut first_asked: HashMap<SocketAddr, usize> = HashMap::new();
        for entry in &fleet {
            match &plans[&entry.address] {
                FirstRead::Store => expect_that!(entry.link_mbps, eq(200)),
                FirstRead::Boxes { readers, .. } => {
                    expect_that!(readers.len(), eq(3));
                    *first_asked.entry(readers[0]).or_default() += 1;
                }
            }
        }
        // 282 boxes over 18 readers are 16 each.
        expect_that!(first_asked.values().copied().max(), some(le(30)));
    }

    box_whose_entry_is_missing_still_has_its_place => {
        let hall: Vec<BoxEntry> = fleet(60).into_iter().filter(|entry| entry.hall == "hall-0").collect();
        let stranger = Own { address: address(999), link_mbps: 200 };
        let plan_of = |link_mbps| plan(Own { link_mbps, ..stranger }, &hall, Duration::ZERO);
        expect_that!(plan_of(1000), eq(&FirstRead::Store));
        expect_that!(plan(stranger, &[], Duration::ZERO), eq(&FirstRead::Store));
        expect_that!(matches!(plan_of(10), FirstRead::Boxes { .. }), eq(true));
    }

    // Load: the fleet comes back together, and a hall has fewer wide links than readers. A third of
    // its boxes waited for a narrow reader, half a second in place of a few milliseconds.
    nobody_waits_for_a_narrow_reader_where_wide_ones_are => {
        let hall: Vec<BoxEntry> = (0..21)
            .map(|number| BoxEntry {
                name: format!("box-{number}"),
                hall: "hall-0".to_owned(),
                address: address(number),
                link_mbps: if number < 2 { 200 } else { 10 },
                registered: 1,
            })
            .collect();
        let plans = plans(&hall, CALL);
        let wide = [address(0), address(1)];
        let reading = plans.values().filter(|plan| **plan == FirstRead::Store).count();
        expect_that!(reading, eq(2));
        let of_first = |address: &SocketAddr| {
            let asks = |plan: &&FirstRead| matches!(plan, FirstRead::Boxes { readers, .. } if readers[0] == *address);
            plans.values().filter(asks).count()
        };
        expect_that!(wide.map(|address| of_first(&address)), elements_are![ge(9), ge(9)]);
    }

    only_wide_box_of_a_hall_is_asked_first => {
        let mut hall: Vec<BoxEntry> = fleet(60).into_iter().filter(|entry| entry.hall == "hall-0").collect();
        for entry in &mut hall {
            entry.link_mbps = 10;
        }
        hall[3].link_mbps = 1000;
        let plans = plans(&hall, CALL);
        let first_asked = plans.values().filter_map(|plan| match plan {
            FirstRead::Store => None,
            FirstRead::Boxes { readers, .. } => Some(readers[0]),
        });
        let first_asked: Vec<SocketAddr> = first_asked.collect();
        expect_that!(first_asked, each(eq(&hall[3].address)));
        expect_that!(first_asked.len(), eq(hall.len() - 2), "another one reads too, if that one is dead");
    }

    former_lives_of_a_box_count_once => {
        let entry = &fleet(1)[0];
        let lives: Vec<BoxEntry> = (0..9)
            .map(|life| BoxEntry { name: format!("box-0.{life}"), ..entry.clone() })
            .collect();
        expect_that!(plan(own(entry), &lives, Duration::ZERO), eq(&FirstRead::Store));
    }

    fleet_that_starts_at_once_knows_everything_in_half_a_second => {
        // Fails where every box reads the store.
        for boxes in SIZES {
            let outcome = start(boxes, CALL, |_| false);
            println!("{boxes} boxes: {outcome:?}");
            expect_that!(outcome.half, lt(500));
            expect_that!(outcome.reads, le(3 * HALLS + boxes / 3));
            if boxes <= 300 {
                expect_that!(outcome.last, lt(700));
                expect_that!(outcome.reads, le(3 * HALLS));
                expect_that!(outcome.most_sent, le(1_000_000.0));
            }
        }
    }

    slow_store_costs_a_few_calls => {
        for boxes in SIZES {
            let outcome = start(boxes, SLOW_CALL, |_| false);
            println!("{boxes} boxes, a call takes {SLOW_CALL} ms: {outcome:?}");
            expect_that!(outcome.half, lt(1500));
        }
    }

    dead_readers_cost_less_than_reading_everything_everywhere => {
        for boxes in [91, 300] {
            let all_dead = |entry: &BoxEntry| entry.link_mbps == 200;
            let outcome = start(boxes, CALL, all_dead);
            println!("{boxes} boxes, those with wide links dead: {outcome:?}");
            expect_that!(outcome.last, lt(ALL_READ_300 + 300 + 30 * 50));
            expect_that!(outcome.half, lt(ALL_READ_300));
        }
    }

    request_waits_for_a_third_of_its_time_and_no_longer_than_a_start_takes => {
        expect_that!(wait(1500, at(200)), eq(Duration::from_millis(400)));
        expect_that!(wait(1500, at(700)), eq(Duration::ZERO));
        expect_that!(wait(20_000, at(200)), eq(Duration::from_millis(1300)));
        expect_that!(wait(20_000, at(1600)), eq(Duration::ZERO));
        expect_that!(wait(0, at(200)), eq(Duration::ZERO));
        let silent = StartupWait { received: Duration::ZERO, caller_timeout: None };
        expect_that!(silent.remaining(Duration::ZERO, at(500)), eq(Duration::from_secs(1)));
    }
}
