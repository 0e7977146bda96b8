//! Whether a box takes failed connections for its own fault or for one of the upstreams.

use super::{at, cases, listed};
use gatepier::gateway::attempt::reachability::{ReachChange, Reachability};
use gatepier::gateway::attempt::upstream::Upstream;
use googletest::prelude::*;
use std::io;
use std::rc::Rc;

const SERVICE: &str = "inkmind";

fn upstreams(count: usize) -> Vec<Rc<Upstream>> {
    let instance = |number| format!("i-{number}");
    let upstream = |number| Upstream::new(listed(&instance(number), SERVICE, "ikeja"));
    (0..count).map(upstream).collect()
}

fn reach_of(listed: usize) -> Reachability {
    let mut reach = Reachability::default();
    reach.set_listed(SERVICE, listed);
    reach
}

fn refused() -> io::Error {
    io::ErrorKind::ConnectionRefused.into()
}

fn timed_out() -> io::Error {
    io::ErrorKind::TimedOut.into()
}

cases! {
    service_is_lost_when_three_upstreams_fail_one_after_the_other => {
        let (mut reach, upstreams) = (reach_of(18), upstreams(18));
        expect_that!(reach.record_failure(&upstreams[0], &refused(), at(0)).is_none(), eq(true));
        expect_that!(reach.record_failure(&upstreams[1], &timed_out(), at(1)).is_none(), eq(true));
        expect_that!(reach.is_lost(SERVICE, at(1)), eq(false));
        let change = reach.record_failure(&upstreams[2], &refused(), at(2));
        let Some(ReachChange::Lost(evidence)) = change else {
            panic!("the service is not lost: {change:?}");
        };
        expect_that!((evidence.failed.len(), evidence.refused), eq((3, 2)));
        expect_that!(reach.is_lost(SERVICE, at(2)), eq(true));
        expect_that!(reach.is_lost("reader-api", at(2)), eq(false));
    }

    // The crash of several upstreams does not stop the box from reaching the others.
    service_is_not_lost_while_some_upstream_accepts_connections => {
        let (mut reach, upstreams) = (reach_of(18), upstreams(18));
        for number in 0..9 {
            reach.record_failure(&upstreams[number], &refused(), at(number as u64 * 2));
            if number % 2 == 1 {
                reach.record_success(&upstreams[17], at(number as u64 * 2 + 1));
            }
            expect_that!(reach.is_lost(SERVICE, at(number as u64 * 2 + 1)), eq(false));
        }
    }

    // Upstreams that crashed stay listed for seconds and are probed all the time, also while the box
    // has no requests that would show that it reaches the others.
    upstreams_that_keep_failing_do_not_lose_the_service => {
        let (mut reach, upstreams) = (reach_of(14), upstreams(14));
        for (number, upstream) in upstreams.iter().take(5).enumerate() {
            reach.record_failure(upstream, &refused(), at(number as u64 * 100));
            reach.record_success(&upstreams[13], at(number as u64 * 100 + 50));
        }
        for round in 2..10 {
            for upstream in upstreams.iter().take(5) {
                reach.record_failure(upstream, &refused(), at(round * 400));
            }
            expect_that!(reach.is_lost(SERVICE, at(round * 400)), eq(false));
        }
        // The others fail as well.
        for upstream in &upstreams[5..8] {
            reach.record_failure(upstream, &refused(), at(4000));
        }
        expect_that!(reach.is_lost(SERVICE, at(4000)), eq(true));
    }

    loss_is_certain_once_the_other_upstreams_were_probed => {
        let (mut reach, upstreams) = (reach_of(14), upstreams(14));
        for upstream in upstreams.iter().take(3) {
            reach.record_failure(upstream, &refused(), at(0));
        }
        expect_that!(reach.is_lost(SERVICE, at(100)), eq(true));
        expect_that!(reach.is_lost_for_certain(SERVICE, at(100)), eq(false));
        expect_that!(reach.is_lost_for_certain(SERVICE, at(500)), eq(true));
        reach.record_success(&upstreams[3], at(500));
        expect_that!(reach.is_lost_for_certain(SERVICE, at(500)), eq(false));
    }

    last_upstream_that_is_well_decides => {
        let (mut reach, upstreams) = (reach_of(4), upstreams(4));
        for upstream in &upstreams[..3] {
            reach.record_failure(upstream, &refused(), at(0));
        }
        reach.record_success(&upstreams[3], at(10));
        expect_that!(reach.is_lost(SERVICE, at(10)), eq(false));
        reach.record_failure(&upstreams[3], &refused(), at(20));
        expect_that!(reach.is_lost(SERVICE, at(20)), eq(true));
    }

    one_upstream_that_fails_repeatedly_does_not_lose_the_service => {
        let (mut reach, upstreams) = (reach_of(4), upstreams(4));
        for time in 0..20 {
            reach.record_failure(&upstreams[0], &timed_out(), at(time * 50));
        }
        expect_that!(reach.is_lost(SERVICE, at(1000)), eq(false));
    }

    service_of_two_upstreams_is_lost_when_both_fail => {
        let (mut reach, upstreams) = (reach_of(2), upstreams(2));
        reach.record_failure(&upstreams[0], &refused(), at(0));
        expect_that!(reach.is_lost(SERVICE, at(0)), eq(false));
        reach.record_failure(&upstreams[1], &refused(), at(1));
        expect_that!(reach.is_lost(SERVICE, at(1)), eq(true));
    }

    service_is_regained_with_the_first_connection => {
        let (mut reach, upstreams) = (reach_of(4), upstreams(4));
        for upstream in &upstreams {
            reach.record_failure(upstream, &refused(), at(100));
        }
        let change = reach.record_success(&upstreams[3], at(700));
        let Some(ReachChange::Regained(after)) = change else {
            panic!("the service is not regained: {change:?}");
        };
        expect_that!(after.as_millis(), eq(600));
        expect_that!(reach.is_lost(SERVICE, at(700)), eq(false));
        expect_that!(reach.has_failed_lately(&upstreams[3], at(700)), eq(false));
    }

    old_failures_say_nothing => {
        let (mut reach, upstreams) = (reach_of(18), upstreams(18));
        for (number, upstream) in upstreams.iter().enumerate() {
            // One failure in two seconds, and never a connection in between.
            reach.record_failure(upstream, &timed_out(), at(number as u64 * 2000));
        }
        expect_that!(reach.is_lost(SERVICE, at(36_000)), eq(false));
        reach.expire(at(60_000));
        expect_that!(reach.lost_services(at(60_000)), is_empty());
    }

    failures_are_withdrawn_from_upstreams => {
        let upstream = upstreams(1).remove(0);
        for time in 0..5 {
            upstream.record_connect_failure(at(time));
        }
        expect_that!(upstream.is_backing_off(at(10)), eq(true));
        upstream.withdraw_failures();
        expect_that!(upstream.is_backing_off(at(10)), eq(false));
        expect_that!(upstream.failure_rate(at(10)), eq(0.0));
    }
}
