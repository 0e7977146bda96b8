//! What an update of the store changed in the knowledge of a box.

use super::store::UpstreamLife;

/// What an update changed, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Nothing: the update was already known or outdated.
    Nothing,
    /// The routes have this version now.
    Routes(u64),
    /// An upstream was added.
    UpstreamAdded(String),
    /// An upstream has started to leave or has come back.
    UpstreamChanged(String),
    /// An upstream has restarted under the same id.
    UpstreamReborn(UpstreamLife),
    /// An upstream was removed.
    UpstreamRemoved(String),
    /// An upstream's entry is missing while the store recovers from an outage.
    UpstreamLapsed(String),
    /// Operators have evacuated this hall.
    HallEvacuated(String),
    /// Operators have returned this hall to use.
    HallReturned(String),
    /// A roll-out of this service was ordered, advanced or cancelled.
    Rollout(String),
    /// The leader has recorded the limits of this service.
    Limits(String),
    /// A box has registered.
    BoxAdded(String),
    /// A box is no longer registered.
    BoxGone(String),
    /// An upstream's entry could not be decoded, so the upstream is not used.
    UpstreamFaulty {
        /// The upstream's id.
        instance: String,
        /// Why the entry is invalid.
        reason: String,
    },
    /// An item could not be decoded.
    Faulty {
        /// The item's key in the store.
        item: String,
        /// Why it is invalid.
        reason: String,
    },
}

impl Change {
    /// Returns whether something was added, as is the case for nearly all changes when a box
    /// starts.
    pub fn is_addition(&self) -> bool {
        matches!(self, Self::UpstreamAdded(_) | Self::BoxAdded(_))
    }
}
