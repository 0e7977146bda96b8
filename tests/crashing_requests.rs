//! Requests that crash the upstreams that run them, over the own interface.

mod common;

use common::scripted::{Reaction, ScriptedUpstream, answer};
use common::{Bench, question, read_answer};
use googletest::prelude::*;
use serde_json::Value;
use std::time::{Duration, Instant};

/// What a request that crashes its upstream contains, in these tests.
const CRASHING: &str = "crash-the-engine";
/// Upstreams that a request may end: three before it can be known, and as many more.
const MOST_CRASHED: usize = 3 + 3;
/// How often a crashing request comes again, and the time between.
const SENDS: usize = 12;
const SEND_INTERVAL: Duration = Duration::from_millis(400);
/// How long a list's change may take to reach the routers.
const PATIENCE: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);

/// Starts two routers before upstreams of a service that crash when they are asked to.
async fn start(service: &str, versions: &[&str], count: usize) -> (Bench, Vec<ScriptedUpstream>) {
    let bench = Bench::start_without_upstreams().await;
    let mut upstreams = Vec::new();
    for _ in 0..count {
        let react = |text: &str| match text.contains(CRASHING) {
            true => Reaction::Crash,
            false => answer(200, &[]),
        };
        upstreams.push(ScriptedUpstream::start(react).await);
    }
    let listed: Vec<&ScriptedUpstream> = upstreams.iter().collect();
    bench.list_scripted(service, versions, &listed);
    (bench, upstreams)
}

fn crashed(upstreams: &[ScriptedUpstream]) -> usize {
    let crashed = upstreams.iter().filter(|upstream| upstream.has_crashed());
    crashed.count()
}

/// Waits until both routers get answers to a request that harms nobody.
async fn until_served(bench: &Bench, send: impl AsyncFn(&str) -> u16) {
    let began = Instant::now();
    for router in bench.boxes.keys() {
        while send(router).await != 200 {
            assert!(began.elapsed() < PATIENCE, "{router} serves nothing");
            tokio::time::sleep(POLL).await;
        }
    }
}

async fn complete(bench: &Bench, router: &str, content: &str) -> (u16, Value) {
    let mut body = question("small");
    body["messages"][0]["content"] = Value::from(content);
    let answer = bench.complete(router, "comics", body).await;
    let parsed = serde_json::from_str(&answer.body).unwrap_or_default();
    (answer.status, parsed)
}

async fn read_page(bench: &Bench, router: &str, page: &str) -> u16 {
    let path = format!("/reader-api/{page}");
    let request = bench.request(router, "comics", "GET", &path);
    read_answer(request.send().await).await.status
}

/// Sends a crashing request to the routers in turn, and checks that it is given up.
async fn expect_given_up(
    bench: &Bench,
    upstreams: &[ScriptedUpstream],
    send: impl AsyncFn(&str) -> u16,
) {
    let routers: Vec<&String> = bench.boxes.keys().collect();
    let mut last = 0;
    for number in 0..SENDS {
        last = send(routers[number % routers.len()]).await;
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    expect_that!(crashed(upstreams), le(MOST_CRASHED));
    expect_that!(last, eq(400));
}

cases! {
    /// Guards against repeats of a completion that ends each engine that runs it.
    completion_that_crashes_its_engines_is_refused_by_all_routers => async {
        let (bench, upstreams) = start("inkmind", &["small/s1"], 16).await;
        until_served(&bench, async |router| complete(&bench, router, "hello").await.0).await;
        expect_given_up(&bench, &upstreams, async |router| {
            complete(&bench, router, CRASHING).await.0
        })
        .await;
        expect_that!(complete(&bench, "ikeja-1", "hello again").await.0, eq(200));
    };

    /// Guards against the same at a plain service.
    plain_request_that_crashes_its_upstreams_is_refused_by_all_routers => async {
        let (bench, upstreams) = start("reader-api", &[], 16).await;
        until_served(&bench, async |router| read_page(&bench, router, "page").await).await;
        expect_given_up(&bench, &upstreams, async |router| {
            read_page(&bench, router, CRASHING).await
        })
        .await;
        expect_that!(read_page(&bench, "ikeja-1", "page").await, eq(200));
    };
}
