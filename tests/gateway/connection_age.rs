//! How long connections settle and rest before requests of each kind are written to them.

use super::{at, cases};
use gatepier::gateway::attempt::connection_age::{
    ConnectionState, RestTimes, SettleTime, parse_keep_alive,
};
use googletest::prelude::*;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

cases! {
    settle_time_covers_several_round_trips => {
        let mut settle = SettleTime::default();
        settle.record_connect(ms(2));
        expect_that!(settle.get(), all!(ge(ms(6)), le(ms(20))));
    }

    settle_time_is_bounded => {
        let mut settle = SettleTime::default();
        expect_that!(settle.get(), ge(ms(3)));
        settle.record_connect(Duration::MAX);
        settle.record_reset(Duration::MAX);
        expect_that!(settle.get(), le(ms(40)));
    }

    late_reset_lengthens_the_settle_time_for_some_connections => {
        let mut settle = SettleTime::default();
        settle.record_reset(ms(15));
        expect_that!(settle.get(), ge(ms(30)));
        for _ in 0..30 {
            settle.record_connect(ms(1));
        }
        expect_that!(settle.get(), lt(ms(10)));
    }

    stated_keep_alive_lengthens_both_times => {
        let mut rest = RestTimes::default();
        let unstated = (rest.keep_time(), rest.safe_rest(at(0)));
        expect_that!(unstated, eq((ms(1000), ms(100))));
        rest.record_keep_alive(Duration::from_secs(5));
        expect_that!(rest.keep_time(), eq(ms(2500)));
        expect_that!(rest.safe_rest(at(0)), eq(ms(250)));
    }

    extreme_keep_alive_times_are_bounded => {
        let mut rest = RestTimes::default();
        rest.record_keep_alive(Duration::MAX);
        expect_that!(rest.keep_time(), le(Duration::from_secs(10)));
        expect_that!(rest.safe_rest(at(0)), le(ms(250)));
        rest.record_keep_alive(Duration::ZERO);
        expect_that!(rest.keep_time(), eq(Duration::ZERO));
        expect_that!(rest.safe_rest(at(0)), eq(Duration::ZERO));
    }

    early_close_shortens_the_safe_rest_for_a_while => {
        let mut rest = RestTimes::default();
        rest.record_close(ms(60), at(0));
        rest.record_close(ms(900), at(1));
        expect_that!(rest.safe_rest(at(2)), eq(ms(15)));
        expect_that!(rest.safe_rest(at(60_000)), eq(ms(100)));
    }

    // Otherwise the first close after the shortest one was forgotten would stand for all.
    shortest_close_of_continuous_closes_is_never_forgotten => {
        let mut rest = RestTimes::default();
        for tick in 0..600 {
            let is_short = tick % 50 == 0;
            rest.record_close(if is_short { ms(60) } else { ms(900) }, at(tick * 100));
            expect_that!(rest.safe_rest(at(tick * 100 + 50)), eq(ms(15)));
        }
    }

    connection_settles_then_is_confirmed_then_rests => {
        let state = |rest| ConnectionState::after_rest(ms(rest), ms(5), ms(100));
        expect_that!(state(0), eq(ConnectionState::Settling(ms(5))));
        expect_that!(state(5), eq(ConnectionState::Confirmed));
        expect_that!(state(100), eq(ConnectionState::Confirmed));
        expect_that!(state(101), eq(ConnectionState::Rested));
    }

    new_connection_is_confirmed_even_if_no_rest_is_safe => {
        let state = |rest| ConnectionState::after_rest(ms(rest), ms(5), Duration::ZERO);
        expect_that!(state(6), eq(ConnectionState::Confirmed));
        expect_that!(state(11), eq(ConnectionState::Rested));
    }

    keep_alive_is_parsed => {
        expect_that!(parse_keep_alive("timeout=5"), some(eq(Duration::from_secs(5))));
        expect_that!(parse_keep_alive("max=9, Timeout = 7"), some(eq(Duration::from_secs(7))));
        for text in ["", "timeout", "timeout=-1", "timeout=x", "timeout=99999999999", "max=5"] {
            expect_that!(parse_keep_alive(text), none(), "{text}");
        }
    }
}
