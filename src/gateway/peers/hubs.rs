//! Passing on what the store holds, so that few boxes call it: the hubs' side.
//!
//! The hubs are the box with the widest link, and the one with the widest link in another
//! hall. The others ask one of them several times a second, with the revision that they
//! have reached, and are told what came since. An answer names the age of the hub's
//! knowledge, and the asking box counts that from its own question, so that no delay on
//! the way makes knowledge look fresher than it is. A hub also tells its askers and the
//! other hub of news at once. What does not fit into a datagram is fetched over an `h2`
//! stream from a box that the hub names ([`super::spread`]). The side of the boxes that ask is
//! [`super::asking`].
//! See `docs/design/platform.md` and `docs/design/spreading.md`.

use super::fetch::PackedEverything;
use super::spread::{Lacking, Source, Spread};
use crate::clock::{Now, millis};
use crate::gateway::Gateway;
use crate::gateway::control::mirror::PackedChanges;
use crate::gateway::control::store::BoxEntry;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// The most bytes of items that go into a datagram.
const DATAGRAM_ITEMS: usize = 12 * 1024;

/// A question to a hub.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Question {
    /// The revision that the asking box has reached.
    pub after: u64,
    /// The asking box's steady clock when it asked, in microseconds.
    pub asked_micros: u64,
    /// What became of the fetch that it was told to make.
    pub fetching: Fetching,
}

/// How a box's fetch stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Fetching {
    /// There is none, or the last one ended well.
    #[default]
    None,
    /// It goes on.
    UnderWay,
    /// It failed there.
    Failed(Source),
}

/// A hub's answer, or its news without a question.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Told {
    /// The clock of the question that this answers; none for news.
    pub asked_micros: Option<u64>,
    /// The age of the hub's knowledge, in milliseconds.
    pub age_ms: u64,
    /// The revision that the hub has reached.
    pub revision: u64,
    /// What came since, as far as it fits.
    pub changes: PackedChanges,
    /// Where the rest is to be fetched; none if there is no rest.
    pub rest: Option<Source>,
}

/// What this box knows, as a hub, of the boxes that ask it.
#[derive(Debug, Default)]
pub struct Hubs {
    spread: RefCell<Spread>,
    /// What boxes that start are told.
    pub everything: PackedEverything,
}

/// Returns the hubs among boxes: the one with the widest link, and the one with the widest
/// link in another hall, or else the next. Of links as wide, the box registered longest.
///
/// A hub has the whole of each change from the store, a megabyte at times, before any other
/// box can have it: a link of 10 Mbit/s takes 1.1 s for that, one of 200 Mbit/s 0.06 s.
pub fn choose_hubs<'a>(boxes: impl Iterator<Item = &'a BoxEntry>) -> Vec<&'a BoxEntry> {
    let mut boxes: Vec<&BoxEntry> = boxes.collect();
    boxes.sort_by_key(|entry| (Reverse(entry.link_mbps), entry.registered));
    let Some((first, rest)) = boxes.split_first() else {
        return Vec::new();
    };
    let other_hall = rest.iter().find(|entry| entry.hall != first.hall);
    let second = other_hall.or(rest.first());
    std::iter::once(*first).chain(second.copied()).collect()
}

impl Hubs {
    /// Answers a question.
    pub fn answer(&self, gw: &Gateway, question: Question, from: SocketAddr, now: Now) -> Told {
        {
            let mut spread = self.spread.borrow_mut();
            spread.heard_of(from, question.after, now);
            if question.fetching != Fetching::UnderWay {
                spread.fetch_ended(from);
            }
        }
        let mut told = self.tell(gw, from, question.after, question.fetching, now);
        told.asked_micros = Some(question.asked_micros);
        told
    }

    fn tell(&self, gw: &Gateway, to: SocketAddr, after: u64, fetching: Fetching, now: Now) -> Told {
        let mut changes = gw.mirror.borrow_mut().changes_after(after, false);
        let bytes = changes.len();
        let left_out = changes.leave_out_beyond(DATAGRAM_ITEMS);
        let rest = left_out.map(|revision| {
            let failed = match fetching {
                // It has its sender already.
                Fetching::UnderWay => return Source::AskAgain,
                Fetching::Failed(source) => Some(source),
                Fetching::None => None,
            };
            let lacking = Lacking {
                revision,
                bytes: bytes - changes.len(),
                failed,
            };
            let settings = gw.settings();
            let knowledge = gw.knowledge.borrow();
            let halls = Halls::of(knowledge.boxes(), &settings.hall, to);
            let is_near = |sender| halls.are_same(sender);
            let mut spread = self.spread.borrow_mut();
            spread.source_for(to, lacking, is_near, now)
        });
        let age = gw.knowledge.borrow().age(now);
        Told {
            asked_micros: None,
            age_ms: millis(age.unwrap_or(Duration::MAX)),
            revision: changes.revision,
            changes,
            rest,
        }
    }

    /// Tells whether any box asked this one a short while ago.
    pub fn has_askers(&self, now: Now) -> bool {
        !self.spread.borrow_mut().askers(now).is_empty()
    }
}

/// The halls of boxes, as seen by one that is to fetch.
struct Halls<'a> {
    receiver: Option<&'a str>,
    hub: &'a str,
    of: HashMap<SocketAddr, &'a str>,
}

impl<'a> Halls<'a> {
    fn of(boxes: impl Iterator<Item = &'a BoxEntry>, hub: &'a str, receiver: SocketAddr) -> Self {
        let halls = boxes.map(|entry| (entry.address, entry.hall.as_str()));
        let of: HashMap<SocketAddr, &str> = halls.collect();
        Self {
            receiver: of.get(&receiver).copied(),
            hub,
            of,
        }
    }

    fn are_same(&self, sender: Option<SocketAddr>) -> bool {
        let sender = match sender {
            Some(sender) => self.of.get(&sender).copied(),
            None => Some(self.hub),
        };
        sender.is_some() && sender == self.receiver
    }
}

/// Tells the other hub and the askers of news at once, for as long as the process lives.
///
/// Boxes that have reached the same revision are told the same, unless they have to fetch, so
/// that a change is packed and written down once and not once for each box.
pub async fn tell_news(gw: &Gateway, send: impl AsyncFn(&[SocketAddr], Told)) {
    let mut told_before = gw.mirror.borrow().revision();
    loop {
        // Made before the look at the revision, so that no news in between is missed.
        let news = gw.items_changed.notified();
        let revision = gw.mirror.borrow().revision();
        if revision == told_before {
            news.await;
            continue;
        }
        let now = Now::read();
        for (reached, boxes) in told_of_news(gw, told_before, now) {
            if reached >= revision {
                continue;
            }
            let Some(&first) = boxes.first() else {
                continue;
            };
            let told = gw.hubs.tell(gw, first, reached, Fetching::None, now);
            if told.rest.is_none() {
                gw.hubs.spread.borrow_mut().told(&boxes, told.revision);
                send(&boxes, told).await;
                continue;
            }
            send(&[first], told).await;
            for address in &boxes[1..] {
                let told = gw.hubs.tell(gw, *address, reached, Fetching::None, now);
                send(&[*address], told).await;
            }
        }
        told_before = revision;
    }
}

/// Returns the boxes that are told of news, by the revision that they have reached.
fn told_of_news(gw: &Gateway, told_before: u64, now: Now) -> BTreeMap<u64, Vec<SocketAddr>> {
    let askers = gw.hubs.spread.borrow_mut().askers(now);
    let mut told: BTreeMap<u64, Vec<SocketAddr>> = BTreeMap::new();
    for (address, reached) in &askers {
        told.entry(*reached).or_default().push(*address);
    }
    if !gw.is_hub() {
        return told;
    }
    // Hubs ask nobody while they reach the store, and the one with the wider link has a
    // large change long before the other.
    let own = gw.settings().peer_addr;
    let knowledge = gw.knowledge.borrow();
    for hub in choose_hubs(knowledge.boxes()) {
        let is_told = askers.iter().any(|(address, _)| *address == hub.address);
        if hub.address != own && !is_told {
            told.entry(told_before).or_default().push(hub.address);
        }
    }
    told
}
