//! Sends a request to an upstream and reports what is known if no response starts.
//!
//! All code paths that send requests go through here, so that there is a single rule for what
//! proves that a request was not sent, and for which request a response belongs to.

use super::body::UpstreamResponse;
use super::context::{Caller, Worker, refuse};
use super::headers::{
    LEAVING_HEADER, RATE_LIMIT_HEADER, REJECTION_LIMIT_HEADER, SLOTS_HEADER, UPSTREAM_ID_HEADER,
};
use crate::clock::{Now, millis};
use crate::http_client::is_final_status;
use crate::outcome::{ConnectFailed, DispatchLog, Reason, Refused};
use crate::routing::placement::Upstream;
use crate::routing::signals::{ResponseSignals, SignalHeaders};
use actix_http::header::{CONTENT_LENGTH, RETRY_AFTER, TRANSFER_ENCODING};
use actix_http::{Method, StatusCode};
use awc::SendClientRequest;
use awc::error::{ConnectError, SendRequestError};
use std::time::Duration;
use tokio::time::timeout;

/// Why no response started.
#[derive(Debug)]
pub struct DispatchFailure {
    /// The refusal for the caller.
    pub refused: Refused,
    /// Whether it is proved that this attempt wrote no byte.
    pub is_unsent: bool,
    /// Whether the failure may have arisen in this thread, which was late by itself, so that it
    /// proves nothing about the upstream.
    may_be_own: bool,
}

impl DispatchFailure {
    /// Records that the upstream failed a request that started at `started`, on the monotonic
    /// clock, unless the failure may have arisen in this thread.
    pub fn record(&self, upstream: &Upstream, started: Duration, now: Now) {
        if !self.may_be_own {
            upstream.load.record_failure(started, now);
        }
    }
}

/// Sends a request with a method and waits for the head of the response until the caller's deadline.
pub async fn dispatch(
    worker: &Worker,
    method: &Method,
    request: SendClientRequest,
    caller: &Caller,
    upstream: &Upstream,
    dispatch_log: &mut DispatchLog,
) -> Result<UpstreamResponse, DispatchFailure> {
    let attempt = dispatch_log.begin_try();
    let sent = Now::read();
    let result = timeout(caller.remaining_time(Now::read()), request).await;
    let is_timeout = match &result {
        Ok(Err(err)) => matches!(err, SendRequestError::Connect(ConnectError::Timeout)),
        Err(_elapsed) => true,
        Ok(Ok(_)) => false,
    };
    let (reason, message, proof) = match result {
        Ok(Ok(response)) if !is_final_status(response.status().as_u16()) => (
            Reason::UpstreamFailed,
            "the status is none of a response".to_owned(),
            None,
        ),
        Ok(Ok(response)) if !has_known_end(method, &response) => (
            Reason::UpstreamFailed,
            "the answer has neither a length nor chunks".to_owned(),
            None,
        ),
        Ok(Ok(response)) if matches_request(&response, caller) => {
            dispatch_log.record_maybe_sent(attempt);
            apply_signals(&response, upstream, sent, Now::read());
            return Ok(response);
        }
        Ok(Ok(_)) => (
            Reason::UpstreamFailed,
            "the upstream answered another request".to_owned(),
            None,
        ),
        Ok(Err(err)) => (
            Reason::UpstreamFailed,
            err.to_string(),
            ConnectFailed::from_send_error(&err),
        ),
        Err(_) => (Reason::Deadline, "the deadline passed".to_owned(), None),
    };
    let is_unsent = proof.is_some();
    match proof {
        Some(proof) => dispatch_log.record_unsent(attempt, proof),
        None => dispatch_log.record_maybe_sent(attempt),
    }
    let refused = refuse(dispatch_log.refusal_outcome(), reason, message);
    let saturation = &worker.own_limit.saturation;
    Err(DispatchFailure {
        refused,
        is_unsent,
        may_be_own: is_timeout && saturation.was_late_since(sent.monotonic, Now::read()),
    })
}

/// Returns whether the client reads the body of a response to its end: it takes a body that ends with
/// its connection for an empty one, which would look complete.
fn has_known_end(method: &Method, response: &UpstreamResponse) -> bool {
    let has_framing = [CONTENT_LENGTH, TRANSFER_ENCODING]
        .iter()
        .any(|name| response.headers().contains_key(name));
    let has_no_body = method == Method::HEAD
        || [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&response.status());
    has_framing || has_no_body
}

/// Returns whether a response belongs to the caller's request, if the upstream echoes the request's
/// id.
fn matches_request(response: &UpstreamResponse, caller: &Caller) -> bool {
    match response.headers().get(UPSTREAM_ID_HEADER) {
        Some(echoed) => echoed.as_bytes() == caller.request_id.as_bytes(),
        None => true,
    }
}

/// Reads from the response to a request that was sent at `sent` whether its upstream is leaving,
/// requests a back-off or has a rate limit.
fn apply_signals(response: &UpstreamResponse, upstream: &Upstream, sent: Now, now: Now) {
    let text = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok()
    };
    let headers = SignalHeaders {
        leaving: text(LEAVING_HEADER),
        retry_after: text(RETRY_AFTER.as_str()),
        rate_limit: text(RATE_LIMIT_HEADER),
        rejection_limit: text(REJECTION_LIMIT_HEADER),
        slots: text(SLOTS_HEADER),
    };
    let signs = ResponseSignals::read(response.status().as_u16(), headers, now.wall);
    let name = upstream.name.as_str();
    if signs.is_leaving {
        log::info!(upstream = name; "the upstream is leaving; no more requests are sent to it");
    }
    if let Some(backoff) = signs.requested_backoff {
        log::info!(upstream = name, rest_ms = millis(backoff); "the upstream asked for a back-off");
    }
    let load = &upstream.load;
    if load.apply_rate_limit(signs.rate_limit, sent, now, &mut rand::rng()) {
        match signs.rate_limit {
            Some(limit) => log::info!(upstream = name, limit; "the upstream states a rate limit"),
            None => log::info!(upstream = name; "the upstream's rate limit is over"),
        }
    }
    if load.apply_rejection_limit(signs, sent, now) {
        match signs.rejection_limit {
            Some(limit) => {
                log::info!(upstream = name, limit, slots = signs.slots.unwrap_or(0); "the upstream states a rejection limit");
            }
            None => log::info!(upstream = name; "the upstream's rejection limit is over"),
        }
    }
    if signs.is_refusal && signs.rejection_limit.is_some() {
        log::info!(upstream = name, outstanding = load.outstanding(); "the upstream rejected a request for lack of room");
    }
    load.apply_signals(signs, now);
}
