//! What callers ask of a service at the moment: which organisations are served, which kinds of
//! requests arrive, how long callers usually wait, and how often room becomes free.
//!
//! Each box counts its own requests; see `docs/design/waiting.md`.

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
/// An organisation is over its share if it is served more than this multiple of an equal part.
const OVER_SHARE_FACTOR: f64 = 2.0;
/// The decayed number of served requests from which shares mean something.
const MIN_SERVED: f64 = 8.0;
/// The maximum number of organisations, urgencies, routes or services that are counted.
const MAX_COUNTED: usize = 1024;
/// Organisations of which less than this is left are forgotten.
const FORGOTTEN_BELOW: f64 = 0.01;
/// Callers that state less than this part of the usual time have used some of it.
const RETURNED_BELOW: f64 = 0.95;
/// How fast the usual time follows callers that state more, and those that state less. Returning
/// callers state less, so the estimate stays close to the time of those that have not returned.
const USUAL_TIME_RISE: f64 = 0.2;
const USUAL_TIME_FALL: f64 = 0.02;

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

/// The demand for one service.
#[derive(Debug, Default)]
struct Demand {
    served: Decaying,
    served_by_organisation: HashMap<String, Decaying>,
    last_arrivals: HashMap<Urgency, Duration>,
}

/// The demand for all services.
#[derive(Debug, Default)]
pub struct ServiceDemand {
    services: HashMap<String, Demand>,
    usual_times: HashMap<String, f64>,
}

impl ServiceDemand {
    /// Counts the arrival of a request.
    pub fn record_arrival(&mut self, service: &str, urgency: Urgency, now: Now) {
        let Some(demand) = self.demand_mut(service) else {
            return;
        };
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
        let Some(demand) = self.demand_mut(service) else {
            return;
        };
        demand.served.add_one(now);
        let counts = &mut demand.served_by_organisation;
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

    /// Returns whether more urgent requests use a service at the moment.
    pub fn has_more_urgent(&self, service: &str, urgency: Urgency, now: Now) -> bool {
        let Some(demand) = self.services.get(service) else {
            return false;
        };
        demand.last_arrivals.iter().any(|(other, at)| {
            *other < urgency && now.monotonic.saturating_sub(*at) < URGENT_MEMORY
        })
    }

    /// Returns whether an organisation has clearly more than an equal part of what is served.
    pub fn is_over_share(&self, service: &str, organisation: &str, now: Now) -> bool {
        let Some(demand) = self.services.get(service) else {
            return false;
        };
        let counts = &demand.served_by_organisation;
        let active = counts.values().filter(|count| count.get(now) >= 0.5).count();
        let served = demand.served.get(now);
        let own = counts.get(organisation).map_or(0.0, |count| count.get(now));
        active > 1 && served >= MIN_SERVED && own > served / active as f64 * OVER_SHARE_FACTOR
    }

    /// Returns the share of an organisation in what is served, from 0 to 1.
    pub fn share(&self, service: &str, organisation: &str, now: Now) -> f64 {
        let Some(demand) = self.services.get(service) else {
            return 0.0;
        };
        let own = demand.served_by_organisation.get(organisation);
        let own = own.map_or(0.0, |count| count.get(now));
        own / demand.served.get(now).max(1.0)
    }

    /// Returns how many requests a second this box has served lately.
    pub fn served_per_second(&self, service: &str, now: Now) -> f64 {
        let served = self.services.get(service).map(|demand| demand.served.get(now));
        served.unwrap_or_default() * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    /// Takes note of the time that a caller of a route will wait, and returns whether the caller
    /// has returned after a refusal: it has clearly less time than callers usually have.
    pub fn record_caller_time(&mut self, route: &str, time: Duration) -> bool {
        let seconds = time.as_secs_f64();
        let is_known = self.usual_times.contains_key(route);
        if !is_known && self.usual_times.len() >= MAX_COUNTED {
            return false;
        }
        if !is_known {
            self.usual_times.insert(route.to_owned(), seconds);
        }
        let Some(usual) = self.usual_times.get_mut(route) else {
            return false;
        };
        let came_back = seconds < *usual * RETURNED_BELOW;
        let step = match seconds > *usual {
            true => USUAL_TIME_RISE,
            false => USUAL_TIME_FALL,
        };
        *usual += (seconds - *usual) * step;
        came_back
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
