//! Upstreams that say in their answers that they leave, or that ask for rest, over the own interface.

mod common;

use common::scripted::{Reaction, ScriptedUpstream, answer};
use common::{Bench, read_answer};
use googletest::prelude::*;
use std::time::{Duration, Instant};

/// By which an upstream says that it leaves.
const LEAVING: (&str, &str) = ("gatepier-leaving", "1");
/// Requests that are sent after a sign.
const REQUESTS: usize = 20;
/// How long a list's change may take to reach the router.
const PATIENCE: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);
/// A refusal at once, on a busy machine.
const AT_ONCE: Duration = Duration::from_millis(500);

/// The services, each with what its upstreams are listed with.
const PLAIN: (&str, &[&str]) = ("reader-api", &[]);
const MODEL: (&str, &[&str]) = ("inkmind", &["small/s1"]);

async fn send(bench: &Bench, service: &str) -> common::Answer {
    match service {
        "inkmind" => bench.ask("ikeja-1", "small").await,
        _ => {
            let request = bench.request("ikeja-1", "comics", "GET", "/reader-api/page");
            read_answer(request.send().await).await
        }
    }
}

/// Sends requests until one has reached an upstream.
async fn until_reached(bench: &Bench, service: &str, upstream: &ScriptedUpstream) {
    let began = Instant::now();
    while upstream.received() == 0 {
        assert!(began.elapsed() < PATIENCE, "nothing reaches the upstream");
        send(bench, service).await;
        tokio::time::sleep(POLL).await;
    }
}

/// Lets an upstream give a sign in its first answer, lists another one beside it, and checks that
/// nothing more reaches the first.
async fn expect_left_alone((service, versions): (&str, &[&str]), sign: fn() -> Reaction) {
    let bench = Bench::start_without_upstreams().await;
    let signing = ScriptedUpstream::start(move |_| sign()).await;
    let other = ScriptedUpstream::start(|_| answer(200, &[])).await;
    bench.list_scripted(service, versions, &[&signing]);
    until_reached(&bench, service, &signing).await;
    bench.list_scripted(service, versions, &[&signing, &other]);
    until_reached(&bench, service, &other).await;
    for _ in 0..REQUESTS {
        send(&bench, service).await;
    }
    expect_that!(signing.received(), eq(1));
    expect_that!(other.received(), ge(REQUESTS));
}

/// Lets the only upstream refuse with a rest, and checks that callers are told at once for how
/// long, and that nothing more reaches it.
async fn expect_told_the_rest((service, versions): (&str, &[&str])) {
    let bench = Bench::start_without_upstreams().await;
    let resting = ScriptedUpstream::start(|_| answer(503, &[("retry-after", "30")])).await;
    bench.list_scripted(service, versions, &[&resting]);
    until_reached(&bench, service, &resting).await;
    for _ in 0..REQUESTS {
        let began = Instant::now();
        let refused = send(&bench, service).await;
        expect_that!(began.elapsed(), lt(AT_ONCE));
        expect_that!(refused.status, eq(503));
        expect_that!(refused.outcome(), eq("not-run"));
        let after: u64 = refused.header("retry-after").parse().unwrap_or(0);
        expect_that!(after, all!(ge(20), le(31)));
    }
    expect_that!(resting.received(), eq(1));
}

cases! {
    /// Guards against requests to an upstream that has said in an answer that it leaves.
    plain_upstream_that_leaves_over_the_own_interface_gets_nothing_more =>
        expect_left_alone(PLAIN, || answer(200, &[LEAVING]));
    model_upstream_that_leaves_over_the_own_interface_gets_nothing_more =>
        expect_left_alone(MODEL, || answer(200, &[LEAVING]));

    /// Guards against requests to an upstream that has asked for rest.
    plain_upstream_that_asks_the_router_for_rest_gets_nothing_meanwhile =>
        expect_left_alone(PLAIN, || answer(503, &[("retry-after", "30")]));
    model_upstream_that_asks_the_router_for_rest_gets_nothing_meanwhile =>
        expect_left_alone(MODEL, || answer(503, &[("retry-after", "30")]));

    /// Guards against callers who are told to come back while all upstreams rest yet.
    plain_callers_are_told_the_rest_over_the_own_interface => expect_told_the_rest(PLAIN);
    model_callers_are_told_the_rest_over_the_own_interface => expect_told_the_rest(MODEL);
}
