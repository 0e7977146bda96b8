//! A bounded queue of updates to be sent to other boxes.

use std::cell::RefCell;
use std::collections::VecDeque;
use tokio::sync::Notify;

/// The most updates queued. They are normally sent within milliseconds; without a connection to
/// other boxes they would pile up, and only the newest still matter.
const MAX_PENDING: usize = 256;

/// The updates still to be sent, oldest first.
#[derive(Debug)]
pub struct Outbox<T> {
    pending: RefCell<VecDeque<T>>,
    added: Notify,
}

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self {
            pending: RefCell::default(),
            added: Notify::new(),
        }
    }
}

impl<T> Outbox<T> {
    /// Queues an update; drops the oldest one if the queue is full.
    pub fn push(&self, item: T) {
        let mut pending = self.pending.borrow_mut();
        if pending.len() == MAX_PENDING {
            pending.pop_front();
        }
        pending.push_back(item);
        self.added.notify_one();
    }

    /// Waits for updates and takes all queued ones.
    pub async fn next(&self) -> Vec<T> {
        loop {
            let pending = self.pending.take();
            if !pending.is_empty() {
                return pending.into();
            }
            self.added.notified().await;
        }
    }
}
