//! Initial sync: how a starting box gets the complete control-plane state, even when hundreds of
//! boxes start at once.
//!
//! The complete state is some hundred kilobytes as the store sends it. A single box reads that in
//! 0.1 s, but 295 boxes that lost power together share the store's link and take 1.4 s. Therefore,
//! in each hall only the few boxes with the widest links read the store, and the others fetch the
//! state from them, compressed and packed once for all. There is no election and no unbounded wait:
//! each box reads the store itself after a staggered delay if it has received nothing until then.
//! See `docs/design/starting.md`.

use super::store::{BoxEntry, ControlStore, RegisteredBox};
use super::store_sync::{apply_changes, read_snapshot};
use crate::clock::{Now, millis};
use crate::gateway::Gateway;
use crate::gateway::peers::fetch::{FetchProgress, Snapshot, StallTimeout, fetch_snapshot};
use futures::future::{Either, select};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::time::sleep;

/// The most boxes of a hall that read the store at once, so that one may be down and one slow. In
/// six halls they read 11 MB, which takes 0.1 s of the store's link.
const MAX_READERS: usize = 3;
/// The fewest boxes of a hall that read the store, if the hall has as many: one may be down.
const MIN_READERS: usize = 2;
/// A reader's link must be less than this many times narrower than the widest one. Reading the
/// complete state takes 0.5 s at 10 Mbit/s and a few milliseconds at 200 Mbit/s.
const MAX_LINK_RATIO: u32 = 4;
/// The delay after which the first of the other boxes reads the store itself. The readers take
/// about 0.1 s to read the state and as long to unpack it with an eighth of a core.
const FIRST_STORE_READ_DELAY: Duration = Duration::from_millis(300);
/// The number of call durations added to that delay: a slow store keeps the readers busy for a few
/// calls.
const STORE_CALLS_PER_READER: u32 = 3;
/// The additional delay of each further box of a hall: in 30 ms the store's link carries what one
/// box in each of six halls reads.
const STORE_READ_STAGGER: Duration = Duration::from_millis(30);
/// The pause after a failed reader before the next one is tried.
const NEXT_READER_DELAY: Duration = Duration::from_millis(20);
/// How often a box whose delay has passed checks whether bytes still arrive from a reader.
const PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How a box gets the complete state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SyncPlan {
    /// Read the store at once.
    ReadStore,
    /// Fetch from boxes of the own hall.
    FetchFromBoxes {
        /// The boxes to try, in this order, starting over at the end.
        readers: Vec<SocketAddr>,
        /// After this delay the box reads the store itself.
        store_read_delay: Duration,
    },
}

/// The box that starts.
#[derive(Debug, Clone, Copy)]
pub struct StartingBox {
    /// The address at which other boxes reach it.
    pub address: SocketAddr,
    /// The bandwidth of its link in megabits per second.
    pub link_mbps: u32,
}

/// Decides how a box gets the complete state, given the boxes registered in its hall and the
/// duration of the store call that listed them.
///
/// Entries of processes that have ended count too: a box that lost power is back at the same
/// address.
pub fn plan_initial_sync<'a>(
    own: StartingBox,
    hall: impl IntoIterator<Item = &'a BoxEntry>,
    call_duration: Duration,
) -> SyncPlan {
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
    let readers = count_readers(&order);
    let order: Vec<SocketAddr> = order.into_iter().map(|(_, address)| address).collect();
    let rank = order.iter().position(|address| *address == own.address);
    let rank = rank.unwrap_or(order.len());
    if rank < readers.total {
        return SyncPlan::ReadStore;
    }
    let boxes_ahead = u32::try_from(rank - readers.total).unwrap_or(u32::MAX);
    let mut addresses = order;
    addresses.truncate(readers.total);
    // Rotated so that each reader serves about as many boxes; the narrow ones are tried last.
    let (wide, _narrow) = addresses.split_at_mut(readers.wide);
    wide.rotate_left(rank % readers.wide);
    SyncPlan::FetchFromBoxes {
        readers: addresses,
        store_read_delay: FIRST_STORE_READ_DELAY
            + STORE_CALLS_PER_READER * call_duration
            + boxes_ahead * STORE_READ_STAGGER,
    }
}

/// How many boxes of a hall read the store at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReaderCounts {
    /// All readers, at least one.
    total: usize,
    /// The readers among them whose links are about as wide as the widest one.
    wide: usize,
}

/// Returns how many boxes of a hall read the store at once. `order` lists their links, the widest
/// first.
///
/// A narrow link takes many times as long as a wide one, and so do the boxes that wait for it. A
/// box with a narrow link is a reader only if there would otherwise be a single reader.
fn count_readers(order: &[(Reverse<u32>, SocketAddr)]) -> ReaderCounts {
    let widest = order.first().map_or(0, |(Reverse(link), _)| *link);
    let is_wide = |(Reverse(link), _): &&(Reverse<u32>, SocketAddr)| {
        link.saturating_mul(MAX_LINK_RATIO) > widest || widest == 0
    };
    let wide = order
        .iter()
        .take(MAX_READERS)
        .take_while(is_wide)
        .count()
        .max(1);
    ReaderCounts {
        total: wide.max(MIN_READERS).min(order.len().max(1)),
        wide,
    }
}

/// The boxes registered in the own hall, as the store listed them.
#[derive(Debug)]
pub struct HallBoxes {
    boxes: Vec<RegisteredBox>,
    call_duration: Duration,
}

impl HallBoxes {
    /// Returns whether no box is registered in the hall.
    pub fn is_empty(&self) -> bool {
        self.boxes.is_empty()
    }

    /// Returns the registration that a previous process of this box left, if this process would
    /// register identically.
    pub fn previous_registration(&self, gw: &Gateway) -> Option<RegisteredBox> {
        let own = BoxEntry::of(gw);
        let is_equivalent = |known: &&RegisteredBox| {
            let same_box = BoxEntry {
                name: own.name.clone(),
                registered: own.registered,
                ..known.entry.clone()
            };
            same_box == own
        };
        self.boxes.iter().find(is_equivalent).cloned()
    }

    fn plan(&self, gw: &Gateway) -> SyncPlan {
        let settings = gw.settings();
        let own = StartingBox {
            address: settings.peer_addr,
            link_mbps: settings.link_mbps,
        };
        let boxes = self.boxes.iter().map(|known| &known.entry);
        plan_initial_sync(own, boxes, self.call_duration)
    }
}

/// Reads from the store which boxes are registered in the hall; `None` if the call fails.
pub async fn read_hall(gw: &Gateway, store: &dyn ControlStore) -> Option<HallBoxes> {
    let settings = gw.settings();
    let sent = Now::read();
    gw.telemetry.count_store_call("hall");
    match store.read_hall(&settings.hall).await {
        Ok(boxes) => {
            let now = Now::read();
            gw.store_answered(now);
            let call_duration = now.monotonic.saturating_sub(sent.monotonic);
            Some(HallBoxes {
                boxes,
                call_duration,
            })
        }
        Err(err) => {
            gw.store_failed(&err, Now::read());
            None
        }
    }
}

/// Gets the complete state from boxes of the hall or from the store itself.
pub async fn run_initial_sync(gw: &Gateway, store: &dyn ControlStore, hall: Option<HallBoxes>) {
    let plan = hall.map_or(SyncPlan::ReadStore, |hall| hall.plan(gw));
    match plan {
        SyncPlan::ReadStore => read_snapshot(gw, store).await,
        SyncPlan::FetchFromBoxes {
            readers,
            store_read_delay,
        } => {
            log::info!(
                readers = readers.len(),
                turn_ms = millis(store_read_delay);
                "fetching the initial state from boxes of this hall"
            );
            let progress = FetchProgress::default();
            let from_readers = fetch_from_readers(gw, store, &readers, &progress);
            let from_store = read_store_after_delay(gw, store, store_read_delay, &progress);
            match select(pin!(from_readers), pin!(from_store)).await {
                Either::Left(_) => {}
                Either::Right(_) => log::info!("nothing came from boxes, the store was read"),
            }
        }
    }
}

/// Tries one reader after the other until one has sent a usable snapshot.
async fn fetch_from_readers(
    gw: &Gateway,
    store: &dyn ControlStore,
    readers: &[SocketAddr],
    progress: &FetchProgress,
) {
    let mut stall_timeout = StallTimeout::default();
    for reader in readers.iter().cycle() {
        let sent_at = Now::read();
        progress.reset();
        let from = reader.to_string();
        let fetched = fetch_snapshot(*reader, stall_timeout, progress).await;
        let elapsed = Now::read().monotonic.saturating_sub(sent_at.monotonic);
        stall_timeout = stall_timeout.after(fetched.is_ok(), elapsed);
        match fetched {
            Ok(snapshot) if apply_snapshot(gw, store, &snapshot, sent_at) => {
                log::info!(
                    from = from.as_str(),
                    bytes = progress.bytes(),
                    took_ms = millis(elapsed);
                    "fetched the initial state from a box"
                );
                return;
            }
            Ok(_) => log::warn!(from = from.as_str(); "the fetched initial state is unusable"),
            Err(err) => {
                log::debug!(from = from.as_str(); "fetching the initial state failed: {err}")
            }
        }
        progress.reset();
        sleep(NEXT_READER_DELAY).await;
    }
}

/// Applies a reader's snapshot; returns false if it is unusable.
fn apply_snapshot(
    gw: &Gateway,
    store: &dyn ControlStore,
    snapshot: &Snapshot,
    sent_at: Now,
) -> bool {
    gw.telemetry
        .count_item_bytes("first", snapshot.changes.len());
    let as_of = snapshot.as_of(sent_at);
    let unpacked = gw.mirror.borrow_mut().unpack(snapshot.changes.clone());
    let changes = match unpacked {
        Ok(changes) if changes.is_snapshot && changes.revision > 0 => changes,
        _ => return false,
    };
    apply_changes(gw, store, changes, "first");
    if let Some(as_of) = as_of {
        gw.confirm_fresh_as_of(as_of, Now::read());
    }
    gw.knowledge.borrow().routes().is_some()
}

/// Reads the store after the delay, unless a transfer from a reader is in progress by then.
async fn read_store_after_delay(
    gw: &Gateway,
    store: &dyn ControlStore,
    store_read_delay: Duration,
    progress: &FetchProgress,
) {
    sleep(store_read_delay).await;
    while progress.bytes() > 0 {
        sleep(PROGRESS_POLL_INTERVAL).await;
    }
    read_snapshot(gw, store).await;
}
