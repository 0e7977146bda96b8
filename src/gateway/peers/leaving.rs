//! Tells the other boxes which upstreams have said in an answer that they leave.
//!
//! The store may take long to hear it, and a box that has not asked such an upstream would send it
//! requests that its end cuts off.

use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::attempt::upstream::Upstream;
use std::net::SocketAddr;
use std::rc::Rc;

impl Gateway {
    /// Records that an upstream has said that it leaves, and has the other boxes told.
    pub fn hear_leaving(&self, upstream: &Upstream, now: Now) {
        let mut knowledge = self.knowledge.borrow_mut();
        if knowledge.note_leaving(upstream.life(), now) {
            self.telemetry.record_leaving_upstream(upstream, "answer");
            self.leaving_upstreams.push(upstream.short_hash());
        }
    }

    /// Takes the word of another box on upstreams that leave, by their hashes.
    pub fn take_leaving(&self, hashes: &[u32], now: Now) {
        let mut knowledge = self.knowledge.borrow_mut();
        let is_named = |upstream: &&Rc<Upstream>| hashes.contains(&upstream.short_hash());
        let named: Vec<Rc<Upstream>> = knowledge.upstreams().filter(is_named).cloned().collect();
        for upstream in named {
            if knowledge.note_leaving(upstream.life(), now) {
                self.telemetry.record_leaving_upstream(&upstream, "box");
            }
        }
    }
}

/// Tells all other boxes at once, for as long as the process lives.
pub async fn tell_leaving(gw: &Gateway, send: impl AsyncFn(&[SocketAddr], Vec<u32>)) {
    loop {
        let hashes = gw.leaving_upstreams.next().await;
        let others = gw.other_boxes();
        send(&others, hashes).await;
    }
}
