//! Tests the path from end to end: a bundle is proposed on the command line, requests are sent over
//! HTTP, and each is answered by a version that the bundle allows.

mod common;

use common::{Bench, BenchPlan, completion_body, connect_over_h2, streaming_completion_body};
use gatepier::lab::model::ModelBehaviour;
use googletest::prelude::*;
use serde_json::Value;

/// Requests a stream over HTTP/2 and returns the received events, and the error that interrupted them
/// if there was one.
async fn read_http2_stream(bench: &Bench) -> (String, Option<h2::Error>) {
    let router = bench.boxes["ikeja-1"].files.router;
    let request = http::Request::post(format!("http://{router}/v1/chat/completions"))
        .header("authorization", "Bearer comics-key")
        .body(())
        .unwrap();
    let mut connection = connect_over_h2(router).await.ready().await.unwrap();
    let (response, mut request_body) = connection.send_request(request, false).unwrap();
    let question = streaming_completion_body("small").to_string();
    request_body.send_data(question.into(), true).unwrap();
    let response = response.await.unwrap();
    assert_eq!(response.status(), http::StatusCode::OK);
    let mut body = response.into_body();
    let mut events = Vec::new();
    while let Some(chunk) = body.data().await {
        match chunk {
            Ok(chunk) => {
                body.flow_control().release_capacity(chunk.len()).unwrap();
                events.extend_from_slice(&chunk);
            }
            Err(err) => return (String::from_utf8(events).unwrap(), Some(err)),
        }
    }
    (String::from_utf8(events).unwrap(), None)
}

cases! {
    allowed_version_answers => async {
        let bench = Bench::start(BenchPlan::default()).await;
        let answer = bench.complete_as_comics("ikeja-1", "small").await;
        expect_that!(answer.status, eq(200), "{}", answer.body);
        expect_that!(answer.header("gatepier-version"), eq("small/s1"));
        expect_that!(answer.outcome(), eq("done"));
        let body: Value = serde_json::from_str(&answer.body).unwrap();
        expect_that!(body["usage"]["total_tokens"].as_u64(), some(gt(0)));
    };

    forbidden_model_is_refused => async {
        let bench = Bench::start(BenchPlan::default()).await;
        let answer = bench.complete("ikeja-1", "tales", completion_body("large")).await;
        expect_that!(answer.status, eq(403));
        expect_that!(answer.outcome(), eq("not-run"));
        expect_that!(bench.version_runs().is_empty(), eq(true));
    };

    stream_is_complete => async {
        let bench = Bench::start(BenchPlan::default()).await;
        let answer = bench.complete("ikeja-2", "comics", streaming_completion_body("small")).await;
        expect_that!(answer.status, eq(200));
        expect_that!(answer.whole, eq(true));
        expect_that!(answer.body, ends_with("data: [DONE]\n\n"));
    };

    bookmark_runs_once_and_its_repeat_gets_the_saved_response => async {
        let bench = Bench::start(BenchPlan::default()).await;
        let first = bench.bookmark("ikeja-1", "mark-1").await;
        expect_that!(first.status, eq(200), "{}", first.body);
        let repeat = bench.bookmark("ikeja-2", "mark-1").await;
        expect_that!(repeat.status, eq(200));
        expect_that!(repeat.header("gatepier-repeated"), eq("yes"));
        expect_that!(repeat.body, eq(&first.body));
        expect_that!(bench.bookmark_runs("mark-1"), eq(1));
        bench.wait_for("the billing record is in the ledger", async || {
            bench.ledger().await.contains_key("mark-1")
        }).await;
    };

    http2_caller_is_served => async {
        let bench = Bench::start(BenchPlan::default()).await;
        let router = bench.boxes["ikeja-1"].files.router;
        let connection = connect_over_h2(router).await;
        let request = http::Request::get(format!("http://{router}/reader-api/manifest"))
            .header("authorization", "Bearer comics-key")
            .body(())
            .unwrap();
        let (response, _) = connection.ready().await.unwrap().send_request(request, true).unwrap();
        let response = response.await.unwrap();
        expect_that!(response.status().as_u16(), eq(200));
        expect_that!(response.headers()["gatepier-outcome"].as_bytes(), eq(b"done"));
    };

    http2_stream_is_complete => async {
        let bench = Bench::start(BenchPlan::default()).await;
        let (events, end) = read_http2_stream(&bench).await;
        expect_that!(events, ends_with("data: [DONE]\n\n"));
        expect_that!(end.is_none(), eq(true));
    };

    interrupted_http2_stream_is_reset => async {
        let bench = Bench::start(BenchPlan::default()).await;
        let breaking = ModelBehaviour { breaking: 1.0, ..ModelBehaviour::default() };
        bench.models.iter().for_each(|model| model.stand_in.set_behaviour("small/s1", breaking));
        let (_events, end) = read_http2_stream(&bench).await;
        expect_that!(end.is_some_and(|err| err.is_reset()), eq(true));
    };
}
