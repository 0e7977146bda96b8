//! For which requests a connection may be used, by the time since it was opened or carried an
//! answer.
//!
//! An upstream that has no room for a connection resets it right after accepting it, and closes
//! idle ones at times of its own choice. Neither is visible when a request is written, so a request
//! that may not be repeated is written only while both are unlikely. See
//! `docs/design/connections.md`.

use crate::clock::Now;
use std::time::Duration;

/// Bounds on the settle time: below, timers are too coarse; above, a request loses too much time.
const MIN_SETTLE: Duration = Duration::from_millis(4);
/// Where an upstream has just reset a connection, this is the settle time of the next ones.
pub const MAX_SETTLE: Duration = Duration::from_millis(40);
/// The settle time as a multiple of the connect time, in addition to [`MIN_SETTLE`]: a reset takes
/// one round trip and the time in which the upstream looks at the connection.
const SETTLE_ROUND_TRIPS: u32 = 3;
/// The settle time as a multiple of the latest reset that was seen.
const SETTLE_PER_RESET: u32 = 2;
/// How far a connect time or a reset still counts at the next connection, in eighths.
const EIGHTHS_KEPT: u32 = 7;

/// How long an upstream keeps idle connections at least, where it does not state it.
const ASSUMED_KEEP_ALIVE: Duration = Duration::from_secs(2);
/// The part of the keep-alive time for which a connection is kept for requests that may be
/// repeated, as a divisor.
const KEEP_DIVISOR: u32 = 2;
/// The same for requests that may not be repeated.
const SAFE_REST_DIVISOR: u32 = 20;
/// The limits of these times.
const MAX_KEEP: Duration = Duration::from_secs(10);
const MAX_SAFE_REST: Duration = Duration::from_millis(250);
/// How far below the shortest rest at which a connection was closed a rest counts as safe, as a
/// divisor.
const SAFE_CLOSE_DIVISOR: u32 = 4;
/// How long an early close is remembered at least, and at most twice as long.
const EARLY_CLOSE_RETENTION: Duration = Duration::from_secs(10);

/// How long a new connection to an upstream has to survive before it counts as accepted.
#[derive(Debug, Clone, Copy, Default)]
pub struct SettleTime {
    connect_time: Duration,
    latest_reset: Duration,
}

impl SettleTime {
    /// Records how long it took to open a connection.
    pub fn record_connect(&mut self, took: Duration) {
        self.connect_time = took.max(self.connect_time * EIGHTHS_KEPT / 8);
        self.latest_reset = self.latest_reset * EIGHTHS_KEPT / 8;
    }

    /// Records that a connection was reset before it carried an answer, at this age. Later ages
    /// than the bound of the settle time have other causes.
    pub fn record_reset(&mut self, age: Duration) {
        if age <= MAX_SETTLE {
            self.latest_reset = self.latest_reset.max(age);
        }
    }

    /// Returns the settle time.
    pub fn get(self) -> Duration {
        let round_trips = self.connect_time.min(MAX_SETTLE) * SETTLE_ROUND_TRIPS;
        (MIN_SETTLE + round_trips)
            .max(self.latest_reset * SETTLE_PER_RESET)
            .min(MAX_SETTLE)
    }
}

/// How long connections to the upstreams of a service may rest.
#[derive(Debug, Clone, Copy, Default)]
pub struct RestTimes {
    keep_alive: Option<Duration>,
    closes: ShortestClose,
}

/// The shortest rest at which a connection was closed, of the current period and the one before.
#[derive(Debug, Clone, Copy, Default)]
struct ShortestClose {
    period: u128,
    current: Option<Duration>,
    previous: Option<Duration>,
}

impl ShortestClose {
    fn at(self, now: Now) -> Self {
        let period = now.monotonic.as_nanos() / EARLY_CLOSE_RETENTION.as_nanos();
        let (current, previous) = match period.saturating_sub(self.period) {
            0 => (self.current, self.previous),
            1 => (None, self.current),
            _ => (None, None),
        };
        Self {
            period: period.max(self.period),
            current,
            previous,
        }
    }

    fn record(&mut self, rest: Duration) {
        self.current = Some(self.current.map_or(rest, |known| known.min(rest)));
    }

    fn get(self) -> Option<Duration> {
        self.current.into_iter().chain(self.previous).min()
    }
}

impl RestTimes {
    /// Records the keep-alive time that an upstream states.
    pub fn record_keep_alive(&mut self, stated: Duration) {
        self.keep_alive = Some(stated);
    }

    /// Records that an upstream closed a connection after this rest.
    pub fn record_close(&mut self, rest: Duration, now: Now) {
        self.closes = self.closes.at(now);
        self.closes.record(rest);
    }

    /// Forgets at which rests connections were closed.
    pub fn forget_closes(&mut self) {
        self.closes = ShortestClose::default();
    }

    /// Returns how long a connection is kept for requests that may be repeated.
    pub fn keep_time(self) -> Duration {
        (self.assumed_keep_alive() / KEEP_DIVISOR).min(MAX_KEEP)
    }

    /// Returns the longest rest after which a request that may not be repeated is written.
    pub fn safe_rest(self, now: Now) -> Duration {
        let by_statement = (self.assumed_keep_alive() / SAFE_REST_DIVISOR).min(MAX_SAFE_REST);
        match self.closes.at(now).get() {
            Some(rest) => by_statement.min(rest / SAFE_CLOSE_DIVISOR),
            None => by_statement,
        }
    }

    fn assumed_keep_alive(self) -> Duration {
        self.keep_alive.unwrap_or(ASSUMED_KEEP_ALIVE)
    }
}

/// What is known of an open connection without a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// It may still be reset or closed because of what happened last; it is confirmed after this
    /// long.
    Settling(Duration),
    /// The upstream has accepted it and has had no reason to close it.
    Confirmed,
    /// The upstream may have closed it or forgotten it.
    Rested,
}

impl ConnectionState {
    /// Returns the state of a connection that has rested for this long since it was opened or
    /// carried an answer.
    pub fn after_rest(rest: Duration, settle: Duration, safe_rest: Duration) -> Self {
        match settle.checked_sub(rest) {
            Some(left) if !left.is_zero() => Self::Settling(left),
            _ if rest <= usable_rest(settle, safe_rest) => Self::Confirmed,
            _ => Self::Rested,
        }
    }
}

/// Returns the longest rest after which a request that may not be repeated is written to a
/// connection that has settled or, with a settle time of zero, has just carried an answer.
///
/// However short the safe rest is, an upstream that accepted or answered a moment ago had no reason
/// to close the connection, and the box needs some time to write.
pub fn usable_rest(settle: Duration, safe_rest: Duration) -> Duration {
    safe_rest.max(settle * 2).max(MIN_SETTLE)
}

/// Parses the keep-alive time of a `Keep-Alive` header (`timeout=5, max=100`).
pub fn parse_keep_alive(text: &str) -> Option<Duration> {
    let parameters = text.split(',').filter_map(|part| part.split_once('='));
    let timeout = parameters
        .filter(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))
        .find_map(|(_, value)| value.trim().parse::<u32>().ok())?;
    Some(Duration::from_secs(timeout.into()))
}
