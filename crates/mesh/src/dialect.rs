//! Names of the headers that callers and targets use.

use smol_str::SmolStr;

/// What the headers of calls are called where the daemon runs. The meaning of
/// each is the product's; the names, all in lower case, come from outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dialect {
    /// Id of one request of a caller. It goes to the target unchanged, and the
    /// target's answer repeats it.
    pub request_id: SmolStr,
    /// Milliseconds for which the caller, or the daemon before a target, waits.
    pub timeout_ms: SmolStr,
    /// Service of the instance on which the request began.
    pub caller_service: SmolStr,
    /// Customer that holds the caller's key; absent where the call needs none.
    pub customer: SmolStr,
    /// The life of the target for which a request is meant. Any other refuses
    /// it without running it.
    pub expected_upstream: SmolStr,
    /// In an answer: the life of the target that gave it.
    pub upstream: SmolStr,
    /// In an answer: the target did not run the request.
    pub not_run: SmolStr,
    /// In an answer: the target's signature of its body. A success without it
    /// is not the target's.
    pub signature: SmolStr,
}
