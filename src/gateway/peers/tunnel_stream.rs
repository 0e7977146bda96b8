//! A connection to an upstream that another box has opened, as a byte stream over `h2`.

use bytes::{Buf as _, Bytes};
use h2::{Reason, RecvStream, SendStream};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The `h2` error by which the other box says that the upstream has reset its connection.
pub const UPSTREAM_RESET: Reason = Reason::CONNECT_ERROR;

/// Waits until up to `wanted` bytes may be sent, and returns how many; the error is `None` if the
/// other box has ended the stream.
pub fn poll_capacity(
    sender: &mut SendStream<Bytes>,
    wanted: usize,
    cx: &mut Context<'_>,
) -> Poll<Result<usize, Option<h2::Error>>> {
    sender.reserve_capacity(wanted);
    // The capacity may have been assigned before, in which case nothing more is announced.
    while sender.capacity() == 0 {
        match ready!(sender.poll_capacity(cx)) {
            Some(Ok(_)) => {}
            Some(Err(err)) => return Poll::Ready(Err(Some(err))),
            None => return Poll::Ready(Err(None)),
        }
    }
    Poll::Ready(Ok(sender.capacity().min(wanted)))
}

/// The state of a tunnel, which outlasts its stream.
#[derive(Debug)]
pub struct TunnelState {
    peer: SocketAddr,
    was_lost: Cell<bool>,
    /// How many tunnels lead through the same box.
    open_count: Rc<Cell<usize>>,
}

impl TunnelState {
    /// Counts a tunnel through a box until it is dropped.
    pub fn new(peer: SocketAddr, open_count: &Rc<Cell<usize>>) -> Rc<Self> {
        open_count.set(open_count.get() + 1);
        Rc::new(Self {
            peer,
            was_lost: Cell::default(),
            open_count: open_count.clone(),
        })
    }

    /// Returns the box through which the tunnel leads.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns whether the tunnel ended between the boxes, which says nothing about the upstream.
    pub fn was_lost(&self) -> bool {
        self.was_lost.get()
    }
}

impl Drop for TunnelState {
    fn drop(&mut self) {
        self.open_count.set(self.open_count.get().saturating_sub(1));
    }
}

/// The stream. Dropping it makes the other box close its connection to the upstream.
#[derive(Debug)]
pub struct TunnelStream {
    sender: SendStream<Bytes>,
    receiver: RecvStream,
    /// What has arrived and was not read yet.
    unread: Bytes,
    has_ended: bool,
    state: Rc<TunnelState>,
}

impl TunnelStream {
    /// Wraps an open `h2` stream.
    pub fn new(sender: SendStream<Bytes>, receiver: RecvStream, state: Rc<TunnelState>) -> Self {
        Self {
            sender,
            receiver,
            unread: Bytes::new(),
            has_ended: false,
            state,
        }
    }

    /// Returns the state of the tunnel.
    pub fn state(&self) -> &Rc<TunnelState> {
        &self.state
    }

    /// Returns whether the upstream is known to have sent nothing that was not read.
    pub fn is_quiet(&self) -> bool {
        !self.has_ended && self.unread.is_empty()
    }

    fn fail(&mut self, err: &h2::Error) -> io::Error {
        self.has_ended = true;
        if err.is_reset() && err.reason() == Some(UPSTREAM_RESET) {
            return io::ErrorKind::ConnectionReset.into();
        }
        self.state.was_lost.set(true);
        io::Error::new(
            io::ErrorKind::ConnectionAborted,
            format!("lost the tunnel through {}: {err}", self.state.peer),
        )
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() {
            match ready!(self.receiver.poll_data(cx)) {
                Some(Ok(bytes)) => self.unread = bytes,
                Some(Err(err)) => return Poll::Ready(Err(self.fail(&err))),
                None => {
                    self.has_ended = true;
                    return Poll::Ready(Ok(()));
                }
            }
        }
        let count = self.unread.len().min(buf.remaining());
        buf.put_slice(&self.unread[..count]);
        self.unread.advance(count);
        let released = self.receiver.flow_control().release_capacity(count);
        Poll::Ready(released.map_err(|err| self.fail(&err)))
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if buf.is_empty() {
            return Poll::Ready(Ok(0));
        }
        let capacity = ready!(poll_capacity(&mut self.sender, buf.len(), cx));
        let count = match capacity {
            Ok(capacity) => capacity,
            Err(Some(err)) => return Poll::Ready(Err(self.fail(&err))),
            Err(None) => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
        };
        let bytes = Bytes::copy_from_slice(&buf[..count]);
        let sent = self.sender.send_data(bytes, false);
        Poll::Ready(sent.map(|()| count).map_err(|err| self.fail(&err)))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let sent = self.sender.send_data(Bytes::new(), true);
        Poll::Ready(sent.map_err(|err| self.fail(&err)))
    }
}
