//! Which version served each session of late, so that a roll-out does not move it.
//!
//! A session's requests reach several boxes, so boxes tell each other which sessions the
//! old version serves when a roll-out is ordered. Those keep it for the first half.

use super::rollout::may_move_in_first_stage;
use crate::clock::Now;
use crate::gateway::control::store::RolloutOrder;
use crate::gateway::place::choose::draw;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Sessions kept at most; the oldest knowledge goes first when there are more.
const MAX_SESSIONS: usize = 8192;

/// The sessions that this box served or heard of.
#[derive(Debug)]
pub struct SessionVersions {
    idle_timeout: Duration,
    versions: HashMap<u64, (String, Duration)>,
    /// The sessions that stay with the old version, by the order's revision.
    kept_on_old: HashMap<u64, HashSet<u64>>,
}

impl SessionVersions {
    /// Makes an empty memory of sessions that end when nothing comes for `lifetime`.
    pub fn new(idle_timeout: Duration) -> Self {
        Self {
            idle_timeout,
            versions: HashMap::new(),
            kept_on_old: HashMap::new(),
        }
    }

    /// Records which version serves a session.
    pub fn record_version(&mut self, session: &str, version: &str, now: Now) {
        if self.versions.len() >= MAX_SESSIONS {
            self.remove_expired(now);
        }
        let session = draw(session);
        if self.versions.len() < MAX_SESSIONS || self.versions.contains_key(&session) {
            let entry = (version.to_owned(), now.monotonic);
            self.versions.insert(session, entry);
        }
    }

    /// Returns the version that served a session, if the session is not over.
    pub fn current_version(&self, session: &str, now: Now) -> Option<&str> {
        let (version, at) = self.versions.get(&draw(session))?;
        let is_active = now.monotonic.saturating_sub(*at) < self.idle_timeout;
        is_active.then_some(version.as_str())
    }

    /// Tells whether a session stays with the old version in an order's first half.
    pub fn stays_on_old_version(&self, session: &str, order_revision: u64) -> bool {
        self.kept_on_old
            .get(&order_revision)
            .is_some_and(|kept_on_old| kept_on_old.contains(&draw(session)))
    }

    /// Takes the sessions that another box knows to be served by the old version.
    pub fn keep_on_old_version(&mut self, order_revision: u64, sessions: &[u64]) {
        let kept_on_old = self.kept_on_old.entry(order_revision).or_default();
        kept_on_old.extend(sessions);
    }

    /// Returns the sessions that an order's first stage could move, and that the old
    /// version serves as far as this box knows.
    pub fn sessions_to_keep(&mut self, order: &RolloutOrder, now: Now) -> Vec<u64> {
        let idle_timeout = self.idle_timeout;
        let kept_session = |(session, (version, at)): (&u64, &(String, Duration))| {
            let is_active = now.monotonic.saturating_sub(*at) < idle_timeout;
            let has_old_version = *version != order.target;
            (is_active && has_old_version && may_move_in_first_stage(*session)).then_some(*session)
        };
        let own: Vec<u64> = self.versions.iter().filter_map(kept_session).collect();
        self.keep_on_old_version(order.revision, &own);
        own
    }

    /// Forgets the sessions that are over.
    pub fn remove_expired(&mut self, now: Now) {
        let idle_timeout = self.idle_timeout;
        self.versions
            .retain(|_, (_, at)| now.monotonic.saturating_sub(*at) < idle_timeout);
    }
}
