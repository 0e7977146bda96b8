//! The accounts of held memory in use: requests wait here for room, and those that have to yield are
//! let go.
//!
//! [`super::held_bytes`] decides. See `docs/design/slow-readers.md`.

use super::held_bytes::{
    AccountId, BudgetShare, HeldBytes, HeldKind, HolderUrgency, MIN_STALL, MemoryRoom, NoRoom,
    YieldingRequest, budget,
};
use crate::clock::Now;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::telemetry::Telemetry;
use crate::http_server::open_connections::ConnectionCut;
use crate::saturation::Saturation;
use std::cell::{Cell, RefCell, RefMut};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The memory limit in bytes of a process whose settings state none.
pub const DEFAULT_MEMORY_LIMIT: u64 = 512 * 1024 * 1024;
/// The largest piece of an answer that is handed to a caller's connection at once.
pub const PIECE_BYTES: usize = 4 * 1024;
/// The most bytes that a caller's connection holds before it asks for no further piece.
pub const CALLER_BUFFER_BYTES: usize = 4 * 1024;
/// The most bytes that an upstream's connection reads ahead, and the longest head of an answer.
pub const UPSTREAM_BUFFER_BYTES: usize = 8 * 1024;
/// The kernel's buffer for bytes that a caller has not received, and for those that it sends.
pub const CALLER_SOCKET_BYTES: usize = 32 * 1024;
/// The kernel's buffer for bytes of an upstream that were not read yet: enough for a link that
/// takes ten milliseconds and carries 50 Mbit/s.
pub const UPSTREAM_SOCKET_BYTES: usize = 64 * 1024;
/// What the connections of a request hold at most while it is served: two buffers each.
const CONNECTION_BUFFERS: u64 = 32 * 1024;
/// The size of a head that is held with these buffers.
const SMALL_HEAD_BYTES: usize = 4 * 1024;
/// How often a head is held: as it was read, as it is forwarded, and in the upstream's connection.
const HEAD_COPIES: u64 = 3;
/// What an open connection holds beside that: the buffers of the HTTP library.
const CONNECTION_BYTES: u64 = 16 * 1024;
/// What a relayed answer holds beside them: a piece for the caller, and what was read ahead.
const RELAYED_PIECE: u64 = (PIECE_BYTES + UPSTREAM_BUFFER_BYTES) as u64;
/// How often room is looked for again: requests become stalled as time passes.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a request waits until those that yield have ended.
const MAX_YIELD_WAIT: Duration = Duration::from_millis(300);
/// How long a relay is paused at most: upstreams cut off an answer that sits unread for seconds.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// The memory that a box holds for its requests.
#[derive(Debug)]
pub struct HeldMemory {
    held: RefCell<HeldBytes>,
    cuts: RefCell<HashMap<AccountId, Rc<ConnectionCut>>>,
    freed: Notify,
    /// The bytes that requests wait for.
    waiting: Cell<u64>,
    saturation: Rc<Saturation>,
}

/// What a request waits for that needs room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitFor {
    /// Room that requests which have to yield are about to leave.
    YieldingRequests,
    /// Any room.
    AnyRoom,
}

/// Counts bytes that a request waits for until it is dropped.
struct WaitingBytes<'a> {
    sum: &'a Cell<u64>,
    bytes: u64,
}

impl<'a> WaitingBytes<'a> {
    fn new(sum: &'a Cell<u64>, bytes: u64) -> Self {
        let bytes = bytes.min(u64::MAX - sum.get());
        sum.set(sum.get() + bytes);
        Self { sum, bytes }
    }
}

impl Drop for WaitingBytes<'_> {
    fn drop(&mut self) {
        self.sum.set(self.sum.get() - self.bytes);
    }
}

impl HeldMemory {
    /// Creates the accounts of a box without requests.
    pub fn new(saturation: Rc<Saturation>) -> Self {
        Self {
            held: RefCell::default(),
            cuts: RefCell::default(),
            freed: Notify::default(),
            waiting: Cell::default(),
            saturation,
        }
    }

    /// Applies the settings: memory is bounded by the limit that they state, or by a default.
    pub fn apply(&self, settings: &GatewaySettings) {
        let limit = settings.memory_limit.unwrap_or(DEFAULT_MEMORY_LIMIT);
        self.held.borrow_mut().set_budget(budget(limit));
    }

    /// Returns how many connections of callers may be open: they share the half of the memory that is
    /// not for requests.
    pub fn max_connections(&self) -> usize {
        usize::try_from(self.budget() / CONNECTION_BYTES).unwrap_or(usize::MAX)
    }

    /// Returns the bytes held of a kind.
    pub fn held(&self, kind: HeldKind) -> u64 {
        self.held.borrow().held(kind)
    }

    /// Returns whether there is memory to serve another request, once those that are stalled have
    /// yielded.
    pub fn has_room_for_request(&self, now: Now) -> bool {
        let held = self.held_at(now);
        held.could_fit(CONNECTION_BUFFERS + RELAYED_PIECE, now)
    }

    /// Returns the accounts, which know how late the box was by itself while callers may have
    /// stalled.
    fn held_at(&self, now: Now) -> RefMut<'_, HeldBytes> {
        let since = now.monotonic.saturating_sub(MIN_STALL);
        let mut held = self.held.borrow_mut();
        held.set_own_delay(self.saturation.longest_since(since, now));
        held
    }

    /// Returns the bytes held in all.
    pub fn total(&self) -> u64 {
        self.held.borrow().total()
    }

    /// Returns the bytes that may be held in all.
    pub fn budget(&self) -> u64 {
        self.held.borrow().budget()
    }

    /// Opens the account of a request; `cut` ends its caller's connection.
    pub fn open(
        self: &Rc<Self>,
        request_id: &str,
        cut: &Rc<ConnectionCut>,
        telemetry: &Rc<Telemetry>,
    ) -> RequestAccount {
        let id = self.held.borrow_mut().open(request_id);
        self.cuts.borrow_mut().insert(id, cut.clone());
        RequestAccount {
            memory: self.clone(),
            telemetry: telemetry.clone(),
            id,
        }
    }

    fn close(&self, id: AccountId) {
        self.held.borrow_mut().close(id);
        self.cuts.borrow_mut().remove(&id);
        self.freed.notify_one();
    }

    fn let_go(&self, request: &YieldingRequest) {
        if let Some(cut) = self.cuts.borrow().get(&request.account) {
            cut.cut();
        }
    }
}

/// The account of one request, closed when it is dropped.
#[derive(Debug)]
pub struct RequestAccount {
    memory: Rc<HeldMemory>,
    telemetry: Rc<Telemetry>,
    id: AccountId,
}

impl RequestAccount {
    /// Sets the urgency of the request.
    pub fn set_urgency(&self, urgency: HolderUrgency) {
        self.memory.held.borrow_mut().set_urgency(self.id, urgency);
    }

    /// Returns how much room is left.
    pub fn room(&self) -> MemoryRoom {
        self.memory.held.borrow().room()
    }

    /// Holds the buffers of the connections that serve the request, and a head of this many bytes.
    pub async fn hold_connections(&self, head_bytes: usize) -> Result<(), NoRoom> {
        let large = head_bytes.saturating_sub(SMALL_HEAD_BYTES) as u64;
        let bytes = CONNECTION_BUFFERS + HEAD_COPIES * large;
        self.hold(HeldKind::ConnectionBuffers, bytes).await
    }

    /// Sets how many bytes of a kind are held; others that are stalled yield if that takes more
    /// room than there is.
    pub async fn hold(&self, kind: HeldKind, bytes: u64) -> Result<(), NoRoom> {
        if self.resize(kind, bytes).is_ok() {
            return Ok(());
        }
        let held = self.wait_for_room(kind, bytes, WaitFor::YieldingRequests);
        timeout(MAX_YIELD_WAIT, held).await.unwrap_or(Err(NoRoom))
    }

    /// Sets how many bytes of a kind are held, if there is room now.
    pub fn try_hold(&self, kind: HeldKind, bytes: u64) -> Result<(), NoRoom> {
        self.resize(kind, bytes)
    }

    /// Waits until there is room for the next piece of a relayed answer, beside `begun` bytes that
    /// cannot be handed to the caller yet. Until then, nothing is read from the upstream.
    pub async fn hold_piece(&self, begun: usize) -> Result<(), NoRoom> {
        let bytes = RELAYED_PIECE + begun as u64;
        if self.resize(HeldKind::RelayedPiece, bytes).is_ok() {
            return Ok(());
        }
        let held = self.wait_for_room(HeldKind::RelayedPiece, bytes, WaitFor::AnyRoom);
        timeout(MAX_PAUSE, held).await.unwrap_or(Err(NoRoom))
    }

    /// Records that the request waits for its caller from now on.
    pub fn wait_for_caller(&self) {
        let now = Now::read();
        self.memory.held.borrow_mut().wait_for_caller(self.id, now);
    }

    /// Records that the caller made progress; returns how long the request had waited for it.
    pub fn record_progress(&self) -> Duration {
        let now = Now::read();
        self.memory.held.borrow_mut().record_progress(self.id, now)
    }

    fn resize(&self, kind: HeldKind, bytes: u64) -> Result<(), NoRoom> {
        self.memory.held.borrow_mut().resize(self.id, kind, bytes)
    }

    /// Returns how many bytes have to be held beyond those of the kind that are held already.
    fn lacking(&self, kind: HeldKind, bytes: u64) -> u64 {
        let held = self.memory.held.borrow().held_by(self.id, kind);
        bytes.saturating_sub(held)
    }

    /// Waits until this many bytes of a kind are held.
    async fn wait_for_room(
        &self,
        kind: HeldKind,
        bytes: u64,
        wait_for: WaitFor,
    ) -> Result<(), NoRoom> {
        let lacking = self.lacking(kind, bytes);
        while self.resize(kind, bytes).is_err() {
            if !self.make_room(lacking, BudgetShare::of(kind, bytes))
                && wait_for == WaitFor::YieldingRequests
            {
                return Err(NoRoom);
            }
            let _waiting = WaitingBytes::new(&self.memory.waiting, lacking);
            // Either something was freed, or more requests are stalled by now.
            let _ = timeout(ROOM_CHECK_INTERVAL, self.memory.freed.notified()).await;
        }
        // What was freed may have been enough for another request too.
        self.memory.freed.notify_one();
        Ok(())
    }

    /// Lets go stalled requests until this many more bytes fit beside those that other requests
    /// wait for; returns whether they will.
    fn make_room(&self, more: u64, share: BudgetShare) -> bool {
        let needed = more.saturating_add(self.memory.waiting.get());
        let now = Now::read();
        let mut held = self.memory.held_at(now);
        for request in held.make_room(needed, share, now) {
            self.telemetry.record_let_go(&request, held.budget());
            self.memory.let_go(&request);
        }
        held.will_fit(needed, share)
    }
}

impl Drop for RequestAccount {
    fn drop(&mut self) {
        self.memory.close(self.id);
    }
}
