//! Collects a body from the parts in which it arrives.

use std::cmp;
use std::mem;

use bytes::{Bytes, BytesMut};

use crate::body::Body;
use crate::memory::Lease;

/// Largest segment. Allocations of this size are reused well, and a body of a few bytes more than a
/// segment wastes little.
const MAX_SEGMENT: usize = 64 << 10;

/// First segment of a body whose length is unknown.
const FIRST_SEGMENT: usize = 4 << 10;

/// Collects a body. It allocates segments, and nothing else, so that what it takes is known.
#[derive(Debug, Default)]
pub struct BodyBuilder {
    segments: Vec<Bytes>,
    last: BytesMut,
    len: usize,
    allocated: usize,
    stated: Option<usize>,
}

impl BodyBuilder {
    /// Collects a body of this length, `None` if it is unknown.
    #[must_use]
    pub fn new(stated: Option<usize>) -> Self {
        Self {
            stated,
            ..Self::default()
        }
    }

    /// Number of bytes that were added.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing was added.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Bytes that are allocated, or will be to add as many as `more`.
    #[must_use]
    pub fn allocated_with(&self, more: usize) -> usize {
        let mut allocated = self.allocated;
        while self.len + more > allocated {
            allocated += self.next_segment(allocated);
        }
        allocated
    }

    /// Adds bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.add_segment();
            }
            let room = self.last.capacity() - self.last.len();
            let (now, later) = bytes.split_at(cmp::min(room, bytes.len()));
            self.last.extend_from_slice(now);
            self.len += now.len();
            bytes = later;
        }
    }

    /// Returns the body that was collected, with the lease of its memory.
    #[must_use]
    pub fn finish(mut self, lease: Option<Lease>) -> Body {
        self.close_segment();
        Body::new(self.segments, lease)
    }

    fn add_segment(&mut self) {
        self.close_segment();
        let size = self.next_segment(self.allocated);
        self.last = BytesMut::with_capacity(size);
        self.allocated += size;
    }

    fn close_segment(&mut self) {
        let full = mem::take(&mut self.last);
        if !full.is_empty() {
            self.segments.push(full.freeze());
        }
    }

    /// Size of the segment after those that take `allocated`.
    fn next_segment(&self, allocated: usize) -> usize {
        let rest = self.stated.and_then(|it| it.checked_sub(allocated));
        match rest {
            Some(rest) if rest > 0 => cmp::min(rest, MAX_SEGMENT),
            _ => allocated.clamp(FIRST_SEGMENT, MAX_SEGMENT),
        }
    }
}
