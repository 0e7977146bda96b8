//! Routing decisions for a request: admission, version, upstream and retry.
//!
//! All of it depends only on state, event and current time, and does no I/O.

pub mod admission;
pub mod backoff;
pub mod budget;
pub mod cascade;
pub mod placement;
pub mod rate_limit;
pub mod rejection_limit;
pub mod signals;
pub mod snapshot;
pub mod versions;
