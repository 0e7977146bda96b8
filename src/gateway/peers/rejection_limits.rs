//! Shares rejection limits that upstreams state, and rejections, with the other boxes.
//!
//! Rejections are broadcast at once; for limits see [`super::limit_reports`] and
//! `docs/design/rejection-limits.md`.

use super::limit_reports::{LimitReport, share_limits};
use super::outbox::Outbox;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::control::store::LimitRecord;
use crate::gateway::place::fleet_view::FleetView;
use crate::gateway::place::slots::{SLOT_RECHECK, ServiceSlots};
use crate::gateway::place::turn_queue::{TurnQueue, WaitingTurn};
use crate::routing::rate_limit::LimitStatement;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long a limit holds for a service after the last statement, if none of its present upstreams
/// has stated anything: all may have been replaced by others.
const STATEMENT_MEMORY: Duration = Duration::from_secs(10);
/// How many other boxes a box that has just started asks for the limits.
const ASKED_AT_START: usize = 3;
/// How soon a box that has just started looks for other boxes again.
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long it does so: it may be the only one.
const MAX_START_POLL: Duration = Duration::from_secs(5);

/// What this box knows of services whose upstreams state rejection limits.
#[derive(Debug, Default)]
pub struct RejectionLimits {
    /// The newest statement of any upstream, by service.
    newest: RefCell<HashMap<String, LimitStatement>>,
    services: RefCell<HashMap<String, Rc<ServiceSlots>>>,
    /// The services that have answered a request of this process, with or without a statement.
    answered: RefCell<HashSet<String>>,
    /// The requests that wait for a slot.
    pub queue: TurnQueue,
    changed: Outbox<LimitReport>,
    /// Hashes of upstreams that have rejected requests of this box.
    rejecting: Outbox<u32>,
}

impl RejectionLimits {
    /// Returns the slots of a service.
    pub fn slots_of(&self, service: &str) -> Rc<ServiceSlots> {
        let mut services = self.services.borrow_mut();
        if let Some(known) = services.get(service) {
            return known.clone();
        }
        services.entry(service.to_owned()).or_default().clone()
    }

    /// Records that an upstream of a service has answered a request.
    pub fn record_answer(&self, service: &str) {
        if !self.answered.borrow().contains(service) {
            self.answered.borrow_mut().insert(service.to_owned());
        }
    }

    fn record_statement(&self, upstream: &Upstream) {
        let Some(statement) = upstream.slots().statement() else {
            return;
        };
        let service = upstream.with_listed(|listed| listed.service.clone());
        let mut newest = self.newest.borrow_mut();
        if statement.supersedes(newest.get(&service).copied()) {
            newest.insert(service, statement);
        }
    }

    fn is_remembered(&self, service: &str, now: Now) -> bool {
        let newest = self.newest.borrow();
        newest.get(service).is_some_and(|statement| {
            let age = now.monotonic.saturating_sub(statement.as_of);
            statement.limit.is_some() && age < STATEMENT_MEMORY
        })
    }
}

impl Gateway {
    /// Returns whether the upstreams of a service bear few rejections, so that boxes send requests
    /// only where they have a slot.
    pub fn limits_rejections(&self, service: &str, now: Now) -> bool {
        let knowledge = self.knowledge.borrow();
        let mut stating = knowledge
            .upstreams()
            .filter(|upstream| upstream.slots().is_limited(now));
        stating.any(|upstream| upstream.with_listed(|listed| listed.service == service))
            || self.rejection_limits.is_remembered(service, now)
            || self.is_recorded_limited(service, now)
    }

    /// Returns whether a service was recorded to state rejection limits before this box started, and
    /// nothing newer is known.
    fn is_recorded_limited(&self, service: &str, now: Now) -> bool {
        let has_started = self.uptime(now) < STATEMENT_MEMORY;
        has_started
            && self.knowledge.borrow().limit_record(service).0
            && !self.rejection_limits.answered.borrow().contains(service)
    }

    /// Returns the records of limits that have to be written, and the revisions of those to replace.
    pub fn outdated_limit_records(&self, now: Now) -> Vec<(LimitRecord, u64)> {
        let knowledge = self.knowledge.borrow();
        let stating = knowledge
            .upstreams()
            .filter(|upstream| upstream.slots().is_limited(now))
            .map(|upstream| upstream.with_listed(|listed| listed.service.clone()));
        let recorded = knowledge.services_with_limit_records().map(str::to_owned);
        let services: BTreeSet<String> = stating.chain(recorded).collect();
        let outdated = services.into_iter().filter_map(|service| {
            let is_limited = self.limits_rejections(&service, now);
            let (was_limited, revision) = knowledge.limit_record(&service);
            let record = LimitRecord {
                service,
                is_limited,
            };
            (is_limited != was_limited).then_some((record, revision))
        });
        outdated.collect()
    }

    /// Returns whether any service is known whose upstreams bear few rejections.
    pub fn has_rejection_limits(&self, now: Now) -> bool {
        let knowledge = self.knowledge.borrow();
        let mut upstreams = knowledge.upstreams();
        let mut recorded = knowledge.services_with_limit_records();
        upstreams.any(|upstream| upstream.slots().is_limited(now))
            || recorded.any(|service| self.is_recorded_limited(service, now))
    }

    /// Returns how long this box has no slot of an upstream; none if it has one now.
    pub fn slot_delay(
        &self,
        upstream: &Upstream,
        fleet: FleetView<'_>,
        now: Now,
    ) -> Option<Duration> {
        let slots = upstream.slots();
        if let Some(pause) = slots.pause_left(now) {
            return Some(pause);
        }
        if !self.knows_former_loans(now) {
            return Some(SLOT_RECHECK);
        }
        let in_use = slots.in_use(upstream.outstanding(), now);
        let share = slots.share(upstream.known_slots(), fleet, now);
        (in_use >= share).then_some(SLOT_RECHECK)
    }

    /// Lets a request wait for a slot for at most `longest`; `None` if it would probably wait in
    /// vain.
    pub fn enter_slot_queue(
        &self,
        service: &str,
        longest: Duration,
        now: Now,
    ) -> Option<WaitingTurn> {
        let turns = self.slot_rate(service, now) * longest.as_secs_f64();
        self.rejection_limits.queue.enter(service, turns)
    }

    /// Returns after how long a caller that found no free slot should come back.
    pub fn return_delay_for_slot(&self, service: &str, left: Duration, now: Now) -> Duration {
        let rate = self.slot_rate(service, now);
        self.return_at_rate(service, rate, left, now)
    }

    /// Returns how many requests per second this box serves by its slots of a service: its equal
    /// share, or those that it uses, if others have lent it more.
    fn slot_rate(&self, service: &str, now: Now) -> f64 {
        let knowledge = self.knowledge.borrow();
        let upstreams = knowledge.available_upstreams(service, now);
        let slots = upstreams
            .iter()
            .map(|upstream| f64::from(upstream.known_slots()));
        let slots: f64 = slots.sum();
        let in_use = upstreams.iter().map(|upstream| upstream.outstanding());
        let in_use = f64::from(in_use.fold(0, u32::saturating_add));
        let usable = in_use.max(slots / knowledge.box_count().max(1) as f64);
        let run = self.rejection_limits.slots_of(service).mean_run();
        usable / run.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Takes note of what an upstream has stated in an answer about its rejection limit.
    pub fn note_rejection_limit(&self, upstream: &Upstream, now: Now) {
        self.rejection_limits.record_statement(upstream);
        if upstream.slots().take_new_limit() {
            self.telemetry.record_rejection_limit(upstream, "answer");
            if let Some(report) = LimitReport::of(upstream, upstream.slots().statement(), now) {
                self.rejection_limits.changed.push(report);
            }
        }
    }

    /// Records that an upstream has rejected a request of this box for lack of room.
    pub fn note_rejection(&self, upstream: &Upstream, now: Now) {
        let boxes = self.box_addresses();
        let fleet = self.fleet_view(&boxes, now);
        self.telemetry.record_rejection(upstream, fleet, now);
        upstream.slots().record_rejection(now);
        self.rejection_limits.rejecting.push(upstream.short_hash());
    }

    /// Applies another box's reports of rejection limits.
    pub fn apply_rejection_limit_reports(&self, reports: &[LimitReport], now: Now) {
        let state = self.knowledge.borrow();
        for upstream in state.upstreams() {
            for report in reports.iter().filter(|report| report.is_about(upstream)) {
                if upstream.slots().apply(report.statement(now)) {
                    self.telemetry.record_rejection_limit(upstream, "box");
                }
                self.rejection_limits.record_statement(upstream);
            }
        }
    }

    /// Records that upstreams, given by their hashes, have rejected requests of another box.
    pub fn apply_rejections(&self, hashes: &[u32], now: Now) {
        let state = self.knowledge.borrow();
        let rejecting = state
            .upstreams()
            .filter(|upstream| hashes.contains(&upstream.short_hash()));
        rejecting.for_each(|upstream| upstream.slots().record_rejection(now));
    }

    /// Returns reports of all rejection limits that this box knows.
    pub fn rejection_limit_reports(&self, now: Now) -> Vec<LimitReport> {
        let knowledge = self.knowledge.borrow();
        let upstreams = knowledge.upstreams();
        upstreams
            .filter_map(|upstream| LimitReport::of(upstream, upstream.slots().statement(), now))
            .collect()
    }
}

/// Sends changed and known limits to other boxes, for as long as the process runs.
pub async fn share_rejection_limits(
    gw: &Gateway,
    send: impl AsyncFn(&[SocketAddr], Vec<LimitReport>),
) {
    let all = |now| gw.rejection_limit_reports(now);
    share_limits(gw, &gw.rejection_limits.changed, all, send).await;
}

/// Notifies the other boxes of upstreams that reject requests, for as long as the process runs.
pub async fn broadcast_rejections(gw: &Gateway, send: impl AsyncFn(&[SocketAddr], Vec<u32>)) {
    loop {
        let hashes = gw.rejection_limits.rejecting.next().await;
        send(&gw.other_recent_boxes(), hashes).await;
    }
}

/// Asks other boxes for the limits that they know, once this box knows of any other.
pub async fn request_limits_at_start(gw: &Gateway, send: impl AsyncFn(&[SocketAddr])) {
    while gw.uptime(Now::read()) < MAX_START_POLL {
        let mut others = gw.other_boxes();
        if !others.is_empty() {
            others.truncate(ASKED_AT_START);
            send(&others).await;
            return;
        }
        sleep(START_POLL_INTERVAL).await;
    }
}
