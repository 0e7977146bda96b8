//! A version that turns bad is suspended on all boxes after few bad answers.

mod common;

use common::{BUNDLE, Bench, BenchPlan, PARTNER};
use gatepier::bundle::Bundle;
use gatepier::change::Generation;
use gatepier::clock::Now;
use gatepier::evidence::{AnswerCounts, Evidence, EvidenceCell, EvidenceSubject, Suspension};
use gatepier::lab::model::ModelBehaviour;
use gatepier::lab::proxy::LinkMode;
use gatepier::lab::store::StoreFaults;
use gatepier::name::VersionName;
use gatepier::routing::cascade::first_step;
use gatepier::routing::snapshot::Snapshot;
use gatepier::store::Store as _;
use gatepier::store::etcd::EtcdStore;
use gatepier::store::layout::suspension_key;
use gatepier::version_guard::{GuardPolicy, VersionGuard};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const SEED_COUNT: u64 = 40;
const BOX_COUNT: usize = 8;
const GOOD_ANSWERS_BEFORE: usize = 4_000;

fn small() -> VersionName {
    VersionName::parse("small/s1").unwrap()
}

fn small_s2() -> VersionName {
    VersionName::parse("small/s2").unwrap()
}

/// How bad versions are detected from the counts of several boxes.
#[derive(Debug, Clone, Copy)]
enum Detection {
    /// One guard sees the counts of all boxes, as with shared counts.
    Shared,
    /// Each box has its own guard, which sees only the box's counts.
    Alone,
    /// Each box raises an alarm if 20 of its last 100 ratings are bad.
    Threshold,
}

/// Simulates ratings of a version that turns bad. Returns the number of bad answers until every box
/// has raised an alarm, or none if there was a false alarm before.
fn bad_answers_until_alarm(detection: Detection, bad_fraction: f64, seed: u64) -> Option<usize> {
    let mut rng = StdRng::seed_from_u64(seed);
    let guards = if matches!(detection, Detection::Shared) {
        1
    } else {
        BOX_COUNT
    };
    let mut detectors: Vec<(VersionGuard, AnswerCounts, Vec<bool>, bool)> = (0..guards)
        .map(|_| {
            (
                VersionGuard::new(GuardPolicy::default()),
                AnswerCounts::default(),
                vec![],
                false,
            )
        })
        .collect();
    let mut given = 0;
    for number in 0.. {
        let has_turned_bad = number >= GOOD_ANSWERS_BEFORE;
        let is_bad = rng.random_bool(if has_turned_bad { bad_fraction } else { 0.05 });
        let position = number % detectors.len();
        let (guard, counts, last, has_alarmed) = &mut detectors[position];
        if *has_alarmed {
            if detectors.iter().all(|(.., has_alarmed)| *has_alarmed) {
                return Some(given);
            }
            continue;
        }
        given += usize::from(is_bad && has_turned_bad);
        counts.bad += u64::from(is_bad);
        counts.good += u64::from(!is_bad);
        last.push(is_bad);
        let alarm = match detection {
            Detection::Threshold => {
                let recent = &last[last.len().saturating_sub(100)..];
                recent.len() == 100 && recent.iter().filter(|is_bad| **is_bad).count() >= 20
            }
            _ => guard.observe(&small(), counts).is_some(),
        };
        if alarm && !has_turned_bad {
            return None;
        }
        *has_alarmed |= alarm;
    }
    unreachable!("the loop ends with the last alarm")
}

fn median_bad_answers(detection: Detection, bad_fraction: f64) -> (usize, usize) {
    let found: Vec<Option<usize>> = (0..SEED_COUNT)
        .map(|seed| bad_answers_until_alarm(detection, bad_fraction, seed))
        .collect();
    let mut counts: Vec<usize> = found.iter().flatten().copied().collect();
    counts.sort_unstable();
    let false_alarms = found.iter().filter(|found| found.is_none()).count();
    (
        counts.get(counts.len() / 2).copied().unwrap_or(usize::MAX),
        false_alarms,
    )
}

#[googletest::test]
fn shared_counts_detect_with_the_fewest_bad_answers() {
    for bad_fraction in [0.3, 0.5, 0.9] {
        let (shared, shared_false) = median_bad_answers(Detection::Shared, bad_fraction);
        let (alone, alone_false) = median_bad_answers(Detection::Alone, bad_fraction);
        let (threshold, threshold_false) = median_bad_answers(Detection::Threshold, bad_fraction);
        println!(
            "{:.0} % bad on {BOX_COUNT} boxes, median of {SEED_COUNT} seeds: shared {shared} bad answers \
             ({shared_false} false alarms), alone {alone} ({alone_false}), \
             threshold {threshold} ({threshold_false})",
            bad_fraction * 100.0
        );
        expect_that!(shared_false, eq(0));
        expect_that!(
            shared * 4,
            lt(alone),
            "sharing needs fewer by about the number of boxes"
        );
    }
}

#[googletest::test]
fn good_version_raises_no_alarm_in_a_million_answers() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut guard = VersionGuard::new(GuardPolicy::default());
    let mut counts = AnswerCounts::default();
    for _ in 0..1_000_000 {
        if rng.random_bool(0.10) {
            counts.bad += 1
        } else {
            counts.good += 1
        }
        expect_that!(guard.observe(&small(), &counts).is_none(), eq(true));
    }
}

/// Returns the report of a router about failed answers that it counted under a lift.
fn failures(reporter: &str, lift: Generation, failed: u64) -> EvidenceCell {
    EvidenceCell {
        reporter: reporter.to_owned(),
        subject: EvidenceSubject {
            version: small(),
            organisation: "comics".to_owned(),
            lift,
        },
        counts: AnswerCounts {
            served: failed,
            failed,
            ..AnswerCounts::default()
        },
    }
}

/// Guards against counts that are assigned to a lift by their time of arrival instead of the lift
/// under which they were counted. Agents then suspended a lifted version again 0.2 s after the lift,
/// because of counts for which another agent had already suspended it.
#[googletest::test]
fn late_counts_from_before_a_lift_raise_no_alarm() {
    let mut evidence = Evidence::default();
    let mut guard = VersionGuard::new(GuardPolicy::default());
    let mut observe = |evidence: &Evidence, lifted: &BTreeMap<VersionName, Generation>| {
        guard.reset_lifted(lifted);
        let counts = evidence.by_version(lifted);
        let alarm = |(version, counts)| guard.observe(version, counts).is_some();
        counts.iter().any(alarm)
    };
    let before = BTreeMap::new();
    let after = BTreeMap::from([(small(), Generation(3))]);
    evidence.merge(&[failures("seen-in-time", Generation(0), 50)]);
    expect_that!(observe(&evidence, &before), eq(true));
    expect_that!(observe(&evidence, &after), eq(false));
    evidence.merge(&[failures("held-back", Generation(0), 50)]);
    expect_that!(observe(&evidence, &after), eq(false));
    evidence.merge(&[failures("seen-in-time", Generation(3), 50)]);
    expect_that!(observe(&evidence, &after), eq(true));
}

/// Guards against cascades that learn from ratings of a version from before its lift, and so avoid
/// a model that operators have put back in service.
#[googletest::test]
fn ratings_from_before_a_lift_do_not_count_for_cascades() {
    let bundle = Bundle::parse(BUNDLE).unwrap();
    let cascade = &bundle.cascades["thread"];
    let subject = |lift| EvidenceSubject {
        version: small(),
        organisation: "comics".to_owned(),
        lift,
    };
    let rated = |good, bad| AnswerCounts {
        served: good + bad,
        good,
        bad,
        ..AnswerCounts::default()
    };
    let mut snapshot = Snapshot {
        evidence_sums: Arc::new(BTreeMap::from([
            (subject(Generation(0)), rated(0, 1000)),
            (subject(Generation(3)), rated(200, 0)),
        ])),
        ..Snapshot::default()
    };
    let starting_step = |snapshot: &Snapshot| {
        let mut rng = StdRng::seed_from_u64(1);
        first_step(snapshot, "comics", cascade, &mut rng)
    };
    expect_that!(starting_step(&snapshot), eq(1), "the bad ratings count");
    snapshot.control.lifted.insert(small(), Generation(3));
    expect_that!(
        starting_step(&snapshot),
        eq(0),
        "ratings from before the lift do not count"
    );
}

/// Returns the stored suspension of the version that the tests make fail.
async fn stored_suspension(bench: &Bench) -> Option<Suspension> {
    let store = EtcdStore::new(bench.store_address());
    let found = store.get(&suspension_key(PARTNER, &small_s2())).await;
    serde_json::from_slice(&found.ok()??.value).ok()
}

async fn wait_suspended_on_both_boxes(bench: &Bench) {
    bench
        .wait_for("both agents have the suspension", async || {
            let statuses = bench.statuses().await;
            statuses.iter().all(|status| {
                status["suspensions"]
                    .as_array()
                    .is_some_and(|found| !found.is_empty())
            })
        })
        .await;
}

/// Requests the bad version until it is suspended, and returns how often it ran.
async fn ask_until_suspended(bench: &Bench) -> usize {
    bench
        .wait_for("the bad version is suspended", async || {
            bench.complete_as_comics("ikeja-1", "small/s2").await;
            let status = bench.status_of("ikeja-1").await;
            status.is_some_and(|status| {
                status["suspensions"]
                    .as_array()
                    .is_some_and(|found| !found.is_empty())
            })
        })
        .await;
    bench.version_runs().get("small/s2").copied().unwrap_or(0)
}

/// Returns a plan whose guard raises an alarm after few answers, to keep the test short.
fn sensitive_guard_plan() -> BenchPlan {
    let agent_extra = "[guard]\nanswers_to_false_alarm = 1000\n".to_owned();
    BenchPlan {
        agent_extra,
        ..BenchPlan::default()
    }
}

cases! {
    failing_version_is_suspended_without_the_store_and_lifted_by_operators => async {
        let bench = Bench::start(sensitive_guard_plan()).await;
        bench.set_store_faults(StoreFaults { down: true, ..StoreFaults::default() });
        let failing = ModelBehaviour { failing: 1.0, ..ModelBehaviour::default() };
        bench.models.iter().for_each(|model| model.stand_in.set_behaviour("small/s2", failing));
        expect_that!(bench.complete_as_comics("ikeja-1", "small/s1").await.status, eq(200));
        let runs = ask_until_suspended(&bench).await;
        println!("suspended after {runs} failing runs");
        wait_suspended_on_both_boxes(&bench).await;
        expect_that!(bench.complete_as_comics("ikeja-2", "small/s2").await.status, eq(503));
        expect_that!(bench.complete_as_comics("ikeja-2", "small/s1").await.status, eq(200));
        bench.set_store_faults(StoreFaults::default());
        bench.models.iter().for_each(|model| model.stand_in.set_behaviour("small/s2", ModelBehaviour::default()));
        bench.operate_ok(0, &["lift", "small/s2"]).await;
        bench.wait_for("the version serves again", async || {
            bench.complete_as_comics("ikeja-1", "small/s2").await.status == 200
        }).await;
    };

    badly_rated_version_is_suspended_during_a_roll_out => async {
        let bench = Bench::start(sensitive_guard_plan()).await;
        bench.operate_ok(0, &["roll", "small/s2", "50"]).await;
        bench.wait_generation(&["ikeja-1", "ikeja-2"], 3).await;
        let bad = ModelBehaviour { quality: 0.0, ..ModelBehaviour::default() };
        bench.models.iter().for_each(|model| model.stand_in.set_behaviour("small/s2", bad));
        ask_until_suspended(&bench).await;
        wait_suspended_on_both_boxes(&bench).await;
        let before = bench.version_runs()["small/s2"];
        for _ in 0..20 {
            let answer = bench.complete_as_comics("ikeja-2", "small").await;
            expect_that!(answer.header("gatepier-version"), eq("small/s1"));
        }
        expect_that!(bench.version_runs()["small/s2"], eq(before));
    };

    suspension_that_reaches_the_store_after_its_lift_is_not_in_force => async {
        let mut bench = Bench::start(sensitive_guard_plan()).await;
        bench.proxy.set("store:", LinkMode::Closed);
        let failing = ModelBehaviour { failing: 1.0, ..ModelBehaviour::default() };
        bench.models.iter().for_each(|model| model.stand_in.set_behaviour("small/s2", failing));
        ask_until_suspended(&bench).await;
        wait_suspended_on_both_boxes(&bench).await;
        bench.models.iter().for_each(|model| model.stand_in.set_behaviour("small/s2", ModelBehaviour::default()));
        // The operators can reach the store and the agents cannot, so the lift is written first.
        bench.operate_ok(0, &["lift", "small/s2"]).await;
        bench.proxy.set("store:", LinkMode::Open);
        bench.wait_generation(&["ikeja-1", "ikeja-2"], 3).await;
        bench.wait_for("the suspension is in the store", async || {
            stored_suspension(&bench).await.is_some_and(|written| written.generation < Generation(3))
        }).await;
        bench.agent("ikeja-2").kill();
        bench.start_agent("ikeja-2");
        bench.wait_generation(&["ikeja-2"], 3).await;
        for name in ["ikeja-1", "ikeja-2"] {
            bench.wait_for("the version serves again", async || {
                bench.complete_as_comics(name, "small/s2").await.status == 200
            }).await;
        }
        for _ in 0..20 {
            expect_that!(bench.complete_as_comics("ikeja-2", "small/s2").await.status, eq(200));
        }
    };

    /// Guards against an agent that considers its suspension written when another writer was faster,
    /// whatever that one wrote. The store then kept a suspension from before the lift, which is not
    /// in force, and the newer one was lost once no agent knew it any more.
    suspension_is_written_despite_concurrent_writes_of_an_older_one => async {
        let bench = Bench::start(sensitive_guard_plan()).await;
        bench.operate_ok(0, &["lift", "small/s2"]).await;
        bench.wait_generation(&["ikeja-1", "ikeja-2"], 3).await;
        let older = Suspension {
            version: small_s2(),
            generation: Generation(2),
            decided_by: "ikeja-9".to_owned(),
            at: Now::read().wall,
            reason: "from before the lift".to_owned(),
        };
        let older = serde_json::to_vec(&older).unwrap();
        let key = suspension_key(PARTNER, &small_s2());
        let failing = ModelBehaviour { failing: 1.0, ..ModelBehaviour::default() };
        bench.models.iter().for_each(|model| model.stand_in.set_behaviour("small/s2", failing));
        bench.set_store_faults(StoreFaults { delay_ms: 300, ..StoreFaults::default() });
        let keep_overwriting = Cell::new(true);
        let overwrite = async {
            // The key changes between an agent's read and its write 300 ms later.
            while keep_overwriting.get() {
                bench.store.write(&key, &older);
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let suspend = async {
            ask_until_suspended(&bench).await;
            actix_rt::time::sleep(Duration::from_secs(1)).await;
            keep_overwriting.set(false);
        };
        futures::join!(overwrite, suspend);
        bench.wait_for("the newer suspension is in the store", async || {
            stored_suspension(&bench).await.is_some_and(|written| written.generation == Generation(3))
        }).await;
    };
}
