//! The present time, read in one place and passed to each function that decides.
//!
//! Deciding functions take a [`Now`] in place of reading a clock, so that tests
//! and measurements can replay them. See `docs/design/overview.md`.

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A moment of the wall clock, in milliseconds since the Unix epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Reads a moment from its RFC 3339 form, such as `2026-12-01T00:00:00Z`.
    pub fn parse(text: &str) -> Option<Self> {
        let stamp: jiff::Timestamp = text.parse().ok()?;
        u64::try_from(stamp.as_millisecond()).ok().map(Self)
    }

    /// Returns the moment as HTTP headers write it; none for one that no header can hold.
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

/// What the steady clock shows when the process starts. Other processes tell how long before
/// now something was so, and at a process that has just started that was before its start.
const START_OF_PROCESS: Duration = Duration::from_secs(3600);

/// Returns the time since the machine was booted.
///
/// The standard library's [`Instant`] stands still while a machine is suspended, so a box that
/// wakes up would take leases, keys and reports for as young as they were before.
fn since_boot() -> Duration {
    static FALLBACK_START: OnceLock<Instant> = OnceLock::new();
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => time.into(),
        Err(err) => {
            let start = FALLBACK_START.get_or_init(|| {
                log::error!("time for which the machine is suspended is not counted: {err}");
                Instant::now()
            });
            start.elapsed()
        }
    }
}

/// The present time, on the clock that never jumps and on the wall clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Time since an hour before the process started, with the time for which the machine was
    /// suspended; it never goes back, so waits and ages use it.
    pub monotonic: Duration,
    /// The wall clock, for dates in bundles and for the audit trail only.
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
            monotonic: START_OF_PROCESS + clock.saturating_sub(start),
            wall: WallTime(millis(wall)),
        }
    }
}

/// Returns a duration in whole milliseconds, as messages and logs carry it.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
