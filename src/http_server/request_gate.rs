//! Passes the requests of an HTTP/1.1 connection to the HTTP library one at a time.
//!
//! The library reads 128 kB ahead and parses every request in it, whether or not the caller takes
//! any answer. With small requests, a connection whose caller reads nothing took several megabytes.
//! A [`GatedStream`] passes the bytes of a request on only after the answer to the one before was
//! written. See `docs/design/slow-readers.md`.

use crate::clock::Now;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::{HttpMessage as _, Payload, Request, Response};
use bytes::{Buf as _, Bytes, BytesMut};
use futures::{Stream, StreamExt as _};
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// The most bytes that are read at once where the end of a head is looked for, and the most that a
/// connection holds of requests that are not passed on yet. Callers that do not pipeline send
/// nothing ahead.
const AHEAD_BYTES: usize = 4 * 1024;

/// Limits on the head of a request. The library bounds it by 128 kB, and by time only for the first
/// request of a connection.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// The limit on its size in bytes.
    pub max_bytes: usize,
    /// How long it may take from its first bytes on.
    pub timeout: Duration,
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self {
            max_bytes: 64 * 1024,
            timeout: Duration::from_secs(10),
        }
    }
}

/// What the library may read next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Permit {
    /// Nothing.
    Nothing,
    /// This many bytes of a body.
    Bytes(usize),
    /// Bytes of a head up to the next empty line, which may end it.
    Head,
    /// Bytes of chunks up to the next empty line, which may end them.
    Chunks,
}

/// What is left of the body of the request that was passed on last.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum BodyRest {
    /// Nothing.
    #[default]
    None,
    /// This many bytes.
    Sized(u64),
    /// Chunks, of which the handler may await the next one.
    Chunked { is_awaited: bool },
    /// Chunks that the handler does not read. The library discards them.
    Discarded,
}

impl BodyRest {
    fn sized(len: u64) -> Self {
        match len {
            0 => Self::None,
            len => Self::Sized(len),
        }
    }
}

/// The state of a connection's requests, shared by its stream and its handler.
#[derive(Debug)]
pub struct RequestGate(RefCell<GateState>);

impl Default for RequestGate {
    fn default() -> Self {
        Self(RefCell::new(GateState {
            answered_at: Now::read().monotonic,
            ..GateState::default()
        }))
    }
}

#[derive(Debug, Default)]
struct GateState {
    /// Whether a request was passed on whose answer is not complete.
    is_answering: bool,
    body: BodyRest,
    /// Since when the kernel takes no more of an answer.
    write_blocked_since: Option<Duration>,
    /// When the last answer was complete, or the connection was opened.
    answered_at: Duration,
    /// How many requests were passed on.
    begun: u64,
    /// The task that waits to read bytes which have arrived already.
    reader: Option<Waker>,
}

impl GateState {
    fn permit(&self) -> Permit {
        if self.write_blocked_since.is_some() {
            return Permit::Nothing;
        }
        match self.body {
            BodyRest::Sized(len) => Permit::Bytes(usize::try_from(len).unwrap_or(usize::MAX)),
            BodyRest::Chunked { is_awaited: true } => Permit::Chunks,
            BodyRest::Chunked { is_awaited: false } => Permit::Nothing,
            BodyRest::None | BodyRest::Discarded if self.is_answering => Permit::Nothing,
            BodyRest::Discarded => Permit::Chunks,
            BodyRest::None => Permit::Head,
        }
    }

    fn wake_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

impl RequestGate {
    /// Answers a request with a handler; nothing of the next one is read until the answer is
    /// written.
    pub async fn answer<F>(
        self: Rc<Self>,
        mut req: Request,
        handler: impl FnOnce(Request) -> F,
    ) -> Response<BoxBody>
    where
        F: Future<Output = Response<BoxBody>>,
    {
        self.begin(&mut req);
        let response = handler(req).await;
        response.map_body(|_head, body| GatedBody { body, gate: self }.boxed())
    }

    /// Records that the library has passed on a request.
    fn begin(self: &Rc<Self>, req: &mut Request) {
        let body = body_of(req);
        if matches!(body, BodyRest::Chunked { .. }) {
            let payload = GatedPayload {
                payload: req.take_payload(),
                gate: self.clone(),
            };
            *req.payload() = Payload::Stream {
                payload: Box::pin(payload),
            };
        }
        let mut state = self.0.borrow_mut();
        state.is_answering = true;
        state.body = body;
        state.begun += 1;
    }

    /// Returns since when the connection waits for its caller, to send a request or to read an answer, in
    /// the time of [`Now::monotonic`]; `None` while a request is served.
    pub fn idle_since(&self) -> Option<Duration> {
        let state = self.0.borrow();
        let answered_at = (!state.is_answering).then_some(state.answered_at);
        state.write_blocked_since.or(answered_at)
    }

    fn finish_answer(&self, now: Now) {
        let mut state = self.0.borrow_mut();
        state.is_answering = false;
        state.answered_at = now.monotonic;
        state.wake_reader();
    }

    fn record_write(&self, is_blocked: bool) {
        let mut state = self.0.borrow_mut();
        match (state.write_blocked_since, is_blocked) {
            (None, true) => state.write_blocked_since = Some(Now::read().monotonic),
            (Some(_), false) => {
                state.write_blocked_since = None;
                state.wake_reader();
            }
            (None, false) | (Some(_), true) => {}
        }
    }

    fn set_body(&self, body: BodyRest) {
        let mut state = self.0.borrow_mut();
        state.body = body;
        state.wake_reader();
    }
}

/// Returns what follows the head of a request.
fn body_of(req: &mut Request) -> BodyRest {
    if matches!(req.payload(), Payload::None) {
        return BodyRest::None;
    }
    let is_chunked = req.chunked().unwrap_or(true);
    let length = req.headers().get(actix_http::header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    match length {
        Some(length) if !is_chunked => BodyRest::sized(length),
        _ => BodyRest::Chunked { is_awaited: false },
    }
}

/// The chunks of a request's body. More of them are read when the handler awaits them.
struct GatedPayload {
    payload: Payload,
    gate: Rc<RequestGate>,
}

impl Stream for GatedPayload {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let chunk = self.payload.poll_next_unpin(cx);
        match &chunk {
            Poll::Pending => self.gate.set_body(BodyRest::Chunked { is_awaited: true }),
            Poll::Ready(None) => self.gate.set_body(BodyRest::None),
            Poll::Ready(Some(_)) => {}
        }
        chunk
    }
}

impl Drop for GatedPayload {
    fn drop(&mut self) {
        let body = self.gate.0.borrow().body;
        if matches!(body, BodyRest::Chunked { .. }) {
            self.gate.set_body(BodyRest::Discarded);
        }
    }
}

/// The body of an answer. The answer is complete when the library drops it.
struct GatedBody {
    body: BoxBody,
    gate: Rc<RequestGate>,
}

impl MessageBody for GatedBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}

impl Drop for GatedBody {
    fn drop(&mut self) {
        self.gate.finish_answer(Now::read());
    }
}

/// Where the bytes that were passed on last end.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum LineEnd {
    /// Within a line.
    #[default]
    None,
    /// After the end of a line.
    Lf,
    /// After the end of a line and a carriage return.
    LfCr,
}

impl LineEnd {
    /// Returns the length of the bytes up to the end of the first empty line, if there is one.
    fn find_empty_line(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            *self = match (*self, byte) {
                (Self::Lf | Self::LfCr, b'\n') => {
                    *self = Self::None;
                    return Some(index + 1);
                }
                (_, b'\n') => Self::Lf,
                (Self::Lf, b'\r') => Self::LfCr,
                _ => Self::None,
            };
        }
        None
    }
}

/// A connection whose requests pass a [`RequestGate`].
#[derive(Debug)]
pub struct GatedStream<S> {
    stream: S,
    gate: Rc<RequestGate>,
    /// Bytes that have arrived and may not be passed on yet.
    ahead: BytesMut,
    line_end: LineEnd,
    /// Whether the bytes that were passed on last end with an empty line. The library parses them
    /// before it gets more.
    is_at_empty_line: bool,
    is_at_eof: bool,
    head: ReadHead,
    limits: HeadLimits,
}

/// The head that is passed on.
#[derive(Debug, Default)]
struct ReadHead {
    /// The requests that were begun before it.
    begun: u64,
    bytes: usize,
    /// Whether it has a line. Empty lines may precede it.
    has_line: bool,
    /// Running while more of a head is awaited.
    timer: Option<Pin<Box<Sleep>>>,
}

impl ReadHead {
    /// Returns an error once a head that has begun takes longer than this.
    fn poll_timeout(&mut self, limit: Duration, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.has_line {
            return Poll::Pending;
        }
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(rejected("the head of a request takes too long")))
    }
}

fn rejected(reason: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

impl<S> GatedStream<S> {
    /// Wraps a connection.
    pub fn new(stream: S, limits: HeadLimits) -> Self {
        Self {
            stream,
            gate: Rc::default(),
            limits,
            head: ReadHead::default(),
            ahead: BytesMut::new(),
            line_end: LineEnd::default(),
            is_at_empty_line: false,
            is_at_eof: false,
        }
    }

    /// Returns the gate, which answers the connection's requests.
    pub fn gate(&self) -> &Rc<RequestGate> {
        &self.gate
    }

    /// Returns the wrapped connection.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }
}

impl<S: AsyncRead + Unpin> GatedStream<S> {
    /// Reads bytes that may not be passed on yet, which also shows that the caller has left. Returns
    /// once something was read or the end was reached.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut chunk = [0; AHEAD_BYTES];
        let mut read = ReadBuf::new(&mut chunk[self.ahead.len().min(AHEAD_BYTES)..]);
        if read.capacity() == 0 || self.is_at_eof {
            return Poll::Ready(Ok(()));
        }
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        self.is_at_eof = read.filled().is_empty();
        self.ahead.extend_from_slice(read.filled());
        Poll::Ready(Ok(()))
    }

    /// Passes on up to `max` bytes: those that have arrived, or else bytes that are read.
    fn poll_bytes(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        max: usize,
    ) -> Poll<io::Result<usize>> {
        let max = max.min(buf.remaining());
        if !self.ahead.is_empty() {
            let len = max.min(self.ahead.len());
            buf.put_slice(&self.ahead[..len]);
            self.ahead.advance(len);
            self.release_ahead();
            return Poll::Ready(Ok(len));
        }
        if self.is_at_eof {
            return Poll::Ready(Ok(0));
        }
        let mut read = ReadBuf::new(buf.initialize_unfilled_to(max));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        let len = read.filled().len();
        buf.advance(len);
        Poll::Ready(Ok(len))
    }

    /// Frees the buffer of a connection on which nothing was sent ahead.
    fn release_ahead(&mut self) {
        if self.ahead.is_empty() {
            self.ahead = BytesMut::new();
        }
    }

    fn poll_to_empty_line(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let len = ready!(self.poll_bytes(cx, buf, AHEAD_BYTES))?;
        let passed = &buf.filled()[before..before + len];
        if let Some(end) = self.line_end.find_empty_line(passed) {
            self.is_at_empty_line = true;
            let mut ahead = BytesMut::from(&passed[end..]);
            ahead.extend_from_slice(&self.ahead);
            self.ahead = ahead;
            self.release_ahead();
            buf.set_filled(before + end);
        }
        Poll::Ready(Ok(()))
    }

    /// Passes on bytes of a head, within its limits.
    fn poll_head(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let begun = self.gate.0.borrow().begun;
        if self.head.begun != begun {
            self.head = ReadHead {
                begun,
                ..ReadHead::default()
            };
        }
        let before = buf.filled().len();
        let Poll::Ready(read) = self.poll_to_empty_line(cx, buf) else {
            return self.head.poll_timeout(self.limits.timeout, cx);
        };
        read?;
        let passed = &buf.filled()[before..];
        self.head.bytes += passed.len();
        self.head.has_line |= passed.iter().any(|byte| !matches!(byte, b'\r' | b'\n'));
        match self.head.bytes > self.limits.max_bytes {
            true => Poll::Ready(Err(rejected("the head of a request is too large"))),
            false => Poll::Ready(Ok(())),
        }
    }

    /// Passes on nothing, but looks whether the caller has left.
    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.ahead.len() < AHEAD_BYTES && !self.is_at_eof {
            match self.poll_read_ahead(cx) {
                Poll::Ready(read) => read?,
                Poll::Pending => break,
            }
        }
        if self.ahead.is_empty() && self.is_at_eof {
            // The end is passed on as a read of no bytes.
            return Poll::Ready(Ok(()));
        }
        if !self.ahead.is_empty() {
            self.gate.0.borrow_mut().reader = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    fn record_body_bytes(&mut self, len: usize) {
        let mut state = self.gate.0.borrow_mut();
        if let BodyRest::Sized(rest) = state.body {
            state.body = BodyRest::sized(rest.saturating_sub(len as u64));
            self.line_end = LineEnd::default();
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GatedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if std::mem::take(&mut this.is_at_empty_line) {
            if this.ahead.is_empty() {
                ready!(this.poll_read_ahead(cx))?;
            }
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let permit = this.gate.0.borrow().permit();
        match permit {
            Permit::Nothing => this.poll_closed(cx),
            Permit::Head => this.poll_head(cx, buf),
            Permit::Chunks => this.poll_to_empty_line(cx, buf),
            Permit::Bytes(max) => {
                let len = ready!(this.poll_bytes(cx, buf, max))?;
                this.record_body_bytes(len);
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GatedStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.gate.record_write(written.is_pending());
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
