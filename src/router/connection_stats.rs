//! Counts how the connections of each thread end.
//!
//! A thread that ends before its connections drops them. The end of each connection is therefore
//! logged, and dropped connections are counted separately, so that the log of a stop shows whether
//! any were cut.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio_util::task::task_tracker::TaskTrackerToken;

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The last response announced the close of the connection.
    CloseAnnounced,
    /// The router reported that it read no further request.
    UnreadReported,
    /// The caller closed the connection, or it was idle for too long.
    Idle,
    /// The router closed it unread, since it had more to do than it can.
    AtOwnLimit,
    /// An HTTP/2 connection, which has its own ways to end.
    Http2,
}

/// The number of open, ended and dropped connections of one thread.
#[derive(Debug)]
pub struct ThreadCounts {
    thread: usize,
    open: AtomicUsize,
    ended: AtomicUsize,
    dropped: AtomicUsize,
}

impl ThreadCounts {
    /// Creates the counts of a thread that has not served a connection yet.
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

/// Formats the counts of all threads for a log line.
pub fn describe_counts(counts: &[Arc<ThreadCounts>]) -> String {
    let threads: Vec<String> = counts.iter().map(|counts| counts.to_string()).collect();
    threads.join("; ")
}

/// A connection from its assignment to a thread until its end.
#[derive(Debug)]
pub struct ServedConnection {
    counts: Arc<ThreadCounts>,
    peer: SocketAddr,
    is_ended: bool,
    _open_token: TaskTrackerToken,
}

impl ServedConnection {
    /// Counts a connection as open.
    pub fn new(counts: Arc<ThreadCounts>, peer: SocketAddr, open_token: TaskTrackerToken) -> Self {
        counts.open.fetch_add(1, Ordering::Relaxed);
        Self {
            counts,
            peer,
            is_ended: false,
            _open_token: open_token,
        }
    }

    /// Counts the connection as ended.
    pub fn record_end(mut self, end: &eyre::Result<ConnectionEnd>) {
        self.is_ended = true;
        let (thread, peer) = (self.counts.thread, self.peer);
        match end {
            Ok(end) => log::debug!(thread, peer:%, end:?; "connection ended"),
            Err(err) => log::debug!(thread, peer:%; "connection ended with an error: {err}"),
        }
    }
}

impl Drop for ServedConnection {
    fn drop(&mut self) {
        self.counts.open.fetch_sub(1, Ordering::Relaxed);
        if self.is_ended {
            self.counts.ended.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        let (thread, peer) = (self.counts.thread, self.peer);
        log::error!(thread, peer:%; "a connection is dropped while it is served");
    }
}
