//! A connection whose received bytes pass an [`AnswerFilter`].

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::answer_filter::AnswerFilter;

/// A connection to a server for an HTTP client that takes the first answer for that to its request.
#[derive(Debug)]
pub struct FilteredStream<S> {
    stream: S,
    filter: Rc<RefCell<AnswerFilter>>,
}

impl<S> FilteredStream<S> {
    /// Wraps a new connection. Whoever sends a request on it first says in the filter which answer
    /// is expected.
    pub fn new(stream: S, filter: Rc<RefCell<AnswerFilter>>) -> Self {
        Self { stream, filter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FilteredStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buf.remaining() == 0 {
            // No bytes would look like the end of the connection.
            return Poll::Ready(Ok(()));
        }
        let this = self.get_mut();
        let mut filter = this.filter.borrow_mut();
        loop {
            if let Some(bytes) = filter.take_ready(buf.remaining()) {
                buf.put_slice(&bytes);
                return Poll::Ready(Ok(()));
            }
            let before = buf.filled().len();
            ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
            let received = &buf.filled()[before..];
            if received.is_empty() {
                filter.end();
                if let Some(bytes) = filter.take_ready(buf.remaining()) {
                    buf.put_slice(&bytes);
                }
                return Poll::Ready(Ok(()));
            }
            if filter.receive(received) {
                return Poll::Ready(Ok(()));
            }
            if filter.has_failed() {
                let err = io::Error::new(io::ErrorKind::InvalidData, "too many interim answers");
                return Poll::Ready(Err(err));
            }
            buf.set_filled(before);
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FilteredStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
