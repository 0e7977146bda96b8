//! How long a box has known that something newer exists than it has.

use crate::clock::Now;
use std::time::Duration;

/// How long a box that hears of nothing newer any more is taken to be in touch: two and a
/// half questions. A box that was cut off serves on by what it has.
const HEARD_LIFETIME: Duration = Duration::from_secs(1);

/// What a box has heard of that it does not have yet.
#[derive(Debug, Default)]
pub struct Lag(Option<Newer>);

/// Something that exists and that this box does not have yet.
#[derive(Debug, Clone, Copy)]
struct Newer {
    /// The revision that is reached with it.
    revision: u64,
    /// When this box first heard of it, and when it last heard of anything newer.
    since: Duration,
    heard: Duration,
}

impl Lag {
    /// Records that the store, or another box, has reached a revision that this one lacks.
    pub fn hear_of_newer(&mut self, revision: u64, now: Now) {
        let heard = now.monotonic;
        let newer = self.0.get_or_insert(Newer {
            revision,
            since: heard,
            heard,
        });
        newer.heard = heard;
    }

    /// Records that a revision has been reached.
    pub fn reach(&mut self, revision: u64) {
        self.0 = self.0.filter(|newer| newer.revision > revision);
    }

    /// Returns how long this box has known that something newer exists, while it still hears
    /// so; none if it has the newest that it heard of.
    pub fn lasts(&self, now: Now) -> Option<Duration> {
        let newer = self.0?;
        let is_heard = now.monotonic.saturating_sub(newer.heard) < HEARD_LIFETIME;
        is_heard.then(|| now.monotonic.saturating_sub(newer.since))
    }
}
