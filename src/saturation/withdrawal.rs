//! When a process that has more to do than it can asks the load balancer to send new callers
//! elsewhere.

use crate::clock::Now;
use std::time::Duration;

/// How long a process has to be full until it asks for that: bursts pass sooner.
const MIN_EPISODE: Duration = Duration::from_millis(300);
/// The time without being full after which an episode is over.
const EPISODE_GAP: Duration = Duration::from_secs(1);
/// How long a process stays out of rotation after it was full last. A load balancer takes about two
/// seconds to notice, in which a process that returned too early is full again.
const MIN_HOLD: Duration = Duration::from_secs(10);
/// The same after several returns that ended in being full again.
const MAX_HOLD: Duration = Duration::from_secs(40);

/// Whether a process is out of rotation because it is full.
#[derive(Debug, Default)]
pub struct Withdrawal {
    episode: Option<Episode>,
    hold: Duration,
    until: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Episode {
    began: Duration,
    latest: Duration,
}

impl Withdrawal {
    /// Records that the process is full; returns whether it withdraws because of that.
    pub fn record_full(&mut self, now: Now) -> bool {
        let now = now.monotonic;
        let going_on = self
            .episode
            .filter(|episode| now.saturating_sub(episode.latest) < EPISODE_GAP);
        let began = going_on.map_or(now, |episode| episode.began);
        self.episode = Some(Episode { began, latest: now });
        if now.saturating_sub(began) < MIN_EPISODE {
            return false;
        }
        let was_withdrawn = now < self.until;
        if !was_withdrawn {
            // Full again soon after a return: the callers are still there.
            let is_early = self.hold > Duration::ZERO && now < self.until + self.hold;
            self.hold = match is_early {
                true => (self.hold * 2).min(MAX_HOLD),
                false => MIN_HOLD,
            };
        }
        self.until = now + self.hold;
        !was_withdrawn
    }

    /// Returns whether new callers should be sent elsewhere.
    pub fn is_withdrawn(&self, now: Now) -> bool {
        now.monotonic < self.until
    }
}
