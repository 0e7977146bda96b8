//! Placement: which upstream gets a request.

use super::{at, cases, listed};
use gatepier::gateway::attempt::headers::{parse_load, parse_prompt_parts, urgency};
use gatepier::gateway::attempt::upstream::Upstream;
use gatepier::gateway::place::cache_affinity::CacheReplication;
use gatepier::gateway::place::choose::{
    PlacementChoice, PlacementParams, choose_placement, engines_to_compare,
};
use gatepier::gateway::place::engine_cost::{PrefixSource, SharedPrompt};
use gatepier::gateway::place::prefill_rate::{PrefillModel, PrefillRates};
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;

fn upstreams(count: usize) -> Vec<Rc<Upstream>> {
    let make = |number| {
        let hall = if number % 2 == 0 { "ikeja" } else { "yaba" };
        Upstream::new(listed(&format!("i-{number}"), "engine", hall))
    };
    (0..count).map(make).collect()
}

fn params<'a>(prompt: Option<SharedPrompt<'a>>, draw: u64) -> PlacementParams<'a> {
    PlacementParams {
        hall: "ikeja",
        prompt,
        tried: &[],
        seed: draw,
        engines_to_compare: 100,
    }
}

/// A prompt for the most expensive model, five sixths of which are a shared prefix.
fn prompt(shared: &str) -> SharedPrompt<'_> {
    SharedPrompt {
        prefix_key: shared,
        replication: CacheReplication::OneEngine,
        full_prefill: Duration::from_millis(330),
        suffix_prefill: Duration::from_millis(55),
        shared_tokens: 5000.0,
        request_bytes: 0,
        max_pause: None,
    }
}

/// The same for a model whose prefill is fourteen times as fast.
fn fast_prompt(shared: &str) -> SharedPrompt<'_> {
    SharedPrompt {
        replication: CacheReplication::OneEnginePerHall,
        full_prefill: Duration::from_millis(24),
        suffix_prefill: Duration::from_millis(4),
        request_bytes: 6000,
        ..prompt(shared)
    }
}

fn choice(candidates: &[Rc<Upstream>], params: PlacementParams<'_>) -> PlacementChoice {
    choose_placement(candidates, params, at(0)).unwrap()
}

fn chosen(candidates: &[Rc<Upstream>], params: PlacementParams<'_>) -> String {
    choice(candidates, params).upstream.listed().instance
}

const MIDDLE: PrefillModel<'_> = PrefillModel {
    name: "middle",
    price_part: 0.5,
};

cases! {
    // An engine that computes a long prompt makes all its streams pause for as long.
    long_prompts_go_to_engines_without_streams => {
        let candidates = upstreams(2);
        let _stream = candidates[0].begin_request();
        let long = SharedPrompt {
            full_prefill: Duration::from_millis(1200),
            suffix_prefill: Duration::from_millis(1200),
            shared_tokens: 0.0,
            ..fast_prompt("part")
        };
        let placed = |prompt, max_pause| {
            chosen(&candidates, params(Some(SharedPrompt { max_pause, ..prompt }), 1))
        };
        let limit = Some(Duration::from_secs(1));
        expect_that!(placed(long, limit), eq("i-1"));
        expect_that!(placed(long, None), eq("i-0"));
        // A short prompt does not leave its hall for that.
        let short = SharedPrompt { full_prefill: Duration::from_millis(30), suffix_prefill: Duration::from_millis(30), ..long };
        expect_that!(placed(short, limit), eq("i-0"));
    }

    short_wait_does_not_move_a_small_model_prompt_off_its_cached_prefix => {
        // Fails if computing a prefix again costs only the model's prefill time: for the smallest
        // model, a queue of 30 ms then moved a prompt to another engine, and 1.3 million tokens
        // were computed again in a day.
        let candidates = upstreams(20);
        let small = SharedPrompt { replication: CacheReplication::OneEngine, ..fast_prompt("part") };
        let caching = chosen(&candidates, params(Some(small), 1));
        let busy = candidates.iter().find(|found| found.listed().instance == caching).unwrap();
        let _pending = busy.begin_prefill(Duration::from_millis(110));
        expect_that!(chosen(&candidates, params(Some(small), 1)), eq(&caching));
    }

    same_prefix_goes_to_the_same_engine => {
        let candidates = upstreams(20);
        let mut seen: Vec<String> = (0..50)
            .map(|draw| chosen(&candidates, params(Some(prompt("part")), draw)))
            .collect();
        seen.sort();
        seen.dedup();
        expect_that!(seen.len(), eq(1));
    }

    pending_prefills_move_requests_to_another_engine => {
        let candidates = upstreams(20);
        let first = chosen(&candidates, params(Some(prompt("part")), 1));
        let busy = candidates.iter().find(|found| found.listed().instance == first).unwrap();
        let _pending = busy.begin_prefill(Duration::from_millis(2800));
        expect_that!(chosen(&candidates, params(Some(prompt("part")), 1)), not(eq(&first)));
    }

    idle_engine_fetches_the_prefix_from_a_busy_one => {
        // Long prompts of the most expensive model share a prefix, and the engine that has it
        // cached is busy with others. If another engine computed the prefix again, two engines
        // would be filled instead of one.
        let candidates = upstreams(20);
        let caching = choice(&candidates, params(Some(prompt("part")), 1)).upstream;
        expect_that!(choice(&candidates, params(Some(prompt("part")), 1)).prefix_source, eq(PrefixSource::Cached));
        let _pending = caching.begin_prefill(Duration::from_millis(2800));
        let idle = choice(&candidates, params(Some(prompt("part")), 1));
        expect_that!(idle.prefix_source, eq(PrefixSource::Fetched(caching.listed().address)));
        expect_that!(idle.prefill, eq(Duration::from_millis(55)));
    }

    prefix_that_is_fast_to_compute_is_not_fetched => {
        let candidates = upstreams(20);
        let fast = SharedPrompt { replication: CacheReplication::OneEngine, ..fast_prompt("part") };
        let caching = choice(&candidates, params(Some(fast), 1)).upstream;
        let _pending = caching.begin_prefill(Duration::from_millis(2800));
        let other = choice(&candidates, params(Some(fast), 1));
        expect_that!(other.prefix_source, eq(PrefixSource::Computed));
    }

    prefix_is_not_fetched_from_an_engine_in_back_off_or_with_other_weights => {
        let candidates = upstreams(20);
        let caching = choice(&candidates, params(Some(prompt("part")), 1)).upstream;
        caching.record_connect_failure(at(0));
        expect_that!(choice(&candidates, params(Some(prompt("part")), 1)).prefix_source, eq(PrefixSource::Computed));
        let mut listed = caching.listed();
        listed.version = "v2".to_owned();
        caching.update_listing(listed);
        caching.record_connect_success();
        let _pending = caching.begin_prefill(Duration::from_millis(2800));
        expect_that!(choice(&candidates, params(Some(prompt("part")), 1)).prefix_source, eq(PrefixSource::Computed));
    }

    fast_models_cache_a_prefix_in_each_hall_and_stay_there => {
        // Every hall requests the same prefix repeatedly. If one engine cached it for all halls,
        // most requests and answers would cross halls.
        let candidates = upstreams(20);
        for hall in ["ikeja", "yaba"] {
            for draw in 0..20 {
                let params = PlacementParams { hall, ..params(Some(fast_prompt("part")), draw) };
                let found = choice(&candidates, params);
                expect_that!(found.upstream.listed().hall, eq(hall));
                expect_that!(found.prefix_source, eq(PrefixSource::Cached));
            }
        }
    }

    full_hall_sends_prompts_to_the_caching_engine_of_another => {
        let candidates = upstreams(20);
        let yaba = PlacementParams { hall: "yaba", ..params(Some(fast_prompt("part")), 1) };
        let caching_there = choice(&candidates, yaba).upstream.listed().instance;
        let in_hall = candidates.iter().filter(|found| found.listed().hall == "ikeja");
        let _pending: Vec<_> =
            in_hall.map(|found| found.begin_prefill(Duration::from_millis(900))).collect();
        let found = choice(&candidates, params(Some(fast_prompt("part")), 1));
        expect_that!(found.upstream.listed().instance, eq(&caching_there));
    }

    plain_requests_stay_in_their_hall => {
        let candidates = upstreams(10);
        for draw in 0..20 {
            let upstream = choice(&candidates, params(None, draw)).upstream;
            expect_that!(upstream.listed().hall, eq("ikeja"));
        }
    }

    full_hall_sends_requests_to_another => {
        let candidates = upstreams(2);
        let _guards: Vec<_> = (0..4).map(|_| candidates[0].begin_request()).collect();
        expect_that!(chosen(&candidates, params(None, 1)), eq("i-1"));
    }

    upstream_that_refuses_connections_is_in_back_off_until_one_succeeds => {
        let candidates = upstreams(2);
        candidates[0].record_connect_failure(at(0));
        expect_that!(chosen(&candidates, params(None, 1)), eq("i-1"));
        expect_that!(candidates[0].is_backing_off(at(60_000)), eq(true));
        candidates[0].record_connect_success();
        expect_that!(candidates[0].is_backing_off(at(1)), eq(false));
    }

    failing_upstream_is_avoided_and_tried_again_later => {
        let candidates = upstreams(2);
        for _ in 0..6 {
            candidates[0].record_failure(at(0));
        }
        expect_that!(chosen(&candidates, params(None, 1)), eq("i-1"));
        expect_that!(candidates[0].failure_rate(at(60_000)), lt(0.01));
    }

    tried_upstreams_are_not_chosen => {
        let candidates = upstreams(1);
        let tried = [candidates[0].incarnation().clone()];
        let params = PlacementParams { tried: &tried, ..params(None, 1) };
        expect_that!(choose_placement(&candidates, params, at(0)).is_none(), eq(true));
    }

    many_boxes_compare_few_engines => {
        expect_that!(engines_to_compare(9), eq(10));
        expect_that!(engines_to_compare(300), eq(3));
        let candidates = upstreams(90);
        let mut seen: Vec<String> = (0..60)
            .map(|draw| chosen(&candidates, PlacementParams { engines_to_compare: 3, ..params(Some(prompt("")), draw) }))
            .collect();
        seen.sort();
        seen.dedup();
        expect_that!(seen.len(), le(60));
    }

    time_without_data_counts_from_the_last_data => {
        let upstream = &upstreams(1)[0];
        upstream.record_data_received(at(500));
        let silence = upstream.time_without_data(at(100).monotonic, at(900));
        expect_that!(silence.as_millis(), eq(400));
        let silence = upstream.time_without_data(at(800).monotonic, at(900));
        expect_that!(silence.as_millis(), eq(100));
    }

    prefill_rates_start_from_the_price_and_are_learned => {
        let rates = PrefillRates::default();
        expect_that!(rates.prefill_time(MIDDLE, 36_000.0), eq(Duration::from_secs(1)));
        for _ in 0..100 {
            rates.record(MIDDLE, 36_000.0, Duration::from_millis(2025));
        }
        let learned = rates.prefill_time(MIDDLE, 36_000.0).as_secs_f64();
        expect_that!(learned, near(2.0, 0.07));
        let other = PrefillModel { name: "small", price_part: 0.5 };
        expect_that!(rates.prefill_time(other, 36_000.0), eq(Duration::from_secs(1)));
    }

    prefill_rates_are_robust_to_outliers => {
        // Three in ten first events are early, since the engine had the prompt cached after all, or
        // late, since it had other prefills pending.
        let rates = PrefillRates::default();
        for round in 0..200 {
            let took = match round % 10 {
                0 => 30,
                1 | 2 => 20_000,
                _ => 2025,
            };
            rates.record(MIDDLE, 36_000.0, Duration::from_millis(took));
        }
        expect_that!(rates.prefill_time(MIDDLE, 36_000.0).as_secs_f64(), near(2.0, 0.15));
    }

    short_prompts_do_not_change_the_prefill_rate => {
        let rates = PrefillRates::default();
        rates.record(MIDDLE, 1000.0, Duration::from_millis(900));
        expect_that!(rates.prefill_time(MIDDLE, 36_000.0), eq(Duration::from_secs(1)));
    }

    headers_are_parsed_strictly => {
        expect_that!(parse_load("3,0,8").unwrap().slots, eq(8));
        expect_that!(parse_load("3,0"), none());
        expect_that!(parse_load("3,0,8").unwrap().work_time_percent, none());
        expect_that!(parse_load("3,0,8,250").unwrap().work_time_percent, some(eq(250)));
        expect_that!(parse_load("3,0,8,250,7").unwrap().work_time_percent, some(eq(250)));
        expect_that!(parse_load("3,0,8,x"), none());
        expect_that!(parse_load("3,0,8,250,x"), none());
        let parts = parse_prompt_parts("a1:100,b2:nonsense,c3:7");
        expect_that!(parts.len(), eq(2));
    }

    organisations_rank_before_routes => {
        let short = Duration::ZERO;
        expect_that!(urgency(0, 2, short), lt(urgency(1, 0, short)));
        expect_that!(urgency(9, 9, short), eq(9));
        expect_that!(urgency(0, 0, Duration::MAX), eq(9));
    }

    short_prefills_go_ahead_of_long_ones_of_their_rank => {
        // Short prompts of the small model arrive at an engine with pending long prompts of the
        // large model. With the same urgency, each would wait for all those before it.
        let urgency_of = |millis| urgency(0, 1, Duration::from_millis(millis));
        expect_that!(urgency_of(0), eq(urgency_of(20)));
        expect_that!(urgency_of(50), lt(urgency_of(300)));
        expect_that!(urgency_of(300), lt(urgency_of(1300)));
    }
}
