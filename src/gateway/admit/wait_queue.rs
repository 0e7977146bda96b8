//! The requests that wait in this box for room at upstreams, and who of them goes first.
//!
//! The order: urgency; the organisation that is served least; callers that have returned; the least
//! time left. Waiting raises the urgency, so that nothing waits behind others for ever.
//! See `docs/design/waiting.md`.

use crate::clock::{Now, millis};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// The maximum number of waiting requests; without their bodies they take about 400 bytes each.
pub const MAX_WAITING: usize = 1000;
/// The maximum total size of the bodies of waiting requests.
pub const MAX_WAITING_BYTES: usize = 4 * 1024 * 1024;
/// A request gains one level of urgency each time it has waited this long.
const AGEING_MS: u64 = 500;

/// How urgent a request is; lower is more urgent. The organisation's priority is compared first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Urgency {
    /// The priority of the organisation.
    pub organisation: u8,
    /// The priority of the route.
    pub route: u8,
}

impl Urgency {
    /// Returns the urgency after a wait, as a number: each level gained passes one level of the
    /// route's priority, and after these one of the organisation's.
    fn aged(self, waited: Duration) -> i64 {
        let level = i64::from(self.organisation) * (i64::from(u8::MAX) + 1) + i64::from(self.route);
        let gained = millis(waited) / AGEING_MS;
        // Organisations' levels are far apart, so the gain doubles with each further wait.
        let gain = 1_i64 << gained.min(17) as u32;
        level - (gain - 1)
    }
}

/// A request that waits for room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    /// The service that it waits for.
    pub service: String,
    /// The organisation that sent it; empty without one.
    pub organisation: String,
    /// Its urgency.
    pub urgency: Urgency,
    /// Whether its caller was refused before and has returned.
    pub came_back: bool,
    /// The latest time at which it can start and still meet its deadline.
    pub latest_start: Duration,
    /// The size of its body.
    pub bytes: usize,
}

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaiterId(u64);

#[derive(Debug)]
struct Entry {
    id: WaiterId,
    since: Duration,
    group: usize,
    urgency: Urgency,
    came_back: bool,
    latest_start: Duration,
    bytes: usize,
    signal: Rc<Notify>,
}

/// The requests of one organisation that wait for one service.
#[derive(Debug)]
struct Group {
    service: String,
    organisation: String,
    waiting: usize,
}

/// A lower rank goes first.
type Rank = (i64, u8, bool, Duration);

/// Returns the share of what is served that goes to an organisation, in steps.
pub trait ServedShares {
    /// Returns the step for an organisation at a service; lower is served less.
    fn share_step(&self, service: &str, organisation: &str, now: Now) -> u8;
}

/// The waiting requests of all services.
#[derive(Debug, Default)]
pub struct WaitQueue {
    entries: Vec<Entry>,
    groups: Vec<Group>,
    bytes: usize,
    next_id: u64,
}

impl WaitQueue {
    /// Adds a request; `None` if too many wait already.
    pub fn enter(&mut self, waiter: Waiter, now: Now) -> Option<(WaiterId, Rc<Notify>)> {
        let bytes = self.bytes.saturating_add(waiter.bytes);
        if self.entries.len() >= MAX_WAITING || bytes > MAX_WAITING_BYTES {
            return None;
        }
        let id = WaiterId(self.next_id);
        self.next_id += 1;
        self.bytes = bytes;
        let signal = Rc::<Notify>::default();
        let entry = Entry {
            id,
            since: now.monotonic,
            urgency: waiter.urgency,
            came_back: waiter.came_back,
            latest_start: waiter.latest_start,
            bytes: waiter.bytes,
            signal: signal.clone(),
            group: self.join_group(waiter),
        };
        self.entries.push(entry);
        Some((id, signal))
    }

    /// Removes a request that waits no longer.
    pub fn leave(&mut self, id: WaiterId) {
        let Some(index) = self.entries.iter().position(|entry| entry.id == id) else {
            return;
        };
        let entry = self.entries.swap_remove(index);
        self.bytes -= entry.bytes;
        self.groups[entry.group].waiting -= 1;
        // Any other request of the service passes the signal on to the first.
        let service = &self.groups[entry.group].service;
        let is_same = |other: &&Entry| &self.groups[other.group].service == service;
        if let Some(other) = self.entries.iter().find(is_same) {
            other.signal.notify_one();
        }
    }

    /// Returns the request of a service that goes first. Those that can no longer meet their
    /// deadline go last.
    pub fn first(&self, service: &str, shares: &impl ServedShares, now: Now) -> Option<WaiterId> {
        self.first_entry(service, shares, now)
            .map(|(entry, _)| entry.id)
    }

    /// Returns whether a request that waits goes before one that has just arrived.
    pub fn has_ahead(&self, waiter: &Waiter, shares: &impl ServedShares, now: Now) -> bool {
        let Some((_, (is_too_late, first_rank))) = self.first_entry(&waiter.service, shares, now)
        else {
            return false;
        };
        let own_rank = (
            waiter.urgency.aged(Duration::ZERO),
            shares.share_step(&waiter.service, &waiter.organisation, now),
            !waiter.came_back,
            waiter.latest_start,
        );
        !is_too_late && first_rank < own_rank
    }

    /// Wakes the first request of a service to see whether there is room for it.
    pub fn wake_first(&self, service: &str, shares: &impl ServedShares, now: Now) {
        if let Some((entry, _)) = self.first_entry(service, shares, now) {
            entry.signal.notify_one();
        }
    }

    /// Does the same for each service that requests wait for.
    pub fn wake_first_of_each(&self, shares: &impl ServedShares, now: Now) {
        let waiting = self.groups.iter().filter(|group| group.waiting > 0);
        let mut services: Vec<&str> = waiting.map(|group| group.service.as_str()).collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            self.wake_first(service, shares, now);
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn join_group(&mut self, waiter: Waiter) -> usize {
        let is_same = |group: &Group| {
            group.service == waiter.service && group.organisation == waiter.organisation
        };
        let found = self.groups.iter().position(is_same);
        let found = found.or_else(|| self.groups.iter().position(|group| group.waiting == 0));
        let index = found.unwrap_or(self.groups.len());
        let waiting = self.groups.get(index).map_or(0, |group| group.waiting);
        let group = Group {
            service: waiter.service,
            organisation: waiter.organisation,
            waiting: waiting + 1,
        };
        match self.groups.get_mut(index) {
            Some(known) => *known = group,
            None => self.groups.push(group),
        }
        index
    }

    fn first_entry(
        &self,
        service: &str,
        shares: &impl ServedShares,
        now: Now,
    ) -> Option<(&Entry, (bool, Rank))> {
        if self.entries.is_empty() {
            return None;
        }
        let share_step = |group: &Group| {
            let is_of_service = group.waiting > 0 && group.service == service;
            is_of_service.then(|| shares.share_step(service, &group.organisation, now))
        };
        let share_steps: Vec<Option<u8>> = self.groups.iter().map(share_step).collect();
        let ranked = self.entries.iter().filter_map(|entry| {
            let waited = now.monotonic.saturating_sub(entry.since);
            let rank = (
                entry.urgency.aged(waited),
                share_steps[entry.group]?,
                !entry.came_back,
                entry.latest_start,
            );
            let is_too_late = entry.latest_start < now.monotonic;
            Some((entry, (is_too_late, rank)))
        });
        ranked.min_by_key(|(entry, rank)| (*rank, entry.id))
    }
}

/// The place of a request in the queue; it is given up when dropped.
#[derive(Debug)]
pub struct WaitingPlace<'a> {
    queue: &'a RefCell<WaitQueue>,
    id: WaiterId,
    signal: Rc<Notify>,
}

impl<'a> WaitingPlace<'a> {
    /// Takes a place; `None` if too many requests wait already.
    pub fn take(queue: &'a RefCell<WaitQueue>, waiter: Waiter, now: Now) -> Option<Self> {
        let (id, signal) = queue.borrow_mut().enter(waiter, now)?;
        Some(Self { queue, id, signal })
    }

    /// Identifies the request in the queue.
    pub fn id(&self) -> WaiterId {
        self.id
    }

    /// Waits until the request is woken, for at most this long.
    pub async fn woken(&self, at_most: Duration) {
        // Whether it was woken or the time passed, the request is decided on again.
        let _ = tokio::time::timeout(at_most, self.signal.notified()).await;
    }
}

impl Drop for WaitingPlace<'_> {
    fn drop(&mut self) {
        self.queue.borrow_mut().leave(self.id);
    }
}
