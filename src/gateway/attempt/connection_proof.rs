//! Proves that an upstream has accepted a connection and keeps it open, by a request to its health
//! path over that connection.
//!
//! A connection that has settled is only likely to be accepted, since a process that stands still
//! resets it later. An answer is certain. It takes a slot of the upstream for a moment, so that it
//! is asked for only over connections without a recent answer. See `docs/design/connections.md`.

use super::answer_ownership::Awaiting;
use super::connection::{Connection, ReceivedAnswer, SendError, http1_types};
use super::exchange::record_load_report;
use super::headers::HeaderNames;
use super::upstream::Upstream;
use super::upstream_answer::closes;
use crate::clock::Now;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// How long the answer may take. The request itself would wait as long for its slot, and another
/// upstream can still answer most callers in time.
const PROOF_TIMEOUT: Duration = Duration::from_millis(100);
/// The size limit of the answer's body.
const PROOF_BODY_LIMIT: usize = 4096;

/// How to ask the upstreams of a service for their health.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthCheck {
    /// The path, without a query.
    pub path: Arc<str>,
}

/// What became of a proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// An answer has come, and the connection stays open.
    Open,
    /// The upstream has ended the connection.
    Ended,
    /// The answer closes the connection or is too long, so that it proves nothing about the next
    /// request; the upstream is not to blame.
    Unusable,
    /// What came does not belong to the health check for certain. The connection must not be used
    /// again, since its answer may still come, in the place of another one.
    NotOwn,
    /// No answer came in time.
    Late,
}

/// Asks an upstream for its health over a connection.
pub async fn prove_open(
    connection: &mut Connection,
    upstream: &Upstream,
    check: &HealthCheck,
    names: &HeaderNames,
) -> Proof {
    let req = match health_request(upstream, check, names) {
        Ok(req) => req,
        Err(err) => {
            log::warn!(path = &*check.path; "the health path makes no request: {err}");
            return Proof::Late;
        }
    };
    let began = Now::read();
    let awaiting = Awaiting::HealthCheck(&upstream.incarnation().instance);
    let exchange = exchange(connection, upstream, req, awaiting, names);
    let proof = timeout(PROOF_TIMEOUT, exchange).await;
    // A box that stood still finds an old answer.
    let took = Now::read().monotonic.saturating_sub(began.monotonic);
    match proof {
        Ok(Proof::Open) if took > PROOF_TIMEOUT => Proof::Late,
        Ok(proof) => proof,
        Err(_elapsed) => Proof::Late,
    }
}

async fn exchange(
    connection: &mut Connection,
    upstream: &Upstream,
    req: http1_types::Request<Full<Bytes>>,
    awaiting: Awaiting<'_>,
    names: &HeaderNames,
) -> Proof {
    let ReceivedAnswer { head, body } = match connection.send(req, awaiting, names).await {
        Ok(answer) => answer,
        Err(SendError::Broken(_)) => return Proof::Ended,
        Err(SendError::NotOwn(err)) => {
            let instance = upstream.incarnation().instance.as_str();
            log::info!(upstream = instance; "closed a connection, an answer came that is not that to the health check: {err}");
            return Proof::NotOwn;
        }
    };
    let now = Now::read();
    upstream.record_data_received(now);
    record_load_report(upstream, &head, names, now);
    let body = Limited::new(body, PROOF_BODY_LIMIT).collect().await;
    let is_too_long = |err: &(dyn std::error::Error + 'static)| err.is::<LengthLimitError>();
    if closes(head.headers()) || body.as_ref().is_err_and(|err| is_too_long(&**err)) {
        return Proof::Unusable;
    }
    if body.is_err() || !connection.becomes_ready().await {
        return Proof::Ended;
    }
    connection.record_proof(Now::read());
    Proof::Open
}

fn health_request(
    upstream: &Upstream,
    check: &HealthCheck,
    names: &HeaderNames,
) -> hyper::http::Result<http1_types::Request<Full<Bytes>>> {
    let (address, instance) =
        upstream.with_listed(|listed| (listed.address, listed.instance.clone()));
    http1_types::Request::builder()
        .method(http1_types::Method::GET)
        .uri(&*check.path)
        .header(hyper::header::HOST, address.to_string())
        .header(names.expect_instance.as_str(), instance.as_str())
        .header(
            names.deadline.as_str(),
            PROOF_TIMEOUT.as_millis().to_string(),
        )
        .body(Full::default())
}
