//! The agent: the control path of one entry box.
//!
//! It follows the change log and the live list, compares notes with its peers,
//! feeds the routers of its box, keeps claims, and brings bills to the ledger. All
//! of its state is soft: it is rebuilt from the store, the peers and the routers.

mod claims;
mod crashes;
mod drain;
mod follow;
mod gossip;
mod guarding;
pub mod peers;
pub mod placement;
mod shards;
pub mod shared;
mod telemetry;

use crate::claim::message::Owed;
use crate::claim::replica::Replica;
use crate::claim::view::{Member, ShardId};
use crate::clock::Now;
use crate::error::{Error, Result};
use crate::guard::Guard;
use crate::live::ListClient;
use crate::record::RecordRing;
use crate::settings::agent::AgentSettings;
use crate::store::Store;
use crate::store::etcd::EtcdStore;
use crate::wire::message::{AgentStatus, ControlRequest, ControlResponse, RouterReport, Update};
use crate::wire::server::{Handler, serve};
use crate::wire::tls::FleetTls;
use futures::future::LocalBoxFuture;
use peers::{FAR_SILENCE_LIMIT, Peers, SILENCE_LIMIT};
use shared::Shared;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;

const FOLLOWER_QUEUE: usize = 256;
const RECORDS_KEPT: usize = 20_000;
/// How often an agent tells its routers that it is there.
pub const ALIVE_PERIOD: Duration = Duration::from_secs(1);

/// One agent.
#[derive(Debug)]
pub struct Agent {
    settings: AgentSettings,
    me: Member,
    store: Box<dyn Store>,
    list: ListClient,
    peers: Peers,
    shared: RefCell<Shared>,
    replicas: RefCell<BTreeMap<ShardId, Replica>>,
    shards_in_maintenance: RefCell<BTreeSet<ShardId>>,
    unplaced: RefCell<Vec<Owed>>,
    next_segment: Cell<u64>,
    written_segment: RefCell<Option<drain::OpenSegment>>,
    followers: RefCell<Vec<mpsc::Sender<Update>>>,
    records: RefCell<RecordRing>,
    guard: RefCell<Guard>,
    stopping: Cell<bool>,
    comparing: RefCell<BTreeSet<std::net::SocketAddr>>,
}

impl Agent {
    /// Makes an agent. Its incarnation is its start by the wall clock, in milliseconds.
    pub fn new(settings: AgentSettings) -> Result<Rc<Self>> {
        let now = Now::read();
        let tls = FleetTls::load(&settings.tls)?;
        let me = Member {
            box_name: settings.identity.name.clone(),
            incarnation: now.wall.0,
        };
        let guard = Guard::new(settings.guard);
        Ok(Rc::new(Self {
            me,
            store: Box::new(EtcdStore::new(settings.store)),
            list: ListClient::new(settings.list),
            peers: Peers::new(tls, now),
            shared: RefCell::default(),
            replicas: RefCell::default(),
            shards_in_maintenance: RefCell::default(),
            unplaced: RefCell::default(),
            next_segment: Cell::new(0),
            written_segment: RefCell::default(),
            followers: RefCell::default(),
            records: RefCell::new(RecordRing::new(RECORDS_KEPT)),
            guard: RefCell::new(guard),
            stopping: Cell::new(false),
            comparing: RefCell::default(),
            settings,
        }))
    }

    /// Runs until it is asked to stop, then hands its duties on.
    pub async fn run(self: Rc<Self>, stop: impl Future<Output = ()>) -> Result<()> {
        let tls = FleetTls::load(&self.settings.tls)?;
        let listener = self.listen().await?;
        let metrics = telemetry::serve(self.clone())?;
        actix_rt::spawn(serve(listener, tls, self.clone()));
        actix_rt::spawn(follow::follow_changes(self.clone()));
        actix_rt::spawn(follow::follow_list(self.clone()));
        actix_rt::spawn(gossip::compare_with_peers(self.clone()));
        actix_rt::spawn(shards::maintain_shards(self.clone()));
        actix_rt::spawn(drain::drain_bills(self.clone()));
        actix_rt::spawn(guarding::guard_versions(self.clone()));
        actix_rt::spawn(self.clone().tell_followers());
        log::info!(box_name = self.me.box_name, hall = self.settings.identity.hall; "started");
        stop.await;
        self.stop().await;
        metrics.stop(false).await;
        Ok(())
    }

    /// Listens without `SO_REUSEPORT`, so that no two lives of an agent run at once.
    async fn listen(&self) -> Result<TcpListener> {
        let address = self.settings.listen;
        let error = |err| Error::Unreachable(format!("cannot listen on {address}: {err}"));
        TcpListener::bind(address).await.map_err(error)
    }

    /// Tells the routers that the agent is there, until the process ends.
    async fn tell_followers(self: Rc<Self>) {
        loop {
            sleep(ALIVE_PERIOD).await;
            self.push(&Update::Alive);
        }
    }

    async fn stop(self: &Rc<Self>) {
        log::info!("stopping: handing shards to their witnesses");
        self.stopping.set(true);
        gossip::announce(self).await;
        shards::hand_over(self).await;
        drain::drain_before_stop(self).await;
        log::info!("stopped");
    }

    /// Sends an update to every router of this box.
    fn push(&self, update: &Update) {
        self.followers
            .borrow_mut()
            .retain(|follower| match follower.try_send(update.clone()) {
                Ok(()) => true,
                // A router that does not read is cut off; it connects anew and gets the whole state.
                Err(_) => false,
            });
    }

    /// Returns the updates that amount to the whole present state.
    fn present_state(&self) -> Vec<Update> {
        let shared = self.shared.borrow();
        let change = shared.applied().map(|applied| Update::Change {
            entry: applied.signed.clone(),
            bundle: applied.bundle.clone(),
        });
        let list = shared.list().cloned().map(Update::Live);
        let suspended = Update::Suspended(shared.suspensions_in_force());
        let crashes = Update::Crashes(shared.crash_records(Now::read()));
        let last = [suspended, crashes];
        change.into_iter().chain(list).chain(last).collect()
    }

    /// Tells whether this agent makes the store calls of its hall.
    fn is_hub(&self, now: Now) -> bool {
        let shared = self.shared.borrow();
        let Some(list) = shared.list() else {
            return true;
        };
        let hall = &self.settings.identity.hall;
        placement::is_hub(list, hall, &self.me.box_name, |name, is_near| {
            let limit = if is_near {
                SILENCE_LIMIT
            } else {
                FAR_SILENCE_LIMIT
            };
            self.peers.is_box_silent_for(name, limit, now)
        })
    }

    fn status(&self, now: Now) -> AgentStatus {
        let shared = self.shared.borrow();
        let replicas = self.replicas.borrow();
        let owned = replicas
            .values()
            .filter(|replica| replica.is_owner())
            .count();
        let granting = replicas
            .values()
            .filter(|replica| replica.can_grant())
            .count();
        let waiting: usize = replicas
            .values()
            .map(|replica| replica.undrained(usize::MAX).len())
            .sum();
        let in_force = shared
            .applied()
            .and_then(|applied| applied.entry.state.in_force.as_ref());
        let store_age = shared.store_age(now);
        AgentStatus {
            member: self.me.clone(),
            hall: self.settings.identity.hall.clone(),
            generation: shared.generation(),
            bundle: in_force.map(|approval| approval.digest.clone()),
            store_age_ms: store_age.and_then(|age| u64::try_from(age.as_millis()).ok()),
            list_revision: shared.list().map_or(0, |list| list.revision),
            is_hub: self.is_hub(now),
            peers_heard: self.peers.heard_count(now),
            shards: (owned, granting),
            bills_waiting: waiting + self.unplaced.borrow().len(),
            suspensions: shared.suspensions_in_force(),
            store_calls: self.store.calls(),
            bytes_sent: self.peers.bytes_sent(),
        }
    }

    fn take_report(self: &Rc<Self>, report: RouterReport) {
        let mut records = self.records.borrow_mut();
        for record in report.records {
            records.push(record);
        }
        drop(records);
        self.shared.borrow_mut().evidence.merge(&report.evidence);
        crashes::take_crashes(self, report.crashes);
    }
}

impl Handler for Agent {
    fn handle(self: Rc<Self>, request: ControlRequest) -> LocalBoxFuture<'static, ControlResponse> {
        Box::pin(async move {
            match request {
                ControlRequest::Compare(summary) => gossip::answer(&self, &summary),
                ControlRequest::FetchBundle(digest) => {
                    let shared = self.shared.borrow();
                    let text = shared.applied().and_then(|applied| applied.bundle.clone());
                    let text = text.filter(|text| crate::bundle::digest_of(text) == digest);
                    ControlResponse::Bundle(text)
                }
                ControlRequest::Claim {
                    key,
                    attempt,
                    relayed,
                } => ControlResponse::Claim(claims::claim(&self, key, attempt, relayed).await),
                ControlRequest::Release {
                    key,
                    attempt,
                    relayed,
                } => claims::release(&self, key, attempt, relayed).await,
                ControlRequest::Finish {
                    key,
                    attempt,
                    finish,
                    relayed,
                } => claims::finish(&self, key, attempt, finish, relayed).await,
                ControlRequest::Replicate(message, view) => {
                    claims::receive(&self, *message, view.as_ref())
                }
                ControlRequest::HandOverShard(shard) => shards::take_over_yielded(&self, shard),
                ControlRequest::Report(report) => {
                    self.take_report(report);
                    ControlResponse::Done
                }
                ControlRequest::Explain(id) => {
                    ControlResponse::Explained(self.records.borrow().find(&id))
                }
                ControlRequest::Status => {
                    ControlResponse::Status(Box::new(self.status(Now::read())))
                }
            }
        })
    }

    fn follow(self: Rc<Self>) -> mpsc::Receiver<Update> {
        let (tx, rx) = mpsc::channel(FOLLOWER_QUEUE);
        for update in self.present_state() {
            // The queue is longer than the present state, so this cannot fail.
            let _ = tx.try_send(update);
        }
        self.followers.borrow_mut().push(tx);
        rx
    }
}
