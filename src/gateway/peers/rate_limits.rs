//! Tells the other boxes of rate limits that upstreams state, and of requests to those upstreams.
//!
//! Changes are broadcast at once. In addition, each box sends all limits that it knows to one other
//! box in turn, so that boxes that restarted, joined or were cut off learn of them, and of their
//! end, although they may send nothing to the upstream themselves.

use super::gossip_targets::{GOSSIP_INTERVAL, GossipTargets};
use crate::clock::{Now, millis};
use crate::gateway::Gateway;
use crate::gateway::attempt::upstream::Upstream;
use crate::routing::rate_limit::LimitStatement;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// How long the end of a limit is sent to other boxes: several rounds of gossip.
const ENDED_LIMIT_RETENTION: Duration = Duration::from_secs(30);
/// The most reports in one datagram.
const MAX_REPORTS_PER_DATAGRAM: usize = 200;

/// What an upstream stated about its rate limit, as one box tells others.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateLimitReport {
    /// [`Upstream::short_hash`].
    upstream: u32,
    /// Requests per second from all boxes together; none if the limit is over.
    limit: Option<f64>,
    /// The age of the statement in milliseconds.
    age_ms: u64,
}

impl RateLimitReport {
    /// Returns what this box knows of an upstream; none if there is nothing to tell.
    fn of(upstream: &Upstream, now: Now) -> Option<Self> {
        let statement = upstream.rate_limit().statement()?;
        let age = now.monotonic.saturating_sub(statement.as_of);
        let is_relevant = statement.limit.is_some() || age < ENDED_LIMIT_RETENTION;
        is_relevant.then(|| Self {
            upstream: upstream.short_hash(),
            limit: statement.limit,
            age_ms: millis(age),
        })
    }

    fn statement(&self, now: Now) -> LimitStatement {
        LimitStatement {
            limit: self.limit,
            as_of: now
                .monotonic
                .saturating_sub(Duration::from_millis(self.age_ms)),
        }
    }
}

impl Gateway {
    /// Counts a request that is about to be sent to an upstream with a rate limit, and queues its
    /// announcement to the other boxes that may send there.
    pub fn count_limited_send(&self, upstream: &Upstream, now: Now) {
        if upstream.rate_limit().limit().is_some() {
            upstream.rate_limit().record_send(now);
            self.limited_sends.push(upstream.short_hash());
        }
    }

    /// Queues a limit that has changed for the other boxes.
    pub fn note_rate_limit(&self, upstream: &Upstream, now: Now) {
        self.telemetry.record_rate_limit(upstream, "answer");
        if let Some(report) = RateLimitReport::of(upstream, now) {
            self.rate_limits.push(report);
        }
    }

    /// Applies another box's reports of rate limits.
    pub fn apply_rate_limit_reports(&self, reports: &[RateLimitReport], now: Now) {
        let state = self.knowledge.borrow();
        for upstream in state.upstreams() {
            let hash = upstream.short_hash();
            for report in reports.iter().filter(|report| report.upstream == hash) {
                if upstream.rate_limit().apply(report.statement(now), now) {
                    self.telemetry.record_rate_limit(upstream, "box");
                }
            }
        }
    }

    /// Counts requests that another box sends to upstreams with rate limits, given by their hashes.
    pub fn count_peer_sends(&self, hashes: &[u32], now: Now) {
        let state = self.knowledge.borrow();
        for upstream in state.upstreams() {
            let sends = hashes.iter().filter(|hash| **hash == upstream.short_hash());
            sends.for_each(|_| upstream.rate_limit().record_send(now));
        }
    }

    /// Returns reports of all rate limits that this box knows.
    pub fn rate_limit_reports(&self, now: Now) -> Vec<RateLimitReport> {
        let knowledge = self.knowledge.borrow();
        let upstreams = knowledge.upstreams();
        upstreams
            .filter_map(|upstream| RateLimitReport::of(upstream, now))
            .collect()
    }

    /// Returns the other boxes that may send to a limited upstream.
    fn other_senders(&self, hash: u32, now: Now) -> Vec<SocketAddr> {
        let boxes = self.box_addresses();
        let fleet = self.fleet_view(&boxes, now);
        let state = self.knowledge.borrow();
        let named = state
            .upstreams()
            .find(|upstream| upstream.short_hash() == hash);
        named.map_or_else(Vec::new, |upstream| {
            upstream.rate_limit().other_senders(fleet, now)
        })
    }
}

/// Sends changed and known limits to other boxes, for as long as the process runs.
pub async fn share_rate_limits(
    gw: &Gateway,
    send: impl AsyncFn(&[SocketAddr], Vec<RateLimitReport>),
) {
    tokio::join!(broadcast_changes(gw, &send), gossip_all_limits(gw, &send));
}

async fn broadcast_changes(gw: &Gateway, send: &impl AsyncFn(&[SocketAddr], Vec<RateLimitReport>)) {
    loop {
        let reports = gw.rate_limits.next().await;
        send(&gw.other_recent_boxes(), reports).await;
    }
}

async fn gossip_all_limits(gw: &Gateway, send: &impl AsyncFn(&[SocketAddr], Vec<RateLimitReport>)) {
    let mut targets = GossipTargets::new(gw);
    loop {
        sleep(GOSSIP_INTERVAL).await;
        let receivers = targets.next_round(gw);
        let reports = gw.rate_limit_reports(Now::read());
        for part in reports.chunks(MAX_REPORTS_PER_DATAGRAM) {
            send(&receivers, part.to_vec()).await;
        }
    }
}

/// Announces requests to limited upstreams, for as long as the process runs.
pub async fn announce_limited_sends(gw: &Gateway, send: impl AsyncFn(&[SocketAddr], Vec<u32>)) {
    loop {
        for hash in gw.limited_sends.next().await {
            send(&gw.other_senders(hash, Now::read()), vec![hash]).await;
        }
    }
}
