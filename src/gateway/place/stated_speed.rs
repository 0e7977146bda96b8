//! What engines state in their load reports of how long work takes: usually, and at the moment.
//!
//! The usual level distinguishes engines that are permanently slower or faster long before enough
//! answers are measured; what exceeds it is a slowdown of the moment. See
//! `docs/design/uneven-engines.md`.

use crate::clock::Now;
use crate::gateway::control::state::ControlPlaneState;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bounds of a stated work time in percent, so that figures which mean nothing do little harm.
const STATED_BOUNDS_PERCENT: (u32, u32) = (25, 400);
/// Largest rise of the usual level by one statement, in octaves: a moment has several statements,
/// and its end corrects the level.
const LEVEL_RISE_OCTAVES: f64 = 0.1;
/// Largest distance of an engine's usual level from that of its service that is believed, in
/// octaves: engines of two generations differ by a factor of two and some more, and one that states
/// more than it does draws at most that multiple of its share until it is measured.
const MAX_LEVEL_OCTAVES: f64 = 1.25;
/// Age up to which a statement counts fully.
const STATEMENT_FULL_AGE: Duration = Duration::from_millis(250);
/// Age from which a statement counts no more.
const STATEMENT_MAX_AGE: Duration = Duration::from_secs(1);

/// What one engine states, in octaves (powers of two) of the work time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Statements {
    /// The latest statement, and when it was made.
    latest: Option<(f64, Duration)>,
    /// The level that this box heard; `None` before the first statement.
    own_level: Option<f64>,
    /// The level that other boxes heard.
    peer_level: Option<f64>,
    /// The median of the levels of the service's engines.
    service_level: f64,
}

impl Statements {
    /// Records how long work takes at the moment, in percent of the usual time.
    #[must_use]
    pub fn record(self, percent: u32, now: Now) -> Self {
        let percent = percent.clamp(STATED_BOUNDS_PERCENT.0, STATED_BOUNDS_PERCENT.1);
        let octaves = (f64::from(percent) / 100.0).log2();
        Self {
            latest: Some((octaves, now.monotonic)),
            own_level: Some(self.followed(self.own_level, octaves)),
            ..self
        }
    }

    /// Records the level that another box heard.
    #[must_use]
    pub fn record_peer_level(self, octaves: f64) -> Self {
        Self {
            peer_level: Some(self.followed(self.peer_level, octaves)),
            ..self
        }
    }

    /// Sets the median of the levels of the service's engines.
    #[must_use]
    pub fn with_service_level(self, octaves: f64) -> Self {
        Self {
            service_level: octaves,
            ..self
        }
    }

    /// Returns the level after a statement: it falls at once and rises by steps, so that it settles
    /// at what the engine states outside of slow moments. The first statement may be of such a
    /// moment.
    fn followed(self, level: Option<f64>, octaves: f64) -> f64 {
        let most = match level {
            Some(level) => level + LEVEL_RISE_OCTAVES,
            None => self.service_level.max(0.0),
        };
        octaves.min(most)
    }

    /// Returns the level that this box heard, for other boxes.
    pub fn own_level(self) -> Option<f64> {
        self.own_level
    }

    /// Returns what the engine usually states; `None` if nothing was heard.
    pub fn level(self) -> Option<f64> {
        match (self.own_level, self.peer_level) {
            (Some(own), Some(peers)) => Some(own.min(peers)),
            (own, peers) => own.or(peers),
        }
    }

    /// Returns the logarithm of the lasting speed, relative to the engines of the service, that
    /// follows from the level; `None` if nothing was heard.
    pub fn lasting_octaves(self) -> Option<f64> {
        let level = self.level()?;
        Some((self.service_level - level).clamp(-MAX_LEVEL_OCTAVES, MAX_LEVEL_OCTAVES))
    }

    /// Returns the logarithm of the slowdown that the latest statement still stands for.
    pub fn slowdown_octaves(self, now: Now) -> f64 {
        let (Some((octaves, at)), Some(level)) = (self.latest, self.level()) else {
            return 0.0;
        };
        let age = now.monotonic.saturating_sub(at);
        let left = STATEMENT_MAX_AGE.saturating_sub(age).as_secs_f64();
        let fading = STATEMENT_MAX_AGE
            .saturating_sub(STATEMENT_FULL_AGE)
            .as_secs_f64();
        (octaves - level).max(0.0) * (left / fading).min(1.0)
    }

    /// Returns the age of this box's latest statement.
    pub fn age(self, now: Now) -> Option<Duration> {
        let (_, at) = self.latest?;
        Some(now.monotonic.saturating_sub(at))
    }
}

/// Tells each engine the median of what the engines of its service usually state, so that a service
/// whose engines all state the same has engines of the usual speed.
pub fn update_service_levels(knowledge: &ControlPlaneState) {
    let mut levels: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for upstream in knowledge.upstreams() {
        if let Some(level) = upstream.speed().statements().level() {
            let service = upstream.with_listed(|listed| listed.service.clone());
            levels.entry(service).or_default().push(level);
        }
    }
    for upstream in knowledge.upstreams() {
        let of_service = upstream.with_listed(|listed| levels.get_mut(&listed.service));
        let median = of_service.and_then(|levels| {
            levels.sort_unstable_by(f64::total_cmp);
            levels.get(levels.len() / 2).copied()
        });
        if let Some(median) = median {
            upstream.speed().set_service_level(median);
        }
    }
}
