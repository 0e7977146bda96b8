//! Keeps a box's knowledge fresh.
//!
//! A watch brings changes as they happen; a cheap linearizable call bounds the age of
//! what is known, since a watch may be silent while changes are made. A watch whose
//! history is gone, or that has fallen behind, is replaced by reading everything.
//! See `docs/design/platform.md`.

use super::Gateway;
use super::control::{ControlStore, Watched};
use crate::clock::Now;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long one watch waits. Watches are answered at once on a change, so this only
/// bounds how long a dead one is held.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// The pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// The time between two checks of the store's revision. Operators' changes have to be in
/// force within two seconds of their acknowledgement, also while a watch is silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(900);
/// The time between two tries to connect to upstreams that took no connection.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// How long the watch may take to bring what a check has shown to exist.
const WATCH_LAG: Duration = Duration::from_millis(120);

/// Follows the store for as long as the process lives.
pub async fn follow(gw: Rc<Gateway>, store: Rc<dyn ControlStore>) {
    read_everything(&gw, &*store).await;
    tokio::join!(watch(&gw, &*store), check(&gw, &*store));
}

/// Tries again and again whether upstreams that took no connection take one now, so that
/// no request has to find out.
pub async fn probe_unconnectable(gw: Rc<Gateway>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        let unconnectable: Vec<_> = gw
            .knowledge
            .borrow()
            .upstreams()
            .filter(|upstream| upstream.needs_connection())
            .cloned()
            .collect();
        let probes = unconnectable
            .iter()
            .map(|upstream| gw.connections.probe(upstream));
        futures::future::join_all(probes).await;
    }
}

/// Reads everything, again and again until it succeeds.
async fn read_everything(gw: &Gateway, store: &dyn ControlStore) {
    while !try_read_everything(gw, store).await {
        sleep(FAILURE_PAUSE).await;
    }
}

async fn try_read_everything(gw: &Gateway, store: &dyn ControlStore) -> bool {
    let sent = Now::read();
    gw.telemetry.store_called("list");
    match store.read_all().await {
        Ok(listing) => {
            let now = Now::read();
            gw.store_answered(now);
            let mut knowledge = gw.knowledge.borrow_mut();
            let revision = listing.revision;
            for change in knowledge.apply_all(listing.updates, revision, now) {
                gw.telemetry.learned(&change, "list", revision);
            }
            knowledge.confirm(sent.monotonic);
            true
        }
        Err(err) => {
            gw.store_failed(&err, Now::read());
            false
        }
    }
}

async fn watch(gw: &Gateway, store: &dyn ControlStore) {
    loop {
        let after = gw.knowledge.borrow().revision();
        gw.telemetry.store_called("watch");
        match store.watch(after, WATCH_WAIT).await {
            Ok(Watched::Changes(updates, revision)) => {
                let now = Now::read();
                gw.store_answered(now);
                let mut knowledge = gw.knowledge.borrow_mut();
                for update in updates {
                    let change = knowledge.apply(update, now);
                    gw.telemetry.learned(&change, "watch", revision);
                }
                knowledge.reached(revision);
            }
            Ok(Watched::HistoryGone) => {
                log::warn!(after; "the store's history is gone, everything is read anew");
                read_everything(gw, store).await;
            }
            Err(err) => {
                gw.store_failed(&err, Now::read());
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// Bounds the age of what is known.
async fn check(gw: &Gateway, store: &dyn ControlStore) {
    loop {
        let sent = Now::read();
        gw.telemetry.store_called("check");
        match store.read_revision().await {
            Ok(revision) => {
                gw.store_answered(Now::read());
                if gw.knowledge.borrow().revision() < revision {
                    sleep(WATCH_LAG).await;
                }
                if gw.knowledge.borrow().revision() >= revision {
                    gw.knowledge.borrow_mut().confirm(sent.monotonic);
                } else {
                    log::warn!(revision; "the watch has fallen behind, everything is read anew");
                    try_read_everything(gw, store).await;
                }
            }
            Err(err) => gw.store_failed(&err, Now::read()),
        }
        tidy(gw);
        let spent = Now::read().monotonic.saturating_sub(sent.monotonic);
        sleep(CHECK_INTERVAL.saturating_sub(spent).max(FAILURE_PAUSE)).await;
    }
}

fn tidy(gw: &Gateway) {
    let now = Now::read();
    let mut knowledge = gw.knowledge.borrow_mut();
    for change in knowledge.drop_lapsed(now) {
        gw.telemetry.learned(&change, "lapse", knowledge.revision());
    }
    gw.telemetry.aged(knowledge.age(now));
    drop(knowledge);
    gw.connections.close_stale(now);
    gw.sessions.borrow_mut().forget(now);
}
