//! Upstreams that state how many rejections for lack of room they bear in a second, and crash beyond
//! that.
//!
//! Whether such an upstream has room must not be found out by sending it a request. Each box
//! therefore uses its share of the upstream's slots only. See `docs/design/rejection-limits.md`.

use super::rate_limit::LimitStatement;
use crate::clock::Now;
use std::time::Duration;

/// The period over which upstreams count rejections. After one, no more requests are sent for this
/// long.
pub const REJECTION_PERIOD: Duration = Duration::from_secs(1);
/// The part of the slots in use that remains in use after a rejection.
const REMAINING_FRACTION: f64 = 0.8;
/// The part of all slots that is used again each second after that.
const REGAINED_FRACTION_PER_SECOND: f64 = 0.05;

/// The newest statement of an upstream about its rejection limit.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RejectionLimit {
    statement: Option<LimitStatement>,
}

impl RejectionLimit {
    /// Applies a statement unless a newer one is known; returns whether the limit changed.
    pub fn apply(&mut self, statement: LimitStatement) -> bool {
        if !statement.supersedes(self.statement) {
            return false;
        }
        let old = self.limit();
        self.statement = Some(statement);
        old != statement.limit
    }

    /// Returns the limit in force, in rejections per second.
    pub fn limit(&self) -> Option<f64> {
        self.statement.and_then(|statement| statement.limit)
    }

    /// Returns the newest statement; none if the upstream never stated a limit.
    pub fn statement(&self) -> Option<LimitStatement> {
        self.statement
    }
}

/// What rejections have shown of an upstream's room: it may accept fewer requests than it has slots.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RejectionHistory {
    last: Option<Rejection>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Rejection {
    at: Duration,
    /// The part of the slots that may be used from then on.
    usable_fraction: f64,
}

impl RejectionHistory {
    /// Records a rejection. Requests that are rejected together reduce the usable slots once.
    pub fn record(&mut self, now: Now) {
        let usable_fraction = match (self.last, self.pause_left(now)) {
            (Some(last), Some(_)) => last.usable_fraction,
            _ => self.usable_fraction(now) * REMAINING_FRACTION,
        };
        self.last = Some(Rejection {
            at: now.monotonic,
            usable_fraction,
        });
    }

    /// Returns how long no request may be sent because of a rejection; none if one may be sent now.
    pub fn pause_left(self, now: Now) -> Option<Duration> {
        let until = self.last?.at + REJECTION_PERIOD;
        let left = until.saturating_sub(now.monotonic);
        (!left.is_zero()).then_some(left)
    }

    /// Returns how many of the slots may be used, by all boxes together; at least one.
    pub fn usable_slots(self, slots: u32, now: Now) -> u32 {
        let usable = f64::from(slots) * self.usable_fraction(now);
        (usable as u32).max(1)
    }

    fn usable_fraction(self, now: Now) -> f64 {
        let Some(last) = self.last else {
            return 1.0;
        };
        let age = now.monotonic.saturating_sub(last.at).as_secs_f64();
        (last.usable_fraction + age * REGAINED_FRACTION_PER_SECOND).min(1.0)
    }
}

/// Returns how many of an upstream's slots the box of a rank uses. The shares of all boxes add up to
/// the slots.
pub fn slot_share(slots: u32, rank: usize, boxes: usize) -> u32 {
    let boxes = u32::try_from(boxes).unwrap_or(u32::MAX).max(1);
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    slots / boxes + u32::from(rank < slots % boxes)
}
