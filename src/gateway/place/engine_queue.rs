//! Estimates what an engine has still to read, from reports that are older than its queue lasts.
//!
//! With many boxes a report is a second old and more, in which an engine reads a dozen prompts. What
//! it said of one engine then says little by now, and if all boxes followed it, all would send to
//! the engines that were idle a second ago. See `docs/design/uneven-engines.md`.

use super::cache_affinity::rendezvous_weight;
use super::engine_speed::SpeedBelief;
use crate::clock::Now;
use crate::gateway::attempt::upstream::Upstream;
use std::rc::Rc;
use std::time::Duration;

/// Age at which a report counts half, and what other engines have the other half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(350);

/// What placement estimates of the queues of a service's engines.
#[derive(Debug, Clone, Copy)]
pub struct QueueEstimate {
    /// What the other boxes have at an engine on the mean, in seconds at the usual speed.
    mean_peer_seconds: f64,
    /// The number of requests that the other boxes have at an engine on the mean.
    mean_peer_requests: f64,
    seed: u64,
}

impl QueueEstimate {
    /// Prepares the estimate for a request, whose hash is given.
    pub fn new(candidates: &[&Rc<Upstream>], seed: u64) -> Self {
        let reported = candidates.iter().map(|upstream| upstream.peer_load());
        let (seconds, requests) = reported.filter(|load| load.counts_age).fold(
            (0.0, 0.0),
            |(seconds, requests), load| {
                let pending = load.pending_prefill.as_secs_f64();
                (seconds + pending, requests + f64::from(load.outstanding))
            },
        );
        let engines = candidates.len().max(1) as f64;
        Self {
            mean_peer_seconds: seconds / engines,
            mean_peer_requests: requests / engines,
            seed,
        }
    }

    /// Returns one of the values that the work of an engine may have, at the usual speed, by a hash
    /// of request and engine.
    ///
    /// Requests that compare these values spread over engines whose reports are old, the more the
    /// older they are, and follow reports that are new.
    pub fn sampled(&self, upstream: &Upstream, speed: SpeedBelief, now: Now) -> Duration {
        let reported = upstream.peer_load();
        let remaining = reported.remaining_prefill(speed, now);
        let own = upstream.own_pending_prefill();
        if !reported.counts_age {
            return own + remaining;
        }
        let age = now.monotonic.saturating_sub(reported.as_of);
        let known_part = (-age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64()).exp2();
        let known_seconds = known_part * reported.pending_prefill.as_secs_f64();
        let other_seconds = (1.0 - known_part) * self.drawn_seconds(upstream);
        let estimated = Duration::try_from_secs_f64(known_seconds + other_seconds);
        own + estimated.unwrap_or(remaining).max(remaining)
    }

    /// Returns how many streams run at an engine: of what other boxes have there, half by their
    /// reports and half as at other engines, since streams last about as long as reports are old.
    pub fn streams(&self, upstream: &Upstream) -> f64 {
        let peers = f64::from(upstream.peer_load().outstanding);
        f64::from(upstream.outstanding()) + (peers + self.mean_peer_requests) / 2.0
    }

    /// Draws what other boxes may have at an engine of which nothing is known: up to twice the mean.
    fn drawn_seconds(&self, upstream: &Upstream) -> f64 {
        let weight = rendezvous_weight(upstream, !self.seed);
        let fraction = (weight >> u32::BITS) as f64 / f64::from(u32::MAX);
        2.0 * fraction * self.mean_peer_seconds
    }
}
