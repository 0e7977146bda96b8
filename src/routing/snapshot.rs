//! What a router knows at one moment, replaced as a whole when anything changes.

use crate::box_list::{AGENT_SERVICE, BoxList, BoxState};
use crate::bundle::Bundle;
use crate::change::{ControlState, Generation};
use crate::evidence::{AnswerCounts, EvidenceSubject};
use crate::name::VersionName;
use crate::routing::placement::{Upstream, UpstreamLoad};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// What a router knows.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The generation of the change log.
    pub generation: Generation,
    /// The state after the newest entry.
    pub control: ControlState,
    /// The bundle in force.
    pub bundle: Option<Arc<Bundle>>,
    /// The versions that the exposure guard suspended.
    pub suspended: BTreeSet<VersionName>,
    /// The upstreams by service, leaving ones left out.
    pub upstreams: HashMap<String, Vec<Upstream>>,
    /// Whether a live list has come yet.
    pub has_list: bool,
    /// What all boxes together have seen of versions.
    pub sums: Arc<BTreeMap<EvidenceSubject, AnswerCounts>>,
}

impl Snapshot {
    /// Tells whether enough is known to serve.
    pub fn is_ready(&self) -> bool {
        self.bundle.is_some() && self.has_list
    }

    /// Takes a live list; the loads of upstreams that stay are kept. One at another address is
    /// another upstream, though it has the name of one before.
    pub fn take_list(&mut self, list: &BoxList) {
        let mut loads: HashMap<(String, SocketAddr), Arc<UpstreamLoad>> = HashMap::new();
        for upstream in self.upstreams.values().flatten() {
            let place = (upstream.name.clone(), upstream.address);
            loads.insert(place, upstream.load.clone());
        }
        self.upstreams.clear();
        for listed in list
            .boxes
            .iter()
            .filter(|listed| listed.state == BoxState::Live)
        {
            let place = (listed.name.clone(), listed.address);
            let load = loads.remove(&place).unwrap_or_default();
            let upstream = Upstream {
                name: listed.name.clone(),
                hall: listed.hall.clone(),
                address: listed.address,
                versions: listed.versions.clone(),
                load,
            };
            self.upstreams
                .entry(listed.service.clone())
                .or_default()
                .push(upstream);
        }
        self.has_list = true;
    }

    /// Returns the upstreams that have a version loaded.
    pub fn upstreams_with(&self, version: &VersionName) -> Vec<&Upstream> {
        let upstreams = self.upstreams.values().flatten();
        upstreams
            .filter(|upstream| upstream.versions.contains(version))
            .collect()
    }

    /// Returns the agents of all boxes but one.
    pub fn other_agents(&self, own_box: &str) -> Vec<&Upstream> {
        let mut agents = self.upstreams_of(AGENT_SERVICE);
        agents.retain(|found| found.name != own_box);
        agents
    }

    /// Tells whether an agent of the fleet listens at an address.
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
