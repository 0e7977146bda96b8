//! Measurements, each side by side with its baseline in one run.
//!
//! `GATEPIER_MEASURE=1 cargo test --release --test measure -- --nocapture --test-threads 1`
//! takes the figures of docs/measurements/; without the variable each measurement runs
//! for a moment only, to see that it works.

mod common;

use common::{Bench, BenchPlan, completion_body, streaming_completion_body};
use gatepier::lab::load::{LoadPlan, LoadReport};
use gatepier::lab::model::ModelBehaviour;
use gatepier::lab::store::StoreFaults;
use gatepier::store::etcd::EtcdStore;
use gatepier::store::{Condition, Store as _};
use hdrhistogram::Histogram;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the platform's store takes to answer, as the brief says: milliseconds.
const STORE_DELAY_MS: u64 = 3;

fn is_full() -> bool {
    std::env::var("GATEPIER_MEASURE").is_ok()
}

fn seconds(full: u64) -> Duration {
    if is_full() {
        Duration::from_secs(full)
    } else {
        Duration::from_millis(300)
    }
}

async fn load(plan: LoadPlan) -> LoadReport {
    let run = move || gatepier::lab::load::run(&plan).unwrap();
    actix_rt::task::spawn_blocking(run).await.unwrap()
}

fn plan(target: SocketAddr, path: &str, body: Option<Value>, rate: f64, full: u64) -> LoadPlan {
    LoadPlan {
        target,
        path: path.to_owned(),
        credential: Some("comics-key".to_owned()),
        body,
        rate,
        duration: seconds(full),
        threads: 2,
    }
}

fn show(name: &str, report: &LoadReport) {
    println!("--- {name}\n{}", report.to_text());
}

async fn compare(name: &str, bench: &Bench, direct: SocketAddr, mut asked: LoadPlan) {
    let routed = bench.boxes["ikeja-1"].files.router;
    // The pair is taken in turns, so that a busy moment of the machine hits both.
    for round in 1..=2 {
        asked.target = direct;
        show(
            &format!("{name}, direct, round {round}"),
            &load(asked.clone()).await,
        );
        asked.target = routed;
        show(
            &format!("{name}, through the router, round {round}"),
            &load(asked.clone()).await,
        );
    }
}

fn one_box() -> BenchPlan {
    BenchPlan {
        halls: vec![("ikeja", 2)],
        models: 1,
        router_extra: "workers = 4\nupstream_limit = 100000\n".to_owned(),
        ..BenchPlan::default()
    }
}

async fn router_speed() {
    let bench = Bench::start(one_box()).await;
    let (service, model) = (
        bench.stand_in_address("ikeja-reader-1"),
        bench.stand_in_address("ikeja-model-1"),
    );
    // The proxy stands in neither way: the list names the stand-ins' own addresses.
    bench
        .list_without_proxy("ikeja-reader-1", "ikeja-model-1", "ikeja")
        .await;
    let fast = ModelBehaviour {
        first_token_ms: 0,
        token_ms: 0,
        ..ModelBehaviour::default()
    };
    bench.models[0].stand_in.set_behaviour("small/s1", fast);
    let read = plan(service, "/reader-api/manifest", None, 2000.0, 5);
    compare("plain reads, 2,000 a second", &bench, service, read).await;
    let path = "/v1/chat/completions";
    let whole = plan(model, path, Some(completion_body("small/s1")), 500.0, 5);
    compare("whole answers, 500 a second", &bench, model, whole).await;
    let slow = ModelBehaviour {
        first_token_ms: 20,
        token_ms: 20,
        tokens: 50,
        ..ModelBehaviour::default()
    };
    bench.models[0].stand_in.set_behaviour("small/s1", slow);
    let streamed = plan(
        model,
        path,
        Some(streaming_completion_body("small/s1")),
        100.0,
        5,
    );
    compare(
        "streams of 50 tokens, 100 a second",
        &bench,
        model,
        streamed,
    )
    .await;
    let mut most = plan(
        bench.boxes["ikeja-1"].files.router,
        "/reader-api/manifest",
        None,
        10_000.0,
        5,
    );
    most.threads = 3;
    show(
        "plain reads, 10,000 a second through the router",
        &load(most).await,
    );
}

async fn router_memory() {
    let mut bench = Bench::start(one_box()).await;
    let long = ModelBehaviour {
        tokens: 600,
        token_ms: 50,
        ..ModelBehaviour::default()
    };
    bench.models[0].stand_in.set_behaviour("small/s1", long);
    let streams = if is_full() { 2000 } else { 20 };
    let before = bench.router("ikeja-1").resident_kilobytes();
    let mut open = Vec::new();
    for _ in 0..streams {
        let request = bench.request("ikeja-1", "comics", "POST", "/v1/chat/completions");
        open.push(
            request
                .send_json(&streaming_completion_body("small/s1"))
                .await
                .unwrap(),
        );
    }
    let after = bench.router("ikeja-1").resident_kilobytes();
    println!("router with {streams} open streams: {after} KB, {before} KB before");
    drop(open);
}

/// Runs many claims, a few at a time, and prints how long each took.
async fn claims_in(name: &str, count: usize, at_a_time: usize, claim: impl AsyncFn(usize) -> bool) {
    let histogram = RefCell::new(Histogram::<u64>::new(3).unwrap());
    let next = Cell::new(0);
    let refused = Cell::new(0);
    let began = Instant::now();
    let workers = (0..at_a_time).map(|_| async {
        while next.get() < count {
            let number = next.replace(next.get() + 1);
            let began = Instant::now();
            if !claim(number).await {
                refused.set(refused.get() + 1);
            }
            histogram
                .borrow_mut()
                .record(began.elapsed().as_micros() as u64)
                .unwrap();
        }
    });
    futures::future::join_all(workers).await;
    let histogram = histogram.into_inner();
    println!(
        "{name}: {count} claims, {} refused, p50 {:.2} ms, p99 {:.2} ms, {:.0} a second",
        refused.get(),
        histogram.value_at_quantile(0.5) as f64 / 1000.0,
        histogram.value_at_quantile(0.99) as f64 / 1000.0,
        count as f64 / began.elapsed().as_secs_f64(),
    );
}

/// A shard that collects claims while a write is under way and writes them together.
struct GroupCommit {
    store: EtcdStore,
    waiting: RefCell<Vec<tokio::sync::oneshot::Sender<bool>>>,
    number: Cell<usize>,
}

impl GroupCommit {
    async fn claim(self: &Rc<Self>) -> bool {
        let (tx, rx) = tokio::sync::oneshot::channel();
        self.waiting.borrow_mut().push(tx);
        rx.await.unwrap_or(false)
    }

    async fn run(self: Rc<Self>) {
        loop {
            let waiting = self.waiting.take();
            if waiting.is_empty() {
                tokio::task::yield_now().await;
                continue;
            }
            let number = self.number.replace(self.number.get() + 1);
            let key = format!("group/{number}");
            let written = self
                .store
                .write_if(&key, Condition::Absent, b"claims")
                .await
                .is_ok();
            for tx in waiting {
                // A claimer that left needs no word.
                let _ = tx.send(written);
            }
        }
    }
}

async fn three_ways_to_claim() {
    const AT_A_TIME: usize = 16;
    let bench = Bench::start(one_box()).await;
    bench
        .list_without_proxy("ikeja-reader-1", "ikeja-model-1", "ikeja")
        .await;
    let count = if is_full() { 4000 } else { 64 };
    let slow = StoreFaults {
        delay_ms: STORE_DELAY_MS,
        ..StoreFaults::default()
    };
    for (label, faults) in [
        ("store answers in 3 ms", slow),
        ("store away", StoreFaults { down: true, ..slow }),
    ] {
        bench.set_store_faults(faults);
        println!("--- {label}");
        let store = EtcdStore::new(bench.store_address());
        claims_in(
            &format!("{label}: a store write a claim"),
            count,
            AT_A_TIME,
            async |number| {
                let key = format!("claim/{label}/{number}");
                store
                    .write_if(&key, Condition::Absent, b"claim")
                    .await
                    .is_ok()
            },
        )
        .await;
        let group = Rc::new(GroupCommit {
            store: EtcdStore::new(bench.store_address()),
            waiting: RefCell::default(),
            number: Cell::new(0),
        });
        let committer = actix_rt::spawn(group.clone().run());
        claims_in(
            &format!("{label}: group commit by shard"),
            count,
            AT_A_TIME,
            async |_| group.claim().await,
        )
        .await;
        println!("  of which {} store writes", group.number.get());
        committer.abort();
        let agent = bench.agent_client("ikeja-1");
        claims_in(
            &format!("{label}: owner and witness"),
            count,
            AT_A_TIME,
            async |number| bench.claim_key(&agent, &format!("{label}-{number}")).await,
        )
        .await;
    }
    bench.set_store_faults(slow);
    let claimed = AT_A_TIME / 4;
    claims_in(
        "bookmarks through the router, claimed",
        count / 2,
        claimed,
        async |number| {
            bench
                .bookmark("ikeja-1", &format!("measured-{number}"))
                .await
                .status
                == 200
        },
    )
    .await;
    claims_in(
        "reads through the router, not claimed",
        count / 2,
        claimed,
        async |_| {
            let request = bench.request("ikeja-1", "comics", "GET", "/reader-api/manifest");
            common::read_answer(request.send().await).await.status == 200
        },
    )
    .await;
}

/// What an agent costs at one size of the fleet.
async fn agents_at(halls: usize, boxes: usize) {
    const NAMES: [&str; 4] = ["ikeja", "lekki", "yaba", "apapa"];
    let plan = BenchPlan {
        halls: NAMES[..halls]
            .iter()
            .map(|hall| (*hall, boxes / halls))
            .collect(),
        routers: false,
        models: 1,
        ..BenchPlan::default()
    };
    let mut bench = Bench::start_without_bundle(plan).await;
    bench.put_bundle_into_force(common::BUNDLE).await;
    let names: Vec<String> = bench.boxes.keys().cloned().collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    bench.wait_generation(&names, 2).await;
    actix_rt::time::sleep(seconds(8)).await;
    let sums = async |bench: &mut Bench| {
        let statuses = bench.statuses().await;
        let sum = |path: &str| {
            statuses
                .iter()
                .filter_map(|status| status.pointer(path)?.as_u64())
                .sum::<u64>()
        };
        let cpu: f64 = names
            .iter()
            .map(|name| bench.agent(name).cpu_seconds())
            .sum();
        let memory = names
            .iter()
            .map(|name| bench.agent(name).resident_kilobytes())
            .max()
            .unwrap();
        (
            sum("/bytes_sent"),
            sum("/store_calls/reads"),
            sum("/store_calls/writes"),
            sum("/store_calls/watches"),
            cpu,
            memory,
        )
    };
    let before = sums(&mut bench).await;
    let began = Instant::now();
    actix_rt::time::sleep(seconds(10)).await;
    let after = sums(&mut bench).await;
    let took = began.elapsed().as_secs_f64();
    let count = names.len() as f64;
    let began = Instant::now();
    bench.operate_ok(0, &["withdraw", "small/s2"]).await;
    bench.wait_generation(&names, 3).await;
    let in_force = began.elapsed();
    println!(
        "{:>3} agents in {halls} halls: {:>5.0} B/s sent each, {:.2} % of a core each, {} KB at the most, \
         store {:.2} reads/s {:.2} writes/s {:.2} watches/s in all, change in force on all after {:.2} s",
        names.len(),
        (after.0 - before.0) as f64 / took / count,
        (after.4 - before.4) / took / count * 100.0,
        after.5,
        (after.1 - before.1) as f64 / took,
        (after.2 - before.2) as f64 / took,
        (after.3 - before.3) as f64 / took,
        in_force.as_secs_f64(),
    );
}

async fn agent_slopes() {
    let sizes: &[(usize, usize)] = if is_full() {
        &[(2, 8), (2, 16), (2, 32), (4, 32), (4, 64)]
    } else {
        &[(2, 4)]
    };
    for (halls, boxes) in sizes {
        agents_at(*halls, *boxes).await;
    }
}

cases! {
    speed_of_the_router => router_speed();
    memory_of_the_router => router_memory();
    claims_three_ways => three_ways_to_claim();
    slopes_of_the_agents => agent_slopes();
}
