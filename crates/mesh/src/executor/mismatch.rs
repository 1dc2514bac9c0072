//! Answers of the target that are not believed, since they belong to another request.

use hyper::header::HeaderName;
use smol_str::SmolStr;
use stoatstep_telemetry::fields;

use crate::node::Node;
use crate::wire::Attempt;

/// Limit on the characters of a value in a log line.
const MAX_LOGGED: usize = 64;

/// The header of an answer that shows that it belongs to another request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Mismatch {
    field: HeaderName,
    /// Its value in the answer to this request.
    expected: SmolStr,
    stated: SmolStr,
}

impl Mismatch {
    /// Compares the header of an answer with its value in the answer to this request.
    pub(super) fn find(field: &HeaderName, expected: &str, stated: &[u8]) -> Option<Self> {
        (stated != expected.as_bytes()).then(|| Self {
            field: field.clone(),
            expected: shortened(expected),
            stated: shortened(&String::from_utf8_lossy(stated)),
        })
    }
}

fn shortened(text: &str) -> SmolStr {
    text.chars().take(MAX_LOGGED).collect()
}

/// Counts and logs an answer to this attempt that was not believed.
pub(super) fn record(node: &Node, attempt: &Attempt, mismatch: &Mismatch) {
    node.journal.count("answers.not_believed");
    let now = node.clock.now();
    let Some(suppressed) = node.journal.admits("answer not believed", now) else {
        return;
    };
    slog::warn!(node.log, "answer not believed"; fields::REQUEST => %attempt.call.request_id,
        fields::ATTEMPT => format!("{:032x}", attempt.id), fields::UPSTREAM => %attempt.upstream,
        fields::FIELD => mismatch.field.as_str(), fields::EXPECTED => mismatch.expected.as_str(),
        fields::STATED => mismatch.stated.as_str(), fields::LEFT_OUT => suppressed);
}
