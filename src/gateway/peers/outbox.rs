//! News that wait to be told to other boxes.

use std::cell::RefCell;
use std::collections::VecDeque;
use tokio::sync::Notify;

/// The most news that wait. A box tells them within milliseconds; where it has no way to others
/// they would pile up, and the newest are those that still matter.
const MOST_UNTOLD: usize = 256;

/// News that this box has still to tell, oldest first.
#[derive(Debug)]
pub struct Outbox<T> {
    untold: RefCell<VecDeque<T>>,
    rung: Notify,
}

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self {
            untold: RefCell::default(),
            rung: Notify::new(),
        }
    }
}

impl<T> Outbox<T> {
    /// Adds news; the oldest give way where too many wait.
    pub fn push(&self, news: T) {
        let mut untold = self.untold.borrow_mut();
        if untold.len() == MOST_UNTOLD {
            untold.pop_front();
        }
        untold.push_back(news);
        self.rung.notify_one();
    }

    /// Waits for news to tell.
    pub async fn next(&self) -> Vec<T> {
        loop {
            let untold = self.untold.take();
            if !untold.is_empty() {
                return untold.into();
            }
            self.rung.notified().await;
        }
    }
}
