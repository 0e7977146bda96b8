//! Tests of how long the requests of a route are expected to take.

use gatepier::clock::Now;
use gatepier::gateway::admit::run_times::RunTimes;
use googletest::prelude::*;
use std::time::Duration;

const ROUTE: &str = "manifest";
const SECOND: Duration = Duration::from_secs(1);

fn after(seconds: u32) -> Now {
    Now {
        monotonic: SECOND * seconds,
        ..Now::read()
    }
}

fn record(times: &mut RunTimes, requests: u32, took: Duration, now: Now) {
    for _ in 0..requests {
        times.record(ROUTE, took, now);
    }
}

#[gtest]
fn a_few_requests_tell_nothing() {
    let mut times = RunTimes::default();
    record(&mut times, 9, SECOND, after(1));
    expect_that!(times.expected(ROUTE, after(1)), none());
    record(&mut times, 1, SECOND, after(1));
    expect_that!(times.expected(ROUTE, after(1)), some(ge(SECOND)));
    expect_that!(times.expected("another", after(1)), none());
}

#[gtest]
fn the_longest_of_the_last_minute_counts() {
    let mut times = RunTimes::default();
    record(&mut times, 1, 4 * SECOND, after(1));
    record(&mut times, 20, SECOND, after(29));
    expect_that!(
        times.expected(ROUTE, after(30)),
        some(all!(gt(4 * SECOND), lt(6 * SECOND)))
    );
    record(&mut times, 20, SECOND, after(32));
    expect_that!(times.expected(ROUTE, after(60)), some(gt(4 * SECOND)));
    record(&mut times, 20, SECOND, after(63));
    expect_that!(times.expected(ROUTE, after(63)), some(lt(2 * SECOND)));
}

#[gtest]
fn times_from_long_ago_tell_nothing() {
    let mut times = RunTimes::default();
    record(&mut times, 20, SECOND, after(1));
    expect_that!(times.expected(ROUTE, after(70)), none());
    times.remove_expired(after(70));
    record(&mut times, 9, SECOND, after(71));
    expect_that!(times.expected(ROUTE, after(71)), none());
}
