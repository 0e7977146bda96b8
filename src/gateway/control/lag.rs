//! Tracks how long a box has been behind a revision that it knows to exist.

use crate::clock::Now;
use std::time::Duration;

/// How long a report of a newer revision counts as current: two and a half poll intervals. A box
/// without recent reports is considered disconnected and keeps serving with the state that it has.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// The newer revision that this box knows to exist but has not reached yet, if any.
#[derive(Debug, Default)]
pub struct Lag(Option<NewerRevision>);

/// A revision that exists and that this box has not reached yet.
#[derive(Debug, Clone, Copy)]
struct NewerRevision {
    /// The revision that this box has to reach.
    revision: u64,
    /// When this box was first notified of this revision, and when it was last notified of any
    /// newer one.
    first_reported: Duration,
    last_reported: Duration,
}

impl Lag {
    /// Records that the store or another box has a revision that this box lacks.
    pub fn record_newer_revision(&mut self, revision: u64, now: Now) {
        let reported = now.monotonic;
        let newer = self.0.get_or_insert(NewerRevision {
            revision,
            first_reported: reported,
            last_reported: reported,
        });
        newer.last_reported = reported;
    }

    /// Records that this box has reached a revision.
    pub fn record_reached_revision(&mut self, revision: u64) {
        self.0 = self.0.filter(|newer| newer.revision > revision);
    }

    /// Returns how long this box has known that it is behind, whether or not it still gets reports;
    /// `None` if it has reached the reported revision.
    pub fn known_for(&self, now: Now) -> Option<Duration> {
        let newer = self.0?;
        Some(now.monotonic.saturating_sub(newer.first_reported))
    }

    /// Returns how long this box has been behind, as long as it still gets reports of newer
    /// revisions; `None` if it has reached the reported revision.
    pub fn duration(&self, now: Now) -> Option<Duration> {
        let newer = self.0?;
        let is_recent = now.monotonic.saturating_sub(newer.last_reported) < REPORT_LIFETIME;
        is_recent.then(|| now.monotonic.saturating_sub(newer.first_reported))
    }
}
