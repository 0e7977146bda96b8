//! Servers crash now and then while they run streams. All requests are proper, and no box is touched.

use crate::fleet::{Fleet, attempt};
use crate::record::{Record, Verdict};
use crate::server::{Kind, Server, Shared, Work};
use crate::store::Store;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HALLS: [&str; 3] = ["lagos-ikeja", "lagos-lekki", "lagos-yaba"];
const SERVERS: usize = 12;
/// The largest share of the servers that the site's days let crash at once.
const CRASHED_SHARE: f64 = 0.25;
/// How long they are down, and when the next ones crash: never more than that share is down.
const DOWN: Duration = Duration::from_millis(1000);
const REQUESTS_PER_S: f64 = 6.0;
const SENDING: Duration = Duration::from_secs(85);
const FIRST_CRASH: Duration = Duration::from_secs(3);
/// The deadline of the site's streams, and the retries of their clients.
const DEADLINE: Duration = Duration::from_secs(25);
const RETRIES: usize = 1;
/// The parts that the prompts share, one for each series.
const SHARED_PARTS: u32 = 0x5c1e_0000;
const SERIES: usize = 5;

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"recap","Host":"app.example","PathPrefix":"/recap/","Kind":"stream","TimeoutMs":25000,"SloMs":3000,"Priority":0,"Service":"inkmind","Attempts":3,"Public":false,"Affinity":true,"StreamResume":true,"GapAimMs":1200}],"Services":[{"Name":"inkmind","HealthPath":"/health","MaxConns":370,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":431395,"KvTokenBytes":163840,"LinkMbps":1100000.0,"Stride":6,"Models":[{"Name":"m0","Cost":0.1}]}}],"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderMs":3000,"IdleMs":15000},"Tenants":[{"Name":"comics","ApiKeys":["key-of-comics"],"Priority":1}]}"#;

/// What the clients have seen.
#[derive(Default)]
struct Counts {
    attempts: u64,
    requests: u64,
    served: u64,
    denied: u64,
}

pub fn play(log: &Record, trouble: bool) -> Result<Verdict, String> {
    let store = Store::start().map_err(|err| err.to_string())?;
    store.put("op/config", CONFIG);
    let shared = Shared {
        store: store.clone(),
        log: log.clone(),
        arrivals: Arc::default(),
    };
    let kind = Kind {
        service: "inkmind",
        slots: 64,
        queue: 16,
        work: Work::Stream(40, Duration::from_millis(2700), Duration::from_millis(150)),
    };
    let start = |number: usize, life: u32| {
        let id = format!("i-{number}-{life}");
        Server::start(&id, HALLS[number % HALLS.len()], &kind, &shared)
            .map_err(|err| err.to_string())
    };
    let mut servers = (0..SERVERS)
        .map(|number| start(number, 1))
        .collect::<Result<Vec<_>, _>>()?;
    let fleet = Arc::new(Fleet::start(&HALLS, store.address, log)?);
    let counts = Arc::new(Mutex::new(Counts::default()));
    let began = Instant::now();
    let clients = {
        let (fleet, counts, log) = (fleet.clone(), counts.clone(), log.clone());
        std::thread::spawn(move || send_all(&fleet, &counts, &log, began))
    };
    let crashed = (SERVERS as f64 * CRASHED_SHARE) as usize;
    let mut life = 1;
    // A fixed order that gives each server its turn at random.
    let mut seed: u64 = 7;
    while trouble && began.elapsed() < SENDING {
        let next = FIRST_CRASH + DOWN * (life - 1);
        std::thread::sleep(next.saturating_sub(began.elapsed()));
        let mut struck = Vec::new();
        while struck.len() < crashed {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let number = (seed >> 33) as usize % SERVERS;
            if !struck.contains(&number) {
                struck.push(number);
                servers[number].crash();
            }
        }
        std::thread::sleep((next + DOWN).saturating_sub(began.elapsed()));
        life += 1;
        for number in struck {
            servers[number] = start(number, life)?;
        }
    }
    clients.join().map_err(|_| "a client failed".to_owned())?;
    let counts = counts.lock().unwrap();
    let allowed = 5.0 + counts.attempts as f64 / 500.0;
    let text = format!(
        "{} requests in {} attempts, {} served whole; {} proper attempts were ended with a 4xx of the system's own, allowed {allowed:.1}",
        counts.requests, counts.attempts, counts.served, counts.denied
    );
    if fleet.has_exited() {
        return Err(format!("a box has ended by itself; {text}"));
    }
    Ok(match counts.denied as f64 > allowed {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    })
}

/// Sends a request at a time, and waits until all have ended.
fn send_all(fleet: &Arc<Fleet>, counts: &Arc<Mutex<Counts>>, log: &Record, began: Instant) {
    let mut clients = Vec::new();
    let all = (SENDING.as_secs_f64() * REQUESTS_PER_S) as usize;
    for number in 0..all {
        let at = Duration::from_secs_f64(number as f64 / REQUESTS_PER_S);
        std::thread::sleep(at.saturating_sub(began.elapsed()));
        let (fleet, counts, log) = (fleet.clone(), counts.clone(), log.clone());
        clients.push(std::thread::spawn(move || {
            request(&fleet, &counts, &log, number)
        }));
    }
    for client in clients {
        let _ = client.join();
    }
}

/// Asks for a stream as the users' clients do: with one retry on a new connection, after any failure
/// but the statuses that forbid one, and after the last event that has arrived.
fn request(fleet: &Fleet, counts: &Mutex<Counts>, log: &Record, number: usize) {
    let began = Instant::now();
    counts.lock().unwrap().requests += 1;
    let body = format!("text of request {number}");
    let mut last_event = None;
    for retry in 0..=RETRIES {
        let left = DEADLINE.saturating_sub(began.elapsed());
        if left.is_zero() {
            return;
        }
        let id = format!("{number:08x}{retry:08x}");
        let resume = last_event.map_or(String::new(), |id| format!("Last-Event-Id: {id}\r\n"));
        let request = format!(
            "POST /recap/2f HTTP/1.1\r\nHost: app.example\r\nGatepier-Attempt-Id: {id}\r\n{resume}Gatepier-Model: m0\r\nGatepier-Token-Count: 1460,240\r\nGatepier-Prompt-Prefix: {:08x}:1160,{number:08x}:300\r\nGatepier-Deadline-Ms: {}\r\nX-Api-Key: key-of-comics\r\nContent-Length: {}\r\n\r\n{body}",
            SHARED_PARTS + (number % SERIES) as u32,
            left.as_millis(),
            body.len()
        );
        let front = fleet.front(number + retry);
        log.note(&format!("client sends {id} to {front}"));
        let seen = attempt(front, &request, began + DEADLINE);
        log.note(&format!("client of {id} has {seen:?}"));
        last_event = seen.last_event.or(last_event);
        let mut counts = counts.lock().unwrap();
        counts.attempts += 1;
        let status = seen.status.unwrap_or(0);
        let is_own_4xx = (300..500).contains(&status) && !seen.is_sealed;
        if is_own_4xx && ![408, 421, 429].contains(&status) {
            counts.denied += 1;
        }
        if status == 200 && seen.is_whole {
            counts.served += 1;
            return;
        }
        drop(counts);
        if [400, 401, 404, 413, 431].contains(&status) {
            return;
        }
        let left = DEADLINE.saturating_sub(began.elapsed());
        let pause = seen.retry_after.unwrap_or_default().min(left / 3);
        std::thread::sleep(pause);
    }
}
