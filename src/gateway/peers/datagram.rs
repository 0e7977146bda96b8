//! Messages between boxes as datagrams, the larger ones compressed.
//!
//! Entries of boxes and counts of versions repeat their words: forty entries shrink from
//! 2,231 bytes to 296 (`tests/gateway/datagrams.rs`). Bytes between halls are priced.

use super::packing::{grow, shrink};
use crate::error::{Error, Result};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Messages from this size on are compressed; smaller ones hold little that repeats.
const COMPRESSED_FROM: usize = 256;
/// The largest message, so that a few bytes which claim to be more set no memory aside.
const MOST_BYTES: usize = 256 * 1024;

/// The first byte of a datagram: how the rest is written.
const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;

/// Writes a message as a datagram.
pub fn write(message: &impl Serialize) -> Result<Vec<u8>> {
    let config = bincode::config::standard();
    let plain = bincode::serde::encode_to_vec(message, config)
        .map_err(|err| Error::Usage(format!("a message cannot be written: {err}")))?;
    let (form, body) = match plain.len() {
        ..COMPRESSED_FROM => (PLAIN, plain),
        _ => match shrink(&plain) {
            Ok(compressed) if compressed.len() < plain.len() => (COMPRESSED, compressed),
            // What does not shrink goes as it is.
            Ok(_) | Err(_) => (PLAIN, plain),
        },
    };
    let mut datagram = Vec::with_capacity(1 + body.len());
    datagram.push(form);
    datagram.extend_from_slice(&body);
    Ok(datagram)
}

/// Reads a datagram that [`write`] made.
pub fn read<T: DeserializeOwned>(datagram: &[u8]) -> Result<T> {
    let faulty = |reason: String| Error::Usage(format!("a faulty datagram: {reason}"));
    let config = bincode::config::standard().with_limit::<MOST_BYTES>();
    let decode = |plain: &[u8]| match bincode::serde::decode_from_slice(plain, config) {
        Ok((message, _)) => Ok(message),
        Err(err) => Err(faulty(err.to_string())),
    };
    match datagram.split_first() {
        Some((&PLAIN, plain)) => decode(plain),
        Some((&COMPRESSED, body)) => {
            let plain = grow(body, MOST_BYTES);
            decode(&plain.map_err(|err| faulty(err.to_string()))?)
        }
        Some((form, _)) => Err(faulty(format!("its form is {form}"))),
        None => Err(faulty("it is empty".to_owned())),
    }
}
