//! Fetching from another box what does not fit a datagram, over an `h2` stream.
//!
//! A fetch ends when nothing comes any more, not after a time that is the same for every
//! size: a time-out of 0.8 s for all kept a megabyte from ever passing a link of 10 Mbit/s,
//! which carries it in 0.84 s. See `docs/design/spreading.md`.

use super::packing::{grow, shrink};
use crate::clock::{Now, millis};
use crate::gateway::Gateway;
use crate::gateway::control::mirror::PackedChanges;
use crate::wire::{self, MESSAGE_BYTES_LIMIT, WireError};
use bytes::{Bytes, BytesMut};
use std::cell::{Cell, RefCell};
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
/// Fetches that a box serves at a time: the boxes of a hall of two hundred that start
/// together, of which each of three readers tells a third. Their answer is packed once, so
/// one that waits holds some ten kilobytes.
const MOST_SERVED: u32 = 64;
/// How long a box that knows nothing yet keeps one that asks it for everything: under the
/// longest silence, so that the asking box learns that it is alive.
const FIRST_KNOWLEDGE_WAIT: Duration = Duration::from_millis(400);
/// How long everything that was packed for one box is given to others as well. Hundreds of
/// boxes that register meanwhile change it each moment; what came since comes by the next
/// question. Packing takes some 30 ms of an eighth of a core.
const PACKED_LIFETIME: Duration = Duration::from_millis(300);
/// The bytes that may be under way before the receiver has to say that it has read: a whole
/// change as a rule, so that a fetch takes one way there and back.
const WINDOW: u32 = 1024 * 1024;
/// The pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(400);
/// The path of fetches.
const PATH: &str = "/items";
/// The path of boxes that start.
const EVERYTHING_PATH: &str = "/everything";
/// The headers that tell how old what they get is, and how long they were kept waiting for
/// it, in milliseconds.
const AGE_HEADER: &str = "age-ms";
const KEPT_HEADER: &str = "kept-ms";
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

/// What a box that knows nothing asks for.
const EVERYTHING: Wanted = Wanted {
    after: 0,
    as_a_whole: true,
};

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

    /// Forgets an earlier fetch.
    pub fn begin_anew(&self) {
        self.bytes.set(0);
    }
}

/// Fetches what another box has.
pub async fn fetch(
    from: SocketAddr,
    wanted: Wanted,
    progress: &Progress,
) -> Result<PackedChanges, WireError> {
    let target = format!("{PATH}?{}", wanted.query());
    let fetched = try_fetch(from, &target, progress).await?;
    unpack(&fetched.body)
}

/// Everything that a box knows, for one that starts.
#[derive(Debug)]
pub struct Everything {
    /// All items.
    pub changes: PackedChanges,
    /// How old the proof was, when it was told, that nothing newer existed.
    pub age: Duration,
    /// How long the box kept the question.
    pub kept: Duration,
}

impl Everything {
    /// Returns since when, at the earliest, something newer may exist that is not in this, by
    /// the clock of the box that asked.
    ///
    /// Whatever the way took, the answer left no sooner than so long after the question as it
    /// was kept.
    pub fn as_of(&self, asked: Now) -> Option<Duration> {
        (asked.monotonic + self.kept).checked_sub(self.age)
    }
}

/// Fetches everything from a box, which waits for a while if it knows nothing itself.
pub async fn fetch_everything(
    from: SocketAddr,
    progress: &Progress,
) -> Result<Everything, WireError> {
    let fetched = try_fetch(from, EVERYTHING_PATH, progress).await?;
    Ok(Everything {
        changes: unpack(&fetched.body)?,
        age: duration_in(&fetched.headers, AGE_HEADER)?,
        kept: duration_in(&fetched.headers, KEPT_HEADER)?,
    })
}

fn duration_in(headers: &http::HeaderMap, name: &str) -> Result<Duration, WireError> {
    let text = headers.get(name).and_then(|value| value.to_str().ok());
    let millis = text.and_then(|text| text.parse().ok());
    let millis = millis.ok_or_else(|| no_answer("it does not say how old it is"))?;
    Ok(Duration::from_millis(millis))
}

fn unpack(body: &Bytes) -> Result<PackedChanges, WireError> {
    let body = grow(body, MESSAGE_BYTES_LIMIT).map_err(|err| no_answer(&err.to_string()))?;
    wire::decode(&body)
}

/// An answer as it came.
struct Fetched {
    headers: http::HeaderMap,
    body: Bytes,
}

async fn try_fetch(
    from: SocketAddr,
    target: &str,
    progress: &Progress,
) -> Result<Fetched, WireError> {
    let fetching = timeout(LONGEST_FETCH, fetch_while_it_comes(from, target, progress)).await;
    fetching.map_err(|_elapsed| no_answer("the fetch took too long"))?
}

async fn fetch_while_it_comes(
    from: SocketAddr,
    target: &str,
    progress: &Progress,
) -> Result<Fetched, WireError> {
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
        .uri(format!("http://{from}{target}"))
        .body(())
        .map_err(|err| WireError::NotSent(err.to_string()))?;
    let (response, _) = sender.send_request(req, true).map_err(lost)?;
    let response = unless_silent(response).await?.map_err(lost)?;
    let (head, body) = response.into_parts();
    Ok(Fetched {
        headers: head.headers,
        body: read_while_it_comes(body, progress).await?,
    })
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
        let (head, answer) = match (req.uri().path(), req.uri().query().and_then(Wanted::read)) {
            (PATH, Some(wanted)) => (http::Response::new(()), pack(gw, wanted)?),
            (EVERYTHING_PATH, None) => everything(gw).await?,
            _ => return Err(WireError::NoAnswer("it asks for something else".to_owned())),
        };
        gw.telemetry.count_peer_bytes("items", answer.len());
        let mut body = respond.send_response(head, false).map_err(lost)?;
        body.send_data(answer, true).map_err(lost)?;
    }
    Ok(())
}

fn pack(gw: &Gateway, wanted: Wanted) -> Result<Bytes, WireError> {
    let mut mirror = gw.mirror.borrow_mut();
    let changes = mirror.changes_after(wanted.after, wanted.as_a_whole);
    let packed = shrink(&wire::encode(&changes)?).map(Bytes::from);
    packed.map_err(|err| WireError::NotSent(err.to_string()))
}

/// Everything that this box knew a moment ago, packed for boxes that start.
#[derive(Debug, Default)]
pub struct PackedEverything(RefCell<Option<Packed>>);

#[derive(Debug, Clone)]
struct Packed {
    bytes: Bytes,
    made: Duration,
    /// Nothing newer existed then, by this box's clock.
    as_of: Duration,
}

impl PackedEverything {
    /// Returns what was packed a short while ago, or packs it.
    fn take(&self, gw: &Gateway, now: Now) -> Result<Packed, WireError> {
        let is_new = |packed: &Packed| now.monotonic.saturating_sub(packed.made) < PACKED_LIFETIME;
        if let Some(packed) = self.0.borrow().as_ref().filter(|packed| is_new(packed)) {
            return Ok(packed.clone());
        }
        let age = gw.knowledge.borrow().age(now).unwrap_or(Duration::MAX);
        let packed = Packed {
            bytes: pack(gw, EVERYTHING)?,
            made: now.monotonic,
            as_of: now.monotonic.saturating_sub(age),
        };
        *self.0.borrow_mut() = Some(packed.clone());
        Ok(packed)
    }
}

/// Answers a box that starts, as soon as this one knows something itself.
async fn everything(gw: &Gateway) -> Result<(http::Response<()>, Bytes), WireError> {
    let asked = Now::read();
    timeout(FIRST_KNOWLEDGE_WAIT, gw.wait_for_first_config())
        .await
        .map_err(|_elapsed| no_answer("this box knows nothing yet"))?;
    let now = Now::read();
    let packed = gw.hubs.everything.take(gw, now)?;
    let since = |moment: Duration| now.monotonic.saturating_sub(moment);
    // Rounded so that what is told never looks fresher than it is.
    let age_ms = millis(since(packed.as_of)).saturating_add(1);
    let head = http::Response::builder()
        .header(AGE_HEADER, age_ms)
        .header(KEPT_HEADER, millis(since(asked.monotonic)))
        .body(())
        .map_err(|err| WireError::NotSent(err.to_string()))?;
    Ok((head, packed.bytes))
}

fn lost(err: h2::Error) -> WireError {
    WireError::NoAnswer(err.to_string())
}
