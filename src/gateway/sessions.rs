//! Which version served each session of late, so that a roll-out does not move it.

use crate::clock::Now;
use std::collections::HashMap;
use std::time::Duration;

/// Sessions kept at most; the oldest knowledge goes first when there are more.
const MOST_SESSIONS: usize = 8192;

/// The sessions that this box served a short while ago.
#[derive(Debug)]
pub struct Sessions {
    lifetime: Duration,
    versions: HashMap<String, (String, Duration)>,
}

impl Sessions {
    /// Makes an empty memory of sessions that end when nothing comes for `lifetime`.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            versions: HashMap::new(),
        }
    }

    /// Records which version serves a session.
    pub fn served(&mut self, session: &str, version: &str, now: Now) {
        if self.versions.len() >= MOST_SESSIONS {
            self.forget(now);
        }
        if self.versions.len() < MOST_SESSIONS || self.versions.contains_key(session) {
            let entry = (version.to_owned(), now.monotonic);
            self.versions.insert(session.to_owned(), entry);
        }
    }

    /// Returns the version that served a session, if the session is not over.
    pub fn version(&self, session: &str, now: Now) -> Option<&str> {
        let (version, at) = self.versions.get(session)?;
        let is_live = now.monotonic.saturating_sub(*at) < self.lifetime;
        is_live.then_some(version.as_str())
    }

    /// Forgets the sessions that are over.
    pub fn forget(&mut self, now: Now) {
        let lifetime = self.lifetime;
        self.versions
            .retain(|_, (_, at)| now.monotonic.saturating_sub(*at) < lifetime);
    }
}
