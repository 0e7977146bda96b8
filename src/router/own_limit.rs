//! Keeps a thread of a router from taking on more than it can serve in time.
//!
//! A router does not leave the rotation by itself, since it does not know how many others are full.
//! See `docs/design/saturation.md`.

use super::context::Worker;
use crate::clock::{Now, millis};
use crate::http_server::load_shedding::{Lateness, LoadShedder, UnreadConnection};
use crate::saturation::Saturation;
use crate::saturation::sampler::sample_scheduling;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use std::error::Error;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// The delay of a thread that callers bear; a request meets it about ten times on its way.
const TOLERATED_DELAY: Duration = Duration::from_millis(10);

/// What a thread knows of its own limit.
#[derive(Debug, Default)]
pub struct OwnLimit {
    /// How late the thread is by itself.
    pub saturation: Saturation,
    shedder: LoadShedder,
    in_progress: Rc<()>,
}

/// A request in progress, until this is dropped.
#[derive(Debug)]
pub struct RequestInProgress(#[expect(dead_code, reason = "counted")] Rc<()>);

impl OwnLimit {
    /// Admits a new connection, or returns `None` if it has to be closed unread.
    pub fn admit_connection(&self, now: Now) -> Option<UnreadConnection> {
        self.shedder.admit(self.in_progress(), || true, now)
    }

    /// Counts a request as in progress.
    pub fn count_request(&self) -> RequestInProgress {
        RequestInProgress(self.in_progress.clone())
    }

    /// Returns whether callers on open connections should send their next requests elsewhere.
    pub fn is_full(&self, now: Now) -> bool {
        self.shedder.is_full(now)
    }

    fn in_progress(&self) -> u32 {
        let requests = Rc::strong_count(&self.in_progress) - 1;
        u32::try_from(requests).unwrap_or(u32::MAX)
    }
}

impl RequestInProgress {
    /// Lets the request be in progress until the body of its response has been sent.
    pub fn until_end_of(self, body: BoxBody) -> BoxBody {
        CountedBody {
            body,
            in_progress: self,
        }
        .boxed()
    }
}

/// The body of a response to a request in progress.
struct CountedBody {
    body: BoxBody,
    in_progress: RequestInProgress,
}

impl MessageBody for CountedBody {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_next(cx)
    }

    fn try_into_bytes(self) -> Result<Bytes, Self> {
        let in_progress = self.in_progress;
        self.body
            .try_into_bytes()
            .map_err(|body| Self { body, in_progress })
    }
}

/// Watches how late a thread is by itself, and adjusts what it takes on, for as long as it runs.
pub async fn watch_own_limit(worker: Rc<Worker>, thread: usize) {
    let own_limit = &worker.own_limit;
    sample_scheduling(&own_limit.saturation, |now| {
        let delay = own_limit.saturation.current(now);
        let lateness = Lateness::of(delay, TOLERATED_DELAY);
        own_limit
            .shedder
            .adjust(own_limit.in_progress(), lateness, now);
        if let Some(closed_unread) = own_limit.shedder.take_report(lateness, now) {
            log::warn!(
                thread,
                scheduling_ms = millis(delay.scheduling),
                in_progress = own_limit.in_progress(),
                limit = own_limit.shedder.limit().map_or(-1, i64::from),
                closed_unread;
                "this thread is at its own limit"
            );
            worker.shared.metrics.own_limit.record(delay, closed_unread);
        }
    })
    .await;
}
