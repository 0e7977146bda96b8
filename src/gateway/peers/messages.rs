//! Messages between boxes:
//!
//! - The store's contents, see [`super::hubs`].
//! - The load that each box has at each upstream, so that placement sees the load of all boxes.
//! - Long prefills as soon as they begin, since a load report comes too late for those.
//! - Counts of answers by version during a roll-out, sent to the live boxes registered longest, of
//!   the whole fleet and of the own hall.
//! - Versions that a box found bad, sent to all.
//! - Upstreams that have announced in an answer that they leave, sent to all.
//! - Rate limits that upstreams state, sent to all, and requests to those upstreams, sent to the
//!   other boxes that may send to them.
//! - Rejection limits that upstreams state, and rejections, sent to all; requests for slots of those
//!   upstreams, answers to them and slots given back, sent to one box.
//! - Load reports of plain upstreams, sent to all.
//! - That the sender is full, sent to all.
//! - Prefill rates that boxes measured, sent to a few boxes in turn.
//! - Speeds of engines as each box measured them, sent to one box in turn.
//! - Requests that were running at upstreams when those crashed, sent to all.
//! - Sessions that the old version served just before a roll-out, so that no box moves them in the
//!   first half of the roll-out.
//!
//! Each message replaces or extends what the sender sent before, so a lost, late or duplicated
//! message does no harm; therefore these are datagrams and not h2 streams. See
//! `docs/design/platform.md`.

use super::datagram;
use super::engine_speeds::{self, SpeedReport};
use super::full_boxes;
use super::hub_poller;
use super::hubs::{self, HubUpdate, PollRequest};
use super::leaving_upstreams;
use super::limit_reports::LimitReport;
use super::load_reports::{self, SharedLoadReport};
use super::peer_server;
use super::rate_limits;
use super::rate_samples;
use super::rejection_limits;
use super::slot_loans::{self, SlotMessage};
use super::suspects;
use crate::clock::{Now, millis};
use crate::error::{Error, Result};
use crate::gateway::Gateway;
use crate::gateway::attempt::quarantine::QuarantineUpdate;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::control::membership::is_leader;
use crate::gateway::control::rollout::Rollout;
use crate::gateway::control::store::{ControlStore, RolloutOrder};
use crate::gateway::place::peer_loads::{BoxLoad, LongPrefill, report_interval};
use crate::gateway::place::rate_samples::RateReport;
use crate::gateway::place::stated_speed::update_service_levels;
use crate::gateway::versions::statistics::StatisticsReport;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

/// The time between two reports while a roll-out is running.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// The number of boxes that receive version reports: the leader and the standby.
const VERSION_REPORT_RECEIVERS: usize = 2;
/// The most boxes that are notified of a long prefill, so that the messages per box do not grow
/// with the fleet; in a larger fleet, a rotating subset is notified.
const MAX_LONG_PREFILL_RECEIVERS: usize = 96;
/// The largest datagram. A load report for a hundred upstreams takes two kilobytes.
const MAX_DATAGRAM_BYTES: usize = 32 * 1024;

/// A message between boxes.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum PeerMessage {
    /// The sender's own counts of the versions in one roll-out.
    VersionCounts(StatisticsReport),
    /// The sender found the target of this order bad; contains the order's revision.
    VersionFoundBad(u64),
    /// The revision of an order and the milliseconds since it was given, as far as the sender
    /// knows.
    RolloutElapsed(u64, u64),
    /// The load that the sender has at each upstream.
    Load(BoxLoad),
    /// A poll for the store's contents.
    Poll(PollRequest),
    /// Changes of the store's contents.
    HubUpdate(HubUpdate),
    /// Sessions served by the old version of a service: the order's store revision and the hashes
    /// of the sessions.
    OldSessions(u64, Vec<u64>),
    /// Long prefills that the sender begins.
    LongPrefills(Vec<LongPrefill>),
    /// Requests that the sender knows to have been running at crashes.
    Suspects(QuarantineUpdate),
    /// Upstreams that have announced that they leave, by their hashes.
    Leaving(Vec<u32>),
    /// Rate limits that upstreams stated.
    RateLimits(Vec<LimitReport>),
    /// Upstreams with rate limits to which the sender sends a request each, by their hashes.
    LimitedSends(Vec<u32>),
    /// The prefill rates that the sender measured.
    PrefillRates(RateReport),
    /// Load reports of plain upstreams.
    LoadReports(Vec<SharedLoadReport>),
    /// Speeds of engines that the sender measured.
    EngineSpeeds(Vec<SpeedReport>),
    /// Rejection limits that upstreams stated.
    RejectionLimits(Vec<LimitReport>),
    /// Upstreams that rejected requests of the sender for lack of room, by their hashes.
    Rejections(Vec<u32>),
    /// Asks for, lends or gives back slots.
    Slots(Vec<SlotMessage>),
    /// Asks for all limits that the receiver knows.
    LimitsWanted,
    /// The sender has more to do than it can.
    Full,
}

/// Exchanges messages with other boxes for as long as the process runs.
pub async fn exchange(gw: Rc<Gateway>, store: Rc<dyn ControlStore>) -> Result<()> {
    let address = gw.settings().peer_addr;
    let error = |err| Error::Unreachable(format!("cannot listen on {address}: {err}"));
    let socket = UdpSocket::bind(address).await.map_err(error)?;
    let listener = TcpListener::bind(address).await.map_err(error)?;
    let send_poll = async |to, poll| {
        send(&gw, &socket, &PeerMessage::Poll(poll), &[to]).await;
    };
    let send_update = async |to: &[SocketAddr], update| {
        send(&gw, &socket, &PeerMessage::HubUpdate(update), to).await;
    };
    let send_suspects = async |to: &[SocketAddr], update| {
        send(&gw, &socket, &PeerMessage::Suspects(update), to).await;
    };
    let send_leaving = async |to: &[SocketAddr], hashes| {
        send(&gw, &socket, &PeerMessage::Leaving(hashes), to).await;
    };
    let send_limits = async |to: &[SocketAddr], reports| {
        send(&gw, &socket, &PeerMessage::RateLimits(reports), to).await;
    };
    let send_prefill_rates = async |to: &[SocketAddr], report| {
        send(&gw, &socket, &PeerMessage::PrefillRates(report), to).await;
    };
    let send_limited_sends = async |to: &[SocketAddr], hashes| {
        send(&gw, &socket, &PeerMessage::LimitedSends(hashes), to).await;
    };
    let send_load_reports = async |to: &[SocketAddr], reports| {
        send(&gw, &socket, &PeerMessage::LoadReports(reports), to).await;
    };
    let send_speeds = async |to: &[SocketAddr], reports| {
        send(&gw, &socket, &PeerMessage::EngineSpeeds(reports), to).await;
    };
    let send_rejection_limits = async |to: &[SocketAddr], reports| {
        send(&gw, &socket, &PeerMessage::RejectionLimits(reports), to).await;
    };
    let send_rejections = async |to: &[SocketAddr], hashes| {
        send(&gw, &socket, &PeerMessage::Rejections(hashes), to).await;
    };
    let send_slots = async |to: &[SocketAddr], messages| {
        send(&gw, &socket, &PeerMessage::Slots(messages), to).await;
    };
    let request_limits = async |to: &[SocketAddr]| {
        send(&gw, &socket, &PeerMessage::LimitsWanted, to).await;
    };
    let send_full = async |to: &[SocketAddr]| {
        send(&gw, &socket, &PeerMessage::Full, to).await;
    };
    tokio::join!(
        receive(&gw, &store, &socket),
        report_versions(&gw, &socket),
        report_load(&gw, &socket),
        broadcast_long_prefills(&gw, &socket),
        hub_poller::poll_hubs(&gw, send_poll),
        hubs::push_updates(&gw, send_update),
        suspects::share_suspects(&gw, send_suspects),
        leaving_upstreams::broadcast_leaving(&gw, send_leaving),
        rate_limits::share_rate_limits(&gw, send_limits),
        rate_limits::announce_limited_sends(&gw, send_limited_sends),
        rejection_limits::share_rejection_limits(&gw, send_rejection_limits),
        rejection_limits::broadcast_rejections(&gw, send_rejections),
        rejection_limits::request_limits_at_start(&gw, request_limits),
        slot_loans::exchange_slots(&gw, send_slots),
        full_boxes::report_full(&gw, send_full),
        rate_samples::share_rate_samples(&gw, send_prefill_rates),
        load_reports::broadcast_load_reports(&gw, send_load_reports),
        engine_speeds::share_engine_speeds(&gw, send_speeds),
        peer_server::serve_peers(gw.clone(), listener),
    );
    Ok(())
}

async fn receive(gw: &Rc<Gateway>, store: &Rc<dyn ControlStore>, socket: &UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => {
                let datagram = buf.get(..len).unwrap_or_default();
                gw.last_contacts
                    .borrow_mut()
                    .record_message(from, Now::read());
                match datagram::decode::<PeerMessage>(datagram) {
                    Ok(message) => handle_message(gw, store, socket, message, from).await,
                    Err(err) => log::warn!("cannot decode a datagram from {from}: {err}"),
                }
            }
            Err(err) => {
                log::debug!("cannot receive a datagram: {err}");
                sleep(REPORT_INTERVAL).await;
            }
        }
    }
}

async fn handle_message(
    gw: &Rc<Gateway>,
    store: &Rc<dyn ControlStore>,
    socket: &UdpSocket,
    message: PeerMessage,
    from: SocketAddr,
) {
    let now = Now::read();
    match message {
        PeerMessage::VersionCounts(report) => gw.versions.borrow_mut().accept_report(report),
        PeerMessage::RolloutElapsed(order, elapsed_ms) => {
            let elapsed = Duration::from_millis(elapsed_ms);
            gw.knowledge
                .borrow_mut()
                .apply_reported_elapsed(order, elapsed, now);
        }
        PeerMessage::VersionFoundBad(order) => gw.accept_peer_rejection(order, &from.to_string()),
        PeerMessage::Load(load) => gw.peer_loads.borrow_mut().set_report(load, now),
        PeerMessage::LongPrefills(prefills) => {
            let state = gw.knowledge.borrow();
            let mut loads = gw.peer_loads.borrow_mut();
            for prefill in prefills {
                loads.add_long_prefill(prefill, &state, now);
            }
        }
        PeerMessage::Suspects(update) => gw.quarantine.apply_peer_update(update, now),
        PeerMessage::Leaving(hashes) => gw.apply_leaving_report(&hashes, now),
        PeerMessage::RateLimits(reports) => gw.apply_rate_limit_reports(&reports, now),
        PeerMessage::LimitedSends(hashes) => gw.count_peer_sends(&hashes, now),
        PeerMessage::RejectionLimits(reports) => gw.apply_rejection_limit_reports(&reports, now),
        PeerMessage::Rejections(hashes) => gw.apply_rejections(&hashes, now),
        PeerMessage::Slots(messages) => gw.handle_slot_messages(&messages, from, now),
        PeerMessage::LimitsWanted => {
            let rates = PeerMessage::RateLimits(gw.rate_limit_reports(now));
            let rejections = PeerMessage::RejectionLimits(gw.rejection_limit_reports(now));
            send(gw, socket, &rates, &[from]).await;
            send(gw, socket, &rejections, &[from]).await;
        }
        PeerMessage::Full => gw.full_boxes.record(from, now),
        PeerMessage::PrefillRates(report) => gw.rate_samples.apply_report(report, now),
        PeerMessage::LoadReports(reports) => gw.apply_shared_load_reports(&reports, now),
        PeerMessage::EngineSpeeds(reports) => gw.apply_speed_reports(&reports, now),
        PeerMessage::OldSessions(order, sessions) => {
            gw.sessions
                .borrow_mut()
                .keep_on_old_version(order, &sessions);
        }
        PeerMessage::Poll(poll) => {
            let update = gw.hubs.handle_poll(gw, poll, from, now);
            send(gw, socket, &PeerMessage::HubUpdate(update), &[from]).await;
        }
        PeerMessage::HubUpdate(update) => {
            hub_poller::apply_hub_update(gw, store, update, from);
        }
    }
}

impl PeerMessage {
    /// Returns the purpose of the message, as used as a label in metrics.
    fn purpose(&self) -> &'static str {
        match self {
            Self::VersionCounts(_) => "version-counts",
            Self::VersionFoundBad(_) => "versions-found-bad",
            Self::RolloutElapsed(..) => "roll-out-times",
            Self::Load(_) => "load",
            Self::LongPrefills(_) => "long-reads",
            Self::Suspects(_) => "suspects",
            Self::Leaving(_) => "leaving",
            Self::RateLimits(_) => "rate-limits",
            Self::LimitedSends(_) => "limited-sends",
            Self::RejectionLimits(_) => "rejection-limits",
            Self::Rejections(_) => "rejections",
            Self::Slots(_) => "slots",
            Self::LimitsWanted => "limits-wanted",
            Self::Full => "full",
            Self::PrefillRates(_) => "prefill-rates",
            Self::LoadReports(_) => "load-reports",
            Self::EngineSpeeds(_) => "engine-speeds",
            Self::OldSessions(..) => "old-sessions",
            Self::Poll(_) => "questions",
            Self::HubUpdate(_) => "told",
        }
    }
}

async fn send(gw: &Gateway, socket: &UdpSocket, message: &PeerMessage, to: &[SocketAddr]) {
    let datagram = match datagram::encode(message) {
        Ok(datagram) => datagram,
        Err(err) => {
            log::error!("cannot encode a message to other boxes: {err}");
            return;
        }
    };
    gw.telemetry
        .count_peer_bytes(message.purpose(), datagram.len() * to.len());
    for address in to {
        if let Err(err) = socket.send_to(&datagram, address).await {
            log::debug!("cannot send a message to {address}: {err}");
        }
    }
}

/// Reports counts and findings of versions under roll-out, and sessions that must not move.
async fn report_versions(gw: &Gateway, socket: &UdpSocket) {
    loop {
        sleep(REPORT_INTERVAL).await;
        gw.evaluate_rollouts(Now::read());
        let reports = gw.versions.borrow_mut().reports(Now::read());
        for report in reports {
            let receivers = version_report_receivers(gw, Now::read());
            send(gw, socket, &PeerMessage::VersionCounts(report), &receivers).await;
        }
        for (order, elapsed_ms) in running_rollout_times(gw, Now::read()) {
            let message = PeerMessage::RolloutElapsed(order, elapsed_ms);
            // The leader receives the elapsed time from all boxes, and all boxes receive it from
            // the leader.
            let receivers = match is_leader(gw, Now::read()) {
                true => gw.other_boxes(),
                false => version_report_receivers(gw, Now::read()),
            };
            send(gw, socket, &message, &receivers).await;
        }
        for order in locally_rejected_rollouts(gw) {
            let message = PeerMessage::VersionFoundBad(order);
            send(gw, socket, &message, &gw.other_boxes()).await;
        }
        for (order, sessions) in old_sessions(gw, Now::read()) {
            let message = PeerMessage::OldSessions(order, sessions);
            send(gw, socket, &message, &gw.other_boxes()).await;
        }
    }
}

/// Returns the running orders whose targets this box found bad. The others are notified until the
/// leader has recorded it and all boxes know it from the store.
fn locally_rejected_rollouts(gw: &Gateway) -> Vec<u64> {
    let state = gw.knowledge.borrow();
    let mut found = gw.versions.borrow().local_rejections();
    found.retain(|revision| {
        let mut orders = state.running_rollouts().map(|(order, _)| order);
        orders.any(|order| order.revision == *revision)
    });
    found
}

/// Returns the milliseconds since each running order was given, as far as this box knows.
fn running_rollout_times(gw: &Gateway, now: Now) -> Vec<(u64, u64)> {
    let state = gw.knowledge.borrow();
    let rollouts = state.running_rollouts();
    let time = |(order, rollout): (&RolloutOrder, &Rollout)| {
        let elapsed = rollout.elapsed(now)?;
        Some((order.revision, millis(elapsed)))
    };
    rollouts.filter_map(time).collect()
}

/// Returns the boxes that receive version reports: those registered longest in the fleet, and the
/// one registered longest in the own hall, which may be cut off from the rest. Boxes that have sent
/// nothing for a while are left out, since their registration outlasts them by seconds.
fn version_report_receivers(gw: &Gateway, now: Now) -> Vec<SocketAddr> {
    let settings = gw.settings();
    let state = gw.knowledge.borrow();
    let boxes = state.boxes_by_registration();
    let liveness = gw.last_contacts.borrow();
    let mut live = liveness.live_boxes(&boxes, settings.peer_addr, now);
    live.retain(|entry| entry.address != settings.peer_addr);
    let in_hall = live.iter().find(|entry| entry.hall == settings.hall);
    let mut receivers: Vec<SocketAddr> = live
        .iter()
        .take(VERSION_REPORT_RECEIVERS)
        .map(|entry| entry.address)
        .collect();
    if let Some(entry) = in_hall
        && !receivers.contains(&entry.address)
    {
        receivers.push(entry.address);
    }
    match receivers.is_empty() {
        true => gw
            .other_boxes()
            .into_iter()
            .take(VERSION_REPORT_RECEIVERS)
            .collect(),
        false => receivers,
    }
}

/// Returns the sessions that this box knows to be served by an old version, by order.
fn old_sessions(gw: &Gateway, now: Now) -> Vec<(u64, Vec<u64>)> {
    let state = gw.knowledge.borrow();
    let mut sessions = gw.sessions.borrow_mut();
    let mut found = Vec::new();
    for rollout in state.rollouts().values() {
        if let Some((order, seen)) = &rollout.order
            && now.monotonic.saturating_sub(*seen) < order.duration / 2
        {
            let old = sessions.sessions_to_keep(order, now);
            found.push((order.revision, old));
        }
    }
    found.retain(|(_, sessions)| !sessions.is_empty());
    found
}

/// Reports this box's load to the other boxes, at an interval that grows with the fleet.
async fn report_load(gw: &Gateway, socket: &UdpSocket) {
    let mut was_idle = true;
    loop {
        let others = gw.other_boxes();
        sleep(report_interval(others.len())).await;
        let load = BoxLoad::collect(&gw.incarnation, &gw.knowledge.borrow());
        let is_idle = load.is_idle();
        // During a trial of a version, a silent box is considered failed, so idle boxes report too.
        let has_trial = gw.knowledge.borrow().has_running_rollout();
        if !(is_idle && was_idle) || has_trial {
            send(gw, socket, &PeerMessage::Load(load), &others).await;
        }
        was_idle = is_idle;
        let now = Now::read();
        let state = gw.knowledge.borrow();
        let controlled = gw.controlled_services();
        let counts_ages = |upstream: &Upstream| {
            upstream.with_listed(|listed| controlled.contains(&listed.service))
        };
        gw.peer_loads
            .borrow_mut()
            .apply_with_ages(&state, counts_ages, now);
        update_service_levels(&state);
    }
}

/// Notifies other boxes at once of each long prefill that this box begins.
async fn broadcast_long_prefills(gw: &Gateway, socket: &UdpSocket) {
    let mut offset = 0;
    loop {
        let prefills = gw.long_prefills.next().await;
        let others = rotating_subset(gw.other_boxes(), MAX_LONG_PREFILL_RECEIVERS, &mut offset);
        send(gw, socket, &PeerMessage::LongPrefills(prefills), &others).await;
    }
}

/// Returns at most `max` boxes, starting where the previous call ended.
pub fn rotating_subset(
    mut boxes: Vec<SocketAddr>,
    max: usize,
    offset: &mut usize,
) -> Vec<SocketAddr> {
    if boxes.len() > max {
        let start = *offset % boxes.len();
        boxes.rotate_left(start);
        boxes.truncate(max);
        *offset = start + max;
    }
    boxes
}
