//! A session keeps its version, and changes it only once when its version is withdrawn.

mod common;

use common::{Answer, Bench, BenchPlan, completion_body, read_answer};
use googletest::prelude::*;

async fn ask_in_session(bench: &Bench, name: &str, token: &str) -> Answer {
    let request = bench
        .request(name, "comics", "POST", "/v1/chat/completions")
        .insert_header(("gatepier-session", token));
    read_answer(request.send_json(&completion_body("small")).await).await
}

/// Starts sessions and returns the token and version of each.
async fn start_sessions(bench: &Bench, count: usize) -> Vec<(String, String)> {
    let mut sessions = Vec::new();
    for _ in 0..count {
        let answer = bench.complete_as_comics("ikeja-1", "small").await;
        let token = answer.header("gatepier-session").to_owned();
        sessions.push((token, answer.header("gatepier-version").to_owned()));
    }
    sessions
}

async fn expect_versions(bench: &Bench, name: &str, sessions: &[(String, String)]) {
    for (token, version) in sessions {
        let answer = ask_in_session(bench, name, token).await;
        expect_that!(answer.header("gatepier-version"), eq(version));
    }
}

cases! {
    sessions_keep_their_version_across_roll_out_stages_and_boxes => async {
        let mut bench = Bench::start(BenchPlan::default()).await;
        let boxes = ["ikeja-1", "ikeja-2"];
        bench.operate_ok(0, &["roll", "small/s2", "50"]).await;
        bench.wait_generation(&boxes, 3).await;
        let sessions = start_sessions(&bench, 40).await;
        let on_new_version = sessions.iter().filter(|(_, version)| version == "small/s2").count();
        expect_that!(on_new_version, all!(gt(5), lt(35)), "about half of the sessions");
        for (generation, percent) in [(4, "90"), (5, "100"), (6, "10")] {
            bench.operate_ok(0, &["roll", "small/s2", percent]).await;
            bench.wait_generation(&boxes, generation).await;
            expect_versions(&bench, "ikeja-2", &sessions).await;
        }
        bench.router("ikeja-1").kill();
        bench.agent("ikeja-1").kill();
        bench.start_agent("ikeja-1");
        bench.start_router("ikeja-1");
        let files = bench.boxes["ikeja-1"].files.clone();
        bench.wait_router_ready(&files).await;
        expect_versions(&bench, "ikeja-1", &sessions).await;
    };

    session_changes_version_once_when_its_version_is_withdrawn => async {
        let bench = Bench::start(BenchPlan::default()).await;
        let boxes = ["ikeja-1", "ikeja-2"];
        bench.operate_ok(0, &["roll", "small/s2", "100"]).await;
        bench.wait_generation(&boxes, 3).await;
        let sessions = start_sessions(&bench, 10).await;
        expect_that!(sessions.iter().all(|(_, version)| version == "small/s2"), eq(true));
        bench.operate_ok(0, &["withdraw", "small/s2"]).await;
        bench.wait_generation(&boxes, 4).await;
        for (token, _) in &sessions {
            let first = ask_in_session(&bench, "ikeja-2", token).await;
            expect_that!(first.header("gatepier-version"), eq("small/s1"));
            let token = first.header("gatepier-session").to_owned();
            let again = ask_in_session(&bench, "ikeja-1", &token).await;
            expect_that!(again.header("gatepier-version"), eq("small/s1"));
        }
    };

    session_token_is_rejected_if_altered_or_of_another_organisation => async {
        let bench = Bench::start(BenchPlan::default()).await;
        bench.operate_ok(0, &["roll", "small/s2", "100"]).await;
        bench.wait_generation(&["ikeja-1", "ikeja-2"], 3).await;
        let (token, _) = start_sessions(&bench, 1).await.remove(0);
        bench.operate_ok(0, &["roll", "small/s2", "0"]).await;
        bench.wait_generation(&["ikeja-1", "ikeja-2"], 4).await;
        let changed = format!("{}A{}", &token[..4], &token[5..]);
        let answer = ask_in_session(&bench, "ikeja-1", &changed).await;
        expect_that!(answer.status, eq(200));
        expect_that!(answer.header("gatepier-version"), eq("small/s1"));
        let request = bench
            .request("ikeja-1", "tales", "POST", "/v1/chat/completions")
            .insert_header(("gatepier-session", token.as_str()));
        let answer = read_answer(request.send_json(&completion_body("small")).await).await;
        expect_that!(answer.header("gatepier-version"), eq("small/s1"));
    };
}
