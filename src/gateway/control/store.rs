//! The interface to the platform's metadata store, in terms of the gateway.
//!
//! An adapter implements [`ControlStore`]. Everything that boxes agree on or that has to be durable
//! goes through it. See `docs/design/platform.md`.

use super::revision::epoch_of;
use crate::gateway::admit::routes::RouteTable;
use crate::gateway::versions::stored_evidence::StoredEvidence;
use crate::store::StoreResult;
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// One item of the store, or the tombstone of a deleted one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The item's key.
    pub key: String,
    /// The item's value in bytes; `None` if the item is deleted.
    pub value: Option<Vec<u8>>,
    /// The store revision of the last change, qualified with the store's epoch as all revisions are
    /// ([`super::revision`]).
    pub revision: u64,
    /// The store revision at which the item was created.
    pub created: u64,
}

impl Item {
    /// Creates the tombstone of an item that was deleted at a revision.
    pub fn deleted(key: &str, revision: u64) -> Self {
        Self {
            key: key.to_owned(),
            value: None,
            revision,
            created: 0,
        }
    }

    /// Returns whether the item is deleted.
    pub fn is_deleted(&self) -> bool {
        self.value.is_none()
    }
}

/// A decoded change of one item of the store.
#[derive(Debug, Clone)]
pub enum Update {
    /// The operators' newest configuration.
    Routes(Arc<RouteTable>),
    /// The newest state of a listed upstream.
    Upstream(Box<ListedUpstream>),
    /// The upstream with this id is no longer listed.
    UpstreamGone(String),
    /// An upstream's entry that cannot be decoded. Another writer corrupted it, so its earlier
    /// contents are no longer valid either.
    UpstreamFaulty {
        /// The upstream's id.
        instance: String,
        /// Why the entry is invalid.
        reason: String,
    },
    /// The operators' newest roll-out order for a service.
    RolloutOrdered(RolloutOrder),
    /// The roll-out order of this service was withdrawn.
    RolloutCancelled(String),
    /// The leader's record of a roll-out, and its revision.
    RolloutRecorded(RolloutRecord, u64),
    /// The record of the roll-out of this service is missing: the store was restored from a copy
    /// that is older than the record.
    RolloutRecordGone(String),
    /// The leader's record of a service's limits, and its revision.
    LimitRecorded(LimitRecord, u64),
    /// The record of this service's limits is missing.
    LimitRecordGone(String),
    /// Operators have evacuated this hall: its upstreams get no more requests.
    HallEvacuated(String),
    /// The upstreams of this hall may be used again.
    HallReturned(String),
    /// The newest registration entry of a box.
    Box(BoxEntry),
    /// The box with this name is no longer registered.
    BoxGone(String),
    /// An item that cannot be decoded; its last valid state stays in force.
    Faulty {
        /// The item's key in the store.
        item: String,
        /// Why it is invalid.
        reason: String,
    },
}

/// An upstream as listed in the store by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedUpstream {
    /// The upstream's id, which it may keep across restarts.
    pub instance: String,
    /// When it started, in milliseconds since the Unix epoch; `None` if it does not say, in which
    /// case each start has an id of its own.
    pub born: Option<u64>,
    /// The service that it runs.
    pub service: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The hall in which it runs.
    pub hall: String,
    /// The version of its software.
    pub version: String,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is shutting down and takes no new requests.
    pub draining: bool,
    /// The remaining warm-up time that it stated when it wrote the entry; zero once it is warm.
    pub warm_up_left: Duration,
}

impl ListedUpstream {
    /// Returns the incarnation that this entry describes.
    pub fn incarnation(&self) -> UpstreamLife {
        UpstreamLife {
            instance: self.instance.clone(),
            born: self.born,
        }
    }
}

/// One incarnation of an upstream: one process, from its start to its end.
///
/// An upstream that restarts under the same id has lost all its state, so everything that a box
/// records about an upstream is recorded by incarnation and not by id.
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
    /// The target version.
    pub target: String,
    /// The time in which the roll-out has to finish, counted from the order.
    pub duration: Duration,
    /// The store revision of the order, which identifies it.
    pub revision: u64,
}

impl RolloutOrder {
    /// Returns whether another order asks for the same, whatever its revision.
    pub fn has_same_content(&self, other: &Self) -> bool {
        self.service == other.service
            && self.target == other.target
            && self.duration == other.duration
    }
}

/// The state of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// The target serves a part of the sessions.
    Running,
    /// The target serves all sessions.
    Done,
    /// The target was found bad and serves no sessions.
    Reverted,
}

/// The leader's record of a roll-out, kept in the store so that it survives restarts of boxes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The service.
    pub service: String,
    /// The target version.
    pub target: String,
    /// The store revision of the order to which this record belongs.
    pub order_revision: u64,
    /// The state of the roll-out.
    pub state: RolloutState,
    /// The share of sessions that the target serves, in permille.
    pub permille: u32,
    /// The milliseconds since the order, as counted by the leader.
    pub elapsed_ms: u64,
    /// The value of `elapsed_ms` at the start of the current stage.
    #[serde(default)]
    pub stage_ms: u64,
    /// The milliseconds that have probably passed in addition while no box was running to count
    /// them.
    #[serde(default)]
    pub unseen_ms: u64,
    /// The evidence from the answers of both versions so far.
    #[serde(default)]
    pub seen: Box<StoredEvidence>,
    /// Versions that earlier roll-outs of the service found bad.
    pub rejected: Vec<String>,
}

/// All sessions, in permille.
pub const ALL_SESSIONS_PERMILLE: u32 = 1000;

impl RolloutRecord {
    /// Returns whether the record belongs to an order.
    ///
    /// A restored store may have assigned the order another revision. Revisions of different epochs
    /// cannot be compared, so the target decides then.
    pub fn is_for(&self, order: &RolloutOrder) -> bool {
        match epoch_of(self.order_revision) == epoch_of(order.revision) {
            true => self.order_revision == order.revision,
            false => self.target == order.target,
        }
    }

    /// Returns how far the roll-out had come: whether it had ended, and the time since its order.
    pub fn progress(&self) -> (bool, u64) {
        (self.state != RolloutState::Running, self.elapsed_ms)
    }

    /// Returns whether the target was proved good; only then does it get all sessions.
    pub fn is_proved(&self) -> bool {
        self.permille >= ALL_SESSIONS_PERMILLE
    }
}

/// The registration entry of a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxEntry {
    /// The box's name with its start time, so that each process has a name of its own.
    pub name: String,
    /// The box's hall.
    pub hall: String,
    /// The address at which other boxes reach it.
    pub address: SocketAddr,
    /// The bandwidth of its link in megabits per second; 0 if the platform does not provide it.
    #[serde(default)]
    pub link_mbps: u32,
    /// The store revision at which the box registered; the box with the lowest one leads.
    #[serde(skip)]
    pub registered: u64,
}

/// Whether the upstreams of a service bear few rejections, for boxes that start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRecord {
    /// The service.
    pub service: String,
    /// Whether its upstreams state rejection limits.
    pub is_limited: bool,
}

/// A box's registration entry and the lease that keeps it alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredBox {
    /// The entry.
    pub entry: BoxEntry,
    /// The lease.
    pub lease: u64,
}

/// One page of the store's items, ordered by key.
#[derive(Debug, Clone)]
pub struct Page {
    /// The items.
    pub items: Vec<Item>,
    /// The store revision at which the page was read.
    pub revision: u64,
    /// The start of the next page; `None` on the last page. If it is the start of a page that was read
    /// before, the read does not advance.
    pub next: Option<String>,
}

/// The result of a watch.
#[derive(Debug, Clone)]
pub enum WatchResult {
    /// The changes in order, and the revision from which to continue.
    Changes(Vec<Item>, u64),
    /// The store has compacted its history after the given revision; a full read is needed.
    HistoryCompacted,
}

/// The result of writing a roll-out's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordWriteResult {
    /// The record was written at this revision.
    Written(u64),
    /// Another box wrote the record first.
    Conflict,
}

/// The platform's metadata store, as far as the gateway uses it.
pub trait ControlStore: fmt::Debug {
    /// Decodes an item; `None` if the gateway does not use it.
    fn decode(&self, item: &Item) -> Option<Update>;

    /// Returns whether a response has been received in part and is still in transfer.
    fn is_receiving_response(&self) -> bool;

    /// Reads a page with a linearizable read: the first one, or the one that starts at `begin`.
    fn read_page<'a>(&'a self, begin: Option<&'a str>) -> LocalBoxFuture<'a, StoreResult<Page>>;

    /// Reads the boxes registered in a hall; some of the processes may have ended.
    fn read_hall<'a>(
        &'a self,
        hall: &'a str,
    ) -> LocalBoxFuture<'a, StoreResult<Vec<RegisteredBox>>>;

    /// Returns the store's newest revision with a cheap linearizable read.
    fn read_revision(&self) -> LocalBoxFuture<'_, StoreResult<u64>>;

    /// Waits up to `wait` for changes after a revision.
    fn watch(&self, after: u64, wait: Duration) -> LocalBoxFuture<'_, StoreResult<WatchResult>>;

    /// Registers a box under a lease with a time to live of `ttl` and returns the lease.
    fn register<'a>(
        &'a self,
        entry: &'a BoxEntry,
        ttl: Duration,
    ) -> LocalBoxFuture<'a, StoreResult<u64>>;

    /// Renews a lease; returns false if it has expired and its entry is gone.
    fn renew(&self, lease: u64) -> LocalBoxFuture<'_, StoreResult<bool>>;

    /// Releases a lease, so that its entry is removed at once.
    fn release(&self, lease: u64) -> LocalBoxFuture<'_, StoreResult<()>>;

    /// Writes a roll-out's record, together with the status that operators read, if the last record
    /// is at revision `expected` (0: there is none).
    fn write_rollout<'a>(
        &'a self,
        record: &'a RolloutRecord,
        expected: u64,
    ) -> LocalBoxFuture<'a, StoreResult<RecordWriteResult>>;

    /// Writes the record of a service's limits if the last one is at revision `expected` (0: there is
    /// none).
    fn write_limit<'a>(
        &'a self,
        record: &'a LimitRecord,
        expected: u64,
    ) -> LocalBoxFuture<'a, StoreResult<RecordWriteResult>>;
}
