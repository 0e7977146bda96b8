//! Whole roll-outs in virtual time: what a bad version gets, and what becomes of a good one.
//!
//! The pattern is the incident of the slow version: nine boxes that each see a part, counts
//! that travel and get lost, a version whose slowed answers come last. The boxes' decisions are
//! the real ones; callers and engines are a model whose figures are its own: requests come at
//! random, an engine's head takes 0.3 s in the median and half as much again or less for two
//! thirds of them, an event 30 ms. A slowed request takes so many times as long and holds up no
//! other one, which is the hardest case: engines that hold up others show sooner.

use super::cases;
use gatepier::clock::{Now, WallTime};
use gatepier::gateway::control::store::{RolloutOrder, RolloutRecord, RolloutState};
use gatepier::gateway::place::choose::stable_hash;
use gatepier::gateway::versions::exposure::{ExposureBound, Span};
use gatepier::gateway::versions::observed::{Kind, Measure, Trial};
use gatepier::gateway::versions::rollout::{MOVING, Progress, next_record, stage_since};
use gatepier::gateway::versions::tally::{Timed, stretch_at};
use gatepier::gateway::versions::watch::{Question, Verdict, VersionWatch};
use gatepier::name::VersionName;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// The time that operators give a roll-out, in seconds, where nothing else is said.
const DURATION: u64 = 20;
const HEAD_MEDIAN: f64 = 0.3;
const HEAD_SPREAD: f64 = 0.4;
const PACE_MEDIAN: f64 = 0.03;
const PACE_SPREAD: f64 = 0.3;
const GAPS: f64 = 12.0;
/// The time between two words of a box, and between two looks of the leading one.
const REPORTS: Duration = Duration::from_millis(400);
const LOOKS: Duration = Duration::from_millis(250);
/// How long a record takes to every box by the store.
const RECORD_LAG: Duration = Duration::from_millis(400);
/// The part of datagrams that are lost.
const LOST: f64 = 0.1;
/// Boxes that are told of counts.
const TOLD: usize = 2;
/// Boxes that may lead, and go by what the record says was seen.
const IN_LINE: usize = 2;
/// How long boxes that were killed take to serve again.
const RESTART: Duration = Duration::from_millis(500);
const ORDER: u64 = 10;
const BAD_ANSWERS: usize = 50;

/// How a version is bad, and under what load.
#[derive(Debug, Clone, Copy)]
struct Plan {
    boxes: usize,
    /// Requests a second, of all boxes.
    rate: f64,
    /// The part of the version's requests that are slowed, and by what factor.
    slowed: f64,
    factor: f64,
    /// The time that operators give, in seconds.
    duration: u64,
    /// Whether answers have so few events that only their heads are timed.
    is_short: bool,
    /// How widely the times to the heads of sound answers differ.
    head_spread: f64,
    /// The thousandths of the sessions from which on the version slows requests: a version may be
    /// sound until it has load.
    slowed_from: u32,
    /// Of so many engines of the version one is slow, whatever the version; none for no such.
    slow_one_of: Option<u64>,
    /// When all boxes are killed together, in seconds.
    killed_at: &'static [u64],
    seed: u64,
}

impl Plan {
    /// A sound version of a service with so many requests a second, between nine boxes.
    fn sound(rate: f64, seed: u64) -> Self {
        Self {
            boxes: 9,
            rate,
            slowed: 0.0,
            factor: 1.0,
            duration: DURATION,
            is_short: false,
            head_spread: HEAD_SPREAD,
            slowed_from: 0,
            slow_one_of: None,
            killed_at: &[],
            seed,
        }
    }

    fn duration(&self) -> Duration {
        Duration::from_secs(self.duration)
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Request,
    Head(usize),
    End(usize),
    Report(usize),
    Look,
    KillAll,
}

/// A request on its way.
struct Request {
    at_box: usize,
    is_new: bool,
    is_slowed: bool,
    timed: Option<Timed>,
    /// The life of the boxes in which it was sent; what was under way at a kill is lost.
    life: usize,
}

/// A box, as far as roll-outs go.
struct BoxModel {
    watch: VersionWatch,
    /// The records that it has heard or will hear of, each with the time of that.
    heard: Vec<(Duration, RolloutRecord)>,
}

impl BoxModel {
    fn record(&self, now: Duration) -> Option<&RolloutRecord> {
        let mut heard = self.heard.iter().rev();
        heard.find(|(at, _)| *at <= now).map(|(_, record)| record)
    }
}

/// What came of a roll-out.
#[derive(Debug, Clone)]
struct Outcome {
    sent_new: usize,
    sent_all: usize,
    /// Requests that were sent later than five seconds after the fiftieth bad answer.
    too_late: usize,
    state: RolloutState,
}

impl Outcome {
    fn keeps_bounds(&self) -> bool {
        let allowed = bound().share * self.sent_all as f64 + bound().slack;
        self.sent_new as f64 <= allowed && self.too_late == 0
    }
}

fn bound() -> ExposureBound {
    ExposureBound {
        share: 0.15,
        slack: 30.0,
        rollback: Duration::from_secs(5),
    }
}

fn order(plan: &Plan) -> RolloutOrder {
    RolloutOrder {
        service: "engine".to_owned(),
        target: "v2".to_owned(),
        duration: plan.duration(),
        revision: ORDER,
    }
}

fn now(at: Duration) -> Now {
    Now {
        monotonic: at,
        wall: WallTime(0),
    }
}

struct World {
    plan: Plan,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(Duration, usize)>>,
    events: Vec<Event>,
    requests: Vec<Request>,
    boxes: Vec<BoxModel>,
    record: Option<RolloutRecord>,
    sent_new: Vec<Duration>,
    bad_answers: Vec<Duration>,
    /// How often all boxes have been killed.
    life: usize,
    /// Until when no box takes requests after a kill.
    down_until: Duration,
}

impl World {
    fn new(plan: Plan) -> Self {
        let start = |number: usize| BoxModel {
            watch: VersionWatch::new(&number.to_string()),
            heard: Vec::new(),
        };
        let mut world = Self {
            plan,
            rng: StdRng::seed_from_u64(plan.seed),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            requests: Vec::new(),
            boxes: (0..plan.boxes).map(start).collect(),
            record: None,
            sent_new: Vec::new(),
            bad_answers: Vec::new(),
            life: 0,
            down_until: Duration::ZERO,
        };
        for killed_at in plan.killed_at {
            world.plan_event(Duration::from_secs(*killed_at), Event::KillAll);
        }
        world.plan_event(Duration::ZERO, Event::Request);
        world.plan_event(Duration::ZERO, Event::Look);
        for number in 0..plan.boxes {
            let first = REPORTS.mul_f64(world.rng.random());
            world.plan_event(first, Event::Report(number));
        }
        world
    }

    fn plan_event(&mut self, at: Duration, event: Event) {
        self.queue.push(Reverse((at, self.events.len())));
        self.events.push(event);
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((at, event))) = self.queue.pop() {
            if at > self.plan.duration() {
                break;
            }
            match self.events[event] {
                Event::Request => self.request(at),
                Event::Head(number) => self.head(number, at),
                Event::End(number) => self.end(number, at),
                Event::Report(number) => self.report(number, at),
                Event::Look => self.look(at),
                Event::KillAll => self.kill_all(at),
            }
        }
        self.outcome()
    }

    /// Draws from a distribution whose logarithm is normal.
    fn draw_time(&mut self, median: f64, spread: f64) -> f64 {
        let sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        median * ((sum - 6.0) * spread).exp()
    }

    /// Ends every box's life: with it goes what the box had counted and all that it had under way.
    /// What the store holds is read again.
    fn kill_all(&mut self, at: Duration) {
        self.life += 1;
        self.down_until = at + RESTART;
        let life = self.life;
        let (known_at, record) = (self.down_until, self.record.clone());
        for (number, at_box) in self.boxes.iter_mut().enumerate() {
            at_box.watch = VersionWatch::new(&format!("{number}.{life}"));
            at_box.heard = record
                .iter()
                .map(|record| (known_at, record.clone()))
                .collect();
        }
    }

    /// Tells whether a request is still under way, and at a box that lives.
    fn lives(&self, number: usize) -> bool {
        self.requests[number].life == self.life
    }

    fn request(&mut self, at: Duration) {
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / self.plan.rate;
        self.plan_event(at + Duration::from_secs_f64(pause), Event::Request);
        if at < self.down_until {
            return;
        }
        let at_box = self.rng.random_range(0..self.plan.boxes);
        let number = self.requests.len();
        let is_new = self.goes_to_new(at_box, number, at);
        let is_slowed = is_new && self.is_slowed(at_box, number, at);
        if is_new {
            self.sent_new.push(at);
        }
        let timed = self.trial(at_box, is_new, at).map(|trial| {
            let tally = self.boxes[at_box].watch.tally();
            tally.sent(trial);
            tally.begin(trial, kind(Measure::Head), HEAD_MEDIAN, now(at))
        });
        self.requests.push(Request {
            at_box,
            is_new,
            is_slowed,
            timed,
            life: self.life,
        });
        let head = self.draw_time(HEAD_MEDIAN, self.plan.head_spread) * self.slowness(number);
        self.plan_event(at + Duration::from_secs_f64(head), Event::Head(number));
    }

    fn is_slowed(&mut self, at_box: usize, number: usize, at: Duration) -> bool {
        let is_by_version = self.rng.random_bool(self.plan.slowed);
        let permille = self.boxes[at_box]
            .record(at)
            .map_or(0, |record| record.permille);
        let is_by_engine =
            |engines| stable_hash(&format!("engine of {number}")).is_multiple_of(engines);
        is_by_version && permille >= self.plan.slowed_from
            || self.plan.slow_one_of.is_some_and(is_by_engine)
    }

    fn slowness(&self, number: usize) -> f64 {
        match self.requests[number].is_slowed {
            true => self.plan.factor,
            false => 1.0,
        }
    }

    fn goes_to_new(&self, at_box: usize, number: usize, at: Duration) -> bool {
        let at_box = &self.boxes[at_box];
        let is_found = at_box.watch.finding(ORDER).is_some();
        let by_stage = |record: &RolloutRecord| {
            let is_running = record.state == RolloutState::Running && !is_found;
            let is_moved = stable_hash(&number.to_string()) % 1000 < u64::from(record.permille);
            record.state == RolloutState::Done || is_running && is_moved
        };
        at_box.record(at).is_some_and(by_stage)
    }

    fn trial(&self, at_box: usize, is_new: bool, at: Duration) -> Option<Trial> {
        let record = self.boxes[at_box].record(at)?;
        (record.state == RolloutState::Running).then(|| Trial {
            order: ORDER,
            stretch: stretch_at(at, self.plan.duration()),
            elapsed: at,
            is_new,
        })
    }

    fn head(&mut self, number: usize, at: Duration) {
        if !self.lives(number) {
            return;
        }
        if let Some(timed) = self.requests[number].timed.take() {
            timed.came(now(at));
        }
        let request = &self.requests[number];
        let (at_box, is_new) = (request.at_box, request.is_new);
        let trial = self.trial(at_box, is_new, at);
        let timed = trial.filter(|_| !self.plan.is_short).map(|trial| {
            let tally = self.boxes[at_box].watch.tally();
            tally.begin(trial, kind(Measure::Pace), GAPS, now(at))
        });
        self.requests[number].timed = timed;
        let events = self.draw_time(PACE_MEDIAN, PACE_SPREAD) * GAPS * self.slowness(number);
        self.plan_event(at + Duration::from_secs_f64(events), Event::End(number));
    }

    fn end(&mut self, number: usize, at: Duration) {
        if !self.lives(number) {
            return;
        }
        if let Some(timed) = self.requests[number].timed.take() {
            timed.came(now(at));
        }
        if self.requests[number].is_slowed {
            self.bad_answers.push(at);
        }
    }

    fn report(&mut self, number: usize, at: Duration) {
        self.plan_event(at + REPORTS, Event::Report(number));
        self.judge(number, at);
        for report in self.boxes[number].watch.reports(now(at)) {
            for told in (0..self.plan.boxes)
                .filter(|told| *told != number)
                .take(TOLD)
            {
                if !self.rng.random_bool(LOST) {
                    self.boxes[told].watch.take(report.clone());
                }
            }
        }
        if !self.boxes[number].watch.found_here().is_empty() {
            for told in 0..self.plan.boxes {
                if told != number && !self.rng.random_bool(LOST) {
                    self.boxes[told].watch.take_finding(ORDER);
                }
            }
        }
    }

    fn judge(&mut self, number: usize, at: Duration) -> Verdict {
        let Some(record) = self.boxes[number].record(at).cloned() else {
            return Verdict::default();
        };
        if record.state != RolloutState::Running {
            return Verdict::default();
        }
        let target = VersionName {
            model: "engine".to_owned(),
            version: "v2".to_owned(),
        };
        let asked = Question {
            order: ORDER,
            target: &target,
            span: Span {
                elapsed: at,
                duration: self.plan.duration(),
            },
            since: stretch_at(stage_since(&record), self.plan.duration()) + 1,
            is_compared: record.permille >= bound().middle_stage(MOVING),
            is_proved: record.is_proved(),
            seen: (number < IN_LINE).then_some(*record.seen),
        };
        self.boxes[number].watch.judge(asked, &bound(), now(at))
    }

    fn look(&mut self, at: Duration) {
        self.plan_event(at + LOOKS, Event::Look);
        let verdict = self.judge(0, at);
        let watch = &self.boxes[0].watch;
        let progress = Progress {
            elapsed: at,
            unseen: Duration::ZERO,
            condemned: watch.finding(ORDER).is_some(),
            verdict,
            bound: bound(),
        };
        let Some(next) = next_record(&order(&self.plan), self.record.as_ref(), progress) else {
            return;
        };
        for (number, at_box) in self.boxes.iter_mut().enumerate() {
            let lag = if number == 0 {
                Duration::ZERO
            } else {
                RECORD_LAG
            };
            at_box.heard.push((at + lag, next.clone()));
        }
        self.record = Some(next);
    }

    fn outcome(mut self) -> Outcome {
        self.bad_answers.sort_unstable();
        let fiftieth = self.bad_answers.get(BAD_ANSWERS - 1).copied();
        let is_late = |sent: &&Duration| {
            fiftieth.is_some_and(|fiftieth| **sent > fiftieth + bound().rollback)
        };
        Outcome {
            sent_new: self.sent_new.len(),
            sent_all: self.requests.len(),
            too_late: self.sent_new.iter().filter(is_late).count(),
            state: self
                .record
                .map_or(RolloutState::Running, |record| record.state),
        }
    }
}

fn kind(measure: Measure) -> Kind<'static> {
    Kind {
        route: "recap",
        measure,
    }
}

fn roll_out(plan: Plan) -> Outcome {
    let outcome = World::new(plan).run();
    println!("{plan:?}: {outcome:?}");
    outcome
}

const RATES: [f64; 4] = [10.0, 25.0, 100.0, 600.0];
const SEEDS: u64 = 3;

/// Plays a bad version at every rate, and returns how many plays broke the operators' bounds.
fn broken(slowed: f64, factor: f64) -> usize {
    let mut broken = 0;
    for rate in RATES {
        for seed in 0..SEEDS {
            let plan = Plan {
                slowed,
                factor,
                ..Plan::sound(rate, seed)
            };
            broken += usize::from(!roll_out(plan).keeps_bounds());
        }
    }
    broken
}

/// Plays roll-outs of a changed sound version at every rate with so many seeds.
fn roll_out_each(seeds: u64, change: impl Fn(Plan) -> Plan) -> Vec<(Plan, Outcome)> {
    let sound = |rate| (0..seeds).map(move |seed| Plan::sound(rate, seed));
    let plans = RATES.into_iter().flat_map(sound).map(change);
    plans.map(|plan| (plan, roll_out(plan))).collect()
}

/// Slows four requests in ten eightfold.
fn slow(plan: Plan) -> Plan {
    Plan {
        slowed: 0.4,
        factor: 8.0,
        ..plan
    }
}

fn killed_twice(plan: Plan) -> Plan {
    Plan {
        killed_at: &[6, 14],
        ..plan
    }
}

cases! {
    version_that_slows_four_requests_in_ten_eightfold_stays_within_bounds => {
        expect_that!(broken(0.4, 8.0), eq(0));
    }

    version_that_slows_four_requests_in_ten_fourfold_stays_within_bounds => {
        expect_that!(broken(0.4, 4.0), eq(0));
    }

    version_that_slows_all_requests_twofold_stays_within_bounds => {
        expect_that!(broken(1.0, 2.0), eq(0));
    }

    version_that_slows_all_requests_sixteenfold_stays_within_bounds => {
        expect_that!(broken(1.0, 16.0), eq(0));
    }

    version_that_slows_two_requests_in_ten_eightfold_stays_within_bounds => {
        expect_that!(broken(0.2, 8.0), eq(0));
    }

    weaker_versions_are_listed => {
        // No promise: what of the weaker ones breaks the bounds, for the pages. Those that break
        // most slow one request in ten twofold, within the spread of sound answers.
        for slowed in [0.1, 0.2, 0.4, 1.0] {
            for factor in [2.0, 4.0, 8.0, 16.0] {
                let broken = broken(slowed, factor);
                let played = RATES.len() * usize::try_from(SEEDS).unwrap();
                println!("of {played} plays, {slowed} slowed {factor} times: {broken} broken");
                expect_that!(broken, le(played), "a play ends in any case");
            }
        }
    }

    sound_version_is_done_in_time => {
        for rate in RATES {
            for seed in 0..5 {
                let plan = Plan::sound(rate, seed);
                let outcome = roll_out(plan);
                expect_that!(outcome.state, eq(RolloutState::Done), "{plan:?}: {outcome:?}");
            }
        }
    }

    sound_version_of_short_answers_is_done_in_time => {
        // Seen: a sound version of one box was taken back after 58 answers, of which only the
        // heads were timed, with odds of e^-2 where e^-3 was asked. How it came about: answers
        // that come at once differ by what else the machine does, and some sixty of them say too
        // little by one measure, whatever the version. What caused it: the next stage was given
        // for a proof alone, though the operators' bounds bear that stage without one.
        for seed in 0..40 {
            let plan = Plan {
                boxes: 1,
                duration: 8,
                is_short: true,
                head_spread: 1.0,
                ..Plan::sound(250.0, seed)
            };
            let outcome = roll_out(plan);
            expect_that!(outcome.state, eq(RolloutState::Done), "{plan:?}: {outcome:?}");
        }
    }

    version_with_five_minutes_is_judged_as_soon => {
        // Fails where stretches grow with the roll-out's time: a stage has four seconds to prove
        // itself, and would be judged from the next stretch of twelve seconds on.
        for seed in 0..3 {
            let sound = Plan { duration: 300, ..Plan::sound(25.0, seed) };
            expect_that!(roll_out(sound).state, eq(RolloutState::Done));
            let slow = Plan { slowed: 0.4, factor: 8.0, ..sound };
            expect_that!(roll_out(slow).keeps_bounds(), eq(true));
        }
    }

    weak_version_that_slows_one_request_in_ten_twofold_stays_within_bounds => {
        expect_that!(broken(0.1, 2.0), eq(0));
    }

    weak_version_that_slows_one_request_in_ten_fourfold_stays_within_bounds => {
        expect_that!(broken(0.1, 4.0), eq(0));
    }

    weak_version_that_slows_two_requests_in_ten_twofold_stays_within_bounds => {
        expect_that!(broken(0.2, 2.0), eq(0));
    }

    version_that_is_slow_only_with_half_of_the_sessions_stays_within_bounds => {
        for (plan, outcome) in roll_out_each(SEEDS, |plan| Plan { slowed_from: 500, ..slow(plan) }) {
            expect_that!(outcome.keeps_bounds(), eq(true), "{plan:?}");
        }
    }

    slow_version_stays_within_bounds_though_all_boxes_are_killed_twice => {
        for (plan, outcome) in roll_out_each(5, |plan| killed_twice(slow(plan))) {
            expect_that!(outcome.keeps_bounds(), eq(true), "{plan:?}");
        }
    }

    slow_version_is_written_back_in_time_though_all_boxes_are_killed_twice => {
        for (plan, outcome) in roll_out_each(5, |plan| killed_twice(slow(plan))) {
            expect_that!(outcome.state, eq(RolloutState::Reverted), "{plan:?}: {outcome:?}");
        }
    }

    sound_version_with_one_slow_engine_is_done_in_time => {
        let one_slow = |plan| Plan { factor: 4.0, slow_one_of: Some(4), ..plan };
        for (plan, outcome) in roll_out_each(SEEDS, one_slow) {
            expect_that!(outcome.state, eq(RolloutState::Done), "{plan:?}: {outcome:?}");
        }
    }

    sound_version_of_other_seeds_is_done_in_time_though_all_boxes_are_killed_twice => {
        for (plan, outcome) in roll_out_each(20, killed_twice) {
            expect_that!(outcome.state, eq(RolloutState::Done), "{plan:?}: {outcome:?}");
        }
    }

    sound_version_is_done_in_time_though_all_boxes_are_killed_twice => {
        for (plan, outcome) in roll_out_each(SEEDS, killed_twice) {
            expect_that!(outcome.state, eq(RolloutState::Done), "{plan:?}: {outcome:?}");
        }
    }
}
