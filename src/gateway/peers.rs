//! What boxes tell each other.

pub mod asking;
pub mod datagram;
pub mod fetch;
pub mod heard;
pub mod hubs;
pub mod leaving;
pub mod messages;
pub mod outbox;
pub mod packing;
pub mod spread;
pub mod suspects;
