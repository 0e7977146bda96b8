//! Probes in the background which upstreams accept connections, so that no request has to find out.
//!
//! If one upstream of a hall accepts no connection, the others of that hall are probed as well: the
//! hall may be cut off, and otherwise each request would wait for yet another unreachable upstream
//! there.

use super::upstream::Upstream;
use crate::clock::Now;
use crate::gateway::Gateway;
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

/// The times of the last probes of upstreams and halls.
#[derive(Debug, Default)]
struct Probes {
    upstreams: HashMap<String, Duration>,
    halls: HashMap<String, Duration>,
}

/// Probes upstreams; runs for the lifetime of the process.
pub async fn probe_unreachable_upstreams(gw: Rc<Gateway>) {
    let mut probes = Probes::default();
    loop {
        sleep(SCAN_INTERVAL).await;
        for upstream in probes.due(&gw, Now::read()) {
            let gw = gw.clone();
            actix_rt::spawn(async move { gw.connections.probe(&upstream).await });
        }
    }
}

impl Probes {
    /// Returns the upstreams that are due for a probe.
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
        let halls: HashSet<String> = unreachable
            .iter()
            .map(|upstream| upstream.with_listed(|listed| listed.hall.clone()))
            .filter(|hall| is_due(&mut self.halls, hall, HALL_PROBE_INTERVAL, now))
            .collect();
        let of_halls = knowledge
            .upstreams()
            .filter(|upstream| upstream.with_listed(|listed| halls.contains(&listed.hall)));
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
