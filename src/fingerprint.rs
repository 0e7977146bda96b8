//! Fingerprints, which are equal for repeated sends of the same request.

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

impl Fingerprint {
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

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
