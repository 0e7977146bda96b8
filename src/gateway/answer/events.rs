//! Splits a stream of server-sent events into complete events.
//!
//! Only complete events are relayed, so that a stream that breaks off inside an event can be
//! resumed at another upstream after the last event that the caller has.

use bytes::{Bytes, BytesMut};

/// The size limit of an incomplete event; an upstream that exceeds it is assumed to send something
/// other than events.
const EVENT_BYTES_LIMIT: usize = 1024 * 1024;
const ID_FIELD: &[u8] = b"id:";
/// Begins a line that is no part of an event.
const COMMENT: &[u8] = b":";

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// How many bytes were searched for the ends of lines.
    searched: usize,
    /// Where the line begins that has not ended.
    line_start: usize,
}

impl Events {
    /// Puts bytes that came before in front.
    pub fn prepend(&mut self, earlier: &[u8]) {
        if !earlier.is_empty() {
            self.bytes = [earlier, &self.bytes].concat().into();
        }
    }
}

/// Complete events, as they were received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Events {
    /// The bytes of the events.
    pub bytes: Bytes,
    /// The number of events; none where they are empty lines and comments only.
    pub count: usize,
    /// The id of the last event that has one.
    pub last_id: Option<String>,
}

/// An incomplete event exceeded the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

impl EventSplitter {
    /// Adds the next bytes and returns the events that are complete now, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, EventTooLarge> {
        self.buf.extend_from_slice(bytes);
        let complete_len = self.end_of_last_event();
        if complete_len == 0 {
            return match self.buf.len() > EVENT_BYTES_LIMIT {
                true => Err(EventTooLarge),
                false => Ok(None),
            };
        }
        let bytes = self.buf.split_to(complete_len).freeze();
        self.searched -= complete_len;
        self.line_start -= complete_len;
        Ok(Some(parse_events(bytes)))
    }

    /// Returns the offset just after the last complete event, which an empty line ends. Each byte is
    /// searched once.
    fn end_of_last_event(&mut self) -> usize {
        let mut end = 0;
        for offset in self.searched..self.buf.len() {
            if self.buf.get(offset) != Some(&b'\n') {
                continue;
            }
            let line = self.buf.get(self.line_start..offset).unwrap_or_default();
            if line.is_empty() || line == b"\r" {
                end = offset + 1;
            }
            self.line_start = offset + 1;
        }
        self.searched = self.buf.len();
        end
    }

    /// Returns the number of bytes of the event that has begun and not ended.
    pub fn pending_len(&self) -> usize {
        self.buf.len()
    }

    /// Returns whether an event has begun and not ended.
    pub fn is_inside_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// Counts complete events and finds the last id among them.
fn parse_events(bytes: Bytes) -> Events {
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
        has_content |= !line.starts_with(COMMENT);
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
