//! Configurations on their way to peers, compressed.
//!
//! A version that adds a thousand routes is some 170 KB, and twenty daemons of a zone ask
//! the two that follow the host for it within a moment. Over a link of 9 Mbit/s that takes
//! over 3 s, while a version has to be in force within 2.5 s. Names of routes, hosts and
//! policies repeat, so a fast compression makes it several times smaller; the result is
//! kept, since most peers ask for the same.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use stoatstep_membership::ConfigId;

use crate::wire::Newer;

/// Bytes from which compression saves more time on a thin link than it takes.
const WORTHWHILE: usize = 4 << 10;

/// Largest configuration that is taken from a peer: four times one of 2,000 routes. Bytes
/// that a broken peer sends must not fill the memory.
const MAX_UNPACKED: u64 = 4 << 20;

/// What leads from one configuration to another.
pub(super) struct Packed {
    pub(super) from: ConfigId,
    pub(super) to: ConfigId,
    pub(super) bytes: Bytes,
}

/// The answer compressed, where that makes it smaller.
pub(super) fn pack(newer: Newer) -> Newer {
    let plain = rmp_serde::to_vec(&newer).expect("plain data always encodes");
    if plain.len() < WORTHWHILE {
        return newer;
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(&plain).and_then(|()| encoder.finish());
    // Writing to memory does not fail; if it did, the plain answer is as good.
    written.map_or(newer, |bytes| Newer::Packed(bytes.into()))
}

/// What was packed.
///
/// # Errors
///
/// Where the bytes are none that a daemon packs, or too many.
pub(super) fn unpack(bytes: &[u8]) -> io::Result<Newer> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(MAX_UNPACKED + 1);
    decoder.read_to_end(&mut plain)?;
    if plain.len() as u64 > MAX_UNPACKED {
        return Err(io::Error::other("a configuration is too large"));
    }
    rmp_serde::from_slice(&plain).map_err(io::Error::other)
}
