//! Opens connections ahead of need, and keeps the idle ones within this box's share of the limits.

use super::acquire::ConnectionRules;
use super::connection::{ConnectionOrigin, UpstreamKind};
use super::connection_limit::{Fleet, spare_target};
use super::upstream::Upstream;
use super::upstream_connections::UpstreamConnections;
use crate::clock::Now;
use crate::gateway::Gateway;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two checks for spare connections; a fraction of the time for which one is usable.
const SPARE_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two checks whether load is controlled anywhere.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The number of these checks from one check of the idle connections to the next one: boxes learn of
/// each other's demand about as often.
const SPARE_CHECKS_PER_IDLE_CHECK: u32 = 8;
/// How long without any message a box counts as cut off from the others: each box polls the hubs
/// several times in this time.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps connections ready; runs for the lifetime of the process.
pub async fn keep_spare_connections(gw: Rc<Gateway>) {
    loop {
        if !gw.connections.has_controlled() {
            sleep(IDLE_CHECK_INTERVAL).await;
            continue;
        }
        gw.close_excess_idle(Now::read());
        for _ in 0..SPARE_CHECKS_PER_IDLE_CHECK {
            sleep(SPARE_INTERVAL).await;
            record_demand(&gw, Now::read());
            if !gw.is_stopping() {
                open_spares(&gw, Now::read());
            }
        }
    }
}

/// Records by which demand the limits are shared.
fn record_demand(gw: &Gateway, now: Now) {
    let fleet = gw.connections.fleet();
    let knowledge = gw.knowledge.borrow();
    for (incarnation, known) in gw.connections.controlled() {
        if let Some(upstream) = knowledge.upstream(&incarnation) {
            known.record_demand(upstream, fleet, now);
        }
    }
}

/// Opens spare connections to the upstreams that requests of this box are frequent at.
fn open_spares(gw: &Rc<Gateway>, now: Now) {
    for (incarnation, known) in gw.connections.controlled_plain() {
        if !known.accepts_new(now) {
            continue;
        }
        let upstream = gw.knowledge.borrow().upstream(&incarnation).cloned();
        let Some(upstream) = upstream.filter(|upstream| takes_requests(upstream)) else {
            continue;
        };
        // A new connection may take a slot for a moment.
        let service = upstream.with_listed(|listed| listed.service.clone());
        if gw.limits_rejections(&service, now) {
            continue;
        }
        let usable = known.usable_count(now);
        let target = spare_target(
            known.single_runs_per_second(now),
            known.settle_time(now) + SPARE_INTERVAL,
            known.safe_rest(now),
            usable.saturating_add(room(gw, &upstream, &known, now)),
        );
        for _ in usable..target {
            actix_rt::spawn(open_ahead(gw.clone(), upstream.clone(), known.clone()));
        }
    }
}

fn takes_requests(upstream: &Upstream) -> bool {
    !upstream.is_leaving()
        && !upstream.is_evacuated()
        && !upstream.needs_connect_success()
        && !upstream.with_listed(|listed| listed.draining)
}

/// Returns how many more connections the limit allows.
fn room(gw: &Gateway, upstream: &Upstream, known: &UpstreamConnections, now: Now) -> u32 {
    let share = known.share(upstream, gw.connections.fleet(), now);
    share.map_or(u32::MAX, |share| {
        share.saturating_sub(known.open_count().get())
    })
}

async fn open_ahead(gw: Rc<Gateway>, upstream: Rc<Upstream>, known: Rc<UpstreamConnections>) {
    let origin = ConnectionOrigin::OpenedAhead;
    known.change_opening_ahead(1);
    let opened = gw.connections.open_as(&upstream, origin, true).await;
    known.change_opening_ahead(-1);
    match opened {
        Ok(connection) => gw
            .connections
            .release(&upstream, connection, None, Now::read()),
        Err(err) => {
            err.record(&upstream, Now::read());
            let instance = upstream.with_listed(|listed| listed.instance.clone());
            log::info!(upstream = instance.as_str(); "cannot open a connection ahead: {err}");
        }
    }
}

impl Gateway {
    /// Returns which connections a request of a service may use.
    pub fn connection_rules(&self, service: &str, is_repeatable: bool) -> ConnectionRules {
        let is_controlled = self.controls_connections(service);
        // The task that refreshes it may sleep while no load is controlled.
        if is_controlled && !self.connections.has_controlled() {
            self.connections.set_fleet(self.fleet(Now::read()));
        }
        let knowledge = self.knowledge.borrow();
        let service = knowledge
            .routes()
            .and_then(|routes| routes.services.get(service));
        let is_engine = service.is_some_and(|service| service.engine.is_some());
        ConnectionRules {
            is_repeatable,
            kind: match is_engine {
                true => UpstreamKind::Engine,
                false => UpstreamKind::Plain,
            },
            is_controlled,
            limit: service.and_then(|service| service.connection_limit),
            health_check: service.and_then(|service| service.health_check.clone()),
        }
    }

    fn fleet(&self, now: Now) -> Fleet {
        let own = self.settings().peer_addr;
        let addresses = self.box_addresses();
        let others = addresses.iter().filter(|address| **address != own).count();
        let last_contacts = self.last_contacts.borrow();
        Fleet {
            boxes: u32::try_from(others + 1).unwrap_or(u32::MAX),
            hears_others: last_contacts.has_contact_within(CONTACT_TIMEOUT, now),
        }
    }

    /// Closes the idle connections that exceed this box's part of the limits.
    fn close_excess_idle(&self, now: Now) {
        let controlled = self.connections.controlled();
        if controlled.is_empty() {
            return;
        }
        self.connections.set_fleet(self.fleet(now));
        let knowledge = self.knowledge.borrow();
        for (incarnation, known) in controlled {
            let upstream = knowledge.upstream(&incarnation);
            let fleet = self.connections.fleet();
            let share = upstream.and_then(|upstream| known.share(upstream, fleet, now));
            if let Some(share) = share {
                known.close_idle_beyond(share);
            }
        }
    }
}
