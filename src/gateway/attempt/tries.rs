//! The tries of one request, and what they prove.

use super::exchange::{NotRun, Tried};
use super::upstream::Upstream;
use crate::gateway::answer::refusal::{Execution, RefusalReason};
use crate::gateway::control::store::UpstreamLife;
use std::cell::{Cell, RefCell};

/// The tries of a request.
#[derive(Debug, Default)]
pub struct Tries {
    tried: RefCell<Vec<UpstreamLife>>,
    runs: Cell<u32>,
    may_have_run: Cell<bool>,
    refused: Cell<bool>,
    sent: Cell<u32>,
    counted: Cell<bool>,
}

impl Tries {
    /// Records what came of a try.
    pub fn record(&self, tried: &Tried) {
        if !matches!(
            tried,
            Tried::NotRun(NotRun::NoConnection(_) | NotRun::NotWanted)
        ) {
            self.sent.set(self.sent.get() + 1);
        }
        match tried {
            Tried::NotRun(NotRun::Refused(_)) => self.refused.set(true),
            Tried::NotRun(NotRun::OtherInstance | NotRun::NoConnection(_) | NotRun::NotWanted) => {}
            Tried::Answered(_) | Tried::Unknown(_) => {
                self.runs.set(self.runs.get() + 1);
                self.may_have_run.set(true);
            }
        }
    }

    /// Tells whether the request has still to be counted as a first one, and counts it.
    ///
    /// Tries that found no connection are not repeats, but they must not earn the budget
    /// of a first request each time either.
    pub fn count_first(&self) -> bool {
        !self.counted.replace(true)
    }

    /// Returns the lives of upstreams that should not be asked again.
    pub fn tried(&self) -> Vec<UpstreamLife> {
        self.tried.borrow().clone()
    }

    /// Returns the number of tries that may have run.
    pub fn runs(&self) -> u32 {
        self.runs.get()
    }

    /// Tells what may be said of the request.
    pub fn ran(&self) -> Execution {
        match self.may_have_run.get() {
            true => Execution::Possible,
            false => Execution::Never,
        }
    }

    /// Returns why no upstream is left: they refused, or there was none.
    pub fn exhausted(&self) -> RefusalReason {
        match (self.ran(), self.refused.get()) {
            (Execution::Possible, _) => RefusalReason::UpstreamFailed,
            (Execution::Never, true) => RefusalReason::Full,
            (Execution::Never, false) => RefusalReason::NoUpstream,
        }
    }

    /// Returns the number of tries that reached an upstream.
    pub fn sent(&self) -> u32 {
        self.sent.get()
    }

    /// Forgets which upstreams were tried, so that all may be asked again.
    pub fn allow_all(&self) {
        self.tried.borrow_mut().clear();
    }

    /// Records that the try's answer was dropped though it ran.
    pub fn exclude(&self, upstream: &Upstream) {
        self.tried.borrow_mut().push(upstream.life().clone());
    }
}
