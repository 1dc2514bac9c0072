//! Reads bodies of answers into memory that all answers of a process share.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use stoatstep_body::{Body, BodyBuilder, Lease};
use tokio::task::yield_now;

use crate::body_memory::BodyMemory;

/// Number of parts of a body after which their size counts.
const FREE_PARTS: usize = 16 << 10;

/// Smallest average size of the parts of a body, in bytes. Each part costs about as much work,
/// whatever its size.
const MIN_PART: usize = 16;

/// Number of parts after which other tasks get their turn.
const PARTS_PER_TURN: usize = 64;

/// Why the body of an answer was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerBodyError {
    /// The connection ended or broke first.
    CutShort,
    /// It is larger than any answer may be, or has no stated end and took more than its share of a
    /// memory that others wait for.
    TooLarge,
    /// It comes in very many very small parts.
    Fragmented,
}

/// Memory for the bodies of answers, from their first byte until nobody needs them any more.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    memory: BodyMemory,
    /// Number of bodies that are being read.
    readers: Rc<Cell<usize>>,
}

impl AnswerMemory {
    /// Answers whose bodies take this memory.
    #[must_use]
    pub fn new(memory: BodyMemory) -> Self {
        Self {
            memory,
            readers: Rc::default(),
        }
    }

    /// Bytes that are taken at the moment.
    #[must_use]
    pub fn used(&self) -> usize {
        self.memory.used()
    }

    /// Reads a body to its end. It waits while the memory is full, and the sender with it. A body
    /// whose length is stated takes all of its memory first, so that those that are being read can
    /// be read to their ends.
    ///
    /// # Errors
    ///
    /// An [`AnswerBodyError`] if the body has no usable end; it may go on without one.
    pub async fn read<B>(&self, body: B) -> Result<Body, AnswerBodyError>
    where
        B: http_body::Body<Data = Bytes>,
    {
        let mut body = pin!(body);
        let stated = body.size_hint().exact();
        let stated = stated.map(|it| usize::try_from(it).unwrap_or(usize::MAX));
        let mut builder = BodyBuilder::new(stated);
        let mut room = Room::new(self);
        if let Some(stated) = stated {
            room.take(stated, true).await?;
        }
        let mut parts = 0;
        while let Some(part) = body.frame().await {
            let part = part.map_err(|_| AnswerBodyError::CutShort)?;
            let Ok(part) = part.into_data() else {
                continue;
            };
            parts += 1;
            if parts > FREE_PARTS && builder.len() < parts * MIN_PART {
                return Err(AnswerBodyError::Fragmented);
            }
            if parts % PARTS_PER_TURN == 0 {
                yield_now().await;
            }
            let needed = builder.allocated_with(part.remaining());
            room.take(needed, stated.is_some()).await?;
            builder.push(&part);
        }
        Ok(builder.finish(room.lease.take()))
    }
}

/// Memory that one body takes. Dropping it returns the memory.
struct Room<'a> {
    answers: &'a AnswerMemory,
    lease: Option<Lease>,
}

impl<'a> Room<'a> {
    fn new(answers: &'a AnswerMemory) -> Self {
        answers.readers.set(answers.readers.get() + 1);
        Self {
            answers,
            lease: None,
        }
    }

    /// Takes memory for `len` bytes in all, once it is free. A body without a stated end is given up
    /// if it has more than its share of a memory that others wait for.
    async fn take(&mut self, len: usize, has_stated_end: bool) -> Result<(), AnswerBodyError> {
        let memory = &self.answers.memory;
        if len > memory.largest() {
            return Err(AnswerBodyError::TooLarge);
        }
        loop {
            let fits = if let Some(lease) = &mut self.lease {
                memory.try_grow(lease, len)
            } else {
                self.lease = memory.try_lease(len);
                self.lease.is_some()
            };
            if fits {
                return Ok(());
            }
            let share = memory.limit() / self.answers.readers.get();
            if !has_stated_end && len > share {
                return Err(AnswerBodyError::TooLarge);
            }
            memory.wait().await;
        }
    }
}

impl Drop for Room<'_> {
    fn drop(&mut self) {
        let readers = &self.answers.readers;
        readers.set(readers.get() - 1);
    }
}
