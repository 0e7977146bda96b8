//! Which model answers where load is controlled: what the caller gains against the price and the
//! room that a larger model takes.

use super::cases;
use gatepier::gateway::place::escalation::{EscalationDecision, ExpectedFirstEvent, StartedAnswer};
use gatepier::gateway::place::model_choice::{
    ChoiceSituation, ModelChoice, ModelOutlook, choose_model,
};
use gatepier::gateway::place::model_trials::ModelTrials;
use googletest::prelude::*;
use std::time::{Duration, Instant};

const SMALLEST: usize = 0;
const MIDDLE: usize = 1;
const LARGEST: usize = 2;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn outlook(total: u64, queue: u64, price_part: f64, acceptance: f64) -> ModelOutlook {
    ModelOutlook {
        expected: ExpectedFirstEvent {
            total: ms(total),
            queue_wait: ms(queue),
            running: 0,
        },
        price_part,
        acceptance,
    }
}

/// Three models, of which the largest is expected to take this long behind this queue. The middle
/// one rarely helps.
fn models(total: u64, queue: u64) -> [ModelOutlook; 3] {
    [
        outlook(30, 0, 0.1, 1.0),
        outlook(queue + (total - queue) / 3, queue, 0.5, 0.1),
        outlook(total, queue, 1.0, 1.0),
    ]
}

/// An answer of the smallest model on the most urgent route, with the whole objective of 2 s left.
fn situation(confidence: u32) -> ChoiceSituation {
    ChoiceSituation {
        answer: StartedAnswer {
            model_index: SMALLEST,
            confidence: Some(confidence),
            rank_fraction: 0.0,
        },
        objective: ms(2000),
        objective_left: ms(2000),
        patience_left: ms(15_000),
        pause_limit: Some(ms(1000)),
        runs_left: 2,
        free_budget: 1.0,
    }
}

fn decide(situation: ChoiceSituation, models: &[ModelOutlook]) -> EscalationDecision {
    choose_model(situation, models).decision
}

fn escalates(situation: ChoiceSituation, models: &[ModelOutlook]) -> bool {
    matches!(decide(situation, models), EscalationDecision::Escalate(_))
}

/// The highest confidence at which a larger model is asked.
fn highest_escalated(
    situation: impl Fn(u32) -> ChoiceSituation,
    models: &[ModelOutlook],
) -> Option<u32> {
    (0..=100)
        .rev()
        .find(|confidence| escalates(situation(*confidence), models))
}

cases! {
    idle_engines_answer_hard_requests_well => {
        // In time and without a queue, the bars of the routes alone decide.
        let idle = models(100, 0);
        expect_that!(highest_escalated(situation, &idle), some(eq(59)));
        let least_urgent = |confidence| {
            let mut situation = situation(confidence);
            situation.answer.rank_fraction = 1.0;
            situation
        };
        expect_that!(highest_escalated(least_urgent, &idle), some(eq(45)));
        expect_that!(decide(situation(0), &idle), eq(EscalationDecision::Escalate(LARGEST)));
    }

    full_engines_serve_more_callers => {
        // The longer the queue, the fewer larger models; those in the greatest doubt last.
        let highest = |queue| highest_escalated(situation, &models(300 + queue, queue));
        let by_queue: Vec<_> = [0, 200, 800, 2000].map(highest).to_vec();
        expect_true!(by_queue.is_sorted_by(|one, other| one >= other));
        expect_that!(by_queue.first(), some(some(gt(&50))));
        // Behind a queue as long as the objective, whoever waits is late already.
        expect_that!(by_queue.last(), some(none()));
        let choice = choose_model(situation(10), &models(2300, 2000));
        expect_that!(choice.reason, eq("engines are busy"));
    }

    long_prompts_are_kept_from_engines_whose_streams_they_would_make_pause => {
        // An engine that reads a prompt for more than the longest pause makes all its streams late.
        let with_running = |running| {
            let mut all = models(1200, 0);
            for model in &mut all {
                model.expected.running = running;
            }
            highest_escalated(situation, &all)
        };
        expect_that!(with_running(0), some(gt(40)));
        expect_that!(with_running(1), lt(with_running(0)));
        expect_that!(with_running(12), none());
        // Short prompts do not make streams pause.
        let mut short = models(150, 0);
        short[LARGEST].expected.running = 12;
        expect_true!(escalates(situation(30), &short));
    }

    urgent_routes_keep_larger_models_longest => {
        let busy = models(500, 150);
        let at = |rank_fraction| highest_escalated(|confidence| {
            let mut situation = situation(confidence);
            situation.answer.rank_fraction = rank_fraction;
            situation
        }, &busy);
        expect_that!(at(0.0), gt(at(1.0)));
    }

    long_prompts_that_take_most_of_the_objective_get_the_larger_model => {
        // The fixed bars passed such answers on, for fear of the last fifth of the objective.
        expect_true!(escalates(situation(20), &models(1700, 0)));
        expect_false!(escalates(situation(55), &models(1700, 0)));
    }

    strong_doubt_is_worth_a_late_answer_before_the_deadline => {
        let late = models(2600, 0);
        expect_that!(decide(situation(5), &late), eq(EscalationDecision::Escalate(LARGEST)));
        expect_that!(decide(situation(50), &late), eq(EscalationDecision::AcceptUnsure));
    }

    a_larger_model_close_to_the_deadline_is_not_asked => {
        let impatient = ChoiceSituation { patience_left: ms(3000), ..situation(5) };
        let choice = choose_model(impatient, &[outlook(30, 0, 0.1, 1.0), outlook(2600, 0, 1.0, 1.0)]);
        expect_that!(choice.decision, eq(EscalationDecision::AcceptUnsure));
        expect_that!(choice.reason, eq("no larger model would come before the deadline"));
    }

    an_answer_that_is_late_already_is_judged_by_its_doubt => {
        let late = ChoiceSituation { objective_left: Duration::ZERO, ..situation(5) };
        expect_true!(escalates(late, &models(400, 0)));
    }

    the_last_attempt_goes_to_the_largest_model => {
        // The middle model often does, but if it does not, no attempt is left for the largest.
        let mut all = models(400, 0);
        all[MIDDLE].acceptance = 0.75;
        let last = ChoiceSituation { runs_left: 1, ..situation(5) };
        expect_that!(decide(last, &all), eq(EscalationDecision::Escalate(LARGEST)));
        let none = choose_model(ChoiceSituation { runs_left: 0, ..situation(5) }, &all);
        expect_that!(none.decision, eq(EscalationDecision::AcceptUnsure));
        expect_that!(none.reason, eq("no attempt left"));
    }

    the_middle_model_is_asked_where_it_is_observed_to_do => {
        let with = |acceptance| {
            let mut all = models(400, 0);
            all[MIDDLE].acceptance = acceptance;
            decide(situation(40), &all)
        };
        expect_that!(with(0.95), eq(EscalationDecision::Escalate(MIDDLE)));
        expect_that!(with(0.3), eq(EscalationDecision::Escalate(LARGEST)));
    }

    a_long_prompt_gets_the_middle_model_if_only_that_is_in_time => {
        let mut all = models(9000, 0);
        all[MIDDLE] = outlook(800, 0, 0.5, 0.8);
        expect_that!(decide(situation(30), &all), eq(EscalationDecision::Escalate(MIDDLE)));
    }

    the_middle_model_is_not_asked_for_what_the_largest_would_bring_too_late => {
        // The caller would give up before the largest model answers; the middle one rarely helps.
        let mut all = models(9000, 0);
        all[MIDDLE] = outlook(800, 0, 0.5, 0.05);
        expect_that!(decide(situation(30), &all), eq(EscalationDecision::AcceptUnsure));
    }

    a_nearly_spent_budget_goes_to_the_most_doubtful => {
        let highest = |free_budget| highest_escalated(
            |confidence| ChoiceSituation { free_budget, ..situation(confidence) },
            &models(100, 0),
        );
        let by_budget: Vec<_> = [1.0, 0.2, 0.1, 0.02, 0.0].map(highest).to_vec();
        expect_true!(by_budget.is_sorted_by(|one, other| one >= other));
        expect_that!(highest(0.1), some(lt(46)));
        // Whoever gets nothing from the answer is served until the budget is spent.
        expect_that!(highest(0.0), some(ge(10)));
        let spare = choose_model(ChoiceSituation { free_budget: 0.02, ..situation(50) }, &models(100, 0));
        expect_that!(spare.reason, eq("few repeats left"));
    }

    unknown_prices_leave_the_choice_to_time => {
        let unpriced = models(100, 0).map(|model| ModelOutlook { price_part: 1.0, ..model });
        expect_that!(decide(situation(20), &unpriced), eq(EscalationDecision::Escalate(LARGEST)));
        expect_that!(decide(situation(70), &unpriced), eq(EscalationDecision::Accept));
    }

    answers_without_confidence_and_of_the_largest_model_are_accepted => {
        let all = models(100, 0);
        let silent = StartedAnswer { confidence: None, ..situation(0).answer };
        expect_that!(decide(ChoiceSituation { answer: silent, ..situation(0) }, &all), eq(EscalationDecision::Accept));
        let largest = StartedAnswer { model_index: LARGEST, ..situation(0).answer };
        expect_that!(decide(ChoiceSituation { answer: largest, ..situation(0) }, &all), eq(EscalationDecision::Accept));
        expect_that!(decide(situation(0), &[]), eq(EscalationDecision::Accept));
    }

    figures_without_a_meaning_do_no_harm => {
        let odd = [outlook(0, 0, f64::NAN, f64::NAN), outlook(u64::MAX / 2_000_000, 0, f64::INFINITY, -1.0)];
        let ModelChoice { decision, .. } = choose_model(situation(5), &odd);
        expect_that!(decision, eq(EscalationDecision::AcceptUnsure));
        let zero = ChoiceSituation { objective: Duration::ZERO, objective_left: Duration::ZERO, free_budget: f64::NAN, ..situation(5) };
        let _ = choose_model(zero, &models(100, 50));
    }

    acceptance_of_the_middle_model_is_learned => {
        let trials = ModelTrials::default();
        // Before any answer: as likely as the smaller model thought of itself.
        expect_that!(trials.acceptance("middle", 40), near(0.4, 0.01));
        for _ in 0..40 {
            trials.record("middle", 40, true);
        }
        expect_that!(trials.acceptance("middle", 40), gt(0.9));
        for _ in 0..100 {
            trials.record("middle", 40, false);
        }
        expect_that!(trials.acceptance("middle", 40), lt(0.2));
        expect_that!(trials.acceptance("other", 40), near(0.4, 0.01));
    }

    a_decision_takes_a_few_microseconds => {
        let all = models(400, 20);
        let rounds = 20_000;
        let start = Instant::now();
        let asked = (0..rounds).filter(|n| escalates(situation(n % 60), &all)).count();
        let each = start.elapsed() / rounds;
        expect_that!(asked, gt(0));
        expect_that!(each, lt(Duration::from_micros(10)));
    }
}
