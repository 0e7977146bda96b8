//! Choice of the step at which a cascade starts.
//!
//! The ratings collected by all boxes estimate the quality of each model for an organisation.
//! A cascade whose gate is `learn` starts at the cheapest step of sufficient quality, and
//! occasionally explores the next cheaper step. See `docs/design/cascades.md`.

use super::snapshot::Snapshot;
use crate::bundle::{Cascade, QualityGate};
use crate::evidence::AnswerCounts;
use rand::Rng;

/// Minimum number of ratings from which the quality of a step is estimated.
const MIN_RATINGS: u64 = 20;
/// One in this many requests explores the step before the learned one.
const EXPLORE_ONE_IN: u32 = 20;
/// Number of standard errors that are subtracted from a step's mean quality.
const CONFIDENCE_STANDARD_ERRORS: f64 = 1.0;

/// Returns the index of the step at which a request starts.
pub fn first_step(
    snapshot: &Snapshot,
    organisation: &str,
    cascade: &Cascade,
    rng: &mut impl Rng,
) -> usize {
    if cascade.gate == QualityGate::Inline {
        return 0;
    }
    let quality = |step: &String| quality_lower_bound(snapshot, organisation, step);
    let qualities: Vec<Option<f64>> = cascade.steps.iter().map(quality).collect();
    let learned_step = cheapest_sufficient_step(&qualities, cascade);
    let is_exploration = learned_step > 0 && rng.random_ratio(1, EXPLORE_ONE_IN);
    if is_exploration {
        learned_step - 1
    } else {
        learned_step
    }
}

/// Returns the cheapest step of sufficient quality according to the ratings, or the last step.
fn cheapest_sufficient_step(qualities: &[Option<f64>], cascade: &Cascade) -> usize {
    let last = cascade.steps.len() - 1;
    for (step, quality) in qualities.iter().enumerate() {
        match quality {
            Some(quality) if *quality >= cascade.quality => return step,
            Some(_) => {}
            // A step with too few ratings is used only from the bundle's default step on.
            None if step >= cascade.default_step => return step,
            None => {}
        }
    }
    last
}

/// Returns a conservative estimate of the fraction of a model's answers that are good.
///
/// As in the exposure guard, ratings from before operators lifted a version's suspension do not
/// count for the version after the lift.
fn quality_lower_bound(snapshot: &Snapshot, organisation: &str, model: &str) -> Option<f64> {
    let mut counts = AnswerCounts::default();
    for (subject, found) in snapshot.evidence_sums.iter() {
        let is_match = subject.organisation == organisation && subject.version.model == model;
        if is_match && subject.lift == snapshot.control.newest_lift(&subject.version) {
            counts.add(found);
        }
    }
    let rated = counts.good + counts.bad;
    if rated < MIN_RATINGS {
        return None;
    }
    let mean = counts.good as f64 / rated as f64;
    let error = (mean * (1.0 - mean) / rated as f64).sqrt();
    Some(mean - CONFIDENCE_STANDARD_ERRORS * error)
}
