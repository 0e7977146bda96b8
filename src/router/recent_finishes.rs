//! Keeps how recent requests ended, to report it again to an agent that lost it.

use crate::clock::Now;
use crate::wire::message::ControlRequest;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// How long the end of a request is kept to be reported again. The ledger is written every few
/// seconds, so within this time a billing record is stored unless the store is unavailable.
const FINISH_RETENTION: Duration = Duration::from_secs(60);
const MAX_FINISHES: usize = 2_000;

/// How recent requests ended, so that it can be reported again if an agent lost it before the
/// billing records reached the ledger.
#[derive(Debug, Default)]
pub struct RecentFinishes {
    finishes: Mutex<VecDeque<(Duration, ControlRequest)>>,
}

impl RecentFinishes {
    /// Adds how a request ended, and removes entries that are too old.
    pub fn push(&self, request: ControlRequest, now: Now) {
        let mut finishes = self.finishes.lock().unwrap_or_else(PoisonError::into_inner);
        finishes.push_back((now.monotonic, request));
        remove_old(&mut finishes, now);
    }

    /// Returns how recent requests ended.
    pub fn recent(&self, now: Now) -> Vec<ControlRequest> {
        let mut finishes = self.finishes.lock().unwrap_or_else(PoisonError::into_inner);
        remove_old(&mut finishes, now);
        finishes
            .iter()
            .map(|(_, request)| request.clone())
            .collect()
    }
}

fn remove_old(finishes: &mut VecDeque<(Duration, ControlRequest)>, now: Now) {
    let is_old = |ended: Duration| now.monotonic.saturating_sub(ended) > FINISH_RETENTION;
    while finishes.front().is_some_and(|(ended, _)| is_old(*ended)) || finishes.len() > MAX_FINISHES
    {
        finishes.pop_front();
    }
}
