//! A mirror of the store's items, from which other boxes are served.
//!
//! Deleted items are kept as tombstones, so that a box that is behind learns of the deletion.
//! Earlier states of large items are kept as well, so that a box that has one of them only needs a
//! delta. See `docs/design/spreading.md`.

use super::store::Item;
use crate::gateway::peers::packing::{COMPRESSION_MIN_BYTES, PackedItem, UnpackError};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// The most tombstones kept; the oldest are removed first. A box that is behind these gets a full
/// snapshot.
const MAX_TOMBSTONES: usize = 1024;

/// The most earlier states kept of a large item. Boxes are usually one change behind; three states
/// cover changes in quick succession and take at most 3 MB of memory.
const MAX_PREVIOUS_STATES: usize = 3;

/// The mirrored items by key.
#[derive(Debug, Default)]
pub struct Mirror {
    items: BTreeMap<String, Item>,
    /// The items' keys by revision. A hub of 300 boxes is polled 750 times a second for the few new
    /// items among some thousand.
    by_revision: BTreeSet<(u64, String)>,
    revision: u64,
    /// The newest revision of a pruned tombstone. Boxes behind it need a full snapshot.
    pruned_revision: u64,
    /// Earlier states of large items by key, the oldest first.
    previous: HashMap<String, Vec<Item>>,
    /// Packed values of the current large items, by key and by the revision of the receiver's
    /// state.
    packed: HashMap<(String, Option<u64>), PackedItem>,
    /// Large items as they were received, by key, until they are applied. They are passed on as
    /// they are.
    received: HashMap<String, PackedItem>,
    /// How many large items this mirror has packed.
    packing_count: u64,
}

/// Packed items that bring a box from one revision to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PackedChanges {
    /// The receiver must have reached this revision, unless this is a snapshot.
    pub after: u64,
    /// The revision that these items lead to.
    pub revision: u64,
    /// Whether these are all existing items, so that any other item is deleted.
    pub is_snapshot: bool,
    /// The items.
    pub items: Vec<PackedItem>,
}

impl PackedChanges {
    /// Returns the size of the items in bytes.
    pub fn len(&self) -> usize {
        self.items.iter().map(PackedItem::len).sum()
    }

    /// Returns whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Drops the largest items until the others take at most `max_bytes`, and returns the highest
    /// revision among the dropped ones.
    pub fn drop_largest_beyond(&mut self, max_bytes: usize) -> Option<u64> {
        self.items.sort_by_key(PackedItem::len);
        let mut len = self.len();
        let mut dropped = None;
        while len > max_bytes {
            let largest = self.items.pop()?;
            len -= largest.len();
            dropped = dropped.max(Some(largest.revision));
        }
        dropped
    }
}

/// Items that bring a box from one revision to another.
#[derive(Debug, Clone)]
pub struct Changes {
    /// The receiver must have reached this revision, unless this is a snapshot.
    pub after: u64,
    /// The revision that these items lead to.
    pub revision: u64,
    /// Whether these are all existing items, so that any other item is deleted.
    pub is_snapshot: bool,
    /// The items.
    pub items: Vec<Item>,
}

impl Mirror {
    /// Applies items and returns those that are newer than the mirrored ones.
    pub fn apply(&mut self, items: Vec<Item>, revision: u64) -> Vec<Item> {
        let mut new_items = Vec::new();
        for item in items {
            let known = self.items.get(&item.key);
            if known.is_none_or(|known| known.revision < item.revision) {
                self.by_revision.insert((item.revision, item.key.clone()));
                if let Some(replaced) = self.items.insert(item.key.clone(), item.clone()) {
                    self.by_revision
                        .remove(&(replaced.revision, replaced.key.clone()));
                    self.keep_previous(replaced);
                }
                self.keep_received(&item);
                new_items.push(item);
            }
        }
        self.revision = self.revision.max(revision);
        self.prune_tombstones();
        new_items
    }

    /// Applies the complete contents of the store at a revision; items that are absent are deleted.
    pub fn apply_snapshot(&mut self, items: Vec<Item>, revision: u64) -> Vec<Item> {
        let present: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let deleted: Vec<Item> = self
            .items
            .values()
            .filter(|known| !known.is_deleted() && known.revision <= revision)
            .filter(|known| !present.contains(known.key.as_str()))
            .map(|known| Item::deleted(&known.key, revision))
            .collect();
        let mut new_items = self.apply(items, revision);
        new_items.extend(self.apply(deleted, revision));
        new_items
    }

    fn keep_previous(&mut self, replaced: Item) {
        self.packed.retain(|(key, _), _| *key != replaced.key);
        if !is_large(&replaced) {
            return;
        }
        let previous = self.previous.entry(replaced.key.clone()).or_default();
        previous.push(replaced);
        if previous.len() > MAX_PREVIOUS_STATES {
            previous.remove(0);
        }
    }

    /// Keeps an item that was just applied in the form in which it was received, for boxes that have
    /// the same earlier state.
    fn keep_received(&mut self, applied: &Item) {
        let received = self.received.remove(&applied.key);
        if let Some(received) = received.filter(|received| received.revision == applied.revision) {
            let base = received.base();
            self.packed.insert((applied.key.clone(), base), received);
        }
    }

    fn prune_tombstones(&mut self) {
        let mut deleted: Vec<(u64, String)> = self
            .items
            .values()
            .filter(|item| item.is_deleted())
            .map(|item| (item.revision, item.key.clone()))
            .collect();
        if deleted.len() <= MAX_TOMBSTONES {
            return;
        }
        deleted.sort_unstable();
        let surplus = deleted.len() - MAX_TOMBSTONES / 2;
        for (revision, key) in deleted.into_iter().take(surplus) {
            self.items.remove(&key);
            self.by_revision.remove(&(revision, key));
            self.pruned_revision = self.pruned_revision.max(revision);
        }
    }

    /// Returns the revision that this mirror has reached.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns how many large items were packed so far. Packing a megabyte occupies an eighth of a
    /// core for a tenth of a second, in which the box does nothing else.
    pub fn packing_count(&self) -> u64 {
        self.packing_count
    }

    /// Returns the changes that bring a box from revision `after` to this mirror's revision.
    ///
    /// With `full_values`, no deltas are sent; a box asks for this after it failed to apply a
    /// delta.
    pub fn changes_after(&mut self, after: u64, full_values: bool) -> PackedChanges {
        let is_snapshot = after < self.pruned_revision || after == 0;
        let newer = (after.saturating_add(1), String::new())..;
        let wanted: Vec<&Item> = match is_snapshot {
            true => self
                .items
                .values()
                .filter(|item| !item.is_deleted())
                .collect(),
            false => self
                .by_revision
                .range(newer)
                .filter_map(|(_, key)| self.items.get(key))
                .collect(),
        };
        let mut items = Vec::with_capacity(wanted.len());
        for item in wanted {
            if !is_large(item) {
                items.push(PackedItem::pack(item, None));
                continue;
            }
            let previous = self.previous.get(&item.key).map_or(&[][..], Vec::as_slice);
            let base = match is_snapshot || full_values {
                true => None,
                false => state_at(previous, after),
            };
            let packing_count = &mut self.packing_count;
            let packed = self
                .packed
                .entry((item.key.clone(), base.map(|base| base.revision)))
                .or_insert_with(|| {
                    *packing_count += 1;
                    PackedItem::pack(item, base)
                });
            items.push(packed.clone());
        }
        PackedChanges {
            after,
            revision: self.revision,
            is_snapshot,
            items,
        }
    }

    /// Unpacks changes from another box; fails if one item is unusable.
    ///
    /// Large items are remembered as they are, so that this box need not pack them again for the
    /// next one.
    pub fn unpack(&mut self, packed: PackedChanges) -> Result<Changes, UnpackError> {
        let mut items = Vec::with_capacity(packed.items.len());
        for item in packed.items {
            match self.items.get(&item.key) {
                // The delta may be based on a state that this box no longer has.
                Some(known) if known.revision >= item.revision => items.push(known.clone()),
                known => {
                    let received = item.is_compressed().then(|| item.clone());
                    items.push(item.unpack(known)?);
                    if let Some(received) = received {
                        self.received.insert(received.key.clone(), received);
                    }
                }
            }
        }
        Ok(Changes {
            after: packed.after,
            revision: packed.revision,
            is_snapshot: packed.is_snapshot,
            items,
        })
    }
}

fn is_large(item: &Item) -> bool {
    let len = item.value.as_ref().map_or(0, Vec::len);
    len >= COMPRESSION_MIN_BYTES
}

/// Returns the state held by a box that has reached exactly this revision.
fn state_at(previous: &[Item], reached: u64) -> Option<&Item> {
    previous.iter().rev().find(|item| item.revision <= reached)
}
