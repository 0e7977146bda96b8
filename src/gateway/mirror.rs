//! The store's items as this box knows them, to be passed on to other boxes.
//!
//! Items that are gone stay as news of their end, so that a box that is behind hears of
//! it. See `docs/design/platform.md`.

use super::control::Item;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};

/// Ended items that are remembered; the oldest go first. A box that is further behind
/// than that gets everything.
const MOST_ENDED: usize = 1024;

/// The items by key.
#[derive(Debug, Default)]
pub struct Mirror {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// Boxes that know nothing newer than this have to be given everything.
    floor: u64,
}

/// Items that bring a box from one revision to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Changes {
    /// The receiver has to have reached this revision, or else to take `is_all`.
    pub after: u64,
    /// The revision that is reached with them.
    pub revision: u64,
    /// Whether these are all items there are, so that others are gone.
    pub is_all: bool,
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
                self.items.insert(item.key.clone(), item.clone());
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
            .filter(|known| !known.is_gone() && known.revision <= revision)
            .filter(|known| !present.contains(known.key.as_str()))
            .map(|known| Item::gone(&known.key, revision))
            .collect();
        let mut news = self.take(items, revision);
        news.extend(self.take(ended, revision));
        news
    }

    fn forget_ended(&mut self) {
        let mut ended: Vec<(u64, String)> = self
            .items
            .values()
            .filter(|item| item.is_gone())
            .map(|item| (item.revision, item.key.clone()))
            .collect();
        if ended.len() <= MOST_ENDED {
            return;
        }
        ended.sort_unstable();
        let surplus = ended.len() - MOST_ENDED / 2;
        for (revision, key) in ended.into_iter().take(surplus) {
            self.items.remove(&key);
            self.floor = self.floor.max(revision);
        }
    }

    /// Returns the revision that is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns what brings a box that has reached `after` up to this one.
    pub fn changes_after(&self, after: u64) -> Changes {
        let is_all = after < self.floor || after == 0;
        let is_wanted = |item: &&Item| match is_all {
            true => !item.is_gone(),
            false => item.revision > after,
        };
        Changes {
            after,
            revision: self.revision,
            is_all,
            items: self.items.values().filter(is_wanted).cloned().collect(),
        }
    }
}
