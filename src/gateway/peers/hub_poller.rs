//! Polls the hubs for changes and fetches what the hubs direct it to.
//!
//! A box polls one hub several times a second ([`super::hubs`]) and runs one fetch at a time. See
//! `docs/design/spreading.md`.

use super::fetch::{FetchProgress, FetchRequest, StallTimeout, fetch};
use super::fetch_planner::FetchSource;
use super::hubs::{FetchStatus, HubUpdate, PollRequest, choose_hubs};
use super::packing::UnpackError;
use super::pending_polls::PendingPolls;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::control::mirror::PackedChanges;
use crate::gateway::control::store::{BoxEntry, ControlStore};
use crate::gateway::control::store_sync::{apply_changes, apply_partial_changes};
use crate::wire::WireError;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// The time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// The time between two polls of a box that has to retry a fetch: about the time until a sender is
/// free again.
const RETRY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The shortest time between two polls, however many fetches end or fail.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// How long a response may take before the next poll goes to another box. A round trip takes 3 ms
/// and the scheduling delay of a busy processor about ten. When only the age of the last response
/// was considered, a lost hub was still polled for 1.3 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// How old a hub's state may be for that hub to be polled again.
const MAX_HUB_STATE_AGE: Duration = Duration::from_millis(1300);
/// The number of boxes polled in turn in addition to the hubs while no hub has fresh state.
const FALLBACK_BOXES: usize = 4;
/// How many consecutive unpack failures cause a request for full values. A single failure occurs
/// when two changes overtake each other, and the next poll resolves it.
const UNPACK_FAILURES_BEFORE_FULL: u32 = 2;

/// The responses of the polled boxes and the status of this box's fetch.
#[derive(Debug, Default)]
pub struct HubPoller {
    polled: RefCell<HashMap<SocketAddr, PollHistory>>,
    pending: RefCell<PendingPolls>,
    fetch_status: Cell<FetchStatus>,
    stall_timeout: Cell<StallTimeout>,
    /// Whether the next poll is due after the retry interval.
    retry_pending: Cell<bool>,
    /// The number of consecutive updates that could not be unpacked.
    unpack_failures: Cell<u32>,
    /// Wakes the poller before the regular interval is over.
    poll_now: Notify,
}

/// The poll history of one box.
#[derive(Debug, Clone, Copy, Default)]
struct PollHistory {
    /// When the first poll was sent that is still unanswered.
    unanswered_since: Option<Duration>,
    /// When the last response arrived, and the age of the responder's state at that time.
    last_response: Option<(Duration, Duration)>,
}

impl HubPoller {
    /// Returns whether to request full values because deltas could not be unpacked.
    fn wants_full_values(&self) -> bool {
        self.unpack_failures.get() >= UNPACK_FAILURES_BEFORE_FULL
    }

    fn poll_again_soon(&self) {
        self.retry_pending.set(true);
        self.poll_now.notify_one();
    }

    /// Returns whether a fetch is in progress.
    pub fn is_fetching(&self) -> bool {
        self.fetch_status.get() == FetchStatus::InProgress
    }

    fn record_poll(&self, address: SocketAddr, now: Now) {
        let mut polled = self.polled.borrow_mut();
        let history = polled.entry(address).or_default();
        history.unanswered_since.get_or_insert(now.monotonic);
    }

    fn record_response(&self, address: SocketAddr, age: Duration, now: Now) {
        let history = PollHistory {
            unanswered_since: None,
            last_response: Some((now.monotonic, age)),
        };
        self.polled.borrow_mut().insert(address, history);
    }

    /// Returns whether a box's last response was fresh and no later poll has timed out, so that it
    /// should be polled again.
    fn is_preferred(&self, address: SocketAddr, now: Now) -> bool {
        let polled = self.polled.borrow();
        let Some(history) = polled.get(&address) else {
            return false;
        };
        let since = |at: Duration| now.monotonic.saturating_sub(at);
        let is_silent = history
            .unanswered_since
            .is_some_and(|at| since(at) > RESPONSE_TIMEOUT);
        let is_fresh = history
            .last_response
            .is_some_and(|(at, age)| since(at) + age < MAX_HUB_STATE_AGE);
        is_fresh && !is_silent
    }
}

/// Polls hubs for as long as the process runs.
pub async fn poll_hubs(gw: &Gateway, send: impl AsyncFn(SocketAddr, PollRequest)) {
    let mut offset = 0;
    loop {
        await_next_poll(&gw.hub_queries).await;
        let now = Now::read();
        if gw.is_hub() && gw.has_knowledge_within(MAX_HUB_STATE_AGE, now) {
            continue;
        }
        let Some(hub) = next_poll_target(gw, &mut offset, now) else {
            continue;
        };
        let poll = PollRequest {
            after: gw.mirror.borrow().revision(),
            id: gw.hub_queries.pending.borrow_mut().begin(hub, now),
            fetching: gw.hub_queries.fetch_status.get(),
        };
        if poll.fetching != FetchStatus::InProgress {
            // A failure is reported once; the next hub may know of no other sender.
            gw.hub_queries.fetch_status.set(FetchStatus::None);
        }
        gw.hub_queries.record_poll(hub, now);
        send(hub, poll).await;
    }
}

async fn await_next_poll(poller: &HubPoller) {
    sleep(MIN_POLL_INTERVAL).await;
    let notified = poller.poll_now.notified();
    // The next poll is due on the timeout as well as on a notification.
    let _ = tokio::time::timeout(POLL_INTERVAL - MIN_POLL_INTERVAL, notified).await;
    if poller.retry_pending.take() {
        sleep(RETRY_POLL_INTERVAL - MIN_POLL_INTERVAL).await;
    }
}

/// Returns the hub to poll: that of the own hall, or any hub or fallback box whose last response
/// was fresh. If there is none, the hubs and some other boxes take turns, since some may still
/// reach the store.
fn next_poll_target(gw: &Gateway, offset: &mut usize, now: Now) -> Option<SocketAddr> {
    let settings = gw.settings();
    let state = gw.knowledge.borrow();
    let mut candidates = choose_hubs(state.boxes());
    candidates.sort_by_key(|hub| hub.hall != settings.hall);
    let mut others = state.boxes_by_registration();
    let is_hub = |entry: &&BoxEntry| candidates.iter().any(|hub| hub.address == entry.address);
    others.retain(|entry| !is_hub(entry));
    candidates.extend(others.into_iter().take(FALLBACK_BOXES));
    candidates.retain(|entry| entry.address != settings.peer_addr);
    let preferred = candidates
        .iter()
        .find(|entry| gw.hub_queries.is_preferred(entry.address, now));
    if let Some(entry) = preferred {
        return Some(entry.address);
    }
    *offset = offset.wrapping_add(1);
    let at = *offset % candidates.len().max(1);
    candidates.get(at).map(|entry| entry.address)
}

/// Applies a hub's update and starts to fetch the part that did not fit.
pub fn apply_hub_update(
    gw: &Rc<Gateway>,
    store: &Rc<dyn ControlStore>,
    update: HubUpdate,
    hub: SocketAddr,
) {
    let now = Now::read();
    let age = Duration::from_millis(update.age_ms);
    let answered = update.answers.and_then(|id| {
        let answered = gw.hub_queries.pending.borrow_mut().finish(id, hub);
        if answered.is_none() {
            let from = hub.to_string();
            log::info!(from = from.as_str(); "a response answers no pending poll of this process, it proves nothing");
        }
        answered
    });
    if answered.is_some() {
        gw.hub_queries.record_response(hub, age, now);
    }
    let own = gw.mirror.borrow().revision();
    if update.revision > own {
        gw.knowledge
            .borrow_mut()
            .record_newer_revision(update.revision, now);
    }
    let fits = update.changes.is_snapshot || update.changes.after <= own;
    if !fits {
        // This update was meant for a box at a later revision; the next poll brings what this one
        // lacks.
        return;
    }
    gw.telemetry.count_item_bytes("hub", update.changes.len());
    let unpacked = gw.mirror.borrow_mut().unpack(update.changes);
    match (unpacked, update.remainder) {
        (Ok(changes), None) => {
            gw.hub_queries.unpack_failures.set(0);
            apply_changes(gw, &**store, changes, "hub");
        }
        (Ok(changes), Some(source)) => {
            apply_partial_changes(gw, &**store, changes, "hub");
            start_fetch(gw, store, source, hub);
        }
        (Err(err), _) => {
            record_unpack_failure(gw, &err, hub);
            if gw.hub_queries.wants_full_values() {
                start_fetch(gw, store, FetchSource::Hub, hub);
            }
        }
    }
    if let Some(answered) = answered
        && gw.mirror.borrow().revision() >= update.revision
        && let Some(as_of) = answered.proves_as_of(age)
    {
        gw.confirm_fresh_as_of(as_of, Now::read());
    }
}

/// Records that an update could not be unpacked, and schedules the next poll soon.
fn record_unpack_failure(gw: &Gateway, err: &UnpackError, from: SocketAddr) {
    gw.hub_queries
        .unpack_failures
        .set(gw.hub_queries.unpack_failures.get() + 1);
    gw.hub_queries.poll_again_soon();
    let reason = err.to_string();
    log::warn!(from = from.to_string().as_str(), reason = reason.as_str(); "received items are unusable, the known state stays in force");
}

/// Starts a fetch unless one is in progress.
fn start_fetch(
    gw: &Rc<Gateway>,
    store: &Rc<dyn ControlStore>,
    source: FetchSource,
    hub: SocketAddr,
) {
    if gw.hub_queries.is_fetching() {
        return;
    }
    let from = match source {
        FetchSource::Hub => hub,
        FetchSource::Peer(address) => address,
        FetchSource::RetryLater => {
            gw.hub_queries.poll_again_soon();
            return;
        }
    };
    gw.hub_queries.fetch_status.set(FetchStatus::InProgress);
    let (gw, store) = (gw.clone(), store.clone());
    actix_rt::spawn(async move {
        let is_applied = fetch_and_apply(&gw, &*store, from).await;
        gw.hub_queries.fetch_status.set(match is_applied {
            true => FetchStatus::None,
            false => FetchStatus::Failed(source),
        });
        // The next poll reports to the hub that the sender is free, and confirms that the state is
        // current.
        gw.hub_queries.poll_now.notify_one();
    });
}

/// Fetches changes from a box and applies them; returns false if that failed.
async fn fetch_and_apply(gw: &Gateway, store: &dyn ControlStore, from: SocketAddr) -> bool {
    let started_at = Now::read();
    let request = FetchRequest {
        after: gw.mirror.borrow().revision(),
        full_values: gw.hub_queries.wants_full_values(),
    };
    let progress = FetchProgress::default();
    let stall_timeout = gw.hub_queries.stall_timeout.get();
    let fetched = fetch(from, request, stall_timeout, &progress).await;
    gw.telemetry.count_item_bytes("fetch", progress.bytes());
    let outcome = match fetched {
        Ok(packed) => apply_fetched(gw, store, packed),
        Err(err) => Err(FetchError::TransferFailed(err)),
    };
    let elapsed = Now::read().monotonic.saturating_sub(started_at.monotonic);
    let stall_timeout = stall_timeout.after(outcome.is_ok(), elapsed);
    gw.hub_queries.stall_timeout.set(stall_timeout);
    gw.telemetry
        .record_fetch(from, &outcome, progress.bytes(), elapsed);
    if let Err(FetchError::UnpackFailed(err)) = &outcome {
        record_unpack_failure(gw, err, from);
    }
    outcome.is_ok()
}

/// Why a fetch brought no changes.
#[derive(Debug)]
pub enum FetchError {
    /// The transfer failed.
    TransferFailed(WireError),
    /// The received items are unusable.
    UnpackFailed(UnpackError),
    /// This box has advanced in the meantime, or the sender is behind it.
    NotApplicable,
}

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TransferFailed(err) => write!(f, "{err}"),
            Self::UnpackFailed(err) => write!(f, "{err}"),
            Self::NotApplicable => write!(
                f,
                "the changes do not continue from the revision of this box"
            ),
        }
    }
}

impl FetchError {
    /// Returns the label of the outcome in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::TransferFailed(_) => "lost",
            Self::UnpackFailed(_) => "unusable",
            Self::NotApplicable => "behind",
        }
    }
}

fn apply_fetched(
    gw: &Gateway,
    store: &dyn ControlStore,
    packed: PackedChanges,
) -> Result<(), FetchError> {
    let own = gw.mirror.borrow().revision();
    if !packed.is_snapshot && packed.after > own || packed.revision < own {
        return Err(FetchError::NotApplicable);
    }
    let changes = gw
        .mirror
        .borrow_mut()
        .unpack(packed)
        .map_err(FetchError::UnpackFailed)?;
    gw.hub_queries.unpack_failures.set(0);
    apply_changes(gw, store, changes, "fetch");
    Ok(())
}
