//! Tests upstreams that state in their responses how many rejections per second they bear, behind the
//! router's own interface.

mod common;

use common::scripted_upstream::{Reaction, ScriptedUpstream, answer};
use common::{Answer, Bench, read_answer};
use googletest::prelude::*;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// The requests that an upstream runs at the same time; it lets none wait.
const SLOTS: usize = 4;
/// How long a request runs.
const RUN_TIME: Duration = Duration::from_millis(60);
/// The rejections in a second that the upstream bears.
const BORNE_REJECTIONS: usize = 1;
/// The period in which it counts them.
const REJECTION_PERIOD: Duration = Duration::from_secs(1);
/// The time from the first statement until rejections count.
const NOTICE: Duration = Duration::from_secs(3);
/// How long requests are sent while they count.
const BRITTLE_TIME: Duration = Duration::from_secs(4);
/// The share of what the upstream can run that has to be served.
const MIN_SERVED_SHARE: f64 = 0.6;
/// The callers of each router: more than the upstream has slots.
const CALLERS_PER_ROUTER: usize = 6;
/// The pause of a caller whose request was refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);
/// How long the routers may take to learn of an upstream.
const LISTING_TIMEOUT: Duration = Duration::from_secs(20);
/// The routers of the bench.
const ROUTERS: [&str; 2] = ["ikeja-1", "ikeja-2"];

/// A service with the versions of its upstreams, and how it is asked.
#[derive(Debug, Clone, Copy)]
enum Service {
    Plain,
    SingleRun,
    Model,
}

impl Service {
    fn name(self) -> &'static str {
        match self {
            Self::Plain | Self::SingleRun => "reader-api",
            Self::Model => "inkmind",
        }
    }

    fn versions(self) -> &'static [&'static str] {
        match self {
            Self::Plain | Self::SingleRun => &[],
            Self::Model => &["small/s1"],
        }
    }

    async fn send(self, bench: &Bench, router: &str, key: &str) -> Answer {
        match self {
            Self::Model => bench.complete_as_comics(router, "small").await,
            Self::SingleRun => bench.bookmark(router, key).await,
            Self::Plain => {
                let request = bench.request(router, "comics", "GET", "/reader-api/page");
                read_answer(request.send().await).await
            }
        }
    }
}

/// The room of the upstream.
#[derive(Debug, Default)]
struct Room {
    /// When the requests that run end.
    running: RefCell<Vec<Instant>>,
    rejected: RefCell<Vec<Instant>>,
    states_limit: Cell<bool>,
    is_brittle: Cell<bool>,
    served: Cell<usize>,
}

impl Room {
    fn react(&self) -> Reaction {
        let now = Instant::now();
        let mut running = self.running.borrow_mut();
        running.retain(|end| *end > now);
        let (limit, slots) = (BORNE_REJECTIONS.to_string(), SLOTS.to_string());
        let stated = [
            ("gatepier-rejection-limit", limit.as_str()),
            ("gatepier-slots", slots.as_str()),
        ];
        let headers = match self.states_limit.get() {
            true => &stated[..],
            false => &[],
        };
        if running.len() < SLOTS {
            running.push(now + RUN_TIME);
            self.served.set(self.served.get() + 1);
            let Reaction::Answer(text) = answer(200, headers) else {
                unreachable!()
            };
            return Reaction::AnswerAfter(RUN_TIME, text);
        }
        let mut rejected = self.rejected.borrow_mut();
        rejected.retain(|at| now - *at < REJECTION_PERIOD);
        rejected.push(now);
        match self.is_brittle.get() && rejected.len() > BORNE_REJECTIONS {
            true => Reaction::Crash,
            false => answer(503, headers),
        }
    }
}

/// Sends requests of several callers to both routers until a moment.
async fn send_until(bench: &Bench, service: Service, name: &str, end: Instant) {
    let call = async |number: usize| {
        let router = ROUTERS[number % ROUTERS.len()];
        let mut sent = 0;
        while Instant::now() < end {
            sent += 1;
            let key = format!("{name}-{number}-{sent}");
            if service.send(bench, router, &key).await.status != 200 {
                sleep(REFUSED_PAUSE).await;
            }
        }
    };
    let callers = ROUTERS.len() * CALLERS_PER_ROUTER;
    futures::future::join_all((0..callers).map(call)).await;
}

async fn wait_until_listed(bench: &Bench, service: Service) {
    let started = Instant::now();
    for router in ROUTERS {
        while service.send(bench, router, "listed").await.status != 200 {
            assert!(
                started.elapsed() < LISTING_TIMEOUT,
                "{router} reaches no upstream"
            );
            sleep(REFUSED_PAUSE).await;
        }
    }
}

async fn expect_upstream_keeps_running(service: Service) {
    let bench = Bench::start_without_upstreams().await;
    let room: Rc<Room> = Rc::default();
    let behaviour = room.clone();
    let upstream = ScriptedUpstream::start(move |_| behaviour.react()).await;
    bench.list_scripted(service.name(), service.versions(), &[&upstream]);
    wait_until_listed(&bench, service).await;
    room.states_limit.set(true);
    send_until(&bench, service, "notice", Instant::now() + NOTICE).await;
    room.is_brittle.set(true);
    let served_before = room.served.get();
    send_until(&bench, service, "brittle", Instant::now() + BRITTLE_TIME).await;
    let served = room.served.get() - served_before;
    expect_that!(upstream.has_crashed(), eq(false));
    let capacity = SLOTS as f64 * BRITTLE_TIME.div_duration_f64(RUN_TIME);
    expect_that!(served as f64, ge(capacity * MIN_SERVED_SHARE));
}

cases! {
    /// Guards against routers that learn by rejections that an upstream is full, which crash it.
    plain_upstream_that_bears_few_rejections_keeps_running =>
        expect_upstream_keeps_running(Service::Plain);
    upstream_that_bears_few_rejections_keeps_running_under_requests_that_run_once =>
        expect_upstream_keeps_running(Service::SingleRun);
    model_upstream_that_bears_few_rejections_keeps_running =>
        expect_upstream_keeps_running(Service::Model);
}
