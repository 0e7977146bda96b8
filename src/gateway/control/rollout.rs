//! What a box knows of a roll-out: the order, how far it was taken, and for how long it runs.

use super::store::{RolloutOrder, RolloutRecord, RolloutState};
use crate::clock::Now;
use std::time::Duration;

/// An order and how far it was taken.
#[derive(Debug, Clone, Default)]
pub struct Rollout {
    /// The newest order, and when this box learned of it.
    pub order: Option<(RolloutOrder, Duration)>,
    /// The newest record.
    pub record: Option<SeenRecord>,
    /// What another box said of the time since the order.
    told: Option<ToldTime>,
}

/// Another box's word on how long ago an order was given.
#[derive(Debug, Clone, Copy)]
struct ToldTime {
    order: u64,
    elapsed: Duration,
    heard: Duration,
}

impl ToldTime {
    /// Returns the time since the order by now.
    fn by(self, now: Now) -> Duration {
        self.elapsed + now.monotonic.saturating_sub(self.heard)
    }
}

/// A roll-out's record, and when this box learned of it.
#[derive(Debug, Clone)]
pub struct SeenRecord {
    /// The record.
    pub record: RolloutRecord,
    /// Its revision in the store.
    pub revision: u64,
    /// When this box learned of it.
    pub seen: Duration,
}

impl Rollout {
    /// Returns the record of an order that is under way.
    pub fn running(&self, order: &RolloutOrder) -> Option<&RolloutRecord> {
        let record = &self.record.as_ref()?.record;
        let is_running = record.state == RolloutState::Running;
        (is_running && record.order_revision == order.revision).then_some(record)
    }

    /// Takes another box's word on the time since an order.
    ///
    /// The record tells the time of the last stage alone, and a box that starts sees it for the
    /// first time: where all boxes were restarted one after the other, the time went back to
    /// that stage, and a version without a proof was on trial for ever.
    pub fn hear_elapsed(&mut self, order: u64, elapsed: Duration, now: Now) {
        let known = self.told.filter(|told| told.order == order);
        if known.is_none_or(|known| known.by(now) < elapsed) {
            self.told = Some(ToldTime {
                order,
                elapsed,
                heard: now.monotonic,
            });
        }
    }

    /// Returns the time since the order, as far as this box or another one knows.
    pub fn elapsed(&self, now: Now) -> Option<Duration> {
        let (order, seen) = self.order.as_ref()?;
        let own = now.monotonic.saturating_sub(*seen);
        let recorded = self
            .record
            .as_ref()
            .filter(|known| known.record.order_revision == order.revision)
            .map(|known| {
                let then = Duration::from_millis(known.record.elapsed_ms);
                then + now.monotonic.saturating_sub(known.seen)
            });
        let told = self.told.filter(|told| told.order == order.revision);
        let known = [Some(own), recorded, told.map(|told| told.by(now))];
        known.into_iter().flatten().max()
    }
}
