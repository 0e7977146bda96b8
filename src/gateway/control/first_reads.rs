//! How a box that starts learns everything, also where hundreds start at a time.
//!
//! Everything takes some hundred kilobytes as the store writes it. One box reads that in a
//! tenth of a second; 295 boxes that lost power together share the store's link for 1.4 s.
//! So in each hall the few boxes with the widest links read the store, and the others get it
//! from them, compressed and packed once for all. Nobody is elected and nobody is waited for
//! without end: each box has a turn at which it reads the store by itself if nothing has come
//! until then. See `docs/design/starting.md`.

use super::follow::{read_everything, take_changes};
use super::store::{BoxEntry, ControlStore, RegisteredBox};
use crate::clock::{Now, millis};
use crate::gateway::Gateway;
use crate::gateway::peers::fetch::{Everything, Progress, fetch_everything};
use futures::future::{Either, select};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::time::sleep;

/// Boxes of a hall that read the store at once: one may be dead and one slow. In six halls
/// they read 11 MB, a tenth of a second of the store's link.
const READERS: usize = 3;
/// The fewest readers of a hall with as many boxes: one may be dead.
const LEAST_READERS: usize = 2;
/// How many times narrower than the widest link that of a reader may be. Everything takes a narrow
/// box of 10 Mbit/s half a second to read, and a wide one of 200 a few milliseconds.
const TIMES_NARROWER: u32 = 4;
/// The time after which the first of the others reads the store by itself. The readers take
/// some 0.1 s to read and as long to unpack it with an eighth of a core.
const FIRST_TURN: Duration = Duration::from_millis(300);
/// What the first turn waits for beyond that, in times that a call took: a slow store keeps
/// the readers for a few calls.
const CALLS_OF_A_READER: u32 = 3;
/// The time between the turns of two boxes of a hall: the store's link carries what one box
/// in each of six halls reads in 30 ms.
const TURN_INTERVAL: Duration = Duration::from_millis(30);
/// The pause before the next reader is asked after one that failed.
const NEXT_READER_PAUSE: Duration = Duration::from_millis(20);
/// How often it is looked, once a turn has come, whether bytes still come from a reader.
const PROGRESS_LOOK: Duration = Duration::from_millis(10);

/// What a box does to learn everything.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FirstRead {
    /// It reads the store at once.
    Store,
    /// It asks boxes of its hall, in this order.
    Boxes {
        /// The boxes, beginning anew at the end.
        readers: Vec<SocketAddr>,
        /// How long until it reads the store by itself.
        turn: Duration,
    },
}

/// The box that starts.
#[derive(Debug, Clone, Copy)]
pub struct Own {
    /// Where other boxes reach it.
    pub address: SocketAddr,
    /// The rate of its link in megabits a second.
    pub link_mbps: u32,
}

/// Decides how a box learns everything, by the boxes that are registered in its hall and by
/// how long the store took to say so.
///
/// Entries of former lives count: a box that lost its power is back at its address.
pub fn plan<'a>(
    own: Own,
    hall: impl IntoIterator<Item = &'a BoxEntry>,
    call_took: Duration,
) -> FirstRead {
    let mut links = BTreeMap::from([(own.address, own.link_mbps)]);
    for entry in hall {
        let link = links.entry(entry.address).or_default();
        *link = entry.link_mbps.max(*link);
    }
    let mut order: Vec<(Reverse<u32>, SocketAddr)> = links
        .into_iter()
        .map(|(address, link)| (Reverse(link), address))
        .collect();
    order.sort_unstable();
    let readers = reader_count(&order);
    let order: Vec<SocketAddr> = order.into_iter().map(|(_, address)| address).collect();
    let place = order.iter().position(|address| *address == own.address);
    let place = place.unwrap_or(order.len());
    if place < readers.reading {
        return FirstRead::Store;
    }
    let turns_before = u32::try_from(place - readers.reading).unwrap_or(u32::MAX);
    let mut asked = order;
    asked.truncate(readers.reading);
    // In turn, so that each reader has as many to tell; the narrow ones are asked last.
    let (wide, _narrow) = asked.split_at_mut(readers.wide);
    wide.rotate_left(place % readers.wide);
    FirstRead::Boxes {
        readers: asked,
        turn: FIRST_TURN + CALLS_OF_A_READER * call_took + turns_before * TURN_INTERVAL,
    }
}

/// The boxes of a hall that read the store at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReaderCount {
    /// All of them, one at least.
    reading: usize,
    /// Those among them whose links are about as wide as the widest one.
    wide: usize,
}

/// Returns how many boxes of a hall read the store at once, by their links, the widest first.
///
/// A narrow one takes many times as long as a wide one, and whoever asks it waits for that, so it
/// is a reader only where there would be one alone.
fn reader_count(order: &[(Reverse<u32>, SocketAddr)]) -> ReaderCount {
    let widest = order.first().map_or(0, |(Reverse(link), _)| *link);
    let is_wide = |(Reverse(link), _): &&(Reverse<u32>, SocketAddr)| {
        link.saturating_mul(TIMES_NARROWER) > widest || widest == 0
    };
    let wide = order
        .iter()
        .take(READERS)
        .take_while(is_wide)
        .count()
        .max(1);
    ReaderCount {
        reading: wide.max(LEAST_READERS).min(order.len().max(1)),
        wide,
    }
}

/// The boxes of the own hall, as the store told them.
#[derive(Debug)]
pub struct Hall {
    boxes: Vec<RegisteredBox>,
    call_took: Duration,
}

impl Hall {
    /// Tells whether no box is registered in the hall.
    pub fn is_empty(&self) -> bool {
        self.boxes.is_empty()
    }

    /// Returns what a former life of this box left registered, if it would be registered the
    /// same way again.
    pub fn former_entry(&self, gw: &Gateway) -> Option<RegisteredBox> {
        let own = BoxEntry::of(gw);
        let is_same = |known: &&RegisteredBox| {
            let same_box = BoxEntry {
                name: own.name.clone(),
                registered: own.registered,
                ..known.entry.clone()
            };
            same_box == own
        };
        self.boxes.iter().find(is_same).cloned()
    }

    fn plan(&self, gw: &Gateway) -> FirstRead {
        let settings = gw.settings();
        let own = Own {
            address: settings.peer_addr,
            link_mbps: settings.link_mbps,
        };
        let boxes = self.boxes.iter().map(|known| &known.entry);
        plan(own, boxes, self.call_took)
    }
}

/// Asks the store which boxes are in the hall; none where it does not say.
pub async fn read_hall(gw: &Gateway, store: &dyn ControlStore) -> Option<Hall> {
    let settings = gw.settings();
    let sent = Now::read();
    gw.telemetry.count_store_call("hall");
    match store.read_hall(&settings.hall).await {
        Ok(boxes) => {
            let now = Now::read();
            gw.store_answered(now);
            let call_took = now.monotonic.saturating_sub(sent.monotonic);
            Some(Hall { boxes, call_took })
        }
        Err(err) => {
            gw.store_failed(&err, Now::read());
            None
        }
    }
}

/// Learns everything that the store holds, from boxes of the hall or from the store itself.
pub async fn learn_everything(gw: &Gateway, store: &dyn ControlStore, hall: Option<Hall>) {
    let plan = hall.map_or(FirstRead::Store, |hall| hall.plan(gw));
    match plan {
        FirstRead::Store => read_everything(gw, store).await,
        FirstRead::Boxes { readers, turn } => {
            log::info!(
                readers = readers.len(),
                turn_ms = millis(turn);
                "everything is asked of boxes of this hall"
            );
            let progress = Progress::default();
            let told = ask_readers(gw, store, &readers, &progress);
            let own_turn = read_at_turn(gw, store, turn, &progress);
            match select(pin!(told), pin!(own_turn)).await {
                Either::Left(_) => {}
                Either::Right(_) => log::info!("nothing came from boxes, the store was read"),
            }
        }
    }
}

/// Asks one reader after the other until one has told everything.
async fn ask_readers(
    gw: &Gateway,
    store: &dyn ControlStore,
    readers: &[SocketAddr],
    progress: &Progress,
) {
    for reader in readers.iter().cycle() {
        let asked = Now::read();
        progress.begin_anew();
        let from = reader.to_string();
        match fetch_everything(*reader, progress).await {
            Ok(everything) if take(gw, store, &everything, asked) => {
                let took = Now::read().monotonic.saturating_sub(asked.monotonic);
                log::info!(
                    from = from.as_str(),
                    bytes = progress.bytes(),
                    took_ms = millis(took);
                    "everything was told by a box"
                );
                return;
            }
            Ok(_) => log::warn!(from = from.as_str(); "what came is of no use"),
            Err(err) => log::debug!(from = from.as_str(); "everything did not come: {err}"),
        }
        progress.begin_anew();
        sleep(NEXT_READER_PAUSE).await;
    }
}

/// Takes what a reader told; false if it cannot be used.
fn take(gw: &Gateway, store: &dyn ControlStore, told: &Everything, asked: Now) -> bool {
    gw.telemetry.count_item_bytes("first", told.changes.len());
    let as_of = told.as_of(asked);
    let unpacked = gw.mirror.borrow().unpack(told.changes.clone());
    let changes = match unpacked {
        Ok(changes) if changes.is_all && changes.revision > 0 => changes,
        _ => return false,
    };
    take_changes(gw, store, changes, "first");
    if let Some(as_of) = as_of {
        gw.confirm_fresh_as_of(as_of);
    }
    gw.knowledge.borrow().routes().is_some()
}

/// Reads the store by itself once the turn has come, unless bytes come from a reader.
async fn read_at_turn(gw: &Gateway, store: &dyn ControlStore, turn: Duration, progress: &Progress) {
    sleep(turn).await;
    while progress.bytes() > 0 {
        sleep(PROGRESS_LOOK).await;
    }
    read_everything(gw, store).await;
}
