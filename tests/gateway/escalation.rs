//! Whether a smaller model's answer is accepted or a larger model is called.

use super::cases;
use gatepier::gateway::admit::routes::NEUTRAL_RELATIVE_RANK;
use gatepier::gateway::place::escalation::{
    EscalationDecision, ExpectedFirstEvent, StartedAnswer, judge_answer,
};
use googletest::prelude::*;
use std::time::Duration;

const LEFT: Duration = Duration::from_millis(1000);

fn expected(total: u64, ahead: u64) -> ExpectedFirstEvent {
    ExpectedFirstEvent {
        total: Duration::from_millis(total),
        queue_wait: Duration::from_millis(ahead),
        running: 0,
    }
}

fn begun(place: usize, confidence: Option<u32>) -> StartedAnswer {
    StartedAnswer {
        model_index: place,
        confidence,
        rank_fraction: NEUTRAL_RELATIVE_RANK,
    }
}

/// The expected times of three models, with the largest as given.
fn three(largest: ExpectedFirstEvent) -> [ExpectedFirstEvent; 3] {
    [expected(10, 0), expected(40, 0), largest]
}

cases! {
    confident_answers_are_accepted => {
        let expected = three(expected(100, 0));
        expect_that!(judge_answer(begun(0, Some(90)), &expected, LEFT), eq(EscalationDecision::Accept));
        expect_that!(judge_answer(begun(0, None), &expected, LEFT), eq(EscalationDecision::Accept));
        expect_that!(judge_answer(begun(0, Some(10)), &[], LEFT), eq(EscalationDecision::Accept));
    }

    low_confidence_escalates_to_the_largest_model => {
        let verdict = judge_answer(begun(0, Some(20)), &three(expected(100, 0)), LEFT);
        expect_that!(verdict, eq(EscalationDecision::Escalate(2)));
    }

    medium_confidence_escalates_to_the_next_model => {
        let expected = three(expected(100, 0));
        expect_that!(judge_answer(begun(0, Some(45)), &expected, LEFT), eq(EscalationDecision::Escalate(1)));
        expect_that!(judge_answer(begun(1, Some(45)), &expected, LEFT), eq(EscalationDecision::Escalate(2)));
    }

    // Routes differ in the value of their answers relative to the cost of the larger model.
    urgent_routes_get_the_larger_model_at_less_doubt => {
        let expected = three(expected(100, 0));
        let verdict = |rank_fraction, confidence| {
            judge_answer(StartedAnswer { rank_fraction, ..begun(0, Some(confidence)) }, &expected, LEFT)
        };
        expect_that!(verdict(0.0, 58), eq(EscalationDecision::Escalate(1)));
        expect_that!(verdict(0.5, 58), eq(EscalationDecision::Accept));
        expect_that!(verdict(0.5, 50), eq(EscalationDecision::Escalate(1)));
        expect_that!(verdict(1.0, 50), eq(EscalationDecision::Accept));
        expect_that!(verdict(1.0, 44), eq(EscalationDecision::Escalate(1)));
    }

    largest_model_is_final => {
        let expected = three(expected(100, 0));
        expect_that!(judge_answer(begun(2, Some(0)), &expected, LEFT), eq(EscalationDecision::Accept));
    }

    larger_models_that_would_be_late_are_not_called => {
        let late = three(expected(990, 0));
        expect_that!(judge_answer(begun(0, Some(0)), &late, LEFT), eq(EscalationDecision::AcceptUnsure));
        expect_that!(judge_answer(begun(0, Some(25)), &late, LEFT), eq(EscalationDecision::Escalate(1)));
        // Requests from other boxes delay most answers that are expected just in time.
        let barely = three(expected(850, 0));
        expect_that!(judge_answer(begun(0, Some(0)), &barely, LEFT), eq(EscalationDecision::AcceptUnsure));
    }

    larger_models_are_not_called_while_engines_are_full => {
        // When larger models could use the whole objective, they filled all engines.
        let full = three(expected(600, 300));
        expect_that!(judge_answer(begun(0, Some(0)), &full, LEFT), eq(EscalationDecision::AcceptUnsure));
    }
}
