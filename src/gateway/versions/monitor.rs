//! Whether a version under roll-out is bad, good, or not known yet.
//!
//! Every box counts how both versions answer and tells some others, who judge the counts of
//! all boxes. A box that finds a version bad tells every other one. See
//! `docs/design/exposure.md`.

use super::exposure::{ExposureBound, RolloutTime};
use super::latency_evidence::{EvidenceLevel, LatencyEvidence, evaluate_latency, summarise_until};
use super::local_statistics::{LocalStatistics, window_at};
use super::statistics::{RequestCounts, RolloutStatistics, StatisticsReport};
use super::stored_evidence::StoredEvidence;
use crate::clock::Now;
use crate::evidence::Counts;
use crate::guard::{Guard, GuardPolicy};
use crate::name::VersionName;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

/// Stands for all routes together where routes are tested one by one.
const ALL_ROUTES: &str = "(all routes)";

/// What the guard tolerates of a new version's failures: a few in a hundred, as crashed and
/// failing upstreams cause them, while bad versions fail a third of their requests or more. A
/// false alarm once in some ten thousand answers takes a good version back.
const FAILURE_GUARD: GuardPolicy = GuardPolicy {
    tolerated_bad: 0.05,
    tolerated_failed: 0.05,
    ratio_bad: 4.0,
    ratio_failed: 3.5,
    answers_to_false_alarm: 3e4,
};

/// Imagined answers that keep a few answers of the old versions from telling what is usual.
const PRIOR_RESPONSES: f64 = 20.0;

/// The part of its answers that a bad version fails beyond what the old one does, at the least;
/// the guard bears so few.
const BAD_EXTRA_FAILURE_RATE: f64 = 0.08;
/// How often an old version is taken to fail at the least, so that a failure or two of the new
/// one say little.
const MIN_OLD_FAILURE_RATE: f64 = 0.01;
/// The logarithm of the odds of such a version at which a new one fails as seldom as the old one,
/// some 24 answers without a failure; and at which it is not likely to fail more often.
const CONCLUSIVE_MAX_FAILURE_LLR: f64 = -2.0;
const FAVOURABLE_MAX_FAILURE_LLR: f64 = 1.0;

/// Why a version serves nobody any more.
#[derive(Debug, Clone, PartialEq)]
pub enum RejectionReason {
    /// It fails more often than the versions before it.
    FailureRate {
        /// The route on which it does.
        route: String,
        /// Its answers there, and those that failed.
        counts: Counts,
    },
    /// It is slower than the version before it.
    Slow,
    /// It had all that the operators allow a bad version, and nothing proves that it is good.
    ExposureExhausted,
    /// It has given so many answers, for so long without a proof, that a bad one would have to
    /// have been stopped by now.
    UnprovenTooLong,
    /// Another box says so.
    ReportedByPeer,
}

impl fmt::Display for RejectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FailureRate { route, counts } => write!(
                f,
                "{} of {} answers failed on {route}",
                counts.failed, counts.served
            ),
            Self::Slow => f.write_str("its answers rank among the slowest"),
            Self::ExposureExhausted => {
                f.write_str("its share is spent without a proof that it is good")
            }
            Self::UnprovenTooLong => {
                f.write_str("too many answers for too long without a proof that it is good")
            }
            Self::ReportedByPeer => f.write_str("another box found it bad"),
        }
    }
}

/// A roll-out, as it is asked about.
#[derive(Debug, Clone, Copy)]
pub struct RolloutStatus<'a> {
    /// The order's revision in the store.
    pub order: u64,
    /// The version that is brought in.
    pub target: &'a VersionName,
    /// How far its time has gone.
    pub time: RolloutTime,
    /// The stretch from which on the present stage has been in force everywhere.
    pub stage_window: u16,
    /// Whether the version has left its first stage, so that it is compared under load.
    pub is_past_first_stage: bool,
    /// Whether the version has all sessions, which takes a proof.
    pub is_proved: bool,
    /// What the record says was seen before; none where it is not this box that goes by it.
    pub stored_evidence: Option<StoredEvidence>,
}

/// What is known of a version.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Verdict {
    /// What the counts say.
    pub latency: LatencyEvidence,
    /// How far they allow to go on with it.
    pub evidence: EvidenceLevel,
    /// How far those of the present stage do.
    pub stage_evidence: EvidenceLevel,
    /// The requests since the order.
    pub requests: RequestCounts,
    /// What was seen so far, for the record.
    pub stored_evidence: StoredEvidence,
}

/// What another box has told of a roll-out.
#[derive(Debug, Default)]
struct PeerStatistics {
    /// The number of its newest report.
    newest_report: u64,
    statistics: RolloutStatistics,
}

/// What a box has seen of the versions under roll-out, its own counts and others'.
#[derive(Debug)]
pub struct VersionMonitor {
    reporter: String,
    report_count: u64,
    local: LocalStatistics,
    /// What other boxes told, by the order and by their names.
    peers: HashMap<u64, HashMap<String, PeerStatistics>>,
    failure_guard: Guard,
    unproven_since: HashMap<u64, Duration>,
    rejections: HashMap<u64, RejectionReason>,
}

impl VersionMonitor {
    /// Makes a watch whose counts go by a reporter's name, one for each life of a box.
    pub fn new(reporter: &str) -> Self {
        Self {
            reporter: reporter.to_owned(),
            report_count: 0,
            local: LocalStatistics::default(),
            peers: HashMap::new(),
            failure_guard: Guard::default(),
            unproven_since: HashMap::new(),
            rejections: HashMap::new(),
        }
    }

    /// Returns this box's own counts, to count on.
    pub fn local_statistics(&self) -> &LocalStatistics {
        &self.local
    }

    /// Returns this box's own counts, for other boxes.
    pub fn reports(&mut self, now: Now) -> Vec<StatisticsReport> {
        self.report_count += 1;
        self.local.reports(&self.reporter, self.report_count, now)
    }

    /// Takes another box's counts.
    pub fn accept_report(&mut self, report: StatisticsReport) {
        let reporters = self.peers.entry(report.order).or_default();
        let known = reporters.entry(report.reporter.clone()).or_default();
        if report.sequence > known.newest_report {
            known.newest_report = report.sequence;
            known.statistics.apply_report(report);
        }
    }

    /// Returns the counts of all boxes, as far as this one was told.
    pub fn statistics(&self, order: u64, now: Now) -> RolloutStatistics {
        let mut all = self.local.statistics(order, now);
        let peers = self.peers.get(&order).into_iter().flatten();
        for (_, known) in peers {
            all.merge(&known.statistics);
        }
        all
    }

    /// Forgets all orders but those in force. An order is never given twice, so what was found
    /// of one says nothing of the next, though it names the same version.
    pub fn retain_orders(&mut self, is_active: impl Fn(u64) -> bool) {
        self.local.retain_orders(&is_active);
        self.peers.retain(|order, _| is_active(*order));
        self.unproven_since.retain(|order, _| is_active(*order));
        self.rejections.retain(|order, _| is_active(*order));
    }

    /// Returns why the target of an order was found bad, if it was; it stays so for this life.
    pub fn rejection(&self, order: u64) -> Option<&RejectionReason> {
        self.rejections.get(&order)
    }

    /// Returns the orders whose targets this box found bad by itself, which others have to be
    /// told of.
    pub fn local_rejections(&self) -> Vec<u64> {
        let is_local = |(_, rejection): &(&u64, &RejectionReason)| {
            **rejection != RejectionReason::ReportedByPeer
        };
        let local = self.rejections.iter().filter(is_local);
        local.map(|(order, _)| *order).collect()
    }

    /// Takes another box's word that the target of an order is bad; true if that is new.
    pub fn accept_peer_rejection(&mut self, order: u64) -> bool {
        let is_first = !self.rejections.contains_key(&order);
        self.rejections
            .entry(order)
            .or_insert(RejectionReason::ReportedByPeer);
        is_first
    }

    /// Judges a version by all counts that this box has.
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

    /// Returns how long so many answers have been in doubt.
    fn unproven_time(&mut self, order: u64, is_clock_running: bool, now: Now) -> Duration {
        if !is_clock_running {
            self.unproven_since.remove(&order);
            return Duration::ZERO;
        }
        let since = self.unproven_since.entry(order).or_insert(now.monotonic);
        now.monotonic.saturating_sub(*since)
    }

    /// Returns the route on which a version fails too often: it may be bad on one route alone,
    /// or a little on each.
    fn failing_route(
        &mut self,
        status: RolloutStatus<'_>,
        routes: BTreeMap<String, RouteCounts>,
    ) -> Option<(String, Counts)> {
        for (route, counts) in routes {
            let tested = VersionName {
                model: format!("{} {route}", status.order),
                version: status.target.version.clone(),
            };
            let policy = counts.guard_policy();
            let alarm = self
                .failure_guard
                .observe_with(policy, &tested, &counts.new);
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

/// The counts of one route, or of all.
#[derive(Debug, Clone, Copy, Default)]
struct RouteCounts {
    new: Counts,
    old: Counts,
}

impl RouteCounts {
    /// Returns what is tolerated: at least what the old versions show as well.
    fn guard_policy(&self) -> GuardPolicy {
        GuardPolicy {
            tolerated_failed: self
                .expected_failure_rate()
                .max(FAILURE_GUARD.tolerated_failed),
            ..FAILURE_GUARD
        }
    }

    /// Returns the part of the old version's answers that fail, with those that are imagined.
    fn expected_failure_rate(&self) -> f64 {
        let prior_failed = PRIOR_RESPONSES * FAILURE_GUARD.tolerated_failed;
        (self.old.failed as f64 + prior_failed) / (self.old.served as f64 + PRIOR_RESPONSES)
    }

    /// Returns the logarithm of how much likelier the failures are of a bad version than of one
    /// that fails as the old one does.
    fn failure_log_ratio(&self) -> f64 {
        let expected_failure_rate = self.expected_failure_rate().max(MIN_OLD_FAILURE_RATE);
        let bad = expected_failure_rate + (1.0 - expected_failure_rate) * BAD_EXTRA_FAILURE_RATE;
        let failed = self.new.failed as f64;
        let succeeded = self.new.served as f64 - failed;
        failed * (bad / expected_failure_rate).ln()
            + succeeded * (1.0 - BAD_EXTRA_FAILURE_RATE).ln()
    }
}

/// Returns what the record says was seen before, if it is more than this box has counts of: boxes
/// that were restarted have lost theirs.
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

/// Sums up what was seen before the present stretch, whose answers are under way.
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

/// Returns the logarithm of the odds that a version fails more often than the old one, by the
/// failures of all routes.
fn failure_log_ratio(statistics: &RolloutStatistics) -> f64 {
    let by_route = counts_by_route(statistics);
    let single = by_route.iter().filter(|(route, _)| *route != ALL_ROUTES);
    single.map(|(_, counts)| counts.failure_log_ratio()).sum()
}

/// Returns how far those odds allow to go on with a version.
fn failure_evidence_level(log_ratio: f64) -> EvidenceLevel {
    if log_ratio <= CONCLUSIVE_MAX_FAILURE_LLR {
        EvidenceLevel::Conclusive
    } else if log_ratio <= FAVOURABLE_MAX_FAILURE_LLR {
        EvidenceLevel::Favourable
    } else {
        EvidenceLevel::Insufficient
    }
}

/// Returns the answers and failures of each route, and of all together.
fn counts_by_route(statistics: &RolloutStatistics) -> BTreeMap<String, RouteCounts> {
    let mut by_route: BTreeMap<String, RouteCounts> = BTreeMap::new();
    let mut all = RouteCounts::default();
    for (group, pair) in &statistics.groups {
        let found = |completed: u32, failed: u32| Counts {
            served: u64::from(completed) + u64::from(failed),
            failed: u64::from(failed),
            ..Counts::default()
        };
        let new = found(pair.new.completed.total(), pair.new.failed);
        let old = found(pair.old.completed.total(), pair.old.failed);
        let route = by_route.entry(group.route.clone()).or_default();
        for counts in [route, &mut all] {
            counts.new.add(&new);
            counts.old.add(&old);
        }
    }
    by_route.insert(ALL_ROUTES.to_owned(), all);
    by_route
}
