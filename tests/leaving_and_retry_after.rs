//! Tests upstreams that announce in their responses that they are leaving, or that request a
//! back-off by `retry-after`, behind the router's own interface.

mod common;

use common::scripted_upstream::{Reaction, ScriptedUpstream, answer};
use common::{Bench, read_answer};
use googletest::prelude::*;
use std::time::{Duration, Instant};

/// The header by which an upstream announces that it is leaving.
const LEAVING_HEADER: (&str, &str) = ("gatepier-leaving", "1");
/// The number of requests that are sent after the signal of an upstream.
const REQUESTS_AFTER_SIGNAL: usize = 20;
/// How long a change of the upstream list may take to reach the router.
const LISTING_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The most time that an immediate refusal may take on a busy machine.
const IMMEDIATE_REFUSAL_LIMIT: Duration = Duration::from_millis(500);

/// The services, each with the versions of its upstreams.
const PLAIN_SERVICE: (&str, &[&str]) = ("reader-api", &[]);
const MODEL_SERVICE: (&str, &[&str]) = ("inkmind", &["small/s1"]);

async fn send(bench: &Bench, service: &str) -> common::Answer {
    match service {
        "inkmind" => bench.complete_as_comics("ikeja-1", "small").await,
        _ => {
            let request = bench.request("ikeja-1", "comics", "GET", "/reader-api/page");
            read_answer(request.send().await).await
        }
    }
}

/// Sends requests until one has reached an upstream.
async fn wait_until_reached(bench: &Bench, service: &str, upstream: &ScriptedUpstream) {
    let started = Instant::now();
    while upstream.received() == 0 {
        assert!(
            started.elapsed() < LISTING_TIMEOUT,
            "no request reaches the upstream"
        );
        send(bench, service).await;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Lets an upstream send a signal in its first response, lists another one beside it, and checks that
/// no more requests reach the first.
async fn expect_no_more_requests((service, versions): (&str, &[&str]), signal: fn() -> Reaction) {
    let bench = Bench::start_without_upstreams().await;
    let signalling = ScriptedUpstream::start(move |_| signal()).await;
    let other = ScriptedUpstream::start(|_| answer(200, &[])).await;
    bench.list_scripted(service, versions, &[&signalling]);
    wait_until_reached(&bench, service, &signalling).await;
    bench.list_scripted(service, versions, &[&signalling, &other]);
    wait_until_reached(&bench, service, &other).await;
    for _ in 0..REQUESTS_AFTER_SIGNAL {
        send(&bench, service).await;
    }
    expect_that!(signalling.received(), eq(1));
    expect_that!(other.received(), ge(REQUESTS_AFTER_SIGNAL));
}

/// Lets the only upstream refuse with `retry-after`, and checks that callers are refused at once with
/// the remaining time, and that no more requests reach it.
async fn expect_retry_after((service, versions): (&str, &[&str])) {
    let bench = Bench::start_without_upstreams().await;
    let backing_off = ScriptedUpstream::start(|_| answer(503, &[("retry-after", "30")])).await;
    bench.list_scripted(service, versions, &[&backing_off]);
    wait_until_reached(&bench, service, &backing_off).await;
    for _ in 0..REQUESTS_AFTER_SIGNAL {
        let started = Instant::now();
        let refused = send(&bench, service).await;
        expect_that!(started.elapsed(), lt(IMMEDIATE_REFUSAL_LIMIT));
        expect_that!(refused.status, eq(503));
        expect_that!(refused.outcome(), eq("not-run"));
        let after: u64 = refused.header("retry-after").parse().unwrap_or(0);
        expect_that!(after, all!(ge(20), le(31)));
    }
    expect_that!(backing_off.received(), eq(1));
}

cases! {
    /// Guards against requests to an upstream that has announced in a response that it is leaving.
    leaving_plain_upstream_gets_no_more_requests =>
        expect_no_more_requests(PLAIN_SERVICE, || answer(200, &[LEAVING_HEADER]));
    leaving_model_upstream_gets_no_more_requests =>
        expect_no_more_requests(MODEL_SERVICE, || answer(200, &[LEAVING_HEADER]));

    /// Guards against requests to an upstream during the back-off that it has requested.
    plain_upstream_gets_no_requests_during_its_retry_after =>
        expect_no_more_requests(PLAIN_SERVICE, || answer(503, &[("retry-after", "30")]));
    model_upstream_gets_no_requests_during_its_retry_after =>
        expect_no_more_requests(MODEL_SERVICE, || answer(503, &[("retry-after", "30")]));

    /// Guards against a `retry-after` that ends while all upstreams are still in their back-off.
    plain_callers_get_the_remaining_retry_after => expect_retry_after(PLAIN_SERVICE);
    model_callers_get_the_remaining_retry_after => expect_retry_after(MODEL_SERVICE);
}
