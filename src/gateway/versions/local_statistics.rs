//! What a box counts of the versions of a service under roll-out.
//!
//! What is still under way is counted as such: the answers of a slow version are the last ones
//! to come.

use super::statistics::{
    ResponseGroup, ResponseKind, ResponseStatistics, RolloutStatistics, SampledRequest,
    StatisticsReport,
};
use crate::clock::Now;
use crate::gateway::control::rollout::Rollout;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// The stretches of a roll-out's time: long enough for answers to compare, short enough that load
/// and trouble are much the same throughout.
const WINDOWS_PER_ROLLOUT: u32 = 24;
/// The longest of them. A stage is judged from the stretch after its beginning on, and has some
/// four seconds to prove itself, however long the whole roll-out takes.
const MAX_WINDOW_DURATION: Duration = Duration::from_secs(1);

/// One box's own counts of one roll-out, and its answers under way.
#[derive(Debug, Default)]
struct OrderStatistics {
    statistics: RolloutStatistics,
    in_flight: HashMap<u64, InFlightResponse>,
}

/// An answer under way.
#[derive(Debug)]
struct InFlightResponse {
    group: ResponseGroup,
    is_new_version: bool,
    started: Duration,
    unit_seconds: f64,
}

impl OrderStatistics {
    /// Returns the counts with how long the answers under way have taken so far.
    fn at(&self, now: Now) -> RolloutStatistics {
        let mut statistics = self.statistics.clone();
        for in_flight in self.in_flight.values() {
            let so_far = now
                .monotonic
                .saturating_sub(in_flight.started)
                .as_secs_f64();
            let pair = statistics
                .groups
                .entry(in_flight.group.clone())
                .or_default();
            pair.version_mut(in_flight.is_new_version)
                .in_flight
                .record(so_far / in_flight.unit_seconds);
        }
        statistics
    }
}

/// A box's own counts, shared with the answers that are under way.
#[derive(Debug, Clone, Default)]
pub struct LocalStatistics(Rc<RefCell<StatisticsByOrder>>);

#[derive(Debug, Default)]
struct StatisticsByOrder {
    next_id: u64,
    by_order: HashMap<u64, OrderStatistics>,
}

impl LocalStatistics {
    /// Counts a request that is sent.
    pub fn record_request(&self, request: SampledRequest) {
        let mut orders = self.0.borrow_mut();
        let order_statistics = orders.by_order.entry(request.order).or_default();
        order_statistics.statistics.requests.record(request);
    }

    /// Begins to time an answer; `unit` is what its measure counts in, in seconds.
    pub fn start_timer(
        &self,
        request: SampledRequest,
        kind: ResponseKind<'_>,
        unit_seconds: f64,
        now: Now,
    ) -> ResponseTimer {
        let in_flight = InFlightResponse {
            group: ResponseGroup {
                window: request.window,
                route: kind.route.to_owned(),
                metric: kind.metric,
            },
            is_new_version: request.is_new_version,
            started: now.monotonic,
            unit_seconds,
        };
        let mut orders = self.0.borrow_mut();
        orders.next_id += 1;
        let id = orders.next_id;
        let order_statistics = orders.by_order.entry(request.order).or_default();
        order_statistics.in_flight.insert(id, in_flight);
        ResponseTimer {
            local: self.clone(),
            order: request.order,
            id,
        }
    }

    /// Forgets all orders but those in force.
    pub fn retain_orders(&self, is_active: impl Fn(u64) -> bool) {
        let mut orders = self.0.borrow_mut();
        orders.by_order.retain(|order, _| is_active(*order));
        for order_statistics in orders.by_order.values_mut() {
            order_statistics.statistics.drop_old_windows();
        }
    }

    /// Returns what was counted of an order.
    pub fn statistics(&self, order: u64, now: Now) -> RolloutStatistics {
        let orders = self.0.borrow();
        let order_statistics = orders.by_order.get(&order);
        order_statistics.map_or_else(RolloutStatistics::default, |order_statistics| {
            order_statistics.at(now)
        })
    }

    /// Returns what other boxes are to be told.
    pub fn reports(&self, reporter: &str, sequence: u64, now: Now) -> Vec<StatisticsReport> {
        let orders = self.0.borrow();
        let report = |(order, order_statistics): (&u64, &OrderStatistics)| {
            let statistics = order_statistics.at(now);
            StatisticsReport {
                reporter: reporter.to_owned(),
                sequence,
                order: *order,
                requests: statistics.requests,
                groups: statistics.recent_windows(),
            }
        };
        orders.by_order.iter().map(report).collect()
    }
}

/// An answer under way. One that is dropped without a time says nothing: its caller has left,
/// or it broke off, which is no fault of the version.
#[derive(Debug)]
#[must_use]
pub struct ResponseTimer {
    local: LocalStatistics,
    order: u64,
    id: u64,
}

impl ResponseTimer {
    /// Records that the answer has come.
    pub fn record_completion(self, now: Now) {
        self.end(|responses, in_flight| {
            let duration = now
                .monotonic
                .saturating_sub(in_flight.started)
                .as_secs_f64();
            responses
                .completed
                .record(duration / in_flight.unit_seconds);
        });
    }

    /// Records the answer's time, in the unit of its measure.
    pub fn record_duration(self, time: f64) {
        self.end(|responses, _in_flight| responses.completed.record(time));
    }

    /// Records that the upstream failed to give the answer.
    pub fn record_failure(self) {
        self.end(|responses, _in_flight| responses.failed += 1);
    }

    /// Ends the answer, if its order is still in force.
    fn end(&self, count: impl FnOnce(&mut ResponseStatistics, &InFlightResponse)) {
        let mut orders = self.local.0.borrow_mut();
        let Some(order_statistics) = orders.by_order.get_mut(&self.order) else {
            return;
        };
        let Some(in_flight) = order_statistics.in_flight.remove(&self.id) else {
            return;
        };
        let pair = order_statistics
            .statistics
            .groups
            .entry(in_flight.group.clone())
            .or_default();
        count(pair.version_mut(in_flight.is_new_version), &in_flight);
    }
}

impl Drop for ResponseTimer {
    fn drop(&mut self) {
        self.end(|_responses, _in_flight| {});
    }
}

/// Returns the stretch of a roll-out's time, the last one from its end on.
pub fn window_at(elapsed: Duration, duration: Duration) -> u16 {
    let length = (duration / WINDOWS_PER_ROLLOUT).min(MAX_WINDOW_DURATION);
    let seconds = length.as_secs_f64().max(f64::MIN_POSITIVE);
    // A roll-out of more than 65,535 seconds ends in one long stretch.
    (elapsed.min(duration).as_secs_f64() / seconds) as u16
}

/// Returns where a request to a version stands in a service's roll-out; none if there is none
/// under way.
pub fn sampled_request(rollout: &Rollout, version: &str, now: Now) -> Option<SampledRequest> {
    let (order, _) = rollout.order.as_ref()?;
    let elapsed = rollout.elapsed(now)?;
    let is_running = rollout.running(order).is_some();
    (is_running && elapsed <= order.duration).then(|| SampledRequest {
        order: order.revision,
        window: window_at(elapsed, order.duration),
        elapsed,
        is_new_version: order.target == version,
    })
}
