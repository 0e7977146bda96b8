//! Handover of the callers' listening socket between routers, when replacements overlap or fail.

mod common;

use common::{Bench, BenchPlan, PersistentConnection, Process, RequestOutcome};
use futures::future::join_all;
use googletest::prelude::*;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum time that a caller may need to connect, however routers are replaced.
const MAX_CONNECT_TIME: Duration = Duration::from_millis(100);
const CALLERS: usize = 16;
/// Slightly longer than a stopping router goes on accepting connections.
const SHUTDOWN_LEAD: Duration = Duration::from_millis(2500);

const TAKEN_OVER_LOG_TEXT: &str = "listening socket taken over from another router";

/// Results of a caller that opens a connection for each request.
#[derive(Debug, Default)]
struct CallerResult {
    longest_connect_time: Duration,
    served: usize,
    not_served: Vec<RequestOutcome>,
}

async fn call_until(router: SocketAddr, is_stopped: Rc<Cell<bool>>) -> CallerResult {
    let mut result = CallerResult::default();
    while !is_stopped.get() {
        let started = Instant::now();
        let mut connection = PersistentConnection::open(router).await;
        result.longest_connect_time = result.longest_connect_time.max(started.elapsed());
        match connection.read_manifest().await {
            reply if reply.is_served() => result.served += 1,
            reply => result.not_served.push(reply),
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    result
}

/// Bench with callers on its first box, whose routers are replaced.
struct ReplacementBench {
    bench: Bench,
    is_stopped: Rc<Cell<bool>>,
    callers: Vec<actix_rt::task::JoinHandle<CallerResult>>,
}

impl ReplacementBench {
    /// Starts the bench and its callers, and returns it along with the router that serves them.
    async fn start() -> (Self, Process) {
        let mut bench = Bench::start(BenchPlan::default()).await;
        let running = bench.boxes.get_mut("ikeja-1").unwrap();
        let router = running.router.take().unwrap();
        let address = running.files.router;
        let is_stopped = Rc::new(Cell::new(false));
        let call = |_| actix_rt::spawn(call_until(address, is_stopped.clone()));
        let callers = (0..CALLERS).map(call).collect();
        let replacement = Self {
            bench,
            is_stopped,
            callers,
        };
        (replacement, router)
    }

    async fn successor(&self) -> Process {
        self.bench.start_successor("ikeja-1").await
    }

    async fn wait_for_exit(&self, router: &mut Process) {
        let has_exited = async || router.exit_success().is_some();
        self.bench.wait_for("a router has exited", has_exited).await;
        expect_that!(router.exit_success(), some(eq(true)));
    }

    /// Stops the callers, and returns the results of each.
    async fn finish(self) -> Vec<CallerResult> {
        self.is_stopped.set(true);
        let results = join_all(self.callers).await;
        results.into_iter().map(|result| result.unwrap()).collect()
    }
}

fn expect_no_slow_connection(results: &[CallerResult]) {
    let longest = results
        .iter()
        .map(|result| result.longest_connect_time)
        .max();
    let served: usize = results.iter().map(|result| result.served).sum();
    println!("{served} served, longest connecting {longest:?}");
    expect_that!(longest, some(lt(MAX_CONNECT_TIME)));
    expect_that!(served, gt(CALLERS));
}

fn expect_all_served(results: &[CallerResult]) {
    let not_served: Vec<&RequestOutcome> = results
        .iter()
        .flat_map(|result| &result.not_served)
        .collect();
    expect_that!(not_served, is_empty());
}

cases! {
    /// Each router is replaced before its predecessor has stopped accepting connections.
    callers_are_served_without_delay_while_replacements_overlap => async {
        let (replacement, mut router) = ReplacementBench::start().await;
        let mut stopping = Vec::new();
        for _ in 0..4 {
            let successor = replacement.successor().await;
            router.signal(libc::SIGTERM);
            stopping.push(std::mem::replace(&mut router, successor));
            actix_rt::time::sleep(Duration::from_millis(300)).await;
        }
        for router in &mut stopping {
            replacement.wait_for_exit(router).await;
        }
        expect_that!(replacement.bench.log_count(TAKEN_OVER_LOG_TEXT), eq(4));
        let results = replacement.finish().await;
        expect_no_slow_connection(&results);
        expect_all_served(&results);
    };

    /// A successor is stopped instead of the router that it was to replace, which another successor
    /// replaces later.
    socket_is_handed_over_again_after_a_successor_was_stopped => async {
        let (replacement, mut router) = ReplacementBench::start().await;
        let mut stopped_successor = replacement.successor().await;
        stopped_successor.signal(libc::SIGTERM);
        replacement.wait_for_exit(&mut stopped_successor).await;
        let _next = replacement.successor().await;
        router.signal(libc::SIGTERM);
        replacement.wait_for_exit(&mut router).await;
        expect_that!(replacement.bench.log_count(TAKEN_OVER_LOG_TEXT), eq(2));
        let results = replacement.finish().await;
        expect_no_slow_connection(&results);
        expect_all_served(&results);
    };

    /// The router in the middle is killed, so the first one does not know that a third one holds
    /// the socket. If it attached a filter to the socket, that would also drop connections to the
    /// third.
    stopping_router_does_not_filter_a_socket_that_others_hold => async {
        let (replacement, mut first) = ReplacementBench::start().await;
        let mut second = replacement.successor().await;
        let _third = replacement.successor().await;
        second.kill();
        first.signal(libc::SIGTERM);
        replacement.wait_for_exit(&mut first).await;
        actix_rt::time::sleep(SHUTDOWN_LEAD).await;
        expect_no_slow_connection(&replacement.finish().await);
    };

    /// A frozen router does not respond to the handover request, and its successor must not wait
    /// for it.
    successor_of_a_frozen_router_opens_its_own_socket => async {
        let mut bench = Bench::start(BenchPlan::default()).await;
        bench.router("ikeja-1").suspend();
        let _successor = bench.start_successor("ikeja-1").await;
        expect_that!(bench.log_count(TAKEN_OVER_LOG_TEXT), eq(0));
        bench.router("ikeja-1").resume();
    };
}
