//! What a refusal says is true.

use super::cases;
use gatepier::gateway::answer::refusal::{Execution, RefusalReason, answer, status};
use googletest::prelude::*;

const ALL: [RefusalReason; 12] = [
    RefusalReason::NoConfiguration,
    RefusalReason::Stale,
    RefusalReason::NoRoute,
    RefusalReason::UnknownKey,
    RefusalReason::TooLarge,
    RefusalReason::NoBody,
    RefusalReason::ModelNamed,
    RefusalReason::NoUpstream,
    RefusalReason::Full,
    RefusalReason::Stopping,
    RefusalReason::Deadline,
    RefusalReason::UpstreamFailed,
];

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

cases! {
    what_may_have_run_is_never_called_not_run => {
        let after_a_try = [RefusalReason::NoUpstream, RefusalReason::Full, RefusalReason::Deadline, RefusalReason::UpstreamFailed];
        for why in after_a_try {
            let status = status(why, Execution::Possible).as_u16();
            expect_that!(PROMISES.contains(&status), eq(false), "{why:?} gives {status}");
        }
    }

    what_ran_nowhere_is_called_so => {
        for why in [RefusalReason::NoUpstream, RefusalReason::Full, RefusalReason::Deadline, RefusalReason::Stopping, RefusalReason::Stale] {
            expect_that!(status(why, Execution::Never).as_u16(), eq(503));
        }
    }

    callers_are_told_when_to_come_back => {
        for why in [RefusalReason::NoConfiguration, RefusalReason::Full, RefusalReason::NoUpstream, RefusalReason::Stale, RefusalReason::Stopping] {
            let answer = answer(why, Execution::Never);
            expect_that!(answer.headers().contains_key("retry-after"), eq(true), "{why:?}");
        }
    }

    nobody_is_told_to_come_back_with_what_may_have_run => {
        for why in ALL {
            let answer = answer(why, Execution::Possible);
            expect_that!(answer.headers().contains_key("retry-after"), eq(false), "{why:?}");
        }
    }
}
