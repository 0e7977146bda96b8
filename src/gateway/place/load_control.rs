//! Where boxes control the load of a service: reports are shared, requests are placed by the
//! expected wait, and a shortage of room is divided.
//!
//! Elsewhere none of this takes effect. See `docs/design/load-control.md`.

use crate::gateway::Gateway;
use crate::gateway::admit::routes::RouteKind;
use crate::gateway::attempt::upstream::Upstream;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

impl Gateway {
    /// Returns whether boxes control the load of a service: one of its upstreams states how long
    /// work takes at the moment.
    pub fn controls_load(&self, service: &str) -> bool {
        let knowledge = self.knowledge.borrow();
        knowledge
            .upstreams()
            .filter(|upstream| upstream.states_work_time())
            .any(|upstream| upstream.with_listed(|listed| listed.service == service))
    }

    /// Returns the longest pause at which a stream of a route is in time, where boxes control the load
    /// of its service.
    pub fn controlled_pause(&self, service: &str, kind: RouteKind) -> Option<Duration> {
        kind.stream_gap().filter(|_| self.controls_load(service))
    }

    /// Returns whether boxes control their connections to the upstreams of a service: they control
    /// its load, or the settings expect contention.
    pub fn controls_connections(&self, service: &str) -> bool {
        self.settings().expects_contention || self.controls_load(service)
    }

    /// Returns the services of known upstreams whose load boxes control.
    pub fn controlled_services(&self) -> BTreeSet<String> {
        let knowledge = self.knowledge.borrow();
        let states_work_time = |upstream: &&Rc<Upstream>| upstream.states_work_time();
        let upstreams = knowledge.upstreams().filter(states_work_time);
        let services =
            upstreams.map(|upstream| upstream.with_listed(|listed| listed.service.clone()));
        services.collect()
    }
}
