//! For how long an upstream that asked for rest is left alone.

use super::{at, cases, listed};
use gatepier::clock::WallTime;
use gatepier::gateway::attempt::upstream::Upstream;
use gatepier::retry_after;
use gatepier::routing::signals::{ResponseSignals, SignalHeaders};
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;

const DAY: Duration = Duration::from_secs(24 * 3600);

fn upstream() -> Rc<Upstream> {
    Upstream::new(listed("i-1", "engine", "ikeja"))
}

fn parsed(text: &str) -> Option<Duration> {
    // Sunday, 6 November 1994, 08:49:37 GMT.
    retry_after::parse(text, WallTime(784_111_777_000))
}

cases! {
    seconds_with_fractions_are_read => {
        expect_that!(parsed("3"), some(eq(Duration::from_secs(3))));
        expect_that!(parsed(" 0.25 "), some(eq(Duration::from_millis(250))));
    }

    dates_are_read => {
        let date = "Sun, 06 Nov 1994 08:49:40 GMT";
        expect_that!(parsed(date), some(eq(Duration::from_secs(3))));
        expect_that!(parsed("Sun, 06 Nov 1994 08:49:30 GMT"), none());
    }

    values_that_ask_for_nothing_or_cannot_be_read_are_no_rest => {
        for text in ["", "0", "-1", "-0.5", "soon", "NaN", "inf", "3 s", "1,5"] {
            expect_that!(parsed(text), none(), "{text}");
        }
    }

    rests_beyond_all_reason_are_bounded => {
        for text in ["1e300", "99999999999", "Sat, 06 Nov 2094 08:49:37 GMT"] {
            expect_that!(parsed(text), some(eq(DAY)), "{text}");
        }
    }

    rest_lasts_as_long_as_it_was_asked_for => {
        let upstream = upstream();
        expect_that!(upstream.asked_rest_left(at(0)), none());
        upstream.asked_for_rest(Duration::from_secs(3), at(0));
        let left = upstream.asked_rest_left(at(2000));
        expect_that!(left, some(eq(Duration::from_secs(1))));
        expect_that!(upstream.asked_rest_left(at(3000)), none());
    }

    // Guards against refusals of requests that were under way, which may ask for less.
    shorter_rest_does_not_cut_a_longer_one => {
        let upstream = upstream();
        upstream.asked_for_rest(Duration::from_secs(3), at(0));
        upstream.asked_for_rest(Duration::from_secs(1), at(100));
        expect_that!(upstream.is_resting_as_asked(at(2900)), eq(true));
        upstream.asked_for_rest(Duration::from_secs(5), at(200));
        expect_that!(upstream.is_resting_as_asked(at(5100)), eq(true));
    }

    answers_that_were_under_way_do_not_end_a_rest => {
        let upstream = upstream();
        upstream.asked_for_rest(Duration::from_secs(3), at(0));
        upstream.took_request(at(500));
        upstream.answered(at(500));
        expect_that!(upstream.is_resting_as_asked(at(501)), eq(true));
    }

    // Guards against all that waited for the end of a rest coming at the same moment.
    few_requests_go_to_an_upstream_that_has_just_rested => {
        let upstream = upstream();
        upstream.asked_for_rest(Duration::from_secs(3), at(0));
        let first = upstream.enter();
        expect_that!(upstream.asked_rest_left(at(3001)), none());
        let _second = upstream.enter();
        expect_that!(upstream.asked_rest_left(at(3002)), some(gt(Duration::ZERO)));
        upstream.took_request(at(3020));
        expect_that!(upstream.asked_rest_left(at(3021)), none());
        drop(first);
    }

    own_rest_and_asked_rest_do_not_shorten_each_other => {
        let upstream = upstream();
        upstream.unconnectable(at(0));
        upstream.asked_for_rest(Duration::from_millis(100), at(0));
        expect_that!(upstream.rests(at(200)), eq(true));
        expect_that!(upstream.is_resting_as_asked(at(200)), eq(false));
        upstream.asked_for_rest(Duration::from_secs(30), at(300));
        upstream.connectable();
        expect_that!(upstream.is_resting_as_asked(at(10_000)), eq(true));
    }

    signs_are_read_from_the_head_of_an_answer => {
        let read = |status, leaving, retry_after| {
            ResponseSignals::read(status, SignalHeaders { leaving, retry_after }, WallTime(0))
        };
        let refusal = read(503, None, Some("2"));
        expect_that!(refusal.requested_backoff, some(eq(Duration::from_secs(2))));
        expect_that!(refusal.is_refusal, eq(true));
        expect_that!(read(429, None, Some("2")).requested_backoff, some(anything()));
        expect_that!(read(200, None, Some("2")).requested_backoff, none(), "it is no refusal");
        expect_that!(read(503, Some("1"), None).is_leaving, eq(true));
        expect_that!(read(200, Some(" 1 "), None).is_leaving, eq(true));
        expect_that!(read(200, Some("0"), None).is_leaving, eq(false));
        expect_that!(read(200, None, None).is_leaving, eq(false));
    }
}
