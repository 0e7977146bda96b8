//! Requests that are not idempotent run at most once, and the reported outcomes are correct.

mod common;

use common::{Bench, BenchPlan};
use gatepier::lab::proxy::LinkMode;
use gatepier::lab::service::ServiceBehaviour;
use gatepier::lab::store::StoreFaults;
use googletest::prelude::*;
use std::time::Duration;

const BOXES: [&str; 2] = ["ikeja-1", "ikeja-2"];

/// Returns a plan with a third box in another hall, which can be the witness when one of the hall's
/// two boxes is gone.
fn three_box_plan() -> BenchPlan {
    BenchPlan {
        halls: vec![("ikeja", 2), ("lekki", 1)],
        ..BenchPlan::default()
    }
}

/// Returns the box whose agent owns more shards, and the other box.
async fn owner_and_other(bench: &Bench) -> (&'static str, &'static str) {
    let mut owned = Vec::new();
    for name in BOXES {
        let status = bench.status_of(name).await.unwrap();
        owned.push((status["shards"][0].as_u64().unwrap(), name));
    }
    owned.sort();
    (owned[1].1, owned[0].1)
}

/// Sends bookmarks with different keys, which are spread over the shards, and returns how many
/// succeeded.
async fn send_bookmarks(bench: &Bench, name: &str, prefix: &str, count: usize) -> usize {
    let mut done = 0;
    for number in 0..count {
        let answer = bench.bookmark(name, &format!("{prefix}-{number}")).await;
        done += usize::from(answer.status == 200);
    }
    done
}

fn max_runs_per_key(bench: &Bench, prefix: &str, count: usize) -> usize {
    (0..count)
        .map(|number| bench.bookmark_runs(&format!("{prefix}-{number}")))
        .max()
        .unwrap()
}

async fn wait_until_owner_of_all_shards(bench: &Bench, name: &str) {
    let shards = u64::from(gatepier::claim::SHARDS_PER_HALL);
    bench
        .wait_for(&format!("{name} owns all shards"), async || {
            let status = bench.status_of(name).await;
            status.is_some_and(|status| status["shards"][0].as_u64() == Some(shards))
        })
        .await;
}

/// Waits until bookmarks with new keys on all shards succeed.
async fn wait_for_grants(bench: &Bench, name: &str) {
    let round = std::cell::Cell::new(0);
    bench
        .wait_for("bookmarks are granted again", async || {
            round.set(round.get() + 1);
            send_bookmarks(bench, name, &format!("probe-{name}-{}", round.get()), 8).await == 8
        })
        .await;
}

cases! {
    witness_takes_over_the_claims_of_a_killed_owner => async {
        let mut bench = Bench::start(three_box_plan()).await;
        let (owner, other) = owner_and_other(&bench).await;
        expect_that!(send_bookmarks(&bench, other, "kept", 16).await, eq(16));
        bench.agent(owner).kill();
        wait_for_grants(&bench, other).await;
        for number in 0..16 {
            let repeat = bench.bookmark(other, &format!("kept-{number}")).await;
            expect_that!(repeat.header("gatepier-repeated"), eq("yes"), "{}", repeat.body);
        }
        expect_that!(max_runs_per_key(&bench, "kept", 16), eq(1));
    };

    resumed_owner_grants_nothing_in_its_old_epoch => async {
        let mut bench = Bench::start(three_box_plan()).await;
        let (owner, other) = owner_and_other(&bench).await;
        bench.agent(owner).suspend();
        wait_for_grants(&bench, other).await;
        expect_that!(send_bookmarks(&bench, other, "woken", 16).await, eq(16));
        bench.agent(owner).resume();
        // The resumed agent still considers itself the owner when these requests arrive.
        for number in 0..16 {
            bench.bookmark(owner, &format!("woken-{number}")).await;
        }
        expect_that!(max_runs_per_key(&bench, "woken", 16), eq(1));
    };

    claims_are_granted_while_the_store_is_unavailable => async {
        let bench = Bench::start(BenchPlan::default()).await;
        bench.set_store_faults(StoreFaults { down: true, ..StoreFaults::default() });
        expect_that!(send_bookmarks(&bench, "ikeja-1", "away", 16).await, eq(16));
        expect_that!(send_bookmarks(&bench, "ikeja-2", "away", 16).await, eq(16));
        expect_that!(max_runs_per_key(&bench, "away", 16), eq(1));
        bench.set_store_faults(StoreFaults::default());
        bench.wait_for("all bills are in the ledger", async || {
            let ledger = bench.ledger().await;
            (0..16).all(|number| ledger.contains_key(&format!("away-{number}")))
        }).await;
    };

    requests_whose_claims_are_lost_are_unknown_and_not_rerun => async {
        let mut bench = Bench::start(BenchPlan::default()).await;
        expect_that!(send_bookmarks(&bench, "ikeja-1", "lost", 8).await, eq(8));
        for name in BOXES {
            bench.agent(name).kill();
            bench.router(name).kill();
        }
        for name in BOXES {
            bench.start_agent(name);
            bench.start_router(name);
        }
        bench.wait_ready().await;
        for number in 0..8 {
            let repeat = bench.bookmark("ikeja-1", &format!("lost-{number}")).await;
            expect_that!(repeat.status, eq(503), "{}", repeat.body);
            expect_that!(repeat.outcome(), eq("unknown"));
        }
        expect_that!(max_runs_per_key(&bench, "lost", 8), eq(1));
        // This request is new, but its id is generated within the allowed clock skew of the loss, so
        // it might have been claimed before.
        let request = bench.request("ikeja-1", "comics", "POST", "/reader-api/bookmarks");
        let fresh = common::read_answer(request.send_body("new").await).await;
        expect_that!(fresh.status, eq(503), "generated within the allowed clock skew: {}", fresh.body);
    };

    routers_resubmit_ends_of_requests_that_both_agents_lost => async {
        let mut bench = Bench::start(BenchPlan::default()).await;
        bench.set_store_faults(StoreFaults { down: true, ..StoreFaults::default() });
        expect_that!(send_bookmarks(&bench, "ikeja-1", "restored", 8).await, eq(8));
        for name in BOXES {
            bench.agent(name).kill();
        }
        bench.set_store_faults(StoreFaults::default());
        for name in BOXES {
            bench.start_agent(name);
        }
        bench.wait_ready().await;
        bench.wait_for("all bills are in the ledger", async || {
            let ledger = bench.ledger().await;
            (0..8).all(|number| ledger.contains_key(&format!("restored-{number}")))
        }).await;
        for number in 0..8 {
            let repeat = bench.bookmark("ikeja-2", &format!("restored-{number}")).await;
            expect_that!(repeat.header("gatepier-repeated"), eq("yes"), "{}", repeat.body);
        }
        expect_that!(max_runs_per_key(&bench, "restored", 8), eq(1));
    };

    owner_without_a_witness_refuses_as_not_run_with_retry_after => async {
        let mut bench = Bench::start(BenchPlan::default()).await;
        let (owner, other) = owner_and_other(&bench).await;
        bench.agent(other).suspend();
        bench.wait_for("a bookmark is refused", async || {
            let answer = bench.bookmark(owner, "alone").await;
            answer.status == 503
                && answer.outcome() == "not-run"
                && !answer.header("retry-after").is_empty()
        }).await;
        expect_that!(bench.bookmark_runs("alone"), eq(0));
        bench.agent(other).resume();
        bench.wait_for("the bookmark runs", async || {
            bench.bookmark(owner, "alone").await.status == 200
        }).await;
        expect_that!(bench.bookmark_runs("alone"), eq(1));
    };

    connection_that_breaks_after_the_request_is_unknown_and_not_retried => async {
        let bench = Bench::start(BenchPlan::default()).await;
        let service = &bench.services[0].stand_in;
        service.set_behaviour(ServiceBehaviour { delay_ms: 400, ..ServiceBehaviour::default() });
        let sent = bench.bookmark("ikeja-1", "broken");
        let cut = async {
            bench.wait_for("the bookmark runs", async || bench.bookmark_runs("broken") == 1).await;
            bench.proxy.set("up:ikeja-reader-1", LinkMode::Closed);
        };
        let (answer, ()) = futures::join!(sent, cut);
        expect_that!(answer.outcome(), eq("unknown"), "{}", answer.body);
        bench.proxy.set("up:ikeja-reader-1", LinkMode::Open);
        let repeat = bench.bookmark("ikeja-2", "broken").await;
        expect_that!(repeat.status, eq(409), "{}", repeat.body);
        expect_that!(repeat.outcome(), eq("unknown"));
        expect_that!(bench.bookmark_runs("broken"), eq(1));
    };

    request_whose_response_is_lost_is_unknown => async {
        let bench = Bench::start(BenchPlan::default()).await;
        bench.proxy.set("up:ikeja-reader-1", LinkMode::DropAnswers);
        let answer = bench.bookmark("ikeja-1", "answerless").await;
        expect_that!(answer.outcome(), eq("unknown"), "{}", answer.body);
        bench.proxy.set("up:ikeja-reader-1", LinkMode::Open);
        bench.bookmark("ikeja-1", "answerless").await;
        expect_that!(bench.bookmark_runs("answerless"), eq(1));
    };

    request_to_an_unreachable_upstream_is_not_run_and_can_be_retried => async {
        let plan = BenchPlan { services: 0, ..BenchPlan::default() };
        let mut bench = Bench::start(plan).await;
        let dead = common::unused_address();
        bench.list_service("dead", "ikeja", dead);
        bench.wait_for("the dead upstream is tried", async || {
            let answer = bench.bookmark("ikeja-1", "unreached").await;
            expect_that!(answer.outcome(), eq("not-run"), "{}", answer.body);
            answer.status == 502
        }).await;
        bench.add_service("alive", "ikeja").await;
        bench.wait_for("the bookmark runs", async || {
            bench.bookmark("ikeja-1", "unreached").await.status == 200
        }).await;
        expect_that!(bench.bookmark_runs("unreached"), eq(1));
    };

    repeat_returns_the_response_that_a_disconnected_caller_missed => async {
        let bench = Bench::start(BenchPlan::default()).await;
        let service = &bench.services[0].stand_in;
        service.set_behaviour(ServiceBehaviour { delay_ms: 500, ..ServiceBehaviour::default() });
        let disconnected = actix_rt::time::timeout(Duration::from_millis(200), bench.bookmark("ikeja-1", "left"));
        expect_that!(disconnected.await.is_err(), eq(true));
        bench.wait_for("the repeat gets the answer", async || {
            bench.bookmark("ikeja-2", "left").await.header("gatepier-repeated") == "yes"
        }).await;
        expect_that!(bench.bookmark_runs("left"), eq(1));
    };

    planned_stop_of_an_agent_hands_over_claims_and_bills => async {
        let mut bench = Bench::start(three_box_plan()).await;
        let (owner, other) = owner_and_other(&bench).await;
        expect_that!(send_bookmarks(&bench, other, "handed", 16).await, eq(16));
        bench.agent(owner).signal(libc::SIGTERM);
        bench.wait_for_agent_exit(owner).await;
        wait_until_owner_of_all_shards(&bench, other).await;
        wait_for_grants(&bench, other).await;
        for number in 0..16 {
            let repeat = bench.bookmark(other, &format!("handed-{number}")).await;
            expect_that!(repeat.header("gatepier-repeated"), eq("yes"), "{}", repeat.body);
        }
        bench.wait_for("all bills are in the ledger", async || {
            let ledger = bench.ledger().await;
            (0..16).all(|number| ledger.contains_key(&format!("handed-{number}")))
        }).await;
    };
}
