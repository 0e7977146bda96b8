//! What becomes of the connections that a thread serves.
//!
//! A thread that ends before its connections drops them. The end of each connection is therefore
//! logged, and one that is dropped is counted apart, so that the log of a stop shows whether it
//! cut anything.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio_util::task::task_tracker::TaskTrackerToken;

/// How a connection came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The last answer asked the caller to leave.
    AskedToLeave,
    /// The last answer said that nothing more was read.
    ToldUnread,
    /// The caller left, or nothing was under way for long.
    Rested,
    /// By HTTP/2, which has ends of its own.
    Http2,
}

/// What became of the connections of one thread.
#[derive(Debug)]
pub struct ThreadCounts {
    thread: usize,
    open: AtomicUsize,
    ended: AtomicUsize,
    dropped: AtomicUsize,
}

impl ThreadCounts {
    /// Makes the counts of a thread that has served nothing yet.
    pub fn new(thread: usize) -> Self {
        Self {
            thread,
            open: AtomicUsize::new(0),
            ended: AtomicUsize::new(0),
            dropped: AtomicUsize::new(0),
        }
    }
}

impl fmt::Display for ThreadCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let read = |count: &AtomicUsize| count.load(Ordering::Relaxed);
        let (open, ended, dropped) = (read(&self.open), read(&self.ended), read(&self.dropped));
        write!(
            f,
            "{}: {open} open, {ended} ended, {dropped} dropped",
            self.thread
        )
    }
}

/// Writes the counts of all threads for a line of the log.
pub fn describe(counts: &[Arc<ThreadCounts>]) -> String {
    let threads: Vec<String> = counts.iter().map(|counts| counts.to_string()).collect();
    threads.join("; ")
}

/// A connection from the moment it is given to a thread until it ends.
#[derive(Debug)]
pub struct ServedConnection {
    counts: Arc<ThreadCounts>,
    peer: SocketAddr,
    has_ended: bool,
    _open: TaskTrackerToken,
}

impl ServedConnection {
    /// Counts a connection as open.
    pub fn new(counts: Arc<ThreadCounts>, peer: SocketAddr, open: TaskTrackerToken) -> Self {
        counts.open.fetch_add(1, Ordering::Relaxed);
        Self {
            counts,
            peer,
            has_ended: false,
            _open: open,
        }
    }

    /// Counts the connection as ended.
    pub fn end(mut self, end: &eyre::Result<ConnectionEnd>) {
        self.has_ended = true;
        let (thread, peer) = (self.counts.thread, self.peer);
        match end {
            Ok(end) => log::debug!(thread, peer:%, end:?; "a connection has ended"),
            Err(err) => log::debug!(thread, peer:%; "a connection has ended: {err}"),
        }
    }
}

impl Drop for ServedConnection {
    fn drop(&mut self) {
        self.counts.open.fetch_sub(1, Ordering::Relaxed);
        if self.has_ended {
            self.counts.ended.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        let (thread, peer) = (self.counts.thread, self.peer);
        log::error!(thread, peer:%; "a connection is dropped while it is served");
    }
}
