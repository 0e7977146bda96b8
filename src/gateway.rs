//! The data path for routes by host and path, in one process a box.
//!
//! It serves callers over HTTP/1.1, follows the operators' configuration in the
//! platform's store, and keeps nothing that has to last. All names of the deployment
//! come from an adapter: [`Headers`] and [`ControlStore`].
//!
//! A request goes through [`admit`] (what does it ask for, and may it be served), [`place`]
//! (which upstream and which model), [`attempt`] (one try at one upstream) and [`answer`] (an
//! upstream's answer passed on, or a refusal). Beside it stand [`control`] (what the box knows
//! and how it stays fresh), [`peers`] (what boxes tell each other) and [`versions`] (roll-outs).
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

use crate::clock::Now;
use crate::error::Result;
use crate::http_server;
use crate::metrics::Metrics;
use crate::store::StoreError;
use admit::listen;
use admit::routes::{NEUTRAL_RELATIVE_RANK, Route, RouteKind};
use attempt::connect::Connections;
use attempt::crash::{self, CrashWatch};
use attempt::probe;
use attempt::protocol::Headers;
use attempt::quarantine::Quarantine;
use attempt::retries::RetryWindow;
use control::knowledge::{Knowledge, Proof};
use control::mirror::Mirror;
use control::store::ControlStore;
use control::{follow, leading};
use peers::asking::Asking;
use peers::heard::Heard;
use peers::hubs::{Hubs, choose_hubs};
use peers::messages;
use peers::outbox::Outbox;
use place::loads::{Loads, LongReads};
use place::reading::{ModelPace, ReadingRates};
use settings::GatewaySettings;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use telemetry::Telemetry;
use tokio::sync::Notify;
use versions::sessions::Sessions;
use versions::watch::VersionWatch;

/// How long after the signal to stop streams are still taken. The balancer sends new
/// connections for two seconds yet, and a refusal costs the caller a way to another box;
/// the operators bear a stream that is cut at the end if it was sent within three seconds.
const LONG_REQUESTS_AFTER_STOP: Duration = Duration::from_millis(2800);
/// How long before the process's end nothing is taken any more: a plain request takes a
/// tenth of this, and some times as long at a slow upstream.
const LAST_TAKEN_BEFORE_END: Duration = Duration::from_millis(1200);
/// How long after its start a box holds requests while it learns the configuration, also where
/// each of many has to read the store by itself. A refusal would cost the caller the one time that
/// it comes back, and the boxes that it would come back to are no further.
const FIRST_READ: Duration = Duration::from_millis(1500);
/// The part of a caller's time for which a request waits for the configuration: the rest has
/// to do for serving it, and for coming back after a refusal.
const PART_FOR_FIRST_READ: u32 = 3;

/// Everything that the requests of a box share.
#[derive(Debug)]
pub struct Gateway {
    settings: RefCell<Rc<GatewaySettings>>,
    /// The names of the deployment's headers.
    pub headers: Headers,
    /// What the box knows.
    pub knowledge: RefCell<Knowledge>,
    /// The store's items, to be passed on.
    pub mirror: RefCell<Mirror>,
    /// How boxes pass on what the store holds.
    pub hubs: Hubs,
    /// What this box asks the hubs and fetches.
    pub hub_queries: Asking,
    /// Rings when the store's items have changed.
    pub items_changed: Notify,
    /// Resting connections to upstreams.
    pub connections: Connections,
    /// Runs that broke off, whose upstreams may have crashed.
    pub crashes: CrashWatch,
    /// Requests that crash their upstreams.
    pub quarantine: Quarantine,
    /// Upstreams that have said that they leave, by their hashes, to be told to other boxes.
    pub leaving_upstreams: Outbox<u32>,
    /// The connections that callers have to this box.
    pub caller_connections: http_server::Connections,
    /// The budgets of repeats by service; see [`Gateway::with_retry_window`].
    retry_windows: RefCell<HashMap<String, RetryWindow>>,
    /// The versions of sessions.
    pub sessions: RefCell<Sessions>,
    /// When other boxes were heard of.
    pub last_contacts: RefCell<Heard>,
    /// What was seen of versions under roll-out.
    pub versions: RefCell<VersionWatch>,
    /// How fast engines read prompts.
    pub reading_rates: ReadingRates,
    /// What the other boxes have under way.
    pub peer_loads: RefCell<Loads>,
    /// Long reads that the other boxes have still to be told of.
    pub long_reads: LongReads,
    /// Log lines and metrics.
    pub telemetry: Telemetry,
    /// The name of this life of the box.
    pub incarnation: String,
    /// The lease under which the box is registered.
    pub lease: Cell<Option<u64>>,
    started_at: Duration,
    stopping_since: Cell<Option<Duration>>,
    in_flight: Rc<Cell<u32>>,
    store_lost_since: Cell<Option<Duration>>,
}

impl Gateway {
    /// Makes a box that knows nothing yet.
    pub fn new(
        settings: GatewaySettings,
        headers: Headers,
        metrics: &Metrics,
        now: Now,
    ) -> Rc<Self> {
        let incarnation = format!("{}.{}", settings.name, now.wall.0);
        Rc::new(Self {
            sessions: RefCell::new(Sessions::new(settings.bounds.session_idle_limit)),
            versions: RefCell::new(VersionWatch::new(&incarnation)),
            settings: RefCell::new(Rc::new(settings)),
            headers,
            knowledge: RefCell::default(),
            mirror: RefCell::default(),
            hubs: Hubs::default(),
            hub_queries: Asking::default(),
            items_changed: Notify::new(),
            connections: Connections::default(),
            crashes: CrashWatch::default(),
            quarantine: Quarantine::default(),
            leaving_upstreams: Outbox::default(),
            caller_connections: Default::default(),
            retry_windows: RefCell::default(),
            peer_loads: RefCell::default(),
            last_contacts: RefCell::default(),
            long_reads: LongReads::default(),
            reading_rates: ReadingRates::default(),
            telemetry: Telemetry::new(metrics),
            incarnation,
            lease: Cell::new(None),
            started_at: now.monotonic,
            stopping_since: Cell::new(None),
            in_flight: Rc::default(),
            store_lost_since: Cell::new(None),
        })
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// Takes changed settings; addresses stay as they are until the next start.
    pub fn reload(&self, settings: GatewaySettings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns how far down a route's rank is among those in force.
    pub fn relative_rank(&self, route: &Route) -> f64 {
        let knowledge = self.knowledge.borrow();
        let routes = knowledge.routes();
        routes.map_or(NEUTRAL_RELATIVE_RANK, |routes| {
            routes.relative_rank(route.priority)
        })
    }

    /// Returns how long an engine of a service reads so many tokens for a model.
    pub fn prompt_reading_time(&self, service: &str, model: Option<&str>, tokens: f64) -> Duration {
        self.with_model_pace(service, model, |pace| self.reading_rates.time(pace, tokens))
    }

    /// Tells whether a model is the dearest of its service, or the only one.
    pub fn is_most_expensive(&self, service: &str, model: Option<&str>) -> bool {
        self.with_model_pace(service, model, |pace| pace.price_part >= 1.0)
    }

    /// Learns from a first event for which an engine read so many tokens and nothing else.
    pub fn record_reading_rate(&self, service: &str, model: &str, tokens: f64, took: Duration) {
        self.with_model_pace(service, Some(model), |pace| {
            self.reading_rates.learn(pace, tokens, took);
        });
    }

    fn with_model_pace<T>(
        &self,
        service: &str,
        model: Option<&str>,
        use_it: impl FnOnce(ModelPace<'_>) -> T,
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
        use_it(ModelPace {
            name: model.unwrap_or_default(),
            price_part,
        })
    }

    /// Uses a service's budget of repeats, which begins with the service's first request.
    pub fn with_retry_window<T>(
        &self,
        service: &str,
        use_it: impl FnOnce(&mut RetryWindow) -> T,
    ) -> T {
        let mut windows = self.retry_windows.borrow_mut();
        let window = windows
            .entry(service.to_owned())
            .or_insert_with(|| RetryWindow::new(self.settings().bounds.retries));
        window.share_among(self.knowledge.borrow().box_count());
        use_it(window)
    }

    /// Waits until this box knows the operators' configuration and a proof of how new it is.
    ///
    /// News of another box may bring the configuration a little before the proof.
    pub async fn wait_for_first_config(&self) {
        loop {
            // Made before the look, so that no news in between is missed.
            let changed = self.items_changed.notified();
            if self.knowledge.borrow().is_proved() {
                return;
            }
            changed.await;
        }
    }

    /// Returns how long a request may yet wait for the first configuration: not at all once
    /// the store has not answered, since that may last.
    pub fn remaining_startup_wait(&self, waiting: StartupWait, now: Now) -> Duration {
        match self.store_lost_since.get() {
            Some(_) => Duration::ZERO,
            None => waiting.remaining(self.started_at, now),
        }
    }

    /// Returns what this box may say by the configuration that it has.
    pub fn proof(&self, now: Now) -> Proof {
        let settings = self.settings();
        self.knowledge.borrow().proof(&settings.bounds, now)
    }

    /// Records that everything acknowledged before a moment is known; the first time is news
    /// to whoever waits for it.
    pub fn confirm_fresh_as_of(&self, as_of: Duration) {
        let was_proved = self.knowledge.borrow().is_proved();
        self.knowledge.borrow_mut().confirm(as_of);
        if !was_proved {
            self.items_changed.notify_waiters();
        }
    }

    /// Tells whether what the box knows is not older than this.
    pub fn has_knowledge_within(&self, age: Duration, now: Now) -> bool {
        let known = self.knowledge.borrow().age(now);
        known.is_some_and(|known| known < age)
    }

    /// Tells whether the balancer should send new connections.
    ///
    /// Old knowledge is no reason against it, also where the box refuses keys for it: all
    /// boxes of a hall grow old together when the hall is cut off or the store is away, and a
    /// balancer that finds none of them ready sends their callers across the cut, where they
    /// wait in vain. A refusal at once, with when to come back, serves them better.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.knowledge.borrow().routes().is_some()
    }

    /// Records a call that the store answered.
    pub fn store_answered(&self, now: Now) {
        if let Some(since) = self.store_lost_since.take() {
            let lost = now.monotonic.saturating_sub(since);
            log::info!(lost_ms = lost.as_millis() as u64; "the store answers again");
        }
    }

    /// Records a call that the store did not answer.
    pub fn store_failed(&self, err: &StoreError, now: Now) {
        let is_first = self.store_lost_since.get().is_none();
        if is_first {
            self.store_lost_since.set(Some(now.monotonic));
        }
        match is_first {
            true => log::warn!("the store is lost: {err}"),
            false => log::debug!("the store is still away: {err}"),
        }
    }

    /// Tells whether this box calls the store for others: it is a hub, or nobody is
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
        let boxes = knowledge.boxes_by_age().into_iter();
        let addresses = boxes.map(|entry| entry.address);
        addresses.filter(|address| *address != own).collect()
    }

    /// Counts a request in until the guard is dropped.
    pub fn track_request(&self) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard(self.in_flight.clone())
    }

    /// Returns the requests under way.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Begins to stop.
    pub fn begin_stopping(&self, now: Now) {
        self.stopping_since.set(Some(now.monotonic));
    }

    /// Returns how long the box has been up.
    pub fn uptime(&self, now: Now) -> Duration {
        now.monotonic.saturating_sub(self.started_at)
    }

    /// Tells whether the process is about to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Tells whether a request would perhaps outlast the process.
    pub fn is_too_late_to_admit(&self, kind: RouteKind, now: Now) -> bool {
        let Some(since) = self.stopping_since.get() else {
            return false;
        };
        let time_to_end = self.settings().bounds.max_stop_duration();
        let last = time_to_end.saturating_sub(LAST_TAKEN_BEFORE_END);
        let last = match kind.stream_gap() {
            Some(_) => last.min(LONG_REQUESTS_AFTER_STOP),
            None => last,
        };
        now.monotonic.saturating_sub(since) > last
    }
}

/// A request that waits for the first configuration.
#[derive(Debug, Clone, Copy)]
pub struct StartupWait {
    /// When it was received.
    pub received: Duration,
    /// How long its caller waits; none where it does not say.
    pub caller_timeout: Option<Duration>,
}

impl StartupWait {
    /// Returns how long it may yet wait at a box that started at a moment.
    pub fn remaining(self, started_at: Duration, now: Now) -> Duration {
        let of_box = (started_at + FIRST_READ).saturating_sub(now.monotonic);
        let Some(caller_timeout) = self.caller_timeout else {
            return of_box;
        };
        let until = self.received + caller_timeout / PART_FOR_FIRST_READ;
        of_box.min(until.saturating_sub(now.monotonic))
    }
}

/// Counts a request out when it ends, however it ends.
#[derive(Debug)]
pub struct InFlightGuard(Rc<Cell<u32>>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Runs a box until it is asked to stop and has finished what it had.
///
/// `reload` reads the settings again when the operators ask for it.
pub async fn run(
    settings: GatewaySettings,
    headers: Headers,
    store: Rc<dyn ControlStore>,
    reload: impl Fn() -> Result<GatewaySettings> + 'static,
) -> Result<()> {
    let metrics = Metrics::new()?;
    let gw = Gateway::new(settings, headers, &metrics, Now::read());
    let stop_signal = listen::StopSignal::install()?;
    let server = listen::serve_callers(&gw)?;
    listen::serve_readiness(&gw, &metrics)?;
    actix_rt::spawn(follow::follow(gw.clone(), store.clone()));
    actix_rt::spawn(probe::probe_unconnectable(gw.clone()));
    actix_rt::spawn(crash::check_upstreams(gw.clone()));
    actix_rt::spawn(leading::lead(gw.clone(), store.clone()));
    actix_rt::spawn(follow::tidy(gw.clone()));
    let exchange = messages::exchange(gw.clone(), store.clone());
    actix_rt::spawn(async move {
        if let Err(err) = exchange.await {
            log::error!("nothing is exchanged with other boxes: {err}");
        }
    });
    let settings = gw.settings();
    log::info!(
        box_name = gw.incarnation.as_str(),
        hall = settings.hall.as_str(),
        callers = settings.caller_addr.to_string().as_str();
        "started"
    );
    listen::reload_on_sighup(gw.clone(), reload)?;
    stop_signal.wait().await;
    listen::drain(&gw, server, &*store).await;
    Ok(())
}
