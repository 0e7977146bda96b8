//! Bounds how many connections of callers are open.
//!
//! A connection takes memory and a descriptor for as long as its caller likes. At the limit, the
//! connections that have been idle longest make room for new ones. See
//! `docs/design/slow-readers.md`.

use super::request_gate::RequestGate;
use crate::clock::Now;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// How long a connection is left alone after its last answer, and a caller that does not read has
/// time to go on.
const MIN_IDLE: Duration = Duration::from_secs(1);
/// The part of the connections that is closed at once, as a divisor, so that they are looked through
/// rarely.
const CLOSED_DIVISOR: usize = 64;

/// Ends a caller's connection.
#[derive(Debug, Default)]
pub struct ConnectionCut(Notify);

impl ConnectionCut {
    /// Ends the connection.
    pub fn cut(&self) {
        self.0.notify_one();
    }

    /// Waits until the connection has to end.
    pub async fn wait(&self) {
        self.0.notified().await;
    }
}

/// The open connections of a server's callers.
#[derive(Debug)]
pub struct OpenConnections {
    limit: Cell<usize>,
    open: RefCell<HashMap<u64, Entry>>,
    next_id: Cell<u64>,
}

#[derive(Debug)]
struct Entry {
    gate: Rc<RequestGate>,
    cut: Rc<ConnectionCut>,
}

/// Counts a connection as open until this is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Rc<OpenConnections>,
    id: u64,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.id);
    }
}

impl Default for OpenConnections {
    /// No connections, and no limit.
    fn default() -> Self {
        Self {
            limit: Cell::new(usize::MAX),
            open: RefCell::default(),
            next_id: Cell::default(),
        }
    }
}

impl OpenConnections {
    /// Sets the limit. Connections beyond a smaller one stay until others need room.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a connection.
    pub fn add(self: &Rc<Self>, gate: &Rc<RequestGate>, cut: &Rc<ConnectionCut>) -> OpenConnection {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let entry = Entry {
            gate: gate.clone(),
            cut: cut.clone(),
        };
        self.open.borrow_mut().insert(id, entry);
        OpenConnection {
            connections: self.clone(),
            id,
        }
    }

    /// Returns whether another connection may be opened. At the limit, the connections that have been
    /// idle longest are closed.
    pub fn make_room(&self, now: Now) -> bool {
        let limit = self.limit.get();
        if self.len() >= limit {
            self.close_longest_idle((limit / CLOSED_DIVISOR).max(1), now);
        }
        self.len() < limit
    }

    fn close_longest_idle(&self, count: usize, now: Now) {
        let mut open = self.open.borrow_mut();
        let idle = open.iter().filter_map(|(id, entry)| {
            let since = entry.gate.idle_since()?;
            (now.monotonic.saturating_sub(since) >= MIN_IDLE).then_some((since, *id))
        });
        let mut idle: Vec<(Duration, u64)> = idle.collect();
        idle.sort_unstable();
        idle.truncate(count);
        for (_since, id) in &idle {
            if let Some(entry) = open.remove(id) {
                entry.cut.cut();
            }
        }
        let closed = idle.len();
        if closed == 0 {
            return;
        }
        log::info!(open = open.len(), closed, limit = self.limit.get(); "closed connections of callers that were idle longest");
    }
}
