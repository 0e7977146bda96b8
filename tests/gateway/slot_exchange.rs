//! Boxes that lend each other the slots of one upstream, in virtual time, while messages are late,
//! lost, repeated and overtaken, and boxes stand still or start again.
//!
//! Guards against a slot that two boxes use at the same time, whatever is late.

use super::{cases, listed};
use futures::FutureExt as _;
use gatepier::clock::Now;
use gatepier::gateway::attempt::upstream::Upstream;
use gatepier::gateway::peers::loan_book::{Loan, LoanBook, PendingLoan};
use gatepier::gateway::peers::loan_inquiry::LoanInquiry;
use gatepier::gateway::peers::slot_loans::{LoanKey, SlotMessage};
use gatepier::gateway::place::fleet_view::FleetView;
use gatepier::gateway::place::slots::{HeldSlot, SLOT_VALIDITY, ServiceSlots};
use gatepier::routing::placement::LoadGuard;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const BOXES: usize = 6;
const SLOTS: u32 = 3;
/// How long the upstream runs a request.
const RUN_MS: u64 = 100;
/// The time from the choice of an upstream until the request is written, on a box that runs.
const MAX_CONNECT_MS: u64 = 60;
/// How long a message is under way: usually, and if it is late.
const USUAL_DELAY_MS: u64 = 4;
const LATE_DELAY_MS: u64 = 3000;
/// How long boxes stand still: most of them, and some.
const SHORT_STOP_MS: u64 = 400;
const LONG_STOP_MS: u64 = 8000;
const VERY_LONG_STOP_MS: u64 = 50_000;
const EXTENSION_MS: u64 = SLOT_VALIDITY.as_millis() as u64 / 8;
const LENGTH_MS: u64 = 60_000;

const SEEDS: u64 = 10;

/// How often each trouble happens, in a million milliseconds of a box or of messages in a million.
#[derive(Debug, Clone, Copy, Default)]
struct Troubles {
    late: u32,
    lost: u32,
    repeated: u32,
    short_stops: u32,
    long_stops: u32,
    very_long_stops: u32,
    restarts: u32,
}

/// A request that has a slot.
struct SentRequest {
    owner: usize,
    slot: Option<(HeldSlot, LoadGuard)>,
    phase: Phase,
}

#[derive(Clone, Copy)]
enum Phase {
    /// It waits for its connection until then.
    Connecting(u64),
    /// The upstream runs it until then, and the box reads the answer a little later.
    Running { until: u64, read_at: u64 },
}

struct SimulatedBox {
    address: SocketAddr,
    book: Rc<LoanBook>,
    inquiry: LoanInquiry,
    upstream: Rc<Upstream>,
    service: Rc<ServiceSlots>,
    started_ms: u64,
    stopped_until: u64,
    asked: Vec<PendingLoan>,
}

impl SimulatedBox {
    fn new(number: u8, now_ms: u64) -> Self {
        Self {
            address: SocketAddr::from(([10, 0, 0, number], 7000)),
            book: Rc::default(),
            inquiry: LoanInquiry::default(),
            upstream: Upstream::new(listed("i-0", "reader-api", "ikeja")),
            service: Rc::default(),
            started_ms: now_ms,
            stopped_until: 0,
            asked: Vec::new(),
        }
    }
}

struct Simulation {
    rng: StdRng,
    troubles: Troubles,
    begin: Now,
    ms: u64,
    addresses: Vec<SocketAddr>,
    boxes: Vec<SimulatedBox>,
    /// When each message arrives, at which box and from which.
    messages: Vec<(u64, usize, usize, SlotMessage)>,
    requests: Vec<SentRequest>,
    served: usize,
    most_running: usize,
}

impl Simulation {
    fn new(seed: u64, troubles: Troubles) -> Self {
        let boxes: Vec<SimulatedBox> = (0..BOXES)
            .map(|number| SimulatedBox::new(u8::try_from(number).unwrap(), 0))
            .collect();
        Self {
            rng: StdRng::seed_from_u64(seed),
            troubles,
            begin: Now::read(),
            ms: 0,
            addresses: boxes.iter().map(|found| found.address).collect(),
            boxes,
            messages: Vec::new(),
            requests: Vec::new(),
            served: 0,
            most_running: 0,
        }
    }

    fn now(&self) -> Now {
        Now {
            monotonic: self.begin.monotonic + Duration::from_millis(self.ms),
            ..self.begin
        }
    }

    fn happens(&mut self, in_a_million: u32) -> bool {
        self.rng.random_ratio(in_a_million, 1_000_000)
    }

    fn run(&mut self) {
        while self.ms < LENGTH_MS {
            self.ms += 1;
            self.disturb();
            let runs = |owner: &usize| self.boxes[*owner].stopped_until <= self.ms;
            let mut running: Vec<usize> = (0..BOXES).filter(runs).collect();
            // A box that was stopped may write before it reads what has arrived.
            if self.rng.random_bool(0.5) {
                self.advance_requests();
                self.receive();
            } else {
                self.receive();
                self.advance_requests();
            }
            let turn = usize::try_from(self.ms).unwrap() % running.len().max(1);
            running.rotate_left(turn);
            for number in running {
                self.run_tasks(number);
                self.send_queued(number);
            }
            let running = self.requests.iter().filter(
                |request| matches!(request.phase, Phase::Running { until, .. } if until > self.ms),
            );
            self.most_running = self.most_running.max(running.count());
        }
    }

    fn disturb(&mut self) {
        for number in 0..BOXES {
            let troubles = self.troubles;
            if self.happens(troubles.restarts) {
                let address = u8::try_from(number).unwrap();
                let restarted = SimulatedBox::new(address, self.ms);
                drop(std::mem::replace(&mut self.boxes[number], restarted));
                // The upstream goes on with what the former process has sent.
                self.requests.retain_mut(|request| {
                    if request.owner == number {
                        request.slot = None;
                    }
                    request.owner != number || matches!(request.phase, Phase::Running { .. })
                });
            }
            let stops = [
                (troubles.short_stops, SHORT_STOP_MS),
                (troubles.long_stops, LONG_STOP_MS),
                (troubles.very_long_stops, VERY_LONG_STOP_MS),
            ];
            let stop = stops.into_iter().find(|(rate, _)| self.happens(*rate));
            let Some((_, stop)) = stop else {
                continue;
            };
            let until = self.ms + self.rng.random_range(1..stop);
            let found = &mut self.boxes[number];
            found.stopped_until = found.stopped_until.max(until);
        }
    }

    fn advance_requests(&mut self) {
        let now = self.now();
        let mut requests = std::mem::take(&mut self.requests);
        requests.retain_mut(|request| {
            let is_stopped = self.boxes[request.owner].stopped_until > self.ms;
            match request.phase {
                Phase::Connecting(until) if until <= self.ms && !is_stopped => {
                    let Some((slot, _)) = &request.slot else {
                        return false;
                    };
                    if slot.write_by() < now.monotonic {
                        return false;
                    }
                    slot.record_sent();
                    let arrives = self.ms + self.rng.random_range(0..USUAL_DELAY_MS);
                    request.phase = Phase::Running {
                        until: arrives + RUN_MS,
                        read_at: arrives + RUN_MS + self.rng.random_range(0..USUAL_DELAY_MS),
                    };
                    true
                }
                Phase::Running { until, read_at } if read_at <= self.ms => {
                    let is_read = request.slot.is_none() || !is_stopped;
                    if let (true, Some((slot, _))) = (is_read, &request.slot) {
                        slot.record_answered(now);
                        self.served += 1;
                    }
                    !is_read || until > self.ms
                }
                Phase::Connecting(_) | Phase::Running { .. } => true,
            }
        });
        self.requests = requests;
    }

    fn receive(&mut self) {
        self.messages.sort_by_key(|(at, ..)| *at);
        let due = |message: &mut (u64, usize, usize, SlotMessage)| {
            message.0 <= self.ms && self.boxes[message.1].stopped_until <= self.ms
        };
        let due: Vec<_> = self.messages.extract_if(.., due).collect();
        for (_, to, from, message) in due {
            self.handle(to, from, message);
        }
    }

    /// Handles a message as a box does.
    fn handle(&mut self, number: usize, from: usize, message: SlotMessage) {
        let now = self.now();
        let from = self.addresses[from];
        let may_lend = self.has_free_slot(number);
        let found = &self.boxes[number];
        let slots = found.upstream.slots();
        let id = |key: LoanKey| key.of(from);
        let reply = |message| found.book.outbox.push((from, message));
        match message {
            SlotMessage::Request(key) if may_lend => {
                slots.lend(id(key), now);
                reply(SlotMessage::Grant(key));
            }
            SlotMessage::Request(key) => {
                reply(SlotMessage::Denial(key));
                if let Some(id) = slots.recall_oldest(now) {
                    let message = SlotMessage::Recall(LoanKey::new(&found.upstream, id));
                    found.book.outbox.push((id.borrower, message));
                }
            }
            SlotMessage::Extension(key) => {
                slots.lend(id(key), now);
                reply(SlotMessage::Grant(key));
            }
            SlotMessage::Grant(key) => found.book.record_grant(key, from, now),
            SlotMessage::Denial(key) => found.book.record_denial(key, from, now),
            SlotMessage::Return(key) => {
                slots.end_loan(id(key));
            }
            SlotMessage::Recall(key) => found.book.recall(key, from),
            SlotMessage::Started(first) => {
                for id in slots.former_loans(from, first) {
                    reply(SlotMessage::Recall(LoanKey::new(&found.upstream, id)));
                }
                found.book.restate_loans(from, first, now);
            }
            SlotMessage::Lost(key) => {
                let run_end = now.monotonic + found.service.mean_run();
                slots.abandon_loan(id(key), run_end);
            }
            SlotMessage::AllStated(first) if found.book.is_first_loan(first) => {
                found.inquiry.record_answer(from);
            }
            SlotMessage::AllStated(_) => {}
        }
    }

    fn fleet(&self, number: usize) -> FleetView<'_> {
        let found = &self.boxes[number];
        FleetView {
            own_address: found.address,
            box_addresses: &self.addresses,
            uptime: Duration::from_millis(self.ms - found.started_ms),
        }
    }

    fn others(&self, number: usize) -> Vec<SocketAddr> {
        let mut others = self.addresses.clone();
        others.remove(number);
        others
    }

    fn has_free_slot(&self, number: usize) -> bool {
        let now = self.now();
        let fleet = self.fleet(number);
        let found = &self.boxes[number];
        let slots = found.upstream.slots();
        let in_use = slots.in_use(found.upstream.outstanding(), now);
        found.inquiry.begin(fleet.uptime, now);
        found.inquiry.is_finished(|| self.others(number), now)
            && in_use < slots.share(SLOTS, fleet, now)
    }

    /// Lets a box send requests, ask for slots, and do what it does regularly.
    fn run_tasks(&mut self, number: usize) {
        let now = self.now();
        let asked = std::mem::take(&mut self.boxes[number].asked);
        for mut pending in asked {
            match pending.answered().now_or_never() {
                Some(()) => {
                    if let Some(loan) = pending.take() {
                        self.begin_request(number, Some(loan));
                    }
                }
                // Some callers leave.
                None if self.rng.random_bool(0.02) => {}
                None => self.boxes[number].asked.push(pending),
            }
        }
        if self.rng.random_bool(0.05) {
            self.look_for_slot(number);
        }
        let found = &self.boxes[number];
        let since_start = self.ms - found.started_ms;
        if since_start.is_multiple_of(EXTENSION_MS) {
            found.book.extend_loans(now);
        }
        if since_start.is_multiple_of(10) {
            found.book.return_unused(now);
        }
        let is_asking = !found.inquiry.is_finished(|| self.others(number), now);
        if since_start.is_multiple_of(100) && is_asking {
            for address in found.inquiry.unanswered(self.others(number)) {
                found.book.announce_start(address);
            }
        }
    }

    /// Serves a request by a free slot of the box, one that it keeps, or one that it asks for.
    fn look_for_slot(&mut self, number: usize) {
        if self.has_free_slot(number) {
            self.begin_request(number, None);
            return;
        }
        let now = self.now();
        let found = &self.boxes[number];
        let hash = found.upstream.short_hash();
        if let Some(loan) = found.book.take_idle(hash, now) {
            self.begin_request(number, Some(loan));
            return;
        }
        let mut lenders = found
            .upstream
            .slots()
            .lenders(SLOTS, self.fleet(number), now);
        lenders.retain(|(lender, _)| found.book.may_ask(*lender, hash, now));
        if lenders.is_empty() {
            return;
        }
        let (lender, _) = lenders[self.rng.random_range(0..lenders.len())];
        let found = &mut self.boxes[number];
        let pending = found.book.ask(lender, hash, found.service.clone(), now);
        found.asked.push(pending);
    }

    fn begin_request(&mut self, owner: usize, loan: Option<Loan>) {
        let found = &self.boxes[owner];
        let slot = HeldSlot::take(&found.upstream, found.service.clone(), loan, self.now());
        let guard = found.upstream.begin_request();
        let connected = self.ms + self.rng.random_range(0..MAX_CONNECT_MS);
        self.requests.push(SentRequest {
            owner,
            slot: Some((slot, guard)),
            phase: Phase::Connecting(connected),
        });
    }

    fn send_queued(&mut self, from: usize) {
        let queued = self.boxes[from].book.outbox.next().now_or_never();
        for (to, message) in queued.unwrap_or_default() {
            let to = self
                .addresses
                .iter()
                .position(|known| *known == to)
                .unwrap();
            let copies = match (
                self.happens(self.troubles.lost),
                self.happens(self.troubles.repeated),
            ) {
                (true, _) => 0,
                (false, true) => 2,
                (false, false) => 1,
            };
            for _ in 0..copies {
                let longest = match self.happens(self.troubles.late) {
                    true => LATE_DELAY_MS,
                    false => USUAL_DELAY_MS,
                };
                let at = self.ms + self.rng.random_range(1..=longest);
                self.messages.push((at, to, from, message));
            }
        }
    }
}

/// Returns the part of the capacity that was served, after a check that no slot was used twice.
fn served_part(seed: u64, troubles: Troubles) -> f64 {
    let mut simulation = Simulation::new(seed, troubles);
    simulation.run();
    let running = simulation.most_running;
    expect_that!(running, le(SLOTS as usize), "seed {seed}, {troubles:?}");
    let capacity = f64::from(SLOTS) * (LENGTH_MS / RUN_MS) as f64;
    simulation.served as f64 / capacity
}

const LATE: Troubles = Troubles {
    late: 100_000,
    lost: 50_000,
    repeated: 50_000,
    short_stops: 300,
    long_stops: 0,
    very_long_stops: 0,
    restarts: 0,
};

cases! {
    slots_are_used_without_trouble => {
        expect_that!(served_part(0, Troubles::default()), ge(0.5));
    }

    slots_are_used_once_while_messages_and_boxes_are_late => {
        for seed in 0..SEEDS {
            expect_that!(served_part(seed, LATE), ge(0.2), "seed {seed}");
        }
    }

    slots_are_used_once_though_boxes_stand_still_for_long => {
        for seed in 0..SEEDS {
            served_part(seed, Troubles { long_stops: 40, very_long_stops: 5, ..LATE });
        }
    }

    slots_are_used_once_though_boxes_start_again => {
        for seed in 0..SEEDS {
            served_part(seed, Troubles { restarts: 60, ..LATE });
        }
    }
}
