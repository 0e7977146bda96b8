//! Tests of the gate that passes the requests of a connection to the HTTP library one at a time.

mod common;

use actix_http::body::BoxBody;
use actix_http::{HttpService, Request, Response};
use actix_service::{Service as _, ServiceFactory as _};
use futures::StreamExt as _;
use gatepier::eof_error_stream::EofErrorStream;
use gatepier::http_server::gated_stream::{GatedStream, HeadLimits};
use gatepier::http_server::request_gate::RequestGate;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// How long a test waits for a condition before it fails.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);
/// The requests of a connection whose caller reads.
const PIPELINED: usize = 60;

/// What a server has seen.
#[derive(Debug, Default)]
struct Seen {
    /// The requests that were begun, each with the body that its handler has read.
    requests: RefCell<Vec<(String, Vec<u8>)>>,
    /// The handlers that were dropped before they had answered.
    dropped: Cell<usize>,
}

/// Counts a handler that is dropped before it has answered.
struct Running<'a>(&'a Cell<usize>);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

/// Starts a server that answers each request with its path and its body.
async fn start_server() -> (SocketAddr, Rc<Seen>) {
    start_server_with(HeadLimits::default()).await
}

async fn start_server_with(limits: HeadLimits) -> (SocketAddr, Rc<Seen>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let seen = Rc::new(Seen::default());
    let server = seen.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, peer)) = listener.accept().await {
            actix_rt::spawn(serve(stream, peer, server.clone(), limits));
        }
    });
    (address, seen)
}

async fn serve(stream: TcpStream, peer: SocketAddr, seen: Rc<Seen>, limits: HeadLimits) {
    let stream = EofErrorStream::new(stream, ErrorKind::ConnectionAborted);
    let stream = GatedStream::new(stream, limits);
    let gate: Rc<RequestGate> = stream.gate().clone();
    let handler = move |req: Request| {
        let (gate, seen) = (gate.clone(), seen.clone());
        Box::pin(async move {
            let answer = gate.answer(req, async |req| answer(req, &seen).await);
            Ok::<_, Infallible>(answer.await)
        })
    };
    let service = HttpService::build().h1(handler).new_service(()).await;
    let _ended = service.unwrap().call((stream, Some(peer))).await;
}

async fn answer(mut req: Request, seen: &Seen) -> Response<BoxBody> {
    let running = Running(&seen.dropped);
    let path = req.path().to_owned();
    let mut body = Vec::new();
    if !path.starts_with("/unread") {
        let mut payload = req.take_payload();
        while let Some(chunk) = payload.next().await {
            body.extend_from_slice(&chunk.unwrap());
        }
    }
    drop(req);
    seen.requests
        .borrow_mut()
        .push((path.clone(), body.clone()));
    if path.starts_with("/wait") {
        std::future::pending::<()>().await;
    }
    std::mem::forget(running);
    let text = [path.as_bytes(), b" ", &body].concat();
    match path.starts_with("/empty") {
        true => Response::ok().map_into_boxed_body(),
        false => Response::build(actix_http::StatusCode::OK)
            .body(text)
            .map_into_boxed_body(),
    }
}

/// A request, and what its handler reads.
struct Pipelined {
    bytes: Vec<u8>,
    path: String,
    body: Vec<u8>,
}

/// Draws a request of any form, whose body may look like the end of a head or like a request.
fn draw_request(rng: &mut StdRng, number: usize) -> Pipelined {
    let pieces: [&[u8]; 6] = [
        b"\r\n\r\n",
        b"\n\n",
        b"0\r\n\r\n",
        b"GET /smuggled HTTP/1.1\r\n\r\n",
        b"text\r",
        &[b'x'; 9000],
    ];
    let mut body = Vec::new();
    for _ in 0..rng.random_range(0..6) {
        body.extend_from_slice(pieces.choose(rng).unwrap());
    }
    let kind = *["", "unread", "empty"].choose(rng).unwrap();
    let path = format!("/{kind}{number}");
    let mut bytes = match rng.random_bool(0.2) {
        true => b"\r\n".to_vec(),
        false => Vec::new(),
    };
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\n");
    bytes.extend_from_slice(head.as_bytes());
    // A body of stated length that the handler does not read ends the connection.
    match kind != "unread" && rng.random_bool(0.5) {
        true => {
            bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
            bytes.extend_from_slice(&body);
        }
        false => {
            bytes.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
            for chunk in body.chunks(rng.random_range(1..5000)) {
                bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                bytes.extend_from_slice(chunk);
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
    }
    let is_read = kind != "unread";
    Pipelined {
        bytes,
        path,
        body: if is_read { body } else { Vec::new() },
    }
}

/// Sends bytes in pieces of random sizes.
async fn send_in_pieces(
    stream: &mut (impl AsyncWrite + Unpin),
    mut bytes: &[u8],
    rng: &mut StdRng,
) {
    while !bytes.is_empty() {
        let most = *[3, 200, 20_000].choose(rng).unwrap();
        let len = rng.random_range(1..=most).min(bytes.len());
        if stream.write_all(&bytes[..len]).await.is_err() {
            return;
        }
        bytes = &bytes[len..];
        if rng.random_bool(0.05) {
            sleep(Duration::from_millis(1)).await;
        }
    }
}

async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let waiting = async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(
        timeout(CONDITION_TIMEOUT, waiting).await.is_ok(),
        "timed out: {what}"
    );
}

/// Returns the requests that a server has seen, when a caller has sent some and read all answers.
async fn play(seed: u64) -> (Vec<(String, Vec<u8>)>, Vec<(String, Vec<u8>)>) {
    let rng = &mut StdRng::seed_from_u64(seed);
    let requests: Vec<Pipelined> = (0..PIPELINED)
        .map(|number| draw_request(rng, number))
        .collect();
    let (address, seen) = start_server().await;
    let (mut reader, mut writer) = TcpStream::connect(address).await.unwrap().into_split();
    let reading = actix_rt::spawn(async move {
        let mut sink = Vec::new();
        let _end = reader.read_to_end(&mut sink).await;
        sink
    });
    let bytes: Vec<u8> = requests
        .iter()
        .flat_map(|request| request.bytes.clone())
        .collect();
    send_in_pieces(&mut writer, &bytes, rng).await;
    wait_until("all requests are answered", || {
        seen.requests.borrow().len() == PIPELINED
    })
    .await;
    drop(writer);
    drop(reading);
    let sent = requests
        .into_iter()
        .map(|request| (request.path, request.body));
    (sent.collect(), seen.requests.take())
}

/// Expects that a connection is closed on which a request was answered, and another one begins so.
async fn expect_closed(limits: HeadLimits, padding: &[u8]) {
    let (address, seen) = start_server_with(limits).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request).await.unwrap();
    wait_until("it is answered", || seen.requests.borrow().len() == 1).await;
    let begin = [b"GET /b HTTP/1.1\r\npadding: ".as_slice(), padding].concat();
    stream.write_all(&begin).await.unwrap();
    let mut sink = Vec::new();
    let read = timeout(CONDITION_TIMEOUT, stream.read_to_end(&mut sink)).await;
    assert!(read.is_ok(), "the connection stays open");
    expect_that!(seen.requests.borrow().len(), eq(1));
}

cases! {
    /// Guards against requests that are lost, changed or never read because the gate stays closed.
    pipelined_requests_are_read_whole_and_in_order => async {
        for seed in 1..=30 {
            let (sent, seen) = play(seed).await;
            assert!(sent == seen, "seed {seed}");
        }
    };

    /// Guards against a closed gate that hides that the caller has left.
    caller_that_leaves_is_noticed_beside_a_request_sent_ahead => async {
        let (address, seen) = start_server().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&b"GET /wait HTTP/1.1\r\nhost: x\r\n\r\n".repeat(2)).await.unwrap();
        wait_until("the request is begun", || !seen.requests.borrow().is_empty()).await;
        drop(stream);
        wait_until("the handler is dropped", || seen.dropped.get() == 1).await;
        expect_that!(seen.requests.borrow().len(), eq(1));
    };

    /// Guards against heads that take memory without bound on a connection that has had an answer.
    connection_with_too_large_a_head_is_closed => async {
        let limits = HeadLimits { max_bytes: 2_000, ..HeadLimits::default() };
        expect_closed(limits, &[b'x'; 3_000]).await;
    };

    /// Guards against heads that hold a connection for ever.
    connection_with_a_head_that_takes_too_long_is_closed => async {
        let timeout = Duration::from_millis(100);
        let limits = HeadLimits { timeout, ..HeadLimits::default() };
        expect_closed(limits, b"x").await;
    };

    /// Guards against taking empty lines between two requests for the begin of a head.
    connection_with_empty_lines_stays_open => async {
        let timeout = Duration::from_millis(20);
        let limits = HeadLimits { timeout, ..HeadLimits::default() };
        let (address, seen) = start_server_with(limits).await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        for requests in 1..=3 {
            stream.write_all(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n\r\n\r\n").await.unwrap();
            wait_until("it is answered", || seen.requests.borrow().len() == requests).await;
            sleep(3 * timeout).await;
        }
    };
}
