//! Tests upstreams that send bytes without end, behind the router's own interface: each request ends
//! at its deadline, and no answer that was cut looks complete.

mod common;

use common::scripted_upstream::{Reaction, ScriptedUpstream};
use common::{Answer, Bench, read_answer};
use googletest::prelude::*;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How long callers wait, and how much later a request may end, also on a busy machine.
const DEADLINE: Duration = Duration::from_millis(1500);
const LATE_LIMIT: Duration = Duration::from_millis(500);
/// The pause between two writes of an upstream.
const PAUSE: Duration = Duration::from_millis(5);
/// The size of a write.
const BLOCK_BYTES: usize = 4 * 1024;
/// How long the router may take to learn of an upstream.
const LISTING_TIMEOUT: Duration = Duration::from_secs(20);
const LISTING_INTERVAL: Duration = Duration::from_millis(50);
const ROUTER: &str = "ikeja-1";

const CHUNKED: &str = "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n";
const STREAM: &str =
    "HTTP/1.1 200 x\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// A beginning, and what follows it without end.
type Endless = (&'static str, &'static str);

/// What the upstreams send: in the head, and in the body.
const IN_HEAD: [Endless; 4] = [
    ("HTTP/1.1 200 ", "ok "),
    ("", "HTTP/1.1 102 Processing\r\n\r\n"),
    ("HTTP/1.1 200 x\r\n", "x-more: 1\r\n"),
    ("HTTP/1.1 200 x\r\nx-more: ", "a"),
];
const IN_BODY: [Endless; 4] = [
    ("HTTP/1.1 200 x\r\n\r\n", "body "),
    (
        "HTTP/1.1 200 x\r\ncontent-length: 9000000000\r\n\r\n",
        "body ",
    ),
    (CHUNKED, "4\r\nbody\r\n"),
    (CHUNKED, ""),
];
const IN_STREAM: [Endless; 3] = [
    (STREAM, "d\r\ndata: piece\n\n\r\n"),
    (STREAM, "9\r\n: alive\n\n\r\n"),
    (STREAM, "1\r\n\n\r\n"),
];

/// Sends a request and reads its answer.
async fn send(bench: &Bench, service: &str, method: &str, is_stream: bool) -> Answer {
    let path = match service {
        "inkmind" => "/v1/chat/completions",
        _ => "/reader-api/page",
    };
    let request = bench
        .request(ROUTER, "comics", method, path)
        .timeout(DEADLINE * 8)
        .insert_header(("gatepier-deadline-ms", DEADLINE.as_millis().to_string()));
    if service != "inkmind" {
        return read_answer(request.send().await).await;
    }
    let body = serde_json::json!({
        "model": "small", "stream": is_stream,
        "messages": [{ "role": "user", "content": "a question" }],
    });
    read_answer(request.send_json(&body).await).await
}

/// Lets the only upstream send each of these without end, and checks when requests end, and how.
async fn expect_ends_in_time(
    service: &'static str,
    versions: &[&str],
    method: &str,
    is_stream: bool,
    answers: &'static [Endless],
) {
    for (beginning, repeated) in answers {
        let bench = Bench::start_without_upstreams().await;
        let is_endless = Rc::new(Cell::new(false));
        let behaviour = is_endless.clone();
        let upstream = ScriptedUpstream::start(move |_| match behaviour.get() {
            false => common::scripted_upstream::answer(200, &[]),
            true => Reaction::Repeat {
                beginning: (*beginning).to_owned(),
                repeated: repeated.repeat(BLOCK_BYTES / repeated.len().max(1)),
                pause: PAUSE,
            },
        });
        let upstream = upstream.await;
        bench.list_scripted(service, versions, &[&upstream]);
        let started = Instant::now();
        while send(&bench, service, method, false).await.status != 200 {
            assert!(
                started.elapsed() < LISTING_TIMEOUT,
                "the upstream is not reached"
            );
            sleep(LISTING_INTERVAL).await;
        }
        is_endless.set(true);
        let began = Instant::now();
        let answer = send(&bench, service, method, is_stream).await;
        expect_that!(
            began.elapsed(),
            le(DEADLINE + LATE_LIMIT),
            "{beginning:?} {repeated:?}"
        );
        let looks_complete = answer.status == 200 && answer.whole;
        expect_that!(looks_complete, eq(false), "{beginning:?} {repeated:?}");
    }
}

cases! {
    /// Guards against requests that are held after their deadline while an upstream sends.
    plain_request_behind_a_head_without_an_end_ends_in_time =>
        expect_ends_in_time("reader-api", &[], "GET", false, &IN_HEAD);
    plain_answer_without_an_end_ends_in_time =>
        expect_ends_in_time("reader-api", &[], "GET", false, &IN_BODY);
    answer_without_an_end_to_a_request_that_runs_once_ends_in_time =>
        expect_ends_in_time("reader-api", &[], "POST", false, &IN_BODY);
    completion_without_an_end_ends_in_time =>
        expect_ends_in_time("inkmind", &["small/s1"], "POST", false, &IN_BODY);
    stream_without_an_end_ends_in_time =>
        expect_ends_in_time("inkmind", &["small/s1"], "POST", true, &IN_STREAM);
}
