//! The platform's list of live and leaving boxes, which may lag behind reality.

use crate::http_client::pooled_client;
use crate::name::VersionName;
use awc::Client;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const LIST_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// The service name of the agents on entry boxes.
pub const AGENT_SERVICE: &str = "gatepier-agent";

/// One revision of the platform's list of boxes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BoxList {
    /// The list's revision number; a higher one is newer.
    pub revision: u64,
    /// The boxes.
    pub boxes: Vec<ListedBox>,
}

/// Whether a box accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BoxState {
    /// The box accepts work.
    Live,
    /// The box finishes its current work and accepts no more.
    Leaving,
}

/// A box in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBox {
    /// The box's name, which is not reused after the box has been replaced.
    pub name: String,
    /// The service that runs on the box.
    pub service: String,
    /// The hall of the box.
    pub hall: String,
    /// The address on which the service listens.
    pub address: SocketAddr,
    /// Whether the box accepts new work.
    pub state: BoxState,
    /// The versions that a model server has loaded; empty for other services.
    #[serde(default)]
    pub versions: BTreeSet<VersionName>,
}

impl ListedBox {
    /// Creates the entry of a live box that runs a service with the given loaded versions.
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

impl BoxList {
    /// Returns the boxes of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ListedBox> {
        self.boxes
            .iter()
            .filter(move |listed| listed.service == service)
    }

    /// Returns whether the list contains a box with this name.
    pub fn contains(&self, name: &str) -> bool {
        self.boxes.iter().any(|listed| listed.name == name)
    }
}

/// Client that reads the list over HTTP.
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
    /// Creates a client for the list at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: pooled_client(),
            address,
        }
    }

    /// Reads the list.
    pub async fn fetch(&self) -> Result<BoxList, String> {
        let url = format!("http://{}/v1/boxes", self.address);
        let request = self.client.get(url).timeout(LIST_TIMEOUT);
        let mut res = request.send().await.map_err(|err| err.to_string())?;
        let list = res.json().limit(MAX_LIST_BYTES);
        match tokio::time::timeout(LIST_TIMEOUT, list).await {
            Ok(list) => list.map_err(|err| err.to_string()),
            Err(_) => Err("timed out reading the response body".to_owned()),
        }
    }
}
