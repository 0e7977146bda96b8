//! Admission: accepts callers' connections, finds the route and the organisation of a request, and
//! decides whether it may be served.

pub mod listen;
pub mod prompt;
pub mod request;
pub mod routes;
pub mod serve;
pub mod waiting;
