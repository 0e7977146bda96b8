//! A single try of a request at an upstream, and the state kept for each upstream.

pub mod connect;
pub mod crash_detection;
pub mod exchange;
pub mod headers;
pub mod load_report;
pub mod probe;
pub mod quarantine;
pub mod response_timeout;
pub mod retries;
pub mod tries;
pub mod upstream;
