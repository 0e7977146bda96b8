//! What a prompt costs the streams that run beside it.

use super::{at, cases, listed};
use gatepier::gateway::attempt::upstream::Upstream;
use gatepier::gateway::control::store::ListedUpstream;
use gatepier::gateway::place::cache_affinity::CacheReplication;
use gatepier::gateway::place::choose::{PlacementParams, choose_placement};
use gatepier::gateway::place::engine_cost::SharedPrompt;
use gatepier::gateway::place::held_streams::HeldStreams;
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;

const MAX_PAUSE: Duration = Duration::from_secs(1);

fn held(streams: f64) -> HeldStreams {
    HeldStreams {
        streams,
        max_pause: MAX_PAUSE,
    }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns how many of 100 prompts go to the engine with streams, of two.
fn sent_beside_streams(prefill: Duration, max_pause: Option<Duration>) -> usize {
    let engine = |instance| {
        let listed = listed(instance, "engine", "ikeja");
        Upstream::new(ListedUpstream {
            slots: 24,
            ..listed
        })
    };
    let engines = [engine("i-busy"), engine("i-free")];
    let _streams: Vec<_> = (0..4).map(|_| engines[0].begin_request()).collect();
    let goes_beside_streams = |seed: &u64| {
        let key = format!("part-{seed}");
        let params = PlacementParams {
            hall: "ikeja",
            prompt: Some(SharedPrompt {
                prefix_key: &key,
                replication: CacheReplication::OneEngine,
                full_prefill: prefill + millis(100),
                suffix_prefill: prefill,
                shared_tokens: 2000.0,
                request_bytes: 1000,
                max_pause,
            }),
            tried: &[],
            seed: *seed,
            engines_to_compare: 3,
        };
        let choice = choose_placement(&engines, params, at(0)).unwrap();
        Rc::ptr_eq(&choice.upstream, &engines[0])
    };
    (0..100).filter(goes_beside_streams).count()
}

cases! {
    prompts_within_a_third_of_the_bound_cost_streams_nearly_nothing => {
        expect_that!(held(10.0).cost_of(Duration::ZERO, millis(330)), lt(millis(150)));
        expect_that!(held(0.0).cost_of(millis(900), millis(2000)), eq(Duration::ZERO));
    }

    each_stream_that_becomes_late_costs_its_bound => {
        expect_that!(held(3.0).cost_of(Duration::ZERO, MAX_PAUSE), eq(millis(1500)));
        expect_that!(held(3.0).cost_of(Duration::ZERO, millis(3000)), gt(millis(2900)));
    }

    behind_others_a_prompt_costs_what_it_adds => {
        let alone = held(3.0).cost_of(Duration::ZERO, millis(500));
        expect_that!(held(3.0).cost_of(millis(500), millis(500)), gt(alone * 3));
        // Streams that begin between the prompts are held up by the second one.
        expect_that!(held(3.0).cost_of(millis(3000), millis(500)), eq(alone));
    }

    absurd_times_are_bounded => {
        expect_that!(held(1e300).cost_of(Duration::ZERO, Duration::MAX), eq(Duration::MAX));
        expect_that!(held(f64::NAN).cost_of(Duration::MAX, Duration::MAX), eq(Duration::ZERO));
        expect_that!(held(1.0).cost_of(Duration::MAX, Duration::MAX), eq(MAX_PAUSE));
        let no_bound = HeldStreams { max_pause: Duration::ZERO, ..held(3.0) };
        expect_that!(no_bound.cost_of(Duration::ZERO, millis(1)), eq(Duration::ZERO));
    }

    long_prompts_leave_the_engine_of_their_prefix_if_streams_run_there => {
        expect_that!(sent_beside_streams(millis(900), Some(MAX_PAUSE)), eq(0));
        // A short one stays with its prefix, and so does a long one where load is not controlled.
        expect_that!(sent_beside_streams(millis(20), Some(MAX_PAUSE)), ge(30));
        expect_that!(sent_beside_streams(millis(900), None), ge(30));
    }
}
