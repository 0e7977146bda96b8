//! Relays a large answer piece by piece, as fast as its caller reads.
//!
//! From its first piece on, the answer cannot be replaced by another upstream's. If it breaks off,
//! the connection to the caller ends before the body does, so that the answer never looks complete.
//! See `docs/design/slow-readers.md`.

use super::held_bytes::{HeldKind, MIN_STALL};
use super::held_memory::PIECE_BYTES;
use super::relay::StreamInterrupted;
use crate::clock::Now;
use crate::gateway::Gateway;
use crate::gateway::admit::request::AdmittedRequest;
use crate::gateway::attempt::upstream_answer::{Answer, BodyChunk};
use crate::late_reading::LateReading;
use bytes::Bytes;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// An answer that is being relayed.
pub struct PieceRelay {
    gw: Rc<Gateway>,
    request: Rc<AdmittedRequest>,
    answer: Option<Answer>,
    /// What was read and not handed to the caller yet.
    pending: Bytes,
    /// How long the caller took for pieces in all.
    caller_wait: Duration,
    late: LateReading,
}

impl fmt::Debug for PieceRelay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PieceRelay")
            .field("request_id", &self.request.request_id)
            .finish_non_exhaustive()
    }
}

/// A relay that is dropped while its upstream still sends was abandoned by its caller, let go, or
/// cut by the end of the process.
impl Drop for PieceRelay {
    fn drop(&mut self) {
        if self.answer.is_some() {
            let reason = "the caller disconnected or was let go, or the process is stopping";
            self.gw.telemetry.record_relay_cut(&self.request, reason);
        }
    }
}

impl PieceRelay {
    /// Starts to relay an answer of which the first bytes have been read.
    pub fn new(
        gw: &Rc<Gateway>,
        request: &Rc<AdmittedRequest>,
        answer: Answer,
        first: Bytes,
    ) -> Self {
        request.record_answer_progress(gw, Now::read());
        let late = LateReading::new(answer.body_len());
        Self {
            gw: gw.clone(),
            request: request.clone(),
            answer: Some(answer),
            pending: first,
            caller_wait: Duration::ZERO,
            late,
        }
    }

    /// Returns the next piece, `None` at the end, or why the answer cannot be completed.
    pub async fn next(&mut self) -> Option<Result<Bytes, StreamInterrupted>> {
        let caller_wait = self.request.account.record_progress();
        self.caller_wait += caller_wait;
        if self.pending.is_empty() {
            let answer = self.answer.as_mut()?;
            // The beginning that was buffered has been handed over; less is always possible.
            let _ = self.request.account.try_hold(HeldKind::BufferedAnswer, 0);
            if self.request.account.hold_piece(0).await.is_err() {
                let reason = "no memory is left".to_owned();
                return Some(Err(self.interrupt(reason)));
            }
            let began = Now::read();
            let left = self.request.time_left(began);
            let Some(longest) = self.late.longest_wait(left) else {
                return Some(Err(self.interrupt("the deadline passed".to_owned())));
            };
            match tokio::time::timeout(longest, answer.next_chunk()).await {
                Ok(BodyChunk::Bytes(bytes)) => {
                    let waited = Now::read().monotonic.saturating_sub(began.monotonic);
                    self.late.record(bytes.len(), waited, left);
                    self.pending = bytes;
                }
                Ok(BodyChunk::End) => {
                    self.finish();
                    return None;
                }
                Ok(BodyChunk::Broken(reason)) => {
                    self.record_broken(caller_wait);
                    return Some(Err(self.interrupt(reason)));
                }
                Err(_elapsed) => {
                    return Some(Err(self.interrupt("the deadline passed".to_owned())));
                }
            }
        }
        let len = self.pending.len().min(PIECE_BYTES);
        let piece = self.pending.split_to(len);
        self.request.account.wait_for_caller();
        Some(Ok(piece))
    }

    /// Blames the upstream for an answer that broke off, unless it had to wait for the caller:
    /// upstreams cut off answers that sit unread.
    fn record_broken(&self, caller_wait: Duration) {
        if caller_wait >= MIN_STALL {
            return;
        }
        if let Some(answer) = &self.answer {
            let now = Now::read();
            self.request
                .record_broken_run(&self.gw, answer.upstream(), now);
            answer.record_failure(now);
        }
    }

    fn interrupt(&mut self, reason: String) -> StreamInterrupted {
        if let Some(answer) = self.answer.take() {
            self.gw
                .telemetry
                .record_broken_answer(&self.request, answer.upstream(), &reason);
        }
        StreamInterrupted(reason)
    }

    fn finish(&mut self) {
        let now = Now::read();
        self.request.record_whole_answer(&self.gw, now);
        let timing = self.request.timing.take();
        // The time that a slow caller takes says nothing about the upstream.
        if let Some(timing) = timing
            && self.caller_wait < MIN_STALL
        {
            timing.record_completion(now);
        }
        if let Some(answer) = self.answer.take() {
            answer.finish(&self.gw.connections, now);
            self.gw.record_served(&self.request, now);
        }
    }
}
