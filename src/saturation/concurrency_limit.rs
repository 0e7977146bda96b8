//! How many requests may be in progress at once without the process being late.
//!
//! The limit is found by additive increase and multiplicative decrease, as the window of a TCP
//! sender is. It bounds requests in progress and not arrivals, since what a request costs is spread
//! over the time for which its answer is relayed. See `docs/design/saturation.md`.

use crate::clock::Now;
use std::time::Duration;

/// The time between two changes of the limit, by when the effect of the first shows.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);
/// The part of the requests in progress that remain allowed while the process is late. It is not
/// applied to the limit itself, which takes effect only as requests end.
const DECREASE: f64 = 0.9;
/// The part that is added by a change upwards, and the least number.
const INCREASE: f64 = 0.05;
const MIN_INCREASE: f64 = 1.0;
/// The part of the limit from which it is in use, so that it may grow.
const IN_USE: f64 = 0.9;
/// The limit is never lower: a process that is late with so few requests is not late because of
/// them.
pub const MIN_LIMIT: u32 = 16;
/// How long the limit has to be out of use until there is none.
const UNUSED_LIFETIME: Duration = Duration::from_secs(5);

/// The limit of a thread, or of a process with one thread for requests; at first there is none.
#[derive(Debug, Default)]
pub struct ConcurrencyLimit {
    limit: Option<f64>,
    adjusted_at: Duration,
    used_at: Duration,
}

impl ConcurrencyLimit {
    /// Adjusts the limit to whether the process is late.
    pub fn adjust(&mut self, in_progress: u32, is_late: bool, now: Now) {
        if now.monotonic.saturating_sub(self.adjusted_at) < ADJUST_INTERVAL {
            return;
        }
        self.adjusted_at = now.monotonic;
        let in_progress = f64::from(in_progress);
        if is_late {
            let allowed = (in_progress * DECREASE).max(MIN_LIMIT.into());
            self.limit = Some(self.limit.map_or(allowed, |limit| limit.min(allowed)));
            self.used_at = now.monotonic;
            return;
        }
        let Some(limit) = self.limit else {
            return;
        };
        if in_progress >= limit * IN_USE {
            self.limit = Some(limit + (limit * INCREASE).max(MIN_INCREASE));
            self.used_at = now.monotonic;
        } else if now.monotonic.saturating_sub(self.used_at) >= UNUSED_LIFETIME {
            self.limit = None;
        }
    }

    /// Returns the limit, if there is one.
    pub fn get(&self) -> Option<u32> {
        self.limit.map(|limit| limit as u32)
    }

    /// Returns whether one more request may be in progress.
    pub fn has_room(&self, in_progress: u32) -> bool {
        self.get().is_none_or(|limit| in_progress < limit)
    }
}
