//! Registers the box with the others, and tells which of them leads.
//!
//! A box is a member as long as its lease in the store lives. See `docs/design/platform.md`.

use super::store::{BoxEntry, ControlStore, RegisteredBox};
use crate::clock::Now;
use crate::gateway::Gateway;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long a box stays a member without a sign of life: long enough to bear two lost
/// renewals, short enough that a roll-out is not without a leading box for long.
const LEASE: Duration = Duration::from_secs(8);
/// The time between two renewals.
const RENEWAL: Duration = Duration::from_millis(2600);

/// Keeps the box registered until it is asked to stop.
///
/// A box that stops ends its lease by itself and must not register anew: the others would
/// take it for a member until that lease runs out, long after its end.
///
/// What a former life left registered is taken over if its lease still lives: one call of the
/// cheapest kind in place of two that write, and no news for the other boxes. When 295 boxes
/// come back together, that is 590 calls.
pub async fn stay_registered(
    gw: Rc<Gateway>,
    store: Rc<dyn ControlStore>,
    former: Option<RegisteredBox>,
) {
    if let Some(former) = former {
        take_over(&gw, &*store, former).await;
    }
    let entry = BoxEntry::of(&gw);
    while !gw.is_stopping() {
        gw.telemetry.count_store_call("register");
        match store.register(&entry, LEASE).await {
            Ok(lease) => {
                log::info!(lease, box_name = entry.name.as_str(); "registered");
                hold_lease(&gw, &*store, lease).await;
            }
            Err(err) => {
                gw.store_failed(&err, Now::read());
                sleep(RENEWAL).await;
            }
        }
    }
}

async fn take_over(gw: &Gateway, store: &dyn ControlStore, former: RegisteredBox) {
    gw.telemetry.count_store_call("renew");
    match store.renew(former.lease).await {
        Ok(true) => {
            let (lease, name) = (former.lease, former.entry.name.as_str());
            log::info!(lease, box_name = name; "the former life's registration is taken over");
            hold_lease(gw, store, lease).await;
        }
        Ok(false) => log::info!(lease = former.lease; "the former life's lease is over"),
        Err(err) => gw.store_failed(&err, Now::read()),
    }
}

/// Keeps a lease for as long as it lives.
async fn hold_lease(gw: &Gateway, store: &dyn ControlStore, lease: u64) {
    gw.lease.set(Some(lease));
    keep_lease(gw, store, lease).await;
    gw.lease.set(None);
    log::warn!(lease; "the lease is over");
}

impl BoxEntry {
    /// Returns the entry under which a box registers.
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

/// Renews a lease until the store says that it is over, or the box stops.
async fn keep_lease(gw: &Gateway, store: &dyn ControlStore, lease: u64) {
    loop {
        sleep(RENEWAL).await;
        if gw.is_stopping() {
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

/// Tells whether this box leads: it is the first in line.
pub fn leads(gw: &Gateway, now: Now) -> bool {
    place_in_line(gw, now) == Some(0)
}

/// Returns this box's place among those registered longest that are heard of; none if it hears
/// of less than half of the others, since whoever leads decides by what they count. Two that
/// both think that they lead do no harm, since records are written under a condition.
///
/// By address and not by life, so that a box which was restarted leads at once and not only
/// when the lease of its last life is over.
pub fn place_in_line(gw: &Gateway, now: Now) -> Option<usize> {
    let own = gw.settings().peer_addr;
    let knowledge = gw.knowledge.borrow();
    let boxes = knowledge.boxes_by_age();
    let lively = gw.last_contacts.borrow().lively(&boxes, own, now);
    let hears_enough = lively.len() * 2 > boxes.len();
    let place = lively.iter().position(|entry| entry.address == own);
    place.filter(|_| hears_enough)
}
