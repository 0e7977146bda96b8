//! Cuts a stream of server-sent events into whole events.
//!
//! Events are relayed whole, so that a stream which breaks off in the middle of one can
//! go on at another upstream after the last one that the caller has.

use bytes::{Bytes, BytesMut};

/// The most bytes that an unfinished event may take; an upstream that sends more is
/// taken to send something else.
const EVENT_BYTES_LIMIT: usize = 1024 * 1024;
const ID_FIELD: &[u8] = b"id:";

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
}

/// Whole events, as they came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Events {
    /// Their bytes.
    pub bytes: Bytes,
    /// The number of events.
    pub count: usize,
    /// The id of the last one that has an id.
    pub last_id: Option<String>,
}

/// An unfinished event grew past the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

impl EventSplitter {
    /// Takes the next bytes and returns the events that are whole now, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, EventTooLarge> {
        self.buf.extend_from_slice(bytes);
        let whole = end_of_last_event(&self.buf);
        if whole == 0 {
            return match self.buf.len() > EVENT_BYTES_LIMIT {
                true => Err(EventTooLarge),
                false => Ok(None),
            };
        }
        let bytes = self.buf.split_to(whole).freeze();
        Ok(Some(describe(bytes)))
    }

    /// Tells whether an event has begun and not ended.
    pub fn is_inside_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// Returns where the last whole event ends: behind an empty line.
fn end_of_last_event(buf: &[u8]) -> usize {
    let mut end = 0;
    let mut line_start = 0;
    for (at, byte) in buf.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = buf.get(line_start..at).unwrap_or_default();
        if line.is_empty() || line == b"\r" {
            end = at + 1;
        }
        line_start = at + 1;
    }
    end
}

fn describe(bytes: Bytes) -> Events {
    let mut count = 0;
    let mut has_content = false;
    let mut last_id = None;
    for line in bytes.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            count += usize::from(has_content);
            has_content = false;
            continue;
        }
        has_content = true;
        if let Some(id) = line.strip_prefix(ID_FIELD) {
            last_id = Some(String::from_utf8_lossy(id.trim_ascii()).into_owned());
        }
    }
    Events {
        bytes,
        count,
        last_id,
    }
}
