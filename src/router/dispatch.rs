//! Sends a request to an upstream, and says what is known when no answer begins.
//!
//! All ways of the data path go through here, so that the rule of what proves a request
//! unsent stands in one place.

use super::body::UpstreamResponse;
use super::context::{Caller, refuse};
use super::headers::LEAVING_HEADER;
use crate::clock::{Now, millis};
use crate::outcome::{ConnectFailed, DispatchLog, Reason, Refused};
use crate::routing::placement::Upstream;
use crate::routing::signs::{SignHeaders, Signs};
use actix_http::header::RETRY_AFTER;
use awc::SendClientRequest;
use tokio::time::timeout;

/// Why no answer began to come.
#[derive(Debug)]
pub struct DispatchFailure {
    /// What the caller would be told.
    pub refused: Refused,
    /// Whether it is proved that this try wrote no byte.
    pub is_unsent: bool,
}

/// Sends a request and waits for the head of its answer until the caller's deadline.
pub async fn dispatch(
    request: SendClientRequest,
    caller: &Caller,
    upstream: &Upstream,
    log: &mut DispatchLog,
) -> Result<UpstreamResponse, DispatchFailure> {
    let sending = log.begin_try();
    let answered = timeout(caller.time_left(Now::read()), request).await;
    let (reason, message, proof) = match answered {
        Ok(Ok(response)) => {
            log.record_maybe_sent(sending);
            read_signs(&response, upstream, Now::read());
            return Ok(response);
        }
        Ok(Err(err)) => (
            Reason::UpstreamFailed,
            err.to_string(),
            ConnectFailed::from_send_error(&err),
        ),
        Err(_) => (Reason::Deadline, "the deadline passed".to_owned(), None),
    };
    let is_unsent = proof.is_some();
    match proof {
        Some(proof) => log.record_unsent(sending, proof),
        None => log.record_maybe_sent(sending),
    }
    let refused = refuse(log.refusal_outcome(), reason, message);
    Err(DispatchFailure { refused, is_unsent })
}

/// Takes from an answer whether its upstream leaves, or wants nothing for a while.
fn read_signs(response: &UpstreamResponse, upstream: &Upstream, now: Now) {
    let text = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok()
    };
    let headers = SignHeaders {
        leaving: text(LEAVING_HEADER),
        retry_after: text(RETRY_AFTER.as_str()),
    };
    let signs = Signs::read(response.status().as_u16(), headers, now.wall);
    let name = upstream.name.as_str();
    if signs.leaves {
        log::info!(upstream = name; "the upstream has said that it leaves, nothing more is sent there");
    }
    if let Some(rest) = signs.rest {
        log::info!(upstream = name, rest_ms = millis(rest); "the upstream asks for rest");
    }
    upstream.load.take_signs(signs, now);
}
