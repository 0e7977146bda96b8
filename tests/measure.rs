//! Benchmarks, each measured next to its baseline in the same run.
//!
//! `GATEPIER_MEASURE=1 cargo test --release --test measure -- --nocapture --test-threads 1`
//! takes the figures of docs/measurements/. Without the variable, each benchmark runs only
//! briefly, to check that it works.

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

/// The response time of the platform's store according to the requirements, in milliseconds.
const STORE_DELAY_MS: u64 = 3;

fn is_full_run() -> bool {
    std::env::var("GATEPIER_MEASURE").is_ok()
}

/// Returns the given duration in a full run, and a short one otherwise.
fn full_or_short_duration(full_seconds: u64) -> Duration {
    if is_full_run() {
        Duration::from_secs(full_seconds)
    } else {
        Duration::from_millis(300)
    }
}

async fn run_load(plan: LoadPlan) -> LoadReport {
    let run = move || gatepier::lab::load::run(&plan).unwrap();
    actix_rt::task::spawn_blocking(run).await.unwrap()
}

fn load_plan(
    target: SocketAddr,
    path: &str,
    body: Option<Value>,
    rate: f64,
    full_seconds: u64,
) -> LoadPlan {
    LoadPlan {
        target,
        path: path.to_owned(),
        credential: Some("comics-key".to_owned()),
        body,
        rate,
        duration: full_or_short_duration(full_seconds),
        threads: 2,
    }
}

fn print_report(name: &str, report: &LoadReport) {
    println!("--- {name}\n{}", report.to_text());
}

async fn compare_direct_and_routed(
    name: &str,
    bench: &Bench,
    direct: SocketAddr,
    mut plan: LoadPlan,
) {
    let routed = bench.boxes["ikeja-1"].files.router;
    // The two alternate, so that other load on the machine affects both.
    for round in 1..=2 {
        plan.target = direct;
        print_report(
            &format!("{name}, direct, round {round}"),
            &run_load(plan.clone()).await,
        );
        plan.target = routed;
        print_report(
            &format!("{name}, through the router, round {round}"),
            &run_load(plan.clone()).await,
        );
    }
}

fn one_hall_plan() -> BenchPlan {
    BenchPlan {
        halls: vec![("ikeja", 2)],
        models: 1,
        router_extra: "workers = 4\nupstream_limit = 100000\n".to_owned(),
        ..BenchPlan::default()
    }
}

async fn measure_router_speed() {
    let bench = Bench::start(one_hall_plan()).await;
    let (service, model) = (
        bench.stand_in_address("ikeja-reader-1"),
        bench.stand_in_address("ikeja-model-1"),
    );
    // Neither path goes through the proxy: the upstream list has the stand-ins' own addresses.
    bench
        .list_without_proxy("ikeja-reader-1", "ikeja-model-1", "ikeja")
        .await;
    let without_delay = ModelBehaviour {
        first_token_ms: 0,
        token_ms: 0,
        ..ModelBehaviour::default()
    };
    bench.models[0]
        .stand_in
        .set_behaviour("small/s1", without_delay);
    let read = load_plan(service, "/reader-api/manifest", None, 2000.0, 5);
    compare_direct_and_routed("plain reads, 2,000/s", &bench, service, read).await;
    let path = "/v1/chat/completions";
    let whole = load_plan(model, path, Some(completion_body("small/s1")), 500.0, 5);
    compare_direct_and_routed("whole responses, 500/s", &bench, model, whole).await;
    let with_delay = ModelBehaviour {
        first_token_ms: 20,
        token_ms: 20,
        tokens: 50,
        ..ModelBehaviour::default()
    };
    bench.models[0]
        .stand_in
        .set_behaviour("small/s1", with_delay);
    let streamed = load_plan(
        model,
        path,
        Some(streaming_completion_body("small/s1")),
        100.0,
        5,
    );
    compare_direct_and_routed("streams of 50 tokens, 100/s", &bench, model, streamed).await;
    let mut high_rate = load_plan(
        bench.boxes["ikeja-1"].files.router,
        "/reader-api/manifest",
        None,
        10_000.0,
        5,
    );
    high_rate.threads = 3;
    print_report(
        "plain reads through the router, 10,000/s",
        &run_load(high_rate).await,
    );
}

async fn measure_router_memory() {
    let mut bench = Bench::start(one_hall_plan()).await;
    let long_stream = ModelBehaviour {
        tokens: 600,
        token_ms: 50,
        ..ModelBehaviour::default()
    };
    bench.models[0]
        .stand_in
        .set_behaviour("small/s1", long_stream);
    let streams = if is_full_run() { 2000 } else { 20 };
    let before_kb = bench.router("ikeja-1").resident_kilobytes();
    let mut open_streams = Vec::new();
    for _ in 0..streams {
        let request = bench.request("ikeja-1", "comics", "POST", "/v1/chat/completions");
        open_streams.push(
            request
                .send_json(&streaming_completion_body("small/s1"))
                .await
                .unwrap(),
        );
    }
    let after_kb = bench.router("ikeja-1").resident_kilobytes();
    println!("router with {streams} open streams: {after_kb} KB, {before_kb} KB before");
    drop(open_streams);
}

/// Makes `count` claims, `concurrency` at a time, and prints their latency and throughput.
async fn measure_claims(
    name: &str,
    count: usize,
    concurrency: usize,
    claim: impl AsyncFn(usize) -> bool,
) {
    let histogram = RefCell::new(Histogram::<u64>::new(3).unwrap());
    let next = Cell::new(0);
    let refused = Cell::new(0);
    let started_at = Instant::now();
    let workers = (0..concurrency).map(|_| async {
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
        "{name}: {count} claims, {} refused, p50 {:.2} ms, p99 {:.2} ms, {:.0}/s",
        refused.get(),
        histogram.value_at_quantile(0.5) as f64 / 1000.0,
        histogram.value_at_quantile(0.99) as f64 / 1000.0,
        count as f64 / started_at.elapsed().as_secs_f64(),
    );
}

/// The alternative of group commit: a shard collects claims while a write is in progress and
/// writes them together.
struct GroupCommit {
    store: EtcdStore,
    waiting: RefCell<Vec<tokio::sync::oneshot::Sender<bool>>>,
    writes: Cell<usize>,
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
            let number = self.writes.replace(self.writes.get() + 1);
            let key = format!("group/{number}");
            let written = self
                .store
                .write_if(&key, Condition::Absent, b"claims")
                .await
                .is_ok();
            for tx in waiting {
                // The claimer may have stopped waiting.
                let _ = tx.send(written);
            }
        }
    }
}

async fn measure_claim_strategies() {
    const CONCURRENT_CLAIMS: usize = 16;
    let bench = Bench::start(one_hall_plan()).await;
    bench
        .list_without_proxy("ikeja-reader-1", "ikeja-model-1", "ikeja")
        .await;
    let count = if is_full_run() { 4000 } else { 64 };
    let slow_store = StoreFaults {
        delay_ms: STORE_DELAY_MS,
        ..StoreFaults::default()
    };
    for (label, faults) in [
        ("store responds in 3 ms", slow_store),
        (
            "store unreachable",
            StoreFaults {
                down: true,
                ..slow_store
            },
        ),
    ] {
        bench.set_store_faults(faults);
        println!("--- {label}");
        let store = EtcdStore::new(bench.store_address());
        measure_claims(
            &format!("{label}: one store write per claim"),
            count,
            CONCURRENT_CLAIMS,
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
            writes: Cell::new(0),
        });
        let committer = actix_rt::spawn(group.clone().run());
        measure_claims(
            &format!("{label}: group commit per shard"),
            count,
            CONCURRENT_CLAIMS,
            async |_| group.claim().await,
        )
        .await;
        println!("  of which {} store writes", group.writes.get());
        committer.abort();
        let agent = bench.agent_client("ikeja-1");
        measure_claims(
            &format!("{label}: owner and witness"),
            count,
            CONCURRENT_CLAIMS,
            async |number| bench.claim_key(&agent, &format!("{label}-{number}")).await,
        )
        .await;
    }
    bench.set_store_faults(slow_store);
    let concurrent_requests = CONCURRENT_CLAIMS / 4;
    measure_claims(
        "bookmarks through the router, claimed",
        count / 2,
        concurrent_requests,
        async |number| {
            bench
                .bookmark("ikeja-1", &format!("measured-{number}"))
                .await
                .status
                == 200
        },
    )
    .await;
    measure_claims(
        "reads through the router, not claimed",
        count / 2,
        concurrent_requests,
        async |_| {
            let request = bench.request("ikeja-1", "comics", "GET", "/reader-api/manifest");
            common::read_answer(request.send().await).await.status == 200
        },
    )
    .await;
}

/// Measures the cost of an agent in a fleet of the given size.
async fn measure_agents(halls: usize, boxes: usize) {
    const HALL_NAMES: [&str; 4] = ["ikeja", "lekki", "yaba", "apapa"];
    let plan = BenchPlan {
        halls: HALL_NAMES[..halls]
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
    actix_rt::time::sleep(full_or_short_duration(8)).await;
    let read_totals = async |bench: &mut Bench| {
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
    let before = read_totals(&mut bench).await;
    let measured_from = Instant::now();
    actix_rt::time::sleep(full_or_short_duration(10)).await;
    let after = read_totals(&mut bench).await;
    let elapsed_s = measured_from.elapsed().as_secs_f64();
    let count = names.len() as f64;
    let changed_at = Instant::now();
    bench.operate_ok(0, &["withdraw", "small/s2"]).await;
    bench.wait_generation(&names, 3).await;
    let time_until_in_force = changed_at.elapsed();
    println!(
        "{:>3} agents in {halls} halls: {:>5.0} B/s sent each, {:.2} % of a core each, at most {} KB each, \
         store {:.2} reads/s {:.2} writes/s {:.2} watches/s in total, change in force on all after {:.2} s",
        names.len(),
        (after.0 - before.0) as f64 / elapsed_s / count,
        (after.4 - before.4) / elapsed_s / count * 100.0,
        after.5,
        (after.1 - before.1) as f64 / elapsed_s,
        (after.2 - before.2) as f64 / elapsed_s,
        (after.3 - before.3) as f64 / elapsed_s,
        time_until_in_force.as_secs_f64(),
    );
}

async fn measure_agent_cost() {
    let sizes: &[(usize, usize)] = if is_full_run() {
        &[(2, 8), (2, 16), (2, 32), (4, 32), (4, 64)]
    } else {
        &[(2, 4)]
    };
    for (halls, boxes) in sizes {
        measure_agents(*halls, *boxes).await;
    }
}

cases! {
    router_latency_and_throughput => measure_router_speed();
    router_memory_with_open_streams => measure_router_memory();
    claim_strategies => measure_claim_strategies();
    agent_cost_by_fleet_size => measure_agent_cost();
}
