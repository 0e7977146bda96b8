//! Which headers are passed on.

use crate::hop_by_hop::HopByHop;
use actix_http::header::{AUTHORIZATION, CONNECTION, HOST, HeaderMap, HeaderName};

/// The header that tells an upstream which organisation a request belongs to.
pub const ORGANISATION_HEADER: &str = "gatepier-organisation";
/// The header by which an upstream knows a request, and which it may echo.
pub const UPSTREAM_ID_HEADER: &str = "x-request-id";

/// The header by which an upstream says that it takes no more work and will end.
pub const LEAVING_HEADER: &str = "gatepier-leaving";

/// Returns the headers that may be passed on: all but those of the connection itself,
/// the caller's credential, and what only the router may say.
pub fn end_to_end(headers: &HeaderMap) -> Vec<(HeaderName, actix_http::header::HeaderValue)> {
    let connection = headers.get_all(CONNECTION);
    let hop_by_hop = HopByHop::read(connection.filter_map(|value| value.to_str().ok()));
    let dropped = |name: &HeaderName| {
        [HOST, AUTHORIZATION].contains(name)
            || hop_by_hop.contains(name.as_str())
            || name.as_str() == ORGANISATION_HEADER
            || name.as_str() == UPSTREAM_ID_HEADER
            || name.as_str() == LEAVING_HEADER
    };
    headers
        .iter()
        .filter(|(name, _)| !dropped(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
