//! The state of one roll-out as a box knows it: the order, the newest record and the time elapsed
//! since the order.

use super::revision::epoch_of;
use super::store::{RolloutOrder, RolloutRecord, RolloutState};
use crate::clock::Now;
use std::time::Duration;

/// The interval at which the time since the order is persisted, in percent of the roll-out's
/// duration. If all boxes are killed together, the record is the only source of this time, and a
/// bad version that is not proved bad would stay on trial for longer. Costs about twenty calls per
/// roll-out.
pub const ELAPSED_WRITE_STEP_PERCENT: u32 = 5;
/// The longest delay between the box that writes a record learning of the order and other boxes
/// learning of it.
const MAX_PROPAGATION_DELAY: Duration = Duration::from_secs(1);
/// By how much an elapsed time reported by another box has to exceed the recorded one to show that
/// this box kept counting.
const MIN_REPORTED_LEAD: Duration = Duration::from_millis(100);

/// A roll-out order and its progress.
#[derive(Debug, Clone, Default)]
pub struct Rollout {
    /// The newest order, and when this box received it.
    pub order: Option<(RolloutOrder, Duration)>,
    /// The newest record.
    pub record: Option<ReceivedRecord>,
    /// The elapsed time since the order that another box reported.
    reported: Option<ReportedElapsed>,
}

/// The elapsed time since an order, as another box reported it.
#[derive(Debug, Clone, Copy)]
struct ReportedElapsed {
    order_revision: u64,
    elapsed: Duration,
    received_at: Duration,
}

impl ReportedElapsed {
    /// Returns the time elapsed since the order at `now`.
    fn elapsed_at(self, now: Now) -> Duration {
        self.elapsed + now.monotonic.saturating_sub(self.received_at)
    }
}

/// A roll-out record, and when this box received it.
#[derive(Debug, Clone)]
pub struct ReceivedRecord {
    /// The record.
    pub record: RolloutRecord,
    /// Its revision in the store.
    pub revision: u64,
    /// When this box received it.
    pub received_at: Duration,
    /// Whether the record was written before this process started to listen, so that the time of
    /// writing is unknown.
    pub is_preexisting: bool,
    /// Whether the restored store lacks this record or has an older one, so that it has to be
    /// written again.
    pub is_lost: bool,
}

impl ReceivedRecord {
    /// Returns the time since the order: the recorded time plus the time since the record arrived.
    fn elapsed(&self, now: Now) -> Duration {
        let then = Duration::from_millis(self.record.elapsed_ms);
        then + now.monotonic.saturating_sub(self.received_at)
    }
}

impl Rollout {
    /// Applies an order unless a newer one is known; returns whether it was new.
    pub fn apply_order(&mut self, order: RolloutOrder, now: Now) -> bool {
        let known = self.order.as_ref();
        let is_newer = known.is_none_or(|(known, _)| order.revision > known.revision);
        if is_newer {
            self.order = Some((order, now.monotonic));
        }
        is_newer
    }

    /// Applies a record unless a newer one is known; returns whether it was new.
    pub fn apply_record(&mut self, record: RolloutRecord, revision: u64, now: Now) -> bool {
        let known = self.record.as_ref();
        if known.is_some_and(|known| revision <= known.revision) {
            return false;
        }
        let is_older_state = known.is_some_and(|known| {
            epoch_of(revision) > epoch_of(known.revision)
                && self.rank(&known.record) > self.rank(&record)
        });
        if is_older_state && let Some(known) = &mut self.record {
            known.revision = revision;
            known.is_lost = true;
            return false;
        }
        self.record = Some(ReceivedRecord {
            is_preexisting: self.is_preexisting(&record, now),
            record,
            revision,
            received_at: now.monotonic,
            is_lost: false,
        });
        true
    }

    /// Records that the store has no record; returns whether one was known.
    pub fn handle_missing_record(&mut self) -> bool {
        if let Some(known) = &mut self.record {
            known.revision = 0;
            known.is_lost = true;
        }
        self.record.is_some()
    }

    /// Ranks a record by whether it belongs to the known order, and by how far it had come.
    fn rank(&self, record: &RolloutRecord) -> (bool, (bool, u64)) {
        let order = self.order.as_ref();
        let is_for_order = order.is_some_and(|(order, _)| record.is_for(order));
        (is_for_order, record.progress())
    }

    /// Returns whether the newest order has this revision.
    pub fn has_order(&self, order: u64) -> bool {
        let known = self.order.as_ref();
        known.is_some_and(|(known, _)| known.revision == order)
    }

    /// Returns whether an incoming record was written before this box learned of its order, judged
    /// by the record's elapsed time. Later records were written while this box was listening.
    fn is_preexisting(&self, record: &RolloutRecord, now: Now) -> bool {
        let knows_one = self
            .record
            .as_ref()
            .is_some_and(|known| known.record.order_revision == record.order_revision);
        let own = self.order.as_ref().map_or(Duration::ZERO, |(_, seen)| {
            now.monotonic.saturating_sub(*seen)
        });
        let reported = Duration::from_millis(record.elapsed_ms);
        !knows_one && reported > own + MAX_PROPAGATION_DELAY
    }

    /// Returns the record of an order whose roll-out is running.
    pub fn running_record(&self, order: &RolloutOrder) -> Option<&RolloutRecord> {
        let record = &self.record.as_ref()?.record;
        let is_running = record.state == RolloutState::Running;
        (is_running && record.is_for(order)).then_some(record)
    }

    /// Applies the elapsed time since an order that another box reported.
    ///
    /// A record only holds the elapsed time of its last write, and a restarted box receives it for
    /// the first time. Without reports, restarting all boxes one after the other set the time back
    /// to the last written stage, and a version that was never proved good or bad stayed on trial
    /// forever.
    pub fn apply_reported_elapsed(&mut self, order: u64, elapsed: Duration, now: Now) {
        let known = self
            .reported
            .filter(|reported| reported.order_revision == order);
        if known.is_none_or(|known| known.elapsed_at(now) < elapsed) {
            self.reported = Some(ReportedElapsed {
                order_revision: order,
                elapsed,
                received_at: now.monotonic,
            });
        }
    }

    /// Returns the longest time since the order that this box or another one knows of.
    pub fn elapsed(&self, now: Now) -> Option<Duration> {
        let (order, seen) = self.order.as_ref()?;
        let own = now.monotonic.saturating_sub(*seen);
        let recorded = self.record_for(order).map(|known| known.elapsed(now));
        let reported = self
            .reported_for(order)
            .map(|reported| reported.elapsed_at(now));
        [Some(own), recorded, reported].into_iter().flatten().max()
    }

    /// Returns the time that has probably passed in addition to [`Self::elapsed`] while no box was
    /// running to count it.
    ///
    /// If all boxes were killed together, counting resumes from the last record, which may be one
    /// write interval old. Deadlines use the probable time; stages use only the certain time, since
    /// sessions may move only in the second half of a roll-out.
    pub fn unseen(&self, now: Now) -> Duration {
        let Some((order, _)) = self.order.as_ref() else {
            return Duration::ZERO;
        };
        let Some(known) = self.record_for(order) else {
            return Duration::ZERO;
        };
        let before = Duration::from_millis(known.record.unseen_ms);
        let reported = self
            .reported_for(order)
            .map(|reported| reported.elapsed_at(now));
        let is_reported_later =
            reported.is_some_and(|reported| reported > known.elapsed(now) + MIN_REPORTED_LEAD);
        match known.is_preexisting && !is_reported_later {
            true => before + order.duration / 100 * ELAPSED_WRITE_STEP_PERCENT / 2,
            false => before,
        }
    }

    fn record_for(&self, order: &RolloutOrder) -> Option<&ReceivedRecord> {
        let known = self.record.as_ref()?;
        known.record.is_for(order).then_some(known)
    }

    fn reported_for(&self, order: &RolloutOrder) -> Option<ReportedElapsed> {
        self.reported
            .filter(|reported| reported.order_revision == order.revision)
    }
}
