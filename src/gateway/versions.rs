//! Roll-outs of versions, and which version serves which session.

pub mod counts;
pub mod exposure;
pub mod judge;
pub mod observed;
pub mod rollout;
pub mod seen;
pub mod sessions;
pub mod tally;
pub mod times;
pub mod watch;
