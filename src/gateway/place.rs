//! Which upstream, and which model, a request is to go to.

pub mod candidates;
pub mod choose;
pub mod engine_cost;
pub mod keepers;
pub mod loads;
pub mod models;
pub mod reading;
pub mod warm_up;
