//! The agent: the control plane process of an entry box.
//!
//! It follows the change log and the live list, gossips with the agents of other boxes, sends
//! updates to the routers of its box, replicates claims, and writes bills to the ledger. All of
//! its state is soft: it is rebuilt from the store, the peers and the routers.

pub mod assignment;
mod claims;
mod crash_records;
mod exposure_guard;
mod follow;
mod gossip;
pub mod gossip_state;
mod ledger_writer;
pub mod peers;
mod shards;
mod telemetry;

use crate::box_list::ListClient;
use crate::claim::message::UnrecordedFinish;
use crate::claim::replica::Replica;
use crate::claim::view::{Member, ShardId};
use crate::clock::Now;
use crate::decision_record::RecordRing;
use crate::error::{Error, Result};
use crate::settings::agent::AgentSettings;
use crate::store::Store;
use crate::store::etcd::EtcdStore;
use crate::version_guard::VersionGuard;
use crate::wire::message::{AgentStatus, ControlRequest, ControlResponse, RouterReport, Update};
use crate::wire::server::{Handler, serve};
use crate::wire::tls::FleetTls;
use futures::future::LocalBoxFuture;
use gossip_state::GossipState;
use peers::{INFREQUENT_CONTACT_SILENCE_LIMIT, Peers, SILENCE_LIMIT};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Number of updates that are queued for a router before it is disconnected.
const ROUTER_QUEUE_UPDATES: usize = 256;
/// Number of decision records that are retained for `gatepier explain`.
const MAX_DECISION_RECORDS: usize = 20_000;
/// Interval of the heartbeats to the routers.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// State of an agent.
#[derive(Debug)]
pub struct Agent {
    settings: AgentSettings,
    member: Member,
    store: Box<dyn Store>,
    list: ListClient,
    peers: Peers,
    state: RefCell<GossipState>,
    replicas: RefCell<BTreeMap<ShardId, Replica>>,
    shards_in_maintenance: RefCell<BTreeSet<ShardId>>,
    unrecorded_finishes: RefCell<Vec<UnrecordedFinish>>,
    next_segment_number: Cell<u64>,
    pending_segment: RefCell<Option<ledger_writer::PendingSegment>>,
    router_queues: RefCell<Vec<mpsc::Sender<Update>>>,
    records: RefCell<RecordRing>,
    guard: RefCell<VersionGuard>,
    stopping: Cell<bool>,
    pulls_in_progress: RefCell<BTreeSet<std::net::SocketAddr>>,
}

impl Agent {
    /// Creates an agent. Its incarnation is its start time in milliseconds of the wall clock.
    pub fn new(settings: AgentSettings) -> Result<Rc<Self>> {
        let now = Now::read();
        let tls = FleetTls::load(&settings.tls)?;
        let member = Member {
            box_name: settings.identity.name.clone(),
            incarnation: now.wall.0,
        };
        let guard = VersionGuard::new(settings.guard);
        Ok(Rc::new(Self {
            member,
            store: Box::new(EtcdStore::new(settings.store)),
            list: ListClient::new(settings.list),
            peers: Peers::new(tls, now),
            state: RefCell::default(),
            replicas: RefCell::default(),
            shards_in_maintenance: RefCell::default(),
            unrecorded_finishes: RefCell::default(),
            next_segment_number: Cell::new(0),
            pending_segment: RefCell::default(),
            router_queues: RefCell::default(),
            records: RefCell::new(RecordRing::new(MAX_DECISION_RECORDS)),
            guard: RefCell::new(guard),
            stopping: Cell::new(false),
            pulls_in_progress: RefCell::default(),
            settings,
        }))
    }

    /// Runs until `stop` completes, then hands over its shards and writes its bills.
    pub async fn run(self: Rc<Self>, stop: impl Future<Output = ()>) -> Result<()> {
        let tls = FleetTls::load(&self.settings.tls)?;
        let listener = self.listen().await?;
        let metrics = telemetry::serve(self.clone())?;
        actix_rt::spawn(serve(listener, tls, self.clone()));
        actix_rt::spawn(follow::follow_change_log(self.clone()));
        actix_rt::spawn(follow::poll_live_list(self.clone()));
        actix_rt::spawn(gossip::run_gossip(self.clone()));
        actix_rt::spawn(shards::maintain_shards(self.clone()));
        actix_rt::spawn(ledger_writer::write_bills(self.clone()));
        actix_rt::spawn(exposure_guard::run_exposure_guard(self.clone()));
        actix_rt::spawn(self.clone().send_heartbeats());
        log::info!(box_name = self.member.box_name, hall = self.settings.identity.hall; "started");
        stop.await;
        self.stop().await;
        metrics.stop(false).await;
        Ok(())
    }

    /// Listens without `SO_REUSEPORT`, so that no two incarnations of an agent run concurrently.
    async fn listen(&self) -> Result<TcpListener> {
        let address = self.settings.listen;
        let error = |err| Error::Unreachable(format!("cannot listen on {address}: {err}"));
        TcpListener::bind(address).await.map_err(error)
    }

    /// Sends heartbeats to the routers until the process ends.
    async fn send_heartbeats(self: Rc<Self>) {
        loop {
            sleep(HEARTBEAT_PERIOD).await;
            self.push(&Update::Alive);
        }
    }

    async fn stop(self: &Rc<Self>) {
        log::info!("stopping: handing over shards to their witnesses");
        self.stopping.set(true);
        gossip::announce_stop(self).await;
        shards::hand_over_shards(self).await;
        ledger_writer::flush_before_stop(self).await;
        log::info!("stopped");
    }

    /// Sends an update to every router of this box.
    fn push(&self, update: &Update) {
        self.router_queues
            .borrow_mut()
            .retain(|queue| match queue.try_send(update.clone()) {
                Ok(()) => true,
                // A router that does not read is disconnected. It reconnects and gets the complete
                // state.
                Err(_) => false,
            });
    }

    /// Returns the updates that contain the complete current state.
    fn current_state(&self) -> Vec<Update> {
        let state = self.state.borrow();
        let change = state.applied().map(|applied| Update::Change {
            entry: applied.signed.clone(),
            bundle: applied.bundle.clone(),
        });
        let list = state.list().cloned().map(Update::Live);
        let suspended = Update::Suspended(state.suspensions_in_force());
        let crashes = Update::Crashes(state.crash_records(Now::read()));
        let last = [suspended, crashes];
        change.into_iter().chain(list).chain(last).collect()
    }

    /// Returns whether this agent makes the store calls of its hall.
    fn is_hub(&self, now: Now) -> bool {
        let state = self.state.borrow();
        let Some(list) = state.list() else {
            return true;
        };
        let hall = &self.settings.identity.hall;
        assignment::is_hub(
            list,
            hall,
            &self.member.box_name,
            |name, is_closely_watched| {
                let limit = if is_closely_watched {
                    SILENCE_LIMIT
                } else {
                    INFREQUENT_CONTACT_SILENCE_LIMIT
                };
                self.peers.is_box_silent_for(name, limit, now)
            },
        )
    }

    fn status(&self, now: Now) -> AgentStatus {
        let state = self.state.borrow();
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
            .map(|replica| replica.unrecorded_bills(usize::MAX).len())
            .sum();
        let in_force = state
            .applied()
            .and_then(|applied| applied.entry.state.in_force.as_ref());
        let store_age = state.store_age(now);
        AgentStatus {
            member: self.member.clone(),
            hall: self.settings.identity.hall.clone(),
            generation: state.generation(),
            bundle: in_force.map(|approval| approval.digest.clone()),
            store_age_ms: store_age.and_then(|age| u64::try_from(age.as_millis()).ok()),
            list_revision: state.list().map_or(0, |list| list.revision),
            is_hub: self.is_hub(now),
            peers_heard: self.peers.recent_contact_count(now),
            shards: (owned, granting),
            bills_waiting: waiting + self.unrecorded_finishes.borrow().len(),
            suspensions: state.suspensions_in_force(),
            store_calls: self.store.calls(),
            bytes_sent: self.peers.bytes_sent(),
        }
    }

    fn merge_report(self: &Rc<Self>, report: RouterReport) {
        let mut records = self.records.borrow_mut();
        for record in report.records {
            records.push(record);
        }
        drop(records);
        self.state.borrow_mut().evidence.merge(&report.evidence);
        crash_records::merge_crash_records(self, report.crashes);
    }
}

impl Handler for Agent {
    fn handle(self: Rc<Self>, request: ControlRequest) -> LocalBoxFuture<'static, ControlResponse> {
        Box::pin(async move {
            match request {
                ControlRequest::Compare(summary) => gossip::answer_summary(&self, &summary),
                ControlRequest::FetchBundle(digest) => {
                    let state = self.state.borrow();
                    let text = state.applied().and_then(|applied| applied.bundle.clone());
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
                    claims::handle_replication(&self, *message, view.as_ref())
                }
                ControlRequest::HandOverShard(shard) => shards::take_over_on_request(&self, shard),
                ControlRequest::Report(report) => {
                    self.merge_report(report);
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
        let (tx, rx) = mpsc::channel(ROUTER_QUEUE_UPDATES);
        for update in self.current_state() {
            // The queue has room for the complete state, so this cannot fail.
            let _ = tx.try_send(update);
        }
        self.router_queues.borrow_mut().push(tx);
        rx
    }
}
