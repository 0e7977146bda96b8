//! One try of one request at one upstream, and what its outcome proves.
//!
//! Only here is it decided whether a try may have run: [`Tried::NotRun`] is made from an
//! upstream's own statement or from the proof that no byte was written, and nowhere
//! else. See `docs/design/platform.md`.

use super::connect::{Connection, ConnectionPool, http1_types};
use super::headers::{HeaderNames, parse_load};
use super::response_timeout::{ResponseTimeout, with_response_timeout};
use super::upstream::{PendingPrefill, Upstream};
use crate::clock::Now;
use crate::routing::placement::LoadGuard;
use crate::routing::signs::{SignHeaders, Signs};
use bytes::Bytes;
use http::header::RETRY_AFTER;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

const STATUS_MISDIRECTED_REQUEST: u16 = 421;

/// A request as one upstream is to get it.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// The method.
    pub method: http1_types::Method,
    /// The path with its query, as the caller sent it.
    pub target: String,
    /// All headers, those that the router sets included.
    pub headers: http1_types::HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The caller's id of the attempt, which the answer has to echo.
    pub request_id: String,
}

/// What came of a try.
#[derive(Debug)]
pub enum TryOutcome {
    /// The upstream's answer begins.
    Answered(Box<Answer>),
    /// The request did not run at this upstream and will not.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// Why a request certainly did not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotRunReason {
    /// No connection came about, so no byte was written.
    NoConnection(String),
    /// The upstream said to another request that it wants no more, or operators evacuated its hall,
    /// before a byte was written.
    Unavailable,
    /// The upstream said that it did not run the request.
    Refused(u16),
    /// Another instance has the address.
    OtherInstance,
}

/// Why it is not known whether a request ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnknownReason {
    /// The connection broke.
    ConnectionBroken(String),
    /// The answer belongs to another request or is none of the upstream's.
    MismatchedAnswer(&'static str),
    /// Nothing came in time.
    TimedOut,
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoConnection(reason) => write!(f, "no connection: {reason}"),
            Self::Unavailable => f.write_str("it wants no more requests"),
            Self::Refused(status) => write!(f, "refused with {status}"),
            Self::OtherInstance => f.write_str("another instance has the address"),
        }
    }
}

impl fmt::Display for UnknownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConnectionBroken(reason) => write!(f, "the connection broke: {reason}"),
            Self::MismatchedAnswer(reason) => write!(f, "not this request's answer: {reason}"),
            Self::TimedOut => f.write_str("nothing came in time"),
        }
    }
}

/// An upstream's answer, whose body is still to be read.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: http1_types::HeaderMap,
    /// When the request went out.
    pub sent_at: Duration,
    /// Whether the time to the first event tells how fast the upstream reads.
    pub measures_prefill_rate: bool,
    body: Incoming,
    connection: Option<Connection>,
    upstream: Rc<Upstream>,
    pending_prefill: Option<PendingPrefill>,
    _load: LoadGuard,
}

/// The next piece of a body.
#[derive(Debug)]
pub enum BodyChunk {
    /// Some bytes.
    Bytes(Bytes),
    /// The body is whole.
    End,
    /// The body broke off.
    Broken(String),
}

impl Answer {
    /// Reads the next piece of the body; none if patience ran out.
    pub async fn next_chunk_within(
        &mut self,
        connections: &ConnectionPool,
        timeout: ResponseTimeout,
    ) -> Option<BodyChunk> {
        let upstream = self.upstream.clone();
        with_response_timeout(connections, &upstream, timeout, self.next_chunk()).await
    }

    /// Reads the next piece of the body.
    pub async fn next_chunk(&mut self) -> BodyChunk {
        loop {
            let frame = self.body.frame().await;
            self.upstream.record_data_received(Now::read());
            match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => return BodyChunk::Bytes(bytes),
                    Err(_trailers) => {}
                },
                Some(Err(err)) => return BodyChunk::Broken(err.to_string()),
                None => return BodyChunk::End,
            }
        }
    }

    /// Reads the whole body, or says why it is not whole.
    pub async fn read_whole(&mut self, limit: usize) -> Result<Bytes, String> {
        let mut whole = bytes::BytesMut::new();
        loop {
            match self.next_chunk().await {
                BodyChunk::Bytes(bytes) if whole.len() + bytes.len() > limit => {
                    return Err(format!("the answer is larger than {limit} bytes"));
                }
                BodyChunk::Bytes(bytes) => whole.extend_from_slice(&bytes),
                BodyChunk::End => return Ok(whole.freeze()),
                BodyChunk::Broken(reason) => return Err(reason),
            }
        }
    }

    /// Records that the first event came, so that the prompt has been read.
    pub fn finish_prefill(&mut self) {
        self.pending_prefill = None;
    }

    /// Returns the upstream that answers.
    pub fn upstream(&self) -> &Rc<Upstream> {
        &self.upstream
    }

    /// Gives the connection back after a whole body, unless the upstream closes it.
    pub fn finish(mut self, connections: &ConnectionPool, now: Now) {
        self.upstream.record_success(now);
        let closes = self
            .headers
            .get(hyper::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if let Some(connection) = self.connection.take()
            && !closes
        {
            connections.release(self.upstream.life(), connection, now);
        }
    }
}

/// How a try is made.
#[derive(Debug, Clone, Copy)]
pub struct TryOptions {
    /// How long to wait for the head of the answer.
    pub head_timeout: ResponseTimeout,
    /// How long the upstream reads the prompt.
    pub prefill: Duration,
    /// Whether the upstream reads the prompt whole and has nothing else to read, as far as
    /// is known, so that the time to the first event tells how fast it reads.
    pub measures_prefill_rate: bool,
    /// Whether a connection that was used before may be used; one may close just as the
    /// request is written, which leaves open whether it ran.
    pub may_reuse_connection: bool,
}

/// Makes one try at one upstream.
pub async fn try_upstream(
    connections: &ConnectionPool,
    headers: &HeaderNames,
    upstream: &Rc<Upstream>,
    out: UpstreamRequest,
    options: TryOptions,
) -> TryOutcome {
    let load = upstream.begin_request();
    let pending_prefill = upstream.begin_prefill(options.prefill);
    let began = Now::read();
    let idle = match options.may_reuse_connection {
        true => connections.take_idle(upstream.life(), began),
        false => None,
    };
    let mut connection = match idle {
        Some(connection) => connection,
        None => match connections.open(upstream, began).await {
            Ok(connection) => connection,
            Err(err) => {
                upstream.record_connect_failure(Now::read());
                return TryOutcome::NotRun(NotRunReason::NoConnection(err.to_string()));
            }
        },
    };
    let takes_requests = !upstream.is_leaving() && !upstream.is_evacuated();
    if !takes_requests || upstream.is_in_retry_after(Now::read()) {
        return TryOutcome::NotRun(NotRunReason::Unavailable);
    }
    let request_id = out.request_id.clone();
    let req = match build_request(out) {
        Ok(req) => req,
        Err(reason) => return TryOutcome::NotRun(NotRunReason::NoConnection(reason)),
    };
    let sent = with_response_timeout(
        connections,
        upstream,
        options.head_timeout,
        connection.send(req),
    )
    .await;
    let now = Now::read();
    let res = match sent {
        Some(Ok(res)) => res,
        Some(Err(err)) => {
            if !connection.is_reused() {
                upstream.record_failure(now);
            }
            return TryOutcome::Unknown(UnknownReason::ConnectionBroken(err.to_string()));
        }
        None => return TryOutcome::Unknown(UnknownReason::TimedOut),
    };
    upstream.record_data_received(now);
    let (parts, body) = res.into_parts();
    let text = |name: &http::HeaderName| {
        parts
            .headers
            .get(name.as_str())
            .and_then(|value| value.to_str().ok())
    };
    if let Some(load) = text(&headers.load).and_then(parse_load) {
        upstream.record_load_report(load, now);
    }
    let echoed = text(&headers.request_id);
    if echoed.is_some_and(|echoed| echoed != request_id) {
        upstream.record_failure(now);
        return TryOutcome::Unknown(UnknownReason::MismatchedAnswer("it names another request"));
    }
    let status = parts.status.as_u16();
    // Another instance speaks for itself.
    if status == STATUS_MISDIRECTED_REQUEST {
        return TryOutcome::NotRun(NotRunReason::OtherInstance);
    }
    let signs = SignHeaders {
        leaving: text(&headers.leaving),
        retry_after: text(&RETRY_AFTER),
    };
    upstream.apply_head_signs(Signs::read(status, signs, now.wall), now);
    if text(&headers.not_executed).is_some() {
        return TryOutcome::NotRun(NotRunReason::Refused(status));
    }
    if let Some(reason) = mismatch_reason(&parts.headers, headers, parts.status, echoed) {
        upstream.record_failure(now);
        return TryOutcome::Unknown(UnknownReason::MismatchedAnswer(reason));
    }
    TryOutcome::Answered(Box::new(Answer {
        status,
        headers: parts.headers,
        sent_at: began.monotonic,
        measures_prefill_rate: options.measures_prefill_rate,
        body,
        connection: Some(connection),
        upstream: upstream.clone(),
        pending_prefill: Some(pending_prefill),
        _load: load,
    }))
}

/// Says what shows that an answer is not the upstream's answer to this request.
fn mismatch_reason(
    found: &http1_types::HeaderMap,
    names: &HeaderNames,
    status: hyper::StatusCode,
    echoed: Option<&str>,
) -> Option<&'static str> {
    if found.contains_key(hyper::header::CONTENT_ENCODING) {
        return Some("its body is encoded, and nobody asked for that");
    }
    let signed = found.contains_key(names.signature.as_str());
    match (status.is_success(), signed, echoed.is_some()) {
        (true, false, _) => Some("it has no signature"),
        (true, true, false) => Some("it names no request"),
        (false, false, false) => Some("it has neither a signature nor the request's id"),
        _ => None,
    }
}

fn build_request(out: UpstreamRequest) -> Result<http1_types::Request<Full<Bytes>>, String> {
    let mut req = http1_types::Request::builder()
        .method(out.method)
        .uri(out.target)
        .body(Full::new(out.body))
        .map_err(|err| format!("the request cannot be written: {err}"))?;
    *req.headers_mut() = out.headers;
    Ok(req)
}
