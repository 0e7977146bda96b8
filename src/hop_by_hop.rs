//! Hop-by-hop headers, which apply to a single connection and are not forwarded.

use std::collections::HashSet;

/// Headers that are never forwarded. `content-length` is among them because each side frames its
/// bodies itself.
const NEVER_FORWARDED: [&str; 10] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The hop-by-hop headers of one message.
#[derive(Debug, Clone, Default)]
pub struct HopByHopHeaders {
    /// The headers that the message's `Connection` headers list, in lower case.
    listed: HashSet<String>,
}

impl HopByHopHeaders {
    /// Parses the values of a message's `Connection` headers, which may list further headers.
    pub fn from_connection_values<'a>(connection: impl Iterator<Item = &'a str>) -> Self {
        let names = connection.flat_map(|value| value.split(','));
        let listed = names.map(|name| name.trim().to_ascii_lowercase()).collect();
        Self { listed }
    }

    /// Returns whether the header with this lower-case name must not be forwarded.
    pub fn contains(&self, name: &str) -> bool {
        NEVER_FORWARDED.contains(&name) || self.listed.contains(name)
    }
}
