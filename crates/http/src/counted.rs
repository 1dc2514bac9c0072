//! Counts what a connection receives.

use std::any::{Any, TypeId};
use std::io;
use std::task::{Context, Poll};

use ntex::io::{Base, Filter, FilterCtx, Readiness};

use crate::connections::Connection;

/// Filter that counts what a connection receives and changes nothing.
pub(crate) struct Counted {
    inner: Base,
    connection: Connection,
}

impl Counted {
    pub(crate) fn new(inner: Base, connection: Connection) -> Self {
        Self { inner, connection }
    }
}

impl Filter for Counted {
    fn query(&self, id: TypeId) -> Option<Box<dyn Any>> {
        if id == TypeId::of::<Connection>() {
            return Some(Box::new(self.connection.clone()));
        }
        self.inner.query(id)
    }

    fn process_read_buf(&self, ctx: &mut FilterCtx<'_>) -> io::Result<()> {
        self.connection.received(ctx.new_read_bytes());
        self.inner.process_read_buf(ctx)
    }

    fn process_write_buf(&self, ctx: &mut FilterCtx<'_>) -> io::Result<()> {
        self.inner.process_write_buf(ctx)
    }

    fn shutdown(&self, ctx: &mut FilterCtx<'_>) -> io::Result<Poll<()>> {
        self.inner.shutdown(ctx)
    }

    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<Readiness> {
        self.inner.poll_read_ready(cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<Readiness> {
        self.inner.poll_write_ready(cx)
    }
}
