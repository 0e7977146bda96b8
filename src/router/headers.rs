//! Names of headers, and which headers are forwarded.

use crate::hop_by_hop::HopByHopHeaders;
use actix_http::header::{AUTHORIZATION, CONNECTION, HOST, HeaderMap, HeaderName};

/// Informs an upstream which organisation a request belongs to.
pub const ORGANISATION_HEADER: &str = "gatepier-organisation";
/// Identifies a request to an upstream, which may echo it.
pub const UPSTREAM_ID_HEADER: &str = "x-request-id";

/// Sent by an upstream that accepts no more requests and is about to stop.
pub const LEAVING_HEADER: &str = "gatepier-leaving";
/// Sent by an upstream that accepts only this many requests per second from all boxes together.
pub const RATE_LIMIT_HEADER: &str = "gatepier-rate-limit";
/// States how many requests the upstream runs at the same time, beside a rejection limit.
pub const SLOTS_HEADER: &str = "gatepier-slots";
/// Sent by an upstream that crashes if it rejects more requests per second for lack of room.
pub const REJECTION_LIMIT_HEADER: &str = "gatepier-rejection-limit";

/// Returns the headers that may be forwarded: all except hop-by-hop headers, the caller's
/// credential, and those that only the router may set.
pub fn end_to_end_headers(
    headers: &HeaderMap,
) -> Vec<(HeaderName, actix_http::header::HeaderValue)> {
    let connection = headers.get_all(CONNECTION);
    let hop_by_hop =
        HopByHopHeaders::from_connection_values(connection.filter_map(|value| value.to_str().ok()));
    let is_dropped = |name: &HeaderName| {
        [HOST, AUTHORIZATION].contains(name)
            || hop_by_hop.contains(name.as_str())
            || name.as_str() == ORGANISATION_HEADER
            || name.as_str() == UPSTREAM_ID_HEADER
            || name.as_str() == LEAVING_HEADER
            || name.as_str() == RATE_LIMIT_HEADER
            || name.as_str() == REJECTION_LIMIT_HEADER
            || name.as_str() == SLOTS_HEADER
    };
    headers
        .iter()
        .filter(|(name, _)| !is_dropped(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
