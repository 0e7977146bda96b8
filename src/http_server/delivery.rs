//! Tracks which callers have still to take a part of their answer.
//!
//! An answer is delivered when the caller's side of the connection has taken its last byte, not
//! when it was handed on: a slow caller leaves most of it in the write buffer of its connection,
//! and then in the kernel. A server that stops waits for that. See `docs/design/stopping.md`.

use crate::eof_error_stream::EofErrorStream;
use actix_rt::net::{ActixStream, Ready};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::os::fd::{AsRawFd as _, RawFd};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};
use tokio_util::sync::CancellationToken;

/// How often the kernel is asked whether the caller has taken the rest.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The open connections of callers.
#[derive(Debug, Clone, Default)]
pub struct Deliveries(Rc<RefCell<HashMap<RawFd, Buffered>>>);

/// Whether the process holds bytes that a connection has still to take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Buffered {
    Nothing,
    Rest,
}

impl Deliveries {
    /// Returns how many connections have still to deliver a part of an answer.
    pub fn unfinished(&self) -> usize {
        let connections = self.0.borrow();
        let is_unfinished = |(fd, buffered): &(&RawFd, &Buffered)| {
            **buffered == Buffered::Rest || has_unsent_bytes(**fd)
        };
        connections.iter().filter(is_unfinished).count()
    }
}

/// A connection of a caller. While the server stops, its end waits until the caller has taken
/// everything.
#[derive(Debug)]
pub struct DeliveringStream {
    stream: EofErrorStream,
    deliveries: Deliveries,
    stopping: CancellationToken,
    next_look: Option<Pin<Box<Sleep>>>,
}

impl DeliveringStream {
    /// Tracks a connection of a server that stops once a token is cancelled.
    pub fn new(
        stream: EofErrorStream,
        deliveries: &Deliveries,
        stopping: CancellationToken,
    ) -> Self {
        let mut connections = deliveries.0.borrow_mut();
        connections.insert(stream.as_raw_fd(), Buffered::Nothing);
        drop(connections);
        Self {
            stream,
            deliveries: deliveries.clone(),
            stopping,
            next_look: None,
        }
    }

    fn record(&self, buffered: Buffered) {
        let mut connections = self.deliveries.0.borrow_mut();
        connections.insert(self.stream.as_raw_fd(), buffered);
    }

    /// Waits until the kernel holds nothing that the caller has not taken.
    fn poll_taken(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while has_unsent_bytes(self.stream.as_raw_fd()) {
            let next_look = self
                .next_look
                .get_or_insert_with(|| Box::pin(sleep(POLL_INTERVAL)));
            ready!(next_look.as_mut().poll(cx));
            self.next_look = None;
        }
        Poll::Ready(())
    }
}

impl Drop for DeliveringStream {
    fn drop(&mut self) {
        let mut connections = self.deliveries.0.borrow_mut();
        connections.remove(&self.stream.as_raw_fd());
    }
}

impl AsyncRead for DeliveringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for DeliveringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        // The server writes until everything is written or the kernel takes no more.
        self.record(match written.is_pending() {
            true => Buffered::Rest,
            false => Buffered::Nothing,
        });
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        if self.stopping.is_cancelled() {
            ready!(self.poll_taken(cx));
        }
        Poll::Ready(Ok(()))
    }
}

impl ActixStream for DeliveringStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.stream.poll_read_ready(cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.stream.poll_write_ready(cx)
    }
}

/// Returns whether the kernel holds bytes of a connection that its peer has not acknowledged.
fn has_unsent_bytes(fd: RawFd) -> bool {
    let mut unsent: libc::c_int = 0;
    // SAFETY: the descriptor belongs to a stream that is tracked until it is dropped, and the call
    // writes one integer to a variable of that type.
    let outcome = unsafe { libc::ioctl(fd, libc::TIOCOUTQ, &raw mut unsent) };
    if outcome != 0 {
        let err = io::Error::last_os_error();
        log::debug!("the kernel does not say what a caller has still to take: {err}");
    }
    outcome == 0 && unsent > 0
}
