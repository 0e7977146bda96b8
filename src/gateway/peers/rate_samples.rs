//! Sends the prefill rates that this box measured to other boxes, so that a box knows the rates of
//! models that it rarely asks.
//!
//! A report counts for half a minute, so a lost one does no harm. The number of receivers is fixed, so a
//! box's traffic does not grow with the fleet. See `docs/design/model-choice.md`.

use super::messages::rotating_subset;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::place::choose::stable_hash;
use crate::gateway::place::rate_samples::RateReport;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// The time between two reports of a box: a box that restarted knows the rates soon after.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// The number of boxes that receive a report. As all boxes report, each receives this many reports
/// per interval.
const RECEIVERS: usize = 4;

/// Reports the measured rates, for as long as the process runs.
pub async fn share_rate_samples(gw: &Gateway, send: impl AsyncFn(&[SocketAddr], RateReport)) {
    // Each box begins with other receivers.
    let mut offset = usize::from(stable_hash(&gw.incarnation) as u16);
    loop {
        sleep(REPORT_INTERVAL).await;
        let now = Now::read();
        gw.rate_samples.update_medians(now);
        if let Some(report) = gw.rate_samples.report(&gw.incarnation, now) {
            let receivers = rotating_subset(gw.other_boxes(), RECEIVERS, &mut offset);
            send(&receivers, report).await;
        }
    }
}
