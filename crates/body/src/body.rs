//! A complete body.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::slice;
use std::sync::Arc;

use bytes::Bytes;
use serde::de::{Deserialize, Deserializer, SeqAccess, Visitor};
use serde::ser::{Serialize, Serializer};

use crate::memory::Lease;

/// A complete body, in segments of bytes. Clones share its bytes and its [`Lease`].
///
/// Its serialised form is that of bytes, in one piece.
#[derive(Clone, Default)]
pub struct Body {
    segments: Segments,
    len: usize,
    /// Returned with the last clone.
    lease: Option<Arc<Lease>>,
}

#[derive(Clone)]
enum Segments {
    /// Most bodies have one segment, which needs no list.
    One(Bytes),
    Many(Arc<[Bytes]>),
}

impl Default for Segments {
    fn default() -> Self {
        Self::One(Bytes::new())
    }
}

impl Body {
    /// Creates a body of these segments, whose memory is leased.
    #[must_use]
    pub fn new(mut segments: Vec<Bytes>, lease: Option<Lease>) -> Self {
        let len = segments.iter().map(Bytes::len).sum();
        let segments = if segments.len() > 1 {
            Segments::Many(segments.into())
        } else {
            Segments::One(segments.pop().unwrap_or_default())
        };
        Self {
            segments,
            len,
            lease: lease.map(Arc::new),
        }
    }

    /// Adds the lease of the memory that it takes.
    #[must_use]
    pub fn with_lease(mut self, lease: Lease) -> Self {
        self.lease = Some(Arc::new(lease));
        self
    }

    /// Number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the body has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The parts of the body, in their order.
    #[must_use]
    pub fn segments(&self) -> &[Bytes] {
        match &self.segments {
            Segments::One(segment) => slice::from_ref(segment),
            Segments::Many(segments) => segments,
        }
    }

    /// The whole body in one piece. A body of several segments is copied.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        match &self.segments {
            Segments::One(segment) => segment.clone(),
            Segments::Many(segments) => segments.concat().into(),
        }
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self {
            len: bytes.len(),
            segments: Segments::One(bytes),
            lease: None,
        }
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Bytes::from(bytes).into()
    }
}

impl From<&'static str> for Body {
    fn from(text: &'static str) -> Self {
        Bytes::from_static(text.as_bytes()).into()
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Body").field(&self.to_bytes()).finish()
    }
}

impl PartialEq for Body {
    fn eq(&self, other: &Self) -> bool {
        let (own, others) = (self.segments().iter(), other.segments().iter());
        self.len == other.len && own.flatten().eq(others.flatten())
    }
}

impl Eq for Body {}

impl Hash for Body {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.to_bytes().hash(state);
    }
}

impl Serialize for Body {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.to_bytes())
    }
}

impl<'de> Deserialize<'de> for Body {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }
}

struct BytesVisitor;

impl<'de> Visitor<'de> for BytesVisitor {
    type Value = Body;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Body, E> {
        Ok(Bytes::copy_from_slice(bytes).into())
    }

    fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Body, E> {
        Ok(bytes.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Body, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = seq.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes.into())
    }
}
