//! How far this process is past its own limits: how late it gets to its work, and how late its
//! network link carries what it sends and receives.
//!
//! A process that does not measure its own delay takes it for that of others. See
//! `docs/design/saturation.md`.

pub mod concurrency_limit;
pub mod connect_times;
pub mod delay_window;
pub mod instruments;
pub mod sampler;
pub mod withdrawal;

use crate::clock::Now;
use connect_times::ConnectTimes;
use delay_window::DelayWindow;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The delay from which measured times and time-outs say nothing of others: several round trips.
const DISTORTING_DELAY: Duration = Duration::from_millis(20);
/// How many connections are waited for at once only to measure the network.
const MAX_LATE_CONNECTS: usize = 16;

/// The delays that a thread, or a process with one thread for requests, causes by itself.
#[derive(Debug, Default)]
pub struct Saturation {
    scheduling: RefCell<DelayWindow>,
    network: RefCell<DelayWindow>,
    connect_times: RefCell<ConnectTimes>,
    /// Held once by each connection that is only waited for to measure the network.
    late_connects: Rc<()>,
}

/// The delays that everything has suffered lately, by where they arise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OwnDelay {
    /// From when a task could go on until it did.
    pub scheduling: Duration,
    /// On the link of this box, in both directions.
    pub network: Duration,
}

impl OwnDelay {
    /// Returns the longer one. They are not added, since a late process also sees its network late.
    pub fn longest(self) -> Duration {
        self.scheduling.max(self.network)
    }
}

impl Saturation {
    /// Records how late a task went on.
    pub fn record_scheduling(&self, delay: Duration, now: Now) {
        self.scheduling.borrow_mut().record(delay, now);
    }

    /// Records that a connection to an upstream of a hall was opened, which began at `began`.
    pub fn record_connect(&self, hall: &str, began: Now, now: Now) {
        let took = now.monotonic.saturating_sub(began.monotonic);
        let excess = self.connect_times.borrow_mut().excess(hall, took, now);
        self.network.borrow_mut().record(excess, now);
    }

    /// Counts a connection that is only waited for to measure the network, until the count is
    /// dropped; `None` if enough of them are.
    pub fn count_late_connect(&self) -> Option<Rc<()>> {
        let has_room = Rc::strong_count(&self.late_connects) <= MAX_LATE_CONNECTS;
        has_room.then(|| self.late_connects.clone())
    }

    /// Returns the delays at present.
    pub fn current(&self, now: Now) -> OwnDelay {
        OwnDelay {
            scheduling: self.scheduling.borrow().standing(now),
            network: self.network.borrow().standing(now),
        }
    }

    /// Returns the longest delay since a time on the monotonic clock.
    pub fn longest_since(&self, since: Duration, now: Now) -> Duration {
        let scheduling = self.scheduling.borrow().longest_since(since, now);
        let network = self.network.borrow().longest_since(since, now);
        scheduling.max(network)
    }

    /// Returns whether the process was late since a time on the monotonic clock, so that what took
    /// long since then may have done so because of it.
    pub fn was_late_since(&self, since: Duration, now: Now) -> bool {
        self.longest_since(since, now) >= DISTORTING_DELAY
    }

    /// Waits for something that others have to do within `limit`; `None` if they did not.
    ///
    /// The limit is extended by the process's own delay, which the others do not cause.
    pub async fn timeout<T>(&self, limit: Duration, future: impl Future<Output = T>) -> Option<T> {
        let began = Now::read().monotonic;
        let mut future = std::pin::pin!(future);
        let mut wait = limit;
        loop {
            if let Ok(output) = tokio::time::timeout(wait, future.as_mut()).await {
                return Some(output);
            }
            let now = Now::read();
            let due = began + limit + self.longest_since(began, now);
            wait = due.saturating_sub(now.monotonic);
            if wait.is_zero() {
                return None;
            }
        }
    }
}
