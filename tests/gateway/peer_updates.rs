//! Choice of the hubs, and updates that boxes send each other.

use super::{at, cases, listed};
use gatepier::gateway::attempt::upstream::Upstream;
use gatepier::gateway::control::mirror::Mirror;
use gatepier::gateway::control::state::ControlPlaneState;
use gatepier::gateway::control::store::{BoxEntry, Item, Update};
use gatepier::gateway::peers::hubs::choose_hubs;
use gatepier::gateway::peers::messages::rotating_subset;
use gatepier::gateway::peers::packing::PackedItem;
use gatepier::gateway::place::peer_loads::{
    BoxLoad, LongPrefill, LongPrefillOutbox, PeerLoads, report_interval,
};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: Some(b"value".to_vec()),
        revision,
        created: revision,
    }
}

fn entry(name: &str, hall: &str, registered: u64) -> BoxEntry {
    BoxEntry {
        name: name.to_owned(),
        hall: hall.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        link_mbps: 10,
        registered,
    }
}

fn hubs(boxes: &[BoxEntry]) -> Vec<String> {
    let hubs = choose_hubs(boxes.iter());
    hubs.into_iter().map(|hub| hub.name.clone()).collect()
}

fn keys(items: &[PackedItem]) -> Vec<&str> {
    items.iter().map(|item| item.key.as_str()).collect()
}

cases! {
    hubs_are_in_two_halls => {
        let boxes = [entry("c", "yaba", 9), entry("a", "ikeja", 3), entry("b", "ikeja", 4)];
        expect_that!(hubs(&boxes), elements_are![eq("a"), eq("c")]);
    }

    boxes_with_the_widest_links_are_hubs => {
        // Guards against choosing the boxes registered longest: behind a narrow link, a large
        // change arrived a second later, before any other box could get it.
        let wide = |name, hall, registered| BoxEntry {
            link_mbps: 200,
            ..entry(name, hall, registered)
        };
        let boxes = [entry("a", "ikeja", 1), wide("b", "ikeja", 8), wide("c", "ikeja", 7)];
        expect_that!(hubs(&boxes), elements_are![eq("c"), eq("b")]);
        let boxes = [entry("a", "yaba", 1), wide("b", "ikeja", 8), wide("c", "yaba", 9)];
        expect_that!(hubs(&boxes), elements_are![eq("b"), eq("c")]);
    }

    single_hall_has_two_hubs => {
        let boxes = [entry("b", "ikeja", 4), entry("a", "ikeja", 3)];
        expect_that!(hubs(&boxes), elements_are![eq("a"), eq("b")]);
        expect_that!(hubs(&[]), is_empty());
    }

    box_behind_gets_the_missed_changes => {
        let mut mirror = Mirror::default();
        mirror.apply(vec![item("a", 3), item("b", 5)], 5);
        let changes = mirror.changes_after(3, false);
        expect_that!(changes.is_snapshot, eq(false));
        expect_that!(keys(&changes.items), elements_are![eq(&"b")]);
        expect_that!(changes.revision, eq(5));
    }

    box_without_state_gets_a_snapshot => {
        let mut mirror = Mirror::default();
        mirror.apply(vec![item("a", 3), Item::deleted("b", 5)], 5);
        let changes = mirror.changes_after(0, false);
        expect_that!(changes.is_snapshot, eq(true));
        expect_that!(keys(&changes.items), elements_are![eq(&"a")]);
    }

    box_behind_gets_deletions_found_by_a_snapshot => {
        let mut mirror = Mirror::default();
        mirror.apply(vec![item("a", 3), item("b", 4)], 4);
        mirror.apply_snapshot(vec![item("a", 3)], 9);
        let changes = mirror.changes_after(4, false);
        expect_that!(keys(&changes.items), elements_are![eq(&"b")]);
        let mut behind = Mirror::default();
        expect_that!(behind.unpack(changes).unwrap().items[0].is_deleted(), eq(true));
    }

    older_state_of_an_item_is_ignored => {
        let mut mirror = Mirror::default();
        mirror.apply(vec![item("a", 7)], 7);
        expect_that!(mirror.apply(vec![item("a", 6)], 6), is_empty());
        expect_that!(mirror.revision(), eq(7));
    }

    snapshot_does_not_delete_newer_items => {
        let mut mirror = Mirror::default();
        mirror.apply(vec![item("a", 12)], 12);
        expect_that!(mirror.apply_snapshot(Vec::new(), 10), is_empty());
    }

    load_reports_are_rarer_with_more_boxes => {
        expect_that!(report_interval(3), le(Duration::from_millis(150)));
        expect_that!(report_interval(300), ge(Duration::from_secs(4)));
    }

    load_of_other_boxes_counts_until_it_expires => {
        let mut state = ControlPlaneState::default();
        let update = Update::Upstream(Box::new(listed("i-1", "engine", "ikeja")));
        state.apply(update, at(0));
        let upstream = state.available_upstreams("engine", at(0)).remove(0);
        let reading = upstream.begin_prefill(Duration::from_millis(500));
        let counted = upstream.begin_request();
        let report = BoxLoad::collect("other", &state);
        drop((reading, counted));
        expect_that!(upstream.pending_prefill(at(0)), eq(Duration::ZERO));
        let mut loads = PeerLoads::default();
        loads.set_report(report, at(0));
        loads.apply_to_upstreams(&state, at(10));
        expect_that!(upstream.pending_prefill(at(10)), eq(Duration::from_millis(500)));
        expect_that!(upstream.occupancy(at(10)), eq(1));
        loads.apply_to_upstreams(&state, at(5000));
        expect_that!(upstream.pending_prefill(at(5000)), eq(Duration::ZERO));
    }

    long_prefills_are_sent_to_a_rotating_subset_of_bounded_size => {
        let boxes: Vec<SocketAddr> =
            (1..=5).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
        let mut offset = 0;
        expect_that!(rotating_subset(boxes.clone(), 5, &mut offset).len(), eq(5));
        let first = rotating_subset(boxes.clone(), 3, &mut offset);
        let second = rotating_subset(boxes.clone(), 3, &mut offset);
        let ports = |boxes: &[SocketAddr]| boxes.iter().map(SocketAddr::port).collect::<Vec<_>>();
        expect_that!(ports(&first), eq(&vec![1, 2, 3]));
        expect_that!(ports(&second), eq(&vec![4, 5, 1]));
    }

    long_prefill_of_another_box_counts_from_its_start_to_its_end => {
        // Guards against counting only load reports: with 67 boxes they arrive once a second, and
        // boxes queued long prompts behind each other at one engine.
        let mut state = ControlPlaneState::default();
        let update = Update::Upstream(Box::new(listed("i-1", "engine", "ikeja")));
        state.apply(update, at(0));
        let upstream = state.available_upstreams("engine", at(0)).remove(0);
        let outgoing = LongPrefillOutbox::default();
        outgoing.push_if_long("other", &upstream, Duration::from_millis(6));
        outgoing.push_if_long("other", &upstream, Duration::from_millis(500));
        let sent = futures::executor::block_on(outgoing.next());
        expect_that!(sent.len(), eq(1));
        let mut loads = PeerLoads::default();
        loads.add_long_prefill(sent[0], &state, at(0));
        expect_that!(upstream.pending_prefill(at(0)), eq(Duration::from_millis(500)));
        expect_that!(upstream.pending_prefill(at(250)), eq(Duration::from_millis(250)));
        expect_that!(upstream.pending_prefill(at(600)), eq(Duration::ZERO));
    }

    unsent_long_prefills_do_not_accumulate => {
        // Guards against an unbounded queue: a box that cannot bind its socket for peers keeps
        // serving, and kept every long prefill since its start. Old ones are of no use.
        let upstream = Upstream::new(listed("i-1", "engine", "ikeja"));
        let outgoing = LongPrefillOutbox::default();
        for number in 0..100_000 {
            outgoing.push_if_long("this", &upstream, Duration::from_millis(200 + number));
        }
        let sent = futures::executor::block_on(outgoing.next());
        expect_that!(sent.len(), le(1000));
        expect_that!(sent.last().map(LongPrefill::prefill), some(eq(Duration::from_millis(100_199))));
    }
}
