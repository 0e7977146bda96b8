//! Evaluates whether a version under rollout is good, bad or not known yet.
//!
//! Every box collects statistics on both versions and reports them to some other boxes, which
//! evaluate the statistics of all boxes. A box that rejects a version notifies all others. See
//! `docs/design/exposure.md`.

use super::exposure::{ExposureBound, RolloutTime};
use super::latency_evidence::{EvidenceLevel, LatencyEvidence, evaluate_latency, summarise_until};
use super::local_statistics::{LocalStatistics, window_at};
use super::statistics::{RequestCounts, RolloutStatistics, StatisticsReport};
use super::stored_evidence::StoredEvidence;
use crate::clock::Now;
use crate::evidence::AnswerCounts;
use crate::name::VersionName;
use crate::saturation::Saturation;
use crate::version_guard::{GuardPolicy, VersionGuard};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// Stands for all routes together where routes are tested one by one.
const ALL_ROUTES: &str = "(all routes)";

/// The failure rates that the guard tolerates from a new version: a few per cent, as crashed and
/// failing upstreams cause them, while bad versions fail a third of their requests or more. A false
/// alarm, once in some ten thousand responses, reverts a good version.
const FAILURE_GUARD: GuardPolicy = GuardPolicy {
    tolerated_bad: 0.05,
    tolerated_failed: 0.05,
    ratio_bad: 4.0,
    ratio_failed: 3.5,
    answers_to_false_alarm: 3e4,
};

/// The weight, in responses, of the tolerated failure rate in the estimate of the old version's
/// failure rate, so that a few responses alone do not determine it.
const PRIOR_RESPONSES: f64 = 20.0;

/// The smallest increase of the failure rate that makes a version bad. The failure guard tolerates
/// so few failures.
const BAD_EXTRA_FAILURE_RATE: f64 = 0.08;
/// The lower limit for the old version's failure rate, so that one or two failures of the new
/// version carry little weight.
const MIN_OLD_FAILURE_RATE: f64 = 0.01;
/// The LLR of such an increase at which the evidence from failures is
/// [`EvidenceLevel::Conclusive`]: some 24 responses without a failure.
const CONCLUSIVE_MAX_FAILURE_LLR: f64 = -2.0;
/// The same for [`EvidenceLevel::Favourable`].
const FAVOURABLE_MAX_FAILURE_LLR: f64 = 1.0;

/// Why a version no longer serves requests.
#[derive(Debug, Clone, PartialEq)]
pub enum RejectionReason {
    /// It fails more often than the previous versions.
    FailureRate {
        /// The route on which it fails.
        route: String,
        /// Its responses on that route, and those that failed.
        counts: AnswerCounts,
    },
    /// It is slower than the previous version.
    Slow,
    /// It has used up the exposure that operators allow a bad version, without a proof that it is
    /// good.
    ExposureExhausted,
    /// It has given so many responses for so long without a proof that, if bad, it would have to
    /// have been stopped by now.
    UnprovenTooLong,
    /// Another box rejected it.
    ReportedByPeer,
}

impl fmt::Display for RejectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FailureRate { route, counts } => write!(
                f,
                "{} of {} responses failed on {route}",
                counts.failed, counts.served
            ),
            Self::Slow => f.write_str("its responses rank among the slowest"),
            Self::ExposureExhausted => {
                f.write_str("its exposure limit is used up without a proof that it is good")
            }
            Self::UnprovenTooLong => {
                f.write_str("too many responses for too long without a proof that it is good")
            }
            Self::ReportedByPeer => f.write_str("another box rejected it"),
        }
    }
}

/// The state of a rollout for an evaluation.
#[derive(Debug, Clone, Copy)]
pub struct RolloutStatus<'a> {
    /// The order's revision in the store.
    pub order: u64,
    /// The version that is rolled out.
    pub target: &'a VersionName,
    /// The position in the time of the rollout.
    pub time: RolloutTime,
    /// The first window in which the current stage applies on all boxes.
    pub stage_window: u16,
    /// Whether the rollout has left its first stage, so that both versions are compared under load.
    pub is_past_first_stage: bool,
    /// Whether the version serves all sessions, which requires a proof.
    pub is_proved: bool,
    /// The evidence in the rollout record; `None` on boxes that do not use it.
    pub stored_evidence: Option<StoredEvidence>,
}

/// The result of an evaluation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Verdict {
    /// The evidence from response times.
    pub latency: LatencyEvidence,
    /// The level of evidence by all responses.
    pub evidence: EvidenceLevel,
    /// The level of evidence by the responses of the current stage.
    pub stage_evidence: EvidenceLevel,
    /// The requests since the order.
    pub requests: RequestCounts,
    /// The evidence up to now, to be written to the rollout record.
    pub stored_evidence: StoredEvidence,
}

/// The statistics that another box reported.
#[derive(Debug, Default)]
struct PeerStatistics {
    /// The sequence number of its newest report.
    newest_report: u64,
    statistics: RolloutStatistics,
}

/// The statistics of this box and of others on the versions under rollout, and the versions that
/// were rejected.
#[derive(Debug)]
pub struct VersionMonitor {
    reporter: String,
    report_count: u64,
    local: LocalStatistics,
    /// The statistics of other boxes, by order and reporter.
    peers: HashMap<u64, HashMap<String, PeerStatistics>>,
    failure_guard: VersionGuard,
    unproven_since: HashMap<u64, Duration>,
    rejections: HashMap<u64, RejectionReason>,
}

impl VersionMonitor {
    /// Creates a monitor. The reporter's name is different after each start of the box.
    pub fn new(reporter: &str, saturation: Rc<Saturation>) -> Self {
        Self {
            reporter: reporter.to_owned(),
            report_count: 0,
            local: LocalStatistics::new(saturation),
            peers: HashMap::new(),
            failure_guard: VersionGuard::default(),
            unproven_since: HashMap::new(),
            rejections: HashMap::new(),
        }
    }

    /// Returns this box's own statistics, in which requests are recorded.
    pub fn local_statistics(&self) -> &LocalStatistics {
        &self.local
    }

    /// Returns the reports to send to other boxes.
    pub fn reports(&mut self, now: Now) -> Vec<StatisticsReport> {
        self.report_count += 1;
        self.local.reports(&self.reporter, self.report_count, now)
    }

    /// Records the statistics of another box, unless a newer report has arrived.
    pub fn accept_report(&mut self, report: StatisticsReport) {
        let reporters = self.peers.entry(report.order).or_default();
        let known = reporters.entry(report.reporter.clone()).or_default();
        if report.sequence > known.newest_report {
            known.newest_report = report.sequence;
            known.statistics.apply_report(report);
        }
    }

    /// Returns the combined statistics of this box and of those that reported to it.
    pub fn statistics(&self, order: u64, now: Now) -> RolloutStatistics {
        let mut all = self.local.statistics(order, now);
        let peers = self.peers.get(&order).into_iter().flatten();
        for (_, known) in peers {
            all.merge(&known.statistics);
        }
        all
    }

    /// Drops inactive orders. An order is never repeated, so the results of one do not apply to the
    /// next, even if it names the same version.
    pub fn retain_orders(&mut self, is_active: impl Fn(u64) -> bool) {
        self.local.retain_orders(&is_active);
        self.peers.retain(|order, _| is_active(*order));
        self.unproven_since.retain(|order, _| is_active(*order));
        self.rejections.retain(|order, _| is_active(*order));
    }

    /// Returns why the target of an order was rejected. A rejection stays until the box restarts or
    /// the order is dropped.
    pub fn rejection(&self, order: u64) -> Option<&RejectionReason> {
        self.rejections.get(&order)
    }

    /// Returns the orders whose targets this box rejected by its own evaluation, of which it has to
    /// notify other boxes.
    pub fn local_rejections(&self) -> Vec<u64> {
        let is_local = |(_, rejection): &(&u64, &RejectionReason)| {
            **rejection != RejectionReason::ReportedByPeer
        };
        let local = self.rejections.iter().filter(is_local);
        local.map(|(order, _)| *order).collect()
    }

    /// Records that another box rejected the target of an order, and returns whether this is new.
    pub fn accept_peer_rejection(&mut self, order: u64) -> bool {
        let is_first = !self.rejections.contains_key(&order);
        self.rejections
            .entry(order)
            .or_insert(RejectionReason::ReportedByPeer);
        is_first
    }

    /// Evaluates a version by all statistics that this box has.
    pub fn evaluate(
        &mut self,
        status: RolloutStatus<'_>,
        bound: &ExposureBound,
        now: Now,
    ) -> Verdict {
        let statistics = self.statistics(status.order, now);
        let failing = self.failing_route(status, counts_by_route(&statistics));
        let stored = usable_stored_evidence(status, &statistics);
        let recent = statistics.in_windows(stored.latency.end_window..);
        let latency = evaluate_latency(&recent, stored.latency, status.stage_window);
        let failure_level =
            failure_evidence_level(stored.failure_log_ratio + failure_log_ratio(&recent));
        let verdict = Verdict {
            latency,
            evidence: latency.level().min(failure_level),
            stage_evidence: latency.stage_level().min(failure_level),
            requests: statistics.requests,
            stored_evidence: status
                .stored_evidence
                .map_or(stored, |_| evidence_until_now(status, &recent, stored)),
        };
        let is_cleared = match status.is_past_first_stage {
            true => verdict.stage_evidence >= EvidenceLevel::Sufficient,
            false => verdict.evidence >= EvidenceLevel::Favourable,
        };
        let is_clock_running = bound.is_rollback_clock_running(latency.possibly_bad) && !is_cleared;
        let unproven_time = self.unproven_time(status.order, is_clock_running, now);
        let rejection = if let Some((route, counts)) = failing {
            Some(RejectionReason::FailureRate { route, counts })
        } else if latency.is_slow() {
            Some(RejectionReason::Slow)
        } else if status.is_proved || status.is_past_first_stage && is_cleared {
            None
        } else if bound.is_exhausted(statistics.requests, status.time) {
            Some(RejectionReason::ExposureExhausted)
        } else {
            (unproven_time > bound.max_unproven_time()).then_some(RejectionReason::UnprovenTooLong)
        };
        if let Some(rejection) = rejection
            && !self.rejections.contains_key(&status.order)
        {
            log_rejection(status, &rejection, &verdict);
            self.rejections.insert(status.order, rejection);
        }
        verdict
    }

    /// Returns how long the rollback clock has been running without a proof.
    fn unproven_time(&mut self, order: u64, is_clock_running: bool, now: Now) -> Duration {
        if !is_clock_running {
            self.unproven_since.remove(&order);
            return Duration::ZERO;
        }
        let since = self.unproven_since.entry(order).or_insert(now.monotonic);
        now.monotonic.saturating_sub(*since)
    }

    /// Returns a route on which a version fails too often. Routes are tested one by one and
    /// together, since a version may be bad on one route alone or slightly bad on each.
    fn failing_route(
        &mut self,
        status: RolloutStatus<'_>,
        routes: BTreeMap<String, RouteCounts>,
    ) -> Option<(String, AnswerCounts)> {
        for (route, counts) in routes {
            let test_name = VersionName {
                model: format!("{} {route}", status.order),
                version: status.target.version.clone(),
            };
            let policy = counts.guard_policy();
            let alarm = self
                .failure_guard
                .observe_with_policy(policy, &test_name, &counts.new);
            if alarm.is_some() {
                return Some((route, counts.new));
            }
        }
        None
    }
}

fn log_rejection(status: RolloutStatus<'_>, rejection: &RejectionReason, verdict: &Verdict) {
    log::warn!(
        service = status.target.model.as_str(),
        version = status.target.version.as_str(),
        order = status.order,
        answers = verdict.latency.responses,
        suspects = verdict.latency.possibly_bad,
        under_way = verdict.latency.in_flight,
        against = verdict.latency.max_cusum,
        odds = verdict.latency.all_windows.to_string().as_str(),
        odds_at_stage = verdict.latency.current_stage.to_string().as_str(),
        sent_new = verdict.requests.new_version,
        sent_all = verdict.requests.all;
        "version found bad: {rejection}"
    );
}

/// The responses and failures on one route, or on all.
#[derive(Debug, Clone, Copy, Default)]
struct RouteCounts {
    new: AnswerCounts,
    old: AnswerCounts,
}

impl RouteCounts {
    /// Returns the guard's policy, which tolerates at least the old version's failure rate.
    fn guard_policy(&self) -> GuardPolicy {
        GuardPolicy {
            tolerated_failed: self
                .expected_failure_rate()
                .max(FAILURE_GUARD.tolerated_failed),
            ..FAILURE_GUARD
        }
    }

    /// Returns the old version's failure rate, with the prior of [`PRIOR_RESPONSES`].
    fn expected_failure_rate(&self) -> f64 {
        let prior_failed = PRIOR_RESPONSES * FAILURE_GUARD.tolerated_failed;
        (self.old.failed as f64 + prior_failed) / (self.old.served as f64 + PRIOR_RESPONSES)
    }

    /// Returns the log-likelihood ratio of the new version's failures under a bad version and under
    /// one that fails as often as the old one.
    fn failure_log_ratio(&self) -> f64 {
        let expected_failure_rate = self.expected_failure_rate().max(MIN_OLD_FAILURE_RATE);
        let bad = expected_failure_rate + (1.0 - expected_failure_rate) * BAD_EXTRA_FAILURE_RATE;
        let failed = self.new.failed as f64;
        let succeeded = self.new.served as f64 - failed;
        failed * (bad / expected_failure_rate).ln()
            + succeeded * (1.0 - BAD_EXTRA_FAILURE_RATE).ln()
    }
}

/// Returns the evidence in the record if it includes more responses than this box has statistics
/// of, which restarted boxes have lost.
fn usable_stored_evidence(
    status: RolloutStatus<'_>,
    statistics: &RolloutStatistics,
) -> StoredEvidence {
    let covers_more = |stored_evidence: &StoredEvidence| {
        stored_evidence.latency.responses
            > statistics.responses_before(stored_evidence.latency.end_window)
    };
    status
        .stored_evidence
        .filter(covers_more)
        .unwrap_or_default()
}

/// Summarises the evidence up to the current window, whose responses are in flight.
fn evidence_until_now(
    status: RolloutStatus<'_>,
    recent: &RolloutStatistics,
    stored: StoredEvidence,
) -> StoredEvidence {
    let until = window_at(status.time.elapsed, status.time.duration);
    let until = until.max(stored.latency.end_window);
    let ended = recent.in_windows(..until);
    StoredEvidence {
        latency: summarise_until(until, &ended, stored.latency, status.stage_window),
        failure_log_ratio: stored.failure_log_ratio + failure_log_ratio(&ended),
    }
}

/// Returns the log-likelihood ratio of "the new version fails more often than the old one", summed
/// over routes.
fn failure_log_ratio(statistics: &RolloutStatistics) -> f64 {
    let by_route = counts_by_route(statistics);
    let single = by_route.iter().filter(|(route, _)| *route != ALL_ROUTES);
    single.map(|(_, counts)| counts.failure_log_ratio()).sum()
}

/// Returns the level of evidence that this ratio gives.
fn failure_evidence_level(log_ratio: f64) -> EvidenceLevel {
    if log_ratio <= CONCLUSIVE_MAX_FAILURE_LLR {
        EvidenceLevel::Conclusive
    } else if log_ratio <= FAVOURABLE_MAX_FAILURE_LLR {
        EvidenceLevel::Favourable
    } else {
        EvidenceLevel::Insufficient
    }
}

/// Returns the responses and failures on each route, and on all together.
fn counts_by_route(statistics: &RolloutStatistics) -> BTreeMap<String, RouteCounts> {
    let mut by_route: BTreeMap<String, RouteCounts> = BTreeMap::new();
    let mut all = RouteCounts::default();
    for (group, pair) in &statistics.groups {
        let counts_of = |completed: u32, failed: u32| AnswerCounts {
            served: u64::from(completed) + u64::from(failed),
            failed: u64::from(failed),
            ..AnswerCounts::default()
        };
        let new = counts_of(pair.new.completed.total(), pair.new.failed);
        let old = counts_of(pair.old.completed.total(), pair.old.failed);
        let route = by_route.entry(group.route.clone()).or_default();
        for counts in [route, &mut all] {
            counts.new.add(&new);
            counts.old.add(&old);
        }
    }
    by_route.insert(ALL_ROUTES.to_owned(), all);
    by_route
}
