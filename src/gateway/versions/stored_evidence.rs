//! The evidence of a rollout in the form that is kept in the store.
//!
//! Boxes keep their statistics in memory and lose them when all are killed together. The evidence
//! is therefore written with each rollout record, so that restarted boxes do not judge the version
//! by the few responses after their start.

use super::latency_evidence::LatencySummary;
use serde::{Deserialize, Serialize};

/// The evidence on both versions from before a time window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredEvidence {
    /// The evidence from response times.
    #[serde(rename = "answers")]
    pub latency: LatencySummary,
    /// The log-likelihood ratio of "the version fails more often than the old one".
    #[serde(rename = "failures")]
    pub failure_log_ratio: f64,
}

impl StoredEvidence {
    /// Returns the evidence for the beginning of a stage, which is also evaluated by its own
    /// responses alone.
    pub fn at_next_stage(self) -> Self {
        Self {
            latency: self.latency.at_next_stage(),
            ..self
        }
    }
}
