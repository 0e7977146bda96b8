//! State that a router uses for its decisions, replaced as a whole on each change.

use crate::box_list::{AGENT_SERVICE, BoxList, BoxState};
use crate::bundle::Bundle;
use crate::change::{ControlState, Generation};
use crate::evidence::{AnswerCounts, EvidenceSubject};
use crate::name::VersionName;
use crate::routing::placement::{Upstream, UpstreamLoad};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Control state, live upstreams and evidence that a router knows at one time.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Generation of the newest entry of the change log.
    pub generation: Generation,
    /// Control state after the newest entry.
    pub control: ControlState,
    /// Bundle in force.
    pub bundle: Option<Arc<Bundle>>,
    /// Versions that the exposure guard suspended.
    pub suspended: BTreeSet<VersionName>,
    /// Upstreams by service, without leaving ones.
    pub upstreams: HashMap<String, Vec<Upstream>>,
    /// Whether a live list has been received.
    pub has_live_list: bool,
    /// Sums of the evidence about versions from all boxes.
    pub evidence_sums: Arc<BTreeMap<EvidenceSubject, AnswerCounts>>,
}

impl Snapshot {
    /// Returns whether enough is known to serve requests.
    pub fn is_ready(&self) -> bool {
        self.bundle.is_some() && self.has_live_list
    }

    /// Applies a live list and keeps the load of upstreams that were in the previous one. An upstream
    /// at another address is a new one, even if its name is the same.
    pub fn apply_live_list(&mut self, list: &BoxList) {
        let mut loads: HashMap<(String, SocketAddr), Arc<UpstreamLoad>> = HashMap::new();
        for upstream in self.upstreams.values().flatten() {
            let key = (upstream.name.clone(), upstream.address);
            loads.insert(key, upstream.load.clone());
        }
        self.upstreams.clear();
        for entry in list
            .boxes
            .iter()
            .filter(|entry| entry.state == BoxState::Live)
        {
            let key = (entry.name.clone(), entry.address);
            let load = loads.remove(&key).unwrap_or_default();
            let upstream = Upstream {
                name: entry.name.clone(),
                hall: entry.hall.clone(),
                address: entry.address,
                versions: entry.versions.clone(),
                load,
            };
            self.upstreams
                .entry(entry.service.clone())
                .or_default()
                .push(upstream);
        }
        self.has_live_list = true;
    }

    /// Returns the upstreams that have a version loaded.
    pub fn upstreams_with(&self, version: &VersionName) -> Vec<&Upstream> {
        let upstreams = self.upstreams.values().flatten();
        upstreams
            .filter(|upstream| upstream.versions.contains(version))
            .collect()
    }

    /// Returns the agents of all other boxes.
    pub fn other_agents(&self, own_box: &str) -> Vec<&Upstream> {
        let mut agents = self.upstreams_of(AGENT_SERVICE);
        agents.retain(|found| found.name != own_box);
        agents
    }

    /// Returns whether an agent of the fleet listens at an address.
    pub fn has_agent_at(&self, address: SocketAddr) -> bool {
        self.upstreams_of(AGENT_SERVICE)
            .iter()
            .any(|found| found.address == address)
    }

    /// Returns the upstreams of a plain service.
    pub fn upstreams_of(&self, service: &str) -> Vec<&Upstream> {
        self.upstreams.get(service).into_iter().flatten().collect()
    }
}
