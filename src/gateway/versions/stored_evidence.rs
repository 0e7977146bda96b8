//! What the answers of a roll-out have said so far, in a form that the store keeps.
//!
//! Counts live in boxes, and are lost where all of them are killed together. What they said goes
//! into the record of the roll-out with each writing, so that the next boxes do not judge the
//! version by the few answers that are left in its time.

use super::latency_evidence::LatencySummary;
use serde::{Deserialize, Serialize};

/// What was seen of both versions before a certain stretch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredEvidence {
    /// How the answers that came ranked.
    #[serde(rename = "answers")]
    pub latency: LatencySummary,
    /// The logarithm of the odds that the version fails more often than the old one.
    #[serde(rename = "failures")]
    pub failure_log_ratio: f64,
}

impl StoredEvidence {
    /// Returns what still holds when a stage begins: its answers are judged by themselves as well.
    pub fn at_next_stage(self) -> Self {
        Self {
            latency: self.latency.at_next_stage(),
            ..self
        }
    }
}
