//! The exposure guard: a sequential test that suspends a version that turned bad.
//!
//! For each version the guard adds up how much likelier the answers seen are under
//! "bad" than under "as tolerated", and never lets the sum fall below zero, so
//! that a long good past does not hide a change (Page's CUSUM test). The expected
//! number of answers to a false alarm is at least the exponential of the threshold.
//! See `docs/design/exposure.md`.

use crate::change::Generation;
use crate::evidence::AnswerCounts;
use crate::name::VersionName;
use std::collections::BTreeMap;

/// What the guard takes for tolerable, and how sure it has to be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GuardPolicy {
    /// The tolerated part of answers rated bad.
    pub tolerated_bad: f64,
    /// The tolerated part of answers that fail.
    pub tolerated_failed: f64,
    /// How many times the tolerated part of bad answers a version must show.
    pub ratio_bad: f64,
    /// How many times the tolerated part of failures a version must show.
    pub ratio_failed: f64,
    /// The expected number of answers to a false alarm.
    pub answers_to_false_alarm: f64,
}

impl Default for GuardPolicy {
    fn default() -> Self {
        Self {
            tolerated_bad: 0.10,
            tolerated_failed: 0.02,
            ratio_bad: 3.0,
            ratio_failed: 3.0,
            answers_to_false_alarm: 1e8,
        }
    }
}

/// Which of a version's two tests raised the alarm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Alarm {
    /// Too many answers were rated bad.
    Bad,
    /// Too many answers failed.
    Failed,
}

/// The state of one version's tests.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct Sums {
    seen: AnswerCounts,
    bad: f64,
    failed: f64,
}

/// The guard's tests of all versions.
#[derive(Debug, Clone, Default)]
pub struct VersionGuard {
    policy: GuardPolicy,
    sums: BTreeMap<VersionName, Sums>,
    lifted: BTreeMap<VersionName, Generation>,
}

impl VersionGuard {
    /// Makes a guard with a policy.
    pub fn new(policy: GuardPolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Takes the newest counts of a version and decides whether it has turned bad.
    pub fn observe(&mut self, version: &VersionName, counts: &AnswerCounts) -> Option<Alarm> {
        self.observe_with_policy(self.policy, version, counts)
    }

    /// Does the same by another policy, where what is tolerable was measured.
    pub fn observe_with_policy(
        &mut self,
        policy: GuardPolicy,
        version: &VersionName,
        counts: &AnswerCounts,
    ) -> Option<Alarm> {
        let sums = self.sums.entry(version.clone()).or_default();
        let new = counts.since(&sums.seen);
        sums.seen = *counts;
        let whole = new.served.saturating_sub(new.failed);
        sums.bad = step(
            sums.bad,
            new.bad,
            new.good,
            policy.tolerated_bad,
            policy.ratio_bad,
        );
        sums.failed = step(
            sums.failed,
            new.failed,
            whole,
            policy.tolerated_failed,
            policy.ratio_failed,
        );
        let threshold = policy.answers_to_false_alarm.ln();
        if sums.bad >= threshold {
            return Some(Alarm::Bad);
        }
        (sums.failed >= threshold).then_some(Alarm::Failed)
    }

    /// Begins anew with each version that operators have lifted since, whose counts begin
    /// anew as well.
    pub fn reset_lifted(&mut self, lifted: &BTreeMap<VersionName, Generation>) {
        let known = &self.lifted;
        self.sums
            .retain(|version, _| lifted.get(version) == known.get(version));
        self.lifted.clone_from(lifted);
    }

    /// Forgets what raised the alarm, so that a version is suspended once for it.
    pub fn reset(&mut self, version: &VersionName) {
        if let Some(sums) = self.sums.get_mut(version) {
            *sums = Sums {
                seen: sums.seen,
                ..Sums::default()
            };
        }
    }
}

/// Adds the log-likelihood ratio of a batch of answers to a sum that stays above zero.
fn step(sum: f64, bad: u64, good: u64, tolerated: f64, ratio: f64) -> f64 {
    const HIGHEST_PART: f64 = 0.95;
    let alternative = (tolerated * ratio).min(HIGHEST_PART);
    let per_bad = (alternative / tolerated).ln();
    let per_good = ((1.0 - alternative) / (1.0 - tolerated)).ln();
    (sum + per_bad * bad as f64 + per_good * good as f64).max(0.0)
}
