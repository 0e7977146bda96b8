//! The last check before a request that may not be repeated is written to a connection, and a bound
//! on what is read until the head of its answer is complete.
//!
//! Between the choice of a connection and the write, the box may have to wait for a processor while
//! the upstream closes the connection. The socket itself therefore refuses the first write of such a
//! request once its time is over or the kernel knows of an end, and counts what was written, which
//! proves that a request without a written byte did not run. See `docs/design/connections.md`.

use super::upstream_stream::UpstreamStream;
use crate::clock::Now;
use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What may still be written to a connection, and how much was.
#[derive(Debug, Default)]
pub struct WriteGate {
    write_by: Cell<Option<Duration>>,
    written: Cell<u64>,
    has_refused: Cell<bool>,
    /// How many more bytes may be read while the head of an answer is awaited.
    head_bytes_left: Cell<Option<usize>>,
}

/// The most bytes that are read until the head of an answer is complete: heads, those of interim
/// answers included, are far smaller.
const MAX_HEAD_BYTES: usize = 64 * 1024;

impl WriteGate {
    /// Bounds what is read until the head of an answer is complete.
    pub fn begin_head(&self) {
        self.head_bytes_left.set(Some(MAX_HEAD_BYTES));
    }

    /// Ends the bound.
    pub fn end_head(&self) {
        self.head_bytes_left.set(None);
    }

    /// Counts bytes that were read; an error if the head of an answer is too long.
    fn record_read(&self, count: usize) -> io::Result<()> {
        let Some(left) = self.head_bytes_left.get() else {
            return Ok(());
        };
        self.head_bytes_left.set(Some(left.saturating_sub(count)));
        match count > left {
            true => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the head of the answer has no end",
            )),
            false => Ok(()),
        }
    }

    /// Requires that the next write begins by a time on the monotonic clock, while the kernel knows
    /// of no end of the connection. The earliest such time holds.
    pub fn require(&self, write_by: Duration) {
        let earliest = self.write_by.get().map_or(write_by, |by| by.min(write_by));
        self.write_by.set(Some(earliest));
    }

    /// Returns how many bytes the kernel has taken.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Returns whether a write was refused because it came too late.
    pub fn has_refused(&self) -> bool {
        self.has_refused.get()
    }

    /// Checks whether a write may begin.
    fn check(&self, stream: &UpstreamStream) -> io::Result<()> {
        let Some(write_by) = self.write_by.get() else {
            return Ok(());
        };
        if Now::read().monotonic > write_by {
            self.has_refused.set(true);
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the connection was no longer known to be open",
            ));
        }
        match stream.is_quiet() {
            true => Ok(()),
            false => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    fn record(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = written {
            self.write_by.set(None);
            let count = u64::try_from(*count).unwrap_or(u64::MAX);
            self.written.set(self.written.get().saturating_add(count));
        }
    }
}

/// Returns whether the kernel knows of no end of a connection, and of no data that waits.
pub fn is_quiet(socket: &socket2::Socket) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = socket.peek(&mut byte);
    peeked.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
}

/// A stream that asks a [`WriteGate`] before each write.
#[derive(Debug)]
pub struct GatedStream {
    stream: UpstreamStream,
    gate: Rc<WriteGate>,
}

impl GatedStream {
    /// Lets a gate decide on the writes to a stream.
    pub fn new(stream: impl Into<UpstreamStream>, gate: Rc<WriteGate>) -> Self {
        Self {
            stream: stream.into(),
            gate,
        }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len().saturating_sub(filled);
        Poll::Ready(self.gate.record_read(read))
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.check(&self.stream)?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.gate.record(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.gate.check(&self.stream)?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.gate.record(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
