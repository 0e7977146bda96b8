//! One attempt of a request at one upstream, and what is known of that upstream.

pub mod connect;
pub mod crash;
pub mod exchange;
pub mod patience;
pub mod probe;
pub mod protocol;
pub mod quarantine;
pub mod retries;
pub mod tries;
pub mod upstream;
