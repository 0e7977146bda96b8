//! The statistics that a box collects on the versions of a service under rollout.
//!
//! Responses in flight count as well, since the responses of a slow version are the last to
//! complete.

use super::statistics::{
    ResponseGroup, ResponseKind, ResponseStatistics, RolloutStatistics, SampledRequest,
    StatisticsReport,
};
use crate::clock::Now;
use crate::gateway::control::rollout::Rollout;
use crate::saturation::Saturation;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// The number of time windows in a rollout. A window is long enough for a comparison of its
/// responses and short enough that load and disturbances hardly change within it.
const WINDOWS_PER_ROLLOUT: u32 = 24;
/// The maximum length of a window. A stage is evaluated from the first window after its start and
/// has about four seconds for its proof, however long the rollout is.
const MAX_WINDOW_DURATION: Duration = Duration::from_secs(1);

/// One box's statistics of one rollout, and its responses in flight.
#[derive(Debug, Default)]
struct OrderStatistics {
    statistics: RolloutStatistics,
    in_flight: HashMap<u64, InFlightResponse>,
}

/// A response in flight.
#[derive(Debug)]
struct InFlightResponse {
    group: ResponseGroup,
    is_new_version: bool,
    started: Duration,
    unit_seconds: f64,
}

impl OrderStatistics {
    /// Returns the statistics, with the times that the responses in flight have taken so far, without
    /// what this box delays by itself.
    fn at(&self, saturation: &Saturation, now: Now) -> RolloutStatistics {
        let mut statistics = self.statistics.clone();
        for in_flight in self.in_flight.values() {
            let own_delay = saturation.longest_since(in_flight.started, now);
            let so_far = now
                .monotonic
                .saturating_sub(in_flight.started + own_delay)
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

/// The box's own statistics, shared with the timers of the responses in flight.
#[derive(Debug, Clone)]
pub struct LocalStatistics {
    orders: Rc<RefCell<StatisticsByOrder>>,
    saturation: Rc<Saturation>,
}

#[derive(Debug, Default)]
struct StatisticsByOrder {
    next_id: u64,
    by_order: HashMap<u64, OrderStatistics>,
}

impl LocalStatistics {
    /// Creates the statistics of a box that has not sent anything.
    pub fn new(saturation: Rc<Saturation>) -> Self {
        Self {
            orders: Rc::default(),
            saturation,
        }
    }

    /// Counts a request that is being sent.
    pub fn record_request(&self, request: SampledRequest) {
        let mut orders = self.orders.borrow_mut();
        let order_statistics = orders.by_order.entry(request.order).or_default();
        order_statistics.statistics.requests.record(request);
    }

    /// Starts to time a response. Its time is recorded in multiples of `unit_seconds`.
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
        let mut orders = self.orders.borrow_mut();
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

    /// Drops the statistics of inactive orders.
    pub fn retain_orders(&self, is_active: impl Fn(u64) -> bool) {
        let mut orders = self.orders.borrow_mut();
        orders.by_order.retain(|order, _| is_active(*order));
        for order_statistics in orders.by_order.values_mut() {
            order_statistics.statistics.drop_old_windows();
        }
    }

    /// Returns the statistics of an order.
    pub fn statistics(&self, order: u64, now: Now) -> RolloutStatistics {
        let orders = self.orders.borrow();
        let order_statistics = orders.by_order.get(&order);
        order_statistics.map_or_else(RolloutStatistics::default, |order_statistics| {
            order_statistics.at(&self.saturation, now)
        })
    }

    /// Returns the reports to send to other boxes.
    pub fn reports(&self, reporter: &str, sequence: u64, now: Now) -> Vec<StatisticsReport> {
        let orders = self.orders.borrow();
        let report = |(order, order_statistics): (&u64, &OrderStatistics)| {
            let statistics = order_statistics.at(&self.saturation, now);
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

/// The timer of a response in flight. Dropping it records nothing: the caller has left or the
/// response broke off, neither of which counts against the version.
#[derive(Debug)]
#[must_use]
pub struct ResponseTimer {
    local: LocalStatistics,
    order: u64,
    id: u64,
}

impl ResponseTimer {
    /// Records that the response has arrived.
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

    /// Records the response's time, in the unit of its metric.
    pub fn record_duration(self, time: f64) {
        self.end(|responses, _in_flight| responses.completed.record(time));
    }

    /// Records that the upstream failed to respond.
    pub fn record_failure(self) {
        self.end(|responses, _in_flight| responses.failed += 1);
    }

    /// Removes the response from those in flight and records its result, if its order is still
    /// active.
    fn end(&self, count: impl FnOnce(&mut ResponseStatistics, &InFlightResponse)) {
        let mut orders = self.local.orders.borrow_mut();
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

/// Returns the index of the time window; times after the end fall into the last window.
pub fn window_at(elapsed: Duration, duration: Duration) -> u16 {
    let length = (duration / WINDOWS_PER_ROLLOUT).min(MAX_WINDOW_DURATION);
    let seconds = length.as_secs_f64().max(f64::MIN_POSITIVE);
    // The index saturates in rollouts of more than 65,535 seconds, which end in one long window.
    (elapsed.min(duration).as_secs_f64() / seconds) as u16
}

/// Classifies a request to a version for the statistics of a rollout; `None` if the rollout is not
/// running or its time is over.
pub fn sampled_request(rollout: &Rollout, version: &str, now: Now) -> Option<SampledRequest> {
    let (order, _) = rollout.order.as_ref()?;
    let elapsed = rollout.elapsed(now)?;
    let is_running = rollout.running_record(order).is_some();
    (is_running && elapsed <= order.duration).then(|| SampledRequest {
        order: order.revision,
        window: window_at(elapsed, order.duration),
        elapsed,
        is_new_version: order.target == version,
    })
}
