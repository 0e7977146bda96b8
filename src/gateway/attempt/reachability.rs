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

/// How many upstreams have to fail one after the other, with none accepting a connection in between,
/// before a service counts as lost; services with fewer upstreams need all of them. Fewer would take
/// the crash of two upstreams for a fault of this box.
const MIN_FAILED_UPSTREAMS: usize = 3;
/// How long a failed connection counts; unreachable upstreams are probed several times in it.
const FAILURE_LIFETIME: Duration = Duration::from_secs(3);
/// How long a loss has to last before it counts as certain: a probe of the upstreams that have not
/// failed, and its time-out.
const LOSS_SETTLE_TIME: Duration = Duration::from_millis(400);

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
    /// The upstreams that accept no connections.
    failures: HashMap<u32, FailingUpstream>,
    last_success: Option<Duration>,
    lost_since: Option<Duration>,
}

#[derive(Debug)]
struct FailingUpstream {
    upstream: Rc<Upstream>,
    /// When it failed for the first time since it accepted a connection.
    since: Duration,
    last_failure: Duration,
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
        known.failures.remove(&upstream.short_hash());
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
        let failing = known
            .failures
            .entry(upstream.short_hash())
            .or_insert_with(|| FailingUpstream {
                upstream: upstream.clone(),
                since: now.monotonic,
                last_failure: now.monotonic,
                is_refusal: false,
            });
        failing.last_failure = now.monotonic;
        failing.is_refusal = err.kind() == io::ErrorKind::ConnectionRefused;
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

    /// Returns whether a service has been lost for a while, so that a crash of several upstreams
    /// together is ruled out: the others would have accepted a probe.
    pub fn is_lost_for_certain(&self, service: &str, now: Now) -> bool {
        let since = self
            .services
            .get(service)
            .and_then(|known| known.lost_since);
        let is_settled = |since| now.monotonic.saturating_sub(since) >= LOSS_SETTLE_TIME;
        self.is_lost(service, now) && since.is_some_and(is_settled)
    }

    /// Returns the services that are lost.
    pub fn lost_services(&self, now: Now) -> Vec<String> {
        let lost = self.services.keys().filter(|name| self.is_lost(name, now));
        lost.cloned().collect()
    }

    /// Returns whether no connection to an upstream could be opened lately.
    pub fn has_failed_lately(&self, upstream: &Upstream, now: Now) -> bool {
        let known = upstream.with_listed(|listed| self.services.get(&listed.service));
        let failure = known.and_then(|known| known.failures.get(&upstream.short_hash()));
        failure.is_some_and(|failure| failure.is_recent(now))
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
    /// Returns whether so many upstreams have begun to fail since the last success that the fault is
    /// not theirs. An upstream that failed before it says nothing more by failing again.
    fn has_failed(&self, now: Now) -> bool {
        let recent = self
            .failures
            .values()
            .filter(|failing| failing.is_recent(now));
        let new = self.new_failures(now).count();
        let were_well = self.listed.saturating_sub(recent.count() - new);
        new >= were_well.clamp(1, MIN_FAILED_UPSTREAMS)
    }

    /// Returns the upstreams that have begun to fail since the last success.
    fn new_failures(&self, now: Now) -> impl Iterator<Item = &FailingUpstream> {
        let is_new = |failing: &FailingUpstream| {
            self.last_success
                .is_none_or(|success| failing.since > success)
        };
        let recent = self.failures.values();
        recent.filter(move |failing| failing.is_recent(now) && is_new(failing))
    }

    fn evidence(&self, now: Now) -> LossEvidence {
        let failing = || self.new_failures(now);
        LossEvidence {
            failed: failing().map(|failing| failing.upstream.clone()).collect(),
            refused: failing().filter(|failing| failing.is_refusal).count(),
            last_success: self.last_success.map(|at| now.monotonic.saturating_sub(at)),
        }
    }
}

impl FailingUpstream {
    fn is_recent(&self, now: Now) -> bool {
        now.monotonic.saturating_sub(self.last_failure) < FAILURE_LIFETIME
    }
}
