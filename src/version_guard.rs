//! The exposure guard: a sequential test that suspends a version that has turned bad.
//!
//! For each version the guard sums the log-likelihood ratios of the answers, under "bad" against
//! "as tolerated", and never lets a sum fall below zero, so that a long good past does not hide a
//! change (Page's CUSUM test). The expected number of answers to a false alarm is at least the
//! exponential of the threshold. See `docs/design/exposure.md`.

use crate::change::Generation;
use crate::evidence::AnswerCounts;
use crate::name::VersionName;
use std::collections::BTreeMap;

/// Which fractions of bad and failed answers are tolerable, and how certain an alarm has to be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GuardPolicy {
    /// Tolerated fraction of rated answers that are rated bad.
    pub tolerated_bad: f64,
    /// Tolerated fraction of answers that fail.
    pub tolerated_failed: f64,
    /// The fraction of bad answers that the test looks for, as a multiple of the tolerated one.
    pub ratio_bad: f64,
    /// The fraction of failures that the test looks for, as a multiple of the tolerated one.
    pub ratio_failed: f64,
    /// Expected number of answers until a false alarm.
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

/// State of the two CUSUM tests of one version.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct CusumState {
    /// The counts that the sums include.
    included: AnswerCounts,
    bad_sum: f64,
    failed_sum: f64,
}

/// The sequential tests of all versions.
#[derive(Debug, Clone, Default)]
pub struct VersionGuard {
    policy: GuardPolicy,
    states: BTreeMap<VersionName, CusumState>,
    /// The newest lift of each version's suspension that the states follow.
    lifted: BTreeMap<VersionName, Generation>,
}

impl VersionGuard {
    /// Creates a guard with a policy.
    pub fn new(policy: GuardPolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Updates the tests of a version with its newest counts; returns an alarm if the version has
    /// turned bad.
    pub fn observe(&mut self, version: &VersionName, counts: &AnswerCounts) -> Option<Alarm> {
        self.observe_with_policy(self.policy, version, counts)
    }

    /// Like [`Self::observe`], with a policy of the caller's, such as one whose tolerated fractions
    /// were measured at another version.
    pub fn observe_with_policy(
        &mut self,
        policy: GuardPolicy,
        version: &VersionName,
        counts: &AnswerCounts,
    ) -> Option<Alarm> {
        let state = self.states.entry(version.clone()).or_default();
        let new = counts.since(&state.included);
        state.included = *counts;
        let succeeded = new.served.saturating_sub(new.failed);
        state.bad_sum = updated_sum(
            state.bad_sum,
            new.bad,
            new.good,
            policy.tolerated_bad,
            policy.ratio_bad,
        );
        state.failed_sum = updated_sum(
            state.failed_sum,
            new.failed,
            succeeded,
            policy.tolerated_failed,
            policy.ratio_failed,
        );
        let threshold = policy.answers_to_false_alarm.ln();
        if state.bad_sum >= threshold {
            return Some(Alarm::Bad);
        }
        (state.failed_sum >= threshold).then_some(Alarm::Failed)
    }

    /// Resets the tests of each version whose suspension operators have lifted since the last call;
    /// the counts of such a version restart at zero too.
    pub fn reset_lifted(&mut self, lifted: &BTreeMap<VersionName, Generation>) {
        let known = &self.lifted;
        self.states
            .retain(|version, _| lifted.get(version) == known.get(version));
        self.lifted.clone_from(lifted);
    }

    /// Resets the sums of a version after an alarm, so that the same answers do not suspend it
    /// twice.
    pub fn reset(&mut self, version: &VersionName) {
        if let Some(state) = self.states.get_mut(version) {
            *state = CusumState {
                included: state.included,
                ..CusumState::default()
            };
        }
    }
}

/// Adds the log-likelihood ratio of a batch of answers to a sum, with zero as the lower bound.
fn updated_sum(sum: f64, bad: u64, good: u64, tolerated: f64, ratio: f64) -> f64 {
    const MAX_ALTERNATIVE_FRACTION: f64 = 0.95;
    let alternative = (tolerated * ratio).min(MAX_ALTERNATIVE_FRACTION);
    let per_bad = (alternative / tolerated).ln();
    let per_good = ((1.0 - alternative) / (1.0 - tolerated)).ln();
    (sum + per_bad * bad as f64 + per_good * good as f64).max(0.0)
}
