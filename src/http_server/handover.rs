//! Handover of the callers' listening socket from a router to its successor.
//!
//! The kernel resets the connections in the accept queue of a listening socket when the last
//! process that holds the socket closes it. A successor therefore receives the socket itself,
//! together with the Unix socket on which handovers are requested, so that neither is closed when
//! routers are replaced. See "Leaving a shared address" in `docs/design/stopping.md`.

use super::accept::{ACCEPT_RETRY_DELAY, ListenerRelease};
use crate::daemon::listen_reuse_port;
use crate::error::{Error, Result};
use rustix::cmsg_space;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use socket2::SockRef;
use std::cell::Cell;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, Interest};
use tokio::net::{UnixListener, UnixStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// How long a predecessor may take to send its sockets. A frozen one never does.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Sent along with the descriptors, which cannot be sent without at least one byte of data.
const DESCRIPTOR_CARRIER: [u8; 1] = [1];
/// Number of sockets sent: the callers' listening socket and the Unix socket for handover requests.
const SOCKET_COUNT: usize = 2;

/// The callers' listening socket, and the means to hand it over.
#[derive(Debug)]
pub struct CallerListener {
    listener: TcpListener,
    /// Unix socket on which successors request the handover; absent if another router has bound its
    /// name.
    request_listener: Option<UnixListener>,
    /// Present if the socket was taken over. The predecessor detects by the end of this connection
    /// that this router has exited.
    predecessor: Option<UnixStream>,
}

/// Offers the callers' listening socket to successors in a background task.
#[derive(Debug)]
pub struct Handover {
    offer_task: JoinHandle<()>,
    successor_state: Rc<Cell<SuccessorState>>,
    predecessor: Option<UnixStream>,
}

/// State of the router that took the callers' listening socket over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SuccessorState {
    None,
    Running,
    Gone,
}

impl CallerListener {
    /// Takes the socket of an address over from the router that holds it, or opens a new one.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        match timeout(HANDOVER_TIMEOUT, take_over(address)).await {
            Ok(Ok(taken_over)) => {
                log::info!(address:%; "listening socket taken over from another router");
                return Ok(taken_over);
            }
            Ok(Err(err)) => log::info!(address:%; "listening socket not taken over: {err}"),
            Err(_elapsed) => {
                log::warn!(address:%; "timed out waiting for the handover of the listening socket");
            }
        }
        let request_listener = UnixListener::bind(request_socket_name(address))
            .inspect_err(|err| log::warn!("cannot offer the listening socket for handover: {err}"));
        Ok(Self {
            listener: listen_reuse_port(address)?,
            request_listener: request_listener.ok(),
            predecessor: None,
        })
    }

    /// Starts to offer the socket to successors, and returns it for this router's own use.
    pub fn offer(self) -> Result<(TcpListener, Handover)> {
        let offered_listener = self.listener.try_clone().map_err(|err| {
            Error::Unreachable(format!(
                "cannot offer the listening socket for handover: {err}"
            ))
        })?;
        let successor_state = Rc::new(Cell::new(SuccessorState::None));
        let offer_task = serve_successors(
            self.request_listener,
            offered_listener,
            successor_state.clone(),
        );
        let handover = Handover {
            offer_task: actix_rt::spawn(offer_task),
            successor_state,
            predecessor: self.predecessor,
        };
        Ok((self.listener, handover))
    }
}

impl Handover {
    /// Stops offering the socket, and returns which other processes may hold it.
    pub async fn stop(self) -> ListenerRelease {
        self.offer_task.abort();
        // The task holds a descriptor of the listening socket until it has ended.
        let _aborted = self.offer_task.await;
        match (self.successor_state.get(), self.predecessor) {
            (SuccessorState::Running, _) => ListenerRelease::ToSuccessor,
            (SuccessorState::None, None) => ListenerRelease::Alone,
            (SuccessorState::Gone, _) | (SuccessorState::None, Some(_)) => {
                ListenerRelease::Uncertain
            }
        }
    }
}

/// Returns the name of the Unix socket on which the handover of an address's listening socket is
/// requested. The leading zero byte makes it an abstract socket, which belongs to the same network
/// namespace as the address and has no file.
fn request_socket_name(address: SocketAddr) -> String {
    format!("\0gatepier-router/{address}")
}

async fn take_over(address: SocketAddr) -> io::Result<CallerListener> {
    let predecessor = UnixStream::connect(request_socket_name(address)).await?;
    check_user(&predecessor)?;
    let receive = || receive_sockets(predecessor.as_fd());
    let [listener, request_listener] = predecessor.async_io(Interest::READABLE, receive).await?;
    let listener = TcpListener::from(listener);
    if !SockRef::from(&listener).is_listener()? || listener.local_addr()? != address {
        return Err(io::Error::other(
            "received a socket that does not listen on the address",
        ));
    }
    Ok(CallerListener {
        listener,
        request_listener: Some(UnixListener::from_std(request_listener.into())?),
        predecessor: Some(predecessor),
    })
}

/// Hands the sockets over to one successor at a time, to the next one when the previous one has
/// exited.
async fn serve_successors(
    request_listener: Option<UnixListener>,
    listener: TcpListener,
    successor_state: Rc<Cell<SuccessorState>>,
) {
    let Some(request_listener) = request_listener else {
        return;
    };
    loop {
        let mut successor = match request_listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("failed to accept a handover request: {err}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(err) = hand_over(&successor, &listener, &request_listener).await {
            log::warn!("failed to hand the listening socket over: {err}");
            continue;
        }
        log::info!("listening socket handed over to a successor");
        successor_state.set(SuccessorState::Running);
        // A successor never writes, so the read returns only when its connection ends.
        let end = successor.read(&mut [0]).await;
        log::info!(end:?; "the successor that held the listening socket has exited");
        successor_state.set(SuccessorState::Gone);
    }
}

async fn hand_over(
    successor: &UnixStream,
    listener: &TcpListener,
    request_listener: &UnixListener,
) -> io::Result<()> {
    check_user(successor)?;
    let sockets = [listener.as_fd(), request_listener.as_fd()];
    let send = || send_sockets(successor.as_fd(), &sockets);
    successor.async_io(Interest::WRITABLE, send).await
}

/// Rejects processes of other users, since abstract sockets have no permissions.
fn check_user(peer: &UnixStream) -> io::Result<()> {
    let user = peer.peer_cred()?.uid();
    match user == rustix::process::geteuid().as_raw() {
        true => Ok(()),
        false => Err(io::Error::other(format!("the peer runs as user {user}"))),
    }
}

fn send_sockets(to: BorrowedFd<'_>, sockets: &[BorrowedFd<'_>; SOCKET_COUNT]) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(SOCKET_COUNT))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let fits = control.push(SendAncillaryMessage::ScmRights(sockets));
    debug_assert!(fits, "the buffer has room for all descriptors");
    let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
    sendmsg(
        to,
        &[IoSlice::new(&DESCRIPTOR_CARRIER)],
        &mut control,
        flags,
    )?;
    Ok(())
}

fn receive_sockets(from: BorrowedFd<'_>) -> io::Result<[OwnedFd; SOCKET_COUNT]> {
    let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(SOCKET_COUNT))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut buf = DESCRIPTOR_CARRIER;
    let flags = RecvFlags::CMSG_CLOEXEC | RecvFlags::DONTWAIT;
    recvmsg(from, &mut [IoSliceMut::new(&mut buf)], &mut control, flags)?;
    let mut received = Vec::new();
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(sockets) = message {
            received.extend(sockets);
        }
    }
    received
        .try_into()
        .map_err(|_| io::Error::other("the predecessor sent an unexpected number of sockets"))
}
