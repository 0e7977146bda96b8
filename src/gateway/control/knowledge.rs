//! What a box knows of the operators' wishes, the upstreams and the other boxes.
//!
//! One rule holds for every source: only a higher version or revision replaces what is
//! known, so nothing ever goes back within a life. See `docs/design/platform.md`.

use super::lag::Lag;
use super::rollout::Rollout;
use super::store::{BoxEntry, ListedUpstream, RolloutOrder, RolloutRecord, Update, UpstreamLife};
use crate::clock::Now;
use crate::gateway::admit::routes::RouteTable;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::place::warm_up::WarmUp;
use crate::gateway::settings::Bounds;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How long an upstream whose entry lapsed with the store's outage is still used. The
/// users say that entries of live upstreams are back within about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2100);

/// The age of knowledge from which the store may have been down. Hubs and checks keep it
/// under two seconds as long as any way to the store is left, and entries lapse after
/// three heartbeats of 1.2 s at the earliest.
const OUTAGE_AGE: Duration = Duration::from_millis(2200);

/// What a box knows.
#[derive(Debug, Default)]
pub struct Knowledge {
    routes: Option<Arc<RouteTable>>,
    upstreams: HashMap<String, Rc<Upstream>>,
    /// What is wrong with the entries of upstreams that cannot be read, by id.
    faulty: HashMap<String, String>,
    rollouts: HashMap<String, Rollout>,
    boxes: BTreeMap<String, BoxEntry>,
    confirmed: Option<Duration>,
    lag: Lag,
    store_unsettled_until: Option<Duration>,
    /// The lives of upstreams that have said in an answer that they leave, and when.
    leaving: HashMap<UpstreamLife, Duration>,
    /// The halls to whose upstreams the operators want nothing more sent.
    evacuated: BTreeSet<String>,
}

/// How long it is remembered that an upstream leaves which is not listed any more: a late entry of
/// its life may still come.
const LEAVING_REMEMBERED: Duration = Duration::from_secs(600);

/// What a box may say by the configuration that it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// Nothing newer exists that callers may count on.
    Newest,
    /// No key was taken away so long ago that it must not serve any more; what was added
    /// may be missing.
    KeysHold,
    /// Nothing proves any more that it still holds, nor that it does not.
    None,
    /// Something newer has existed for so long that it has to be in force.
    Outdated,
}

/// What an update changed, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Nothing: it was known or older.
    Nothing,
    /// The routes are now of this version.
    Routes(u64),
    /// An upstream is new.
    UpstreamAdded(String),
    /// An upstream is leaving or came back.
    UpstreamChanged(String),
    /// An upstream has started again under its id.
    UpstreamReborn(UpstreamLife),
    /// An upstream is gone.
    UpstreamRemoved(String),
    /// An upstream's entry is missing while the store is unsettled.
    UpstreamLapsed(String),
    /// The operators have evacuated this hall.
    HallEvacuated(String),
    /// The operators have given this hall back.
    HallReturned(String),
    /// A roll-out of this service was ordered, taken on or cancelled.
    Rollout(String),
    /// A box has registered.
    BoxAdded(String),
    /// A box's entry is gone.
    BoxGone(String),
    /// An upstream's entry could not be read, so the upstream is not used.
    UpstreamFaulty {
        /// The upstream's id.
        instance: String,
        /// What is wrong with the entry.
        reason: String,
    },
    /// An item could not be read.
    Faulty {
        /// The item's key in the store.
        item: String,
        /// What is wrong with it.
        reason: String,
    },
}

impl Change {
    /// Tells whether something was added, as nearly all is when a box starts.
    pub fn is_addition(&self) -> bool {
        matches!(self, Self::UpstreamAdded(_) | Self::BoxAdded(_))
    }
}

impl Knowledge {
    /// Takes one update.
    pub fn apply(&mut self, update: Update, now: Now) -> Change {
        match update {
            Update::Routes(routes) => self.take_routes(routes),
            Update::Upstream(listed) => self.take_upstream(*listed, now),
            Update::UpstreamGone(instance) => self.drop_upstream(&instance, now),
            Update::UpstreamFaulty { instance, reason } => self.take_faulty(instance, reason),
            Update::RolloutOrdered(order) => self.take_order(order, now),
            Update::RolloutCancelled(service) => {
                self.rollouts.entry(service.clone()).or_default().order = None;
                Change::Rollout(service)
            }
            Update::RolloutStage(record, revision) => self.take_record(record, revision, now),
            Update::HallEvacuated(hall) => self.evacuate(hall),
            Update::HallReturned(hall) => self.give_back(hall, now),
            Update::Box(entry) => self.take_box(entry),
            Update::BoxGone(name) => match self.boxes.remove(&name) {
                Some(_) => Change::BoxGone(name),
                None => Change::Nothing,
            },
            Update::Faulty { item, reason } => Change::Faulty { item, reason },
        }
    }

    fn take_routes(&mut self, routes: Arc<RouteTable>) -> Change {
        let known = self.routes.as_ref().map_or(0, |known| known.version);
        if self.routes.is_some() && routes.version <= known {
            return Change::Nothing;
        }
        let version = routes.version;
        self.routes = Some(routes);
        Change::Routes(version)
    }

    /// Takes an upstream's entry with what follows from its hall and from its start.
    fn take_upstream(&mut self, listed: ListedUpstream, now: Now) -> Change {
        let instance = listed.instance.clone();
        let is_evacuated = self.evacuated.contains(&listed.hall);
        let warm_up_left = listed.warm_up_left;
        let change = self.take_entry(listed);
        if let Some(upstream) = self.upstreams.get(&instance)
            && change != Change::Nothing
        {
            upstream.set_evacuated(is_evacuated);
            upstream.begin_warm_up(warm_up_left, now);
        }
        change
    }

    /// Takes an upstream's entry, which is newer than the one known.
    ///
    /// What was remembered of the upstream stays only if the entry is of the same life. Which
    /// of two entries is newer is the store's revision to tell and not the time of birth: an
    /// upstream's clock may be wrong, and an entry with a birth far in the future, by another
    /// writer, would else keep the upstream's own entries out for good.
    fn take_entry(&mut self, listed: ListedUpstream) -> Change {
        let instance = listed.instance.clone();
        let known = self.upstreams.get(&instance);
        if listed.born.is_none() && known.is_some_and(|known| known.life().born.is_some()) {
            let reason = "it does not say any more when the upstream started".to_owned();
            return self.take_faulty(instance, reason);
        }
        self.faulty.remove(&instance);
        match known {
            Some(known) if *known.life() != listed.life() => {
                let reborn = Upstream::new(listed);
                let life = reborn.life().clone();
                self.upstreams.insert(instance, reborn);
                Change::UpstreamReborn(life)
            }
            Some(known) if known.lapsed_at().is_none() && known.listed() == listed => {
                Change::Nothing
            }
            Some(known) => {
                known.relist(listed);
                Change::UpstreamChanged(instance)
            }
            None => {
                self.upstreams
                    .insert(instance.clone(), Upstream::new(listed));
                Change::UpstreamAdded(instance)
            }
        }
    }

    fn take_faulty(&mut self, instance: String, reason: String) -> Change {
        self.upstreams.remove(&instance);
        let known = self.faulty.insert(instance.clone(), reason.clone());
        match known {
            Some(known) if known == reason => Change::Nothing,
            _ => Change::UpstreamFaulty { instance, reason },
        }
    }

    fn drop_upstream(&mut self, instance: &str, now: Now) -> Change {
        self.faulty.remove(instance);
        let Some(known) = self.upstreams.get(instance) else {
            return Change::Nothing;
        };
        if self.store_is_unsettled(now) && !self.is_about_to_leave(known) {
            let is_new = known.lapsed_at().is_none();
            known.lapse(now);
            return match is_new {
                true => Change::UpstreamLapsed(instance.to_owned()),
                false => Change::Nothing,
            };
        }
        self.upstreams.remove(instance);
        Change::UpstreamRemoved(instance.to_owned())
    }

    fn evacuate(&mut self, hall: String) -> Change {
        if !self.evacuated.insert(hall.clone()) {
            return Change::Nothing;
        }
        for upstream in self.upstreams_of_hall(&hall) {
            upstream.set_evacuated(true);
        }
        Change::HallEvacuated(hall)
    }

    /// Takes a hall's upstreams into use again. Nobody has asked them for a while, so they may
    /// have turned cold since they last said anything.
    fn give_back(&mut self, hall: String, now: Now) -> Change {
        if !self.evacuated.remove(&hall) {
            return Change::Nothing;
        }
        for upstream in self.upstreams_of_hall(&hall) {
            upstream.set_evacuated(false);
            let service = upstream.with_listed(|listed| listed.service.clone());
            if let Some(warm_up) = self.warm_up(&service) {
                upstream.begin_warm_up(warm_up.lasts, now);
            }
        }
        Change::HallReturned(hall)
    }

    fn upstreams_of_hall<'a>(&'a self, hall: &'a str) -> impl Iterator<Item = &'a Rc<Upstream>> {
        let is_there =
            move |upstream: &&Rc<Upstream>| upstream.with_listed(|listed| listed.hall == hall);
        self.upstreams.values().filter(is_there)
    }

    /// Returns what the upstreams of a service bear while they warm up; none if they bear all.
    pub fn warm_up(&self, service: &str) -> Option<WarmUp> {
        self.routes.as_ref()?.services.get(service)?.warm_up
    }

    fn take_order(&mut self, order: RolloutOrder, now: Now) -> Change {
        let service = order.service.clone();
        let rollout = self.rollouts.entry(service.clone()).or_default();
        match rollout.take_order(order, now) {
            true => Change::Rollout(service),
            false => Change::Nothing,
        }
    }

    fn take_record(&mut self, record: RolloutRecord, revision: u64, now: Now) -> Change {
        let service = record.service.clone();
        let rollout = self.rollouts.entry(service.clone()).or_default();
        match rollout.take_record(record, revision, now) {
            true => Change::Rollout(service),
            false => Change::Nothing,
        }
    }

    fn take_box(&mut self, entry: BoxEntry) -> Change {
        match self.boxes.insert(entry.name.clone(), entry.clone()) {
            Some(known) if known == entry => Change::Nothing,
            _ => Change::BoxAdded(entry.name),
        }
    }

    /// Records that everything acknowledged before `sent` is known: a linearizable call
    /// sent then was answered, and its revision has been reached.
    pub fn confirm(&mut self, sent: Duration) {
        self.confirmed = Some(self.confirmed.map_or(sent, |known| known.max(sent)));
    }

    /// Tells whether there are routes, and whether there ever was a proof that nothing newer
    /// exists.
    pub fn is_proved(&self) -> bool {
        self.routes.is_some() && self.confirmed.is_some()
    }

    /// Returns how old the last proof is that nothing newer exists; none if there never
    /// was one.
    pub fn age(&self, now: Now) -> Option<Duration> {
        self.confirmed.map(|at| now.monotonic.saturating_sub(at))
    }

    /// Records that the store, or another box, has reached a revision that this one lacks.
    pub fn hear_of_newer(&mut self, revision: u64, now: Now) {
        self.lag.hear_of_newer(revision, now);
    }

    /// Records that a revision has been reached.
    pub fn reach(&mut self, revision: u64) {
        self.lag.reach(revision);
    }

    /// Returns how long this box has known that something newer exists, while it still hears
    /// so; none if it has the newest that it heard of.
    pub fn lag(&self, now: Now) -> Option<Duration> {
        self.lag.lasts(now)
    }

    /// Returns what this box may say by what it has.
    pub fn proof(&self, bounds: &Bounds, now: Now) -> Proof {
        let lag = self.lag(now);
        if lag.is_some_and(|lag| lag > bounds.max_config_lag()) {
            return Proof::Outdated;
        }
        let is_younger = |than: Duration| self.age(now).is_some_and(|age| age < than);
        if lag.is_none() && is_younger(bounds.max_denial_proof_age()) {
            return Proof::Newest;
        }
        match is_younger(bounds.max_key_proof_age()) {
            true => Proof::KeysHold,
            false => Proof::None,
        }
    }

    /// Records that something of the store is about to be taken in.
    ///
    /// When nothing was heard of the store for a while, by no way, it may have been down,
    /// and entries that vanish now may belong to live upstreams. A box or a hub that alone
    /// was turned away does not count: others have kept this one's knowledge fresh.
    pub fn hear_of_store(&mut self, now: Now) {
        if self.age(now).is_some_and(|age| age > OUTAGE_AGE) {
            let until = now.monotonic + LAPSE_GRACE;
            let known = self.store_unsettled_until.unwrap_or_default();
            if known < now.monotonic {
                self.store_unsettled_until = Some(until);
            }
        }
    }

    fn store_is_unsettled(&self, now: Now) -> bool {
        self.store_unsettled_until
            .is_some_and(|until| now.monotonic < until)
    }

    /// Removes upstreams whose entries stayed away after the store had settled.
    pub fn drop_lapsed(&mut self, now: Now) -> Vec<Change> {
        if self.store_is_unsettled(now) {
            return Vec::new();
        }
        let gone: Vec<String> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.lapsed_at().is_some())
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in &gone {
            self.upstreams.remove(instance);
        }
        gone.into_iter().map(Change::UpstreamRemoved).collect()
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> Option<&Arc<RouteTable>> {
        self.routes.as_ref()
    }

    /// Returns the upstreams of a service that take new work.
    ///
    /// Those whose entries lapsed take it only until the store has settled.
    pub fn open_upstreams(&self, service: &str, now: Now) -> Vec<Rc<Upstream>> {
        let is_settled = !self.store_is_unsettled(now);
        let is_open = |upstream: &&Rc<Upstream>| {
            let is_gone = is_settled && upstream.lapsed_at().is_some();
            let serves = upstream.with_listed(|listed| listed.service == service);
            serves && !is_gone && !upstream.is_evacuated() && !self.is_about_to_leave(upstream)
        };
        self.upstreams.values().filter(is_open).cloned().collect()
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Rc<Upstream>> {
        self.upstreams.values()
    }

    /// Tells whether this life of an upstream is listed and is not about to leave.
    pub fn is_serving(&self, life: &UpstreamLife) -> bool {
        let known = self.upstreams.get(&life.instance);
        known.is_some_and(|known| known.life() == life && !self.is_about_to_leave(known))
    }

    /// Tells whether an upstream says that it leaves, by its entry or by an answer.
    fn is_about_to_leave(&self, upstream: &Upstream) -> bool {
        let is_draining = upstream.with_listed(|listed| listed.draining);
        is_draining || self.leaving.contains_key(upstream.life())
    }

    /// Records that this life of an upstream has said in an answer that it leaves; no entry takes
    /// that back. Tells whether it is new.
    pub fn note_leaving(&mut self, life: &UpstreamLife, now: Now) -> bool {
        self.leaving.insert(life.clone(), now.monotonic).is_none()
    }

    /// Forgets upstreams that have left long ago.
    pub fn forget_leaving(&mut self, now: Now) {
        let upstreams = &self.upstreams;
        self.leaving.retain(|life, noted| {
            let known = upstreams.get(&life.instance);
            let is_listed = known.is_some_and(|known| known.life() == life);
            is_listed || now.monotonic.saturating_sub(*noted) < LEAVING_REMEMBERED
        });
    }

    /// Removes an upstream whose address answered for another instance, unless it has started
    /// again meanwhile.
    pub fn forget_upstream(&mut self, life: &UpstreamLife) {
        let known = self.upstreams.get(&life.instance);
        if known.is_some_and(|known| known.life() == life) {
            self.upstreams.remove(&life.instance);
        }
    }

    /// Returns the number of upstreams whose entries cannot be read.
    pub fn faulty_count(&self) -> usize {
        self.faulty.len()
    }

    /// Returns the roll-out of a service.
    pub fn rollout(&self, service: &str) -> Option<&Rollout> {
        self.rollouts.get(service)
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

    /// Returns the registered boxes, the one registered longest first.
    pub fn boxes_by_age(&self) -> Vec<&BoxEntry> {
        let mut boxes: Vec<&BoxEntry> = self.boxes().collect();
        boxes.sort_by_key(|entry| entry.registered);
        boxes
    }

    /// Tells whether a roll-out is under way.
    pub fn has_rollout(&self) -> bool {
        self.rollouts_under_way().next().is_some()
    }

    /// Returns the roll-outs under way, each with its order.
    pub fn rollouts_under_way(&self) -> impl Iterator<Item = (&RolloutOrder, &Rollout)> {
        self.rollouts.values().filter_map(|rollout| {
            let (order, _) = rollout.order.as_ref()?;
            rollout.running(order).map(|_| (order, rollout))
        })
    }

    /// Takes another box's word on the time since an order.
    pub fn hear_elapsed(&mut self, order: u64, elapsed: Duration, now: Now) {
        let mut rollouts = self.rollouts.values_mut();
        if let Some(rollout) = rollouts.find(|rollout| rollout.is_of(order)) {
            rollout.hear_elapsed(order, elapsed, now);
        }
    }
}
