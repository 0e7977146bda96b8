//! The present time, read in one place and passed to each function that makes decisions.
//!
//! Such functions take a [`Now`] instead of reading a clock, so that tests and measurements can
//! replay them. See `docs/design/overview.md`.

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Wall clock time in milliseconds since the Unix epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Parses a time in RFC 3339 format, such as `2026-12-01T00:00:00Z`.
    pub fn parse(text: &str) -> Option<Self> {
        let stamp: jiff::Timestamp = text.parse().ok()?;
        u64::try_from(stamp.as_millisecond()).ok().map(Self)
    }

    /// Returns the time in the format of HTTP headers; none if it is out of range for it.
    pub fn http_date(self) -> Option<String> {
        let millis = i64::try_from(self.0).ok()?;
        let stamp = jiff::Timestamp::from_millisecond(millis).ok()?;
        let printer = jiff::fmt::rfc2822::DateTimePrinter::new();
        printer.timestamp_to_rfc9110_string(&stamp).ok()
    }
}

impl std::fmt::Display for WallTime {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let millis = i64::try_from(self.0).unwrap_or(i64::MAX);
        match jiff::Timestamp::from_millisecond(millis) {
            Ok(stamp) => write!(f, "{stamp}"),
            Err(_) => write!(f, "{}ms", self.0),
        }
    }
}

/// Monotonic time at the start of the process. It is not zero because other processes report events
/// by their age, and events from before the start need a time too.
const MONOTONIC_AT_START: Duration = Duration::from_secs(3600);

/// Returns the time since the machine booted, including the time for which it was suspended.
///
/// The standard library's [`Instant`] does not advance while the machine is suspended, so a resumed
/// box would treat expired leases, keys and reports as valid.
fn since_boot() -> Duration {
    static FALLBACK_START: OnceLock<Instant> = OnceLock::new();
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => time.into(),
        Err(err) => {
            let start = FALLBACK_START.get_or_init(|| {
                log::error!(
                    "cannot read the boot-time clock, suspended time is not counted: {err}"
                );
                Instant::now()
            });
            start.elapsed()
        }
    }
}

/// The present time by a monotonic clock and by the wall clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Time since an hour before the process started, including the time for which the machine was
    /// suspended. It never goes back, so it is used for waits and ages.
    pub monotonic: Duration,
    /// Wall clock time, for dates in bundles and for the audit trail only.
    pub wall: WallTime,
}

impl Now {
    /// Reads both clocks of this machine.
    pub fn read() -> Self {
        static START: OnceLock<Duration> = OnceLock::new();
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let clock = since_boot();
        let start = *START.get_or_init(|| clock);
        Self {
            monotonic: MONOTONIC_AT_START + clock.saturating_sub(start),
            wall: WallTime(millis(wall)),
        }
    }
}

/// Returns a duration in whole milliseconds, the unit of messages and logs.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
