//! Tunnels to upstreams through other boxes, for a box that does not reach the upstreams itself.
//!
//! All tunnels through one box share a connection. See `docs/design/lost-upstreams.md`.

use super::tunnel_server::{TUNNEL_PATH, query_of, status};
use super::tunnel_stream::{TunnelState, TunnelStream};
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::place::choose::stable_hash;
use crate::saturation::Saturation;
use bytes::Bytes;
use h2::client::{Connection, SendRequest};
use h2::{Ping, PingPong};
use http::StatusCode;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

/// How long another box may take to accept a connection, as for fetches.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long it may take to open a tunnel: its own attempt to connect takes 200 ms at most.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a box that did not help is not asked again.
const PEER_PAUSE: Duration = Duration::from_secs(1);
/// Within which time a message makes another box count as live.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of boxes asked for one tunnel.
const MAX_PEERS_ASKED: usize = 3;
/// The maximum number of boxes that a box has tunnels through, so that connections between boxes do
/// not grow with the fleet.
const MAX_SESSIONS: usize = 8;
/// How many tunnels through a box of the own hall are opened before one of another hall is
/// preferred, whose bytes cost more.
const OTHER_HALL_TUNNELS: usize = 4;
/// The same for a box that was not heard of recently.
const SILENT_PEER_TUNNELS: usize = 64;
/// The time between two checks whether a box with open tunnels still answers.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// How long it may take to answer; a busy box has no processor for a tenth of a second at a time.
const PING_TIMEOUT: Duration = Duration::from_millis(900);
/// The number of intervals after which a connection without tunnels is closed.
const MAX_IDLE_INTERVALS: u32 = 10;
/// How long written data may stay unacknowledged.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// The flow-control windows, in bytes: of a tunnel, and of all tunnels through one box.
const TUNNEL_WINDOW_BYTES: u32 = 64 * 1024;
const SESSION_WINDOW_BYTES: u32 = 1024 * 1024;

/// Another box that may open connections to upstreams for this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TunnelPeer {
    /// Where it accepts connections from other boxes.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: String,
    /// Whether a message from it has arrived recently.
    pub is_live: bool,
}

/// Why no tunnel was opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TunnelError {
    /// The upstream refused the connection of the other box.
    Refused,
    /// The upstream did not answer the other box.
    Unanswered,
    /// The other box does not list the upstream, or lists it as leaving.
    NotListed,
    /// No other box can help, for the reason of the last one that was asked.
    NoPeer(Option<PeerFailure>),
}

/// Why another box did not help.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerFailure {
    /// It reaches no upstream of the service either.
    Lost,
    /// It is stopping, has no room, or does not know this box.
    Rejected,
    /// It did not answer.
    Unreachable,
}

impl TunnelError {
    /// Returns the name for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
            Self::NotListed => "not-listed",
            Self::NoPeer(Some(PeerFailure::Lost)) => "lost",
            Self::NoPeer(Some(PeerFailure::Rejected)) => "rejected",
            Self::NoPeer(Some(PeerFailure::Unreachable) | None) => "no-peer",
        }
    }
}

impl fmt::Display for TunnelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "another box was refused the connection",
            Self::Unanswered => "another box got no answer from the upstream",
            Self::NotListed => "another box does not list the upstream",
            Self::NoPeer(Some(PeerFailure::Lost)) => {
                "neither this box nor another one reaches the upstreams"
            }
            Self::NoPeer(Some(PeerFailure::Rejected)) => "no other box has room for a tunnel",
            Self::NoPeer(Some(PeerFailure::Unreachable)) => "no other box answers",
            Self::NoPeer(None) => "there is no other box to ask",
        })
    }
}

/// The tunnels of this box.
#[derive(Debug)]
pub struct Tunnels {
    saturation: Rc<Saturation>,
    own_hall: RefCell<String>,
    peers: RefCell<Vec<TunnelPeer>>,
    sessions: RefCell<HashMap<SocketAddr, Rc<Session>>>,
    pauses: RefCell<Vec<PeerPause>>,
}

/// A time in which a box that did not help is not asked.
#[derive(Debug, Clone)]
struct PeerPause {
    peer: SocketAddr,
    /// The service for which it cannot help; `None` for all.
    service: Option<String>,
    failure: PeerFailure,
    until: Duration,
}

impl PeerPause {
    fn applies(&self, service: &str, now: Now) -> bool {
        let is_meant = self.service.as_ref().is_none_or(|meant| meant == service);
        is_meant && self.until > now.monotonic
    }
}

/// The upstream to which a tunnel leads.
#[derive(Debug, Clone, Copy)]
pub struct TunnelTarget<'a> {
    /// Identifies its incarnation.
    pub upstream: u32,
    /// Its service.
    pub service: &'a str,
}

/// The connection to one box, over which its tunnels lead.
#[derive(Debug)]
struct Session {
    saturation: Rc<Saturation>,
    open_tunnels: Rc<Cell<usize>>,
    /// Held while the connection is being opened, so that requests wait for it together.
    connection: tokio::sync::Mutex<Option<SessionConnection>>,
}

#[derive(Debug)]
struct SessionConnection {
    sender: SendRequest<Bytes>,
    driver: AbortOnDropHandle<()>,
}

impl Tunnels {
    /// Creates the tunnels of a box that knows no other one.
    pub fn new(saturation: Rc<Saturation>) -> Self {
        Self {
            saturation,
            own_hall: RefCell::default(),
            peers: RefCell::default(),
            sessions: RefCell::default(),
            pauses: RefCell::default(),
        }
    }

    /// Sets which other boxes there are.
    pub fn set_peers(&self, own_hall: &str, peers: Vec<TunnelPeer>) {
        own_hall.clone_into(&mut self.own_hall.borrow_mut());
        let is_known = |address: &SocketAddr| peers.iter().any(|peer| peer.address == *address);
        let is_used = |session: &Session| session.open_tunnels.get() > 0;
        let mut sessions = self.sessions.borrow_mut();
        sessions.retain(|address, session| is_known(address) || is_used(session));
        *self.peers.borrow_mut() = peers;
    }

    /// Returns whether some box may be asked for a tunnel to a service now.
    pub fn has_usable_peer(&self, service: &str, now: Now) -> bool {
        !self.ranked_peers(service, now).is_empty()
    }

    /// Opens a connection to an upstream through another box.
    pub async fn open(
        &self,
        target: TunnelTarget<'_>,
        now: Now,
    ) -> Result<TunnelStream, TunnelError> {
        let peers = self.ranked_peers(target.service, now);
        for peer in peers.into_iter().take(MAX_PEERS_ASKED) {
            match self.open_through(peer, target).await {
                Err(TunnelError::NoPeer(_)) => {}
                result => return result,
            }
        }
        let failure = self.last_failure(target.service, Now::read());
        Err(TunnelError::NoPeer(failure))
    }

    /// Opens a connection to an upstream through one box.
    pub async fn open_through(
        &self,
        peer: SocketAddr,
        target: TunnelTarget<'_>,
    ) -> Result<TunnelStream, TunnelError> {
        let session = self.session(peer);
        let opening = session.open(peer, target.upstream);
        let opened = self.saturation.timeout(OPEN_TIMEOUT, opening).await;
        let opened = opened.unwrap_or(Err(TunnelError::NoPeer(Some(PeerFailure::Unreachable))));
        if let Err(TunnelError::NoPeer(Some(failure))) = opened {
            self.pause(peer, target.service, failure, Now::read());
        }
        opened
    }

    fn session(&self, peer: SocketAddr) -> Rc<Session> {
        let mut sessions = self.sessions.borrow_mut();
        let new_session = || Rc::new(Session::new(self.saturation.clone()));
        sessions.entry(peer).or_insert_with(new_session).clone()
    }

    fn pause(&self, peer: SocketAddr, service: &str, failure: PeerFailure, now: Now) {
        let mut pauses = self.pauses.borrow_mut();
        pauses.retain(|pause| pause.until > now.monotonic);
        pauses.push(PeerPause {
            peer,
            service: (failure == PeerFailure::Lost).then(|| service.to_owned()),
            failure,
            until: now.monotonic + PEER_PAUSE,
        });
    }

    /// Returns why the box that was asked last did not help with a service.
    pub fn last_failure(&self, service: &str, now: Now) -> Option<PeerFailure> {
        let pauses = self.pauses.borrow();
        let recent = pauses.iter().filter(|pause| pause.applies(service, now));
        recent
            .max_by_key(|pause| pause.until)
            .map(|pause| pause.failure)
    }

    /// Returns the boxes to ask, in this order.
    fn ranked_peers(&self, service: &str, now: Now) -> Vec<SocketAddr> {
        let (peers, sessions) = (self.peers.borrow(), self.sessions.borrow());
        let pauses = self.pauses.borrow();
        let is_paused = |peer: &TunnelPeer| {
            let mut pauses = pauses.iter();
            pauses.any(|pause| pause.peer == peer.address && pause.applies(service, now))
        };
        let use_of = |peer| PeerUse {
            peer,
            open_tunnels: sessions
                .get(&peer.address)
                .map_or(0, |session| session.open_tunnels.get()),
        };
        let usable = peers.iter().filter(|peer| !is_paused(peer)).map(use_of);
        rank_peers(usable.collect(), &self.own_hall.borrow())
    }
}

impl Gateway {
    /// Returns the other boxes that may be asked for tunnels: those that are registered, and those
    /// that were until lately, whose halls are not known any more.
    pub fn tunnel_peers(&self, now: Now) -> Vec<TunnelPeer> {
        let own = self.settings().peer_addr;
        let (knowledge, contacts) = (self.knowledge.borrow(), self.last_contacts.borrow());
        let halls: HashMap<SocketAddr, &str> = knowledge
            .boxes()
            .map(|entry| (entry.address, entry.hall.as_str()))
            .collect();
        let addresses = knowledge.recent_box_addresses().into_iter();
        let others = addresses.filter(|address| *address != own);
        let peer = |address| TunnelPeer {
            address,
            hall: halls.get(&address).copied().unwrap_or_default().to_owned(),
            is_live: contacts.was_heard_within(address, CONTACT_TIMEOUT, now),
        };
        others.map(peer).collect()
    }
}

/// Another box, and the use that this box makes of it.
#[derive(Debug, Clone, Copy)]
pub struct PeerUse<'a> {
    /// The box.
    pub peer: &'a TunnelPeer,
    /// How many tunnels of this box lead through it.
    pub open_tunnels: usize,
}

/// Orders the boxes to ask for a tunnel: few tunnels through each, by preference in a hall, and
/// through no more than [`MAX_SESSIONS`] boxes.
pub fn rank_peers(mut usable: Vec<PeerUse<'_>>, hall: &str) -> Vec<SocketAddr> {
    let is_used = |found: &PeerUse<'_>| found.open_tunnels > 0;
    if usable.iter().filter(|found| is_used(found)).count() >= MAX_SESSIONS {
        usable.retain(is_used);
    }
    usable.sort_by_key(|found| {
        let other_hall = match found.peer.hall == hall {
            true => 0,
            false => OTHER_HALL_TUNNELS,
        };
        let silent = match found.peer.is_live {
            true => 0,
            false => SILENT_PEER_TUNNELS,
        };
        let tie = stable_hash(&found.peer.address.to_string());
        (found.open_tunnels + other_hall + silent, tie)
    });
    usable.iter().map(|found| found.peer.address).collect()
}

impl Session {
    fn new(saturation: Rc<Saturation>) -> Self {
        Self {
            saturation,
            open_tunnels: Rc::default(),
            connection: Default::default(),
        }
    }

    /// Opens a tunnel, and the connection to the box if there is none.
    async fn open(&self, peer: SocketAddr, upstream: u32) -> Result<TunnelStream, TunnelError> {
        let unreachable = |err: String| {
            log::debug!("no tunnel through {peer}: {err}");
            TunnelError::NoPeer(Some(PeerFailure::Unreachable))
        };
        let sender = self.sender(peer).await.map_err(unreachable)?;
        let mut sender = sender
            .ready()
            .await
            .map_err(|err| unreachable(err.to_string()))?;
        let state = TunnelState::new(peer, &self.open_tunnels);
        let req = http::Request::post(format!("http://{peer}{TUNNEL_PATH}?{}", query_of(upstream)))
            .body(())
            .map_err(|err| unreachable(err.to_string()))?;
        let (response, requests) = sender
            .send_request(req, false)
            .map_err(|err| unreachable(err.to_string()))?;
        let response = response.await.map_err(|err| unreachable(err.to_string()))?;
        check_status(response.status())?;
        Ok(TunnelStream::new(requests, response.into_body(), state))
    }

    /// Returns the connection's sender; opens the connection if it is not open.
    async fn sender(&self, peer: SocketAddr) -> Result<SendRequest<Bytes>, String> {
        let mut connection = self.connection.lock().await;
        if let Some(open) = connection
            .as_ref()
            .filter(|open| !open.driver.is_finished())
        {
            return Ok(open.sender.clone());
        }
        let open_tunnels = self.open_tunnels.clone();
        let opened = SessionConnection::open(peer, open_tunnels, &self.saturation).await?;
        let sender = opened.sender.clone();
        *connection = Some(opened);
        Ok(sender)
    }
}

impl SessionConnection {
    async fn open(
        peer: SocketAddr,
        open_tunnels: Rc<Cell<usize>>,
        saturation: &Rc<Saturation>,
    ) -> Result<Self, String> {
        let connecting = TcpStream::connect(peer);
        let connected = saturation.timeout(CONNECT_TIMEOUT, connecting).await;
        let stream = connected
            .ok_or_else(|| "the connection timed out".to_owned())?
            .map_err(|err| err.to_string())?;
        set_socket_options(&stream, peer);
        let mut builder = h2::client::Builder::new();
        builder
            .enable_push(false)
            .initial_window_size(TUNNEL_WINDOW_BYTES)
            .initial_connection_window_size(SESSION_WINDOW_BYTES);
        let (sender, connection) = builder
            .handshake::<_, Bytes>(stream)
            .await
            .map_err(|err| err.to_string())?;
        let driver = actix_rt::spawn(drive(connection, open_tunnels, saturation.clone()));
        Ok(Self {
            sender,
            driver: AbortOnDropHandle::new(driver),
        })
    }
}

/// Drives a connection until it ends, is not used any more, or the other box does not answer.
async fn drive(
    mut connection: Connection<TcpStream, Bytes>,
    open_tunnels: Rc<Cell<usize>>,
    saturation: Rc<Saturation>,
) {
    let ping = connection.ping_pong();
    tokio::select! {
        ended = connection => {
            if let Err(err) = ended {
                log::debug!("the connection for tunnels ended: {err}");
            }
        }
        () = check_liveness(ping, &open_tunnels, &saturation) => {}
    }
}

/// Returns once the connection should be closed.
async fn check_liveness(
    ping: Option<PingPong>,
    open_tunnels: &Cell<usize>,
    saturation: &Saturation,
) {
    let Some(mut ping) = ping else {
        return;
    };
    let mut idle_intervals = 0;
    while idle_intervals < MAX_IDLE_INTERVALS {
        sleep(PING_INTERVAL).await;
        if open_tunnels.get() == 0 {
            idle_intervals += 1;
            continue;
        }
        idle_intervals = 0;
        let pinged = ping.ping(Ping::opaque());
        let answered = saturation.timeout(PING_TIMEOUT, pinged).await;
        if !matches!(answered, Some(Ok(_))) {
            log::info!("the box through which tunnels lead does not answer, closing them");
            return;
        }
    }
}

fn check_status(received: StatusCode) -> Result<(), TunnelError> {
    match received {
        status::OPEN => Ok(()),
        status::REFUSED => Err(TunnelError::Refused),
        status::UNANSWERED => Err(TunnelError::Unanswered),
        status::NOT_LISTED => Err(TunnelError::NotListed),
        status::LOST => Err(TunnelError::NoPeer(Some(PeerFailure::Lost))),
        _ => Err(TunnelError::NoPeer(Some(PeerFailure::Rejected))),
    }
}

fn set_socket_options(stream: &TcpStream, peer: SocketAddr) {
    let socket = socket2::SockRef::from(stream);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)));
    if let Err(err) = result {
        log::debug!("cannot set the socket options of the connection to {peer}: {err}");
    }
}
