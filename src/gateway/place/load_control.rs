//! Where boxes control the load of a service: reports are shared, requests are placed by the
//! expected wait, and a shortage of room is divided.
//!
//! Elsewhere none of this takes effect. See `docs/design/load-control.md`.

use crate::gateway::Gateway;

impl Gateway {
    /// Returns whether boxes control the load of a service: the settings expect contention, or an
    /// upstream of the service states how long work takes at the moment.
    pub fn controls_load(&self, service: &str) -> bool {
        self.settings().expects_contention || self.states_work_time(service)
    }

    /// Returns whether boxes control the load of any service with model engines.
    pub fn controls_any_engines(&self) -> bool {
        let routes = self.knowledge.borrow().routes().cloned();
        let Some(routes) = routes else {
            return false;
        };
        let mut services = routes.services.iter();
        services.any(|(name, service)| service.engine.is_some() && self.controls_load(name))
    }

    fn states_work_time(&self, service: &str) -> bool {
        let knowledge = self.knowledge.borrow();
        knowledge
            .upstreams()
            .filter(|upstream| upstream.states_work_time())
            .any(|upstream| upstream.with_listed(|listed| listed.service == service))
    }
}
