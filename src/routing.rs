//! The decisions about one request: which version, which upstream, whether to retry.
//!
//! Everything here is a function of state, event and present time, without I/O.

pub mod admission;
pub mod budget;
pub mod cascade;
pub mod placement;
pub mod rest;
pub mod signs;
pub mod snapshot;
pub mod versions;
