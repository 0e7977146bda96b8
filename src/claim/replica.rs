//! Replica of one shard on one agent, as a state machine without I/O.
//!
//! The agent, the tests and the exhaustive exploration in `tests/claim_exploration.rs` run the
//! same code. Safety rests on three rules:
//!
//! - A claim is granted only after the witness of the same epoch has acknowledged it.
//! - A witness that has begun a takeover refuses all messages of its epoch from then on.
//! - A witness may acknowledge claims and take over only after it has received the owner's
//!   complete table.

use super::message::{ClaimChange, ClaimEntry, Phase, Refusal, ReplicaMessage, UnrecordedFinish};
use super::view::{Epoch, Member, Members, View};
use super::{AttemptId, CLAIM_RETENTION, ClaimKey, ClaimReply, Finish};
use crate::clock::{Now, WallTime};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum difference between the wall clocks of two boxes.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);

/// Maximum number of entries in one part of the table transfer to a new witness.
pub const SYNC_PART_MAX_ENTRIES: usize = 256;

/// Next step of an owner for an attempt to claim a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Reply without involving the witness.
    Reply(ClaimReply),
    /// Replicate the claim to the witness first.
    Replicate(Box<ReplicaMessage>),
}

/// Role of this member in a shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Role {
    NotMember,
    Owner {
        witness_synced: bool,
    },
    Witness {
        synced: bool,
        taking_over: bool,
        transfer_id: u64,
        next_part_index: u64,
    },
}

/// Replica of one shard on one agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Replica {
    member: Member,
    view: Option<View>,
    role: Role,
    table: BTreeMap<ClaimKey, ClaimEntry>,
    next_sequence: u64,
    next_transfer_id: u64,
}

impl Replica {
    /// Creates an empty replica without a view.
    pub fn new(member: Member) -> Self {
        Self {
            member,
            view: None,
            role: Role::NotMember,
            table: BTreeMap::new(),
            next_sequence: 0,
            next_transfer_id: 0,
        }
    }

    /// Returns the newest known view.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// Returns whether this member owns the shard.
    pub fn is_owner(&self) -> bool {
        matches!(self.role, Role::Owner { .. })
    }

    /// Returns whether this member owns the shard and still has to send the table to its witness.
    pub fn needs_sync(&self) -> bool {
        let has_witness = self
            .view
            .as_ref()
            .is_some_and(|view| view.witness.is_some());
        has_witness
            && self.role
                == Role::Owner {
                    witness_synced: false,
                }
    }

    /// Returns whether this member owns the shard and has a witness with the complete table.
    pub fn can_grant(&self) -> bool {
        self.role
            == Role::Owner {
                witness_synced: true,
            }
    }

    /// Applies a view if it is newer than the current one.
    ///
    /// The table is kept only where it is known to be complete: by an owner that stays the owner,
    /// and by a synced witness that becomes the owner in the next epoch. Otherwise it is discarded
    /// and its unrecorded bills are returned, because an owner that was partitioned may be the
    /// only member that holds them.
    pub fn apply_view(&mut self, view: &View) -> Vec<UnrecordedFinish> {
        if self
            .view
            .as_ref()
            .is_some_and(|current| current.epoch >= view.epoch)
        {
            return Vec::new();
        }
        let is_next_epoch = self
            .view
            .as_ref()
            .is_some_and(|current| current.epoch.0 + 1 == view.epoch.0);
        let table_is_complete = match self.role {
            Role::Owner { .. } => true,
            Role::Witness { synced, .. } => synced,
            Role::NotMember => false,
        };
        self.role = if view.owner == self.member {
            Role::Owner {
                witness_synced: false,
            }
        } else if view.witness.as_ref() == Some(&self.member) {
            Role::Witness {
                synced: false,
                taking_over: false,
                transfer_id: 0,
                next_part_index: 0,
            }
        } else {
            Role::NotMember
        };
        self.view = Some(view.clone());
        let keeps_table = self.is_owner() && is_next_epoch && table_is_complete;
        if keeps_table {
            Vec::new()
        } else {
            self.discard_table()
        }
    }

    fn discard_table(&mut self) -> Vec<UnrecordedFinish> {
        let unrecorded = |(key, entry): (ClaimKey, ClaimEntry)| match entry.phase {
            Phase::Finished {
                finish,
                bill_recorded: false,
            } if finish.bill.is_some() => Some(UnrecordedFinish {
                key,
                attempt: entry.attempt,
                finish,
            }),
            _ => None,
        };
        std::mem::take(&mut self.table)
            .into_iter()
            .filter_map(unrecorded)
            .collect()
    }

    fn message(&self, change: ClaimChange) -> Option<ReplicaMessage> {
        let view = self.view.as_ref()?;
        Some(ReplicaMessage {
            shard: view.shard.clone(),
            epoch: view.epoch,
            from: self.member.clone(),
            to: view.witness.clone()?,
            change,
        })
    }

    /// Handles an attempt to claim a key.
    pub fn claim(&mut self, key: &ClaimKey, attempt: AttemptId, now: Now) -> ClaimStep {
        if let Some(reply) = self.reply_without_witness(key, attempt, now) {
            return ClaimStep::Reply(reply);
        }
        let sequence = self.next_sequence;
        let claim = ClaimChange::Claim {
            key: key.clone(),
            attempt,
            sequence,
        };
        let Some(message) = self.message(claim) else {
            return ClaimStep::Reply(ClaimReply::NotNow("the shard has no witness".to_owned()));
        };
        self.next_sequence += 1;
        let entry = ClaimEntry {
            attempt,
            sequence,
            phase: Phase::Pending,
            changed_at: now.monotonic,
        };
        self.table.insert(key.clone(), entry);
        ClaimStep::Replicate(Box::new(message))
    }

    /// Returns the reply to an attempt if it can be given without the witness.
    fn reply_without_witness(
        &self,
        key: &ClaimKey,
        attempt: AttemptId,
        now: Now,
    ) -> Option<ClaimReply> {
        if !self.is_owner() {
            return Some(ClaimReply::NotNow(
                "this agent does not own the shard".to_owned(),
            ));
        }
        match self.table.get(key) {
            Some(entry) => match &entry.phase {
                Phase::Finished { finish, .. } => {
                    return Some(ClaimReply::Finished(finish.response.clone()));
                }
                Phase::Running if entry.attempt == attempt => return Some(ClaimReply::Granted),
                Phase::Pending if entry.attempt == attempt => {}
                Phase::Running | Phase::Pending => return Some(ClaimReply::Running),
            },
            None if self.may_have_been_claimed(key, now.wall) => return Some(ClaimReply::Unknown),
            None => {}
        }
        (!self.can_grant())
            .then(|| ClaimReply::NotNow("the shard's witness is not up to date".to_owned()))
    }

    fn may_have_been_claimed(&self, key: &ClaimKey, at: WallTime) -> bool {
        let Some(view) = &self.view else {
            return true;
        };
        let Some(unknown_until) = view.unknown_until else {
            return false;
        };
        if at >= unknown_until {
            return false;
        }
        let horizon = u64::try_from(CLAIM_RETENTION.as_millis()).unwrap_or(u64::MAX);
        let skew = u64::try_from(MAX_CLOCK_SKEW.as_millis()).unwrap_or(u64::MAX);
        let lost_at = unknown_until.0.saturating_sub(horizon);
        key.generated_at()
            .is_none_or(|generated| generated.0 <= lost_at.saturating_add(skew))
    }

    /// Handles the witness's acknowledgement of a claim and returns the reply to the attempt.
    pub fn handle_claim_ack(
        &mut self,
        epoch: Epoch,
        key: &ClaimKey,
        attempt: AttemptId,
        now: Now,
    ) -> ClaimReply {
        let same_epoch = self.view.as_ref().is_some_and(|view| view.epoch == epoch);
        if !same_epoch || !self.can_grant() {
            return ClaimReply::NotNow(
                "the shard's epoch changed while the claim was replicated".to_owned(),
            );
        }
        match self.table.get_mut(key) {
            Some(entry) if entry.attempt == attempt && entry.phase == Phase::Pending => {
                entry.phase = Phase::Running;
                entry.changed_at = now.monotonic;
                ClaimReply::Granted
            }
            Some(entry) if entry.attempt == attempt && entry.phase == Phase::Running => {
                ClaimReply::Granted
            }
            _ => ClaimReply::NotNow(
                "the attempt was aborted while the claim was replicated".to_owned(),
            ),
        }
    }

    /// Removes an attempt that the witness did not acknowledge. It will not be granted.
    pub fn abort_attempt(&mut self, key: &ClaimKey, attempt: AttemptId) {
        let pending =
            |entry: &ClaimEntry| entry.attempt == attempt && entry.phase == Phase::Pending;
        if self.table.get(key).is_some_and(pending) {
            self.table.remove(key);
        }
    }

    /// Releases a key whose request this attempt never dispatched.
    pub fn release(&mut self, key: &ClaimKey, attempt: AttemptId) -> Option<ReplicaMessage> {
        let entry = self.table.get(key)?;
        let finished = matches!(entry.phase, Phase::Finished { .. });
        if !self.is_owner() || entry.attempt != attempt || finished {
            return None;
        }
        self.table.remove(key);
        self.message(ClaimChange::Drop {
            key: key.clone(),
            attempt,
        })
    }

    /// Records how a request ended; only the first end of a key is kept.
    ///
    /// The end of a billed request that needed no claim is recorded as well, so that owner and
    /// witness both hold the bill until it is in the ledger.
    pub fn finish(
        &mut self,
        key: &ClaimKey,
        attempt: AttemptId,
        finish: Finish,
        now: Now,
    ) -> Option<ReplicaMessage> {
        if !self.is_owner() {
            return None;
        }
        match self.table.get(key) {
            Some(entry) if matches!(entry.phase, Phase::Finished { .. }) => {
                let change = ClaimChange::Finish {
                    key: key.clone(),
                    entry: entry.clone(),
                };
                return self.message(change);
            }
            _ => {}
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let phase = Phase::Finished {
            finish,
            bill_recorded: false,
        };
        let entry = ClaimEntry {
            attempt,
            sequence,
            phase,
            changed_at: now.monotonic,
        };
        self.table.insert(key.clone(), entry.clone());
        self.message(ClaimChange::Finish {
            key: key.clone(),
            entry,
        })
    }

    /// Returns bills that have not been written to the ledger yet, up to a limit.
    pub fn unrecorded_bills(&self, limit: usize) -> Vec<super::Bill> {
        if !self.is_owner() {
            return Vec::new();
        }
        let bill = |entry: &ClaimEntry| match &entry.phase {
            Phase::Finished {
                finish,
                bill_recorded: false,
            } => finish.bill.clone(),
            _ => None,
        };
        self.table.values().filter_map(bill).take(limit).collect()
    }

    /// Records that bills are in the ledger. Returns a message to the witness with those keys that
    /// are in this table.
    pub fn mark_bills_recorded(&mut self, keys: &[ClaimKey]) -> Option<ReplicaMessage> {
        let mut held = Vec::new();
        for key in keys {
            if let Some(entry) = self.table.get_mut(key)
                && let Phase::Finished { bill_recorded, .. } = &mut entry.phase
            {
                *bill_recorded = true;
                held.push(key.clone());
            }
        }
        if held.is_empty() {
            return None;
        }
        self.message(ClaimChange::BillsRecorded { keys: held })
    }

    /// Removes keys whose retention time has passed, except those with an unrecorded bill.
    pub fn remove_expired(&mut self, now: Now) {
        self.table.retain(|_, entry| {
            let unrecorded = matches!(
                &entry.phase,
                Phase::Finished { finish, bill_recorded: false } if finish.bill.is_some()
            );
            unrecorded || now.monotonic.saturating_sub(entry.changed_at) < CLAIM_RETENTION
        });
    }

    /// Starts a transfer of the complete table to a new witness and returns its parts.
    pub fn sync_parts(&mut self) -> Vec<ReplicaMessage> {
        self.next_transfer_id += 1;
        let transfer_id = self.next_transfer_id;
        let entries: Vec<(ClaimKey, ClaimEntry)> = self
            .table
            .iter()
            .map(|(key, entry)| (key.clone(), entry.clone()))
            .collect();
        let mut chunks: Vec<_> = entries
            .chunks(SYNC_PART_MAX_ENTRIES)
            .map(<[_]>::to_vec)
            .collect();
        if chunks.is_empty() {
            chunks.push(Vec::new());
        }
        let count = chunks.len();
        let part = |(number, entries): (usize, Vec<(ClaimKey, ClaimEntry)>)| {
            self.message(ClaimChange::SyncPart {
                transfer_id,
                part_index: number as u64,
                is_last: number + 1 == count,
                entries,
            })
        };
        chunks.into_iter().enumerate().filter_map(part).collect()
    }

    /// Records that the witness of an epoch has acknowledged the last part of the table.
    pub fn mark_witness_synced(&mut self, epoch: Epoch) {
        let same_epoch = self.view.as_ref().is_some_and(|view| view.epoch == epoch);
        if same_epoch && self.is_owner() {
            self.role = Role::Owner {
                witness_synced: true,
            };
        }
    }

    /// Returns whether this member is a witness with the complete table.
    pub fn can_take_over(&self) -> bool {
        matches!(self.role, Role::Witness { synced: true, .. })
    }

    /// Begins a takeover: from now on no message of the current epoch is acknowledged.
    ///
    /// Returns the view to be written in place of the current one.
    pub fn begin_takeover(&mut self, members: Members, at: WallTime) -> Option<View> {
        match &mut self.role {
            Role::Witness {
                synced: true,
                taking_over,
                ..
            } => *taking_over = true,
            _ => return None,
        }
        self.view.as_ref().map(|view| view.successor(members, at))
    }

    /// Returns whether a takeover has begun whose outcome is not known yet.
    pub fn is_taking_over(&self) -> bool {
        matches!(
            self.role,
            Role::Witness {
                taking_over: true,
                ..
            }
        )
    }

    /// Cancels a takeover whose view was provably not written to the store.
    pub fn cancel_takeover(&mut self) {
        if let Role::Witness { taking_over, .. } = &mut self.role {
            *taking_over = false;
        }
    }

    /// Applies a message from the owner. `Ok` acknowledges it.
    pub fn receive(&mut self, message: ReplicaMessage, now: Now) -> Result<(), Refusal> {
        let view = self.view.as_ref().ok_or(Refusal::UnknownEpoch)?;
        if message.epoch < view.epoch {
            return Err(Refusal::OldEpoch);
        }
        if message.epoch > view.epoch {
            return Err(Refusal::UnknownEpoch);
        }
        if message.to != self.member || message.from != view.owner {
            return Err(Refusal::NotWitness);
        }
        let Role::Witness {
            synced,
            taking_over,
            ..
        } = &self.role
        else {
            return Err(Refusal::NotWitness);
        };
        if *taking_over {
            return Err(Refusal::TakingOver);
        }
        match message.change {
            ClaimChange::SyncPart {
                transfer_id,
                part_index,
                is_last,
                entries,
            } => self.receive_sync_part(transfer_id, part_index, is_last, entries, now),
            ClaimChange::Finish { key, entry } => {
                self.insert(key, entry, now);
                Ok(())
            }
            ClaimChange::BillsRecorded { keys } => {
                self.mark_bills_recorded(&keys);
                Ok(())
            }
            ClaimChange::Drop { key, attempt } => {
                self.remove_running(&key, attempt);
                Ok(())
            }
            ClaimChange::Claim { .. } if !synced => Err(Refusal::NotSynced),
            ClaimChange::Claim {
                key,
                attempt,
                sequence,
            } => self.record_claim(key, attempt, sequence, now),
        }
    }

    fn record_claim(
        &mut self,
        key: ClaimKey,
        attempt: AttemptId,
        sequence: u64,
        now: Now,
    ) -> Result<(), Refusal> {
        if let Some(entry) = self.table.get(&key)
            && entry.attempt != attempt
        {
            if matches!(entry.phase, Phase::Finished { .. }) {
                log::error!("invariant: the owner claims {key}, which has finished");
                return Err(Refusal::Contradiction);
            }
            if entry.sequence > sequence {
                return Err(Refusal::Contradiction);
            }
        }
        self.insert(
            key,
            ClaimEntry {
                attempt,
                sequence,
                phase: Phase::Running,
                changed_at: now.monotonic,
            },
            now,
        );
        Ok(())
    }

    fn remove_running(&mut self, key: &ClaimKey, attempt: AttemptId) {
        let held = |entry: &ClaimEntry| entry.attempt == attempt && entry.phase == Phase::Running;
        if self.table.get(key).is_some_and(held) {
            self.table.remove(key);
        }
    }

    fn receive_sync_part(
        &mut self,
        transfer_id: u64,
        part_index: u64,
        is_last: bool,
        entries: Vec<(ClaimKey, ClaimEntry)>,
        now: Now,
    ) -> Result<(), Refusal> {
        let Role::Witness {
            synced,
            transfer_id: current,
            next_part_index,
            ..
        } = &mut self.role
        else {
            return Err(Refusal::NotWitness);
        };
        if part_index == 0 && transfer_id > *current {
            *current = transfer_id;
            *next_part_index = 0;
        }
        if transfer_id != *current || part_index != *next_part_index {
            return Err(Refusal::NotSynced);
        }
        *next_part_index += 1;
        *synced |= is_last;
        for (key, entry) in entries {
            self.insert(key, entry, now);
        }
        Ok(())
    }

    /// Inserts an entry from the owner unless the table already has a newer state of the key.
    fn insert(&mut self, key: ClaimKey, entry: ClaimEntry, now: Now) {
        let mut entry = ClaimEntry {
            changed_at: now.monotonic,
            ..entry
        };
        if entry.phase == Phase::Pending {
            // The acknowledgement of this message may let the owner grant the claim.
            entry.phase = Phase::Running;
        }
        let finished = |entry: &ClaimEntry| matches!(entry.phase, Phase::Finished { .. });
        match self.table.get(&key) {
            Some(held) if finished(held) && !finished(&entry) => {}
            Some(held) if held.sequence > entry.sequence => {}
            _ => {
                self.next_sequence = self.next_sequence.max(entry.sequence + 1);
                self.table.insert(key, entry);
            }
        }
    }
}
