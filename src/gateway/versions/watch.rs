//! Whether a version under roll-out is bad, good, or not known yet.
//!
//! Every box counts how both versions answer and tells some others, who judge the counts of
//! all boxes. A box that finds a version bad tells every other one. See
//! `docs/design/exposure.md`.

use super::exposure::{ExposureBound, Span};
use super::judge::{Evidence, Judgement, judge, summary_until};
use super::observed::{Counted, Report, Sent};
use super::seen::Seen;
use super::tally::{Tally, stretch_at};
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
const PRIOR_ANSWERS: f64 = 20.0;

/// The part of its answers that a bad version fails beyond what the old one does, at the least;
/// the guard bears so few.
const BAD_FAILURES: f64 = 0.08;
/// How often an old version is taken to fail at the least, so that a failure or two of the new
/// one say little.
const LEAST_USUAL: f64 = 0.01;
/// The logarithm of the odds of such a version at which a new one fails as seldom as the old one,
/// some 24 answers without a failure; and at which it is not likely to fail more often.
const FAILS_LITTLE_FROM: f64 = -2.0;
const MAY_FAIL_LITTLE_FROM: f64 = 1.0;

/// Why a version serves nobody any more.
#[derive(Debug, Clone, PartialEq)]
pub enum Finding {
    /// It fails more often than the versions before it.
    Fails {
        /// The route on which it does.
        route: String,
        /// Its answers there, and those that failed.
        counts: Counts,
    },
    /// It is slower than the version before it.
    Slow,
    /// It had all that the operators allow a bad version, and nothing proves that it is good.
    Spent,
    /// It has given so many answers, for so long without a proof, that a bad one would have to
    /// have been stopped by now.
    Doubted,
    /// Another box says so.
    Told,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fails { route, counts } => write!(
                f,
                "{} of {} answers failed on {route}",
                counts.failed, counts.served
            ),
            Self::Slow => f.write_str("its answers rank among the slowest"),
            Self::Spent => f.write_str("its share is spent without a proof that it is good"),
            Self::Doubted => {
                f.write_str("too many answers for too long without a proof that it is good")
            }
            Self::Told => f.write_str("another box found it bad"),
        }
    }
}

/// A roll-out, as it is asked about.
#[derive(Debug, Clone, Copy)]
pub struct Question<'a> {
    /// The order's revision in the store.
    pub order: u64,
    /// The version that is brought in.
    pub target: &'a VersionName,
    /// How far its time has gone.
    pub span: Span,
    /// The stretch from which on the present stage has been in force everywhere.
    pub since: u16,
    /// Whether the version has left its first stage, so that it is compared under load.
    pub is_compared: bool,
    /// Whether the version has all sessions, which takes a proof.
    pub is_proved: bool,
    /// What the record says was seen before; none where it is not this box that goes by it.
    pub seen: Option<Seen>,
}

/// What is known of a version.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Verdict {
    /// What the counts say.
    pub judgement: Judgement,
    /// How far they allow to go on with it.
    pub evidence: Evidence,
    /// How far those of the present stage do.
    pub at_stage: Evidence,
    /// The requests since the order.
    pub sent: Sent,
    /// What was seen so far, for the record.
    pub seen: Seen,
}

/// What another box has told of a roll-out.
#[derive(Debug, Default)]
struct Told {
    /// The number of its newest report.
    number: u64,
    counted: Counted,
}

/// What a box has seen of the versions under roll-out, its own counts and others'.
#[derive(Debug)]
pub struct VersionWatch {
    reporter: String,
    reports: u64,
    own: Tally,
    /// What other boxes told, by the order and by their names.
    others: HashMap<u64, HashMap<String, Told>>,
    failures: Guard,
    doubted_since: HashMap<u64, Duration>,
    findings: HashMap<u64, Finding>,
}

impl VersionWatch {
    /// Makes a watch whose counts go by a reporter's name, one for each life of a box.
    pub fn new(reporter: &str) -> Self {
        Self {
            reporter: reporter.to_owned(),
            reports: 0,
            own: Tally::default(),
            others: HashMap::new(),
            failures: Guard::default(),
            doubted_since: HashMap::new(),
            findings: HashMap::new(),
        }
    }

    /// Returns this box's own counts, to count on.
    pub fn tally(&self) -> &Tally {
        &self.own
    }

    /// Returns this box's own counts, for other boxes.
    pub fn reports(&mut self, now: Now) -> Vec<Report> {
        self.reports += 1;
        self.own.reports(&self.reporter, self.reports, now)
    }

    /// Takes another box's counts.
    pub fn take(&mut self, report: Report) {
        let reporters = self.others.entry(report.order).or_default();
        let told = reporters.entry(report.reporter.clone()).or_default();
        if report.number > told.number {
            told.number = report.number;
            told.counted.replace(report);
        }
    }

    /// Returns the counts of all boxes, as far as this one was told.
    pub fn counted(&self, order: u64, now: Now) -> Counted {
        let mut all = self.own.counted(order, now);
        let others = self.others.get(&order).into_iter().flatten();
        for (_, told) in others {
            all.extend(&told.counted);
        }
        all
    }

    /// Forgets all orders but those in force. An order is never given twice, so what was found
    /// of one says nothing of the next, though it names the same version.
    pub fn keep(&mut self, is_in_force: impl Fn(u64) -> bool) {
        self.own.keep(&is_in_force);
        self.others.retain(|order, _| is_in_force(*order));
        self.doubted_since.retain(|order, _| is_in_force(*order));
        self.findings.retain(|order, _| is_in_force(*order));
    }

    /// Returns why the target of an order was found bad, if it was; it stays so for this life.
    pub fn finding(&self, order: u64) -> Option<&Finding> {
        self.findings.get(&order)
    }

    /// Returns the orders whose targets this box found bad by itself, which others have to be
    /// told of.
    pub fn found_here(&self) -> Vec<u64> {
        let is_own = |(_, finding): &(&u64, &Finding)| **finding != Finding::Told;
        let own = self.findings.iter().filter(is_own);
        own.map(|(order, _)| *order).collect()
    }

    /// Takes another box's word that the target of an order is bad; true if that is new.
    pub fn take_finding(&mut self, order: u64) -> bool {
        let is_new = !self.findings.contains_key(&order);
        self.findings.entry(order).or_insert(Finding::Told);
        is_new
    }

    /// Judges a version by all counts that this box has.
    pub fn judge(&mut self, asked: Question<'_>, bound: &ExposureBound, now: Now) -> Verdict {
        let counted = self.counted(asked.order, now);
        let failing = self.failing_route(asked, failures_by_route(&counted));
        let earlier = earlier_of(asked, &counted);
        let later = counted.within(earlier.answers.until..);
        let judgement = judge(&later, earlier.answers, asked.since);
        let by_failures = evidence_of_failures(earlier.failures + odds_of_failures(&later));
        let verdict = Verdict {
            judgement,
            evidence: judgement.evidence().min(by_failures),
            at_stage: judgement.evidence_at_stage().min(by_failures),
            sent: counted.sent,
            seen: asked
                .seen
                .map_or(earlier, |_| seen_until_now(asked, &later, earlier)),
        };
        let is_cleared = match asked.is_compared {
            true => verdict.at_stage >= Evidence::Proves,
            false => verdict.evidence >= Evidence::Speaks,
        };
        let is_doubted = bound.is_doubted(judgement.suspects) && !is_cleared;
        let doubt = self.doubt(asked.order, is_doubted, now);
        let finding = if let Some((route, counts)) = failing {
            Some(Finding::Fails { route, counts })
        } else if judgement.is_slow() {
            Some(Finding::Slow)
        } else if asked.is_proved || asked.is_compared && is_cleared {
            None
        } else if bound.is_spent(counted.sent, asked.span) {
            Some(Finding::Spent)
        } else {
            (doubt > bound.longest_doubt()).then_some(Finding::Doubted)
        };
        if let Some(finding) = finding
            && !self.findings.contains_key(&asked.order)
        {
            log_finding(asked, &finding, &verdict);
            self.findings.insert(asked.order, finding);
        }
        verdict
    }

    /// Returns how long so many answers have been in doubt.
    fn doubt(&mut self, order: u64, is_doubted: bool, now: Now) -> Duration {
        if !is_doubted {
            self.doubted_since.remove(&order);
            return Duration::ZERO;
        }
        let since = self.doubted_since.entry(order).or_insert(now.monotonic);
        now.monotonic.saturating_sub(*since)
    }

    /// Returns the route on which a version fails too often: it may be bad on one route alone,
    /// or a little on each.
    fn failing_route(
        &mut self,
        asked: Question<'_>,
        failures: BTreeMap<String, RouteCounts>,
    ) -> Option<(String, Counts)> {
        for (route, counts) in failures {
            let tested = VersionName {
                model: format!("{} {route}", asked.order),
                version: asked.target.version.clone(),
            };
            let policy = counts.measured();
            let alarm = self.failures.observe_with(policy, &tested, &counts.new);
            if alarm.is_some() {
                return Some((route, counts.new));
            }
        }
        None
    }
}

fn log_finding(asked: Question<'_>, finding: &Finding, verdict: &Verdict) {
    log::warn!(
        service = asked.target.model.as_str(),
        version = asked.target.version.as_str(),
        order = asked.order,
        answers = verdict.judgement.answers,
        suspects = verdict.judgement.suspects,
        under_way = verdict.judgement.open,
        against = verdict.judgement.against,
        odds = verdict.judgement.all.to_string().as_str(),
        odds_at_stage = verdict.judgement.since.to_string().as_str(),
        sent_new = verdict.sent.new,
        sent_all = verdict.sent.all;
        "version found bad: {finding}"
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
    fn measured(&self) -> GuardPolicy {
        GuardPolicy {
            tolerated_failed: self.usual().max(FAILURE_GUARD.tolerated_failed),
            ..FAILURE_GUARD
        }
    }

    /// Returns the part of the old version's answers that fail, with those that are imagined.
    fn usual(&self) -> f64 {
        let imagined = PRIOR_ANSWERS * FAILURE_GUARD.tolerated_failed;
        (self.old.failed as f64 + imagined) / (self.old.served as f64 + PRIOR_ANSWERS)
    }

    /// Returns the logarithm of how much likelier the failures are of a bad version than of one
    /// that fails as the old one does.
    fn odds_of_failing(&self) -> f64 {
        let usual = self.usual().max(LEAST_USUAL);
        let bad = usual + (1.0 - usual) * BAD_FAILURES;
        let failed = self.new.failed as f64;
        let whole = self.new.served as f64 - failed;
        failed * (bad / usual).ln() + whole * (1.0 - BAD_FAILURES).ln()
    }
}

/// Returns what the record says was seen before, if it is more than this box has counts of: boxes
/// that were restarted have lost theirs.
fn earlier_of(asked: Question<'_>, counted: &Counted) -> Seen {
    let knows_more =
        |seen: &Seen| seen.answers.answers > counted.answers_before(seen.answers.until);
    asked.seen.filter(knows_more).unwrap_or_default()
}

/// Sums up what was seen before the present stretch, whose answers are under way.
fn seen_until_now(asked: Question<'_>, later: &Counted, earlier: Seen) -> Seen {
    let until = stretch_at(asked.span.elapsed, asked.span.duration);
    let until = until.max(earlier.answers.until);
    let ended = later.within(..until);
    Seen {
        answers: summary_until(until, &ended, earlier.answers, asked.since),
        failures: earlier.failures + odds_of_failures(&ended),
    }
}

/// Returns the logarithm of the odds that a version fails more often than the old one, by the
/// failures of all routes.
fn odds_of_failures(counted: &Counted) -> f64 {
    let by_route = failures_by_route(counted);
    let single = by_route.iter().filter(|(route, _)| *route != ALL_ROUTES);
    single.map(|(_, counts)| counts.odds_of_failing()).sum()
}

/// Returns how far those odds allow to go on with a version.
fn evidence_of_failures(odds: f64) -> Evidence {
    if odds <= FAILS_LITTLE_FROM {
        Evidence::BeyondDoubt
    } else if odds <= MAY_FAIL_LITTLE_FROM {
        Evidence::Speaks
    } else {
        Evidence::Wanting
    }
}

/// Returns the answers and failures of each route, and of all together.
fn failures_by_route(counted: &Counted) -> BTreeMap<String, RouteCounts> {
    let mut by_route: BTreeMap<String, RouteCounts> = BTreeMap::new();
    let mut all = RouteCounts::default();
    for (group, pair) in &counted.groups {
        let found = |came: u32, failed: u32| Counts {
            served: u64::from(came) + u64::from(failed),
            failed: u64::from(failed),
            ..Counts::default()
        };
        let new = found(pair.new.times.total(), pair.new.failed);
        let old = found(pair.old.times.total(), pair.old.failed);
        let route = by_route.entry(group.route.clone()).or_default();
        for counts in [route, &mut all] {
            counts.new.add(&new);
            counts.old.add(&old);
        }
    }
    by_route.insert(ALL_ROUTES.to_owned(), all);
    by_route
}
