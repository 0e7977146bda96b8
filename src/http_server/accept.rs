//! Accepts connections on a listening socket until stopped.

use super::Connections;
use socket2::{SockFilter, SockRef};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use tokio_util::task::task_tracker::TaskTrackerToken;

/// Delay after a failed accept, such as when the process has run out of file descriptors.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long TCP handshakes that have begun may take to complete before the listener is closed: a
/// few round trips to a caller. Callers that begin to connect meanwhile are delayed by a second.
const HANDSHAKE_GRACE: Duration = Duration::from_millis(10);

/// Which other processes hold a listening socket that this process closes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerRelease {
    /// A successor holds the same socket and accepts the queued connections.
    ToSuccessor,
    /// No other process has ever held this socket. Others may listen on the same address with
    /// sockets of their own.
    Alone,
    /// Other processes have held the same socket, and may still do so.
    Uncertain,
}

/// An accepted connection, which counts as open until `open` is dropped.
#[derive(Debug)]
pub struct AcceptedConnection {
    /// The connection.
    pub stream: TcpStream,
    /// The caller's address.
    pub peer: SocketAddr,
    /// Token that counts the connection as open.
    pub open: TaskTrackerToken,
}

/// Passes each connection to `on_accept` until the process ends.
pub async fn accept(listener: &TcpListener, mut on_accept: impl FnMut(TcpStream, SocketAddr)) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => on_accept(stream, peer),
            Err(err) => {
                log::warn!("failed to accept a connection: {err}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Passes each connection to `on_accept` until `stop`, and then the queued ones, unless a successor
/// accepts those.
pub async fn accept_until_stopped(
    listener: TcpListener,
    stop: oneshot::Receiver<ListenerRelease>,
    connections: Connections,
    mut on_accept: impl FnMut(AcceptedConnection),
) {
    let mut on_accept = |stream, peer| {
        on_accept(AcceptedConnection {
            stream,
            peer,
            open: connections.track(),
        });
    };
    let release = tokio::select! {
        () = accept(&listener, &mut on_accept) => return,
        Ok(release) = stop => release,
    };
    match release {
        ListenerRelease::ToSuccessor => return,
        ListenerRelease::Alone => accept_pending_handshakes(&listener, &mut on_accept).await,
        // A filter on the socket would also apply to processes that may still hold it.
        ListenerRelease::Uncertain => {}
    }
    if let Err(err) = accept_queued(listener, on_accept) {
        log::warn!("connections in the accept queue are lost: {err}");
    }
}

/// Drops packets of new connections, and accepts those whose handshake has begun, so that nothing
/// enters the accept queue any more.
async fn accept_pending_handshakes(
    listener: &TcpListener,
    on_accept: impl FnMut(TcpStream, SocketAddr),
) {
    if let Err(err) = drop_new_syns(listener) {
        log::warn!("cannot filter new connections, callers that connect now may be reset: {err}");
    }
    // Handshakes that had begun are complete after this time, and their connections accepted.
    let _waited = timeout(HANDSHAKE_GRACE, accept(listener, on_accept)).await;
}

/// Makes the kernel drop the first packet (SYN) of every new connection to a listener.
///
/// The kernel resets connections that are still queued when a listener is closed, and a caller
/// whose connection was reset cannot know whether its request ran. A caller whose SYN is dropped
/// sends it again after a second, and reaches the process that listens by then.
fn drop_new_syns(listener: &TcpListener) -> std::io::Result<()> {
    SockRef::from(listener).attach_filter(&DROP_SYN_FILTER)
}

/// Classic BPF filter over a TCP segment: drops segments with SYN but without ACK.
const DROP_SYN_FILTER: [SockFilter; 5] = {
    const LOAD_BYTE: u16 = (libc::BPF_LD | libc::BPF_B | libc::BPF_ABS) as u16;
    const AND: u16 = (libc::BPF_ALU | libc::BPF_AND | libc::BPF_K) as u16;
    const JUMP_IF_EQUAL: u16 = (libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K) as u16;
    const RETURN: u16 = (libc::BPF_RET | libc::BPF_K) as u16;
    const TCP_FLAGS_OFFSET_BYTES: u32 = 13;
    const SYN: u32 = 0x02;
    const ACK: u32 = 0x10;
    const DROP: u32 = 0;
    const KEEP: u32 = u32::MAX;
    [
        SockFilter::new(LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET_BYTES),
        SockFilter::new(AND, 0, 0, SYN | ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, DROP),
        SockFilter::new(RETURN, 0, 0, KEEP),
    ]
};

/// Accepts the connections in the kernel's accept queue, and closes the listener.
fn accept_queued(
    listener: TcpListener,
    mut on_accept: impl FnMut(TcpStream, SocketAddr),
) -> std::io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                stream.set_nonblocking(true)?;
                on_accept(TcpStream::from_std(stream)?, peer);
            }
            Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => return Ok(()),
            Err(err) if err.kind() == std::io::ErrorKind::ConnectionAborted => {}
            Err(err) => return Err(err),
        }
    }
}
