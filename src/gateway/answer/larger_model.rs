//! Whether an answer that has begun is dropped to ask a larger model.
//!
//! Where load is controlled, [`model_choice`](crate::gateway::place::model_choice) decides;
//! elsewhere the fixed bars of [`escalation`](crate::gateway::place::escalation) do.

use crate::clock::Now;
use crate::crash_ledger::QuarantineState;
use crate::gateway::Gateway;
use crate::gateway::admit::request::AdmittedRequest;
use crate::gateway::attempt::retries::RetryReason;
use crate::gateway::attempt::upstream_answer::Answer;
use crate::gateway::place::escalation::{
    EscalationDecision, ExpectedFirstEvent, StartedAnswer, judge_answer,
};
use crate::gateway::place::model_choice::{
    ChoiceSituation, ModelChoice, ModelOutlook, choose_model,
};

/// The model that answers, and why it was asked.
#[derive(Debug, Clone, Copy, Default)]
pub struct AskedModel {
    /// Its index in the route's list, which begins with the smallest.
    pub index: usize,
    /// The confidence of the smaller model whose answer was dropped.
    pub smaller_confidence: Option<u32>,
}

/// Returns the larger model that should answer instead, if any.
pub fn larger_model(
    gw: &Gateway,
    request: &AdmittedRequest,
    models: &[String],
    asked: AskedModel,
    answer: &Answer,
) -> Option<AskedModel> {
    let now = Now::read();
    let begun = StartedAnswer {
        model_index: asked.index,
        confidence: confidence(gw, answer),
        rank_fraction: gw.relative_rank(&request.route),
    };
    let expected = request.expected_first_events(gw, models, now);
    let controlled = gw.controls_load(&request.service);
    if controlled {
        record_trial(gw, models, asked, begun);
    }
    let choice = match controlled {
        true => choose(gw, request, models, begun, &expected, now),
        false => by_fixed_bars(gw, request, begun, &expected, now),
    };
    let left = request.objective_left(now);
    let unsure = |reason| {
        let telemetry = &gw.telemetry;
        telemetry.record_unsure_answer(request, asked.index, begun.confidence, reason, left);
    };
    match choice.decision {
        EscalationDecision::Accept => None,
        EscalationDecision::AcceptUnsure => {
            unsure(choice.reason);
            None
        }
        EscalationDecision::Escalate(_) if !has_unlimited_upstream(gw, request, now) => {
            unsure("no engine without a limit");
            None
        }
        EscalationDecision::Escalate(larger) => {
            gw.telemetry
                .record_escalation(request, asked.index, larger, begun.confidence);
            Some(AskedModel {
                index: larger,
                smaller_confidence: begun.confidence,
            })
        }
    }
}

/// Decides by what the caller gains, and logs the decision with its inputs.
fn choose(
    gw: &Gateway,
    request: &AdmittedRequest,
    models: &[String],
    begun: StartedAnswer,
    expected: &[ExpectedFirstEvent],
    now: Now,
) -> ModelChoice {
    let outlook = |(model, expected): (&String, &ExpectedFirstEvent)| ModelOutlook {
        expected: *expected,
        price_part: gw.price_part(&request.service, model),
        acceptance: gw
            .model_trials
            .acceptance(model, begun.confidence.unwrap_or_default()),
    };
    let outlooks: Vec<ModelOutlook> = models.iter().zip(expected).map(outlook).collect();
    let situation = ChoiceSituation {
        answer: begun,
        objective: request.route.latency_objective,
        objective_left: request.objective_left(now),
        patience_left: request.time_left(now),
        pause_limit: gw.controlled_pause(&request.service, request.route.kind),
        // The answer may be dropped only if another run is certain to be allowed.
        runs_left: match may_escalate(gw, request, now) && is_not_suspect(gw, request, now) {
            true => request.runs_left(),
            false => 0,
        },
        free_budget: gw.with_retry_window(&request.service, |window| {
            window.free_part(RetryReason::Escalation, now)
        }),
    };
    let choice = choose_model(situation, &outlooks);
    if choice.decision != EscalationDecision::Accept {
        gw.telemetry
            .record_model_choice(request, &situation, &outlooks, &choice);
    }
    choice
}

fn by_fixed_bars(
    gw: &Gateway,
    request: &AdmittedRequest,
    begun: StartedAnswer,
    expected: &[ExpectedFirstEvent],
    now: Now,
) -> ModelChoice {
    let decision = judge_answer(begun, expected, request.objective_left(now));
    let is_larger = matches!(decision, EscalationDecision::Escalate(_));
    let (decision, reason) = match is_larger && !may_escalate(gw, request, now) {
        true => (EscalationDecision::AcceptUnsure, "no retry left"),
        false => (decision, "no larger model would meet the objective"),
    };
    ModelChoice {
        decision,
        gain: 0.0,
        reason,
    }
}

/// Counts whether the answer of a model between the smallest and the largest is good enough.
fn record_trial(gw: &Gateway, models: &[String], asked: AskedModel, begun: StartedAnswer) {
    let is_between = asked.index + 1 < models.len();
    let model = models.get(asked.index).filter(|_| is_between);
    if let (Some(model), Some(smaller), Some(_)) =
        (model, asked.smaller_confidence, begun.confidence)
    {
        let is_good_enough = begun.insufficient_confidence().is_none();
        gw.model_trials.record(model, smaller, is_good_enough);
    }
}

fn confidence(gw: &Gateway, answer: &Answer) -> Option<u32> {
    let value = answer.headers.get(gw.headers.confidence.as_str())?;
    value.to_str().ok()?.trim().parse().ok()
}

/// Returns whether a larger model may be tried. A request on trial runs only once: a second run
/// could crash one more upstream.
fn may_escalate(gw: &Gateway, request: &AdmittedRequest, now: Now) -> bool {
    let has_room = gw.with_retry_window(&request.service, |window| {
        window.has_budget(RetryReason::Escalation, now)
    });
    has_room && request.may_run_again() && !request.is_on_trial()
}

/// Returns whether the request is not suspected to crash upstreams, which could stop its next run.
fn is_not_suspect(gw: &Gateway, request: &AdmittedRequest, now: Now) -> bool {
    gw.quarantine.state(&request.fingerprints, now) == QuarantineState::Clear
}

/// Returns whether an upstream without a rate limit takes requests now. What limited upstreams
/// accept serves more callers with one answer each, and might not be available for this request
/// once its answer is dropped.
fn has_unlimited_upstream(gw: &Gateway, request: &AdmittedRequest, now: Now) -> bool {
    let candidates = gw.candidates(&request.service, &request.session_id, now);
    candidates
        .iter()
        .any(|upstream| upstream.rate_limit().limit().is_none())
}
