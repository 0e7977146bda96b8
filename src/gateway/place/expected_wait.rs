//! How long a request is expected to wait at an upstream, and to run there.
//!
//! Placement, admission, retries and `Retry-After` all use this estimate. It is computed from the
//! newest load report and its age, from the requests that this box has sent since, and from the
//! learned time of a request. See `docs/design/expected-wait.md`.

use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::attempt::upstream::Upstream;
use std::rc::Rc;
use std::time::Duration;

/// The longest expected time, so that sums of times do not overflow.
const MAX_EXPECTED: Duration = Duration::from_secs(600);

/// The expected time of a request at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedWait {
    /// Time until the request starts to run.
    pub queue: Duration,
    /// Time that it then takes.
    pub run: Duration,
    /// The age of the load report; `None` if there is no recent one, so that `queue` counts only
    /// what this box and the reports of other boxes know.
    pub report_age: Option<Duration>,
}

impl ExpectedWait {
    /// Returns the expected time until the answer.
    pub fn total(self) -> Duration {
        self.queue + self.run
    }
}

/// The queue of an upstream: how the time until a request runs depends on how many are there.
#[derive(Debug, Clone, Copy)]
pub struct Queue {
    slots: f64,
    run_seconds: f64,
}

impl Queue {
    /// Describes an upstream that runs as many requests at once as it has slots, each for `run`.
    pub fn new(slots: u32, run: Duration) -> Self {
        Self {
            slots: f64::from(slots.max(1)),
            run_seconds: run.min(MAX_EXPECTED).as_secs_f64(),
        }
    }

    /// Returns the expected seconds until a request runs that finds this many others there.
    ///
    /// With all slots in use, one becomes free every `run / slots`. Below that the wait would be
    /// zero if the number were exact. It is not: other boxes send at the same time. The wait then
    /// grows with the utilization as in Sakasegawa's approximation of the M/M/c queue,
    /// `utilization ^ sqrt(2 (slots + 1))`, with the exponent of seven slots, 4, for all upstreams.
    /// Its denominator stands for the backlog, which is known here.
    pub fn wait_seconds(self, others: f64) -> f64 {
        let interval = self.run_seconds / self.slots;
        let utilization = (others / self.slots).max(0.0);
        let wait = match utilization < 1.0 {
            true => utilization.powi(4) * interval,
            false => (others + 1.0 - self.slots) * interval,
        };
        wait.min(MAX_EXPECTED.as_secs_f64())
    }

    /// Returns how many others lead to a wait of this many seconds: the inverse of
    /// [`Self::wait_seconds`].
    pub fn others_at_wait(self, seconds: f64) -> f64 {
        let intervals = seconds.max(0.0) * self.slots / self.run_seconds.max(f64::MIN_POSITIVE);
        match intervals < 1.0 {
            true => self.slots * intervals.sqrt().sqrt(),
            false => intervals + self.slots - 1.0,
        }
    }
}

impl Upstream {
    /// Returns the expected wait of a request, given the usual service time of the service.
    pub fn expected_wait(&self, service_time: Duration, now: Now) -> ExpectedWait {
        let load = self.load_estimate(service_time, now);
        let run = self.expected_run(service_time, load.work_time, now);
        let slots = self.with_listed(|listed| listed.slots);
        let wait = Queue::new(slots, run).wait_seconds(load.occupancy);
        ExpectedWait {
            queue: Duration::from_secs_f64(wait),
            run,
            report_age: load.report_age,
        }
    }

    /// Returns how long a request runs here, given the service's usual time and the multiple of it
    /// that work takes at the moment.
    pub fn expected_run(&self, service_time: Duration, work_time: f64, now: Now) -> Duration {
        let seconds = service_time.as_secs_f64() * work_time * self.service_factor().get(now);
        Duration::from_secs_f64(seconds.clamp(0.0, MAX_EXPECTED.as_secs_f64()))
    }
}

impl Gateway {
    /// Returns the expected wait at each upstream of a service that takes requests of a session
    /// now.
    ///
    /// At model engines, the queue is the time of the prefills before this one, and the time to run
    /// is not included: it depends on the prompt.
    pub fn expected_waits(
        &self,
        service: &str,
        session: &str,
        now: Now,
    ) -> Vec<(Rc<Upstream>, ExpectedWait)> {
        let is_plain = self.is_plain_service(service);
        let service_time = self.service_times.of(service).usual;
        let with_wait = |upstream: Rc<Upstream>| {
            let wait = match is_plain {
                true => upstream.expected_wait(service_time, now),
                false => ExpectedWait {
                    queue: upstream.pending_prefill(now).min(MAX_EXPECTED),
                    run: Duration::ZERO,
                    report_age: None,
                },
            };
            (upstream, wait)
        };
        let candidates = self.candidates(service, session, now);
        candidates.into_iter().map(with_wait).collect()
    }

    /// Returns the expected wait at the upstream where a request would be answered first; `None` if
    /// no upstream takes requests now.
    pub fn shortest_expected_wait(
        &self,
        service: &str,
        session: &str,
        now: Now,
    ) -> Option<ExpectedWait> {
        let waits = self.expected_waits(service, session, now).into_iter();
        waits.map(|(_, wait)| wait).min_by_key(|wait| wait.total())
    }

    /// Returns whether the upstreams of a service run no models: their requests take about the same
    /// time, which is learned.
    pub fn is_plain_service(&self, service: &str) -> bool {
        let knowledge = self.knowledge.borrow();
        let configured = knowledge
            .routes()
            .and_then(|routes| routes.services.get(service));
        configured.is_none_or(|service| service.engine.is_none())
    }
}
