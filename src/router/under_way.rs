//! Counts the requests whose answers are under way, so that a stopping router knows when it
//! has finished.

use actix_http::Response;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use std::error::Error;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

/// The number of requests whose answers have not reached their end.
#[derive(Debug, Clone, Default)]
pub struct UnderWay(Arc<AtomicUsize>);

/// Counts one request out when it is dropped.
#[derive(Debug)]
pub struct Counted(UnderWay);

impl UnderWay {
    /// Counts a request in until the guard is dropped.
    pub fn enter(&self) -> Counted {
        self.0.fetch_add(1, Ordering::Relaxed);
        Counted(self.clone())
    }

    /// Returns the number of requests under way.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        (self.0).0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Keeps a request counted until its answer's body was sent or dropped.
pub fn until_sent(response: Response<BoxBody>, counted: Counted) -> Response<BoxBody> {
    response.map_body(|_head, body| {
        let counted_body = CountedBody {
            body,
            _counted: counted,
        };
        counted_body.boxed()
    })
}

struct CountedBody {
    body: BoxBody,
    _counted: Counted,
}

impl MessageBody for CountedBody {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}
