//! Whether a version under roll-out is bad.
//!
//! Every box counts how the version answers, and the exposure guard tests the counts of
//! all boxes, route by route and all together. See `docs/design/platform.md`.

use crate::evidence::{Counts, Evidence, EvidenceCell, Subject};
use crate::guard::{Guard, GuardPolicy};
use crate::name::VersionName;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// Stands for all routes together where routes are tested one by one.
const ALL_ROUTES: &str = "(all routes)";
/// How many times the usual time to the first event makes an answer a slow one. Bad
/// versions take eight times as long; a busy engine rarely takes four times.
const SLOW_FACTOR: f64 = 4.0;
/// How much of the newest time goes into the usual one.
const BASELINE_PART: f64 = 0.1;
/// Answers from which the usual time is known.
const BASELINE_ANSWERS: u32 = 10;

/// What the guard tolerates of a new version: a few failures in a hundred, as crashed and
/// failing upstreams cause them, and some slow answers, as a growing load causes them,
/// while bad versions fail or slow a third of their requests or more. A false alarm once in some ten thousand answers takes a good version back.
const GUARD: GuardPolicy = GuardPolicy {
    tolerated_bad: 0.10,
    tolerated_failed: 0.05,
    ratio: 3.5,
    answers_to_false_alarm: 3e4,
};

fn log_ratio(took: Duration, expected: Duration) -> f64 {
    const SHORTEST: f64 = 0.001;
    let took = took.as_secs_f64().max(SHORTEST);
    (took / expected.as_secs_f64().max(SHORTEST)).ln()
}

/// How an answer of a version went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Quality {
    /// It came whole and as fast as usual.
    Whole,
    /// It came, several times slower than usual.
    Slow,
    /// The upstream failed to give it.
    Failed,
}

/// What a box has seen of the versions under roll-out, its own counts and others'.
#[derive(Debug)]
pub struct VersionWatch {
    reporter: String,
    evidence: Evidence,
    own: BTreeMap<Subject, Counts>,
    usual: HashMap<String, UsualTime>,
    guard: Guard,
    condemned: HashSet<VersionName>,
}

/// How much longer than expected a first event usually takes, as a mean of logarithms,
/// since times spread by factors.
#[derive(Debug, Clone, Copy, Default)]
struct UsualTime {
    mean_log: f64,
    answers: u32,
}

impl VersionWatch {
    /// Makes a watch whose counts go by a reporter's name, one for each life of a box.
    pub fn new(reporter: &str) -> Self {
        Self {
            reporter: reporter.to_owned(),
            evidence: Evidence::default(),
            own: BTreeMap::new(),
            usual: HashMap::new(),
            guard: Guard::new(GUARD),
            condemned: HashSet::new(),
        }
    }

    /// Learns the usual time of a kind of request from a version that is not new.
    pub fn learn_usual(&mut self, kind: &str, took: Duration, expected: Duration) {
        let log = log_ratio(took, expected);
        let usual = self.usual.entry(kind.to_owned()).or_default();
        usual.mean_log += match usual.answers {
            0 => log,
            _ => (log - usual.mean_log) * BASELINE_PART,
        };
        usual.answers = usual.answers.saturating_add(1);
    }

    /// Tells whether a time is several times the usual one.
    pub fn is_slow(&self, kind: &str, took: Duration, expected: Duration) -> bool {
        let log = log_ratio(took, expected);
        self.usual.get(kind).is_some_and(|usual| {
            usual.answers >= BASELINE_ANSWERS && log - usual.mean_log > SLOW_FACTOR.ln()
        })
    }

    /// Counts an answer of a version on a route.
    pub fn count(&mut self, version: &VersionName, route: &str, quality: Quality) {
        let subject = Subject {
            version: version.clone(),
            organisation: route.to_owned(),
        };
        let counts = self.own.entry(subject.clone()).or_default();
        counts.served += 1;
        match quality {
            Quality::Whole => counts.good += 1,
            Quality::Slow => counts.bad += 1,
            Quality::Failed => counts.failed += 1,
        }
        let cell = EvidenceCell {
            reporter: self.reporter.clone(),
            subject,
            counts: *counts,
        };
        self.evidence.merge(&[cell]);
    }

    /// Returns this box's own counts, for other boxes.
    pub fn own_cells(&self) -> Vec<EvidenceCell> {
        let cell = |(subject, counts): (&Subject, &Counts)| EvidenceCell {
            reporter: self.reporter.clone(),
            subject: subject.clone(),
            counts: *counts,
        };
        self.own.iter().map(cell).collect()
    }

    /// Takes another box's counts.
    pub fn merge(&mut self, cells: &[EvidenceCell]) {
        self.evidence.merge(cells);
    }

    /// Judges a version by all counts; once it was found bad it stays so for this life.
    pub fn is_condemned(&mut self, version: &VersionName) -> bool {
        if self.condemned.contains(version) {
            return true;
        }
        // A version may be bad on one route alone, or a little on each.
        let mut tested: Vec<(String, Counts)> = self
            .evidence
            .by_subject()
            .into_iter()
            .filter(|(subject, _)| subject.version == *version)
            .map(|(subject, counts)| (subject.organisation, counts))
            .collect();
        let mut all = Counts::default();
        for (_, counts) in &tested {
            all.add(counts);
        }
        tested.push((ALL_ROUTES.to_owned(), all));
        for (route, counts) in tested {
            if self.raises_alarm(version, &route, &counts) {
                self.condemned.insert(version.clone());
                return true;
            }
        }
        false
    }

    fn raises_alarm(&mut self, version: &VersionName, route: &str, counts: &Counts) -> bool {
        let tested = VersionName {
            model: format!("{} {route}", version.model),
            version: version.version.clone(),
        };
        let alarm = self.guard.observe(&tested, counts);
        if let Some(alarm) = alarm {
            log::warn!(
                service = version.model.as_str(),
                version = version.version.as_str(),
                route,
                served = counts.served,
                failed = counts.failed,
                slow = counts.bad;
                "version found bad: {alarm:?}"
            );
        }
        alarm.is_some()
    }

    /// Returns the answers of a version that all boxes have seen.
    pub fn answers(&self, version: &VersionName) -> u64 {
        self.evidence
            .by_version()
            .get(version)
            .map_or(0, |counts| counts.served)
    }
}
