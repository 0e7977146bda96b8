//! Revisions that stay ordered when the store is restored from an older copy of itself.
//!
//! A restored store assigns revisions again, so a revision alone does not tell which of two states is
//! newer. The store counts its restorations, and the adapter qualifies every revision with that
//! epoch before the gateway compares it. See `docs/design/restored-store.md`.

/// The low bits of a qualified revision, which hold the store's own revision.
const REVISION_BITS: u32 = 40;
const REVISION_MASK: u64 = (1 << REVISION_BITS) - 1;

/// A revision of the store in one of its epochs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EpochRevision {
    /// How often the store had been restored.
    pub epoch: u64,
    /// The store's own revision.
    pub revision: u64,
}

impl EpochRevision {
    /// Splits a qualified revision.
    pub fn from_qualified(qualified: u64) -> Self {
        Self {
            epoch: qualified >> REVISION_BITS,
            revision: qualified & REVISION_MASK,
        }
    }

    /// Returns one number for both, which is ordered by epoch first.
    pub fn qualified(self) -> u64 {
        (self.epoch << REVISION_BITS) | (self.revision & REVISION_MASK)
    }
}

/// Returns the epoch of a qualified revision.
pub fn epoch_of(qualified: u64) -> u64 {
    EpochRevision::from_qualified(qualified).epoch
}
