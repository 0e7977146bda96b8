//! Settings of `gatepier-agent`.

use super::reader::{Document, Section};
use super::{BoxIdentity, folder_of, read_address, read_identity, read_name, read_tls};
use crate::change::OperatorKeys;
use crate::error::Result;
use crate::keys::PublicKey;
use crate::version_guard::GuardPolicy;
use crate::wire::tls::TlsFiles;
use std::net::SocketAddr;
use std::path::Path;

/// What an agent is told at its start.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// Which box the agent runs on.
    pub identity: BoxIdentity,
    /// Where the agent listens for routers, peers and the command line.
    pub listen: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// The platform's key-value service.
    pub store: SocketAddr,
    /// The platform's list of boxes.
    pub list: SocketAddr,
    /// Peers to ask while the list is not known.
    pub seeds: Vec<SocketAddr>,
    /// The certificate of the box.
    pub tls: TlsFiles,
    /// The operators whose signatures count.
    pub operators: OperatorKeys,
    /// What the exposure guard tolerates.
    pub guard: GuardPolicy,
}

impl AgentSettings {
    /// Reads and checks a settings file.
    pub fn load(file: &Path) -> Result<Self> {
        let document = Document::load(file)?;
        document.read(|root| {
            let identity = read_identity(root);
            let listen = read_address(root, "listen");
            let metrics = read_address(root, "metrics");
            let store = read_address(root, "store");
            let list = read_address(root, "list");
            let seeds =
                root.parsed_list("seeds", super::ADDRESS_EXPECTED, |text| text.parse().ok());
            let tls = read_tls(root, folder_of(file));
            let operators = read_operators(root);
            let guard = root
                .optional_section("guard", read_guard)
                .unwrap_or_default();
            Some(Self {
                identity: identity?,
                listen: listen?,
                metrics: metrics?,
                store: store?,
                list: list?,
                seeds,
                tls: tls?,
                operators,
                guard,
            })
        })
    }
}

/// Reads the `[[operator]]` tables.
pub(super) fn read_operators(root: &Section<'_>) -> OperatorKeys {
    let operators = root.sections("operator", |section| {
        let name = read_name(section, "name");
        let key = section.parsed(
            "key",
            "a public key from `gatepier keygen`",
            PublicKey::parse,
        );
        Some((name?, key?))
    });
    if operators.is_empty() {
        root.fault(
            "operator",
            "at least two operators are needed, for a bundle and its sign-off",
        );
    }
    operators.into_iter().collect()
}

fn read_guard(section: &Section<'_>) -> Option<GuardPolicy> {
    const FEWEST: u64 = 1_000;
    const MOST: u64 = 1_000_000_000_000;
    let default = GuardPolicy::default();
    let tolerated_bad = section.fraction("tolerated_bad", default.tolerated_bad);
    let tolerated_failed = section.fraction("tolerated_failed", default.tolerated_failed);
    let answers = section.number(
        "answers_to_false_alarm",
        default.answers_to_false_alarm as u64,
        FEWEST..MOST,
    );
    Some(GuardPolicy {
        tolerated_bad: tolerated_bad?.max(f64::EPSILON),
        tolerated_failed: tolerated_failed?.max(f64::EPSILON),
        answers_to_false_alarm: answers? as f64,
        ..default
    })
}
