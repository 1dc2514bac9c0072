//! HTTP utilities of the daemons. On top of `ntex`: functions that read the bodies of requests into
//! a [`BodyMemory`], and a [`Server`] that runs on the caller's thread and bounds what its
//! [connections](ConnectionLimits) take. For clients: an [`AnswerFilter`] drops answers that belong
//! to other requests from what a server sends, a [`FilteredStream`] is a connection with such a
//! filter, and an [`AnswerMemory`] bounds what bodies of answers take.

mod answer_body;
mod answer_filter;
mod body;
mod body_memory;
mod connections;
mod counted;
mod filtered_stream;
mod segments;
mod server;
mod transfers;

pub use answer_body::{AnswerBodyError, AnswerMemory};
pub use answer_filter::{AnswerFilter, ExpectedAnswer};
pub use body::{
    BodyError, discard, drop_body, poll_twice, read_body, read_payload, read_request_body,
};
pub use body_memory::{BodyMemory, NoMemory};
pub use connections::{AnsweringGuard, Connection, ConnectionLimits, ReceivingGuard};
pub use filtered_stream::FilteredStream;
pub use segments::{AnswerStream, OutgoingBody};
pub use server::{LAST_WRITE_TIMEOUT, PendingWrites, Server};
pub use transfers::{Transfer, TransferGuard, Transfers};
