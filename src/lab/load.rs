//! Open-loop load generator: requests start on schedule whether or not earlier ones have
//! finished, and latency is measured from the scheduled start.

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

const MAX_RECORDED_MICROS: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// How long before a scheduled start to switch from sleeping to yielding in a loop, since the
/// timer has a resolution of one millisecond.
const SPIN_BEFORE_START: Duration = Duration::from_millis(2);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
const QUANTILES: [f64; 5] = [0.5, 0.9, 0.99, 0.999, 1.0];

/// Parameters of a load.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadPlan {
    /// The address to which requests are sent.
    pub target: SocketAddr,
    /// The request path.
    pub path: String,
    /// The bearer credential, if any.
    pub credential: Option<String>,
    /// The JSON body of a `POST`; without it, a `GET` is sent.
    pub body: Option<Value>,
    /// Requests per second, over all threads.
    pub rate: f64,
    /// The period in which requests are started.
    pub duration: Duration,
    /// The number of sending threads.
    pub threads: usize,
}

impl LoadPlan {
    fn is_stream(&self) -> bool {
        let stream = self.body.as_ref().and_then(|body| body.get("stream"));
        stream.and_then(Value::as_bool).unwrap_or(false)
    }
}

/// The results of a load.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Time from the scheduled start to the end of the response, in microseconds.
    pub total_latency: Histogram<u64>,
    /// Time from the scheduled start to the first bytes of the body, in microseconds.
    pub first_byte_latency: Histogram<u64>,
    /// Time between two chunks of a stream, in microseconds.
    pub chunk_gaps: Histogram<u64>,
    /// Number of responses by status; requests without a complete response count as `failed`.
    pub statuses: BTreeMap<String, u64>,
}

impl LoadReport {
    fn new() -> Result<Self> {
        let histogram = || {
            Histogram::new_with_max(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)
                .map_err(|err| Error::Usage(err.to_string()))
        };
        Ok(Self {
            total_latency: histogram()?,
            first_byte_latency: histogram()?,
            chunk_gaps: histogram()?,
            statuses: BTreeMap::new(),
        })
    }

    fn merge(&mut self, other: &Self) {
        let pairs = [
            (&mut self.total_latency, &other.total_latency),
            (&mut self.first_byte_latency, &other.first_byte_latency),
            (&mut self.chunk_gaps, &other.chunk_gaps),
        ];
        for (own, other) in pairs {
            own.add(other).expect("all histograms have the same bounds");
        }
        for (status, count) in &other.statuses {
            *self.statuses.entry(status.clone()).or_default() += count;
        }
    }

    /// Returns the report as JSON.
    pub fn to_json(&self) -> Value {
        let quantiles = |histogram: &Histogram<u64>| {
            let found =
                QUANTILES.map(|q| (format!("p{}", q * 100.0), histogram.value_at_quantile(q)));
            Value::from_iter(found)
        };
        json!({
            "requests": self.total_latency.len(),
            "statuses": self.statuses,
            "whole_micros": quantiles(&self.total_latency),
            "first_micros": quantiles(&self.first_byte_latency),
            "between_micros": quantiles(&self.chunk_gaps),
        })
    }

    /// Returns the report as human-readable text.
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
            line("whole", &self.total_latency),
            line("first", &self.first_byte_latency),
        ];
        if !self.chunk_gaps.is_empty() {
            lines.push(line("between", &self.chunk_gaps));
        }
        lines.join("\n")
    }
}

/// Runs a load on new threads and returns the merged results.
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
        report.merge(&part);
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
    let outcome = timeout(REQUEST_TIMEOUT, send_and_read(&client, &plan, due, &report)).await;
    let status = outcome
        .ok()
        .flatten()
        .unwrap_or_else(|| "failed".to_owned());
    let mut report = report.borrow_mut();
    report
        .total_latency
        .saturating_record(micros(due.elapsed()));
    *report.statuses.entry(status).or_default() += 1;
}

async fn send_and_read(
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
            None => report
                .first_byte_latency
                .saturating_record(micros(now - due)),
            Some(last) if plan.is_stream() => {
                report.chunk_gaps.saturating_record(micros(now - last))
            }
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
