//! Places plain requests where they are expected to be answered first, given that all boxes know
//! the same and choose at the same time.
//!
//! If each box chose the upstream with the shortest wait, all of them would choose the same one
//! until the next report. Instead, the requests that the fleet sends before the next reports are
//! divided so that the last ones to arrive are answered at the same time everywhere, and each
//! request takes its part by its hash. See `docs/design/expected-wait.md`.

use super::choose::PlacementChoice;
use super::engine_cost::PrefixSource;
use super::engine_speed::SpeedBelief;
use super::expected_wait::{ExpectedWait, Queue};
use super::service_time::ServiceTimes;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::attempt::exchange::{NotRunReason, TryOutcome};
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::control::store::UpstreamLife;
use std::rc::Rc;
use std::time::Duration;

/// Cost of another hall, in service times.
const OTHER_HALL_COST_SERVICE_TIMES: f64 = 0.35;
/// Cost of an upstream whose queue is known to be full, in service times: more than any queue, less
/// than a back-off.
const FULL_COST_SERVICE_TIMES: f64 = 40.0;
/// The time until a report reaches the other boxes.
const REPORT_TRANSIT: Duration = Duration::from_millis(5);
/// Number of halvings when the common time of completion is searched for.
const LEVEL_SEARCH_STEPS: u32 = 10;
/// A request counts as not queued, so that its time is measured, if the expected wait was below its
/// expected time divided by this.
const MAX_UNQUEUED_WAIT_DIVISOR: u32 = 5;
/// The first status code of an upstream's failures, whose times tell nothing.
const FIRST_ERROR_STATUS: u16 = 400;
/// The status with which an upstream rejects requests for lack of room.
const FULL_STATUS: u16 = 503;
/// The least number of requests to divide: with fewer, the upstream with the least cost gets all.
const MIN_REQUESTS: f64 = 1e-3;

/// What the placement of a plain request depends on, besides the candidates.
#[derive(Debug, Clone, Copy)]
pub struct PlainPlacement<'a> {
    /// The hall of this box.
    pub hall: &'a str,
    /// The share of the fleet's boxes that are in this hall.
    pub hall_share: f64,
    /// The learned time of a request at the usual speed.
    pub service_time: Duration,
    /// A hash of the request.
    pub seed: u64,
}

/// One upstream as the division sees it; times in seconds.
#[derive(Debug, Clone, Copy)]
struct Room {
    queue: Queue,
    /// The number of requests there before the division.
    occupancy: f64,
    /// The time from the start of a request, and the penalties.
    fixed: f64,
    /// The time until the answer, and the penalties.
    cost: f64,
    is_in_hall: bool,
    slots: f64,
    wait: ExpectedWait,
}

impl Room {
    fn of(upstream: &Upstream, placement: PlainPlacement<'_>, now: Now) -> (Self, f64) {
        let load = upstream.load_estimate(placement.service_time, now);
        let run = upstream.expected_run(placement.service_time, load.work_time, now);
        let (is_in_hall, slots) =
            upstream.with_listed(|listed| (listed.hall == placement.hall, listed.slots.max(1)));
        let queue = Queue::new(slots, run);
        let mut penalty = upstream.health_penalty(now);
        if !is_in_hall {
            penalty += OTHER_HALL_COST_SERVICE_TIMES;
        }
        if upstream.is_full(load.occupancy) {
            penalty += FULL_COST_SERVICE_TIMES;
        }
        let fixed = run.as_secs_f64() + penalty * placement.service_time.as_secs_f64();
        let wait = queue.wait_seconds(load.occupancy);
        let room = Self {
            queue,
            occupancy: load.occupancy,
            fixed,
            cost: fixed + wait,
            is_in_hall,
            slots: f64::from(slots),
            wait: ExpectedWait {
                queue: Duration::from_secs_f64(wait),
                run,
                report_age: load.report_age,
            },
        };
        (room, load.usual_occupancy)
    }

    fn add_requests(&mut self, requests: f64) {
        self.occupancy += requests;
        self.cost = self.fixed + self.queue.wait_seconds(self.occupancy);
    }

    /// Returns how many more requests raise the cost to a level.
    fn requests_up_to(&self, level: f64) -> f64 {
        if level <= self.cost {
            return 0.0;
        }
        (self.queue.others_at_wait(level - self.fixed) - self.occupancy).max(0.0)
    }
}

/// Chooses an upstream for a plain request.
pub fn choose_plain(
    candidates: &[&Rc<Upstream>],
    placement: PlainPlacement<'_>,
    now: Now,
) -> Option<PlacementChoice> {
    let mut usual_total = 0.0;
    let mut rooms: Vec<Room> = Vec::with_capacity(candidates.len());
    for upstream in candidates {
        let (room, usual) = Room::of(upstream, placement, now);
        usual_total += usual;
        rooms.push(room);
    }
    let requests = requests_in_lag(&rooms, usual_total);
    let own = requests * placement.hall_share.clamp(0.0, 1.0);
    add_requests_of_other_halls(&mut rooms, requests - own);
    let parts = divide(&rooms, own.max(MIN_REQUESTS));
    let chosen = pick(&parts, placement.seed)?;
    Some(PlacementChoice {
        upstream: (*candidates.get(chosen)?).clone(),
        queue_wait: Duration::ZERO,
        prefill: Duration::ZERO,
        prefix_source: PrefixSource::Computed,
        expected: rooms.get(chosen).map(|room| room.wait),
        speed: SpeedBelief::USUAL,
    })
}

impl Gateway {
    /// Returns whether requests of a service are placed by the expected wait.
    pub fn places_by_expected_wait(&self, service: &str) -> bool {
        self.is_plain_service(service) && self.controls_load(service)
    }

    /// Chooses an upstream for a plain request among the candidates that have not been tried.
    pub fn choose_by_expected_wait(
        &self,
        service: &str,
        candidates: &[Rc<Upstream>],
        tried: &[UpstreamLife],
        seed: u64,
        now: Now,
    ) -> Option<PlacementChoice> {
        let untried: Vec<&Rc<Upstream>> = candidates
            .iter()
            .filter(|upstream| !tried.contains(upstream.incarnation()))
            .collect();
        let settings = self.settings();
        let placement = PlainPlacement {
            hall: &settings.hall,
            hall_share: self.hall_share(&settings.hall),
            service_time: self.service_times.of(service).usual,
            seed,
        };
        choose_plain(&untried, placement, now)
    }

    /// Returns the share of the registered boxes that are in a hall.
    fn hall_share(&self, hall: &str) -> f64 {
        let knowledge = self.knowledge.borrow();
        let in_hall = knowledge.boxes().filter(|entry| entry.hall == hall).count();
        in_hall.max(1) as f64 / knowledge.box_count().max(1) as f64
    }

    /// Learns from an attempt at a plain upstream, and sends its load report to the other boxes.
    pub fn learn_from_attempt(
        &self,
        service: &str,
        choice: &PlacementChoice,
        tried: &TryOutcome,
        now: Now,
    ) {
        if !self.places_by_expected_wait(service) {
            return;
        }
        let upstream = &choice.upstream;
        let (invalid, is_logged) = upstream.take_invalid_reports(now);
        if invalid > 0 {
            self.telemetry
                .record_invalid_load_reports(upstream, invalid, is_logged);
        }
        match tried {
            TryOutcome::Answered(answer)
                if answer.status < FIRST_ERROR_STATUS && answer.has_upstream_times(now) =>
            {
                learn_service_time(&self.service_times, service, choice, answer.head_took, now);
            }
            TryOutcome::NotRun(NotRunReason::Refused(refusal))
                if refusal.status() == FULL_STATUS =>
            {
                upstream.record_full(now);
            }
            TryOutcome::Answered(_) | TryOutcome::NotRun(_) | TryOutcome::Unknown(_) => {}
        }
        self.share_load_report(upstream, now);
    }
}

/// Learns from the time of a request: the upstream's factor against what was expected, and the
/// service's time if the request did not wait, as far as is known.
pub fn learn_service_time(
    times: &ServiceTimes,
    service: &str,
    choice: &PlacementChoice,
    took: Duration,
    now: Now,
) {
    let upstream = &choice.upstream;
    let Some(expected) = choice.expected else {
        return;
    };
    if times.of(service).is_measured {
        upstream
            .service_factor()
            .record(took, expected.total(), now);
    }
    let states_waiting = upstream
        .newest_report()
        .is_some_and(|(load, _)| load.waiting > 0);
    if !states_waiting && expected.queue <= expected.run / MAX_UNQUEUED_WAIT_DIVISOR {
        times.record(service, took, upstream.stated_work_time());
    }
}

/// Returns how many requests the fleet has sent since the reports were made: by Little's law, from
/// the number of requests at the upstreams and the time that they stay there. Those that came
/// before have left again.
fn requests_in_lag(rooms: &[Room], usual_total: f64) -> f64 {
    let count = rooms.len().max(1) as f64;
    let unknown_age = |room: &Room| room.wait.total() + REPORT_TRANSIT;
    let lag = |room: &Room| {
        let age = room.wait.report_age.map(|age| age + REPORT_TRANSIT);
        age.unwrap_or_else(|| unknown_age(room)).as_secs_f64()
    };
    let mean_lag = rooms.iter().map(lag).sum::<f64>() / count;
    let stay = |room: &Room| room.wait.total().as_secs_f64();
    let mean_stay = rooms.iter().map(stay).sum::<f64>() / count;
    usual_total * (mean_lag / mean_stay.max(f64::MIN_POSITIVE)).min(1.0)
}

/// Adds the requests that other halls send meanwhile: they stay there as long as there is room.
fn add_requests_of_other_halls(rooms: &mut [Room], requests: f64) {
    let others = rooms.iter().filter(|room| !room.is_in_hall);
    let slots: f64 = others.map(|room| room.slots).sum();
    if slots > 0.0 {
        for room in rooms.iter_mut().filter(|room| !room.is_in_hall) {
            room.add_requests(requests * room.slots / slots);
        }
    }
}

/// Divides requests so that the costs are equal wherever any are sent; returns the part of each.
fn divide(rooms: &[Room], requests: f64) -> Vec<f64> {
    let Some(cheapest) = rooms
        .iter()
        .min_by(|one, other| one.cost.total_cmp(&other.cost))
    else {
        return Vec::new();
    };
    // All requests at the cheapest one cost the most that any of them has to.
    let mut low = cheapest.cost;
    let mut high = cheapest.fixed + cheapest.queue.wait_seconds(cheapest.occupancy + requests);
    // So few requests change no cost: the upstreams with the least one share them.
    if high <= low {
        let is_cheapest = |room: &Room| f64::from(u8::from(room.cost <= low));
        return rooms.iter().map(is_cheapest).collect();
    }
    // Those that cost more even without further requests get none.
    let used: Vec<&Room> = rooms.iter().filter(|room| room.cost < high).collect();
    for _ in 0..LEVEL_SEARCH_STEPS {
        let level = f64::midpoint(low, high);
        let sent: f64 = used.iter().map(|room| room.requests_up_to(level)).sum();
        match sent < requests {
            true => low = level,
            false => high = level,
        }
    }
    rooms.iter().map(|room| room.requests_up_to(high)).collect()
}

/// Picks an index by its part; the last one with the largest part if the parts are no numbers.
fn pick(parts: &[f64], seed: u64) -> Option<usize> {
    let total: f64 = parts.iter().sum();
    // The upper bits suffice for a fraction.
    let fraction = (seed >> 11) as f64 / (1u64 << 53) as f64;
    let mut left = fraction * total;
    for (index, part) in parts.iter().enumerate() {
        left -= part;
        if left < 0.0 {
            return Some(index);
        }
    }
    parts
        .iter()
        .enumerate()
        .max_by(|(_, one), (_, other)| one.total_cmp(other))
        .map(|(index, _)| index)
}
