//! Tells the other boxes of rate limits that upstreams state, and of requests to those upstreams.
//!
//! See [`super::limit_reports`] and `docs/design/rate-limits.md`.

use super::limit_reports::{LimitReport, share_limits};
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::attempt::upstream::Upstream;
use std::net::SocketAddr;

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
        if let Some(report) = LimitReport::of(upstream, upstream.rate_limit().statement(), now) {
            self.rate_limits.push(report);
        }
    }

    /// Applies another box's reports of rate limits.
    pub fn apply_rate_limit_reports(&self, reports: &[LimitReport], now: Now) {
        let state = self.knowledge.borrow();
        for upstream in state.upstreams() {
            for report in reports.iter().filter(|report| report.is_about(upstream)) {
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
    pub fn rate_limit_reports(&self, now: Now) -> Vec<LimitReport> {
        let knowledge = self.knowledge.borrow();
        let upstreams = knowledge.upstreams();
        upstreams
            .filter_map(|upstream| {
                LimitReport::of(upstream, upstream.rate_limit().statement(), now)
            })
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
pub async fn share_rate_limits(gw: &Gateway, send: impl AsyncFn(&[SocketAddr], Vec<LimitReport>)) {
    let all = |now| gw.rate_limit_reports(now);
    share_limits(gw, &gw.rate_limits, all, send).await;
}

/// Announces requests to limited upstreams, for as long as the process runs.
pub async fn announce_limited_sends(gw: &Gateway, send: impl AsyncFn(&[SocketAddr], Vec<u32>)) {
    loop {
        for hash in gw.limited_sends.next().await {
            send(&gw.other_senders(hash, Now::read()), vec![hash]).await;
        }
    }
}
