//! Tests of the real program against stand-in servers: clients of a router that send many requests
//! ahead and read no answer.
//!
//! They check that the process stays within the memory of a small machine and within a bound on open
//! descriptors, and that an ordinary request is answered while those clients stay connected. See
//! `docs/incidents/requests-sent-ahead-of-unread-answers.md`.

mod common;

use common::{Bench, BenchPlan, completion_body, read_answer};
use gatepier::lab::fleet::credential_of;
use gatepier::lab::silent_clients::SilentClients;
use googletest::prelude::*;
use std::net::SocketAddr;
use tokio::sync::Mutex;

/// The connections of clients that read nothing.
const CONNECTIONS: usize = 48;
/// The memory that a router may take on a small machine.
const MEMORY_LIMIT_MB: u64 = 64;
/// The most descriptors that it may have open.
const MAX_DESCRIPTORS: usize = 200;
/// The router that the clients connect to.
const ROUTER: &str = "ikeja-1";

/// Held by the test that runs, so that each router has the machine for itself.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Returns a request with the credential of an organisation.
fn request(method: &str, path: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let credential = credential_of("comics");
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: app.example\r\nauthorization: Bearer {credential}\r\n"
    );
    format!("{head}content-length: {length}\r\n\r\n{body}").into_bytes()
}

/// The addresses of a router that clients connect to.
#[derive(Debug, Clone, Copy)]
enum Address {
    Callers,
    Metrics,
}

/// Expects that a router survives clients which read nothing.
async fn expect_to_bear(address: Address, clients: SilentClients) {
    let _alone = RUNNING.lock().await;
    let plan = BenchPlan {
        router_extra: "workers = 1\n".to_owned(),
        ..BenchPlan::default()
    };
    let mut bench = Bench::start(plan).await;
    let address: SocketAddr = match address {
        Address::Callers => bench.boxes[ROUTER].files.router,
        Address::Metrics => bench.boxes[ROUTER].files.router_metrics,
    };
    let connections = clients.run(address, CONNECTIONS).await;
    let router = bench.router(ROUTER);
    let (peak, descriptors) = (router.peak_kilobytes(), router.open_descriptors());
    println!("at its peak {peak} kB, {descriptors} descriptors");
    expect_that!(peak, lt(MEMORY_LIMIT_MB * 1024));
    expect_that!(descriptors, lt(MAX_DESCRIPTORS));
    let callers = bench.new_caller_view();
    bench
        .wait_for("an ordinary request is answered", async || {
            let request = callers.request(ROUTER, "comics", "POST", "/v1/chat/completions");
            let answer = read_answer(request.send_json(&completion_body("small")).await).await;
            answer.status == 200 && answer.whole
        })
        .await;
    let router = bench.router(ROUTER);
    expect_that!(router.peak_kilobytes(), lt(MEMORY_LIMIT_MB * 1024));
    expect_that!(router.exit_success(), none());
    drop(connections);
}

cases! {
    /// Guards against memory that grows with the requests which clients send ahead of answers that they
    /// do not read.
    router_bears_unread_answers_of_a_service => async {
        let request = request("GET", "/reader-api/manifest", "");
        expect_to_bear(Address::Callers, SilentClients::repeating(request)).await;
    };

    router_bears_unread_completions => async {
        let body = completion_body("small").to_string();
        let request = request("POST", "/v1/chat/completions", &body);
        expect_to_bear(Address::Callers, SilentClients::repeating(request)).await;
    };

    router_bears_unread_refusals => async {
        let request = request("GET", "/nowhere", "");
        expect_to_bear(Address::Callers, SilentClients::repeating(request)).await;
    };

    router_bears_unread_answers_over_h2 => async {
        let clients = SilentClients::over_h2("app.example", "/nowhere");
        expect_to_bear(Address::Callers, clients).await;
    };

    router_bears_unread_answers_over_h2_within_its_limit => async {
        let path = "/reader-api/manifest";
        let clients = SilentClients::over_h2("app.example", path).with_one_batch();
        expect_to_bear(Address::Callers, clients).await;
    };

    router_bears_unread_metrics => async {
        let request = request("GET", "/metrics", "");
        expect_to_bear(Address::Metrics, SilentClients::repeating(request)).await;
    };
}
