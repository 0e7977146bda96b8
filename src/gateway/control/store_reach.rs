//! Tracks whether this box's own calls reach the store.

use crate::clock::Now;
use std::time::Duration;

/// How long after the store has answered again a box still counts as cut off: it takes a few calls
/// to catch up with what it has missed.
const CATCH_UP_TIME: Duration = Duration::from_millis(500);

/// The latest outcomes of this box's calls to the store.
#[derive(Debug, Default, Clone, Copy)]
pub struct StoreReach {
    failed_at: Option<Duration>,
    /// The first answer after the latest failure.
    answered_at: Option<Duration>,
}

impl StoreReach {
    /// Records that a call failed or stays unanswered.
    pub fn record_failure(&mut self, now: Now) {
        *self = Self {
            failed_at: Some(now.monotonic),
            answered_at: None,
        };
    }

    /// Records that a call was answered.
    pub fn record_answer(&mut self, now: Now) {
        self.answered_at.get_or_insert(now.monotonic);
    }

    /// Returns whether a call failed since the box's state was last confirmed to be current. A
    /// failure from before that says nothing of the time since.
    pub fn has_failed_since(&self, confirmed_at: Option<Duration>) -> bool {
        self.failed_at.is_some() && self.failed_at >= confirmed_at
    }

    /// Returns whether the box is cut off from the store, given when its state was last confirmed
    /// to be current.
    pub fn is_lost(&self, confirmed_at: Option<Duration>, now: Now) -> bool {
        let answered_long_ago = self
            .answered_at
            .is_some_and(|at| now.monotonic.saturating_sub(at) >= CATCH_UP_TIME);
        self.has_failed_since(confirmed_at) && !answered_long_ago
    }
}
