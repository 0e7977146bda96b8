//! Messages between the fleet's processes.

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

/// Call from a router, another agent or the command line to an agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Another agent sends a summary of its state, to compare the two.
    Compare(StateSummary),
    /// Another agent requests a bundle's text by its digest.
    FetchBundle(String),
    /// An attempt claims a key.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        attempt: AttemptId,
        /// Whether an agent has relayed the call; relayed calls are not relayed again.
        relayed: bool,
    },
    /// An attempt that was never dispatched releases its key.
    Release {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        attempt: AttemptId,
        /// Whether an agent has relayed the call; relayed calls are not relayed again.
        relayed: bool,
    },
    /// A request has ended.
    Finish {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        attempt: AttemptId,
        /// How the request ended.
        finish: Finish,
        /// Whether an agent has relayed the call; relayed calls are not relayed again.
        relayed: bool,
    },
    /// A shard's owner replicates a change to its witness, along with the view that it acts under
    /// if the witness may not know it.
    Replicate(Box<ReplicaMessage>, Option<View>),
    /// A shard's owner is about to stop and requests that its witness take the shard over.
    HandOverShard(ShardId),
    /// A router reports its decisions and their results.
    Report(RouterReport),
    /// The command line requests the decisions about a request, by its id.
    Explain(String),
    /// The command line requests the agent's status.
    Status,
}

/// Response to a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ControlResponse {
    /// The call was carried out.
    Done,
    /// The end of a request is stored on this agent only; a second agent should store it too.
    NotReplicated,
    /// The parts of the agent's state that are newer than the caller's.
    NewerState(Box<NewerState>),
    /// A bundle's text, if the agent has it.
    Bundle(Option<String>),
    /// The result of a claim.
    Claim(ClaimReply),
    /// Whether the witness acknowledges the change; if not, the reason and the witness's view.
    Replicated(Result<(), (Refusal, Option<View>)>),
    /// The decisions about a request that this agent knows.
    Explained(Vec<DecisionRecord>),
    /// The agent's status.
    Status(Box<AgentStatus>),
    /// The call could not be carried out; nothing was changed.
    Failed(String),
}

/// Compact summary of an agent's state, so that agents can compare theirs every second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateSummary {
    /// The agent.
    pub member: Member,
    /// The generation of the change log that it has.
    pub generation: Generation,
    /// The revision of the live list that it has.
    pub list_revision: u64,
    /// Digest of its shard views.
    pub views_digest: u64,
    /// Digest of its suspensions.
    pub suspensions_digest: u64,
    /// Milliseconds since the last data from the store, received directly or through another agent.
    pub store_age_ms: Option<u64>,
    /// Whether the agent is about to stop and must not be given new duties.
    pub stopping: bool,
    /// Counts that have changed since the last summary to this peer.
    pub evidence: Vec<EvidenceCell>,
    /// Requests that were in progress when upstreams crashed.
    pub crashes: Vec<CrashRecord>,
}

/// The parts of one agent's state that are newer than another's. The receiver keeps the newer
/// version of each part, so duplicates and delays do no harm.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct NewerState {
    /// Summary of the responding agent's state, if it includes one.
    pub summary: Option<StateSummary>,
    /// Newest entry of the change log.
    pub entry: Option<SignedEntry>,
    /// The live list.
    pub list: Option<BoxList>,
    /// Shard views.
    pub views: Vec<View>,
    /// Suspended versions.
    pub suspensions: Vec<Suspension>,
}

/// Batched report of a router to its agent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouterReport {
    /// Decision records for `gatepier explain`.
    pub records: Vec<DecisionRecord>,
    /// Evidence about versions, as sums since the router started.
    pub evidence: Vec<EvidenceCell>,
    /// Requests that were in progress when upstreams crashed.
    pub crashes: Vec<CrashRecord>,
}

/// Update from an agent to its routers. Each kind is independent of the others, and a newer update
/// replaces the previous one of its kind.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Update {
    /// The newest entry of the change log, already verified, and its bundle.
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
    /// The counts of all agents, from which cascades are adapted.
    Evidence(Vec<EvidenceCell>),
    /// Keep-alive message.
    Alive,
    /// Claims and bills were lost together with the agents that held them; routers send the ends of
    /// their most recent requests again.
    ClaimsLost,
    /// Known requests that were in progress when upstreams crashed.
    Crashes(Vec<CrashRecord>),
}

/// Status of an agent, for `gatepier status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The agent.
    pub member: Member,
    /// The agent's hall.
    pub hall: String,
    /// The generation of the change log that it has.
    pub generation: Generation,
    /// Digest of the bundle in force.
    pub bundle: Option<String>,
    /// Milliseconds since the last data from the store, received directly or through another agent.
    pub store_age_ms: Option<u64>,
    /// The revision of the live list that it has.
    pub list_revision: u64,
    /// Whether it makes the store calls on behalf of its hall.
    pub is_hub: bool,
    /// Number of agents from which it currently receives messages.
    pub peers_heard: usize,
    /// Number of shards that it owns, and of those in which it can grant claims.
    pub shards: (usize, usize),
    /// Number of bills that are not yet in the ledger.
    pub bills_waiting: usize,
    /// Suspended versions.
    pub suspensions: Vec<Suspension>,
    /// Number of calls to the store since its start.
    pub store_calls: StoreCalls,
    /// Bytes of messages sent to other agents since its start.
    pub bytes_sent: u64,
}
