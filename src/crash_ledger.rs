//! Tracks which requests, and which parts of prompts, crash the upstreams that run them.
//!
//! A crash ends all requests that run at an upstream, so each of them is a suspect, as is each part
//! of their prompts, and none is proved to be the cause. What was present at three crashes is sent
//! once more as a trial, at one upstream at a time in the whole fleet. If that upstream crashes too,
//! the requests that contain the cause are quarantined; what is answered is cleared of all crashes
//! so far. Boxes exchange their records and merge them as sets, so the order and the number of
//! messages do not matter. See `docs/design/quarantine.md`.

use crate::clock::{Now, millis};
use crate::fingerprint::{Fingerprint, RequestFingerprints};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::time::Duration;

/// Number of crashes at which a request or a part becomes a suspect.
pub const SUSPECT_CRASHES: usize = 3;
/// How long a trial blocks other sends of the same request or part.
const TRIAL_DURATION: Duration = Duration::from_secs(3);
/// How long a request or a part is tracked after its newest crash. Its upstreams may have been fixed
/// or replaced by then.
const RECORD_RETENTION: Duration = Duration::from_secs(600);
/// Upper bound of the number of tracked requests and parts.
pub const MAX_TRACKED_SUBJECTS: usize = 4096;
/// Upper bound of the number of crashes that are tracked for one of them.
const MAX_CRASHES_PER_SUBJECT: usize = 16;
/// Time from a crash on trial until a request with the same part is tried again, and the factor by
/// which each crash on trial prolongs it: engines may have been repaired, or the part be innocent.
const RETRIAL_INTERVAL: Duration = Duration::from_secs(20);
const RETRIAL_INTERVAL_FACTOR: u32 = 3;
/// The most crashes on trial that prolong the interval; it has reached the retention by then.
const MAX_RETRIAL_STEPS: u32 = 4;
/// Requests are admitted to a new trial at different times within this interval, so that those which
/// wait for it do not begin several at once.
const RETRIAL_JITTER: Duration = Duration::from_secs(5);

/// Hash that identifies an incarnation of an upstream in messages between boxes.
pub type IncarnationHash = u32;

/// The role of a request or a part in one crash.
///
/// The variants are ordered: of two roles in the same crash, the greater one holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashRole {
    /// It ran there, possibly next to other requests.
    Concurrent,
    /// It ran there as a trial.
    OnTrial,
    /// It has been answered by another upstream since.
    Cleared,
}

/// The known crashes of one request or part, as exchanged between boxes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request or part.
    pub subject: Fingerprint,
    /// Its role in each crash, by the incarnation of the upstream that crashed.
    pub crashes: Vec<(IncarnationHash, CrashRole)>,
    /// Age of the newest crash in milliseconds.
    pub age_ms: u64,
}

/// Result of connecting to an upstream after requests there were interrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashCheckResult {
    /// The address refuses connections, so the process is gone.
    Crashed,
    /// The upstream accepts connections: only individual connections were lost.
    Alive,
    /// Nothing answers, as during a network partition.
    Unreachable,
}

impl CrashCheckResult {
    /// Interprets the result of opening a connection.
    pub fn from_connect_result<T>(opened: &io::Result<T>) -> Self {
        match opened {
            Ok(_) => Self::Alive,
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => Self::Crashed,
            Err(_) => Self::Unreachable,
        }
    }
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// It may be sent like any other.
    Clear,
    /// It may be sent once, as a trial, while no other send of it is in flight.
    Suspect,
    /// Another send of it is on trial, for at most this long.
    OnTrial(Duration),
    /// It may not be sent.
    Quarantined,
    /// It has parts that may not be sent for at least this long.
    PartQuarantined(Duration),
}

impl QuarantineState {
    /// Returns the log message for a request that has entered this state.
    pub fn describe(self) -> &'static str {
        match self {
            Self::Clear => "the request or part is no longer suspected of crashing upstreams",
            Self::Suspect => {
                "the request or part ran at three crashes, it will be sent once as a trial"
            }
            Self::OnTrial(_) => {
                "a trial of a request or part that ran at three crashes is in progress"
            }
            Self::Quarantined => "the request or part crashes upstreams, it is quarantined",
            Self::PartQuarantined(_) => "a part of the prompt crashes upstreams, it is quarantined",
        }
    }
}

/// The requests and parts that ran at upstreams when those crashed, and the trials in progress.
#[derive(Debug, Default)]
pub struct CrashLedger {
    subjects: HashMap<Fingerprint, CrashHistory>,
    /// What was present at each crash.
    present: HashMap<IncarnationHash, Vec<Fingerprint>>,
    /// When each trial stops blocking other sends.
    trials: HashMap<Fingerprint, Duration>,
}

/// The crashes at which one request or part ran.
#[derive(Debug, Clone, Default)]
struct CrashHistory {
    crashes: BTreeMap<IncarnationHash, CrashRole>,
    newest_at: Duration,
}

impl CrashHistory {
    /// Iterates over the crashes that the subject may have caused.
    fn uncleared(&self) -> impl Iterator<Item = (IncarnationHash, CrashRole)> + '_ {
        let crashes = self.crashes.iter().map(|(found, role)| (*found, *role));
        crashes.filter(|(_, role)| *role != CrashRole::Cleared)
    }

    /// Returns the number of crashes that the subject may have caused.
    fn uncleared_crashes(&self) -> usize {
        self.uncleared().count()
    }

    /// Iterates over the upstreams that crashed while the subject was on trial there.
    fn on_trial(&self) -> impl Iterator<Item = IncarnationHash> + '_ {
        let on_trial = self.uncleared();
        let on_trial = on_trial.filter(|(_, role)| *role == CrashRole::OnTrial);
        on_trial.map(|(incarnation, _)| incarnation)
    }

    /// Returns whether the subject may have caused a crash.
    fn may_have_caused(&self, incarnation: IncarnationHash) -> bool {
        let role = self.crashes.get(&incarnation);
        role.is_some_and(|role| *role != CrashRole::Cleared)
    }

    /// Adds a crash, or raises the role in a known one; returns whether anything changed.
    fn add(&mut self, incarnation: IncarnationHash, role: CrashRole) -> bool {
        let known = self.crashes.get(&incarnation).copied();
        if known >= Some(role) || (known.is_none() && !self.make_room()) {
            return false;
        }
        self.crashes.insert(incarnation, role);
        true
    }

    /// Makes room for one more crash, where a cleared one can give way; returns whether there is any.
    fn make_room(&mut self) -> bool {
        if self.crashes.len() < MAX_CRASHES_PER_SUBJECT {
            return true;
        }
        let mut crashes = self.crashes.iter();
        let cleared = crashes.find(|(_, role)| **role == CrashRole::Cleared);
        let cleared = cleared.map(|(incarnation, _)| *incarnation);
        cleared.is_some_and(|incarnation| self.crashes.remove(&incarnation).is_some())
    }

    fn record(&self, subject: Fingerprint, now: Now) -> CrashRecord {
        CrashRecord {
            subject,
            crashes: self
                .crashes
                .iter()
                .map(|(incarnation, role)| (*incarnation, *role))
                .collect(),
            age_ms: millis(now.monotonic.saturating_sub(self.newest_at)),
        }
    }
}

impl CrashLedger {
    /// Records that a request or part ran at an upstream when that crashed; returns the record for
    /// other boxes.
    pub fn add_crash(
        &mut self,
        incarnation: IncarnationHash,
        subject: Fingerprint,
        role: CrashRole,
        now: Now,
    ) -> CrashRecord {
        self.make_room(now);
        self.add(incarnation, subject, role);
        let history = self.subjects.entry(subject).or_default();
        history.newest_at = now.monotonic;
        history.record(subject, now)
    }

    /// Adds a crash to a subject's history; a crash on trial ends the trial.
    fn add(&mut self, incarnation: IncarnationHash, subject: Fingerprint, role: CrashRole) -> bool {
        let is_new = self
            .subjects
            .entry(subject)
            .or_default()
            .add(incarnation, role);
        let present = self.present.entry(incarnation).or_default();
        if is_new && !present.contains(&subject) {
            present.push(subject);
        }
        if is_new && role == CrashRole::OnTrial {
            self.trials.remove(&subject);
        }
        is_new
    }

    /// Records that a request or part was answered; returns the record for other boxes if it was
    /// suspected of any crash.
    pub fn add_answer(&mut self, subject: Fingerprint, now: Now) -> Option<CrashRecord> {
        self.trials.remove(&subject);
        let history = self.subjects.get_mut(&subject)?;
        if history.uncleared_crashes() == 0 {
            return None;
        }
        for role in history.crashes.values_mut() {
            *role = CrashRole::Cleared;
        }
        Some(history.record(subject, now))
    }

    /// Merges another box's record; returns whether any of it was new.
    pub fn merge_record(&mut self, record: &CrashRecord, now: Now) -> bool {
        let age = Duration::from_millis(record.age_ms);
        if age >= RECORD_RETENTION {
            return false;
        }
        self.make_room(now);
        let mut is_new = false;
        for (incarnation, role) in &record.crashes {
            is_new |= self.add(*incarnation, record.subject, *role);
        }
        let history = self.subjects.entry(record.subject).or_default();
        let newest_at = now.monotonic.saturating_sub(age);
        history.newest_at = history.newest_at.max(newest_at);
        if history.uncleared_crashes() == 0 {
            self.trials.remove(&record.subject);
        }
        is_new
    }

    /// Records that a trial of a request or part starts now, here or at another box.
    pub fn begin_trial(&mut self, subject: Fingerprint, now: Now) {
        self.trials.insert(subject, now.monotonic + TRIAL_DURATION);
    }

    /// Records that a trial ended without a result.
    pub fn end_trial(&mut self, subject: Fingerprint) {
        self.trials.remove(&subject);
    }

    /// Returns whether a request may be sent.
    pub fn quarantine_state(&self, request: &RequestFingerprints, now: Now) -> QuarantineState {
        let suspects = self.suspects(request, now);
        if suspects.is_empty() {
            return QuarantineState::Clear;
        }
        if let Some(proof) = self.find_proof(request, &suspects, now) {
            if proof.causes.contains(&request.own) {
                return QuarantineState::Quarantined;
            }
            let left = proof.next_trial(request.own).saturating_sub(now.monotonic);
            if !left.is_zero() {
                return QuarantineState::PartQuarantined(left);
            }
        }
        let on_trial = suspects.iter().filter_map(|found| self.trials.get(found));
        let left = on_trial
            .max()
            .map(|until| until.saturating_sub(now.monotonic));
        match left {
            Some(left) if !left.is_zero() => QuarantineState::OnTrial(left),
            _ => QuarantineState::Suspect,
        }
    }

    /// Returns what a request is suspected for: itself or some of its parts.
    ///
    /// A request is tried even if something else is the likelier cause, which costs its caller
    /// nothing. A part is not, since a trial keeps all other requests with the part waiting.
    pub fn suspects(&self, request: &RequestFingerprints, now: Now) -> Vec<Fingerprint> {
        let is_suspect = |subject: &Fingerprint| {
            self.uncleared_crashes(*subject, now) >= SUSPECT_CRASHES
                && (*subject == request.own
                    || self.unexplained_crashes(*subject, now) >= SUSPECT_CRASHES)
        };
        request.iter().filter(is_suspect).collect()
    }

    fn history(&self, subject: Fingerprint, now: Now) -> Option<&CrashHistory> {
        let history = self.subjects.get(&subject);
        history.filter(|history| is_retained(history, now))
    }

    fn uncleared_crashes(&self, subject: Fingerprint, now: Now) -> usize {
        let history = self.history(subject, now);
        history.map_or(0, CrashHistory::uncleared_crashes)
    }

    /// Returns at how many crashes a subject was present where nothing else is more likely the cause.
    fn unexplained_crashes(&self, subject: Fingerprint, now: Now) -> usize {
        let Some(history) = self.history(subject, now) else {
            return 0;
        };
        let crashes = history.uncleared();
        let unexplained = crashes
            .filter(|(incarnation, _)| self.likely_causes(*incarnation, now).contains(&subject));
        unexplained.count()
    }

    /// Returns which of the subjects that were present at a crash were present at the most crashes.
    fn likely_causes(&self, incarnation: IncarnationHash, now: Now) -> Vec<Fingerprint> {
        let mut most = 0;
        let mut causes = Vec::new();
        for subject in self.present.get(&incarnation).into_iter().flatten() {
            let Some(history) = self.history(*subject, now) else {
                continue;
            };
            if !history.may_have_caused(incarnation) {
                continue;
            }
            let crashes = history.uncleared_crashes();
            if crashes > most {
                most = crashes;
                causes.clear();
            }
            if crashes == most {
                causes.push(*subject);
            }
        }
        causes
    }

    /// Finds a crash on trial which proves that a request contains the cause: all the likely causes of
    /// that crash are among the request's fingerprints.
    fn find_proof(
        &self,
        request: &RequestFingerprints,
        suspects: &[Fingerprint],
        now: Now,
    ) -> Option<Proof> {
        let histories = suspects
            .iter()
            .filter_map(|found| self.history(*found, now));
        let tried = histories.filter(|history| history.uncleared_crashes() > SUSPECT_CRASHES);
        let proofs = tried.flat_map(|history| {
            history.on_trial().filter_map(move |incarnation| {
                let causes = self.likely_causes(incarnation, now);
                let is_proof = causes.iter().all(|cause| request.contains(*cause));
                is_proof.then(|| Proof {
                    causes,
                    newest_at: history.newest_at,
                    trials: history.on_trial().count(),
                })
            })
        });
        proofs.max_by_key(|proof| proof.newest_at)
    }

    /// Returns the records that have to reach every box: those of suspects, or of what was suspected
    /// until it was cleared.
    pub fn records_for_all_boxes(&self, now: Now) -> Vec<CrashRecord> {
        let shared = self.subjects.iter().filter(|(_, history)| {
            history.crashes.len() >= SUSPECT_CRASHES && is_retained(history, now)
        });
        let mut records: Vec<CrashRecord> = shared
            .map(|(subject, history)| history.record(*subject, now))
            .collect();
        records.sort_by_key(|record| record.subject);
        records
    }

    /// Returns at most `limit` records: those of suspects first, then those with the newest
    /// crashes.
    pub fn top_records(&self, limit: usize, now: Now) -> Vec<CrashRecord> {
        let known = self.subjects.iter();
        let mut ranked: Vec<(&Fingerprint, &CrashHistory)> = known
            .filter(|(_, history)| is_retained(history, now))
            .collect();
        ranked.sort_by_key(|(subject, history)| {
            let is_suspect = history.crashes.len() >= SUSPECT_CRASHES;
            (Reverse(is_suspect), Reverse(history.newest_at), **subject)
        });
        let top = ranked.into_iter().take(limit);
        top.map(|(subject, history)| history.record(*subject, now))
            .collect()
    }

    /// Returns the number of tracked requests and parts.
    pub fn len(&self) -> usize {
        self.subjects.len()
    }

    /// Tells whether nothing is tracked.
    pub fn is_empty(&self) -> bool {
        self.subjects.is_empty()
    }

    /// Makes room for one more request or part: evicts expired ones, then those with the fewest
    /// uncleared crashes, the oldest of these first.
    fn make_room(&mut self, now: Now) {
        if self.subjects.len() < MAX_TRACKED_SUBJECTS {
            return;
        }
        self.subjects.retain(|_, history| is_retained(history, now));
        self.trials.retain(|_, until| *until > now.monotonic);
        if self.subjects.len() >= MAX_TRACKED_SUBJECTS {
            self.evict_least_suspected();
        }
        self.index_crashes();
    }

    /// Evicts an eighth at once, so that a flood of requests does not cause a sort for each one.
    fn evict_least_suspected(&mut self) {
        let mut ranked: Vec<(usize, Duration, Fingerprint)> = self
            .subjects
            .iter()
            .map(|(subject, history)| (history.uncleared_crashes(), history.newest_at, *subject))
            .collect();
        ranked.sort_unstable();
        for (_, _, subject) in ranked.into_iter().take(MAX_TRACKED_SUBJECTS / 8) {
            self.subjects.remove(&subject);
        }
    }

    fn index_crashes(&mut self) {
        self.present.clear();
        for (subject, history) in &self.subjects {
            for incarnation in history.crashes.keys() {
                let present = self.present.entry(*incarnation).or_default();
                present.push(*subject);
            }
        }
    }
}

/// A crash on trial that only something in a request can have caused.
#[derive(Debug)]
struct Proof {
    /// The likely causes, all of them in the request.
    causes: Vec<Fingerprint>,
    newest_at: Duration,
    /// The number of crashes on trial.
    trials: usize,
}

impl Proof {
    /// Returns when a request with the same parts may be tried again.
    fn next_trial(&self, request: Fingerprint) -> Duration {
        let steps = u32::try_from(self.trials.saturating_sub(1)).unwrap_or(MAX_RETRIAL_STEPS);
        let factor = RETRIAL_INTERVAL_FACTOR.pow(steps.min(MAX_RETRIAL_STEPS));
        let fraction = (request.0 & 0xffff) as f64 / f64::from(u16::MAX);
        self.newest_at + RETRIAL_INTERVAL * factor + RETRIAL_JITTER.mul_f64(fraction)
    }
}

fn is_retained(history: &CrashHistory, now: Now) -> bool {
    now.monotonic.saturating_sub(history.newest_at) < RECORD_RETENTION
}
