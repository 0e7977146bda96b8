//! Keeps a box's control-plane state in sync with the store.
//!
//! Two boxes, the hubs, call the store. A watch delivers changes as they happen, and a cheap
//! linearizable read of the revision bounds the staleness of the state, since a watch may stay
//! silent although changes are made. The other boxes poll a hub ([`crate::gateway::peers::hubs`])
//! and call the store only when their state becomes too old. See `docs/design/platform.md`.

use super::change::Change;
use super::initial_sync::{HallBoxes, read_hall, run_initial_sync};
use super::membership::maintain_registration;
use super::mirror::Changes;
use super::revision::{EpochRevision, epoch_of};
use super::staleness_check::check_staleness;
use super::store::{ControlStore, Item, WatchResult};
use crate::clock::{Now, millis};
use crate::gateway::Gateway;
use crate::store::StoreResult;
use std::collections::HashSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How long one watch call waits. The store answers a watch at once when something changes, so this
/// only bounds how long a dead connection is held.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause between two watch calls, which lets changes accumulate, since each call has a price.
const WATCH_GAP: Duration = Duration::from_millis(120);
/// The pause after the first failed call. Rejected calls have a price too.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// The longest pause of a hub between failed calls; the pause doubles with each failure.
pub(super) const MAX_HUB_BACKOFF: Duration = Duration::from_millis(1000);
/// The most changes applied together that are logged one by one. A starting box learns of all
/// upstreams and boxes, 750 where 295 boxes start together; a line for each would displace other
/// lines from the log queue.
const MAX_LOGGED_CHANGES: usize = 100;
/// How often expired state is removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);
/// How late a timer fires at most while the process runs.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(100);

/// The longest time to wait for the box's own registration before the initial sync. Registering
/// takes two calls of 4 ms, and a box that reads afterwards knows the hubs from the start.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(100);
/// How often the wait looks for the registration.
const REGISTRATION_POLL_INTERVAL: Duration = Duration::from_millis(4);

/// Runs the initial sync and then keeps the state in sync for as long as the process runs.
pub async fn sync_with_store(gw: Rc<Gateway>, store: Rc<dyn ControlStore>) {
    let hall = register_and_read_hall(&gw, &store).await;
    run_initial_sync(&gw, &*store, hall).await;
    tokio::join!(watch(&gw, &*store), check_staleness(&gw, &*store));
}

/// Registers the box and returns the boxes registered in its hall.
///
/// A restarted box reads the hall first to find the registration of its previous process. If no box
/// is registered, because all leases have expired or the fleet starts for the first time, it reads
/// the hall again after registering.
async fn register_and_read_hall(
    gw: &Rc<Gateway>,
    store: &Rc<dyn ControlStore>,
) -> Option<HallBoxes> {
    let mut hall = None;
    if !gw.settings().is_first_start {
        hall = read_hall(gw, &**store).await;
    }
    let previous = hall
        .as_ref()
        .and_then(|hall| hall.previous_registration(gw));
    actix_rt::spawn(maintain_registration(gw.clone(), store.clone(), previous));
    await_registration(gw).await;
    match hall {
        Some(hall) if !hall.is_empty() => Some(hall),
        _ => read_hall(gw, &**store).await,
    }
}

async fn await_registration(gw: &Gateway) {
    let registered = async {
        while gw.lease.get().is_none() {
            sleep(REGISTRATION_POLL_INTERVAL).await;
        }
    };
    if timeout(REGISTRATION_TIMEOUT, registered).await.is_err() {
        log::info!("this box is not registered yet, starting the initial sync anyway");
    }
}

/// Periodically removes expired state for as long as the process runs.
pub async fn expire_old_state(gw: Rc<Gateway>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let now = Now::read();
        let mut state = gw.knowledge.borrow_mut();
        let revision = gw.mirror.borrow().revision();
        for change in state.remove_lapsed_upstreams(now) {
            gw.telemetry.record_change(&change, "lapse", revision);
        }
        for change in state.apply_deferred(now) {
            gw.telemetry.record_change(&change, "deferred", revision);
        }
        gw.telemetry
            .record_knowledge_age(state.age(now), state.lag(now));
        state.prune_leaving(now);
        gw.telemetry
            .record_faulty_upstreams(state.faulty_upstream_count());
        let routes = state.routes().cloned();
        drop(state);
        gw.telemetry.record_held_bytes(&gw.held_memory);
        if let Some(routes) = routes {
            let is_configured = |service: &str| routes.services.contains_key(service);
            gw.service_times.retain(is_configured);
        }
        gw.telemetry.record_waiting(gw.waiting_for_room());
        gw.connections.close_stale(now);
        gw.connections.expire_reach(now);
        gw.sessions.borrow_mut().remove_expired(now);
        gw.run_times.borrow_mut().remove_expired(now);
    }
}

/// Applies items to the mirror and to the control-plane state.
pub fn apply_changes(gw: &Gateway, store: &dyn ControlStore, changes: Changes, source: &str) {
    let now = Now::read();
    let revision = changes.revision;
    let item_revisions = changes.items.iter().map(|item| item.revision);
    let newest = item_revisions.max().max(Some(revision)).unwrap_or_default();
    let mut mirror = gw.mirror.borrow_mut();
    let new_items = match changes.is_snapshot {
        true => mirror.apply_snapshot(changes.items, revision),
        false => mirror.apply(changes.items, revision),
    };
    drop(mirror);
    let reached = gw.mirror.borrow().revision();
    let mut state = gw.knowledge.borrow_mut();
    state.record_store_contact(now);
    state.observe_revision(newest, now);
    let lag = state.lag(now);
    let summarized = new_items.len() > MAX_LOGGED_CHANGES;
    if summarized {
        let EpochRevision { epoch, revision } = EpochRevision::from_qualified(revision);
        log::info!(source, epoch, revision, items = new_items.len(); "applied many changes at once");
    }
    for item in &new_items {
        if let Some(update) = store.decode(item) {
            let change = state.apply(update, now);
            if !(summarized && change.is_addition()) {
                gw.telemetry.record_change(&change, source, revision);
            }
            if let Change::Routes(version) = change {
                let bytes = item.value.as_ref().map_or(0, Vec::len);
                gw.telemetry
                    .record_config_in_force(version, source, bytes, lag, state.age(now));
            }
        }
    }
    state.record_reached_revision(reached);
    if !new_items.is_empty() {
        gw.items_changed.notify_waiters();
    }
}

/// Applies some of the items that lead to a revision, without marking the revision as reached.
///
/// A box that still waits for a large item uses the small ones meanwhile: an upstream that leaves
/// must get no new requests after two to three seconds.
pub fn apply_partial_changes(
    gw: &Gateway,
    store: &dyn ControlStore,
    changes: Changes,
    source: &str,
) {
    let partial = Changes {
        revision: 0,
        is_snapshot: false,
        ..changes
    };
    apply_changes(gw, store, partial, source);
}

pub(super) fn apply_items(
    gw: &Gateway,
    store: &dyn ControlStore,
    items: Vec<Item>,
    revision: u64,
    source: &str,
) {
    let changes = Changes {
        after: gw.mirror.borrow().revision(),
        revision,
        is_snapshot: false,
        items,
    };
    apply_changes(gw, store, changes, source);
}

/// Reads the complete store contents, retrying until it succeeds.
pub async fn read_snapshot(gw: &Gateway, store: &dyn ControlStore) {
    try_read_snapshot(gw, store, u32::MAX).await;
}

/// Reads the complete store contents page by page; returns false after `max_failures` failures.
///
/// A failed page is retried on its own instead of restarting from the first page: where every third
/// call was rejected, a read of six pages never completed in one go
/// (platform/tests/initial_sync.rs).
pub(super) async fn try_read_snapshot(
    gw: &Gateway,
    store: &dyn ControlStore,
    max_failures: u32,
) -> bool {
    let mut snapshot = SnapshotRead::start(Now::read());
    let mut backoff = Backoff::default();
    let mut failures = 0;
    while snapshot.state == ReadState::Reading {
        if snapshot.read_page(gw, store).await {
            continue;
        }
        failures += 1;
        if failures >= max_failures {
            return false;
        }
        backoff.pause(MAX_HUB_BACKOFF).await;
    }
    snapshot.apply(gw, store);
    true
}

/// Makes a call to the store and records what it shows of the connection to the store.
///
/// While a call stays unanswered for longer than usual, the store counts as lost long before the call
/// ends, since a box that may be cut off decides differently from one that is connected
/// ([`ControlPlaneState::freshness`]). The answer shows that it was only late. A process that stood
/// still may give up on an answer that has arrived, which shows nothing.
///
/// [`ControlPlaneState::freshness`]: super::state::ControlPlaneState::freshness
pub(super) async fn call_store<T>(
    gw: &Gateway,
    store: &dyn ControlStore,
    call: impl Future<Output = StoreResult<T>>,
) -> StoreResult<T> {
    let mut call = pin!(call);
    let mut silence = None;
    loop {
        let began = Now::read();
        let limit = gw.knowledge.borrow().store_silence_limit();
        let outcome = timeout(limit, call.as_mut()).await;
        let now = Now::read();
        let elapsed = now.monotonic.saturating_sub(began.monotonic);
        // A late box may not have read an answer that has arrived, or its call is still on its link.
        let was_late = gw.saturation.was_late_since(began.monotonic, now);
        let has_run = elapsed < limit + MAX_TIMER_DELAY && !was_late;
        match outcome {
            Ok(Ok(answer)) => {
                gw.store_answered(now);
                return Ok(answer);
            }
            Ok(Err(err)) => {
                if has_run {
                    gw.knowledge.borrow_mut().record_store_failure(now);
                }
                gw.store_failed(&err, now);
                return Err(err);
            }
            Err(_elapsed) if has_run && !store.is_receiving_response() => {
                let knowledge = gw.knowledge.borrow();
                silence.get_or_insert_with(|| knowledge.begin_store_silence());
            }
            Err(_elapsed) => silence = None,
        }
    }
}

/// A paged read of the complete store contents in progress.
struct SnapshotRead {
    started_at: Duration,
    items: Vec<Item>,
    /// The revision of the first page. Later pages are newer; a watch that continues from the first
    /// page's revision misses nothing.
    revision: Option<u64>,
    next_page: Option<String>,
    /// The starts of the pages that were read.
    page_starts: HashSet<String>,
    state: ReadState,
}

/// How far a full read has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadState {
    /// More pages follow.
    Reading,
    /// All pages were read.
    Complete,
    /// The next page would be one that was read before. What follows stays unknown.
    Stuck,
}

impl SnapshotRead {
    fn start(now: Now) -> Self {
        Self {
            started_at: now.monotonic,
            items: Vec::new(),
            revision: None,
            next_page: None,
            page_starts: HashSet::from([String::new()]),
            state: ReadState::Reading,
        }
    }

    /// Reads the next page; returns false if the store did not answer.
    async fn read_page(&mut self, gw: &Gateway, store: &dyn ControlStore) -> bool {
        gw.telemetry.count_store_call("list");
        let sent = Now::read();
        let read = store.read_page(self.next_page.as_deref());
        let after = self.next_page.as_deref().unwrap_or_default();
        let page = match call_store(gw, store, read).await {
            Ok(page) => page,
            Err(err) => {
                log::warn!(after; "a page of the store's contents cannot be read: {err}");
                return false;
            }
        };
        let took = Now::read().monotonic.saturating_sub(sent.monotonic);
        log::info!(after, items = page.items.len(), took_ms = millis(took); "read a page of the store's contents");
        let first = *self.revision.get_or_insert(page.revision);
        if epoch_of(first) != epoch_of(page.revision) {
            log::info!("the store was restored during a full read, starting again");
            *self = Self::start(Now::read());
            return false;
        }
        self.items.extend(page.items);
        self.state = match &page.next {
            None => ReadState::Complete,
            Some(next) if self.page_starts.insert(next.clone()) => ReadState::Reading,
            Some(next) => {
                log::error!(after = next.as_str(), items = self.items.len(); "the pages of the store's contents do not advance, using what was read");
                ReadState::Stuck
            }
        };
        self.next_page = page.next;
        true
    }

    fn apply(self, gw: &Gateway, store: &dyn ControlStore) {
        let changes = Changes {
            after: 0,
            revision: self.revision.unwrap_or_default(),
            // An item that was not read may exist.
            is_snapshot: self.state == ReadState::Complete,
            items: self.items,
        };
        apply_changes(gw, store, changes, "list");
        gw.confirm_fresh_as_of(self.started_at, Now::read());
    }
}

/// The pause after the next failure; doubles with each one.
#[derive(Debug)]
pub(super) struct Backoff(Duration);

impl Default for Backoff {
    fn default() -> Self {
        Self(INITIAL_BACKOFF)
    }
}

impl Backoff {
    /// Returns the pause after one more failure.
    pub(super) fn next(&mut self, max: Duration) -> Duration {
        let pause = self.0;
        self.0 = (pause * 2).min(max);
        pause
    }

    async fn pause(&mut self, max: Duration) {
        sleep(self.next(max)).await;
    }
}

/// Watches the store while this box is a hub.
async fn watch(gw: &Gateway, store: &dyn ControlStore) {
    let mut backoff = Backoff::default();
    loop {
        sleep(WATCH_GAP).await;
        if !gw.is_hub() {
            continue;
        }
        let after = gw.mirror.borrow().revision();
        gw.telemetry.count_store_call("watch");
        match store.watch(after, WATCH_TIMEOUT).await {
            Ok(WatchResult::Changes(items, revision)) => {
                gw.store_answered(Now::read());
                backoff = Backoff::default();
                apply_items(gw, store, items, revision, "watch");
            }
            Ok(WatchResult::HistoryCompacted) => {
                let EpochRevision { epoch, revision } = EpochRevision::from_qualified(after);
                log::warn!(epoch, after = revision; "the store's history is compacted, reading a full snapshot");
                read_snapshot(gw, store).await;
            }
            Err(err) => {
                gw.store_failed(&err, Now::read());
                backoff.pause(MAX_HUB_BACKOFF).await;
            }
        }
    }
}
