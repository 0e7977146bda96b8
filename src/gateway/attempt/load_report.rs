//! What an upstream states about its load, and how far an old statement still holds.
//!
//! A report is exact when it is made. Requests come and go, so it loses weight within some service
//! times, and the usual load of the upstream takes its place. See `docs/design/expected-wait.md`.

use super::headers::ReportedLoad;
use crate::clock::Now;
use std::time::Duration;

/// Over this time, the usual load follows the reports, and without reports is forgotten: an upstream
/// that was slow gets no requests, hence makes no reports, and has to be tried again.
const USUAL_LOAD_TIME: Duration = Duration::from_secs(5);
/// After this time, a stated work time has lost most of its weight. Upstreams state it for
/// slowdowns that may last less than a second.
const WORK_TIME_LIFE: Duration = Duration::from_secs(1);
/// Number of service times after which a report of an idle upstream has lost most of its weight.
const LIFE_SERVICE_TIMES: f64 = 2.0;
/// The longest life of a report, also of one that states a long queue.
const MAX_LIFE: Duration = Duration::from_secs(2);
/// Reports older than this tell nothing.
const MAX_AGE: Duration = Duration::from_secs(20);
/// A report that is younger than this came with a rejection that is being recorded.
const REJECTION_REPORT_AGE: Duration = Duration::from_millis(5);
/// Bounds of the stated work time, in percent: outside of them it is taken for an error.
const WORK_TIME_BOUNDS_PERCENT: (f64, f64) = (50.0, 1000.0);
/// The work time that upstreams state as usual, in percent.
const USUAL_WORK_TIME_PERCENT: f64 = 100.0;
/// The most requests that are believed to be at an upstream, as a multiple of its slots.
const MAX_OCCUPANCY_SLOTS: f64 = 32.0;

/// The load of an upstream as this box knows it from reports.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadHistory {
    newest: Option<KnownReport>,
    usual_occupancy: f64,
    usual_work_time: f64,
    queue_limit: Option<u32>,
}

/// The newest report of an upstream.
#[derive(Debug, Clone, Copy)]
struct KnownReport {
    load: ReportedLoad,
    occupancy: f64,
    work_time: f64,
    as_of: Duration,
    /// This box's requests in flight there when the report arrived.
    own_outstanding: u32,
}

/// What a box believes of an upstream's load now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// The number of running and waiting requests.
    pub occupancy: f64,
    /// The number of requests there on average of the last seconds.
    pub usual_occupancy: f64,
    /// How long work takes, as a multiple of the usual time.
    pub work_time: f64,
    /// The age of the newest report; `None` if there is no recent one.
    pub report_age: Option<Duration>,
}

/// What a box knows of the requests at an upstream without reports.
#[derive(Debug, Clone, Copy)]
pub struct KnownRequests {
    /// This box's requests in flight.
    pub own: u32,
    /// Those of the other boxes, by their latest messages.
    pub peers: u32,
}

impl LoadHistory {
    /// Records a report as of a time, unless a newer one is known; returns whether it is new.
    ///
    /// `slots` is the number of slots by the registry, and `own_outstanding` this box's requests in
    /// flight when the report arrived.
    pub fn record(
        &mut self,
        load: ReportedLoad,
        slots: u32,
        as_of: Duration,
        own_outstanding: u32,
    ) -> bool {
        if self.newest.is_some_and(|known| known.as_of > as_of) {
            return false;
        }
        let report = KnownReport {
            load,
            occupancy: plausible_occupancy(load, slots),
            work_time: plausible_work_time(load),
            as_of,
            own_outstanding,
        };
        self.update_usual_load(report);
        let queued = queue_length(report.occupancy, slots);
        if self.queue_limit.is_some_and(|limit| limit < queued) {
            self.queue_limit = Some(queued);
        }
        self.newest = Some(report);
        true
    }

    /// Averages over time and not over reports, since a busy upstream sends more of them.
    fn update_usual_load(&mut self, report: KnownReport) {
        let weight = match self.newest {
            None => 1.0,
            Some(known) => 1.0 - decay(report.as_of.saturating_sub(known.as_of), USUAL_LOAD_TIME),
        };
        self.usual_occupancy += (report.occupancy - self.usual_occupancy) * weight;
        self.usual_work_time += (report.work_time - self.usual_work_time) * weight;
    }

    /// Records that the upstream rejected a request for lack of room: its queue is full. The
    /// rejection counts as a report if it carried none.
    pub fn record_rejection(&mut self, slots: u32, own_outstanding: u32, now: Now) {
        let states_rejection = |known: &KnownReport| {
            let age = now.monotonic.saturating_sub(known.as_of);
            age < REJECTION_REPORT_AGE && known.occupancy >= f64::from(slots)
        };
        if let Some(stated) = self.newest.filter(states_rejection) {
            self.queue_limit = Some(queue_length(stated.occupancy, slots));
            return;
        }
        let load = ReportedLoad {
            running: slots,
            waiting: self.queue_limit.unwrap_or(slots),
            slots,
            work_time_percent: self.newest.and_then(|known| known.load.work_time_percent),
        };
        self.queue_limit = Some(load.waiting);
        self.record(load, slots, now.monotonic, own_outstanding);
    }

    /// Returns how many requests wait where the upstream rejects more, if it has rejected any.
    pub fn queue_limit(&self) -> Option<u32> {
        self.queue_limit
    }

    /// Returns the newest report and when it was made.
    pub fn newest(&self) -> Option<(ReportedLoad, Duration)> {
        self.newest.map(|known| (known.load, known.as_of))
    }

    /// Returns how long work takes by the newest report, as a multiple of the usual time.
    pub fn stated_work_time(&self) -> f64 {
        self.newest.map_or(1.0, |known| known.work_time)
    }

    /// Estimates the load now.
    pub fn estimate(
        &self,
        known: KnownRequests,
        slots: u32,
        service_time: Duration,
        now: Now,
    ) -> LoadEstimate {
        let own = f64::from(known.own);
        let unreported = own + f64::from(known.peers);
        let Some(report) = self.newest else {
            return LoadEstimate {
                occupancy: unreported,
                usual_occupancy: unreported,
                work_time: 1.0,
                report_age: None,
            };
        };
        let age = now.monotonic.saturating_sub(report.as_of);
        if age > MAX_AGE {
            return LoadEstimate {
                occupancy: unreported,
                usual_occupancy: unreported,
                work_time: 1.0,
                report_age: None,
            };
        }
        let remembered = decay(age, USUAL_LOAD_TIME);
        let usual_occupancy = unreported + (self.usual_occupancy - unreported) * remembered;
        let usual_work_time = 1.0 + (self.usual_work_time - 1.0) * remembered;
        // A long queue takes longer to change.
        let rounds = 1.0 + report.occupancy / f64::from(slots.max(1));
        let life = service_time
            .mul_f64(LIFE_SERVICE_TIMES * rounds * report.work_time)
            .min(MAX_LIFE);
        let weight = decay(age, life);
        let reported = usual_occupancy + (report.occupancy - usual_occupancy) * weight;
        let sent_since = own - f64::from(report.own_outstanding);
        let work_time_weight = decay(age, WORK_TIME_LIFE);
        LoadEstimate {
            occupancy: (reported + sent_since).max(own),
            usual_occupancy: usual_occupancy.max(own),
            work_time: usual_work_time + (report.work_time - usual_work_time) * work_time_weight,
            report_age: Some(age),
        }
    }
}

/// Returns how many requests wait beyond the slots of the registry.
fn queue_length(occupancy: f64, slots: u32) -> u32 {
    (occupancy - f64::from(slots)).max(0.0) as u32
}

/// Returns how many requests a report places at an upstream. More requests may be stated as running
/// than there are slots, or any number at all.
fn plausible_occupancy(load: ReportedLoad, slots: u32) -> f64 {
    let stated = f64::from(load.running) + f64::from(load.waiting);
    stated.min(f64::from(slots.max(1)) * MAX_OCCUPANCY_SLOTS)
}

fn plausible_work_time(load: ReportedLoad) -> f64 {
    let (least, most) = WORK_TIME_BOUNDS_PERCENT;
    let stated = load
        .work_time_percent
        .map_or(USUAL_WORK_TIME_PERCENT, f64::from);
    stated.clamp(least, most) / USUAL_WORK_TIME_PERCENT
}

fn decay(age: Duration, life: Duration) -> f64 {
    (-age.as_secs_f64() / life.as_secs_f64().max(f64::MIN_POSITIVE)).exp()
}
