//! Fetches data that does not fit into a datagram from another box, over an `h2` stream.
//!
//! A fetch ends when no more bytes arrive, not after a fixed time: a fixed timeout of 0.8 s kept a
//! megabyte from ever passing a link of 10 Mbit/s, which takes 0.84 s for it. See
//! `docs/design/spreading.md`.

use super::hubs::pack_changes;
use super::packing::{compress_message, decompress_message};
use crate::clock::{Now, millis};
use crate::gateway::Gateway;
use crate::gateway::control::mirror::PackedChanges;
use crate::wire::{self, MESSAGE_BYTES_LIMIT, WireError};
use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

/// How long a box may take to accept a connection: a few round trips between halls plus the
/// scheduling delay of a busy processor. A box that is gone does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest pause in a fetch while fetches do not stall. A sender has the data in memory, and
/// lossy links retransmit within 0.2 s.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest pause in a fetch if earlier ones have stalled. A box checks nothing else meanwhile.
const MAX_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest duration of a fetch, in case a sender never ends: the largest message takes 6.7 s at
/// 10 Mbit/s.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(8);
/// How long a box without state holds a snapshot request. Shorter than any stall timeout, so that
/// the requesting box learns that this one is alive.
const FIRST_STATE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a packed snapshot is reused for other boxes. While hundreds of boxes register, the
/// state changes constantly; newer changes follow with the next poll. Packing takes about 30 ms
/// with an eighth of a core.
const SNAPSHOT_CACHE_TTL: Duration = Duration::from_millis(300);
/// The flow-control window in bytes: usually a whole change, so that a fetch takes one round trip.
const WINDOW_BYTES: u32 = 1024 * 1024;
/// The path for fetching changes.
const ITEMS_PATH: &str = "/items";
/// The path for fetching a snapshot, used by starting boxes.
const SNAPSHOT_PATH: &str = "/everything";
/// Response headers: the age of the snapshot, and how long the request was held, both in
/// milliseconds.
const AGE_HEADER: &str = "age-ms";
const HOLD_TIME_HEADER: &str = "kept-ms";
/// The flag after the revision in the query that requests full values instead of deltas.
const FULL_VALUES_FLAG: &str = "whole";

/// A request for changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchRequest {
    /// The revision that the requesting box has reached.
    pub after: u64,
    /// Whether to send full values instead of deltas.
    pub full_values: bool,
}

/// The request of a box that has no state.
const SNAPSHOT_REQUEST: FetchRequest = FetchRequest {
    after: 0,
    full_values: true,
};

impl FetchRequest {
    fn to_query(self) -> String {
        match self.full_values {
            true => format!("{}&{FULL_VALUES_FLAG}", self.after),
            false => self.after.to_string(),
        }
    }

    fn parse(query: &str) -> Option<Self> {
        let (after, flag) = query.split_once('&').unwrap_or((query, ""));
        Some(Self {
            after: after.parse().ok()?,
            full_values: flag == FULL_VALUES_FLAG,
        })
    }
}

/// The longest pause in a fetch after which the sender counts as lost.
///
/// It doubles with each fetch that stalls: senders that are short of processor time take longer
/// than any fixed time, and turning to others, which are as slow, makes them all slower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StallTimeout(Duration);

impl Default for StallTimeout {
    fn default() -> Self {
        Self(MIN_STALL_TIMEOUT)
    }
}

impl StallTimeout {
    /// Returns the timeout of the fetch after one with this one that failed, or succeeded.
    pub fn after(self, succeeded: bool, took: Duration) -> Self {
        match succeeded {
            true => Self::default(),
            false if took >= self.0 => Self((self.0 * 2).min(MAX_STALL_TIMEOUT)),
            // It failed for another reason.
            false => self,
        }
    }
}

/// The progress of a fetch, also of one that failed.
#[derive(Debug, Default)]
pub struct FetchProgress {
    bytes: Cell<usize>,
}

impl FetchProgress {
    /// Returns the number of bytes received.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Resets the progress for the next fetch.
    pub fn reset(&self) {
        self.bytes.set(0);
    }
}

/// Fetches changes from another box.
pub async fn fetch(
    from: SocketAddr,
    request: FetchRequest,
    stall_timeout: StallTimeout,
    progress: &FetchProgress,
) -> Result<PackedChanges, WireError> {
    let target = format!("{ITEMS_PATH}?{}", request.to_query());
    let fetched = fetch_with_timeout(from, &target, stall_timeout, progress).await?;
    unpack(&fetched.body)
}

/// The complete state of another box, for a box that starts.
#[derive(Debug)]
pub struct Snapshot {
    /// All items.
    pub changes: PackedChanges,
    /// The time since the state was last confirmed to be current, when the response was sent.
    pub age: Duration,
    /// How long the sender held the request.
    pub hold_time: Duration,
}

impl Snapshot {
    /// Returns the time, by the requesting box's clock, for which the snapshot is confirmed to be
    /// current.
    ///
    /// Whatever the network delay, the response was sent no earlier than `hold_time` after the
    /// request, so this never overestimates the freshness.
    pub fn as_of(&self, sent_at: Now) -> Option<Duration> {
        (sent_at.monotonic + self.hold_time).checked_sub(self.age)
    }
}

/// Fetches the complete state from a box, which waits for a while if it has none yet.
pub async fn fetch_snapshot(
    from: SocketAddr,
    stall_timeout: StallTimeout,
    progress: &FetchProgress,
) -> Result<Snapshot, WireError> {
    let fetched = fetch_with_timeout(from, SNAPSHOT_PATH, stall_timeout, progress).await?;
    Ok(Snapshot {
        changes: unpack(&fetched.body)?,
        age: duration_in(&fetched.headers, AGE_HEADER)?,
        hold_time: duration_in(&fetched.headers, HOLD_TIME_HEADER)?,
    })
}

fn duration_in(headers: &http::HeaderMap, name: &str) -> Result<Duration, WireError> {
    let text = headers.get(name).and_then(|value| value.to_str().ok());
    let millis = text.and_then(|text| text.parse().ok());
    let millis = millis
        .ok_or_else(|| no_answer("a header with the age of the response is missing or invalid"))?;
    Ok(Duration::from_millis(millis))
}

fn unpack(body: &Bytes) -> Result<PackedChanges, WireError> {
    let body =
        decompress_message(body, MESSAGE_BYTES_LIMIT).map_err(|err| no_answer(&err.to_string()))?;
    wire::decode(&body)
}

/// A received response.
struct FetchResponse {
    headers: http::HeaderMap,
    body: Bytes,
}

async fn fetch_with_timeout(
    from: SocketAddr,
    target: &str,
    stall_timeout: StallTimeout,
    progress: &FetchProgress,
) -> Result<FetchResponse, WireError> {
    let fetching = fetch_until_stalled(from, target, stall_timeout, progress);
    let fetching = timeout(FETCH_TIMEOUT, fetching).await;
    fetching.map_err(|_elapsed| no_answer("the fetch took too long"))?
}

async fn fetch_until_stalled(
    from: SocketAddr,
    target: &str,
    stall_timeout: StallTimeout,
    progress: &FetchProgress,
) -> Result<FetchResponse, WireError> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(from)).await;
    let stream = connecting
        .map_err(|_elapsed| WireError::NotSent("connection timed out".to_owned()))?
        .map_err(|err| WireError::NotSent(err.to_string()))?;
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES);
    let handshake = builder.handshake::<_, Bytes>(stream).await;
    let (mut sender, connection) = handshake.map_err(connection_lost)?;
    // Aborts the connection's task when the fetch ends or is dropped.
    let _driver = AbortOnDropHandle::new(actix_rt::spawn(connection));
    let req = http::Request::builder()
        .uri(format!("http://{from}{target}"))
        .body(())
        .map_err(|err| WireError::NotSent(err.to_string()))?;
    let (response, _) = sender.send_request(req, true).map_err(connection_lost)?;
    let response = with_stall_timeout(stall_timeout, response)
        .await?
        .map_err(connection_lost)?;
    let (head, body) = response.into_parts();
    Ok(FetchResponse {
        headers: head.headers,
        body: read_until_stalled(body, stall_timeout, progress).await?,
    })
}

async fn read_until_stalled(
    mut body: h2::RecvStream,
    stall_timeout: StallTimeout,
    progress: &FetchProgress,
) -> Result<Bytes, WireError> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = with_stall_timeout(stall_timeout, body.data()).await? {
        wire::append_chunk(&mut body, &mut buf, chunk)?;
        progress.bytes.set(buf.len());
    }
    Ok(buf.freeze())
}

async fn with_stall_timeout<T>(
    stall_timeout: StallTimeout,
    operation: impl Future<Output = T>,
) -> Result<T, WireError> {
    let result = timeout(stall_timeout.0, operation).await;
    result.map_err(|_elapsed| no_answer("the transfer stalled"))
}

fn no_answer(reason: &str) -> WireError {
    WireError::NoAnswer(reason.to_owned())
}

/// Responds to a fetch.
pub async fn serve_fetch(
    gw: &Gateway,
    uri: &http::Uri,
    respond: &mut SendResponse<Bytes>,
) -> Result<(), WireError> {
    let query = uri.query().and_then(FetchRequest::parse);
    let (head, answer) = match (uri.path(), query) {
        (ITEMS_PATH, Some(request)) => (http::Response::new(()), pack(gw, request)?),
        (SNAPSHOT_PATH, None) => serve_snapshot(gw).await?,
        _ => return Err(WireError::NoAnswer("unknown path or query".to_owned())),
    };
    gw.telemetry.count_peer_bytes("items", answer.len());
    let mut body = respond
        .send_response(head, false)
        .map_err(connection_lost)?;
    body.send_data(answer, true).map_err(connection_lost)
}

fn pack(gw: &Gateway, request: FetchRequest) -> Result<Bytes, WireError> {
    let changes = pack_changes(gw, request.after, request.full_values);
    let packed = compress_message(&wire::encode(&changes)?).map(Bytes::from);
    packed.map_err(|err| WireError::NotSent(err.to_string()))
}

/// The packed state of this box, cached for boxes that start together.
#[derive(Debug, Default)]
pub struct SnapshotCache(RefCell<Option<CachedSnapshot>>);

#[derive(Debug, Clone)]
struct CachedSnapshot {
    bytes: Bytes,
    packed_at: Duration,
    /// When the state was last confirmed to be current, by this box's clock.
    as_of: Duration,
}

impl SnapshotCache {
    /// Returns the cached snapshot if it is recent enough, or packs a new one.
    fn get(&self, gw: &Gateway, now: Now) -> Result<CachedSnapshot, WireError> {
        let is_new = |packed: &CachedSnapshot| {
            now.monotonic.saturating_sub(packed.packed_at) < SNAPSHOT_CACHE_TTL
        };
        if let Some(packed) = self.0.borrow().as_ref().filter(|packed| is_new(packed)) {
            return Ok(packed.clone());
        }
        let age = gw.knowledge.borrow().age(now).unwrap_or(Duration::MAX);
        let packed = CachedSnapshot {
            bytes: pack(gw, SNAPSHOT_REQUEST)?,
            packed_at: now.monotonic,
            as_of: now.monotonic.saturating_sub(age),
        };
        *self.0.borrow_mut() = Some(packed.clone());
        Ok(packed)
    }
}

/// Responds to a starting box as soon as this box has state itself.
async fn serve_snapshot(gw: &Gateway) -> Result<(http::Response<()>, Bytes), WireError> {
    let received_at = Now::read();
    timeout(FIRST_STATE_TIMEOUT, gw.wait_for_first_config())
        .await
        .map_err(|_elapsed| no_answer("this box has no state yet"))?;
    let now = Now::read();
    let packed = gw.hubs.snapshot_cache.get(gw, now)?;
    let since = |moment: Duration| now.monotonic.saturating_sub(moment);
    // Rounded up so that the state never looks fresher than it is.
    let age_ms = millis(since(packed.as_of)).saturating_add(1);
    let head = http::Response::builder()
        .header(AGE_HEADER, age_ms)
        .header(HOLD_TIME_HEADER, millis(since(received_at.monotonic)))
        .body(())
        .map_err(|err| WireError::NotSent(err.to_string()))?;
    Ok((head, packed.bytes))
}

fn connection_lost(err: h2::Error) -> WireError {
    WireError::NoAnswer(err.to_string())
}
