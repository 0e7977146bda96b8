//! How often the answers of a model between the smallest and the largest are good enough, as this
//! box observed it.
//!
//! See `docs/design/model-choice.md`.

use super::choose::stable_hash;
use std::cell::RefCell;
use std::collections::HashMap;

/// The most models that are counted; a fleet has fewer.
const MAX_MODELS: usize = 32;
/// The weight of the assumption that a model is as often good enough as the smaller one believed of
/// its own answer.
const PRIOR_WEIGHT: f64 = 2.0;
/// The weight from which older answers count less, so that a replaced model is seen as it is.
const MAX_WEIGHT: f64 = 32.0;

/// The observed answers of models.
#[derive(Debug, Default)]
pub struct ModelTrials {
    by_model: RefCell<HashMap<u64, Trials>>,
}

/// The answers of one model.
#[derive(Debug, Clone, Copy, Default)]
struct Trials {
    /// The answers that were not good enough.
    insufficient: f64,
    /// The number of them that the smaller model's doubt led to expect.
    doubted: f64,
}

impl Trials {
    /// Returns by how much fewer answers than expected were not good enough.
    fn doubt_factor(self) -> f64 {
        (self.insufficient + PRIOR_WEIGHT) / (self.doubted + PRIOR_WEIGHT)
    }
}

impl ModelTrials {
    /// Counts an answer of a model that was asked since a smaller one had this confidence.
    pub fn record(&self, model: &str, smaller_confidence: u32, is_good_enough: bool) {
        let mut by_model = self.by_model.borrow_mut();
        let model = stable_hash(model);
        if by_model.len() >= MAX_MODELS && !by_model.contains_key(&model) {
            return;
        }
        let trials = by_model.entry(model).or_default();
        trials.doubted += doubt(smaller_confidence);
        trials.insufficient += f64::from(u8::from(!is_good_enough));
        if trials.doubted > MAX_WEIGHT {
            trials.doubted /= 2.0;
            trials.insufficient /= 2.0;
        }
    }

    /// Returns the chance that a model's answer is good enough where a smaller one has this
    /// confidence.
    pub fn acceptance(&self, model: &str, smaller_confidence: u32) -> f64 {
        let by_model = self.by_model.borrow();
        let trials = by_model.get(&stable_hash(model)).copied();
        let factor = trials.unwrap_or_default().doubt_factor();
        (1.0 - doubt(smaller_confidence) * factor).clamp(0.0, 1.0)
    }
}

fn doubt(confidence: u32) -> f64 {
    1.0 - f64::from(confidence.min(100)) / 100.0
}
