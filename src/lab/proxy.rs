//! A fault-injecting proxy between any two processes, on the level of TCP.

use crate::error::{Error, Result};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

const BUFFER_BYTES: usize = 16 * 1024;

/// What a link does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkMode {
    /// Bytes pass.
    #[default]
    Open,
    /// Connections are closed and new ones are refused.
    Closed,
    /// Bytes are held, as by a network that drops packets.
    Stalled,
    /// Bytes to the target are held; those from it pass.
    StalledToTarget,
    /// Bytes from the target are held; those to it pass.
    StalledFromTarget,
    /// Connections are reset, present and new ones.
    Reset,
    /// Bytes from the target are swallowed and then the connection is closed, so that
    /// an answer is lost after its effect.
    DropAnswers,
    /// Bytes pass late by so many milliseconds.
    Delayed(u64),
    /// So many bytes pass in a second each way, on all connections of the link together.
    Throttled(u64),
}

/// Until when each way of a link is taken up by bytes that have passed already.
#[derive(Debug, Default)]
struct Lanes {
    busy_until: Mutex<[Option<Instant>; 2]>,
}

impl Lanes {
    /// Reserves a way for some bytes and returns when the last of them has passed.
    fn reserve(&self, is_answer: bool, bytes: usize, rate: u64, now: Instant) -> Instant {
        let mut lanes = self
            .busy_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let lane = &mut lanes[usize::from(is_answer)];
        let start = lane.map_or(now, |until| until.max(now));
        let passed = start + Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64);
        *lane = Some(passed);
        passed
    }
}

/// A proxy with any number of links, each with a mode of its own.
#[derive(Debug, Clone, Default)]
pub struct Proxy {
    links: Arc<Mutex<HashMap<String, watch::Sender<LinkMode>>>>,
}

impl Proxy {
    /// Opens a link from an address of its own to a target, in the background of this
    /// system, and returns the address.
    pub async fn open(&self, name: &str, target: SocketAddr) -> Result<SocketAddr> {
        let error = |err| Error::Unreachable(format!("cannot open the link {name}: {err}"));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.map_err(error)?;
        let address = listener.local_addr().map_err(error)?;
        let (tx, rx) = watch::channel(LinkMode::Open);
        self.links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(name.to_owned(), tx);
        actix_rt::spawn(accept(listener, target, rx));
        Ok(address)
    }

    /// Sets the mode of all links whose name contains a text.
    pub fn set(&self, part: &str, mode: LinkMode) {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, link) in links.iter().filter(|(name, _)| name.contains(part)) {
            link.send_replace(mode);
        }
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<LinkMode>) {
    let lanes = Rc::new(Lanes::default());
    while let Ok((caller, _)) = listener.accept().await {
        let present = *mode.borrow();
        if present == LinkMode::Closed {
            continue;
        }
        if present == LinkMode::Reset {
            reset(&socket2::SockRef::from(&caller));
            continue;
        }
        actix_rt::spawn(connect(caller, target, mode.clone(), lanes.clone()));
    }
}

async fn connect(
    caller: TcpStream,
    target: SocketAddr,
    mode: watch::Receiver<LinkMode>,
    lanes: Rc<Lanes>,
) {
    let Ok(callee) = TcpStream::connect(target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = callee.set_nodelay(true);
    let ends = [&caller, &callee].map(|end| socket2::SockRef::from(end).try_clone());
    let (from_caller, to_caller) = caller.into_split();
    let (from_callee, to_callee) = callee.into_split();
    let gate = Rc::new(mode);
    let there = pump(from_caller, to_callee, (*gate).clone(), &lanes, false);
    let back = pump(from_callee, to_caller, (*gate).clone(), &lanes, true);
    tokio::select! {
        passed = async { tokio::try_join!(there, back) } => {
            if passed.is_err() {
                ends.iter().flatten().for_each(reset);
            }
        }
        () = closed((*gate).clone()) => {
            if *gate.borrow() == LinkMode::Reset {
                ends.iter().flatten().for_each(reset);
            }
        }
    }
}

/// Makes a connection end with a reset when it is dropped.
fn reset(stream: &socket2::Socket) {
    let _ = stream.set_linger(Some(Duration::ZERO));
}

async fn closed(mut mode: watch::Receiver<LinkMode>) {
    let ends = |mode: &LinkMode| matches!(mode, LinkMode::Closed | LinkMode::Reset);
    if mode.wait_for(ends).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Tells whether a mode holds the bytes of a direction.
fn holds(mode: LinkMode, is_answer: bool) -> bool {
    match mode {
        LinkMode::Stalled => true,
        LinkMode::StalledToTarget => !is_answer,
        LinkMode::StalledFromTarget => is_answer,
        _ => false,
    }
}

/// Passes bytes one way. An error of either end is passed on as a reset, so that an
/// answer which was cut does not look like one that came to its end.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<LinkMode>,
    lanes: &Lanes,
    is_answer: bool,
) -> std::io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buf).await?;
        if count == 0 {
            return to.shutdown().await;
        }
        if mode
            .wait_for(|mode| !holds(*mode, is_answer))
            .await
            .is_err()
        {
            return Ok(());
        }
        let present = *mode.borrow();
        match present {
            LinkMode::Delayed(millis) => sleep(Duration::from_millis(millis)).await,
            LinkMode::Throttled(rate) => {
                sleep_until(lanes.reserve(is_answer, count, rate, Instant::now())).await;
            }
            LinkMode::DropAnswers if is_answer => return Ok(()),
            _ => {}
        }
        to.write_all(&buf[..count]).await?;
    }
}
