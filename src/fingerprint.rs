//! Fingerprints, which are equal for repeated sends of the same request, and for requests that have
//! a part of their prompts in common.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// A hash of a request's caller, method, host, target and body, which all sends of the request have
/// in common although each has an id of its own.
///
/// Headers are left out, since deadlines and the position of a resumed stream differ between sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

/// The parts of a request that identify it.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// The organisation that sent the request; none if no API key is required.
    pub caller: Option<&'a str>,
    /// The method.
    pub method: &'a str,
    /// The host to which it was sent.
    pub host: &'a str,
    /// The path with its query.
    pub target: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// The fingerprints of a request: its own, and those of the parts of its prompt that other requests
/// share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFingerprints {
    /// That of the request itself.
    pub own: Fingerprint,
    /// Those of the shared parts, in the order of the prompt.
    pub parts: Vec<Fingerprint>,
}

impl RequestFingerprints {
    /// Iterates over all of them, the request's own first.
    pub fn iter(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        std::iter::once(self.own).chain(self.parts.iter().copied())
    }

    /// Returns whether this is one of them.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.iter().any(|known| known == fingerprint)
    }
}

/// A request without shared parts.
impl From<Fingerprint> for RequestFingerprints {
    fn from(own: Fingerprint) -> Self {
        Self {
            own,
            parts: Vec::new(),
        }
    }
}

impl Fingerprint {
    /// Computes the fingerprint of a part of prompts for a service, which all requests with this part
    /// have in common, whoever sent them.
    pub fn of_part(service: &str, id: &str) -> Self {
        let mut hash = Xxh3::with_seed(PART_SEED);
        // No service name contains the separator.
        hash.update(service.as_bytes());
        hash.update(&[0]);
        hash.update(id.as_bytes());
        Self(hash.digest128())
    }

    /// Computes the fingerprint of a request.
    pub fn of(identity: RequestIdentity<'_>) -> Self {
        let mut hash = Xxh3::new();
        let texts = [identity.method, identity.host, identity.target];
        let texts = texts.map(str::as_bytes);
        let caller = identity.caller.map(str::as_bytes);
        hash.update(&[u8::from(caller.is_some())]);
        for part in [caller.unwrap_or_default()].iter().chain(&texts) {
            // The length prefix keeps parts from running into each other, such as `ab` + `c` and
            // `a` + `bc`.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(identity.body);
        Self(hash.digest128())
    }
}

/// Keeps the fingerprints of parts apart from those of requests.
const PART_SEED: u64 = 1;

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
