//! What the head of an answer says of its upstream, beside the answer itself.

use crate::clock::WallTime;
use crate::retry_after;
use std::time::Duration;

const TOO_MANY_REQUESTS: u16 = 429;
const UNAVAILABLE: u16 = 503;
/// The value by which an upstream says that it does not leave.
const NOT_LEAVING: &str = "0";

/// Whether an upstream leaves or wants rest, as the head of one of its answers says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Signs {
    /// It takes no more work and will end.
    pub leaves: bool,
    /// Whether it turned the request away for its own load.
    pub is_refusal: bool,
    /// For how long it wants nothing from whoever asked.
    pub rest: Option<Duration>,
}

/// The parts of an answer's head in which signs stand.
#[derive(Debug, Clone, Copy, Default)]
pub struct SignHeaders<'a> {
    /// The header by which an upstream says that it leaves.
    pub leaving: Option<&'a str>,
    /// `Retry-After`.
    pub retry_after: Option<&'a str>,
}

impl Signs {
    /// Reads the signs of an answer with a status.
    pub fn read(status: u16, headers: SignHeaders<'_>, now: WallTime) -> Self {
        let is_refusal = matches!(status, TOO_MANY_REQUESTS | UNAVAILABLE);
        let asked = headers.retry_after.filter(|_| is_refusal);
        let rest = asked.and_then(|text| retry_after::parse(text, now));
        if let (Some(text), None) = (asked, rest) {
            log::debug!("an upstream asked for no rest by `{text}`");
        }
        let leaving = headers.leaving.map(str::trim);
        Self {
            leaves: leaving.is_some_and(|value| value != NOT_LEAVING),
            is_refusal,
            rest,
        }
    }
}
