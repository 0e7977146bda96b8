//! A single try of a request at one upstream, and what its outcome proves.
//!
//! Only this module decides whether a request may have run: [`TryOutcome::NotRun`] requires the
//! upstream's own statement or the proof that no byte was written. See `docs/design/platform.md`.

use super::acquire::{ConnectionRules, NoConnection};
use super::answer_ownership::{Awaiting, OwnHead, Refusal};
use super::connect::ConnectionPool;
use super::connection::{
    BrokenSend, Connection, ConnectionOrigin, ReceivedAnswer, RequestLoss, SendError, http1_types,
};
use super::headers::{HeaderNames, parse_load};
use super::response_timeout::{ResponseTimeout, WatchedUpstream, with_response_timeout};
use super::upstream::{PendingPrefill, Upstream};
use super::upstream_answer::{Answer, closes, keep_alive};
use crate::clock::Now;
use crate::gateway::place::slots::HeldSlot;
use crate::routing::placement::LoadGuard;
use crate::routing::signals::{ResponseSignals, SignalHeaders};
use bytes::Bytes;
use http::header::RETRY_AFTER;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// How long the end of a refusal's body may take for its connection to be kept; refusals have no
/// body, or a short one that arrives with the head.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(2);
/// The size limit of such a body.
const REFUSAL_BODY_LIMIT: usize = 4096;
/// How many further connections a request uses of which nothing was written to the one before.
const MAX_OTHER_CONNECTIONS: usize = 2;

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

impl TryOutcome {
    /// Returns whether the request was sent, so that it arrived or may have.
    pub fn was_sent(&self) -> bool {
        !matches!(
            self,
            Self::NotRun(
                NotRunReason::NoConnection(_)
                    | NotRunReason::ConnectionRejected(_)
                    | NotRunReason::Unavailable
            )
        )
    }
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
    Refused(Refusal),
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
            Self::Refused(refusal) => write!(f, "refused with {}", refusal.status()),
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

/// Options of a try.
#[derive(Debug, Clone)]
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

/// The connection that a try used.
#[derive(Debug, Clone, Copy)]
pub struct UsedConnection {
    /// Where it came from.
    pub origin: ConnectionOrigin,
    /// The box through which it led, if it was no direct one.
    pub through: Option<SocketAddr>,
}

/// Sends a request to one upstream and waits for the head of the answer; also returns the
/// connection that it used, if there was one.
pub async fn try_upstream(
    connections: &ConnectionPool,
    headers: &HeaderNames,
    upstream: &Rc<Upstream>,
    request: UpstreamRequest,
    slot: Option<HeldSlot>,
    options: TryOptions,
) -> (TryOutcome, Option<UsedConnection>) {
    let started = StartedTry {
        slot,
        was_limited: upstream.rate_limit().limit().is_some(),
        load: upstream.begin_request(),
        pending_prefill: upstream.begin_prefill(options.prefill),
        began: Now::read(),
    };
    // Other boxes may be asked for a way, one after the other.
    let awaiting = Awaiting::Request(&request.request_id);
    let acquiring = connections.acquire(upstream, &options.connection, awaiting, headers);
    let acquired = timeout(options.head_timeout.total, acquiring).await;
    match acquired.unwrap_or(Err(NoConnection::TooLate)) {
        Ok(connection) => {
            let used = UsedConnection {
                origin: connection.origin(),
                through: connection.path().peer(),
            };
            let tried = started
                .send(connections, headers, upstream, connection, request, options)
                .await;
            (tried, Some(used))
        }
        Err(no_connection) => {
            if let (Some(slot), true) = (&started.slot, no_connection.may_leave_health_check()) {
                slot.record_sent();
            }
            (not_connected(upstream, no_connection), None)
        }
    }
}

/// Returns the outcome of a try for which there is no connection.
fn not_connected(upstream: &Upstream, no_connection: NoConnection) -> TryOutcome {
    TryOutcome::NotRun(match no_connection {
        NoConnection::Unreachable(err) => {
            err.record(upstream, Now::read());
            NotRunReason::NoConnection(err.to_string())
        }
        NoConnection::TooLate => NotRunReason::NoConnection(no_connection.to_string()),
        rejected @ (NoConnection::ShareInUse
        | NoConnection::ResetBeforeUse
        | NoConnection::JustReset
        | NoConnection::Unconfirmed
        | NoConnection::Unproven) => NotRunReason::ConnectionRejected(rejected.to_string()),
    })
}

/// A try for which a connection is still missing.
struct StartedTry {
    /// The slot that the request holds, where upstreams bear few rejections.
    slot: Option<HeldSlot>,
    was_limited: bool,
    load: LoadGuard,
    pending_prefill: PendingPrefill,
    began: Now,
}

impl StartedTry {
    fn age(&self, now: Now) -> Duration {
        now.monotonic.saturating_sub(self.began.monotonic)
    }

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
        let was_limited = self.was_limited;
        let takes_requests = |upstream: &Upstream| {
            // A request that was chosen before the upstream had a limit is not counted against it.
            let exceeds_limit = !was_limited && upstream.rate_limit().limit().is_some();
            let is_open = !upstream.is_leaving() && !upstream.is_evacuated() && !exceeds_limit;
            is_open && !upstream.is_in_retry_after(Now::read())
        };
        if !takes_requests(upstream) {
            return TryOutcome::NotRun(NotRunReason::Unavailable);
        }
        let request_id = request.request_id.clone();
        let req = match build_request(request) {
            Ok(req) => req,
            Err(reason) => return TryOutcome::NotRun(NotRunReason::NoConnection(reason)),
        };
        let awaiting = Awaiting::Request(&request_id);
        let mut other_connections = 0;
        let (sent_at, rest, answered) = loop {
            let sent_at = Now::read();
            let rest = connection.rest(sent_at);
            let path = connection.path().clone();
            if let Some(slot) = &self.slot {
                connection.require_write_by(slot.write_by());
                slot.record_sent();
            }
            let sent = connection.send(req.clone(), awaiting, headers);
            let watched = WatchedUpstream {
                connections,
                upstream,
                path: &path,
            };
            let left = options.head_timeout.total.saturating_sub(self.age(sent_at));
            let head_timeout = options.head_timeout.capped_at(left);
            let answered = with_response_timeout(watched, head_timeout, sent).await;
            let (Some(Err(err)), true) = (&answered, other_connections < MAX_OTHER_CONNECTIONS)
            else {
                break (sent_at, rest, answered);
            };
            if !options.connection.is_controlled || !allows_another(err, &connection) {
                break (sent_at, rest, answered);
            }
            if let Some(slot) = &self.slot {
                slot.record_not_running();
            }
            if !err.is_late() {
                let loss = RequestLoss::Unsent;
                connections.record_lost_request(upstream, &connection, rest, loss, Now::read());
            }
            drop(connection);
            let next = connections.acquire(upstream, &options.connection, awaiting, headers);
            connection = match next.await {
                Ok(next) => next,
                Err(no_connection) => return not_connected(upstream, no_connection),
            };
            if !takes_requests(upstream) {
                return TryOutcome::NotRun(NotRunReason::Unavailable);
            }
            other_connections += 1;
        };
        let now = Now::read();
        let exchange = Exchange {
            connections,
            headers,
            upstream,
            connection,
            is_controlled: options.connection.is_controlled,
            sent_at,
            now,
        };
        match answered {
            Some(Ok(answer)) => {
                let tokens = options.measured_tokens;
                exchange.read_head(self, answer, tokens).await
            }
            Some(Err(SendError::Broken(broken))) => {
                if let Some(slot) = self.slot.as_ref().filter(|_| broken.is_unsent) {
                    slot.record_not_running();
                }
                exchange.fail(&broken, rest)
            }
            Some(Err(SendError::NotOwn(err))) => exchange.mismatch(err.reason()),
            None => exchange.time_out(rest),
        }
    }
}

/// Returns whether a request that was not written may use another connection at once: the upstream
/// did not reject this one, but it was idle for too long.
fn allows_another(err: &SendError, connection: &Connection) -> bool {
    err.is_unsent() && (err.is_late() || connection.has_carried_answer())
}

/// A request that was given to a connection.
struct Exchange<'a> {
    connections: &'a ConnectionPool,
    headers: &'a HeaderNames,
    upstream: &'a Rc<Upstream>,
    connection: Connection,
    is_controlled: bool,
    sent_at: Now,
    /// When the head arrived, or the wait for it ended.
    now: Now,
}

impl Exchange<'_> {
    /// Learns from a connection that broke before the head arrived, after it had rested for a time.
    fn fail(self, err: &BrokenSend, rest: Duration) -> TryOutcome {
        let since = self.now.monotonic.saturating_sub(self.sent_at.monotonic);
        if self.is_controlled {
            let loss = match (err.is_unsent, err.is_late) {
                (true, true) => RequestLoss::Late,
                (true, false) => RequestLoss::Unsent,
                (false, _) if self.connection.is_proven() => RequestLoss::BrokenAfterProof,
                (false, _) => RequestLoss::Broken(since),
            };
            self.record_loss(rest, loss);
            if err.is_unsent {
                return TryOutcome::NotRun(NotRunReason::ConnectionRejected(err.error.to_string()));
            }
        }
        // A kept connection may have rested for too long, unless it was proven just before.
        let is_own_end = !self.connection.is_reused() || self.connection.is_proven();
        if is_own_end && !self.connection.path().was_lost() {
            self.upstream.record_failure(self.now);
        }
        TryOutcome::Unknown(UnknownReason::ConnectionBroken(err.error.to_string()))
    }

    /// Learns from a request without an answer. Only if the upstream has answered others meanwhile,
    /// it may have forgotten the connection; otherwise it is slow with all of them.
    fn time_out(self, rest: Duration) -> TryOutcome {
        let waited = self.now.monotonic.saturating_sub(self.sent_at.monotonic);
        let silence = self
            .upstream
            .time_without_data(self.sent_at.monotonic, self.now);
        let has_answered_others = silence < waited;
        if self.is_controlled && self.connection.is_reused() && has_answered_others {
            self.record_loss(rest, RequestLoss::NoAnswer);
        }
        TryOutcome::Unknown(UnknownReason::TimedOut)
    }

    /// Learns from an answer that cannot be the one to this request. The connection is closed.
    fn mismatch(self, reason: &'static str) -> TryOutcome {
        self.upstream.record_data_received(self.now);
        self.upstream.record_failure(self.now);
        TryOutcome::Unknown(UnknownReason::MismatchedAnswer(reason))
    }

    fn record_loss(&self, rest: Duration, loss: RequestLoss) {
        let (connections, upstream) = (self.connections, self.upstream);
        connections.record_lost_request(upstream, &self.connection, rest, loss, self.now);
    }

    /// Reads what the head of an answer says of the upstream and of the request.
    async fn read_head(
        self,
        started: StartedTry,
        answer: ReceivedAnswer,
        measured_tokens: Option<f64>,
    ) -> TryOutcome {
        let (upstream, headers, now) = (self.upstream, self.headers, self.now);
        let ReceivedAnswer { head, body } = answer;
        upstream.record_data_received(now);
        record_load_report(upstream, &head, headers, now);
        let refusal = head.refusal(headers);
        let expected = &upstream.incarnation().instance;
        let is_misdirected = refusal.is_some_and(Refusal::is_misdirected);
        // The headers of another instance say nothing about this upstream.
        if is_misdirected && head.is_from_other_instance(expected, headers) {
            return TryOutcome::NotRun(NotRunReason::OtherInstance);
        }
        let signs = SignalHeaders {
            leaving: head.text(&headers.leaving),
            retry_after: head.text(&RETRY_AFTER),
            rate_limit: head.text(&headers.rate_limit),
            rejection_limit: head.text(&headers.rejection_limit),
            // The registry states them.
            slots: None,
        };
        let signs = ResponseSignals::read(head.status(), signs, now.wall);
        upstream.update_from_head(signs, now);
        let invalid = match refusal {
            Some(_) => None,
            None => head.invalid_reason(headers),
        };
        // Only the upstream's own answer shows that a limit is over.
        if signs.rate_limit.is_some() || invalid.is_none() {
            upstream
                .rate_limit()
                .record_statement(signs.rate_limit, started.began, now);
        }
        if signs.rejection_limit.is_some() || invalid.is_none() {
            upstream
                .slots()
                .record_statement(signs.rejection_limit, started.began, now);
        }
        if let Some(refusal) = refusal {
            if let Some(slot) = &started.slot {
                slot.record_not_running();
            }
            self.keep_after_refusal(head.headers(), body).await;
            return TryOutcome::NotRun(NotRunReason::Refused(refusal));
        }
        if let Some(reason) = invalid {
            return self.mismatch(reason);
        }
        TryOutcome::Answered(Box::new(Answer {
            status: head.status(),
            headers: head.into_headers(),
            sent_at: started.began.monotonic,
            head_took: now.monotonic.saturating_sub(self.sent_at.monotonic),
            // The way through another box takes time that is not the upstream's.
            measured_tokens: measured_tokens.filter(|_| self.connection.path().peer().is_none()),
            body,
            path: self.connection.path().clone(),
            connection: Some(self.connection),
            upstream: upstream.clone(),
            saturation: self.connections.saturation.clone(),
            pending_prefill: Some(started.pending_prefill),
            slot: started.slot,
            _load: started.load,
        }))
    }

    /// Returns the connection to the pool if the body of a refusal ends soon.
    async fn keep_after_refusal(self, received: &http1_types::HeaderMap, body: Incoming) {
        if !self.is_controlled || closes(received) {
            return;
        }
        let rest = Limited::new(body, REFUSAL_BODY_LIMIT);
        let ended = timeout(REFUSAL_BODY_TIMEOUT, rest.collect()).await;
        if matches!(ended, Ok(Ok(_))) {
            let (connection, keep_alive) = (self.connection, keep_alive(received));
            self.connections
                .release_after_answer(self.upstream, connection, keep_alive, self.now);
        }
    }
}

/// Records the load that an upstream reports with an answer, if it does.
pub fn record_load_report(upstream: &Upstream, head: &OwnHead, names: &HeaderNames, now: Now) {
    match head.text(&names.load).map(parse_load) {
        Some(Some(load)) => upstream.record_load_report(load, now),
        Some(None) => upstream.record_invalid_report(),
        None => {}
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
