//! A connection that a library serves, and that the caller of the library gets back at the end.

use super::connection_close::CloseHeader;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection that returns to its [`StreamReclaimer`] when it is dropped. Shutting it down only
/// flushes it, so that a final response can still be written to the reclaimed connection.
#[derive(Debug)]
pub struct ReclaimableStream {
    /// Present until the stream is dropped.
    stream: Option<TcpStream>,
    reclaimer: Rc<StreamReclaimer>,
}

/// Gets the connection of a [`ReclaimableStream`] back.
#[derive(Debug, Default)]
pub struct StreamReclaimer {
    reclaimed: RefCell<Option<TcpStream>>,
    /// Whether a response has instructed the caller to close the connection.
    pub close_header: CloseHeader,
}

impl StreamReclaimer {
    /// Returns the connection, once the [`ReclaimableStream`] has been dropped.
    pub fn reclaim(&self) -> Option<TcpStream> {
        self.reclaimed.borrow_mut().take()
    }
}

impl ReclaimableStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream: Some(stream),
            reclaimer: Rc::default(),
        }
    }

    /// Returns the handle that gets the connection back.
    pub fn reclaimer(&self) -> &Rc<StreamReclaimer> {
        &self.reclaimer
    }

    fn inner(self: Pin<&mut Self>) -> io::Result<Pin<&mut TcpStream>> {
        let stream = self.get_mut().stream.as_mut();
        let stream = stream.ok_or(io::ErrorKind::NotConnected)?;
        Ok(Pin::new(stream))
    }
}

impl Drop for ReclaimableStream {
    fn drop(&mut self) {
        *self.reclaimer.reclaimed.borrow_mut() = self.stream.take();
    }
}

impl AsyncRead for ReclaimableStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.inner()?.poll_read(cx, buf)
    }
}

impl AsyncWrite for ReclaimableStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.inner()?.poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner()?.poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_flush(cx)
    }
}
