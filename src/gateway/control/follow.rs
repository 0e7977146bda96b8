//! Keeps a box's knowledge fresh.
//!
//! Two boxes, the hubs, call the store: a watch brings changes as they happen, and a
//! cheap linearizable call bounds the age of what is known, since a watch may be silent
//! while changes are made. The other boxes ask a hub ([`crate::gateway::peers::hubs`]) and
//! call the store only when what they know grows old. See `docs/design/platform.md`.

use super::first_reads::{Hall, learn_everything, read_hall};
use super::knowledge::Change;
use super::membership::stay_registered;
use super::mirror::Changes;
use super::store::{ControlStore, Item, Watched};
use crate::clock::Now;
use crate::gateway::Gateway;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long one watch waits. Watches are answered at once on a change, so this only
/// bounds how long a dead one is held.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// The pause between two watches, in which changes gather: each watch is a priced call.
const WATCH_PAUSE: Duration = Duration::from_millis(120);
/// The pause after a failed call; refused calls are priced too.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// The longest pause of a hub after failed calls in a row, each twice as long as the one
/// before.
const LONGEST_HUB_PAUSE: Duration = Duration::from_millis(1000);
/// The same for every other box. It asks the hubs and some boxes beside them several times
/// a second and hears from them that the store is back; while it was away, the calls of 83
/// boxes of their own were most of what calls cost (docs/design/platform.md).
const LONGEST_PAUSE: Duration = Duration::from_millis(3000);
/// The age of knowledge at which a hub checks the store's revision. Operators' changes
/// have to be in force within two seconds of their acknowledgement, also while a watch is
/// silent. What the other boxes know is older by a question's interval and by the way, and
/// has to stay under [`crate::gateway::settings::Bounds::own_check_age`] though one datagram is lost: at 0.9 s it did not, and 67
/// boxes made 240 calls of their own in 27 s that they make no more.
const HUB_AGE: Duration = Duration::from_millis(650);
/// How often the age is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Items that are logged one by one when they come together. A box that starts learns of
/// all upstreams and boxes, 750 where 295 boxes start together; a line each would push other
/// lines out of the log's queue.
const MOST_LINES: usize = 100;
/// How often tidying is due.
const TIDY_INTERVAL: Duration = Duration::from_millis(500);
/// How long a reading of changes may wait for some, which a check has shown to exist.
const CHANGES_WAIT: Duration = Duration::from_millis(50);
/// How long the watch may take to bring what a check has shown to exist.
const WATCH_LAG: Duration = Duration::from_millis(150);

/// How many pages may fail while a check reads everything, before the next check.
const FAILURES_OF_A_CHECK: u32 = 3;
/// The longest wait for the box's registration before everything is read. Registering
/// takes two calls of 4 ms; a box that reads after it knows the hubs from the start.
const REGISTRATION_WAIT: Duration = Duration::from_millis(100);
/// How often it is looked for the registration.
const REGISTRATION_LOOK: Duration = Duration::from_millis(4);

/// Follows the store for as long as the process lives.
pub async fn follow(gw: Rc<Gateway>, store: Rc<dyn ControlStore>) {
    let hall = register_and_read_hall(&gw, &store).await;
    learn_everything(&gw, &*store, hall).await;
    tokio::join!(watch(&gw, &*store), check(&gw, &*store));
}

/// Registers the box, and returns which boxes there are in its hall.
///
/// A box that comes back finds what its former life left there. Where all have been away for
/// longer than their leases, or never were there, it takes a look once it is registered.
async fn register_and_read_hall(gw: &Rc<Gateway>, store: &Rc<dyn ControlStore>) -> Option<Hall> {
    let mut hall = None;
    if !gw.settings().is_first_start {
        hall = read_hall(gw, &**store).await;
    }
    let former = hall.as_ref().and_then(|hall| hall.former_entry(gw));
    actix_rt::spawn(stay_registered(gw.clone(), store.clone(), former));
    await_registration(gw).await;
    match hall {
        Some(hall) if !hall.is_empty() => Some(hall),
        _ => read_hall(gw, &**store).await,
    }
}

async fn await_registration(gw: &Gateway) {
    let registered = async {
        while gw.lease.get().is_none() {
            sleep(REGISTRATION_LOOK).await;
        }
    };
    if tokio::time::timeout(REGISTRATION_WAIT, registered)
        .await
        .is_err()
    {
        log::info!("everything is read before this box is registered");
    }
}

/// Tidies up for as long as the process lives.
pub async fn tidy(gw: Rc<Gateway>) {
    loop {
        sleep(TIDY_INTERVAL).await;
        let now = Now::read();
        let mut knowledge = gw.knowledge.borrow_mut();
        for change in knowledge.drop_lapsed(now) {
            gw.telemetry
                .record_change(&change, "lapse", gw.mirror.borrow().revision());
        }
        gw.telemetry
            .record_knowledge_age(knowledge.age(now), knowledge.lag(now));
        knowledge.forget_leaving(now);
        gw.telemetry
            .record_faulty_upstreams(knowledge.faulty_count());
        drop(knowledge);
        gw.connections.close_stale(now);
        gw.sessions.borrow_mut().forget(now);
    }
}

/// Takes items into what the box knows.
pub fn take_changes(gw: &Gateway, store: &dyn ControlStore, changes: Changes, source: &str) {
    let now = Now::read();
    let revision = changes.revision;
    let mut mirror = gw.mirror.borrow_mut();
    let news = match changes.is_all {
        true => mirror.take_all(changes.items, revision),
        false => mirror.take(changes.items, revision),
    };
    drop(mirror);
    let reached = gw.mirror.borrow().revision();
    let mut knowledge = gw.knowledge.borrow_mut();
    knowledge.hear_of_store(now);
    let lag = knowledge.lag(now);
    let summarized = news.len() > MOST_LINES;
    if summarized {
        log::info!(source, revision, items = news.len(); "learned much at once");
    }
    for item in &news {
        if let Some(update) = store.decode(item) {
            let change = knowledge.apply(update, now);
            if !(summarized && change.is_addition()) {
                gw.telemetry.record_change(&change, source, revision);
            }
            if let Change::Routes(version) = change {
                let bytes = item.value.as_ref().map_or(0, Vec::len);
                gw.telemetry.record_config_in_force(
                    version,
                    source,
                    bytes,
                    lag,
                    knowledge.age(now),
                );
            }
        }
    }
    knowledge.reach(reached);
    if !news.is_empty() {
        gw.items_changed.notify_waiters();
    }
}

/// Takes some of the items that lead to a revision, which is not reached with them alone.
///
/// A box that waits for a large item goes by the small ones meanwhile: an upstream that
/// leaves must get no new work after two or three seconds.
pub fn take_part(gw: &Gateway, store: &dyn ControlStore, changes: Changes, source: &str) {
    let part = Changes {
        revision: 0,
        is_all: false,
        ..changes
    };
    take_changes(gw, store, part, source);
}

fn take_items(
    gw: &Gateway,
    store: &dyn ControlStore,
    items: Vec<Item>,
    revision: u64,
    source: &str,
) {
    let changes = Changes {
        after: gw.mirror.borrow().revision(),
        revision,
        is_all: false,
        items,
    };
    take_changes(gw, store, changes, source);
}

/// Reads everything, again and again until it succeeds.
pub async fn read_everything(gw: &Gateway, store: &dyn ControlStore) {
    read_pages(gw, store, u32::MAX).await;
}

/// Reads everything page by page; false after too many failures.
///
/// A page that fails is asked for again, and not everything from the start: where each third
/// call is turned away, six pages never came through in one go (platform/tests/first_reads.rs).
async fn read_pages(gw: &Gateway, store: &dyn ControlStore, most_failures: u32) -> bool {
    let mut listing = Listing::begin(Now::read());
    let mut backoff = Backoff::new();
    let mut failures = 0;
    while !listing.is_whole {
        if listing.read_page(gw, store).await {
            continue;
        }
        failures += 1;
        if failures >= most_failures {
            return false;
        }
        backoff.pause(LONGEST_HUB_PAUSE).await;
    }
    listing.take(gw, store);
    true
}

/// Everything that the store holds, as far as it has been read.
struct Listing {
    began: Duration,
    items: Vec<Item>,
    /// The revision of the first page. Later pages are newer; watching on from the first one
    /// misses nothing.
    revision: Option<u64>,
    next: Option<String>,
    is_whole: bool,
}

impl Listing {
    fn begin(now: Now) -> Self {
        Self {
            began: now.monotonic,
            items: Vec::new(),
            revision: None,
            next: None,
            is_whole: false,
        }
    }

    /// Reads the next page; false if the store did not answer.
    async fn read_page(&mut self, gw: &Gateway, store: &dyn ControlStore) -> bool {
        gw.telemetry.count_store_call("list");
        let page = match store.read_page(self.next.as_deref()).await {
            Ok(page) => page,
            Err(err) => {
                gw.store_failed(&err, Now::read());
                return false;
            }
        };
        gw.store_answered(Now::read());
        self.revision.get_or_insert(page.revision);
        self.items.extend(page.items);
        self.is_whole = page.next.is_none();
        self.next = page.next;
        true
    }

    fn take(self, gw: &Gateway, store: &dyn ControlStore) {
        let changes = Changes {
            after: 0,
            revision: self.revision.unwrap_or_default(),
            is_all: true,
            items: self.items,
        };
        take_changes(gw, store, changes, "list");
        gw.confirm_fresh_as_of(self.began);
    }
}

/// The pause after the next failure.
struct Backoff(Duration);

impl Backoff {
    fn new() -> Self {
        Self(FAILURE_PAUSE)
    }

    async fn pause(&mut self, longest: Duration) {
        sleep(self.0).await;
        self.0 = (self.0 * 2).min(longest);
    }
}

/// Watches the store while this box is a hub.
async fn watch(gw: &Gateway, store: &dyn ControlStore) {
    let mut backoff = Backoff::new();
    loop {
        sleep(WATCH_PAUSE).await;
        if !gw.is_hub() {
            continue;
        }
        let after = gw.mirror.borrow().revision();
        gw.telemetry.count_store_call("watch");
        match store.watch(after, WATCH_WAIT).await {
            Ok(Watched::Changes(items, revision)) => {
                gw.store_answered(Now::read());
                backoff = Backoff::new();
                take_items(gw, store, items, revision, "watch");
            }
            Ok(Watched::HistoryGone) => {
                log::warn!(after; "the store's history is gone, everything is read anew");
                read_everything(gw, store).await;
            }
            Err(err) => {
                gw.store_failed(&err, Now::read());
                backoff.pause(LONGEST_HUB_PAUSE).await;
            }
        }
    }
}

/// Bounds the age of what is known.
async fn check(gw: &Gateway, store: &dyn ControlStore) {
    let mut backoff = Backoff::new();
    loop {
        sleep(LOOK_INTERVAL).await;
        let age = gw.knowledge.borrow().age(Now::read());
        let oldest = match gw.is_hub() {
            true => HUB_AGE,
            false => gw.settings().bounds.store_check_age(),
        };
        if age.is_some_and(|age| age < oldest) || is_receiving(gw, store) {
            continue;
        }
        match check_once(gw, store).await {
            true => backoff = Backoff::new(),
            false if gw.is_hub() => backoff.pause(LONGEST_HUB_PAUSE).await,
            false => backoff.pause(LONGEST_PAUSE).await,
        }
    }
}

/// Compares the store's revision with what is known; false if the store did not answer.
async fn check_once(gw: &Gateway, store: &dyn ControlStore) -> bool {
    let sent = Now::read();
    gw.telemetry.count_store_call("check");
    let revision = match store.read_revision().await {
        Ok(revision) => revision,
        Err(err) => {
            gw.store_failed(&err, Now::read());
            return false;
        }
    };
    let now = Now::read();
    gw.store_answered(now);
    if is_behind(gw, revision) {
        gw.knowledge.borrow_mut().hear_of_newer(revision, now);
        sleep(WATCH_LAG).await;
    }
    if is_behind(gw, revision) && is_receiving(gw, store) {
        log::info!(revision; "this box is behind, what it lacks is on its way");
        return true;
    }
    if is_behind(gw, revision) && !read_changes(gw, store).await {
        return false;
    }
    if is_behind(gw, revision) {
        log::info!(revision; "changes did not bring this box up to date, everything is read anew");
        return read_pages(gw, store, FAILURES_OF_A_CHECK).await;
    }
    gw.confirm_fresh_as_of(sent.monotonic);
    true
}

/// Tells whether something is on its way to this box, perhaps what it lacks: a second copy
/// beside it would only make both late.
fn is_receiving(gw: &Gateway, store: &dyn ControlStore) -> bool {
    gw.hub_queries.is_fetching() || store.is_receiving()
}

fn is_behind(gw: &Gateway, revision: u64) -> bool {
    gw.mirror.borrow().revision() < revision
}

/// Reads from the store what came since, which is a small part of everything; false if the
/// store did not answer. It may have forgotten, or keep silent of changes.
async fn read_changes(gw: &Gateway, store: &dyn ControlStore) -> bool {
    let after = gw.mirror.borrow().revision();
    log::info!(after; "this box has fallen behind, the changes are read");
    gw.telemetry.count_store_call("changes");
    match store.watch(after, CHANGES_WAIT).await {
        Ok(Watched::Changes(items, revision)) => take_items(gw, store, items, revision, "changes"),
        Ok(Watched::HistoryGone) => log::warn!(after; "the store's history is gone"),
        Err(err) => {
            gw.store_failed(&err, Now::read());
            return false;
        }
    }
    true
}
