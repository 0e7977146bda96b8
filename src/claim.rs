//! Claims: at-most-once execution of requests that are not idempotent.
//!
//! Each request key belongs to a shard. A shard is replicated on two agents, the owner
//! (primary) and the witness (backup), which a view record in the store names together
//! with an epoch. A claim is valid once both members hold it under the same epoch, so no
//! store call is on the path of a request. `docs/design/claims.md` gives the reasons and
//! the behaviour when boxes are lost.

pub mod message;
pub mod replica;
pub mod view;

use crate::clock::WallTime;
use serde::{Deserialize, Serialize};
use std::fmt;
use uuid::Uuid;
use view::ShardId;

/// How long a claim is retained. A repeat that arrives later is not recognised.
pub const CLAIM_RETENTION: std::time::Duration = std::time::Duration::from_secs(600);

/// Maximum size of a response body that is saved for repeats of its request.
pub const SAVED_RESPONSE_MAX_BYTES: usize = 4 * 1024;

/// Number of shards whose home is the same hall.
pub const SHARDS_PER_HALL: u16 = 4;

const GENERATED_ID_PREFIX: &str = "gp.";

/// Key of a request, unique within a partner: the organisation and the request id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The organisation that sent the request.
    pub organisation: String,
    /// The caller's `Idempotency-Key`, or the id that the router generated if there is none.
    pub request_id: String,
}

impl ClaimKey {
    /// Returns the shard that the key belongs to, given the halls in order.
    ///
    /// A generated id belongs to the hall that its router is in. An id chosen by the caller is
    /// hashed over all halls, because its repeat may arrive in any of them.
    pub fn shard(&self, halls: &[String]) -> Option<ShardId> {
        let hash = xxhash_rust::xxh3::xxh3_64(self.to_string().as_bytes());
        let shards = u64::from(SHARDS_PER_HALL);
        let index = u16::try_from(hash % shards).unwrap_or(0);
        if let Some((hall, _)) = parse_generated_id(&self.request_id)
            && halls.iter().any(|known| known == hall)
        {
            return Some(ShardId {
                hall: hall.to_owned(),
                index,
            });
        }
        let count = u64::try_from(halls.len()).ok().filter(|count| *count > 0)?;
        let position = usize::try_from(hash / shards % count).ok()?;
        Some(ShardId {
            hall: halls[position].clone(),
            index,
        })
    }

    /// Returns when a router generated the request id; none if the caller chose it.
    pub fn generated_at(&self) -> Option<WallTime> {
        let (_, id) = parse_generated_id(&self.request_id)?;
        let (seconds, nanos) = id.get_timestamp()?.to_unix();
        Some(WallTime(seconds * 1000 + u64::from(nanos) / 1_000_000))
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.organisation, self.request_id)
    }
}

/// Generates a request id that contains its hall and the time of generation.
pub fn generate_request_id(hall: &str) -> String {
    format!("{GENERATED_ID_PREFIX}{hall}.{}", Uuid::now_v7())
}

fn parse_generated_id(request_id: &str) -> Option<(&str, Uuid)> {
    let (hall, id) = request_id
        .strip_prefix(GENERATED_ID_PREFIX)?
        .rsplit_once('.')?;
    Some((hall, Uuid::parse_str(id).ok()?))
}

/// Random id of one attempt of a router to claim a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId(pub u128);

impl AttemptId {
    /// Generates a new id.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

/// Bill of one request. The ledger counts only one bill for each key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Bill {
    /// Key of the request.
    pub key: ClaimKey,
    /// The version or the service that ran the request.
    pub ran_on: String,
    /// Number of generated tokens; zero for plain services.
    pub tokens: u64,
    /// Price in millionths of a credit.
    pub cost_micros: u64,
    /// When the request ended.
    pub at: WallTime,
}

/// Response that is saved for repeats of its request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SavedResponse {
    /// The HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Complete body.
    pub body: Vec<u8>,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Finish {
    /// The response, if it is complete and small enough to be saved.
    pub response: Option<SavedResponse>,
    /// The bill, if the request is billed.
    pub bill: Option<Bill>,
}

/// Reply to an attempt to claim a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The attempt holds the claim and may dispatch the request.
    Granted,
    /// Another attempt holds the claim, and no end of it has been recorded.
    Running,
    /// Another attempt ended. Contains its response if that was saved.
    Finished(Option<SavedResponse>),
    /// The claims of this shard were lost, so it is not known whether the request ran.
    Unknown,
    /// The shard cannot grant claims now. This attempt was not granted and never will be.
    /// Contains the reason.
    NotNow(String),
}
