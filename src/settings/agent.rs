//! Settings of `gatepier-agent`.

use super::reader::{Document, Section};
use super::{BoxIdentity, parent_folder, read_address, read_identity, read_name, read_tls};
use crate::change::OperatorKeys;
use crate::error::Result;
use crate::keys::PublicKey;
use crate::version_guard::GuardPolicy;
use crate::wire::tls::TlsFiles;
use std::net::SocketAddr;
use std::path::Path;

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// The box that the agent runs on.
    pub identity: BoxIdentity,
    /// Address on which the agent listens for routers, other agents and the command line.
    pub listen: SocketAddr,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
    /// Address of the platform's key-value service.
    pub store: SocketAddr,
    /// Address of the platform's list of boxes.
    pub list: SocketAddr,
    /// Addresses of other agents to contact as long as the list of boxes is unknown.
    pub seeds: Vec<SocketAddr>,
    /// Files with the box's certificate.
    pub tls: TlsFiles,
    /// Operators whose signatures are accepted.
    pub operators: OperatorKeys,
    /// Thresholds of the exposure guard.
    pub guard: GuardPolicy,
}

impl AgentSettings {
    /// Reads and validates a settings file.
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
            let tls = read_tls(root, parent_folder(file));
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
        root.add_finding(
            "operator",
            "at least two operators are required: one to author a bundle and one to sign it off",
        );
    }
    operators.into_iter().collect()
}

fn read_guard(section: &Section<'_>) -> Option<GuardPolicy> {
    /// Inclusive lower bound of `answers_to_false_alarm`.
    const MIN_ANSWERS: u64 = 1_000;
    /// Exclusive upper bound of `answers_to_false_alarm`.
    const ANSWERS_BOUND: u64 = 1_000_000_000_000;
    let default = GuardPolicy::default();
    let tolerated_bad = section.fraction("tolerated_bad", default.tolerated_bad);
    let tolerated_failed = section.fraction("tolerated_failed", default.tolerated_failed);
    let answers = section.number(
        "answers_to_false_alarm",
        default.answers_to_false_alarm as u64,
        MIN_ANSWERS..ANSWERS_BOUND,
    );
    Some(GuardPolicy {
        tolerated_bad: tolerated_bad?.max(f64::EPSILON),
        tolerated_failed: tolerated_failed?.max(f64::EPSILON),
        answers_to_false_alarm: answers? as f64,
        ..default
    })
}
