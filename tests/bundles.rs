//! Tests that an accepted change takes effect on all boxes within seconds and is never reverted.

mod common;

use common::{BUNDLE, Bench, BenchPlan, PARTNER};
use gatepier::change::{Action, ChangeEntry, ControlState, Generation, SignedEntry};
use gatepier::clock::Now;
use gatepier::keys::OperatorKey;
use gatepier::lab::proxy::LinkMode;
use gatepier::lab::store::StoreFaults;
use gatepier::name::VersionName;
use gatepier::store::layout::{change_key, head_key};
use googletest::prelude::*;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Required time within which a change takes effect on every box.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(13);

fn two_halls() -> BenchPlan {
    BenchPlan {
        halls: vec![("ikeja", 2), ("lekki", 2)],
        ..BenchPlan::default()
    }
}

const ALL_BOXES: [&str; 4] = ["ikeja-1", "ikeja-2", "lekki-1", "lekki-2"];

/// Returns a withdrawal in the name of an operator, signed with the given key.
fn forged_entry(key: &OperatorKey, operator: &str, generation: u64) -> SignedEntry {
    let version = VersionName::parse("small/s1").unwrap();
    let withdrawn = BTreeSet::from([version.clone()]);
    let entry = ChangeEntry {
        partner: PARTNER.to_owned(),
        generation: Generation(generation),
        operation: "forged".to_owned(),
        operator: operator.to_owned(),
        at: Now::read().wall,
        action: Action::Withdraw { version },
        state: ControlState {
            withdrawn,
            ..ControlState::default()
        },
    };
    SignedEntry::sign(&entry, key)
}

/// Waits until the given boxes refuse the version that the tests withdraw.
async fn wait_withdrawn(bench: &Bench, names: &[&str]) {
    for name in names {
        bench
            .wait_for(
                &format!("{name} refuses the withdrawn version"),
                async || bench.complete_as_comics(name, "small/s2").await.status != 200,
            )
            .await;
    }
}

/// Makes twenty changes at the same time; returns how many of them succeeded.
async fn make_racing_changes(bench: &Bench) -> usize {
    let percents: Vec<String> = (0..20).map(|percent| percent.to_string()).collect();
    let calls = percents
        .iter()
        .enumerate()
        .map(|(number, percent)| async move {
            let args = ["roll", "small/s2", percent.as_str()];
            bench.operate(number % 2, &args).await.status.code()
        });
    let codes = futures::future::join_all(calls).await;
    expect_that!(
        codes.iter().all(|code| matches!(code, Some(0 | 1))),
        eq(true),
        "{codes:?}"
    );
    codes.iter().filter(|code| **code == Some(0)).count()
}

cases! {
    withdrawn_version_gets_no_new_request_on_any_box => async {
        let bench = Bench::start(two_halls()).await;
        let started = Instant::now();
        bench.operate_ok(0, &["withdraw", "small/s2"]).await;
        wait_withdrawn(&bench, &ALL_BOXES).await;
        expect_that!(started.elapsed(), lt(IN_FORCE_LIMIT));
        let before = bench.version_runs().get("small/s2").copied().unwrap_or(0);
        for name in ALL_BOXES {
            for _ in 0..10 {
                bench.complete_as_comics(name, "small/s2").await;
            }
        }
        expect_that!(bench.version_runs().get("small/s2").copied().unwrap_or(0), eq(before));
    };

    one_of_several_racing_changes_wins_each_generation => async {
        let bench = Bench::start(BenchPlan::default()).await;
        let succeeded = make_racing_changes(&bench).await;
        let audit: serde_json::Value =
            serde_json::from_str(&bench.operate_ok(0, &["--json", "audit"]).await).unwrap();
        let entries = audit.as_array().unwrap();
        expect_that!(entries.len(), eq(succeeded + 2), "two entries put the bundle into force");
        expect_that!(entries.iter().all(|entry| entry["valid"] == true), eq(true));
    };

    change_succeeds_by_reading_it_back_if_the_answer_of_the_store_is_lost => async {
        let bench = Bench::start(BenchPlan::default()).await;
        bench.set_store_faults(StoreFaults { lose_answers: 1, ..StoreFaults::default() });
        let output = bench.operate(0, &["withdraw", "small/s2"]).await;
        expect_that!(output.status.code(), some(eq(0)));
        bench.wait_generation(&["ikeja-1", "ikeja-2"], 3).await;
    };

    change_fails_with_an_exit_code_while_the_store_is_down => async {
        let bench = Bench::start(BenchPlan::default()).await;
        bench.set_store_faults(StoreFaults { down: true, ..StoreFaults::default() });
        let output = bench.operate(0, &["withdraw", "small/s2"]).await;
        expect_that!(output.status.code(), some(eq(1)));
        expect_that!(bench.complete_as_comics("ikeja-1", "small").await.status, eq(200));
    };

    entry_of_an_unknown_signer_is_ignored => async {
        let mut bench = Bench::start(BenchPlan::default()).await;
        let stranger = OperatorKey::generate("stranger");
        for (operator, generation) in [("stranger", 3), ("ada", 4)] {
            let forged = forged_entry(&stranger, operator, generation);
            let value = serde_json::to_vec(&forged).unwrap();
            bench.store.write(&change_key(PARTNER, Generation(generation)), &value);
            bench.store.write(&head_key(PARTNER), generation.to_string().as_bytes());
        }
        bench.wait_for("the entries have been read and refused", async || {
            bench.log_count("rejecting an invalid entry of the change log") > 0
        }).await;
        let status = bench.status_of("ikeja-1").await.unwrap();
        expect_that!(status["generation"].as_u64(), some(eq(2)));
        expect_that!(bench.complete_as_comics("ikeja-1", "small").await.status, eq(200));
        // The forged entries block neither operators nor a restarted agent.
        bench.agent("ikeja-1").kill();
        bench.start_agent("ikeja-1");
        bench.wait_generation(&["ikeja-1"], 2).await;
        bench.operate_ok(0, &["withdraw", "small/s2"]).await;
        bench.wait_generation(&["ikeja-1", "ikeja-2"], 5).await;
    };

    author_cannot_sign_off_alone => async {
        let bench = Bench::start_without_bundle(BenchPlan::default()).await;
        std::fs::write(&bench.bundle, BUNDLE).unwrap();
        let file = bench.bundle.to_str().unwrap();
        bench.operate_ok(0, &["propose", file]).await;
        let output = bench.operate(0, &["sign", file]).await;
        expect_that!(output.status.code(), some(eq(1)));
        expect_that!(bench.complete_as_comics("ikeja-1", "small").await.status, eq(503));
    };

    change_reaches_a_hall_that_cannot_reach_the_store => async {
        let bench = Bench::start(two_halls()).await;
        bench.proxy.set("store:lekki", LinkMode::Stalled);
        let started = Instant::now();
        bench.operate_ok(0, &["withdraw", "small/s2"]).await;
        wait_withdrawn(&bench, &ALL_BOXES).await;
        expect_that!(started.elapsed(), lt(IN_FORCE_LIMIT));
    };

    partitioned_hall_keeps_serving_and_catches_up_after_the_partition => async {
        let bench = Bench::start(two_halls()).await;
        let cut = ["store:lekki", "list:lekki", "ikeja>lekki", "lekki>ikeja"];
        cut.iter().for_each(|link| bench.proxy.set(link, LinkMode::Stalled));
        bench.operate_ok(0, &["withdraw", "small/s2"]).await;
        wait_withdrawn(&bench, &["ikeja-1", "ikeja-2"]).await;
        expect_that!(bench.complete_as_comics("lekki-1", "small").await.status, eq(200));
        cut.iter().for_each(|link| bench.proxy.set(link, LinkMode::Open));
        let started = Instant::now();
        wait_withdrawn(&bench, &["lekki-1", "lekki-2"]).await;
        expect_that!(started.elapsed(), lt(IN_FORCE_LIMIT));
    };

    box_started_during_a_store_outage_gets_the_changes_from_a_peer => async {
        let mut bench = Bench::start(two_halls()).await;
        bench.operate_ok(0, &["withdraw", "small/s2"]).await;
        bench.wait_generation(&ALL_BOXES, 3).await;
        bench.set_store_faults(StoreFaults { down: true, ..StoreFaults::default() });
        bench.agent("lekki-1").kill();
        bench.router("lekki-1").kill();
        bench.start_agent("lekki-1");
        bench.start_router("lekki-1");
        let files = bench.boxes["lekki-1"].files.clone();
        bench.wait_router_ready(&files).await;
        bench.wait_for("the box serves", async || bench.complete_as_comics("lekki-1", "small").await.status == 200).await;
        expect_that!(bench.complete_as_comics("lekki-1", "small/s2").await.status, eq(503));
    };

    each_hall_has_exactly_one_hub => async {
        const SAMPLES: usize = 60;
        let plan = BenchPlan { halls: vec![("ikeja", 8), ("lekki", 8)], routers: false, ..BenchPlan::default() };
        let bench = Bench::start_without_bundle(plan).await;
        let hubs = async || {
            let statuses = bench.statuses().await;
            statuses.iter().filter(|status| status["is_hub"] == true).count()
        };
        bench.wait_for("each hall has a hub", async || hubs().await == 2).await;
        let mut max_hubs = 0;
        for _ in 0..SAMPLES {
            max_hubs = max_hubs.max(hubs().await);
            actix_rt::time::sleep(Duration::from_millis(200)).await;
        }
        expect_that!(max_hubs, eq(2));
    };

    withdrawal_reaches_a_router_whose_agent_is_killed_or_frozen => async {
        let mut bench = Bench::start(two_halls()).await;
        bench.agent("ikeja-1").kill();
        bench.agent("lekki-1").suspend();
        let started = Instant::now();
        bench.operate_ok(0, &["withdraw", "small/s2"]).await;
        wait_withdrawn(&bench, &ALL_BOXES).await;
        expect_that!(started.elapsed(), lt(IN_FORCE_LIMIT));
    };

    router_started_without_store_and_box_list_gets_its_state_from_its_agent => async {
        let mut bench = Bench::start(BenchPlan::default()).await;
        bench.proxy.set("store:", LinkMode::Closed);
        bench.proxy.set("list:", LinkMode::Closed);
        bench.router("ikeja-1").kill();
        bench.start_router("ikeja-1");
        let files = bench.boxes["ikeja-1"].files.clone();
        bench.wait_router_ready(&files).await;
        expect_that!(bench.complete_as_comics("ikeja-1", "small").await.status, eq(200));
    };

    restarted_agent_with_older_state_does_not_revert_its_router => async {
        let mut bench = Bench::start(BenchPlan::default()).await;
        bench.operate_ok(0, &["withdraw", "small/s2"]).await;
        wait_withdrawn(&bench, &["ikeja-1", "ikeja-2"]).await;
        // Resets the store to its state before the withdrawal, as a restore of an old backup does.
        bench.store.write(&change_key(PARTNER, Generation(3)), b"{}");
        for name in ["ikeja-1", "ikeja-2"] {
            bench.agent(name).kill();
        }
        for name in ["ikeja-1", "ikeja-2"] {
            bench.start_agent(name);
        }
        bench.wait_generation(&["ikeja-1", "ikeja-2"], 2).await;
        for name in ["ikeja-1", "ikeja-2"] {
            expect_that!(bench.complete_as_comics(name, "small/s2").await.status, eq(503));
        }
    };
}
