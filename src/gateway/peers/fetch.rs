//! Fetching from another box what does not fit a datagram, over an `h2` stream.
//!
//! A fetch ends when nothing comes any more, not after a time that is the same for every
//! size: a time-out of 0.8 s for all kept a megabyte from ever passing a link of 10 Mbit/s,
//! which carries it in 0.84 s. See `docs/design/spreading.md`.

use super::packing::{grow, shrink};
use crate::gateway::Gateway;
use crate::gateway::control::mirror::PackedChanges;
use crate::wire::{self, MESSAGE_BYTES_LIMIT, WireError};
use bytes::{Bytes, BytesMut};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

/// How long a box may take to accept a connection: some ways there and back between halls,
/// and a turn of a busy processor. One that is gone does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest silence in the middle of a fetch. A sender has its bytes at hand, so only a
/// full link or a lost box is silent; links that lose packets send them again in 0.2 s.
const SILENCE: Duration = Duration::from_millis(500);
/// The longest fetch, for a sender that never ends: the largest message takes 6.7 s at
/// 10 Mbit/s.
const LONGEST_FETCH: Duration = Duration::from_secs(8);
/// Fetches that a box serves at a time. Hubs send few boxes to each; this bounds memory
/// where several hubs believe that they alone do.
const MOST_SERVED: u32 = 24;
/// The bytes that may be under way before the receiver has to say that it has read: a whole
/// change as a rule, so that a fetch takes one way there and back.
const WINDOW: u32 = 1024 * 1024;
/// The pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(400);
/// The path of fetches.
const PATH: &str = "/items";
/// The word behind the revision that asks for items as a whole.
const AS_A_WHOLE: &str = "whole";

/// What a box asks another one for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wanted {
    /// The revision that the asking box has reached.
    pub after: u64,
    /// Whether differences are of no use to it.
    pub as_a_whole: bool,
}

impl Wanted {
    fn query(self) -> String {
        match self.as_a_whole {
            true => format!("{}&{AS_A_WHOLE}", self.after),
            false => self.after.to_string(),
        }
    }

    fn read(query: &str) -> Option<Self> {
        let (after, word) = query.split_once('&').unwrap_or((query, ""));
        Some(Self {
            after: after.parse().ok()?,
            as_a_whole: word == AS_A_WHOLE,
        })
    }
}

/// What came of a fetch, also of one that failed.
#[derive(Debug, Default)]
pub struct Progress {
    bytes: Cell<usize>,
}

impl Progress {
    /// Returns the bytes that have come.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }
}

/// Fetches what another box has.
pub async fn fetch(
    from: SocketAddr,
    wanted: Wanted,
    progress: &Progress,
) -> Result<PackedChanges, WireError> {
    let fetching = timeout(LONGEST_FETCH, try_fetch(from, wanted, progress)).await;
    let body = fetching.map_err(|_elapsed| no_answer("the fetch took too long"))??;
    let body = grow(&body, MESSAGE_BYTES_LIMIT).map_err(|err| no_answer(&err.to_string()))?;
    wire::decode(&body)
}

async fn try_fetch(
    from: SocketAddr,
    wanted: Wanted,
    progress: &Progress,
) -> Result<Bytes, WireError> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(from)).await;
    let stream = connecting
        .map_err(|_elapsed| WireError::NotSent("no connection in time".to_owned()))?
        .map_err(|err| WireError::NotSent(err.to_string()))?;
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW);
    let handshake = builder.handshake::<_, Bytes>(stream).await;
    let (mut sender, connection) = handshake.map_err(lost)?;
    // The connection's task ends together with the fetch, also where that is given up.
    let _driver = AbortOnDropHandle::new(actix_rt::spawn(connection));
    let req = http::Request::builder()
        .uri(format!("http://{from}{PATH}?{}", wanted.query()))
        .body(())
        .map_err(|err| WireError::NotSent(err.to_string()))?;
    let (response, _) = sender.send_request(req, true).map_err(lost)?;
    let response = unless_silent(response).await?.map_err(lost)?;
    read_while_it_comes(response.into_body(), progress).await
}

async fn read_while_it_comes(
    mut body: h2::RecvStream,
    progress: &Progress,
) -> Result<Bytes, WireError> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = unless_silent(body.data()).await? {
        wire::gather(&mut body, &mut buf, chunk)?;
        progress.bytes.set(buf.len());
    }
    Ok(buf.freeze())
}

async fn unless_silent<T>(coming: impl Future<Output = T>) -> Result<T, WireError> {
    let come = timeout(SILENCE, coming).await;
    come.map_err(|_elapsed| no_answer("nothing came any more"))
}

fn no_answer(reason: &str) -> WireError {
    WireError::NoAnswer(reason.to_owned())
}

/// Serves fetches for as long as the process lives.
pub async fn serve_fetches(gw: Rc<Gateway>, listener: TcpListener) {
    let served = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, from)) if served.get() < MOST_SERVED => {
                served.set(served.get() + 1);
                let (gw, served) = (gw.clone(), served.clone());
                actix_rt::spawn(async move {
                    match timeout(LONGEST_FETCH, serve_fetch(&gw, stream)).await {
                        Ok(Ok(())) => {}
                        Ok(Err(err)) => log::debug!("a fetch of {from} failed: {err}"),
                        Err(_elapsed) => log::info!("a fetch of {from} took too long"),
                    }
                    served.set(served.get() - 1);
                });
            }
            // It is closed at once, and the hub sends the box elsewhere.
            Ok((_, from)) => log::info!("too many fetch at once, {from} is turned away"),
            Err(err) => {
                log::warn!("a fetch cannot be accepted: {err}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_fetch(gw: &Gateway, stream: TcpStream) -> Result<(), WireError> {
    let mut connection = h2::server::handshake(stream).await.map_err(lost)?;
    while let Some(accepted) = connection.accept().await {
        let (req, mut respond) = accepted.map_err(lost)?;
        let wanted = match req.uri().query().and_then(Wanted::read) {
            Some(wanted) if req.uri().path() == PATH => wanted,
            _ => return Err(WireError::NoAnswer("it asks for something else".to_owned())),
        };
        let changes = gw
            .mirror
            .borrow_mut()
            .changes_after(wanted.after, wanted.as_a_whole);
        let answer = shrink(&wire::encode(&changes)?).map(Bytes::from);
        let answer = answer.map_err(|err| WireError::NotSent(err.to_string()))?;
        gw.telemetry.told_boxes("items", answer.len());
        let mut body = respond
            .send_response(http::Response::new(()), false)
            .map_err(lost)?;
        body.send_data(answer, true).map_err(lost)?;
    }
    Ok(())
}

fn lost(err: h2::Error) -> WireError {
    WireError::NoAnswer(err.to_string())
}
