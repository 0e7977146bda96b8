//! A connection of which the HTTP library reads what a [`RequestGate`] permits.

use super::request_gate::{Permit, RequestGate};
use bytes::{Buf as _, BytesMut};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
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
        let begun = self.gate.begun();
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
            self.gate.wait_to_read(cx.waker());
        }
        Poll::Pending
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
        match this.gate.permit() {
            Permit::Nothing => this.poll_closed(cx),
            Permit::Head => this.poll_head(cx, buf),
            Permit::Chunks => this.poll_to_empty_line(cx, buf),
            Permit::Bytes(max) => {
                let len = ready!(this.poll_bytes(cx, buf, max))?;
                this.gate.record_body_bytes(len);
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
