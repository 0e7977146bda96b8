//! Tests that a caller gets the complete answer to its own request, or a clear failure.

mod common;

use common::scripted_upstream::{Reaction, ScriptedUpstream};
use common::{Bench, BenchPlan, completion_body, read_answer, streaming_completion_body};
use gatepier::lab::model::{BAD_ANSWER_MARKER, ModelBehaviour};
use gatepier::lab::proxy::LinkMode;
use googletest::prelude::*;

fn set_behaviour_of_all(bench: &Bench, version: &str, behaviour: ModelBehaviour) {
    bench
        .models
        .iter()
        .for_each(|model| model.stand_in.set_behaviour(version, behaviour));
}

cases! {
    interrupted_stream_is_reported_as_incomplete => async {
        let bench = Bench::start(BenchPlan::default()).await;
        set_behaviour_of_all(&bench, "small/s1", ModelBehaviour { breaking: 1.0, ..ModelBehaviour::default() });
        let answer = bench.complete("ikeja-1", "comics", streaming_completion_body("small")).await;
        expect_that!(answer.whole, eq(false));
        expect_that!(answer.body, contains_substring("\"outcome\":\"unknown\""));
        expect_that!(answer.body, not(contains_substring("[DONE]")));
    };

    answer_to_another_request_is_not_forwarded => async {
        let bench = Bench::start(BenchPlan::default()).await;
        set_behaviour_of_all(&bench, "small/s1", ModelBehaviour { crossed: true, ..ModelBehaviour::default() });
        let answer = bench.complete_as_comics("ikeja-1", "small").await;
        expect_that!(answer.status, eq(502), "{}", answer.body);
        expect_that!(answer.body, not(contains_substring("crossed\"")));
    };

    answer_of_a_service_to_another_request_is_not_forwarded => async {
        // Guards against a surplus answer of a plain service that reaches another caller.
        let bench = Bench::start_without_upstreams().await;
        let upstream = ScriptedUpstream::start(|_| {
            let body = "of another caller";
            let length = body.len();
            Reaction::Answer(format!(
                "HTTP/1.1 200 x\r\nx-request-id: other\r\ncontent-length: {length}\r\n\r\n{body}"
            ))
        })
        .await;
        bench.list_scripted("reader-api", &[], &[&upstream]);
        let get = async || {
            let request = bench.request("ikeja-1", "comics", "GET", "/reader-api/manifest");
            read_answer(request.send().await).await
        };
        let mut answers = Vec::new();
        bench.wait_for("the upstream is known", async || {
            answers.push(get().await);
            upstream.received() > 0
        })
        .await;
        answers.push(bench.bookmark("ikeja-1", "mark-1").await);
        for answer in answers {
            expect_that!(answer.status, ge(500), "{}", answer.body);
            expect_that!(answer.body, not(contains_substring("of another caller")));
        }
    };

    answer_with_a_status_that_none_may_have_is_not_forwarded => async {
        // Guards against passing on an answer of a faulty upstream that is none in the protocol.
        for status in [0, 101, 199, 600, 999] {
            let bench = Bench::start_without_upstreams().await;
            let upstream = ScriptedUpstream::start(move |_| {
                let text = format!("HTTP/1.1 {status:03} x\r\ncontent-length: 2\r\n\r\nok");
                Reaction::Answer(text)
            })
            .await;
            bench.list_scripted("reader-api", &[], &[&upstream]);
            let mut answers = Vec::new();
            bench.wait_for("the upstream is known", async || {
                let request = bench.request("ikeja-1", "comics", "GET", "/reader-api/manifest");
                answers.push(read_answer(request.send().await).await);
                upstream.received() > 0
            })
            .await;
            answers.push(bench.bookmark("ikeja-1", "mark-1").await);
            for answer in answers {
                expect_that!(answer.status, any!(eq(502), eq(503)), "{status}: {}", answer.body);
            }
        }
    };

    request_to_failing_upstream_is_retried_on_another => async {
        let bench = Bench::start(BenchPlan::default()).await;
        let failing = ModelBehaviour { failing: 1.0, ..ModelBehaviour::default() };
        bench.models[0].stand_in.set_behaviour("small/s1", failing);
        for _ in 0..10 {
            expect_that!(bench.complete_as_comics("ikeja-1", "small").await.status, eq(200));
        }
    };

    request_to_unreachable_upstream_is_retried_on_another => async {
        let bench = Bench::start(BenchPlan::default()).await;
        bench.proxy.set("up:ikeja-model-1", LinkMode::Closed);
        for _ in 0..10 {
            let answer = bench.complete("ikeja-1", "comics", streaming_completion_body("small")).await;
            expect_that!(answer.status, eq(200), "{}", answer.body);
            expect_that!(answer.whole, eq(true));
        }
    };

    inline_gate_escalates_when_the_cheap_answer_is_bad => async {
        let bench = Bench::start(BenchPlan::default()).await;
        set_behaviour_of_all(&bench, "small/s1", ModelBehaviour { quality: 0.0, ..ModelBehaviour::default() });
        let answer = bench.complete_as_comics("ikeja-1", "recap").await;
        expect_that!(answer.header("gatepier-version"), eq("large/l1"), "{}", answer.body);
        expect_that!(answer.body, not(contains_substring(BAD_ANSWER_MARKER)));
    };

    inline_gate_passes_and_marks_the_unrated_answer_without_a_rater => async {
        let bench = Bench::start(BenchPlan::default()).await;
        bench.proxy.set("rater:", LinkMode::Closed);
        let answer = bench.complete_as_comics("ikeja-1", "recap").await;
        expect_that!(answer.header("gatepier-version"), eq("small/s1"), "{}", answer.body);
        expect_that!(answer.header("gatepier-rated"), eq("no"));
    };

    inline_gate_returns_a_stream_if_one_was_requested => async {
        let bench = Bench::start(BenchPlan::default()).await;
        let answer = bench.complete("ikeja-1", "comics", streaming_completion_body("recap")).await;
        expect_that!(answer.header("content-type"), eq("text/event-stream"));
        expect_that!(answer.body, ends_with("data: [DONE]\n\n"));
    };

    repeated_completion_is_billed_once => async {
        let bench = Bench::start(BenchPlan::default()).await;
        for name in ["ikeja-1", "ikeja-2", "ikeja-1"] {
            let request = bench
                .request(name, "comics", "POST", "/v1/chat/completions")
                .insert_header(("idempotency-key", "recap-1"));
            let answer = read_answer(request.send_json(&completion_body("small")).await).await;
            expect_that!(answer.status, eq(200));
        }
        bench.wait_for("the billing record is stored", async || {
            bench.ledger().await.contains_key("recap-1")
        }).await;
        let ledger = bench.ledger().await;
        expect_that!(ledger.len(), eq(1));
        expect_that!(ledger["recap-1"].tokens, gt(0));
    };

    unknown_credential_is_refused => async {
        let bench = Bench::start(BenchPlan::default()).await;
        let request = bench.request("ikeja-1", "nobody", "GET", "/reader-api/manifest");
        let answer = read_answer(request.send().await).await;
        expect_that!(answer.status, eq(401));
        expect_that!(answer.outcome(), eq("not-run"));
    };

    malformed_body_is_refused => async {
        let bench = Bench::start(BenchPlan::default()).await;
        let request = bench.request("ikeja-1", "comics", "POST", "/v1/chat/completions");
        let answer = read_answer(request.send_body("{ not json").await).await;
        expect_that!(answer.status, eq(400));
        expect_that!(answer.outcome(), eq("not-run"));
    };

    body_over_the_limit_is_refused => async {
        let plan = BenchPlan { router_extra: "body_limit = 1000\n".to_owned(), ..BenchPlan::default() };
        let bench = Bench::start(plan).await;
        for path in ["/v1/chat/completions", "/reader-api/bookmarks"] {
            let request = bench.request("ikeja-1", "comics", "POST", path);
            let answer = read_answer(request.send_body("x".repeat(2000)).await).await;
            expect_that!(answer.status, eq(413), "{path}");
            expect_that!(answer.outcome(), eq("not-run"));
        }
    };

    caller_disconnect_cancels_the_upstream_request => async {
        let bench = Bench::start(BenchPlan::default()).await;
        let slow = ModelBehaviour { tokens: 2000, token_ms: 10, ..ModelBehaviour::default() };
        set_behaviour_of_all(&bench, "small/s1", slow);
        let request = bench.request("ikeja-1", "comics", "POST", "/v1/chat/completions");
        let mut response = request.send_json(&streaming_completion_body("small")).await.unwrap();
        let first = futures::StreamExt::next(&mut response).await;
        expect_that!(first.is_some(), eq(true));
        drop(response);
        // The router's metrics show that the request ended long before its 20 seconds of tokens.
        bench.wait_for("the request ends", async || {
            bench.router_metrics("ikeja-1").await.contains("reason=\"caller-gone\"")
        }).await;
    };

    explain_shows_the_decisions => async {
        let bench = Bench::start(BenchPlan::default()).await;
        bench.operate_ok(0, &["withdraw", "small/s2"]).await;
        bench.wait_generation(&["ikeja-1"], 3).await;
        let answer = bench.complete_as_comics("ikeja-1", "small").await;
        let id = answer.header("gatepier-request-id").to_owned();
        let text = std::cell::RefCell::new(String::new());
        bench.wait_for("an agent explains the request", async || {
            let output = bench.operate(0, &["explain", &id]).await;
            text.replace(String::from_utf8(output.stdout).unwrap());
            output.status.success()
        }).await;
        let text = text.into_inner();
        expect_that!(text, contains_substring("small/s2: withdrawn"));
        expect_that!(text, contains_substring("small/s1: chosen"));
        expect_that!(text, contains_substring("billed"));
    };
}
