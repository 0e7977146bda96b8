//! An upstream that starts again under its id is another one, and an entry that cannot be
//! read names none.

use super::{at, cases, listed};
use gatepier::gateway::attempt::upstream::Upstream;
use gatepier::gateway::control::mirror::Mirror;
use gatepier::gateway::control::state::{Change, ControlPlaneState};
use gatepier::gateway::control::store::{Item, ListedUpstream, Update};
use gatepier::gateway::place::loads::{BoxLoad, Loads, LongReads};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::seq::SliceRandom as _;
use rand::{Rng as _, SeedableRng as _};
use std::rc::Rc;
use std::time::Duration;

fn born(start: u64) -> ListedUpstream {
    ListedUpstream {
        born: Some(start),
        ..listed("i-1", "engine", "ikeja")
    }
}

fn list(state: &mut ControlPlaneState, listed: ListedUpstream) -> Change {
    state.apply(Update::Upstream(Box::new(listed)), at(0))
}

fn open(state: &ControlPlaneState) -> Vec<Rc<Upstream>> {
    state.available_upstreams("engine", at(0))
}

fn faulty(instance: &str) -> Update {
    Update::UpstreamFaulty {
        instance: instance.to_owned(),
        reason: "its state is unknown".to_owned(),
    }
}

/// Writes of one entry, in the store's order, that end in a certain state.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Written {
    Ready(u64),
    Draining(u64),
    Spoilt,
    Gone,
}

impl Written {
    fn draw(rng: &mut StdRng, start: u64) -> Self {
        match rng.random_range(0..5) {
            0 => Self::Draining(start),
            1 => Self::Spoilt,
            2 => Self::Gone,
            _ => Self::Ready(start),
        }
    }

    fn item(self, revision: u64) -> Item {
        let text = match self {
            Self::Ready(start) => Some(format!("ready {start}")),
            Self::Draining(start) => Some(format!("draining {start}")),
            Self::Spoilt => Some(String::new()),
            Self::Gone => None,
        };
        Item {
            key: "upstreams/i-1".to_owned(),
            value: text.map(String::into_bytes),
            revision,
            created: 1,
        }
    }
}

/// Reads an item as an adapter does.
fn read(item: &Item) -> Update {
    let Some(value) = &item.value else {
        return Update::UpstreamGone("i-1".to_owned());
    };
    let text = String::from_utf8(value.clone()).unwrap();
    let Some((state, start)) = text.split_once(' ') else {
        return faulty("i-1");
    };
    Update::Upstream(Box::new(ListedUpstream {
        draining: state == "draining",
        ..born(start.parse().unwrap())
    }))
}

/// Tells a box of items as hubs do: in any order, some of them twice.
fn tell(items: &[Item], rng: &mut StdRng) -> ControlPlaneState {
    let mut told: Vec<Item> = items.to_vec();
    told.extend(items.iter().filter(|_| rng.random_ratio(1, 3)).cloned());
    told.shuffle(rng);
    let mut mirror = Mirror::default();
    let mut state = ControlPlaneState::default();
    for item in told {
        let revision = item.revision;
        for news in mirror.apply(vec![item], revision) {
            state.apply(read(&news), at(0));
        }
    }
    state
}

/// The orders of events that the property is tried on, by boxes that hear of them.
const HISTORIES: u64 = 300;
const BOXES: [usize; 5] = [6, 30, 91, 300, 1000];

cases! {
    upstream_that_starts_again_is_not_blamed_for_its_former_life => {
        // Fails where an id stands for one upstream for good: the new life rested, counted as
        // failing and busy, and was expected to read what the former one had been sent.
        let mut state = ControlPlaneState::default();
        list(&mut state, born(1000));
        let former = open(&state).remove(0);
        let _running = former.enter();
        let _reading = former.begin_reading(Duration::from_secs(2));
        former.unconnectable(at(0));
        former.lapse(at(0));

        let change = list(&mut state, born(2000));
        let reborn = open(&state).remove(0);
        expect_that!(change, eq(&Change::UpstreamReborn(reborn.life().clone())));
        expect_that!(reborn.rests(at(0)), eq(false));
        expect_that!(reborn.needs_connection(), eq(false));
        expect_that!(reborn.failure_rate(at(0)), eq(0.0));
        expect_that!(reborn.outstanding(), eq(0));
        expect_that!(reborn.unread(at(0)), eq(Duration::ZERO));
        expect_that!(reborn.lapsed_at(), none());
    }

    same_life_that_is_listed_anew_keeps_what_is_known_of_it => {
        let mut state = ControlPlaneState::default();
        list(&mut state, born(1000));
        open(&state).remove(0).unconnectable(at(0));
        list(&mut state, ListedUpstream { slots: 9, ..born(1000) });
        expect_that!(open(&state)[0].rests(at(0)), eq(true));
    }

    what_other_boxes_had_at_the_former_life_does_not_load_the_new_one => {
        // Fails where reports name upstreams by their id: long after the crash the new life
        // looked as full as the former one had been.
        let mut state = ControlPlaneState::default();
        list(&mut state, born(1000));
        let former = open(&state).remove(0);
        let _running = former.enter();
        let reported = BoxLoad::of("other", &state);
        let long_reads = LongReads::default();
        long_reads.note("other", &former, Duration::from_secs(1));
        let long_read = futures::executor::block_on(long_reads.next()).remove(0);

        list(&mut state, born(2000));
        let reborn = open(&state).remove(0);
        let mut loads = Loads::default();
        loads.take(reported, at(0));
        loads.take_long_read(long_read, &state, at(0));
        loads.spread(&state, at(0));
        expect_that!(reborn.occupancy(at(0)), eq(0));
        expect_that!(reborn.unread(at(0)), eq(Duration::ZERO));
    }

    stray_answer_to_a_try_at_the_former_life_leaves_the_new_one_listed => {
        // Fails where a misdirected try drops whatever has the id by then.
        let mut state = ControlPlaneState::default();
        list(&mut state, born(1000));
        let former = open(&state).remove(0);
        list(&mut state, born(2000));
        state.remove_upstream(former.life());
        expect_that!(open(&state).len(), eq(1));
        let reborn = open(&state).remove(0);
        state.remove_upstream(reborn.life());
        expect_that!(open(&state).len(), eq(0));
    }

    drained_id_that_is_ready_again_is_used => {
        let mut state = ControlPlaneState::default();
        list(&mut state, ListedUpstream { draining: true, ..born(1000) });
        expect_that!(open(&state).len(), eq(0));
        list(&mut state, born(2000));
        expect_that!(open(&state).len(), eq(1));
    }

    upstream_whose_clock_was_set_back_is_used_in_its_newest_life => {
        let mut state = ControlPlaneState::default();
        list(&mut state, born(2000));
        list(&mut state, born(1000));
        expect_that!(open(&state)[0].life().born, some(eq(1000)));
    }

    spoilt_entry_names_no_upstream_and_is_reported_once => {
        // Fails where the last good entry stays in force.
        let mut state = ControlPlaneState::default();
        list(&mut state, born(1000));
        list(&mut state, listed("i-2", "engine", "ikeja"));
        let change = state.apply(faulty("i-1"), at(0));
        expect_that!(matches!(change, Change::UpstreamFaulty { .. }), eq(true));
        expect_that!(state.apply(faulty("i-1"), at(0)), eq(&Change::Nothing));
        expect_that!(state.faulty_upstream_count(), eq(1));
        expect_that!(open(&state).len(), eq(1));

        list(&mut state, born(1000));
        expect_that!(state.faulty_upstream_count(), eq(0));
        expect_that!(open(&state).len(), eq(2));
        state.apply(faulty("i-1"), at(0));
        state.apply(Update::UpstreamGone("i-1".to_owned()), at(0));
        expect_that!(state.faulty_upstream_count(), eq(0));
    }

    entry_that_does_not_tell_the_birth_any_more_is_spoilt => {
        let mut state = ControlPlaneState::default();
        list(&mut state, born(1000));
        let change = list(&mut state, listed("i-1", "engine", "ikeja"));
        expect_that!(matches!(change, Change::UpstreamFaulty { .. }), eq(true));
        expect_that!(open(&state).len(), eq(0));
    }

    no_order_of_telling_uses_a_gone_life_or_forgets_a_living_one => {
        for seed in 0..HISTORIES {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut start = 1000;
            let mut written = Vec::new();
            for revision in 1..rng.random_range(2..9u64) {
                // A start may be told with a clock that was set back.
                start = match rng.random_range(0..4) {
                    0 => start + 500,
                    1 => start - 10,
                    _ => start,
                };
                written.push(Written::draw(&mut rng, start).item(revision));
            }
            let state = tell(&written, &mut rng);
            let newest = read(written.last().unwrap());
            let expected = match newest {
                Update::Upstream(listed) if !listed.draining => Some(listed.born),
                _ => None,
            };
            let used = open(&state).first().map(|upstream| upstream.life().born);
            assert_that!(used, eq(expected), "seed {seed}");
        }
    }

    all_boxes_agree_on_the_living_after_a_storm_of_rebirths => {
        for boxes in BOXES {
            let mut rng = StdRng::seed_from_u64(boxes as u64);
            let written: Vec<Item> = (1..=12u64)
                .map(|revision| Written::draw(&mut rng, 1000 + revision / 3).item(revision))
                .chain([Written::Ready(3000).item(13)])
                .collect();
            for _ in 0..boxes {
                let state = tell(&written, &mut rng);
                let lives: Vec<Option<u64>> =
                    open(&state).iter().map(|upstream| upstream.life().born).collect();
                assert_that!(lives, eq(&vec![Some(3000)]), "{boxes} boxes");
            }
        }
    }

    // Guards against entries that bring back an upstream which has said that it leaves.
    life_that_leaves_by_its_word_is_never_open_again => {
        let mut state = ControlPlaneState::default();
        list(&mut state, born(1));
        let life = born(1).life();
        expect_that!(state.record_leaving(&life, at(0)), eq(true));
        expect_that!(state.record_leaving(&life, at(1)), eq(false));
        expect_that!(open(&state), is_empty());
        state.apply(faulty("i-1"), at(2));
        list(&mut state, born(1));
        expect_that!(open(&state), is_empty());
        state.apply(Update::UpstreamGone("i-1".to_owned()), at(3));
        state.prune_leaving(at(10_000));
        list(&mut state, born(1));
        expect_that!(open(&state), is_empty());
        expect_that!(state.is_serving(&life), eq(false));
        list(&mut state, born(2));
        expect_that!(open(&state).len(), eq(1));
    }

    lives_that_left_long_ago_are_forgotten => {
        let mut state = ControlPlaneState::default();
        let life = born(1).life();
        state.record_leaving(&life, at(0));
        state.prune_leaving(at(601_000));
        expect_that!(state.record_leaving(&life, at(601_000)), eq(true));
    }
}
