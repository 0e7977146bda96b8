//! The operators' command line, and the errors in bundles and settings, which are reported with
//! their locations.

mod common;

use common::{BUNDLE, Bench, BenchPlan};
use googletest::prelude::*;
use std::path::Path;
use std::process::{Command, Output};

fn gatepier(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gatepier"))
        .args(args)
        .output()
        .unwrap()
}

fn check_bundle(text: &str) -> (Option<i32>, String) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("bundle.toml");
    std::fs::write(&file, text).unwrap();
    let output = gatepier(&["check", file.to_str().unwrap()]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    (output.status.code(), stderr)
}

macro_rules! invalid_bundles {
    ($($name:ident: $from:expr => $to:expr, $line:expr, $message:expr;)+) => {
        $(
            #[googletest::test]
            fn $name() {
                let text = BUNDLE.replacen($from, $to, 1);
                assert_ne!(text, BUNDLE, "the replacement does not change the bundle");
                let (code, stderr) = check_bundle(&text);
                expect_that!(code, some(eq(2)));
                expect_that!(stderr, contains_substring($message));
                expect_that!(stderr, contains_substring(concat!("bundle.toml:", $line, ":")));
            }
        )+
    };
}

invalid_bundles! {
    unknown_key: "cost_micros = 5" => "cost_micro = 5", "41", "unknown key `cost_micro`";
    unknown_incumbent: "incumbent = \"l1\"" => "incumbent = \"l9\"", "11", "no version `l9`";
    unknown_model_in_a_cascade: "[\"small\", \"large\"]" => "[\"small\", \"huge\"]", "16", "`huge`";
    unknown_version_in_an_allow_list: "\"small/s2\", " => "\"small/s9\", ", "28", "no version `small/s9`";
    cascade_with_a_model_that_is_not_allowed:
        "allow = [\"small/s1\"]" => "allow = [\"small/s1\"]\ncascades = [\"recap\"]",
        "35", "cascade `recap` steps to `large`";
    shares_that_sum_to_more_than_one: "share = 0.3" => "share = 0.6", "35", "more than the whole";
    version_that_leaves_before_it_enters:
        "{ name = \"l1\", cost_micros = 1000 }" =>
        "{ name = \"l1\", cost_micros = 1000, enters = \"2026-12-02T00:00:00Z\", leaves = \"2026-12-01T00:00:00Z\" }",
        "12", "before it enters";
    invalid_toml: "partner = " => "partner is ", "2", "expected";
}

#[googletest::test]
fn all_errors_are_reported_together() {
    let text = BUNDLE
        .replacen("incumbent = \"l1\"", "incumbent = \"l9\"", 1)
        .replacen("share = 0.3", "share = 7", 1)
        .replacen("cost_micros = 5", "cost_micros = \"five\"", 1);
    let (code, stderr) = check_bundle(&text);
    expect_that!(code, some(eq(2)));
    expect_that!(stderr.lines().count(), eq(3), "{stderr}");
}

#[googletest::test]
fn valid_bundle_passes() {
    let (code, stderr) = check_bundle(BUNDLE);
    expect_that!(code, some(eq(0)), "{stderr}");
}

#[googletest::test]
fn usage_errors_exit_with_code_2() {
    for args in [
        &["roll", "small"][..],
        &["bogus"],
        &["roll", "a/b", "101"],
        &["status", "x"],
    ] {
        expect_that!(gatepier(args).status.code(), some(eq(2)), "{args:?}");
    }
}

#[googletest::test]
fn help_names_every_exit_code() {
    let help = String::from_utf8(gatepier(&["--help"]).stdout).unwrap();
    for code in ["0  done", "1  failed", "2  faulty", "3  the outcome"] {
        expect_that!(help, contains_substring(code));
    }
}

#[googletest::test]
fn example_settings_and_bundles_are_valid() {
    for partner in ["panelwave", "tsion"] {
        let file = Path::new("examples").join(partner).join("bundle.toml");
        let output = gatepier(&["check", file.to_str().unwrap()]);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(output.status.code(), some(eq(0)), "{stderr}");
        for (binary, settings) in [
            (env!("CARGO_BIN_EXE_gatepier-router"), "router.toml"),
            (env!("CARGO_BIN_EXE_gatepier-agent"), "agent.toml"),
        ] {
            let file = Path::new("examples").join(partner).join(settings);
            let output = Command::new(binary)
                .arg("--check-settings")
                .arg(file)
                .output()
                .unwrap();
            let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
            expect_that!(output.status.code(), some(eq(0)), "{stderr}");
        }
    }
}

cases! {
    daemon_reports_all_errors_in_its_settings => async {
        let bench = Bench::start_without_bundle(BenchPlan::default()).await;
        let valid = std::fs::read_to_string(&bench.boxes["ikeja-1"].files.router_settings).unwrap();
        let invalid = valid
            .replacen("hall = \"ikeja\"", "hall = \"nowhere\"", 1)
            .replacen("listen = ", "listens = ", 1);
        let file = bench.fleet.folder.join("bad.toml");
        std::fs::write(&file, invalid).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_gatepier-router"))
            .arg("--check-settings")
            .arg(&file)
            .output()
            .unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        expect_that!(output.status.code(), some(eq(2)));
        expect_that!(stderr, contains_substring("`nowhere` is not listed in `halls`"));
        expect_that!(stderr, contains_substring("the key `listen` is missing"));
        expect_that!(stderr, contains_substring("unknown key `listens`"));
    };

    operators_can_roll_and_withdraw_and_see_both_in_the_reports => async {
        let bench = Bench::start(BenchPlan::default()).await;
        bench.operate_ok(0, &["roll", "small/s2", "25"]).await;
        bench.operate_ok(1, &["withdraw", "small/s2"]).await;
        let refused = bench.operate(0, &["roll", "small/s2", "50"]).await;
        expect_that!(refused.status.code(), some(eq(1)));
        let audit = bench.operate_ok(0, &["audit"]).await;
        expect_that!(audit, contains_substring("withdraw small/s2"));
        expect_that!(audit, contains_substring("bayo"));
        let status = bench.operate_ok(0, &["status"]).await;
        expect_that!(status, contains_substring("ikeja-2"));
    };
}
