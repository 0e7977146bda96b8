//! Parses the `Retry-After` header, with which an upstream requests a back-off.

use crate::clock::WallTime;
use std::time::Duration;

/// The maximum back-off; a longer one is shortened to it, as it is probably a mistake.
const MAX_BACKOFF: Duration = Duration::from_secs(24 * 3600);

/// Parses the value of a `Retry-After` header: seconds, which may have a fraction, or a date
/// (RFC 9110, section 10.2.3). Returns `None` if the value is invalid or requests no back-off.
pub fn parse(text: &str, now: WallTime) -> Option<Duration> {
    let text = text.trim();
    let backoff = match text.parse::<f64>() {
        Ok(seconds) if seconds.is_finite() => {
            Duration::from_secs_f64(seconds.clamp(0.0, MAX_BACKOFF.as_secs_f64()))
        }
        Ok(_) => return None,
        Err(_) => time_until(text, now)?,
    };
    (!backoff.is_zero()).then_some(backoff.min(MAX_BACKOFF))
}

/// Returns the time from `now` until a date; zero if the date has passed.
fn time_until(text: &str, now: WallTime) -> Option<Duration> {
    let parser = jiff::fmt::rfc2822::DateTimeParser::new();
    let date = parser.parse_timestamp(text).ok()?;
    let millis = u64::try_from(date.as_millisecond()).ok()?;
    Some(Duration::from_millis(millis.saturating_sub(now.0)))
}
