//! What tells that two sends are the same request.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// A hash of what makes a request: every send of it has an id of its own, but the same caller,
/// method, host, target and body.
///
/// Headers are left out, since deadlines and the events that a resumed stream has differ
/// between sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

/// The parts of a request by which it is told from others.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// The organisation that sent it; none where no keys are asked for.
    pub caller: Option<&'a str>,
    /// The method.
    pub method: &'a str,
    /// The host that it was sent to.
    pub host: &'a str,
    /// The path with its query.
    pub target: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// Hashes what makes a request.
    pub fn of(identity: RequestIdentity<'_>) -> Self {
        let mut hash = Xxh3::new();
        let texts = [identity.method, identity.host, identity.target];
        let texts = texts.map(str::as_bytes);
        let caller = identity.caller.map(str::as_bytes);
        hash.update(&[u8::from(caller.is_some())]);
        for part in [caller.unwrap_or_default()].iter().chain(&texts) {
            // The length keeps the end of one part from being the start of the next.
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
