//! Opens connections to upstreams for other boxes that do not reach them, and relays their bytes.
//!
//! Only registered boxes are served, and only listed upstreams are connected to, always directly, so
//! that tunnels cannot form loops. See `docs/design/lost-upstreams.md`.

use super::tunnel_stream::{UPSTREAM_RESET, poll_capacity};
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::attempt::upstream_paths::DialError;
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::StatusCode;
use std::future::{pending, poll_fn};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// The path of requests for a tunnel; the query names the upstream.
pub const TUNNEL_PATH: &str = "/tunnel";
/// The maximum number of tunnels that a box serves at once. Each holds two descriptors and at most
/// [`RELAY_BYTES`] and a flow-control window of memory.
pub const MAX_TUNNELS: u32 = 128;
/// The size of the pieces in which an upstream's bytes are relayed.
const RELAY_BYTES: usize = 16 * 1024;

/// The status of responses to requests for a tunnel.
pub mod status {
    use http::StatusCode;

    /// Returns the name of a status for metrics.
    pub fn name(status: StatusCode) -> &'static str {
        match status {
            OPEN => "open",
            NOT_REGISTERED => "not-registered",
            NOT_LISTED => "not-listed",
            REFUSED => "refused",
            UNANSWERED => "unanswered",
            LOST => "lost",
            _ => "busy",
        }
    }

    /// The tunnel is open.
    pub const OPEN: StatusCode = StatusCode::OK;
    /// The requesting box is not registered.
    pub const NOT_REGISTERED: StatusCode = StatusCode::FORBIDDEN;
    /// The upstream is not listed, or it is leaving.
    pub const NOT_LISTED: StatusCode = StatusCode::NOT_FOUND;
    /// The upstream refused the connection.
    pub const REFUSED: StatusCode = StatusCode::BAD_GATEWAY;
    /// The upstream did not answer.
    pub const UNANSWERED: StatusCode = StatusCode::GATEWAY_TIMEOUT;
    /// This box reaches no upstream of the service either.
    pub const LOST: StatusCode = StatusCode::MISDIRECTED_REQUEST;
    /// This box is about to exit or has no room for another tunnel.
    pub const BUSY: StatusCode = StatusCode::SERVICE_UNAVAILABLE;
}

/// Returns the query that names an upstream.
pub fn query_of(upstream: u32) -> String {
    format!("{upstream:08x}")
}

/// Serves a request for a tunnel until the tunnel ends.
pub async fn serve_tunnel(
    gw: Rc<Gateway>,
    req: http::Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    from: SocketAddr,
) {
    let upstream = req.uri().query().and_then(parse_query);
    let opened = match upstream {
        Some(upstream) => open(&gw, upstream, from.ip()).await,
        None => Err(status::NOT_LISTED),
    };
    let (status, stream) = match opened {
        Ok(stream) => (status::OPEN, Some(stream)),
        Err(status) => (status, None),
    };
    gw.telemetry.count_tunnel("served", status::name(status));
    let mut head = http::Response::new(());
    *head.status_mut() = status;
    let sender = match respond.send_response(head, stream.is_none()) {
        Ok(sender) => sender,
        Err(err) => {
            log::debug!("the tunnel for {from} ended before it was open: {err}");
            return;
        }
    };
    if let Some(stream) = stream {
        // A box that stops waits for the requests that others send through it.
        let _in_flight = gw.track_request();
        let _open = gw.track_tunnel();
        let bytes = relay(stream, req.into_body(), sender).await;
        gw.telemetry.count_tunnel_bytes(bytes);
    }
}

fn parse_query(query: &str) -> Option<u32> {
    u32::from_str_radix(query, 16).ok()
}

/// Connects to an upstream for another box.
async fn open(gw: &Gateway, upstream: u32, from: IpAddr) -> Result<TcpStream, StatusCode> {
    if !is_registered(gw, from) {
        log::warn!(from = from.to_string().as_str(); "refused a tunnel to a box that is not registered");
        return Err(status::NOT_REGISTERED);
    }
    if gw.is_too_late_for_streams(Now::read()) || gw.served_tunnels() >= MAX_TUNNELS {
        return Err(status::BUSY);
    }
    let upstream = find_upstream(gw, upstream).ok_or(status::NOT_LISTED)?;
    let service = upstream.with_listed(|listed| listed.service.clone());
    if gw.connections.is_lost_for_certain(&service, Now::read()) {
        return Err(status::LOST);
    }
    match gw.connections.connect_directly(&upstream).await {
        Ok(stream) => Ok(stream),
        Err(DialError::BoxLate) => Err(status::BUSY),
        Err(DialError::Upstream(err)) if err.kind() != io::ErrorKind::ConnectionRefused => {
            Err(status::UNANSWERED)
        }
        Err(_) if gw.confirms_refusal(&upstream).await => Err(status::REFUSED),
        // The refusal may come from this box's own network.
        Err(_) => Err(status::LOST),
    }
}

fn is_registered(gw: &Gateway, from: IpAddr) -> bool {
    let addresses = gw.box_addresses();
    addresses.iter().any(|address| address.ip() == from)
}

/// Returns the upstream with a hash, if it takes requests; `None` if two share the hash.
fn find_upstream(gw: &Gateway, hash: u32) -> Option<Rc<Upstream>> {
    let knowledge = gw.knowledge.borrow();
    let mut named = knowledge
        .upstreams()
        .filter(|upstream| upstream.short_hash() == hash);
    let found = named.next()?;
    let takes_requests = knowledge.is_serving(found.incarnation()) && !found.is_evacuated();
    (named.next().is_none() && takes_requests).then(|| found.clone())
}

/// Relays bytes in both directions until the upstream or the other box ends the tunnel; returns how
/// many bytes the upstream sent.
async fn relay(stream: TcpStream, requests: RecvStream, mut responses: SendStream<Bytes>) -> u64 {
    let (from_upstream, to_upstream) = stream.into_split();
    let mut relayed = 0;
    let upload = async {
        upload(requests, to_upstream).await?;
        // The other box sends nothing more, but still reads.
        pending::<Result<(), TunnelEnd>>().await
    };
    let end = tokio::select! {
        end = download(from_upstream, &mut responses, &mut relayed) => end,
        end = upload => end,
    };
    match end {
        Ok(()) => {
            // The error means that the other box is gone.
            let _ = responses.send_data(Bytes::new(), true);
        }
        Err(TunnelEnd::UpstreamReset) => responses.send_reset(UPSTREAM_RESET),
        Err(TunnelEnd::PeerLeft) => responses.send_reset(Reason::CANCEL),
    }
    relayed
}

/// Why a tunnel ended other than by the end of the upstream's bytes.
enum TunnelEnd {
    UpstreamReset,
    PeerLeft,
}

/// Relays what the other box sends.
async fn upload(
    mut requests: RecvStream,
    mut to_upstream: OwnedWriteHalf,
) -> Result<(), TunnelEnd> {
    while let Some(chunk) = requests.data().await {
        let chunk = chunk.map_err(|_left| TunnelEnd::PeerLeft)?;
        let written = to_upstream.write_all(&chunk).await;
        written.map_err(|_reset| TunnelEnd::UpstreamReset)?;
        let released = requests.flow_control().release_capacity(chunk.len());
        released.map_err(|_left| TunnelEnd::PeerLeft)?;
    }
    let ended = to_upstream.shutdown().await;
    ended.map_err(|_reset| TunnelEnd::UpstreamReset)
}

/// Relays what the upstream sends, as fast as the other box reads it.
async fn download(
    mut from_upstream: OwnedReadHalf,
    responses: &mut SendStream<Bytes>,
    relayed: &mut u64,
) -> Result<(), TunnelEnd> {
    let mut buf = vec![0; RELAY_BYTES];
    loop {
        let count = match from_upstream.read(&mut buf).await {
            Ok(0) => return Ok(()),
            Ok(count) => count,
            Err(_reset) => return Err(TunnelEnd::UpstreamReset),
        };
        let mut unsent = Bytes::copy_from_slice(&buf[..count]);
        while !unsent.is_empty() {
            // Only what is there to be sent is reserved, since tunnels share the connection's window.
            let capacity = poll_fn(|cx| poll_capacity(responses, unsent.len(), cx)).await;
            let piece = unsent.split_to(capacity.map_err(|_left| TunnelEnd::PeerLeft)?);
            let sent = responses.send_data(piece, false);
            sent.map_err(|_left| TunnelEnd::PeerLeft)?;
        }
        *relayed += count as u64;
    }
}
