//! Response headers, and responses that the router itself generates.

use super::context::Caller;
use crate::outcome::{Outcome, Reason, Refused};
use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use actix_http::{Response, StatusCode};
use serde_json::json;

/// States whether the request ran.
pub const OUTCOME_HEADER: &str = "gatepier-outcome";
/// Identifies the request, for repeats and for `gatepier explain`.
pub const REQUEST_ID_HEADER: &str = "gatepier-request-id";
/// The version that ran.
pub const VERSION_HEADER: &str = "gatepier-version";
/// Marks a response that was saved from an earlier send of the same request.
pub const REPEATED_HEADER: &str = "gatepier-repeated";
/// States whether an answer passed an inline gate by its rating.
pub const RATED_HEADER: &str = "gatepier-rated";

/// Returns the response for a refusal, with whether the request ran and when to retry.
pub fn refusal_response(refused: &Refused, request_id: Option<&str>) -> Response<BoxBody> {
    let status = StatusCode::from_u16(refused.reason.status());
    let mut res = Response::build(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    res.insert_header((OUTCOME_HEADER, refused.outcome.to_string()));
    if let Some(seconds) = refused.retry_after_seconds() {
        res.insert_header((RETRY_AFTER, seconds.to_string()));
    }
    if let Some(value) = request_id.and_then(|id| HeaderValue::from_str(id).ok()) {
        res.insert_header((REQUEST_ID_HEADER, value));
    }
    res.insert_header((CONTENT_TYPE, "application/json"));
    res.body(refusal_body(refused).to_string())
        .map_into_boxed_body()
}

/// Returns the bytes of the response that a caller finds on a connection that the router closes
/// with no request in progress: a request that the caller may have sent has not run.
pub fn connection_closing_response() -> Vec<u8> {
    let refused = Refused {
        outcome: Outcome::NotRun,
        reason: Reason::ConnectionClosed,
        message: "the router is stopping; send the request on another connection".to_owned(),
        retry_after: None,
    };
    let body = refusal_body(&refused).to_string();
    let response = refusal_response(&refused, None);
    let status = response.status();
    let mut text = format!("HTTP/1.1 {status}\r\nconnection: close\r\n");
    text += &format!("content-length: {}\r\n", body.len());
    for (name, value) in response.headers() {
        let value = value.to_str().unwrap_or_default();
        text += &format!("{name}: {value}\r\n");
    }
    format!("{text}\r\n{body}").into_bytes()
}

/// Returns the body of a refusal, in the format of the completions API's errors.
pub fn refusal_body(refused: &Refused) -> serde_json::Value {
    json!({
        "error": {
            "message": refused.message,
            "type": "gatepier",
            "code": refused.reason.name(),
        },
        "outcome": refused.outcome,
        "retry_after": refused.retry_after_seconds(),
    })
}

/// Returns the response for a refusal to a known caller.
pub fn refusal_response_to(refused: &Refused, caller: &Caller) -> Response<BoxBody> {
    refusal_response(refused, Some(&caller.request_id))
}
