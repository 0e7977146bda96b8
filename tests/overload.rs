//! Tests overload: fair shares, immediate refusals, and no retry storms.

mod common;

use common::{Bench, BenchPlan};
use gatepier::clock::{Now, WallTime};
use gatepier::lab::model::ModelBehaviour;
use gatepier::routing::backoff::FailureStreak;
use googletest::prelude::*;
use std::time::{Duration, Instant};

/// The number of requests that each of two upstreams takes at a time.
const UPSTREAM_LIMIT: usize = 8;
/// How long an upstream takes to answer a request, in milliseconds.
const ANSWER_MS: u64 = 100;

fn small_plan() -> BenchPlan {
    BenchPlan {
        halls: vec![("ikeja", 2)],
        router_extra: format!("upstream_limit = {UPSTREAM_LIMIT}\n"),
        ..BenchPlan::default()
    }
}

/// The results of a load.
#[derive(Default)]
struct LoadResult {
    good: usize,
    refused: usize,
    slowest_refusal: Duration,
    unexplained: usize,
}

/// A time of the monotonic clock, in milliseconds.
fn at(millis: u64) -> Now {
    Now {
        monotonic: Duration::from_millis(millis),
        wall: WallTime(0),
    }
}

/// Guards against an ejection of up to 15 s after one short fault of a plain service's only upstream,
/// such as a second in which it accepted no connection. The 48 of 400 concurrent requests that failed
/// together counted as 48 consecutive failures, and callers were still refused with `no-upstream`
/// 2.5 s later.
#[googletest::test]
fn requests_that_fail_together_eject_an_upstream_once() {
    let mut failures = FailureStreak::default();
    for number in 0..50 {
        failures.record_failure(at(number).monotonic, at(1000 + number));
    }
    expect_that!(failures.is_ejected(at(1400)), eq(true));
    expect_that!(failures.is_ejected(at(1600)), eq(false));
    failures.record_failure(at(40).monotonic, at(1700));
    expect_that!(
        failures.is_ejected(at(1700)),
        eq(false),
        "it started before the ejection"
    );
}

#[googletest::test]
fn failed_probes_eject_an_upstream_for_longer_each_time() {
    let mut failures = FailureStreak::default();
    for number in 0..3 {
        failures.record_failure(at(number).monotonic, at(10));
    }
    let mut now = 510;
    for ejection_ms in [1000, 2000, 4000, 8000, 15_000, 15_000] {
        expect_that!(failures.is_ejected(at(now)), eq(false));
        failures.record_failure(at(now).monotonic, at(now));
        expect_that!(failures.is_ejected(at(now + ejection_ms - 1)), eq(true));
        now += ejection_ms;
    }
    failures.record_success();
    failures.record_failure(at(now).monotonic, at(now));
    expect_that!(
        failures.is_ejected(at(now)),
        eq(false),
        "two consecutive failures are tolerated"
    );
}

/// Sends requests at a fixed rate, without waiting for responses, for a given time.
async fn send_load(bench: &Bench, organisation: &str, rate: f64, duration: Duration) -> LoadResult {
    let requests = (0u32..)
        .map(|number| f64::from(number) / rate)
        .map(Duration::from_secs_f64);
    let start = Instant::now();
    let sent = requests
        .take_while(|due| *due < duration)
        .map(|due| async move {
            actix_rt::time::sleep_until((start + due).into()).await;
            let started = Instant::now();
            let answer = bench
                .complete("ikeja-1", organisation, common::completion_body("small"))
                .await;
            (answer, started.elapsed())
        });
    let mut result = LoadResult::default();
    for (answer, took) in futures::future::join_all(sent).await {
        if answer.status == 200 {
            result.good += 1;
            continue;
        }
        result.refused += 1;
        result.slowest_refusal = result.slowest_refusal.max(took);
        let explained = answer.outcome() == "not-run" && !answer.header("retry-after").is_empty();
        result.unexplained += usize::from(!explained);
    }
    result
}

fn slow_down_models(bench: &Bench) {
    let slow = ModelBehaviour {
        first_token_ms: ANSWER_MS,
        token_ms: 0,
        ..ModelBehaviour::default()
    };
    bench
        .models
        .iter()
        .for_each(|model| model.stand_in.set_behaviour("small/s1", slow));
}

cases! {
    refusals_are_immediate_and_goodput_is_stable_at_three_times_capacity => async {
        let bench = Bench::start(small_plan()).await;
        slow_down_models(&bench);
        // 16 requests at a time of 100 ms each; nine tenths of the capacity may be lent out.
        let capacity = (2 * UPSTREAM_LIMIT) as f64 * 1000.0 / ANSWER_MS as f64 * 0.9;
        let duration = Duration::from_secs(3);
        let peak = send_load(&bench, "comics", capacity, duration).await;
        let over = send_load(&bench, "comics", 3.0 * capacity, duration).await;
        expect_that!(over.good as f64, gt(0.9 * peak.good as f64), "peak {}", peak.good);
        expect_that!(over.refused, gt(0));
        expect_that!(over.unexplained, eq(0));
        expect_that!(over.slowest_refusal, lt(Duration::from_millis(500)));
        let runs: usize = bench.version_runs().values().sum();
        expect_that!(runs, eq(peak.good + over.good), "refused requests do not run");
    };

    flood_from_one_organisation_leaves_the_other_its_share => async {
        let bench = Bench::start(small_plan()).await;
        slow_down_models(&bench);
        let duration = Duration::from_secs(3);
        let flood = send_load(&bench, "comics", 600.0, duration);
        let modest = send_load(&bench, "tales", 20.0, duration);
        let (flood, modest) = futures::join!(flood, modest);
        expect_that!(modest.good, ge(57), "of 60, refused {}", modest.refused);
        expect_that!(flood.refused, gt(0));
    };
}
