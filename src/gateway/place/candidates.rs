//! Which upstreams may get a request of a service now.

use super::warm_up::Fleet;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::control::rollout::Rollout;
use crate::gateway::versions::rollout::{VersionQuery, VersionRule, version_rule};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Why an upstream takes no request of this box, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pause {
    /// It has asked this box for rest.
    Resting(Duration),
    /// It warms up, and this box has no turn.
    WarmingUp(Duration),
}

impl Pause {
    /// Returns how long it lasts.
    pub fn left(self) -> Duration {
        match self {
            Self::Resting(left) | Self::WarmingUp(left) => left,
        }
    }
}

impl Gateway {
    /// Returns the upstreams of a service that may serve a session's request now.
    pub fn candidates(&self, service: &str, session: &str, now: Now) -> Vec<Rc<Upstream>> {
        let allowed = self.allowed_upstreams(service, session, now);
        let pauses = self.pauses(service, &allowed, now);
        let takes_requests = |(upstream, pause): (Rc<Upstream>, Option<Pause>)| match pause {
            None => Some(upstream),
            Some(_) => None,
        };
        allowed
            .into_iter()
            .zip(pauses)
            .filter_map(takes_requests)
            .collect()
    }

    /// Returns the shortest pause of the upstreams that may serve a session's request; none if
    /// there is no upstream, or one that takes requests now.
    pub fn shortest_pause(&self, service: &str, session: &str, now: Now) -> Option<Pause> {
        let allowed = self.allowed_upstreams(service, session, now);
        let pauses = self.pauses(service, &allowed, now).into_iter();
        // An upstream that takes requests now has no time left, and that is the least.
        pauses.min_by_key(|pause| pause.map(Pause::left)).flatten()
    }

    /// Tells whether operators have evacuated the halls of all upstreams of a service.
    pub fn is_evacuated(&self, service: &str) -> bool {
        let knowledge = self.knowledge.borrow();
        let mut of_service = knowledge
            .upstreams()
            .filter(|upstream| upstream.with_listed(|listed| listed.service == service))
            .peekable();
        of_service.peek().is_some() && of_service.all(|upstream| upstream.is_evacuated())
    }

    fn pauses(&self, service: &str, upstreams: &[Rc<Upstream>], now: Now) -> Vec<Option<Pause>> {
        let warm_up = self.knowledge.borrow().warm_up(service);
        let is_warming_up = |upstream: &Rc<Upstream>| upstream.is_warming_up(now);
        let warm_up = warm_up.filter(|_| upstreams.iter().any(is_warming_up));
        let boxes = match warm_up {
            Some(_) => self.box_addresses(),
            None => Vec::new(),
        };
        let fleet = Fleet {
            own: self.settings().peer_addr,
            boxes: &boxes,
            up_for: self.uptime(now),
        };
        let pause = |upstream: &Rc<Upstream>| {
            let rest = upstream.asked_rest_left(now).map(Pause::Resting);
            let turn = warm_up.and_then(|warm_up| upstream.turn_left(warm_up, fleet, now));
            rest.or(turn.map(Pause::WarmingUp))
        };
        upstreams.iter().map(pause).collect()
    }

    fn box_addresses(&self) -> Vec<SocketAddr> {
        let knowledge = self.knowledge.borrow();
        knowledge.boxes().map(|entry| entry.address).collect()
    }

    /// Returns the upstreams of a service that may serve a session's request once they take requests.
    fn allowed_upstreams(&self, service: &str, session: &str, now: Now) -> Vec<Rc<Upstream>> {
        let knowledge = self.knowledge.borrow();
        let mut open = knowledge.open_upstreams(service, now);
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
            pinned: sessions.version(session, now),
            stays_old: sessions.stays_old(session, order_revision),
            condemned: self.is_condemned(order_revision),
            is_newcomer: self.is_newcomer(now),
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
                    let rejected = VersionRule::AnyBut(rejected_versions(rollout));
                    upstream.with_listed(|listed| rejected.allows(&listed.version))
                });
                open
            }
            VersionRule::Prefer(_) | VersionRule::AnyBut(_) => allowed,
        }
    }
}

fn rejected_versions(rollout: Option<&Rollout>) -> Vec<String> {
    rollout
        .and_then(|rollout| rollout.record.as_ref())
        .map_or_else(Vec::new, |known| known.record.rejected.clone())
}
