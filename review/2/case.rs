//! A box gets SIGTERM while callers read answers slowly.

#[path = "../common/standins.rs"]
mod standins;

use standins::*;
use std::io::Read as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SMALLEST: usize = 48_000;
const STEP: usize = 3_000;
const BOXES: usize = 24;

fn main() {
    open_record(Path::new("review/2/record.txt"));
    let code = run();
    record(format!("exit code {code}"));
    std::process::exit(code);
}

fn serve(mut wire: Wire) {
    while let Some(request) = wire.read_request() {
        if request.target() == "/health" {
            if !wire.send(b"HTTP/1.1 200 OK\r\nGatepier-Instance-Id: i-1\r\nGatepier-Server-Load: 0,0,6\r\nContent-Length: 0\r\n\r\n") {
                return;
            }
            continue;
        }
        let id = request
            .header("gatepier-attempt-id")
            .unwrap_or_default()
            .to_owned();
        record(format!("server: runs {id}"));
        thread::sleep(Duration::from_millis(30));
        let size = request
            .target()
            .trim_start_matches("/read/")
            .parse()
            .unwrap_or(0);
        let body = body_of(&id, size);
        let head = format!(
            "HTTP/1.1 200 OK\r\nGatepier-Attempt-Id: {id}\r\nGatepier-Server-Seal: seal-{id}\r\nGatepier-Server-Load: 1,0,6\r\nKeep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let sent = wire.send(head.as_bytes()) && wire.send(&body);
        record(format!(
            "server: the answer to {id} is {}",
            if sent { "sent" } else { "broken off" }
        ));
        if !sent {
            return;
        }
    }
}

fn body_of(id: &str, size: usize) -> Vec<u8> {
    id.bytes().cycle().take(size).collect()
}

fn run() -> i32 {
    let store = Store::start();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(Wire::new(stream)));
        }
    });
    store.put("op/config", r#"{"Version":3,"Routes":[
        {"Name":"board-read","Host":"board.example","PathPrefix":"/read/","Kind":"idempotent","TimeoutMs":20000,"SloMs":300,"Priority":1,"Service":"lawha-app","Attempts":2,"Public":false}],
        "Services":[{"Name":"lawha-app","HealthPath":"/health","MaxConns":490}],
        "Limits":{"HeaderBytes":16384,"BodyBytes":65536,"HeaderMs":3000,"IdleMs":15000},
        "Tenants":[{"Name":"quarter","ApiKeys":["key-1"],"Priority":1}]}"#);
    store.put("servers/i-1", &format!(r#"{{"Service":"lawha-app","Addr":"{server}","Zone":"casa-hay","Version":"v1","Slots":6,"State":"ready","ColdLeftMs":0,"Seq":1,"born":1700000000000}}"#));
    let address = store.address;
    fn settings<'a>(name: &'a str, ip: &'a str, store: SocketAddr) -> BoxSettings<'a> {
        BoxSettings {
            name,
            ip,
            zone: "casa-hay",
            store,
            top: "Bootstrap = true\nContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"tenants\",\"pressure\",\"platform\"]",
            tables: "[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 160\nMaxFds = 4100\nLinkMbps = 100.0\n[Bounds]\nGraceS = 8\nRevokeMs = 5000\nConfigMs = 3000\nLostMs = 200\nBudgetRatio = 0.9\nBudgetWindowS = 10\nRetrySlack = 182\nSessionS = 8.5\nStrictRevoke = true\n",
        }
    }
    let mut boxes: Vec<BoxProcess> = (0..BOXES)
        .map(|number| {
            BoxProcess::start(&settings(
                &format!("front-{number}"),
                &format!("127.0.0.{}", number + 1),
                address,
            ))
        })
        .collect();
    for found in &boxes {
        found.wait_until_ready();
    }
    thread::sleep(Duration::from_secs(2));
    let results: Arc<Mutex<Vec<bool>>> = Arc::default();
    let callers: Vec<_> = boxes
        .iter()
        .enumerate()
        .map(|(number, found)| {
            let (caller, results) = (found.caller, results.clone());
            thread::spawn(move || {
                let whole = call(caller, number, SMALLEST + number * STEP);
                results.lock().unwrap().push(whole);
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1000));
    if has_trouble() {
        for found in &boxes {
            found.signal(SIGTERM);
        }
    }
    let mut ended = vec![false; BOXES];
    while !callers.iter().all(|caller| caller.is_finished()) {
        for (found, ended) in boxes.iter_mut().zip(&mut ended) {
            if !*ended && let Some(how) = found.ended() {
                record(format!("box {} has ended: {how}", found.name));
                *ended = true;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    let results = results.lock().unwrap();
    let cut = results.iter().filter(|whole| !**whole).count();
    record(format!("{cut} of {} answers were cut", results.len()));
    match cut {
        0 => HELD,
        _ => BROKEN,
    }
}

fn call(caller: SocketAddr, number: usize, size: usize) -> bool {
    let id = format!("{number:04x}c41d07be2a35");
    let stream = TcpStream::connect(caller).unwrap();
    bound_receive_buffer(&stream, 4096);
    let mut wire = Wire::new(stream);
    record(format!("caller: sends {id}"));
    wire.send(format!("GET /read/{size} HTTP/1.1\r\nHost: board.example\r\nGatepier-Attempt-Id: {id}\r\nGatepier-Deadline-Ms: 15000\r\nX-Api-Key: key-1\r\n\r\n").as_bytes());
    let began = Instant::now();
    let Ok(Some(mut head)) = wire.read_head() else {
        return false;
    };
    record(format!(
        "caller: the head of {id} has come, status {}",
        head.status()
    ));
    // It does not read for a while.
    thread::sleep(Duration::from_millis(5500));
    let mut body = std::mem::take(&mut wire.rest);
    let mut chunk = [0; 4096];
    while body.len() < size {
        match wire.stream.read(&mut chunk) {
            Ok(count) if count > 0 => body.extend_from_slice(&chunk[..count]),
            _ => break,
        }
    }
    head.is_complete = body == body_of(&id, size);
    record(format!(
        "caller: {} of {size} bytes of {id} have come after {:.3} s, whole: {}",
        body.len(),
        began.elapsed().as_secs_f64(),
        head.is_complete
    ));
    head.is_complete
}
