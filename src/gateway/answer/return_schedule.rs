//! When refused callers are asked to come back, so that they return at the pace at which limited
//! upstreams can serve them.

use crate::clock::Now;
use std::collections::HashMap;
use std::time::Duration;

/// The longest time after which a caller is asked to come back: limits change within seconds.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(4);

/// The time of the last return that was assigned, by service.
#[derive(Debug, Default)]
pub struct ReturnSchedule(HashMap<String, Duration>);

impl ReturnSchedule {
    /// Returns after how long the next refused caller of a service should come back: one interval
    /// after the one before, and not before `earliest`.
    pub fn assign(
        &mut self,
        service: &str,
        earliest: Duration,
        interval: Duration,
        now: Now,
    ) -> Duration {
        let last = self.0.get(service).copied().unwrap_or_default();
        let latest = now.monotonic + MAX_RETURN_DELAY;
        let next = (last + interval).max(now.monotonic + earliest).min(latest);
        self.0.insert(service.to_owned(), next);
        next.saturating_sub(now.monotonic)
    }

    /// Does the same, unless the caller would have to come back later than `latest`.
    pub fn assign_within(
        &mut self,
        service: &str,
        earliest: Duration,
        latest: Duration,
        interval: Duration,
        now: Now,
    ) -> Option<Duration> {
        let last = self.0.get(service).copied().unwrap_or_default();
        let next = last.saturating_add(interval);
        if next.saturating_sub(now.monotonic) > latest || earliest > latest {
            return None;
        }
        Some(self.assign(service, earliest, interval, now))
    }
}
