//! Items as boxes send them to each other: small.
//!
//! A configuration of a megabyte takes a link of 10 Mbit/s for 0.84 s, and every change of
//! it carries the whole of it. Of 4,200 routes, 1,400 of them new, compression leaves
//! 57 kB; told apart from the version that the receiver has, 20 kB, and a change that leaves
//! them as they are 300 bytes, which fits a datagram (`tests/gateway/packing.rs` measures it).
//! See `docs/design/spreading.md`.

use crate::gateway::control::store::Item;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::io::{Read as _, Write as _};
use zstd::stream::{Decoder, Encoder};

/// Values from this size on are compressed; below it there is little to gain.
pub const COMPRESSED_FROM: usize = 1024;
/// The largest value that is taken. The store holds values of a megabyte at most; a
/// sender that announces more is at fault, and no memory is set aside for it.
pub const MOST_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// Level 3 packs a megabyte in some 5 ms; higher ones save a tenth of the bytes for several
/// times the work, and a box may have an eighth of a core.
const LEVEL: i32 = 3;
/// The level for whole messages, which are packed anew for each receiver.
const MESSAGE_LEVEL: i32 = 1;
/// The least window that the library takes, as a power of two.
const LEAST_WINDOW_LOG: u32 = 10;

/// One item on its way to another box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedItem {
    /// The item's key.
    pub key: String,
    /// The store's revision of the last change.
    pub revision: u64,
    /// The store's revision at which the item was made.
    pub created: u64,
    content: Content,
}

/// An item's bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Content {
    /// The item is gone.
    Gone,
    /// The bytes as they are.
    Plain(Vec<u8>),
    /// The bytes compressed, and how many they are.
    Compressed { len: usize, bytes: Vec<u8> },
    /// The same, told apart from the item at the revision `base`.
    Difference {
        base: u64,
        len: usize,
        bytes: Vec<u8>,
    },
}

/// Why an item that came cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unusable {
    /// It is told apart from a state that this box does not have.
    OtherBase,
    /// It has so many bytes, more than any may have.
    TooLarge(usize),
    /// Its bytes are spoilt or cut short.
    Spoilt(String),
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OtherBase => write!(f, "it builds on a state that this box does not have"),
            Self::TooLarge(len) => write!(f, "{len} bytes are more than is taken"),
            Self::Spoilt(reason) => write!(f, "it is spoilt: {reason}"),
        }
    }
}

impl std::error::Error for Unusable {}

impl PackedItem {
    /// Packs an item for a box that has it in the state `base`, or has none of it.
    ///
    /// An item that cannot be compressed is sent as it is.
    pub fn pack(item: &Item, base: Option<&Item>) -> Self {
        let content = match &item.value {
            None => Content::Gone,
            Some(value) if value.len() < COMPRESSED_FROM => Content::Plain(value.clone()),
            Some(value) => compress(value, base).unwrap_or_else(|err| {
                log::warn!(item = item.key.as_str(); "sent as it is, it cannot be compressed: {err}");
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

    /// Returns the item; `known` is what this box has under its key.
    pub fn unpack(self, known: Option<&Item>) -> Result<Item, Unusable> {
        let value = match self.content {
            Content::Gone => None,
            Content::Plain(value) => Some(value),
            Content::Compressed { len, bytes } => Some(decompress(&bytes, len, &[])?),
            Content::Difference { base, len, bytes } => {
                let known = known.filter(|known| known.revision == base);
                let known = known.and_then(|known| known.value.as_deref());
                let known = known.ok_or(Unusable::OtherBase)?;
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

    /// Returns the bytes that the item takes on its way, but for a few of its head.
    pub fn len(&self) -> usize {
        let content = match &self.content {
            Content::Gone => 0,
            Content::Plain(bytes)
            | Content::Compressed { bytes, .. }
            | Content::Difference { bytes, .. } => bytes.len(),
        };
        self.key.len() + content
    }

    /// Tells whether the item takes no bytes at all.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Compresses a whole message: entries of upstreams and boxes repeat their words.
pub fn shrink(message: &[u8]) -> std::io::Result<Vec<u8>> {
    zstd::bulk::compress(message, MESSAGE_LEVEL)
}

/// Returns the message that [`shrink`] made these bytes of, if it has no more bytes than
/// `most`.
pub fn grow(bytes: &[u8], most: usize) -> Result<Vec<u8>, Unusable> {
    let len = zstd::zstd_safe::get_frame_content_size(bytes)
        .ok()
        .flatten()
        .and_then(|len| usize::try_from(len).ok())
        .ok_or_else(|| Unusable::Spoilt("it does not tell its length".to_owned()))?;
    if len > most {
        return Err(Unusable::TooLarge(len));
    }
    zstd::bulk::decompress(bytes, len).map_err(|err| Unusable::Spoilt(err.to_string()))
}

fn compress(value: &[u8], base: Option<&Item>) -> std::io::Result<Content> {
    let len = value.len();
    let known = base.and_then(|base| Some((base.revision, base.value.as_deref()?)));
    Ok(match known {
        Some((base, known)) => Content::Difference {
            base,
            len,
            bytes: compress_against(value, known)?,
        },
        None => Content::Compressed {
            len,
            bytes: compress_against(value, &[])?,
        },
    })
}

/// Compresses a value for a receiver that has `known`.
fn compress_against(value: &[u8], known: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = match known {
        [] => Encoder::new(Vec::new(), LEVEL)?,
        known => Encoder::with_ref_prefix(Vec::new(), LEVEL, known)?,
    };
    // A checksum, so that bytes which were spoilt on the way are never taken for a value.
    encoder.include_checksum(true)?;
    encoder.set_pledged_src_size(u64::try_from(value.len()).ok())?;
    if !known.is_empty() {
        // What is the same stands about as far back as the known state is long.
        let reach = (known.len() + value.len()).next_power_of_two();
        encoder.window_log(reach.ilog2().max(LEAST_WINDOW_LOG))?;
        encoder.long_distance_matching(true)?;
    }
    encoder.write_all(value)?;
    encoder.finish()
}

fn decompress(bytes: &[u8], len: usize, known: &[u8]) -> Result<Vec<u8>, Unusable> {
    if len > MOST_VALUE_BYTES {
        return Err(Unusable::TooLarge(len));
    }
    let mut value = Vec::with_capacity(len);
    let most = u64::try_from(len).unwrap_or(u64::MAX).saturating_add(1);
    let read = decoder(bytes, known).and_then(|decoder| decoder.take(most).read_to_end(&mut value));
    match read {
        Ok(_) if value.len() == len => Ok(value),
        Ok(_) => Err(Unusable::Spoilt(format!("it does not have {len} bytes"))),
        Err(err) => Err(Unusable::Spoilt(err.to_string())),
    }
}

fn decoder<'a>(bytes: &'a [u8], known: &'a [u8]) -> std::io::Result<Decoder<'a, &'a [u8]>> {
    match known {
        [] => Decoder::with_buffer(bytes),
        known => Decoder::with_ref_prefix(bytes, known),
    }
}
