//! Calls to the fleet's agents: the own box's first, another one where that gives no answer.

use super::context::RouterShared;
use crate::wire::WireError;
use crate::wire::client::WireClient;
use crate::wire::message::{ControlRequest, ControlResponse};
use rand::seq::IndexedRandom as _;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// How long a router waits for one agent to take the end of a request.
const FINISH_DEADLINE: Duration = Duration::from_millis(400);
const FINISH_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// One thread's connections to the agents.
#[derive(Debug)]
pub struct AgentCalls {
    shared: Arc<RouterShared>,
    own: WireClient,
    others: RefCell<HashMap<SocketAddr, Rc<WireClient>>>,
}

impl AgentCalls {
    /// Makes calls for one thread; connections are opened when they are needed.
    pub fn new(shared: Arc<RouterShared>) -> Self {
        let own = WireClient::new(shared.settings.agent, shared.tls.clone());
        Self {
            shared,
            own,
            others: RefCell::default(),
        }
    }

    /// Tells how a request ended, until agents have taken it.
    pub async fn finish_at_last(&self, request: &ControlRequest) {
        while !self.try_finish(request).await {
            sleep(FINISH_RETRY_PAUSE).await;
        }
    }

    /// Tells how a request ended; an agent that keeps this alone for now does not suffice
    /// as long as there is another one to keep it too.
    async fn try_finish(&self, request: &ControlRequest) -> bool {
        match self.call(request, FINISH_DEADLINE).await {
            Ok(ControlResponse::Done) => true,
            Ok(ControlResponse::NotReplicated) => {
                if let Some(other) = self.other_agent()
                    && let Err(err) = other.call(request, FINISH_DEADLINE).await
                {
                    log::debug!("no second agent keeps the end of a request: {err}");
                }
                true
            }
            _ => false,
        }
    }

    /// Calls the agent of the own box, and another one of the fleet if it gives no answer.
    ///
    /// Only calls that may be made twice go this way; an attempt to claim is known by
    /// its id, so it may.
    pub async fn call(
        &self,
        request: &ControlRequest,
        deadline: Duration,
    ) -> Result<ControlResponse, WireError> {
        match self.own.call(request, deadline).await {
            Ok(answer) => Ok(answer),
            Err(err) => match self.other_agent() {
                Some(other) => other.call(request, deadline).await,
                None => Err(err),
            },
        }
    }

    /// Chooses another agent, of the own hall if there is one.
    fn other_agent(&self) -> Option<Rc<WireClient>> {
        let snapshot = self.shared.snapshot.load();
        let identity = &self.shared.settings.identity;
        let others = snapshot.other_agents(&identity.name);
        let near = others.iter().filter(|found| found.hall == identity.hall);
        let near: Vec<_> = near.copied().collect();
        let pool = if near.is_empty() { others } else { near };
        let address = pool.choose(&mut rand::rng())?.address;
        let mut clients = self.others.borrow_mut();
        clients.retain(|known, _| *known == address || snapshot.has_agent_at(*known));
        let make = || Rc::new(WireClient::new(address, self.shared.tls.clone()));
        Some(clients.entry(address).or_insert_with(make).clone())
    }
}
