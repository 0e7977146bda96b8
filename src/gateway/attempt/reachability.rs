//! Tracks whether this box itself can open connections to the upstreams of each service.
//!
//! An upstream that accepts no connection may have failed. If none of a service does, the fault is
//! more likely this box's own network. See `docs/design/lost-upstreams.md`.

use super::upstream::Upstream;
use crate::clock::Now;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// How many upstreams have to refuse connections, with none accepting one in between, before a
/// service counts as lost; services with fewer upstreams need all of them. Fewer would take the
/// crash of two upstreams for a fault of this box.
const MIN_FAILED_UPSTREAMS: usize = 3;
/// How long a failed connection counts; unreachable upstreams are probed several times in it.
const FAILURE_LIFETIME: Duration = Duration::from_secs(3);

/// What this box's own connections showed of each service.
#[derive(Debug, Default)]
pub struct Reachability {
    services: HashMap<String, ServiceReach>,
}

/// A service that was lost or that is reached again.
#[derive(Debug, Clone)]
pub enum ReachChange {
    /// None of its upstreams accepts connections from this box.
    Lost(LossEvidence),
    /// One of them does again, after this long.
    Regained(Duration),
}

/// What shows that a service is lost.
#[derive(Debug, Clone)]
pub struct LossEvidence {
    /// The upstreams to which no connection could be opened.
    pub failed: Vec<Rc<Upstream>>,
    /// How many of them refused it; the others did not answer.
    pub refused: usize,
    /// How long ago a connection was opened to any upstream of the service, if ever.
    pub last_success: Option<Duration>,
}

#[derive(Debug, Default)]
struct ServiceReach {
    /// The number of upstreams that requests may be sent to.
    listed: usize,
    /// The failures since the last success, by upstream.
    failures: HashMap<u32, ConnectFailure>,
    last_success: Option<Duration>,
    lost_since: Option<Duration>,
}

#[derive(Debug)]
struct ConnectFailure {
    upstream: Rc<Upstream>,
    at: Duration,
    is_refusal: bool,
}

impl Reachability {
    /// Sets how many upstreams of a service requests may be sent to.
    pub fn set_listed(&mut self, service: &str, listed: usize) {
        match self.services.get_mut(service) {
            Some(known) => known.listed = listed,
            None => self.reach_of(service).listed = listed,
        }
    }

    /// Records that an upstream accepted a connection of this box.
    pub fn record_success(&mut self, upstream: &Upstream, now: Now) -> Option<ReachChange> {
        let service = upstream.with_listed(|listed| listed.service.clone());
        let known = self.reach_of(&service);
        known.failures.clear();
        known.last_success = Some(now.monotonic);
        let since = known.lost_since.take()?;
        Some(ReachChange::Regained(now.monotonic.saturating_sub(since)))
    }

    /// Records that no connection to an upstream could be opened.
    pub fn record_failure(
        &mut self,
        upstream: &Rc<Upstream>,
        err: &io::Error,
        now: Now,
    ) -> Option<ReachChange> {
        let service = upstream.with_listed(|listed| listed.service.clone());
        let known = self.reach_of(&service);
        let failure = ConnectFailure {
            upstream: upstream.clone(),
            at: now.monotonic,
            is_refusal: err.kind() == io::ErrorKind::ConnectionRefused,
        };
        known.failures.insert(upstream.short_hash(), failure);
        if known.lost_since.is_some() || !known.has_failed(now) {
            return None;
        }
        known.lost_since = Some(now.monotonic);
        Some(ReachChange::Lost(known.evidence(now)))
    }

    /// Returns whether no upstream of a service accepts connections from this box.
    pub fn is_lost(&self, service: &str, now: Now) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|known| known.lost_since.is_some() && known.has_failed(now))
    }

    /// Returns the services that are lost.
    pub fn lost_services(&self, now: Now) -> Vec<String> {
        let lost = self.services.keys().filter(|name| self.is_lost(name, now));
        lost.cloned().collect()
    }

    /// Forgets services whose failures are too old to say anything.
    pub fn expire(&mut self, now: Now) {
        for known in self.services.values_mut() {
            known.failures.retain(|_, failure| failure.is_recent(now));
            if known.failures.is_empty() {
                known.lost_since = None;
            }
        }
    }

    fn reach_of(&mut self, service: &str) -> &mut ServiceReach {
        self.services.entry(service.to_owned()).or_default()
    }
}

impl ServiceReach {
    fn has_failed(&self, now: Now) -> bool {
        let recent = self
            .failures
            .values()
            .filter(|failed| failed.is_recent(now));
        recent.count() >= self.listed.clamp(1, MIN_FAILED_UPSTREAMS)
    }

    fn evidence(&self, now: Now) -> LossEvidence {
        let failures = || self.failures.values();
        LossEvidence {
            failed: failures().map(|failed| failed.upstream.clone()).collect(),
            refused: failures().filter(|failed| failed.is_refusal).count(),
            last_success: self.last_success.map(|at| now.monotonic.saturating_sub(at)),
        }
    }
}

impl ConnectFailure {
    fn is_recent(&self, now: Now) -> bool {
        now.monotonic.saturating_sub(self.at) < FAILURE_LIFETIME
    }
}
