//! Admission: accepts callers' connections, finds the route and the organisation of a request, and
//! decides whether it may be served.

pub mod listen;
pub mod load_decision;
pub mod own_limit;
pub mod prompt;
pub mod request;
pub mod room;
pub mod routes;
pub mod run_times;
pub mod serve;
pub mod service_demand;
pub mod wait_queue;
pub mod waiting;
