//! The byte stream under a connection to an upstream: a socket of this box, or a tunnel through
//! another one.

use super::connection_write::is_quiet;
use crate::gateway::peers::tunnel_stream::{TunnelState, TunnelStream};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A stream of bytes to an upstream and back.
#[derive(Debug)]
pub enum UpstreamStream {
    /// A socket of this box.
    Direct(TcpStream),
    /// A tunnel through another box.
    Tunnel(TunnelStream),
}

/// By which way a connection reaches its upstream.
#[derive(Debug, Clone, Default)]
pub enum ConnectionPath {
    /// From this box.
    #[default]
    Direct,
    /// Through another box.
    Tunnel(Rc<TunnelState>),
}

impl ConnectionPath {
    /// Returns the box through which the connection leads.
    pub fn peer(&self) -> Option<SocketAddr> {
        match self {
            Self::Direct => None,
            Self::Tunnel(state) => Some(state.peer()),
        }
    }

    /// Returns whether the way itself was lost, so that the end of the connection says nothing about
    /// the upstream.
    pub fn was_lost(&self) -> bool {
        match self {
            Self::Direct => false,
            Self::Tunnel(state) => state.was_lost(),
        }
    }
}

impl From<TcpStream> for UpstreamStream {
    fn from(stream: TcpStream) -> Self {
        Self::Direct(stream)
    }
}

impl UpstreamStream {
    /// Returns the way of the stream.
    pub fn path(&self) -> ConnectionPath {
        match self {
            Self::Direct(_) => ConnectionPath::Direct,
            Self::Tunnel(stream) => ConnectionPath::Tunnel(stream.state().clone()),
        }
    }

    /// Returns the socket, if it is one of this box.
    pub fn socket(&self) -> Option<&TcpStream> {
        match self {
            Self::Direct(stream) => Some(stream),
            Self::Tunnel(_) => None,
        }
    }

    /// Returns whether no end of the stream is known, and no data waits.
    pub fn is_quiet(&self) -> bool {
        match self {
            Self::Direct(stream) => is_quiet(&socket2::SockRef::from(stream)),
            Self::Tunnel(stream) => stream.is_quiet(),
        }
    }
}

impl AsyncRead for UpstreamStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_read(cx, buf),
            Self::Tunnel(stream) => Pin::new(stream).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for UpstreamStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_write(cx, buf),
            Self::Tunnel(stream) => Pin::new(stream).poll_write(cx, buf),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_write_vectored(cx, bufs),
            Self::Tunnel(stream) => Pin::new(stream).poll_write_vectored(cx, bufs),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Self::Direct(stream) => stream.is_write_vectored(),
            Self::Tunnel(stream) => stream.is_write_vectored(),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_flush(cx),
            Self::Tunnel(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_shutdown(cx),
            Self::Tunnel(stream) => Pin::new(stream).poll_shutdown(cx),
        }
    }
}
