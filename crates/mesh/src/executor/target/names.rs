//! Names of the headers between the daemon and the target.

use hyper::header::HeaderName;
use smol_str::SmolStr;

use crate::header_names::HeaderNames;

/// The header names of the dialect, parsed for the HTTP library.
pub(super) struct ParsedHeaderNames {
    pub(super) request_id: HeaderName,
    pub(super) timeout_ms: HeaderName,
    pub(super) caller_service: HeaderName,
    pub(super) customer: HeaderName,
    pub(super) expected_upstream: HeaderName,
    pub(super) upstream: HeaderName,
    pub(super) not_run: HeaderName,
    pub(super) signature: HeaderName,
    pub(super) limit: HeaderName,
    pub(super) leaving: HeaderName,
}

impl ParsedHeaderNames {
    /// # Panics
    ///
    /// Panics if a name is not a valid header name. The names are constants of adapters.
    pub(super) fn new(header_names: &HeaderNames) -> Self {
        let name = |text: &SmolStr| {
            HeaderName::from_bytes(text.as_bytes()).expect("header names are valid constants")
        };
        Self {
            request_id: name(&header_names.request_id),
            timeout_ms: name(&header_names.timeout_ms),
            caller_service: name(&header_names.caller_service),
            customer: name(&header_names.customer),
            expected_upstream: name(&header_names.expected_upstream),
            upstream: name(&header_names.upstream),
            not_run: name(&header_names.not_run),
            signature: name(&header_names.signature),
            limit: name(&header_names.limit),
            leaving: name(&header_names.leaving),
        }
    }
}
