//! Version rollouts: which version serves a session, and whether a new version is good enough to
//! serve more sessions.

pub mod exposure;
pub mod histogram;
pub mod latency_evidence;
pub mod local_statistics;
pub mod monitor;
pub mod recording;
pub mod rollout;
pub mod session_versions;
pub mod statistics;
pub mod stored_evidence;
