//! State that agents replicate by gossip. Merges are commutative and idempotent, so order,
//! repetition and delay of messages do not matter.

use crate::box_list::BoxList;
use crate::change::{ChangeEntry, Generation, SignedEntry, supersedes};
use crate::claim::view::{Member, ShardId, View};
use crate::clock::{Now, WallTime};
use crate::crash_ledger::{CrashLedger, CrashRecord};
use crate::evidence::{Evidence, Suspension};
use crate::name::VersionName;
use crate::wire::message::{NewerState, StateSummary};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of evidence cells in one summary.
const EVIDENCE_CELLS_PER_MESSAGE: usize = 16;

/// Maximum number of crash records in one summary, and in the initial state for a router.
const CRASH_RECORDS_PER_MESSAGE: usize = 16;

/// An applied entry of the change log with the bundle that it puts in force.
#[derive(Debug, Clone)]
pub struct AppliedEntry {
    /// Signed form of the entry.
    pub signed: SignedEntry,
    /// Verified content of the entry.
    pub entry: ChangeEntry,
    /// Text of the bundle in force.
    pub bundle: Option<String>,
}

/// State that an agent received from the store and from its peers.
#[derive(Debug, Default)]
pub struct GossipState {
    applied: Option<AppliedEntry>,
    list: Option<BoxList>,
    views: BTreeMap<ShardId, View>,
    suspensions: BTreeMap<VersionName, Suspension>,
    /// Counts reported by all routers.
    pub evidence: Evidence,
    /// Requests that were running at upstreams that crashed.
    pub crashes: CrashLedger,
    last_store_contact: Option<Duration>,
}

impl GossipState {
    /// Returns the newest applied entry.
    pub fn applied(&self) -> Option<&AppliedEntry> {
        self.applied.as_ref()
    }

    /// Returns the generation of the newest applied entry.
    pub fn generation(&self) -> Generation {
        self.applied
            .as_ref()
            .map_or(Generation(0), |applied| applied.entry.generation)
    }

    /// Applies a verified entry if it supersedes the current one. Returns whether it did.
    pub fn apply_entry(&mut self, new: AppliedEntry) -> bool {
        let current = self.applied.as_ref().map(|applied| &applied.entry);
        if !supersedes(&new.entry, current) {
            return false;
        }
        self.applied = Some(new);
        true
    }

    /// Returns the live list.
    pub fn list(&self) -> Option<&BoxList> {
        self.list.as_ref()
    }

    /// Replaces the live list if the given one is newer. Returns whether it was.
    pub fn merge_list(&mut self, list: BoxList) -> bool {
        if self
            .list
            .as_ref()
            .is_some_and(|current| current.revision >= list.revision)
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

    /// Replaces a shard's view if the given one is newer. Returns whether it was.
    pub fn merge_view(&mut self, view: &View) -> bool {
        if self
            .views
            .get(&view.shard)
            .is_some_and(|current| current.epoch >= view.epoch)
        {
            return false;
        }
        self.views.insert(view.shard.clone(), view.clone());
        true
    }

    /// Merges a suspension; of several for a version the one of the highest generation is kept.
    /// Returns whether it is new.
    pub fn merge_suspension(&mut self, suspension: Suspension) -> bool {
        let current = self.suspensions.get(&suspension.version);
        if current.is_some_and(|current| current.generation >= suspension.generation) {
            return false;
        }
        self.suspensions
            .insert(suspension.version.clone(), suspension);
        true
    }

    /// Returns all known suspensions, including lifted ones.
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

    /// Returns the generation of the newest lift of each version's suspension by operators.
    pub fn lifted(&self) -> BTreeMap<VersionName, Generation> {
        let applied = self.applied.as_ref();
        applied.map_or_else(BTreeMap::new, |applied| applied.entry.state.lifted.clone())
    }

    /// Records that the store responded to a call that was sent at `sent`, which may have been long
    /// before this process read the response.
    pub fn record_store_contact(&mut self, sent: Now) {
        self.record_contact_at(sent.monotonic);
    }

    /// Records how long before its answer to a call that was sent at `sent` a peer knew of a
    /// response of the store.
    ///
    /// The age counts from the call and not from the arrival of the answer: this process may have
    /// stood still meanwhile.
    pub fn record_peer_store_age(&mut self, sent: Now, age: Duration) {
        if let Some(at) = sent.monotonic.checked_sub(age) {
            self.record_contact_at(at);
        }
    }

    fn record_contact_at(&mut self, at: Duration) {
        self.last_store_contact = self.last_store_contact.max(Some(at));
    }

    /// Returns the time since the last known response of the store.
    pub fn store_age(&self, now: Now) -> Option<Duration> {
        self.last_store_contact
            .map(|contact| now.monotonic.saturating_sub(contact))
    }

    /// Summarises the state for one peer. `evidence_after` is the position up to which the peer has
    /// the evidence; the new position is returned with the summary.
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

    /// Returns the crash records for peers and routers.
    pub fn crash_records(&self, now: Now) -> Vec<CrashRecord> {
        self.crashes.top_records(CRASH_RECORDS_PER_MESSAGE, now)
    }

    /// Returns the state that is newer here than in a peer's summary.
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

    /// Returns whether a peer's summary differs from this state in anything that may be newer
    /// there.
    pub fn is_behind(&self, theirs: &StateSummary) -> bool {
        theirs.generation > self.generation()
            || theirs.list_revision > self.list.as_ref().map_or(0, |list| list.revision)
            || theirs.views_digest != digest(&self.views)
            || theirs.suspensions_digest != digest(&self.suspensions)
    }

    /// Suspends a version at the current generation. Returns none if it is already suspended.
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
        if in_force.iter().any(|current| current.version == *version) {
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
