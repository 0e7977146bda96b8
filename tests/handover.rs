//! Routers that take the callers' socket over from each other, in orders other than one by one.

mod common;

use common::{Bench, BenchPlan, PersistentConnection, Process, RequestOutcome};
use futures::future::join_all;
use googletest::prelude::*;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a caller may wait for a connection, however routers are replaced.
const LONGEST_CONNECTING: Duration = Duration::from_millis(100);
const CALLERS: usize = 16;
/// A little longer than a router's notice.
const NOTICE: Duration = Duration::from_millis(2500);

const TAKEN_OVER: &str = "the callers' socket is taken over";

/// What callers saw that connect anew for each request.
#[derive(Debug, Default)]
struct Seen {
    longest_connecting: Duration,
    served: usize,
    not_served: Vec<RequestOutcome>,
}

async fn call_until(router: SocketAddr, is_over: Rc<Cell<bool>>) -> Seen {
    let mut seen = Seen::default();
    while !is_over.get() {
        let began = Instant::now();
        let mut connection = PersistentConnection::open(router).await;
        seen.longest_connecting = seen.longest_connecting.max(began.elapsed());
        match connection.read_manifest().await {
            reply if reply.is_served() => seen.served += 1,
            reply => seen.not_served.push(reply),
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    seen
}

/// A bench whose first box's routers come and go while callers use them.
struct Replaced {
    bench: Bench,
    is_over: Rc<Cell<bool>>,
    callers: Vec<actix_rt::task::JoinHandle<Seen>>,
}

impl Replaced {
    /// Starts the bench and its callers, and returns the router that serves them.
    async fn start() -> (Self, Process) {
        let mut bench = Bench::start(BenchPlan::default()).await;
        let running = bench.boxes.get_mut("ikeja-1").unwrap();
        let router = running.router.take().unwrap();
        let address = running.files.router;
        let is_over = Rc::new(Cell::new(false));
        let call = |_| actix_rt::spawn(call_until(address, is_over.clone()));
        let callers = (0..CALLERS).map(call).collect();
        let replaced = Self {
            bench,
            is_over,
            callers,
        };
        (replaced, router)
    }

    async fn successor(&self) -> Process {
        self.bench.start_successor("ikeja-1").await
    }

    async fn ended(&self, router: &mut Process) {
        let has_ended = async || router.exit_success().is_some();
        self.bench.wait_for("a router has ended", has_ended).await;
        expect_that!(router.exit_success(), some(eq(true)));
    }

    /// Ends the callers, and returns what each saw.
    async fn finish(self) -> Vec<Seen> {
        self.is_over.set(true);
        let seen = join_all(self.callers).await;
        seen.into_iter().map(|seen| seen.unwrap()).collect()
    }
}

fn nobody_waited(seen: &[Seen]) {
    let longest = seen.iter().map(|seen| seen.longest_connecting).max();
    let served: usize = seen.iter().map(|seen| seen.served).sum();
    println!("{served} served, longest connecting {longest:?}");
    expect_that!(longest, some(lt(LONGEST_CONNECTING)));
    expect_that!(served, gt(CALLERS));
}

fn all_were_served(seen: &[Seen]) {
    let not_served: Vec<&RequestOutcome> = seen.iter().flat_map(|seen| &seen.not_served).collect();
    expect_that!(not_served, is_empty());
}

cases! {
    /// Each router is replaced before the one before it has stopped taking connections.
    callers_are_served_at_once_as_replacements_overlap => async {
        let (replaced, mut router) = Replaced::start().await;
        let mut stopping = Vec::new();
        for _ in 0..4 {
            let successor = replaced.successor().await;
            router.signal(libc::SIGTERM);
            stopping.push(std::mem::replace(&mut router, successor));
            actix_rt::time::sleep(Duration::from_millis(300)).await;
        }
        for router in &mut stopping {
            replaced.ended(router).await;
        }
        expect_that!(replaced.bench.log_count(TAKEN_OVER), eq(4));
        let seen = replaced.finish().await;
        nobody_waited(&seen);
        all_were_served(&seen);
    };

    /// A successor is taken back, and the router that it was to replace is replaced later.
    socket_is_passed_on_again_when_a_successor_was_stopped => async {
        let (replaced, mut router) = Replaced::start().await;
        let mut taken_back = replaced.successor().await;
        taken_back.signal(libc::SIGTERM);
        replaced.ended(&mut taken_back).await;
        let _next = replaced.successor().await;
        router.signal(libc::SIGTERM);
        replaced.ended(&mut router).await;
        expect_that!(replaced.bench.log_count(TAKEN_OVER), eq(2));
        let seen = replaced.finish().await;
        nobody_waited(&seen);
        all_were_served(&seen);
    };

    /// The router in the middle is killed, so its predecessor does not know that another one has
    /// the socket: what it did to the socket would hold for that one.
    router_that_leaves_does_not_spoil_a_socket_that_others_have => async {
        let (replaced, mut first) = Replaced::start().await;
        let mut second = replaced.successor().await;
        let _third = replaced.successor().await;
        second.kill();
        first.signal(libc::SIGTERM);
        replaced.ended(&mut first).await;
        actix_rt::time::sleep(NOTICE).await;
        nobody_waited(&replaced.finish().await);
    };

    /// A frozen router answers nobody, and its successor may not wait for it.
    successor_of_a_frozen_router_listens_for_itself => async {
        let mut bench = Bench::start(BenchPlan::default()).await;
        bench.router("ikeja-1").suspend();
        let _successor = bench.start_successor("ikeja-1").await;
        expect_that!(bench.log_count(TAKEN_OVER), eq(0));
        bench.router("ikeja-1").resume();
    };
}
