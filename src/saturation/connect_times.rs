//! How much longer than usual it takes to open connections.

use crate::clock::Now;
use std::collections::HashMap;
use std::time::Duration;

/// How long the shortest connect time is remembered at least: longer than a link is full, and short
/// enough that a new way through the network is soon the usual one.
const BASELINE_PERIOD: Duration = Duration::from_secs(60);

/// The shortest connect times to the upstreams of each hall, which are those over an idle network.
#[derive(Debug, Default)]
pub struct ConnectTimes(HashMap<String, Baseline>);

/// The shortest time of this period and of the one before.
#[derive(Debug, Clone, Copy)]
struct Baseline {
    began: Duration,
    least: Duration,
    least_before: Duration,
}

impl ConnectTimes {
    /// Records a connect time; returns how much longer it was than the shortest to the same hall.
    pub fn excess(&mut self, hall: &str, took: Duration, now: Now) -> Duration {
        let Some(known) = self.0.get_mut(hall) else {
            let first = Baseline {
                began: now.monotonic,
                least: took,
                least_before: took,
            };
            self.0.insert(hall.to_owned(), first);
            return Duration::ZERO;
        };
        if now.monotonic.saturating_sub(known.began) >= BASELINE_PERIOD {
            *known = Baseline {
                began: now.monotonic,
                least: took,
                least_before: known.least,
            };
        }
        known.least = known.least.min(took);
        took.saturating_sub(known.least.min(known.least_before))
    }
}
