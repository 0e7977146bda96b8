//! Bounds how many requests wait for their turn at upstreams with limits.
//!
//! More requests than there will be turns would wait in vain; they are refused at once instead.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// The number of waiting requests by service.
#[derive(Debug, Default)]
pub struct TurnQueue(RefCell<HashMap<String, Rc<Cell<u32>>>>);

/// Counts a request as waiting until dropped.
#[derive(Debug)]
pub struct WaitingTurn(Rc<Cell<u32>>);

impl TurnQueue {
    /// Lets a request wait, unless as many wait already as will have turns while it may wait; one
    /// always may.
    pub fn enter(&self, service: &str, expected_turns: f64) -> Option<WaitingTurn> {
        let mut waiting = self.0.borrow_mut();
        let count = waiting.entry(service.to_owned()).or_default();
        let has_room = f64::from(count.get()) < expected_turns.floor().max(1.0);
        has_room.then(|| {
            count.set(count.get() + 1);
            WaitingTurn(count.clone())
        })
    }

    /// Returns whether a request of a service waits.
    pub fn has_waiting(&self, service: &str) -> bool {
        let waiting = self.0.borrow();
        waiting.get(service).is_some_and(|count| count.get() > 0)
    }
}

impl Drop for WaitingTurn {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
