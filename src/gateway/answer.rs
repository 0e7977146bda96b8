//! The answer that the caller gets: an upstream's, passed on, or a refusal.

pub mod buffered;
pub mod events;
pub mod refusal;
pub mod relay;
pub mod stream;
