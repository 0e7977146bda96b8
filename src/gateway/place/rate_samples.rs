//! Prefill rates that all boxes measured together.
//!
//! With many boxes, each one sees few first events of the larger models, and would rely for long on
//! the rate assumed before any measurement. Where load is controlled, boxes therefore exchange
//! their newest measurements, and use the median of all. See `docs/design/model-choice.md`.

use super::choose::stable_hash;
use crate::clock::Now;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The number of newest measurements that a box keeps of each model.
const MAX_SAMPLES: usize = 8;
/// The fewest measurements of all boxes whose median is used.
const MIN_SAMPLES: usize = 4;
/// The most boxes whose measurements are kept.
const MAX_REPORTING_BOXES: usize = 64;
/// The most models and lengths of which measurements are kept; a fleet has fewer.
const MAX_MODELS: usize = 64;
/// The number of tokens from which a prompt counts as long. How the time of a token grows with the
/// length differs between engines, so both lengths are measured.
const LONG_TOKENS: f64 = 8000.0;
/// Between these numbers of tokens, the rate changes gradually from that of short prompts to that of
/// long ones.
const GRADUAL_TOKENS: (f64, f64) = (4000.0, 12_000.0);
/// How long measurements count. A box receives several reports a second, so it has those of many
/// others within this time.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(30);
/// Lower and upper bound of a rate in tokens per millisecond; measurements beyond it are ignored.
const RATE_BOUNDS_TOKENS_PER_MS: (f32, f32) = (1.0, 2000.0);

/// The newest measurements of a box and of others, by model.
#[derive(Debug, Default)]
pub struct RateSamples {
    own: RefCell<HashMap<u64, VecDeque<Sample>>>,
    by_box: RefCell<HashMap<u64, BoxSamples>>,
    medians: RefCell<HashMap<u64, f64>>,
}

/// A measured rate.
#[derive(Debug, Clone, Copy)]
struct Sample {
    tokens_per_ms: f32,
    at: Duration,
}

/// The measurements that another box reported last.
#[derive(Debug)]
struct BoxSamples {
    rates: Vec<ModelRates>,
    at: Duration,
}

/// The newest measurements of one box, as it sends them to others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RateReport {
    /// Hash of the name of the reporting box's incarnation.
    reporter: u64,
    rates: Vec<ModelRates>,
}

/// The newest measurements of one model, in tokens per millisecond.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ModelRates {
    /// Hash of the model's name, and whether the prompts were long.
    model: u64,
    tokens_per_ms: Vec<f32>,
}

impl RateSamples {
    /// Records that an engine computed this many tokens of a prompt, and nothing else, in a time.
    pub fn record(&self, model: &str, tokens: f64, took: Duration, now: Now) {
        let rate = (tokens / (took.as_secs_f64() * 1000.0).max(1.0)) as f32;
        if !is_possible(rate) {
            return;
        }
        let mut own = self.own.borrow_mut();
        let model = model_key(model, tokens >= LONG_TOKENS);
        if own.len() >= MAX_MODELS && !own.contains_key(&model) {
            return;
        }
        let samples = own.entry(model).or_default();
        samples.truncate(MAX_SAMPLES - 1);
        samples.push_front(Sample {
            tokens_per_ms: rate,
            at: now.monotonic,
        });
    }

    /// Returns what this box measured recently, to be sent to other boxes; `None` if there is
    /// nothing.
    pub fn report(&self, reporter: &str, now: Now) -> Option<RateReport> {
        let mut own = self.own.borrow_mut();
        for samples in own.values_mut() {
            samples.retain(|sample| now.monotonic.saturating_sub(sample.at) < SAMPLE_LIFETIME);
        }
        own.retain(|_, samples| !samples.is_empty());
        let rates: Vec<ModelRates> = own
            .iter()
            .map(|(model, samples)| ModelRates {
                model: *model,
                tokens_per_ms: samples.iter().map(|sample| sample.tokens_per_ms).collect(),
            })
            .collect();
        (!rates.is_empty()).then(|| RateReport {
            reporter: stable_hash(reporter),
            rates,
        })
    }

    /// Replaces what another box reported before. Figures that no engine can reach are ignored.
    pub fn apply_report(&self, mut report: RateReport, now: Now) {
        report.rates.truncate(MAX_MODELS);
        for rates in &mut report.rates {
            rates.tokens_per_ms.truncate(MAX_SAMPLES);
            rates.tokens_per_ms.retain(|rate| is_possible(*rate));
        }
        let mut by_box = self.by_box.borrow_mut();
        if by_box.len() < MAX_REPORTING_BOXES || by_box.contains_key(&report.reporter) {
            let samples = BoxSamples {
                rates: report.rates,
                at: now.monotonic,
            };
            by_box.insert(report.reporter, samples);
        }
    }

    /// Recomputes the medians and drops old measurements. This is done once for many decisions,
    /// which use the result.
    pub fn update_medians(&self, now: Now) {
        let is_recent = |at: Duration| now.monotonic.saturating_sub(at) < SAMPLE_LIFETIME;
        let mut by_model: HashMap<u64, Vec<f32>> = HashMap::new();
        for (model, samples) in self.own.borrow().iter() {
            let recent = samples.iter().filter(|sample| is_recent(sample.at));
            let rates = by_model.entry(*model).or_default();
            rates.extend(recent.map(|sample| sample.tokens_per_ms));
        }
        let mut by_box = self.by_box.borrow_mut();
        by_box.retain(|_, samples| is_recent(samples.at));
        for rates in by_box.values().flat_map(|samples| &samples.rates) {
            if by_model.len() < MAX_MODELS || by_model.contains_key(&rates.model) {
                let all = by_model.entry(rates.model).or_default();
                all.extend(&rates.tokens_per_ms);
            }
        }
        let medians = by_model
            .into_iter()
            .filter_map(|(model, rates)| Some((model, median(rates)?)));
        *self.medians.borrow_mut() = medians.collect();
    }

    /// Returns the time in which an engine computes this many tokens; `None` as long as too few
    /// measurements are known.
    pub fn prefill_time(&self, model: &str, tokens: f64) -> Option<Duration> {
        let medians = self.medians.borrow();
        let median = |is_long| medians.get(&model_key(model, is_long)).copied();
        let (from, to) = GRADUAL_TOKENS;
        let long_part = ((tokens - from) / (to - from)).clamp(0.0, 1.0);
        let rate = match (median(false), median(true)) {
            (Some(short), Some(long)) => short + (long - short) * long_part,
            (short, long) => short.or(long)?,
        };
        Some(Duration::from_secs_f64(tokens.max(0.0) / rate / 1000.0))
    }

    /// Returns the number of other boxes whose measurements are kept.
    pub fn reporting_boxes(&self) -> usize {
        self.by_box.borrow().len()
    }
}

/// Identifies a model and a class of lengths in reports.
fn model_key(model: &str, is_long: bool) -> u64 {
    stable_hash(model) ^ u64::from(is_long)
}

fn is_possible(tokens_per_ms: f32) -> bool {
    let (min, max) = RATE_BOUNDS_TOKENS_PER_MS;
    (min..=max).contains(&tokens_per_ms)
}

fn median(mut rates: Vec<f32>) -> Option<f64> {
    rates.sort_unstable_by(f32::total_cmp);
    let middle = rates.get(rates.len() / 2).copied();
    middle.filter(|_| rates.len() >= MIN_SAMPLES).map(f64::from)
}
