//! How long an upstream that sent `Retry-After` is left alone.

use super::{at, cases, listed};
use gatepier::clock::WallTime;
use gatepier::gateway::attempt::upstream::Upstream;
use gatepier::retry_after;
use gatepier::routing::signals::{ResponseSignals, SignalHeaders};
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;

const MAX_RETRY_AFTER: Duration = Duration::from_secs(24 * 3600);

fn upstream() -> Rc<Upstream> {
    Upstream::new(listed("i-1", "engine", "ikeja"))
}

fn parsed(text: &str) -> Option<Duration> {
    // Sunday, 6 November 1994, 08:49:37 GMT.
    retry_after::parse(text, WallTime(784_111_777_000))
}

cases! {
    seconds_with_fractions_are_parsed => {
        expect_that!(parsed("3"), some(eq(Duration::from_secs(3))));
        expect_that!(parsed(" 0.25 "), some(eq(Duration::from_millis(250))));
    }

    dates_are_parsed => {
        let date = "Sun, 06 Nov 1994 08:49:40 GMT";
        expect_that!(parsed(date), some(eq(Duration::from_secs(3))));
        expect_that!(parsed("Sun, 06 Nov 1994 08:49:30 GMT"), none());
    }

    zero_negative_and_invalid_values_are_ignored => {
        for text in ["", "0", "-1", "-0.5", "soon", "NaN", "inf", "3 s", "1,5"] {
            expect_that!(parsed(text), none(), "{text}");
        }
    }

    excessive_values_are_capped => {
        for text in ["1e300", "99999999999", "Sat, 06 Nov 2094 08:49:37 GMT"] {
            expect_that!(parsed(text), some(eq(MAX_RETRY_AFTER)), "{text}");
        }
    }

    retry_after_lasts_as_long_as_requested => {
        let upstream = upstream();
        expect_that!(upstream.retry_after_left(at(0)), none());
        upstream.set_retry_after(Duration::from_secs(3), at(0));
        let left = upstream.retry_after_left(at(2000));
        expect_that!(left, some(eq(Duration::from_secs(1))));
        expect_that!(upstream.retry_after_left(at(3000)), none());
    }

    // Requests in flight may be refused later with a shorter `Retry-After`.
    shorter_retry_after_does_not_shorten_a_longer_one => {
        let upstream = upstream();
        upstream.set_retry_after(Duration::from_secs(3), at(0));
        upstream.set_retry_after(Duration::from_secs(1), at(100));
        expect_that!(upstream.is_in_retry_after(at(2900)), eq(true));
        upstream.set_retry_after(Duration::from_secs(5), at(200));
        expect_that!(upstream.is_in_retry_after(at(5100)), eq(true));
    }

    answers_in_flight_do_not_end_a_retry_after => {
        let upstream = upstream();
        upstream.set_retry_after(Duration::from_secs(3), at(0));
        upstream.record_accepted_request(at(500));
        upstream.record_success(at(500));
        expect_that!(upstream.is_in_retry_after(at(501)), eq(true));
    }

    // Guards against sending all requests that waited for the end of a `Retry-After` at the same
    // moment.
    few_requests_go_to_an_upstream_just_after_its_retry_after => {
        let upstream = upstream();
        upstream.set_retry_after(Duration::from_secs(3), at(0));
        let first = upstream.begin_request();
        expect_that!(upstream.retry_after_left(at(3001)), none());
        let _second = upstream.begin_request();
        expect_that!(upstream.retry_after_left(at(3002)), some(gt(Duration::ZERO)));
        upstream.record_accepted_request(at(3020));
        expect_that!(upstream.retry_after_left(at(3021)), none());
        drop(first);
    }

    failure_back_off_and_retry_after_do_not_shorten_each_other => {
        let upstream = upstream();
        upstream.record_connect_failure(at(0));
        upstream.set_retry_after(Duration::from_millis(100), at(0));
        expect_that!(upstream.is_backing_off(at(200)), eq(true));
        expect_that!(upstream.is_in_retry_after(at(200)), eq(false));
        upstream.set_retry_after(Duration::from_secs(30), at(300));
        upstream.record_connect_success();
        expect_that!(upstream.is_in_retry_after(at(10_000)), eq(true));
    }

    leaving_and_retry_after_are_read_from_the_head_of_an_answer => {
        let read = |status, leaving, retry_after| {
            let headers = SignalHeaders { leaving, retry_after, ..SignalHeaders::default() };
            ResponseSignals::read(status, headers, WallTime(0))
        };
        let refusal = read(503, None, Some("2"));
        expect_that!(refusal.requested_backoff, some(eq(Duration::from_secs(2))));
        expect_that!(refusal.is_refusal, eq(true));
        expect_that!(read(429, None, Some("2")).requested_backoff, some(anything()));
        expect_that!(read(200, None, Some("2")).requested_backoff, none(), "not a refusal");
        expect_that!(read(503, Some("1"), None).is_leaving, eq(true));
        expect_that!(read(200, Some(" 1 "), None).is_leaving, eq(true));
        expect_that!(read(200, Some("0"), None).is_leaving, eq(false));
        expect_that!(read(200, None, None).is_leaving, eq(false));
    }
}
