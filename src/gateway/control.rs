//! What the box knows of the operators' wishes and of the fleet, and how it keeps that fresh
//! by the platform's store.

pub mod initial_sync;
pub mod lag;
pub mod membership;
pub mod mirror;
pub mod rollout;
pub mod rollout_leader;
pub mod state;
pub mod store;
pub mod store_sync;
