//! Passes the callers' listening socket from a router to its successor.
//!
//! The system resets the connections that wait in the queue of a listening socket when its last
//! holder closes it. A successor therefore takes over the socket itself, together with the one at
//! which it was asked for, so that neither is closed as routers come and go. See "Leaving a shared
//! address" in `docs/design/stopping.md`.

use super::accept::{ACCEPT_PAUSE, Leaving};
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

/// How long a predecessor may take to pass its sockets on. One that is frozen does not answer.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Stands beside the descriptors, which cannot be sent without a byte of data.
const MESSAGE: [u8; 1] = [1];
/// The callers' socket and the one at which successors ask.
const SOCKETS: usize = 2;

/// The callers' listening socket, and what is needed to pass it on.
#[derive(Debug)]
pub struct CallersSocket {
    listener: TcpListener,
    /// Where a successor asks; none while another router has that name.
    asked_at: Option<UnixListener>,
    /// Present if the socket was taken over. The predecessor sees by its end that this router
    /// has gone.
    predecessor: Option<UnixStream>,
}

/// Offers the callers' socket to successors in the background.
#[derive(Debug)]
pub struct Handover {
    offering: JoinHandle<()>,
    successor: Rc<Cell<Successor>>,
    predecessor: Option<UnixStream>,
}

/// What is known of the router that took the callers' socket over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Successor {
    None,
    Running,
    Gone,
}

impl CallersSocket {
    /// Takes the socket of an address over from the router that has it, or opens a new one.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        match timeout(TAKE_OVER_TIMEOUT, take_over(address)).await {
            Ok(Ok(taken)) => {
                log::info!(address:%; "the callers' socket is taken over");
                return Ok(taken);
            }
            Ok(Err(err)) => log::info!(address:%; "no router passes the callers' socket on: {err}"),
            Err(_elapsed) => {
                log::warn!(address:%; "a router has the callers' socket and does not pass it on");
            }
        }
        let asked_at = UnixListener::bind(name_of(address))
            .inspect_err(|err| log::warn!("the callers' socket cannot be passed on: {err}"));
        Ok(Self {
            listener: listen_reuse_port(address)?,
            asked_at: asked_at.ok(),
            predecessor: None,
        })
    }

    /// Offers the socket to successors, and returns it for this router's own use.
    pub fn offer(self) -> Result<(TcpListener, Handover)> {
        let kept = self.listener.try_clone().map_err(|err| {
            Error::Unreachable(format!("the callers' socket cannot be passed on: {err}"))
        })?;
        let successor = Rc::new(Cell::new(Successor::None));
        let offering = offer_on(self.asked_at, kept, successor.clone());
        let handover = Handover {
            offering: actix_rt::spawn(offering),
            successor,
            predecessor: self.predecessor,
        };
        Ok((self.listener, handover))
    }
}

impl Handover {
    /// Stops offering the socket, and returns how it may be left.
    pub async fn stop(self) -> Leaving {
        self.offering.abort();
        // The task holds a descriptor of the callers' socket until it has ended.
        let _aborted = self.offering.await;
        match (self.successor.get(), self.predecessor) {
            (Successor::Running, _) => Leaving::ToSuccessor,
            (Successor::None, None) => Leaving::Alone,
            (Successor::Gone, _) | (Successor::None, Some(_)) => Leaving::Uncertain,
        }
    }
}

/// Returns the name, in the network namespace of the callers' address, at which its socket is asked
/// for. The leading zero byte makes it an abstract one, which lies in no file system.
fn name_of(address: SocketAddr) -> String {
    format!("\0gatepier-router/{address}")
}

async fn take_over(address: SocketAddr) -> io::Result<CallersSocket> {
    let predecessor = UnixStream::connect(name_of(address)).await?;
    check_user(&predecessor)?;
    let receive = || receive_sockets(predecessor.as_fd());
    let [listener, asked_at] = predecessor.async_io(Interest::READABLE, receive).await?;
    let listener = TcpListener::from(listener);
    if !SockRef::from(&listener).is_listener()? || listener.local_addr()? != address {
        return Err(io::Error::other("another socket was passed on"));
    }
    Ok(CallersSocket {
        listener,
        asked_at: Some(UnixListener::from_std(asked_at.into())?),
        predecessor: Some(predecessor),
    })
}

/// Answers one successor after the other, the next one when the one before has gone.
async fn offer_on(
    asked_at: Option<UnixListener>,
    listener: TcpListener,
    state: Rc<Cell<Successor>>,
) {
    let Some(asked_at) = asked_at else {
        return;
    };
    loop {
        let mut successor = match asked_at.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("a successor cannot be answered: {err}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(err) = pass_on(&successor, &listener, &asked_at).await {
            log::warn!("the callers' socket was not passed on: {err}");
            continue;
        }
        log::info!("the callers' socket is passed on to a successor");
        state.set(Successor::Running);
        // A successor never writes: whatever comes is its end.
        let end = successor.read(&mut [0]).await;
        log::info!(end:?; "the successor has left the callers' socket");
        state.set(Successor::Gone);
    }
}

async fn pass_on(
    successor: &UnixStream,
    listener: &TcpListener,
    asked_at: &UnixListener,
) -> io::Result<()> {
    check_user(successor)?;
    let sockets = [listener.as_fd(), asked_at.as_fd()];
    let send = || send_sockets(successor.as_fd(), &sockets);
    successor.async_io(Interest::WRITABLE, send).await
}

/// Refuses another user's process: names of this kind carry no permissions.
fn check_user(peer: &UnixStream) -> io::Result<()> {
    let user = peer.peer_cred()?.uid();
    match user == rustix::process::geteuid().as_raw() {
        true => Ok(()),
        false => Err(io::Error::other(format!("the peer runs as user {user}"))),
    }
}

fn send_sockets(to: BorrowedFd<'_>, sockets: &[BorrowedFd<'_>; SOCKETS]) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(SOCKETS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let fits = control.push(SendAncillaryMessage::ScmRights(sockets));
    debug_assert!(fits, "the space is made for these");
    let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
    sendmsg(to, &[IoSlice::new(&MESSAGE)], &mut control, flags)?;
    Ok(())
}

fn receive_sockets(from: BorrowedFd<'_>) -> io::Result<[OwnedFd; SOCKETS]> {
    let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(SOCKETS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut buf = MESSAGE;
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
        .map_err(|_| io::Error::other("the predecessor passed no sockets on"))
}
