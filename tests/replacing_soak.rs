//! Routers that are replaced at random moments while callers of every kind use them.
//!
//! `GATEPIER_REPLACING_SEED`, `GATEPIER_REPLACING_SEEDS` and `GATEPIER_REPLACING_SECONDS` make the
//! run longer; each seed is printed, and what it found.

mod common;

use common::{Bench, BenchPlan, KeptConnection, Process, Reply, run};
use futures::future::join_all;
use gatepier::lab::model::Behaviour;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const CALLERS: u64 = 32;
/// Routers of the box that may drain at a time.
const MOST_DRAINING: usize = 4;

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().unwrap())
}

/// What a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Asks {
    Manifests,
    Bookmarks,
    Streams,
}

/// One caller: what it asks for, how, and how long it rests between two requests.
#[derive(Debug, Clone, Copy)]
struct CallerPlan {
    number: u64,
    asks: Asks,
    keeps: bool,
    longest_rest_ms: u64,
}

impl CallerPlan {
    fn draw(number: u64, rng: &mut StdRng) -> Self {
        Self {
            number,
            asks: [Asks::Manifests, Asks::Bookmarks, Asks::Streams][rng.random_range(0..3)],
            keeps: rng.random_bool(0.75),
            longest_rest_ms: [5, 50, 500, 3000][rng.random_range(0..4)],
        }
    }
}

/// Asks until a moment, and returns how many were served and what became of the others.
async fn call(
    router: SocketAddr,
    plan: CallerPlan,
    seed: u64,
    until: Instant,
) -> (usize, Vec<(CallerPlan, Reply)>) {
    let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(CALLERS) + plan.number);
    let mut served = 0;
    let mut not_served = Vec::new();
    let mut connection = KeptConnection::open(router).await;
    while Instant::now() < until {
        let reply = match plan.asks {
            Asks::Manifests => connection.read_manifest().await,
            Asks::Bookmarks => {
                let key = format!("mark-{seed}-{}-{served}", plan.number);
                connection.bookmark(&key).await
            }
            Asks::Streams => connection.stream().await,
        };
        let leaves = !plan.keeps || !matches!(reply, Reply::Answered { closes: false, .. });
        match reply.is_served() {
            true => served += 1,
            // The connection had ended before: the caller was told to leave with its last answer.
            false if reply == Reply::Unsent => {}
            false => not_served.push((plan, reply)),
        }
        let rest = rng.random_range(0..=plan.longest_rest_ms);
        actix_rt::time::sleep(Duration::from_millis(rest)).await;
        if leaves {
            connection = KeptConnection::open(router).await;
        }
    }
    (served, not_served)
}

/// Replaces a box's router at random moments until a moment, and returns the last one and those
/// that may still drain.
async fn replace_on(
    bench: &Bench,
    first: Process,
    rng: &mut StdRng,
    until: Instant,
) -> Vec<Process> {
    let mut routers = vec![first];
    while Instant::now() < until {
        let pause = rng.random_range(100..2500);
        actix_rt::time::sleep(Duration::from_millis(pause)).await;
        let successor = bench.start_successor("ikeja-1").await;
        routers.last().unwrap().signal(libc::SIGTERM);
        routers.push(successor);
        bench
            .wait_for("routers have drained", async || {
                routers.retain_mut(|router| router.ended().is_none());
                routers.len() <= MOST_DRAINING
            })
            .await;
    }
    routers
}

async fn replace_at_random(seed: u64, length: Duration) {
    let mut rng = StdRng::seed_from_u64(seed);
    let workers = rng.random_range(1..=8);
    let drain_ms = [8000, 20_000, 60_000][rng.random_range(0..3)];
    let plan = BenchPlan {
        router_extra: format!("workers = {workers}\ndrain_ms = {drain_ms}\n"),
        ..BenchPlan::default()
    };
    let mut bench = Bench::start(plan).await;
    let steady = Behaviour {
        tokens: rng.random_range(2..40),
        token_ms: 20,
        ..Behaviour::default()
    };
    let models = bench.models.iter();
    models.for_each(|model| model.stand_in.set("small/s1", steady));
    let first = bench.boxes.get_mut("ikeja-1").unwrap().router.take();
    let address = bench.boxes["ikeja-1"].files.router;
    let until = Instant::now() + length;
    let plans: Vec<CallerPlan> = (0..CALLERS)
        .map(|n| CallerPlan::draw(n, &mut rng))
        .collect();
    let callers = join_all(plans.iter().map(|plan| call(address, *plan, seed, until)));
    let replacements = replace_on(&bench, first.unwrap(), &mut rng, until);
    let (replies, _routers) = futures::join!(callers, replacements);
    let served: usize = replies.iter().map(|(served, _)| served).sum();
    let not_served: Vec<_> = replies.into_iter().flat_map(|(_, others)| others).collect();
    let replaced = bench.log_count("\"text\":\"stopping: requests under way are finished\"");
    println!(
        "seed {seed}: {served} served, {} not, {replaced} routers replaced",
        not_served.len()
    );
    expect_that!(not_served, is_empty(), "seed {seed}");
}

#[googletest::test]
fn routers_replaced_at_random_cut_and_refuse_nobody() {
    let first = setting("GATEPIER_REPLACING_SEED", 1);
    let length = Duration::from_secs(setting("GATEPIER_REPLACING_SECONDS", 6));
    for seed in first..first + setting("GATEPIER_REPLACING_SEEDS", 2) {
        run(replace_at_random(seed, length));
    }
}
