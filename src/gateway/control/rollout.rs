//! What a box knows of a roll-out: the order, how far it was taken, and for how long it runs.

use super::store::{RolloutOrder, RolloutRecord, RolloutState};
use crate::clock::Now;
use std::time::Duration;

/// How often the time since the order is written down, in hundredths of the roll-out's time:
/// boxes that are all killed together know nothing else of it, and a bad version without a proof
/// would be on trial for longer. Some twenty calls a roll-out.
pub const ELAPSED_WRITE_STEP_PERCENT: u32 = 5;
/// How much later than the box that writes a record others may learn of the order.
const RECORD_WAY: Duration = Duration::from_secs(1);
/// By how much another box's word has to exceed the record to show that it has counted on.
const KNOWS_BETTER_BY: Duration = Duration::from_millis(100);

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
    /// Whether it stood there before this life of the box began to listen, so that nothing tells
    /// when it was written.
    pub is_found: bool,
}

impl SeenRecord {
    /// Returns the time since the order by the record and by what has passed since it was seen.
    fn elapsed(&self, now: Now) -> Duration {
        let then = Duration::from_millis(self.record.elapsed_ms);
        then + now.monotonic.saturating_sub(self.seen)
    }
}

impl Rollout {
    /// Takes an order, unless a newer one is known; true if it is new.
    pub fn take_order(&mut self, order: RolloutOrder, now: Now) -> bool {
        let known = self.order.as_ref();
        let is_newer = known.is_none_or(|(known, _)| order.revision > known.revision);
        if is_newer {
            self.order = Some((order, now.monotonic));
        }
        is_newer
    }

    /// Takes a record, unless a newer one is known; true if it is new.
    pub fn take_record(&mut self, record: RolloutRecord, revision: u64, now: Now) -> bool {
        let known = self.record.as_ref();
        let is_newer = known.is_none_or(|known| revision > known.revision);
        if is_newer {
            self.record = Some(SeenRecord {
                is_found: self.is_found(&record, now),
                record,
                revision,
                seen: now.monotonic,
            });
        }
        is_newer
    }

    /// Tells whether the newest order is the one of a revision.
    pub fn is_of(&self, order: u64) -> bool {
        let known = self.order.as_ref();
        known.is_some_and(|(known, _)| known.revision == order)
    }

    /// Tells whether a record that comes now stood there before this box learned of its order, by
    /// the time that the record tells: later ones were written while this box listened.
    fn is_found(&self, record: &RolloutRecord, now: Now) -> bool {
        let knows_one = self
            .record
            .as_ref()
            .is_some_and(|known| known.record.order_revision == record.order_revision);
        let own = self.order.as_ref().map_or(Duration::ZERO, |(_, seen)| {
            now.monotonic.saturating_sub(*seen)
        });
        let told = Duration::from_millis(record.elapsed_ms);
        !knows_one && told > own + RECORD_WAY
    }

    /// Returns the record of an order that is under way.
    pub fn running_record(&self, order: &RolloutOrder) -> Option<&RolloutRecord> {
        let record = &self.record.as_ref()?.record;
        let is_running = record.state == RolloutState::Running;
        (is_running && record.order_revision == order.revision).then_some(record)
    }

    /// Takes another box's word on the time since an order.
    ///
    /// The record tells the time of the last stage alone, and a box that starts sees it for the
    /// first time: where all boxes were restarted one after the other, the time went back to
    /// that stage, and a version without a proof was on trial for ever.
    pub fn apply_reported_elapsed(&mut self, order: u64, elapsed: Duration, now: Now) {
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
        let recorded = self.record_of(order).map(|known| known.elapsed(now));
        let told = self.told_of(order).map(|told| told.by(now));
        [Some(own), recorded, told].into_iter().flatten().max()
    }

    /// Returns what has probably passed beyond [`Self::elapsed`] while no box was there to count.
    ///
    /// Where all boxes were killed together, the time goes on from the last record, which was
    /// written up to one interval before. What must be over in time goes by what has probably
    /// passed; stages go by what has surely passed, since sessions may move in the second half only.
    pub fn unseen(&self, now: Now) -> Duration {
        let Some((order, _)) = self.order.as_ref() else {
            return Duration::ZERO;
        };
        let Some(known) = self.record_of(order) else {
            return Duration::ZERO;
        };
        let before = Duration::from_millis(known.record.unseen_ms);
        let told = self.told_of(order).map(|told| told.by(now));
        let is_known_better = told.is_some_and(|told| told > known.elapsed(now) + KNOWS_BETTER_BY);
        match known.is_found && !is_known_better {
            true => before + order.duration / 100 * ELAPSED_WRITE_STEP_PERCENT / 2,
            false => before,
        }
    }

    fn record_of(&self, order: &RolloutOrder) -> Option<&SeenRecord> {
        let known = self.record.as_ref()?;
        (known.record.order_revision == order.revision).then_some(known)
    }

    fn told_of(&self, order: &RolloutOrder) -> Option<ToldTime> {
        self.told.filter(|told| told.order == order.revision)
    }
}
