//! An open-loop load: requests begin when they are due, whether or not earlier ones
//! have ended, and their latency counts from the moment they were due.

use crate::error::{Error, Result};
use crate::http_client::pooled_client;
use awc::Client;
use bytes::Bytes;
use futures::StreamExt as _;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

const HIGHEST_MICROS: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// The timer's ticks are a millisecond, so the last stretch before a start is spun.
const SPIN_BEFORE_START: Duration = Duration::from_millis(2);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
const QUANTILES: [f64; 5] = [0.5, 0.9, 0.99, 0.999, 1.0];

/// What is sent, how often and for how long.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadPlan {
    /// Where requests go.
    pub target: SocketAddr,
    /// The path.
    pub path: String,
    /// The bearer credential.
    pub credential: Option<String>,
    /// The body of a `POST`; none sends a `GET`.
    pub body: Option<Value>,
    /// Requests a second.
    pub rate: f64,
    /// For how long requests begin.
    pub duration: Duration,
    /// How many threads send.
    pub threads: usize,
}

impl LoadPlan {
    fn is_stream(&self) -> bool {
        let stream = self.body.as_ref().and_then(|body| body.get("stream"));
        stream.and_then(Value::as_bool).unwrap_or(false)
    }
}

/// What came of a load.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Time from the due start to the whole answer, in microseconds.
    pub whole: Histogram<u64>,
    /// Time from the due start to the first bytes of the body, in microseconds.
    pub first: Histogram<u64>,
    /// Time between two chunks of a stream, in microseconds.
    pub between: Histogram<u64>,
    /// Answers by status; failed requests count as `failed`.
    pub statuses: BTreeMap<String, u64>,
}

impl LoadReport {
    fn new() -> Result<Self> {
        let histogram = || {
            Histogram::new_with_max(HIGHEST_MICROS, SIGNIFICANT_DIGITS)
                .map_err(|err| Error::Usage(err.to_string()))
        };
        Ok(Self {
            whole: histogram()?,
            first: histogram()?,
            between: histogram()?,
            statuses: BTreeMap::new(),
        })
    }

    fn add(&mut self, other: &Self) {
        let pairs = [
            (&mut self.whole, &other.whole),
            (&mut self.first, &other.first),
            (&mut self.between, &other.between),
        ];
        for (own, other) in pairs {
            own.add(other).expect("all histograms have the same bounds");
        }
        for (status, count) in &other.statuses {
            *self.statuses.entry(status.clone()).or_default() += count;
        }
    }

    /// Returns the report as a value.
    pub fn to_json(&self) -> Value {
        let quantiles = |histogram: &Histogram<u64>| {
            let found =
                QUANTILES.map(|q| (format!("p{}", q * 100.0), histogram.value_at_quantile(q)));
            Value::from_iter(found)
        };
        json!({
            "requests": self.whole.len(),
            "statuses": self.statuses,
            "whole_micros": quantiles(&self.whole),
            "first_micros": quantiles(&self.first),
            "between_micros": quantiles(&self.between),
        })
    }

    /// Returns the report as lines of text.
    pub fn to_text(&self) -> String {
        let line = |name: &str, histogram: &Histogram<u64>| {
            let found = QUANTILES.map(|q| {
                format!(
                    "p{}={:.3}ms",
                    q * 100.0,
                    histogram.value_at_quantile(q) as f64 / 1000.0
                )
            });
            format!("{name:<8} {}", found.join("  "))
        };
        let statuses: Vec<String> = self
            .statuses
            .iter()
            .map(|(status, count)| format!("{status}: {count}"))
            .collect();
        let mut lines = vec![
            format!("answers  {}", statuses.join(", ")),
            line("whole", &self.whole),
            line("first", &self.first),
        ];
        if !self.between.is_empty() {
            lines.push(line("between", &self.between));
        }
        lines.join("\n")
    }
}

/// Runs a load on threads of its own and returns what came of it.
pub fn run(plan: &LoadPlan) -> Result<LoadReport> {
    let threads: Vec<_> = (0..plan.threads)
        .map(|_| {
            let mut plan = plan.clone();
            plan.rate /= plan.threads as f64;
            std::thread::spawn(move || actix_rt::System::new().block_on(run_thread(plan)))
        })
        .collect();
    let mut report = LoadReport::new()?;
    for thread in threads {
        let part = thread
            .join()
            .map_err(|_| Error::Usage("a load thread panicked".to_owned()))??;
        report.add(&part);
    }
    Ok(report)
}

async fn run_thread(plan: LoadPlan) -> Result<LoadReport> {
    let report = Rc::new(RefCell::new(LoadReport::new()?));
    let plan = Rc::new(plan);
    let client = pooled_client();
    let start = Instant::now();
    let mut requests = Vec::new();
    for number in 0u64.. {
        let due = Duration::from_secs_f64(number as f64 / plan.rate);
        if due >= plan.duration {
            break;
        }
        wait_until(start + due).await;
        let request = send(client.clone(), plan.clone(), start + due, report.clone());
        requests.push(actix_rt::spawn(request));
    }
    for request in requests {
        let _ = request.await;
    }
    Ok(report.borrow().clone())
}

async fn wait_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if left > SPIN_BEFORE_START {
        sleep(left - SPIN_BEFORE_START).await;
    }
    while Instant::now() < due {
        tokio::task::yield_now().await;
    }
}

async fn send(client: Client, plan: Rc<LoadPlan>, due: Instant, report: Rc<RefCell<LoadReport>>) {
    let outcome = timeout(REQUEST_TIMEOUT, exchange(&client, &plan, due, &report)).await;
    let status = outcome
        .ok()
        .flatten()
        .unwrap_or_else(|| "failed".to_owned());
    let mut report = report.borrow_mut();
    report.whole.saturating_record(micros(due.elapsed()));
    *report.statuses.entry(status).or_default() += 1;
}

async fn exchange(
    client: &Client,
    plan: &LoadPlan,
    due: Instant,
    report: &RefCell<LoadReport>,
) -> Option<String> {
    let url = format!("http://{}{}", plan.target, plan.path);
    let mut request = match &plan.body {
        Some(_) => client.post(url),
        None => client.get(url),
    };
    if let Some(credential) = &plan.credential {
        request = request.bearer_auth(credential);
    }
    let sent = match &plan.body {
        Some(body) => request.send_json(body),
        None => request.send(),
    };
    let mut response = sent.await.ok()?;
    let mut last: Option<Instant> = None;
    while let Some(chunk) = response.next().await {
        let _: Bytes = chunk.ok()?;
        let now = Instant::now();
        let mut report = report.borrow_mut();
        match last {
            None => report.first.saturating_record(micros(now - due)),
            Some(last) if plan.is_stream() => report.between.saturating_record(micros(now - last)),
            Some(_) => {}
        }
        last = Some(now);
    }
    Some(response.status().as_u16().to_string())
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros())
        .unwrap_or(u64::MAX)
        .max(1)
}
