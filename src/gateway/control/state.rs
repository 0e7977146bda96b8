//! The control-plane state of a box: configuration, upstreams, roll-outs and registered boxes.
//!
//! One rule holds for every source: only a higher version or revision replaces existing state, so
//! the state never goes back while the process runs. See `docs/design/platform.md`.

use super::change::Change;
use super::lag::Lag;
use super::restoration::Restoration;
use super::rollout::Rollout;
use super::store::{BoxEntry, ListedUpstream, RolloutOrder, RolloutRecord, Update, UpstreamLife};
use super::store_reach::{SilentCall, StoreReach};
use crate::clock::Now;
use crate::gateway::admit::routes::RouteTable;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::place::warm_up::WarmUp;
use crate::gateway::settings::Bounds;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How long an upstream is still used after its entry expired during a store outage. According to
/// the users, entries of live upstreams are back within about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2100);

/// How long a box that is no longer registered may still run: longer than most outages of the
/// store.
const FORMER_BOX_RETENTION: Duration = Duration::from_secs(30);

/// The age of the state from which the store may have been down. Hubs and staleness checks keep the
/// age below two seconds as long as there is any way to the store, and entries expire after three
/// heartbeats of 1.2 s at the earliest.
const SUSPECTED_OUTAGE_AGE: Duration = Duration::from_millis(2200);

/// The control-plane state of a box.
#[derive(Debug, Default)]
pub struct ControlPlaneState {
    routes: Option<Arc<RouteTable>>,
    upstreams: HashMap<String, Rc<Upstream>>,
    /// Why entries of upstreams could not be decoded, by id.
    faulty: HashMap<String, String>,
    rollouts: HashMap<String, Rollout>,
    /// Whether each service was recorded to be limited, and the revision of the record.
    limit_records: HashMap<String, (bool, u64)>,
    boxes: BTreeMap<String, BoxEntry>,
    /// The addresses of boxes that are no longer registered, and since when.
    former_boxes: HashMap<SocketAddr, Duration>,
    confirmed_at: Option<Duration>,
    lag: Lag,
    store_reach: StoreReach,
    store_recovering_until: Option<Duration>,
    /// Upstream incarnations that have announced in an answer that they leave, and when.
    leaving: HashMap<UpstreamLife, Duration>,
    /// Upstream incarnations that are no longer listed, and since when.
    gone: HashMap<UpstreamLife, Duration>,
    /// The halls that operators have evacuated.
    evacuated: BTreeSet<String>,
    restoration: Restoration,
}

/// How long an announcement, or that an upstream is gone, is kept after the upstream is no longer
/// listed, since a late entry of the same incarnation may still arrive.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// The configuration that decided about a request, and what was known of its freshness then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ConfigBasis {
    /// The version of the configuration.
    pub version: u64,
    /// The time since the state was last confirmed to be current; `None` if it never was.
    pub age: Option<Duration>,
    /// How long the box had known that it lacks something newer; `None` if it lacked nothing.
    pub lag: Option<Duration>,
}

/// How fresh the configuration is, which determines the answers that a box may give.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigFreshness {
    /// No newer configuration exists that callers may rely on.
    Current,
    /// No key was revoked so long ago that it must no longer be accepted; recent additions may be
    /// missing.
    KeysValid,
    /// There is no recent confirmation that the configuration is current, and no evidence that it
    /// is not; the box cannot reach the store.
    Unconfirmed,
    /// A newer configuration may have existed for so long that it must be in force by now.
    Outdated,
}

impl ControlPlaneState {
    /// Records a revision of data that is about to be applied. If it shows that the store was
    /// restored from an older copy, what the copy lacks is kept until it is written again.
    pub fn observe_revision(&mut self, revision: u64, now: Now) {
        if self.restoration.observe(revision, now) {
            self.store_recovering_until = Some(now.monotonic + LAPSE_GRACE);
        }
    }

    /// Applies one update, unless it is an older state from a restored store; then it is applied
    /// once lost changes are no longer expected to be written again.
    pub fn apply(&mut self, update: Update, now: Now) -> Change {
        if self.restoration.is_active(now) {
            if self.is_older_state(&update) {
                self.restoration.defer(update);
                return Change::Nothing;
            }
            self.restoration.cancel_deferred(&update);
        }
        self.apply_now(update, now)
    }

    /// Applies the deferred updates that are due.
    pub fn apply_deferred(&mut self, now: Now) -> Vec<Change> {
        let due = self.restoration.take_due(now);
        due.into_iter()
            .map(|update| self.apply_now(update, now))
            .collect()
    }

    /// Returns whether an update from a store that was just restored may only be older than what
    /// this box knows.
    fn is_older_state(&self, update: &Update) -> bool {
        match update {
            Update::Upstream(listed) => {
                let incarnation = listed.incarnation();
                !self.upstreams.contains_key(&listed.instance)
                    && self.gone.contains_key(&incarnation)
            }
            Update::RolloutOrdered(order) => {
                let known = self.known_order(&order.service);
                known.is_some_and(|known| !known.has_same_content(order))
                    && !self.restoration.precedes(order.revision)
            }
            Update::RolloutCancelled(service) => self.known_order(service).is_some(),
            Update::HallReturned(hall) => self.evacuated.contains(hall),
            Update::BoxGone(name) => self.boxes.contains_key(name),
            _ => false,
        }
    }

    fn known_order(&self, service: &str) -> Option<&RolloutOrder> {
        let (order, _) = self.rollouts.get(service)?.order.as_ref()?;
        Some(order)
    }

    fn apply_now(&mut self, update: Update, now: Now) -> Change {
        match update {
            Update::Routes(routes) => self.apply_routes(routes),
            Update::Upstream(listed) => self.apply_upstream(*listed, now),
            Update::UpstreamGone(instance) => self.handle_missing_upstream(&instance, now),
            Update::UpstreamFaulty { instance, reason } => self.apply_faulty(instance, reason),
            Update::RolloutOrdered(order) => self.apply_order(order, now),
            Update::RolloutCancelled(service) => {
                self.rollouts.entry(service.clone()).or_default().order = None;
                Change::Rollout(service)
            }
            Update::LimitRecorded(record, revision) => {
                let service = record.service;
                let recorded = (record.is_limited, revision);
                match self.limit_records.insert(service.clone(), recorded) == Some(recorded) {
                    true => Change::Nothing,
                    false => Change::Limits(service),
                }
            }
            Update::LimitRecordGone(service) => match self.limit_records.remove(&service) {
                Some(_) => Change::Limits(service),
                None => Change::Nothing,
            },
            Update::RolloutRecorded(record, revision) => self.apply_record(record, revision, now),
            Update::RolloutRecordGone(service) => {
                let rollout = self.rollouts.entry(service.clone()).or_default();
                match rollout.handle_missing_record() {
                    true => Change::Rollout(service),
                    false => Change::Nothing,
                }
            }
            Update::HallEvacuated(hall) => self.evacuate_hall(hall),
            Update::HallReturned(hall) => self.restore_hall(hall, now),
            Update::Box(entry) => self.apply_box(entry),
            Update::BoxGone(name) => match self.boxes.remove(&name) {
                Some(entry) => {
                    self.former_boxes.insert(entry.address, now.monotonic);
                    Change::BoxGone(name)
                }
                None => Change::Nothing,
            },
            Update::Faulty { item, reason } => Change::Faulty { item, reason },
        }
    }

    fn apply_routes(&mut self, routes: Arc<RouteTable>) -> Change {
        let known = self.routes.as_ref().map_or(0, |known| known.version);
        if self.routes.is_some() && routes.version <= known {
            return Change::Nothing;
        }
        let version = routes.version;
        self.routes = Some(routes);
        Change::Routes(version)
    }

    /// Applies an upstream's entry, including the consequences of its hall's evacuation and of its
    /// warm-up.
    fn apply_upstream(&mut self, mut listed: ListedUpstream, now: Now) -> Change {
        let instance = listed.instance.clone();
        self.gone.remove(&listed.incarnation());
        if self.restoration.is_active(now) {
            listed.draining |= self.is_known_to_drain(&listed.incarnation());
        }
        let is_evacuated = self.evacuated.contains(&listed.hall);
        let warm_up_left = listed.warm_up_left;
        let change = self.apply_entry(listed);
        if let Some(upstream) = self.upstreams.get(&instance)
            && change != Change::Nothing
        {
            upstream.set_evacuated(is_evacuated);
            upstream.begin_warm_up(warm_up_left, now);
        }
        change
    }

    fn is_known_to_drain(&self, incarnation: &UpstreamLife) -> bool {
        let known = self.upstreams.get(&incarnation.instance);
        known.is_some_and(|known| {
            known.incarnation() == incarnation && known.with_listed(|listed| listed.draining)
        })
    }

    /// Applies an upstream's entry, which is newer than the known one.
    ///
    /// What was recorded about the upstream is kept only if the entry belongs to the same
    /// incarnation. The store revision decides which of two entries is newer, not the start time:
    /// an upstream's clock may be wrong, and an entry by another writer with a start time far in
    /// the future would otherwise block the upstream's own entries for good.
    fn apply_entry(&mut self, listed: ListedUpstream) -> Change {
        let instance = listed.instance.clone();
        let known = self.upstreams.get(&instance);
        if listed.born.is_none() && known.is_some_and(|known| known.incarnation().born.is_some()) {
            let reason = "the entry no longer states when the upstream started".to_owned();
            return self.apply_faulty(instance, reason);
        }
        self.faulty.remove(&instance);
        match known {
            Some(known) if *known.incarnation() != listed.incarnation() => {
                let restarted = Upstream::new(listed);
                let incarnation = restarted.incarnation().clone();
                self.upstreams.insert(instance, restarted);
                Change::UpstreamReborn(incarnation)
            }
            Some(known) if known.lapsed_at().is_none() && known.listed() == listed => {
                Change::Nothing
            }
            Some(known) => {
                known.update_listing(listed);
                Change::UpstreamChanged(instance)
            }
            None => {
                self.upstreams
                    .insert(instance.clone(), Upstream::new(listed));
                Change::UpstreamAdded(instance)
            }
        }
    }

    fn apply_faulty(&mut self, instance: String, reason: String) -> Change {
        self.upstreams.remove(&instance);
        let known = self.faulty.insert(instance.clone(), reason.clone());
        match known {
            Some(known) if known == reason => Change::Nothing,
            _ => Change::UpstreamFaulty { instance, reason },
        }
    }

    fn handle_missing_upstream(&mut self, instance: &str, now: Now) -> Change {
        self.faulty.remove(instance);
        let Some(known) = self.upstreams.get(instance) else {
            return Change::Nothing;
        };
        if self.is_store_recovering(now) && !self.is_leaving(known) {
            let is_new = known.lapsed_at().is_none();
            known.lapse(now);
            return match is_new {
                true => Change::UpstreamLapsed(instance.to_owned()),
                false => Change::Nothing,
            };
        }
        let incarnation = known.incarnation().clone();
        self.gone.insert(incarnation, now.monotonic);
        self.upstreams.remove(instance);
        Change::UpstreamRemoved(instance.to_owned())
    }

    fn evacuate_hall(&mut self, hall: String) -> Change {
        if !self.evacuated.insert(hall.clone()) {
            return Change::Nothing;
        }
        for upstream in self.upstreams_of_hall(&hall) {
            upstream.set_evacuated(true);
        }
        Change::HallEvacuated(hall)
    }

    /// Returns a hall's upstreams to use. They got no requests for a while, so they may have become
    /// cold since they last stated their warm-up time.
    fn restore_hall(&mut self, hall: String, now: Now) -> Change {
        if !self.evacuated.remove(&hall) {
            return Change::Nothing;
        }
        for upstream in self.upstreams_of_hall(&hall) {
            upstream.set_evacuated(false);
            let service = upstream.with_listed(|listed| listed.service.clone());
            if let Some(warm_up) = self.warm_up(&service) {
                upstream.begin_warm_up(warm_up.duration, now);
            }
        }
        Change::HallReturned(hall)
    }

    fn upstreams_of_hall<'a>(&'a self, hall: &'a str) -> impl Iterator<Item = &'a Rc<Upstream>> {
        let is_there =
            move |upstream: &&Rc<Upstream>| upstream.with_listed(|listed| listed.hall == hall);
        self.upstreams.values().filter(is_there)
    }

    /// Returns the load limit of a service's upstreams while they warm up; `None` if there is no
    /// limit.
    pub fn warm_up(&self, service: &str) -> Option<WarmUp> {
        self.routes.as_ref()?.services.get(service)?.warm_up
    }

    fn apply_order(&mut self, order: RolloutOrder, now: Now) -> Change {
        let service = order.service.clone();
        let is_restored = self.restoration.is_active(now);
        let known = self.known_order(&service);
        if is_restored && known.is_some_and(|known| known.has_same_content(&order)) {
            return Change::Nothing;
        }
        let rollout = self.rollouts.entry(service.clone()).or_default();
        match rollout.apply_order(order, now) {
            true => Change::Rollout(service),
            false => Change::Nothing,
        }
    }

    fn apply_record(&mut self, record: RolloutRecord, revision: u64, now: Now) -> Change {
        let service = record.service.clone();
        let rollout = self.rollouts.entry(service.clone()).or_default();
        match rollout.apply_record(record, revision, now) {
            true => Change::Rollout(service),
            false => Change::Nothing,
        }
    }

    fn apply_box(&mut self, entry: BoxEntry) -> Change {
        match self.boxes.insert(entry.name.clone(), entry.clone()) {
            Some(known) if known == entry => Change::Nothing,
            _ => Change::BoxAdded(entry.name),
        }
    }

    /// Records a confirmation that everything acknowledged before `sent` is known: a linearizable
    /// read sent at that time has been answered, and its revision has been reached.
    pub fn confirm(&mut self, sent: Duration) {
        self.confirmed_at = Some(self.confirmed_at.map_or(sent, |known| known.max(sent)));
    }

    /// Returns whether there are routes and whether the state was ever confirmed to be current.
    pub fn has_confirmed_routes(&self) -> bool {
        self.routes.is_some() && self.confirmed_at.is_some()
    }

    /// Returns the time since the state was last confirmed to be current; `None` if it never was.
    pub fn age(&self, now: Now) -> Option<Duration> {
        self.confirmed_at.map(|at| now.monotonic.saturating_sub(at))
    }

    /// Records that the store or another box has a revision that this box lacks.
    pub fn record_newer_revision(&mut self, revision: u64, now: Now) {
        self.lag.record_newer_revision(revision, now);
    }

    /// Records that this box has reached a revision.
    pub fn record_reached_revision(&mut self, revision: u64) {
        self.lag.record_reached_revision(revision);
    }

    /// Returns how long this box has been behind, as long as it still gets reports of newer
    /// revisions; `None` if it has reached the reported revision.
    pub fn lag(&self, now: Now) -> Option<Duration> {
        self.lag.duration(now)
    }

    /// Returns what a decision by the configuration rests on now.
    pub fn config_basis(&self, now: Now) -> ConfigBasis {
        ConfigBasis {
            version: self.routes.as_ref().map_or(0, |routes| routes.version),
            age: self.age(now),
            lag: self.lag.known_for(now),
        }
    }

    /// Returns how long a call of this box to the store may stay unanswered until the store counts
    /// as lost to it.
    pub fn store_silence_limit(&self) -> Duration {
        self.store_reach.silence_limit()
    }

    /// Returns whether the store answers slowly.
    pub fn is_store_slow(&self) -> bool {
        self.store_reach.is_slow()
    }

    /// Records that a call has stayed unanswered for that long; the store counts as lost until the
    /// result is dropped.
    pub fn begin_store_silence(&self) -> SilentCall {
        self.store_reach.begin_silence()
    }

    /// Records how long the store took to answer a call that asks for little.
    pub fn record_store_answer_time(&mut self, took: Duration) {
        self.store_reach.record_answer_time(took);
    }

    /// Records that a call of this box to the store failed.
    pub fn record_store_failure(&mut self, now: Now) {
        self.store_reach.record_failure(now);
    }

    /// Records that the store answered a call of this box.
    pub fn record_store_answer(&mut self, now: Now) {
        self.store_reach.record_answer(now);
    }

    /// Returns how fresh the configuration is.
    ///
    /// A confirmation proves that everything acknowledged before it is in force, so within the
    /// operators' bound it is no matter whether newer revisions are known. Past the bound, a box
    /// that reaches the store must not decide by what it has: that it was told of nothing newer
    /// proves nothing. One that is cut off cannot do better. See `docs/design/spreading.md`.
    pub fn freshness(&self, bounds: &Bounds, now: Now) -> ConfigFreshness {
        let lag = self.lag(now);
        if lag.is_some_and(|lag| lag > bounds.max_config_lag()) {
            return ConfigFreshness::Outdated;
        }
        let is_younger = |than: Duration| self.age(now).is_some_and(|age| age < than);
        let is_cut_off = || self.store_reach.is_lost(self.confirmed_at, now);
        if !is_younger(bounds.config_delay) && !is_cut_off() {
            return ConfigFreshness::Outdated;
        }
        if lag.is_none() && is_younger(bounds.max_denial_proof_age()) {
            return ConfigFreshness::Current;
        }
        match is_younger(bounds.max_key_proof_age()) {
            true => ConfigFreshness::KeysValid,
            false => ConfigFreshness::Unconfirmed,
        }
    }

    /// Records that data from the store is about to be applied.
    ///
    /// If the state was not confirmed by any path for a while, and calls of this box to the store
    /// failed meanwhile, the store may have been down, and entries that are missing now may belong
    /// to live upstreams. An outage of the store seen by only one box or hub does not count,
    /// because the other boxes keep this box's state fresh; nor does the delay of a box that was
    /// behind.
    pub fn record_store_contact(&mut self, now: Now) {
        let is_old = self.age(now).is_some_and(|age| age > SUSPECTED_OUTAGE_AGE);
        if is_old && self.store_reach.has_failed_since(self.confirmed_at) {
            let until = now.monotonic + LAPSE_GRACE;
            let known = self.store_recovering_until.unwrap_or_default();
            if known < now.monotonic {
                self.store_recovering_until = Some(until);
            }
        }
    }

    fn is_store_recovering(&self, now: Now) -> bool {
        self.store_recovering_until
            .is_some_and(|until| now.monotonic < until)
    }

    /// Removes upstreams whose entries are still missing after the store has recovered.
    pub fn remove_lapsed_upstreams(&mut self, now: Now) -> Vec<Change> {
        if self.is_store_recovering(now) {
            return Vec::new();
        }
        let gone: Vec<String> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.lapsed_at().is_some())
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in &gone {
            if let Some(upstream) = self.upstreams.remove(instance) {
                self.gone
                    .insert(upstream.incarnation().clone(), now.monotonic);
            }
        }
        gone.into_iter().map(Change::UpstreamRemoved).collect()
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> Option<&Arc<RouteTable>> {
        self.routes.as_ref()
    }

    /// Returns the upstreams of a service that take new requests.
    ///
    /// Upstreams whose entries expired are included only until the store has recovered.
    pub fn available_upstreams(&self, service: &str, now: Now) -> Vec<Rc<Upstream>> {
        let is_settled = !self.is_store_recovering(now);
        let is_open = |upstream: &&Rc<Upstream>| {
            let is_gone = is_settled && upstream.lapsed_at().is_some();
            let serves = upstream.with_listed(|listed| listed.service == service);
            serves && !is_gone && !upstream.is_evacuated() && !self.is_leaving(upstream)
        };
        self.upstreams.values().filter(is_open).cloned().collect()
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Rc<Upstream>> {
        self.upstreams.values()
    }

    /// Returns a listed upstream by its incarnation.
    pub fn upstream(&self, incarnation: &UpstreamLife) -> Option<&Rc<Upstream>> {
        let known = self.upstreams.get(&incarnation.instance)?;
        (known.incarnation() == incarnation).then_some(known)
    }

    /// Returns whether this upstream incarnation is listed and not leaving.
    pub fn is_serving(&self, incarnation: &UpstreamLife) -> bool {
        let known = self.upstreams.get(&incarnation.instance);
        known.is_some_and(|known| known.incarnation() == incarnation && !self.is_leaving(known))
    }

    /// Returns whether an upstream is leaving, according to its entry or to an announcement in an
    /// answer.
    fn is_leaving(&self, upstream: &Upstream) -> bool {
        let is_draining = upstream.with_listed(|listed| listed.draining);
        is_draining || self.leaving.contains_key(upstream.incarnation())
    }

    /// Records that this upstream incarnation has announced in an answer that it leaves; no later
    /// entry revokes that. Returns whether the announcement is new.
    pub fn record_leaving(&mut self, incarnation: &UpstreamLife, now: Now) -> bool {
        self.leaving
            .insert(incarnation.clone(), now.monotonic)
            .is_none()
    }

    /// Removes the announcements of upstreams that left long ago.
    pub fn prune_leaving(&mut self, now: Now) {
        let upstreams = &self.upstreams;
        self.leaving.retain(|incarnation, recorded| {
            let known = upstreams.get(&incarnation.instance);
            let is_listed = known.is_some_and(|known| known.incarnation() == incarnation);
            is_listed || now.monotonic.saturating_sub(*recorded) < LEAVING_RETENTION
        });
        self.former_boxes
            .retain(|_, since| now.monotonic.saturating_sub(*since) < FORMER_BOX_RETENTION);
        self.gone
            .retain(|_, since| now.monotonic.saturating_sub(*since) < LEAVING_RETENTION);
    }

    /// Removes an upstream whose address answered for another instance, unless it has restarted in
    /// the meantime.
    pub fn remove_upstream(&mut self, incarnation: &UpstreamLife) {
        let known = self.upstreams.get(&incarnation.instance);
        if known.is_some_and(|known| known.incarnation() == incarnation) {
            self.upstreams.remove(&incarnation.instance);
        }
    }

    /// Returns the number of upstreams whose entries cannot be decoded.
    pub fn faulty_upstream_count(&self) -> usize {
        self.faulty.len()
    }

    /// Returns the roll-out of a service.
    pub fn rollout(&self, service: &str) -> Option<&Rollout> {
        self.rollouts.get(service)
    }

    /// Returns whether a service was recorded to state rejection limits, and the revision of the record;
    /// 0 if there is none.
    pub fn limit_record(&self, service: &str) -> (bool, u64) {
        let recorded = self.limit_records.get(service).copied();
        recorded.unwrap_or_default()
    }

    /// Returns the services with a record of their limits.
    pub fn services_with_limit_records(&self) -> impl Iterator<Item = &str> {
        self.limit_records.keys().map(String::as_str)
    }

    /// Returns the roll-outs by service.
    pub fn rollouts(&self) -> &HashMap<String, Rollout> {
        &self.rollouts
    }

    /// Returns the registered boxes.
    pub fn boxes(&self) -> impl Iterator<Item = &BoxEntry> {
        self.boxes.values()
    }

    /// Returns the number of registered boxes.
    pub fn box_count(&self) -> usize {
        self.boxes.len()
    }

    /// Returns the addresses of the boxes that are registered, or were until recently: while the
    /// store loses all registrations at once, the boxes still run.
    pub fn recent_box_addresses(&self) -> Vec<SocketAddr> {
        let registered = self.boxes().map(|entry| entry.address);
        let former = self.former_boxes.keys().copied();
        let addresses: BTreeSet<SocketAddr> = registered.chain(former).collect();
        addresses.into_iter().collect()
    }

    /// Returns the registered boxes, the one registered longest first.
    pub fn boxes_by_registration(&self) -> Vec<&BoxEntry> {
        let mut boxes: Vec<&BoxEntry> = self.boxes().collect();
        boxes.sort_by_key(|entry| entry.registered);
        boxes
    }

    /// Returns whether any roll-out is running.
    pub fn has_running_rollout(&self) -> bool {
        self.running_rollouts().next().is_some()
    }

    /// Returns the running roll-outs, each with its order.
    pub fn running_rollouts(&self) -> impl Iterator<Item = (&RolloutOrder, &Rollout)> {
        self.rollouts.values().filter_map(|rollout| {
            let (order, _) = rollout.order.as_ref()?;
            rollout.running_record(order).map(|_| (order, rollout))
        })
    }

    /// Applies the elapsed time since an order that another box reported.
    pub fn apply_reported_elapsed(&mut self, order: u64, elapsed: Duration, now: Now) {
        let mut rollouts = self.rollouts.values_mut();
        if let Some(rollout) = rollouts.find(|rollout| rollout.has_order(order)) {
            rollout.apply_reported_elapsed(order, elapsed, now);
        }
    }
}
