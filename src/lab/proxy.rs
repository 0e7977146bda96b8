//! A fault-injecting TCP proxy between processes.

use crate::error::{Error, Result};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

const BUFFER_BYTES: usize = 16 * 1024;
/// The number of connections that wait until a link accepts them: more than a burst of callers opens.
const BACKLOG: u32 = 1024;
/// The number of connections that fill the queue of a listener without a backlog.
const MAX_FILLERS: usize = 3;

/// How a link treats connections and bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkMode {
    /// Bytes are forwarded.
    #[default]
    Open,
    /// Connections are closed, and new ones are closed right after they are accepted.
    Closed,
    /// Bytes are held back in both directions, as by a network that drops packets.
    Stalled,
    /// Bytes to the target are held back; bytes from it are forwarded.
    StalledToTarget,
    /// Bytes from the target are held back; bytes to it are forwarded.
    StalledFromTarget,
    /// Existing and new connections are reset.
    Reset,
    /// New connections are refused; existing ones are not affected.
    RefusingNew,
    /// Existing connections are reset, and new ones are refused.
    Refusing,
    /// Nothing is answered, as behind a network partition: new connections hang, and the bytes of
    /// existing ones are held back.
    Unreachable,
    /// Bytes from the target are dropped and the connection is closed, so that the answer to a
    /// request that took effect is lost.
    DropAnswers,
    /// Bytes are delayed by this many milliseconds.
    Delayed(u64),
    /// Bandwidth limit in bytes per second in each direction, shared by all connections of the link.
    Throttled(u64),
}

/// The time until which each direction of a throttled link is in use by earlier bytes.
#[derive(Debug, Default)]
struct BandwidthReservations {
    busy_until: Mutex<[Option<Instant>; 2]>,
}

impl BandwidthReservations {
    /// Reserves a direction for some bytes and returns when the last of them has passed.
    fn reserve(&self, is_answer: bool, bytes: usize, rate: u64, now: Instant) -> Instant {
        let mut reservations = self
            .busy_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let reserved_until = &mut reservations[usize::from(is_answer)];
        let start = reserved_until.map_or(now, |until| until.max(now));
        let passed = start + Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64);
        *reserved_until = Some(passed);
        passed
    }
}

/// A proxy with any number of named links, each with its own mode.
#[derive(Debug, Clone, Default)]
pub struct Proxy {
    links: Arc<Mutex<HashMap<String, watch::Sender<LinkMode>>>>,
}

impl Proxy {
    /// Opens a link to a target, served in the background of the current actix system, and returns
    /// the address on which the link listens.
    pub async fn open(&self, name: &str, target: SocketAddr) -> Result<SocketAddr> {
        let error = |err| Error::Unreachable(format!("cannot open the link {name}: {err}"));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let reservation = bind(any).map_err(error)?;
        let address = reservation.local_addr().map_err(error)?;
        let listener = listen(address, BACKLOG).map_err(error)?;
        let (tx, rx) = watch::channel(LinkMode::Open);
        self.links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(name.to_owned(), tx);
        actix_rt::spawn(async move {
            serve(address, listener, target, rx).await;
            drop(reservation);
        });
        Ok(address)
    }

    /// Sets the mode of all links whose name contains `part`.
    pub fn set(&self, part: &str, mode: LinkMode) {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, link) in links.iter().filter(|(name, _)| name.contains(part)) {
            link.send_replace(mode);
        }
    }
}

/// Binds a socket to an address that others may be bound to as well. While none of them listens,
/// connections to the address are refused.
fn bind(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

fn listen(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    bind(address)?.listen(backlog)
}

/// Serves a link, listening at its address while its mode allows that.
async fn serve(
    address: SocketAddr,
    first_listener: TcpListener,
    target: SocketAddr,
    mut mode: watch::Receiver<LinkMode>,
) {
    let reservations = Rc::new(BandwidthReservations::default());
    let mut listener = Some(first_listener);
    loop {
        let present = *mode.borrow_and_update();
        match present {
            LinkMode::RefusingNew | LinkMode::Refusing => {
                drop(listener.take());
                wait_for_change(&mut mode).await;
            }
            LinkMode::Unreachable => {
                drop(listener.take());
                let _unanswered = leave_unanswered(address);
                wait_for_change(&mut mode).await;
            }
            _ => {
                let open = listener.take().map_or_else(|| listen(address, BACKLOG), Ok);
                let Ok(open) = open else {
                    return;
                };
                let link_mode = mode.clone();
                tokio::select! {
                    () = accept(&open, target, &link_mode, &reservations) => return,
                    () = wait_for_change(&mut mode) => listener = Some(open),
                }
            }
        }
    }
}

/// Waits until the mode changes, which it never does without its sender.
async fn wait_for_change(mode: &mut watch::Receiver<LinkMode>) {
    if mode.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Listens without room for a connection, so that new ones hang until the sockets are dropped.
fn leave_unanswered(address: SocketAddr) -> std::io::Result<(TcpListener, Vec<socket2::Socket>)> {
    let listener = listen(address, 0)?;
    let mut fillers = Vec::new();
    for _ in 0..MAX_FILLERS {
        let filler = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        filler.set_nonblocking(true)?;
        // It may stay in progress, which means that the queue is full.
        let _ = filler.connect(&address.into());
        fillers.push(filler);
    }
    Ok((listener, fillers))
}

async fn accept(
    listener: &TcpListener,
    target: SocketAddr,
    mode: &watch::Receiver<LinkMode>,
    reservations: &Rc<BandwidthReservations>,
) {
    while let Ok((caller, _)) = listener.accept().await {
        let present = *mode.borrow();
        if present == LinkMode::Closed {
            continue;
        }
        if present == LinkMode::Reset {
            reset(&socket2::SockRef::from(&caller));
            continue;
        }
        actix_rt::spawn(connect(caller, target, mode.clone(), reservations.clone()));
    }
}

async fn connect(
    caller: TcpStream,
    target: SocketAddr,
    mode: watch::Receiver<LinkMode>,
    reservations: Rc<BandwidthReservations>,
) {
    let Ok(callee) = TcpStream::connect(target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = callee.set_nodelay(true);
    let sockets = [&caller, &callee].map(|socket| socket2::SockRef::from(socket).try_clone());
    let (from_caller, to_caller) = caller.into_split();
    let (from_callee, to_callee) = callee.into_split();
    let mode = Rc::new(mode);
    let requests = forward(
        from_caller,
        to_callee,
        (*mode).clone(),
        &reservations,
        false,
    );
    let answers = forward(from_callee, to_caller, (*mode).clone(), &reservations, true);
    tokio::select! {
        passed = async { tokio::try_join!(requests, answers) } => {
            if passed.is_err() {
                sockets.iter().flatten().for_each(reset);
            }
        }
        () = wait_until_closed((*mode).clone()) => {
            if matches!(*mode.borrow(), LinkMode::Reset | LinkMode::Refusing) {
                sockets.iter().flatten().for_each(reset);
            }
        }
    }
}

/// Makes a connection send a reset when it is closed.
fn reset(stream: &socket2::Socket) {
    let _ = stream.set_linger(Some(Duration::ZERO));
}

async fn wait_until_closed(mut mode: watch::Receiver<LinkMode>) {
    let is_closing = |mode: &LinkMode| {
        matches!(
            mode,
            LinkMode::Closed | LinkMode::Reset | LinkMode::Refusing
        )
    };
    if mode.wait_for(is_closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Returns whether a mode holds back the bytes of a direction.
fn is_stalled(mode: LinkMode, is_answer: bool) -> bool {
    match mode {
        LinkMode::Stalled | LinkMode::Unreachable => true,
        LinkMode::StalledToTarget => !is_answer,
        LinkMode::StalledFromTarget => is_answer,
        _ => false,
    }
}

/// Forwards bytes in one direction. An error on either socket is propagated as a reset, so that a
/// truncated response does not look like a complete one.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<LinkMode>,
    reservations: &BandwidthReservations,
    is_answer: bool,
) -> std::io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buf).await?;
        if count == 0 {
            return to.shutdown().await;
        }
        if mode
            .wait_for(|mode| !is_stalled(*mode, is_answer))
            .await
            .is_err()
        {
            return Ok(());
        }
        let present = *mode.borrow();
        match present {
            LinkMode::Delayed(millis) => sleep(Duration::from_millis(millis)).await,
            LinkMode::Throttled(rate) => {
                sleep_until(reservations.reserve(is_answer, count, rate, Instant::now())).await;
            }
            LinkMode::DropAnswers if is_answer => return Ok(()),
            _ => {}
        }
        to.write_all(&buf[..count]).await?;
    }
}
