//! Settings of `gatepier-router`.

use super::reader::{Document, Section};
use super::{
    BoxIdentity, parent_folder, read_address, read_identity, read_name, read_optional_address,
    read_tls,
};
use crate::error::Result;
use crate::session::SessionKey;
use crate::wire::tls::TlsFiles;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Exclusive upper bound of the default deadline and of the drain timeout.
const DEADLINE_BOUND_MS: u64 = 600_000;
const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(60);
const DEFAULT_BODY_LIMIT_BYTES: u64 = 2 * 1024 * 1024;
const MAX_WORKERS: u64 = 64;
const DEFAULT_WORKERS: u64 = 2;
const SHA256_HEX_DIGITS: usize = 64;
const DEFAULT_UPSTREAM_LIMIT_REQUESTS: u64 = 64;

/// Settings of a router.
#[derive(Debug, Clone)]
pub struct RouterSettings {
    /// The box that the router runs on.
    pub identity: BoxIdentity,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Address on which metrics and readiness are served.
    pub metrics: SocketAddr,
    /// Address of the box's agent.
    pub agent: SocketAddr,
    /// Address of the service that rates answers, if there is one.
    pub rater: Option<SocketAddr>,
    /// Files with the box's certificate.
    pub tls: TlsFiles,
    /// Key that signs session tokens, the same on all boxes of a partner.
    pub session_key: SessionKey,
    /// Names of the organisations, by the SHA-256 digests of their credentials.
    pub credentials: BTreeMap<String, String>,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Deadline of requests that set none.
    pub deadline: Duration,
    /// How long a graceful shutdown waits for requests in progress.
    pub drain: Duration,
    /// Maximum size of a request body in bytes.
    pub body_limit: usize,
    /// Maximum number of concurrent requests from this box to one model upstream.
    pub upstream_limit: usize,
}

impl RouterSettings {
    /// Reads and validates a settings file.
    pub fn load(file: &Path) -> Result<Self> {
        let document = Document::load(file)?;
        document.read(|root| {
            let identity = read_identity(root);
            let listen = read_address(root, "listen");
            let metrics = read_address(root, "metrics");
            let agent = read_address(root, "agent");
            let rater = read_optional_address(root, "rater");
            let tls = read_tls(root, parent_folder(file));
            let session_key = root.parsed("session_key", "32 bytes in base64", SessionKey::parse);
            let credentials = read_credentials(root);
            let workers = root.number("workers", DEFAULT_WORKERS, 1..MAX_WORKERS + 1);
            let deadline = root.millis("deadline_ms", DEFAULT_DEADLINE, 1..DEADLINE_BOUND_MS);
            let drain = root.millis("drain_ms", DEFAULT_DRAIN_TIMEOUT, 0..DEADLINE_BOUND_MS);
            let body_limit = root.number("body_limit", DEFAULT_BODY_LIMIT_BYTES, 1..1 << 32);
            let upstream_limit = root.number(
                "upstream_limit",
                DEFAULT_UPSTREAM_LIMIT_REQUESTS,
                1..1_000_000,
            );
            Some(Self {
                identity: identity?,
                listen: listen?,
                metrics: metrics?,
                agent: agent?,
                rater,
                tls: tls?,
                session_key: session_key?,
                credentials,
                workers: usize::try_from(workers?).ok()?,
                deadline: deadline?,
                drain: drain?,
                body_limit: usize::try_from(body_limit?).ok()?,
                upstream_limit: usize::try_from(upstream_limit?).ok()?,
            })
        })
    }
}

fn read_credentials(root: &Section<'_>) -> BTreeMap<String, String> {
    let is_digest = |text: &str| {
        let digits = text
            .chars()
            .all(|c| c.is_ascii_digit() || ('a'..='f').contains(&c));
        (digits && text.len() == SHA256_HEX_DIGITS).then(|| text.to_owned())
    };
    let credentials = root.sections("credential", |section| {
        let organisation = read_name(section, "organisation");
        let digest = section.parsed("sha256", "64 hexadecimal digits in lower case", is_digest);
        Some((digest?, organisation?))
    });
    credentials.into_iter().collect()
}
