//! The memory that a box holds for requests, within one budget.
//!
//! Callers and upstreams may read as slowly as they like, and what waits for them is the box's
//! memory. Each request has an account here; what would exceed the budget is not held. If room is
//! needed, the requests that wait for their caller yield: the least urgent first, and of these the
//! largest. Pure accounting, without network and clock: see `docs/design/slow-readers.md`.

use crate::clock::Now;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// What a process needs besides requests: its code, its knowledge of the fleet, its connections to
/// other boxes.
const PROCESS_BYTES: u64 = 24 * 1024 * 1024;
/// The divisor of the rest of the memory limit that gives the budget: the allocator keeps about as
/// much again when buffers of many sizes come and go.
const BUDGET_DIVISOR: u64 = 2;
/// The divisor of the memory limit that gives the rest where the process needs nearly all of it.
const MIN_REST_DIVISOR: u64 = 4;
/// The part of the budget from which the room is tight, in percent. The rest is for requests that
/// need little.
const TIGHT_PERCENT: u64 = 75;
/// A request body over this many bytes is large: it is only held while the room is not tight, so
/// that an upstream that reads slowly cannot take the room of all other requests.
const LARGE_BODY_BYTES: u64 = 64 * 1024;
/// How long a request must have waited for its caller before it may have to yield: longer than a
/// lost packet takes to be sent again.
pub const MIN_STALL: Duration = Duration::from_secs(1);

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldKind {
    /// The buffers of the caller's and the upstream's connection.
    ConnectionBuffers,
    /// The request's body.
    RequestBody,
    /// A buffered answer.
    BufferedAnswer,
    /// The piece of a stream or of a large answer that waits for the caller.
    RelayedPiece,
}

impl HeldKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [
        Self::ConnectionBuffers,
        Self::RequestBody,
        Self::BufferedAnswer,
        Self::RelayedPiece,
    ];

    /// Returns the name of the kind in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ConnectionBuffers => "connection-buffers",
            Self::RequestBody => "request-body",
            Self::BufferedAnswer => "buffered-answer",
            Self::RelayedPiece => "relayed-piece",
        }
    }
}

/// How much of the budget is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryRoom {
    /// Enough.
    Free,
    /// Little: even small answers are not buffered.
    Tight,
    /// None.
    Exhausted,
}

/// The share of the budget that a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetShare {
    /// All of it.
    Whole,
    /// Only what is left until the room is tight.
    UntilTight,
}

impl BudgetShare {
    /// Returns the share for this many bytes of a kind.
    pub fn of(kind: HeldKind, bytes: u64) -> Self {
        match kind == HeldKind::RequestBody && bytes > LARGE_BODY_BYTES {
            true => Self::UntilTight,
            false => Self::Whole,
        }
    }
}

/// The urgency of a request: the priority of its organisation, then that of its route; 0 is the
/// most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct HolderUrgency {
    /// The organisation's priority.
    pub organisation: u8,
    /// The route's priority.
    pub route: u8,
}

/// Identifies the account of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AccountId(u64);

/// The budget does not allow the bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

/// A request that has to yield.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct YieldingRequest {
    /// Its account, which has to be closed.
    pub account: AccountId,
    /// The request's id.
    pub request_id: String,
    /// The bytes held for it.
    pub held: u64,
    /// How long it has waited for its caller.
    pub without_progress: Duration,
}

#[derive(Debug)]
struct Account {
    request_id: String,
    urgency: HolderUrgency,
    held: [u64; HeldKind::ALL.len()],
    waits_for_caller_since: Option<Duration>,
    is_yielding: bool,
}

impl Account {
    fn total(&self) -> u64 {
        self.held.iter().sum()
    }
}

/// The accounts of a box's requests.
#[derive(Debug)]
pub struct HeldBytes {
    budget: u64,
    next_id: u64,
    accounts: HashMap<AccountId, Account>,
    held: [u64; HeldKind::ALL.len()],
    own_delay: Duration,
}

/// Returns the budget of a box with a memory limit. A box with little memory can serve with little.
pub fn budget(memory_limit: u64) -> u64 {
    let rest = memory_limit.saturating_sub(PROCESS_BYTES);
    rest.max(memory_limit / MIN_REST_DIVISOR) / BUDGET_DIVISOR
}

impl Default for HeldBytes {
    /// Accounts without a bound.
    fn default() -> Self {
        Self::new(u64::MAX)
    }
}

impl HeldBytes {
    /// Creates the accounts of a box that may hold this many bytes.
    pub fn new(budget: u64) -> Self {
        Self {
            budget,
            next_id: 0,
            accounts: HashMap::new(),
            held: Default::default(),
            own_delay: Duration::ZERO,
        }
    }

    /// Sets how late the box is by itself: for so long, callers make no progress because of it.
    pub fn set_own_delay(&mut self, delay: Duration) {
        self.own_delay = delay;
    }

    /// Returns the budget.
    pub fn budget(&self) -> u64 {
        self.budget
    }

    /// Changes the budget. What is held already stays, also beyond a smaller budget.
    pub fn set_budget(&mut self, budget: u64) {
        self.budget = budget;
    }

    /// Returns the bytes held in all.
    pub fn total(&self) -> u64 {
        self.held.iter().sum()
    }

    /// Returns the bytes held of one kind.
    pub fn held(&self, kind: HeldKind) -> u64 {
        self.held[kind as usize]
    }

    /// Returns the bytes of one kind held for a request.
    pub fn held_by(&self, id: AccountId, kind: HeldKind) -> u64 {
        self.accounts
            .get(&id)
            .map_or(0, |account| account.held[kind as usize])
    }

    /// Returns how much room is left.
    pub fn room(&self) -> MemoryRoom {
        if self.total() >= self.budget {
            MemoryRoom::Exhausted
        } else if self.total() >= self.limit(BudgetShare::UntilTight) {
            MemoryRoom::Tight
        } else {
            MemoryRoom::Free
        }
    }

    /// Returns how many bytes may be held in all after a share of the budget was used.
    fn limit(&self, share: BudgetShare) -> u64 {
        match share {
            BudgetShare::Whole => self.budget,
            // Divided first, since the budget may be any number.
            BudgetShare::UntilTight => {
                self.budget / 100 * TIGHT_PERCENT + self.budget % 100 * TIGHT_PERCENT / 100
            }
        }
    }

    /// Opens the account of a request, which holds nothing yet.
    pub fn open(&mut self, request_id: &str) -> AccountId {
        let id = AccountId(self.next_id);
        self.next_id += 1;
        let account = Account {
            request_id: request_id.to_owned(),
            // Until its organisation and its route are known, a request yields last.
            urgency: HolderUrgency::default(),
            held: Default::default(),
            waits_for_caller_since: None,
            is_yielding: false,
        };
        self.accounts.insert(id, account);
        id
    }

    /// Sets the urgency of a request.
    pub fn set_urgency(&mut self, id: AccountId, urgency: HolderUrgency) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.urgency = urgency;
        }
    }

    /// Sets how many bytes of a kind are held for a request. Less is always possible; more only
    /// within the budget, otherwise nothing changes.
    pub fn resize(&mut self, id: AccountId, kind: HeldKind, bytes: u64) -> Result<(), NoRoom> {
        let (total, limit) = (self.total(), self.limit(BudgetShare::of(kind, bytes)));
        let account = self.accounts.get_mut(&id).ok_or(NoRoom)?;
        let before = account.held[kind as usize];
        let fits = (total - before)
            .checked_add(bytes)
            .is_some_and(|sum| sum <= limit);
        if bytes > before && !fits {
            return Err(NoRoom);
        }
        account.held[kind as usize] = bytes;
        let held = &mut self.held[kind as usize];
        *held = *held - before + bytes;
        Ok(())
    }

    /// Records that a request waits for its caller to read or to send, from now on.
    pub fn wait_for_caller(&mut self, id: AccountId, now: Now) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.waits_for_caller_since = Some(now.monotonic);
        }
    }

    /// Records that the caller made progress; returns how long the request had waited for it.
    pub fn record_progress(&mut self, id: AccountId, now: Now) -> Duration {
        let account = self.accounts.get_mut(&id);
        let since = account.and_then(|account| account.waits_for_caller_since.take());
        since.map_or(Duration::ZERO, |since| now.monotonic.saturating_sub(since))
    }

    /// Closes an account; what it held is free again.
    pub fn close(&mut self, id: AccountId) {
        let Some(account) = self.accounts.remove(&id) else {
            return;
        };
        for (held, freed) in self.held.iter_mut().zip(account.held) {
            *held -= freed;
        }
    }

    /// Chooses the requests that have to yield so that this many more bytes fit; none if they fit
    /// already, or once those chosen before are closed, or if too few can yield.
    pub fn make_room(&mut self, bytes: u64, share: BudgetShare, now: Now) -> Vec<YieldingRequest> {
        let mut excess = self.excess(bytes, share);
        if excess == 0 {
            return Vec::new();
        }
        let mut stalled = self.stalled(now);
        stalled.sort_unstable_by_key(|(urgency, request)| {
            (Reverse((*urgency, request.held)), request.account.0)
        });
        let mut chosen = Vec::new();
        for (_, request) in stalled {
            excess = excess.saturating_sub(request.held);
            chosen.push(request);
            if excess == 0 {
                self.mark_yielding(&chosen);
                return chosen;
            }
        }
        Vec::new()
    }

    /// Returns whether this many more bytes fit once all requests that have to yield are closed.
    pub fn will_fit(&self, bytes: u64, share: BudgetShare) -> bool {
        self.excess(bytes, share) == 0
    }

    /// Returns whether this many more bytes would fit if all stalled requests yielded.
    pub fn could_fit(&self, bytes: u64, now: Now) -> bool {
        let excess = self.excess(bytes, BudgetShare::Whole);
        if excess == 0 {
            return true;
        }
        let stalled = self.stalled(now).into_iter();
        stalled.map(|(_, request)| request.held).sum::<u64>() >= excess
    }

    /// Returns how far this many more bytes would exceed a share of the budget once all requests that
    /// have to yield are closed.
    fn excess(&self, bytes: u64, share: BudgetShare) -> u64 {
        let yielding = self.accounts.values().filter(|account| account.is_yielding);
        let staying = self.total() - yielding.map(Account::total).sum::<u64>();
        staying
            .saturating_add(bytes)
            .saturating_sub(self.limit(share))
    }

    fn stalled(&self, now: Now) -> Vec<(HolderUrgency, YieldingRequest)> {
        let stalled = self.accounts.iter().filter_map(|(id, account)| {
            let since = account.waits_for_caller_since?;
            let without_progress = now.monotonic.saturating_sub(since);
            let request = YieldingRequest {
                account: *id,
                request_id: account.request_id.clone(),
                held: account.total(),
                without_progress,
            };
            let is_stalled = without_progress >= MIN_STALL + self.own_delay;
            let may_yield = !account.is_yielding && request.held > 0 && is_stalled;
            may_yield.then_some((account.urgency, request))
        });
        stalled.collect()
    }

    fn mark_yielding(&mut self, requests: &[YieldingRequest]) {
        for request in requests {
            if let Some(account) = self.accounts.get_mut(&request.account) {
                account.is_yielding = true;
            }
        }
    }
}
