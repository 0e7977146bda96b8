//! Reads how long an upstream wants to be left alone.

use crate::clock::WallTime;
use std::time::Duration;

/// The longest rest that is kept; what is beyond is taken for a mistake of whoever wrote it.
const LONGEST: Duration = Duration::from_secs(24 * 3600);

/// Reads the value of a `Retry-After` header: seconds, fractions included, or a date (RFC 9110,
/// section 10.2.3). None for values that ask for no rest or that cannot be read.
pub fn parse(text: &str, now: WallTime) -> Option<Duration> {
    let text = text.trim();
    let rest = match text.parse::<f64>() {
        Ok(seconds) if seconds.is_finite() => {
            Duration::from_secs_f64(seconds.clamp(0.0, LONGEST.as_secs_f64()))
        }
        Ok(_) => return None,
        Err(_) => until(text, now)?,
    };
    (!rest.is_zero()).then_some(rest.min(LONGEST))
}

fn until(text: &str, now: WallTime) -> Option<Duration> {
    let parser = jiff::fmt::rfc2822::DateTimeParser::new();
    let date = parser.parse_timestamp(text).ok()?;
    let millis = u64::try_from(date.as_millisecond()).ok()?;
    Some(Duration::from_millis(millis.saturating_sub(now.0)))
}
