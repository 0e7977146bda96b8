//! At which step a cascade begins.
//!
//! Ratings of all boxes tell how good each model's answers are for an organisation.
//! A cascade whose gate is `learn` begins at the cheapest step whose answers are good
//! often enough, and explores cheaper ones now and then. See `docs/design/cascades.md`.

use super::snapshot::Snapshot;
use crate::bundle::{Cascade, QualityGate};
use crate::evidence::AnswerCounts;
use rand::Rng;

/// The fewest ratings from which a step's quality is judged.
const FEWEST_RATINGS: u64 = 20;
/// How often an answer's step is drawn for exploration: one in this many.
const EXPLORE_ONE_IN: u32 = 20;
/// How many standard errors below its mean a step's quality is taken to be.
const CAUTION: f64 = 1.0;

/// Returns the step that a request begins at, counted from zero.
pub fn first_step(
    snapshot: &Snapshot,
    organisation: &str,
    cascade: &Cascade,
    rng: &mut impl Rng,
) -> usize {
    if cascade.gate == QualityGate::Inline {
        return 0;
    }
    let quality = |step: &String| quality_of(snapshot, organisation, step);
    let qualities: Vec<Option<f64>> = cascade.steps.iter().map(quality).collect();
    let learned = learned_step(&qualities, cascade);
    let explores = learned > 0 && rng.random_ratio(1, EXPLORE_ONE_IN);
    if explores { learned - 1 } else { learned }
}

/// Returns the cheapest step that is good enough, as far as ratings tell.
fn learned_step(qualities: &[Option<f64>], cascade: &Cascade) -> usize {
    let last = cascade.steps.len() - 1;
    for (step, quality) in qualities.iter().enumerate() {
        match quality {
            Some(quality) if *quality >= cascade.quality => return step,
            Some(_) => {}
            // What was never rated is trusted only where the bundle says so.
            None if step >= cascade.default_step => return step,
            None => {}
        }
    }
    last
}

/// Returns a cautious estimate of the part of a model's answers that are good.
///
/// As for the guard, what was rated before operators lifted a version's suspension says nothing of
/// the version after it.
fn quality_of(snapshot: &Snapshot, organisation: &str, model: &str) -> Option<f64> {
    let mut counts = AnswerCounts::default();
    for (subject, found) in snapshot.sums.iter() {
        let is_asked_for = subject.organisation == organisation && subject.version.model == model;
        if is_asked_for && subject.lift == snapshot.control.newest_lift(&subject.version) {
            counts.add(found);
        }
    }
    let rated = counts.good + counts.bad;
    if rated < FEWEST_RATINGS {
        return None;
    }
    let mean = counts.good as f64 / rated as f64;
    let error = (mean * (1.0 - mean) / rated as f64).sqrt();
    Some(mean - CAUTION * error)
}
