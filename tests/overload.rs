//! Fair shares, refusals at once, and no storm of retries.

mod common;

use common::{Bench, BenchPlan};
use gatepier::clock::{Now, WallTime};
use gatepier::lab::model::Behaviour;
use gatepier::routing::backoff::FailureStreak;
use googletest::prelude::*;
use std::time::{Duration, Instant};

/// Each of two upstreams takes so many requests at a time.
const UPSTREAM_LIMIT: usize = 8;
/// Milliseconds that a request takes.
const TAKES_MS: u64 = 100;

fn small_pool() -> BenchPlan {
    BenchPlan {
        halls: vec![("ikeja", 2)],
        router_extra: format!("upstream_limit = {UPSTREAM_LIMIT}\n"),
        ..BenchPlan::default()
    }
}

/// What came of a load.
#[derive(Default)]
struct Tally {
    good: usize,
    refused: usize,
    slowest_refusal: Duration,
    untold: usize,
}

/// A moment of the steady clock.
fn at(millis: u64) -> Now {
    Now {
        monotonic: Duration::from_millis(millis),
        wall: WallTime(0),
    }
}

/// One short fault of a plain service's only upstream, such as a second in which it took no
/// connection, made it rest for up to 15 s: the 48 of 400 requests under way that failed together
/// counted as 48 failures in a row, and callers were still refused with `no-upstream` 2.5 s later.
#[googletest::test]
fn requests_that_fail_together_make_an_upstream_rest_once() {
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
        "it had begun before the rest"
    );
}

#[googletest::test]
fn probes_that_fail_make_an_upstream_rest_longer_each_time() {
    let mut failures = FailureStreak::default();
    for number in 0..3 {
        failures.record_failure(at(number).monotonic, at(10));
    }
    let mut now = 510;
    for rest in [1000, 2000, 4000, 8000, 15_000, 15_000] {
        expect_that!(failures.is_ejected(at(now)), eq(false));
        failures.record_failure(at(now).monotonic, at(now));
        expect_that!(failures.is_ejected(at(now + rest - 1)), eq(true));
        now += rest;
    }
    failures.record_success();
    failures.record_failure(at(now).monotonic, at(now));
    expect_that!(
        failures.is_ejected(at(now)),
        eq(false),
        "two failures in a row are borne"
    );
}

/// Sends requests in an open loop for a while.
async fn load(bench: &Bench, organisation: &str, rate: f64, duration: Duration) -> Tally {
    let requests = (0u32..)
        .map(|number| f64::from(number) / rate)
        .map(Duration::from_secs_f64);
    let start = Instant::now();
    let sent = requests
        .take_while(|due| *due < duration)
        .map(|due| async move {
            actix_rt::time::sleep_until((start + due).into()).await;
            let began = Instant::now();
            let answer = bench
                .complete("ikeja-1", organisation, common::question("small"))
                .await;
            (answer, began.elapsed())
        });
    let mut tally = Tally::default();
    for (answer, took) in futures::future::join_all(sent).await {
        if answer.status == 200 {
            tally.good += 1;
            continue;
        }
        tally.refused += 1;
        tally.slowest_refusal = tally.slowest_refusal.max(took);
        let told = answer.outcome() == "not-run" && !answer.header("retry-after").is_empty();
        tally.untold += usize::from(!told);
    }
    tally
}

fn slow_models(bench: &Bench) {
    let slow = Behaviour {
        first_token_ms: TAKES_MS,
        token_ms: 0,
        ..Behaviour::default()
    };
    bench
        .models
        .iter()
        .for_each(|model| model.stand_in.set("small/s1", slow));
}

cases! {
    refusals_come_at_once_and_goodput_stays_at_three_times_capacity => async {
        let bench = Bench::start(small_pool()).await;
        slow_models(&bench);
        // 16 at a time of 100 ms each, of which nine tenths are lent out.
        let capacity = (2 * UPSTREAM_LIMIT) as f64 * 1000.0 / TAKES_MS as f64 * 0.9;
        let duration = Duration::from_secs(3);
        let peak = load(&bench, "comics", capacity, duration).await;
        let over = load(&bench, "comics", 3.0 * capacity, duration).await;
        expect_that!(over.good as f64, gt(0.9 * peak.good as f64), "peak {}", peak.good);
        expect_that!(over.refused, gt(0));
        expect_that!(over.untold, eq(0));
        expect_that!(over.slowest_refusal, lt(Duration::from_millis(500)));
        let runs: usize = bench.version_runs().values().sum();
        expect_that!(runs, eq(peak.good + over.good), "nothing ran that was refused");
    };

    flood_of_one_organisation_leaves_the_other_its_share => async {
        let bench = Bench::start(small_pool()).await;
        slow_models(&bench);
        let duration = Duration::from_secs(3);
        let flood = load(&bench, "comics", 600.0, duration);
        let modest = load(&bench, "tales", 20.0, duration);
        let (flood, modest) = futures::join!(flood, modest);
        expect_that!(modest.good, ge(57), "of 60, refused {}", modest.refused);
        expect_that!(flood.refused, gt(0));
    };
}
