//! Whether a smaller model's answer will do.

use super::cases;
use gatepier::gateway::admit::routes::NEUTRAL_RELATIVE_RANK;
use gatepier::gateway::place::models::{BegunAnswer, Expected, Verdict, judge};
use googletest::prelude::*;
use std::time::Duration;

const LEFT: Duration = Duration::from_millis(1000);

fn expected(total: u64, ahead: u64) -> Expected {
    Expected {
        total: Duration::from_millis(total),
        ahead: Duration::from_millis(ahead),
    }
}

fn begun(place: usize, confidence: Option<u32>) -> BegunAnswer {
    BegunAnswer {
        place,
        confidence,
        rank_part: NEUTRAL_RELATIVE_RANK,
    }
}

/// What three models are expected to take, the largest as given.
fn three(largest: Expected) -> [Expected; 3] {
    [expected(10, 0), expected(40, 0), largest]
}

cases! {
    sure_answers_are_passed_on => {
        let expected = three(expected(100, 0));
        expect_that!(judge(begun(0, Some(90)), &expected, LEFT), eq(Verdict::PassOn));
        expect_that!(judge(begun(0, None), &expected, LEFT), eq(Verdict::PassOn));
        expect_that!(judge(begun(0, Some(10)), &[], LEFT), eq(Verdict::PassOn));
    }

    unsure_answers_go_to_the_largest_model => {
        let verdict = judge(begun(0, Some(20)), &three(expected(100, 0)), LEFT);
        expect_that!(verdict, eq(Verdict::AskLarger(2)));
    }

    half_sure_answers_go_to_the_next_model => {
        let expected = three(expected(100, 0));
        expect_that!(judge(begun(0, Some(45)), &expected, LEFT), eq(Verdict::AskLarger(1)));
        expect_that!(judge(begun(1, Some(45)), &expected, LEFT), eq(Verdict::AskLarger(2)));
    }

    // Load: kinds of requests whose answers are worth unlike much for what the larger model costs.
    urgent_routes_get_the_larger_model_at_less_doubt => {
        let expected = three(expected(100, 0));
        let verdict = |rank_part, confidence| {
            judge(BegunAnswer { rank_part, ..begun(0, Some(confidence)) }, &expected, LEFT)
        };
        expect_that!(verdict(0.0, 58), eq(Verdict::AskLarger(1)));
        expect_that!(verdict(0.5, 58), eq(Verdict::PassOn));
        expect_that!(verdict(0.5, 50), eq(Verdict::AskLarger(1)));
        expect_that!(verdict(1.0, 50), eq(Verdict::PassOn));
        expect_that!(verdict(1.0, 44), eq(Verdict::AskLarger(1)));
    }

    largest_model_is_final => {
        let expected = three(expected(100, 0));
        expect_that!(judge(begun(2, Some(0)), &expected, LEFT), eq(Verdict::PassOn));
    }

    late_larger_answers_are_not_asked_for => {
        let late = three(expected(990, 0));
        expect_that!(judge(begun(0, Some(0)), &late, LEFT), eq(Verdict::PassOnUnsure));
        expect_that!(judge(begun(0, Some(25)), &late, LEFT), eq(Verdict::AskLarger(1)));
        // What others send meanwhile makes most of those late that are expected just in time.
        let barely = three(expected(850, 0));
        expect_that!(judge(begun(0, Some(0)), &barely, LEFT), eq(Verdict::PassOnUnsure));
    }

    full_engines_get_no_larger_model => {
        // With the whole objective open to larger models, they filled all engines.
        let full = three(expected(600, 300));
        expect_that!(judge(begun(0, Some(0)), &full, LEFT), eq(Verdict::PassOnUnsure));
    }
}
