//! Registers the box in the store and determines which registered box leads.
//!
//! A box is a member as long as its lease in the store is alive. See `docs/design/platform.md`.

use super::store::{BoxEntry, ControlStore, RegisteredBox};
use crate::clock::Now;
use crate::gateway::Gateway;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time to live of a box's lease. Long enough to survive two lost renewals, short enough that a
/// roll-out is not without a leader for long after a crash.
const LEASE_TTL: Duration = Duration::from_secs(8);
/// The time between two lease renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(2600);
/// How many renewals in a row may find the box unlisted: one may come before the box has learned of
/// its own entry.
const MAX_UNLISTED_RENEWALS: u32 = 2;

/// Keeps the box registered until its shutdown is requested.
///
/// A stopping box releases its lease and must not register again: the other boxes would treat it as
/// a member until the new lease expires, long after the process has ended.
///
/// If the lease of the previous process is still alive, its registration is reused. That takes one
/// call of the cheapest kind instead of two writes, and causes no membership change at the other
/// boxes; when 295 boxes restart together, it saves 590 write calls.
pub async fn maintain_registration(
    gw: Rc<Gateway>,
    store: Rc<dyn ControlStore>,
    previous: Option<RegisteredBox>,
) {
    if let Some(previous) = previous {
        take_over_registration(&gw, &*store, previous).await;
    }
    let entry = BoxEntry::of(&gw);
    while !gw.is_stopping() {
        gw.telemetry.count_store_call("register");
        match store.register(&entry, LEASE_TTL).await {
            Ok(lease) => {
                log::info!(lease, box_name = entry.name.as_str(); "registered");
                hold_lease(&gw, &*store, lease, &entry.name).await;
            }
            Err(err) => {
                gw.store_failed(&err, Now::read());
                sleep(RENEWAL_INTERVAL).await;
            }
        }
    }
}

async fn take_over_registration(gw: &Gateway, store: &dyn ControlStore, previous: RegisteredBox) {
    gw.telemetry.count_store_call("renew");
    match store.renew(previous.lease).await {
        Ok(true) => {
            let (lease, name) = (previous.lease, previous.entry.name.as_str());
            log::info!(lease, box_name = name; "the former life's registration is taken over");
            hold_lease(gw, store, lease, name).await;
        }
        Ok(false) => log::info!(lease = previous.lease; "the previous process's lease has expired"),
        Err(err) => gw.store_failed(&err, Now::read()),
    }
}

/// Holds the lease of an entry and renews it until it is lost or the box stops.
async fn hold_lease(gw: &Gateway, store: &dyn ControlStore, lease: u64, entry: &str) {
    gw.lease.set(Some(lease));
    renew_until_lost(gw, store, lease, entry).await;
    gw.lease.set(None);
    log::warn!(lease; "lost the lease of this box's registration");
}

impl BoxEntry {
    /// Returns the entry under which this box registers.
    pub fn of(gw: &Gateway) -> Self {
        let settings = gw.settings();
        Self {
            name: gw.incarnation.clone(),
            hall: settings.hall.clone(),
            address: settings.peer_addr,
            link_mbps: settings.link_mbps,
            registered: 0,
        }
    }
}

/// Renews a lease until the store reports that it has expired, its entry is gone, or the box stops.
///
/// A lease can outlast its entry: a registration whose answer was lost may be carried out after the
/// next one, and its own lease, which is not renewed, then decides when the entry expires.
async fn renew_until_lost(gw: &Gateway, store: &dyn ControlStore, lease: u64, entry: &str) {
    let mut unlisted_renewals = 0;
    loop {
        sleep(RENEWAL_INTERVAL).await;
        if gw.is_stopping() {
            return;
        }
        match is_listed(gw, entry, Now::read()) {
            Some(false) => unlisted_renewals += 1,
            Some(true) => unlisted_renewals = 0,
            None => {}
        }
        if unlisted_renewals >= MAX_UNLISTED_RENEWALS {
            log::warn!(lease, box_name = entry; "this box is not listed although its lease is valid");
            return;
        }
        gw.telemetry.count_store_call("renew");
        match store.renew(lease).await {
            Ok(true) => {}
            Ok(false) => return,
            Err(err) => gw.store_failed(&err, Now::read()),
        }
    }
}

/// Returns whether the store lists the entry of this box; `None` if the box's state is too old to
/// say.
fn is_listed(gw: &Gateway, entry: &str, now: Now) -> Option<bool> {
    let is_recent = gw.has_knowledge_within(RENEWAL_INTERVAL, now);
    let state = gw.knowledge.borrow();
    let is_listed = state.boxes().any(|known| known.name == entry);
    is_recent.then_some(is_listed)
}

/// Returns whether this box is the leader.
pub fn is_leader(gw: &Gateway, now: Now) -> bool {
    leadership_rank(gw, now) == Some(0)
}

/// Returns this box's rank among the live registered boxes, ordered by registration; rank 0 is the
/// leader. `None` if this box receives messages from less than half of the others, since the
/// leader's decisions depend on the other boxes' counts. Two boxes that both believe to be the
/// leader do no harm, because records are written conditionally.
///
/// Boxes are compared by address and not by process, so that a restarted leader leads again at once
/// instead of waiting for the lease of its previous process to expire.
pub fn leadership_rank(gw: &Gateway, now: Now) -> Option<usize> {
    let own = gw.settings().peer_addr;
    let state = gw.knowledge.borrow();
    let boxes = state.boxes_by_registration();
    let live = gw.last_contacts.borrow().live_boxes(&boxes, own, now);
    let sees_majority = live.len() * 2 > boxes.len();
    let rank = live.iter().position(|entry| entry.address == own);
    rank.filter(|_| sees_majority)
}
