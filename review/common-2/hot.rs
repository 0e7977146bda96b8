//! A whole service crashes again and again soon after its start, and is sound from then on. Two
//! thirds of all requests poll one page, with the disruption and without it.

use crate::fleet::{Fleet, attempt};
use crate::record::{Record, Verdict};
use crate::server::{Kind, Server, Shared, Work};
use crate::store::Store;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HALLS: [&str; 3] = ["lagos-ikeja", "lagos-lekki", "lagos-yaba"];
const SERVERS: usize = 4;
const REQUESTS_PER_S: f64 = 90.0;
const SENDING: Duration = Duration::from_secs(35);
const FIRST_CRASH: Duration = Duration::from_secs(5);
const CRASHES: u64 = 16;
const DOWN: Duration = Duration::from_millis(600);
const DEADLINE: Duration = Duration::from_millis(1500);
const RETRIES: usize = 1;

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"status","Host":"app.example","PathPrefix":"/status/","Kind":"idempotent","TimeoutMs":1500,"SloMs":300,"Priority":0,"Service":"reader-api","Attempts":2,"Public":false}],"Services":[{"Name":"reader-api","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false},{"Name":"other","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderMs":3000,"IdleMs":15000},"Tenants":[{"Name":"comics","ApiKeys":["key-of-comics"],"Priority":1}]}"#;

#[derive(Default)]
struct Counts {
    attempts: u64,
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
    let start = |service: &'static str, number: usize, life: u64| {
        let kind = Kind {
            service,
            slots: 16,
            queue: 24,
            work: Work::Plain(Duration::from_millis(60)),
        };
        let id = format!("i-{service}-{number}-{life}");
        let started = Server::start(&id, HALLS[number % HALLS.len()], &kind, &shared);
        started.map_err(|err| err.to_string())
    };
    let start_all = |life: u64| -> Result<Vec<Arc<Server>>, String> {
        (0..SERVERS)
            .map(|number| start("reader-api", number, life))
            .collect()
    };
    for number in 0..HALLS.len() {
        start("other", number, 0)?;
    }
    let mut servers = start_all(0)?;
    let fleet = Arc::new(Fleet::start(&HALLS, store.address, log)?);
    let counts = Arc::new(Mutex::new(Counts::default()));
    let clients = {
        let (fleet, counts, log) = (fleet.clone(), counts.clone(), log.clone());
        std::thread::spawn(move || send_all(&fleet, &counts, &log))
    };
    if trouble {
        std::thread::sleep(FIRST_CRASH);
        for life in 1..=CRASHES {
            for server in &servers {
                server.crash();
            }
            std::thread::sleep(DOWN);
            servers = start_all(life)?;
            // How long the servers live varies; the last ones live on.
            std::thread::sleep(Duration::from_millis(150 + 50 * (life % 4)));
        }
    }
    clients.join().map_err(|_| "a client failed".to_owned())?;
    if fleet.has_exited() {
        return Err("a box has ended by itself".to_owned());
    }
    let counts = counts.lock().unwrap();
    let allowed = 5.0 + counts.attempts as f64 / 500.0;
    let text = format!(
        "{} of {} proper attempts were ended with a 4xx of the system's own, allowed {allowed:.1}",
        counts.denied, counts.attempts
    );
    Ok(match counts.denied as f64 > allowed {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    })
}

fn send_all(fleet: &Arc<Fleet>, counts: &Arc<Mutex<Counts>>, log: &Record) {
    let began = Instant::now();
    let mut clients = Vec::new();
    for number in 0..(SENDING.as_secs_f64() * REQUESTS_PER_S) as usize {
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

fn request(fleet: &Fleet, counts: &Mutex<Counts>, log: &Record, number: usize) {
    let began = Instant::now();
    let page = match number % 3 {
        0 => format!("page-{number}"),
        _ => "page".to_owned(),
    };
    for retry in 0..=RETRIES {
        let left = DEADLINE.saturating_sub(began.elapsed());
        if left.is_zero() {
            return;
        }
        let id = format!("{number:08x}{retry:08x}");
        let request = format!(
            "GET /status/{page} HTTP/1.1\r\nHost: app.example\r\nGatepier-Attempt-Id: {id}\r\nGatepier-Deadline-Ms: {}\r\nX-Api-Key: key-of-comics\r\n\r\n",
            left.as_millis()
        );
        log.note(&format!("client sends {id} for {page}"));
        let seen = attempt(fleet.front(number + retry), &request, began + DEADLINE);
        log.note(&format!("client of {id} has {seen:?}"));
        let status = seen.status.unwrap_or(0);
        let is_own_4xx = (300..500).contains(&status) && !seen.is_sealed;
        let mut counts = counts.lock().unwrap();
        counts.attempts += 1;
        counts.denied += u64::from(is_own_4xx && ![408, 421, 429].contains(&status));
        drop(counts);
        if status == 200 || [400, 401, 404, 413, 431].contains(&status) {
            return;
        }
        let left = DEADLINE.saturating_sub(began.elapsed());
        std::thread::sleep(seen.retry_after.unwrap_or_default().min(left / 3));
    }
}
