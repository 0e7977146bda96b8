//! Views: which members own and witness a shard of claims.

use crate::clock::WallTime;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Id of a shard: its home hall and its index there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// Home hall, where owner and witness are placed if possible.
    pub hall: String,
    /// Index of the shard within the hall.
    pub index: u16,
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.hall, self.index)
    }
}

/// One incarnation of an agent. After a restart the agent of the same box is another member.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name of the box.
    pub box_name: String,
    /// Incarnation of the agent on that box; it increases with each start.
    pub incarnation: u64,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.box_name, self.incarnation)
    }
}

/// Number of a shard's view. A view with a higher epoch replaces one with a lower epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

/// The members of a shard in one epoch, as stored and replicated.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// The shard.
    pub shard: ShardId,
    /// The epoch.
    pub epoch: Epoch,
    /// Member that grants claims (the primary).
    pub owner: Member,
    /// Member that has to acknowledge each claim (the backup). Without a witness no claim is
    /// granted.
    pub witness: Option<Member>,
    /// When the view was created, on the clock of the agent that created it.
    #[serde(rename = "since")]
    pub created_at: WallTime,
    /// Revision of a live list that contained owner and witness. If a list of this or a later
    /// revision does not contain one of them, that member is gone for good.
    pub list_revision: u64,
    /// Set after the shard's table was lost: until this time a key that the owner does not know
    /// may have been claimed before the loss.
    pub unknown_until: Option<WallTime>,
}

impl View {
    /// Returns the initial view of a shard.
    pub fn initial(shard: ShardId, members: Members, at: WallTime) -> Self {
        let Members {
            owner,
            witness,
            list_revision,
        } = members;
        let epoch = Epoch(1);
        Self {
            shard,
            epoch,
            owner,
            witness,
            created_at: at,
            list_revision,
            unknown_until: None,
        }
    }

    /// Returns the next view, created by an agent that holds the shard's complete table.
    pub fn successor(&self, members: Members, at: WallTime) -> Self {
        let Members {
            owner,
            witness,
            list_revision,
        } = members;
        Self {
            shard: self.shard.clone(),
            epoch: Epoch(self.epoch.0 + 1),
            owner,
            witness,
            created_at: at,
            list_revision,
            unknown_until: self.unknown_until,
        }
    }

    /// Returns the next view after the shard's table was lost with its owner and witness.
    pub fn successor_after_loss(&self, members: Members, at: WallTime) -> Self {
        let horizon = u64::try_from(super::CLAIM_RETENTION.as_millis()).unwrap_or(u64::MAX);
        let unknown_until = Some(WallTime(at.0.saturating_add(horizon)));
        Self {
            unknown_until,
            ..self.successor(members, at)
        }
    }

    /// Returns whether a member is the owner or the witness.
    pub fn includes(&self, member: &Member) -> bool {
        self.owner == *member || self.witness.as_ref() == Some(member)
    }
}

/// Members to be named in a new view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Members {
    /// The owner.
    pub owner: Member,
    /// The witness, if one is available.
    pub witness: Option<Member>,
    /// Revision of the live list that contains both.
    pub list_revision: u64,
}
