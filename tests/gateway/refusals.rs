//! Refusals claim no more than is known: their status codes and when they invite a retry.

use super::cases;
use gatepier::gateway::answer::refusal::{Execution, RefusalReason, response, status};
use googletest::prelude::*;
use std::time::Duration;

const ALL: [RefusalReason; 14] = [
    RefusalReason::NoConfiguration,
    RefusalReason::Stale,
    RefusalReason::NoRoute,
    RefusalReason::UnknownKey,
    RefusalReason::TooLarge,
    RefusalReason::NoBody,
    RefusalReason::ModelNamed,
    RefusalReason::NoUpstream,
    RefusalReason::Full,
    RefusalReason::Overloaded(Some(RETURN)),
    RefusalReason::Stopping,
    RefusalReason::Deadline,
    RefusalReason::UpstreamFailed,
    RefusalReason::NoMemory,
];
const RETURN: Duration = Duration::from_millis(250);

/// Status codes that guarantee that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

cases! {
    request_that_may_have_run_is_never_reported_as_not_run => {
        let after_an_attempt = [
            RefusalReason::NoUpstream,
            RefusalReason::Full,
            RefusalReason::Deadline,
            RefusalReason::UpstreamFailed,
        ];
        for reason in after_an_attempt {
            let status = status(reason, Execution::Possible).as_u16();
            expect_that!(NOT_RUN_STATUSES.contains(&status), eq(false), "{reason:?} gives {status}");
        }
    }

    request_that_ran_nowhere_gets_503 => {
        for reason in [
            RefusalReason::NoUpstream,
            RefusalReason::Full,
            RefusalReason::Deadline,
            RefusalReason::Stopping,
            RefusalReason::Stale,
        ] {
            expect_that!(status(reason, Execution::Never).as_u16(), eq(503));
        }
    }

    temporary_refusals_carry_retry_after => {
        for reason in [
            RefusalReason::NoConfiguration,
            RefusalReason::Full,
            RefusalReason::NoUpstream,
            RefusalReason::Stale,
            RefusalReason::Stopping,
        ] {
            let response = response(reason, Execution::Never);
            expect_that!(response.headers().contains_key("retry-after"), eq(true), "{reason:?}");
        }
    }

    // Callers of an overloaded service come back when room is expected, and not where it is not.
    refusal_under_load_says_when_to_come_back => {
        let retry_after = |come_back| {
            let response = response(RefusalReason::Overloaded(come_back), Execution::Never);
            let value = response.headers().get("retry-after");
            value.map(|value| value.to_str().unwrap().to_owned())
        };
        expect_that!(retry_after(Some(RETURN)), some(eq("0.250")));
        expect_that!(retry_after(None), none());
    }

    request_that_may_have_run_gets_no_retry_after => {
        for reason in ALL {
            let response = response(reason, Execution::Possible);
            expect_that!(response.headers().contains_key("retry-after"), eq(false), "{reason:?}");
        }
    }
}
