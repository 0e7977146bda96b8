//! Protocol between the fleet's processes: `bincode` messages on HTTP/2 streams over mutual TLS.
//!
//! Both peers prove by certificate that they belong to the same fleet. Each message has a version
//! byte, a size limit and a deadline. See `docs/design/wire.md`.

pub mod client;
pub mod message;
pub mod server;
pub mod tls;

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bytes::{Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;

/// Maximum size of a message in bytes.
pub const MESSAGE_BYTES_LIMIT: usize = 8 * 1024 * 1024;

/// Version of the message format; both peers must use the same one.
pub const FORMAT_VERSION: u8 = 1;

/// Size of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;

type Codec = Configuration<LittleEndian, Varint, Limit<MESSAGE_BYTES_LIMIT>>;

const CODEC: Codec = bincode::config::standard().with_limit::<MESSAGE_BYTES_LIMIT>();

/// Why a call to another process of the fleet got no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WireError {
    /// The call was not sent, so it had no effect.
    NotSent(String),
    /// The call was sent, but no valid response came in time.
    NoAnswer(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "cannot connect: {reason}"),
            Self::NoAnswer(reason) => write!(f, "no answer: {reason}"),
        }
    }
}

impl std::error::Error for WireError {}

/// Encodes a message with its version byte.
pub fn encode(message: &impl Serialize) -> Result<Bytes, WireError> {
    let mut buf = vec![FORMAT_VERSION];
    bincode::serde::encode_into_std_write(message, &mut buf, CODEC)
        .map_err(|err| WireError::NotSent(format!("failed to encode the message: {err}")))?;
    Ok(buf.into())
}

/// Decodes a message that was encoded by [`encode`].
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T, WireError> {
    let Some((&version, rest)) = buf.split_first() else {
        return Err(WireError::NoAnswer("the message is empty".to_owned()));
    };
    if version != FORMAT_VERSION {
        return Err(WireError::NoAnswer(format!(
            "the message has format version {version}, expected {FORMAT_VERSION}"
        )));
    }
    let (message, used) = bincode::serde::decode_from_slice(rest, CODEC)
        .map_err(|err| WireError::NoAnswer(format!("failed to decode the message: {err}")))?;
    if used != rest.len() {
        return Err(WireError::NoAnswer(
            "the message has trailing bytes".to_owned(),
        ));
    }
    Ok(message)
}

/// Encodes a message as a frame of a message stream: its length in bytes, then the message.
fn encode_frame(message: &impl Serialize) -> Result<Bytes, WireError> {
    let body = encode(message)?;
    let length = u32::try_from(body.len())
        .map_err(|_| WireError::NotSent("the message is too large".to_owned()))?;
    let mut buf = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    buf.extend_from_slice(&length.to_le_bytes());
    buf.extend_from_slice(&body);
    Ok(buf.freeze())
}

/// Removes the first message from a buffer, if its frame is complete.
fn split_frame(buf: &mut BytesMut) -> Result<Option<Bytes>, WireError> {
    let Some(length) = buf.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*length);
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if length > MESSAGE_BYTES_LIMIT {
        return Err(WireError::NoAnswer(format!(
            "a frame of {length} bytes exceeds the limit of {MESSAGE_BYTES_LIMIT}"
        )));
    }
    if buf.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    let mut frame = buf.split_to(LENGTH_BYTES + length);
    Ok(Some(frame.split_off(LENGTH_BYTES).freeze()))
}

/// Reads a whole body, releasing its flow-control window chunk by chunk.
pub(crate) async fn read_body(body: &mut h2::RecvStream) -> Result<Bytes, WireError> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = body.data().await {
        append_chunk(body, &mut buf, chunk)?;
    }
    Ok(buf.freeze())
}

/// Appends a chunk of a body to a buffer, and releases its flow-control window.
pub(crate) fn append_chunk(
    body: &mut h2::RecvStream,
    buf: &mut BytesMut,
    chunk: Result<Bytes, h2::Error>,
) -> Result<(), WireError> {
    let chunk = chunk.map_err(|err| WireError::NoAnswer(err.to_string()))?;
    release_window(body, chunk.len())?;
    if buf.len() + chunk.len() > MESSAGE_BYTES_LIMIT {
        return Err(WireError::NoAnswer("the message is too large".to_owned()));
    }
    buf.extend_from_slice(&chunk);
    Ok(())
}

fn release_window(body: &mut h2::RecvStream, bytes: usize) -> Result<(), WireError> {
    body.flow_control()
        .release_capacity(bytes)
        .map_err(|err| WireError::NoAnswer(err.to_string()))
}
