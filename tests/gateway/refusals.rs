//! What a refusal says is true.

use super::cases;
use gatepier::gateway::answer::refusal::{Ran, Why, answer, status};
use googletest::prelude::*;

const ALL: [Why; 12] = [
    Why::NoConfiguration,
    Why::Stale,
    Why::NoRoute,
    Why::UnknownKey,
    Why::TooLarge,
    Why::NoBody,
    Why::ModelNamed,
    Why::NoUpstream,
    Why::Full,
    Why::Stopping,
    Why::Deadline,
    Why::UpstreamFailed,
];

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

cases! {
    what_may_have_run_is_never_called_not_run => {
        let after_a_try = [Why::NoUpstream, Why::Full, Why::Deadline, Why::UpstreamFailed];
        for why in after_a_try {
            let status = status(why, Ran::Perhaps).as_u16();
            expect_that!(PROMISES.contains(&status), eq(false), "{why:?} gives {status}");
        }
    }

    what_ran_nowhere_is_called_so => {
        for why in [Why::NoUpstream, Why::Full, Why::Deadline, Why::Stopping, Why::Stale] {
            expect_that!(status(why, Ran::Nowhere).as_u16(), eq(503));
        }
    }

    callers_are_told_when_to_come_back => {
        for why in [Why::NoConfiguration, Why::Full, Why::NoUpstream, Why::Stale, Why::Stopping] {
            let answer = answer(why, Ran::Nowhere);
            expect_that!(answer.headers().contains_key("retry-after"), eq(true), "{why:?}");
        }
    }

    nobody_is_told_to_come_back_with_what_may_have_run => {
        for why in ALL {
            let answer = answer(why, Ran::Perhaps);
            expect_that!(answer.headers().contains_key("retry-after"), eq(false), "{why:?}");
        }
    }
}
