//! How a request of a service under load gets room at an upstream: it is sent, waits in this box,
//! or is refused.
//!
//! [`super::load_decision`] decides, and [`super::wait_queue`] holds the requests that wait. See
//! `docs/design/waiting.md`.

use super::load_decision::{
    CallerHistory, LoadDecision, LoadInputs, ReturnWindow, Standing, decide, is_recent,
    time_until_room,
};
use super::request::AdmittedRequest;
use super::service_demand::ServiceDemand;
use super::wait_queue::{Urgency, WaitQueue, Waiter, WaitingPlace};
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::answer::refusal::{Execution, RefusalReason};
use crate::gateway::answer::return_schedule::ReturnSchedule;
use crate::gateway::control::store::UpstreamLife;
use crate::gateway::place::choose::stable_hash;
use crate::gateway::place::expected_wait::ExpectedWait;
use std::cell::RefCell;
use std::time::Duration;

/// The part of the room for which callers are asked to come back; the rest is for new ones.
const RETURNS_ROOM_FRACTION: f64 = 0.5;
/// The shortest time until the first waiting request looks for room again.
const MIN_PAUSE: Duration = Duration::from_millis(5);
/// The shortest time after which a request that found all upstreams full looks for room.
const PAUSE_WHERE_FULL: Duration = Duration::from_millis(15);
/// A full upstream is looked at again after the time to run divided by this.
const FULL_PAUSE_DIVISOR: u32 = 4;
/// How often a stopping box sees whether a waiting request might outlast it.
const MAX_PAUSE_WHILE_STOPPING: Duration = Duration::from_millis(100);
/// The turns of boxes for the same room are spread over at most the objective divided by this.
const MAX_SPREAD_DIVISOR: u32 = 8;

/// The state of a box that decides who gets room.
#[derive(Debug, Default)]
pub struct RoomState {
    queue: RefCell<WaitQueue>,
    demand: RefCell<ServiceDemand>,
    returns: RefCell<ReturnSchedule>,
}

/// The shortest expected waits for a request.
#[derive(Debug, Clone, Copy, Default)]
struct KnownRoom {
    /// Where it may be sent.
    open: Option<ExpectedWait>,
    /// Where it would be rejected.
    full: Option<ExpectedWait>,
}

/// How a wait ended.
enum WaitEnd {
    /// There is room for the request.
    Room,
    /// It has waited as long as it may.
    TimeOut,
}

impl Gateway {
    /// Takes note of an arriving request of a service under load; returns whether its caller was
    /// refused before.
    pub fn record_arrival(
        &self,
        service: &str,
        route: &str,
        organisation: &str,
        urgency: Urgency,
        caller_time: Option<Duration>,
        now: Now,
    ) -> CallerHistory {
        let mut demand = self.room.demand.borrow_mut();
        demand.record_arrival(service, organisation, urgency, now);
        let history = caller_time.map(|time| demand.record_caller_time(route, time));
        history.unwrap_or_default()
    }

    /// Counts a request that an upstream has served, and lets the next one look for room.
    pub fn record_served(&self, request: &AdmittedRequest, now: Now) {
        if !self.controls_load(&request.service) {
            return;
        }
        let organisation = request.organisation_name();
        let mut demand = self.room.demand.borrow_mut();
        demand.record_served(&request.service, organisation, now);
        drop(demand);
        self.wake_waiting(&request.service, now);
    }

    /// Lets the first request that waits for a service look for room.
    pub fn wake_waiting(&self, service: &str, now: Now) {
        let demand = self.room.demand.borrow();
        let queue = self.room.queue.borrow();
        queue.wake_first(service, &*demand, now);
    }

    /// Lets the first waiting request of each service look for room, since reports have arrived.
    pub fn wake_all_waiting(&self, now: Now) {
        let demand = self.room.demand.borrow();
        self.room.queue.borrow().wake_first_of_each(&*demand, now);
    }

    fn is_first_waiting(&self, place: &WaitingPlace<'_>, service: &str, now: Now) -> bool {
        let demand = self.room.demand.borrow();
        let queue = self.room.queue.borrow();
        queue.first(service, &*demand, now) == Some(place.id())
    }

    /// Returns the number of requests that wait for room.
    pub fn waiting_for_room(&self) -> usize {
        self.room.queue.borrow().len()
    }

    /// Returns when a refused caller should come back: callers return one after the other, at the
    /// pace at which this box gets room, and those for whom there is no turn at any time that they
    /// can wait. Those of an organisation over its share get none of the others' room.
    fn return_after_overload(
        &self,
        request: &AdmittedRequest,
        inputs: &LoadInputs,
        window: ReturnWindow,
        now: Now,
    ) -> Duration {
        let service = request.service.as_str();
        let is_over_share = inputs.standing.is_over_share;
        let organisation = is_over_share.then(|| request.organisation_name());
        let demand = self.room.demand.borrow();
        let served = demand.served_per_second(service, organisation, now);
        let span = window.latest.saturating_sub(window.earliest);
        let interval = Duration::try_from_secs_f64(1.0 / (served * RETURNS_ROOM_FRACTION));
        let interval = interval.map_or(span, |interval| interval.min(span));
        let jitter = interval.mul_f64(request.hash_fraction());
        let earliest = window.earliest + jitter;
        let schedule = match organisation {
            Some(organisation) => format!("{service} {organisation}"),
            None => service.to_owned(),
        };
        let mut returns = self.room.returns.borrow_mut();
        let paced = returns.assign_within(&schedule, earliest, window.latest, interval, now);
        // Callers without a time to return would repeat the request at once.
        paced.unwrap_or_else(|| window.earliest + span.mul_f64(request.hash_fraction()))
    }
}

impl AdmittedRequest {
    /// Waits until the request may be sent to an upstream; returns the reason if it is refused
    /// instead. Services whose load is not controlled have room.
    pub async fn wait_for_room(&self, gw: &Gateway) -> Result<(), RefusalReason> {
        if !self.needs_room(gw) {
            return Ok(());
        }
        loop {
            let now = Now::read();
            let inputs = self.load_inputs(gw, now);
            let decision = decide(&inputs);
            self.log_decision(gw, &inputs, decision, now);
            let at_most = match decision {
                LoadDecision::Send => return Ok(()),
                LoadDecision::Refuse { come_back } => {
                    let come_back = come_back
                        .map(|window| gw.return_after_overload(self, &inputs, window, now));
                    return Err(RefusalReason::Overloaded(come_back));
                }
                LoadDecision::Wait { at_most } => at_most,
            };
            let waited = self.wait_in_queue(gw, &inputs, at_most, now).await;
            gw.wake_waiting(&self.service, Now::read());
            match (waited?, inputs.is_full_everywhere) {
                (WaitEnd::Room, true) => {
                    self.tries.allow_all_upstreams();
                    return Ok(());
                }
                // After its wait it is offered to an upstream in any case.
                (_, false) => return Ok(()),
                (WaitEnd::TimeOut, true) => {}
            }
        }
    }

    /// Returns whether the request waits for room after upstreams rejected it, rather than being
    /// retried at intervals.
    pub fn waits_for_room(&self, gw: &Gateway) -> bool {
        self.tries.was_refused() && self.needs_room(gw)
    }

    /// Returns whether room is divided by the expected wait. Where upstreams bear few rejections, a
    /// request needs a free slot instead.
    fn needs_room(&self, gw: &Gateway) -> bool {
        gw.controls_load(&self.service) && !gw.limits_rejections(&self.service, Now::read())
    }

    /// Returns the name of the organisation; empty without one.
    pub fn organisation_name(&self) -> &str {
        let name = self.organisation.as_ref().map(|found| found.name.as_str());
        name.unwrap_or_default()
    }

    /// Returns the urgency of the request in comparison with others.
    fn urgency(&self) -> Urgency {
        Urgency {
            organisation: self.organisation.as_ref().map_or(0, |found| found.priority),
            route: self.route.priority,
        }
    }

    /// Returns a number from 0 to 1 that differs between requests.
    fn hash_fraction(&self) -> f64 {
        const STEPS: u64 = 1024;
        (stable_hash(&self.request_id) % STEPS) as f64 / STEPS as f64
    }

    async fn wait_in_queue(
        &self,
        gw: &Gateway,
        inputs: &LoadInputs,
        at_most: Duration,
        now: Now,
    ) -> Result<WaitEnd, RefusalReason> {
        let until = now.monotonic + at_most;
        let not_before = match inputs.is_full_everywhere {
            true => now.monotonic + PAUSE_WHERE_FULL,
            false => now.monotonic,
        };
        let place = WaitingPlace::take(&gw.room.queue, self.waiter(inputs, now), now);
        let Some(place) = place else {
            // Without a place in the queue, only a request that upstreams would reject is refused.
            return match inputs.is_full_everywhere {
                true => Err(RefusalReason::Overloaded(None)),
                false => Ok(WaitEnd::Room),
            };
        };
        let mut room_since = None;
        loop {
            let now = Now::read();
            let left = until.saturating_sub(now.monotonic);
            if left.is_zero() {
                return Ok(WaitEnd::TimeOut);
            }
            if gw.is_too_late_to_admit(&self.route, self.deadline, now) {
                return Err(RefusalReason::Stopping);
            }
            let longest = match gw.is_stopping() {
                true => MAX_PAUSE_WHILE_STOPPING,
                false => left,
            };
            let pause = match gw.is_first_waiting(&place, &self.service, now) {
                true => {
                    let room_in = self.time_until_room(gw, inputs.room_limit(), now);
                    let turn = self.turn(gw, room_in, &mut room_since, now).max(not_before);
                    if turn <= now.monotonic {
                        return Ok(WaitEnd::Room);
                    }
                    turn - now.monotonic
                }
                false => {
                    gw.wake_waiting(&self.service, now);
                    left
                }
            };
            place.woken(pause.min(left).min(longest)).await;
        }
    }

    /// Returns how long it takes until there is room, if nothing changes.
    fn time_until_room(&self, gw: &Gateway, limit: Duration, now: Now) -> Duration {
        let room = self.known_room(gw, &[], now);
        match (room.open, room.full) {
            (Some(expected), _) => time_until_room(expected, limit),
            (None, Some(full)) => full.run / FULL_PAUSE_DIVISOR,
            // The attempt itself finds out why there is no upstream.
            (None, None) => Duration::ZERO,
        }
    }

    /// Returns when the request may go: a little after room was seen, or looks for room again.
    fn turn(
        &self,
        gw: &Gateway,
        room_in: Duration,
        room_since: &mut Option<Duration>,
        now: Now,
    ) -> Duration {
        if !room_in.is_zero() {
            *room_since = None;
            return now.monotonic + room_in.max(MIN_PAUSE);
        }
        let since = *room_since.get_or_insert(now.monotonic);
        since + self.turn_delay(gw, now)
    }

    /// Returns when it is this request's turn among those of all boxes that see the same room: the
    /// turns are spread over the time in which upstreams begin one request of each box.
    fn turn_delay(&self, gw: &Gateway, now: Now) -> Duration {
        let run = gw.service_times.of(&self.service).usual;
        let knowledge = gw.knowledge.borrow();
        let upstreams = knowledge.available_upstreams(&self.service, now);
        let slots: u32 = upstreams
            .iter()
            .map(|upstream| upstream.with_listed(|listed| listed.slots.max(1)))
            .fold(0, u32::saturating_add);
        let other_boxes = knowledge.box_count().saturating_sub(1) as f64;
        let spread = run.as_secs_f64() * other_boxes / f64::from(slots.max(1));
        let longest = self.route.latency_objective / MAX_SPREAD_DIVISOR;
        let spread = Duration::try_from_secs_f64(spread).unwrap_or(longest);
        spread.min(longest).mul_f64(self.hash_fraction())
    }

    fn waiter(&self, inputs: &LoadInputs, now: Now) -> Waiter {
        let run = inputs
            .expected
            .map_or(Duration::ZERO, |expected| expected.run);
        Waiter {
            service: self.service.clone(),
            organisation: self.organisation_name().to_owned(),
            urgency: self.urgency(),
            came_back: self.caller == CallerHistory::Returned,
            latest_start: (now.monotonic + inputs.deadline_left).saturating_sub(run),
            bytes: self.body.len(),
        }
    }

    /// Returns the shortest waits at the upstreams that may be tried, and at those that are full:
    /// they stated so, or rejected this request.
    fn known_room(&self, gw: &Gateway, tried: &[UpstreamLife], now: Now) -> KnownRoom {
        let service_time = gw.service_times.of(&self.service).usual;
        let mut room = KnownRoom::default();
        for (upstream, wait) in gw.expected_waits(&self.service, &self.session_id, now) {
            let is_tried = tried.contains(upstream.incarnation());
            let occupancy = upstream.load_estimate(service_time, now).occupancy;
            let is_full = is_recent(wait) && upstream.is_full(occupancy);
            let shortest = match is_tried || is_full {
                true if is_tried && !self.tries.was_refused() => continue,
                true => &mut room.full,
                false => &mut room.open,
            };
            let known = shortest.get_or_insert(wait);
            if wait.total() < known.total() {
                *known = wait;
            }
        }
        room
    }

    fn load_inputs(&self, gw: &Gateway, now: Now) -> LoadInputs {
        let room = self.known_room(gw, &self.tries.tried_upstreams(), now);
        let mut inputs = LoadInputs {
            expected: room.open.or(room.full),
            is_full_everywhere: room.open.is_none() && room.full.is_some(),
            objective: self.route.latency_objective,
            objective_left: self.objective_left(now),
            deadline_left: self.time_left(now),
            caller: match self.tries.ran() {
                // A refusal would be no proof that it did not run, so the caller could not return.
                Execution::Possible => CallerHistory::Returned,
                Execution::Never => self.caller,
            },
            draw: (stable_hash(&self.fingerprints.own.to_string()) & 0xff) as u8,
            standing: Standing::default(),
        };
        inputs.standing = self.standing(gw, &inputs, now);
        inputs
    }

    fn standing(&self, gw: &Gateway, inputs: &LoadInputs, now: Now) -> Standing {
        let demand = gw.room.demand.borrow();
        let queue = gw.room.queue.borrow();
        let organisation = self.organisation_name();
        Standing {
            is_less_urgent: demand.has_more_urgent(&self.service, self.urgency(), now),
            is_over_share: demand.is_over_share(&self.service, organisation, now),
            has_others_ahead: !queue.is_empty()
                && queue.has_ahead(&self.waiter(inputs, now), &*demand, now),
        }
    }

    fn log_decision(&self, gw: &Gateway, inputs: &LoadInputs, decision: LoadDecision, now: Now) {
        if decision == LoadDecision::Send {
            return;
        }
        let demand = gw.room.demand.borrow();
        let share = demand.share(&self.service, self.organisation_name(), now);
        gw.telemetry
            .record_load_decision(self, inputs, decision, gw.waiting_for_room(), share);
    }
}

/// Returns why a request that got no room is refused.
pub fn refusal_without_room(request: &AdmittedRequest, reason: RefusalReason) -> RefusalReason {
    match request.tries.ran() {
        Execution::Never => reason,
        Execution::Possible => request.tries.exhausted_reason(),
    }
}
