//! The age of its state that a box states is never less than the true one, whatever order of polls,
//! responses, store calls, restarts and pauses led to it.
//!
//! Three boxes and a store run in virtual time. Each process has a clock of its own, which begins at
//! the same reading, as [`gatepier::clock::Now`] does; messages are delayed, duplicated and lost, and those
//! to a box reach its next process if it is restarted.

use super::cases;
use gatepier::clock::{Now, WallTime};
use gatepier::gateway::control::state::ControlPlaneState;
use gatepier::gateway::peers::pending_polls::{PendingPolls, PollId};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use std::net::SocketAddr;
use std::time::Duration;

const BOXES: usize = 3;
const LENGTH_MS: u64 = 20_000;
const STEP_MS: u64 = 10;
const SEEDS: u64 = 150;
/// What the clock of a process shows as it starts.
const CLOCK_AT_START: Duration = Duration::from_secs(3600);
const MAX_DELAY_MS: u64 = 400;
const MAX_PAUSE_MS: u64 = 6000;

/// What a box takes for the time at which the poll was sent that a response answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProofBy {
    /// Its own record of the poll.
    PendingPoll,
    /// The time that the poll carried and the response returns.
    EchoedTime,
}

#[derive(Debug, Clone)]
enum Message {
    Poll {
        id: PollId,
        sent: Duration,
        from: usize,
    },
    Response {
        id: PollId,
        sent: Duration,
        from: usize,
        age: Option<Duration>,
        revision: u64,
    },
    /// Reaches only the process that made the call.
    StoreAnswer {
        process: u64,
        sent: Duration,
        revision: u64,
    },
}

struct SimulatedBox {
    process: u64,
    started_ms: u64,
    paused_until_ms: u64,
    state: ControlPlaneState,
    pending: PendingPolls,
    revision: u64,
}

struct Delivery {
    due_ms: u64,
    to: usize,
    message: Message,
}

struct Simulation {
    rng: StdRng,
    now_ms: u64,
    boxes: Vec<SimulatedBox>,
    in_transit: Vec<Delivery>,
    /// When each revision of the store was written.
    written_ms: Vec<u64>,
    processes: u64,
    confirmations: u64,
}

fn address(box_index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7000 + u16::try_from(box_index).unwrap()))
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            boxes: Vec::new(),
            in_transit: Vec::new(),
            written_ms: Vec::new(),
            processes: 0,
            confirmations: 0,
        };
        for _ in 0..BOXES {
            let started = simulation.new_process();
            simulation.boxes.push(started);
        }
        simulation
    }

    fn new_process(&mut self) -> SimulatedBox {
        self.processes += 1;
        SimulatedBox {
            process: self.processes,
            started_ms: self.now_ms,
            paused_until_ms: 0,
            state: ControlPlaneState::default(),
            pending: PendingPolls::default(),
            revision: 0,
        }
    }

    fn clock(&self, box_index: usize) -> Now {
        let started_ms = self.boxes[box_index].started_ms;
        Now {
            monotonic: CLOCK_AT_START + Duration::from_millis(self.now_ms - started_ms),
            wall: WallTime(self.now_ms),
        }
    }

    /// Sends a message, which may be lost or duplicated.
    fn send(&mut self, to: usize, message: Message) {
        let copies = [0, 1, 1, 1, 1, 2][self.rng.random_range(0..6)];
        for _ in 0..copies {
            let due_ms = self.now_ms + self.rng.random_range(1..MAX_DELAY_MS);
            let message = message.clone();
            self.in_transit.push(Delivery {
                due_ms,
                to,
                message,
            });
        }
    }

    fn step(&mut self, proof_by: ProofBy) {
        self.now_ms += STEP_MS;
        if self.rng.random_bool(0.03) {
            self.written_ms.push(self.now_ms);
        }
        for box_index in 0..BOXES {
            if self.rng.random_bool(0.002) {
                self.boxes[box_index] = self.new_process();
            }
            if self.rng.random_bool(0.002) {
                let pause_ms = self.rng.random_range(500..MAX_PAUSE_MS);
                self.boxes[box_index].paused_until_ms = self.now_ms + pause_ms;
            }
            if !self.is_paused(box_index) {
                self.act(box_index);
            }
        }
        let (now_ms, mut due) = (self.now_ms, Vec::new());
        for delivery in std::mem::take(&mut self.in_transit) {
            match delivery.due_ms <= now_ms && !self.is_paused(delivery.to) {
                true => due.push(delivery),
                false => self.in_transit.push(delivery),
            }
        }
        for delivery in due {
            self.receive(delivery.to, delivery.message, proof_by);
        }
    }

    fn is_paused(&self, box_index: usize) -> bool {
        self.boxes[box_index].paused_until_ms > self.now_ms
    }

    /// Lets a box poll another one or call the store.
    fn act(&mut self, box_index: usize) {
        let now = self.clock(box_index);
        let sent = now.monotonic;
        if self.rng.random_bool(0.05) {
            let to = (box_index + self.rng.random_range(1..BOXES)) % BOXES;
            let id = self.boxes[box_index].pending.begin(address(to), now);
            let from = box_index;
            self.send(to, Message::Poll { id, sent, from });
        }
        // The store reads as the call arrives, and the answer may take much longer.
        if self.rng.random_bool(0.004) {
            let process = self.boxes[box_index].process;
            let revision = self.written_ms.len() as u64;
            self.send(
                box_index,
                Message::StoreAnswer {
                    process,
                    sent,
                    revision,
                },
            );
        }
    }

    fn receive(&mut self, at: usize, message: Message, proof_by: ProofBy) {
        let now = self.clock(at);
        match message {
            Message::Poll { id, sent, from } => {
                let known = &self.boxes[at];
                let (age, revision) = (known.state.age(now), known.revision);
                let response = Message::Response {
                    id,
                    sent,
                    from: at,
                    age,
                    revision,
                };
                self.send(from, response);
            }
            Message::Response {
                id,
                sent,
                from,
                age,
                revision,
            } => {
                // A large change has to be fetched first.
                let takes_changes = self.rng.random_bool(0.8);
                let known = &mut self.boxes[at];
                if takes_changes {
                    known.revision = known.revision.max(revision);
                }
                let answered = known.pending.finish(id, address(from));
                let Some(age) = age.filter(|_| known.revision >= revision) else {
                    return;
                };
                let as_of = match proof_by {
                    ProofBy::PendingPoll => answered.and_then(|poll| poll.proves_as_of(age)),
                    ProofBy::EchoedTime => sent.checked_sub(age),
                };
                if let Some(as_of) = as_of {
                    known.state.confirm(as_of);
                    self.confirmations += 1;
                }
            }
            Message::StoreAnswer {
                process,
                sent,
                revision,
            } => {
                let known = &mut self.boxes[at];
                if known.process == process {
                    known.revision = known.revision.max(revision);
                    known.state.confirm(sent);
                    self.confirmations += 1;
                }
            }
        }
    }

    /// Returns whether a box lacks something that was written before the time for which it believes its
    /// state to be current.
    fn overstates_freshness(&self, box_index: usize) -> bool {
        let known = &self.boxes[box_index];
        let Some(age) = known.state.age(self.clock(box_index)) else {
            return false;
        };
        let as_of_ms = self.now_ms.saturating_sub(age.as_millis() as u64);
        let written_before = self.written_ms.iter().filter(|at| **at < as_of_ms).count();
        (written_before as u64) > known.revision
    }
}

/// Returns the number of seeds in which a box overstated how fresh its state was, and the number of
/// confirmations in all of them.
fn explore(proof_by: ProofBy) -> (usize, u64) {
    let (mut overstated, mut confirmations) = (0, 0);
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        let mut is_overstated = false;
        while simulation.now_ms < LENGTH_MS {
            simulation.step(proof_by);
            is_overstated |= (0..BOXES).any(|at| simulation.overstates_freshness(at));
        }
        overstated += usize::from(is_overstated);
        confirmations += simulation.confirmations;
    }
    (overstated, confirmations)
}

cases! {
    stated_age_is_never_less_than_the_true_one => {
        // Guards against proofs that compare the clocks of two processes of a box.
        let (overstated, confirmations) = explore(ProofBy::PendingPoll);
        expect_that!(overstated, eq(0));
        // Otherwise this would show nothing.
        expect_that!(confirmations, gt(SEEDS * 50));
    }

    exploration_finds_proofs_by_a_time_of_another_process => {
        let (overstated, _) = explore(ProofBy::EchoedTime);
        expect_that!(overstated, gt(0));
    }

    poll_is_answered_once_and_by_the_polled_box => {
        let now = super::at(5000);
        let mut pending = PendingPolls::default();
        let id = pending.begin(address(1), now);
        expect_that!(pending.finish(id, address(2)), none());
        expect_that!(PendingPolls::default().finish(id, address(1)), none());
        let answered = pending.finish(id, address(1)).unwrap();
        expect_that!(
            answered.proves_as_of(Duration::from_secs(1)),
            some(eq(Duration::from_secs(4)))
        );
        expect_that!(answered.proves_as_of(Duration::MAX), none());
        expect_that!(pending.finish(id, address(1)), none());
    }
}
