//! One request on its way through the box.

use super::prompt::Prompt;
use super::routes::{Organisation, Route};
use crate::clock::Now;
use crate::crash_ledger::{CrashRole, QuarantineState};
use crate::fingerprint::Fingerprint;
use crate::gateway::Gateway;
use crate::gateway::answer::refusal::Ran;
use crate::gateway::attempt::connect::http1_types;
use crate::gateway::attempt::crash_detection::InterruptedRun;
use crate::gateway::attempt::exchange::{
    NotRunReason, TryOptions, TryOutcome, UnknownReason, UpstreamRequest, try_upstream,
};
use crate::gateway::attempt::headers::{ANY_MODEL, urgency};
use crate::gateway::attempt::response_timeout::ResponseTimeout;
use crate::gateway::attempt::retries::RetryReason;
use crate::gateway::attempt::tries::TryHistory;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::control::store::UpstreamLife;
use crate::gateway::place::cache_affinity::CacheReplication;
use crate::gateway::place::candidates::BackOff;
use crate::gateway::place::choose::{
    PlacementChoice, PlacementParams, choose_for_trial, choose_placement, engines_to_compare,
    stable_hash,
};
use crate::gateway::place::engine_cost::{PrefixSource, SharedPrompt};
use crate::gateway::place::escalation::ExpectedFirstEvent;
use crate::gateway::place::prefill_rate;
use crate::gateway::versions::local_statistics::ResponseTimer;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// What callers are told of the time: an upstream should end a little before the router
/// gives up, so that its own last word still gets through.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// The part of the objective for which a request that ran nowhere is offered again and
/// again before it is refused; a later refusal helps the caller less than waiting on.
const OFFER_PART: u32 = 4;

/// A request that was admitted, and what has come of it so far.
#[derive(Debug)]
pub struct Job {
    /// The caller's id of this attempt.
    pub request_id: String,
    /// What tells that another send is the same request.
    pub fingerprint: Fingerprint,
    /// The route.
    pub route: Arc<Route>,
    /// The version of the configuration that led to the route.
    pub config_version: u64,
    /// The service that the route led to.
    pub service: String,
    /// Who sent it, where keys are asked for.
    pub organisation: Option<Organisation>,
    /// The method.
    pub method: http1_types::Method,
    /// The path with its query.
    pub target: String,
    /// The caller's headers that pass on.
    pub headers: http1_types::HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When the head had come.
    pub received: Duration,
    /// When the caller or the operators want an end.
    pub deadline: Duration,
    /// The prompt, on routes to model engines.
    pub prompt: Prompt,
    /// The id of the session, or of the request where it belongs to none.
    pub session: String,
    /// Whether the router chooses the model.
    pub chooses_model: bool,
    /// What the tries so far prove.
    pub tries: TryHistory,
    /// Whether it is on trial for the crashes that it was at.
    pub trial: Cell<Trial>,
    /// A plain answer under way that is timed.
    pub timed: RefCell<Option<ResponseTimer>>,
}

/// The trial of a request that was at several crashes of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Trial {
    /// It is not on trial.
    #[default]
    None,
    /// It may run once.
    Open,
    /// It has run and came to no answer; whether its upstream crashed is being found out.
    Over,
}

/// What one try asks for beyond the request itself.
#[derive(Debug, Clone, Copy)]
pub struct TryPlan<'a> {
    /// The model to name, where the router chooses.
    pub model: Option<&'a str>,
    /// The last event that the caller has, where a stream goes on.
    pub resume_after: Option<&'a str>,
    /// How long to wait for the head.
    pub head: ResponseTimeout,
    /// What lets this try be a second one.
    pub repeat: RetryReason,
}

/// Why no try was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoTry {
    /// No upstream is left to ask.
    NoUpstream,
    /// No upstream takes a request of this box now, and the first one will after a while.
    Paused(BackOff),
    /// Operators have evacuated the halls of all upstreams.
    Evacuated,
    /// The request may not be sent once more.
    OutOfBudget,
    /// The time is over.
    OutOfTime,
    /// It crashes the upstreams that run it.
    Quarantined,
    /// It may have crashed upstreams, and another send of it is on trial for at most so long.
    OnTrial(Duration),
}

impl Job {
    /// Returns the time that is left.
    pub fn left(&self, now: Now) -> Duration {
        self.deadline.saturating_sub(now.monotonic)
    }

    /// Tells whether one more run is allowed by the route and by what already ran.
    pub fn may_run_again(&self) -> bool {
        let repeatable = self.route.kind.is_repeatable() || self.tries.ran() == Ran::Nowhere;
        repeatable && self.tries.possible_runs() < self.route.attempts.max(1)
    }

    /// Tells whether another upstream could be asked now: the route, what already ran and
    /// the budget allow it. An answer is not given up otherwise.
    pub fn can_repeat(&self, gw: &Gateway, now: Now) -> bool {
        let has_room = gw.with_retries(&self.service, |window| {
            window.has_budget(RetryReason::Failure, now)
        });
        has_room && self.may_run_again()
    }

    /// Tells whether the next run is the last one that the route allows, so that cutting
    /// it off would end the request.
    pub fn has_last_run_left(&self) -> bool {
        self.tries.possible_runs() + 1 >= self.route.attempts.max(1)
    }

    /// Tells whether a request that no upstream took should be offered once more after a
    /// pause, and not refused.
    pub fn should_wait(&self, gw: &Gateway, pause: Duration, now: Now) -> bool {
        self.can_wait(pause, now) && !gw.candidates(&self.service, &self.session, now).is_empty()
    }

    /// Tells whether a pause leaves the request among those that are still offered.
    pub fn can_wait(&self, pause: Duration, now: Now) -> bool {
        let waited = now.monotonic.saturating_sub(self.received);
        self.may_run_again() && waited + pause < self.route.objective / OFFER_PART
    }

    /// Chooses an upstream and makes one try there.
    ///
    /// A try that reached an upstream before makes this one a repeat, which the budget
    /// has to allow.
    pub async fn try_once(&self, gw: &Gateway, plan: TryPlan<'_>) -> Result<TryOutcome, NoTry> {
        let now = Now::read();
        let left = self.left(now);
        if left <= ANSWER_MARGIN {
            return Err(NoTry::OutOfTime);
        }
        self.admit_suspect(gw, now)?;
        let mut candidates = gw.candidates(&self.service, &self.session, now);
        let tried = self.tries.tried_upstreams();
        if self.is_on_trial() {
            let seed = stable_hash(&self.fingerprint.to_string());
            let alone = choose_for_trial(&candidates, &tried, seed, now);
            candidates = alone.into_iter().collect();
        }
        let choice = self.place(gw, &candidates, &tried, plan.model, now);
        let choice = choice.ok_or_else(|| self.no_upstream(gw, now))?;
        let upstream = &choice.upstream;
        if !self.pay(gw, plan.repeat, now) {
            return Err(NoTry::OutOfBudget);
        }
        self.tries.exclude_upstream(upstream);
        upstream.record_warm_up_send(now);
        let limits = TryOptions {
            head_timeout: plan.head.capped_at(left),
            prefill: choice.prefill,
            measures_prefill_rate: choice.measures_prefill_rate(),
            may_reuse_connection: self.route.kind.is_repeatable(),
        };
        gw.long_reads
            .push_if_long(&gw.life, upstream, limits.prefill);
        let out = self.outgoing(gw, &choice, plan, now);
        let timed = gw.start_response_timer(self, &choice, now);
        let tried = try_upstream(&gw.connections, &gw.headers, upstream, out, limits).await;
        match self.route.kind.stream_gap() {
            Some(_) => gw.record_head(&tried, timed, Now::read()),
            None => *self.timed.borrow_mut() = timed,
        }
        self.record(gw, &choice, &tried, plan);
        Ok(tried)
    }

    /// Tells why no upstream can be asked.
    fn no_upstream(&self, gw: &Gateway, now: Now) -> NoTry {
        if gw.is_evacuated(&self.service) {
            return NoTry::Evacuated;
        }
        let pause = gw.shortest_back_off(&self.service, &self.session, now);
        pause.map_or(NoTry::NoUpstream, NoTry::Paused)
    }

    /// Decides whether a request that may have crashed upstreams is sent.
    fn admit_suspect(&self, gw: &Gateway, now: Now) -> Result<(), NoTry> {
        match (
            gw.quarantine.standing(self.fingerprint, now),
            self.trial.get(),
        ) {
            (QuarantineState::Clear, _) => Ok(()),
            (QuarantineState::Quarantined, _) => Err(NoTry::Quarantined),
            // The trial is this request's own, and no upstream has run it yet.
            (QuarantineState::Suspect | QuarantineState::OnTrial(_), Trial::Open) => Ok(()),
            (QuarantineState::Suspect, Trial::None | Trial::Over) => {
                gw.quarantine.begin_trial(self.fingerprint, now);
                self.trial.set(Trial::Open);
                Ok(())
            }
            (QuarantineState::OnTrial(left), Trial::None | Trial::Over) => {
                Err(NoTry::OnTrial(left))
            }
        }
    }

    /// Tells whether the request is on trial for the crashes that it was at.
    pub fn is_on_trial(&self) -> bool {
        self.trial.get() == Trial::Open
    }

    /// Records that a run of the request broke off, which ends its trial.
    pub fn broke_off(&self, gw: &Gateway, upstream: &Rc<Upstream>, now: Now) {
        let part = match self.is_on_trial() {
            true => CrashRole::OnTrial,
            false => CrashRole::Concurrent,
        };
        let run = InterruptedRun {
            request: self.fingerprint,
            part,
        };
        gw.record_interrupted_run(run, upstream, now);
        self.end_trial();
    }

    /// Lets another send of the request be tried where this one came to no run.
    pub fn give_up_trial(&self, gw: &Gateway, now: Now) {
        if self.is_on_trial() {
            gw.quarantine.end_trial(self.fingerprint, now);
        }
    }

    fn end_trial(&self) {
        if self.is_on_trial() {
            self.trial.set(Trial::Over);
        }
    }

    /// Chooses the upstream that a try with a model would go to.
    fn place(
        &self,
        gw: &Gateway,
        candidates: &[Rc<Upstream>],
        tried: &[UpstreamLife],
        model: Option<&str>,
        now: Now,
    ) -> Option<PlacementChoice> {
        let shared = self.shared_name(model);
        let wish = PlacementParams {
            hall: &gw.settings().hall,
            prompt: self.shared_prompt(gw, shared.as_deref(), model),
            tried,
            seed: stable_hash(&self.request_id),
            engines_to_compare: engines_to_compare(gw.knowledge.borrow().box_count()),
        };
        choose_placement(candidates, wish, now)
    }

    /// Names the shared beginning of the prompt; engines keep what they have read by model.
    fn shared_name(&self, model: Option<&str>) -> Option<String> {
        let part = self.prompt.shared.as_ref()?;
        Some(format!("{part} {}", model.unwrap_or_default()))
    }

    fn shared_prompt<'a>(
        &self,
        gw: &Gateway,
        shared: Option<&'a str>,
        model: Option<&str>,
    ) -> Option<SharedPrompt<'a>> {
        let whole = self.prompt.reading_tokens();
        let shared_tokens = self.prompt.shared_tokens as f64;
        let time = |tokens: f64| gw.reading_time(&self.service, model, tokens);
        Some(SharedPrompt {
            prefix_key: shared?,
            replication: match gw.is_dearest(&self.service, model) {
                true => CacheReplication::OneEngine,
                false => CacheReplication::OneEnginePerHall,
            },
            full_prefill: time(whole),
            suffix_prefill: time(whole - shared_tokens),
            shared_tokens,
            request_bytes: self.body.len(),
        })
    }

    /// Returns how long a model's first event would take from now on.
    pub fn expected(&self, gw: &Gateway, model: Option<&str>, now: Now) -> ExpectedFirstEvent {
        let candidates = gw.candidates(&self.service, &self.session, now);
        self.expected_among(gw, &candidates, model, now)
    }

    fn expected_among(
        &self,
        gw: &Gateway,
        candidates: &[Rc<Upstream>],
        model: Option<&str>,
        now: Now,
    ) -> ExpectedFirstEvent {
        let choice = self.place(gw, candidates, &[], model, now);
        let (ahead, reading) = choice.map_or((Duration::ZERO, Duration::ZERO), |choice| {
            (choice.queue_wait, choice.prefill)
        });
        ExpectedFirstEvent {
            total: prefill_rate::FIRST_EVENT_OVERHEAD + ahead + reading,
            queue_wait: ahead,
        }
    }

    /// Returns how long each model's first event would take from now on.
    pub fn expected_of_all(
        &self,
        gw: &Gateway,
        models: &[String],
        now: Now,
    ) -> Vec<ExpectedFirstEvent> {
        let candidates = gw.candidates(&self.service, &self.session, now);
        let expected = |model: &String| self.expected_among(gw, &candidates, Some(model), now);
        models.iter().map(expected).collect()
    }

    /// Returns what is left of the route's objective.
    pub fn left_of_objective(&self, now: Now) -> Duration {
        let spent = now.monotonic.saturating_sub(self.received);
        self.route.objective.saturating_sub(spent)
    }

    fn pay(&self, gw: &Gateway, repeat: RetryReason, now: Now) -> bool {
        gw.with_retries(&self.service, |window| {
            if self.tries.sent_count() > 0 {
                return window.try_spend(repeat, now);
            }
            if self.tries.count_first_once() {
                window.record_first(now);
            }
            true
        })
    }

    fn record(
        &self,
        gw: &Gateway,
        choice: &PlacementChoice,
        tried: &TryOutcome,
        plan: TryPlan<'_>,
    ) {
        self.tries.record(tried);
        if choice.upstream.is_leaving() {
            gw.note_upstream_leaving(&choice.upstream, Now::read());
        }
        if matches!(tried, TryOutcome::NotRun(NotRunReason::OtherInstance)) {
            gw.knowledge
                .borrow_mut()
                .remove_upstream(choice.upstream.life());
        }
        match tried {
            TryOutcome::Unknown(UnknownReason::ConnectionBroken(_)) => {
                self.broke_off(gw, &choice.upstream, Now::read());
            }
            TryOutcome::Unknown(_) => self.end_trial(),
            TryOutcome::Answered(_) | TryOutcome::NotRun(_) => {}
        }
        gw.telemetry.tried(self, choice, tried, plan);
    }

    fn outgoing(
        &self,
        gw: &Gateway,
        choice: &PlacementChoice,
        plan: TryPlan<'_>,
        now: Now,
    ) -> UpstreamRequest {
        let names = &gw.headers;
        let mut headers = self.headers.clone();
        let mut set = |name: &http::HeaderName, value: &str| {
            let name = hyper::header::HeaderName::from_bytes(name.as_str().as_bytes());
            let value = hyper::header::HeaderValue::from_str(value);
            match (name, value) {
                (Ok(name), Ok(value)) => {
                    headers.insert(name, value);
                }
                _ => log::error!(request = self.request_id.as_str(); "a header cannot be set"),
            }
        };
        let left = self.left(now).saturating_sub(ANSWER_MARGIN);
        set(&names.deadline, &left.as_millis().to_string());
        set(&names.expect_instance, &choice.upstream.life().instance);
        if let PrefixSource::Fetched(keeper) = choice.prefix_source {
            set(&names.fetch_from, &keeper.to_string());
        }
        if let Some(organisation) = &self.organisation {
            set(&names.organisation, &organisation.name);
        }
        if self.route.kind.stream_gap().is_some() {
            let rank = self.organisation.as_ref().map_or(0, |found| found.priority);
            let urgency = urgency(rank, self.route.priority, choice.prefill);
            set(&names.urgency, &urgency.to_string());
        }
        if let Some(model) = plan.model {
            set(&names.model, model);
        }
        if let Some(event) = plan.resume_after {
            set(&names.last_event_id, event);
        }
        UpstreamRequest {
            method: self.method.clone(),
            target: self.target.clone(),
            headers,
            body: self.body.clone(),
            request_id: self.request_id.clone(),
        }
    }
}

/// Tells whether a model header leaves the choice to the router.
pub fn leaves_choice(model: Option<&str>) -> bool {
    model == Some(ANY_MODEL)
}

impl TryOutcome {
    /// Describes the outcome for the log.
    pub fn describe(&self) -> String {
        match self {
            Self::Answered(answer) => format!("answered {}", answer.status),
            Self::NotRun(reason) => reason.to_string(),
            Self::Unknown(failure) => failure.to_string(),
        }
    }
}
