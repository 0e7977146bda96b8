//! A bounded queue of updates to be sent to other boxes.

use std::cell::RefCell;
use std::collections::VecDeque;
use tokio::sync::Notify;

/// The most updates queued by default. They are normally sent within milliseconds; without a
/// connection to other boxes they would pile up, and only the newest still matter.
const DEFAULT_LIMIT: usize = 256;

/// The updates still to be sent, oldest first.
#[derive(Debug)]
pub struct Outbox<T> {
    pending: RefCell<VecDeque<T>>,
    added: Notify,
    limit: usize,
}

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self::with_limit(DEFAULT_LIMIT)
    }
}

impl<T> Outbox<T> {
    /// Creates an empty queue of at most `limit` updates.
    pub fn with_limit(limit: usize) -> Self {
        Self {
            pending: RefCell::default(),
            added: Notify::new(),
            limit,
        }
    }

    /// Queues an update; drops the oldest one if the queue is full.
    pub fn push(&self, item: T) {
        let mut pending = self.pending.borrow_mut();
        if pending.len() == self.limit {
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
