//! How long to wait for an upstream, and when it counts as dead.

use super::connect::Connections;
use super::upstream::Upstream;
use crate::clock::Now;
use std::pin::Pin;
use std::time::Duration;

/// How long to wait for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// How long nothing at all may come from the upstream.
    pub silent: Duration,
    /// How long nothing may come to this request, while others are answered.
    pub alive: Duration,
    /// How long this may take in any case.
    pub most: Duration,
}

impl Patience {
    /// Waits up to `most`, whether anything else comes or not.
    pub fn up_to(most: Duration) -> Self {
        Self {
            silent: Duration::MAX,
            alive: Duration::MAX,
            most,
        }
    }

    /// Returns the same patience with less time in any case.
    pub fn within(self, most: Duration) -> Self {
        Self {
            most: self.most.min(most),
            ..self
        }
    }
}

/// How often a wait looks whether anything came to other requests.
const LOOK_INTERVAL: Duration = Duration::from_millis(60);

/// Waits for something from an upstream; none if patience ran out.
///
/// An upstream that answers other requests, or still takes connections, is alive and only
/// busy, and what it has read would have to be read again elsewhere, so it gets more time
/// than one that is silent.
pub async fn patiently<T>(
    connections: &Connections,
    upstream: &Upstream,
    patience: Patience,
    future: impl Future<Output = T>,
) -> Option<T> {
    let began = Now::read().monotonic;
    let mut future = std::pin::pin!(future);
    let mut look = patience.silent.min(patience.alive).min(patience.most);
    let mut silence_borne = patience.silent;
    loop {
        match tokio::time::timeout(look, future.as_mut()).await {
            Ok(outcome) => return Some(outcome),
            Err(_elapsed) => {
                let now = Now::read();
                let waited = now.monotonic.saturating_sub(began);
                let silent = upstream.silent_since(began, now);
                if waited >= patience.most {
                    return None;
                }
                if waited >= patience.alive {
                    upstream.fell_silent(now);
                    return None;
                }
                if silent >= silence_borne {
                    let probed = probe_while(connections, upstream, future.as_mut()).await;
                    match probed {
                        Probed::Outcome(outcome) => return Some(outcome),
                        // Each probe costs the upstream a connection.
                        Probed::Alive => silence_borne = silence_borne.saturating_mul(2),
                        Probed::Dead => return None,
                    }
                }
                look = LOOK_INTERVAL.min(patience.most - waited);
            }
        }
    }
}

/// What came first of an outcome and a probe.
enum Probed<T> {
    Outcome(T),
    Alive,
    Dead,
}

async fn probe_while<T>(
    connections: &Connections,
    upstream: &Upstream,
    future: Pin<&mut impl Future<Output = T>>,
) -> Probed<T> {
    tokio::select! {
        outcome = future => Probed::Outcome(outcome),
        is_alive = connections.probe(upstream) => {
            if is_alive {
                upstream.heard(Now::read());
                return Probed::Alive;
            }
            Probed::Dead
        }
    }
}
