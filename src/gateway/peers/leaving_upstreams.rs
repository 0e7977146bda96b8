//! Tells the other boxes which upstreams have announced in an answer that they leave.
//!
//! The store may learn this late, and a box that sent the upstream no request itself would keep
//! sending it requests that are cut off when it ends.

use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::attempt::upstream::Upstream;
use std::net::SocketAddr;
use std::rc::Rc;

impl Gateway {
    /// Records that an upstream has announced that it leaves, and queues the announcement for the
    /// other boxes.
    pub fn note_upstream_leaving(&self, upstream: &Upstream, now: Now) {
        let mut state = self.knowledge.borrow_mut();
        if state.record_leaving(upstream.incarnation(), now) {
            self.telemetry.record_leaving_upstream(upstream, "answer");
            self.leaving_upstreams.push(upstream.short_hash());
        }
    }

    /// Applies another box's report of leaving upstreams, given by their hashes.
    pub fn apply_leaving_report(&self, hashes: &[u32], now: Now) {
        let mut state = self.knowledge.borrow_mut();
        let is_named = |upstream: &&Rc<Upstream>| hashes.contains(&upstream.short_hash());
        let named: Vec<Rc<Upstream>> = state.upstreams().filter(is_named).cloned().collect();
        for upstream in named {
            if state.record_leaving(upstream.incarnation(), now) {
                self.telemetry.record_leaving_upstream(&upstream, "box");
            }
        }
    }
}

/// Broadcasts announcements to all other boxes, for as long as the process runs.
pub async fn broadcast_leaving(gw: &Gateway, send: impl AsyncFn(&[SocketAddr], Vec<u32>)) {
    loop {
        let hashes = gw.leaving_upstreams.next().await;
        let others = gw.other_boxes();
        send(&others, hashes).await;
    }
}
