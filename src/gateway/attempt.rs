//! One attempt of a request at one upstream, and what is known of that upstream.

pub mod connect;
pub mod crash_detection;
pub mod exchange;
pub mod headers;
pub mod probe;
pub mod quarantine;
pub mod response_timeout;
pub mod retries;
pub mod tries;
pub mod upstream;
