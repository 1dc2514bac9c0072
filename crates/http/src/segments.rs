//! Sends a [`Body`] segment by segment.

use std::convert::Infallible;
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use ntex::http::body::{BodySize, MessageBody};
use ntex::util;
use stoatstep_body::Body;

use crate::transfers::TransferGuard;

/// A body on its way to a server.
#[derive(Clone, Debug)]
pub struct OutgoingBody {
    body: Body,
    next: usize,
}

impl From<Body> for OutgoingBody {
    fn from(body: Body) -> Self {
        let next = if body.is_empty() {
            body.segments().len()
        } else {
            0
        };
        Self { body, next }
    }
}

impl http_body::Body for OutgoingBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.body.segments().get(self.next).cloned();
        self.next += 1;
        Poll::Ready(segment.map(|it| Ok(Frame::data(it))))
    }

    fn is_end_stream(&self) -> bool {
        self.next >= self.body.segments().len()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.body.segments().iter().skip(self.next);
        let len = rest.map(Bytes::len).sum::<usize>();
        SizeHint::with_exact(len as u64)
    }
}

/// Largest part of an answer that is handed to a connection at once.
const MAX_WRITE: usize = 16 << 10;

/// A body on its way to a caller, who may read it slowly or not at all. What is not written yet stays
/// in the body, whose memory is accounted for; `G` is held until it is written or given up.
pub struct AnswerStream<G> {
    body: Body,
    segment: usize,
    offset: usize,
    transfer: TransferGuard,
    _guard: G,
}

impl<G> AnswerStream<G> {
    /// Sends `body` as `transfer`, which progresses with each part that the caller makes room for.
    pub fn new(body: Body, transfer: TransferGuard, guard: G) -> Self {
        Self {
            body,
            segment: 0,
            offset: 0,
            transfer,
            _guard: guard,
        }
    }
}

impl<G: 'static> MessageBody for AnswerStream<G> {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.body.len() as u64)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<util::Bytes, Rc<dyn Error>>>> {
        if self.transfer.is_evicted() {
            let err = io::Error::new(io::ErrorKind::TimedOut, "the caller does not read");
            return Poll::Ready(Some(Err(Rc::new(err))));
        }
        self.transfer.progressed();
        let Some(segment) = self.body.segments().get(self.segment) else {
            return Poll::Ready(None);
        };
        let end = segment.len().min(self.offset + MAX_WRITE);
        let part = util::Bytes::copy_from_slice(&segment[self.offset..end]);
        self.offset = end;
        if end == segment.len() {
            self.segment += 1;
            self.offset = 0;
        }
        Poll::Ready(Some(Ok(part)))
    }
}
