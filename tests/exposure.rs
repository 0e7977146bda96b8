//! A version that turns bad is suspended everywhere, with few bad answers.

mod common;

use common::{BUNDLE, Bench, BenchPlan, PARTNER};
use gatepier::bundle::Bundle;
use gatepier::change::Generation;
use gatepier::clock::Now;
use gatepier::evidence::{AnswerCounts, Evidence, EvidenceCell, EvidenceSubject, Suspension};
use gatepier::lab::model::Behaviour;
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

const SEEDS: u64 = 40;
const BOXES: usize = 8;
const GOOD_BEFORE: usize = 4_000;

fn small() -> VersionName {
    VersionName::parse("small/s1").unwrap()
}

fn small_s2() -> VersionName {
    VersionName::parse("small/s2").unwrap()
}

/// How the counts of several boxes are watched.
#[derive(Debug, Clone, Copy)]
enum Watch {
    /// One guard sees everything, as boxes that share their counts do.
    Shared,
    /// Each box has a guard of its own.
    Alone,
    /// Each box suspends at a fifth of its last hundred ratings.
    Threshold,
}

/// Rates answers of a version that turns bad, and returns the bad answers that were given
/// until the first alarm on every box, or none if a false alarm came before.
fn bad_answers(watch: Watch, bad_part: f64, seed: u64) -> Option<usize> {
    let mut rng = StdRng::seed_from_u64(seed);
    let guards = if matches!(watch, Watch::Shared) {
        1
    } else {
        BOXES
    };
    let mut watchers: Vec<(VersionGuard, AnswerCounts, Vec<bool>, bool)> = (0..guards)
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
        let turned = number >= GOOD_BEFORE;
        let is_bad = rng.random_bool(if turned { bad_part } else { 0.05 });
        let position = number % watchers.len();
        let (guard, counts, last, alarmed) = &mut watchers[position];
        if *alarmed {
            if watchers.iter().all(|(.., alarmed)| *alarmed) {
                return Some(given);
            }
            continue;
        }
        given += usize::from(is_bad && turned);
        counts.bad += u64::from(is_bad);
        counts.good += u64::from(!is_bad);
        last.push(is_bad);
        let alarm = match watch {
            Watch::Threshold => {
                let recent = &last[last.len().saturating_sub(100)..];
                recent.len() == 100 && recent.iter().filter(|is_bad| **is_bad).count() >= 20
            }
            _ => guard.observe(&small(), counts).is_some(),
        };
        if alarm && !turned {
            return None;
        }
        *alarmed |= alarm;
    }
    unreachable!("the loop ends with the last alarm")
}

fn median(watch: Watch, bad_part: f64) -> (usize, usize) {
    let found: Vec<Option<usize>> = (0..SEEDS)
        .map(|seed| bad_answers(watch, bad_part, seed))
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
fn shared_counts_need_the_fewest_bad_answers() {
    for bad_part in [0.3, 0.5, 0.9] {
        let (shared, shared_false) = median(Watch::Shared, bad_part);
        let (alone, alone_false) = median(Watch::Alone, bad_part);
        let (threshold, threshold_false) = median(Watch::Threshold, bad_part);
        println!(
            "{:.0} % bad on {BOXES} boxes, median of {SEEDS} seeds: shared {shared} bad answers \
             ({shared_false} false alarms), alone {alone} ({alone_false}), \
             threshold {threshold} ({threshold_false})",
            bad_part * 100.0
        );
        expect_that!(shared_false, eq(0));
        expect_that!(
            shared * 4,
            lt(alone),
            "sharing wins by about the number of boxes"
        );
    }
}

#[googletest::test]
fn good_version_is_left_alone_for_a_million_answers() {
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

/// What a router reports of answers that all failed, counted under a lift.
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

/// Standing agents suspended a lifted version again 0.2 s after the lift: an agent looked at
/// counts only then that another one had already suspended the version for. Counts were told
/// apart by when they came and not by what they were made under.
#[googletest::test]
fn counts_from_before_a_lift_condemn_nothing_when_they_come_late() {
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

/// Cascades learn which model is good enough from the same counts. Ratings of a version from before
/// its lift kept them from the model that operators had put back.
#[googletest::test]
fn ratings_from_before_a_lift_do_not_keep_a_cascade_from_its_model() {
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
        sums: Arc::new(BTreeMap::from([
            (subject(Generation(0)), rated(0, 1000)),
            (subject(Generation(3)), rated(200, 0)),
        ])),
        ..Snapshot::default()
    };
    let begin = |snapshot: &Snapshot| {
        let mut rng = StdRng::seed_from_u64(1);
        first_step(snapshot, "comics", cascade, &mut rng)
    };
    expect_that!(begin(&snapshot), eq(1), "the bad ratings are in force");
    snapshot.control.lifted.insert(small(), Generation(3));
    expect_that!(begin(&snapshot), eq(0), "the lift has left them behind");
}

/// Returns the suspension of the version that the tests break, as the store has it.
async fn written_suspension(bench: &Bench) -> Option<Suspension> {
    let store = EtcdStore::new(bench.store_address());
    let found = store.get(&suspension_key(PARTNER, &small_s2())).await;
    serde_json::from_slice(&found.ok()??.value).ok()
}

async fn suspended_everywhere(bench: &Bench) {
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

/// Asks for the bad version until it is suspended, and returns how often it ran by then.
async fn ask_until_suspended(bench: &Bench) -> usize {
    bench
        .wait_for("the bad version is suspended", async || {
            bench.ask("ikeja-1", "small/s2").await;
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

/// A guard that needs few answers, so that the test does not take long.
fn quick_guard() -> BenchPlan {
    let agent_extra = "[guard]\nanswers_to_false_alarm = 1000\n".to_owned();
    BenchPlan {
        agent_extra,
        ..BenchPlan::default()
    }
}

cases! {
    failing_version_is_suspended_while_the_store_is_away_and_lifted_by_operators => async {
        let bench = Bench::start(quick_guard()).await;
        bench.set_store(StoreFaults { down: true, ..StoreFaults::default() });
        let failing = Behaviour { failing: 1.0, ..Behaviour::default() };
        bench.models.iter().for_each(|model| model.stand_in.set("small/s2", failing));
        expect_that!(bench.ask("ikeja-1", "small/s1").await.status, eq(200));
        let runs = ask_until_suspended(&bench).await;
        println!("suspended after {runs} failing runs");
        suspended_everywhere(&bench).await;
        expect_that!(bench.ask("ikeja-2", "small/s2").await.status, eq(503));
        expect_that!(bench.ask("ikeja-2", "small/s1").await.status, eq(200));
        bench.set_store(StoreFaults::default());
        bench.models.iter().for_each(|model| model.stand_in.set("small/s2", Behaviour::default()));
        bench.operate_ok(0, &["lift", "small/s2"]).await;
        bench.wait_for("the version serves again", async || {
            bench.ask("ikeja-1", "small/s2").await.status == 200
        }).await;
    };

    badly_rated_version_is_suspended_in_a_roll_out => async {
        let bench = Bench::start(quick_guard()).await;
        bench.operate_ok(0, &["roll", "small/s2", "50"]).await;
        bench.wait_generation(&["ikeja-1", "ikeja-2"], 3).await;
        let bad = Behaviour { quality: 0.0, ..Behaviour::default() };
        bench.models.iter().for_each(|model| model.stand_in.set("small/s2", bad));
        ask_until_suspended(&bench).await;
        suspended_everywhere(&bench).await;
        let before = bench.version_runs()["small/s2"];
        for _ in 0..20 {
            let answer = bench.ask("ikeja-2", "small").await;
            expect_that!(answer.header("gatepier-version"), eq("small/s1"));
        }
        expect_that!(bench.version_runs()["small/s2"], eq(before));
    };

    suspension_that_reaches_the_store_after_its_lift_does_not_hold => async {
        let mut bench = Bench::start(quick_guard()).await;
        bench.proxy.set("store:", LinkMode::Closed);
        let failing = Behaviour { failing: 1.0, ..Behaviour::default() };
        bench.models.iter().for_each(|model| model.stand_in.set("small/s2", failing));
        ask_until_suspended(&bench).await;
        suspended_everywhere(&bench).await;
        bench.models.iter().for_each(|model| model.stand_in.set("small/s2", Behaviour::default()));
        // Operators reach the store, the agents do not, so the lift is there first.
        bench.operate_ok(0, &["lift", "small/s2"]).await;
        bench.proxy.set("store:", LinkMode::Open);
        bench.wait_generation(&["ikeja-1", "ikeja-2"], 3).await;
        bench.wait_for("the suspension is in the store", async || {
            written_suspension(&bench).await.is_some_and(|written| written.generation < Generation(3))
        }).await;
        bench.agent("ikeja-2").kill();
        bench.start_agent("ikeja-2");
        bench.wait_generation(&["ikeja-2"], 3).await;
        for name in ["ikeja-1", "ikeja-2"] {
            bench.wait_for("the version serves again", async || {
                bench.ask(name, "small/s2").await.status == 200
            }).await;
        }
        for _ in 0..20 {
            expect_that!(bench.ask("ikeja-2", "small/s2").await.status, eq(200));
        }
    };

    /// An agent took it for done when another writer was sooner, whatever that one wrote. The store
    /// then kept a suspension from before the lift, which says nothing, and the one in force lived
    /// only as long as an agent that knew it.
    suspension_is_written_although_an_older_one_is_written_at_the_same_time => async {
        let bench = Bench::start(quick_guard()).await;
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
        let failing = Behaviour { failing: 1.0, ..Behaviour::default() };
        bench.models.iter().for_each(|model| model.stand_in.set("small/s2", failing));
        bench.set_store(StoreFaults { delay_ms: 300, ..StoreFaults::default() });
        let is_written_over = Cell::new(true);
        let write_over = async {
            // An agent that reads the key finds it changed when it writes, 300 ms later.
            while is_written_over.get() {
                bench.store.write(&key, &older);
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let suspend = async {
            ask_until_suspended(&bench).await;
            actix_rt::time::sleep(Duration::from_secs(1)).await;
            is_written_over.set(false);
        };
        futures::join!(write_over, suspend);
        bench.wait_for("the newer suspension is in the store", async || {
            written_suspension(&bench).await.is_some_and(|written| written.generation == Generation(3))
        }).await;
    };
}
