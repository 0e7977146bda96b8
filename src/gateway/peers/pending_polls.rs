//! The polls of this process that await a response.
//!
//! A response proves how fresh the state of this box is only if it answers a poll of this process.
//! Clocks and counters of two processes cannot be compared, and a restarted box receives the
//! responses to its previous process, which had the same address. See `docs/design/spreading.md`.

use crate::clock::Now;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a poll awaits its response. A later one would prove an age at which nothing is served
/// any more.
const MAX_POLL_AGE: Duration = Duration::from_secs(10);

/// Identifies one poll among those of all processes. It is random, so that it says nothing of the
/// process that chose it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PollId(u64);

/// A poll that awaits its response.
#[derive(Debug, Clone, Copy)]
struct PendingPoll {
    to: SocketAddr,
    sent: Duration,
}

/// The polls that await a response.
#[derive(Debug, Default)]
pub struct PendingPolls(HashMap<PollId, PendingPoll>);

/// A poll of this process that was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnsweredPoll {
    sent: Duration,
}

impl PendingPolls {
    /// Records a poll that is sent to a box now, and returns its id.
    pub fn begin(&mut self, to: SocketAddr, now: Now) -> PollId {
        self.0
            .retain(|_, poll| now.monotonic.saturating_sub(poll.sent) < MAX_POLL_AGE);
        let id = PollId(rand::random());
        let sent = now.monotonic;
        self.0.insert(id, PendingPoll { to, sent });
        id
    }

    /// Ends the poll that a response from a box answers; `None` if this process has sent no such
    /// poll to that box, or it was answered before.
    pub fn finish(&mut self, id: PollId, from: SocketAddr) -> Option<AnsweredPoll> {
        let PendingPoll { to, sent } = *self.0.get(&id)?;
        if to != from {
            return None;
        }
        self.0.remove(&id);
        Some(AnsweredPoll { sent })
    }
}

impl AnsweredPoll {
    /// Returns the time, by this process's clock, for which the responder's state is proved to be
    /// current, given the age that the responder stated; `None` if that is before this clock began.
    ///
    /// The age counts back from when the poll was sent, since the responder stated it later.
    pub fn proves_as_of(self, stated_age: Duration) -> Option<Duration> {
        self.sent.checked_sub(stated_age)
    }
}
