//! Compact encoding of items that boxes send each other.
//!
//! A configuration of a megabyte occupies a link of 10 Mbit/s for 0.84 s, and every change of it
//! contains the complete configuration. With 4,200 routes, 1,400 of them new, compression leaves 57
//! kB and a delta to the receiver's version 20 kB; a change that leaves the routes as they are
//! takes 300 bytes, which fits into a datagram (measured by `tests/gateway/packing.rs`). See
//! `docs/design/spreading.md`.

use crate::gateway::control::store::Item;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::io::{Read as _, Write as _};
use zstd::stream::{Decoder, Encoder};

/// Values of at least this size are compressed; for smaller ones there is little gain.
pub const COMPRESSION_MIN_BYTES: usize = 1024;
/// The largest value that is accepted. The store holds values of at most a megabyte; a sender that
/// announces more is faulty, and no memory is allocated for it.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// Level 3 compresses a megabyte in about 5 ms. Higher levels save a tenth of the bytes for several
/// times the work, and a box may have only an eighth of a core.
const ITEM_COMPRESSION_LEVEL: i32 = 3;
/// The level for whole messages, which are compressed for each receiver.
const MESSAGE_COMPRESSION_LEVEL: i32 = 1;
/// The smallest window that the library supports, as a power of two.
const MIN_WINDOW_LOG: u32 = 10;

/// An item in transfer to another box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedItem {
    /// The item's key.
    pub key: String,
    /// The store revision of the last change.
    pub revision: u64,
    /// The store revision at which the item was created.
    pub created: u64,
    content: Content,
}

/// The encoded value of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Content {
    /// The item is deleted.
    Deleted,
    /// The uncompressed value.
    Plain(Vec<u8>),
    /// The compressed value, and the length of the uncompressed one.
    Compressed { len: usize, bytes: Vec<u8> },
    /// The value as a compressed delta to the item at revision `base`.
    Delta {
        base: u64,
        len: usize,
        bytes: Vec<u8>,
    },
}

/// Why a received item is unusable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnpackError {
    /// It is a delta to a state that this box does not have.
    BaseMismatch,
    /// Its length in bytes exceeds the limit.
    TooLarge(usize),
    /// Its bytes are corrupt or truncated.
    Corrupt(String),
}

impl fmt::Display for UnpackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BaseMismatch => write!(
                f,
                "the delta is based on a state that this box does not have"
            ),
            Self::TooLarge(len) => write!(f, "its length of {len} bytes exceeds the limit"),
            Self::Corrupt(reason) => write!(f, "it is corrupt: {reason}"),
        }
    }
}

impl std::error::Error for UnpackError {}

impl PackedItem {
    /// Packs an item for a box that has it in the state `base`, or does not have it.
    ///
    /// An item that cannot be compressed is sent uncompressed.
    pub fn pack(item: &Item, base: Option<&Item>) -> Self {
        let content = match &item.value {
            None => Content::Deleted,
            Some(value) if value.len() < COMPRESSION_MIN_BYTES => Content::Plain(value.clone()),
            Some(value) => compress(value, base).unwrap_or_else(|err| {
                log::warn!(item = item.key.as_str(); "cannot compress the item, sending it uncompressed: {err}");
                Content::Plain(value.clone())
            }),
        };
        Self {
            key: item.key.clone(),
            revision: item.revision,
            created: item.created,
            content,
        }
    }

    /// Unpacks the item; `known` is this box's state of it.
    pub fn unpack(self, known: Option<&Item>) -> Result<Item, UnpackError> {
        let value = match self.content {
            Content::Deleted => None,
            Content::Plain(value) => Some(value),
            Content::Compressed { len, bytes } => Some(decompress(&bytes, len, &[])?),
            Content::Delta { base, len, bytes } => {
                let known = known.filter(|known| known.revision == base);
                let known = known.and_then(|known| known.value.as_deref());
                let known = known.ok_or(UnpackError::BaseMismatch)?;
                Some(decompress(&bytes, len, known)?)
            }
        };
        Ok(Item {
            key: self.key,
            value,
            revision: self.revision,
            created: self.created,
        })
    }

    /// Returns whether packing took an effort that is worth keeping the result for.
    pub fn is_compressed(&self) -> bool {
        matches!(
            self.content,
            Content::Compressed { .. } | Content::Delta { .. }
        )
    }

    /// Returns the revision of the state that a receiver must have; `None` if it needs none.
    pub fn base(&self) -> Option<u64> {
        match self.content {
            Content::Delta { base, .. } => Some(base),
            Content::Deleted | Content::Plain(_) | Content::Compressed { .. } => None,
        }
    }

    /// Returns the approximate size of the packed item in bytes, without its small header.
    pub fn len(&self) -> usize {
        let content = match &self.content {
            Content::Deleted => 0,
            Content::Plain(bytes)
            | Content::Compressed { bytes, .. }
            | Content::Delta { bytes, .. } => bytes.len(),
        };
        self.key.len() + content
    }

    /// Returns whether the packed item takes no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Compresses a whole message, since entries of upstreams and boxes are repetitive.
pub fn compress_message(message: &[u8]) -> std::io::Result<Vec<u8>> {
    zstd::bulk::compress(message, MESSAGE_COMPRESSION_LEVEL)
}

/// Decompresses a message that [`compress_message`] made, if it has at most `max_bytes`.
pub fn decompress_message(bytes: &[u8], max_bytes: usize) -> Result<Vec<u8>, UnpackError> {
    let len = zstd::zstd_safe::get_frame_content_size(bytes)
        .ok()
        .flatten()
        .and_then(|len| usize::try_from(len).ok())
        .ok_or_else(|| UnpackError::Corrupt("its length is missing".to_owned()))?;
    if len > max_bytes {
        return Err(UnpackError::TooLarge(len));
    }
    zstd::bulk::decompress(bytes, len).map_err(|err| UnpackError::Corrupt(err.to_string()))
}

fn compress(value: &[u8], base: Option<&Item>) -> std::io::Result<Content> {
    let len = value.len();
    let known = base.and_then(|base| Some((base.revision, base.value.as_deref()?)));
    Ok(match known {
        Some((base, known)) => Content::Delta {
            base,
            len,
            bytes: compress_with_base(value, known)?,
        },
        None => Content::Compressed {
            len,
            bytes: compress_with_base(value, &[])?,
        },
    })
}

/// Compresses a value for a receiver that has `known`.
fn compress_with_base(value: &[u8], known: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = match known {
        [] => Encoder::new(Vec::new(), ITEM_COMPRESSION_LEVEL)?,
        known => Encoder::with_ref_prefix(Vec::new(), ITEM_COMPRESSION_LEVEL, known)?,
    };
    // With a checksum, so that corrupted bytes are never taken for a value.
    encoder.include_checksum(true)?;
    encoder.set_pledged_src_size(u64::try_from(value.len()).ok())?;
    if !known.is_empty() {
        // Matching parts are about as far back as the known state is long.
        let reach = (known.len() + value.len()).next_power_of_two();
        encoder.window_log(reach.ilog2().max(MIN_WINDOW_LOG))?;
        encoder.long_distance_matching(true)?;
    }
    encoder.write_all(value)?;
    encoder.finish()
}

fn decompress(bytes: &[u8], len: usize, known: &[u8]) -> Result<Vec<u8>, UnpackError> {
    if len > MAX_VALUE_BYTES {
        return Err(UnpackError::TooLarge(len));
    }
    let mut value = Vec::with_capacity(len);
    let max_bytes = u64::try_from(len).unwrap_or(u64::MAX).saturating_add(1);
    let read =
        decoder(bytes, known).and_then(|decoder| decoder.take(max_bytes).read_to_end(&mut value));
    match read {
        Ok(_) if value.len() == len => Ok(value),
        Ok(_) => Err(UnpackError::Corrupt(format!(
            "its length is not {len} bytes"
        ))),
        Err(err) => Err(UnpackError::Corrupt(err.to_string())),
    }
}

fn decoder<'a>(bytes: &'a [u8], known: &'a [u8]) -> std::io::Result<Decoder<'a, &'a [u8]>> {
    match known {
        [] => Decoder::with_buffer(bytes),
        known => Decoder::with_ref_prefix(bytes, known),
    }
}
