//! Digests of API keys. The keys themselves are never stored.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::str::FromStr;

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use subtle::ConstantTimeEq;

/// BLAKE3 hash of an API key.
///
/// The key itself is not stored, so that a configuration, a log or a core dump reveals no key.
/// Digests are compared in constant time.
#[derive(Clone, Copy, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; LEN]);

const LEN: usize = 32;

/// First bytes of a [`KeyDigest`], which identify a key where the whole digest would be too long.
pub type KeyId = u64;

impl KeyDigest {
    /// Computes the digest of `key`.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }

    /// Returns the id that stands for the key in messages between daemons.
    #[must_use]
    pub fn id(&self) -> KeyId {
        let mut first = [0; size_of::<KeyId>()];
        first.copy_from_slice(&self.0[..size_of::<KeyId>()]);
        KeyId::from_be_bytes(first)
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({:016x}..)", self.id())
    }
}

/// Error of parsing a text that is not a [`KeyDigest`]. It does not hold the text, which may be a
/// key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidKeyDigest;

impl fmt::Display for InvalidKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "must be the BLAKE3 digest of a key, {} hexadecimal digits",
            2 * LEN
        )
    }
}

impl std::error::Error for InvalidKeyDigest {}

impl FromStr for KeyDigest {
    type Err = InvalidKeyDigest;

    fn from_str(text: &str) -> Result<Self, InvalidKeyDigest> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| InvalidKeyDigest)?;
        Ok(Self(*hash.as_bytes()))
    }
}

/// Serializes as hexadecimal text in human-readable formats and as a byte string in others.
impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            serializer.serialize_bytes(&self.0)
        }
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            deserializer.deserialize_str(KeyDigestVisitor)
        } else {
            deserializer.deserialize_bytes(KeyDigestVisitor)
        }
    }
}

struct KeyDigestVisitor;

impl Visitor<'_> for KeyDigestVisitor {
    type Value = KeyDigest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a digest of {LEN} bytes")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<KeyDigest, E> {
        text.parse().map_err(E::custom)
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<KeyDigest, E> {
        let bytes = bytes.try_into();
        bytes.map(KeyDigest).map_err(|_| E::custom("wrong length"))
    }
}
