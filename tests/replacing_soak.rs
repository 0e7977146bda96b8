//! Routers that are replaced at random moments while callers of every kind use them.
//!
//! `GATEPIER_REPLACING_SEED`, `GATEPIER_REPLACING_SEEDS` and `GATEPIER_REPLACING_SECONDS` make the
//! run longer; each seed is printed, and what it found.

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
/// What a caller may wait for a connection. The system sends a first packet that was dropped again
/// after a second.
const LONGEST_CONNECTING: Duration = Duration::from_millis(500);
/// How often a successor is taken back in place of the router that it was to replace.
const TAKEN_BACK: f64 = 0.2;
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

/// What a caller saw.
#[derive(Debug, Default)]
struct Seen {
    served: usize,
    not_served: Vec<(CallerPlan, RequestOutcome)>,
    longest_connecting: Duration,
}

impl Seen {
    async fn connect(&mut self, router: SocketAddr) -> PersistentConnection {
        let began = Instant::now();
        let connection = PersistentConnection::open(router).await;
        self.longest_connecting = self.longest_connecting.max(began.elapsed());
        connection
    }
}

/// Asks until a moment.
async fn call(router: SocketAddr, plan: CallerPlan, seed: u64, until: Instant) -> Seen {
    let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(CALLERS) + plan.number);
    let mut seen = Seen::default();
    let mut connection = seen.connect(router).await;
    while Instant::now() < until {
        let reply = match plan.asks {
            Asks::Manifests => connection.read_manifest().await,
            Asks::Bookmarks => {
                let key = format!("mark-{seed}-{}-{}", plan.number, seen.served);
                connection.bookmark(&key).await
            }
            Asks::Streams => connection.stream().await,
        };
        let leaves = !plan.keeps
            || !matches!(
                reply,
                RequestOutcome::Answered {
                    closes_connection: false,
                    ..
                }
            );
        match reply.is_served() {
            true => seen.served += 1,
            // The connection had ended before: the caller was told to leave with its last answer.
            false if reply == RequestOutcome::NotSent => {}
            false => seen.not_served.push((plan, reply)),
        }
        let rest = rng.random_range(0..=plan.longest_rest_ms);
        actix_rt::time::sleep(Duration::from_millis(rest)).await;
        if leaves {
            connection = seen.connect(router).await;
        }
    }
    seen
}

/// Replaces a box's router at random moments until a moment, and returns the last one and those
/// that may still drain.
async fn replace_on(
    bench: &Bench,
    first: Process,
    seed: u64,
    rng: &mut StdRng,
    until: Instant,
) -> Vec<Process> {
    let mut which = StdRng::seed_from_u64(seed);
    let mut current = first;
    let mut routers = Vec::new();
    while Instant::now() < until {
        let pause = rng.random_range(100..2500);
        actix_rt::time::sleep(Duration::from_millis(pause)).await;
        let successor = bench.start_successor("ikeja-1").await;
        let stopped = match which.random_bool(TAKEN_BACK) {
            true => successor,
            false => std::mem::replace(&mut current, successor),
        };
        stopped.signal(libc::SIGTERM);
        routers.push(stopped);
        bench
            .wait_for("routers have drained", async || {
                routers.retain_mut(|router| router.exit_success().is_none());
                routers.len() < MOST_DRAINING
            })
            .await;
    }
    routers.push(current);
    routers
}

/// Replaces a box's agent at random moments until a moment, one life after the other.
async fn replace_agent_on(
    bench: &Bench,
    mut agent: Process,
    seed: u64,
    until: Instant,
) -> (Process, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut replaced = 0;
    while Instant::now() < until {
        let pause = rng.random_range(500..2500);
        actix_rt::time::sleep(Duration::from_millis(pause)).await;
        agent.signal(libc::SIGTERM);
        let has_ended = async || agent.exit_success().is_some();
        bench.wait_for("the agent has ended", has_ended).await;
        agent = bench.spawn_agent("ikeja-1");
        replaced += 1;
    }
    (agent, replaced)
}

/// What is replaced while callers use a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Replaced {
    Routers,
    RoutersAndAgents,
}

async fn replace_at_random(what: Replaced, seed: u64, length: Duration) {
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
    let agent = match what {
        Replaced::Routers => None,
        Replaced::RoutersAndAgents => bench.boxes.get_mut("ikeja-1").unwrap().agent.take(),
    };
    let address = bench.boxes["ikeja-1"].files.router;
    let until = Instant::now() + length;
    let plans: Vec<CallerPlan> = (0..CALLERS)
        .map(|n| CallerPlan::draw(n, &mut rng))
        .collect();
    let callers = join_all(plans.iter().map(|plan| call(address, *plan, seed, until)));
    let replacements = replace_on(&bench, first.unwrap(), seed, &mut rng, until);
    let agents = async {
        match agent {
            Some(agent) => Some(replace_agent_on(&bench, agent, seed, until).await),
            None => None,
        }
    };
    let (seen, _routers, agents) = futures::join!(callers, replacements, agents);
    let served: usize = seen.iter().map(|seen| seen.served).sum();
    let longest = seen.iter().map(|seen| seen.longest_connecting).max();
    let mut not_served: Vec<_> = seen.into_iter().flat_map(|seen| seen.not_served).collect();
    let replaced = bench.log_count("\"text\":\"stopping: requests under way are finished\"");
    println!(
        "seed {seed}: {served} served, {} not, {replaced} routers stopped, connecting {longest:?}",
        not_served.len()
    );
    if let Some((_agent, replaced)) = agents {
        println!("seed {seed}: {replaced} agents replaced");
        // While a box has no agent, what may not be repeated is refused.
        not_served.retain(|(_, reply)| !reply.is_outcome_known());
    }
    expect_that!(not_served, is_empty(), "seed {seed}");
    expect_that!(longest, some(lt(LONGEST_CONNECTING)), "seed {seed}");
    let dropped = bench.log_lines("a connection is dropped while it is served");
    expect_that!(dropped, eq(""), "seed {seed}");
}

fn replace_with_each_seed(what: Replaced) {
    let first = setting("GATEPIER_REPLACING_SEED", 1);
    let length = Duration::from_secs(setting("GATEPIER_REPLACING_SECONDS", 6));
    for seed in first..first + setting("GATEPIER_REPLACING_SEEDS", 2) {
        run(replace_at_random(what, seed, length));
    }
}

#[googletest::test]
fn routers_replaced_at_random_cut_and_refuse_nobody() {
    replace_with_each_seed(Replaced::Routers);
}

/// Agents come and go as well: a caller may be refused, and knows then that nothing ran.
#[googletest::test]
fn routers_and_agents_replaced_at_random_leave_nobody_in_doubt() {
    replace_with_each_seed(Replaced::RoutersAndAgents);
}
