//! The routing table: which service a request goes to, and for which organisation.
//!
//! A [`RouteTable`] holds one version of the operators' configuration. A new version replaces the
//! whole table; tables are never modified, so a request sees one version from start to end.
//! See `docs/design/platform.md`.

use crate::gateway::attempt::connection_proof::HealthCheck;
use crate::gateway::place::warm_up::WarmUp;
use crate::http_server::gated_stream::HeadLimits;
use std::collections::HashMap;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

/// The routing table of one version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// The version that the operators gave the configuration; higher is newer.
    pub version: u64,
    /// The routes by host, longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// The services by name.
    pub services: HashMap<String, Service>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    organisations_by_key: HashMap<String, Organisation>,
    requires_keys: bool,
    /// The most and the least urgent priority of the routes on which the router chooses the model;
    /// `None` without such routes.
    rank_range: Option<(u8, u8)>,
    shortest_objective: Option<Duration>,
}

/// The relative rank of every route where all routes have the same priority.
pub const NEUTRAL_RELATIVE_RANK: f64 = 0.5;

/// One rule that maps a host and a path prefix to a service.
#[derive(Debug, Clone)]
pub struct Route {
    /// The name that operators gave the route, for logs.
    pub name: String,
    /// The host in lower case, without a port.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether requests may run more than once, and whether the response is a stream.
    pub kind: RouteKind,
    /// The longest time that operators allow for a request.
    pub timeout: Duration,
    /// The latency objective: a later response is worth less to the caller.
    pub latency_objective: Duration,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The limit on the number of upstreams that run one request.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// The models that the router may choose from, smallest first; empty on routes where callers
    /// name the model or that use none.
    pub models: Vec<String>,
    /// The services with their traffic weights; one entry on most routes.
    pub services: Vec<(String, u32)>,
}

/// How requests of a route may be retried, and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Stream {
        /// Whether another upstream can resume a stream that broke off.
        resumable: bool,
        /// The objective for the pause between two events: a longer one is late.
        max_event_gap: Duration,
    },
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { resumable, .. } => resumable,
        }
    }

    /// Returns the objective for the pause between two events, on stream routes.
    pub fn stream_gap(self) -> Option<Duration> {
        match self {
            Self::Stream { max_event_gap, .. } => Some(max_event_gap),
            Self::Idempotent | Self::NonIdempotent => None,
        }
    }
}

/// A service that routes send requests to.
#[derive(Debug, Clone, Default)]
pub struct Service {
    /// The capabilities of its model engines; `None` for services without models.
    pub engine: Option<Engine>,
    /// How much load its upstreams can take after a start; `None` if they need no warm-up.
    pub warm_up: Option<WarmUp>,
    /// How many connections each of its upstreams accepts from all boxes together; `None` without a
    /// limit.
    pub connection_limit: Option<NonZeroU32>,
    /// How its upstreams are asked for their health; `None` if they have no path for it.
    pub health_check: Option<HealthCheck>,
}

/// The capabilities of a service's model engines.
#[derive(Debug, Clone, Default)]
pub struct Engine {
    /// The models that the engines run, with the price of a thousand generated tokens.
    pub models: Vec<(String, f64)>,
}

impl Engine {
    /// Returns a model's price as a fraction of the most expensive model's; 1 for a model without a
    /// price.
    pub fn relative_price(&self, model: &str) -> f64 {
        let highest_price = self
            .models
            .iter()
            .map(|(_, price)| *price)
            .fold(0.0, f64::max);
        let found = self.models.iter().find(|(name, _)| name == model);
        match found {
            Some((_, price)) if highest_price > 0.0 => price / highest_price,
            _ => 1.0,
        }
    }
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// The size limit of the headers of a request.
    pub max_header_bytes: usize,
    /// The size limit of a request body.
    pub max_body_bytes: usize,
    /// How long a caller may take to send the head of a request.
    pub header_timeout: Duration,
    /// How long a kept-alive connection may stay idle, and how long a body may make no progress.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Generous limits for the time before a configuration is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 64 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The bytes of a request's first line, beside its headers.
const REQUEST_LINE_BYTES: usize = 8 * 1024;

impl CallerLimits {
    /// Returns the limits on the head of a request.
    pub fn head(self) -> HeadLimits {
        HeadLimits {
            max_bytes: self.max_header_bytes.saturating_add(REQUEST_LINE_BYTES),
            timeout: self.header_timeout,
        }
    }
}

/// An organisation that sends requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// The organisation's name, as it is sent to upstreams.
    pub name: String,
    /// The priority, 0 the most urgent; it is compared before the route's.
    pub priority: u8,
}

/// Who sent a request, according to its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller<'a> {
    /// The route or the whole configuration requires no key.
    Anonymous,
    /// The key belongs to this organisation.
    Known(&'a Organisation),
    /// The key is missing or belongs to no organisation.
    Unknown,
}

impl<'a> Caller<'a> {
    /// Returns the caller's organisation, if it is known.
    pub fn organisation(self) -> Option<&'a Organisation> {
        match self {
            Self::Known(organisation) => Some(organisation),
            Self::Anonymous | Self::Unknown => None,
        }
    }
}

impl RouteTable {
    /// Builds a table.
    ///
    /// `organisations` lists each organisation with its keys; `None` means that the configuration
    /// requires no keys at all.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<String, Service>,
        limits: CallerLimits,
        organisations: Option<Vec<(Organisation, Vec<String>)>>,
    ) -> Self {
        let model_routes = routes.iter().filter(|route| !route.models.is_empty());
        let priorities: Vec<u8> = model_routes.map(|route| route.priority).collect();
        let most_urgent = priorities.iter().min().copied();
        let shortest_objective = routes.iter().map(|route| route.latency_objective).min();
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let routes = by_host.entry(route.host.clone()).or_default();
            routes.push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let requires_keys = organisations.is_some();
        let mut organisations_by_key = HashMap::new();
        for (organisation, keys) in organisations.unwrap_or_default() {
            for key in keys {
                organisations_by_key.insert(key, organisation.clone());
            }
        }
        Self {
            version,
            routes: by_host,
            services,
            limits,
            organisations_by_key,
            requires_keys,
            rank_range: most_urgent.zip(priorities.into_iter().max()),
            shortest_objective,
        }
    }

    /// Returns the shortest latency objective of all routes; none without routes.
    pub fn shortest_objective(&self) -> Option<Duration> {
        self.shortest_objective
    }

    /// Returns where a priority lies among those of the routes on which the router chooses the
    /// model, from 0 (most urgent) to 1 (least urgent).
    pub fn relative_rank(&self, priority: u8) -> f64 {
        match self.rank_range {
            Some((most_urgent, least_urgent)) if most_urgent < least_urgent => {
                let offset = priority.clamp(most_urgent, least_urgent) - most_urgent;
                f64::from(offset) / f64::from(least_urgent - most_urgent)
            }
            _ => NEUTRAL_RELATIVE_RANK,
        }
    }

    /// Returns the route with the longest prefix that matches a path on a host.
    ///
    /// The host is compared without its port and without regard to case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Identifies the sender of a request on a route by its key.
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller<'_> {
        if route.public || !self.requires_keys {
            return Caller::Anonymous;
        }
        match key.and_then(|key| self.organisations_by_key.get(key)) {
            Some(organisation) => Caller::Known(organisation),
            None => Caller::Unknown,
        }
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

impl Route {
    /// Chooses the service for a request by weight.
    ///
    /// `hash` is derived from the request: the same hash always gives the same service, so that a
    /// request that is retried or resumed does not change services.
    pub fn service_for(&self, hash: u64) -> Option<&str> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut remaining = hash % total;
        for (service, weight) in &self.services {
            let weight = u64::from(*weight);
            if remaining < weight {
                return Some(service);
            }
            remaining -= weight;
        }
        None
    }
}
