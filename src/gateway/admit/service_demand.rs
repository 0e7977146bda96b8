//! What callers ask of a service at the moment: which organisations are served, which kinds of
//! requests arrive, how long callers usually wait, and how often room becomes free.
//!
//! Each box counts its own requests; see `docs/design/waiting.md`.

use super::load_decision::CallerHistory;
use super::wait_queue::{ServedShares, Urgency};
use crate::clock::Now;
use std::collections::HashMap;
use std::time::Duration;

/// After this time, requests that were served count half.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// How long the arrival of a more urgent request is remembered.
const URGENT_MEMORY: Duration = Duration::from_secs(2);
/// The steps in which shares of organisations are compared; smaller differences do not matter.
const SHARE_STEPS: f64 = 16.0;
/// An organisation is over its share if it asks for more than this multiple of an equal part.
const OVER_SHARE_FACTOR: f64 = 1.5;
/// The decayed number of requests from which shares mean something, and that of an organisation
/// that counts as active.
const MIN_ASKED: f64 = 8.0;
const MIN_ACTIVE: f64 = 0.5;
/// The maximum number of organisations, urgencies, routes or services that are counted.
const MAX_COUNTED: usize = 1024;
/// Organisations of which less than this is left are forgotten.
const FORGOTTEN_BELOW: f64 = 0.01;
/// Callers that state less than this part of the usual time have come back after a while.
const RETURNED_BELOW: f64 = 0.95;
/// Callers that state less than this part of it have used some time, so they repeat a request.
const NEW_ABOVE: f64 = 0.995;
/// The number of stated times that are counted for each route, to find the most frequent one.
const COUNTED_TIMES: usize = 8;
/// The count at which all are halved, so that a changed time is soon the most frequent one.
const MAX_TIME_COUNT: u32 = 64;

/// A number that halves with each half-life.
#[derive(Debug, Clone, Copy, Default)]
struct Decaying {
    value: f64,
    at: Duration,
}

impl Decaying {
    fn get(self, now: Now) -> f64 {
        let age = now.monotonic.saturating_sub(self.at);
        self.value * 0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    fn add_one(&mut self, now: Now) {
        self.value = self.get(now) + 1.0;
        self.at = now.monotonic;
    }
}

/// How often callers of a route state which time. New callers all state the same one, while those
/// that repeat a request state what is left of it (the Misra-Gries summary of frequent items).
#[derive(Debug, Default)]
struct StatedTimes(Vec<(Duration, u32)>);

impl StatedTimes {
    /// Counts a stated time, and returns the most frequent one.
    fn record(&mut self, stated: Duration) -> Option<Duration> {
        let counts = &mut self.0;
        if let Some((_, count)) = counts.iter_mut().find(|(time, _)| *time == stated) {
            *count += 1;
            if *count >= MAX_TIME_COUNT {
                counts.iter_mut().for_each(|(_, count)| *count /= 2);
            }
        } else if counts.len() < COUNTED_TIMES {
            counts.push((stated, 1));
        } else {
            for (_, count) in counts.iter_mut() {
                *count = count.saturating_sub(1);
            }
            counts.retain(|(_, count)| *count > 0);
        }
        let most = counts.iter().max_by_key(|(time, count)| (*count, *time));
        most.map(|(time, _)| *time)
    }
}

/// Requests in all and by organisation.
#[derive(Debug, Default)]
struct Counts {
    all: Decaying,
    by_organisation: HashMap<String, Decaying>,
}

impl Counts {
    fn record(&mut self, organisation: &str, now: Now) {
        self.all.add_one(now);
        let counts = &mut self.by_organisation;
        if counts.len() >= MAX_COUNTED {
            counts.retain(|_, count| count.get(now) >= FORGOTTEN_BELOW);
        }
        if let Some(count) = counts.get_mut(organisation) {
            count.add_one(now);
        } else if counts.len() < MAX_COUNTED {
            let mut count = Decaying::default();
            count.add_one(now);
            counts.insert(organisation.to_owned(), count);
        }
    }

    fn of(&self, organisation: &str, now: Now) -> f64 {
        let count = self.by_organisation.get(organisation);
        count.map_or(0.0, |count| count.get(now))
    }
}

/// The demand for one service.
#[derive(Debug, Default)]
struct Demand {
    asked: Counts,
    served: Counts,
    last_arrivals: HashMap<Urgency, Duration>,
}

/// The demand for all services.
#[derive(Debug, Default)]
pub struct ServiceDemand {
    services: HashMap<String, Demand>,
    stated_times: HashMap<String, StatedTimes>,
}

impl ServiceDemand {
    /// Counts the arrival of a request.
    pub fn record_arrival(
        &mut self,
        service: &str,
        organisation: &str,
        urgency: Urgency,
        now: Now,
    ) {
        let Some(demand) = self.demand_mut(service) else {
            return;
        };
        demand.asked.record(organisation, now);
        let is_recent = |at: &Duration| now.monotonic.saturating_sub(*at) < URGENT_MEMORY;
        if demand.last_arrivals.len() >= MAX_COUNTED {
            demand.last_arrivals.retain(|_, at| is_recent(at));
        }
        if demand.last_arrivals.len() < MAX_COUNTED || demand.last_arrivals.contains_key(&urgency) {
            demand.last_arrivals.insert(urgency, now.monotonic);
        }
    }

    /// Counts a request that an upstream has served.
    pub fn record_served(&mut self, service: &str, organisation: &str, now: Now) {
        if let Some(demand) = self.demand_mut(service) {
            demand.served.record(organisation, now);
        }
    }

    /// Returns whether more urgent requests use a service at the moment.
    pub fn has_more_urgent(&self, service: &str, urgency: Urgency, now: Now) -> bool {
        let Some(demand) = self.services.get(service) else {
            return false;
        };
        demand.last_arrivals.iter().any(|(other, at)| {
            *other < urgency && now.monotonic.saturating_sub(*at) < URGENT_MEMORY
        })
    }

    /// Returns whether an organisation asks for clearly more than an equal part.
    ///
    /// What it asks for counts rather than what it gets: an organisation that is held to its part
    /// would otherwise be let go again and again.
    pub fn is_over_share(&self, service: &str, organisation: &str, now: Now) -> bool {
        let Some(demand) = self.services.get(service) else {
            return false;
        };
        let counts = demand.asked.by_organisation.values();
        let active = counts.filter(|count| count.get(now) >= MIN_ACTIVE).count();
        let asked = demand.asked.all.get(now);
        let own = demand.asked.of(organisation, now);
        active > 1 && asked >= MIN_ASKED && own > asked / active as f64 * OVER_SHARE_FACTOR
    }

    /// Returns the share of an organisation in what is served, from 0 to 1.
    pub fn share(&self, service: &str, organisation: &str, now: Now) -> f64 {
        let Some(demand) = self.services.get(service) else {
            return 0.0;
        };
        demand.served.of(organisation, now) / demand.served.all.get(now).max(1.0)
    }

    /// Returns how many requests a second this box has served lately, of one organisation or of
    /// all.
    pub fn served_per_second(&self, service: &str, organisation: Option<&str>, now: Now) -> f64 {
        let served = self.services.get(service).map(|demand| match organisation {
            Some(organisation) => demand.served.of(organisation, now),
            None => demand.served.all.get(now),
        });
        served.unwrap_or_default() * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    /// Takes note of the time that a caller of a route states that it will wait, and returns
    /// whether the caller was refused before: it has less time than callers usually state.
    pub fn record_caller_time(&mut self, route: &str, stated: Duration) -> CallerHistory {
        if !self.stated_times.contains_key(route) {
            if self.stated_times.len() >= MAX_COUNTED {
                return CallerHistory::New;
            }
            let times = StatedTimes::default();
            self.stated_times.insert(route.to_owned(), times);
        }
        let times = self.stated_times.get_mut(route);
        let usual = times.and_then(|times| times.record(stated));
        let usual = usual.filter(|usual| !usual.is_zero());
        let part = usual.map_or(1.0, |usual| stated.as_secs_f64() / usual.as_secs_f64());
        match part {
            part if part < RETURNED_BELOW => CallerHistory::Returned,
            part if part < NEW_ABOVE => CallerHistory::RepeatsAtOnce,
            _ => CallerHistory::New,
        }
    }

    fn demand_mut(&mut self, service: &str) -> Option<&mut Demand> {
        if !self.services.contains_key(service) {
            if self.services.len() >= MAX_COUNTED {
                return None;
            }
            self.services.insert(service.to_owned(), Demand::default());
        }
        self.services.get_mut(service)
    }
}

impl ServedShares for ServiceDemand {
    fn share_step(&self, service: &str, organisation: &str, now: Now) -> u8 {
        (self.share(service, organisation, now).min(1.0) * SHARE_STEPS) as u8
    }
}
