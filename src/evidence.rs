//! What all boxes together have seen of each version.
//!
//! Each router counts since its start. Counts only grow and are kept by reporter,
//! so that merging them in any order, twice or late gives the same sums. See
//! `docs/design/exposure.md`.

use crate::change::Generation;
use crate::clock::WallTime;
use crate::name::VersionName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Counts of one version's answers. Each only grows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Answers given, whole or not.
    pub served: u64,
    /// Answers that the upstream failed to give.
    pub failed: u64,
    /// Answers rated good.
    pub good: u64,
    /// Answers rated bad.
    pub bad: u64,
}

impl AnswerCounts {
    /// Takes the greater of each count.
    pub fn merge(&mut self, other: &Self) {
        self.served = self.served.max(other.served);
        self.failed = self.failed.max(other.failed);
        self.good = self.good.max(other.good);
        self.bad = self.bad.max(other.bad);
    }

    /// Adds each count.
    pub fn add(&mut self, other: &Self) {
        self.served += other.served;
        self.failed += other.failed;
        self.good += other.good;
        self.bad += other.bad;
    }

    /// Returns what was added since an earlier state of the same counts.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            served: self.served.saturating_sub(earlier.served),
            failed: self.failed.saturating_sub(earlier.failed),
            good: self.good.saturating_sub(earlier.good),
            bad: self.bad.saturating_sub(earlier.bad),
        }
    }
}

/// What a count is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EvidenceSubject {
    /// The version.
    pub version: VersionName,
    /// The organisation.
    pub organisation: String,
    /// The operators' lift under which the request was sent, the first generation of all if
    /// there was none: what was counted before a lift says nothing of the version after it.
    pub lift: Generation,
}

/// One reporter's counts about one subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceCell {
    /// The router's box with the router's start, so that a new life counts anew.
    pub reporter: String,
    /// What the counts are about.
    pub subject: EvidenceSubject,
    /// The counts.
    pub counts: AnswerCounts,
}

/// The counts of all reporters.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    cells: BTreeMap<(String, EvidenceSubject), (AnswerCounts, u64)>,
    version: u64,
}

impl Evidence {
    /// Merges cells and tells whether any was new.
    pub fn merge(&mut self, cells: &[EvidenceCell]) -> bool {
        let before = self.version;
        for cell in cells {
            let key = (cell.reporter.clone(), cell.subject.clone());
            let (counts, changed) = self.cells.entry(key).or_default();
            let mut merged = *counts;
            merged.merge(&cell.counts);
            if merged != *counts {
                self.version += 1;
                *counts = merged;
                *changed = self.version;
            }
        }
        self.version != before
    }

    /// Returns the number of the last change, for [`Self::changed_since`].
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the cells that changed after a number, up to a limit, and the number
    /// to ask with next.
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

    /// Returns the sums over all reporters, by version, of what was counted under the
    /// operators' newest lift of each.
    ///
    /// Counts travel: some from before a lift are only heard of after it. They are told from
    /// new ones by the lift that they carry and not by when they come.
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
    /// The generation of the change log at which the guard decided.
    pub generation: Generation,
    /// The box that decided first, as far as this box has heard.
    pub decided_by: String,
    /// When it decided.
    pub at: WallTime,
    /// What it decided on.
    pub reason: String,
}
