//! A box is restarted while another one stands still that it has just asked how fresh its knowledge
//! is; then it is cut off, and a key is taken away.

#[path = "../common/standins.rs"]
mod standins;

use standins::*;
use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `RevokeMs` of the settings.
const REVOKE_TIME: Duration = Duration::from_millis(5000);
/// How long the boxes run before anything happens.
const CALM_TIME: Duration = Duration::from_secs(25);
/// How long a box asks another one that stands still, until its process is killed: it asks every
/// 400 ms.
const ASKING_TIME: Duration = Duration::from_millis(600);
/// How long requests are sent after the key was taken away, and how often.
const OBSERVED_TIME: Duration = Duration::from_secs(14);
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

fn main() {
    open_record(Path::new("review/1/record.txt"));
    let code = run();
    record(format!("exit code {code}"));
    std::process::exit(code);
}

/// The ids of the requests that a server has run.
type Runs = Arc<Mutex<HashSet<String>>>;

fn serve(mut wire: Wire, runs: &Runs) {
    while let Some(request) = wire.read_request() {
        let id = request
            .header("gatepier-attempt-id")
            .unwrap_or_default()
            .to_owned();
        if request.target() != "/health" {
            record(format!(
                "server: runs {id} of the tenant {:?}",
                request.header("gatepier-tenant")
            ));
            runs.lock().unwrap().insert(id.clone());
        }
        let answer = format!(
            "HTTP/1.1 200 x\r\nGatepier-Attempt-Id: {id}\r\nGatepier-Server-Seal: seal-{id}\r\nGatepier-Server-Load: 1,0,6\r\nContent-Length: 3\r\n\r\nok\n"
        );
        if !wire.send(answer.as_bytes()) {
            return;
        }
    }
}

fn config(version: u32, keys: &str) -> String {
    r#"{"Version":VERSION,"Routes":[
        {"Name":"report-fetch","Host":"portal.example","PathPrefix":"/report/","Kind":"non_idempotent","TimeoutMs":800,"SloMs":150,"Priority":2,"Service":"portal-api","Attempts":1,"Public":false}],
        "Services":[{"Name":"portal-api","HealthPath":"/health","MaxConns":100}],
        "Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderMs":3000,"IdleMs":15000},
        "Tenants":[{"Name":"college","ApiKeys":["key-1"],"Priority":1},{"Name":"university","ApiKeys":[KEYS],"Priority":1}]}"#
        .replace("VERSION", &version.to_string())
        .replace("KEYS", keys)
}

fn run() -> i32 {
    let store = Store::start();
    let runs = Runs::default();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = listener.local_addr().unwrap();
    let server_runs = runs.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = server_runs.clone();
            thread::spawn(move || serve(Wire::new(stream), &runs));
        }
    });
    store.put("servers/i-1", &format!(r#"{{"Service":"portal-api","Addr":"{server}","Zone":"bole","Version":"v1","Slots":6,"State":"ready","ColdLeftMs":0,"Seq":1}}"#));
    store.put("op/config", &config(3, r#""key-2""#));
    let (view, is_cut) = store.open_view();
    let start = |name: &str, ip: &str, zone: &str, store: SocketAddr| {
        let found = BoxProcess::start(&BoxSettings {
            name,
            ip,
            zone,
            store,
            top: "Bootstrap = true\nContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"rollout\"]",
            tables: "[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4200\nLinkMbps = 1000.0\nDiskMb = 0\n[Bounds]\nContactMs = 3000\nGraceS = 8\nLostMs = 200\nStrictRevoke = true\nRevokeMs = 5000\nConfigMs = 2000\nBudgetRatio = 0.9\nBudgetWindowS = 10\nRetrySlack = 54\nSessionS = 5\n",
        });
        found.wait_until_ready();
        thread::sleep(Duration::from_millis(300));
        found
    };
    // The boxes that are registered longest follow the store for the others.
    let mut first = start("front-bole-1", "127.0.0.1", "bole", store.address);
    let mut second = start("front-piassa-1", "127.0.0.2", "piassa", store.address);
    let mut last = start("front-bole-2", "127.0.0.3", "bole", view);
    thread::sleep(CALM_TIME);
    let caller = last.caller;
    record(format!(
        "before: key-2 gets {}",
        call(caller, "before", "key-2")
    ));
    if has_trouble() {
        let freezes = std::env::var("FREEZE").map_or(true, |value| value != "0");
        if freezes {
            first.signal(SIGSTOP);
            second.signal(SIGSTOP);
        }
        thread::sleep(ASKING_TIME);
        last.kill_and_restart(Duration::from_millis(300));
        last.wait_until_ready();
        thread::sleep(Duration::from_millis(700));
        if freezes {
            first.signal(SIGCONT);
            second.signal(SIGCONT);
        }
        thread::sleep(Duration::from_millis(500));
        // The box is left alone: the others are lost, and it is partitioned from the store.
        first.kill();
        second.kill();
        is_cut.store(true, std::sync::atomic::Ordering::SeqCst);
        record("box front-bole-2 is cut off from the store");
    }
    store.put("op/config", &config(4, ""));
    let acknowledged = Instant::now();
    record("operator: the store has acknowledged version 4, which takes key-2 away");
    let mut late_runs = 0;
    let mut number = 0;
    while acknowledged.elapsed() < OBSERVED_TIME {
        number += 1;
        let sent = acknowledged.elapsed();
        let id = format!("r{number}");
        let status = call(caller, &id, "key-2");
        let has_run = runs.lock().unwrap().contains(&id);
        record(format!(
            "caller: {id}, sent {:.3} s after the acknowledgement, gets {status}; has run: {has_run}",
            sent.as_secs_f64()
        ));
        if has_run && sent > REVOKE_TIME {
            late_runs += 1;
        }
        thread::sleep(REQUEST_INTERVAL);
    }
    record(format!(
        "{late_runs} requests with the key ran that were sent more than RevokeMs after the acknowledgement"
    ));
    match late_runs {
        0 => HELD,
        _ => BROKEN,
    }
}

/// Sends a request with a key and returns the status of its answer, 0 without one.
fn call(caller: SocketAddr, id: &str, key: &str) -> u16 {
    let Ok(stream) = TcpStream::connect(caller) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let mut wire = Wire::new(stream);
    wire.send(format!("POST /report/1 HTTP/1.1\r\nHost: portal.example\r\nGatepier-Attempt-Id: {id}\r\nGatepier-Deadline-Ms: 1500\r\nX-Api-Key: {key}\r\nConnection: close\r\nContent-Length: 2\r\n\r\nid").as_bytes());
    wire.read_response().map_or(0, |response| response.status())
}
