//! Timeouts for an upstream, which depend on whether it still responds to anything.

use super::connect::ConnectionPool;
use super::upstream::Upstream;
use super::upstream_paths::ProbeWay;
use super::upstream_stream::ConnectionPath;
use crate::clock::Now;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// How long to wait for data from an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseTimeout {
    /// Maximum time without any data from the upstream, for any request.
    pub upstream_silent: Duration,
    /// Maximum time without data for this request, while the upstream answers others.
    pub request_stalled: Duration,
    /// Maximum time in any case.
    pub total: Duration,
}

impl ResponseTimeout {
    /// Waits up to `total`, regardless of other data from the upstream.
    pub fn total_only(total: Duration) -> Self {
        Self {
            upstream_silent: Duration::MAX,
            request_stalled: Duration::MAX,
            total,
        }
    }

    /// Returns the same timeout for the rest of a wait that has gone on for a time.
    pub fn after(self, waited: Duration) -> Self {
        Self {
            request_stalled: self.request_stalled.saturating_sub(waited),
            ..self
        }
    }

    /// Returns the same timeout with an upper bound on the total time.
    pub fn capped_at(self, total: Duration) -> Self {
        Self {
            total: self.total.min(total),
            ..self
        }
    }
}

/// The upstream that a wait depends on, and the way of the connection to it.
#[derive(Debug, Clone, Copy)]
pub struct WatchedUpstream<'a> {
    /// The box's connections.
    pub connections: &'a ConnectionPool,
    /// The upstream.
    pub upstream: &'a Rc<Upstream>,
    /// By which way the connection reaches it. Another way shows nothing about this connection.
    pub path: &'a ConnectionPath,
}

/// Interval at which a wait checks whether the upstream has sent data to other requests.
const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Waits for a future that depends on data from an upstream; returns `None` on a timeout.
///
/// An upstream that answers other requests or still accepts connections is alive but busy. It gets
/// more time than a silent one, since another upstream would have to repeat the prefill that it has
/// already done.
pub async fn with_response_timeout<T>(
    watched: WatchedUpstream<'_>,
    timeout: ResponseTimeout,
    future: impl Future<Output = T>,
) -> Option<T> {
    let upstream = watched.upstream;
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
                // What this box delays by itself is not the upstream's.
                let own_delay = watched.connections.saturation.longest_since(began, now);
                if waited >= timeout.total {
                    return None;
                }
                if waited >= timeout.request_stalled.saturating_add(own_delay) {
                    upstream.record_timeout(now);
                    return None;
                }
                if silence >= silence_limit.saturating_add(own_delay) {
                    let probed = probe_alongside(watched, future.as_mut()).await;
                    match probed {
                        ProbeResult::Completed(outcome) => return Some(outcome),
                        // Each probe opens a connection to the upstream, so probe less and less
                        // often.
                        ProbeResult::Alive => silence_limit = silence_limit.saturating_mul(2),
                        ProbeResult::Dead => return None,
                    }
                }
                poll_wait = POLL_INTERVAL.min(timeout.total - waited);
            }
        }
    }
}

/// Which came first: the result of the future or of the probe.
enum ProbeResult<T> {
    Completed(T),
    Alive,
    Dead,
}

async fn probe_alongside<T>(
    watched: WatchedUpstream<'_>,
    future: Pin<&mut impl Future<Output = T>>,
) -> ProbeResult<T> {
    let way = ProbeWay::of(watched.path);
    tokio::select! {
        outcome = future => ProbeResult::Completed(outcome),
        is_alive = watched.connections.probe(watched.upstream, way) => {
            if is_alive {
                watched.upstream.record_data_received(Now::read());
                return ProbeResult::Alive;
            }
            ProbeResult::Dead
        }
    }
}
