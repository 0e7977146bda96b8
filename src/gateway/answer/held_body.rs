//! The body of a buffered answer whose bytes are counted until the caller has taken them.

use super::held_memory::{PIECE_BYTES, RequestAccount};
use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A body that is handed to the caller's connection in pieces, so that the connection does not
/// copy all of it.
#[derive(Debug)]
pub struct HeldBody {
    left: Bytes,
    account: Rc<RequestAccount>,
}

impl HeldBody {
    /// Creates a body whose bytes the account holds already.
    pub fn new(bytes: Bytes, account: Rc<RequestAccount>) -> Self {
        Self {
            left: bytes,
            account,
        }
    }
}

impl MessageBody for HeldBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.left.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        self.account.record_progress();
        if self.left.is_empty() {
            return Poll::Ready(None);
        }
        let len = self.left.len().min(PIECE_BYTES);
        let piece = self.left.split_to(len);
        self.account.wait_for_caller();
        Poll::Ready(Some(Ok(piece)))
    }
}
