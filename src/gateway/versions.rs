//! Roll-outs of versions, and which version serves which session.

pub mod counts;
pub mod rollout;
pub mod sessions;
pub mod watch;
