//! Relays a streamed answer as it is received, and records its billing record before its end is
//! sent.

use super::billing::{Cost, record_bill};
use super::body::{BodyError, BodySender};
use super::cascade_step::StepAnswer;
use super::completions::{EVENT_STREAM, response_head};
use super::context::{Caller, Worker, refuse};
use super::rating::{RATED_MAX_BYTES, is_sampled, rate_in_background};
use super::responses::refusal_body;
use super::sse::StreamScanner;
use super::trace::Trace;
use crate::clock::Now;
use crate::outcome::{Outcome, Reason};
use crate::routing::admission::AdmissionPermit;
use crate::session::Session;
use actix_http::{ResponseBuilder, StatusCode};
use bytes::{Bytes, BytesMut};
use futures::StreamExt as _;
use std::rc::Rc;

/// Relays one streamed answer, in a task of its own.
pub struct StreamRelay {
    answer: StepAnswer,
    session: Session,
    cost: Cost,
    scanner: StreamScanner,
    rating_sample: Option<BytesMut>,
    _permit: AdmissionPermit,
}

enum RelayEnd {
    Complete,
    Interrupted(&'static str),
    CallerGone,
}

impl StreamRelay {
    /// Creates a relay for an answer that has started.
    pub fn new(answer: StepAnswer, session: Session, cost: Cost, permit: AdmissionPermit) -> Self {
        Self {
            answer,
            session,
            cost,
            scanner: StreamScanner::default(),
            rating_sample: None,
            _permit: permit,
        }
    }

    /// Starts the response to the caller.
    pub fn response_head(&self, worker: &Worker, caller: &Caller) -> ResponseBuilder {
        response_head(
            worker,
            caller,
            &self.session,
            &self.answer.version,
            EVENT_STREAM,
        )
    }

    /// Relays the answer until it is complete, interrupted, or the caller has gone.
    pub async fn run(
        mut self: Box<Self>,
        worker: Rc<Worker>,
        caller: Caller,
        body_sender: BodySender,
        mut trace: Trace,
    ) {
        let snapshot = worker.snapshot();
        if is_sampled(&worker, &snapshot, &self.answer.version) {
            self.rating_sample = Some(BytesMut::new());
        }
        trace.record.status = StatusCode::OK.as_u16();
        let end = self
            .relay_chunks(&worker, &caller, &body_sender, &mut trace)
            .await;
        match end {
            RelayEnd::Complete => {
                trace.record.outcome = Outcome::Done;
                self.answer.record_success(&worker);
                if let Some(rating_sample) = self.rating_sample.take() {
                    rate_in_background(&worker, &self.answer.subject, rating_sample.freeze());
                }
            }
            RelayEnd::Interrupted(message) => {
                let refused = refuse(Outcome::Unknown, Reason::UpstreamFailed, message);
                trace.record_refusal(&refused);
                self.answer.record_failure(&worker);
                let event = format!("data: {}\n\n", refusal_body(&refused));
                // The error event shows clients that parse events, and the aborted body shows
                // clients that read bytes, that the answer is incomplete.
                let _ = body_sender.send(Ok(event.into())).await;
                let _ = body_sender.send(Err(BodyError::Interrupted)).await;
            }
            RelayEnd::CallerGone => {
                trace.record.outcome = Outcome::Unknown;
                trace.record.reason = Some("caller-gone".to_owned());
            }
        }
        trace.finish(&worker.shared, Now::read());
    }

    async fn relay_chunks(
        &mut self,
        worker: &Rc<Worker>,
        caller: &Caller,
        body_sender: &BodySender,
        trace: &mut Trace,
    ) -> RelayEnd {
        let mut first_chunk = self.answer.first_chunk.take();
        let mut is_billed = false;
        loop {
            let chunk = match first_chunk.take() {
                Some(chunk) => chunk,
                None => match self.next_chunk(caller, body_sender).await {
                    Ok(Some(chunk)) => chunk,
                    Ok(None) if is_billed => return RelayEnd::Complete,
                    Ok(None) => {
                        return RelayEnd::Interrupted("the upstream interrupted the answer");
                    }
                    Err(end) => return end,
                },
            };
            self.scanner.push(&chunk);
            self.append_sample(&chunk);
            if self.scanner.is_done() && !is_billed {
                is_billed = true;
                // Boxed, so that a stream doesn't hold the memory of this future until it
                // ends.
                Box::pin(self.bill(worker, caller, trace)).await;
            }
            if body_sender.send(Ok(chunk)).await.is_err() {
                return if is_billed {
                    RelayEnd::Complete
                } else {
                    RelayEnd::CallerGone
                };
            }
        }
    }

    /// Waits for the next chunk. A caller who disconnects ends the wait and also the upstream's
    /// work, since the connection is dropped.
    async fn next_chunk(
        &mut self,
        caller: &Caller,
        body_sender: &BodySender,
    ) -> Result<Option<Bytes>, RelayEnd> {
        let remaining_time = caller.remaining_time(Now::read());
        tokio::select! {
            chunk = self.answer.response.next() => match chunk {
                Some(Ok(chunk)) => Ok(Some(chunk)),
                Some(Err(_)) if self.scanner.is_done() => Ok(None),
                Some(Err(_)) => Err(RelayEnd::Interrupted("the upstream interrupted the answer")),
                None => Ok(None),
            },
            () = body_sender.closed() => Err(RelayEnd::CallerGone),
            () = tokio::time::sleep(remaining_time) => Err(RelayEnd::Interrupted("the deadline passed")),
        }
    }

    fn append_sample(&mut self, chunk: &Bytes) {
        if let Some(rating_sample) = &mut self.rating_sample
            && rating_sample.len() < RATED_MAX_BYTES
        {
            rating_sample.extend_from_slice(chunk);
        }
    }

    async fn bill(&mut self, worker: &Rc<Worker>, caller: &Caller, trace: &mut Trace) {
        if let Some(bundle) = &worker.snapshot().bundle {
            self.cost.add_tokens(
                bundle,
                &self.answer.version,
                self.scanner.usage().total_tokens,
            );
        }
        record_bill(worker, caller, &self.answer.version, &self.cost, trace).await;
    }
}
