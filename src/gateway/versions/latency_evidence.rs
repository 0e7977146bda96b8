//! Whether a new version answers as the old one does beside it.
//!
//! Each answer of the new version is ranked among those of the old one that were sent in the
//! same stretch of time, on the same route. Ranks need no figure of what is usual: a crowd, a
//! busy machine or a slow hall moves both versions alike. The ranks are added up as the
//! logarithm of how much likelier they are under "a part of its answers is among the slowest"
//! than under "as the old ones". See `docs/design/exposure.md` and, for the figures,
//! `docs/measurements/versions.md`.

use super::histogram::buckets_in;
use super::statistics::{
    LatencyMetric, ResponseGroup, ResponseKind, ResponseStatistics, RolloutStatistics, VersionPair,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// What a bad version is taken to do.
#[derive(Debug, Clone, Copy)]
struct DegradationModel {
    /// The part of its answers that it slows.
    slowed_fraction: f64,
    /// How sharply slowed answers gather at the slowest ranks: as the slowest of so many.
    tail_sharpness: f64,
}

/// The bad versions that are told from sound ones: the first is the more likely one, the second
/// slows so few answers that only the very slowest ranks show it, and takes more answers.
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
/// A bad version of which most answers are among the slower half. Engines batch, so one that slows
/// a few answers slows those beside them a little, and few of its paces are among the fastest. It is
/// asked of paces and of plain answers; the heads of sound new engines come late while they have
/// kept no prompts.
const MAJORITY_SLOWED: DegradationModel = DegradationModel {
    slowed_fraction: 1.0,
    tail_sharpness: 2.0,
};
/// The logarithm of the odds of that at which it is not likely, and at which that is beyond doubt.
const SUFFICIENT_MAX_MAJORITY_LLR: f64 = 0.0;
const CONCLUSIVE_MAX_MAJORITY_LLR: f64 = -8.0;
/// How many times slower than an old answer a new one may be: a step of a third covers engines
/// that have kept no prompts yet, and a sum over answers tells nothing smaller.
const SLOWDOWN_MARGIN: f64 = 1.3;
/// The same where the old version serves too few to compare with, so that its answers of the
/// time when it bore the load stand for it: the load has changed since, and what is left to find
/// is a version that turns bad late.
const LATE_SLOWDOWN_MARGIN: f64 = 2.0;
/// How many old answers for each new one make a stretch a fair comparison.
const MIN_OLD_PER_NEW_RESPONSE: f64 = 0.5;

/// The logarithm of the odds from which a version is bad: out of the reach of a sound one in the
/// second in which half of the sessions move to it.
const SLOW_MIN_LLR: f64 = 10.0;
/// The logarithm of the odds at which a version is none of the bad ones, all measures together:
/// some twenty answers that rank as the old ones do, for each of them.
const SUFFICIENT_MAX_LLRS: [f64; DEGRADATION_MODELS.len()] = [-4.0, -2.0];
/// The same where more answers would change nothing: by the odds of the weaker kind a bad version
/// passes [`GOOD_FROM`] by chance once in seven times, this once in a hundred and fifty.
const CONCLUSIVE_MAX_LLRS: [f64; DEGRADATION_MODELS.len()] = [-10.0, -5.0];
/// The same for a stage that is judged anew, where a service gets ten requests a second and its
/// new version twelve in all.
const FAVOURABLE_MAX_LLR: f64 = -3.0;
/// The odds of the more likely bad version with which a version may be tried under load: fewer
/// than [`SPEAKS_FROM`] asks, since the operators' bounds bear that stage without a proof, and
/// answers of which only the heads are timed may never give one.
const TENTATIVE_MAX_LLR: f64 = -1.0;
/// The same once so many answers were counted, of which a version that slows four in ten
/// eightfold gives odds of e^8.
const TENTATIVE_RESPONSES: u32 = 16;
const TENTATIVE_MAX_LLR_WITH_RESPONSES: f64 = 1.0;
/// The rank from which an answer may be a slowed one; few that are slowed twofold rank lower.
const POSSIBLY_BAD_MIN_RANK: f64 = 0.5;
/// The same that a single measure has to say for it, if it has so many answers: where the new
/// engines bear a little less than the old ones, a version that is twice as slow looks fast by
/// one measure alone.
const METRIC_SUPPORT_MAX_LLR: f64 = -1.0;
const METRIC_MIN_RESPONSES: u32 = 8;
/// What a single measure may say against a version that is taken for good.
const METRIC_OBJECTION_MIN_LLR: f64 = 2.0;

/// Log odds of each kind of bad version.
type RatiosByModel = [f64; DEGRADATION_MODELS.len()];

/// What answers of one measure say.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
struct MetricRatios {
    #[serde(rename = "odds")]
    by_model: RatiosByModel,
    /// Those of [`SLOWS_MOST`].
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

    /// Returns the sum in hundredths, which take little room where it is written down.
    fn rounded(self) -> Self {
        let round = |ratio: f64| (ratio * 100.0).round() / 100.0;
        Self {
            by_model: self.by_model.map(round),
            majority_slowed: round(self.majority_slowed),
            ..self
        }
    }

    /// Tells whether the measure speaks for the version, or has too few answers to speak.
    fn supports_version(&self) -> bool {
        self.responses < METRIC_MIN_RESPONSES || self.by_model[0] <= METRIC_SUPPORT_MAX_LLR
    }

    /// Tells whether most answers are not slowed, or too few say so.
    fn rules_out_majority_slowed(&self, max_ratio: f64) -> bool {
        self.responses < METRIC_MIN_RESPONSES || self.majority_slowed <= max_ratio
    }
}

/// Sums of log odds, by what was timed.
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

    /// Adds the odds of one more stretch to a running sum, which is never below zero, so that a
    /// good past does not hide a change.
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

    /// Returns what speaks most against the version.
    fn max(&self) -> f64 {
        let ratios = self.by_metric().into_iter().flat_map(|sum| sum.by_model);
        ratios.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns what the odds of so many answers say of the version.
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

/// How far what was counted allows to go on with a version, the weakest first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvidenceLevel {
    /// Too little is known, or something speaks against it.
    #[default]
    Insufficient,
    /// Nothing speaks against it, so that it may be tried under load.
    Tentative,
    /// It is not likely to be bad.
    Favourable,
    /// It is none of the bad versions.
    Sufficient,
    /// The same, and no more answers are needed to say so.
    Conclusive,
}

/// What the counts say of a version.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LatencyEvidence {
    /// The strongest that any run of stretches up to the newest says against the version.
    pub max_cusum: f64,
    /// What all stretches say.
    pub all_windows: LogRatios,
    /// What the stretches from a certain one on say.
    pub current_stage: LogRatios,
    /// The new version's answers that have begun to come or failed.
    pub responses: u32,
    /// Those of which nothing has come yet.
    pub in_flight: u32,
    /// Those that may be bad, by the measure by which most may be: all that failed, those in
    /// the slower half of the old version's, and those that nothing can be compared with.
    pub possibly_bad: u32,
}

impl LatencyEvidence {
    /// Tells whether the version is slow beyond doubt.
    pub fn is_slow(&self) -> bool {
        self.max_cusum >= SLOW_MIN_LLR
    }

    /// Returns how far all answers allow to go on.
    pub fn level(&self) -> EvidenceLevel {
        self.all_windows.level(self.responses)
    }

    /// Returns how far the answers of the present stage allow to go on.
    pub fn stage_level(&self) -> EvidenceLevel {
        self.current_stage.level(0)
    }
}

/// What the stretches before a certain one say, in a form that outlasts the boxes that counted
/// their answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// The first stretch that is not part of it.
    #[serde(rename = "until")]
    pub end_window: u16,
    /// The new version's answers.
    #[serde(rename = "answers")]
    pub responses: u32,
    /// Those that may be bad.
    #[serde(rename = "suspects")]
    pub possibly_bad: u32,
    /// What all say.
    #[serde(rename = "all")]
    pub all_windows: LogRatios,
    /// What those of the present stage say.
    #[serde(rename = "since")]
    pub current_stage: LogRatios,
    /// What the run of stretches up to the last says against the version.
    #[serde(rename = "running")]
    pub cusum: LogRatios,
}

impl LatencySummary {
    /// Returns the summary for a stage that begins after its last stretch.
    pub fn at_next_stage(self) -> Self {
        Self {
            current_stage: LogRatios::default(),
            ..self
        }
    }
}

/// What the answers of one stretch say.
#[derive(Debug, Default)]
struct WindowEvidence {
    ratios: LogRatios,
    responses: u32,
    in_flight: u32,
    possibly_bad: BTreeMap<LatencyMetric, u32>,
}

/// Judges a version by the counts of all boxes, and by a summary of what they do not hold.
///
/// `since` is the stretch from which on [`Judgement::since`] goes.
pub fn evaluate_latency(
    statistics: &RolloutStatistics,
    stored: LatencySummary,
    stage_window: u16,
) -> LatencyEvidence {
    summarise(statistics, stored, stage_window).1
}

/// Sums up all that was counted, which is of stretches before `until`, and an earlier summary.
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

/// Collects the old version's answers of the stretches in which it bore most of the load.
fn old_responses_under_load(
    statistics: &RolloutStatistics,
) -> HashMap<ResponseKind<'_>, ResponseStatistics> {
    let mut found: HashMap<ResponseKind<'_>, ResponseStatistics> = HashMap::new();
    for (group, pair) in &statistics.groups {
        if pair.old.timed() >= pair.new.timed() {
            found.entry(group.kind()).or_default().merge(&pair.old);
        }
    }
    found
}

/// Returns how many of the new version's answers may be bad, those under way as far as they
/// have taken long enough.
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

/// What the new version's answers of a group are compared with.
struct Comparison {
    ranks: OldVersionRanks,
    /// The steps by which they may be slower.
    margin_buckets: i16,
    /// Many answers that are compared with few others tell less than their number.
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

    /// Returns the odds of one kind of bad version against a sound one that is slower by a margin
    /// at the most.
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

/// The part of the old version's answers that take less than a time, by its step.
///
/// Answers under way count among those that take longer for as long as they have been seen to
/// (the product-limit estimate): in a stretch that has just begun only the fastest have come.
struct OldVersionRanks {
    total_compared: f64,
    /// Each step at which answers came, and the part that takes longer.
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

    /// Returns where a step stands among them, from 0 to 1 and neither of both: those of the
    /// same step are taken to be half shorter.
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
    /// Returns the logarithm of how much likelier a rank from 0 to 1 is than for a sound version.
    fn log_ratio(self, rank: f64) -> f64 {
        let slowed_density = self.tail_sharpness * rank.powf(self.tail_sharpness - 1.0);
        (1.0 - self.slowed_fraction + self.slowed_fraction * slowed_density).ln()
    }

    /// Returns the same for an answer under way, whose rank is known to be at least so high: one
    /// that has just begun says nothing.
    fn log_ratio_at_least(self, least: f64) -> f64 {
        let sound = (1.0 - self.slowed_fraction) * least;
        let slowed = self.slowed_fraction * least.powf(self.tail_sharpness);
        ((1.0 - sound - slowed) / (1.0 - least)).ln()
    }
}
