//! Replacement of routers and agents at random moments while callers of every kind use them.
//!
//! `GATEPIER_REPLACING_SEED` sets the first seed, `GATEPIER_REPLACING_SEEDS` the number of seeds
//! and `GATEPIER_REPLACING_SECONDS` the length of the run with each; the results of each seed are
//! printed.

mod common;

use common::{Bench, BenchPlan, PersistentConnection, Process, RequestOutcome, run};
use futures::future::join_all;
use gatepier::lab::model::ModelBehaviour;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const CALLERS: u64 = 32;
/// Maximum time that a caller may need to connect. The kernel sends a SYN that was dropped again
/// after a second.
const MAX_CONNECT_TIME: Duration = Duration::from_millis(500);
/// Probability that a successor is stopped instead of the router that it was to replace.
const SUCCESSOR_STOP_PROBABILITY: f64 = 0.2;
/// Maximum number of the box's routers that drain at the same time.
const MAX_DRAINING_ROUTERS: usize = 4;

fn env_or(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().unwrap())
}

/// Kind of requests that a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    Manifests,
    Bookmarks,
    Streams,
}

/// Behaviour of a caller: the kind of its requests, whether it reuses its connection, and its
/// longest pause between two requests.
#[derive(Debug, Clone, Copy)]
struct CallerPlan {
    number: u64,
    request_kind: RequestKind,
    reuses_connection: bool,
    max_pause_ms: u64,
}

impl CallerPlan {
    fn draw(number: u64, rng: &mut StdRng) -> Self {
        Self {
            number,
            request_kind: [
                RequestKind::Manifests,
                RequestKind::Bookmarks,
                RequestKind::Streams,
            ][rng.random_range(0..3)],
            reuses_connection: rng.random_bool(0.75),
            max_pause_ms: [5, 50, 500, 3000][rng.random_range(0..4)],
        }
    }
}

/// Results of a caller.
#[derive(Debug, Default)]
struct CallerResult {
    served: usize,
    not_served: Vec<(CallerPlan, RequestOutcome)>,
    longest_connect_time: Duration,
}

impl CallerResult {
    async fn connect(&mut self, router: SocketAddr) -> PersistentConnection {
        let started = Instant::now();
        let connection = PersistentConnection::open(router).await;
        self.longest_connect_time = self.longest_connect_time.max(started.elapsed());
        connection
    }
}

/// Sends requests until a deadline.
async fn call(router: SocketAddr, plan: CallerPlan, seed: u64, until: Instant) -> CallerResult {
    let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(CALLERS) + plan.number);
    let mut result = CallerResult::default();
    let mut connection = result.connect(router).await;
    while Instant::now() < until {
        let reply = match plan.request_kind {
            RequestKind::Manifests => connection.read_manifest().await,
            RequestKind::Bookmarks => {
                let key = format!("mark-{seed}-{}-{}", plan.number, result.served);
                connection.bookmark(&key).await
            }
            RequestKind::Streams => connection.stream().await,
        };
        let must_reconnect = !plan.reuses_connection
            || !matches!(
                reply,
                RequestOutcome::Answered {
                    closes_connection: false,
                    ..
                }
            );
        match reply.is_served() {
            true => result.served += 1,
            // The connection had been closed before: the last answer carried `Connection: close`.
            false if reply == RequestOutcome::NotSent => {}
            false => result.not_served.push((plan, reply)),
        }
        let pause_ms = rng.random_range(0..=plan.max_pause_ms);
        actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
        if must_reconnect {
            connection = result.connect(router).await;
        }
    }
    result
}

/// Replaces a box's router at random intervals until a deadline, and returns the last one and those
/// that may still be draining.
async fn replace_routers(
    bench: &Bench,
    first: Process,
    seed: u64,
    rng: &mut StdRng,
    until: Instant,
) -> Vec<Process> {
    let mut target_rng = StdRng::seed_from_u64(seed);
    let mut current = first;
    let mut routers = Vec::new();
    while Instant::now() < until {
        let pause_ms = rng.random_range(100..2500);
        actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
        let successor = bench.start_successor("ikeja-1").await;
        let stopped = match target_rng.random_bool(SUCCESSOR_STOP_PROBABILITY) {
            true => successor,
            false => std::mem::replace(&mut current, successor),
        };
        stopped.signal(libc::SIGTERM);
        routers.push(stopped);
        bench
            .wait_for("routers have drained", async || {
                routers.retain_mut(|router| router.exit_success().is_none());
                routers.len() < MAX_DRAINING_ROUTERS
            })
            .await;
    }
    routers.push(current);
    routers
}

/// Replaces a box's agent at random intervals until a deadline, each time after the old process has
/// exited. Returns the last agent and the number of replacements.
async fn replace_agents(
    bench: &Bench,
    mut agent: Process,
    seed: u64,
    until: Instant,
) -> (Process, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut replaced = 0;
    while Instant::now() < until {
        let pause_ms = rng.random_range(500..2500);
        actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
        agent.signal(libc::SIGTERM);
        let has_exited = async || agent.exit_success().is_some();
        bench.wait_for("the agent has exited", has_exited).await;
        agent = bench.spawn_agent("ikeja-1");
        replaced += 1;
    }
    (agent, replaced)
}

/// Processes that are replaced while callers use a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplacedProcesses {
    Routers,
    RoutersAndAgents,
}

async fn replace_at_random(processes: ReplacedProcesses, seed: u64, length: Duration) {
    let mut rng = StdRng::seed_from_u64(seed);
    let workers = rng.random_range(1..=8);
    let drain_ms = [8000, 20_000, 60_000][rng.random_range(0..3)];
    let plan = BenchPlan {
        router_extra: format!("workers = {workers}\ndrain_ms = {drain_ms}\n"),
        ..BenchPlan::default()
    };
    let mut bench = Bench::start(plan).await;
    let steady = ModelBehaviour {
        tokens: rng.random_range(2..40),
        token_ms: 20,
        ..ModelBehaviour::default()
    };
    let models = bench.models.iter();
    models.for_each(|model| model.stand_in.set_behaviour("small/s1", steady));
    let first = bench.boxes.get_mut("ikeja-1").unwrap().router.take();
    let agent = match processes {
        ReplacedProcesses::Routers => None,
        ReplacedProcesses::RoutersAndAgents => bench.boxes.get_mut("ikeja-1").unwrap().agent.take(),
    };
    let address = bench.boxes["ikeja-1"].files.router;
    let until = Instant::now() + length;
    let plans: Vec<CallerPlan> = (0..CALLERS)
        .map(|n| CallerPlan::draw(n, &mut rng))
        .collect();
    let callers = join_all(plans.iter().map(|plan| call(address, *plan, seed, until)));
    let replacements = replace_routers(&bench, first.unwrap(), seed, &mut rng, until);
    let agents = async {
        match agent {
            Some(agent) => Some(replace_agents(&bench, agent, seed, until).await),
            None => None,
        }
    };
    let (results, _routers, agents) = futures::join!(callers, replacements, agents);
    let served: usize = results.iter().map(|result| result.served).sum();
    let longest = results
        .iter()
        .map(|result| result.longest_connect_time)
        .max();
    let mut not_served: Vec<_> = results
        .into_iter()
        .flat_map(|result| result.not_served)
        .collect();
    let replaced = bench.log_count("\"text\":\"stopping: finishing requests in progress\"");
    println!(
        "seed {seed}: {served} served, {} not, {replaced} routers stopped, connecting {longest:?}",
        not_served.len()
    );
    if let Some((_agent, replaced)) = agents {
        println!("seed {seed}: {replaced} agents replaced");
        // While a box has no agent, requests that may not be repeated are refused.
        not_served.retain(|(_, reply)| !reply.is_outcome_known());
    }
    expect_that!(not_served, is_empty(), "seed {seed}");
    expect_that!(longest, some(lt(MAX_CONNECT_TIME)), "seed {seed}");
    let dropped_connections = bench.log_lines("a connection is dropped while it is served");
    expect_that!(dropped_connections, eq(""), "seed {seed}");
}

fn replace_with_each_seed(processes: ReplacedProcesses) {
    let first = env_or("GATEPIER_REPLACING_SEED", 1);
    let length = Duration::from_secs(env_or("GATEPIER_REPLACING_SECONDS", 6));
    for seed in first..first + env_or("GATEPIER_REPLACING_SEEDS", 2) {
        run(replace_at_random(processes, seed, length));
    }
}

#[googletest::test]
fn routers_replaced_at_random_cut_and_refuse_no_request() {
    replace_with_each_seed(ReplacedProcesses::Routers);
}

/// Agents are replaced as well: requests may be refused then, if callers learn that they did not
/// run.
#[googletest::test]
fn routers_and_agents_replaced_at_random_leave_no_unknown_outcome() {
    replace_with_each_seed(ReplacedProcesses::RoutersAndAgents);
}
