//! A single try of a request at one upstream, and what its outcome proves.
//!
//! Only this module decides whether a request may have run: [`TryOutcome::NotRun`] requires the
//! upstream's own statement or the proof that no byte was written. See `docs/design/platform.md`.

use super::connect::{
    Connection, ConnectionOrigin, ConnectionPool, ConnectionRules, NoConnection, RequestLoss,
    http1_types,
};
use super::connection_age::parse_keep_alive;
use super::headers::{HeaderNames, parse_load};
use super::response_timeout::{ResponseTimeout, with_response_timeout};
use super::upstream::{PendingPrefill, Upstream};
use crate::clock::Now;
use crate::routing::placement::LoadGuard;
use crate::routing::signals::{ResponseSignals, SignalHeaders};
use bytes::Bytes;
use http::header::RETRY_AFTER;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::{Body as _, Incoming};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// How long the end of a refusal's body may take for its connection to be kept; refusals have no
/// body, or a short one that arrives with the head.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(2);
/// The size limit of such a body.
const REFUSAL_BODY_LIMIT: usize = 4096;
const KEEP_ALIVE: &str = "keep-alive";
const STATUS_MISDIRECTED_REQUEST: u16 = 421;

/// A request as it is sent to one upstream.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// The method.
    pub method: http1_types::Method,
    /// The path with the query, as the caller sent it.
    pub target: String,
    /// All headers, including those set by the router.
    pub headers: http1_types::HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The caller's id of the attempt, which the answer has to echo.
    pub request_id: String,
}

/// The outcome of a try.
#[derive(Debug)]
pub enum TryOutcome {
    /// The head of the answer has arrived.
    Answered(Box<Answer>),
    /// The request did not run at this upstream and will not run there.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// Why a request certainly did not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotRunReason {
    /// No connection could be opened, so no byte was written.
    NoConnection(String),
    /// The upstream has no room for another connection, so no byte was written.
    ConnectionRejected(String),
    /// Before a byte was written, the upstream announced in an answer to another request that it
    /// takes no more, or operators evacuated its hall.
    Unavailable,
    /// The upstream stated that it did not run the request.
    Refused(u16),
    /// Another instance has the address.
    OtherInstance,
}

/// Why it is unknown whether a request ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnknownReason {
    /// The connection broke.
    ConnectionBroken(String),
    /// The answer belongs to another request or does not come from the upstream.
    MismatchedAnswer(&'static str),
    /// No answer arrived in time.
    TimedOut,
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoConnection(reason) => write!(f, "no connection: {reason}"),
            Self::ConnectionRejected(reason) => write!(f, "connection rejected: {reason}"),
            Self::Unavailable => f.write_str("the upstream takes no requests now"),
            Self::Refused(status) => write!(f, "refused with {status}"),
            Self::OtherInstance => f.write_str("another instance has the address"),
        }
    }
}

impl fmt::Display for UnknownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConnectionBroken(reason) => write!(f, "the connection broke: {reason}"),
            Self::MismatchedAnswer(reason) => write!(f, "mismatched answer: {reason}"),
            Self::TimedOut => f.write_str("timed out waiting for the upstream"),
        }
    }
}

/// An upstream's answer whose body has still to be read.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: http1_types::HeaderMap,
    /// When the try began.
    pub sent_at: Duration,
    /// How long the upstream took from the complete request to the head of the answer.
    pub head_took: Duration,
    /// The prompt tokens whose prefill the time to the first event measures; `None` if it measures
    /// none.
    pub measured_tokens: Option<f64>,
    body: Incoming,
    connection: Option<Connection>,
    upstream: Rc<Upstream>,
    pending_prefill: Option<PendingPrefill>,
    _load: LoadGuard,
}

/// The next chunk of a body.
#[derive(Debug)]
pub enum BodyChunk {
    /// Data.
    Bytes(Bytes),
    /// The body is complete.
    End,
    /// The body ended early.
    Broken(String),
}

/// What was read of a body.
#[derive(Debug)]
pub enum ReadBody {
    /// All of it.
    Whole(Bytes),
    /// The first bytes of a body that is longer than the limit.
    Longer(Bytes),
}

impl Answer {
    /// Reads the next chunk of the body; `None` on a timeout.
    pub async fn next_chunk_within(
        &mut self,
        connections: &ConnectionPool,
        timeout: ResponseTimeout,
    ) -> Option<BodyChunk> {
        let upstream = self.upstream.clone();
        with_response_timeout(connections, &upstream, timeout, self.next_chunk()).await
    }

    /// Reads the next chunk of the body.
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

    /// Returns the length of the body, if the upstream has stated it.
    pub fn body_len(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Reads the whole body, or returns why it is incomplete.
    pub async fn read_whole(&mut self, limit: usize) -> Result<Bytes, String> {
        match self.read_up_to(limit).await? {
            ReadBody::Whole(bytes) => Ok(bytes),
            ReadBody::Longer(_) => Err(format!("the answer is larger than {limit} bytes")),
        }
    }

    /// Reads the body to its end, or until it is longer than `limit`.
    pub async fn read_up_to(&mut self, limit: usize) -> Result<ReadBody, String> {
        let mut read = bytes::BytesMut::new();
        loop {
            match self.next_chunk().await {
                BodyChunk::Bytes(bytes) => {
                    read.extend_from_slice(&bytes);
                    if read.len() > limit {
                        return Ok(ReadBody::Longer(read.freeze()));
                    }
                }
                BodyChunk::End => return Ok(ReadBody::Whole(read.freeze())),
                BodyChunk::Broken(reason) => return Err(reason),
            }
        }
    }

    /// Records that the first event arrived, so that the prefill is over.
    pub fn finish_prefill(&mut self) {
        self.pending_prefill = None;
    }

    /// Returns the upstream that sent the answer.
    pub fn upstream(&self) -> &Rc<Upstream> {
        &self.upstream
    }

    /// Returns the connection to the pool after a complete body, unless the upstream closes it.
    pub fn finish(mut self, connections: &ConnectionPool, now: Now) {
        self.upstream.record_success(now);
        if let Some(connection) = self.connection.take()
            && !closes(&self.headers)
        {
            let keep_alive = keep_alive(&self.headers);
            connections.release_after_answer(&self.upstream, connection, keep_alive, now);
        }
    }
}

/// Options of a try.
#[derive(Debug, Clone, Copy)]
pub struct TryOptions {
    /// How long to wait for the head of the answer.
    pub head_timeout: ResponseTimeout,
    /// Expected time of the request's prefill.
    pub prefill: Duration,
    /// The number of tokens if the upstream computes these and, as far as is known, nothing else,
    /// so that the time to the first event measures its prefill rate.
    pub measured_tokens: Option<f64>,
    /// Which connections may be used. The upstream may close an idle one just as the request is
    /// written, and then it is unknown whether the request ran.
    pub connection: ConnectionRules,
}

/// Sends a request to one upstream and waits for the head of the answer; also returns the origin of
/// the connection that it used, if there was one.
pub async fn try_upstream(
    connections: &ConnectionPool,
    headers: &HeaderNames,
    upstream: &Rc<Upstream>,
    request: UpstreamRequest,
    options: TryOptions,
) -> (TryOutcome, Option<ConnectionOrigin>) {
    let started = StartedTry {
        was_limited: upstream.rate_limit().limit().is_some(),
        load: upstream.begin_request(),
        pending_prefill: upstream.begin_prefill(options.prefill),
        began: Now::read(),
    };
    match connections.acquire(upstream, options.connection).await {
        Ok(connection) => {
            let origin = connection.origin();
            let tried = started
                .send(connections, headers, upstream, connection, request, options)
                .await;
            (tried, Some(origin))
        }
        Err(NoConnection::Unreachable(err)) => {
            upstream.record_connect_failure(Now::read());
            let reason = NotRunReason::NoConnection(err.to_string());
            (TryOutcome::NotRun(reason), None)
        }
        Err(
            rejected @ (NoConnection::ShareInUse
            | NoConnection::ResetBeforeUse
            | NoConnection::JustReset
            | NoConnection::Unconfirmed),
        ) => {
            let reason = NotRunReason::ConnectionRejected(rejected.to_string());
            (TryOutcome::NotRun(reason), None)
        }
    }
}

/// A try for which a connection is still missing.
struct StartedTry {
    was_limited: bool,
    load: LoadGuard,
    pending_prefill: PendingPrefill,
    began: Now,
}

impl StartedTry {
    /// Sends the request over a connection and waits for the head of the answer.
    async fn send(
        self,
        connections: &ConnectionPool,
        headers: &HeaderNames,
        upstream: &Rc<Upstream>,
        mut connection: Connection,
        request: UpstreamRequest,
        options: TryOptions,
    ) -> TryOutcome {
        // A request that was chosen before the upstream had a limit is not counted against it.
        let exceeds_limit = !self.was_limited && upstream.rate_limit().limit().is_some();
        let takes_requests = !upstream.is_leaving() && !upstream.is_evacuated() && !exceeds_limit;
        if !takes_requests || upstream.is_in_retry_after(Now::read()) {
            return TryOutcome::NotRun(NotRunReason::Unavailable);
        }
        let request_id = request.request_id.clone();
        let req = match build_request(request) {
            Ok(req) => req,
            Err(reason) => return TryOutcome::NotRun(NotRunReason::NoConnection(reason)),
        };
        let sent_at = Now::read();
        let rest = connection.rest(sent_at);
        let answered = with_response_timeout(
            connections,
            upstream,
            options.head_timeout,
            connection.send(req),
        )
        .await;
        let now = Now::read();
        let res = match answered {
            Some(Ok(res)) => res,
            Some(Err(err)) => {
                if options.connection.is_controlled {
                    let loss = match err.is_unsent {
                        true => RequestLoss::Unsent,
                        false => {
                            RequestLoss::Broken(now.monotonic.saturating_sub(sent_at.monotonic))
                        }
                    };
                    connections.record_lost_request(upstream, &connection, rest, loss, now);
                    if err.is_unsent {
                        let reason = NotRunReason::ConnectionRejected(err.error.to_string());
                        return TryOutcome::NotRun(reason);
                    }
                }
                if !connection.is_reused() {
                    upstream.record_failure(now);
                }
                return TryOutcome::Unknown(UnknownReason::ConnectionBroken(err.error.to_string()));
            }
            None => {
                if options.connection.is_controlled && connection.is_reused() {
                    let loss = RequestLoss::NoAnswer;
                    connections.record_lost_request(upstream, &connection, rest, loss, now);
                }
                return TryOutcome::Unknown(UnknownReason::TimedOut);
            }
        };
        upstream.record_data_received(now);
        let (parts, body) = res.into_parts();
        let header_text = |name: &http::HeaderName| {
            parts
                .headers
                .get(name.as_str())
                .and_then(|value| value.to_str().ok())
        };
        match header_text(&headers.load).map(parse_load) {
            Some(Some(load)) => upstream.record_load_report(load, now),
            Some(None) => upstream.record_invalid_report(),
            None => {}
        }
        let echoed_id = header_text(&headers.request_id);
        if echoed_id.is_some_and(|echoed_id| echoed_id != request_id) {
            upstream.record_failure(now);
            return TryOutcome::Unknown(UnknownReason::MismatchedAnswer(
                "it has the id of another request",
            ));
        }
        let status = parts.status.as_u16();
        // The headers of another instance say nothing about this upstream.
        if status == STATUS_MISDIRECTED_REQUEST {
            return TryOutcome::NotRun(NotRunReason::OtherInstance);
        }
        let signs = SignalHeaders {
            leaving: header_text(&headers.leaving),
            retry_after: header_text(&RETRY_AFTER),
            rate_limit: header_text(&headers.rate_limit),
        };
        let signs = ResponseSignals::read(status, signs, now.wall);
        upstream.update_from_head(signs, now);
        let is_refused = header_text(&headers.not_executed).is_some();
        let mismatch = match is_refused {
            true => None,
            false => mismatch_reason(&parts.headers, headers, parts.status, echoed_id),
        };
        // Only the upstream's own answer shows that a limit is over.
        if signs.rate_limit.is_some() || mismatch.is_none() {
            upstream
                .rate_limit()
                .record_statement(signs.rate_limit, self.began, now);
        }
        if is_refused {
            if options.connection.is_controlled && !closes(&parts.headers) {
                let rest = Limited::new(body, REFUSAL_BODY_LIMIT);
                let ended = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, rest.collect()).await;
                if matches!(ended, Ok(Ok(_))) {
                    let keep_alive = keep_alive(&parts.headers);
                    connections.release_after_answer(upstream, connection, keep_alive, now);
                }
            }
            return TryOutcome::NotRun(NotRunReason::Refused(status));
        }
        if let Some(reason) = mismatch {
            upstream.record_failure(now);
            return TryOutcome::Unknown(UnknownReason::MismatchedAnswer(reason));
        }
        TryOutcome::Answered(Box::new(Answer {
            status,
            headers: parts.headers,
            sent_at: self.began.monotonic,
            head_took: now.monotonic.saturating_sub(sent_at.monotonic),
            measured_tokens: options.measured_tokens,
            body,
            connection: Some(connection),
            upstream: upstream.clone(),
            pending_prefill: Some(self.pending_prefill),
            _load: self.load,
        }))
    }
}

/// Returns whether the upstream closes the connection after this answer.
fn closes(received: &http1_types::HeaderMap) -> bool {
    let connection = received.get(hyper::header::CONNECTION);
    connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Returns for how long the upstream states that it keeps idle connections.
fn keep_alive(received: &http1_types::HeaderMap) -> Option<Duration> {
    let stated = received.get(KEEP_ALIVE)?;
    parse_keep_alive(stated.to_str().ok()?)
}

/// Returns why an answer cannot be this upstream's answer to this request, if it cannot.
fn mismatch_reason(
    received: &http1_types::HeaderMap,
    names: &HeaderNames,
    status: hyper::StatusCode,
    echoed_id: Option<&str>,
) -> Option<&'static str> {
    if received.contains_key(hyper::header::CONTENT_ENCODING) {
        return Some("its body has a content encoding that was not requested");
    }
    let is_signed = received.contains_key(names.signature.as_str());
    match (status.is_success(), is_signed, echoed_id.is_some()) {
        (true, false, _) => Some("it has no signature"),
        (true, true, false) => Some("it has no request id"),
        (false, false, false) => Some("it has neither a signature nor a request id"),
        _ => None,
    }
}

fn build_request(request: UpstreamRequest) -> Result<http1_types::Request<Full<Bytes>>, String> {
    let mut req = http1_types::Request::builder()
        .method(request.method)
        .uri(request.target)
        .body(Full::new(request.body))
        .map_err(|err| format!("the request cannot be encoded: {err}"))?;
    *req.headers_mut() = request.headers;
    Ok(req)
}
