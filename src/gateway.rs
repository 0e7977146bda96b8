//! The gateway: the data path for routes by host and path, one process per box.
//!
//! It serves callers over HTTP/1.1, follows the operators' configuration in the platform's store,
//! and holds no durable state. An adapter provides all names of the deployment: [`HeaderNames`] and
//! [`ControlStore`].
//!
//! A request goes through [`admit`] (route, key, admission), [`place`] (choice of upstream and
//! model), [`attempt`] (one attempt at one upstream) and [`answer`] (relay of the upstream's
//! response, or refusal). Beside these are [`control`] (the box's knowledge and its freshness),
//! [`peers`] (messages between boxes) and [`versions`] (roll-outs).
//! See `docs/design/platform.md`.

pub mod admit;
pub mod answer;
pub mod attempt;
pub mod control;
pub mod peers;
pub mod place;
pub mod settings;
pub mod telemetry;
pub mod versions;

use crate::clock::{Now, millis};
use crate::error::Result;
use crate::http_server;
use crate::http_server::delivery::Deliveries;
use crate::http_server::load_shedding::LoadShedder;
use crate::http_server::open_connections::OpenConnections;
use crate::metrics::Metrics;
use crate::saturation::Saturation;
use crate::saturation::instruments::OwnLimitMetrics;
use crate::store::StoreError;
use admit::listen;
use admit::own_limit;
use admit::room::RoomState;
use admit::routes::{NEUTRAL_RELATIVE_RANK, Route};
use admit::run_times::RunTimes;
use answer::held_memory::HeldMemory;
use answer::return_schedule::ReturnSchedule;
use attempt::connect::ConnectionPool;
use attempt::crash_detection::{self, CrashDetector};
use attempt::headers::HeaderNames;
use attempt::probe;
use attempt::quarantine::Quarantine;
use attempt::retries::RetryWindow;
use attempt::spare_connections;
use control::mirror::Mirror;
use control::state::{ConfigFreshness, ControlPlaneState};
use control::store::ControlStore;
use control::{limit_leader, rollout_leader, store_sync};
use peers::full_boxes::FullBoxes;
use peers::hub_poller::HubPoller;
use peers::hubs::{HubState, choose_hubs};
use peers::limit_reports::LimitReport;
use peers::liveness::PeerLiveness;
use peers::load_reports::SharedLoadReport;
use peers::loan_book::LoanBook;
use peers::loan_inquiry::LoanInquiry;
use peers::messages;
use peers::outbox::Outbox;
use peers::rejection_limits::RejectionLimits;
use place::event_pace::EventPaces;
use place::fleet_view::FleetView;
use place::model_trials::ModelTrials;
use place::peer_loads::{LongPrefillOutbox, PeerLoads};
use place::prefill_rate::{self, PrefillModel, PrefillRates};
use place::rate_samples::RateSamples;
use place::service_time::ServiceTimes;
use place::turn_queue::TurnQueue;
use settings::GatewaySettings;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use telemetry::Telemetry;
use tokio::sync::Notify;
use tokio::time::sleep;
use versions::monitor::VersionMonitor;
use versions::session_versions::SessionVersions;

/// How long after the stop signal streams are still admitted. The load balancer sends new
/// connections for two more seconds, and a refusal costs the caller a round trip to another box;
/// operators accept that a stream sent within three seconds of the signal is cut at the end.
const STREAM_ADMISSION_AFTER_STOP: Duration = Duration::from_millis(2800);
/// How long before the process exits nothing is admitted any more: a plain request takes a tenth of
/// this, and several times as long at a slow upstream.
const NO_ADMISSION_BEFORE_EXIT: Duration = Duration::from_millis(1200);
/// How long before the process exits requests in progress are answered, so that their callers get the
/// answer.
const ANSWER_BEFORE_EXIT: Duration = Duration::from_millis(200);
/// How long after its start a box holds requests until it has the configuration; long enough even
/// if each of many boxes has to read the store itself. A refusal would cost the caller its only
/// retry, and the boxes that it would retry at have no configuration either.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(1500);
/// The longest time that a call to the store takes until it fails.
const MAX_STORE_CALL: Duration = Duration::from_millis(1200);
/// A request waits for the first configuration for the caller's timeout divided by this: the rest
/// is for serving it, and for a retry after a refusal.
const STARTUP_WAIT_DIVISOR: u32 = 3;

/// The state of a box, shared by all its requests.
#[derive(Debug)]
pub struct Gateway {
    settings: RefCell<Rc<GatewaySettings>>,
    /// The names of the deployment's headers.
    pub headers: HeaderNames,
    /// The box's knowledge: configuration, upstreams, boxes and roll-outs.
    pub knowledge: RefCell<ControlPlaneState>,
    /// A copy of the store's items, for other boxes to fetch.
    pub mirror: RefCell<Mirror>,
    /// How boxes distribute the store's items among themselves.
    pub hubs: HubState,
    /// This box's queries to the hubs, and its fetches.
    pub hub_queries: HubPoller,
    /// Notified when the box's copy of the store's items has changed.
    pub items_changed: Notify,
    /// The connections to upstreams.
    pub connections: ConnectionPool,
    /// Runs that broke off, whose upstreams may have crashed.
    pub crashes: CrashDetector,
    /// Requests that crash their upstreams.
    pub quarantine: Quarantine,
    /// Hashes of upstreams that have announced that they leave, to be sent to other boxes.
    pub leaving_upstreams: Outbox<u32>,
    /// Rate limits of upstreams that have changed, to be sent to other boxes.
    pub rate_limits: Outbox<LimitReport>,
    /// Hashes of upstreams with rate limits to which requests are sent, to be announced.
    pub limited_sends: Outbox<u32>,
    /// The rejection limits of upstreams.
    pub rejection_limits: RejectionLimits,
    /// The slots that are borrowed from other boxes.
    pub loans: Rc<LoanBook>,
    /// Which boxes have stated what they hold of this box's slots.
    pub loan_inquiry: LoanInquiry,
    /// Load reports of plain upstreams, to be sent to other boxes.
    pub load_reports: Outbox<SharedLoadReport>,
    /// Connections from callers.
    pub caller_connections: http_server::Connections,
    /// What callers have still to take of their answers.
    pub deliveries: Deliveries,
    /// The open connections of callers, within their limit.
    pub open_connections: Rc<OpenConnections>,
    /// The requests that wait for their turn at upstreams with rate limits.
    turn_queue: TurnQueue,
    /// When callers that were refused because of rate limits should come back.
    return_schedule: RefCell<ReturnSchedule>,
    /// Who gets room at upstreams under load.
    pub room: RoomState,
    /// The retry budgets by service; see [`Gateway::with_retry_window`].
    retry_windows: RefCell<HashMap<String, RetryWindow>>,
    /// Which version serves each session.
    pub sessions: RefCell<SessionVersions>,
    /// When each other box was last in contact.
    pub last_contacts: RefCell<PeerLiveness>,
    /// Observations of versions under roll-out.
    pub versions: RefCell<VersionMonitor>,
    /// How fast engines prefill prompts, by model.
    pub prefill_rates: PrefillRates,
    /// The newest measurements of prefill rates by all boxes, where load is controlled.
    pub rate_samples: RateSamples,
    /// How often answers of models between the smallest and the largest are good enough.
    pub model_trials: ModelTrials,
    /// How long requests run at plain upstreams, by service.
    pub service_times: ServiceTimes,
    /// How long the requests of each route took lately.
    pub run_times: RefCell<RunTimes>,
    /// The usual time between events of streams, by model.
    pub event_paces: EventPaces,
    /// The load that the other boxes put on upstreams.
    pub peer_loads: RefCell<PeerLoads>,
    /// Long prompt reads that have not been announced to the other boxes yet.
    pub long_prefills: LongPrefillOutbox,
    /// The memory held for requests.
    pub held_memory: Rc<HeldMemory>,
    /// The delay that this box causes by itself.
    pub saturation: Rc<Saturation>,
    /// The other boxes that have more to do than they can.
    pub full_boxes: FullBoxes,
    /// Decides which new connections of callers are served.
    pub shedder: LoadShedder,
    own_limit_metrics: OwnLimitMetrics,
    /// Logs and metrics.
    pub telemetry: Rc<Telemetry>,
    /// The name of this run of the box's process: the box's name and a random number, since the
    /// wall clock may be set back between two starts.
    pub incarnation: String,
    /// The lease under which the box is registered.
    pub lease: Cell<Option<u64>>,
    started_at: Duration,
    stopping_since: Cell<Option<Duration>>,
    in_flight: Rc<Cell<u32>>,
    /// The tunnels that are open for other boxes.
    served_tunnels: Rc<Cell<u32>>,
    store_lost_since: Cell<Option<Duration>>,
}

impl Gateway {
    /// Creates a box that knows nothing yet.
    pub fn new(
        settings: GatewaySettings,
        headers: HeaderNames,
        metrics: &Metrics,
        now: Now,
    ) -> Rc<Self> {
        let incarnation = format!("{}.{:016x}", settings.name, rand::random::<u64>());
        let telemetry = Rc::new(Telemetry::new(metrics));
        let saturation = Rc::<Saturation>::default();
        let gw = Rc::new(Self {
            sessions: RefCell::new(SessionVersions::new(settings.bounds.session_idle_limit)),
            versions: RefCell::new(VersionMonitor::new(&incarnation, saturation.clone())),
            settings: RefCell::new(Rc::new(settings)),
            headers,
            knowledge: RefCell::default(),
            mirror: RefCell::default(),
            hubs: HubState::default(),
            hub_queries: HubPoller::default(),
            items_changed: Notify::new(),
            connections: ConnectionPool::new(telemetry.clone(), saturation.clone()),
            crashes: CrashDetector::default(),
            quarantine: Quarantine::default(),
            leaving_upstreams: Outbox::default(),
            rate_limits: Outbox::default(),
            limited_sends: Outbox::default(),
            rejection_limits: RejectionLimits::default(),
            loans: Rc::default(),
            loan_inquiry: LoanInquiry::default(),
            load_reports: Outbox::default(),
            caller_connections: Default::default(),
            deliveries: Deliveries::default(),
            open_connections: Rc::default(),
            turn_queue: TurnQueue::default(),
            return_schedule: RefCell::default(),
            room: RoomState::default(),
            retry_windows: RefCell::default(),
            peer_loads: RefCell::default(),
            last_contacts: RefCell::default(),
            long_prefills: LongPrefillOutbox::default(),
            prefill_rates: PrefillRates::default(),
            rate_samples: RateSamples::default(),
            model_trials: ModelTrials::default(),
            service_times: ServiceTimes::default(),
            run_times: RefCell::default(),
            event_paces: EventPaces::default(),
            held_memory: Rc::new(HeldMemory::new(saturation.clone())),
            saturation,
            full_boxes: FullBoxes::default(),
            shedder: LoadShedder::default(),
            own_limit_metrics: OwnLimitMetrics::new(metrics),
            telemetry,
            incarnation,
            lease: Cell::new(None),
            started_at: now.monotonic,
            stopping_since: Cell::new(None),
            in_flight: Rc::default(),
            served_tunnels: Rc::default(),
            store_lost_since: Cell::new(None),
        });
        gw.apply_limits();
        gw
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// Applies changed settings; addresses take effect at the next start.
    pub fn reload(&self, settings: GatewaySettings) {
        *self.settings.borrow_mut() = Rc::new(settings);
        self.apply_limits();
    }

    /// Applies the limits of the settings on memory and on connections.
    fn apply_limits(&self) {
        let settings = self.settings();
        self.held_memory.apply(&settings);
        let by_memory = self.held_memory.max_connections();
        let by_descriptors = settings.max_caller_connections();
        self.open_connections
            .set_limit(by_memory.min(by_descriptors));
    }

    /// Returns a route's relative rank in the routing table in force, from 0 (most urgent) to 1.
    pub fn relative_rank(&self, route: &Route) -> f64 {
        let knowledge = self.knowledge.borrow();
        let routes = knowledge.routes();
        routes.map_or(NEUTRAL_RELATIVE_RANK, |routes| {
            routes.relative_rank(route.priority)
        })
    }

    /// Returns how long an engine of a service takes to prefill this many prompt tokens for a
    /// model.
    pub fn prompt_prefill_time(&self, service: &str, model: Option<&str>, tokens: f64) -> Duration {
        if let Some(time) = self.shared_prefill_time(service, model, tokens) {
            return time;
        }
        self.with_model_pace(service, model, |pace| {
            self.prefill_rates.prefill_time(pace, tokens)
        })
    }

    /// Returns the prefill time by the measurements of all boxes, where load is controlled.
    fn shared_prefill_time(
        &self,
        service: &str,
        model: Option<&str>,
        tokens: f64,
    ) -> Option<Duration> {
        let time = self
            .rate_samples
            .prefill_time(model.unwrap_or_default(), tokens);
        time.filter(|_| self.controls_load(service))
    }

    /// Returns a model's price as a fraction of the most expensive model's; 1 if it is unknown.
    pub fn price_part(&self, service: &str, model: &str) -> f64 {
        self.with_model_pace(service, Some(model), |pace| pace.price_part)
    }

    /// Returns whether a model is the most expensive one of its service, or the only one.
    pub fn is_most_expensive(&self, service: &str, model: Option<&str>) -> bool {
        self.with_model_pace(service, model, |pace| pace.price_part >= 1.0)
    }

    /// Updates a model's prefill rate from a first event for which an engine prefilled only this
    /// many tokens.
    pub fn record_prefill_rate(&self, service: &str, model: &str, tokens: f64, took: Duration) {
        self.with_model_pace(service, Some(model), |pace| {
            self.prefill_rates.record(pace, tokens, took);
        });
    }

    /// Returns the speed of an engine that a first event shows; see
    /// [`PrefillRates::measured_speed`].
    pub fn prefill_speed(
        &self,
        service: &str,
        model: &str,
        tokens: f64,
        took: Duration,
    ) -> Option<f64> {
        if let Some(expected) = self.shared_prefill_time(service, Some(model), tokens) {
            return prefill_rate::speed_of(expected, took);
        }
        self.with_model_pace(service, Some(model), |pace| {
            self.prefill_rates.measured_speed(pace, tokens, took)
        })
    }

    fn with_model_pace<T>(
        &self,
        service: &str,
        model: Option<&str>,
        f: impl FnOnce(PrefillModel<'_>) -> T,
    ) -> T {
        let knowledge = self.knowledge.borrow();
        let engine = knowledge
            .routes()
            .and_then(|routes| routes.services.get(service))
            .and_then(|service| service.engine.as_ref());
        let price_part = match (engine, model) {
            (Some(engine), Some(model)) => engine.relative_price(model),
            _ => 1.0,
        };
        f(PrefillModel {
            name: model.unwrap_or_default(),
            price_part,
        })
    }

    /// Gives access to a service's retry budget, which is created with the service's first request.
    pub fn with_retry_window<T>(&self, service: &str, f: impl FnOnce(&mut RetryWindow) -> T) -> T {
        let mut windows = self.retry_windows.borrow_mut();
        let window = windows
            .entry(service.to_owned())
            .or_insert_with(|| RetryWindow::new(self.settings().bounds.retries));
        window.set_box_count(self.knowledge.borrow().box_count());
        f(window)
    }

    /// Waits until this box has the operators' configuration and a proof of how recent it is.
    ///
    /// A message of another box may bring the configuration a little before the proof.
    pub async fn wait_for_first_config(&self) {
        loop {
            // Created before the check, so that no change in between is missed.
            let changed = self.items_changed.notified();
            if self.knowledge.borrow().has_confirmed_routes() {
                return;
            }
            changed.await;
        }
    }

    /// Returns how much longer a request may wait for the first configuration: not at all once a
    /// store call has failed, since an outage may last.
    pub fn remaining_startup_wait(&self, wait: StartupWait, now: Now) -> Duration {
        match self.store_lost_since.get() {
            Some(_) => Duration::ZERO,
            None => wait.remaining(self.started_at, now),
        }
    }

    /// Returns what the age of its knowledge allows this box to decide.
    pub fn config_freshness(&self, now: Now) -> ConfigFreshness {
        let settings = self.settings();
        self.knowledge.borrow().freshness(&settings.bounds, now)
    }

    /// Records that everything that the store acknowledged before a point in time is known. The
    /// first time wakes the requests that wait for it.
    ///
    /// A point in the future would make the state look current for as long, so it proves nothing.
    pub fn confirm_fresh_as_of(&self, as_of: Duration, now: Now) {
        if as_of > now.monotonic {
            let ahead_ms = millis(as_of.saturating_sub(now.monotonic));
            log::error!(ahead_ms; "invariant: the state was confirmed for a time in the future");
            return;
        }
        let was_proved = self.knowledge.borrow().has_confirmed_routes();
        self.knowledge.borrow_mut().confirm(as_of);
        if !was_proved {
            self.items_changed.notify_waiters();
        }
    }

    /// Returns whether the box's knowledge is younger than `age`.
    pub fn has_knowledge_within(&self, age: Duration, now: Now) -> bool {
        let known = self.knowledge.borrow().age(now);
        known.is_some_and(|known| known < age)
    }

    /// Returns whether the load balancer should send new connections.
    ///
    /// Stale knowledge does not make a box unready, even if the box refuses keys because of it: if
    /// the hall is cut off or the store is down, the knowledge of all its boxes becomes stale
    /// together, and a load balancer that finds none of them ready sends their callers across the
    /// partition, where they time out. An immediate refusal with a retry delay serves callers
    /// better.
    pub fn is_ready(&self, now: Now) -> bool {
        let has_routes = self.knowledge.borrow().routes().is_some();
        has_routes && !self.is_stopping() && !self.is_withdrawn(now)
    }

    /// Records that the store answered a call.
    pub fn store_answered(&self, now: Now) {
        self.knowledge.borrow_mut().record_store_answer(now);
        if let Some(since) = self.store_lost_since.take() {
            let outage = now.monotonic.saturating_sub(since);
            log::info!(lost_ms = outage.as_millis() as u64; "the store is reachable again");
        }
    }

    /// Records that a call to the store failed, which shows nothing if this box was late by itself.
    pub fn store_failed(&self, err: &StoreError, now: Now) {
        let since = now.monotonic.saturating_sub(MAX_STORE_CALL);
        if self.saturation.was_late_since(since, now) {
            log::warn!("a call to the store failed while this box was late by itself: {err}");
            return;
        }
        let is_first_failure = self.store_lost_since.get().is_none();
        if is_first_failure {
            self.store_lost_since.set(Some(now.monotonic));
        }
        match is_first_failure {
            true => log::warn!("the store is lost: {err}"),
            false => log::debug!("the store is still unreachable: {err}"),
        }
    }

    /// Returns whether this box calls the store on behalf of others: it is a hub, or no box is
    /// registered yet.
    pub fn is_hub(&self) -> bool {
        let own = self.settings().peer_addr;
        let knowledge = self.knowledge.borrow();
        let hubs = choose_hubs(knowledge.boxes());
        hubs.is_empty() || hubs.iter().any(|hub| hub.address == own)
    }

    /// Returns the addresses of the other registered boxes, those registered longest first.
    pub fn other_boxes(&self) -> Vec<SocketAddr> {
        let own = self.settings().peer_addr;
        let knowledge = self.knowledge.borrow();
        let boxes = knowledge.boxes_by_registration().into_iter();
        let addresses = boxes.map(|entry| entry.address);
        addresses.filter(|address| *address != own).collect()
    }

    /// Returns the addresses of the other boxes that are registered, or were until recently.
    pub fn other_recent_boxes(&self) -> Vec<SocketAddr> {
        let own = self.settings().peer_addr;
        let mut others = self.box_addresses();
        others.retain(|address| *address != own);
        others
    }

    /// Returns what this box knows of the fleet.
    pub fn fleet_view<'a>(&self, box_addresses: &'a [SocketAddr], now: Now) -> FleetView<'a> {
        FleetView {
            own_address: self.settings().peer_addr,
            box_addresses,
            uptime: self.uptime(now),
        }
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(&self) -> InFlightGuard {
        InFlightGuard::new(&self.in_flight)
    }

    /// Counts a tunnel that is open for another box until the guard is dropped.
    pub fn track_tunnel(&self) -> InFlightGuard {
        InFlightGuard::new(&self.served_tunnels)
    }

    /// Returns the number of tunnels that are open for other boxes.
    pub fn served_tunnels(&self) -> u32 {
        self.served_tunnels.get()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Marks the box as stopping.
    pub fn begin_stopping(&self, now: Now) {
        self.stopping_since.set(Some(now.monotonic));
    }

    /// Returns how long the process has run.
    pub fn uptime(&self, now: Now) -> Duration {
        now.monotonic.saturating_sub(self.started_at)
    }

    /// Returns whether the process is about to exit.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Returns whether a request might outlast the process, given when its caller or its route gives
    /// it up.
    ///
    /// A plain request is expected to take as long as the longest of its route lately, and where
    /// that is unknown until it is given up.
    pub fn is_too_late_to_admit(&self, route: &Route, deadline: Duration, now: Now) -> bool {
        if route.kind.stream_gap().is_some() {
            return self.is_too_late_for_streams(now);
        }
        let Some(exit) = self.exit_at() else {
            return false;
        };
        let expected = self.run_times.borrow().expected(&route.name, now);
        let expected_end =
            expected.map_or(deadline, |expected| deadline.min(now.monotonic + expected));
        self.has_stopped_for(self.admission_after_stop(), now) || expected_end > exit
    }

    /// Returns whether a stream, also one of another box, might outlast the process.
    pub fn is_too_late_for_streams(&self, now: Now) -> bool {
        let admission_end = self.admission_after_stop().min(STREAM_ADMISSION_AFTER_STOP);
        self.has_stopped_for(admission_end, now)
    }

    /// Returns for how long after the stop signal plain requests are admitted.
    fn admission_after_stop(&self) -> Duration {
        let stop_duration = self.settings().bounds.max_stop_duration();
        stop_duration.saturating_sub(NO_ADMISSION_BEFORE_EXIT)
    }

    /// Returns when requests in progress have to end, in the time of [`Now::monotonic`]; `None` unless
    /// the process is stopping.
    pub fn exit_at(&self) -> Option<Duration> {
        let stop_duration = self.settings().bounds.max_stop_duration();
        let to_answer = stop_duration.saturating_sub(ANSWER_BEFORE_EXIT);
        self.stopping_since.get().map(|since| since + to_answer)
    }

    /// Waits until requests in progress have to end, which is never unless the process is stopping.
    pub async fn await_exit(&self) {
        self.caller_connections.shutdown_announced().await;
        match self.exit_at() {
            Some(exit) => sleep(exit.saturating_sub(Now::read().monotonic)).await,
            None => pending().await,
        }
    }

    fn has_stopped_for(&self, time: Duration, now: Now) -> bool {
        let since = self.stopping_since.get();
        since.is_some_and(|since| now.monotonic.saturating_sub(since) > time)
    }
}

/// How long a request may wait for a starting box's first configuration.
#[derive(Debug, Clone, Copy)]
pub struct StartupWait {
    /// When the request was received.
    pub received: Duration,
    /// The caller's timeout, if it sent one.
    pub caller_timeout: Option<Duration>,
}

impl StartupWait {
    /// Returns how much longer the request may wait at a box that started at `started_at`.
    pub fn remaining(self, started_at: Duration, now: Now) -> Duration {
        let box_wait = (started_at + MAX_STARTUP_WAIT).saturating_sub(now.monotonic);
        let Some(caller_timeout) = self.caller_timeout else {
            return box_wait;
        };
        let until = self.received + caller_timeout / STARTUP_WAIT_DIVISOR;
        box_wait.min(until.saturating_sub(now.monotonic))
    }
}

/// Counts a request or a tunnel as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Rc<Cell<u32>>);

impl InFlightGuard {
    /// Adds one to a count.
    pub fn new(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Runs a box until it receives the stop signal and has drained.
///
/// `reload` reads the settings again on each SIGHUP.
pub async fn run(
    settings: GatewaySettings,
    headers: HeaderNames,
    store: Rc<dyn ControlStore>,
    reload: impl Fn() -> Result<GatewaySettings> + 'static,
) -> Result<()> {
    // First of all, since a signal without a handler ends the process.
    let stop_signal = listen::StopSignal::install()?;
    let reload_signal = listen::ReloadSignal::install()?;
    let metrics = Metrics::new()?;
    let gw = Gateway::new(settings, headers, &metrics, Now::read());
    let server = listen::serve_callers(&gw)?;
    listen::serve_readiness(&gw, &metrics)?;
    actix_rt::spawn(store_sync::sync_with_store(gw.clone(), store.clone()));
    actix_rt::spawn(probe::probe_unreachable_upstreams(gw.clone()));
    actix_rt::spawn(spare_connections::keep_spare_connections(gw.clone()));
    actix_rt::spawn(crash_detection::check_interrupted_upstreams(gw.clone()));
    actix_rt::spawn(rollout_leader::lead_rollouts(gw.clone(), store.clone()));
    actix_rt::spawn(limit_leader::record_limited_services(
        gw.clone(),
        store.clone(),
    ));
    actix_rt::spawn(store_sync::expire_old_state(gw.clone()));
    actix_rt::spawn(own_limit::watch_own_limit(gw.clone()));
    let exchange = messages::exchange(gw.clone(), store.clone());
    actix_rt::spawn(async move {
        if let Err(err) = exchange.await {
            log::error!("cannot exchange messages with other boxes: {err}");
        }
    });
    let settings = gw.settings();
    log::info!(
        box_name = gw.incarnation.as_str(),
        hall = settings.hall.as_str(),
        callers = settings.caller_addr.to_string().as_str();
        "started"
    );
    actix_rt::spawn(reload_signal.reload_on_each(gw.clone(), reload));
    stop_signal.wait().await;
    listen::drain(&gw, server, &*store).await;
    Ok(())
}
