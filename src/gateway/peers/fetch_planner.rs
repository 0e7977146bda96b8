//! Which box gives a large change to which, so that no link has to carry many copies.
//!
//! A hub knows from their questions which boxes have a change already. It sends each box
//! that lacks one to a box that has it and has little to send, and tells it to ask again
//! where all have enough; so the senders double each round. One sender alone would need
//! 300 * 60 kB over its own link, 14 s at 10 Mbit/s; in rounds it takes eight copies.
//! See `docs/design/spreading.md`.

use crate::clock::Now;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The bytes that a box is to send at a time: a link of 10 Mbit/s carries them in 0.08 s,
/// which is about the time until a box that was told to ask again does so.
const SENT_AT_A_TIME: usize = 100_000;
/// The most boxes that one sends to at a time, however little it is: each costs a
/// connection and some processor time.
const MOST_RECEIVERS: usize = 8;
/// How long a box that asked is taken to be there.
const ASKER_LIFETIME: Duration = Duration::from_secs(2);
/// How long a box is left to fetch before its place at the sender is given to another: more
/// than a fetch takes unless it fails, and then the box asks again by itself.
const FETCH_LIFETIME: Duration = Duration::from_millis(1500);

/// Where a box finds a large change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Source {
    /// At the hub that it asked.
    Hub,
    /// At another box.
    Other(SocketAddr),
    /// Nowhere now; it is to ask again.
    AskAgain,
}

/// What a hub knows of the boxes that ask it.
#[derive(Debug, Default)]
pub struct Spread {
    askers: HashMap<SocketAddr, Asker>,
    /// The boxes that fetch, with their senders; none is the hub itself.
    fetches: HashMap<SocketAddr, Fetch>,
}

#[derive(Debug, Clone, Copy)]
struct Asker {
    at: Duration,
    /// The revision that it said it had reached.
    reached: u64,
    /// The revision that it has reached if the last news came through.
    told: u64,
}

#[derive(Debug, Clone, Copy)]
struct Fetch {
    sender: Option<SocketAddr>,
    since: Duration,
}

/// A large change that a box lacks.
#[derive(Debug, Clone, Copy)]
pub struct Lacking {
    /// The revision from which on a box has it.
    pub revision: u64,
    /// Its bytes.
    pub bytes: usize,
    /// Where it could not be fetched just now.
    pub failed: Option<Source>,
}

impl Spread {
    /// Records that a box asked, and the revision that it has reached.
    pub fn heard_of(&mut self, asker: SocketAddr, reached: u64, now: Now) {
        let asked = Asker {
            at: now.monotonic,
            reached,
            told: reached,
        };
        self.askers.insert(asker, asked);
    }

    /// Records that boxes were told all that there is up to a revision.
    pub fn told(&mut self, boxes: &[SocketAddr], revision: u64) {
        for address in boxes {
            if let Some(asker) = self.askers.get_mut(address) {
                asker.told = revision;
            }
        }
    }

    /// Records that a box has what it fetched, or has given up.
    pub fn fetch_ended(&mut self, receiver: SocketAddr) {
        self.fetches.remove(&receiver);
    }

    /// Returns the boxes that asked a short while ago, each with the revision that it has
    /// reached if what it was told came through.
    pub fn askers(&mut self, now: Now) -> Vec<(SocketAddr, u64)> {
        self.forget(now);
        let askers = self.askers.iter();
        askers
            .map(|(address, asker)| (*address, asker.told))
            .collect()
    }

    fn forget(&mut self, now: Now) {
        let age = |at: Duration| now.monotonic.saturating_sub(at);
        self.askers
            .retain(|_, asker| age(asker.at) < ASKER_LIFETIME);
        self.fetches
            .retain(|_, fetch| age(fetch.since) < FETCH_LIFETIME);
    }

    /// Returns where a box is to fetch what it lacks.
    ///
    /// `is_near` tells whether two boxes, or a box and the hub, share a hall; of senders with
    /// as little to do a near one is taken, since bytes between halls are dear.
    pub fn source_for(
        &mut self,
        receiver: SocketAddr,
        lacking: Lacking,
        is_near: impl Fn(Option<SocketAddr>) -> bool,
        now: Now,
    ) -> Source {
        self.forget(now);
        self.fetch_ended(receiver);
        let most = (SENT_AT_A_TIME / lacking.bytes.max(1)).clamp(1, MOST_RECEIVERS);
        let receivers = self.receivers_by_sender();
        let holders = self
            .askers
            .iter()
            .filter(|(address, asker)| asker.reached >= lacking.revision && **address != receiver);
        let senders = holders.map(|(address, _)| Some(*address));
        let free = senders
            .chain([None])
            .filter(|sender| lacking.failed != Some(source(*sender)))
            .map(|sender| {
                let receivers = receivers.get(&sender).copied().unwrap_or_default();
                (receivers, !is_near(sender), sender)
            })
            .filter(|(receivers, _, _)| *receivers < most)
            .min();
        let Some((_, _, sender)) = free else {
            return Source::AskAgain;
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

fn source(sender: Option<SocketAddr>) -> Source {
    sender.map_or(Source::Hub, Source::Other)
}
