//! The platform's lagging list of live and leaving boxes.

use crate::http_client::pooled_client;
use crate::name::VersionName;
use awc::Client;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const LIST_TIMEOUT: Duration = Duration::from_secs(2);
const LIST_BYTES_LIMIT: usize = 4 * 1024 * 1024;

/// The service name under which the list holds the agents of entry boxes.
pub const AGENT_SERVICE: &str = "gatepier-agent";

/// The list, as the platform gave it at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LiveList {
    /// The list's revision; a higher one is newer.
    pub revision: u64,
    /// The boxes.
    pub boxes: Vec<ListedBox>,
}

/// Whether a box takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BoxState {
    /// The box takes work.
    Live,
    /// The box finishes what it has and takes nothing new.
    Leaving,
}

/// One box of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBox {
    /// The box's name, which is never used again after the box was replaced.
    pub name: String,
    /// The service that runs there.
    pub service: String,
    /// The hall.
    pub hall: String,
    /// Where the service listens.
    pub address: SocketAddr,
    /// Whether the box takes new work.
    pub state: BoxState,
    /// The versions that a model server has loaded; empty for other services.
    #[serde(default)]
    pub versions: BTreeSet<VersionName>,
}

impl ListedBox {
    /// Describes a live box that runs a service, with the versions that it has loaded.
    pub fn live(
        name: &str,
        service: &str,
        hall: &str,
        address: SocketAddr,
        versions: impl IntoIterator<Item = VersionName>,
    ) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            hall: hall.to_owned(),
            address,
            state: BoxState::Live,
            versions: versions.into_iter().collect(),
        }
    }
}

impl LiveList {
    /// Returns the boxes of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ListedBox> {
        self.boxes
            .iter()
            .filter(move |listed| listed.service == service)
    }

    /// Tells whether the list holds a box by this name.
    pub fn holds(&self, name: &str) -> bool {
        self.boxes.iter().any(|listed| listed.name == name)
    }
}

/// Reads the list over HTTP.
pub struct ListClient {
    client: Client,
    address: SocketAddr,
}

impl std::fmt::Debug for ListClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ListClient")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl ListClient {
    /// Makes a client for the list at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: pooled_client(),
            address,
        }
    }

    /// Reads the list.
    pub async fn fetch(&self) -> Result<LiveList, String> {
        let url = format!("http://{}/v1/boxes", self.address);
        let request = self.client.get(url).timeout(LIST_TIMEOUT);
        let mut res = request.send().await.map_err(|err| err.to_string())?;
        let list = res.json().limit(LIST_BYTES_LIMIT);
        match tokio::time::timeout(LIST_TIMEOUT, list).await {
            Ok(list) => list.map_err(|err| err.to_string()),
            Err(_) => Err("no answer in time".to_owned()),
        }
    }
}
