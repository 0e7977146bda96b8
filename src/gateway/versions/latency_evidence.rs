//! Compares the response times of a new version with those of the old version beside it.
//!
//! Each response of the new version is ranked among the old version's responses that were sent in
//! the same time window on the same route. Ranks need no reference value: peak load, a busy machine
//! or a slow hall affects both versions alike. The ranks are added up as log-likelihood ratios
//! (LLR) of "a fraction of its responses is among the slowest" to "its responses are distributed as
//! the old ones", so a positive sum is evidence against the version. See `docs/design/exposure.md`
//! and, for the figures, `docs/measurements/versions.md`.

use super::histogram::buckets_in;
use super::statistics::{
    LatencyMetric, ResponseGroup, ResponseKind, ResponseStatistics, RolloutStatistics, VersionPair,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// A model of a degraded version.
#[derive(Debug, Clone, Copy)]
struct DegradationModel {
    /// The fraction of the responses that it slows.
    slowed_fraction: f64,
    /// How strongly slowed responses concentrate at the highest ranks: each is distributed as the
    /// slowest of this many responses.
    tail_sharpness: f64,
}

/// The degraded versions to distinguish from good ones. The first is the more likely one. The
/// second slows so few responses that only the very highest ranks show it, and takes more responses
/// to detect.
const DEGRADATION_MODELS: [DegradationModel; 2] = [
    DegradationModel {
        slowed_fraction: 0.2,
        tail_sharpness: 20.0,
    },
    DegradationModel {
        slowed_fraction: 0.08,
        tail_sharpness: 40.0,
    },
];
/// A degraded version of which most responses are in the slower half. Engines batch, so one that
/// slows a few responses slightly slows those beside them, and few of its event intervals are among
/// the fastest. This model applies to event intervals and plain responses only: heads from good new
/// engines are late as long as their prompt caches are empty.
const MAJORITY_SLOWED: DegradationModel = DegradationModel {
    slowed_fraction: 1.0,
    tail_sharpness: 2.0,
};
/// The maximum LLR of [`MAJORITY_SLOWED`] for [`EvidenceLevel::Sufficient`].
const SUFFICIENT_MAX_MAJORITY_LLR: f64 = 0.0;
/// The same for [`EvidenceLevel::Conclusive`].
const CONCLUSIVE_MAX_MAJORITY_LLR: f64 = -8.0;
/// The factor by which a new response may be slower than an old one. A third covers engines with
/// empty prompt caches, and a sum over responses detects nothing smaller.
const SLOWDOWN_MARGIN: f64 = 1.3;
/// The same where the old version serves too few requests for a comparison and is represented by
/// its responses from the time when it had the load. The load has changed since, and all that is
/// left to detect is a version that degrades late.
const LATE_SLOWDOWN_MARGIN: f64 = 2.0;
/// The number of old responses for each new one that makes the comparison within a window fair.
const MIN_OLD_PER_NEW_RESPONSE: f64 = 0.5;

/// The LLR from which a version is slow. A good version does not reach it in the second in which
/// half of the sessions move to it.
const SLOW_MIN_LLR: f64 = 10.0;
/// The maximum LLR of each model, all metrics together, for [`EvidenceLevel::Sufficient`]: some
/// twenty responses that rank like the old ones reach it.
const SUFFICIENT_MAX_LLRS: [f64; DEGRADATION_MODELS.len()] = [-4.0, -2.0];
/// The same for [`EvidenceLevel::Conclusive`]. By the LLR of the weaker model, a bad version passes
/// [`SUFFICIENT_MAX_LLRS`] by chance once in 7 times, this one once in 150.
const CONCLUSIVE_MAX_LLRS: [f64; DEGRADATION_MODELS.len()] = [-10.0, -5.0];
/// The same for [`EvidenceLevel::Favourable`], by the more likely model. A stage that is evaluated
/// by itself can reach it where a service gets ten requests a second and its new version twelve in
/// all.
const FAVOURABLE_MAX_LLR: f64 = -3.0;
/// The same for [`EvidenceLevel::Tentative`]. It asks for less than [`FAVOURABLE_MAX_LLR`], since
/// the operators' limits permit a stage under load without a proof, and responses of which only the
/// heads are timed may never give one.
const TENTATIVE_MAX_LLR: f64 = -1.0;
/// The same once this many responses were counted: a version that slows four responses in ten
/// eightfold has an LLR of 8 by then.
const TENTATIVE_RESPONSES: u32 = 16;
/// See [`TENTATIVE_RESPONSES`].
const TENTATIVE_MAX_LLR_WITH_RESPONSES: f64 = 1.0;
/// The rank from which a response counts as possibly bad; few responses that are slowed twofold
/// rank lower.
const POSSIBLY_BAD_MIN_RANK: f64 = 0.5;
/// The maximum LLR of the more likely model by each single metric, if it has enough responses.
/// Where new engines bear slightly less load than the old ones, a version that is twice as slow
/// looks fast by one metric alone.
const METRIC_SUPPORT_MAX_LLR: f64 = -1.0;
/// A single metric with fewer responses is not required to support the version.
const METRIC_MIN_RESPONSES: u32 = 8;
/// The LLR by any single metric and model from which the evidence is
/// [`EvidenceLevel::Insufficient`].
const METRIC_OBJECTION_MIN_LLR: f64 = 2.0;

/// LLR by degradation model.
type RatiosByModel = [f64; DEGRADATION_MODELS.len()];

/// The evidence from the responses of one metric.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
struct MetricRatios {
    #[serde(rename = "odds")]
    by_model: RatiosByModel,
    /// The LLR of [`MAJORITY_SLOWED`].
    #[serde(rename = "most")]
    majority_slowed: f64,
    #[serde(rename = "answers")]
    responses: u32,
}

impl MetricRatios {
    fn add(&mut self, other: Self) {
        for (sum, ratio) in self.by_model.iter_mut().zip(other.by_model) {
            *sum += ratio;
        }
        self.majority_slowed += other.majority_slowed;
        self.responses += other.responses;
    }

    /// Returns the ratios in hundredths, which take little space in the store.
    fn rounded(self) -> Self {
        let round = |ratio: f64| (ratio * 100.0).round() / 100.0;
        Self {
            by_model: self.by_model.map(round),
            majority_slowed: round(self.majority_slowed),
            ..self
        }
    }

    /// Returns whether the metric supports the version, or has too few responses.
    fn supports_version(&self) -> bool {
        self.responses < METRIC_MIN_RESPONSES || self.by_model[0] <= METRIC_SUPPORT_MAX_LLR
    }

    /// Returns whether the metric contradicts [`MAJORITY_SLOWED`], or has too few responses.
    fn rules_out_majority_slowed(&self, max_ratio: f64) -> bool {
        self.responses < METRIC_MIN_RESPONSES || self.majority_slowed <= max_ratio
    }
}

/// Sums of log-likelihood ratios by metric.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LogRatios {
    #[serde(rename = "head")]
    head_delay: MetricRatios,
    #[serde(rename = "pace")]
    event_interval: MetricRatios,
    #[serde(rename = "whole")]
    response_time: MetricRatios,
}

impl fmt::Display for LogRatios {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [head_delay, event_interval, response_time] = self.by_metric().map(|sum| sum.by_model);
        let [_, interval_majority, time_majority] = self.by_metric().map(|sum| sum.majority_slowed);
        write!(
            f,
            "head {head_delay:.1?}, pace {event_interval:.1?} {interval_majority:.1}, whole {response_time:.1?} {time_majority:.1}"
        )
    }
}

impl LogRatios {
    fn by_metric(&self) -> [MetricRatios; 3] {
        [self.head_delay, self.event_interval, self.response_time]
    }

    fn add(&mut self, other: Self) {
        self.head_delay.add(other.head_delay);
        self.event_interval.add(other.event_interval);
        self.response_time.add(other.response_time);
    }

    fn rounded(self) -> Self {
        Self {
            head_delay: self.head_delay.rounded(),
            event_interval: self.event_interval.rounded(),
            response_time: self.response_time.rounded(),
        }
    }

    /// Adds the ratios of one more window to a cumulative sum (CUSUM) that never falls below zero,
    /// so that good earlier responses do not hide a change.
    fn add_to_cusum(&mut self, window: Self) {
        self.add(window);
        for sum in [
            &mut self.head_delay,
            &mut self.event_interval,
            &mut self.response_time,
        ] {
            sum.by_model = sum.by_model.map(|ratio| ratio.max(0.0));
        }
    }

    fn metric_mut(&mut self, metric: LatencyMetric) -> &mut MetricRatios {
        match metric {
            LatencyMetric::HeadDelay => &mut self.head_delay,
            LatencyMetric::EventInterval => &mut self.event_interval,
            LatencyMetric::ResponseTime => &mut self.response_time,
        }
    }

    /// Returns the strongest evidence against the version.
    fn max(&self) -> f64 {
        let ratios = self.by_metric().into_iter().flat_map(|sum| sum.by_model);
        ratios.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns the level of evidence that these ratios of a number of responses give.
    fn level(&self, responses: u32) -> EvidenceLevel {
        let rules_out_all = |max_ratios: RatiosByModel, max_majority_ratio: f64| {
            let models = max_ratios.iter().enumerate();
            let mut excluded = models.map(|(model, max_ratio)| self.total(model) <= *max_ratio);
            excluded.all(|is_excluded| is_excluded)
                && self.by_metric().iter().all(MetricRatios::supports_version)
                && self
                    .event_interval
                    .rules_out_majority_slowed(max_majority_ratio)
                && self
                    .response_time
                    .rules_out_majority_slowed(max_majority_ratio)
        };
        let main_ratio = self.total(0);
        if self.max() >= METRIC_OBJECTION_MIN_LLR {
            EvidenceLevel::Insufficient
        } else if rules_out_all(CONCLUSIVE_MAX_LLRS, CONCLUSIVE_MAX_MAJORITY_LLR) {
            EvidenceLevel::Conclusive
        } else if rules_out_all(SUFFICIENT_MAX_LLRS, SUFFICIENT_MAX_MAJORITY_LLR) {
            EvidenceLevel::Sufficient
        } else if main_ratio <= FAVOURABLE_MAX_LLR {
            EvidenceLevel::Favourable
        } else if main_ratio <= TENTATIVE_MAX_LLR
            || responses >= TENTATIVE_RESPONSES && main_ratio <= TENTATIVE_MAX_LLR_WITH_RESPONSES
        {
            EvidenceLevel::Tentative
        } else {
            EvidenceLevel::Insufficient
        }
    }

    fn total(&self, model: usize) -> f64 {
        self.by_metric().iter().map(|sum| sum.by_model[model]).sum()
    }
}

/// How strong the evidence for a version is, weakest first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvidenceLevel {
    /// Too little is known, or something indicates that the version is bad.
    #[default]
    Insufficient,
    /// Nothing indicates that the version is bad; it may be tried under load.
    Tentative,
    /// The version is unlikely to be bad.
    Favourable,
    /// The evidence rules out all models of bad versions.
    Sufficient,
    /// The same, and more responses would not add to it.
    Conclusive,
}

/// The evidence from a version's response times.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LatencyEvidence {
    /// The maximum of the cumulative sums over metrics and models up to the newest window: evidence
    /// that the version is or has become slow.
    pub max_cusum: f64,
    /// The evidence of all windows.
    pub all_windows: LogRatios,
    /// The evidence of the windows of the current stage.
    pub current_stage: LogRatios,
    /// The new version's responses that have begun to arrive or failed.
    pub responses: u32,
    /// Its requests to which no response has begun to arrive.
    pub in_flight: u32,
    /// Its possibly bad responses, by the metric that has the most: all failed ones, those in the
    /// slower half of the old version's responses, and those without responses to compare with.
    pub possibly_bad: u32,
}

impl LatencyEvidence {
    /// Returns whether the version is certainly slow.
    pub fn is_slow(&self) -> bool {
        self.max_cusum >= SLOW_MIN_LLR
    }

    /// Returns the level of evidence by all responses.
    pub fn level(&self) -> EvidenceLevel {
        self.all_windows.level(self.responses)
    }

    /// Returns the level of evidence by the responses of the current stage.
    pub fn stage_level(&self) -> EvidenceLevel {
        self.current_stage.level(0)
    }
}

/// The evidence of all windows before a certain one. It is kept in the store and outlasts the boxes
/// that counted the responses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// The first window that is not included.
    #[serde(rename = "until")]
    pub end_window: u16,
    /// The new version's responses.
    #[serde(rename = "answers")]
    pub responses: u32,
    /// Its possibly bad responses.
    #[serde(rename = "suspects")]
    pub possibly_bad: u32,
    /// The evidence of all included windows.
    #[serde(rename = "all")]
    pub all_windows: LogRatios,
    /// The evidence of the current stage.
    #[serde(rename = "since")]
    pub current_stage: LogRatios,
    /// The cumulative sum up to the last included window, see [`LatencyEvidence::max_cusum`].
    #[serde(rename = "running")]
    pub cusum: LogRatios,
}

impl LatencySummary {
    /// Returns the summary for a stage that begins after the last included window.
    pub fn at_next_stage(self) -> Self {
        Self {
            current_stage: LogRatios::default(),
            ..self
        }
    }
}

/// The evidence of one window.
#[derive(Debug, Default)]
struct WindowEvidence {
    ratios: LogRatios,
    responses: u32,
    in_flight: u32,
    possibly_bad: BTreeMap<LatencyMetric, u32>,
}

/// Evaluates a version by the statistics of all boxes and a summary of earlier windows.
///
/// `stage_window` is the first window of [`LatencyEvidence::current_stage`].
pub fn evaluate_latency(
    statistics: &RolloutStatistics,
    stored: LatencySummary,
    stage_window: u16,
) -> LatencyEvidence {
    summarise(statistics, stored, stage_window).1
}

/// Combines statistics, which are of windows before `end_window`, with an earlier summary.
pub fn summarise_until(
    end_window: u16,
    statistics: &RolloutStatistics,
    stored: LatencySummary,
    stage_window: u16,
) -> LatencySummary {
    let (summary, _) = summarise(statistics, stored, stage_window);
    LatencySummary {
        end_window,
        all_windows: summary.all_windows.rounded(),
        current_stage: summary.current_stage.rounded(),
        cusum: summary.cusum.rounded(),
        ..summary
    }
}

fn summarise(
    statistics: &RolloutStatistics,
    stored: LatencySummary,
    stage_window: u16,
) -> (LatencySummary, LatencyEvidence) {
    let mut summary = stored;
    let mut in_flight = 0;
    let mut possibly_bad: BTreeMap<LatencyMetric, u32> = BTreeMap::new();
    for (index, window) in evidence_by_window(statistics) {
        summary.responses += window.responses;
        in_flight += window.in_flight;
        for (metric, count) in window.possibly_bad {
            *possibly_bad.entry(metric).or_default() += count;
        }
        summary.all_windows.add(window.ratios);
        if index >= stage_window {
            summary.current_stage.add(window.ratios);
        }
        summary.cusum.add_to_cusum(window.ratios);
    }
    summary.possibly_bad += possibly_bad.into_values().max().unwrap_or(0);
    let latency = LatencyEvidence {
        max_cusum: summary.cusum.max(),
        all_windows: summary.all_windows,
        current_stage: summary.current_stage,
        responses: summary.responses,
        in_flight,
        possibly_bad: summary.possibly_bad,
    };
    (summary, latency)
}

fn evidence_by_window(statistics: &RolloutStatistics) -> BTreeMap<u16, WindowEvidence> {
    let old_under_load = old_responses_under_load(statistics);
    let mut windows: BTreeMap<u16, WindowEvidence> = BTreeMap::new();
    for (group, pair) in &statistics.groups {
        let window = windows.entry(group.window).or_default();
        if group.metric != LatencyMetric::EventInterval {
            window.responses += pair.new.finished();
            window.in_flight += pair.new.in_flight.total();
        }
        let comparison = Comparison::of(group, pair, &old_under_load);
        let possibly_bad = count_possibly_bad(&pair.new, comparison.as_ref());
        *window.possibly_bad.entry(group.metric).or_default() += possibly_bad;
        if let Some(comparison) = comparison {
            let ratios = comparison.metric_ratios(&pair.new);
            window.ratios.metric_mut(group.metric).add(ratios);
        }
    }
    windows
}

/// Collects the old version's responses from the windows in which it had most of the load.
fn old_responses_under_load(
    statistics: &RolloutStatistics,
) -> HashMap<ResponseKind<'_>, ResponseStatistics> {
    let mut responses: HashMap<ResponseKind<'_>, ResponseStatistics> = HashMap::new();
    for (group, pair) in &statistics.groups {
        if pair.old.timed() >= pair.new.timed() {
            responses.entry(group.kind()).or_default().merge(&pair.old);
        }
    }
    responses
}

/// Counts the new version's possibly bad responses; those in flight count once they have taken long
/// enough.
fn count_possibly_bad(new: &ResponseStatistics, comparison: Option<&Comparison>) -> u32 {
    let slow: u32 = match comparison {
        Some(comparison) => {
            let timed = new.completed.buckets().chain(new.in_flight.buckets());
            let slow =
                timed.filter(|(bucket, _)| comparison.ranks.rank(*bucket) >= POSSIBLY_BAD_MIN_RANK);
            slow.map(|(_, count)| count).sum()
        }
        None => new.timed(),
    };
    slow + new.failed
}

/// The old version's responses that a group of new ones is compared with.
struct Comparison {
    ranks: OldVersionRanks,
    /// The number of histogram buckets by which new responses may be slower.
    margin_buckets: i16,
    /// The weight of each new response: many responses that are compared with few carry less
    /// information than their number suggests.
    weight: f64,
}

impl Comparison {
    fn of(
        group: &ResponseGroup,
        pair: &VersionPair,
        old_under_load: &HashMap<ResponseKind<'_>, ResponseStatistics>,
    ) -> Option<Self> {
        let new = f64::from(pair.new.timed());
        let is_fair = f64::from(pair.old.timed()) >= new * MIN_OLD_PER_NEW_RESPONSE;
        let (old, margin) = match is_fair {
            true => (&pair.old, SLOWDOWN_MARGIN),
            false => (old_under_load.get(&group.kind())?, LATE_SLOWDOWN_MARGIN),
        };
        let total_compared = f64::from(old.timed());
        (new > 0.0 && total_compared > 0.0).then(|| Self {
            ranks: OldVersionRanks::of(old),
            margin_buckets: buckets_in(margin),
            weight: (total_compared / new).min(1.0),
        })
    }

    fn metric_ratios(&self, new: &ResponseStatistics) -> MetricRatios {
        MetricRatios {
            by_model: DEGRADATION_MODELS
                .map(|model| self.log_ratio(new, model, self.margin_buckets)),
            majority_slowed: self.log_ratio(new, MAJORITY_SLOWED, 0),
            responses: new.completed.total(),
        }
    }

    /// Returns the LLR of a model against a good version that is slower by the margin at most.
    fn log_ratio(
        &self,
        new: &ResponseStatistics,
        model: DegradationModel,
        margin_buckets: i16,
    ) -> f64 {
        let completed = new.completed.buckets().map(|(bucket, count)| {
            let rank = self.ranks.rank(bucket - margin_buckets);
            f64::from(count) * model.log_ratio(rank)
        });
        let in_flight = new.in_flight.buckets().map(|(bucket, count)| {
            let least = self.ranks.rank(bucket - margin_buckets);
            f64::from(count) * model.log_ratio_at_least(least)
        });
        self.weight * (completed.sum::<f64>() + in_flight.sum::<f64>())
    }
}

/// The distribution of the old version's response times.
///
/// Responses in flight count as longer ones up to the time that they have taken so far (the
/// product-limit estimate), since in a window that has just begun only the fastest responses have
/// completed.
struct OldVersionRanks {
    total_compared: f64,
    /// Each bucket with completed responses, and the fraction of responses that take longer.
    survival: Vec<(i16, f64)>,
}

impl OldVersionRanks {
    fn of(old: &ResponseStatistics) -> Self {
        let total_compared = f64::from(old.timed());
        let mut at_risk = total_compared;
        let mut fraction = 1.0;
        let mut survival = Vec::new();
        let mut in_flight: Vec<(i16, u32)> = old.in_flight.buckets().collect();
        in_flight.reverse();
        for (bucket, completed) in old.completed.buckets() {
            while let Some((_, count)) = in_flight.pop_if(|(seen, _)| *seen < bucket) {
                at_risk -= f64::from(count);
            }
            let completed = f64::from(completed);
            fraction *= 1.0 - completed / at_risk.max(completed);
            at_risk -= completed;
            survival.push((bucket, fraction));
        }
        Self {
            total_compared,
            survival,
        }
    }

    /// Returns the rank of a bucket, strictly between 0 and 1. Half of the responses in the same
    /// bucket are taken to be shorter.
    fn rank(&self, bucket: i16) -> f64 {
        let at = self.survival.partition_point(|(other, _)| *other < bucket);
        let before = match at {
            0 => 1.0,
            at => self.survival[at - 1].1,
        };
        let survival = match self.survival.get(at) {
            Some((other, after)) if *other == bucket => (before + after) / 2.0,
            _ => before,
        };
        ((1.0 - survival) * self.total_compared + 0.5) / (self.total_compared + 1.0)
    }
}

impl DegradationModel {
    /// Returns the log-likelihood ratio of a rank between 0 and 1 under this model and a good
    /// version.
    fn log_ratio(self, rank: f64) -> f64 {
        let slowed_density = self.tail_sharpness * rank.powf(self.tail_sharpness - 1.0);
        (1.0 - self.slowed_fraction + self.slowed_fraction * slowed_density).ln()
    }

    /// Returns the same for a response in flight, which has at least this rank. A response that has
    /// just begun carries no evidence.
    fn log_ratio_at_least(self, least: f64) -> f64 {
        let sound = (1.0 - self.slowed_fraction) * least;
        let slowed = self.slowed_fraction * least.powf(self.tail_sharpness);
        ((1.0 - sound - slowed) / (1.0 - least)).ln()
    }
}
