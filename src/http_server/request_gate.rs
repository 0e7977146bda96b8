//! Decides how much of an HTTP/1.1 connection the HTTP library may read: one request at a time.
//!
//! The library reads 128 kB ahead and parses every request in it, whether or not the caller takes
//! any answer. With small requests, a connection whose caller reads nothing took several megabytes.
//! Behind a [`GatedStream`], it gets the bytes of a request only after the answer to the one before
//! was written. See `docs/design/slow-readers.md`.
//!
//! [`GatedStream`]: super::gated_stream::GatedStream

use crate::clock::Now;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::{HttpMessage as _, Payload, Request, Response};
use bytes::Bytes;
use futures::{Stream, StreamExt as _};
use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

/// What the library may read next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Permit {
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

    /// Returns what the library may read next.
    pub(super) fn permit(&self) -> Permit {
        self.0.borrow().permit()
    }

    /// Returns how many requests were passed on.
    pub(super) fn begun(&self) -> u64 {
        self.0.borrow().begun
    }

    /// Lets a task wait until more may be read.
    pub(super) fn wait_to_read(&self, reader: &Waker) {
        self.0.borrow_mut().reader = Some(reader.clone());
    }

    /// Records that bytes of a body were passed on.
    pub(super) fn record_body_bytes(&self, len: usize) {
        let mut state = self.0.borrow_mut();
        if let BodyRest::Sized(rest) = state.body {
            state.body = BodyRest::sized(rest.saturating_sub(len as u64));
        }
    }

    /// Records whether the kernel took bytes of an answer.
    pub(super) fn record_write(&self, is_blocked: bool) {
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
