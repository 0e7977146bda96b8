//! Control plane of a box: its copy of the configuration, upstream list, roll-outs and box
//! membership, and the synchronization of that copy with the platform's store.

pub mod change;
pub mod initial_sync;
pub mod lag;
pub mod limit_leader;
pub mod membership;
pub mod mirror;
pub mod restoration;
pub mod revision;
pub mod rollout;
pub mod rollout_leader;
pub mod staleness_check;
pub mod state;
pub mod store;
pub mod store_reach;
pub mod store_sync;
