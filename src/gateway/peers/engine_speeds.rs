//! Sends what this box measured of the engines' speeds to one other box in turn.
//!
//! With many boxes and engines, each box gets few answers of each engine; together they get enough.
//! A box sends only its own measurements, so that none comes back to where it was made and counts
//! twice. See `docs/design/uneven-engines.md`.

use super::gossip_targets::GossipTargets;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::attempt::upstream::Upstream;
use crate::gateway::place::engine_speed::MeasuredSpeed;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// The time between two rounds: engines keep their speed for long, and a box that restarted hears
/// from many others within seconds.
const REPORT_INTERVAL: Duration = Duration::from_millis(1200);
/// The most reports in a datagram, and in a round, so that the bytes a second are bounded; if there
/// are more, they are sent in turn.
pub const MAX_REPORTS: usize = 130;

/// What one box has measured of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// [`Upstream::short_hash`].
    upstream: u32,
    measured: MeasuredSpeed,
}

impl SpeedReport {
    /// Returns what this box has measured of an engine; `None` if nothing was measured.
    pub fn of(upstream: &Upstream, now: Now) -> Option<Self> {
        Some(Self {
            upstream: upstream.short_hash(),
            measured: upstream.speed().measured(now)?,
        })
    }
}

impl Gateway {
    /// Applies another box's measurements.
    pub fn apply_speed_reports(&self, reports: &[SpeedReport], now: Now) {
        let knowledge = self.knowledge.borrow();
        for upstream in knowledge.upstreams() {
            let hash = upstream.short_hash();
            let of_upstream = reports.iter().find(|report| report.upstream == hash);
            if let Some(report) = of_upstream {
                upstream.speed().merge(report.measured, now);
            }
        }
    }

    /// Returns this box's measurements that are to be sent in a round.
    fn speed_reports(&self, round: usize, now: Now) -> Vec<SpeedReport> {
        let knowledge = self.knowledge.borrow();
        let mut reports: Vec<SpeedReport> = knowledge
            .upstreams()
            .filter_map(|upstream| SpeedReport::of(upstream, now))
            .collect();
        if reports.len() > MAX_REPORTS {
            let start = round.wrapping_mul(MAX_REPORTS) % reports.len();
            reports.rotate_left(start);
            reports.truncate(MAX_REPORTS);
        }
        reports
    }
}

/// Sends measured speeds to other boxes, for as long as the process runs.
pub async fn share_engine_speeds(
    gw: &Gateway,
    send: impl AsyncFn(&[SocketAddr], Vec<SpeedReport>),
) {
    let mut targets = GossipTargets::new(gw);
    for round in 0.. {
        sleep(REPORT_INTERVAL).await;
        let receivers = targets.next_round(gw);
        let reports = gw.speed_reports(round, Now::read());
        if !reports.is_empty() {
            send(&receivers, reports).await;
        }
    }
}
