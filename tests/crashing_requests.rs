//! Tests requests that crash the upstreams that run them, sent to the router's own interface.

mod common;

use common::scripted_upstream::{Reaction, ScriptedUpstream, answer};
use common::{Bench, completion_body, read_answer};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// The content of a request that crashes its upstream in these tests.
const CRASHING_CONTENT: &str = "crash-the-engine";
/// The most upstreams that a request may crash: three before it is a suspect, and three more.
const MAX_CRASHED_UPSTREAMS: usize = 3 + 3;
/// How often a crashing request is sent, and the time between two sends.
const SENDS: usize = 12;
const SEND_INTERVAL: Duration = Duration::from_millis(400);
/// How long a change of the upstream list may take to reach the routers.
const LISTING_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts two routers, and upstreams of a service that crash when a request instructs them to.
async fn start(service: &str, versions: &[&str], count: usize) -> (Bench, Vec<ScriptedUpstream>) {
    let bench = Bench::start_without_upstreams().await;
    let mut upstreams = Vec::new();
    for _ in 0..count {
        let react = |text: &str| match text.contains(CRASHING_CONTENT) {
            true => Reaction::Crash,
            false => answer(200, &[]),
        };
        upstreams.push(ScriptedUpstream::start(react).await);
    }
    let listed: Vec<&ScriptedUpstream> = upstreams.iter().collect();
    bench.list_scripted(service, versions, &listed);
    (bench, upstreams)
}

fn count_crashed(upstreams: &[ScriptedUpstream]) -> usize {
    let crashed = upstreams.iter().filter(|upstream| upstream.has_crashed());
    crashed.count()
}

/// Waits until both routers get answers to a harmless request.
async fn wait_until_served(bench: &Bench, send: impl AsyncFn(&str) -> u16) {
    let started = Instant::now();
    for router in bench.boxes.keys() {
        while send(router).await != 200 {
            assert!(
                started.elapsed() < LISTING_TIMEOUT,
                "{router} serves no requests"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

async fn complete(bench: &Bench, router: &str, content: &str) -> (u16, Value) {
    let mut body = completion_body("small");
    body["messages"][0]["content"] = Value::from(content);
    let answer = bench.complete(router, "comics", body).await;
    let parsed = serde_json::from_str(&answer.body).unwrap_or_default();
    (answer.status, parsed)
}

/// Sends a request of its own with two messages that others share.
async fn complete_with_shared(
    bench: &Bench,
    router: &str,
    shared: [&str; 2],
    content: &str,
) -> (u16, String) {
    let mut body = completion_body("small");
    body["messages"] = json!([
        {"role": "system", "content": shared[0]},
        {"role": "user", "content": shared[1]},
        {"role": "user", "content": content},
    ]);
    let answer = bench.complete(router, "comics", body).await;
    (answer.status, answer.body)
}

async fn read_page(bench: &Bench, router: &str, page: &str) -> u16 {
    let path = format!("/reader-api/{page}");
    let request = bench.request(router, "comics", "GET", &path);
    read_answer(request.send().await).await.status
}

/// Sends a crashing request to the routers in turn, and checks that it is quarantined.
async fn expect_quarantined(
    bench: &Bench,
    upstreams: &[ScriptedUpstream],
    send: impl AsyncFn(&str) -> u16,
) {
    let routers: Vec<&String> = bench.boxes.keys().collect();
    let mut last = 0;
    for index in 0..SENDS {
        last = send(routers[index % routers.len()]).await;
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    expect_that!(count_crashed(upstreams), le(MAX_CRASHED_UPSTREAMS));
    expect_that!(last, eq(400));
}

cases! {
    /// Guards against repeats of a completion that crashes each engine that runs it.
    completion_that_crashes_engines_is_refused_by_all_routers => async {
        let (bench, upstreams) = start("inkmind", &["small/s1"], 16).await;
        wait_until_served(&bench, async |router| complete(&bench, router, "hello").await.0).await;
        expect_quarantined(&bench, &upstreams, async |router| {
            complete(&bench, router, CRASHING_CONTENT).await.0
        })
        .await;
        expect_that!(complete(&bench, "ikeja-1", "hello again").await.0, eq(200));
    };

    /// Guards against a message that crashes one engine after the other, since no two requests with it
    /// are equal.
    message_that_crashes_engines_is_withheld_by_all_routers => async {
        let (bench, upstreams) = start("inkmind", &["small/s1"], 16).await;
        wait_until_served(&bench, async |router| complete(&bench, router, "hello").await.0).await;
        let routers: Vec<&String> = bench.boxes.keys().collect();
        let mut last = (0, String::new());
        for index in 0..SENDS {
            let router = routers[index % routers.len()];
            let content = format!("question {index}");
            let sound = ["be brief", "sound"];
            expect_that!(complete_with_shared(&bench, router, sound, &content).await.0, eq(200));
            let crashing = ["be brief", CRASHING_CONTENT];
            last = complete_with_shared(&bench, router, crashing, &content).await;
            tokio::time::sleep(SEND_INTERVAL).await;
        }
        expect_that!(count_crashed(&upstreams), le(MAX_CRASHED_UPSTREAMS));
        expect_that!(last.0, eq(503));
        expect_that!(last.1, contains_substring("part-crashes-upstreams"));
    };

    /// Guards against repeats of a plain service's request that crashes each upstream that runs it.
    plain_request_that_crashes_upstreams_is_refused_by_all_routers => async {
        let (bench, upstreams) = start("reader-api", &[], 16).await;
        wait_until_served(&bench, async |router| read_page(&bench, router, "page").await).await;
        expect_quarantined(&bench, &upstreams, async |router| {
            read_page(&bench, router, CRASHING_CONTENT).await
        })
        .await;
        expect_that!(read_page(&bench, "ikeja-1", "page").await, eq(200));
    };
}
