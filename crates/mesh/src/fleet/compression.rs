//! Compression of configurations that are sent to peers.
//!
//! A version that adds a thousand routes is some 170 KB, and twenty daemons of a zone request it
//! from its two followers within a moment. Over a link of 9 Mbit/s that takes over 3 s, while a
//! version has to be in force within 2.5 s. Names of routes, hosts and policies repeat, so fast
//! compression makes it several times smaller. The result is cached, since most peers request the
//! same.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use stoatstep_membership::ConfigId;

use crate::wire::Newer;

/// Size from which compression saves more time on a slow link than it takes.
const MIN_SIZE: usize = 4 << 10;

/// Largest configuration accepted from a peer: four times one of 2,000 routes. It keeps a faulty
/// peer from exhausting the memory.
const MAX_DECOMPRESSED_SIZE: u64 = 4 << 20;

/// Compressed update from one configuration to another.
pub(super) struct CompressedUpdate {
    pub(super) from: ConfigId,
    pub(super) to: ConfigId,
    pub(super) bytes: Bytes,
}

/// Compresses an answer if it is large enough to be worth it.
pub(super) fn compress(newer: Newer) -> Newer {
    let plain = rmp_serde::to_vec(&newer).expect("plain data always encodes");
    if plain.len() < MIN_SIZE {
        return newer;
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(&plain).and_then(|()| encoder.finish());
    // Writing to memory does not fail; if it did, the uncompressed answer would do as well.
    written.map_or(newer, |bytes| Newer::Packed(bytes.into()))
}

/// Decompresses an answer of [`compress`].
///
/// # Errors
///
/// If the bytes are not a valid compressed answer, or exceed the size limit.
pub(super) fn decompress(bytes: &[u8]) -> io::Result<Newer> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(MAX_DECOMPRESSED_SIZE + 1);
    decoder.read_to_end(&mut plain)?;
    if plain.len() as u64 > MAX_DECOMPRESSED_SIZE {
        return Err(io::Error::other("decompressed configuration is too large"));
    }
    rmp_serde::from_slice(&plain).map_err(io::Error::other)
}
