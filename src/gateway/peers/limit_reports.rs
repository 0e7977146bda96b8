//! Reports of limits that upstreams state, as boxes send them to each other.
//!
//! Changes are broadcast at once. In addition, each box sends all limits that it knows to one other
//! box in turn, so that boxes that restarted, joined or were cut off learn of them, and of their
//! end, although they may send nothing to the upstream themselves.

use super::gossip_targets::{GOSSIP_INTERVAL, GossipTargets};
use super::outbox::Outbox;
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

/// What an upstream stated about one of its limits.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// [`Upstream::short_hash`].
    upstream: u32,
    /// What all boxes together may cause per second; none if the limit is over.
    limit: Option<f64>,
    /// The age of the statement in milliseconds.
    age_ms: u64,
}

impl LimitReport {
    /// Describes the newest statement of an upstream; none if there is nothing to tell.
    pub fn of(upstream: &Upstream, statement: Option<LimitStatement>, now: Now) -> Option<Self> {
        let statement = statement?;
        let age = now.monotonic.saturating_sub(statement.as_of);
        let is_relevant = statement.limit.is_some() || age < ENDED_LIMIT_RETENTION;
        is_relevant.then(|| Self {
            upstream: upstream.short_hash(),
            limit: statement.limit,
            age_ms: millis(age),
        })
    }

    /// Returns whether the report is about this upstream.
    pub fn is_about(&self, upstream: &Upstream) -> bool {
        self.upstream == upstream.short_hash()
    }

    /// Returns the statement that the report describes.
    pub fn statement(&self, now: Now) -> LimitStatement {
        LimitStatement {
            limit: self.limit,
            as_of: now
                .monotonic
                .saturating_sub(Duration::from_millis(self.age_ms)),
        }
    }
}

/// Sends changed limits and, in turn, all known ones to other boxes, for as long as the process
/// runs.
pub async fn share_limits(
    gw: &Gateway,
    changed: &Outbox<LimitReport>,
    all: impl Fn(Now) -> Vec<LimitReport>,
    send: impl AsyncFn(&[SocketAddr], Vec<LimitReport>),
) {
    let broadcast_changes = async {
        loop {
            let reports = changed.next().await;
            send(&gw.other_recent_boxes(), reports).await;
        }
    };
    let gossip_all = async {
        let mut targets = GossipTargets::new(gw);
        loop {
            sleep(GOSSIP_INTERVAL).await;
            let receivers = targets.next_round(gw);
            for part in all(Now::read()).chunks(MAX_REPORTS_PER_DATAGRAM) {
                send(&receivers, part.to_vec()).await;
            }
        }
    };
    tokio::join!(broadcast_changes, gossip_all);
}
