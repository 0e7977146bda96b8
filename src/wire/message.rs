//! The messages between the system's own processes.

use crate::box_list::BoxList;
use crate::change::{Generation, SignedEntry};
use crate::claim::message::{Refusal, ReplicaMessage};
use crate::claim::view::{Member, ShardId, View};
use crate::claim::{AttemptId, ClaimKey, ClaimReply, Finish};
use crate::crash_ledger::CrashRecord;
use crate::decision_record::DecisionRecord;
use crate::evidence::{EvidenceCell, Suspension};
use crate::store::StoreCalls;
use serde::{Deserialize, Serialize};

/// A call from a router, a peer or the command line to an agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ControlRequest {
    /// A peer tells how far it is.
    Compare(Summary),
    /// A peer asks for a bundle's text by its digest.
    FetchBundle(String),
    /// An attempt asks for a key; `relayed` says that an agent passed the call on.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        attempt: AttemptId,
        /// Whether an agent passed the call on already.
        relayed: bool,
    },
    /// An attempt that was never dispatched gives its key back.
    Release {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        attempt: AttemptId,
        /// Whether an agent passed the call on already.
        relayed: bool,
    },
    /// A request ended.
    Finish {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        finish: Finish,
        /// Whether an agent passed the call on already.
        relayed: bool,
    },
    /// A shard's owner tells its witness what changed, with the view it acts under
    /// where the witness may not have heard of it.
    Replicate(Box<ReplicaMessage>, Option<View>),
    /// A shard's owner is about to stop and asks its witness to take over.
    Yield(ShardId),
    /// A router reports what it decided and what came of it.
    Report(Report),
    /// The command line asks what was decided about a request.
    Explain(String),
    /// The command line asks how an agent stands.
    Status,
}

/// The answer to a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ControlResponse {
    /// The call was taken.
    Done,
    /// The end of a request is kept here alone for now; a second agent should keep it too.
    Kept,
    /// What the other agent has newer than the caller.
    Newer(Box<Newer>),
    /// A bundle's text, if the agent has it.
    Bundle(Option<String>),
    /// The reply to an attempt.
    Claim(ClaimReply),
    /// Whether the witness acknowledges, and the view it holds if it does not.
    Replicated(Result<(), (Refusal, Option<View>)>),
    /// What was decided about a request, as far as this agent has heard of it.
    Explained(Vec<DecisionRecord>),
    /// How an agent stands.
    Status(Box<AgentStatus>),
    /// The call could not be carried out; nothing was changed.
    Failed(String),
}

/// How far an agent is, in few bytes, so that peers can compare every second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The agent.
    pub member: Member,
    /// Its generation of the change log.
    pub generation: Generation,
    /// The revision of its live list.
    pub list_revision: u64,
    /// A digest of its views.
    pub views_digest: u64,
    /// A digest of its suspensions.
    pub suspensions_digest: u64,
    /// Milliseconds since the agent last heard from the store, directly or through a peer.
    pub store_age_ms: Option<u64>,
    /// Whether the agent is about to stop and should get no new duties.
    pub stopping: bool,
    /// Counts that changed since the agent last spoke to this peer.
    pub evidence: Vec<EvidenceCell>,
    /// Requests that were at crashes of upstreams.
    pub crashes: Vec<CrashRecord>,
}

/// What one agent has newer than another. Everything in it may be repeated or
/// delayed without harm, since the receiver keeps the newer of each part.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Newer {
    /// The answering agent, as far as it tells.
    pub summary: Option<Summary>,
    /// The newest entry of the change log.
    pub entry: Option<SignedEntry>,
    /// The live list.
    pub list: Option<BoxList>,
    /// The views.
    pub views: Vec<View>,
    /// The suspensions.
    pub suspensions: Vec<Suspension>,
}

/// What a router tells its agent, several requests at a time.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The decisions, for `gatepier explain`.
    pub records: Vec<DecisionRecord>,
    /// What was seen of versions, as sums since the router started.
    pub evidence: Vec<EvidenceCell>,
    /// Requests that were at crashes of upstreams.
    pub crashes: Vec<CrashRecord>,
}

/// What an agent tells its routers. Each part stands alone and replaces the former.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Update {
    /// The change log's newest entry, already verified, with its bundle.
    Change {
        /// The entry.
        entry: SignedEntry,
        /// The text of the bundle in force.
        bundle: Option<String>,
    },
    /// The live list.
    Live(BoxList),
    /// The versions that the exposure guard suspended.
    Suspended(Vec<Suspension>),
    /// The counts of all agents, from which cascades learn.
    Evidence(Vec<EvidenceCell>),
    /// Nothing changed; the agent is there.
    Alive,
    /// Claims and bills were lost with the agents that held them; the routers tell the
    /// ends of their newest requests once more.
    ClaimsLost,
    /// What was heard of requests that were at crashes of upstreams.
    Crashes(Vec<CrashRecord>),
}

/// How an agent stands, for `gatepier status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The agent.
    pub member: Member,
    /// Its hall.
    pub hall: String,
    /// Its generation of the change log.
    pub generation: Generation,
    /// The digest of the bundle in force.
    pub bundle: Option<String>,
    /// Milliseconds since the agent last heard from the store, directly or through a peer.
    pub store_age_ms: Option<u64>,
    /// The revision of its live list.
    pub list_revision: u64,
    /// Whether it makes the store calls of its hall.
    pub is_hub: bool,
    /// How many agents it hears of.
    pub peers_heard: usize,
    /// The shards it owns, and of these the ones in which it can grant claims.
    pub shards: (usize, usize),
    /// The bills that wait for the ledger.
    pub bills_waiting: usize,
    /// The suspended versions.
    pub suspensions: Vec<Suspension>,
    /// Its calls to the store so far.
    pub store_calls: StoreCalls,
    /// The bytes of its messages to peers so far.
    pub bytes_sent: u64,
}
