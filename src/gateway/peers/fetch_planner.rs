//! Decides which box sends a large change to which other box, so that no link has to carry many
//! copies.
//!
//! A hub knows from their polls which boxes already have a change. It directs each box that lacks
//! it to a box that has it and is not busy sending, or has it retry later if all are busy; so the
//! number of senders doubles each round. A single sender would have to send 300 * 60 kB over its
//! own link, 14 s at 10 Mbit/s; in rounds it sends eight copies. See `docs/design/spreading.md`.

use crate::clock::Now;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The bytes that a box may be sending at a time. A link of 10 Mbit/s carries them in 0.08 s, which
/// is about the time after which a box that has to retry does so.
const MAX_BYTES_IN_FLIGHT: usize = 100_000;
/// The most boxes that a box sends to at a time, even if the change is small: each costs a
/// connection and some processor time.
const MAX_RECEIVERS: usize = 8;
/// How long after its last poll a box is considered alive.
const POLLER_LIFETIME: Duration = Duration::from_secs(2);
/// How long a fetch occupies its sender before the slot is given to another box. A fetch takes less
/// time unless it fails, and then the box polls again by itself.
const FETCH_SLOT_LIFETIME: Duration = Duration::from_millis(1500);

/// Where a box can fetch a large change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FetchSource {
    /// From the hub that it polled.
    Hub,
    /// From another box.
    Peer(SocketAddr),
    /// Nowhere at the moment; it has to poll again.
    RetryLater,
}

/// A hub's record of the boxes that poll it and of their fetches.
#[derive(Debug, Default)]
pub struct FetchPlanner {
    pollers: HashMap<SocketAddr, Poller>,
    /// The fetches in progress by receiver. A sender of `None` is the hub itself.
    fetches: HashMap<SocketAddr, Fetch>,
}

#[derive(Debug, Clone, Copy)]
struct Poller {
    last_polled: Duration,
    /// The revision that it reported as reached.
    reached_revision: u64,
    /// The revision that it has reached if the last update arrived.
    sent_revision: u64,
}

#[derive(Debug, Clone, Copy)]
struct Fetch {
    sender: Option<SocketAddr>,
    since: Duration,
}

/// A large change that a box lacks.
#[derive(Debug, Clone, Copy)]
pub struct MissingChange {
    /// A box that has reached this revision has the change.
    pub revision: u64,
    /// The size of the change in bytes.
    pub bytes: usize,
    /// The source from which the last fetch failed.
    pub failed_source: Option<FetchSource>,
}

impl FetchPlanner {
    /// Records a poll and the revision that the box has reached.
    pub fn record_poll(&mut self, poller: SocketAddr, reached: u64, now: Now) {
        let polled = Poller {
            last_polled: now.monotonic,
            reached_revision: reached,
            sent_revision: reached,
        };
        self.pollers.insert(poller, polled);
    }

    /// Records that boxes were sent all changes up to a revision.
    pub fn record_sent(&mut self, boxes: &[SocketAddr], revision: u64) {
        for address in boxes {
            if let Some(poller) = self.pollers.get_mut(address) {
                poller.sent_revision = revision;
            }
        }
    }

    /// Records that a box has finished or abandoned its fetch.
    pub fn record_fetch_end(&mut self, receiver: SocketAddr) {
        self.fetches.remove(&receiver);
    }

    /// Returns the boxes that polled recently, each with the revision that it has reached if the
    /// last update arrived.
    pub fn recent_pollers(&mut self, now: Now) -> Vec<(SocketAddr, u64)> {
        self.expire(now);
        let pollers = self.pollers.iter();
        pollers
            .map(|(address, poller)| (*address, poller.sent_revision))
            .collect()
    }

    fn expire(&mut self, now: Now) {
        let age = |at: Duration| now.monotonic.saturating_sub(at);
        self.pollers
            .retain(|_, poller| age(poller.last_polled) < POLLER_LIFETIME);
        self.fetches
            .retain(|_, fetch| age(fetch.since) < FETCH_SLOT_LIFETIME);
    }

    /// Returns the source from which a box should fetch a change that it lacks.
    ///
    /// `shares_hall` returns whether a sender (`None`: the hub) is in the receiver's hall. Among
    /// equally loaded senders, one in the same hall is preferred, since traffic between halls is
    /// expensive.
    pub fn source_for(
        &mut self,
        receiver: SocketAddr,
        missing: MissingChange,
        shares_hall: impl Fn(Option<SocketAddr>) -> bool,
        now: Now,
    ) -> FetchSource {
        self.expire(now);
        self.record_fetch_end(receiver);
        let max_receivers = (MAX_BYTES_IN_FLIGHT / missing.bytes.max(1)).clamp(1, MAX_RECEIVERS);
        let receivers = self.receivers_by_sender();
        let holders = self.pollers.iter().filter(|(address, poller)| {
            poller.reached_revision >= missing.revision && **address != receiver
        });
        let senders = holders.map(|(address, _)| Some(*address));
        let free = senders
            .chain([None])
            .filter(|sender| missing.failed_source != Some(source(*sender)))
            .map(|sender| {
                let receivers = receivers.get(&sender).copied().unwrap_or_default();
                (receivers, !shares_hall(sender), sender)
            })
            .filter(|(receivers, _, _)| *receivers < max_receivers)
            .min();
        let Some((_, _, sender)) = free else {
            return FetchSource::RetryLater;
        };
        let since = now.monotonic;
        self.fetches.insert(receiver, Fetch { sender, since });
        source(sender)
    }

    fn receivers_by_sender(&self) -> HashMap<Option<SocketAddr>, usize> {
        let mut receivers = HashMap::new();
        for fetch in self.fetches.values() {
            *receivers.entry(fetch.sender).or_default() += 1;
        }
        receivers
    }
}

fn source(sender: Option<SocketAddr>) -> FetchSource {
    sender.map_or(FetchSource::Hub, FetchSource::Peer)
}
