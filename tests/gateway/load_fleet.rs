//! A loop over virtual time: boxes that admit plain requests, upstreams with slots and queues, and
//! callers that come back.
//!
//! Three upstreams serve six requests of 30 ms at a time each, and queue up to 24 more; callers want
//! an answer within 150 ms, wait for 1.5 s, and come back once. Boxes decide by the gateway's own
//! functions, and know what the reports of the upstreams tell them.

use super::load_patterns::{Outcome, Stream};
use super::{at, listed};
use gatepier::clock::Now;
use gatepier::gateway::admit::load_decision::{
    CallerHistory, LoadDecision, LoadInputs, Standing, decide, is_recent, time_until_room,
};
use gatepier::gateway::admit::service_demand::ServiceDemand;
use gatepier::gateway::admit::wait_queue::{WaitQueue, Waiter, WaiterId};
use gatepier::gateway::answer::return_schedule::ReturnSchedule;
use gatepier::gateway::attempt::headers::ReportedLoad;
use gatepier::gateway::attempt::upstream::Upstream;
use gatepier::gateway::place::expected_wait::ExpectedWait;
use gatepier::gateway::place::plain_cost::{PlainPlacement, choose_plain};
use gatepier::routing::placement::LoadGuard;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

const SERVICE: &str = "booking";
const SLOTS: usize = 6;
const QUEUE_PLACES: usize = 24;
const RUN_MS: u64 = 30;
pub const OBJECTIVE_MS: u64 = 150;
const DEADLINE_MS: u64 = 1500;
/// Boxes hear of the load of each upstream this often, and this long after it was stated.
const REPORT_INTERVAL_MS: u64 = 20;
const REPORT_TRANSIT_MS: u64 = 5;
/// What an upstream serves, in requests per millisecond.
pub const UPSTREAM_RATE: f64 = SLOTS as f64 / RUN_MS as f64;
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

/// A request at an upstream: from which box, and what counts it there.
#[derive(Debug)]
struct AtUpstream {
    request: Request,
    number: usize,
    _in_flight: LoadGuard,
}

#[derive(Debug, Default)]
struct TrueUpstream {
    running: Vec<(u64, AtUpstream)>,
    queued: VecDeque<AtUpstream>,
}

impl TrueUpstream {
    fn load(&self) -> ReportedLoad {
        ReportedLoad {
            running: self.running.len() as u32,
            waiting: self.queued.len() as u32,
            slots: SLOTS as u32,
            work_time_percent: None,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    id: WaiterId,
    request: Request,
    caller: CallerHistory,
    until_ms: u64,
    inputs: LoadInputs,
}

#[derive(Debug, Default)]
pub struct BoxState {
    queue: WaitQueue,
    waiting: Vec<Waiting>,
    demand: ServiceDemand,
    returns: ReturnSchedule,
    views: Vec<Rc<Upstream>>,
}

pub struct Fleet {
    streams: Vec<Stream>,
    pub boxes: Vec<BoxState>,
    upstreams: Vec<TrueUpstream>,
    reports: VecDeque<(u64, usize, ReportedLoad)>,
    pub loses_reports: fn(u64) -> bool,
    pub arrives_evenly: bool,
    rng: StdRng,
    returning: Vec<(u64, Request)>,
    pub outcomes: Vec<Outcome>,
    now_ms: u64,
    draw: u8,
}

impl Fleet {
    pub fn new(boxes: usize, upstreams: usize, streams: Vec<Stream>) -> Self {
        let view = |number: usize| {
            let mut entry = listed(&format!("i-{number}"), SERVICE, "hall");
            entry.slots = SLOTS as u32;
            Upstream::new(entry)
        };
        let new_box = |_| BoxState {
            views: (0..upstreams).map(view).collect(),
            ..BoxState::default()
        };
        Self {
            outcomes: vec![Outcome::default(); streams.len()],
            streams,
            boxes: (0..boxes).map(new_box).collect(),
            upstreams: (0..upstreams).map(|_| TrueUpstream::default()).collect(),
            reports: VecDeque::new(),
            loses_reports: |_| false,
            arrives_evenly: false,
            rng: StdRng::seed_from_u64(7),
            returning: Vec::new(),
            now_ms: 0,
            draw: 0,
        }
    }

    fn now(&self) -> Now {
        at(self.now_ms)
    }

    pub fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.serve_at_upstreams();
            self.deliver_reports();
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
            for _ in 0..self.arrivals_in_a_millisecond(rate) {
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

    fn arrivals_in_a_millisecond(&mut self, rate: f64) -> u32 {
        if self.arrives_evenly {
            let count = |ms: u64| (ms as f64 * rate) as u32;
            return count(self.now_ms + 1) - count(self.now_ms);
        }
        (0..20)
            .map(|_| u32::from(self.rng.random::<f64>() < rate / 20.0))
            .sum()
    }

    fn admit(&mut self, request: Request) {
        let number = self.rng.random_range(0..self.boxes.len());
        let now = self.now();
        let urgency = self.streams[request.stream].urgency;
        let left = Duration::from_millis(DEADLINE_MS - (self.now_ms - request.began_ms));
        let demand = &mut self.boxes[number].demand;
        let organisation = self.streams[request.stream].organisation.to_string();
        demand.record_arrival(SERVICE, &organisation, urgency, now);
        let caller = demand.record_caller_time("book", left);
        self.decide_on(number, request, caller);
    }

    /// Returns the best upstream that may be tried, and whether it is full.
    fn best(&self, number: usize, tried: u8) -> Option<(ExpectedWait, bool)> {
        let run = Duration::from_millis(RUN_MS);
        let now = self.now();
        let views = self.boxes[number].views.iter().enumerate();
        let waits = views.map(|(index, view)| {
            let wait = view.expected_wait(run, now);
            let occupancy = view.load_estimate(run, now).occupancy;
            let is_full = is_recent(wait) && view.is_full(occupancy);
            (wait, is_full || tried & (1 << index) != 0)
        });
        waits.min_by_key(|(wait, is_full)| (*is_full, wait.total()))
    }

    fn waiter(&self, request: Request, caller: CallerHistory) -> Waiter {
        let latest_ms = request.began_ms + DEADLINE_MS - RUN_MS;
        Waiter {
            service: SERVICE.to_owned(),
            organisation: self.streams[request.stream].organisation.to_string(),
            urgency: self.streams[request.stream].urgency,
            came_back: caller == CallerHistory::Returned,
            latest_start: Duration::from_millis(latest_ms),
            room_limit: Duration::ZERO,
            bytes: 0,
        }
    }

    fn decide_on(&mut self, number: usize, request: Request, caller: CallerHistory) {
        let now = self.now();
        let held = self.now_ms - request.sent_ms;
        let mut waiter = self.waiter(request, caller);
        let best = self.best(number, request.tried);
        let this = &self.boxes[number];
        let deadline_ms = request.began_ms + DEADLINE_MS;
        let mut inputs = LoadInputs {
            expected: best.map(|(expected, _)| expected),
            is_full_everywhere: best.is_some_and(|(_, is_full)| is_full),
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
                has_others_ahead: false,
            },
            boxes: self.boxes.len(),
            shortage: Duration::ZERO,
        };
        waiter.room_limit = inputs.room_limit();
        inputs.standing.has_others_ahead = this.queue.has_ahead(&waiter, &this.demand, now);
        let spare = inputs.spare_occupancy(SLOTS as u32);
        let seen = this
            .views
            .iter()
            .filter_map(|view| view.last_seen_at_most(spare));
        inputs.shortage = now.monotonic.saturating_sub(seen.max().unwrap_or_default());
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
                    inputs,
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
        let now = self.now();
        let views = self.boxes[number].views.iter().enumerate();
        let untried: Vec<(usize, &Rc<Upstream>)> = views
            .filter(|(index, _)| request.tried & (1 << index) == 0)
            .collect();
        let candidates: Vec<&Rc<Upstream>> = untried.iter().map(|(_, view)| *view).collect();
        let placement = PlainPlacement {
            hall: "hall",
            hall_share: 1.0,
            service_time: Duration::from_millis(RUN_MS),
            seed: self.rng.random(),
        };
        let Some(choice) = choose_plain(&candidates, placement, now) else {
            return self.refuse(request, None);
        };
        let chosen = |(_, view): &&(usize, &Rc<Upstream>)| Rc::ptr_eq(view, &choice.upstream);
        let index = untried.iter().find(chosen).unwrap().0;
        let upstream = &mut self.upstreams[index];
        if upstream.queued.len() < QUEUE_PLACES {
            let _in_flight = choice.upstream.begin_request();
            upstream.queued.push_back(AtUpstream {
                request,
                number,
                _in_flight,
            });
            return;
        }
        // The rejection carries a report.
        choice.upstream.record_load_report(upstream.load(), now);
        choice.upstream.record_full(now);
        self.outcomes[request.stream].rejected += 1;
        let tried = request.tried | 1 << index;
        self.decide_on(number, Request { tried, ..request }, caller);
    }

    /// Delivers what upstreams stated some time ago to all boxes.
    fn deliver_reports(&mut self) {
        for (index, upstream) in self.upstreams.iter().enumerate() {
            if self.now_ms % REPORT_INTERVAL_MS == index as u64
                && !(self.loses_reports)(self.now_ms)
            {
                self.reports
                    .push_back((self.now_ms, index, upstream.load()));
            }
        }
        while let Some((stated_ms, index, load)) = self.reports.front().copied()
            && stated_ms + REPORT_TRANSIT_MS <= self.now_ms
        {
            self.reports.pop_front();
            for view in self.boxes.iter().filter_map(|this| this.views.get(index)) {
                view.record_shared_report(load, at(stated_ms).monotonic, self.now());
            }
        }
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
                && let Some(next) = upstream.queued.pop_front()
            {
                let run_ms = self.rng.random_range(RUN_MS / 2..=RUN_MS * 3 / 2);
                upstream.running.push((self.now_ms + run_ms, next));
            }
            let load = upstream.load();
            for (
                _,
                AtUpstream {
                    request,
                    number,
                    _in_flight,
                },
            ) in done
            {
                drop(_in_flight);
                let organisation = self.streams[request.stream].organisation.to_string();
                if let Some(this) = self.boxes.get_mut(number) {
                    this.demand.record_served(SERVICE, &organisation, now);
                    this.views[index].record_load_report(load, now);
                }
                let outcome = &mut self.outcomes[request.stream];
                let since_first = self.now_ms - request.began_ms;
                let since_sent = self.now_ms - request.sent_ms;
                match (since_first <= OBJECTIVE_MS, since_sent <= OBJECTIVE_MS) {
                    _ if since_first > DEADLINE_MS => outcome.in_vain += 1,
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
                    best.is_none_or(|(found, is_full)| {
                        !is_full && time_until_room(found, limit).is_zero()
                    })
                };
                let wait_ms = best.map_or(0, |(found, _)| found.total().as_millis() as u64);
                let end_ms = self.now_ms + wait_ms + RUN_MS;
                let has_time = |request: Request| end_ms < request.began_ms + DEADLINE_MS;
                let goes = |waiting: &Waiting| {
                    let is_first = Some(waiting.id) == first;
                    let held = Duration::from_millis(self.now_ms - waiting.request.sent_ms);
                    let inputs = LoadInputs {
                        objective_left: waiting.inputs.objective.saturating_sub(held),
                        ..waiting.inputs
                    };
                    waiting.until_ms <= self.now_ms || (is_first && has_room(inputs.room_limit()))
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
                match has_time(request) {
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
    pub fn keep_upstreams(&mut self, count: usize) {
        self.upstreams.truncate(count);
        for this in &mut self.boxes {
            this.views.truncate(count);
        }
    }

    pub fn total(&self) -> Outcome {
        let sum = |count: fn(&Outcome) -> u32| self.outcomes.iter().map(count).sum();
        Outcome {
            arrived: sum(|outcome| outcome.arrived),
            in_time: sum(|outcome| outcome.in_time),
            returned_in_time: sum(|outcome| outcome.returned_in_time),
            late: sum(|outcome| outcome.late),
            refused_for_good: sum(|outcome| outcome.refused_for_good),
            refused_again: sum(|outcome| outcome.refused_again),
            refused_late: sum(|outcome| outcome.refused_late),
            rejected: sum(|outcome| outcome.rejected),
            in_vain: sum(|outcome| outcome.in_vain),
        }
    }
}
