//! A connection on which the other side's end is an error.
//!
//! Towards upstreams, the client takes a connection that closes in the middle of a body for
//! the end of the body, so that a cut answer would look whole. Towards callers, the server
//! goes on with a request whose caller has closed its side, while here such a caller has
//! given the request up, and the upstreams should stop working on it. See
//! `docs/design/outcomes.md` and `docs/design/platform.md`.

use actix_rt::net::{ActixStream, Ready, TcpStream};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A TCP connection whose end is an error.
#[derive(Debug)]
pub struct EofErrorStream {
    stream: TcpStream,
    end: io::ErrorKind,
}

impl EofErrorStream {
    /// Wraps a connection; its end is an error of the kind `end`.
    pub fn new(stream: TcpStream, end: io::ErrorKind) -> Self {
        Self { stream, end }
    }
}

impl AsyncRead for EofErrorStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let room = buf.remaining();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        if room > 0 && buf.remaining() == room {
            return Poll::Ready(Err(this.end.into()));
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
