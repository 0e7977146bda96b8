//! The retry budget.

use super::{at, cases};
use gatepier::gateway::attempt::exchange::{NotRunReason, TryOutcome};
use gatepier::gateway::attempt::retries::{RetryBound, RetryReason, RetryWindow};
use gatepier::gateway::attempt::tries::TryHistory;
use googletest::prelude::*;
use std::time::Duration;

const BOUND: RetryBound = RetryBound {
    ratio: 0.9,
    slack: 20.0,
    window: Duration::from_secs(10),
};

/// Creates the budget of one of ten boxes.
fn window() -> RetryWindow {
    let mut window = RetryWindow::new(BOUND);
    window.set_box_count(10);
    window
}

fn spend(window: &mut RetryWindow, reason: RetryReason, millis: u64) -> usize {
    (0..1000)
        .take_while(|_| window.try_spend(reason, at(millis)))
        .count()
}

cases! {
    retries_stay_within_the_ratio_and_a_small_slack => {
        let mut window = window();
        for millis in 0..100 {
            window.record_first(at(millis));
        }
        let spent = spend(&mut window, RetryReason::Failure, 200);
        expect_that!(spent, all!(ge(70), le(92)));
    }

    boxes_together_stay_within_the_operators_slack => {
        for boxes in [1, 6, 91, 300] {
            let spent = |_| {
                let mut window = RetryWindow::new(BOUND);
                window.set_box_count(boxes);
                spend(&mut window, RetryReason::Failure, 0) as f64
            };
            let total: f64 = (0..boxes).map(spent).sum();
            expect_that!(total, le(BOUND.slack), "{boxes} boxes");
        }
    }

    box_that_knows_no_other_uses_a_bounded_part_of_the_slack => {
        let mut window = RetryWindow::new(RetryBound { slack: 222.0, ..BOUND });
        window.set_box_count(0);
        expect_that!(spend(&mut window, RetryReason::Failure, 0), le(8));
    }

    // Guards against a box that spends its budget on upstreams which it cannot reach.
    retries_that_were_not_sent_cost_nothing => {
        let mut window = window();
        for millis in 0..1000 {
            expect_that!(window.try_spend(RetryReason::Failure, at(millis)), eq(true));
            window.take_back(at(millis).monotonic);
        }
        let before = spend(&mut window, RetryReason::Failure, 1000);
        // What was sent stays spent, whatever else is taken back.
        window.take_back(at(5000).monotonic);
        expect_that!(spend(&mut window, RetryReason::Failure, 1000), eq(0));
        expect_that!(before, ge(1));
    }

    escalations_leave_budget_for_failures => {
        let mut window = window();
        for millis in 0..100 {
            window.record_first(at(millis));
        }
        spend(&mut window, RetryReason::Escalation, 200);
        expect_that!(window.has_budget(RetryReason::Escalation, at(200)), eq(false));
        expect_that!(window.has_budget(RetryReason::Failure, at(200)), eq(true));
    }

    request_without_a_connection_is_counted_once => {
        let tries = TryHistory::default();
        expect_that!(tries.count_first_once(), eq(true));
        tries.record(&TryOutcome::NotRun(NotRunReason::NoConnection("refused".to_owned())));
        expect_that!(tries.sent_count(), eq(0));
        expect_that!(tries.count_first_once(), eq(false));
    }

    expired_requests_earn_no_budget => {
        let mut window = window();
        for millis in 0..100 {
            window.record_first(at(millis));
        }
        expect_that!(spend(&mut window, RetryReason::Failure, 11_000), le(2));
    }
}
