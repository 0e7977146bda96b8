//! A caller's connection on which the end of input is an error.
//!
//! The HTTP server goes on with a request whose caller has closed its side, while here a
//! caller that closes has given the request up, and the upstreams should stop working on
//! it. Taking the end for an error drops the request at once. See
//! `docs/design/platform.md`.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP connection of a caller.
#[derive(Debug)]
pub struct CallerStream(TcpStream);

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        Self(stream)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let room = buf.remaining();
        ready!(Pin::new(&mut self.0).poll_read(cx, buf))?;
        if room > 0 && buf.remaining() == room {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
