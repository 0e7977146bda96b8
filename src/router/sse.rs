//! Scans a stream of server-sent events for its end and its token usage, while the bytes are
//! relayed unchanged.

use serde::Deserialize;

const DATA_FIELD: &[u8] = b"data:";
const DONE_MARKER: &[u8] = b"[DONE]";
const USAGE_KEY: &[u8] = b"\"usage\"";
const LINE_MAX_BYTES: usize = 1024 * 1024;

/// The token usage of an answer, as the completions API reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
pub struct Usage {
    /// The tokens of the request and of the answer together.
    #[serde(default)]
    pub total_tokens: u64,
}

#[derive(Deserialize)]
struct Chunk {
    usage: Option<Usage>,
}

/// Scans a stream for its end and its token usage.
#[derive(Debug, Default)]
pub struct StreamScanner {
    line: Vec<u8>,
    usage: Usage,
    done: bool,
}

impl StreamScanner {
    /// Scans the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for segment in bytes.split_inclusive(|byte| *byte == b'\n') {
            if self.line.len() + segment.len() <= LINE_MAX_BYTES {
                self.line.extend_from_slice(segment);
            }
            if segment.ends_with(b"\n") {
                self.parse_line();
            }
        }
    }

    fn parse_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let Some(data) = line.strip_prefix(DATA_FIELD) else {
            return;
        };
        let data = data.trim_ascii();
        if data == DONE_MARKER {
            self.done = true;
        } else if contains(data, USAGE_KEY)
            && let Ok(Chunk { usage: Some(usage) }) = serde_json::from_slice(data)
        {
            self.usage = usage;
        }
    }

    /// Returns whether the answer is complete.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the token usage read so far.
    pub fn usage(&self) -> Usage {
        self.usage
    }
}

fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    haystack
        .windows(needle.len())
        .any(|window| window == needle)
}

/// Returns the token usage of a complete answer, or `None` if the answer is incomplete.
pub fn answer_usage(body: &[u8]) -> Option<Usage> {
    let answer: Chunk = serde_json::from_slice(body).ok()?;
    Some(answer.usage.unwrap_or_default())
}
