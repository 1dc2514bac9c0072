//! Names of the headers that callers and targets use.

use smol_str::SmolStr;

/// Names of the headers of calls and answers, all in lower case. The meaning of each header is
/// fixed; the environment of the daemon sets the names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one request of a caller. It is passed to the target unchanged, and the target's answer
    /// repeats it.
    pub request_id: SmolStr,
    /// Milliseconds for which the caller, or the daemon in front of a target, waits.
    pub timeout_ms: SmolStr,
    /// Service of the instance on which the request began.
    pub caller_service: SmolStr,
    /// Customer that holds the caller's key; absent if the call needs none.
    pub customer: SmolStr,
    /// Generation of the target for which a request is meant. Any other generation rejects it
    /// without running it.
    pub expected_upstream: SmolStr,
    /// In an answer: the generation of the target that gave it.
    pub upstream: SmolStr,
    /// In an answer: the target did not run the request.
    pub not_run: SmolStr,
    /// In an answer: the target's signature of the body. A successful answer without it does not
    /// come from the target.
    pub signature: SmolStr,
    /// In an answer: requests per second that the target accepts from all daemons together.
    pub limit: SmolStr,
    /// In an answer: the target leaves and must get no new calls.
    pub leaving: SmolStr,
}
