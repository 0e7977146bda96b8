//! Whether a smaller model's answer will do.

use super::cases;
use gatepier::gateway::models::{Expected, Verdict, first_model, judge};
use googletest::prelude::*;
use std::time::Duration;

const LEFT: Duration = Duration::from_millis(1000);

fn expected(total: u64, ahead: u64) -> Expected {
    Expected {
        total: Duration::from_millis(total),
        ahead: Duration::from_millis(ahead),
    }
}

cases! {
    sure_answers_are_passed_on => {
        expect_that!(judge(0, 3, Some(90), expected(100, 0), LEFT), eq(Verdict::PassOn));
        expect_that!(judge(0, 3, None, expected(100, 0), LEFT), eq(Verdict::PassOn));
    }

    unsure_answers_go_to_the_largest_model => {
        let verdict = judge(0, 3, Some(20), expected(100, 0), LEFT);
        expect_that!(verdict, eq(Verdict::AskLarger(2)));
    }

    largest_model_is_final => {
        expect_that!(judge(2, 3, Some(0), expected(100, 0), LEFT), eq(Verdict::PassOn));
    }

    late_larger_answers_are_not_asked_for => {
        expect_that!(judge(0, 3, Some(0), expected(990, 0), LEFT), eq(Verdict::PassOn));
    }

    full_engines_get_no_larger_model => {
        // With the whole objective open to larger models, they filled all engines.
        expect_that!(judge(0, 3, Some(0), expected(600, 300), LEFT), eq(Verdict::PassOn));
    }

    largest_is_asked_first_where_only_it_is_in_time => {
        expect_that!(first_model(3, expected(300, 0), expected(800, 0), LEFT), eq(2));
        expect_that!(first_model(3, expected(100, 0), expected(400, 0), LEFT), eq(0));
        expect_that!(first_model(3, expected(300, 0), expected(1200, 0), LEFT), eq(0));
        expect_that!(first_model(0, expected(0, 0), expected(0, 0), LEFT), eq(0));
    }
}
