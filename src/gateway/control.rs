//! What the box knows of the operators' wishes and of the fleet, and how it keeps that fresh
//! by the platform's store.

pub mod first_reads;
pub mod follow;
pub mod knowledge;
pub mod lag;
pub mod leading;
pub mod membership;
pub mod mirror;
pub mod rollout;
pub mod store;
