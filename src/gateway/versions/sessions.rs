//! Which version served each session of late, so that a roll-out does not move it.
//!
//! A session's requests reach several boxes, so boxes tell each other which sessions the
//! old version serves when a roll-out is ordered. Those keep it for the first half.

use super::rollout::may_be_moved_first;
use crate::clock::Now;
use crate::gateway::control::store::RolloutOrder;
use crate::gateway::place::choose::stable_hash;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Sessions kept at most; the oldest knowledge goes first when there are more.
const MOST_SESSIONS: usize = 8192;

/// The sessions that this box served or heard of.
#[derive(Debug)]
pub struct Sessions {
    lifetime: Duration,
    versions: HashMap<u64, (String, Duration)>,
    /// The sessions that stay with the old version, by the order's revision.
    old: HashMap<u64, HashSet<u64>>,
}

impl Sessions {
    /// Makes an empty memory of sessions that end when nothing comes for `lifetime`.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            versions: HashMap::new(),
            old: HashMap::new(),
        }
    }

    /// Records which version serves a session.
    pub fn served(&mut self, session: &str, version: &str, now: Now) {
        if self.versions.len() >= MOST_SESSIONS {
            self.forget(now);
        }
        let session = stable_hash(session);
        if self.versions.len() < MOST_SESSIONS || self.versions.contains_key(&session) {
            let entry = (version.to_owned(), now.monotonic);
            self.versions.insert(session, entry);
        }
    }

    /// Returns the version that served a session, if the session is not over.
    pub fn version(&self, session: &str, now: Now) -> Option<&str> {
        let (version, at) = self.versions.get(&stable_hash(session))?;
        let is_live = now.monotonic.saturating_sub(*at) < self.lifetime;
        is_live.then_some(version.as_str())
    }

    /// Tells whether a session stays with the old version in an order's first half.
    pub fn stays_old(&self, session: &str, order_revision: u64) -> bool {
        self.old
            .get(&order_revision)
            .is_some_and(|old| old.contains(&stable_hash(session)))
    }

    /// Takes the sessions that another box knows to be served by the old version.
    pub fn keep_old(&mut self, order_revision: u64, sessions: &[u64]) {
        let old = self.old.entry(order_revision).or_default();
        old.extend(sessions);
    }

    /// Returns the sessions that an order's first stage could move, and that the old
    /// version serves as far as this box knows.
    pub fn old_ones(&mut self, order: &RolloutOrder, now: Now) -> Vec<u64> {
        let lifetime = self.lifetime;
        let is_old = |(session, (version, at)): (&u64, &(String, Duration))| {
            let is_live = now.monotonic.saturating_sub(*at) < lifetime;
            let is_served_by_old = *version != order.target;
            (is_live && is_served_by_old && may_be_moved_first(*session)).then_some(*session)
        };
        let mine: Vec<u64> = self.versions.iter().filter_map(is_old).collect();
        self.keep_old(order.revision, &mine);
        mine
    }

    /// Forgets the sessions that are over.
    pub fn forget(&mut self, now: Now) {
        let lifetime = self.lifetime;
        self.versions
            .retain(|_, (_, at)| now.monotonic.saturating_sub(*at) < lifetime);
    }
}
