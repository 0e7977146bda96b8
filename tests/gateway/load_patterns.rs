//! Who is served, waits or is refused under patterns of load, over virtual time.
//!
//! Three upstreams serve six requests of 30 ms at a time each, and queue up to 24 more; callers want
//! an answer within 150 ms, wait for 1.5 s, and come back once. Thresholds are what callers need: a
//! refusal within a quarter of the objective still leaves time for another attempt, and being
//! refused twice helps nobody.

use super::{at, cases};
use gatepier::clock::Now;
use gatepier::gateway::admit::load_decision::{
    CallerHistory, LoadDecision, LoadInputs, Standing, decide, time_until_room,
};
use gatepier::gateway::admit::service_demand::ServiceDemand;
use gatepier::gateway::admit::wait_queue::{Urgency, WaitQueue, Waiter, WaiterId};
use gatepier::gateway::answer::return_schedule::ReturnSchedule;
use gatepier::gateway::place::expected_wait::ExpectedWait;
use googletest::prelude::*;
use std::collections::VecDeque;
use std::time::Duration;

const SERVICE: &str = "booking";
const SLOTS: usize = 6;
const QUEUE_PLACES: usize = 24;
const RUN_MS: u64 = 30;
const OBJECTIVE_MS: u64 = 150;
const DEADLINE_MS: u64 = 1500;
/// Upstreams state their load this often; boxes send by it and what they sent since.
const REPORT_INTERVAL_MS: u64 = 10;
/// What an upstream serves, in requests per millisecond.
const UPSTREAM_RATE: f64 = SLOTS as f64 / RUN_MS as f64;
const URGENT: Urgency = Urgency {
    organisation: 0,
    route: 0,
};
const LESS_URGENT: Urgency = Urgency {
    organisation: 0,
    route: 2,
};

/// Callers of one kind and organisation.
#[derive(Debug, Clone, Copy)]
struct Stream {
    organisation: usize,
    urgency: Urgency,
    /// Requests per millisecond, and when they arrive.
    rate: f64,
    from_ms: u64,
    to_ms: u64,
    /// Whether they come back at once, and often, instead of when they are asked to.
    repeats_at_once: bool,
}

impl Stream {
    fn steady(organisation: usize, rate: f64, to_ms: u64) -> Self {
        let urgency = URGENT;
        Self {
            organisation,
            urgency,
            rate,
            from_ms: 0,
            to_ms,
            repeats_at_once: false,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    stream: usize,
    began_ms: u64,
    sent_ms: u64,
    sends: u32,
    /// The same for all sends.
    draw: u8,
    /// Bits of the upstreams that have rejected this send.
    tried: u8,
}

/// What became of the requests of one stream.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    arrived: u32,
    in_time: u32,
    /// In time since the caller came back.
    returned_in_time: u32,
    late: u32,
    refused_for_good: u32,
    refused_again: u32,
    refused_late: u32,
    rejected: u32,
}

impl Outcome {
    fn share_in_time(&self) -> f64 {
        f64::from(self.in_time + self.returned_in_time) / f64::from(self.arrived)
    }
}

#[derive(Debug, Default)]
struct Upstream {
    running: Vec<(u64, Request, usize)>,
    queued: VecDeque<(Request, usize)>,
}

/// What a box knows of an upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    reported: usize,
    reported_ms: u64,
    sent_since: usize,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    id: WaiterId,
    request: Request,
    caller: CallerHistory,
    until_ms: u64,
    room_limit: Duration,
}

#[derive(Debug, Default)]
struct BoxState {
    queue: WaitQueue,
    waiting: Vec<Waiting>,
    demand: ServiceDemand,
    returns: ReturnSchedule,
    known: Vec<Known>,
}

struct Fleet {
    streams: Vec<Stream>,
    boxes: Vec<BoxState>,
    upstreams: Vec<Upstream>,
    returning: Vec<(u64, Request)>,
    outcomes: Vec<Outcome>,
    now_ms: u64,
    arrivals: usize,
    draw: u8,
}

impl Fleet {
    fn new(boxes: usize, upstreams: usize, streams: Vec<Stream>) -> Self {
        let new_box = |_| BoxState {
            known: vec![Known::default(); upstreams],
            ..BoxState::default()
        };
        Self {
            outcomes: vec![Outcome::default(); streams.len()],
            streams,
            boxes: (0..boxes).map(new_box).collect(),
            upstreams: (0..upstreams).map(|_| Upstream::default()).collect(),
            returning: Vec::new(),
            now_ms: 0,
            arrivals: 0,
            draw: 0,
        }
    }

    fn now(&self) -> Now {
        at(self.now_ms)
    }

    fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.serve_at_upstreams();
            self.look_for_room();
            self.arrive();
            self.now_ms += 1;
        }
    }

    fn arrive(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) = self
            .returning
            .drain(..)
            .partition(|(at_ms, _)| *at_ms <= self.now_ms);
        self.returning = later;
        for (_, request) in due {
            self.admit(Request {
                sent_ms: self.now_ms,
                sends: request.sends + 1,
                tried: 0,
                ..request
            });
        }
        for stream in 0..self.streams.len() {
            let Stream {
                rate,
                from_ms,
                to_ms,
                ..
            } = self.streams[stream];
            if !(from_ms..to_ms).contains(&self.now_ms) {
                continue;
            }
            let count = |ms: u64| (ms as f64 * rate) as u64;
            for _ in count(self.now_ms)..count(self.now_ms + 1) {
                self.outcomes[stream].arrived += 1;
                let (began_ms, sent_ms) = (self.now_ms, self.now_ms);
                // Steps by an odd number draw all values equally often.
                self.draw = self.draw.wrapping_add(97);
                let draw = self.draw;
                self.admit(Request {
                    stream,
                    began_ms,
                    sent_ms,
                    sends: 1,
                    draw,
                    tried: 0,
                });
            }
        }
    }

    fn admit(&mut self, request: Request) {
        // Any box may get the next request; a prime step spreads them.
        self.arrivals += 7919;
        let number = self.arrivals % self.boxes.len();
        let now = self.now();
        let urgency = self.streams[request.stream].urgency;
        let left = Duration::from_millis(DEADLINE_MS - (self.now_ms - request.began_ms));
        let demand = &mut self.boxes[number].demand;
        let organisation = self.streams[request.stream].organisation.to_string();
        demand.record_arrival(SERVICE, &organisation, urgency, now);
        let caller = demand.record_caller_time("book", left);
        self.decide_on(number, request, caller);
    }

    /// Returns what a box expects at an upstream, and whether the upstream is full.
    fn expected(&self, number: usize, upstream: usize) -> (ExpectedWait, bool) {
        let known = self.boxes[number].known[upstream];
        let age = self.now_ms - known.reported_ms;
        let done = (age as f64 * UPSTREAM_RATE) as usize;
        let ahead = known.reported.saturating_sub(done) + known.sent_since;
        let queue = (ahead + 1).saturating_sub(SLOTS) as f64 / UPSTREAM_RATE;
        let expected = ExpectedWait {
            queue: Duration::from_millis(queue as u64),
            run: Duration::from_millis(RUN_MS),
            report_age: Some(Duration::from_millis(age)),
        };
        (expected, ahead >= SLOTS + QUEUE_PLACES)
    }

    /// Returns the best upstream that may be tried, and whether there is one that is not full.
    fn best(&self, number: usize, tried: u8) -> Option<(usize, ExpectedWait, bool)> {
        let waits = (0..self.upstreams.len()).map(|upstream| {
            let (expected, is_full) = self.expected(number, upstream);
            (upstream, expected, is_full || tried & (1 << upstream) != 0)
        });
        waits.min_by_key(|(_, expected, is_full)| (*is_full, expected.total()))
    }

    fn waiter(&self, request: Request, caller: CallerHistory) -> Waiter {
        let latest_ms = request.began_ms + DEADLINE_MS - RUN_MS;
        Waiter {
            service: SERVICE.to_owned(),
            organisation: self.streams[request.stream].organisation.to_string(),
            urgency: self.streams[request.stream].urgency,
            came_back: caller == CallerHistory::Returned,
            latest_start: Duration::from_millis(latest_ms),
            bytes: 0,
        }
    }

    fn decide_on(&mut self, number: usize, request: Request, caller: CallerHistory) {
        let now = self.now();
        let held = self.now_ms - request.sent_ms;
        let waiter = self.waiter(request, caller);
        let best = self.best(number, request.tried);
        let this = &self.boxes[number];
        let deadline_ms = request.began_ms + DEADLINE_MS;
        let inputs = LoadInputs {
            expected: best.map(|(_, expected, _)| expected),
            is_full_everywhere: best.is_some_and(|(.., is_full)| is_full),
            objective: Duration::from_millis(OBJECTIVE_MS),
            objective_left: Duration::from_millis(OBJECTIVE_MS.saturating_sub(held)),
            deadline_left: Duration::from_millis(deadline_ms.saturating_sub(self.now_ms)),
            caller,
            draw: request.draw,
            standing: Standing {
                is_less_urgent: this.demand.has_more_urgent(SERVICE, waiter.urgency, now),
                is_over_share: this
                    .demand
                    .is_over_share(SERVICE, &waiter.organisation, now),
                has_others_ahead: this.queue.has_ahead(&waiter, &this.demand, now),
            },
        };
        match decide(&inputs) {
            LoadDecision::Send => self.send(number, request, caller),
            LoadDecision::Wait { at_most } => {
                let this = &mut self.boxes[number];
                let (id, _) = this.queue.enter(waiter, now).unwrap();
                this.waiting.push(Waiting {
                    id,
                    request,
                    caller,
                    until_ms: self.now_ms + at_most.as_millis() as u64,
                    room_limit: inputs.room_limit(),
                });
            }
            LoadDecision::Refuse { come_back } => {
                let this = &mut self.boxes[number];
                let delay = come_back.and_then(|window| {
                    let is_over = inputs.standing.is_over_share;
                    let organisation = is_over.then_some(waiter.organisation.as_str());
                    let served = this.demand.served_per_second(SERVICE, organisation, now);
                    let schedule = organisation.unwrap_or(SERVICE);
                    let span = window.latest.saturating_sub(window.earliest);
                    let pace = Duration::try_from_secs_f64(2.0 / served)
                        .unwrap_or(span)
                        .min(span);
                    this.returns
                        .assign_within(schedule, window.earliest, window.latest, pace, now)
                });
                self.refuse(request, delay);
            }
        }
    }

    fn refuse(&mut self, request: Request, come_back: Option<Duration>) {
        let outcome = &mut self.outcomes[request.stream];
        let held = self.now_ms - request.sent_ms;
        outcome.refused_late += u32::from(held > OBJECTIVE_MS / 4);
        let stream = self.streams[request.stream];
        let has_time = self.now_ms + 100 < request.began_ms + DEADLINE_MS;
        if stream.repeats_at_once && request.sends < 6 && has_time {
            self.returning.push((self.now_ms + 10, request));
            return;
        }
        match come_back {
            Some(delay) if request.sends == 1 => {
                self.returning
                    .push((self.now_ms + delay.as_millis() as u64, request));
            }
            _ => {
                outcome.refused_again += u32::from(request.sends > 1);
                outcome.refused_for_good += 1;
            }
        }
    }

    fn send(&mut self, number: usize, request: Request, caller: CallerHistory) {
        let Some((index, ..)) = self.best(number, request.tried) else {
            return self.refuse(request, None);
        };
        let upstream = &mut self.upstreams[index];
        let known = &mut self.boxes[number].known[index];
        if upstream.queued.len() < QUEUE_PLACES {
            known.sent_since += 1;
            upstream.queued.push_back((request, number));
            return;
        }
        // The rejection carries a report.
        let reported = SLOTS + upstream.queued.len();
        *known = Known {
            reported,
            reported_ms: self.now_ms,
            sent_since: 0,
        };
        self.outcomes[request.stream].rejected += 1;
        let tried = request.tried | 1 << index;
        self.decide_on(number, Request { tried, ..request }, caller);
    }

    fn serve_at_upstreams(&mut self) {
        let now = self.now();
        for index in 0..self.upstreams.len() {
            let upstream = &mut self.upstreams[index];
            let (done, running): (Vec<_>, Vec<_>) = upstream
                .running
                .drain(..)
                .partition(|(end, ..)| *end <= self.now_ms);
            upstream.running = running;
            while upstream.running.len() < SLOTS
                && let Some((request, number)) = upstream.queued.pop_front()
            {
                upstream
                    .running
                    .push((self.now_ms + RUN_MS, request, number));
            }
            if self.now_ms % REPORT_INTERVAL_MS == index as u64 {
                let reported = upstream.running.len() + upstream.queued.len();
                for this in &mut self.boxes {
                    let reported_ms = self.now_ms;
                    this.known[index] = Known {
                        reported,
                        reported_ms,
                        sent_since: 0,
                    };
                }
            }
            for (_, request, number) in done {
                let organisation = self.streams[request.stream].organisation.to_string();
                if let Some(this) = self.boxes.get_mut(number) {
                    this.demand.record_served(SERVICE, &organisation, now);
                }
                let outcome = &mut self.outcomes[request.stream];
                let since_first = self.now_ms - request.began_ms;
                let since_sent = self.now_ms - request.sent_ms;
                match (since_first <= OBJECTIVE_MS, since_sent <= OBJECTIVE_MS) {
                    (true, _) => outcome.in_time += 1,
                    (false, true) => outcome.returned_in_time += 1,
                    (false, false) => outcome.late += 1,
                }
            }
        }
    }

    /// Lets the first of each box go if there is room, and those that have waited long enough.
    fn look_for_room(&mut self) {
        for number in 0..self.boxes.len() {
            loop {
                let now = self.now();
                let this = &self.boxes[number];
                let first = this.queue.first(SERVICE, &this.demand, now);
                let best = self.best(number, 0);
                let has_room = |limit| {
                    best.is_none_or(|(_, found, is_full)| {
                        !is_full && time_until_room(found, limit).is_zero()
                    })
                };
                let goes = |waiting: &Waiting| {
                    let is_first = Some(waiting.id) == first;
                    waiting.until_ms <= self.now_ms || (is_first && has_room(waiting.room_limit))
                };
                let Some(index) = this.waiting.iter().position(goes) else {
                    break;
                };
                let this = &mut self.boxes[number];
                let Waiting {
                    id,
                    request,
                    caller,
                    ..
                } = this.waiting.swap_remove(index);
                this.queue.leave(id);
                match self.now_ms + RUN_MS < request.began_ms + DEADLINE_MS {
                    true => self.send(
                        number,
                        Request {
                            tried: 0,
                            ..request
                        },
                        caller,
                    ),
                    false => self.refuse(request, None),
                }
            }
        }
    }

    /// Takes upstreams away; what they run is lost.
    fn keep_upstreams(&mut self, count: usize) {
        self.upstreams.truncate(count);
        for this in &mut self.boxes {
            this.known.truncate(count);
        }
    }

    fn total(&self) -> Outcome {
        let mut total = Outcome::default();
        for outcome in &self.outcomes {
            total.arrived += outcome.arrived;
            total.in_time += outcome.in_time;
            total.returned_in_time += outcome.returned_in_time;
            total.late += outcome.late;
            total.refused_for_good += outcome.refused_for_good;
            total.refused_again += outcome.refused_again;
            total.refused_late += outcome.refused_late;
            total.rejected += outcome.rejected;
        }
        total
    }
}

/// Organisations that each send the same, together this multiple of what upstreams serve.
fn equal_organisations(count: usize, load: f64, upstreams: usize, to_ms: u64) -> Vec<Stream> {
    let rate = load * UPSTREAM_RATE * upstreams as f64 / count as f64;
    (0..count)
        .map(|organisation| Stream::steady(organisation, rate, to_ms))
        .collect()
}

/// Requests that upstreams can serve in this many milliseconds.
fn capacity(upstreams: usize, millis: u64) -> f64 {
    UPSTREAM_RATE * upstreams as f64 * millis as f64
}

/// Checks what callers need in any shortage: a refusal is prompt, those who come back are hardly
/// ever refused again, and few requests travel to upstreams that reject them.
fn expect_fair_refusals(outcome: Outcome) {
    let arrived = outcome.arrived;
    expect_that!(outcome.refused_late, eq(0), "{outcome:?}");
    expect_that!(outcome.refused_again, le(arrived / 100), "{outcome:?}");
    expect_that!(outcome.late, le(arrived / 20), "{outcome:?}");
    expect_that!(outcome.rejected, le(arrived / 20), "{outcome:?}");
}

cases! {
    twice_the_capacity_for_ten_seconds => {
        let mut fleet = Fleet::new(8, 3, equal_organisations(4, 2.0, 3, 10_000));
        fleet.run_until(13_000);
        let total = fleet.total();
        expect_fair_refusals(total);
        // What upstreams can serve goes to callers who have it in time.
        let in_time = f64::from(total.in_time + total.returned_in_time);
        expect_that!(in_time, ge(capacity(3, 10_000) * 0.9), "{total:?}");
    }

    one_organisation_at_many_times_its_usual => {
        let mut streams = equal_organisations(8, 0.8, 3, 10_000);
        streams[0].rate *= 7.5;
        let mut fleet = Fleet::new(8, 3, streams);
        fleet.run_until(13_000);
        expect_fair_refusals(fleet.total());
        // The others ask for less than their part, so they are served as on other days.
        for other in &fleet.outcomes[1..] {
            expect_that!(other.share_in_time(), ge(0.95), "{other:?}");
        }
        // It gets what the others leave: 0.3 of the capacity, of 0.75 that it asks for.
        expect_that!(fleet.outcomes[0].share_in_time(), ge(0.35), "{:?}", fleet.outcomes[0]);
    }

    a_third_of_the_upstreams_gone_at_the_peak => {
        let mut fleet = Fleet::new(8, 3, equal_organisations(4, 0.9, 3, 10_000));
        fleet.run_until(2000);
        expect_that!(fleet.total().refused_for_good, eq(0));
        fleet.keep_upstreams(2);
        fleet.run_until(13_000);
        let total = fleet.total();
        expect_fair_refusals(total);
        let served = capacity(3, 2000) * 0.9 + capacity(2, 8000) * 0.9;
        let in_time = f64::from(total.in_time + total.returned_in_time);
        expect_that!(in_time, ge(served), "{total:?}");
    }

    half_the_boxes_gone => {
        let mut fleet = Fleet::new(8, 3, equal_organisations(4, 0.8, 3, 10_000));
        fleet.run_until(2000);
        fleet.boxes.truncate(4);
        fleet.run_until(13_000);
        let total = fleet.total();
        // There is room for all.
        expect_that!(total.refused_for_good, eq(0), "{total:?}");
        expect_that!(total.share_in_time(), ge(0.99), "{total:?}");
    }

    callers_that_repeat_at_once_gain_nothing => {
        let mut streams = equal_organisations(2, 2.0, 3, 10_000);
        streams[1].repeats_at_once = true;
        let mut fleet = Fleet::new(8, 3, streams);
        fleet.run_until(13_000);
        let [patient, repeating] = [fleet.outcomes[0], fleet.outcomes[1]];
        expect_that!(
            repeating.share_in_time(),
            le(patient.share_in_time()),
            "{patient:?} {repeating:?}"
        );
    }

    one_hall_cut_off_with_its_one_upstream => {
        let mut fleet = Fleet::new(3, 3, equal_organisations(4, 0.3, 3, 10_000));
        fleet.run_until(2000);
        fleet.keep_upstreams(1);
        fleet.run_until(13_000);
        let total = fleet.total();
        // Its upstream has just room for all; a request in a hundred may be lost at the cut.
        expect_that!(total.refused_for_good, eq(0), "{total:?}");
        expect_that!(total.share_in_time(), ge(0.99), "{total:?}");
    }

    a_burst_of_the_less_urgent_kind_beside_the_urgent_one => {
        let urgent = Stream::steady(0, capacity(3, 1) * 0.4, 8000);
        let burst = Stream {
            urgency: LESS_URGENT,
            rate: capacity(3, 1) * 1.6,
            from_ms: 2000,
            to_ms: 7000,
            ..urgent
        };
        let mut fleet = Fleet::new(8, 3, vec![urgent, burst]);
        fleet.run_until(11_000);
        expect_fair_refusals(fleet.total());
        let [urgent, burst] = [fleet.outcomes[0], fleet.outcomes[1]];
        expect_that!(urgent.share_in_time(), ge(0.98), "{urgent:?}");
        // The burst gets what is left: 0.6 of the capacity, of 1.6 that it asks for.
        expect_that!(burst.share_in_time(), ge(0.33), "{burst:?}");
    }
}
