//! Tells the answer to a request from late copies of earlier answers on the same connection.

use xxhash_rust::xxh3::xxh3_64;

/// Requests that are remembered for one connection. A connection that has carried more answers
/// after which a request may be sent again is closed, which costs one new connection for so many
/// of them.
const MAX_REMEMBERED: usize = 256;

/// The answers that a target has sent on one connection, as far as copies of them could be mistaken
/// for later answers.
///
/// A target may send an answer a second time, in place of the answer to a later request on the
/// connection. The request id that an answer states tells it from answers to other requests, but
/// not from an earlier answer to the same request, and an answer without an id can be that to any
/// request. Therefore no request is sent twice on one connection, and one that must not run twice
/// is sent only on a connection that [`identifies`](Self::identifies) its answer. No copy passes
/// for the answer to another request there, and none moves the answers behind it to the requests
/// after theirs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConnectionAnswers {
    /// Hashes of the ids of requests that may be sent again. If two hashes are equal, a request
    /// takes another connection without need.
    remembered: Vec<u64>,
    has_unnamed: bool,
}

impl ConnectionAnswers {
    /// Whether this request has not been sent on the connection.
    #[must_use]
    pub fn is_new(&self, request_id: &str) -> bool {
        !self.remembered.contains(&xxh3_64(request_id.as_bytes()))
    }

    /// Whether no late copy on this connection can pass for the answer to this request.
    #[must_use]
    pub fn identifies(&self, request_id: &str) -> bool {
        !self.has_unnamed && self.is_new(request_id)
    }

    /// Whether an answer on this connection stated no request id, so that the connection
    /// identifies no answer any more.
    #[must_use]
    pub fn has_unnamed(&self) -> bool {
        self.has_unnamed
    }

    /// Whether the connection is to be closed, as no further request could be remembered.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.remembered.len() >= MAX_REMEMBERED
    }

    /// Records an answer, by the request id that it states. `is_last` says that its request is not
    /// sent again after it.
    pub fn record(&mut self, request_id: Option<&[u8]>, is_last: bool) {
        match request_id {
            None => self.has_unnamed = true,
            Some(id) if !is_last => self.remembered.push(xxh3_64(id)),
            Some(_) => {}
        }
    }
}
