//! Opens connections ahead of need, and keeps the idle ones within this box's share of the limits.

use super::connect::{ConnectionOrigin, ConnectionRules, UpstreamKind};
use super::connection_limit::{Demand, Fleet, idle_allowance, share, spare_target};
use super::upstream::Upstream;
use super::upstream_connections::UpstreamConnections;
use crate::clock::Now;
use crate::gateway::Gateway;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two checks; a fraction of the time for which a spare connection is usable.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// How long without any message a box counts as cut off from the others: each box polls the hubs
/// several times in this time.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps connections ready; runs for the lifetime of the process.
pub async fn keep_spare_connections(gw: Rc<Gateway>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = Now::read();
        gw.connections.set_fleet(gw.fleet(now));
        if !gw.is_stopping() {
            for upstream in gw.controlled_upstreams_in_use() {
                adjust(&gw, &upstream, now);
            }
        }
    }
}

/// Closes idle connections beyond the share, and opens spare ones.
fn adjust(gw: &Rc<Gateway>, upstream: &Rc<Upstream>, now: Now) {
    let Some(known) = gw.connections.known(upstream.incarnation()) else {
        return;
    };
    let service = upstream.with_listed(|listed| listed.service.clone());
    let rules = gw.connection_rules(&service, false);
    let room = rules.limit.map_or(u32::MAX, |limit| {
        let (fleet, demand) = (gw.connections.fleet(), Demand::at(upstream, now));
        let allowance = idle_allowance(limit, fleet, demand);
        known.close_idle_beyond(allowance);
        let idle = u32::try_from(known.idle_count()).unwrap_or(u32::MAX);
        let open = known.open_count().get();
        let share = share(limit, fleet, demand);
        share
            .saturating_sub(open)
            .min(allowance.saturating_sub(idle))
    });
    let takes_requests = !upstream.is_leaving()
        && !upstream.is_evacuated()
        && !upstream.needs_connect_success()
        && !upstream.with_listed(|listed| listed.draining);
    if rules.kind != UpstreamKind::Plain || !takes_requests || !known.takes_spares(now) {
        return;
    }
    let usable = known.usable_count(now);
    let target = spare_target(
        known.single_runs_per_second(now),
        known.settle_time() + CHECK_INTERVAL,
        known.safe_rest(now),
        usable.saturating_add(room),
    );
    for _ in usable..target {
        actix_rt::spawn(open_ahead(gw.clone(), upstream.clone(), known.clone()));
    }
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
            upstream.record_connect_failure(Now::read());
            let instance = upstream.with_listed(|listed| listed.instance.clone());
            log::info!(upstream = instance.as_str(); "cannot open a connection ahead: {err}");
        }
    }
}

impl Gateway {
    /// Returns which connections a request of a service may use.
    pub fn connection_rules(&self, service: &str, is_repeatable: bool) -> ConnectionRules {
        let is_controlled = self.controls_load(service);
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

    /// Returns the upstreams under load control to which there have been connections recently.
    fn controlled_upstreams_in_use(&self) -> Vec<Rc<Upstream>> {
        let in_use: Vec<Rc<Upstream>> = {
            let knowledge = self.knowledge.borrow();
            let known = |upstream: &&Rc<Upstream>| {
                let known = self.connections.known(upstream.incarnation());
                known.is_some_and(|known| known.is_controlled())
            };
            knowledge.upstreams().filter(known).cloned().collect()
        };
        in_use
    }
}
