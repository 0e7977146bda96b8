//! Servers are full, and all boxes are killed at the same moment.

use crate::fleet::{Fleet, attempt};
use crate::record::{Record, Verdict};
use crate::server::{Arrival, Kind, Server, Shared, Work};
use crate::store::Store;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HALLS: [&str; 3] = ["lagos-ikeja", "lagos-lekki", "lagos-yaba"];
const SERVERS: usize = 4;
const REQUESTS_PER_S: f64 = 60.0;
const SENDING: Duration = Duration::from_secs(40);
/// When all servers but one are emptied and taken away, which is planned work.
const LEAVING_AT: Duration = Duration::from_secs(14);
/// `DrainMs` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2500);
const KILLED_AT: Duration = Duration::from_millis(18_500);
const DOWN: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_millis(1500);
const RETRIES: usize = 1;
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.9;
const SLACK: f64 = 58.0;

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"status","Host":"app.example","PathPrefix":"/status/","Kind":"idempotent","TimeoutMs":1500,"SloMs":300,"Priority":0,"Service":"reader-api","Attempts":2,"Public":false}],"Services":[{"Name":"reader-api","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderMs":3000,"IdleMs":15000},"Tenants":[{"Name":"comics","ApiKeys":["key-of-comics"],"Priority":1}]}"#;

pub fn play(log: &Record, trouble: bool) -> Result<Verdict, String> {
    let store = Store::start().map_err(|err| err.to_string())?;
    store.put("op/config", CONFIG);
    let shared = Shared {
        store: store.clone(),
        log: log.clone(),
        arrivals: Arc::default(),
    };
    let kind = Kind {
        service: "reader-api",
        slots: 6,
        queue: 4,
        work: Work::Plain(Duration::from_millis(200)),
    };
    let start = |number: usize| {
        let id = format!("i-{number}");
        Server::start(&id, HALLS[number % HALLS.len()], &kind, &shared)
            .map_err(|err| err.to_string())
    };
    let servers = (0..SERVERS).map(start).collect::<Result<Vec<_>, _>>()?;
    let fleet = Arc::new(Fleet::start(&HALLS, store.address, log)?);
    let sent = Arc::new(Mutex::new(Vec::new()));
    let began = Instant::now();
    let clients = {
        let (fleet, sent, log) = (fleet.clone(), sent.clone(), log.clone());
        std::thread::spawn(move || send_all(&fleet, &sent, &log, began))
    };
    std::thread::sleep(LEAVING_AT.saturating_sub(began.elapsed()));
    for server in &servers[1..] {
        server.leave(SERVES_ON);
    }
    std::thread::sleep(KILLED_AT.saturating_sub(began.elapsed()));
    if trouble {
        fleet.kill_all(DOWN)?;
    }
    clients.join().map_err(|_| "a client failed".to_owned())?;
    if fleet.has_exited() {
        return Err("a box has ended by itself".to_owned());
    }
    let worst = worst_window(&shared.arrivals.lock().unwrap(), &sent.lock().unwrap());
    let (repeats, requests, allowed, at) = worst;
    let text = format!(
        "the worst 10 s begin at {:.1} s: {repeats} arrivals beyond the first of their request for {requests} requests, allowed {allowed:.0}",
        at.as_secs_f64()
    );
    Ok(match repeats as f64 > allowed {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    })
}

/// Finds the window with the most repeats beyond what is allowed. The requests are counted in the
/// window, the one before it or the one half a window before it, whichever has most.
fn worst_window(arrivals: &[Arrival], sent: &[Duration]) -> (usize, usize, f64, Duration) {
    let mut known = HashSet::new();
    let mut repeats: Vec<Duration> = Vec::new();
    let mut ordered: Vec<&Arrival> = arrivals.iter().collect();
    ordered.sort_by_key(|arrival| arrival.at);
    for arrival in ordered {
        if !known.insert(arrival.attempt.as_str()) {
            repeats.push(arrival.at);
        }
    }
    let count = |times: &[Duration], from: Duration, to: Duration| {
        times.iter().filter(|at| **at >= from && **at < to).count()
    };
    let mut worst = (0, 0, SLACK, Duration::ZERO);
    let mut margin = f64::NEG_INFINITY;
    for at in &repeats {
        let found = count(&repeats, *at, *at + WINDOW);
        let begins = [
            *at,
            at.saturating_sub(WINDOW / 2),
            at.saturating_sub(WINDOW),
        ];
        let requests = begins
            .into_iter()
            .map(|begin| count(sent, begin, begin + WINDOW));
        let requests = requests.max().unwrap_or(0);
        let allowed = RATIO * requests as f64 + SLACK;
        if found as f64 - allowed > margin {
            margin = found as f64 - allowed;
            worst = (found, requests, allowed, *at);
        }
    }
    worst
}

fn send_all(fleet: &Arc<Fleet>, sent: &Arc<Mutex<Vec<Duration>>>, log: &Record, began: Instant) {
    let mut clients = Vec::new();
    let all = (SENDING.as_secs_f64() * REQUESTS_PER_S) as usize;
    for number in 0..all {
        let at = Duration::from_secs_f64(number as f64 / REQUESTS_PER_S);
        std::thread::sleep(at.saturating_sub(began.elapsed()));
        let (fleet, sent, log) = (fleet.clone(), sent.clone(), log.clone());
        clients.push(std::thread::spawn(move || {
            request(&fleet, &sent, &log, number)
        }));
    }
    for client in clients {
        let _ = client.join();
    }
}

/// Asks once, and a second time on a new connection after a failure, when the answer says so.
fn request(fleet: &Fleet, sent: &Mutex<Vec<Duration>>, log: &Record, number: usize) {
    let began = Instant::now();
    for retry in 0..=RETRIES {
        let left = DEADLINE.saturating_sub(began.elapsed());
        if left.is_zero() {
            return;
        }
        let id = format!("{number:08x}{retry:08x}");
        let request = format!(
            "GET /status/{number} HTTP/1.1\r\nHost: app.example\r\nGatepier-Attempt-Id: {id}\r\nGatepier-Deadline-Ms: {}\r\nX-Api-Key: key-of-comics\r\n\r\n",
            left.as_millis()
        );
        // Each attempt is a request of its own.
        sent.lock().unwrap().push(log.now());
        let front = fleet.front(number + retry);
        log.note(&format!("client sends {id} to {front}"));
        let seen = attempt(front, &request, began + DEADLINE);
        log.note(&format!("client of {id} has {seen:?}"));
        let status = seen.status.unwrap_or(0);
        if status == 200 && seen.is_whole || [400, 401, 404, 413, 431].contains(&status) {
            return;
        }
        let left = DEADLINE.saturating_sub(began.elapsed());
        std::thread::sleep(seen.retry_after.unwrap_or_default().min(left / 3));
    }
}
