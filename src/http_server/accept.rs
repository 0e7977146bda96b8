//! Takes connections from a listening socket until it is told to stop.

use super::Connections;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::task_tracker::TaskTrackerToken;

/// The pause after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

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

/// Hands each connection to `take` until `stop`, and then those that still wait to be taken.
pub async fn accept_until(
    listener: TcpListener,
    stop: CancellationToken,
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
    tokio::select! {
        () = accept(&listener, &mut take) => {}
        () = stop.cancelled() => {}
    }
    if let Err(err) = take_waiting(listener, take) {
        log::warn!("connections that waited to be taken are lost: {err}");
    }
}

/// Takes the connections that wait in the system's queue, and closes the listener.
///
/// The system resets what it still has queued when a listener is closed. So nothing may come
/// between the look that found nothing and the close, not even another task.
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
