//! An admitted request, and its attempts at upstreams.

use super::load_decision::CallerHistory;
use super::prompt::Prompt;
use super::routes::{Organisation, Route};
use crate::clock::Now;
use crate::crash_ledger::{CrashRole, QuarantineState};
use crate::fingerprint::{Fingerprint, RequestFingerprints};
use crate::gateway::Gateway;
use crate::gateway::answer::held_memory::RequestAccount;
use crate::gateway::answer::refusal::Execution;
use crate::gateway::attempt::connection::http1_types;
use crate::gateway::attempt::crash_detection::InterruptedRun;
use crate::gateway::attempt::exchange::{
    NotRunReason, TryOptions, TryOutcome, UnknownReason, UpstreamRequest, UsedConnection,
    try_upstream,
};
use crate::gateway::attempt::headers::{ANY_MODEL, urgency};
use crate::gateway::attempt::response_timeout::ResponseTimeout;
use crate::gateway::attempt::retries::RetryReason;
use crate::gateway::attempt::tries::TryHistory;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::attempt::upstream_paths::OutOfReach;
use crate::gateway::control::state::ConfigBasis;
use crate::gateway::control::store::UpstreamLife;
use crate::gateway::peers::loan_book::Loan;
use crate::gateway::place::cache_affinity::CacheReplication;
use crate::gateway::place::candidates::BackOff;
use crate::gateway::place::choose::{
    PlacementChoice, PlacementParams, choose_for_trial, choose_placement, engines_to_compare,
    stable_hash,
};
use crate::gateway::place::engine_cost::{PrefixSource, SharedPrompt};
use crate::gateway::place::escalation::ExpectedFirstEvent;
use crate::gateway::place::prefill_rate;
use crate::gateway::place::slots::{HeldSlot, SlotOrigin};
use crate::gateway::versions::local_statistics::ResponseTimer;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How much earlier than the router an upstream has to give up, so that its own final response
/// still gets through.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// How long an answer has to have gone on until no part of the prompt can crash the upstream any
/// more: it would have done so when the answer began.
const PART_CLEARED_AFTER: Duration = Duration::from_millis(250);
/// The longest wait for the check whether an upstream has crashed, before the next is tried.
const MAX_CRASH_CHECK_WAIT: Duration = Duration::from_millis(100);

/// A request that was admitted, and the state of its attempts.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// The id that the caller gave this send of the request.
    pub request_id: String,
    /// Identify the request across sends, and the parts of its prompt that other requests share.
    pub fingerprints: RequestFingerprints,
    /// The route that it matched.
    pub route: Arc<Route>,
    /// The configuration that the route belongs to, and its freshness at admission.
    pub config: ConfigBasis,
    /// The service that the route selected.
    pub service: String,
    /// The organisation that sent it, on routes that require a key.
    pub organisation: Option<Organisation>,
    /// The method.
    pub method: http1_types::Method,
    /// The path with its query.
    pub target: String,
    /// The caller's headers that are forwarded.
    pub headers: http1_types::HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The memory that is held for the request.
    pub account: Rc<RequestAccount>,
    /// Whether the caller's version of HTTP has bodies without a stated length whose end is
    /// marked.
    pub accepts_chunks: bool,
    /// When the request head had been received.
    pub received: Duration,
    /// The deadline: the caller's, or the route's if that is earlier.
    pub deadline: Duration,
    /// The prompt, on routes to model engines.
    pub prompt: Prompt,
    /// The id of the session, or the request's own id if it belongs to none.
    pub session_id: String,
    /// Whether the caller was refused before, on routes to services under load.
    pub caller: CallerHistory,
    /// Whether the caller leaves the choice of the model to the router.
    pub router_chooses_model: bool,
    /// The attempts so far, and what they prove.
    pub tries: TryHistory,
    /// When the current run's answer began: its first event, or its first bytes if it is no stream.
    pub answer_began: Cell<Option<Duration>>,
    /// Whether the current run has shown that no part of the prompt crashes its upstream.
    pub parts_cleared: Cell<bool>,
    /// Its trial, if it may have crashed upstreams.
    pub trial: RefCell<QuarantineTrial>,
    /// The upstream at which a run broke off before its answer had begun, until the next attempt.
    pub interrupted_at: RefCell<Option<UpstreamLife>>,
    /// The latency measurement of a buffered response, while one runs.
    pub timing: RefCell<Option<ResponseTimer>>,
}

/// The trial of a request that ran, or a part of which was present, at several upstreams when they
/// crashed: it may run once more.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum QuarantineTrial {
    /// It is not on trial.
    #[default]
    None,
    /// The trial run of these is allowed and has not ended.
    Open(Vec<Fingerprint>),
    /// The trial run ended without a response; whether its upstream crashed is being checked.
    Finished,
}

/// The parameters of one attempt, beyond the request itself.
#[derive(Debug, Clone, Copy)]
pub struct AttemptPlan<'a> {
    /// The model to request, where the router chooses it.
    pub model: Option<&'a str>,
    /// The id of the last event that the caller has, where a stream is resumed.
    pub resume_after: Option<&'a str>,
    /// How long to wait for the response head.
    pub head_wait: ResponseTimeout,
    /// The kind of retry that this is, if the request was sent before.
    pub retry_kind: RetryReason,
}

/// What an attempt used.
#[derive(Debug, Clone, Copy)]
pub struct UsedByAttempt {
    /// Its connection, if there was one.
    pub connection: Option<UsedConnection>,
    /// Whose slot it held.
    pub slot: SlotOrigin,
}

/// What an attempt costs of the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BudgetCharge {
    /// Nothing, since the request has reached no upstream yet.
    First,
    /// A retry.
    Retry,
}

/// Why no attempt was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoAttempt {
    /// No upstream is left to try.
    NoUpstream,
    /// No upstream accepts requests of this box now; the pause lasts until the first one does.
    Paused(BackOff),
    /// Operators have evacuated the halls of all upstreams.
    Evacuated,
    /// Neither this box nor another one can connect to the service.
    OutOfReach(OutOfReach),
    /// The retry budget does not allow another send.
    OutOfBudget,
    /// The deadline has passed, or is too close.
    OutOfTime,
    /// The request crashes the upstreams that run it.
    Quarantined,
    /// A part of its prompt crashes upstreams, and is tried again after this time at the earliest.
    PartQuarantined(Duration),
    /// The request may have crashed upstreams, and another send of it is on trial for at most this
    /// long.
    OnTrial(Duration),
}

impl AdmittedRequest {
    /// Returns the time until the deadline.
    pub fn time_left(&self, now: Now) -> Duration {
        self.deadline.saturating_sub(now.monotonic)
    }

    /// Returns whether the route allows one more run, given what has already run.
    pub fn may_run_again(&self) -> bool {
        let repeatable = self.route.kind.is_repeatable() || self.tries.ran() == Execution::Never;
        repeatable && self.tries.possible_runs() < self.route.max_attempts.max(1)
    }

    /// Returns whether another upstream could be tried now: the route, what has already run and the
    /// retry budget allow it. Otherwise a slow response is not abandoned.
    pub fn can_retry(&self, gw: &Gateway, now: Now) -> bool {
        let has_room = gw.with_retry_window(&self.service, |window| {
            window.has_budget(RetryReason::Failure, now)
        });
        has_room && self.may_run_again()
    }

    /// Returns how many more runs the route allows.
    pub fn runs_left(&self) -> u32 {
        match self.may_run_again() {
            true => self
                .route
                .max_attempts
                .saturating_sub(self.tries.possible_runs()),
            false => 0,
        }
    }

    /// Returns whether the next run is the last one that the route allows, so that abandoning it
    /// would end the request.
    pub fn is_last_run(&self) -> bool {
        self.tries.possible_runs() + 1 >= self.route.max_attempts.max(1)
    }

    /// Chooses an upstream and makes one attempt there.
    ///
    /// If an earlier attempt reached an upstream, this one is a retry, which the budget has to
    /// allow.
    pub async fn run_attempt(
        &self,
        gw: &Gateway,
        plan: AttemptPlan<'_>,
    ) -> Result<TryOutcome, NoAttempt> {
        let now = Now::read();
        let left = self.time_left(now);
        if left <= DEADLINE_MARGIN {
            return Err(NoAttempt::OutOfTime);
        }
        self.wait_for_crash_check(gw, left).await;
        let now = Now::read();
        self.check_quarantine(gw, now)?;
        self.check_reach(gw, now)?;
        let (choice, slot) = self.choose_with_slot(gw, plan.model, now).await?;
        let now = Now::read();
        let left = self.time_left(now);
        if left <= DEADLINE_MARGIN {
            return Err(NoAttempt::OutOfTime);
        }
        let upstream = &choice.upstream;
        let charge = self.charge_retry_budget(gw, plan.retry_kind, now);
        let charge = charge.ok_or(NoAttempt::OutOfBudget)?;
        self.tries.exclude_upstream(upstream);
        upstream.record_warm_up_send(now);
        gw.count_limited_send(upstream, now);
        let limits = TryOptions {
            head_timeout: plan.head_wait.capped_at(left),
            prefill: choice.prefill_work(),
            measured_tokens: self.measured_tokens(gw, &choice),
            connection: gw.connection_rules(&self.service, self.route.kind.is_repeatable()),
        };
        gw.long_prefills
            .push_if_long(&gw.incarnation, upstream, limits.prefill);
        let outgoing = self.build_outgoing(gw, &choice, plan, now);
        let timing = gw.start_response_timer(self, &choice, now);
        let slot_origin = slot.as_ref().map_or(SlotOrigin::None, HeldSlot::origin);
        self.answer_began.set(None);
        self.parts_cleared.set(false);
        self.tries.begin();
        let (tried, connection) = try_upstream(
            &gw.connections,
            &gw.headers,
            upstream,
            outgoing,
            slot,
            limits,
        )
        .await;
        if charge == BudgetCharge::Retry && !tried.was_sent() {
            gw.with_retry_window(&self.service, |window| window.take_back(now.monotonic));
        }
        match self.route.kind.stream_gap() {
            Some(_) => gw.record_head(&tried, timing, Now::read()),
            None => *self.timing.borrow_mut() = timing,
        }
        let used = UsedByAttempt {
            connection,
            slot: slot_origin,
        };
        self.record_attempt(gw, &choice, &tried, used, plan);
        Ok(tried)
    }

    /// Chooses an upstream. Where upstreams bear few rejections, also takes a slot there: one of this
    /// box, or else one of another box.
    async fn choose_with_slot(
        &self,
        gw: &Gateway,
        model: Option<&str>,
        now: Now,
    ) -> Result<(PlacementChoice, Option<HeldSlot>), NoAttempt> {
        let mut candidates = gw.candidates(&self.service, &self.session_id, now);
        let limits_rejections = gw.limits_rejections(&self.service, now);
        // Upstreams without a free slot are no less within reach.
        let listed = match limits_rejections {
            true => gw.available_upstream_count(&self.service, now),
            false => candidates.len(),
        };
        gw.connections.set_listed(&self.service, listed);
        let tried = self.tries.tried_upstreams();
        if self.is_on_trial() {
            let seed = stable_hash(&self.fingerprints.own.to_string());
            let chosen = choose_for_trial(&candidates, &tried, seed, now);
            candidates = chosen.into_iter().collect();
        }
        let choice = self.choose_upstream(gw, &candidates, &tried, model, now);
        if !limits_rejections {
            let choice = choice.ok_or_else(|| self.no_upstream_reason(gw, now))?;
            return Ok((choice, None));
        }
        let (choice, loan) = match choice {
            Some(choice) => (choice, None),
            None => {
                let borrowed = self.choose_with_loan(gw, &tried, model).await;
                borrowed.ok_or_else(|| self.no_upstream_reason(gw, Now::read()))?
            }
        };
        let slots = gw.rejection_limits.slots_of(&self.service);
        let slot = HeldSlot::take(&choice.upstream, slots, loan, Now::read());
        Ok((choice, Some(slot)))
    }

    async fn choose_with_loan(
        &self,
        gw: &Gateway,
        tried: &[UpstreamLife],
        model: Option<&str>,
    ) -> Option<(PlacementChoice, Option<Loan>)> {
        let now = Now::read();
        let full = gw.upstreams_without_own_slot(&self.service, &self.session_id, now);
        let kept = gw.with_kept_slots(&full);
        if let Some(choice) = self.choose_upstream(gw, &kept, tried, model, now)
            && let Some(loan) = gw.loans.take_idle(choice.upstream.short_hash(), now)
        {
            return Some((choice, Some(loan)));
        }
        gw.recall_any_slot(&full, now);
        let borrowing = gw.borrow_slot(&self.service, &self.session_id, tried);
        let (upstream, loan) = borrowing.await?;
        let choice = self.choose_upstream(gw, &[upstream], tried, model, Now::read())?;
        Some((choice, Some(loan)))
    }

    /// Returns why no upstream can be tried.
    fn no_upstream_reason(&self, gw: &Gateway, now: Now) -> NoAttempt {
        if gw.is_evacuated(&self.service) {
            return NoAttempt::Evacuated;
        }
        let pause = gw.shortest_back_off(&self.service, &self.session_id, now);
        pause.map_or(NoAttempt::NoUpstream, NoAttempt::Paused)
    }

    /// Refuses to try where it is known that no connection can be opened.
    fn check_reach(&self, gw: &Gateway, now: Now) -> Result<(), NoAttempt> {
        match gw.connections.out_of_reach(&self.service, now) {
            Some(reason) if !gw.connections.has_idle(&self.service) => {
                Err(NoAttempt::OutOfReach(reason))
            }
            Some(_) | None => Ok(()),
        }
    }

    /// Waits until it is known whether the upstream at which the last run broke off has crashed, if
    /// the prompt has parts that may be the cause: the next upstream would crash as well.
    async fn wait_for_crash_check(&self, gw: &Gateway, left: Duration) {
        let interrupted_at = self.interrupted_at.take();
        if let Some(incarnation) = interrupted_at.filter(|_| !self.fingerprints.parts.is_empty()) {
            let checked = gw.crashes.wait_until_checked(&incarnation);
            let limit = MAX_CRASH_CHECK_WAIT.min(left);
            // Whatever is known then decides.
            let _ = tokio::time::timeout(limit, checked).await;
        }
    }

    /// Decides whether a request that may have crashed upstreams may be sent; begins its trial if
    /// it has to prove itself.
    fn check_quarantine(&self, gw: &Gateway, now: Now) -> Result<(), NoAttempt> {
        let state = gw.quarantine.state(&self.fingerprints, now);
        match state {
            QuarantineState::Clear => return Ok(()),
            // This request holds the trial, and no upstream has run it yet.
            QuarantineState::Suspect | QuarantineState::OnTrial(_) if self.is_on_trial() => {
                return Ok(());
            }
            QuarantineState::Suspect => {
                let on_trial = gw.quarantine.begin_trial(&self.fingerprints, now);
                gw.telemetry.record_quarantine(self, state);
                self.trial.replace(QuarantineTrial::Open(on_trial));
                return Ok(());
            }
            QuarantineState::OnTrial(_)
            | QuarantineState::Quarantined
            | QuarantineState::PartQuarantined(_) => gw.telemetry.record_quarantine(self, state),
        }
        Err(match state {
            QuarantineState::OnTrial(left) => NoAttempt::OnTrial(left),
            QuarantineState::PartQuarantined(left) => NoAttempt::PartQuarantined(left),
            _ => NoAttempt::Quarantined,
        })
    }

    /// Returns whether the request is on trial because upstreams crashed while they ran it.
    pub fn is_on_trial(&self) -> bool {
        matches!(*self.trial.borrow(), QuarantineTrial::Open(_))
    }

    /// Returns how long ago the current run's answer began, if it has.
    fn answered_for(&self, now: Now) -> Option<Duration> {
        let began = self.answer_began.get()?;
        Some(now.monotonic.saturating_sub(began))
    }

    /// Returns whether the current run has been answered for so long that no part of the prompt
    /// crashes the upstream.
    fn has_passed_parts(&self, now: Now) -> bool {
        self.answered_for(now)
            .is_some_and(|answered| answered >= PART_CLEARED_AFTER)
    }

    /// Records that an answer has begun, or gone on.
    pub fn record_answer_progress(&self, gw: &Gateway, now: Now) {
        if self.answer_began.get().is_none() {
            self.answer_began.set(Some(now.monotonic));
        }
        if self.has_passed_parts(now) && !self.parts_cleared.replace(true) {
            self.clear_parts(gw, now);
        }
    }

    /// Records a whole answer of success, which clears the request and the parts of its prompt.
    pub fn record_whole_answer(&self, gw: &Gateway, now: Now) {
        self.record_answered(gw, now);
        if !self.parts_cleared.replace(true) {
            self.clear_parts(gw, now);
        }
    }

    /// Records a whole answer of any kind, which clears the request.
    pub fn record_answered(&self, gw: &Gateway, now: Now) {
        gw.quarantine.record_answer(self.fingerprints.own, now);
        let took = now.monotonic.saturating_sub(self.received);
        let mut run_times = gw.run_times.borrow_mut();
        run_times.record(&self.route.name, took, now);
    }

    fn clear_parts(&self, gw: &Gateway, now: Now) {
        for part in &self.fingerprints.parts {
            gw.quarantine.record_answer(*part, now);
        }
    }

    /// Records that a run of the request broke off, which ends its trial.
    pub fn record_broken_run(&self, gw: &Gateway, upstream: &Rc<Upstream>, now: Now) {
        let has_passed_parts = self.has_passed_parts(now);
        let fingerprints = self.fingerprints.iter();
        let subjects = fingerprints
            .filter(|found| *found == self.fingerprints.own || !has_passed_parts)
            .map(|found| (found, self.role_of(found)));
        let run = InterruptedRun {
            request_id: self.request_id.clone(),
            request: self.fingerprints.own,
            subjects: subjects.collect(),
            answered_for: self.answered_for(now),
        };
        gw.record_interrupted_run(run, upstream, now);
        if !has_passed_parts {
            self.interrupted_at
                .replace(Some(upstream.incarnation().clone()));
        }
        self.finish_trial();
    }

    fn role_of(&self, subject: Fingerprint) -> CrashRole {
        match &*self.trial.borrow() {
            QuarantineTrial::Open(on_trial) if on_trial.contains(&subject) => CrashRole::OnTrial,
            _ => CrashRole::Concurrent,
        }
    }

    /// Gives up a trial that was never run, so that another send of the request can take it.
    pub fn release_trial(&self, gw: &Gateway, now: Now) {
        if let QuarantineTrial::Open(on_trial) = &*self.trial.borrow() {
            for subject in on_trial {
                gw.quarantine.end_trial(*subject, now);
            }
        }
    }

    fn finish_trial(&self) {
        if self.is_on_trial() {
            self.trial.replace(QuarantineTrial::Finished);
        }
    }

    /// Chooses the upstream that an attempt with a model would go to.
    fn choose_upstream(
        &self,
        gw: &Gateway,
        candidates: &[Rc<Upstream>],
        tried: &[UpstreamLife],
        model: Option<&str>,
        now: Now,
    ) -> Option<PlacementChoice> {
        let shared_prefix = self.shared_prefix_key(model);
        let seed = stable_hash(&self.request_id);
        if gw.places_by_expected_wait(&self.service) && shared_prefix.is_none() {
            return gw.choose_by_expected_wait(&self.service, candidates, tried, seed, now);
        }
        let criteria = PlacementParams {
            hall: &gw.settings().hall,
            prompt: self.shared_prompt(gw, shared_prefix.as_deref(), model),
            tried,
            seed,
            engines_to_compare: engines_to_compare(gw.knowledge.borrow().box_count()),
        };
        choose_placement(candidates, criteria, now)
    }

    /// Returns the key of the prompt's shared prefix. It contains the model, since engines cache
    /// what they have read by model.
    fn shared_prefix_key(&self, model: Option<&str>) -> Option<String> {
        let part = self.prompt.last_shared_part()?;
        Some(format!("{part} {}", model.unwrap_or_default()))
    }

    /// Returns the prompt tokens that an attempt measures the prefill rate with, if any: those that
    /// the engine computes while, as far as is known, it computes nothing else.
    fn measured_tokens(&self, gw: &Gateway, choice: &PlacementChoice) -> Option<f64> {
        let all_tokens = self.prompt.weighted_tokens();
        match choice.prefix_source {
            PrefixSource::Computed if choice.queue_wait.is_zero() => Some(all_tokens),
            // Large models compute nearly all prompts behind a prefix. One that is fetched is
            // there, while one that is believed to be cached may have been evicted.
            PrefixSource::Fetched(_)
                if choice.queue_wait.is_zero() && gw.controls_load(&self.service) =>
            {
                Some(all_tokens - self.prompt.shared_tokens as f64)
            }
            _ => None,
        }
    }

    fn shared_prompt<'a>(
        &self,
        gw: &Gateway,
        shared_prefix: Option<&'a str>,
        model: Option<&str>,
    ) -> Option<SharedPrompt<'a>> {
        let all_tokens = self.prompt.weighted_tokens();
        let shared_tokens = self.prompt.shared_tokens as f64;
        let time = |tokens: f64| gw.prompt_prefill_time(&self.service, model, tokens);
        Some(SharedPrompt {
            prefix_key: shared_prefix?,
            replication: match gw.is_most_expensive(&self.service, model) {
                true => CacheReplication::OneEngine,
                false => CacheReplication::OneEnginePerHall,
            },
            full_prefill: time(all_tokens),
            suffix_prefill: time(all_tokens - shared_tokens),
            shared_tokens,
            request_bytes: self.body.len(),
            max_pause: gw.controlled_pause(&self.service, self.route.kind),
        })
    }

    /// Returns the expected time from now until a model's first event.
    pub fn expected_first_event(
        &self,
        gw: &Gateway,
        model: Option<&str>,
        now: Now,
    ) -> ExpectedFirstEvent {
        let candidates = gw.candidates(&self.service, &self.session_id, now);
        self.expected_among_candidates(gw, &candidates, model, now)
    }

    fn expected_among_candidates(
        &self,
        gw: &Gateway,
        candidates: &[Rc<Upstream>],
        model: Option<&str>,
        now: Now,
    ) -> ExpectedFirstEvent {
        let choice = self.choose_upstream(gw, candidates, &[], model, now);
        let nothing = (Duration::ZERO, Duration::ZERO, 0);
        let (ahead, reading, running) = choice.map_or(nothing, |choice| {
            let running = choice.upstream.occupancy(now);
            (choice.queue_wait, choice.prefill, running)
        });
        ExpectedFirstEvent {
            total: prefill_rate::FIRST_EVENT_OVERHEAD + ahead + reading,
            queue_wait: ahead,
            running,
        }
    }

    /// Returns the expected time from now until each model's first event.
    pub fn expected_first_events(
        &self,
        gw: &Gateway,
        models: &[String],
        now: Now,
    ) -> Vec<ExpectedFirstEvent> {
        let candidates = gw.candidates(&self.service, &self.session_id, now);
        let expected =
            |model: &String| self.expected_among_candidates(gw, &candidates, Some(model), now);
        models.iter().map(expected).collect()
    }

    /// Returns the time left until the route's latency objective is missed.
    pub fn objective_left(&self, now: Now) -> Duration {
        let elapsed = now.monotonic.saturating_sub(self.received);
        self.route.latency_objective.saturating_sub(elapsed)
    }

    /// Charges the retry budget for an attempt; `None` if the budget does not allow it.
    ///
    /// The first attempt is free, and adds to the budget once.
    fn charge_retry_budget(
        &self,
        gw: &Gateway,
        retry_kind: RetryReason,
        now: Now,
    ) -> Option<BudgetCharge> {
        gw.with_retry_window(&self.service, |window| {
            if self.tries.sent_count() > 0 {
                let is_spent = window.try_spend(retry_kind, now);
                return is_spent.then_some(BudgetCharge::Retry);
            }
            if self.tries.count_first_once() {
                window.record_first(now);
            }
            Some(BudgetCharge::First)
        })
    }

    fn record_attempt(
        &self,
        gw: &Gateway,
        choice: &PlacementChoice,
        tried: &TryOutcome,
        used: UsedByAttempt,
        plan: AttemptPlan<'_>,
    ) {
        self.tries.record(tried);
        if choice.upstream.is_leaving() {
            gw.note_upstream_leaving(&choice.upstream, Now::read());
        }
        if choice.upstream.rate_limit().take_new_limit() {
            gw.note_rate_limit(&choice.upstream, Now::read());
        }
        self.record_room(gw, &choice.upstream, tried, Now::read());
        if matches!(tried, TryOutcome::NotRun(NotRunReason::OtherInstance)) {
            gw.knowledge
                .borrow_mut()
                .remove_upstream(choice.upstream.incarnation());
        }
        match tried {
            TryOutcome::Unknown(UnknownReason::ConnectionBroken(_)) => {
                self.record_broken_run(gw, &choice.upstream, Now::read());
            }
            TryOutcome::Unknown(_) => self.finish_trial(),
            TryOutcome::Answered(_) | TryOutcome::NotRun(_) => {}
        }
        gw.learn_from_attempt(&self.service, choice, tried, Now::read());
        gw.telemetry.record_attempt(self, choice, tried, used, plan);
    }

    /// Takes note of what an attempt has shown about the rejection limit and the room of an upstream.
    fn record_room(&self, gw: &Gateway, upstream: &Upstream, tried: &TryOutcome, now: Now) {
        gw.note_rejection_limit(upstream, now);
        if matches!(tried, TryOutcome::Answered(_)) {
            gw.rejection_limits.record_answer(&self.service);
        }
        if let TryOutcome::NotRun(NotRunReason::Refused(refusal)) = tried
            && !refusal.is_misdirected()
            && gw.limits_rejections(&self.service, now)
        {
            gw.note_rejection(upstream, now);
        }
    }

    fn build_outgoing(
        &self,
        gw: &Gateway,
        choice: &PlacementChoice,
        plan: AttemptPlan<'_>,
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
                _ => log::error!(request = self.request_id.as_str(); "cannot set a header"),
            }
        };
        let left = self.time_left(now).saturating_sub(DEADLINE_MARGIN);
        set(&names.deadline, &left.as_millis().to_string());
        set(
            &names.expect_instance,
            &choice.upstream.incarnation().instance,
        );
        if let PrefixSource::Fetched(source) = choice.prefix_source {
            set(&names.fetch_from, &source.to_string());
        }
        if let Some(organisation) = &self.organisation {
            set(&names.organisation, &organisation.name);
        }
        if self.route.kind.stream_gap().is_some() {
            let rank = self.organisation.as_ref().map_or(0, |found| found.priority);
            let urgency = urgency(rank, self.route.priority, choice.prefill_work());
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

/// Returns whether a model header leaves the choice of the model to the router.
pub fn lets_router_choose(model: Option<&str>) -> bool {
    model == Some(ANY_MODEL)
}

impl TryOutcome {
    /// Describes the outcome of the attempt for the log.
    pub fn describe(&self) -> String {
        match self {
            Self::Answered(answer) => format!("answered {}", answer.status),
            Self::NotRun(reason) => reason.to_string(),
            Self::Unknown(failure) => failure.to_string(),
        }
    }
}
