//! Explores the state machine of claims exhaustively, with two attempts at one key and three
//! agents: every order of messages, takeovers, lost responses and restarts up to a depth.
//!
//! The orders include frozen agents, since a frozen agent takes no step for a while.
//! `GATEPIER_EXPLORE_DEPTH` sets the depth in steps.

use gatepier::claim::message::{ClaimChange, ReplicaMessage};
use gatepier::claim::replica::{ClaimStep, Replica};
use gatepier::claim::view::{Epoch, Member, Members, ShardId, View};
use gatepier::claim::{AttemptId, ClaimKey, ClaimReply};
use gatepier::clock::{Now, WallTime};
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::time::Duration;

const AGENTS: usize = 3;
const ATTEMPTS: usize = 2;
const DEFAULT_DEPTH_STEPS: usize = 7;
const NOW: Now = Now {
    monotonic: Duration::from_secs(1),
    wall: WallTime(1_000_000),
};

/// A message in flight. It may be delivered late or never.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum InFlight {
    Replicate(Box<ReplicaMessage>),
    ClaimAck {
        owner: Member,
        epoch: Epoch,
        attempt: usize,
    },
    SyncAck {
        owner: Member,
        epoch: Epoch,
    },
    Release {
        attempt: usize,
    },
}

/// State of an attempt, as its router sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum AttemptState {
    Idle,
    Waiting,
    Granted,
    Refused,
}

/// A write to the store whose response has not reached the writer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct StoreWrite {
    agent: usize,
    expected_epoch: Epoch,
    view: View,
}

#[derive(Debug, Clone, Hash)]
struct World {
    incarnations: [u64; AGENTS],
    replicas: [Replica; AGENTS],
    stored: View,
    writes: Vec<StoreWrite>,
    messages: Vec<InFlight>,
    attempts: [AttemptState; ATTEMPTS],
    restarts_left: u8,
    view_changes_left: u8,
}

fn member(agent: usize, incarnation: u64) -> Member {
    Member {
        box_name: format!("agent-{agent}"),
        incarnation,
    }
}

fn key() -> ClaimKey {
    ClaimKey {
        organisation: "comics".to_owned(),
        request_id: "mark".to_owned(),
    }
}

fn attempt_id(attempt: usize) -> AttemptId {
    AttemptId(attempt as u128)
}

impl World {
    fn new(restarts_left: u8, view_changes_left: u8) -> Self {
        let members = Members {
            owner: member(0, 1),
            witness: Some(member(1, 1)),
            list_revision: 1,
        };
        let shard = ShardId {
            hall: "ikeja".to_owned(),
            index: 0,
        };
        let stored = View::initial(shard, members, NOW.wall);
        let mut replicas = [0, 1, 2].map(|agent| Replica::new(member(agent, 1)));
        for replica in &mut replicas {
            replica.apply_view(&stored);
        }
        for part in replicas[0].sync_parts() {
            replicas[1].receive(part, NOW).unwrap();
        }
        replicas[0].mark_witness_synced(stored.epoch);
        Self {
            incarnations: [1; AGENTS],
            replicas,
            stored,
            writes: Vec::new(),
            messages: Vec::new(),
            attempts: [AttemptState::Idle; ATTEMPTS],
            restarts_left,
            view_changes_left,
        }
    }

    fn member(&self, agent: usize) -> Member {
        member(agent, self.incarnations[agent])
    }

    fn agent_of(&self, member: &Member) -> Option<usize> {
        (0..AGENTS).find(|agent| self.member(*agent) == *member)
    }

    fn is_gone(&self, member: &Member) -> bool {
        self.agent_of(member).is_none()
    }

    fn send(&mut self, message: InFlight) {
        if !self.messages.contains(&message) {
            self.messages.push(message);
        }
    }

    fn reply(&mut self, attempt: usize, reply: &ClaimReply) {
        self.attempts[attempt] = match reply {
            ClaimReply::Granted => AttemptState::Granted,
            _ => AttemptState::Refused,
        };
        if matches!(reply, ClaimReply::NotNow(_)) {
            self.send(InFlight::Release { attempt });
        }
    }

    /// Returns all worlds that are one step away.
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for agent in 0..AGENTS {
            self.start_claim(agent, &mut next);
            self.time_out(agent, &mut next);
            self.sync(agent, &mut next);
            self.read_stored_view(agent, &mut next);
            self.change_view(agent, &mut next);
            self.restart(agent, &mut next);
        }
        self.step_without_delays(&mut next);
        for position in 0..self.messages.len() {
            self.deliver(position, &mut next);
        }
        for position in 0..self.writes.len() {
            self.apply_write(position, &mut next);
        }
        next
    }

    fn start_claim(&self, agent: usize, next: &mut Vec<Self>) {
        let idle = (0..ATTEMPTS).filter(|attempt| self.attempts[*attempt] == AttemptState::Idle);
        // The attempts are interchangeable, so only the first idle one starts.
        for attempt in idle.take(1) {
            let mut world = self.clone();
            world.attempts[attempt] = AttemptState::Waiting;
            match world.replicas[agent].claim(&key(), attempt_id(attempt), NOW) {
                ClaimStep::Reply(reply) => world.reply(attempt, &reply),
                ClaimStep::Replicate(message) => world.send(InFlight::Replicate(message)),
            }
            next.push(world);
        }
    }

    /// An attempt times out at its router or at the owner.
    fn time_out(&self, agent: usize, next: &mut Vec<Self>) {
        for attempt in 0..ATTEMPTS {
            if self.attempts[attempt] == AttemptState::Waiting && self.replicas[agent].is_owner() {
                let mut world = self.clone();
                world.replicas[agent].abort_attempt(&key(), attempt_id(attempt));
                world.reply(attempt, &ClaimReply::NotNow(String::new()));
                next.push(world);
            }
        }
    }

    fn sync(&self, agent: usize, next: &mut Vec<Self>) {
        if self.replicas[agent].needs_sync() {
            let mut world = self.clone();
            for part in world.replicas[agent].sync_parts() {
                world.send(InFlight::Replicate(Box::new(part)));
            }
            next.push(world);
        }
    }

    fn read_stored_view(&self, agent: usize, next: &mut Vec<Self>) {
        if self.replicas[agent].view() != Some(&self.stored) {
            let mut world = self.clone();
            let stored = world.stored.clone();
            world.replicas[agent].apply_view(&stored);
            next.push(world);
        }
    }

    /// An agent sends a write of the next view to the store.
    fn change_view(&self, agent: usize, next: &mut Vec<Self>) {
        if self.view_changes_left == 0 || self.replicas[agent].view() != Some(&self.stored) {
            return;
        }
        for other in (0..AGENTS).filter(|other| *other != agent) {
            let mut world = self.clone();
            let owner = self.member(agent);
            let members = Members {
                owner,
                witness: Some(self.member(other)),
                list_revision: 1,
            };
            let Some(view) = world.next_view(agent, members) else {
                continue;
            };
            world.view_changes_left -= 1;
            world.writes.push(StoreWrite {
                agent,
                expected_epoch: self.stored.epoch,
                view,
            });
            next.push(world);
        }
    }

    fn next_view(&mut self, agent: usize, members: Members) -> Option<View> {
        let stored = self.stored.clone();
        let lost = self.is_gone(&stored.owner)
            && stored.witness.as_ref().is_none_or(|witness| {
                let unsynced =
                    *witness == self.member(agent) && !self.replicas[agent].can_take_over();
                unsynced || self.is_gone(witness)
            });
        if lost {
            return Some(stored.successor_after_loss(members, NOW.wall));
        }
        if stored.owner == self.member(agent) {
            let replaced = members.witness != stored.witness;
            return replaced.then(|| stored.successor(members, NOW.wall));
        }
        self.replicas[agent].begin_takeover(members, NOW.wall)
    }

    /// A write reaches the store. Its response arrives or is lost.
    fn apply_write(&self, position: usize, next: &mut Vec<Self>) {
        for is_answered in [true, false] {
            let mut world = self.clone();
            let write = world.writes.remove(position);
            if world.stored.epoch == write.expected_epoch {
                world.stored = write.view;
            }
            if is_answered {
                let stored = world.stored.clone();
                world.replicas[write.agent].apply_view(&stored);
            }
            next.push(world);
        }
    }

    /// Combines steps that usually follow each other immediately into one step, so that the depth
    /// covers long sequences too.
    fn step_without_delays(&self, next: &mut Vec<Self>) {
        for agent in 0..AGENTS {
            let mut claimed = Vec::new();
            self.start_claim(agent, &mut claimed);
            self.sync(agent, &mut claimed);
            next.extend(claimed.into_iter().map(Self::deliver_all));
            let mut changed = Vec::new();
            self.change_view(agent, &mut changed);
            next.extend(changed.into_iter().map(Self::apply_newest_write));
        }
    }

    /// Delivers all messages, including those sent in response.
    fn deliver_all(mut self) -> Self {
        while !self.messages.is_empty() {
            let mut delivered = Vec::new();
            self.deliver(0, &mut delivered);
            match delivered.pop() {
                Some(next) => self = next,
                None => {
                    self.messages.remove(0);
                }
            }
        }
        self
    }

    /// Applies the newest write to the store and the stored view to all replicas.
    fn apply_newest_write(mut self) -> Self {
        if let Some(write) = self.writes.pop()
            && self.stored.epoch == write.expected_epoch
        {
            self.stored = write.view;
        }
        let stored = self.stored.clone();
        for replica in &mut self.replicas {
            replica.apply_view(&stored);
        }
        self
    }

    fn restart(&self, agent: usize, next: &mut Vec<Self>) {
        if self.restarts_left > 0 {
            let mut world = self.clone();
            world.restarts_left -= 1;
            world.incarnations[agent] += 1;
            world.replicas[agent] = Replica::new(world.member(agent));
            // A write of the previous incarnation may still reach the store.
            next.push(world);
        }
    }

    fn deliver(&self, position: usize, next: &mut Vec<Self>) {
        let mut world = self.clone();
        match world.messages.remove(position) {
            InFlight::Replicate(message) => world.receive(*message),
            InFlight::ClaimAck {
                owner,
                epoch,
                attempt,
            } => {
                let Some(agent) = world.agent_of(&owner) else {
                    return;
                };
                if world.attempts[attempt] != AttemptState::Waiting {
                    return;
                }
                let id = attempt_id(attempt);
                let reply = world.replicas[agent].handle_claim_ack(epoch, &key(), id, NOW);
                if reply != ClaimReply::Granted {
                    world.replicas[agent].abort_attempt(&key(), id);
                }
                world.reply(attempt, &reply);
            }
            InFlight::SyncAck { owner, epoch } => {
                let Some(agent) = world.agent_of(&owner) else {
                    return;
                };
                world.replicas[agent].mark_witness_synced(epoch);
            }
            InFlight::Release { attempt } => {
                let owner = (0..AGENTS).find(|agent| world.replicas[*agent].is_owner());
                let message = owner
                    .and_then(|owner| world.replicas[owner].release(&key(), attempt_id(attempt)));
                message
                    .into_iter()
                    .for_each(|message| world.send(InFlight::Replicate(Box::new(message))));
            }
        }
        next.push(world);
    }

    fn receive(&mut self, message: ReplicaMessage) {
        let Some(agent) = self.agent_of(&message.to) else {
            return;
        };
        let (owner, epoch) = (message.from.clone(), message.epoch);
        let ack = match &message.change {
            ClaimChange::Claim { attempt, .. } => {
                let attempt = usize::try_from(attempt.0).unwrap();
                Some(InFlight::ClaimAck {
                    owner,
                    epoch,
                    attempt,
                })
            }
            ClaimChange::SyncPart { is_last: true, .. } => Some(InFlight::SyncAck { owner, epoch }),
            _ => None,
        };
        if self.replicas[agent].receive(message, NOW).is_ok() {
            ack.into_iter().for_each(|ack| self.send(ack));
        }
    }

    fn granted_count(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| **attempt == AttemptState::Granted)
            .count()
    }

    fn hash_value(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let messages: BTreeSet<u64> = self.messages.iter().map(hash_of).collect();
        (
            self.incarnations,
            &self.replicas,
            &self.stored,
            &self.writes,
        )
            .hash(&mut hasher);
        (
            messages,
            self.attempts,
            self.restarts_left,
            self.view_changes_left,
        )
            .hash(&mut hasher);
        hasher.finish()
    }
}

fn hash_of(message: &InFlight) -> u64 {
    let mut hasher = DefaultHasher::new();
    message.hash(&mut hasher);
    hasher.finish()
}

/// Explores all worlds up to a depth and returns their number.
fn explore(start: World, depth: usize) -> usize {
    let mut seen = HashSet::from([start.hash_value()]);
    let mut queue = VecDeque::from([(start, 0)]);
    while let Some((world, steps)) = queue.pop_front() {
        assert!(
            world.granted_count() <= 1,
            "two attempts were granted after {steps} steps: {world:#?}"
        );
        if steps == depth {
            continue;
        }
        for next in world.successors() {
            if seen.insert(next.hash_value()) {
                queue.push_back((next, steps + 1));
            }
        }
    }
    seen.len()
}

fn depth() -> usize {
    std::env::var("GATEPIER_EXPLORE_DEPTH")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_DEPTH_STEPS)
}

macro_rules! explorations {
    ($($name:ident: $restarts:expr, $view_changes:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let worlds = explore(World::new($restarts, $view_changes), depth());
                println!("{}: {worlds} worlds to depth {}", stringify!($name), depth());
                assert!(worlds > 100, "the exploration found too few worlds");
            }
        )+
    };
}

explorations! {
    no_two_grants_without_restarts: 0, 2;
    no_two_grants_with_one_restart: 1, 2;
    no_two_grants_with_two_restarts: 2, 2;
}
