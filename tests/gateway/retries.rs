//! The budget of repeats.

use super::{at, cases};
use gatepier::gateway::exchange::{NotRun, Tried};
use gatepier::gateway::retries::{Repeat, RetryWindow};
use gatepier::gateway::tries::Tries;
use googletest::prelude::*;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);

fn spend(window: &mut RetryWindow, repeat: Repeat, millis: u64) -> usize {
    (0..1000)
        .take_while(|_| window.take(repeat, at(millis)))
        .count()
}

cases! {
    repeats_stay_under_the_ratio_and_a_small_slack => {
        let mut window = RetryWindow::new(0.9, WINDOW);
        for millis in 0..100 {
            window.first(at(millis));
        }
        let spent = spend(&mut window, Repeat::Failure, 200);
        expect_that!(spent, all!(ge(70), le(92)));
    }

    escalations_leave_a_part_for_failures => {
        let mut window = RetryWindow::new(0.9, WINDOW);
        for millis in 0..100 {
            window.first(at(millis));
        }
        spend(&mut window, Repeat::Escalation, 200);
        expect_that!(window.has_room(Repeat::Escalation, at(200)), eq(false));
        expect_that!(window.has_room(Repeat::Failure, at(200)), eq(true));
    }

    request_without_a_connection_counts_once => {
        let tries = Tries::default();
        expect_that!(tries.count_first(), eq(true));
        tries.record(&Tried::NotRun(NotRun::NoConnection("refused".to_owned())));
        expect_that!(tries.sent(), eq(0));
        expect_that!(tries.count_first(), eq(false));
    }

    old_requests_earn_nothing => {
        let mut window = RetryWindow::new(0.9, WINDOW);
        for millis in 0..100 {
            window.first(at(millis));
        }
        expect_that!(spend(&mut window, Repeat::Failure, 11_000), le(2));
    }
}
