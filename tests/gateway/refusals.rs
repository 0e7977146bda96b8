//! Refusals claim no more than is known: their status codes and when they invite a retry.

use super::cases;
use gatepier::gateway::answer::refusal::{Execution, RefusalReason, response, status};
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

    request_that_may_have_run_gets_no_retry_after => {
        for reason in ALL {
            let response = response(reason, Execution::Possible);
            expect_that!(response.headers().contains_key("retry-after"), eq(false), "{reason:?}");
        }
    }
}
