//! Counts of each version's answers, pooled from all boxes.
//!
//! Each router counts since its start. Counts only grow and are kept by reporter, so merging them
//! late, twice or in any order gives the same sums. See `docs/design/exposure.md`.

use crate::change::Generation;
use crate::clock::WallTime;
use crate::name::VersionName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Counts of one version's answers. None of them ever decreases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Answers, complete or not.
    pub served: u64,
    /// Answers that failed at the upstream.
    pub failed: u64,
    /// Answers rated good.
    pub good: u64,
    /// Answers rated bad.
    pub bad: u64,
}

impl AnswerCounts {
    /// Raises each count to the greater of the two.
    pub fn merge(&mut self, other: &Self) {
        self.served = self.served.max(other.served);
        self.failed = self.failed.max(other.failed);
        self.good = self.good.max(other.good);
        self.bad = self.bad.max(other.bad);
    }

    /// Adds each count of `other`.
    pub fn add(&mut self, other: &Self) {
        self.served += other.served;
        self.failed += other.failed;
        self.good += other.good;
        self.bad += other.bad;
    }

    /// Returns the growth since an earlier state of the same counts.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            served: self.served.saturating_sub(earlier.served),
            failed: self.failed.saturating_sub(earlier.failed),
            good: self.good.saturating_sub(earlier.good),
            bad: self.bad.saturating_sub(earlier.bad),
        }
    }
}

/// What counts refer to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EvidenceSubject {
    /// The version.
    pub version: VersionName,
    /// The organisation.
    pub organisation: String,
    /// Generation of the newest lift of the version's suspension when the request was sent, zero if
    /// there was none: counts from before a lift say nothing about the version after it.
    pub lift: Generation,
}

/// One reporter's counts of one subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceCell {
    /// The router's box and start time, so that each incarnation of a router has counts of its own.
    pub reporter: String,
    /// What the counts refer to.
    pub subject: EvidenceSubject,
    /// The counts since the reporter's start.
    pub counts: AnswerCounts,
}

/// The counts of all reporters.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// By reporter and subject: the counts and the number of their last change.
    cells: BTreeMap<(String, EvidenceSubject), (AnswerCounts, u64)>,
    last_change: u64,
}

impl Evidence {
    /// Merges cells; returns whether any of them changed the counts.
    pub fn merge(&mut self, cells: &[EvidenceCell]) -> bool {
        let before = self.last_change;
        for cell in cells {
            let key = (cell.reporter.clone(), cell.subject.clone());
            let (counts, changed) = self.cells.entry(key).or_default();
            let mut merged = *counts;
            merged.merge(&cell.counts);
            if merged != *counts {
                self.last_change += 1;
                *counts = merged;
                *changed = self.last_change;
            }
        }
        self.last_change != before
    }

    /// Returns the number of the last change, for [`Self::changed_since`].
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the cells that changed after the change with the number `after`, up to a limit, and
    /// the number for the next call.
    pub fn changed_since(&self, after: u64, limit: usize) -> (Vec<EvidenceCell>, u64) {
        let mut changed: Vec<_> = self
            .cells
            .iter()
            .filter(|(_, (_, changed))| *changed > after)
            .collect();
        changed.sort_by_key(|(_, (_, changed))| *changed);
        changed.truncate(limit);
        let next = changed.last().map_or(after, |(_, (_, changed))| *changed);
        let cell = |((reporter, subject), (counts, _)): (
            &(String, EvidenceSubject),
            &(AnswerCounts, u64),
        )| {
            EvidenceCell {
                reporter: reporter.clone(),
                subject: subject.clone(),
                counts: *counts,
            }
        };
        (changed.into_iter().map(cell).collect(), next)
    }

    /// Returns the sums over all reporters by version, of the counts under the newest lift of each
    /// version's suspension.
    ///
    /// Counts from before a lift can arrive after it. They are distinguished from new ones by the
    /// lift that they carry, not by when they arrive.
    pub fn by_version(
        &self,
        lifted: &BTreeMap<VersionName, Generation>,
    ) -> BTreeMap<VersionName, AnswerCounts> {
        let mut sums: BTreeMap<VersionName, AnswerCounts> = BTreeMap::new();
        for ((_, subject), (counts, _)) in &self.cells {
            let newest = lifted.get(&subject.version).copied().unwrap_or_default();
            if subject.lift == newest {
                sums.entry(subject.version.clone()).or_default().add(counts);
            }
        }
        sums
    }

    /// Returns the sums over all reporters, by subject.
    pub fn by_subject(&self) -> BTreeMap<EvidenceSubject, AnswerCounts> {
        let mut sums: BTreeMap<EvidenceSubject, AnswerCounts> = BTreeMap::new();
        for ((_, subject), (counts, _)) in &self.cells {
            sums.entry(subject.clone()).or_default().add(counts);
        }
        sums
    }
}

/// The guard's decision to take a version out of service until operators lift it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Suspension {
    /// The version.
    pub version: VersionName,
    /// Generation of the change log at the time of the decision.
    pub generation: Generation,
    /// The box that decided first, as far as this box knows.
    pub decided_by: String,
    /// Time of the decision.
    pub at: WallTime,
    /// The counts that led to the decision, as a sentence.
    pub reason: String,
}
