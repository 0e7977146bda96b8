//! What an agent has heard, merged so that order, repetition and delay do not matter.

use crate::change::{ChangeEntry, Generation, SignedEntry, supersedes};
use crate::claim::view::{Member, ShardId, View};
use crate::clock::{Now, WallTime};
use crate::crash_ledger::{CrashLedger, CrashRecord};
use crate::evidence::{Evidence, Suspension};
use crate::live::LiveList;
use crate::name::VersionName;
use crate::wire::message::{NewerState, StateSummary};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// The greatest number of evidence cells in one comparison of two agents.
const EVIDENCE_CELLS_PER_MESSAGE: usize = 16;

/// The greatest number of records of crashes in one comparison, and in what a router is told first.
const CRASH_RECORDS_PER_MESSAGE: usize = 16;

/// The newest entry of the change log, with the bundle that it puts into force.
#[derive(Debug, Clone)]
pub struct Applied {
    /// The entry as it was signed.
    pub signed: SignedEntry,
    /// The entry.
    pub entry: ChangeEntry,
    /// The text of the bundle in force.
    pub bundle: Option<String>,
}

/// What an agent has heard from the store and from its peers.
#[derive(Debug, Default)]
pub struct Shared {
    applied: Option<Applied>,
    list: Option<LiveList>,
    views: BTreeMap<ShardId, View>,
    suspensions: BTreeMap<VersionName, Suspension>,
    /// The counts of all routers.
    pub evidence: Evidence,
    /// The requests that were at crashes of upstreams.
    pub crashes: CrashLedger,
    store_heard: Option<Duration>,
}

impl Shared {
    /// Returns the newest entry.
    pub fn applied(&self) -> Option<&Applied> {
        self.applied.as_ref()
    }

    /// Returns the generation of the newest entry.
    pub fn generation(&self) -> Generation {
        self.applied
            .as_ref()
            .map_or(Generation(0), |applied| applied.entry.generation)
    }

    /// Takes a verified entry if it replaces the present one.
    pub fn apply(&mut self, new: Applied) -> bool {
        let present = self.applied.as_ref().map(|applied| &applied.entry);
        if !supersedes(&new.entry, present) {
            return false;
        }
        self.applied = Some(new);
        true
    }

    /// Returns the live list.
    pub fn list(&self) -> Option<&LiveList> {
        self.list.as_ref()
    }

    /// Takes a list if it is newer.
    pub fn merge_list(&mut self, list: LiveList) -> bool {
        if self
            .list
            .as_ref()
            .is_some_and(|present| present.revision >= list.revision)
        {
            return false;
        }
        self.list = Some(list);
        true
    }

    /// Returns a shard's newest view.
    pub fn view(&self, shard: &ShardId) -> Option<&View> {
        self.views.get(shard)
    }

    /// Returns the newest views of all shards.
    pub fn views(&self) -> impl Iterator<Item = &View> {
        self.views.values()
    }

    /// Takes a view if it is newer.
    pub fn merge_view(&mut self, view: &View) -> bool {
        if self
            .views
            .get(&view.shard)
            .is_some_and(|present| present.epoch >= view.epoch)
        {
            return false;
        }
        self.views.insert(view.shard.clone(), view.clone());
        true
    }

    /// Takes a suspension; the one made at the highest generation counts.
    pub fn merge_suspension(&mut self, suspension: Suspension) -> bool {
        let present = self.suspensions.get(&suspension.version);
        if present.is_some_and(|present| present.generation >= suspension.generation) {
            return false;
        }
        self.suspensions
            .insert(suspension.version.clone(), suspension);
        true
    }

    /// Returns all suspensions heard of, lifted ones too.
    pub fn suspensions(&self) -> Vec<Suspension> {
        self.suspensions.values().cloned().collect()
    }

    /// Returns the suspensions that operators have not lifted.
    pub fn suspensions_in_force(&self) -> Vec<Suspension> {
        let lifted = self.lifted();
        let in_force = |suspension: &&Suspension| {
            let lifted_at = lifted.get(&suspension.version);
            lifted_at.is_none_or(|lifted_at| suspension.generation >= *lifted_at)
        };
        self.suspensions
            .values()
            .filter(in_force)
            .cloned()
            .collect()
    }

    /// Returns the generation at which operators lifted each version's suspension last.
    pub fn lifted(&self) -> BTreeMap<VersionName, Generation> {
        let applied = self.applied.as_ref();
        applied.map_or_else(BTreeMap::new, |applied| applied.entry.state.lifted.clone())
    }

    /// Records that the store answered at a moment.
    pub fn note_store(&mut self, at: Duration) {
        self.store_heard = self.store_heard.max(Some(at));
    }

    /// Returns how long ago the store was heard from.
    pub fn store_age(&self, now: Now) -> Option<Duration> {
        self.store_heard
            .map(|heard| now.monotonic.saturating_sub(heard))
    }

    /// Sums up what is known, for one peer; `evidence_after` is what the peer has.
    pub fn summary(
        &self,
        member: &Member,
        stopping: bool,
        evidence_after: u64,
        now: Now,
    ) -> (StateSummary, u64) {
        let (evidence, next) = self
            .evidence
            .changed_since(evidence_after, EVIDENCE_CELLS_PER_MESSAGE);
        let store_age = self.store_age(now);
        let summary = StateSummary {
            member: member.clone(),
            generation: self.generation(),
            list_revision: self.list.as_ref().map_or(0, |list| list.revision),
            views_digest: digest(&self.views),
            suspensions_digest: digest(&self.suspensions),
            store_age_ms: store_age.and_then(|age| u64::try_from(age.as_millis()).ok()),
            stopping,
            evidence,
            crashes: self.crash_records(now),
        };
        (summary, next)
    }

    /// Returns what others are told of crashes.
    pub fn crash_records(&self, now: Now) -> Vec<CrashRecord> {
        self.crashes.most_telling(CRASH_RECORDS_PER_MESSAGE, now)
    }

    /// Returns what is known here and not to a peer that sent its summary.
    pub fn newer_than(&self, theirs: &StateSummary) -> NewerState {
        let entry = self.applied.as_ref();
        let entry = entry.filter(|applied| applied.entry.generation > theirs.generation);
        let list = self
            .list
            .as_ref()
            .filter(|list| list.revision > theirs.list_revision);
        let views_differ = digest(&self.views) != theirs.views_digest;
        let suspensions_differ = digest(&self.suspensions) != theirs.suspensions_digest;
        NewerState {
            summary: None,
            entry: entry.map(|applied| applied.signed.clone()),
            list: list.cloned(),
            views: if views_differ {
                self.views.values().cloned().collect()
            } else {
                Vec::new()
            },
            suspensions: if suspensions_differ {
                self.suspensions()
            } else {
                Vec::new()
            },
        }
    }

    /// Tells whether a peer's summary speaks of something that is not known here.
    pub fn is_behind(&self, theirs: &StateSummary) -> bool {
        theirs.generation > self.generation()
            || theirs.list_revision > self.list.as_ref().map_or(0, |list| list.revision)
            || theirs.views_digest != digest(&self.views)
            || theirs.suspensions_digest != digest(&self.suspensions)
    }

    /// Makes a suspension at the present generation.
    pub fn suspend(
        &mut self,
        version: &VersionName,
        decided_by: &str,
        reason: String,
        at: WallTime,
    ) -> Option<Suspension> {
        let suspension = Suspension {
            version: version.clone(),
            generation: self.generation(),
            decided_by: decided_by.to_owned(),
            at,
            reason,
        };
        let in_force = self.suspensions_in_force();
        if in_force.iter().any(|present| present.version == *version) {
            return None;
        }
        self.merge_suspension(suspension.clone())
            .then_some(suspension)
    }
}

fn digest<K: Serialize, V: Serialize>(map: &BTreeMap<K, V>) -> u64 {
    let bytes = crate::wire::encode(map).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
