//! Which part of an upstream's connection limit a box may use, and how many spare connections it
//! opens ahead of need.
//!
//! These are functions of what a box knows, without a network and without a clock. See
//! `docs/design/connections.md`.

use super::upstream::Upstream;
use crate::clock::Now;
use std::num::NonZeroU32;
use std::time::Duration;

/// Maximum number of spare connections that a box holds to one upstream.
const MAX_SPARE: u32 = 4;
/// How many requests have to arrive for each spare connection while it stays usable, on average.
/// With fewer, many would become unusable before a request takes them.
const REQUESTS_PER_SPARE: f64 = 3.0;
/// The time constant of the request rate: some seconds of traffic.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// What a box knows of the other boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleet {
    /// The number of boxes that are registered or were until recently, including this one.
    pub boxes: u32,
    /// Whether a message from another box has arrived recently.
    pub hears_others: bool,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            boxes: 1,
            hears_others: false,
        }
    }
}

/// The requests that need a connection to an upstream at the moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Those of this box.
    pub own: u32,
    /// Those of all other boxes together, as far as this box knows.
    pub others: u32,
}

impl Demand {
    /// Returns the demand for connections to an upstream by what it and the other boxes report.
    pub fn at(upstream: &Upstream, now: Now) -> Self {
        let own = upstream.outstanding();
        Self {
            own,
            others: upstream.occupancy(now).saturating_sub(own),
        }
    }
}

/// Returns how many connections a box may have open to an upstream, idle ones included.
///
/// It may have one for each of its requests, and an equal part of what the requests of all boxes
/// leave of the limit. If they need more than the limit, each box gets a part by its demand. As long
/// as boxes agree on the demand and on their number, the shares add up to at most the limit. A box
/// that hears no other box does not know the demand, so it uses an equal share of the limit.
pub fn share(limit: NonZeroU32, fleet: Fleet, demand: Demand) -> u32 {
    let limit = limit.get();
    let boxes = fleet.boxes.max(1);
    if boxes > 1 && !fleet.hears_others {
        return limit / boxes;
    }
    let total = u64::from(demand.own) + u64::from(demand.others);
    match u64::from(limit).checked_sub(total) {
        Some(left) => demand.own + u32::try_from(left / u64::from(boxes)).unwrap_or(0),
        None => {
            let part = u64::from(limit) * u64::from(demand.own) / total;
            u32::try_from(part).unwrap_or(limit)
        }
    }
}

/// Returns whether a request may open a connection beside those that are already open.
///
/// A box may always have one, even where the limit is smaller than the number of boxes: it would
/// never serve otherwise, and most boxes are idle at an upstream at any moment.
pub fn may_open_for_request(open: u32, share: Option<u32>) -> bool {
    share.is_none_or(|share| open < share.max(1))
}

/// Returns how many connections that a request can use at once a box holds to an upstream.
///
/// `opening` is the time until a new connection may be used, `usable` how long it stays usable
/// without a request, and `room` how many more connections the share allows.
pub fn spare_target(
    requests_per_second: f64,
    opening: Duration,
    usable: Duration,
    room: u32,
) -> u32 {
    let taken_in_time = requests_per_second * usable.as_secs_f64() / REQUESTS_PER_SPARE;
    let during_opening = (requests_per_second * opening.as_secs_f64()).ceil();
    // The conversions saturate, and yield zero for what is no number.
    (during_opening as u32)
        .saturating_add(1)
        .min(taken_in_time as u32)
        .min(MAX_SPARE)
        .min(room)
}

/// The recent rate of requests, which decays exponentially.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestRate {
    count: f64,
    updated_at: Duration,
}

impl RequestRate {
    /// Counts a request.
    pub fn record(&mut self, now: Now) {
        self.count = self.decayed(now) + 1.0;
        self.updated_at = now.monotonic;
    }

    /// Returns the requests per second.
    pub fn per_second(self, now: Now) -> f64 {
        self.decayed(now) / RATE_TIME_CONSTANT.as_secs_f64()
    }

    fn decayed(self, now: Now) -> f64 {
        let age = now.monotonic.saturating_sub(self.updated_at);
        self.count * (-age.as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }
}
