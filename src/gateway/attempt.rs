//! A single try of a request at an upstream, and the state kept for each upstream.

pub mod acquire;
pub mod answer_ownership;
pub mod connect;
pub mod connection;
pub mod connection_age;
pub mod connection_limit;
pub mod connection_proof;
pub mod connection_write;
pub mod crash_detection;
pub mod exchange;
pub mod headers;
pub mod load_report;
pub mod probe;
pub mod quarantine;
pub mod reachability;
pub mod response_timeout;
pub mod retries;
pub mod spare_connections;
pub mod steady_demand;
pub mod tries;
pub mod upstream;
pub mod upstream_answer;
pub mod upstream_connections;
pub mod upstream_paths;
pub mod upstream_stream;
