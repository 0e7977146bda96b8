//! What the gateway needs of the platform's metadata store, in the gateway's words.
//!
//! An adapter implements [`ControlStore`]; everything that is agreed between boxes or
//! has to last goes through it. See `docs/design/platform.md`.

use crate::gateway::admit::routes::RouteTable;
use crate::gateway::versions::seen::Seen;
use crate::store::StoreResult;
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// One item of the store, or the news that it is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The item's key.
    pub key: String,
    /// The item's bytes; none if it is gone.
    pub value: Option<Vec<u8>>,
    /// The store's revision of the last change.
    pub revision: u64,
    /// The store's revision at which the item was made.
    pub created: u64,
}

impl Item {
    /// Makes the news that an item is gone since a revision.
    pub fn deleted(key: &str, revision: u64) -> Self {
        Self {
            key: key.to_owned(),
            value: None,
            revision,
            created: 0,
        }
    }

    /// Tells whether the item is gone.
    pub fn is_deleted(&self) -> bool {
        self.value.is_none()
    }
}

/// A change of one item of the store, decoded.
#[derive(Debug, Clone)]
pub enum Update {
    /// The operators' newest configuration.
    Routes(Arc<RouteTable>),
    /// An upstream that is listed, in its newest state.
    Upstream(Box<ListedUpstream>),
    /// The upstream of this instance is not listed any more.
    UpstreamGone(String),
    /// The entry of an upstream that cannot be read; another writer spoilt it, so what it
    /// said before does not count any more either.
    UpstreamFaulty {
        /// The upstream's id.
        instance: String,
        /// What is wrong with the entry.
        reason: String,
    },
    /// The operators' newest roll-out order of a service.
    RolloutOrdered(RolloutOrder),
    /// The order of this service was taken back.
    RolloutCancelled(String),
    /// How far the leading box has taken a roll-out.
    RolloutRecorded(RolloutRecord, u64),
    /// The operators want nothing more sent to the upstreams of this hall.
    HallEvacuated(String),
    /// The upstreams of this hall may be used again.
    HallReturned(String),
    /// A box of the fleet, in its newest state.
    Box(BoxEntry),
    /// The box of this name is not registered any more.
    BoxGone(String),
    /// An item that cannot be read; the last good state stays in force.
    Faulty {
        /// The item's key in the store.
        item: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// An upstream, as it lists itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedUpstream {
    /// The upstream's id, which it may keep when it starts again.
    pub instance: String,
    /// When it started, in milliseconds since the Unix epoch; none where it does not say, and
    /// then each start has an id of its own.
    pub born: Option<u64>,
    /// The service that it runs.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The hall in which it stands.
    pub hall: String,
    /// The version of its software.
    pub version: String,
    /// The requests that it runs at a time.
    pub slots: u32,
    /// Whether it is about to leave and takes no new work.
    pub draining: bool,
    /// How much longer it warms up, by its own word when it wrote this; zero once it is warm.
    pub warm_up_left: Duration,
}

impl ListedUpstream {
    /// Returns the life that this entry tells of.
    pub fn life(&self) -> UpstreamLife {
        UpstreamLife {
            instance: self.instance.clone(),
            born: self.born,
        }
    }
}

/// One life of an upstream, from a start to its end.
///
/// An upstream that starts again under its id holds nothing of what it held before, so
/// whatever is remembered of an upstream is remembered of a life and not of an id.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UpstreamLife {
    /// The upstream's id.
    pub instance: String,
    /// When it started; see [`ListedUpstream::born`].
    pub born: Option<u64>,
}

impl fmt::Display for UpstreamLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(f, "{}@{born}", self.instance),
            None => f.write_str(&self.instance),
        }
    }
}

/// An operators' order to move a service to a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: String,
    /// The version that is to serve.
    pub target: String,
    /// The time in which it is to be done, counted from the order.
    pub duration: Duration,
    /// The store's revision of the order; each order has one of its own.
    pub revision: u64,
}

/// How far a roll-out has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// A part of the sessions is served by the target.
    Running,
    /// The target serves all.
    Done,
    /// The target was found bad and serves nobody.
    Reverted,
}

/// The leading box's record of a roll-out, kept in the store so that it outlasts boxes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The service.
    pub service: String,
    /// The version that is brought in.
    pub target: String,
    /// The store's revision of the order that this record answers.
    pub order_revision: u64,
    /// How far it has come.
    pub state: RolloutState,
    /// The part of the sessions that the target serves, in thousandths.
    pub permille: u32,
    /// The milliseconds since the order, as the leading box counted them.
    pub elapsed_ms: u64,
    /// The same when the present stage began.
    #[serde(default)]
    pub stage_ms: u64,
    /// The milliseconds that have probably passed beyond these while no box was there to count.
    #[serde(default)]
    pub unseen_ms: u64,
    /// What the answers of both versions have said so far.
    #[serde(default)]
    pub seen: Box<Seen>,
    /// Versions that earlier roll-outs of the service found bad.
    pub rejected: Vec<String>,
}

/// All sessions, in thousandths.
pub const ALL_SESSIONS_PERMILLE: u32 = 1000;

impl RolloutRecord {
    /// Tells whether the target was proved good: nothing less gives it all sessions.
    pub fn is_proved(&self) -> bool {
        self.permille >= ALL_SESSIONS_PERMILLE
    }
}

/// A box of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxEntry {
    /// The box's name together with its start, so that each life has its own.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// Where other boxes reach it.
    pub address: SocketAddr,
    /// The rate of its link in megabits a second; 0 where the platform does not say.
    #[serde(default)]
    pub link_mbps: u32,
    /// The store's revision at which the box registered; the lowest one leads.
    #[serde(skip)]
    pub registered: u64,
}

/// A box's entry, and the lease under which it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredBox {
    /// The entry.
    pub entry: BoxEntry,
    /// The lease.
    pub lease: u64,
}

/// A part of what the store holds, in the order of the keys.
#[derive(Debug, Clone)]
pub struct Page {
    /// The items.
    pub items: Vec<Item>,
    /// The store's revision when it was read.
    pub revision: u64,
    /// Where the next page begins; none if this is the last one.
    pub next: Option<String>,
}

/// What a watch brought.
#[derive(Debug, Clone)]
pub enum WatchResult {
    /// Changes in their order, and the revision to go on from.
    Changes(Vec<Item>, u64),
    /// The history after the revision is gone; everything has to be read anew.
    HistoryCompacted,
}

/// The result of writing a roll-out's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordWriteResult {
    /// The record stands at this revision.
    Written(u64),
    /// Another box wrote first.
    Conflict,
}

/// The platform's metadata store, as far as the gateway uses it.
pub trait ControlStore: fmt::Debug {
    /// Reads an item's bytes; none where the gateway has no use for the item.
    fn decode(&self, item: &Item) -> Option<Update>;

    /// Tells whether an answer is on its way of which a part has come.
    fn is_receiving_response(&self) -> bool;

    /// Reads a page, linearizably: the first one, or the one that begins where another ended.
    fn read_page<'a>(&'a self, begin: Option<&'a str>) -> LocalBoxFuture<'a, StoreResult<Page>>;

    /// Reads the boxes that are registered in a hall, in lives that may be over.
    fn read_hall<'a>(
        &'a self,
        hall: &'a str,
    ) -> LocalBoxFuture<'a, StoreResult<Vec<RegisteredBox>>>;

    /// Returns the store's newest revision, linearizably and cheaply.
    fn read_revision(&self) -> LocalBoxFuture<'_, StoreResult<u64>>;

    /// Waits up to `wait` for changes after a revision.
    fn watch(&self, after: u64, wait: Duration) -> LocalBoxFuture<'_, StoreResult<WatchResult>>;

    /// Registers a box under a lease of `ttl` and returns the lease.
    fn register<'a>(
        &'a self,
        entry: &'a BoxEntry,
        ttl: Duration,
    ) -> LocalBoxFuture<'a, StoreResult<u64>>;

    /// Renews a lease; false means that it is over and its entry gone.
    fn renew(&self, lease: u64) -> LocalBoxFuture<'_, StoreResult<bool>>;

    /// Ends a lease, so that its entry disappears at once.
    fn release(&self, lease: u64) -> LocalBoxFuture<'_, StoreResult<()>>;

    /// Writes a roll-out's record if the last one stands at `expected` (0: there is none),
    /// and with it what the operators read.
    fn write_rollout<'a>(
        &'a self,
        record: &'a RolloutRecord,
        expected: u64,
    ) -> LocalBoxFuture<'a, StoreResult<RecordWriteResult>>;
}
