//! Roll-outs of a service's version: who is served by which, and whether it is bad.
//!
//! The leading box takes a roll-out through its stages and keeps the stage in the store;
//! every box follows the stage it has heard of last. A new version is watched by the
//! exposure guard over the counts of all boxes. See `docs/design/platform.md`.

use super::control::{RolloutOrder, RolloutRecord, RolloutState};
use super::knowledge::Rollout;
use super::place::draw;
use crate::clock::Now;
use crate::evidence::{Counts, Evidence, EvidenceCell, Subject};
use crate::guard::{Guard, GuardPolicy};
use crate::name::VersionName;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

const THOUSAND: u64 = 1000;
/// Stands for all routes together where routes are tested one by one.
const ALL_ROUTES: &str = "(all routes)";
/// The stages of a roll-out: from this part of its time on (in hundredths), this part of
/// the sessions (in thousandths) is served by the target. The operators allow a bad
/// version 15 in 100 of the requests of the whole time; 10 in 100 over the first half
/// leaves room for what is under way when it is found bad. Sessions that are under way
/// may change versions only in the second half.
const STAGES: [(u64, u32); 5] = [(0, 100), (52, 250), (60, 500), (68, 800), (76, 1000)];
/// How long after an order no session is moved, while boxes tell each other which
/// sessions the old version serves: two of their reports and the way of the order.
const SETTLING: Duration = Duration::from_millis(1600);
/// The part of its time, in hundredths, at which a good roll-out is declared done; the
/// rest covers a store that is away for a while.
const DONE_AT: u64 = 84;
/// The fewest answers of a new version from which it is taken to be good.
const FEWEST_ANSWERS: u64 = 20;
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

/// Which versions of a service may serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionRule {
    /// Any but these.
    AnyBut(Vec<String>),
    /// This one, or any other if no upstream of it is left.
    Prefer(String),
}

impl VersionRule {
    /// Tells whether an upstream's version may serve, the fallback left aside.
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::AnyBut(excluded) => !excluded.iter().any(|found| found == version),
            Self::Prefer(wanted) => wanted == version,
        }
    }
}

/// What is asked about one request.
#[derive(Debug, Clone, Copy)]
pub struct VersionQuery<'a> {
    /// What the requests of a session have in common.
    pub session: &'a str,
    /// The version that served the session a short while ago.
    pub pinned: Option<&'a str>,
    /// Whether some box saw the old version serve the session when the order came.
    pub stays_old: bool,
    /// Whether this box found the target bad.
    pub condemned: bool,
}

/// Decides which versions may serve a request.
pub fn version_rule(rollout: Option<&Rollout>, query: VersionQuery<'_>, now: Now) -> VersionRule {
    let Some(rollout) = rollout else {
        return VersionRule::AnyBut(Vec::new());
    };
    let record = rollout.record.as_ref().map(|record| &record.record);
    let rejected = || record.map_or_else(Vec::new, |record| record.rejected.clone());
    let Some((order, _)) = &rollout.order else {
        return VersionRule::AnyBut(rejected());
    };
    let all_but_target = || {
        let mut excluded = rejected();
        excluded.push(order.target.clone());
        VersionRule::AnyBut(excluded)
    };
    let Some(record) = record.filter(|record| record.order_revision == order.revision) else {
        return all_but_target();
    };
    match record.state {
        RolloutState::Done => VersionRule::Prefer(order.target.clone()),
        RolloutState::Reverted => all_but_target(),
        RolloutState::Running if query.condemned => all_but_target(),
        RolloutState::Running => {
            let elapsed = rollout.elapsed(now).unwrap_or_default();
            let is_first_half = elapsed < order.duration / 2;
            let by_stage = draw(query.session) % THOUSAND < u64::from(record.permille);
            let target = match query.pinned {
                Some(pinned) if pinned == order.target => true,
                Some(_) if is_first_half => false,
                None if is_first_half && query.stays_old => false,
                _ => by_stage,
            };
            match target {
                true => VersionRule::Prefer(order.target.clone()),
                false => all_but_target(),
            }
        }
    }
}

/// Tells whether a session, by its hash, is among those that the first stage moves.
pub fn may_be_moved_first(session: u64) -> bool {
    session % THOUSAND < u64::from(STAGES[0].1)
}

/// What the leading box knows when it takes a roll-out on.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    /// The time since the order.
    pub elapsed: Duration,
    /// Whether the target was found bad.
    pub condemned: bool,
    /// The target's answers so far.
    pub answers: u64,
}

/// Returns the next record of a roll-out, if it has to change.
pub fn next_record(
    order: &RolloutOrder,
    known: Option<&RolloutRecord>,
    progress: Progress,
) -> Option<RolloutRecord> {
    let current = known.filter(|known| known.order_revision == order.revision);
    let rejected = known.map_or_else(Vec::new, |known| known.rejected.clone());
    let begun = RolloutRecord {
        service: order.service.clone(),
        target: order.target.clone(),
        order_revision: order.revision,
        state: RolloutState::Running,
        permille: 0,
        elapsed_ms: millis(progress.elapsed),
        rejected: rejected
            .into_iter()
            .filter(|version| *version != order.target)
            .collect(),
    };
    let current = current.cloned();
    let mut next = current.clone().unwrap_or(begun);
    if next.state != RolloutState::Running {
        return None;
    }
    if progress.condemned {
        next.state = RolloutState::Reverted;
        next.permille = 0;
        next.rejected.push(order.target.clone());
    } else if progress.elapsed >= SETTLING {
        let hundredths = part_of(progress.elapsed, order.duration);
        next.permille = next.permille.max(stage(hundredths, progress.answers));
        if hundredths >= DONE_AT && next.permille == STAGES[STAGES.len() - 1].1 {
            next.state = RolloutState::Done;
        }
    }
    let changed = current
        .is_none_or(|current| current.state != next.state || current.permille != next.permille);
    next.elapsed_ms = millis(progress.elapsed);
    changed.then_some(next)
}

fn stage(hundredths: u64, answers: u64) -> u32 {
    let reached = STAGES.iter().rev().find(|(from, _)| hundredths >= *from);
    match reached {
        Some((from, permille)) if *from == 0 || answers >= FEWEST_ANSWERS => *permille,
        _ => STAGES[0].1,
    }
}

fn part_of(elapsed: Duration, whole: Duration) -> u64 {
    let whole = millis(whole).max(1);
    millis(elapsed).saturating_mul(100) / whole
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

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
