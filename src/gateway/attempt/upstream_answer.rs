//! The answer of an upstream: its head, and a body that is read piece by piece.

use super::connect::ConnectionPool;
use super::connection::{Connection, http1_types};
use super::connection_age::parse_keep_alive;
use super::response_timeout::{ResponseTimeout, WatchedUpstream, with_response_timeout};
use super::upstream::{PendingPrefill, Upstream};
use super::upstream_stream::ConnectionPath;
use crate::clock::Now;
use crate::gateway::place::slots::HeldSlot;
use crate::routing::placement::LoadGuard;
use crate::saturation::Saturation;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use std::rc::Rc;
use std::time::Duration;

const KEEP_ALIVE: &str = "keep-alive";

/// An upstream's answer whose body has still to be read.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: http1_types::HeaderMap,
    /// When the try began.
    pub sent_at: Duration,
    /// How long the upstream took from the complete request to the head of the answer.
    pub head_took: Duration,
    /// The prompt tokens whose prefill the time to the first event measures; `None` if it measures
    /// none.
    pub measured_tokens: Option<f64>,
    pub(super) body: Incoming,
    pub(super) connection: Option<Connection>,
    pub(super) path: ConnectionPath,
    pub(super) upstream: Rc<Upstream>,
    pub(super) saturation: Rc<Saturation>,
    pub(super) pending_prefill: Option<PendingPrefill>,
    pub(super) slot: Option<HeldSlot>,
    pub(super) _load: LoadGuard,
}

/// The next chunk of a body.
#[derive(Debug)]
pub enum BodyChunk {
    /// Data.
    Bytes(Bytes),
    /// The body is complete.
    End,
    /// The body ended early.
    Broken(String),
}

/// What was read of a body.
#[derive(Debug)]
pub enum ReadBody {
    /// All of it.
    Whole(Bytes),
    /// The first bytes of a body that is longer than the limit.
    Longer(Bytes),
}

impl Answer {
    /// Reads the next chunk of the body; `None` on a timeout.
    pub async fn next_chunk_within(
        &mut self,
        connections: &ConnectionPool,
        timeout: ResponseTimeout,
    ) -> Option<BodyChunk> {
        let (upstream, path) = (self.upstream.clone(), self.path.clone());
        let watched = WatchedUpstream {
            connections,
            upstream: &upstream,
            path: &path,
        };
        with_response_timeout(watched, timeout, self.next_chunk()).await
    }

    /// Reads the next chunk of the body.
    pub async fn next_chunk(&mut self) -> BodyChunk {
        loop {
            let frame = self.body.frame().await;
            self.upstream.record_data_received(Now::read());
            match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => return BodyChunk::Bytes(bytes),
                    Err(_trailers) => {}
                },
                Some(Err(err)) => return BodyChunk::Broken(err.to_string()),
                None => {
                    if let Some(slot) = &self.slot {
                        slot.record_answered(Now::read());
                    }
                    return BodyChunk::End;
                }
            }
        }
    }

    /// Returns the length of the body, if the upstream has stated it.
    pub fn body_len(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Reads the whole body, or returns why it is incomplete.
    pub async fn read_whole(&mut self, limit: usize) -> Result<Bytes, String> {
        match self.read_up_to(limit).await? {
            ReadBody::Whole(bytes) => Ok(bytes),
            ReadBody::Longer(_) => Err(format!("the answer is larger than {limit} bytes")),
        }
    }

    /// Reads the body to its end, or until it is longer than `limit`.
    pub async fn read_up_to(&mut self, limit: usize) -> Result<ReadBody, String> {
        let mut read = bytes::BytesMut::new();
        loop {
            match self.next_chunk().await {
                BodyChunk::Bytes(bytes) => {
                    read.extend_from_slice(&bytes);
                    if read.len() > limit {
                        return Ok(ReadBody::Longer(read.freeze()));
                    }
                }
                BodyChunk::End => return Ok(ReadBody::Whole(read.freeze())),
                BodyChunk::Broken(reason) => return Err(reason),
            }
        }
    }

    /// Records that the first event arrived, so that the prefill is over.
    pub fn finish_prefill(&mut self) {
        self.pending_prefill = None;
    }

    /// Returns by which way the answer comes.
    pub fn path(&self) -> &ConnectionPath {
        &self.path
    }

    /// Returns whether its times are the upstream's alone, and not those of another box or of this
    /// box as well.
    pub fn has_upstream_times(&self, now: Now) -> bool {
        self.path.peer().is_none() && !self.saturation.was_late_since(self.sent_at, now)
    }

    /// Records that the upstream did not answer in time or broke off, unless the way to it was lost
    /// or this box was late by itself.
    pub fn record_lost(&self, now: Now) {
        if !self.saturation.was_late_since(self.sent_at, now) {
            self.record_failure(now);
        }
    }

    /// Records that the upstream failed to answer, unless the way to it was lost.
    pub fn record_failure(&self, now: Now) {
        if !self.path.was_lost() {
            self.upstream.record_failure(now);
        }
    }

    /// Returns the upstream that sent the answer.
    pub fn upstream(&self) -> &Rc<Upstream> {
        &self.upstream
    }

    /// Returns the connection to the pool after a complete body, unless the upstream closes it.
    pub fn finish(mut self, connections: &ConnectionPool, now: Now) {
        self.upstream.record_success(now);
        if let Some(connection) = self.connection.take()
            && !closes(&self.headers)
        {
            let keep_alive = keep_alive(&self.headers);
            connections.release_after_answer(&self.upstream, connection, keep_alive, now);
        }
    }
}

/// Returns whether the upstream closes the connection after this answer.
pub fn closes(received: &http1_types::HeaderMap) -> bool {
    let connection = received.get(hyper::header::CONNECTION);
    connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Returns for how long the upstream states that it keeps idle connections.
pub fn keep_alive(received: &http1_types::HeaderMap) -> Option<Duration> {
    let stated = received.get(KEEP_ALIVE)?;
    parse_keep_alive(stated.to_str().ok()?)
}
