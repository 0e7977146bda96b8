//! The tries of one request, and what they prove.

use super::exchange::{NotRunReason, TryOutcome};
use super::upstream::Upstream;
use crate::gateway::answer::refusal::{Execution, RefusalReason};
use crate::gateway::control::store::UpstreamLife;
use std::cell::{Cell, RefCell};

/// The tries of one request so far.
#[derive(Debug, Default)]
pub struct TryHistory {
    tried_upstreams: RefCell<Vec<UpstreamLife>>,
    possible_runs: Cell<u32>,
    may_have_run: Cell<bool>,
    is_trying: Cell<bool>,
    refused: Cell<bool>,
    sent_count: Cell<u32>,
    counted_as_first: Cell<bool>,
}

impl TryHistory {
    /// Records that a try begins. Until its outcome is known, the request may have run.
    pub fn begin(&self) {
        self.is_trying.set(true);
    }

    /// Records the outcome of a try.
    pub fn record(&self, outcome: &TryOutcome) {
        self.is_trying.set(false);
        if outcome.was_sent() {
            self.sent_count.set(self.sent_count.get() + 1);
        }
        match outcome {
            TryOutcome::NotRun(NotRunReason::Refused(_) | NotRunReason::ConnectionRejected(_)) => {
                self.refused.set(true)
            }
            TryOutcome::NotRun(
                NotRunReason::OtherInstance
                | NotRunReason::NoConnection(_)
                | NotRunReason::Unavailable,
            ) => {}
            TryOutcome::Answered(_) | TryOutcome::Unknown(_) => {
                self.possible_runs.set(self.possible_runs.get() + 1);
                self.may_have_run.set(true);
            }
        }
    }

    /// Returns whether the request has still to be counted as a first send, and marks it as
    /// counted.
    ///
    /// Tries without a connection are not retries, but each of them must not earn the retry budget
    /// of a first send either.
    pub fn count_first_once(&self) -> bool {
        !self.counted_as_first.replace(true)
    }

    /// Returns the upstreams that are not to be tried again.
    pub fn tried_upstreams(&self) -> Vec<UpstreamLife> {
        self.tried_upstreams.borrow().clone()
    }

    /// Returns the number of tries that may have run.
    pub fn possible_runs(&self) -> u32 {
        self.possible_runs.get()
    }

    /// Returns whether the request may have run anywhere.
    pub fn ran(&self) -> Execution {
        match self.may_have_run.get() || self.is_trying.get() {
            true => Execution::Possible,
            false => Execution::Never,
        }
    }

    /// Returns why there is no upstream left to try: they refused the request, or there was none.
    pub fn exhausted_reason(&self) -> RefusalReason {
        match (self.ran(), self.refused.get()) {
            (Execution::Possible, _) => RefusalReason::UpstreamFailed,
            (Execution::Never, true) => RefusalReason::Full,
            (Execution::Never, false) => RefusalReason::NoUpstream,
        }
    }

    /// Returns whether an upstream has stated that it did not run the request.
    pub fn was_refused(&self) -> bool {
        self.refused.get()
    }

    /// Returns the number of tries that reached an upstream.
    pub fn sent_count(&self) -> u32 {
        self.sent_count.get()
    }

    /// Allows all upstreams to be tried again.
    pub fn allow_all_upstreams(&self) {
        self.tried_upstreams.borrow_mut().clear();
    }

    /// Excludes an upstream from further tries.
    pub fn exclude_upstream(&self, upstream: &Upstream) {
        self.tried_upstreams
            .borrow_mut()
            .push(upstream.incarnation().clone());
    }
}
