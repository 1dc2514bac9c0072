//! Digest of a whole state.

use std::fmt;

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// First 16 bytes of a BLAKE3 hash over a state's version, resources and revisions.
/// Two daemons with the same version and the same digest hold the same configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Digest(pub [u8; LEN]);

/// Length of a digest in bytes, long enough to rule out accidental collisions between different
/// states of one version.
const LEN: usize = 16;

impl Digest {
    pub(crate) fn of(hasher: &blake3::Hasher) -> Self {
        let mut bytes = [0; LEN];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..LEN]);
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Serializes as a byte string: in a list of numbers, `MessagePack` encodes each byte above 127 as
/// two.
impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(DigestVisitor)
    }
}

struct DigestVisitor;

impl<'de> Visitor<'de> for DigestVisitor {
    type Value = Digest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{LEN} bytes")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Digest, E> {
        let bytes = bytes.try_into();
        bytes.map(Digest).map_err(|_| E::custom("wrong length"))
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Digest, A::Error> {
        let mut bytes = [0; LEN];
        for (i, byte) in bytes.iter_mut().enumerate() {
            let next = seq.next_element()?;
            *byte = next.ok_or_else(|| de::Error::invalid_length(i, &self))?;
        }
        Ok(Digest(bytes))
    }
}
