//! Exchange of state between boxes.

pub mod datagram;
pub mod engine_speeds;
pub mod fetch;
pub mod fetch_planner;
pub mod full_boxes;
pub mod gossip_targets;
pub mod hub_poller;
pub mod hubs;
pub mod leaving_upstreams;
pub mod limit_reports;
pub mod liveness;
pub mod load_reports;
pub mod loan_book;
pub mod messages;
pub mod outbox;
pub mod packing;
pub mod peer_server;
pub mod pending_polls;
pub mod rate_limits;
pub mod rate_samples;
pub mod rejection_limits;
pub mod slot_loans;
pub mod suspects;
pub mod tunnel_client;
pub mod tunnel_server;
pub mod tunnel_stream;
