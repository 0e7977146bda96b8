//! One request on its way through the box.

use super::prompt::Prompt;
use super::routes::{Organisation, Route};
use crate::clock::Now;
use crate::crash_ledger::{Part, Standing};
use crate::fingerprint::Fingerprint;
use crate::gateway::Gateway;
use crate::gateway::answer::refusal::Execution;
use crate::gateway::attempt::connect::http1_types;
use crate::gateway::attempt::crash::BrokenRun;
use crate::gateway::attempt::exchange::{
    Failure, NotRun, Outgoing, Tried, TryLimits, try_upstream,
};
use crate::gateway::attempt::patience::Patience;
use crate::gateway::attempt::protocol::{ANY_MODEL, urgency};
use crate::gateway::attempt::retries::Repeat;
use crate::gateway::attempt::tries::Tries;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::control::store::UpstreamLife;
use crate::gateway::place::candidates::Pause;
use crate::gateway::place::choose::{Choice, Wish, choose, choose_for_trial, compared, draw};
use crate::gateway::place::engine_cost::{Beginning, SharedPrompt};
use crate::gateway::place::keepers::Spread;
use crate::gateway::place::models::Expected;
use crate::gateway::place::reading;
use crate::gateway::versions::tally::Timed;
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
pub struct AdmittedRequest {
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
    pub session_id: String,
    /// Whether the router chooses the model.
    pub chooses_model: bool,
    /// What the tries so far prove.
    pub tries: Tries,
    /// Whether it is on trial for the crashes that it was at.
    pub trial: Cell<Trial>,
    /// A plain answer under way that is timed.
    pub timed: RefCell<Option<Timed>>,
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
pub struct AttemptPlan<'a> {
    /// The model to name, where the router chooses.
    pub model: Option<&'a str>,
    /// The last event that the caller has, where a stream goes on.
    pub resume_after: Option<&'a str>,
    /// How long to wait for the head.
    pub head: Patience,
    /// What lets this try be a second one.
    pub repeat: Repeat,
}

/// Why no try was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoAttempt {
    /// No upstream is left to ask.
    NoUpstream,
    /// No upstream takes a request of this box now, and the first one will after a while.
    Paused(Pause),
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

impl AdmittedRequest {
    /// Returns the time that is left.
    pub fn left(&self, now: Now) -> Duration {
        self.deadline.saturating_sub(now.monotonic)
    }

    /// Tells whether one more run is allowed by the route and by what already ran.
    pub fn may_run_again(&self) -> bool {
        let repeatable = self.route.kind.is_repeatable() || self.tries.ran() == Execution::Never;
        repeatable && self.tries.runs() < self.route.max_attempts.max(1)
    }

    /// Tells whether another upstream could be asked now: the route, what already ran and
    /// the budget allow it. An answer is not given up otherwise.
    pub fn can_repeat(&self, gw: &Gateway, now: Now) -> bool {
        let has_room = gw.with_retry_window(&self.service, |window| {
            window.has_room(Repeat::Failure, now)
        });
        has_room && self.may_run_again()
    }

    /// Tells whether the next run is the last one that the route allows, so that cutting
    /// it off would end the request.
    pub fn has_last_run_left(&self) -> bool {
        self.tries.runs() + 1 >= self.route.max_attempts.max(1)
    }

    /// Tells whether a request that no upstream took should be offered once more after a
    /// pause, and not refused.
    pub fn should_wait(&self, gw: &Gateway, pause: Duration, now: Now) -> bool {
        self.can_wait(pause, now)
            && !gw
                .candidates(&self.service, &self.session_id, now)
                .is_empty()
    }

    /// Tells whether a pause leaves the request among those that are still offered.
    pub fn can_wait(&self, pause: Duration, now: Now) -> bool {
        let waited = now.monotonic.saturating_sub(self.received);
        self.may_run_again() && waited + pause < self.route.latency_objective / OFFER_PART
    }

    /// Chooses an upstream and makes one try there.
    ///
    /// A try that reached an upstream before makes this one a repeat, which the budget
    /// has to allow.
    pub async fn run_attempt(
        &self,
        gw: &Gateway,
        plan: AttemptPlan<'_>,
    ) -> Result<Tried, NoAttempt> {
        let now = Now::read();
        let left = self.left(now);
        if left <= ANSWER_MARGIN {
            return Err(NoAttempt::OutOfTime);
        }
        self.admit_suspect(gw, now)?;
        let mut candidates = gw.candidates(&self.service, &self.session_id, now);
        let tried = self.tries.tried();
        if self.is_on_trial() {
            let seed = draw(&self.fingerprint.to_string());
            let alone = choose_for_trial(&candidates, &tried, seed, now);
            candidates = alone.into_iter().collect();
        }
        let choice = self.place(gw, &candidates, &tried, plan.model, now);
        let choice = choice.ok_or_else(|| self.no_upstream(gw, now))?;
        let upstream = &choice.upstream;
        if !self.pay(gw, plan.repeat, now) {
            return Err(NoAttempt::OutOfBudget);
        }
        self.tries.exclude(upstream);
        upstream.take_turn(now);
        let limits = TryLimits {
            head: plan.head.within(left),
            reading: choice.reading,
            tells_rate: choice.tells_rate(),
            may_reuse: self.route.kind.is_repeatable(),
        };
        gw.long_reads
            .note(&gw.incarnation, upstream, limits.reading);
        let out = self.outgoing(gw, &choice, plan, now);
        let timed = gw.time_try(self, &choice, now);
        let tried = try_upstream(&gw.connections, &gw.headers, upstream, out, limits).await;
        match self.route.kind.stream_gap() {
            Some(_) => gw.head_came(&tried, timed, Now::read()),
            None => *self.timed.borrow_mut() = timed,
        }
        self.record(gw, &choice, &tried, plan);
        Ok(tried)
    }

    /// Tells why no upstream can be asked.
    fn no_upstream(&self, gw: &Gateway, now: Now) -> NoAttempt {
        if gw.is_evacuated(&self.service) {
            return NoAttempt::Evacuated;
        }
        let pause = gw.shortest_pause(&self.service, &self.session_id, now);
        pause.map_or(NoAttempt::NoUpstream, NoAttempt::Paused)
    }

    /// Decides whether a request that may have crashed upstreams is sent.
    fn admit_suspect(&self, gw: &Gateway, now: Now) -> Result<(), NoAttempt> {
        match (
            gw.quarantine.standing(self.fingerprint, now),
            self.trial.get(),
        ) {
            (Standing::Clear, _) => Ok(()),
            (Standing::Quarantined, _) => Err(NoAttempt::Quarantined),
            // The trial is this request's own, and no upstream has run it yet.
            (Standing::Suspect | Standing::OnTrial(_), Trial::Open) => Ok(()),
            (Standing::Suspect, Trial::None | Trial::Over) => {
                gw.quarantine.begin_trial(self.fingerprint, now);
                self.trial.set(Trial::Open);
                Ok(())
            }
            (Standing::OnTrial(left), Trial::None | Trial::Over) => Err(NoAttempt::OnTrial(left)),
        }
    }

    /// Tells whether the request is on trial for the crashes that it was at.
    pub fn is_on_trial(&self) -> bool {
        self.trial.get() == Trial::Open
    }

    /// Records that a run of the request broke off, which ends its trial.
    pub fn broke_off(&self, gw: &Gateway, upstream: &Rc<Upstream>, now: Now) {
        let part = match self.is_on_trial() {
            true => Part::OnTrial,
            false => Part::Present,
        };
        let run = BrokenRun {
            request: self.fingerprint,
            part,
        };
        gw.run_broke_off(run, upstream, now);
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
    ) -> Option<Choice> {
        let shared = self.shared_name(model);
        let wish = Wish {
            hall: &gw.settings().hall,
            prompt: self.shared_prompt(gw, shared.as_deref(), model),
            tried,
            draw: draw(&self.request_id),
            compared: compared(gw.knowledge.borrow().box_count()),
        };
        choose(candidates, wish, now)
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
        let whole = self.prompt.weighted_tokens();
        let shared_tokens = self.prompt.shared_tokens as f64;
        let time = |tokens: f64| gw.prompt_reading_time(&self.service, model, tokens);
        Some(SharedPrompt {
            shared: shared?,
            spread: match gw.is_most_expensive(&self.service, model) {
                true => Spread::OneEngine,
                false => Spread::OneEngineAHall,
            },
            whole: time(whole),
            rest: time(whole - shared_tokens),
            shared_tokens,
            bytes: self.body.len(),
        })
    }

    /// Returns how long a model's first event would take from now on.
    pub fn expected(&self, gw: &Gateway, model: Option<&str>, now: Now) -> Expected {
        let candidates = gw.candidates(&self.service, &self.session_id, now);
        self.expected_among(gw, &candidates, model, now)
    }

    fn expected_among(
        &self,
        gw: &Gateway,
        candidates: &[Rc<Upstream>],
        model: Option<&str>,
        now: Now,
    ) -> Expected {
        let choice = self.place(gw, candidates, &[], model, now);
        let (ahead, reading) = choice.map_or((Duration::ZERO, Duration::ZERO), |choice| {
            (choice.ahead, choice.reading)
        });
        Expected {
            total: reading::FIXED + ahead + reading,
            ahead,
        }
    }

    /// Returns how long each model's first event would take from now on.
    pub fn expected_of_all(&self, gw: &Gateway, models: &[String], now: Now) -> Vec<Expected> {
        let candidates = gw.candidates(&self.service, &self.session_id, now);
        let expected = |model: &String| self.expected_among(gw, &candidates, Some(model), now);
        models.iter().map(expected).collect()
    }

    /// Returns what is left of the route's objective.
    pub fn left_of_objective(&self, now: Now) -> Duration {
        let spent = now.monotonic.saturating_sub(self.received);
        self.route.latency_objective.saturating_sub(spent)
    }

    fn pay(&self, gw: &Gateway, repeat: Repeat, now: Now) -> bool {
        gw.with_retry_window(&self.service, |window| {
            if self.tries.sent() > 0 {
                return window.take(repeat, now);
            }
            if self.tries.count_first() {
                window.first(now);
            }
            true
        })
    }

    fn record(&self, gw: &Gateway, choice: &Choice, tried: &Tried, plan: AttemptPlan<'_>) {
        self.tries.record(tried);
        if choice.upstream.says_it_leaves() {
            gw.hear_leaving(&choice.upstream, Now::read());
        }
        if matches!(tried, Tried::NotRun(NotRun::OtherInstance)) {
            gw.knowledge
                .borrow_mut()
                .forget_upstream(choice.upstream.life());
        }
        match tried {
            Tried::Unknown(Failure::Broken(_)) => {
                self.broke_off(gw, &choice.upstream, Now::read());
            }
            Tried::Unknown(_) => self.end_trial(),
            Tried::Answered(_) | Tried::NotRun(_) => {}
        }
        gw.telemetry.record_attempt(self, choice, tried, plan);
    }

    fn outgoing(&self, gw: &Gateway, choice: &Choice, plan: AttemptPlan<'_>, now: Now) -> Outgoing {
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
        if let Beginning::Fetched(keeper) = choice.beginning {
            set(&names.fetch_from, &keeper.to_string());
        }
        if let Some(organisation) = &self.organisation {
            set(&names.organisation, &organisation.name);
        }
        if self.route.kind.stream_gap().is_some() {
            let rank = self.organisation.as_ref().map_or(0, |found| found.priority);
            let urgency = urgency(rank, self.route.priority, choice.reading);
            set(&names.urgency, &urgency.to_string());
        }
        if let Some(model) = plan.model {
            set(&names.model, model);
        }
        if let Some(event) = plan.resume_after {
            set(&names.last_event_id, event);
        }
        Outgoing {
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

impl Tried {
    /// Describes the outcome for the log.
    pub fn describe(&self) -> String {
        match self {
            Self::Answered(answer) => format!("answered {}", answer.status),
            Self::NotRun(reason) => reason.to_string(),
            Self::Unknown(failure) => failure.to_string(),
        }
    }
}
