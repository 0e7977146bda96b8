//! Tests a router that reaches no upstream.

mod common;

use common::{Bench, BenchPlan, streaming_completion_body};
use gatepier::lab::model::ModelBehaviour;
use gatepier::lab::proxy::LinkMode;
use googletest::prelude::*;
use std::time::{Duration, Instant};

/// How long a stream takes at least.
const TOKEN_MS: u64 = 100;
/// How long the crash checks may take.
const CHECK_TIMEOUT: Duration = Duration::from_secs(10);

cases! {
    // Guards against taking a router's own partition for crashes of upstreams, which would withhold
    // the requests that ran there at all routers.
    partitioned_router_blames_no_request_for_crashes => async {
        let bench = Bench::start(BenchPlan::default()).await;
        let slow = ModelBehaviour { token_ms: TOKEN_MS, tokens: 20, ..ModelBehaviour::default() };
        for model in &bench.models {
            model.stand_in.set_behaviour("small/s1", slow);
        }
        let streams = (0..6).map(|_| {
            bench.complete("ikeja-1", "comics", streaming_completion_body("small"))
        });
        let cut = async {
            tokio::time::sleep(Duration::from_millis(5 * TOKEN_MS)).await;
            bench.proxy.set("up:", LinkMode::Refusing);
        };
        let (answers, ()) = futures::future::join(futures::future::join_all(streams), cut).await;
        expect_that!(answers.iter().filter(|answer| !answer.whole).count(), eq(6));
        let began = Instant::now();
        while bench.log_count("an attempt was interrupted") < 6 && began.elapsed() < CHECK_TIMEOUT {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        expect_that!(bench.log_count("an attempt was interrupted: Unreachable"), eq(6));
        expect_that!(bench.log_count("an attempt was interrupted: Crashed"), eq(0));
    };
}
