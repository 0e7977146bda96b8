//! Headers that concern one connection only and never pass on.

use std::collections::HashSet;

const HOP_BY_HOP: [&str; 10] = [
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

/// The headers of one message that stay on its connection.
#[derive(Debug, Clone, Default)]
pub struct HopByHopHeaders {
    named: HashSet<String>,
}

impl HopByHopHeaders {
    /// Reads the values of a message's `Connection` headers, which may name others.
    pub fn from_connection_values<'a>(connection: impl Iterator<Item = &'a str>) -> Self {
        let names = connection.flat_map(|value| value.split(','));
        let named = names.map(|name| name.trim().to_ascii_lowercase()).collect();
        Self { named }
    }

    /// Tells whether a header, named in lower case, stays on the connection.
    ///
    /// A body's length counts as such, since each side frames bodies by itself.
    pub fn contains(&self, name: &str) -> bool {
        HOP_BY_HOP.contains(&name) || self.named.contains(name)
    }
}
