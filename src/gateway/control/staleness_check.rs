//! Bounds how old a box's state is, by checks of the store's revision.
//!
//! A watch may stay silent although changes are made, and hubs may be lost. A box whose state
//! becomes too old therefore asks the store for its revision, and reads what it lacks. See
//! `docs/design/spreading.md`.

use super::revision::EpochRevision;
use super::store::{ControlStore, WatchResult};
use super::store_sync::{Backoff, MAX_HUB_BACKOFF, apply_items, call_store, try_read_snapshot};
use crate::clock::Now;
use crate::gateway::Gateway;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::sleep;

/// The longest pause between failed calls of a box that is no hub. Such a box polls the hubs and
/// some other boxes several times a second and learns from them when the store is back; during an
/// outage, the retries of 83 such boxes were most of the cost of store calls
/// (docs/design/platform.md).
const MAX_BACKOFF: Duration = Duration::from_millis(3000);
/// The age of the state at which a hub checks the store's revision. Operators' changes have to be
/// in force within two seconds of their acknowledgement, even while a watch is silent. The state of
/// the other boxes is older by a poll interval and the network delay, and has to stay below
/// [`crate::gateway::settings::Bounds::store_check_age`] even if one datagram is lost. At 0.9 s it
/// did not, and 67 boxes made 240 avoidable store calls in 27 s.
const HUB_CHECK_AGE: Duration = Duration::from_millis(650);
/// How many checks of the revision may be under way at the same time.
const MAX_CHECKS: usize = 3;
/// How often the age of the state is checked.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a read of missed changes may wait, given that a revision check has shown that there are
/// some.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(50);
/// How long the watch may take to deliver changes whose existence a revision check has shown.
const WATCH_GRACE: Duration = Duration::from_millis(150);
/// How many page reads may fail during a full read by the staleness check before it gives up until
/// the next check.
const MAX_PAGE_FAILURES_PER_CHECK: u32 = 3;

/// Bounds the staleness of the state by checking the store's revision when the state becomes too
/// old. Where the store answers slowly, the next check does not wait for the one before, so that
/// the state is hardly older than an answer takes.
pub(super) async fn check_staleness(gw: &Gateway, store: &dyn ControlStore) {
    let is_catching_up = Cell::new(false);
    let mut schedule = CheckSchedule::default();
    let mut checks = FuturesUnordered::new();
    loop {
        tokio::select! {
            () = sleep(AGE_CHECK_INTERVAL) => {}
            Some(is_answered) = checks.next() => {
                schedule.record_end(is_answered, gw.is_hub(), Now::read());
                continue;
            }
        }
        let now = Now::read();
        let age = gw.knowledge.borrow().age(now);
        let max_age = match gw.is_hub() {
            true => HUB_CHECK_AGE,
            false => gw.settings().bounds.store_check_age(),
        };
        let is_old = age.is_none_or(|age| age >= max_age);
        let may_overlap = gw.knowledge.borrow().is_store_slow();
        let is_due = schedule.is_due(checks.len(), may_overlap, now);
        if is_old && is_due && !is_transfer_in_progress(gw, store) {
            schedule.record_start(now);
            checks.push(check_revision(gw, store, &is_catching_up));
        }
    }
}

/// When the next check of the store's revision is due.
#[derive(Debug, Default)]
struct CheckSchedule {
    last_start: Duration,
    backoff: Backoff,
    not_before: Duration,
}

impl CheckSchedule {
    /// Returns whether a check may begin beside those that are under way.
    fn is_due(&self, under_way: usize, may_overlap: bool, now: Now) -> bool {
        let since_start = now.monotonic.saturating_sub(self.last_start);
        let overlaps = may_overlap && under_way < MAX_CHECKS && since_start >= HUB_CHECK_AGE;
        now.monotonic >= self.not_before && (under_way == 0 || overlaps)
    }

    fn record_start(&mut self, now: Now) {
        self.last_start = now.monotonic;
    }

    fn record_end(&mut self, is_answered: bool, is_hub: bool, now: Now) {
        let max_backoff = match is_hub {
            true => MAX_HUB_BACKOFF,
            false => MAX_BACKOFF,
        };
        match is_answered {
            true => self.backoff = Backoff::default(),
            false => self.not_before = now.monotonic + self.backoff.next(max_backoff),
        }
    }
}

/// Compares the store's revision with the local one and catches up if needed, unless another check
/// does; returns false if the store did not answer.
async fn check_revision(
    gw: &Gateway,
    store: &dyn ControlStore,
    is_catching_up: &Cell<bool>,
) -> bool {
    let sent = Now::read();
    gw.telemetry.count_store_call("check");
    let Ok(revision) = call_store(gw, store, store.read_revision()).await else {
        return false;
    };
    let took = Now::read().monotonic.saturating_sub(sent.monotonic);
    gw.knowledge.borrow_mut().record_store_answer_time(took);
    if !is_behind(gw, revision) {
        gw.confirm_fresh_as_of(sent.monotonic, Now::read());
        return true;
    }
    if is_catching_up.replace(true) {
        return true;
    }
    let is_answered = catch_up_to(gw, store, revision, sent).await;
    is_catching_up.set(false);
    is_answered
}

/// Reaches the revision that the store had when a check was sent; returns false if the store did
/// not answer.
async fn catch_up_to(gw: &Gateway, store: &dyn ControlStore, revision: u64, sent: Now) -> bool {
    gw.knowledge
        .borrow_mut()
        .record_newer_revision(revision, Now::read());
    sleep(WATCH_GRACE).await;
    let newest = EpochRevision::from_qualified(revision);
    if is_behind(gw, revision) && is_transfer_in_progress(gw, store) {
        log::info!(epoch = newest.epoch, revision = newest.revision; "this box is behind, a transfer of the missing data is in progress");
        return true;
    }
    if is_behind(gw, revision) && !catch_up(gw, store).await {
        return false;
    }
    if is_behind(gw, revision) {
        log::info!(epoch = newest.epoch, revision = newest.revision; "this box is still behind after reading the changes, reading a full snapshot");
        return try_read_snapshot(gw, store, MAX_PAGE_FAILURES_PER_CHECK).await;
    }
    gw.confirm_fresh_as_of(sent.monotonic, Now::read());
    true
}

/// Returns whether a transfer to this box is in progress that may contain what it lacks. A second
/// copy at the same time would delay both.
fn is_transfer_in_progress(gw: &Gateway, store: &dyn ControlStore) -> bool {
    gw.hub_queries.is_fetching() || store.is_receiving_response()
}

fn is_behind(gw: &Gateway, revision: u64) -> bool {
    gw.mirror.borrow().revision() < revision
}

/// Reads the missed changes from the store, which is much less than the complete contents; returns
/// false if the store did not answer. The store may have compacted its history, or omit changes.
async fn catch_up(gw: &Gateway, store: &dyn ControlStore) -> bool {
    let after = gw.mirror.borrow().revision();
    let EpochRevision { epoch, revision } = EpochRevision::from_qualified(after);
    log::info!(epoch, after = revision; "this box is behind, reading the missed changes");
    gw.telemetry.count_store_call("changes");
    match call_store(gw, store, store.watch(after, CATCH_UP_TIMEOUT)).await {
        Ok(WatchResult::Changes(items, revision)) => {
            apply_items(gw, store, items, revision, "changes")
        }
        Ok(WatchResult::HistoryCompacted) => {
            log::warn!(epoch, after = revision; "the store's history is compacted");
        }
        Err(_logged) => return false,
    }
    true
}
