//! How long to wait for an upstream, and when it counts as dead.

use super::connect::ConnectionPool;
use super::upstream::Upstream;
use crate::clock::Now;
use std::pin::Pin;
use std::time::Duration;

/// How long to wait for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseTimeout {
    /// How long nothing at all may come from the upstream.
    pub upstream_silent: Duration,
    /// How long nothing may come to this request, while others are answered.
    pub request_stalled: Duration,
    /// How long this may take in any case.
    pub total: Duration,
}

impl ResponseTimeout {
    /// Waits up to `most`, whether anything else comes or not.
    pub fn total_only(total: Duration) -> Self {
        Self {
            upstream_silent: Duration::MAX,
            request_stalled: Duration::MAX,
            total,
        }
    }

    /// Returns the same patience with less time in any case.
    pub fn capped_at(self, total: Duration) -> Self {
        Self {
            total: self.total.min(total),
            ..self
        }
    }
}

/// How often a wait looks whether anything came to other requests.
const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Waits for something from an upstream; none if patience ran out.
///
/// An upstream that answers other requests, or still takes connections, is alive and only
/// busy, and what it has read would have to be read again elsewhere, so it gets more time
/// than one that is silent.
pub async fn with_response_timeout<T>(
    connections: &ConnectionPool,
    upstream: &Upstream,
    timeout: ResponseTimeout,
    future: impl Future<Output = T>,
) -> Option<T> {
    let began = Now::read().monotonic;
    let mut future = std::pin::pin!(future);
    let mut poll_wait = timeout
        .upstream_silent
        .min(timeout.request_stalled)
        .min(timeout.total);
    let mut silence_limit = timeout.upstream_silent;
    loop {
        match tokio::time::timeout(poll_wait, future.as_mut()).await {
            Ok(outcome) => return Some(outcome),
            Err(_elapsed) => {
                let now = Now::read();
                let waited = now.monotonic.saturating_sub(began);
                let silence = upstream.time_without_data(began, now);
                if waited >= timeout.total {
                    return None;
                }
                if waited >= timeout.request_stalled {
                    upstream.record_timeout(now);
                    return None;
                }
                if silence >= silence_limit {
                    let probed = probe_alongside(connections, upstream, future.as_mut()).await;
                    match probed {
                        ProbeResult::Completed(outcome) => return Some(outcome),
                        // Each probe costs the upstream a connection.
                        ProbeResult::Alive => silence_limit = silence_limit.saturating_mul(2),
                        ProbeResult::Dead => return None,
                    }
                }
                poll_wait = POLL_INTERVAL.min(timeout.total - waited);
            }
        }
    }
}

/// What came first of an outcome and a probe.
enum ProbeResult<T> {
    Completed(T),
    Alive,
    Dead,
}

async fn probe_alongside<T>(
    connections: &ConnectionPool,
    upstream: &Upstream,
    future: Pin<&mut impl Future<Output = T>>,
) -> ProbeResult<T> {
    tokio::select! {
        outcome = future => ProbeResult::Completed(outcome),
        is_alive = connections.probe(upstream) => {
            if is_alive {
                upstream.record_data_received(Now::read());
                return ProbeResult::Alive;
            }
            ProbeResult::Dead
        }
    }
}
