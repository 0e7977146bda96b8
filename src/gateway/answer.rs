//! The response that the caller gets: an upstream's, relayed, or a refusal of the gateway.

pub mod buffered;
pub mod events;
pub mod held_body;
pub mod held_bytes;
pub mod held_memory;
pub mod larger_model;
pub mod piece_relay;
pub mod refusal;
pub mod relay;
pub mod return_schedule;
pub mod stream;
