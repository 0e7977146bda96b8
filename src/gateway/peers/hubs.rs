//! The hubs' side of distributing the store's contents to all boxes, so that only a few boxes call
//! the store.
//!
//! The hubs are the box with the widest link and the box with the widest link in another hall. The
//! other boxes poll one of them several times a second, stating the revision that they have
//! reached, and receive the changes since then. A response states the age of the hub's state, and
//! the polling box counts that age from the time of its own request, so that no network delay makes
//! the state look fresher than it is. A hub also pushes new changes at once to its recent pollers
//! and to the other hub. Changes that do not fit into a datagram are fetched over an `h2` stream
//! from a box that the hub selects ([`super::fetch_planner`]). The polling side is
//! [`super::hub_poller`]. See `docs/design/platform.md` and `docs/design/spreading.md`.

use super::fetch::SnapshotCache;
use super::fetch_planner::{FetchPlanner, FetchSource, MissingChange};
use super::pending_polls::PollId;
use crate::clock::{Now, millis};
use crate::gateway::Gateway;
use crate::gateway::control::mirror::PackedChanges;
use crate::gateway::control::revision::EpochRevision;
use crate::gateway::control::store::BoxEntry;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// The most bytes of items in one datagram.
const MAX_DATAGRAM_ITEM_BYTES: usize = 12 * 1024;

/// A poll of a hub.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct PollRequest {
    /// The revision that the polling box has reached.
    pub after: u64,
    /// Identifies the poll.
    pub id: PollId,
    /// The status of the fetch that the box was directed to make.
    pub fetching: FetchStatus,
}

/// The status of a box's fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum FetchStatus {
    /// No fetch is in progress; the last one, if any, succeeded.
    #[default]
    None,
    /// A fetch is in progress.
    InProgress,
    /// The last fetch, from this source, failed.
    Failed(FetchSource),
}

/// A hub's response to a poll, or an update that it pushes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HubUpdate {
    /// The poll that this answers; `None` for a pushed update.
    pub answers: Option<PollId>,
    /// The age of the hub's state, in milliseconds.
    pub age_ms: u64,
    /// The revision that the hub has reached.
    pub revision: u64,
    /// The changes since the receiver's revision, as far as they fit.
    pub changes: PackedChanges,
    /// Where to fetch the changes that did not fit; `None` if all did.
    pub remainder: Option<FetchSource>,
}

/// The state that this box keeps as a hub.
#[derive(Debug, Default)]
pub struct HubState {
    planner: RefCell<FetchPlanner>,
    /// The cached snapshot for boxes that start.
    pub snapshot_cache: SnapshotCache,
}

/// Returns the hubs among boxes: the box with the widest link, and the box with the widest link in
/// another hall, or the next widest if there is a single hall. Among equally wide links, the box
/// registered longest is chosen.
///
/// A hub has to receive each change completely from the store, sometimes a megabyte, before any
/// other box can get it: this takes 1.1 s at 10 Mbit/s and 0.06 s at 200 Mbit/s.
pub fn choose_hubs<'a>(boxes: impl Iterator<Item = &'a BoxEntry>) -> Vec<&'a BoxEntry> {
    let mut boxes: Vec<&BoxEntry> = boxes.collect();
    boxes.sort_by_key(|entry| (Reverse(entry.link_mbps), entry.registered));
    let Some((first, rest)) = boxes.split_first() else {
        return Vec::new();
    };
    let other_hall = rest.iter().find(|entry| entry.hall != first.hall);
    let second = other_hall.or(rest.first());
    std::iter::once(*first).chain(second.copied()).collect()
}

impl HubState {
    /// Answers a poll.
    pub fn handle_poll(
        &self,
        gw: &Gateway,
        poll: PollRequest,
        from: SocketAddr,
        now: Now,
    ) -> HubUpdate {
        {
            let mut planner = self.planner.borrow_mut();
            planner.record_poll(from, poll.after, now);
            if poll.fetching != FetchStatus::InProgress {
                planner.record_fetch_end(from);
            }
        }
        let mut update = self.build_update(gw, from, poll.after, poll.fetching, now);
        update.answers = Some(poll.id);
        update
    }

    fn build_update(
        &self,
        gw: &Gateway,
        to: SocketAddr,
        after: u64,
        fetching: FetchStatus,
        now: Now,
    ) -> HubUpdate {
        let mut changes = pack_changes(gw, after, false);
        let bytes = changes.len();
        let dropped = changes.drop_largest_beyond(MAX_DATAGRAM_ITEM_BYTES);
        let remainder = dropped.map(|revision| {
            let failed_source = match fetching {
                // The box already has a sender.
                FetchStatus::InProgress => return FetchSource::RetryLater,
                FetchStatus::Failed(source) => Some(source),
                FetchStatus::None => None,
            };
            let missing = MissingChange {
                revision,
                bytes: bytes - changes.len(),
                failed_source,
            };
            let settings = gw.settings();
            let state = gw.knowledge.borrow();
            let halls = HallLookup::of(state.boxes(), &settings.hall, to);
            let shares_hall = |sender| halls.shares_hall(sender);
            let mut planner = self.planner.borrow_mut();
            planner.source_for(to, missing, shares_hall, now)
        });
        let age = gw.knowledge.borrow().age(now);
        HubUpdate {
            answers: None,
            age_ms: millis(age.unwrap_or(Duration::MAX)),
            revision: changes.revision,
            changes,
            remainder,
        }
    }

    /// Returns whether any box polled this one recently.
    pub fn has_recent_pollers(&self, now: Now) -> bool {
        !self.planner.borrow_mut().recent_pollers(now).is_empty()
    }
}

/// Returns the changes that bring a box from revision `after` to this box's revision; logs how long
/// it took if large items had to be packed.
pub fn pack_changes(gw: &Gateway, after: u64, full_values: bool) -> PackedChanges {
    let mut mirror = gw.mirror.borrow_mut();
    let (began, known) = (Now::read(), mirror.packing_count());
    let changes = mirror.changes_after(after, full_values);
    let items = mirror.packing_count() - known;
    if items > 0 {
        let took = Now::read().monotonic.saturating_sub(began.monotonic);
        let EpochRevision { epoch, revision } = EpochRevision::from_qualified(after);
        log::info!(
            items,
            epoch,
            after = revision,
            bytes = changes.len(),
            took_ms = millis(took);
            "packed large items for other boxes"
        );
    }
    changes
}

/// The halls of boxes, from the view of a box that has to fetch.
struct HallLookup<'a> {
    receiver: Option<&'a str>,
    hub: &'a str,
    of: HashMap<SocketAddr, &'a str>,
}

impl<'a> HallLookup<'a> {
    fn of(boxes: impl Iterator<Item = &'a BoxEntry>, hub: &'a str, receiver: SocketAddr) -> Self {
        let halls = boxes.map(|entry| (entry.address, entry.hall.as_str()));
        let of: HashMap<SocketAddr, &str> = halls.collect();
        Self {
            receiver: of.get(&receiver).copied(),
            hub,
            of,
        }
    }

    fn shares_hall(&self, sender: Option<SocketAddr>) -> bool {
        let sender = match sender {
            Some(sender) => self.of.get(&sender).copied(),
            None => Some(self.hub),
        };
        sender.is_some() && sender == self.receiver
    }
}

/// Pushes new changes to the other hub and to recent pollers, for as long as the process runs.
///
/// Boxes at the same revision get the same update unless they have to fetch, so that a change is
/// packed and encoded once and not for each box.
pub async fn push_updates(gw: &Gateway, send: impl AsyncFn(&[SocketAddr], HubUpdate)) {
    let mut last_pushed = gw.mirror.borrow().revision();
    loop {
        // Created before the revision is read, so that no change in between is missed.
        let changed = gw.items_changed.notified();
        let revision = gw.mirror.borrow().revision();
        if revision == last_pushed {
            changed.await;
            continue;
        }
        let now = Now::read();
        for (reached, boxes) in push_targets(gw, last_pushed, now) {
            if reached >= revision {
                continue;
            }
            let Some(&first) = boxes.first() else {
                continue;
            };
            let update = gw
                .hubs
                .build_update(gw, first, reached, FetchStatus::None, now);
            if update.remainder.is_none() {
                gw.hubs
                    .planner
                    .borrow_mut()
                    .record_sent(&boxes, update.revision);
                send(&boxes, update).await;
                continue;
            }
            send(&[first], update).await;
            for address in &boxes[1..] {
                let update = gw
                    .hubs
                    .build_update(gw, *address, reached, FetchStatus::None, now);
                send(&[*address], update).await;
            }
        }
        last_pushed = revision;
    }
}

/// Returns the boxes to push changes to, by the revision that they have reached.
fn push_targets(gw: &Gateway, last_pushed: u64, now: Now) -> BTreeMap<u64, Vec<SocketAddr>> {
    let pollers = gw.hubs.planner.borrow_mut().recent_pollers(now);
    let mut targets: BTreeMap<u64, Vec<SocketAddr>> = BTreeMap::new();
    for (address, reached) in &pollers {
        targets.entry(*reached).or_default().push(*address);
    }
    if !gw.is_hub() {
        return targets;
    }
    // Hubs do not poll while they reach the store, and the hub with the wider link has a large
    // change long before the other one.
    let own = gw.settings().peer_addr;
    let state = gw.knowledge.borrow();
    for hub in choose_hubs(state.boxes()) {
        let is_included = pollers.iter().any(|(address, _)| *address == hub.address);
        if hub.address != own && !is_included {
            targets.entry(last_pushed).or_default().push(hub.address);
        }
    }
    targets
}
