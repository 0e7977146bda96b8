//! One try of one request at one upstream, and what its outcome proves.
//!
//! Only here is it decided whether a try may have run: [`Tried::NotRun`] is made from an
//! upstream's own statement or from the proof that no byte was written, and nowhere
//! else. See `docs/design/platform.md`.

use super::connect::{Connection, Connections, http1_types};
use super::patience::{Patience, patiently};
use super::protocol::{Headers, parse_load};
use super::upstream::{Unread, Upstream};
use crate::clock::Now;
use crate::routing::placement::LoadGuard;
use crate::routing::signals::{ResponseSignals, SignalHeaders};
use bytes::Bytes;
use http::header::RETRY_AFTER;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

const MISDIRECTED: u16 = 421;

/// A request as one upstream is to get it.
#[derive(Debug)]
pub struct Outgoing {
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
pub enum Tried {
    /// The upstream's answer begins.
    Answered(Box<Answer>),
    /// The request did not run at this upstream and will not.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(Failure),
}

/// Why a request certainly did not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotRun {
    /// No connection came about, so no byte was written.
    NoConnection(String),
    /// The upstream said to another request that it wants no more, or operators evacuated its hall,
    /// before a byte was written.
    NotWanted,
    /// The upstream said that it did not run the request.
    Refused(u16),
    /// Another instance has the address.
    OtherInstance,
}

/// Why it is not known whether a request ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The connection broke.
    Broken(String),
    /// The answer belongs to another request or is none of the upstream's.
    ForeignAnswer(&'static str),
    /// Nothing came in time.
    Silent,
}

impl fmt::Display for NotRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoConnection(reason) => write!(f, "no connection: {reason}"),
            Self::NotWanted => f.write_str("it wants no more requests"),
            Self::Refused(status) => write!(f, "refused with {status}"),
            Self::OtherInstance => f.write_str("another instance has the address"),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(reason) => write!(f, "the connection broke: {reason}"),
            Self::ForeignAnswer(reason) => write!(f, "not this request's answer: {reason}"),
            Self::Silent => f.write_str("nothing came in time"),
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
    pub sent: Duration,
    /// Whether the time to the first event tells how fast the upstream reads.
    pub tells_rate: bool,
    body: Incoming,
    connection: Option<Connection>,
    upstream: Rc<Upstream>,
    unread: Option<Unread>,
    _load: LoadGuard,
}

/// The next piece of a body.
#[derive(Debug)]
pub enum Piece {
    /// Some bytes.
    Bytes(Bytes),
    /// The body is whole.
    End,
    /// The body broke off.
    Broken(String),
}

impl Answer {
    /// Reads the next piece of the body; none if patience ran out.
    pub async fn next_piece_within(
        &mut self,
        connections: &Connections,
        patience: Patience,
    ) -> Option<Piece> {
        let upstream = self.upstream.clone();
        patiently(connections, &upstream, patience, self.next_piece()).await
    }

    /// Reads the next piece of the body.
    pub async fn next_piece(&mut self) -> Piece {
        loop {
            let frame = self.body.frame().await;
            self.upstream.heard(Now::read());
            match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => return Piece::Bytes(bytes),
                    Err(_trailers) => {}
                },
                Some(Err(err)) => return Piece::Broken(err.to_string()),
                None => return Piece::End,
            }
        }
    }

    /// Reads the whole body, or says why it is not whole.
    pub async fn read_whole(&mut self, limit: usize) -> Result<Bytes, String> {
        let mut whole = bytes::BytesMut::new();
        loop {
            match self.next_piece().await {
                Piece::Bytes(bytes) if whole.len() + bytes.len() > limit => {
                    return Err(format!("the answer is larger than {limit} bytes"));
                }
                Piece::Bytes(bytes) => whole.extend_from_slice(&bytes),
                Piece::End => return Ok(whole.freeze()),
                Piece::Broken(reason) => return Err(reason),
            }
        }
    }

    /// Records that the first event came, so that the prompt has been read.
    pub fn has_read(&mut self) {
        self.unread = None;
    }

    /// Returns the upstream that answers.
    pub fn upstream(&self) -> &Rc<Upstream> {
        &self.upstream
    }

    /// Gives the connection back after a whole body, unless the upstream closes it.
    pub fn finish(mut self, connections: &Connections, now: Now) {
        self.upstream.answered(now);
        let closes = self
            .headers
            .get(hyper::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if let Some(connection) = self.connection.take()
            && !closes
        {
            connections.rest(self.upstream.life(), connection, now);
        }
    }
}

/// How a try is made.
#[derive(Debug, Clone, Copy)]
pub struct TryLimits {
    /// How long to wait for the head of the answer.
    pub head: Patience,
    /// How long the upstream reads the prompt.
    pub reading: Duration,
    /// Whether the upstream reads the prompt whole and has nothing else to read, as far as
    /// is known, so that the time to the first event tells how fast it reads.
    pub tells_rate: bool,
    /// Whether a connection that was used before may be used; one may close just as the
    /// request is written, which leaves open whether it ran.
    pub may_reuse: bool,
}

/// Makes one try at one upstream.
pub async fn try_upstream(
    connections: &Connections,
    headers: &Headers,
    upstream: &Rc<Upstream>,
    out: Outgoing,
    limits: TryLimits,
) -> Tried {
    let load = upstream.enter();
    let unread = upstream.begin_reading(limits.reading);
    let began = Now::read();
    let idle = match limits.may_reuse {
        true => connections.take_idle(upstream.life(), began),
        false => None,
    };
    let mut connection = match idle {
        Some(connection) => connection,
        None => match connections.open(upstream, began).await {
            Ok(connection) => connection,
            Err(err) => {
                upstream.unconnectable(Now::read());
                return Tried::NotRun(NotRun::NoConnection(err.to_string()));
            }
        },
    };
    let is_wanted = !upstream.says_it_leaves() && !upstream.is_evacuated();
    if !is_wanted || upstream.is_resting_as_asked(Now::read()) {
        return Tried::NotRun(NotRun::NotWanted);
    }
    let request_id = out.request_id.clone();
    let req = match build(out) {
        Ok(req) => req,
        Err(reason) => return Tried::NotRun(NotRun::NoConnection(reason)),
    };
    let sent = patiently(connections, upstream, limits.head, connection.send(req)).await;
    let now = Now::read();
    let res = match sent {
        Some(Ok(res)) => res,
        Some(Err(err)) => {
            if !connection.is_reused() {
                upstream.failed(now);
            }
            return Tried::Unknown(Failure::Broken(err.to_string()));
        }
        None => return Tried::Unknown(Failure::Silent),
    };
    upstream.heard(now);
    let (parts, body) = res.into_parts();
    let text = |name: &http::HeaderName| {
        parts
            .headers
            .get(name.as_str())
            .and_then(|value| value.to_str().ok())
    };
    if let Some(load) = text(&headers.load).and_then(parse_load) {
        upstream.reported(load, now);
    }
    let echoed = text(&headers.request_id);
    if echoed.is_some_and(|echoed| echoed != request_id) {
        upstream.failed(now);
        return Tried::Unknown(Failure::ForeignAnswer("it names another request"));
    }
    let status = parts.status.as_u16();
    // Another instance speaks for itself.
    if status == MISDIRECTED {
        return Tried::NotRun(NotRun::OtherInstance);
    }
    let signs = SignalHeaders {
        leaving: text(&headers.leaving),
        retry_after: text(&RETRY_AFTER),
    };
    upstream.take_signs(ResponseSignals::read(status, signs, now.wall), now);
    if text(&headers.not_executed).is_some() {
        return Tried::NotRun(NotRun::Refused(status));
    }
    if let Some(reason) = foreign(&parts.headers, headers, parts.status, echoed) {
        upstream.failed(now);
        return Tried::Unknown(Failure::ForeignAnswer(reason));
    }
    Tried::Answered(Box::new(Answer {
        status,
        headers: parts.headers,
        sent: began.monotonic,
        tells_rate: limits.tells_rate,
        body,
        connection: Some(connection),
        upstream: upstream.clone(),
        unread: Some(unread),
        _load: load,
    }))
}

/// Says what shows that an answer is not the upstream's answer to this request.
fn foreign(
    found: &http1_types::HeaderMap,
    names: &Headers,
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

fn build(out: Outgoing) -> Result<http1_types::Request<Full<Bytes>>, String> {
    let mut req = http1_types::Request::builder()
        .method(out.method)
        .uri(out.target)
        .body(Full::new(out.body))
        .map_err(|err| format!("the request cannot be written: {err}"))?;
    *req.headers_mut() = out.headers;
    Ok(req)
}
