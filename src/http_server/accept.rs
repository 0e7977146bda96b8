//! Takes connections from a listening socket until it is told to stop.

use super::Connections;
use socket2::{SockFilter, SockRef};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use tokio_util::task::task_tracker::TaskTrackerToken;

/// The pause after a failed accept, such as for want of descriptors.
pub(super) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long those that have begun to connect may take to be through when a listener is left: a few
/// times the way to a caller and back. Whoever begins meanwhile is held up by a second.
const CONNECTING: Duration = Duration::from_millis(10);

/// Who else takes connections from a listening socket that is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leaving {
    /// A successor has the same socket and takes what waits there.
    ToSuccessor,
    /// No other process ever had the same socket; others may listen on the address by sockets of their own.
    Alone,
    /// Others had the same socket, and may have it still.
    Uncertain,
}

/// A connection that was taken and counts as open until it is dropped.
#[derive(Debug)]
pub struct Taken {
    /// The connection.
    pub stream: TcpStream,
    /// The caller's address.
    pub peer: SocketAddr,
    /// Counts the connection.
    pub open: TaskTrackerToken,
}

/// Hands each connection to `take` until the process ends.
pub async fn accept(listener: &TcpListener, mut take: impl FnMut(TcpStream, SocketAddr)) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => take(stream, peer),
            Err(err) => {
                log::warn!("a connection cannot be accepted: {err}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Hands each connection to `take` until `stop`, and then those that wait, unless a successor takes
/// them.
pub async fn accept_until(
    listener: TcpListener,
    stop: oneshot::Receiver<Leaving>,
    connections: Connections,
    mut take: impl FnMut(Taken),
) {
    let mut take = |stream, peer| {
        take(Taken {
            stream,
            peer,
            open: connections.count_in(),
        });
    };
    let leaving = tokio::select! {
        () = accept(&listener, &mut take) => return,
        Ok(leaving) = stop => leaving,
    };
    match leaving {
        Leaving::ToSuccessor => return,
        Leaving::Alone => take_newcomers(&listener, &mut take).await,
        // What is set on the socket would hold for those who may still have it.
        Leaving::Uncertain => {}
    }
    if let Err(err) = take_waiting(listener, take) {
        log::warn!("connections that waited to be taken are lost: {err}");
    }
}

/// Leaves the queue of a listener empty, and lets nothing more come into it.
async fn take_newcomers(listener: &TcpListener, take: impl FnMut(TcpStream, SocketAddr)) {
    if let Err(err) = pass_over_newcomers(listener) {
        log::warn!("callers that connect now may be reset: {err}");
    }
    // Those that had begun to connect are through by then, and are taken.
    let _waited = timeout(CONNECTING, accept(listener, take)).await;
}

/// Makes the system drop the first packet of every new connection to a listener.
///
/// The system resets what is still queued when a listener is closed, and a caller that was reset
/// cannot tell whether its request ran. One whose first packet is dropped sends it again a second
/// later, and reaches whoever listens there by then.
fn pass_over_newcomers(listener: &TcpListener) -> std::io::Result<()> {
    SockRef::from(listener).attach_filter(&DROP_FIRST_PACKETS)
}

/// A filter of classic BPF over a TCP segment: drops what carries SYN without ACK.
const DROP_FIRST_PACKETS: [SockFilter; 5] = {
    const LOAD_BYTE: u16 = (libc::BPF_LD | libc::BPF_B | libc::BPF_ABS) as u16;
    const AND: u16 = (libc::BPF_ALU | libc::BPF_AND | libc::BPF_K) as u16;
    const JUMP_IF_EQUAL: u16 = (libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K) as u16;
    const RETURN: u16 = (libc::BPF_RET | libc::BPF_K) as u16;
    const FLAGS_AT: u32 = 13;
    const SYN: u32 = 0x02;
    const ACK: u32 = 0x10;
    const DROP: u32 = 0;
    const KEEP: u32 = u32::MAX;
    [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_AT),
        SockFilter::new(AND, 0, 0, SYN | ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, DROP),
        SockFilter::new(RETURN, 0, 0, KEEP),
    ]
};

/// Takes the connections that wait in the system's queue, and closes the listener.
fn take_waiting(
    listener: TcpListener,
    mut take: impl FnMut(TcpStream, SocketAddr),
) -> std::io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                stream.set_nonblocking(true)?;
                take(TcpStream::from_std(stream)?, peer);
            }
            Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => return Ok(()),
            Err(err) if err.kind() == std::io::ErrorKind::ConnectionAborted => {}
            Err(err) => return Err(err),
        }
    }
}
