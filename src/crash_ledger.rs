//! Which requests crash the upstreams that run them.
//!
//! A crash ends all that runs at an upstream, so each request there is a suspect and none is
//! proved guilty. A request that was at three crashes is tried once more, at one upstream at a time
//! in the whole fleet. If that crashes too, the request is quarantined; if the request is answered
//! it is cleared of all crashes so far. Boxes tell each other what they saw, and merge it as sets,
//! so the order and the number of messages do not matter. See `docs/design/quarantine.md`.

use crate::clock::{Now, millis};
use crate::fingerprint::Fingerprint;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::time::Duration;

/// The crashes after which a request is a suspect.
pub const SUSPECT_CRASHES: usize = 3;
/// How long a trial keeps other sends of the same request away.
const TRIAL_TIME: Duration = Duration::from_secs(3);
/// How long after its newest crash a request is remembered. Its upstreams may have been mended or
/// replaced by then.
const REMEMBERED_FOR: Duration = Duration::from_secs(600);
/// The most requests that are remembered.
pub const MAX_TRACKED_REQUESTS: usize = 4096;
/// The most crashes that are remembered of one request.
const MOST_CRASHES: usize = 16;

/// One life of an upstream, by the hash that boxes name it by to each other.
pub type IncarnationHash = u32;

/// A request's part in one crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashRole {
    /// It ran beside others.
    Concurrent,
    /// It was on trial there.
    OnTrial,
    /// It has been answered since, at another upstream.
    Cleared,
}

/// What is known of one request's crashes, as boxes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub request: Fingerprint,
    /// Its part in each crash, by the life of the upstream that ended.
    pub crashes: Vec<(IncarnationHash, CrashRole)>,
    /// How many milliseconds ago the newest crash was.
    pub age_ms: u64,
}

/// What a connection to an upstream tells after runs there broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashCheckResult {
    /// The address refuses connections, so the process is gone.
    Crashed,
    /// It takes connections: only connections were lost.
    Alive,
    /// Nothing answers, as behind a cut.
    Unreachable,
}

impl CrashCheckResult {
    /// Tells what the outcome of opening a connection means.
    pub fn from_connect_result<T>(opened: &io::Result<T>) -> Self {
        match opened {
            Ok(_) => Self::Alive,
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => Self::Crashed,
            Err(_) => Self::Unreachable,
        }
    }
}

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// It may be sent like any other.
    Clear,
    /// It may be sent once, with nothing else of its kind under way.
    Suspect,
    /// It is on trial elsewhere for at most so long.
    OnTrial(Duration),
    /// It may not be sent.
    Quarantined,
}

impl QuarantineState {
    /// Says for the log what may be done with a request.
    pub fn describe(self) -> &'static str {
        match self {
            Self::Clear => "a request is suspected of no crash any more",
            Self::Suspect => "a request was at three crashes, it will be tried alone",
            Self::OnTrial(_) => "a request that was at three crashes is on trial",
            Self::Quarantined => "a request crashes its upstreams, it is quarantined",
        }
    }
}

/// The requests that were at crashes.
#[derive(Debug, Default)]
pub struct CrashLedger {
    requests: HashMap<Fingerprint, Suspect>,
    trials: HashMap<Fingerprint, Duration>,
}

#[derive(Debug, Clone, Default)]
struct Suspect {
    crashes: BTreeMap<IncarnationHash, CrashRole>,
    newest: Duration,
}

impl Suspect {
    /// Returns the number of crashes for which the request may be the cause.
    fn count(&self) -> usize {
        let counted = self
            .crashes
            .values()
            .filter(|part| **part != CrashRole::Cleared);
        counted.count()
    }

    /// Adds a part; the later of two parts in the same crash holds.
    fn add(&mut self, life: IncarnationHash, part: CrashRole) -> bool {
        if self.crashes.len() >= MOST_CRASHES && !self.crashes.contains_key(&life) {
            return false;
        }
        let known = self.crashes.get(&life).copied();
        let is_new = known < Some(part);
        if is_new {
            self.crashes.insert(life, part);
        }
        is_new
    }

    fn record(&self, request: Fingerprint, now: Now) -> CrashRecord {
        CrashRecord {
            request,
            crashes: self
                .crashes
                .iter()
                .map(|(life, part)| (*life, *part))
                .collect(),
            age_ms: millis(now.monotonic.saturating_sub(self.newest)),
        }
    }
}

impl CrashLedger {
    /// Records a request that ran at an upstream when that crashed; returns what is to be told.
    pub fn add_crash(
        &mut self,
        life: IncarnationHash,
        request: Fingerprint,
        part: CrashRole,
        now: Now,
    ) -> CrashRecord {
        self.make_room(now);
        let suspect = self.requests.entry(request).or_default();
        suspect.add(life, part);
        suspect.newest = now.monotonic;
        suspect.record(request, now)
    }

    /// Records that a request was answered whole; returns what is to be told, if it was at crashes.
    pub fn add_answer(&mut self, request: Fingerprint, now: Now) -> Option<CrashRecord> {
        self.trials.remove(&request);
        let suspect = self.requests.get_mut(&request)?;
        if suspect.count() == 0 {
            return None;
        }
        for part in suspect.crashes.values_mut() {
            *part = CrashRole::Cleared;
        }
        Some(suspect.record(request, now))
    }

    /// Takes what another box knows of a request; tells whether any of it was new.
    pub fn merge_record(&mut self, record: &CrashRecord, now: Now) -> bool {
        let age = Duration::from_millis(record.age_ms);
        if age >= REMEMBERED_FOR {
            return false;
        }
        self.make_room(now);
        let suspect = self.requests.entry(record.request).or_default();
        let mut is_new = false;
        for (life, part) in &record.crashes {
            is_new |= suspect.add(*life, *part);
        }
        let newest = now.monotonic.saturating_sub(age);
        suspect.newest = suspect.newest.max(newest);
        if suspect.count() == 0 {
            self.trials.remove(&record.request);
        }
        is_new
    }

    /// Records that a request is on trial from now on, here or at another box.
    pub fn begin_trial(&mut self, request: Fingerprint, now: Now) {
        self.trials.insert(request, now.monotonic + TRIAL_TIME);
    }

    /// Records that a trial ended without telling anything.
    pub fn end_trial(&mut self, request: Fingerprint) {
        self.trials.remove(&request);
    }

    /// Returns what may be done with a request.
    pub fn quarantine_state(&self, request: Fingerprint, now: Now) -> QuarantineState {
        let known = self.requests.get(&request);
        let Some(suspect) = known.filter(|suspect| is_remembered(suspect, now)) else {
            return QuarantineState::Clear;
        };
        if suspect.count() < SUSPECT_CRASHES {
            return QuarantineState::Clear;
        }
        if suspect.count() > SUSPECT_CRASHES && self.failed_alone(request, suspect) {
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

    /// Tells whether an upstream crashed at which this request alone was on trial. Of two on trial
    /// at the same upstream, either may have crashed it.
    fn failed_alone(&self, request: Fingerprint, suspect: &Suspect) -> bool {
        let mut trials = suspect
            .crashes
            .iter()
            .filter(|(_, part)| **part == CrashRole::OnTrial);
        trials.any(|(life, _)| {
            let is_other = |(other, known): (&Fingerprint, &Suspect)| {
                *other != request && known.crashes.get(life) == Some(&CrashRole::OnTrial)
            };
            !self.requests.iter().any(is_other)
        })
    }

    /// Returns what has to reach every box: the requests that are suspects or were cleared of it.
    pub fn records_for_all_boxes(&self, now: Now) -> Vec<CrashRecord> {
        let told = self.requests.iter().filter(|(_, suspect)| {
            suspect.crashes.len() >= SUSPECT_CRASHES && is_remembered(suspect, now)
        });
        let mut told: Vec<CrashRecord> = told
            .map(|(request, suspect)| suspect.record(*request, now))
            .collect();
        told.sort_by_key(|record| record.request);
        told
    }

    /// Returns at most so many records: suspects first, then those of the newest crashes.
    pub fn top_records(&self, most: usize, now: Now) -> Vec<CrashRecord> {
        let known = self.requests.iter();
        let mut told: Vec<(&Fingerprint, &Suspect)> = known
            .filter(|(_, suspect)| is_remembered(suspect, now))
            .collect();
        told.sort_by_key(|(request, suspect)| {
            let is_suspect = suspect.crashes.len() >= SUSPECT_CRASHES;
            (Reverse(is_suspect), Reverse(suspect.newest), **request)
        });
        let told = told.into_iter().take(most);
        told.map(|(request, suspect)| suspect.record(*request, now))
            .collect()
    }

    /// Returns the number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Tells whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Keeps room for one more request: old ones go, then those that were at the fewest crashes,
    /// of these the oldest.
    fn make_room(&mut self, now: Now) {
        if self.requests.len() < MAX_TRACKED_REQUESTS {
            return;
        }
        self.requests
            .retain(|_, suspect| is_remembered(suspect, now));
        self.trials.retain(|_, until| *until > now.monotonic);
        if self.requests.len() < MAX_TRACKED_REQUESTS {
            return;
        }
        let mut ranked: Vec<(usize, Duration, Fingerprint)> = self
            .requests
            .iter()
            .map(|(request, suspect)| (suspect.count(), suspect.newest, *request))
            .collect();
        ranked.sort_unstable();
        // An eighth at a time, so that a flood does not sort them for each request.
        for (_, _, request) in ranked.into_iter().take(MAX_TRACKED_REQUESTS / 8) {
            self.requests.remove(&request);
        }
    }
}

fn is_remembered(suspect: &Suspect, now: Now) -> bool {
    now.monotonic.saturating_sub(suspect.newest) < REMEMBERED_FOR
}
