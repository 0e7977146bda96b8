//! The store's items as this box knows them, to be passed on to other boxes.
//!
//! Items that are gone stay as news of their end, so that a box that is behind hears of
//! it. Of large items the states before stay too, so that a box which has one of them is
//! told the difference alone. See `docs/design/spreading.md`.

use super::store::Item;
use crate::gateway::peers::packing::{COMPRESSED_FROM, PackedItem, Unusable};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Ended items that are remembered; the oldest go first. A box that is further behind
/// than that gets everything.
const MOST_ENDED: usize = 1024;

/// Earlier states of a large item that are remembered. Boxes are one change behind as a
/// rule; three more bear changes in quick succession, at three megabytes of memory at most.
const MOST_EARLIER: usize = 3;

/// The items by key.
#[derive(Debug, Default)]
pub struct Mirror {
    items: BTreeMap<String, Item>,
    /// The items' keys by revision: a hub of 300 boxes is asked 750 times a second for the
    /// few that are new among some thousand.
    by_revision: BTreeSet<(u64, String)>,
    revision: u64,
    /// Boxes that know nothing newer than this have to be given everything.
    floor: u64,
    /// Earlier states of large items, the oldest first.
    earlier: HashMap<String, Vec<Item>>,
    /// What was packed of the present large items, by key and by the receiver's state.
    packed: HashMap<(String, Option<u64>), PackedItem>,
}

/// Items that bring a box from one revision to another, packed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PackedChanges {
    /// The receiver has to have reached this revision, or else to take `is_snapshot`.
    pub after: u64,
    /// The revision that is reached with them.
    pub revision: u64,
    /// Whether these are all items there are, so that others are gone.
    pub is_snapshot: bool,
    /// The items.
    pub items: Vec<PackedItem>,
}

impl PackedChanges {
    /// Returns the bytes that the items take.
    pub fn len(&self) -> usize {
        self.items.iter().map(PackedItem::len).sum()
    }

    /// Tells whether there is no item.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Leaves the largest items out until the others take no more than so many bytes, and
    /// returns the highest revision among those left out.
    pub fn leave_out_beyond(&mut self, most: usize) -> Option<u64> {
        self.items.sort_by_key(PackedItem::len);
        let mut len = self.len();
        let mut left_out = None;
        while len > most {
            let largest = self.items.pop()?;
            len -= largest.len();
            left_out = left_out.max(Some(largest.revision));
        }
        left_out
    }
}

/// Items that bring a box from one revision to another.
#[derive(Debug, Clone)]
pub struct Changes {
    /// The receiver has to have reached this revision, or else to take `is_snapshot`.
    pub after: u64,
    /// The revision that is reached with them.
    pub revision: u64,
    /// Whether these are all items there are, so that others are gone.
    pub is_snapshot: bool,
    /// The items.
    pub items: Vec<Item>,
}

impl Mirror {
    /// Takes items in their newest state and returns those that are news.
    pub fn take(&mut self, items: Vec<Item>, revision: u64) -> Vec<Item> {
        let mut news = Vec::new();
        for item in items {
            let known = self.items.get(&item.key);
            if known.is_none_or(|known| known.revision < item.revision) {
                self.by_revision.insert((item.revision, item.key.clone()));
                if let Some(replaced) = self.items.insert(item.key.clone(), item.clone()) {
                    self.by_revision
                        .remove(&(replaced.revision, replaced.key.clone()));
                    self.remember(replaced);
                }
                news.push(item);
            }
        }
        self.revision = self.revision.max(revision);
        self.forget_ended();
        news
    }

    /// Takes everything that the store held at a revision; what it did not hold is gone.
    pub fn take_all(&mut self, items: Vec<Item>, revision: u64) -> Vec<Item> {
        let present: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let ended: Vec<Item> = self
            .items
            .values()
            .filter(|known| !known.is_deleted() && known.revision <= revision)
            .filter(|known| !present.contains(known.key.as_str()))
            .map(|known| Item::deleted(&known.key, revision))
            .collect();
        let mut news = self.take(items, revision);
        news.extend(self.take(ended, revision));
        news
    }

    fn remember(&mut self, replaced: Item) {
        self.packed.retain(|(key, _), _| *key != replaced.key);
        if !is_large(&replaced) {
            return;
        }
        let earlier = self.earlier.entry(replaced.key.clone()).or_default();
        earlier.push(replaced);
        if earlier.len() > MOST_EARLIER {
            earlier.remove(0);
        }
    }

    fn forget_ended(&mut self) {
        let mut ended: Vec<(u64, String)> = self
            .items
            .values()
            .filter(|item| item.is_deleted())
            .map(|item| (item.revision, item.key.clone()))
            .collect();
        if ended.len() <= MOST_ENDED {
            return;
        }
        ended.sort_unstable();
        let surplus = ended.len() - MOST_ENDED / 2;
        for (revision, key) in ended.into_iter().take(surplus) {
            self.items.remove(&key);
            self.by_revision.remove(&(revision, key));
            self.floor = self.floor.max(revision);
        }
    }

    /// Returns the revision that is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns what brings a box that has reached `after` up to this one.
    ///
    /// A box that could not use a difference asks for items as a whole.
    pub fn changes_after(&mut self, after: u64, as_a_whole: bool) -> PackedChanges {
        let is_snapshot = after < self.floor || after == 0;
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
            let earlier = self.earlier.get(&item.key).map_or(&[][..], Vec::as_slice);
            let base = match is_snapshot || as_a_whole {
                true => None,
                false => state_at(earlier, after),
            };
            let packed = self
                .packed
                .entry((item.key.clone(), base.map(|base| base.revision)))
                .or_insert_with(|| PackedItem::pack(item, base));
            items.push(packed.clone());
        }
        PackedChanges {
            after,
            revision: self.revision,
            is_snapshot,
            items,
        }
    }

    /// Unpacks what another box told; fails if one item cannot be used.
    pub fn unpack(&self, packed: PackedChanges) -> Result<Changes, Unusable> {
        let mut items = Vec::with_capacity(packed.items.len());
        for item in packed.items {
            match self.items.get(&item.key) {
                // It may be told apart from a state that this box has left behind.
                Some(known) if known.revision >= item.revision => items.push(known.clone()),
                known => items.push(item.unpack(known)?),
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
    len >= COMPRESSED_FROM
}

/// Returns the state that a box has which has reached a revision and nothing later.
fn state_at(earlier: &[Item], reached: u64) -> Option<&Item> {
    earlier.iter().rev().find(|item| item.revision <= reached)
}
