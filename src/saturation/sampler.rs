//! Measures how late this thread gets to its work.

use super::Saturation;
use crate::clock::Now;
use std::time::Duration;
use tokio::time::sleep;

/// The time between two samples while the thread is on time, and while it is late.
const CALM_INTERVAL: Duration = Duration::from_millis(100);
const LATE_INTERVAL: Duration = Duration::from_millis(20);
/// The delay from which a sample is late: timers fire up to a millisecond late by themselves.
const LATE_FROM: Duration = Duration::from_millis(5);

/// Samples the delay of this thread for as long as it runs, and calls `on_sample` after each sample.
pub async fn sample_scheduling(saturation: &Saturation, mut on_sample: impl FnMut(Now)) {
    let mut interval = CALM_INTERVAL;
    loop {
        let due = Now::read().monotonic + interval;
        sleep(interval).await;
        let now = Now::read();
        let delay = now.monotonic.saturating_sub(due);
        saturation.record_scheduling(delay, now);
        on_sample(now);
        interval = match delay >= LATE_FROM {
            true => LATE_INTERVAL,
            false => CALM_INTERVAL,
        };
    }
}
