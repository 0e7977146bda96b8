//! A restarted upstream with the same id is a new incarnation, and an invalid entry disables its
//! upstream.

use super::{at, cases, listed};
use gatepier::gateway::attempt::upstream::Upstream;
use gatepier::gateway::control::change::Change;
use gatepier::gateway::control::mirror::Mirror;
use gatepier::gateway::control::state::ControlPlaneState;
use gatepier::gateway::control::store::{Item, ListedUpstream, Update};
use gatepier::gateway::place::peer_loads::{BoxLoad, LongPrefillOutbox, PeerLoads};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::seq::SliceRandom as _;
use rand::{Rng as _, SeedableRng as _};
use std::rc::Rc;
use std::time::Duration;

fn entry_started_at(start: u64) -> ListedUpstream {
    ListedUpstream {
        born: Some(start),
        ..listed("i-1", "engine", "ikeja")
    }
}

fn list(state: &mut ControlPlaneState, listed: ListedUpstream) -> Change {
    state.apply(Update::Upstream(Box::new(listed)), at(0))
}

fn available(state: &ControlPlaneState) -> Vec<Rc<Upstream>> {
    state.available_upstreams("engine", at(0))
}

fn faulty(instance: &str) -> Update {
    Update::UpstreamFaulty {
        instance: instance.to_owned(),
        reason: "its state is unknown".to_owned(),
    }
}

/// A write of the entry, by the state that it leaves.
#[derive(Debug, Clone, Copy, PartialEq)]
enum EntryState {
    Ready(u64),
    Draining(u64),
    Invalid,
    Deleted,
}

impl EntryState {
    fn draw(rng: &mut StdRng, start: u64) -> Self {
        match rng.random_range(0..5) {
            0 => Self::Draining(start),
            1 => Self::Invalid,
            2 => Self::Deleted,
            _ => Self::Ready(start),
        }
    }

    fn item(self, revision: u64) -> Item {
        let text = match self {
            Self::Ready(start) => Some(format!("ready {start}")),
            Self::Draining(start) => Some(format!("draining {start}")),
            Self::Invalid => Some(String::new()),
            Self::Deleted => None,
        };
        Item {
            key: "upstreams/i-1".to_owned(),
            value: text.map(String::into_bytes),
            revision,
            created: 1,
        }
    }
}

/// Decodes an item as an adapter does.
fn decode(item: &Item) -> Update {
    let Some(value) = &item.value else {
        return Update::UpstreamGone("i-1".to_owned());
    };
    let text = String::from_utf8(value.clone()).unwrap();
    let Some((state, start)) = text.split_once(' ') else {
        return faulty("i-1");
    };
    Update::Upstream(Box::new(ListedUpstream {
        draining: state == "draining",
        ..entry_started_at(start.parse().unwrap())
    }))
}

/// Delivers items to a box as hubs do: in any order, some of them twice.
fn deliver(items: &[Item], rng: &mut StdRng) -> ControlPlaneState {
    let mut delivered: Vec<Item> = items.to_vec();
    delivered.extend(items.iter().filter(|_| rng.random_ratio(1, 3)).cloned());
    delivered.shuffle(rng);
    let mut mirror = Mirror::default();
    let mut state = ControlPlaneState::default();
    for item in delivered {
        let revision = item.revision;
        for new_item in mirror.apply(vec![item], revision) {
            state.apply(decode(&new_item), at(0));
        }
    }
    state
}

/// The number of random histories to try, and the fleet sizes for the agreement test.
const HISTORY_COUNT: u64 = 300;
const FLEET_SIZES: [usize; 5] = [6, 30, 91, 300, 1000];

cases! {
    restarted_upstream_has_a_clean_record => {
        // Guards against records kept by id: the new incarnation was suspended, counted as failing
        // and busy, and was expected to read what the previous one had been sent.
        let mut state = ControlPlaneState::default();
        list(&mut state, entry_started_at(1000));
        let previous = available(&state).remove(0);
        let _running = previous.begin_request();
        let _reading = previous.begin_prefill(Duration::from_secs(2));
        previous.record_connect_failure(at(0));
        previous.lapse(at(0));

        let change = list(&mut state, entry_started_at(2000));
        let restarted = available(&state).remove(0);
        expect_that!(change, eq(&Change::UpstreamReborn(restarted.incarnation().clone())));
        expect_that!(restarted.is_backing_off(at(0)), eq(false));
        expect_that!(restarted.needs_connect_success(), eq(false));
        expect_that!(restarted.failure_rate(at(0)), eq(0.0));
        expect_that!(restarted.outstanding(), eq(0));
        expect_that!(restarted.pending_prefill(at(0)), eq(Duration::ZERO));
        expect_that!(restarted.lapsed_at(), none());
    }

    relisted_incarnation_keeps_its_record => {
        let mut state = ControlPlaneState::default();
        list(&mut state, entry_started_at(1000));
        available(&state).remove(0).record_connect_failure(at(0));
        list(&mut state, ListedUpstream { slots: 9, ..entry_started_at(1000) });
        expect_that!(available(&state)[0].is_backing_off(at(0)), eq(true));
    }

    load_reported_for_the_previous_incarnation_does_not_count => {
        // Guards against load reports by id: long after the crash, the new incarnation looked as
        // full as the previous one had been.
        let mut state = ControlPlaneState::default();
        list(&mut state, entry_started_at(1000));
        let previous = available(&state).remove(0);
        let _running = previous.begin_request();
        let reported = BoxLoad::collect("other", &state);
        let long_prefills = LongPrefillOutbox::default();
        long_prefills.push_if_long("other", &previous, Duration::from_secs(1));
        let long_prefill = futures::executor::block_on(long_prefills.next()).remove(0);

        list(&mut state, entry_started_at(2000));
        let restarted = available(&state).remove(0);
        let mut loads = PeerLoads::default();
        loads.set_report(reported, at(0));
        loads.add_long_prefill(long_prefill, &state, at(0));
        loads.apply_to_upstreams(&state, at(0));
        expect_that!(restarted.occupancy(at(0)), eq(0));
        expect_that!(restarted.pending_prefill(at(0)), eq(Duration::ZERO));
    }

    late_misdirected_answer_does_not_remove_the_new_incarnation => {
        // Guards against a misdirected attempt that removes whichever incarnation has the id by
        // then.
        let mut state = ControlPlaneState::default();
        list(&mut state, entry_started_at(1000));
        let previous = available(&state).remove(0);
        list(&mut state, entry_started_at(2000));
        state.remove_upstream(previous.incarnation());
        expect_that!(available(&state).len(), eq(1));
        let restarted = available(&state).remove(0);
        state.remove_upstream(restarted.incarnation());
        expect_that!(available(&state).len(), eq(0));
    }

    drained_upstream_that_restarts_is_used => {
        let mut state = ControlPlaneState::default();
        list(&mut state, ListedUpstream { draining: true, ..entry_started_at(1000) });
        expect_that!(available(&state).len(), eq(0));
        list(&mut state, entry_started_at(2000));
        expect_that!(available(&state).len(), eq(1));
    }

    upstream_whose_clock_was_set_back_is_used_in_its_newest_incarnation => {
        let mut state = ControlPlaneState::default();
        list(&mut state, entry_started_at(2000));
        list(&mut state, entry_started_at(1000));
        expect_that!(available(&state)[0].incarnation().born, some(eq(1000)));
    }

    invalid_entry_disables_the_upstream_and_is_reported_once => {
        // Guards against keeping the last valid entry in force.
        let mut state = ControlPlaneState::default();
        list(&mut state, entry_started_at(1000));
        list(&mut state, listed("i-2", "engine", "ikeja"));
        let change = state.apply(faulty("i-1"), at(0));
        expect_that!(matches!(change, Change::UpstreamFaulty { .. }), eq(true));
        expect_that!(state.apply(faulty("i-1"), at(0)), eq(&Change::Nothing));
        expect_that!(state.faulty_upstream_count(), eq(1));
        expect_that!(available(&state).len(), eq(1));

        list(&mut state, entry_started_at(1000));
        expect_that!(state.faulty_upstream_count(), eq(0));
        expect_that!(available(&state).len(), eq(2));
        state.apply(faulty("i-1"), at(0));
        state.apply(Update::UpstreamGone("i-1".to_owned()), at(0));
        expect_that!(state.faulty_upstream_count(), eq(0));
    }

    entry_that_lost_its_start_time_is_invalid => {
        let mut state = ControlPlaneState::default();
        list(&mut state, entry_started_at(1000));
        let change = list(&mut state, listed("i-1", "engine", "ikeja"));
        expect_that!(matches!(change, Change::UpstreamFaulty { .. }), eq(true));
        expect_that!(available(&state).len(), eq(0));
    }

    any_delivery_order_leads_to_the_newest_incarnation => {
        for seed in 0..HISTORY_COUNT {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut start = 1000;
            let mut writes = Vec::new();
            for revision in 1..rng.random_range(2..9u64) {
                // The upstream may start with a clock that was set back.
                start = match rng.random_range(0..4) {
                    0 => start + 500,
                    1 => start - 10,
                    _ => start,
                };
                writes.push(EntryState::draw(&mut rng, start).item(revision));
            }
            let state = deliver(&writes, &mut rng);
            let newest = decode(writes.last().unwrap());
            let expected = match newest {
                Update::Upstream(listed) if !listed.draining => Some(listed.born),
                _ => None,
            };
            let used = available(&state).first().map(|upstream| upstream.incarnation().born);
            assert_that!(used, eq(expected), "seed {seed}");
        }
    }

    all_boxes_agree_on_the_incarnation_after_many_restarts => {
        for boxes in FLEET_SIZES {
            let mut rng = StdRng::seed_from_u64(boxes as u64);
            let writes: Vec<Item> = (1..=12u64)
                .map(|revision| EntryState::draw(&mut rng, 1000 + revision / 3).item(revision))
                .chain([EntryState::Ready(3000).item(13)])
                .collect();
            for _ in 0..boxes {
                let state = deliver(&writes, &mut rng);
                let start_times: Vec<Option<u64>> =
                    available(&state).iter().map(|upstream| upstream.incarnation().born).collect();
                assert_that!(start_times, eq(&vec![Some(3000)]), "{boxes} boxes");
            }
        }
    }

    // Guards against later entries that make an upstream available again after it announced that it
    // leaves.
    incarnation_that_announced_leaving_is_never_used_again => {
        let mut state = ControlPlaneState::default();
        list(&mut state, entry_started_at(1));
        let incarnation = entry_started_at(1).incarnation();
        expect_that!(state.record_leaving(&incarnation, at(0)), eq(true));
        expect_that!(state.record_leaving(&incarnation, at(1)), eq(false));
        expect_that!(available(&state), is_empty());
        state.apply(faulty("i-1"), at(2));
        list(&mut state, entry_started_at(1));
        expect_that!(available(&state), is_empty());
        state.apply(Update::UpstreamGone("i-1".to_owned()), at(3));
        state.prune_leaving(at(10_000));
        list(&mut state, entry_started_at(1));
        expect_that!(available(&state), is_empty());
        expect_that!(state.is_serving(&incarnation), eq(false));
        list(&mut state, entry_started_at(2));
        expect_that!(available(&state).len(), eq(1));
    }

    announcements_of_upstreams_that_left_long_ago_are_removed => {
        let mut state = ControlPlaneState::default();
        let incarnation = entry_started_at(1).incarnation();
        state.record_leaving(&incarnation, at(0));
        state.prune_leaving(at(601_000));
        expect_that!(state.record_leaving(&incarnation, at(601_000)), eq(true));
    }
}
