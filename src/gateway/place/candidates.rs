//! Which upstreams of a service can be sent a request now.

use super::turn_queue::WaitingTurn;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::control::rollout::Rollout;
use crate::gateway::versions::rollout::{VersionQuery, VersionRule, version_rule};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The longest time until some box may send to a limited upstream, if this one may not.
const MAX_OTHER_BOX_DELAY: Duration = Duration::from_millis(500);

/// Why this box sends an upstream no requests for now, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackOff {
    /// The upstream asked this box to back off (`Retry-After`).
    RetryAfter(Duration),
    /// The upstream is warming up, and this box may not send to it yet.
    WarmingUp(Duration),
    /// The upstream states a rate limit, and this box may not send to it yet.
    RateLimited(Duration),
    /// The upstream bears few rejections, and this box has no free slot there.
    NoFreeSlot(Duration),
}

impl BackOff {
    /// Returns how long the back-off still lasts.
    pub fn remaining(self) -> Duration {
        match self {
            Self::RetryAfter(left)
            | Self::WarmingUp(left)
            | Self::RateLimited(left)
            | Self::NoFreeSlot(left) => left,
        }
    }
}

impl Gateway {
    /// Returns the upstreams of a service that can be sent a request of a session now.
    pub fn candidates(&self, service: &str, session: &str, now: Now) -> Vec<Rc<Upstream>> {
        let allowed = self.allowed_upstreams(service, session, now);
        let back_offs = self.back_offs(service, &allowed, now);
        let takes_requests = |(upstream, back_off): (Rc<Upstream>, Option<BackOff>)| match back_off
        {
            None => Some(upstream),
            Some(_) => None,
        };
        allowed
            .into_iter()
            .zip(back_offs)
            .filter_map(takes_requests)
            .collect()
    }

    /// Returns the upstreams that a request of a session could be sent to if this box had a slot
    /// there.
    pub fn upstreams_without_own_slot(
        &self,
        service: &str,
        session: &str,
        now: Now,
    ) -> Vec<Rc<Upstream>> {
        let allowed = self.allowed_upstreams(service, session, now);
        let back_offs = self.back_offs(service, &allowed, now);
        let lacks_slot = |(upstream, back_off): (Rc<Upstream>, Option<BackOff>)| {
            let is_paused = upstream.slots().pause_left(now).is_some();
            let is_lacking = matches!(back_off, Some(BackOff::NoFreeSlot(_))) && !is_paused;
            is_lacking.then_some(upstream)
        };
        allowed
            .into_iter()
            .zip(back_offs)
            .filter_map(lacks_slot)
            .collect()
    }

    /// Returns the number of upstreams of a service that have not left.
    pub fn available_upstream_count(&self, service: &str, now: Now) -> usize {
        let knowledge = self.knowledge.borrow();
        knowledge.available_upstreams(service, now).len()
    }

    /// Returns the shortest back-off among the upstreams that may serve a request of a session;
    /// `None` if there is no such upstream, or if one accepts requests now.
    pub fn shortest_back_off(&self, service: &str, session: &str, now: Now) -> Option<BackOff> {
        let allowed = self.allowed_upstreams(service, session, now);
        let back_offs = self.back_offs(service, &allowed, now).into_iter();
        // `None`, an upstream that accepts requests now, sorts before every remaining time.
        back_offs
            .min_by_key(|back_off| back_off.map(BackOff::remaining))
            .flatten()
    }

    /// Returns after how long a caller that was refused because of rate limits should come back to
    /// some box.
    pub fn return_delay(&self, service: &str, left: Duration, now: Now) -> Duration {
        let rate = self.limited_share(service, now);
        self.return_at_rate(service, rate, left, now)
    }

    /// Returns after how long the next refused caller of a service should come back, where this box
    /// serves them at a rate, in requests per second.
    pub fn return_at_rate(&self, service: &str, rate: f64, left: Duration, now: Now) -> Duration {
        let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_OTHER_BOX_DELAY);
        let earliest = left.min(MAX_OTHER_BOX_DELAY);
        let mut schedule = self.return_schedule.borrow_mut();
        schedule.assign(service, earliest, interval, now)
    }

    /// Lets a request wait for at most `longest` for its turn at the limited upstreams of a service;
    /// `None` if it would probably wait in vain.
    pub fn enter_turn_queue(
        &self,
        service: &str,
        longest: Duration,
        now: Now,
    ) -> Option<WaitingTurn> {
        let turns = self.limited_share(service, now) * longest.as_secs_f64();
        self.turn_queue.enter(service, turns)
    }

    /// Returns this box's equal share of what the limited upstreams of a service accept, in requests
    /// per second.
    fn limited_share(&self, service: &str, now: Now) -> f64 {
        let knowledge = self.knowledge.borrow();
        let upstreams = knowledge.available_upstreams(service, now);
        let limits = upstreams
            .iter()
            .filter_map(|known| known.rate_limit().limit());
        limits.sum::<f64>() / knowledge.box_count().max(1) as f64
    }

    /// Returns whether operators have evacuated the halls of all upstreams of a service.
    pub fn is_evacuated(&self, service: &str) -> bool {
        let knowledge = self.knowledge.borrow();
        let mut of_service = knowledge
            .upstreams()
            .filter(|upstream| upstream.with_listed(|listed| listed.service == service))
            .peekable();
        of_service.peek().is_some() && of_service.all(|upstream| upstream.is_evacuated())
    }

    fn back_offs(
        &self,
        service: &str,
        upstreams: &[Rc<Upstream>],
        now: Now,
    ) -> Vec<Option<BackOff>> {
        let warm_up = self.knowledge.borrow().warm_up(service);
        let limits_rejections = self.limits_rejections(service, now);
        let needs_fleet = |upstream: &Rc<Upstream>| {
            let is_warming_up = warm_up.is_some() && upstream.is_warming_up(now);
            is_warming_up || limits_rejections || upstream.rate_limit().limit().is_some()
        };
        let boxes = match upstreams.iter().any(needs_fleet) {
            true => self.box_addresses(),
            false => Vec::new(),
        };
        let fleet = self.fleet_view(&boxes, now);
        let back_off = |upstream: &Rc<Upstream>| {
            let retry_after = upstream.retry_after_left(now).map(BackOff::RetryAfter);
            let warming_up = || {
                let delay = upstream.warm_up_delay(warm_up?, fleet, now);
                delay.map(BackOff::WarmingUp)
            };
            let limited = || {
                let delay = upstream.rate_limit().send_delay(fleet, now);
                delay.map(BackOff::RateLimited)
            };
            let without_slot = || {
                let delay = limits_rejections.then(|| self.slot_delay(upstream, fleet, now));
                delay.flatten().map(BackOff::NoFreeSlot)
            };
            retry_after
                .or_else(warming_up)
                .or_else(limited)
                .or_else(without_slot)
        };
        upstreams.iter().map(back_off).collect()
    }

    /// Returns the addresses of the boxes that share limits of upstreams.
    pub fn box_addresses(&self) -> Vec<SocketAddr> {
        self.knowledge.borrow().recent_box_addresses()
    }

    /// Returns the upstreams that may serve a request of a session by the rules of the roll-out,
    /// including those that are in back-off.
    fn allowed_upstreams(&self, service: &str, session: &str, now: Now) -> Vec<Rc<Upstream>> {
        let knowledge = self.knowledge.borrow();
        let mut open = knowledge.available_upstreams(service, now);
        let rollout = knowledge.rollout(service);
        if rollout.is_none() {
            return open;
        }
        let sessions = self.sessions.borrow();
        let order_revision = rollout
            .and_then(|rollout| rollout.order.as_ref())
            .map_or(0, |(order, _)| order.revision);
        let query = VersionQuery {
            session,
            session_version: sessions.current_version(session, now),
            stays_on_old_version: sessions.stays_on_old_version(session, order_revision),
            is_rejected: self.is_version_rejected(order_revision),
            has_just_started: self.has_just_started(now),
        };
        let rule = version_rule(rollout, query, now);
        let allowed: Vec<Rc<Upstream>> = open
            .iter()
            .filter(|upstream| upstream.with_listed(|listed| rule.allows(&listed.version)))
            .cloned()
            .collect();
        match rule {
            VersionRule::Prefer(_) if allowed.is_empty() => {
                open.retain(|upstream| {
                    let rejected = VersionRule::AnyExcept(rejected_versions(rollout));
                    upstream.with_listed(|listed| rejected.allows(&listed.version))
                });
                open
            }
            VersionRule::Prefer(_) | VersionRule::AnyExcept(_) => allowed,
        }
    }
}

fn rejected_versions(rollout: Option<&Rollout>) -> Vec<String> {
    rollout
        .and_then(|rollout| rollout.record.as_ref())
        .map_or_else(Vec::new, |known| known.record.rejected.clone())
}
