//! Calls to the fleet's agents: first to the agent of the own box, then to another one if that
//! gives no response.

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

/// How long a router waits for one agent to accept the end of a request.
const FINISH_TIMEOUT: Duration = Duration::from_millis(400);
const FINISH_RETRY_DELAY: Duration = Duration::from_millis(200);

/// One thread's connections to the agents.
#[derive(Debug)]
pub struct AgentClient {
    shared: Arc<RouterShared>,
    own_client: WireClient,
    other_clients: RefCell<HashMap<SocketAddr, Rc<WireClient>>>,
}

impl AgentClient {
    /// Creates the client of one thread; connections are opened when they are needed.
    pub fn new(shared: Arc<RouterShared>) -> Self {
        let own_client = WireClient::new(shared.settings.agent, shared.tls.clone());
        Self {
            shared,
            own_client,
            other_clients: RefCell::default(),
        }
    }

    /// Reports how a request ended, with retries until an agent accepts it.
    pub async fn send_finish_with_retries(&self, request: &ControlRequest) {
        while !self.send_finish(request).await {
            sleep(FINISH_RETRY_DELAY).await;
        }
    }

    /// Reports how a request ended. If the agent is the only one that has stored it so far, another
    /// agent is requested to store it too, if there is one.
    async fn send_finish(&self, request: &ControlRequest) -> bool {
        match self.call(request, FINISH_TIMEOUT).await {
            Ok(ControlResponse::Done) => true,
            Ok(ControlResponse::NotReplicated) => {
                if let Some(other_client) = self.choose_other_agent()
                    && let Err(err) = other_client.call(request, FINISH_TIMEOUT).await
                {
                    log::debug!("no second agent stored the end of a request: {err}");
                }
                true
            }
            _ => false,
        }
    }

    /// Calls the agent of the own box, and another one of the fleet if it gives no response.
    ///
    /// Only for calls that may be made twice. Claims qualify, since an attempt to claim is
    /// identified by its id.
    pub async fn call(
        &self,
        request: &ControlRequest,
        call_timeout: Duration,
    ) -> Result<ControlResponse, WireError> {
        match self.own_client.call(request, call_timeout).await {
            Ok(answer) => Ok(answer),
            Err(err) => match self.choose_other_agent() {
                Some(other_client) => other_client.call(request, call_timeout).await,
                None => Err(err),
            },
        }
    }

    /// Chooses another agent, from the own hall if there is one.
    fn choose_other_agent(&self) -> Option<Rc<WireClient>> {
        let snapshot = self.shared.snapshot.load();
        let identity = &self.shared.settings.identity;
        let candidates = snapshot.other_agents(&identity.name);
        let same_hall = candidates
            .iter()
            .filter(|agent| agent.hall == identity.hall);
        let same_hall: Vec<_> = same_hall.copied().collect();
        let pool = if same_hall.is_empty() {
            candidates
        } else {
            same_hall
        };
        let address = pool.choose(&mut rand::rng())?.address;
        let mut clients = self.other_clients.borrow_mut();
        clients.retain(|cached, _| *cached == address || snapshot.has_agent_at(*cached));
        let connect = || Rc::new(WireClient::new(address, self.shared.tls.clone()));
        Some(clients.entry(address).or_insert_with(connect).clone())
    }
}
