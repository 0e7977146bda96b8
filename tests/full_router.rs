//! Tests of the real program against stand-in servers: a router that gets more callers than it can
//! serve, while the router beside it is idle.

mod common;

use common::{Bench, BenchPlan, completion_body, read_answer};
use gatepier::lab::skewed_load::{SkewedLoad, Target, TryResult};
use gatepier::lab::throttle::Throttle;
use googletest::prelude::*;
use std::time::Duration;

/// The part of a processor that the full router gets.
const PROCESSOR_SHARE: f64 = 0.05;
/// Several times of what that router can serve.
const LOAD: SkewedLoad = SkewedLoad {
    per_second: 600.0,
    length: Duration::from_secs(10),
    objective: Duration::from_millis(500),
};
/// The part of the callers that has to be served within the objective.
const SERVED_IN_TIME: f64 = 0.75;

cases! {
    /// Guards against a router that reads more requests than it can serve, until all of them are
    /// late, while other routers are idle.
    full_router_leaves_callers_to_idle_routers => async {
        let bench = Bench::start(BenchPlan {
            router_extra: "workers = 1\nupstream_limit = 1000\n".to_owned(),
            ..BenchPlan::default()
        });
        let mut bench = bench.await;
        let callers = bench.new_caller_view();
        let send = async move |target, _number| {
            let name = match target {
                Target::Full => "ikeja-1",
                Target::Idle => "ikeja-2",
            };
            let request = callers.request(name, "comics", "POST", "/v1/chat/completions");
            let answer = read_answer(request.send_json(&completion_body("small")).await).await;
            match answer.status {
                0 => TryResult::Closed,
                200 if answer.whole => TryResult::Served,
                _ => TryResult::Refused,
            }
        };
        let throttle = Throttle::start(bench.router("ikeja-1").id(), PROCESSOR_SHARE);
        let outcomes = LOAD.run(send).await;
        drop(throttle);
        println!("{outcomes:?}");
        let sent = outcomes.sent.get() as f64;
        expect_that!(outcomes.in_time.get() as f64, ge(sent * SERVED_IN_TIME), "{outcomes:?}");
        expect_that!(outcomes.refused.get(), eq(0), "{outcomes:?}\n{}", bench.log_tail());
    };
}
