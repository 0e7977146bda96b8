//! Which version has recently served each session, so that a rollout does not move the session.
//!
//! The requests of a session reach several boxes. When a rollout is ordered, boxes therefore send
//! each other the sessions that the old version serves; these stay on it for the first half of the
//! rollout.

use super::rollout::may_move_in_first_stage;
use crate::clock::Now;
use crate::gateway::control::store::RolloutOrder;
use crate::gateway::place::choose::stable_hash;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// The maximum number of remembered sessions. When it is reached, expired sessions are removed; if
/// none are, new sessions are not recorded.
const MAX_SESSIONS: usize = 8192;

/// The sessions that this box has served, and those reported by other boxes.
#[derive(Debug)]
pub struct SessionVersions {
    idle_timeout: Duration,
    versions: HashMap<u64, (String, Duration)>,
    /// The hashes of the sessions that stay on the old version, by the revision of the order.
    kept_on_old: HashMap<u64, HashSet<u64>>,
}

impl SessionVersions {
    /// Creates an empty set of sessions, each of which expires after `idle_timeout` without a
    /// request.
    pub fn new(idle_timeout: Duration) -> Self {
        Self {
            idle_timeout,
            versions: HashMap::new(),
            kept_on_old: HashMap::new(),
        }
    }

    /// Records the version that serves a session.
    pub fn record_version(&mut self, session: &str, version: &str, now: Now) {
        if self.versions.len() >= MAX_SESSIONS {
            self.remove_expired(now);
        }
        let session = stable_hash(session);
        if self.versions.len() < MAX_SESSIONS || self.versions.contains_key(&session) {
            let entry = (version.to_owned(), now.monotonic);
            self.versions.insert(session, entry);
        }
    }

    /// Returns the version that served a session, unless the session has expired.
    pub fn current_version(&self, session: &str, now: Now) -> Option<&str> {
        let (version, at) = self.versions.get(&stable_hash(session))?;
        let is_active = now.monotonic.saturating_sub(*at) < self.idle_timeout;
        is_active.then_some(version.as_str())
    }

    /// Returns whether a session stays on the old version in the first half of a rollout.
    pub fn stays_on_old_version(&self, session: &str, order_revision: u64) -> bool {
        self.kept_on_old
            .get(&order_revision)
            .is_some_and(|kept_on_old| kept_on_old.contains(&stable_hash(session)))
    }

    /// Adds sessions that the old version serves according to another box.
    pub fn keep_on_old_version(&mut self, order_revision: u64, sessions: &[u64]) {
        let kept_on_old = self.kept_on_old.entry(order_revision).or_default();
        kept_on_old.extend(sessions);
    }

    /// Returns the sessions that the first stage of a rollout could move and that this box has seen
    /// served by the old version.
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

    /// Removes expired sessions.
    pub fn remove_expired(&mut self, now: Now) {
        let idle_timeout = self.idle_timeout;
        self.versions
            .retain(|_, (_, at)| now.monotonic.saturating_sub(*at) < idle_timeout);
    }
}
