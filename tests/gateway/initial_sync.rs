//! How soon a fleet that lost power as a whole has its complete state again.
//!
//! The decisions are those of real boxes; the links are modelled: the store's link is shared by all
//! boxes that read it at a time, and each reader's link by all boxes that it sends to. The figures
//! are those of a fleet of 295 boxes, six halls and 160 engines; time is simulated.

use super::{at, cases};
use gatepier::clock::Now;
use gatepier::gateway::StartupWait;
use gatepier::gateway::control::initial_sync::{StartingBox, SyncPlan, plan_initial_sync};
use gatepier::gateway::control::store::BoxEntry;
use googletest::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The size of the complete state as the store sends it, and as a box packs it, in bytes.
const STORE_SNAPSHOT_BYTES: f64 = 600_000.0;
const PACKED_SNAPSHOT_BYTES: f64 = 60_000.0;
/// The store's link, in bytes per millisecond.
const STORE_LINK_BYTES_PER_MS: f64 = 125_000.0;
/// The time to unpack the complete state with an eighth of a core, in milliseconds.
const UNPACK_MS: u64 = 60;
/// The duration of a store call in milliseconds, normally and with a slow store.
const CALL_MS: u64 = 4;
const SLOW_CALL_MS: u64 = 240;
const HALLS: usize = 6;
const FLEET_SIZES: [usize; 5] = [6, 30, 91, 300, 1000];
/// When each box had its state if all of 300 read the store, in milliseconds: 1.4 s for the bytes
/// alone.
const ALL_READ_300_MS: u64 = 1400;

fn address(number: usize) -> SocketAddr {
    let number = u16::try_from(number).unwrap();
    SocketAddr::from(([10, 0, 0, 1], 1000 + number))
}

/// A fleet with links from 20 to 200 Mbit/s.
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

fn own(entry: &BoxEntry) -> StartingBox {
    StartingBox {
        address: entry.address,
        link_mbps: entry.link_mbps,
    }
}

fn plans(fleet: &[BoxEntry], call_ms: u64) -> HashMap<SocketAddr, SyncPlan> {
    let hall_of = |entry: &BoxEntry| -> Vec<BoxEntry> {
        let same = fleet.iter().filter(|other| other.hall == entry.hall);
        same.cloned().collect()
    };
    let took = Duration::from_millis(call_ms);
    fleet
        .iter()
        .map(|entry| {
            (
                entry.address,
                plan_initial_sync(own(entry), &hall_of(entry), took),
            )
        })
        .collect()
}

#[derive(Debug)]
struct Outcome {
    /// When half of the boxes and when all of them had the complete state, in milliseconds.
    half_synced_ms: u64,
    last_synced_ms: u64,
    /// The number of boxes that read the store.
    store_reads: usize,
    /// The most bytes that one box sent.
    max_sent_bytes: f64,
}

/// Starts all boxes except the dead ones, which are registered but do not come back.
fn simulate_start(boxes: usize, call_ms: u64, is_dead: impl Fn(&BoxEntry) -> bool) -> Outcome {
    let fleet = fleet(boxes);
    let plans = plans(&fleet, call_ms);
    let live: Vec<&BoxEntry> = fleet.iter().filter(|entry| !is_dead(entry)).collect();
    let links: HashMap<SocketAddr, f64> = live
        .iter()
        .map(|entry| (entry.address, f64::from(entry.link_mbps) * 125.0))
        .collect();
    // Registering takes two calls and is awaited for up to 100 ms; reading the hall takes one.
    let plan_ready_ms = (2 * call_ms).min(100) + call_ms;
    let mut synced: HashMap<SocketAddr, u64> = HashMap::new();
    // When the bytes start to arrive, and how many are still missing.
    let mut from_store: HashMap<SocketAddr, (u64, f64)> = HashMap::new();
    let mut from_box: HashMap<SocketAddr, (SocketAddr, f64)> = HashMap::new();
    let mut sent: HashMap<SocketAddr, f64> = HashMap::new();
    let mut store_reads = 0;
    for millis in plan_ready_ms..30_000 {
        for entry in &live {
            let own = entry.address;
            if synced.contains_key(&own) || from_store.contains_key(&own) {
                continue;
            }
            let is_due = match &plans[&own] {
                SyncPlan::ReadStore => true,
                SyncPlan::FetchFromBoxes {
                    store_read_delay, ..
                } => u128::from(millis - plan_ready_ms) >= store_read_delay.as_millis(),
            };
            if is_due && !from_box.contains_key(&own) {
                from_store.insert(own, (millis + call_ms, STORE_SNAPSHOT_BYTES));
                store_reads += 1;
            }
            if let SyncPlan::FetchFromBoxes { readers, .. } = &plans[&own] {
                let is_synced =
                    |reader: &&SocketAddr| synced.get(reader).is_some_and(|since| *since <= millis);
                if let Some(reader) = readers.iter().find(is_synced) {
                    from_box
                        .entry(own)
                        .or_insert((*reader, PACKED_SNAPSHOT_BYTES));
                }
            }
        }
        let active_reads = from_store.values().filter(|(starts, _)| *starts <= millis);
        let store_share = STORE_LINK_BYTES_PER_MS / active_reads.count().max(1) as f64;
        for (own, (starts, left)) in &mut from_store {
            if *starts <= millis {
                *left -= store_share.min(links[own]);
            }
        }
        let mut receivers: HashMap<SocketAddr, f64> = HashMap::new();
        for (reader, _) in from_box.values() {
            *receivers.entry(*reader).or_default() += 1.0;
        }
        for (own, (reader, left)) in &mut from_box {
            let sent_bytes = (links[reader] / receivers[reader])
                .min(links[own])
                .min(*left);
            *left -= sent_bytes;
            *sent.entry(*reader).or_default() += sent_bytes;
        }
        let read: Vec<SocketAddr> = finished(&from_store, |(_, left)| *left <= 0.0);
        let fetched = finished(&from_box, |(_, left)| *left <= 0.0);
        for own in read.into_iter().chain(fetched) {
            from_store.remove(&own);
            from_box.remove(&own);
            synced.entry(own).or_insert(millis + UNPACK_MS);
        }
        if synced.len() == live.len() {
            let mut times: Vec<u64> = synced.into_values().collect();
            times.sort_unstable();
            return Outcome {
                half_synced_ms: times[times.len() / 2],
                last_synced_ms: times[times.len() - 1],
                store_reads,
                max_sent_bytes: sent.into_values().fold(0.0, f64::max),
            };
        }
    }
    panic!("not all boxes were synced after 30 s");
}

fn finished<T>(
    transfers: &HashMap<SocketAddr, T>,
    is_finished: impl Fn(&T) -> bool,
) -> Vec<SocketAddr> {
    let finished = transfers.iter().filter(|(_, state)| is_finished(state));
    finished.map(|(own, _)| *own).collect()
}

fn remaining_wait(caller_waits_ms: u64, now: Now) -> Duration {
    let waiting = StartupWait {
        received: Duration::from_millis(100),
        caller_timeout: Some(Duration::from_millis(caller_waits_ms)),
    };
    waiting.remaining(Duration::ZERO, now)
}

cases! {
    few_boxes_of_each_hall_read_the_store => {
        for boxes in FLEET_SIZES {
            let fleet = fleet(boxes);
            let plans = plans(&fleet, CALL_MS);
            let readers = plans.values().filter(|plan| **plan == SyncPlan::ReadStore).count();
            expect_that!(readers, le(3 * HALLS));
            expect_that!(readers, ge(boxes.min(HALLS)));
        }
    }

    widest_links_read_and_the_others_are_distributed_over_them => {
        let fleet = fleet(300);
        let plans = plans(&fleet, CALL_MS);
        let mut first_queried: HashMap<SocketAddr, usize> = HashMap::new();
        for entry in &fleet {
            match &plans[&entry.address] {
                SyncPlan::ReadStore => expect_that!(entry.link_mbps, eq(200)),
                SyncPlan::FetchFromBoxes { readers, .. } => {
                    expect_that!(readers.len(), eq(3));
                    *first_queried.entry(readers[0]).or_default() += 1;
                }
            }
        }
        // 282 boxes over 18 readers are 16 each.
        expect_that!(first_queried.values().copied().max(), some(le(30)));
    }

    box_without_an_entry_still_gets_a_plan => {
        let hall: Vec<BoxEntry> = fleet(60).into_iter().filter(|entry| entry.hall == "hall-0").collect();
        let stranger = StartingBox { address: address(999), link_mbps: 200 };
        let plan_of = |link_mbps| plan_initial_sync(StartingBox { link_mbps, ..stranger }, &hall, Duration::ZERO);
        expect_that!(plan_of(1000), eq(&SyncPlan::ReadStore));
        expect_that!(plan_initial_sync(stranger, &[], Duration::ZERO), eq(&SyncPlan::ReadStore));
        expect_that!(matches!(plan_of(10), SyncPlan::FetchFromBoxes { .. }), eq(true));
    }

    // Guards against a hall with fewer wide links than readers, in a fleet that starts together: a
    // third of its boxes waited for a narrow reader, half a second instead of a few milliseconds.
    no_box_waits_for_a_narrow_reader_if_wide_ones_exist => {
        let hall: Vec<BoxEntry> = (0..21)
            .map(|number| BoxEntry {
                name: format!("box-{number}"),
                hall: "hall-0".to_owned(),
                address: address(number),
                link_mbps: if number < 2 { 200 } else { 10 },
                registered: 1,
            })
            .collect();
        let plans = plans(&hall, CALL_MS);
        let wide = [address(0), address(1)];
        let reading = plans.values().filter(|plan| **plan == SyncPlan::ReadStore).count();
        expect_that!(reading, eq(2));
        let of_first = |address: &SocketAddr| {
            let queries_it = |plan: &&SyncPlan| matches!(plan, SyncPlan::FetchFromBoxes { readers, .. } if readers[0] == *address);
            plans.values().filter(queries_it).count()
        };
        expect_that!(wide.map(|address| of_first(&address)), elements_are![ge(9), ge(9)]);
    }

    only_wide_box_of_a_hall_is_tried_first => {
        let mut hall: Vec<BoxEntry> = fleet(60).into_iter().filter(|entry| entry.hall == "hall-0").collect();
        for entry in &mut hall {
            entry.link_mbps = 10;
        }
        hall[3].link_mbps = 1000;
        let plans = plans(&hall, CALL_MS);
        let first_queried = plans.values().filter_map(|plan| match plan {
            SyncPlan::ReadStore => None,
            SyncPlan::FetchFromBoxes { readers, .. } => Some(readers[0]),
        });
        let first_queried: Vec<SocketAddr> = first_queried.collect();
        expect_that!(first_queried, each(eq(&hall[3].address)));
        expect_that!(first_queried.len(), eq(hall.len() - 2), "another box reads too, in case that one is dead");
    }

    entries_of_previous_processes_of_a_box_count_once => {
        let entry = &fleet(1)[0];
        let entries: Vec<BoxEntry> = (0..9)
            .map(|process| BoxEntry { name: format!("box-0.{process}"), ..entry.clone() })
            .collect();
        expect_that!(plan_initial_sync(own(entry), &entries, Duration::ZERO), eq(&SyncPlan::ReadStore));
    }

    fleet_that_starts_at_once_is_synced_in_half_a_second => {
        // Guards against every box reading the store.
        for boxes in FLEET_SIZES {
            let outcome = simulate_start(boxes, CALL_MS, |_| false);
            println!("{boxes} boxes: {outcome:?}");
            expect_that!(outcome.half_synced_ms, lt(500));
            expect_that!(outcome.store_reads, le(3 * HALLS + boxes / 3));
            if boxes <= 300 {
                expect_that!(outcome.last_synced_ms, lt(700));
                expect_that!(outcome.store_reads, le(3 * HALLS));
                expect_that!(outcome.max_sent_bytes, le(1_000_000.0));
            }
        }
    }

    slow_store_delays_the_sync_by_a_few_calls => {
        for boxes in FLEET_SIZES {
            let outcome = simulate_start(boxes, SLOW_CALL_MS, |_| false);
            println!("{boxes} boxes, a call takes {SLOW_CALL_MS} ms: {outcome:?}");
            expect_that!(outcome.half_synced_ms, lt(1500));
        }
    }

    dead_readers_delay_less_than_all_boxes_reading_the_store => {
        for boxes in [91, 300] {
            let all_dead = |entry: &BoxEntry| entry.link_mbps == 200;
            let outcome = simulate_start(boxes, CALL_MS, all_dead);
            println!("{boxes} boxes, those with wide links dead: {outcome:?}");
            expect_that!(outcome.last_synced_ms, lt(ALL_READ_300_MS + 300 + 30 * 50));
            expect_that!(outcome.half_synced_ms, lt(ALL_READ_300_MS));
        }
    }

    request_waits_for_a_third_of_its_time_and_at_most_for_the_start => {
        expect_that!(remaining_wait(1500, at(200)), eq(Duration::from_millis(400)));
        expect_that!(remaining_wait(1500, at(700)), eq(Duration::ZERO));
        expect_that!(remaining_wait(20_000, at(200)), eq(Duration::from_millis(1300)));
        expect_that!(remaining_wait(20_000, at(1600)), eq(Duration::ZERO));
        expect_that!(remaining_wait(0, at(200)), eq(Duration::ZERO));
        let silent = StartupWait { received: Duration::ZERO, caller_timeout: None };
        expect_that!(silent.remaining(Duration::ZERO, at(500)), eq(Duration::from_secs(1)));
    }
}
