//! Tests upstreams that state in their responses how many requests per second they accept from all
//! boxes together, behind the router's own interface.

mod common;

use common::scripted_upstream::{Reaction, ScriptedUpstream, answer};
use common::{Answer, Bench, read_answer};
use googletest::prelude::*;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// The limit that upstreams state, in requests per second.
const LIMIT: f64 = 2.0;
/// The time in which the routers may adjust to a limit that was just stated.
const ADJUSTMENT_TIME: Duration = Duration::from_millis(3000);
/// The period in which the requests to a limited upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// The requests in a window may exceed what the limit allows by this factor and this number.
const TOLERANCE_FACTOR: f64 = 1.5;
const TOLERANCE_REQUESTS: f64 = 5.0;
/// The share of what the limit allows that has to be used while there is demand for it.
const MIN_USED_SHARE: f64 = 0.6;
/// How long after the last statement of a limit the upstream has to be used as before.
const LIFT_TIME: Duration = Duration::from_secs(4);
/// The pause between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// How long the routers may take to learn of an upstream.
const LISTING_TIMEOUT: Duration = Duration::from_secs(20);
/// The most time that an immediate refusal may take on a busy machine.
const IMMEDIATE_REFUSAL_LIMIT: Duration = Duration::from_millis(500);
/// The routers of the bench.
const ROUTERS: [&str; 2] = ["ikeja-1", "ikeja-2"];

/// The services, each with the versions of its upstreams.
const PLAIN_SERVICE: (&str, &[&str]) = ("reader-api", &[]);
const MODEL_SERVICE: (&str, &[&str]) = ("inkmind", &["small/s1"]);

/// An upstream whose responses state a limit while there is one.
struct LimitedUpstream {
    server: ScriptedUpstream,
    limit: Rc<Cell<Option<f64>>>,
    arrivals: Rc<RefCell<Vec<Instant>>>,
}

impl LimitedUpstream {
    async fn start(limit: Option<f64>) -> Self {
        let limit = Rc::new(Cell::new(limit));
        let arrivals: Rc<RefCell<Vec<Instant>>> = Rc::default();
        let (stated, log) = (limit.clone(), arrivals.clone());
        let server = ScriptedUpstream::start(move |_| respond(&stated, &log)).await;
        Self {
            server,
            limit,
            arrivals,
        }
    }

    fn arrivals_between(&self, from: Instant, to: Instant) -> Vec<Instant> {
        let arrivals = self.arrivals.borrow();
        let in_period = arrivals.iter().filter(|at| (from..to).contains(*at));
        in_period.copied().collect()
    }
}

fn respond(limit: &Cell<Option<f64>>, log: &RefCell<Vec<Instant>>) -> Reaction {
    log.borrow_mut().push(Instant::now());
    match limit.get() {
        Some(limit) => answer(200, &[("gatepier-rate-limit", &limit.to_string())]),
        None => answer(200, &[]),
    }
}

async fn send(bench: &Bench, router: &str, service: &str) -> Answer {
    match service {
        "inkmind" => bench.complete_as_comics(router, "small").await,
        _ => {
            let request = bench.request(router, "comics", "GET", "/reader-api/page");
            read_answer(request.send().await).await
        }
    }
}

/// Waits until every router has reached the upstream.
async fn wait_until_listed(bench: &Bench, service: &str) {
    let started = Instant::now();
    for router in ROUTERS {
        while send(bench, router, service).await.status != 200 {
            assert!(
                started.elapsed() < LISTING_TIMEOUT,
                "{router} does not reach the upstream"
            );
            sleep(REQUEST_INTERVAL).await;
        }
    }
}

/// Sends requests to both routers at an interval; returns the answers and how long they took.
async fn send_steadily(bench: &Bench, service: &str, length: Duration) -> Vec<(Answer, Duration)> {
    let began = Instant::now();
    let send_to = async |router| {
        let mut answers = Vec::new();
        while began.elapsed() < length {
            let sent = Instant::now();
            answers.push((send(bench, router, service).await, sent.elapsed()));
            sleep(REQUEST_INTERVAL).await;
        }
        answers
    };
    let (mut all, more) = futures::join!(send_to(ROUTERS[0]), send_to(ROUTERS[1]));
    all.extend(more);
    all
}

/// Returns the largest number of requests in any [`WINDOW`] that begins with one of them.
fn max_in_window(arrivals: &[Instant]) -> usize {
    let in_window_from = |first: &Instant| {
        let window = *first..*first + WINDOW;
        arrivals.iter().filter(|at| window.contains(*at)).count()
    };
    arrivals
        .iter()
        .map(in_window_from)
        .max()
        .unwrap_or_default()
}

/// Lets the only upstream state a limit, and checks that it is kept and used, and that the other
/// requests are refused at once with a time to come back.
async fn expect_limit((service, versions): (&str, &[&str])) {
    let bench = Bench::start_without_upstreams().await;
    let limited = LimitedUpstream::start(None).await;
    bench.list_scripted(service, versions, &[&limited.server]);
    wait_until_listed(&bench, service).await;
    limited.limit.set(Some(LIMIT));
    let stated = Instant::now();
    let length = ADJUSTMENT_TIME + WINDOW * 2;
    let answers = send_steadily(&bench, service, length).await;
    let end = Instant::now();
    let from = stated + ADJUSTMENT_TIME;
    let arrivals = limited.arrivals_between(from, end);
    let max_requests = TOLERANCE_FACTOR * LIMIT * WINDOW.as_secs_f64() + TOLERANCE_REQUESTS;
    expect_that!(max_in_window(&arrivals), le(max_requests as usize));
    let min_used = LIMIT * (end - from).as_secs_f64() * MIN_USED_SHARE;
    expect_that!(arrivals.len() as f64, ge(min_used));
    let refused: Vec<_> = answers
        .iter()
        .filter(|(answer, _)| answer.status != 200)
        .collect();
    expect_that!(refused.len(), ge(50));
    for (answer, took) in refused {
        expect_that!(answer.status, eq(503));
        expect_that!(answer.outcome(), eq("not-run"));
        let after: u64 = answer.header("retry-after").parse().unwrap_or(0);
        expect_that!(after, all!(ge(1), le(5)));
        expect_that!(*took, lt(IMMEDIATE_REFUSAL_LIMIT));
    }
}

cases! {
    /// Guards against routers that do not keep to the rate limit that an upstream states.
    limited_plain_upstream_gets_no_more_from_all_routers_together => expect_limit(PLAIN_SERVICE);
    limited_model_upstream_gets_no_more_from_all_routers_together => expect_limit(MODEL_SERVICE);

    /// Guards against requests that may run once only and are sent without asking for the limit.
    limited_upstream_gets_no_more_requests_that_may_not_be_repeated => async {
        let bench = Bench::start_without_upstreams().await;
        let limited = LimitedUpstream::start(Some(LIMIT)).await;
        bench.list_scripted("reader-api", &[], &[&limited.server]);
        wait_until_listed(&bench, "reader-api").await;
        let began = Instant::now();
        let mut number = 0;
        while began.elapsed() < WINDOW {
            number += 1;
            bench.bookmark(ROUTERS[number % 2], &format!("key-{number}")).await;
            sleep(REQUEST_INTERVAL).await;
        }
        let arrivals = limited.arrivals_between(began, began + WINDOW);
        let max_requests = TOLERANCE_FACTOR * LIMIT * WINDOW.as_secs_f64() + TOLERANCE_REQUESTS;
        expect_that!(arrivals.len() as f64, le(max_requests));
        expect_that!(arrivals.len(), ge(2));
    };

    /// Guards against routers that do not learn that a limit is over.
    upstream_of_routers_is_used_as_before_once_it_states_no_limit => async {
        let bench = Bench::start_without_upstreams().await;
        let limited = LimitedUpstream::start(Some(LIMIT)).await;
        bench.list_scripted("reader-api", &[], &[&limited.server]);
        wait_until_listed(&bench, "reader-api").await;
        send_steadily(&bench, "reader-api", ADJUSTMENT_TIME).await;
        limited.limit.set(None);
        send_steadily(&bench, "reader-api", LIFT_TIME).await;
        for (answer, _) in send_steadily(&bench, "reader-api", WINDOW / 4).await {
            expect_that!(answer.status, eq(200));
        }
    };
}
