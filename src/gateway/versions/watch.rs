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
/// How many times the usual time makes a plain answer a slow one. Bad versions take eight
/// times as long; of the answers of sound ones one in a hundred takes four times.
pub const SLOW_ANSWER: f64 = 4.0;
/// How many times the usual time between two events makes an answer a slow one. An engine
/// that works eight times as long on a third of its requests slows all of them threefold,
/// and with few requests that was still 1.8 times the pace of a loaded sound one; of the
/// answers of sound engines one in ten is that slow (docs/measurements/versions.md).
pub const SLOW_PACE: f64 = 1.7;
/// The same once the new version bears most of the load: its engines read all prompts anew
/// then, which held up half of the answers of a good one by this much for a second.
pub const SLOW_PACE_LOADED: f64 = 2.7;
/// How much of the newest time goes into the usual one.
const BASELINE_PART: f64 = 0.1;
/// Answers from which the usual time is known.
const BASELINE_ANSWERS: u32 = 10;

/// What the guard tolerates of a plain service's new version: a few failures in a hundred,
/// as crashed and failing upstreams cause them, and a few slow answers, while bad versions
/// fail or slow a third of their requests or more. A false alarm once in some ten thousand
/// answers takes a good version back.
pub const PLAIN_GUARD: GuardPolicy = GuardPolicy {
    tolerated_bad: 0.05,
    tolerated_failed: 0.05,
    ratio_bad: 4.0,
    ratio_failed: 3.5,
    answers_to_false_alarm: 3e4,
};
/// What it tolerates of an engine's new version. An engine that works slowly on some of its
/// requests slows nearly all of them, while sound engines slow down for a while when a
/// stage moves many sessions to them at once and they have to read all prompts anew: up to
/// four answers in ten were slow then (docs/measurements/versions.md).
pub const ENGINE_GUARD: GuardPolicy = GuardPolicy {
    tolerated_bad: 0.20,
    ratio_bad: 2.8,
    ..PLAIN_GUARD
};

/// Imagined answers that keep a few answers of the old versions from telling what is usual.
const PRIOR_ANSWERS: f64 = 20.0;

/// The counts of one route, or of all.
#[derive(Debug, Clone, Copy, Default)]
struct RouteCounts {
    /// The answers of the version under roll-out.
    new: Counts,
    /// Those of the versions before it, in the same time.
    old: Counts,
}

impl RouteCounts {
    fn add(&mut self, is_new: bool, counts: &Counts) {
        match is_new {
            true => self.new.add(counts),
            false => self.old.add(counts),
        }
    }

    /// Returns what is tolerated: at least what the old versions show as well.
    fn measured(&self, policy: GuardPolicy) -> GuardPolicy {
        GuardPolicy {
            tolerated_bad: self.usual_part(self.old.bad, policy.tolerated_bad),
            tolerated_failed: self.usual_part(self.old.failed, policy.tolerated_failed),
            ..policy
        }
    }

    fn usual_part(&self, old: u64, tolerated: f64) -> f64 {
        let imagined = PRIOR_ANSWERS * tolerated;
        let usual = (old as f64 + imagined) / (self.old.served as f64 + PRIOR_ANSWERS);
        usual.max(tolerated)
    }
}

fn log_seconds(took: Duration) -> f64 {
    const SHORTEST: f64 = 0.001;
    took.as_secs_f64().max(SHORTEST).ln()
}

/// A time that an answer took.
#[derive(Debug, Clone, Copy)]
pub struct Timing<'a> {
    /// What is timed, so that like is compared with like.
    pub kind: &'a str,
    /// How long it took.
    pub took: Duration,
    /// How many times the usual time makes it slow.
    pub slow_from: f64,
}

/// How an answer of a version went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Quality {
    /// It came whole and as fast as usual.
    Whole,
    /// It came, several times slower than usual.
    Slow,
    /// It came, and cannot be compared with the usual times.
    Untimed,
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
    /// The state of the counts at which a version was judged last: every request asks.
    judged: HashMap<VersionName, u64>,
}

/// How long something usually takes, as a mean of logarithms of seconds, since times spread
/// by factors.
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
            guard: Guard::default(),
            condemned: HashSet::new(),
            judged: HashMap::new(),
        }
    }

    /// Learns the usual time of a kind from a version that is not new.
    pub fn learn_usual(&mut self, timing: Timing<'_>) {
        let log = log_seconds(timing.took);
        let usual = self.usual.entry(timing.kind.to_owned()).or_default();
        usual.mean_log += match usual.answers {
            0 => log,
            _ => (log - usual.mean_log) * BASELINE_PART,
        };
        usual.answers = usual.answers.saturating_add(1);
    }

    /// Tells whether a time is several times the usual one.
    pub fn is_slow(&self, timing: Timing<'_>) -> bool {
        let log = log_seconds(timing.took);
        self.usual.get(timing.kind).is_some_and(|usual| {
            usual.answers >= BASELINE_ANSWERS && log - usual.mean_log > timing.slow_from.ln()
        })
    }

    /// Counts an answer of a version on a route.
    pub fn count(&mut self, version: &VersionName, route: &str, quality: Quality) {
        let subject = Subject {
            version: version.clone(),
            organisation: route.to_owned(),
            lift: Default::default(),
        };
        let counts = self.own.entry(subject.clone()).or_default();
        counts.served += 1;
        match quality {
            Quality::Whole => counts.good += 1,
            Quality::Slow => counts.bad += 1,
            Quality::Untimed => {}
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
    pub fn is_condemned(&mut self, version: &VersionName, policy: GuardPolicy) -> bool {
        if self.condemned.contains(version) {
            return true;
        }
        let counted = self.evidence.version();
        if self.judged.insert(version.clone(), counted) == Some(counted) {
            return false;
        }
        // A version may be bad on one route alone, or a little on each.
        for (route, counts) in self.counts_by_route(version) {
            if self.raises_alarm(version, &route, &counts, policy) {
                self.condemned.insert(version.clone());
                return true;
            }
        }
        false
    }

    /// Returns the counts of a version by route, and of all routes together.
    fn counts_by_route(&self, version: &VersionName) -> Vec<(String, RouteCounts)> {
        let mut by_route: BTreeMap<String, RouteCounts> = BTreeMap::new();
        let mut all = RouteCounts::default();
        let same_service = |subject: &Subject| subject.version.model == version.model;
        for (subject, counts) in self.evidence.by_subject() {
            if same_service(&subject) {
                let is_new = subject.version == *version;
                let route = by_route.entry(subject.organisation).or_default();
                route.add(is_new, &counts);
                all.add(is_new, &counts);
            }
        }
        by_route.insert(ALL_ROUTES.to_owned(), all);
        by_route.into_iter().collect()
    }

    fn raises_alarm(
        &mut self,
        version: &VersionName,
        route: &str,
        counts: &RouteCounts,
        policy: GuardPolicy,
    ) -> bool {
        let tested = VersionName {
            model: format!("{} {route}", version.model),
            version: version.version.clone(),
        };
        let policy = counts.measured(policy);
        let counts = counts.new;
        let alarm = self.guard.observe_with(policy, &tested, &counts);
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
            .by_version(&BTreeMap::new())
            .get(version)
            .map_or(0, |counts| counts.served)
    }
}
