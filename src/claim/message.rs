//! Replicated state of a claim, and the replication messages from a shard's owner to its witness.

use super::view::{Epoch, Member, ShardId};
use super::{AttemptId, ClaimKey, Finish};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// State of one key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimEntry {
    /// Attempt that holds the key.
    pub attempt: AttemptId,
    /// Position in the order in which the owner recorded attempts, by which a delayed message is
    /// recognised.
    pub sequence: u64,
    /// Progress of the attempt.
    pub phase: Phase,
    /// When this replica last changed the entry, on its monotonic clock.
    #[serde(skip)]
    pub changed_at: Duration,
}

/// Progress of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The owner waits for the acknowledgement of the witness. Nothing has been granted.
    Pending,
    /// The claim has been granted, and its request may be running.
    Running,
    /// The request ended.
    Finished {
        /// How it ended.
        finish: Finish,
        /// Whether its bill has been written to the ledger.
        bill_recorded: bool,
    },
}

/// End of a request whose bill has not been written to the ledger yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnrecordedFinish {
    /// Key of the request.
    pub key: ClaimKey,
    /// Attempt that ran the request.
    pub attempt: AttemptId,
    /// How the request ended.
    pub finish: Finish,
}

/// Replication message from a shard's owner to its witness.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaMessage {
    /// The shard.
    pub shard: ShardId,
    /// Epoch in which the owner sent the message.
    pub epoch: Epoch,
    /// The owner.
    pub from: Member,
    /// The addressed witness. A restarted agent on the same box is another member.
    pub to: Member,
    /// Change to apply.
    pub change: ClaimChange,
}

/// Change to the claim table that the witness has to apply as well.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimChange {
    /// An attempt claims a key.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        attempt: AttemptId,
        /// The attempt's position in the order of the owner.
        sequence: u64,
    },
    /// An attempt whose request was never dispatched releases its key.
    Drop {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A request ended.
    Finish {
        /// The key.
        key: ClaimKey,
        /// Entry in the owner's table.
        entry: ClaimEntry,
    },
    /// Bills have been written to the ledger.
    BillsRecorded {
        /// Their keys.
        keys: Vec<ClaimKey>,
    },
    /// One part of the complete table, for a new witness.
    SyncPart {
        /// Number of this transfer. Parts of earlier transfers are refused.
        transfer_id: u64,
        /// Index of the part, from zero.
        part_index: u64,
        /// Whether it is the last part.
        is_last: bool,
        /// The entries.
        entries: Vec<(ClaimKey, ClaimEntry)>,
    },
}

/// Why a witness does not acknowledge a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The epoch of the message is older than this member's.
    OldEpoch,
    /// This member does not know the epoch yet.
    UnknownEpoch,
    /// This member is not the addressed witness, or the sender is not its owner.
    NotWitness,
    /// This member has not received the complete table yet.
    NotSynced,
    /// This member has begun a takeover of the shard.
    TakingOver,
    /// The message contradicts this member's table.
    Contradiction,
}
