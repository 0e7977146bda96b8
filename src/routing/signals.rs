//! Signals in the head of a response about the state of the upstream: leaving or overloaded.

use crate::clock::WallTime;
use crate::retry_after;
use std::time::Duration;

const TOO_MANY_REQUESTS: u16 = 429;
const UNAVAILABLE: u16 = 503;
/// Value of the leaving header of an upstream that is not leaving.
const NOT_LEAVING: &str = "0";

/// Signals about the state of an upstream from the head of one of its responses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseSignals {
    /// Whether the upstream accepts no more work and is about to stop.
    pub is_leaving: bool,
    /// Whether the upstream refused the request with 429 or 503.
    pub is_refusal: bool,
    /// Backoff that a refusal requests by `Retry-After`.
    pub requested_backoff: Option<Duration>,
    /// The requests per second that the upstream accepts from all boxes together, if it states a
    /// limit.
    pub rate_limit: Option<f64>,
    /// The rejections for lack of room per second that the upstream bears, if it states so; beyond
    /// that it crashes.
    pub rejection_limit: Option<u32>,
    /// How many requests the upstream runs at the same time, if it states so.
    pub slots: Option<u32>,
}

/// Response headers that contain signals.
#[derive(Debug, Clone, Copy, Default)]
pub struct SignalHeaders<'a> {
    /// Value of the header by which an upstream announces that it is leaving.
    pub leaving: Option<&'a str>,
    /// Value of `Retry-After`.
    pub retry_after: Option<&'a str>,
    /// Value of the header in which an upstream states its rate limit.
    pub rate_limit: Option<&'a str>,
    /// Value of the header in which an upstream states its rejection limit.
    pub rejection_limit: Option<&'a str>,
    /// Value of the header in which an upstream states its slots.
    pub slots: Option<&'a str>,
}

impl ResponseSignals {
    /// Reads the signals of a response with the given status.
    pub fn read(status: u16, headers: SignalHeaders<'_>, now: WallTime) -> Self {
        let is_refusal = matches!(status, TOO_MANY_REQUESTS | UNAVAILABLE);
        let retry_after_text = headers.retry_after.filter(|_| is_refusal);
        let requested_backoff = retry_after_text.and_then(|text| retry_after::parse(text, now));
        if let (Some(text), None) = (retry_after_text, requested_backoff) {
            log::debug!(
                "ignoring the Retry-After `{text}` of an upstream: invalid or no time left"
            );
        }
        let leaving = headers.leaving.map(str::trim);
        Self {
            is_leaving: leaving.is_some_and(|value| value != NOT_LEAVING),
            is_refusal,
            requested_backoff,
            rate_limit: headers.rate_limit.and_then(parse_rate_limit),
            rejection_limit: headers.rejection_limit.map(parse_rejection_limit),
            slots: headers.slots.and_then(|text| text.trim().parse().ok()),
        }
    }
}

/// Parses a rate limit in requests per second; an invalid one is logged and ignored.
fn parse_rate_limit(text: &str) -> Option<f64> {
    let limit = text.trim().parse::<f64>().ok();
    let valid = limit.filter(|limit| limit.is_finite() && *limit >= 0.0);
    if valid.is_none() {
        log::debug!("ignoring the invalid rate limit `{text}` of an upstream");
    }
    valid
}

/// Parses a rejection limit. The upstream has one although its number is invalid, so that the
/// strictest is assumed.
fn parse_rejection_limit(text: &str) -> u32 {
    text.trim().parse().unwrap_or_else(|_| {
        log::debug!("the rejection limit `{text}` of an upstream is invalid, assuming 0");
        0
    })
}
