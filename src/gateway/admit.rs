//! A caller's request, from its connection until it is known what it asks for and whether it
//! may be served.

pub mod listen;
pub mod prompt;
pub mod request;
pub mod routes;
pub mod serve;
