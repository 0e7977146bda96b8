//! Reads bodies with limits, and creates bodies that another task fills.

use crate::clock::Now;
use crate::late_reading::LateReading;
use actix_http::body::{BodyStream, BoxBody, MessageBody as _};
use actix_http::error::PayloadError;
use awc::ClientResponse;
use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt as _, stream};
use std::fmt;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// The largest complete response that is held in memory.
pub const RESPONSE_MAX_BYTES: usize = 8 * 1024 * 1024;

/// An upstream's response whose body has not been read yet.
pub type UpstreamResponse = ClientResponse;

/// Why a body could not be read completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The sender interrupted the body, or sent invalid framing.
    Interrupted,
    /// The body was not received within the time limit.
    TimedOut,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "the body is larger than the limit",
            Self::Interrupted => "the body was interrupted",
            Self::TimedOut => "the body was not received in time",
        })
    }
}

impl std::error::Error for BodyError {}

/// Reads a complete body within a size limit and a time limit.
pub async fn read_full_body<S>(
    body: &mut S,
    max_bytes: usize,
    time_limit: Duration,
) -> Result<Bytes, BodyError>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let read = async {
        let mut buf = BytesMut::new();
        while let Some(chunk) = body.next().await {
            let chunk = chunk.map_err(|_| BodyError::Interrupted)?;
            if buf.len() + chunk.len() > max_bytes {
                return Err(BodyError::TooLarge);
            }
            buf.extend_from_slice(&chunk);
        }
        Ok(buf.freeze())
    };
    timeout(time_limit, read)
        .await
        .unwrap_or(Err(BodyError::TimedOut))
}

/// Relays a body until its end, or until its sender still sends after the deadline. `time_left`
/// returns the time until the deadline, and `stated_bytes` is the length that the sender stated.
pub fn relay_until_deadline<S>(
    body: S,
    stated_bytes: Option<u64>,
    time_left: impl Fn(Now) -> Duration,
) -> impl Stream<Item = Result<Bytes, BodyError>>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let start = Some((body, LateReading::new(stated_bytes), time_left));
    stream::unfold(start, |state| async move {
        let (mut body, mut late, time_left) = state?;
        let began = Now::read();
        let left = time_left(began);
        let Some(longest) = late.longest_wait(left) else {
            return Some((Err(BodyError::TimedOut), None));
        };
        match timeout(longest, body.next()).await {
            Ok(Some(Ok(chunk))) => {
                let waited = Now::read().monotonic.saturating_sub(began.monotonic);
                late.record(chunk.len(), waited, left);
                Some((Ok(chunk), Some((body, late, time_left))))
            }
            Ok(Some(Err(_))) => Some((Err(BodyError::Interrupted), None)),
            Ok(None) => None,
            Err(_elapsed) => Some((Err(BodyError::TimedOut), None)),
        }
    })
}

/// The sending side of a body that a task fills. Sending waits until the caller has read the
/// previous chunk, so a slow caller slows the upstream down.
pub type BodySender = mpsc::Sender<Result<Bytes, BodyError>>;

/// Creates a body that a task fills.
pub fn channel_body() -> (BodySender, BoxBody) {
    let (tx, mut rx) = mpsc::channel(1);
    let chunks = stream::poll_fn(move |cx| rx.poll_recv(cx));
    (tx, BodyStream::new(chunks).boxed())
}
