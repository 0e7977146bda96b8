//! Records what was decided about one request, from its arrival to its end.

use super::context::{Caller, RouterShared};
use crate::clock::Now;
use crate::decision_record::DecisionRecord;
use crate::outcome::{Outcome, Refused};
use std::time::Duration;

/// The decisions about one request so far.
#[derive(Debug)]
pub struct Trace {
    /// The record that `gatepier explain` shows.
    pub record: DecisionRecord,
    received: Duration,
}

impl Trace {
    /// Starts a record.
    pub fn start(shared: &RouterShared, caller: &Caller, asked_for: &str) -> Self {
        let record = DecisionRecord {
            request_id: caller.request_id.clone(),
            organisation: caller.organisation.clone(),
            box_name: shared.settings.identity.name.clone(),
            at: caller.received.wall,
            asked_for: asked_for.to_owned(),
            generation: shared.snapshot.load().generation.0,
            weighed: Vec::new(),
            tries: Vec::new(),
            status: 0,
            outcome: Outcome::NotRun,
            reason: None,
            tokens: 0,
            cost_micros: 0,
            billed: false,
            took_ms: 0,
        };
        Self {
            record,
            received: caller.received.monotonic,
        }
    }

    /// Records a refusal.
    pub fn record_refusal(&mut self, refused: &Refused) {
        self.record.status = refused.reason.status();
        self.record.outcome = refused.outcome;
        self.record.reason = Some(refused.reason.name().to_owned());
    }

    /// Completes the record, logs it and queues it for the agent; a full queue drops it.
    pub fn finish(mut self, shared: &RouterShared, now: Now) {
        let elapsed = now.monotonic.saturating_sub(self.received);
        self.record.took_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let record = &self.record;
        shared.metrics.record_request(record, elapsed);
        let last_attempt = record.tries.last();
        log::debug!(
            request = record.request_id.as_str(),
            organisation = record.organisation.as_str(),
            hall = shared.settings.identity.hall.as_str(),
            version = last_attempt.map_or("", |attempt| attempt.ran_on.as_str()),
            upstream = last_attempt.map_or("", |attempt| attempt.upstream.as_str()),
            status = record.status,
            generation = record.generation;
            "{}: {}", record.asked_for, record.outcome
        );
        let _ = shared.record_sender.try_send(self.record);
    }
}
