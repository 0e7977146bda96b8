//! Probes in the background which upstreams accept connections, so that no request has to find out.
//!
//! If one upstream of a hall accepts no connection, the others of that hall are probed as well: the
//! hall may be cut off, and otherwise each request would wait for yet another unreachable upstream
//! there. Of a service that this box does not reach at all, a few upstreams at a time are probed
//! directly, while its requests go through other boxes.

use super::upstream::Upstream;
use super::upstream_paths::ProbeWay;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::control::state::ControlPlaneState;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two scans for upstreams that accepted no connection.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two probes of an upstream that accepted no connection.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two probes of all upstreams of a hall.
const HALL_PROBE_INTERVAL: Duration = Duration::from_millis(1500);
/// How many upstreams of a lost service are probed at once.
const LOST_SERVICE_PROBES: usize = 3;
/// Time between two updates of the boxes through which lost services may be reached, while none is
/// lost.
const PEER_UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// The times of the last probes of upstreams, halls and lost services.
#[derive(Debug, Default)]
struct Probes {
    upstreams: HashMap<String, Duration>,
    halls: HashMap<String, Duration>,
    lost_services: HashMap<String, Duration>,
    /// How many upstreams of lost services were probed.
    lost_service_probes: usize,
    peers_updated_at: Option<Duration>,
}

/// Probes upstreams; runs for the lifetime of the process.
pub async fn probe_unreachable_upstreams(gw: Rc<Gateway>) {
    let mut probes = Probes::default();
    loop {
        sleep(SCAN_INTERVAL).await;
        let now = Now::read();
        probes.update_peers(&gw, now);
        let direct = probes.due_of_lost_services(&gw, now);
        let direct = direct.into_iter().map(|due| (due, ProbeWay::Direct));
        let as_requests = probes.due(&gw, now);
        let as_requests = as_requests
            .into_iter()
            .map(|due| (due, ProbeWay::AsRequests));
        for (upstream, way) in direct.chain(as_requests) {
            let gw = gw.clone();
            actix_rt::spawn(async move { gw.connections.probe(&upstream, way).await });
        }
    }
}

impl Probes {
    /// Updates which boxes may be asked for tunnels.
    fn update_peers(&mut self, gw: &Gateway, now: Now) {
        let interval = match gw.connections.lost_services(now).is_empty() {
            true => PEER_UPDATE_INTERVAL,
            false => Duration::ZERO,
        };
        let last = self.peers_updated_at;
        if last.is_none_or(|last| now.monotonic.saturating_sub(last) >= interval) {
            self.peers_updated_at = Some(now.monotonic);
            let peers = gw.tunnel_peers(now);
            gw.connections
                .tunnels()
                .set_peers(&gw.settings().hall, peers);
        }
    }

    /// Returns the upstreams of lost services that are due for a direct probe: in turn, those first
    /// that have not failed lately.
    fn due_of_lost_services(&mut self, gw: &Gateway, now: Now) -> Vec<Rc<Upstream>> {
        let lost = gw.connections.lost_services(now);
        self.lost_services
            .retain(|service, _| lost.contains(service));
        let mut due = Vec::new();
        for service in lost {
            if !is_due(&mut self.lost_services, &service, PROBE_INTERVAL, now) {
                continue;
            }
            let mut upstreams = gw.knowledge.borrow().available_upstreams(&service, now);
            upstreams.sort_by_key(|upstream| upstream.short_hash());
            if !upstreams.is_empty() {
                let first = self.lost_service_probes % upstreams.len();
                upstreams.rotate_left(first);
            }
            upstreams.sort_by_key(|upstream| gw.connections.has_failed_lately(upstream, now));
            upstreams.truncate(LOST_SERVICE_PROBES);
            self.lost_service_probes += upstreams.len();
            due.extend(upstreams);
        }
        due
    }

    /// Returns the upstreams that are due for a probe by the way of requests.
    fn due(&mut self, gw: &Gateway, now: Now) -> Vec<Rc<Upstream>> {
        let knowledge = gw.knowledge.borrow();
        let unreachable: Vec<&Rc<Upstream>> = knowledge
            .upstreams()
            .filter(|upstream| upstream.needs_connect_success())
            .collect();
        if unreachable.is_empty() {
            self.upstreams.clear();
            return Vec::new();
        }
        let of_halls = self.due_of_halls(gw, &knowledge, &unreachable, now);
        let candidates: Vec<&Rc<Upstream>> = unreachable.into_iter().chain(of_halls).collect();
        candidates
            .into_iter()
            .filter(|upstream| {
                let instance = upstream.with_listed(|listed| listed.instance.clone());
                is_due(&mut self.upstreams, &instance, PROBE_INTERVAL, now)
            })
            .cloned()
            .collect()
    }

    /// Returns all upstreams of the halls that are due for a probe because of an unreachable one.
    fn due_of_halls<'a>(
        &mut self,
        gw: &Gateway,
        knowledge: &'a ControlPlaneState,
        unreachable: &[&Rc<Upstream>],
        now: Now,
    ) -> Vec<&'a Rc<Upstream>> {
        let is_lost = |upstream: &Upstream| {
            upstream.with_listed(|listed| gw.connections.is_lost(&listed.service, now))
        };
        let halls: HashSet<String> = unreachable
            .iter()
            .filter(|upstream| !is_lost(upstream))
            .map(|upstream| upstream.with_listed(|listed| listed.hall.clone()))
            .filter(|hall| is_due(&mut self.halls, hall, HALL_PROBE_INTERVAL, now))
            .collect();
        let of_halls = knowledge.upstreams().filter(|upstream| {
            upstream.with_listed(|listed| halls.contains(&listed.hall)) && !is_lost(upstream)
        });
        of_halls.collect()
    }
}

/// Returns whether an interval has passed since the last time, and starts the next one if so.
fn is_due(times: &mut HashMap<String, Duration>, name: &str, interval: Duration, now: Now) -> bool {
    let last = times.get(name);
    let is_due = last.is_none_or(|last| now.monotonic.saturating_sub(*last) >= interval);
    if is_due {
        times.insert(name.to_owned(), now.monotonic);
    }
    is_due
}
