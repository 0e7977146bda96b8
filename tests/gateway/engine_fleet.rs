//! Boxes that place prompts at engines, in virtual time.
//!
//! Each box knows what it has sent, what others reported up to 1.3 s ago, what it measured of few
//! answers, and what others told it of theirs. Engines read prompts in order of arrival; the pace of
//! a stream shows the engine's speed with a disturbance.

use super::{at, listed};
use gatepier::gateway::attempt::headers::ReportedLoad;
use gatepier::gateway::attempt::upstream::{PendingPrefill, Upstream};
use gatepier::gateway::control::state::ControlPlaneState;
use gatepier::gateway::control::store::{ListedUpstream, Update};
use gatepier::gateway::place::cache_affinity::CacheReplication;
use gatepier::gateway::place::choose::{PlacementParams, choose_placement, engines_to_compare};
use gatepier::gateway::place::engine_cost::SharedPrompt;
use gatepier::gateway::place::peer_loads::{BoxLoad, MIN_LONG_PREFILL, PeerLoads, report_interval};
use gatepier::gateway::place::stated_speed::update_service_levels;
use gatepier::routing::placement::LoadGuard;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

const STEP_MS: u64 = 5;
const GOSSIP_MS: u64 = 300;
/// Time until boxes have measured and told each other enough.
pub const SETTLED_MS: u64 = 8000;
pub const LENGTH_MS: u64 = 30_000;
/// Time to read a prompt at the usual speed.
pub const PROMPT_MS: f64 = 86.0;
/// Time of the events of a stream at the usual speed.
const STREAM_MS: f64 = 900.0;
/// Spread of the pace of single streams, in octaves.
const PACE_SPREAD_OCTAVES: f64 = 0.4;
/// The shortest objective of streams, in milliseconds.
pub const OBJECTIVE_MS: u64 = 1500;
/// The longest pause of streams that callers count as in time.
pub const MAX_PAUSE: Duration = Duration::from_secs(1);
pub const BOXES: usize = 85;
pub const ENGINES: usize = 90;
/// The number of beginnings that long prompts share, and how long each of them is.
const LONG_BEGINNINGS: u32 = 30;
const BEGINNING_TOKENS: f64 = 5400.0;
const BEGINNING_PREFILL: Duration = Duration::from_millis(300);
const SLOTS: u32 = 24;
pub const HALLS: [&str; 3] = ["east", "west", "north"];

/// A request at an engine.
struct Run {
    sender: usize,
    arrived_ms: u64,
    work_left_ms: f64,
    upstream: Rc<Upstream>,
    load: LoadGuard,
    _pending: PendingPrefill,
}

/// A stream whose prompt was read.
struct Stream {
    sender: usize,
    upstream: Rc<Upstream>,
    work_left_ms: f64,
    speed_sum: f64,
    steps: f64,
    /// How long the engine has read prompts without a break.
    held_ms: u64,
    longest_pause_ms: u64,
    _load: LoadGuard,
}

#[derive(Default)]
pub struct Engine {
    pub speed: f64,
    queue: VecDeque<Run>,
    streams: Vec<Stream>,
    pub work_done_ms: f64,
    pub longest_wait_ms: f64,
}

/// What happens in a run.
pub struct Plan {
    /// Demand as a fraction of what the engines can read.
    pub demand: f64,
    /// Time to read the prompt of a request at the usual speed, and its mean.
    pub prompt_ms: fn(u64) -> f64,
    pub mean_prompt_ms: f64,
    pub speed: fn(usize) -> f64,
    /// The factor by which an engine is slower at a time.
    pub slowdown: fn(usize, u64) -> f64,
    /// What an engine states, given its slowdown.
    pub stated_percent: fn(usize, f64) -> Option<u32>,
    /// The demand of a hall relative to the mean.
    pub hall_demand: fn(usize, u64) -> f64,
    /// Whether load reports and measurements get lost at a time.
    pub loses_messages: fn(u64) -> bool,
    /// Whether a hall is cut off from the others at a time.
    pub is_cut: fn(usize, u64) -> bool,
    /// The box that starts again, and when.
    pub restarted_box: Option<(usize, u64)>,
    /// The engine that starts again, when, and its speed from then on.
    pub reborn_engine: Option<(usize, u64, f64)>,
}

pub const PLAN: Plan = Plan {
    demand: 0.85,
    prompt_ms: |_| PROMPT_MS,
    mean_prompt_ms: PROMPT_MS,
    speed: |_| 1.0,
    slowdown: |_, _| 1.0,
    stated_percent: |_, slowdown| Some((slowdown * 100.0) as u32),
    hall_demand: |_, _| 1.0,
    loses_messages: |_| false,
    is_cut: |_, _| false,
    restarted_box: None,
    reborn_engine: None,
};

/// What a run showed, from [`SETTLED_MS`] on.
pub struct Outcome {
    pub engines: Vec<Engine>,
    /// Time of arrival, hall of the box, and time to the first event.
    pub first_events: Vec<(u64, usize, u64)>,
    /// The longest time of each stream in which its engine only read prompts.
    pub pauses_ms: Vec<u64>,
    pub views: Vec<BoxView>,
}

impl Outcome {
    /// Returns the work of some engines relative to their share of the speed of all.
    pub fn work_by_speed(&self, is_counted: impl Fn(usize) -> bool) -> f64 {
        let sum = |value: fn(&Engine) -> f64| {
            let all: f64 = self.engines.iter().map(value).sum();
            let numbered = self.engines.iter().enumerate();
            let counted: f64 = numbered
                .filter(|(number, _)| is_counted(*number))
                .map(|(_, engine)| value(engine))
                .sum();
            counted / all
        };
        sum(|engine| engine.work_done_ms) / sum(|engine| engine.speed)
    }

    /// Returns the 99th percentile of the time to the first event, of the requests that arrived in
    /// a period.
    pub fn late_first_event_ms(&self, from_ms: u64, to_ms: u64) -> u64 {
        let arrived = |found: &&(u64, usize, u64)| (from_ms..to_ms).contains(&found.0);
        let mut took: Vec<u64> = self
            .first_events
            .iter()
            .filter(arrived)
            .map(|found| found.2)
            .collect();
        took.sort_unstable();
        took[took.len() * 99 / 100]
    }

    /// Returns the fraction of streams that paused for too long.
    pub fn paused_fraction(&self) -> f64 {
        let bound = MAX_PAUSE.as_millis() as u64;
        let paused = self.pauses_ms.iter().filter(|pause| **pause > bound);
        paused.count() as f64 / self.pauses_ms.len() as f64
    }
}

/// What one box knows.
#[derive(Default)]
pub struct BoxView {
    pub state: ControlPlaneState,
    pub loads: PeerLoads,
    pub upstreams: Vec<Rc<Upstream>>,
}

impl BoxView {
    fn new() -> Self {
        let mut view = Self::default();
        (0..ENGINES).for_each(|engine| view.list(engine, None));
        view
    }

    /// Lists an engine that has started.
    fn list(&mut self, engine: usize, born: Option<u64>) {
        let listed = ListedUpstream {
            slots: SLOTS,
            born,
            ..listed(&instance(engine), "engine", HALLS[engine % HALLS.len()])
        };
        self.state.apply(Update::Upstream(Box::new(listed)), at(0));
        let is_listed = |known: &&Rc<Upstream>| known.listed().instance == instance(engine);
        let known = self.state.upstreams().find(is_listed).unwrap().clone();
        match self.upstreams.get_mut(engine) {
            Some(former) => *former = known,
            None => self.upstreams.push(known),
        }
    }
}

/// A prompt of which nothing is cached.
pub fn prompt(key: &str, prefill: Duration) -> SharedPrompt<'_> {
    SharedPrompt {
        prefix_key: key,
        replication: CacheReplication::OneEnginePerHall,
        full_prefill: prefill,
        suffix_prefill: prefill,
        shared_tokens: 0.0,
        request_bytes: 1000,
        max_pause: Some(MAX_PAUSE),
    }
}

/// The rest of a long prompt, whose beginning one engine has cached.
fn long_prompt(key: &str, rest: Duration) -> SharedPrompt<'_> {
    SharedPrompt {
        replication: CacheReplication::OneEngine,
        full_prefill: rest + BEGINNING_PREFILL,
        shared_tokens: BEGINNING_TOKENS,
        ..prompt(key, rest)
    }
}

pub fn instance(engine: usize) -> String {
    format!("i-{engine}")
}

pub fn run(plan: &Plan) -> Outcome {
    let mut rng = StdRng::seed_from_u64(7);
    let mut views: Vec<BoxView> = (0..BOXES).map(|_| BoxView::new()).collect();
    let mut engines: Vec<Engine> = (0..ENGINES)
        .map(|number| Engine {
            speed: (plan.speed)(number),
            ..Engine::default()
        })
        .collect();
    let mut first_events = Vec::new();
    let mut pauses_ms = Vec::new();
    let capacity: f64 = engines.iter().map(|engine| engine.speed).sum();
    let mean_arrivals = plan.demand * capacity * STEP_MS as f64 / plan.mean_prompt_ms;
    let report_ms = report_interval(BOXES - 1).as_millis() as u64 / STEP_MS * STEP_MS;
    let mut arrivals = [0.0; HALLS.len()];
    let mut request = 0u64;
    for now_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        let now = at(now_ms);
        let can_talk = |one: usize, other: usize| {
            let (one, other) = (one % HALLS.len(), other % HALLS.len());
            let is_cut = (plan.is_cut)(one, now_ms) || (plan.is_cut)(other, now_ms);
            !(plan.loses_messages)(now_ms) && (one == other || !is_cut)
        };
        if let Some((restarted, at_ms)) = plan.restarted_box
            && at_ms == now_ms
        {
            views[restarted] = BoxView::new();
        }
        if let Some((reborn, at_ms, speed)) = plan.reborn_engine
            && at_ms == now_ms
        {
            engines[reborn].speed = speed;
            engines[reborn].queue.clear();
            engines[reborn].streams.clear();
            views
                .iter_mut()
                .for_each(|view| view.list(reborn, Some(now_ms)));
        }
        for sender in 0..BOXES {
            let phase = (sender as u64 * 35) / STEP_MS * STEP_MS;
            if (now_ms + phase).is_multiple_of(report_ms) {
                let load = BoxLoad::collect(&format!("box-{sender}"), &views[sender].state);
                for (other, view) in views.iter_mut().enumerate() {
                    if other != sender && can_talk(sender, other) {
                        view.loads.set_report(load.clone(), now);
                    }
                }
                let view = &mut views[sender];
                view.loads.apply_with_ages(&view.state, |_| true, now);
                update_service_levels(&view.state);
            }
            if (now_ms + phase).is_multiple_of(GOSSIP_MS) {
                let turn = 1 + (now_ms / GOSSIP_MS) as usize % (BOXES - 1);
                let receiver = (sender + turn) % BOXES;
                for engine in 0..ENGINES {
                    if can_talk(sender, receiver)
                        && let Some(measured) =
                            views[sender].upstreams[engine].speed().measured(now)
                    {
                        views[receiver].upstreams[engine]
                            .speed()
                            .merge(measured, now);
                    }
                }
            }
        }
        for (hall, due) in arrivals.iter_mut().enumerate() {
            *due += mean_arrivals / HALLS.len() as f64 * (plan.hall_demand)(hall, now_ms);
            while *due >= rng.random_range(0.0..2.0) {
                *due -= 1.0;
                request += 1;
                let in_hall = BOXES / HALLS.len();
                let sender = rng.random_range(0..in_hall) * HALLS.len() + hall;
                let reachable: Vec<Rc<Upstream>> = views[sender]
                    .upstreams
                    .iter()
                    .enumerate()
                    .filter(|(engine, _)| {
                        let other = engine % HALLS.len();
                        other == hall
                            || !((plan.is_cut)(hall, now_ms) || (plan.is_cut)(other, now_ms))
                    })
                    .map(|(_, upstream)| upstream.clone())
                    .collect();
                let prompt_ms = (plan.prompt_ms)(request);
                let prefill = Duration::from_secs_f64(prompt_ms / 1000.0);
                let is_long = prefill >= MIN_LONG_PREFILL;
                let key = match is_long {
                    true => format!("part-{}", rng.random_range(0..LONG_BEGINNINGS)),
                    false => format!("part-{request}"),
                };
                let placed = match is_long {
                    true => long_prompt(&key, prefill),
                    false => prompt(&key, prefill),
                };
                let params = PlacementParams {
                    hall: HALLS[hall],
                    prompt: Some(placed),
                    tried: &[],
                    seed: request,
                    engines_to_compare: engines_to_compare(BOXES),
                };
                let choice = choose_placement(&reachable, params, now).unwrap();
                let number = views[sender]
                    .upstreams
                    .iter()
                    .position(|known| Rc::ptr_eq(known, &choice.upstream))
                    .unwrap();
                if is_long {
                    for (other, view) in views.iter().enumerate() {
                        if other != sender && can_talk(sender, other) {
                            view.upstreams[number].add_peer_prefill(prefill, now);
                        }
                    }
                }
                engines[number].queue.push_back(Run {
                    sender,
                    arrived_ms: now_ms,
                    work_left_ms: prompt_ms,
                    load: choice.upstream.begin_request(),
                    _pending: choice.upstream.begin_prefill(choice.prefill_work()),
                    upstream: choice.upstream,
                });
            }
        }
        for (number, engine) in engines.iter_mut().enumerate() {
            let slowdown = (plan.slowdown)(number, now_ms);
            let speed = engine.speed / slowdown;
            let mut work_ms = STEP_MS as f64 * speed;
            while work_ms > 0.0
                && let Some(run) = engine.queue.front_mut()
            {
                let done = work_ms.min(run.work_left_ms);
                run.work_left_ms -= done;
                work_ms -= done;
                if now_ms >= SETTLED_MS {
                    engine.work_done_ms += done;
                }
                if run.work_left_ms > 0.0 {
                    break;
                }
                let Some(run) = engine.queue.pop_front() else {
                    break;
                };
                let took = now_ms + STEP_MS - run.arrived_ms;
                if run.arrived_ms >= SETTLED_MS {
                    first_events.push((run.arrived_ms, run.sender % HALLS.len(), took));
                    engine.longest_wait_ms = engine.longest_wait_ms.max(took as f64);
                }
                let waiting = engine.queue.len() as u32;
                run.upstream.record_load_report(
                    ReportedLoad {
                        running: engine.streams.len() as u32 + 1,
                        waiting,
                        slots: SLOTS,
                        work_time_percent: (plan.stated_percent)(number, slowdown),
                    },
                    now,
                );
                engine.streams.push(Stream {
                    sender: run.sender,
                    upstream: run.upstream,
                    work_left_ms: STREAM_MS,
                    speed_sum: 0.0,
                    steps: 0.0,
                    held_ms: 0,
                    longest_pause_ms: 0,
                    _load: run.load,
                });
            }
            for stream in &mut engine.streams {
                stream.work_left_ms -= STEP_MS as f64 * speed;
                stream.speed_sum += speed;
                stream.steps += 1.0;
                stream.held_ms = if work_ms > 0.0 {
                    0
                } else {
                    stream.held_ms + STEP_MS
                };
                stream.longest_pause_ms = stream.longest_pause_ms.max(stream.held_ms);
            }
            for stream in engine
                .streams
                .extract_if(.., |stream| stream.work_left_ms <= 0.0)
            {
                if now_ms >= SETTLED_MS {
                    pauses_ms.push(stream.longest_pause_ms);
                }
                let spread = rng.random_range(-PACE_SPREAD_OCTAVES..PACE_SPREAD_OCTAVES);
                let measured = stream.speed_sum / stream.steps * f64::exp2(spread);
                if Rc::ptr_eq(&views[stream.sender].upstreams[number], &stream.upstream) {
                    stream.upstream.speed().record(measured, now);
                }
            }
        }
    }
    Outcome {
        engines,
        first_events,
        pauses_ms,
        views,
    }
}
