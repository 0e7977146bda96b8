//! A surplus answer arrives late, in the place of the answer to a health check.

#[path = "../common/standins.rs"]
mod standins;

use standins::*;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ROUNDS: usize = 5;
/// How long a request runs.
const RUN: Duration = Duration::from_millis(60);
/// How long a health check waits for a slot before the server refuses it as full.
const HEALTH_WAIT: Duration = Duration::from_millis(20);
/// How long the server that closes idle connections keeps them.
const IDLE: Duration = Duration::from_millis(500);

fn main() {
    open_record(Path::new("review/2/record.txt"));
    let code = run();
    record(format!("exit code {code}"));
    std::process::exit(code);
}

/// The runs of each request, by its id.
type Runs = Arc<Mutex<HashMap<String, Vec<&'static str>>>>;

/// What the server does with a connection after it has answered a request over it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// It closes the connection once it has been idle for a while.
    ClosesIdle,
    /// It sends the answer a second time, late.
    Repeats,
}

struct Server {
    name: &'static str,
    runs: Runs,
    /// The roles of the next requests.
    roles: Mutex<Vec<Role>>,
    /// Whether it is full when it is asked for its health the next time.
    is_full: AtomicBool,
}

impl Server {
    fn start(name: &'static str, runs: &Runs) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = Arc::new(Self {
            name,
            runs: runs.clone(),
            roles: Mutex::default(),
            is_full: AtomicBool::new(false),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || server.serve(Wire::new(stream)));
            }
        });
        (server, address)
    }

    fn serve(&self, mut wire: Wire) {
        let mut surplus: Option<Vec<u8>> = None;
        loop {
            let Some(request) = wire.read_request() else {
                return;
            };
            if let Some(surplus) = surplus.take() {
                record(format!(
                    "{}: a surplus answer goes out, in the place of the next one",
                    self.name
                ));
                wire.send(&surplus);
            }
            if request.header("gatepier-expect-instance") != Some(self.name) {
                wire.send(
                    b"HTTP/1.1 421 x\r\nGatepier-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                );
                continue;
            }
            let sent = match request.target() == "/health" {
                true => self.answer_health(&mut wire),
                false => self.run(&mut wire, &request, &mut surplus),
            };
            if !sent {
                return;
            }
        }
    }

    fn answer_health(&self, wire: &mut Wire) -> bool {
        if self.is_full.swap(false, Ordering::SeqCst) {
            thread::sleep(HEALTH_WAIT);
            record(format!(
                "{}: refuses a health check, since it is full",
                self.name
            ));
            return wire.send(b"HTTP/1.1 503 x\r\nGatepier-Not-Executed: 1\r\nGatepier-Server-Load: 6,4,6\r\nContent-Length: 0\r\n\r\n");
        }
        record(format!("{}: answers a health check", self.name));
        let head = format!(
            "HTTP/1.1 200 x\r\nGatepier-Instance-Id: {}\r\nGatepier-Server-Load: 0,0,6\r\nContent-Length: 0\r\n\r\n",
            self.name
        );
        wire.send(head.as_bytes())
    }

    fn run(&self, wire: &mut Wire, request: &Message, surplus: &mut Option<Vec<u8>>) -> bool {
        let id = request
            .header("gatepier-attempt-id")
            .unwrap_or_default()
            .to_owned();
        record(format!("{}: runs {id}", self.name));
        self.runs
            .lock()
            .unwrap()
            .entry(id.clone())
            .or_default()
            .push(self.name);
        thread::sleep(RUN);
        let body = format!("{} by {}\n", id, self.name);
        let answer = format!(
            "HTTP/1.1 200 x\r\nGatepier-Attempt-Id: {id}\r\nGatepier-Server-Seal: seal-{id}\r\nGatepier-Server-Load: 1,0,6\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        match self.roles.lock().unwrap().pop() {
            Some(Role::ClosesIdle) => {
                let _ = wire.stream.set_read_timeout(Some(IDLE));
            }
            Some(Role::Repeats) if has_trouble() => *surplus = Some(answer.clone().into_bytes()),
            Some(Role::Repeats) | None => {}
        }
        wire.send(answer.as_bytes())
    }
}

fn run() -> i32 {
    let store = Store::start();
    let runs = Runs::default();
    let (first, first_address) = Server::start("i-1", &runs);
    let (_second, second_address) = Server::start("i-2", &runs);
    store.put("op/config", r#"{"Version":3,"Routes":[
        {"Name":"board-post","Host":"board.example","PathPrefix":"/post/","Kind":"non_idempotent","TimeoutMs":3000,"SloMs":300,"Priority":1,"Service":"lawha-app","Attempts":1,"Public":false}],
        "Services":[{"Name":"lawha-app","HealthPath":"/health","MaxConns":490}],
        "Limits":{"HeaderBytes":16384,"BodyBytes":65536,"HeaderMs":3000,"IdleMs":15000},
        "Tenants":[{"Name":"quarter","ApiKeys":["key-1"],"Priority":1}]}"#);
    let list = |name: &str, address: SocketAddr| {
        store.put(&format!("servers/{name}"), &format!(r#"{{"Service":"lawha-app","Addr":"{address}","Zone":"casa-hay","Version":"v1","Slots":6,"State":"ready","ColdLeftMs":0,"Seq":1,"born":1700000000000}}"#));
    };
    list("i-1", first_address);
    let settings = BoxSettings {
        name: "front-1",
        ip: "127.0.0.1",
        zone: "casa-hay",
        store: store.address,
        top: "Bootstrap = true\nContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\",\"pool\",\"tenants\",\"pressure\",\"platform\"]",
        tables: "[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 160\nMaxFds = 4100\nLinkMbps = 100.0\n[Bounds]\nGraceS = 8\nRevokeMs = 5000\nConfigMs = 3000\nLostMs = 200\nBudgetRatio = 0.9\nBudgetWindowS = 10\nRetrySlack = 182\nSessionS = 8.5\nStrictRevoke = true\n",
    };
    let front = BoxProcess::start(&settings);
    front.wait_until_ready();
    thread::sleep(Duration::from_millis(500));
    for round in 0..ROUNDS {
        record(format!("round {round}"));
        // Two requests at once leave two connections that rest.
        *first.roles.lock().unwrap() = vec![Role::Repeats, Role::ClosesIdle];
        let a = send(front.caller, format!("{round}a1"));
        let b = send(front.caller, format!("{round}a2"));
        let _ = (a.join(), b.join());
        list("i-2", second_address);
        thread::sleep(Duration::from_millis(800));
        first.is_full.store(true, Ordering::SeqCst);
        let _ = send(front.caller, format!("{round}b")).join();
        thread::sleep(Duration::from_millis(600));
        store.remove("servers/i-2");
        thread::sleep(Duration::from_secs(3));
    }
    let runs = runs.lock().unwrap();
    let mut twice = 0;
    for (id, servers) in runs.iter() {
        if servers.len() > 1 {
            record(format!("{id} ran {} times: {servers:?}", servers.len()));
            twice += 1;
        }
    }
    record(format!(
        "{twice} of {} requests ran more than once",
        runs.len()
    ));
    match twice {
        0 => HELD,
        _ => BROKEN,
    }
}

fn send(caller: SocketAddr, id: String) -> thread::JoinHandle<u16> {
    thread::spawn(move || {
        let Ok(stream) = TcpStream::connect(caller) else {
            return 0;
        };
        let mut wire = Wire::new(stream);
        record(format!("caller: sends {id}"));
        wire.send(format!("POST /post/1 HTTP/1.1\r\nHost: board.example\r\nGatepier-Attempt-Id: {id}\r\nGatepier-Deadline-Ms: 3000\r\nX-Api-Key: key-1\r\nConnection: close\r\nContent-Length: 4\r\n\r\npost").as_bytes());
        let response = wire.read_response().unwrap_or_default();
        record(format!(
            "caller: {id} is answered with {} {:?}",
            response.status(),
            String::from_utf8_lossy(&response.body)
        ));
        response.status()
    })
}
