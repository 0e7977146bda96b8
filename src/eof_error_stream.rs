//! A TCP stream that reports end of file as an error.
//!
//! On connections to upstreams, the HTTP client takes a connection that closes in the middle of a
//! body for the end of the body, so that a truncated response would look complete. On connections
//! from callers, the HTTP server would continue a request after the caller has closed its side,
//! but here such a caller has abandoned the request, and the upstreams should stop working on it.
//! See `docs/design/outcomes.md` and `docs/design/platform.md`.

use actix_rt::net::{ActixStream, Ready, TcpStream};
use std::io;
use std::os::fd::{AsRawFd, RawFd};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A TCP stream that returns an error where the peer has closed its side.
#[derive(Debug)]
pub struct EofErrorStream {
    stream: TcpStream,
    eof_error: io::ErrorKind,
}

impl EofErrorStream {
    /// Wraps a stream that returns an error of the kind `eof_error` at end of file.
    pub fn new(stream: TcpStream, eof_error: io::ErrorKind) -> Self {
        Self { stream, eof_error }
    }
}

impl AsRawFd for EofErrorStream {
    fn as_raw_fd(&self) -> RawFd {
        self.stream.as_raw_fd()
    }
}

impl AsyncRead for EofErrorStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let capacity = buf.remaining();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        if capacity > 0 && buf.remaining() == capacity {
            return Poll::Ready(Err(this.eof_error.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for EofErrorStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

impl ActixStream for EofErrorStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
