//! Whole rollouts in virtual time: how far a bad version is used, and whether a good one is done in
//! time.
//!
//! The scenario is the incident of the slow version: nine boxes that each see a part of the
//! requests, statistics that are delayed and get lost, and a version whose slowed responses
//! complete last. The boxes' decisions are those of the production code. Clients and engines are
//! modelled: requests arrive at random, the time to an engine's response head is 0.3 s in the
//! median and between 2/3 and 3/2 of that for two thirds of the responses, and the interval between
//! events is 30 ms. A slowed request takes longer by the slowdown factor and delays no other one,
//! which is the hardest case: an engine that delays others is detected sooner.

use super::cases;
use gatepier::clock::{Now, WallTime};
use gatepier::gateway::control::store::{RolloutOrder, RolloutRecord, RolloutState};
use gatepier::gateway::place::choose::stable_hash;
use gatepier::gateway::versions::exposure::{ExposureBound, RolloutTime};
use gatepier::gateway::versions::local_statistics::{ResponseTimer, window_at};
use gatepier::gateway::versions::monitor::{RolloutStatus, Verdict, VersionMonitor};
use gatepier::gateway::versions::rollout::{
    MIGRATION_STAGE_PERMILLE, RolloutProgress, next_record, stage_start,
};
use gatepier::gateway::versions::statistics::{LatencyMetric, ResponseKind, SampledRequest};
use gatepier::name::VersionName;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Duration;

/// The default time that operators give a rollout.
const DEFAULT_DURATION_S: u64 = 20;
const HEAD_MEDIAN_S: f64 = 0.3;
const HEAD_LOG_SPREAD: f64 = 0.4;
const EVENT_INTERVAL_MEDIAN_S: f64 = 0.03;
const EVENT_INTERVAL_LOG_SPREAD: f64 = 0.3;
const EVENT_INTERVALS: f64 = 12.0;
/// The interval between two reports of a box.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// The interval between two evaluations of the leading box.
const LEAD_INTERVAL: Duration = Duration::from_millis(250);
/// The delivery time of a record from the store to the other boxes.
const RECORD_DELAY: Duration = Duration::from_millis(400);
/// The fraction of datagrams that get lost.
const DATAGRAM_LOSS: f64 = 0.1;
/// The number of boxes that receive statistics.
const REPORT_RECEIVERS: usize = 2;
/// The number of boxes that may lead, and that use the evidence in the record.
const LEADER_CANDIDATES: usize = 2;
/// How long killed boxes take to serve again.
const RESTART_TIME: Duration = Duration::from_millis(500);
const ORDER: u64 = 10;
/// The number of bad responses from which the rollback time runs.
const ROLLBACK_CLOCK_RESPONSES: usize = 50;

/// The quality of a version, and the load and faults of a run.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    boxes: usize,
    /// Requests a second, of all boxes together.
    rate_per_second: f64,
    /// The fraction of the version's requests that are slowed.
    slowed_fraction: f64,
    /// The factor by which they take longer.
    slowdown_factor: f64,
    /// The time that operators give.
    duration_s: u64,
    /// Whether responses have so few events that only their heads are timed.
    has_heads_only: bool,
    /// The spread of the times to response heads: the standard deviation of their logarithm.
    head_log_spread: f64,
    /// The stage, in thousandths of the sessions, from which the version slows requests. A version
    /// may be good until it has load.
    slowed_from_permille: u32,
    /// One in this many engines of the new version is slow, which is no fault of the version; `None`
    /// for no slow engine.
    slow_engine_one_in: Option<u64>,
    /// The times at which all boxes are killed together.
    killed_at_s: &'static [u64],
    seed: u64,
}

impl Scenario {
    /// Returns a scenario with a good version of a service between nine boxes.
    fn sound(rate_per_second: f64, seed: u64) -> Self {
        Self {
            boxes: 9,
            rate_per_second,
            slowed_fraction: 0.0,
            slowdown_factor: 1.0,
            duration_s: DEFAULT_DURATION_S,
            has_heads_only: false,
            head_log_spread: HEAD_LOG_SPREAD,
            slowed_from_permille: 0,
            slow_engine_one_in: None,
            killed_at_s: &[],
            seed,
        }
    }

    fn duration(&self) -> Duration {
        Duration::from_secs(self.duration_s)
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Request,
    Head(usize),
    End(usize),
    Report(usize),
    Lead,
    KillAll,
}

/// A request in flight.
struct Request {
    box_index: usize,
    is_new_version: bool,
    is_slowed: bool,
    timer: Option<ResponseTimer>,
    /// The number of restarts of the boxes when it was sent. A kill loses the requests in flight.
    restarts: usize,
}

/// A box, as far as rollouts are concerned.
struct BoxModel {
    monitor: VersionMonitor,
    /// The records that it receives, with the time of each.
    records: Vec<(Duration, RolloutRecord)>,
}

impl BoxModel {
    fn record(&self, now: Duration) -> Option<&RolloutRecord> {
        let mut records = self.records.iter().rev();
        records.find(|(at, _)| *at <= now).map(|(_, record)| record)
    }
}

/// The outcome of a rollout.
#[derive(Debug, Clone)]
struct Outcome {
    sent_new: usize,
    sent_all: usize,
    /// Requests sent to the new version later than five seconds after its fiftieth bad response.
    sent_late: usize,
    state: RolloutState,
}

impl Outcome {
    fn is_within_bounds(&self) -> bool {
        let allowed = bound().share * self.sent_all as f64 + bound().slack;
        self.sent_new as f64 <= allowed && self.sent_late == 0
    }
}

fn bound() -> ExposureBound {
    ExposureBound {
        share: 0.15,
        slack: 30.0,
        rollback: Duration::from_secs(5),
    }
}

fn order(scenario: &Scenario) -> RolloutOrder {
    RolloutOrder {
        service: "engine".to_owned(),
        target: "v2".to_owned(),
        duration: scenario.duration(),
        revision: ORDER,
    }
}

fn now(at: Duration) -> Now {
    Now {
        monotonic: at,
        wall: WallTime(0),
    }
}

struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(Duration, usize)>>,
    events: Vec<Event>,
    requests: Vec<Request>,
    boxes: Vec<BoxModel>,
    record: Option<RolloutRecord>,
    sent_new_at: Vec<Duration>,
    bad_responses_at: Vec<Duration>,
    /// How often all boxes have been killed.
    restarts: usize,
    /// The time until which no box accepts requests after a kill.
    down_until: Duration,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let start = |id: usize| BoxModel {
            monitor: VersionMonitor::new(&id.to_string(), Rc::default()),
            records: Vec::new(),
        };
        let mut simulation = Self {
            scenario,
            rng: StdRng::seed_from_u64(scenario.seed),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            requests: Vec::new(),
            boxes: (0..scenario.boxes).map(start).collect(),
            record: None,
            sent_new_at: Vec::new(),
            bad_responses_at: Vec::new(),
            restarts: 0,
            down_until: Duration::ZERO,
        };
        for killed_at_s in scenario.killed_at_s {
            simulation.schedule(Duration::from_secs(*killed_at_s), Event::KillAll);
        }
        simulation.schedule(Duration::ZERO, Event::Request);
        simulation.schedule(Duration::ZERO, Event::Lead);
        for id in 0..scenario.boxes {
            let first = REPORT_INTERVAL.mul_f64(simulation.rng.random());
            simulation.schedule(first, Event::Report(id));
        }
        simulation
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.queue.push(Reverse((at, self.events.len())));
        self.events.push(event);
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((at, event))) = self.queue.pop() {
            if at > self.scenario.duration() {
                break;
            }
            match self.events[event] {
                Event::Request => self.request(at),
                Event::Head(id) => self.head(id, at),
                Event::End(id) => self.end(id, at),
                Event::Report(id) => self.report(id, at),
                Event::Lead => self.lead(at),
                Event::KillAll => self.kill_all(at),
            }
        }
        self.outcome()
    }

    /// Draws from an approximately log-normal distribution.
    fn draw_log_normal(&mut self, median: f64, spread: f64) -> f64 {
        let sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        median * ((sum - 6.0) * spread).exp()
    }

    /// Restarts all boxes. Their statistics and requests in flight are lost; the record is read
    /// again from the store.
    fn kill_all(&mut self, at: Duration) {
        self.restarts += 1;
        self.down_until = at + RESTART_TIME;
        let restarts = self.restarts;
        let (read_at, record) = (self.down_until, self.record.clone());
        for (id, box_model) in self.boxes.iter_mut().enumerate() {
            box_model.monitor = VersionMonitor::new(&format!("{id}.{restarts}"), Rc::default());
            box_model.records = record
                .iter()
                .map(|record| (read_at, record.clone()))
                .collect();
        }
    }

    /// Returns whether a request is still in flight, at a box that was not restarted since.
    fn is_in_flight(&self, id: usize) -> bool {
        self.requests[id].restarts == self.restarts
    }

    fn request(&mut self, at: Duration) {
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / self.scenario.rate_per_second;
        self.schedule(at + Duration::from_secs_f64(pause), Event::Request);
        if at < self.down_until {
            return;
        }
        let box_index = self.rng.random_range(0..self.scenario.boxes);
        let id = self.requests.len();
        let is_new_version = self.goes_to_new_version(box_index, id, at);
        let is_slowed = is_new_version && self.is_slowed(box_index, id, at);
        if is_new_version {
            self.sent_new_at.push(at);
        }
        let timer = self
            .sampled_request(box_index, is_new_version, at)
            .map(|request| {
                let statistics = self.boxes[box_index].monitor.local_statistics();
                statistics.record_request(request);
                statistics.start_timer(
                    request,
                    kind(LatencyMetric::HeadDelay),
                    HEAD_MEDIAN_S,
                    now(at),
                )
            });
        self.requests.push(Request {
            box_index,
            is_new_version,
            is_slowed,
            timer,
            restarts: self.restarts,
        });
        let head =
            self.draw_log_normal(HEAD_MEDIAN_S, self.scenario.head_log_spread) * self.slowdown(id);
        self.schedule(at + Duration::from_secs_f64(head), Event::Head(id));
    }

    fn is_slowed(&mut self, box_index: usize, id: usize, at: Duration) -> bool {
        let is_by_version = self.rng.random_bool(self.scenario.slowed_fraction);
        let permille = self.boxes[box_index]
            .record(at)
            .map_or(0, |record| record.permille);
        let is_by_engine =
            |engines| stable_hash(&format!("engine of {id}")).is_multiple_of(engines);
        is_by_version && permille >= self.scenario.slowed_from_permille
            || self.scenario.slow_engine_one_in.is_some_and(is_by_engine)
    }

    fn slowdown(&self, id: usize) -> f64 {
        match self.requests[id].is_slowed {
            true => self.scenario.slowdown_factor,
            false => 1.0,
        }
    }

    fn goes_to_new_version(&self, box_index: usize, id: usize, at: Duration) -> bool {
        let box_model = &self.boxes[box_index];
        let is_rejected = box_model.monitor.rejection(ORDER).is_some();
        let by_stage = |record: &RolloutRecord| {
            let is_running = record.state == RolloutState::Running && !is_rejected;
            let is_moved = stable_hash(&id.to_string()) % 1000 < u64::from(record.permille);
            record.state == RolloutState::Done || is_running && is_moved
        };
        box_model.record(at).is_some_and(by_stage)
    }

    fn sampled_request(
        &self,
        box_index: usize,
        is_new_version: bool,
        at: Duration,
    ) -> Option<SampledRequest> {
        let record = self.boxes[box_index].record(at)?;
        (record.state == RolloutState::Running).then(|| SampledRequest {
            order: ORDER,
            window: window_at(at, self.scenario.duration()),
            elapsed: at,
            is_new_version,
        })
    }

    fn head(&mut self, id: usize, at: Duration) {
        if !self.is_in_flight(id) {
            return;
        }
        if let Some(timer) = self.requests[id].timer.take() {
            timer.record_completion(now(at));
        }
        let request = &self.requests[id];
        let (box_index, is_new_version) = (request.box_index, request.is_new_version);
        let request = self.sampled_request(box_index, is_new_version, at);
        let timer = request
            .filter(|_| !self.scenario.has_heads_only)
            .map(|request| {
                let statistics = self.boxes[box_index].monitor.local_statistics();
                statistics.start_timer(
                    request,
                    kind(LatencyMetric::EventInterval),
                    EVENT_INTERVALS,
                    now(at),
                )
            });
        self.requests[id].timer = timer;
        let events = self.draw_log_normal(EVENT_INTERVAL_MEDIAN_S, EVENT_INTERVAL_LOG_SPREAD)
            * EVENT_INTERVALS
            * self.slowdown(id);
        self.schedule(at + Duration::from_secs_f64(events), Event::End(id));
    }

    fn end(&mut self, id: usize, at: Duration) {
        if !self.is_in_flight(id) {
            return;
        }
        if let Some(timer) = self.requests[id].timer.take() {
            timer.record_completion(now(at));
        }
        if self.requests[id].is_slowed {
            self.bad_responses_at.push(at);
        }
    }

    fn report(&mut self, id: usize, at: Duration) {
        self.schedule(at + REPORT_INTERVAL, Event::Report(id));
        self.evaluate(id, at);
        for report in self.boxes[id].monitor.reports(now(at)) {
            for receiver in (0..self.scenario.boxes)
                .filter(|receiver| *receiver != id)
                .take(REPORT_RECEIVERS)
            {
                if !self.rng.random_bool(DATAGRAM_LOSS) {
                    self.boxes[receiver].monitor.accept_report(report.clone());
                }
            }
        }
        if !self.boxes[id].monitor.local_rejections().is_empty() {
            for receiver in 0..self.scenario.boxes {
                if receiver != id && !self.rng.random_bool(DATAGRAM_LOSS) {
                    self.boxes[receiver].monitor.accept_peer_rejection(ORDER);
                }
            }
        }
    }

    fn evaluate(&mut self, id: usize, at: Duration) -> Verdict {
        let Some(record) = self.boxes[id].record(at).cloned() else {
            return Verdict::default();
        };
        if record.state != RolloutState::Running {
            return Verdict::default();
        }
        let target = VersionName {
            model: "engine".to_owned(),
            version: "v2".to_owned(),
        };
        let status = RolloutStatus {
            order: ORDER,
            target: &target,
            time: RolloutTime {
                elapsed: at,
                duration: self.scenario.duration(),
            },
            stage_window: window_at(stage_start(&record), self.scenario.duration()) + 1,
            is_past_first_stage: record.permille
                >= bound().middle_stage_permille(MIGRATION_STAGE_PERMILLE),
            is_proved: record.is_proved(),
            stored_evidence: (id < LEADER_CANDIDATES).then_some(*record.seen),
        };
        self.boxes[id].monitor.evaluate(status, &bound(), now(at))
    }

    fn lead(&mut self, at: Duration) {
        self.schedule(at + LEAD_INTERVAL, Event::Lead);
        let verdict = self.evaluate(0, at);
        let monitor = &self.boxes[0].monitor;
        let progress = RolloutProgress {
            elapsed: at,
            unobserved: Duration::ZERO,
            is_rejected: monitor.rejection(ORDER).is_some(),
            verdict,
            bound: bound(),
        };
        let Some(next) = next_record(&order(&self.scenario), self.record.as_ref(), progress) else {
            return;
        };
        for (id, box_model) in self.boxes.iter_mut().enumerate() {
            let delay = if id == 0 {
                Duration::ZERO
            } else {
                RECORD_DELAY
            };
            box_model.records.push((at + delay, next.clone()));
        }
        self.record = Some(next);
    }

    fn outcome(mut self) -> Outcome {
        self.bad_responses_at.sort_unstable();
        let fiftieth = self
            .bad_responses_at
            .get(ROLLBACK_CLOCK_RESPONSES - 1)
            .copied();
        let is_late = |sent: &&Duration| {
            fiftieth.is_some_and(|fiftieth| **sent > fiftieth + bound().rollback)
        };
        Outcome {
            sent_new: self.sent_new_at.len(),
            sent_all: self.requests.len(),
            sent_late: self.sent_new_at.iter().filter(is_late).count(),
            state: self
                .record
                .map_or(RolloutState::Running, |record| record.state),
        }
    }
}

fn kind(metric: LatencyMetric) -> ResponseKind<'static> {
    ResponseKind {
        route: "recap",
        metric,
    }
}

fn simulate(scenario: Scenario) -> Outcome {
    let outcome = Simulation::new(scenario).run();
    println!("{scenario:?}: {outcome:?}");
    outcome
}

const RATES_PER_SECOND: [f64; 4] = [10.0, 25.0, 100.0, 600.0];
const SEEDS: u64 = 3;

/// Simulates a bad version at every request rate, and returns the number of runs that exceeded the
/// operators' limits.
fn violations(slowed_fraction: f64, slowdown_factor: f64) -> usize {
    let mut violations = 0;
    for rate_per_second in RATES_PER_SECOND {
        for seed in 0..SEEDS {
            let scenario = Scenario {
                slowed_fraction,
                slowdown_factor,
                ..Scenario::sound(rate_per_second, seed)
            };
            violations += usize::from(!simulate(scenario).is_within_bounds());
        }
    }
    violations
}

/// Simulates a modified scenario with a good version at every request rate, with this many seeds.
fn simulate_each(seeds: u64, change: impl Fn(Scenario) -> Scenario) -> Vec<(Scenario, Outcome)> {
    let sound =
        |rate_per_second| (0..seeds).map(move |seed| Scenario::sound(rate_per_second, seed));
    let scenarios = RATES_PER_SECOND.into_iter().flat_map(sound).map(change);
    scenarios
        .map(|scenario| (scenario, simulate(scenario)))
        .collect()
}

/// Slows four requests in ten eightfold.
fn with_slow_version(scenario: Scenario) -> Scenario {
    Scenario {
        slowed_fraction: 0.4,
        slowdown_factor: 8.0,
        ..scenario
    }
}

fn with_all_boxes_killed_twice(scenario: Scenario) -> Scenario {
    Scenario {
        killed_at_s: &[6, 14],
        ..scenario
    }
}

cases! {
    version_that_slows_four_requests_in_ten_eightfold_stays_within_bounds => {
        expect_that!(violations(0.4, 8.0), eq(0));
    }

    version_that_slows_four_requests_in_ten_fourfold_stays_within_bounds => {
        expect_that!(violations(0.4, 4.0), eq(0));
    }

    version_that_slows_all_requests_twofold_stays_within_bounds => {
        expect_that!(violations(1.0, 2.0), eq(0));
    }

    version_that_slows_all_requests_sixteenfold_stays_within_bounds => {
        expect_that!(violations(1.0, 16.0), eq(0));
    }

    version_that_slows_two_requests_in_ten_eightfold_stays_within_bounds => {
        expect_that!(violations(0.2, 8.0), eq(0));
    }

    violations_by_weaker_versions_are_printed => {
        // Prints for the documentation how often weaker versions exceed the limits, which is not
        // guaranteed against. Those that do most often slow one request in ten twofold, which is
        // within the spread of good responses.
        for slowed_fraction in [0.1, 0.2, 0.4, 1.0] {
            for slowdown_factor in [2.0, 4.0, 8.0, 16.0] {
                let violations = violations(slowed_fraction, slowdown_factor);
                let runs = RATES_PER_SECOND.len() * usize::try_from(SEEDS).unwrap();
                println!("{violations} of {runs} runs exceeded the limits: {slowed_fraction} of requests slowed {slowdown_factor} times");
                expect_that!(violations, le(runs), "every run ends");
            }
        }
    }

    sound_version_is_done_in_time => {
        for rate_per_second in RATES_PER_SECOND {
            for seed in 0..5 {
                let scenario = Scenario::sound(rate_per_second, seed);
                let outcome = simulate(scenario);
                expect_that!(outcome.state, eq(RolloutState::Done), "{scenario:?}: {outcome:?}");
            }
        }
    }

    sound_version_of_short_responses_is_done_in_time => {
        // A good version of a single box was reverted after 58 responses of which only the heads
        // were timed, with an LLR of -2 where -3 was required. The times of immediate responses
        // depend on what else the machine does, so some sixty of them by one metric are too weak
        // evidence for any version. The next stage required a proof, although the operators' limits
        // permit that stage without one.
        for seed in 0..40 {
            let scenario = Scenario {
                boxes: 1,
                duration_s: 8,
                has_heads_only: true,
                head_log_spread: 1.0,
                ..Scenario::sound(250.0, seed)
            };
            let outcome = simulate(scenario);
            expect_that!(outcome.state, eq(RolloutState::Done), "{scenario:?}: {outcome:?}");
        }
    }

    version_in_a_five_minute_rollout_is_evaluated_as_soon => {
        // Fails if time windows grow with the rollout's time: a stage has four seconds for its
        // proof, and would be evaluated only from the next window of twelve seconds.
        for seed in 0..3 {
            let sound = Scenario { duration_s: 300, ..Scenario::sound(25.0, seed) };
            expect_that!(simulate(sound).state, eq(RolloutState::Done));
            let slow = Scenario { slowed_fraction: 0.4, slowdown_factor: 8.0, ..sound };
            expect_that!(simulate(slow).is_within_bounds(), eq(true));
        }
    }

    weak_version_that_slows_one_request_in_ten_twofold_stays_within_bounds => {
        expect_that!(violations(0.1, 2.0), eq(0));
    }

    weak_version_that_slows_one_request_in_ten_fourfold_stays_within_bounds => {
        expect_that!(violations(0.1, 4.0), eq(0));
    }

    weak_version_that_slows_two_requests_in_ten_twofold_stays_within_bounds => {
        expect_that!(violations(0.2, 2.0), eq(0));
    }

    version_that_is_slow_only_with_half_of_the_sessions_stays_within_bounds => {
        for (scenario, outcome) in simulate_each(SEEDS, |scenario| Scenario { slowed_from_permille: 500, ..with_slow_version(scenario) }) {
            expect_that!(outcome.is_within_bounds(), eq(true), "{scenario:?}");
        }
    }

    slow_version_stays_within_bounds_though_all_boxes_are_killed_twice => {
        for (scenario, outcome) in simulate_each(5, |scenario| with_all_boxes_killed_twice(with_slow_version(scenario))) {
            expect_that!(outcome.is_within_bounds(), eq(true), "{scenario:?}");
        }
    }

    slow_version_is_reverted_in_time_though_all_boxes_are_killed_twice => {
        for (scenario, outcome) in simulate_each(5, |scenario| with_all_boxes_killed_twice(with_slow_version(scenario))) {
            expect_that!(outcome.state, eq(RolloutState::Reverted), "{scenario:?}: {outcome:?}");
        }
    }

    sound_version_with_one_slow_engine_is_done_in_time => {
        let with_slow_engine = |scenario| Scenario { slowdown_factor: 4.0, slow_engine_one_in: Some(4), ..scenario };
        for (scenario, outcome) in simulate_each(SEEDS, with_slow_engine) {
            expect_that!(outcome.state, eq(RolloutState::Done), "{scenario:?}: {outcome:?}");
        }
    }

    sound_version_of_other_seeds_is_done_in_time_though_all_boxes_are_killed_twice => {
        for (scenario, outcome) in simulate_each(20, with_all_boxes_killed_twice) {
            expect_that!(outcome.state, eq(RolloutState::Done), "{scenario:?}: {outcome:?}");
        }
    }

    sound_version_is_done_in_time_though_all_boxes_are_killed_twice => {
        for (scenario, outcome) in simulate_each(SEEDS, with_all_boxes_killed_twice) {
            expect_that!(outcome.state, eq(RolloutState::Done), "{scenario:?}: {outcome:?}");
        }
    }
}
