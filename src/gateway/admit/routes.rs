//! Which service a request goes to, and on whose behalf.
//!
//! A [`RouteTable`] is one version of the operators' configuration. Tables are replaced
//! as a whole and never edited, so that a request sees one version from start to end.
//! See `docs/design/platform.md`.

use crate::gateway::place::warm_up::WarmUp;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// One version of the configuration in force.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// The operators' version; a higher one is newer.
    pub version: u64,
    /// The routes of each host, longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// The services by name.
    pub services: HashMap<String, Service>,
    /// What callers may send and how long they may rest.
    pub limits: CallerLimits,
    organisations_by_key: HashMap<String, Organisation>,
    requires_keys: bool,
    /// The highest and the lowest rank of the routes that choose models; none without such routes.
    rank_range: Option<(u8, u8)>,
}

/// The part of the way down the ranks that stands for a route where all have the same rank.
pub const NEUTRAL_RELATIVE_RANK: f64 = 0.5;

/// One rule that maps a host and a path prefix to a service.
#[derive(Debug, Clone)]
pub struct Route {
    /// The operators' name of the route, for logs.
    pub name: String,
    /// The host, without a port, in lower case.
    pub host: String,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// How long the operators want a request held at most.
    pub timeout: Duration,
    /// The time inside which an answer is fully useful.
    pub latency_objective: Duration,
    /// The rank, 0 the highest.
    pub priority: u8,
    /// The most upstreams that one request may run on.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// The models that the router may choose from, smallest first; empty on routes
    /// where callers name the model or there is none.
    pub models: Vec<String>,
    /// The services with their weights; one entry on most routes.
    pub services: Vec<(String, u32)>,
}

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether another upstream may go on where a stream broke.
        resumable: bool,
        /// The longest pause between two events that is still in time.
        max_event_gap: Duration,
    },
}

impl RouteKind {
    /// Tells whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { resumable, .. } => resumable,
        }
    }

    /// Returns the longest pause between events, on streams.
    pub fn stream_gap(self) -> Option<Duration> {
        match self {
            Self::Stream { max_event_gap, .. } => Some(max_event_gap),
            Self::Idempotent | Self::NonIdempotent => None,
        }
    }
}

/// A service that routes lead to.
#[derive(Debug, Clone, Default)]
pub struct Service {
    /// What its model engines can do; none for plain services.
    pub engine: Option<Engine>,
    /// What its upstreams bear after a start; none where they bear all at once.
    pub warm_up: Option<WarmUp>,
}

/// What the model engines of a service can do.
#[derive(Debug, Clone, Default)]
pub struct Engine {
    /// The models that engines run, with the price of a thousand tokens made.
    pub models: Vec<(String, f64)>,
}

impl Engine {
    /// Returns a model's price as a part of the dearest model's; one for a model without a
    /// price.
    pub fn relative_price(&self, model: &str) -> f64 {
        let dearest = self
            .models
            .iter()
            .map(|(_, price)| *price)
            .fold(0.0, f64::max);
        let found = self.models.iter().find(|(name, _)| name == model);
        match found {
            Some((_, price)) if dearest > 0.0 => price / dearest,
            _ => 1.0,
        }
    }
}

/// What callers may send, and how long they may rest.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// The largest body, in bytes.
    pub max_body_bytes: usize,
    /// The longest time for the head of a request.
    pub header_timeout: Duration,
    /// How long a kept connection may rest.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Generous limits for the moments before a configuration is known.
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Who sends requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// The organisation's name, as upstreams are told it.
    pub name: String,
    /// The rank, 0 the highest; it goes before the route's.
    pub priority: u8,
}

/// What a request's key says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller<'a> {
    /// The route or the whole configuration asks for no key.
    Anonymous,
    /// The key belongs to this organisation.
    Known(&'a Organisation),
    /// The key is missing or belongs to nobody.
    Unknown,
}

impl RouteTable {
    /// Makes a table.
    ///
    /// `organisations` gives each organisation with its keys; none means that the
    /// configuration asks for no keys at all.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<String, Service>,
        limits: CallerLimits,
        organisations: Option<Vec<(Organisation, Vec<String>)>>,
    ) -> Self {
        let choosing = routes.iter().filter(|route| !route.models.is_empty());
        let ranks: Vec<u8> = choosing.map(|route| route.priority).collect();
        let highest = ranks.iter().min().copied();
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
            rank_range: highest.zip(ranks.into_iter().max()),
        }
    }

    /// Returns how far down a rank is among the routes that choose models: 0 for the most urgent
    /// ones, 1 for the least urgent.
    pub fn relative_rank(&self, priority: u8) -> f64 {
        match self.rank_range {
            Some((highest, lowest)) if highest < lowest => {
                let below = priority.clamp(highest, lowest) - highest;
                f64::from(below) / f64::from(lowest - highest)
            }
            _ => NEUTRAL_RELATIVE_RANK,
        }
    }

    /// Returns the route with the longest prefix of a path on a host.
    ///
    /// A port behind the host is ignored, and the host's case does not matter.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns whose key a request on a route carries.
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

    /// Tells whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

impl Route {
    /// Returns the service that a request goes to, by a number that the request keeps.
    ///
    /// The same number always leads to the same service, so that a request that is
    /// repeated or resumed does not change services.
    pub fn service_for(&self, draw: u64) -> Option<&str> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut left = draw % total;
        for (service, weight) in &self.services {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
        }
        None
    }
}
