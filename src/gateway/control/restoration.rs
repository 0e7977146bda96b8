//! What a box still holds on to while operators, upstreams and boxes write again what a restored
//! store has lost.
//!
//! A store that was restored from a copy some seconds old lacks the newest changes, until their
//! authors write them again. Until then, older items must not undo what the box already knows. See
//! `docs/design/restored-store.md`.

use super::revision::{EpochRevision, epoch_of};
use super::store::Update;
use crate::clock::Now;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long after a restoration older items do not undo what the box knows. Upstreams write their
/// entries every one to two seconds.
const REWRITE_TIME: Duration = Duration::from_secs(5);

/// What an update is about: the kind of item, and its name.
type Subject = (&'static str, String);

/// The newest restoration of the store, and the updates that wait for its lost changes to be written
/// again.
#[derive(Debug, Default)]
pub struct Restoration {
    epoch: Option<u64>,
    newest: Option<RestorationStart>,
    deferred: BTreeMap<Subject, Update>,
}

#[derive(Debug, Clone, Copy)]
struct RestorationStart {
    /// When the box learned of the restoration.
    at: Duration,
    /// The revision of the restored store that the box learned of first.
    revision: EpochRevision,
}

impl Restoration {
    /// Records a revision that was received, and returns whether it shows that the store has been
    /// restored since the last one. Data without a revision, 0, shows nothing.
    pub fn observe(&mut self, revision: u64, now: Now) -> bool {
        if revision == 0 {
            return false;
        }
        let epoch = epoch_of(revision);
        let is_new = self.epoch.is_some_and(|known| epoch > known);
        if is_new {
            let revision = EpochRevision::from_qualified(revision);
            let EpochRevision {
                epoch,
                revision: raw,
            } = revision;
            log::warn!(epoch, revision = raw; "the store was restored, keeping what it may lack");
            self.newest = Some(RestorationStart {
                at: now.monotonic,
                revision,
            });
        }
        self.epoch = self.epoch.max(Some(epoch));
        is_new
    }

    /// Returns whether lost changes may still have to be written again.
    pub fn is_active(&self, now: Now) -> bool {
        self.newest
            .is_some_and(|newest| now.monotonic.saturating_sub(newest.at) < REWRITE_TIME)
    }

    /// Returns whether the restoration precedes the revision of an item, which is then certainly
    /// not an older state.
    pub fn precedes(&self, revision: u64) -> bool {
        let revision = EpochRevision::from_qualified(revision);
        self.newest.is_some_and(|newest| revision > newest.revision)
    }

    /// Keeps an update until lost changes are written again; it replaces an earlier one about the
    /// same subject.
    pub fn defer(&mut self, update: Update) {
        if let Some(subject) = subject(&update) {
            log::info!(kind = subject.0, name = subject.1.as_str(); "the restored store has an older state, deferring it");
            self.deferred.insert(subject, update);
        }
    }

    /// Drops the deferred update about the subject of a newer one.
    pub fn cancel_deferred(&mut self, update: &Update) {
        if let Some(subject) = subject(update) {
            self.deferred.remove(&subject);
        }
    }

    /// Returns the deferred updates once lost changes are no longer expected.
    pub fn take_due(&mut self, now: Now) -> Vec<Update> {
        match self.is_active(now) {
            true => Vec::new(),
            false => std::mem::take(&mut self.deferred).into_values().collect(),
        }
    }
}

/// Returns what an update is about, if it can be deferred.
fn subject(update: &Update) -> Option<Subject> {
    match update {
        Update::Upstream(listed) => Some(("upstream", listed.instance.clone())),
        Update::UpstreamGone(instance) | Update::UpstreamFaulty { instance, .. } => {
            Some(("upstream", instance.clone()))
        }
        Update::RolloutOrdered(order) => Some(("order", order.service.clone())),
        Update::RolloutCancelled(service) => Some(("order", service.clone())),
        Update::HallEvacuated(hall) | Update::HallReturned(hall) => Some(("hall", hall.clone())),
        Update::Box(entry) => Some(("box", entry.name.clone())),
        Update::BoxGone(name) => Some(("box", name.clone())),
        Update::Routes(_)
        | Update::RolloutRecorded(..)
        | Update::RolloutRecordGone(_)
        | Update::LimitRecorded(..)
        | Update::LimitRecordGone(_)
        | Update::Faulty { .. } => None,
    }
}
