//! Relays a streamed answer as it comes, and bills it before its end goes out.

use super::answer::refusal_body;
use super::billing::{Cost, bill};
use super::body::{BodyError, BodySender};
use super::context::{Caller, Worker, refuse};
use super::model::{EVENT_STREAM, head};
use super::model_try::StepAnswer;
use super::rating::{RATED_BYTES_LIMIT, is_sampled, rate_later};
use super::sse::StreamWatch;
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
pub struct Relay {
    answer: StepAnswer,
    session: Session,
    cost: Cost,
    watch: StreamWatch,
    sample: Option<BytesMut>,
    _admitted: AdmissionPermit,
}

enum RelayEnd {
    Whole,
    Cut(&'static str),
    CallerGone,
}

impl Relay {
    /// Takes an answer that has begun to come.
    pub fn new(
        answer: StepAnswer,
        session: Session,
        cost: Cost,
        admitted: AdmissionPermit,
    ) -> Self {
        Self {
            answer,
            session,
            cost,
            watch: StreamWatch::default(),
            sample: None,
            _admitted: admitted,
        }
    }

    /// Begins the response to the caller.
    pub fn head(&self, worker: &Worker, caller: &Caller) -> ResponseBuilder {
        head(
            worker,
            caller,
            &self.session,
            &self.answer.version,
            EVENT_STREAM,
        )
    }

    /// Relays the answer to its end, whichever that is.
    pub async fn run(
        mut self: Box<Self>,
        worker: Rc<Worker>,
        caller: Caller,
        tx: BodySender,
        mut trace: Trace,
    ) {
        let snapshot = worker.snapshot();
        if is_sampled(&worker, &snapshot, &self.answer.version) {
            self.sample = Some(BytesMut::new());
        }
        trace.record.status = StatusCode::OK.as_u16();
        let end = self.relay(&worker, &caller, &tx, &mut trace).await;
        match end {
            RelayEnd::Whole => {
                trace.record.outcome = Outcome::Done;
                self.answer.succeeded(&worker);
                if let Some(sample) = self.sample.take() {
                    rate_later(&worker, &self.answer.subject, sample.freeze());
                }
            }
            RelayEnd::Cut(message) => {
                let refused = refuse(Outcome::Unknown, Reason::UpstreamFailed, message);
                trace.refused(&refused);
                self.answer.failed(&worker);
                let event = format!("data: {}\n\n", refusal_body(&refused));
                // The error event tells a reader of events, and the body that breaks off
                // tells a reader of bytes, that the answer is not whole.
                let _ = tx.send(Ok(event.into())).await;
                let _ = tx.send(Err(BodyError::Broken)).await;
            }
            RelayEnd::CallerGone => {
                trace.record.outcome = Outcome::Unknown;
                trace.record.reason = Some("caller-gone".to_owned());
            }
        }
        trace.end(&worker.shared, Now::read());
    }

    async fn relay(
        &mut self,
        worker: &Rc<Worker>,
        caller: &Caller,
        tx: &BodySender,
        trace: &mut Trace,
    ) -> RelayEnd {
        let mut next = self.answer.first.take();
        let mut billed = false;
        loop {
            let chunk = match next.take() {
                Some(chunk) => chunk,
                None => match self.next_chunk(caller, tx).await {
                    Ok(Some(chunk)) => chunk,
                    Ok(None) if billed => return RelayEnd::Whole,
                    Ok(None) => return RelayEnd::Cut("the upstream broke the answer off"),
                    Err(end) => return end,
                },
            };
            self.watch.push(&chunk);
            self.keep_sample(&chunk);
            if self.watch.is_done() && !billed {
                billed = true;
                // Boxed, so that a stream does not hold the room of its bill all along.
                Box::pin(self.bill(worker, caller, trace)).await;
            }
            if tx.send(Ok(chunk)).await.is_err() {
                return if billed {
                    RelayEnd::Whole
                } else {
                    RelayEnd::CallerGone
                };
            }
        }
    }

    /// Waits for the next chunk; a caller who goes away ends the wait, and with it the
    /// upstream's work, since the connection is dropped.
    async fn next_chunk(
        &mut self,
        caller: &Caller,
        tx: &BodySender,
    ) -> Result<Option<Bytes>, RelayEnd> {
        let left = caller.time_left(Now::read());
        tokio::select! {
            chunk = self.answer.response.next() => match chunk {
                Some(Ok(chunk)) => Ok(Some(chunk)),
                Some(Err(_)) if self.watch.is_done() => Ok(None),
                Some(Err(_)) => Err(RelayEnd::Cut("the upstream broke the answer off")),
                None => Ok(None),
            },
            () = tx.closed() => Err(RelayEnd::CallerGone),
            () = tokio::time::sleep(left) => Err(RelayEnd::Cut("the deadline passed")),
        }
    }

    fn keep_sample(&mut self, chunk: &Bytes) {
        if let Some(sample) = &mut self.sample
            && sample.len() < RATED_BYTES_LIMIT
        {
            sample.extend_from_slice(chunk);
        }
    }

    async fn bill(&mut self, worker: &Rc<Worker>, caller: &Caller, trace: &mut Trace) {
        if let Some(bundle) = &worker.snapshot().bundle {
            self.cost.add(
                bundle,
                &self.answer.version,
                self.watch.usage().total_tokens,
            );
        }
        bill(worker, caller, &self.answer.version, &self.cost, trace).await;
    }
}
