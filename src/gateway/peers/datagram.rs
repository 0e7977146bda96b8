//! Encoding of messages between boxes as datagrams; larger messages are compressed.
//!
//! Entries of boxes and version counts are repetitive: forty entries shrink from 2,231 bytes to 296
//! (`tests/gateway/datagrams.rs`). Traffic between halls has a price.

use super::packing::{compress_message, decompress_message};
use crate::error::{Error, Result};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Messages of at least this size are compressed; smaller ones contain little repetition.
const COMPRESSION_MIN_BYTES: usize = 256;
/// The largest decoded message, so that a small datagram cannot cause a large allocation by
/// claiming a larger size.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// The first byte of a datagram: the encoding of the rest.
const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;

/// Encodes a message as a datagram.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>> {
    let config = bincode::config::standard();
    let plain = bincode::serde::encode_to_vec(message, config)
        .map_err(|err| Error::Usage(format!("cannot encode the message: {err}")))?;
    let (encoding, body) = match plain.len() {
        ..COMPRESSION_MIN_BYTES => (PLAIN, plain),
        _ => match compress_message(&plain) {
            Ok(compressed) if compressed.len() < plain.len() => (COMPRESSED, compressed),
            // Send it uncompressed if compression does not shrink it.
            Ok(_) | Err(_) => (PLAIN, plain),
        },
    };
    let mut datagram = Vec::with_capacity(1 + body.len());
    datagram.push(encoding);
    datagram.extend_from_slice(&body);
    Ok(datagram)
}

/// Decodes a datagram that [`encode`] made.
pub fn decode<T: DeserializeOwned>(datagram: &[u8]) -> Result<T> {
    let invalid = |reason: String| Error::Usage(format!("invalid datagram: {reason}"));
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let decode_plain = |plain: &[u8]| match bincode::serde::decode_from_slice(plain, config) {
        Ok((message, _)) => Ok(message),
        Err(err) => Err(invalid(err.to_string())),
    };
    match datagram.split_first() {
        Some((&PLAIN, plain)) => decode_plain(plain),
        Some((&COMPRESSED, body)) => {
            let plain = decompress_message(body, MAX_MESSAGE_BYTES);
            decode_plain(&plain.map_err(|err| invalid(err.to_string()))?)
        }
        Some((encoding, _)) => Err(invalid(format!("unknown encoding {encoding}"))),
        None => Err(invalid("the datagram is empty".to_owned())),
    }
}
