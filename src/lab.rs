//! Stand-ins (stub servers) for the external systems, a load generator and a fault-injecting proxy.
//!
//! Used only by the demo, tests and measurements.

pub mod cli;
pub mod fleet;
pub mod load;
pub mod model;
pub mod platform;
pub mod proxy;
pub mod server;
pub mod service;
pub mod silent_clients;
pub mod skewed_load;
pub mod store;
pub mod throttle;
