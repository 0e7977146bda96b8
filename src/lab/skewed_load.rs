//! A load on one server that gets more callers than it can serve, while the server beside it is
//! idle.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// A load at a fixed rate, whose callers do not wait for each other.
#[derive(Debug, Clone, Copy)]
pub struct SkewedLoad {
    /// The requests a second.
    pub per_second: f64,
    /// How long requests are sent.
    pub length: Duration,
    /// The time within which callers expect their responses.
    pub objective: Duration,
}

/// The servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The one that all callers try first.
    Full,
    /// The one for callers whose connections the first one closed without a response.
    Idle,
}

/// How a try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TryResult {
    /// A complete response.
    Served,
    /// The connection was closed without a response.
    Closed,
    /// A refusal, or an incomplete response.
    Refused,
}

/// What callers saw.
#[derive(Debug, Default)]
pub struct Outcomes {
    /// The requests sent.
    pub sent: Cell<usize>,
    /// Those served within the objective.
    pub in_time: Cell<usize>,
    /// Those served later.
    pub late: Cell<usize>,
    /// Connections that the full server closed without a response.
    pub closed: Cell<usize>,
    /// The requests that were not served.
    pub refused: Cell<usize>,
}

impl SkewedLoad {
    /// Sends the load; `send` makes one try of the request with a number.
    pub async fn run(
        self,
        send: impl AsyncFn(Target, usize) -> TryResult + 'static,
    ) -> Rc<Outcomes> {
        let outcomes: Rc<Outcomes> = Rc::default();
        let send = Rc::new(send);
        let end = Instant::now() + self.length;
        let interval = Duration::from_secs_f64(1.0 / self.per_second);
        let mut next = Instant::now();
        let mut calls = Vec::new();
        while Instant::now() < end {
            add_one(&outcomes.sent);
            let (send, outcomes, number) = (send.clone(), outcomes.clone(), calls.len());
            calls.push(actix_rt::spawn(async move {
                call(&*send, number, self.objective, &outcomes).await;
            }));
            next += interval;
            sleep(next.saturating_duration_since(Instant::now())).await;
        }
        futures::future::join_all(calls).await;
        outcomes
    }
}

/// Sends a request to the full server, and to the idle one if the full one closes the connection
/// unread.
async fn call(
    send: &impl AsyncFn(Target, usize) -> TryResult,
    number: usize,
    objective: Duration,
    outcomes: &Outcomes,
) {
    let began = Instant::now();
    let mut result = send(Target::Full, number).await;
    if result == TryResult::Closed {
        add_one(&outcomes.closed);
        result = send(Target::Idle, number).await;
    }
    add_one(match (result, began.elapsed() <= objective) {
        (TryResult::Served, true) => &outcomes.in_time,
        (TryResult::Served, false) => &outcomes.late,
        (TryResult::Closed | TryResult::Refused, _) => &outcomes.refused,
    });
}

fn add_one(count: &Cell<usize>) {
    count.set(count.get() + 1);
}
