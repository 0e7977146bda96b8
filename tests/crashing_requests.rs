//! Requests that crash the upstreams that run them, over the own interface.

mod common;

use common::{Bench, BenchPlan, question, read_answer};
use gatepier::lab::platform::ListChange;
use gatepier::live::ListedBox;
use gatepier::name::VersionName;
use googletest::prelude::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a request that crashes its upstream contains, in these tests.
const CRASHING: &str = "crash-the-engine";
/// Upstreams that a request may end: three before it can be known, and as many more.
const MOST_CRASHED: usize = 3 + 3;
/// How often a crashing request comes again, and the time between.
const SENDS: usize = 12;
const SEND_INTERVAL: Duration = Duration::from_millis(400);
/// How long a list's change may take to reach the routers.
const PATIENCE: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);

/// An upstream that ends, with all its connections, when it is asked to run a crashing request.
struct FragileUpstream {
    address: SocketAddr,
    crashed: Rc<watch::Sender<bool>>,
}

impl FragileUpstream {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let crashed = Rc::new(watch::Sender::new(false));
        let ends = crashed.clone();
        actix_rt::spawn(async move {
            let mut ended = ends.subscribe();
            loop {
                tokio::select! {
                    _ = ended.wait_for(|crashed| *crashed) => return,
                    accepted = listener.accept() => {
                        let (stream, _) = accepted.unwrap();
                        actix_rt::spawn(serve(stream, ends.clone()));
                    }
                }
            }
        });
        Self { address, crashed }
    }

    fn has_crashed(&self) -> bool {
        *self.crashed.borrow()
    }
}

/// Serves a connection until the upstream crashes.
async fn serve(mut stream: TcpStream, crashed: Rc<watch::Sender<bool>>) {
    let mut ended = crashed.subscribe();
    let mut buf = Vec::new();
    let mut part = [0; 4096];
    loop {
        let read = tokio::select! {
            _ = ended.wait_for(|crashed| *crashed) => break,
            read = stream.read(&mut part) => read.unwrap_or(0),
        };
        if read == 0 {
            return;
        }
        buf.extend_from_slice(&part[..read]);
        let text = String::from_utf8_lossy(&buf).into_owned();
        if text.contains(CRASHING) {
            crashed.send_replace(true);
            break;
        }
        if is_whole(&text) {
            buf.clear();
            let answer = answer();
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
    let socket = socket2::SockRef::from(&stream);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}

fn is_whole(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.map_or(0, |length| length.trim().parse().unwrap());
    body.len() >= length
}

fn answer() -> String {
    let body = json!({
        "object": "chat.completion", "model": "small/s1",
        "choices": [{
            "index": 0, "finish_reason": "stop",
            "message": { "role": "assistant", "content": "an answer" },
        }],
        "usage": { "prompt_tokens": 8, "completion_tokens": 8, "total_tokens": 16 },
    })
    .to_string();
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Starts two routers before fragile upstreams of a service.
async fn start(service: &str, versions: &[&str], count: usize) -> (Bench, Vec<FragileUpstream>) {
    let bench = Bench::start(BenchPlan {
        models: 0,
        services: 0,
        ..BenchPlan::default()
    })
    .await;
    let mut upstreams = Vec::new();
    let mut listed = Vec::new();
    for number in 0..count {
        let upstream = FragileUpstream::start().await;
        let versions = versions
            .iter()
            .map(|text| VersionName::parse(text).unwrap());
        let name = format!("fragile-{number}");
        listed.push(ListedBox::live(
            &name,
            service,
            "ikeja",
            upstream.address,
            versions,
        ));
        upstreams.push(upstream);
    }
    bench.change_list(&ListChange::Put(listed));
    (bench, upstreams)
}

fn crashed(upstreams: &[FragileUpstream]) -> usize {
    let crashed = upstreams.iter().filter(|upstream| upstream.has_crashed());
    crashed.count()
}

/// Waits until both routers get answers to a request that harms nobody.
async fn until_served(bench: &Bench, send: impl AsyncFn(&str) -> u16) {
    let began = Instant::now();
    for router in bench.boxes.keys() {
        while send(router).await != 200 {
            assert!(began.elapsed() < PATIENCE, "{router} serves nothing");
            tokio::time::sleep(POLL).await;
        }
    }
}

async fn complete(bench: &Bench, router: &str, content: &str) -> (u16, Value) {
    let mut body = question("small");
    body["messages"][0]["content"] = Value::from(content);
    let answer = bench.complete(router, "comics", body).await;
    let parsed = serde_json::from_str(&answer.body).unwrap_or_default();
    (answer.status, parsed)
}

async fn read_page(bench: &Bench, router: &str, page: &str) -> u16 {
    let path = format!("/reader-api/{page}");
    let request = bench.request(router, "comics", "GET", &path);
    read_answer(request.send().await).await.status
}

/// Sends a crashing request to the routers in turn, and checks that it is given up.
async fn expect_given_up(
    bench: &Bench,
    upstreams: &[FragileUpstream],
    send: impl AsyncFn(&str) -> u16,
) {
    let routers: Vec<&String> = bench.boxes.keys().collect();
    let mut last = 0;
    for number in 0..SENDS {
        last = send(routers[number % routers.len()]).await;
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    expect_that!(crashed(upstreams), le(MOST_CRASHED));
    expect_that!(last, eq(400));
}

cases! {
    /// Guards against repeats of a completion that ends each engine that runs it.
    completion_that_crashes_its_engines_is_refused_by_all_routers => async {
        let (bench, upstreams) = start("inkmind", &["small/s1"], 16).await;
        until_served(&bench, async |router| complete(&bench, router, "hello").await.0).await;
        expect_given_up(&bench, &upstreams, async |router| {
            complete(&bench, router, CRASHING).await.0
        })
        .await;
        expect_that!(complete(&bench, "ikeja-1", "hello again").await.0, eq(200));
    };

    /// Guards against the same at a plain service.
    plain_request_that_crashes_its_upstreams_is_refused_by_all_routers => async {
        let (bench, upstreams) = start("reader-api", &[], 16).await;
        until_served(&bench, async |router| read_page(&bench, router, "page").await).await;
        expect_given_up(&bench, &upstreams, async |router| {
            read_page(&bench, router, CRASHING).await
        })
        .await;
        expect_that!(read_page(&bench, "ikeja-1", "page").await, eq(200));
    };
}
