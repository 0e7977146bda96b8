//! Tracks which requests crash the upstreams that run them.
//!
//! A crash ends all requests that run at an upstream, so each of them is a suspect and none is
//! proved to be the cause. A request that ran at three crashes is sent once more as a trial, at one
//! upstream at a time in the whole fleet. If that upstream crashes too, the request is quarantined;
//! if the request is answered, it is cleared of all crashes so far. Boxes exchange their records
//! and merge them as sets, so the order and the number of messages do not matter. See
//! `docs/design/quarantine.md`.

use crate::clock::{Now, millis};
use crate::fingerprint::Fingerprint;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::time::Duration;

/// Number of crashes at which a request becomes a suspect.
pub const SUSPECT_CRASHES: usize = 3;
/// How long a trial blocks other sends of the same request.
const TRIAL_DURATION: Duration = Duration::from_secs(3);
/// How long a request is tracked after its newest crash. Its upstreams may have been fixed or
/// replaced by then.
const RECORD_RETENTION: Duration = Duration::from_secs(600);
/// Upper bound of the number of tracked requests.
pub const MAX_TRACKED_REQUESTS: usize = 4096;
/// Upper bound of the number of crashes that are tracked for one request.
const MAX_CRASHES_PER_REQUEST: usize = 16;

/// Hash that identifies an incarnation of an upstream in messages between boxes.
pub type IncarnationHash = u32;

/// A request's role in one crash.
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

/// The known crashes of one request, as exchanged between boxes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub request: Fingerprint,
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
}

impl QuarantineState {
    /// Returns the log message for a request that has entered this state.
    pub fn describe(self) -> &'static str {
        match self {
            Self::Clear => "the request is no longer suspected of crashing upstreams",
            Self::Suspect => "the request ran at three crashes, it will be sent once as a trial",
            Self::OnTrial(_) => "a trial of a request that ran at three crashes is in progress",
            Self::Quarantined => "the request crashes its upstreams, it is quarantined",
        }
    }
}

/// The requests that ran at upstreams when those crashed, and the trials in progress.
#[derive(Debug, Default)]
pub struct CrashLedger {
    requests: HashMap<Fingerprint, CrashHistory>,
    /// When each trial stops blocking other sends of its request.
    trials: HashMap<Fingerprint, Duration>,
}

/// The crashes at which one request ran.
#[derive(Debug, Clone, Default)]
struct CrashHistory {
    crashes: BTreeMap<IncarnationHash, CrashRole>,
    newest_at: Duration,
}

impl CrashHistory {
    /// Returns the number of crashes that the request may have caused.
    fn uncleared_crashes(&self) -> usize {
        let counted = self
            .crashes
            .values()
            .filter(|role| **role != CrashRole::Cleared);
        counted.count()
    }

    /// Adds a crash, or raises the role in a known one; returns whether anything changed.
    fn add(&mut self, incarnation: IncarnationHash, role: CrashRole) -> bool {
        if self.crashes.len() >= MAX_CRASHES_PER_REQUEST && !self.crashes.contains_key(&incarnation)
        {
            return false;
        }
        let known = self.crashes.get(&incarnation).copied();
        let is_new = known < Some(role);
        if is_new {
            self.crashes.insert(incarnation, role);
        }
        is_new
    }

    fn record(&self, request: Fingerprint, now: Now) -> CrashRecord {
        CrashRecord {
            request,
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
    /// Records that a request ran at an upstream when that crashed; returns the record for other
    /// boxes.
    pub fn add_crash(
        &mut self,
        incarnation: IncarnationHash,
        request: Fingerprint,
        role: CrashRole,
        now: Now,
    ) -> CrashRecord {
        self.make_room(now);
        let history = self.requests.entry(request).or_default();
        history.add(incarnation, role);
        history.newest_at = now.monotonic;
        history.record(request, now)
    }

    /// Records that a request was answered completely; returns the record for other boxes if the
    /// request was suspected of any crash.
    pub fn add_answer(&mut self, request: Fingerprint, now: Now) -> Option<CrashRecord> {
        self.trials.remove(&request);
        let history = self.requests.get_mut(&request)?;
        if history.uncleared_crashes() == 0 {
            return None;
        }
        for role in history.crashes.values_mut() {
            *role = CrashRole::Cleared;
        }
        Some(history.record(request, now))
    }

    /// Merges another box's record of a request; returns whether any of it was new.
    pub fn merge_record(&mut self, record: &CrashRecord, now: Now) -> bool {
        let age = Duration::from_millis(record.age_ms);
        if age >= RECORD_RETENTION {
            return false;
        }
        self.make_room(now);
        let history = self.requests.entry(record.request).or_default();
        let mut is_new = false;
        for (incarnation, role) in &record.crashes {
            is_new |= history.add(*incarnation, *role);
        }
        let newest_at = now.monotonic.saturating_sub(age);
        history.newest_at = history.newest_at.max(newest_at);
        if history.uncleared_crashes() == 0 {
            self.trials.remove(&record.request);
        }
        is_new
    }

    /// Records that a trial of a request starts now, here or at another box.
    pub fn begin_trial(&mut self, request: Fingerprint, now: Now) {
        self.trials.insert(request, now.monotonic + TRIAL_DURATION);
    }

    /// Records that a trial ended without a result.
    pub fn end_trial(&mut self, request: Fingerprint) {
        self.trials.remove(&request);
    }

    /// Returns whether a request may be sent.
    pub fn quarantine_state(&self, request: Fingerprint, now: Now) -> QuarantineState {
        let known = self.requests.get(&request);
        let Some(history) = known.filter(|history| is_retained(history, now)) else {
            return QuarantineState::Clear;
        };
        if history.uncleared_crashes() < SUSPECT_CRASHES {
            return QuarantineState::Clear;
        }
        if history.uncleared_crashes() > SUSPECT_CRASHES
            && self.is_proved_by_trial(request, history)
        {
            return QuarantineState::Quarantined;
        }
        let left = self
            .trials
            .get(&request)
            .map(|until| until.saturating_sub(now.monotonic));
        match left {
            Some(left) if !left.is_zero() => QuarantineState::OnTrial(left),
            _ => QuarantineState::Suspect,
        }
    }

    /// Tells whether an upstream crashed at which only this request was on trial. If two were on
    /// trial at the same upstream, either may have caused the crash.
    fn is_proved_by_trial(&self, request: Fingerprint, history: &CrashHistory) -> bool {
        let mut trials = history
            .crashes
            .iter()
            .filter(|(_, role)| **role == CrashRole::OnTrial);
        trials.any(|(incarnation, _)| {
            let is_other = |(other, known): (&Fingerprint, &CrashHistory)| {
                *other != request && known.crashes.get(incarnation) == Some(&CrashRole::OnTrial)
            };
            !self.requests.iter().any(is_other)
        })
    }

    /// Returns the records that have to reach every box: those of requests that are suspects, or
    /// were until they were cleared.
    pub fn records_for_all_boxes(&self, now: Now) -> Vec<CrashRecord> {
        let shared = self.requests.iter().filter(|(_, history)| {
            history.crashes.len() >= SUSPECT_CRASHES && is_retained(history, now)
        });
        let mut records: Vec<CrashRecord> = shared
            .map(|(request, history)| history.record(*request, now))
            .collect();
        records.sort_by_key(|record| record.request);
        records
    }

    /// Returns at most `limit` records: those of suspects first, then those with the newest
    /// crashes.
    pub fn top_records(&self, limit: usize, now: Now) -> Vec<CrashRecord> {
        let known = self.requests.iter();
        let mut ranked: Vec<(&Fingerprint, &CrashHistory)> = known
            .filter(|(_, history)| is_retained(history, now))
            .collect();
        ranked.sort_by_key(|(request, history)| {
            let is_suspect = history.crashes.len() >= SUSPECT_CRASHES;
            (Reverse(is_suspect), Reverse(history.newest_at), **request)
        });
        let top = ranked.into_iter().take(limit);
        top.map(|(request, history)| history.record(*request, now))
            .collect()
    }

    /// Returns the number of tracked requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Tells whether no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Makes room for one more request: evicts expired ones, then those with the fewest uncleared
    /// crashes, the oldest of these first.
    fn make_room(&mut self, now: Now) {
        if self.requests.len() < MAX_TRACKED_REQUESTS {
            return;
        }
        self.requests.retain(|_, history| is_retained(history, now));
        self.trials.retain(|_, until| *until > now.monotonic);
        if self.requests.len() < MAX_TRACKED_REQUESTS {
            return;
        }
        let mut ranked: Vec<(usize, Duration, Fingerprint)> = self
            .requests
            .iter()
            .map(|(request, history)| (history.uncleared_crashes(), history.newest_at, *request))
            .collect();
        ranked.sort_unstable();
        // Evicts an eighth at once, so that a flood of requests does not cause a sort for each one.
        for (_, _, request) in ranked.into_iter().take(MAX_TRACKED_REQUESTS / 8) {
            self.requests.remove(&request);
        }
    }
}

fn is_retained(history: &CrashHistory, now: Now) -> bool {
    now.monotonic.saturating_sub(history.newest_at) < RECORD_RETENTION
}
