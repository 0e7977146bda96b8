//! What boxes tell each other.
//!
//! - What the store holds, as [`super::hubs`] explains.
//! - What each has under way at which upstream, so that placement sees all boxes' load.
//! - Which long reads each begins, at once: a report of load comes too late for those.
//! - How the versions under roll-out answered; this goes to the boxes registered longest, of
//!   all and of the own hall, that are heard of.
//! - Which versions a box found bad; this goes to all.
//! - Which upstreams have said in an answer that they leave; this goes to all.
//! - Which requests were at crashes of upstreams; this goes to all.
//! - Which sessions the old version served just before a roll-out, so that no box moves
//!   them in its first half.
//!
//! Every message replaces or adds to what the sender said before, so one that is lost,
//! late or doubled does no harm; that is why these are datagrams and not h2 streams.
//! See `docs/design/platform.md`.

use super::asking;
use super::datagram;
use super::fetch;
use super::hubs::{self, Question, Told};
use super::leaving;
use super::suspects;
use crate::clock::{Now, millis};
use crate::error::{Error, Result};
use crate::gateway::Gateway;
use crate::gateway::attempt::quarantine::SuspectNews;
use crate::gateway::control::membership::leads;
use crate::gateway::control::rollout::Rollout;
use crate::gateway::control::store::{ControlStore, RolloutOrder};
use crate::gateway::place::loads::{BoxLoad, LongRead, interval};
use crate::gateway::versions::observed::Report;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

/// The time between two reports while a version is under roll-out.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Boxes that are told of versions: the leading one and the one that would lead next.
const TOLD_BOXES: usize = 2;
/// Boxes that are told of a long read, so that what each gets does not grow with their
/// number; where there are more, a part of them in turn.
const TOLD_OF_READS: usize = 96;
/// The largest datagram; what a box has under way at a hundred upstreams takes two
/// kilobytes.
const DATAGRAM_BYTES: usize = 32 * 1024;

/// A message between boxes.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum PeerMessage {
    /// The sender's own counts of the versions under one roll-out.
    Counts(Report),
    /// The sender found the target of this order bad; the number is the order's revision.
    FoundBad(u64),
    /// So many milliseconds ago this order was given, as far as the sender knows.
    RolloutTime(u64, u64),
    /// What the sender has under way.
    Load(BoxLoad),
    /// The sender asks what the store holds.
    Question(Question),
    /// What the store holds.
    Told(Told),
    /// Sessions that the old version of a service serves: the order's revision in the
    /// store, and the sessions' hashes.
    OldSessions(u64, Vec<u64>),
    /// The sender begins long reads.
    LongReads(Vec<LongRead>),
    /// What the sender knows of requests that were at crashes.
    Suspects(SuspectNews),
    /// Upstreams have said that they leave, by their hashes.
    Leaving(Vec<u32>),
}

/// Exchanges messages for as long as the process lives.
pub async fn exchange(gw: Rc<Gateway>, store: Rc<dyn ControlStore>) -> Result<()> {
    let address = gw.settings().peer_addr;
    let error = |err| Error::Unreachable(format!("cannot listen on {address}: {err}"));
    let socket = UdpSocket::bind(address).await.map_err(error)?;
    let listener = TcpListener::bind(address).await.map_err(error)?;
    let send_question = async |to, question| {
        send(&gw, &socket, &PeerMessage::Question(question), &[to]).await;
    };
    let send_told = async |to: &[SocketAddr], told| {
        send(&gw, &socket, &PeerMessage::Told(told), to).await;
    };
    let send_suspects = async |to: &[SocketAddr], news| {
        send(&gw, &socket, &PeerMessage::Suspects(news), to).await;
    };
    let send_leaving = async |to: &[SocketAddr], hashes| {
        send(&gw, &socket, &PeerMessage::Leaving(hashes), to).await;
    };
    tokio::join!(
        receive(&gw, &store, &socket),
        report_versions(&gw, &socket),
        report_load(&gw, &socket),
        tell_long_reads(&gw, &socket),
        asking::ask(&gw, send_question),
        hubs::tell_news(&gw, send_told),
        suspects::tell_suspects(&gw, send_suspects),
        leaving::tell_leaving(&gw, send_leaving),
        fetch::serve_fetches(gw.clone(), listener),
    );
    Ok(())
}

async fn receive(gw: &Rc<Gateway>, store: &Rc<dyn ControlStore>, socket: &UdpSocket) {
    let mut buf = vec![0; DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => {
                let datagram = buf.get(..len).unwrap_or_default();
                gw.last_contacts.borrow_mut().hear(from, Now::read());
                match datagram::read::<PeerMessage>(datagram) {
                    Ok(message) => take(gw, store, socket, message, from).await,
                    Err(err) => log::warn!("a datagram from {from} cannot be read: {err}"),
                }
            }
            Err(err) => {
                log::debug!("no datagram could be read: {err}");
                sleep(REPORT_INTERVAL).await;
            }
        }
    }
}

async fn take(
    gw: &Rc<Gateway>,
    store: &Rc<dyn ControlStore>,
    socket: &UdpSocket,
    message: PeerMessage,
    from: SocketAddr,
) {
    let now = Now::read();
    match message {
        PeerMessage::Counts(report) => gw.versions.borrow_mut().take(report),
        PeerMessage::RolloutTime(order, elapsed_ms) => {
            let elapsed = Duration::from_millis(elapsed_ms);
            gw.knowledge.borrow_mut().hear_elapsed(order, elapsed, now);
        }
        PeerMessage::FoundBad(order) => gw.take_finding(order, &from.to_string()),
        PeerMessage::Load(load) => gw.peer_loads.borrow_mut().take(load, now),
        PeerMessage::LongReads(reads) => {
            let knowledge = gw.knowledge.borrow();
            let mut loads = gw.peer_loads.borrow_mut();
            for read in reads {
                loads.take_long_read(read, &knowledge, now);
            }
        }
        PeerMessage::Suspects(news) => gw.quarantine.take(news, now),
        PeerMessage::Leaving(hashes) => gw.take_leaving(&hashes, now),
        PeerMessage::OldSessions(order, sessions) => {
            gw.sessions.borrow_mut().keep_old(order, &sessions);
        }
        PeerMessage::Question(question) => {
            let told = gw.hubs.answer(gw, question, from, now);
            send(gw, socket, &PeerMessage::Told(told), &[from]).await;
        }
        PeerMessage::Told(told) => {
            asking::take_told(gw, store, told, from);
        }
    }
}

impl PeerMessage {
    /// Returns what the message is for, as the metrics name it.
    fn purpose(&self) -> &'static str {
        match self {
            Self::Counts(_) => "version-counts",
            Self::FoundBad(_) => "versions-found-bad",
            Self::RolloutTime(..) => "roll-out-times",
            Self::Load(_) => "load",
            Self::LongReads(_) => "long-reads",
            Self::Suspects(_) => "suspects",
            Self::Leaving(_) => "leaving",
            Self::OldSessions(..) => "old-sessions",
            Self::Question(_) => "questions",
            Self::Told(_) => "told",
        }
    }
}

async fn send(gw: &Gateway, socket: &UdpSocket, message: &PeerMessage, to: &[SocketAddr]) {
    let datagram = match datagram::write(message) {
        Ok(datagram) => datagram,
        Err(err) => {
            log::error!("a message to other boxes cannot be encoded: {err}");
            return;
        }
    };
    gw.telemetry
        .count_peer_bytes(message.purpose(), datagram.len() * to.len());
    for address in to {
        if let Err(err) = socket.send_to(&datagram, address).await {
            log::debug!("a message cannot be sent to {address}: {err}");
        }
    }
}

/// Tells how versions under roll-out answer, and which sessions must not move.
async fn report_versions(gw: &Gateway, socket: &UdpSocket) {
    loop {
        sleep(REPORT_INTERVAL).await;
        gw.judge_versions(Now::read());
        let reports = gw.versions.borrow_mut().reports(Now::read());
        for report in reports {
            let told = told_of_versions(gw, Now::read());
            send(gw, socket, &PeerMessage::Counts(report), &told).await;
        }
        for (order, elapsed_ms) in rollout_times(gw, Now::read()) {
            let message = PeerMessage::RolloutTime(order, elapsed_ms);
            // Whoever leads hears it from all, and all from whoever leads.
            let told = match leads(gw, Now::read()) {
                true => gw.other_boxes(),
                false => told_of_versions(gw, Now::read()),
            };
            send(gw, socket, &message, &told).await;
        }
        for order in found_here(gw) {
            let message = PeerMessage::FoundBad(order);
            send(gw, socket, &message, &gw.other_boxes()).await;
        }
        for (order, sessions) in old_sessions(gw, Now::read()) {
            let message = PeerMessage::OldSessions(order, sessions);
            send(gw, socket, &message, &gw.other_boxes()).await;
        }
    }
}

/// Returns the orders under way whose targets this box found bad: the others are told until the
/// leading box has written it down and everybody knows it by the store.
fn found_here(gw: &Gateway) -> Vec<u64> {
    let knowledge = gw.knowledge.borrow();
    let mut found = gw.versions.borrow().found_here();
    found.retain(|revision| {
        let mut orders = knowledge.rollouts_under_way().map(|(order, _)| order);
        orders.any(|order| order.revision == *revision)
    });
    found
}

/// Returns how many milliseconds ago each order under way was given, as far as this box knows.
fn rollout_times(gw: &Gateway, now: Now) -> Vec<(u64, u64)> {
    let knowledge = gw.knowledge.borrow();
    let rollouts = knowledge.rollouts_under_way();
    let time = |(order, rollout): (&RolloutOrder, &Rollout)| {
        let elapsed = rollout.elapsed(now)?;
        Some((order.revision, millis(elapsed)))
    };
    rollouts.filter_map(time).collect()
}

/// Returns the boxes that are told of versions: those registered longest of all, and of the own
/// hall, which may be cut off from the rest. Boxes that nothing was heard of for a while are
/// left out: their registration outlasts them by seconds.
fn told_of_versions(gw: &Gateway, now: Now) -> Vec<SocketAddr> {
    let settings = gw.settings();
    let knowledge = gw.knowledge.borrow();
    let boxes = knowledge.boxes_by_age();
    let heard = gw.last_contacts.borrow();
    let mut lively = heard.lively(&boxes, settings.peer_addr, now);
    lively.retain(|entry| entry.address != settings.peer_addr);
    let of_hall = lively.iter().find(|entry| entry.hall == settings.hall);
    let mut told: Vec<SocketAddr> = lively
        .iter()
        .take(TOLD_BOXES)
        .map(|entry| entry.address)
        .collect();
    if let Some(entry) = of_hall
        && !told.contains(&entry.address)
    {
        told.push(entry.address);
    }
    match told.is_empty() {
        true => gw.other_boxes().into_iter().take(TOLD_BOXES).collect(),
        false => told,
    }
}

/// Returns the sessions that this box knows to be served by an old version, by order.
fn old_sessions(gw: &Gateway, now: Now) -> Vec<(u64, Vec<u64>)> {
    let knowledge = gw.knowledge.borrow();
    let mut sessions = gw.sessions.borrow_mut();
    let mut found = Vec::new();
    for rollout in knowledge.rollouts().values() {
        if let Some((order, seen)) = &rollout.order
            && now.monotonic.saturating_sub(*seen) < order.duration / 2
        {
            let old = sessions.old_ones(order, now);
            found.push((order.revision, old));
        }
    }
    found.retain(|(_, sessions)| !sessions.is_empty());
    found
}

/// Tells the other boxes what this one has under way, as often as their number allows.
async fn report_load(gw: &Gateway, socket: &UdpSocket) {
    let mut was_idle = true;
    loop {
        let others = gw.other_boxes();
        sleep(interval(others.len())).await;
        let load = BoxLoad::of(&gw.incarnation, &gw.knowledge.borrow());
        let is_idle = load.is_idle();
        // While a version is under trial, a silent box is taken for one that is gone.
        let has_trial = gw.knowledge.borrow().has_rollout();
        if !(is_idle && was_idle) || has_trial {
            send(gw, socket, &PeerMessage::Load(load), &others).await;
        }
        was_idle = is_idle;
        let now = Now::read();
        let knowledge = gw.knowledge.borrow();
        gw.peer_loads.borrow_mut().spread(&knowledge, now);
    }
}

/// Tells the other boxes at once of each long read that this one begins.
async fn tell_long_reads(gw: &Gateway, socket: &UdpSocket) {
    let mut turn = 0;
    loop {
        let reads = gw.long_reads.next().await;
        let others = in_turn(gw.other_boxes(), TOLD_OF_READS, &mut turn);
        send(gw, socket, &PeerMessage::LongReads(reads), &others).await;
    }
}

/// Returns so many of some boxes, beginning where the last turn ended.
pub fn in_turn(mut boxes: Vec<SocketAddr>, most: usize, turn: &mut usize) -> Vec<SocketAddr> {
    if boxes.len() > most {
        let start = *turn % boxes.len();
        boxes.rotate_left(start);
        boxes.truncate(most);
        *turn = start + most;
    }
    boxes
}
