//! How requests to the target end.

use std::sync::Arc;
use std::time::Duration;

use stoatstep_calls::{Answer, Reason, Refusal};
use stoatstep_http::AnswerBodyError;
use stoatstep_resource::UpstreamName;

/// How a request to the target ended.
#[derive(Clone, Debug)]
pub(in crate::executor) enum TargetOutcome {
    /// The target's whole answer.
    Answered(Arc<Answer>),
    /// It did not run.
    NotRun {
        refusal: Refusal,
        /// Whether it reached the target.
        arrived: bool,
        /// The generation of the target that answered, if it is not the one meant.
        actual: Option<UpstreamName>,
    },
    /// It may have run, and there is no usable answer.
    Lost(LostCause),
    /// It may have run, and there was no answer until its deadline.
    TimedOut,
}

/// Why a run has no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::executor) enum LostCause {
    /// The connection ended before the head of an answer.
    NoAnswer,
    /// The connection ended in the body of the answer.
    CutShort,
    /// The answer has no end within the memory for answers.
    TooLarge,
    /// The body of the answer came in very many very small parts.
    Fragmented,
    /// An answer to another request came, and none to this one.
    OtherRequest,
    /// The status of the answer is none that a request can end with.
    InvalidStatus,
    /// A successful answer that does not come from the target.
    Unsigned,
    /// This daemon cancelled the run.
    Cancelled,
}

impl LostCause {
    /// The cause in log lines.
    pub(in crate::executor) fn as_str(&self) -> &'static str {
        match self {
            Self::NoAnswer => "no-answer",
            Self::CutShort => "cut-short",
            Self::TooLarge => "too-large",
            Self::Fragmented => "fragmented",
            Self::OtherRequest => "other-request",
            Self::InvalidStatus => "invalid-status",
            Self::Unsigned => "unsigned",
            Self::Cancelled => "cancelled",
        }
    }
}

impl From<AnswerBodyError> for LostCause {
    fn from(err: AnswerBodyError) -> Self {
        match err {
            AnswerBodyError::CutShort => Self::CutShort,
            AnswerBodyError::TooLarge => Self::TooLarge,
            AnswerBodyError::Fragmented => Self::Fragmented,
        }
    }
}

impl TargetOutcome {
    /// No connection to the target could be established; a retry can succeed after this time.
    pub(in crate::executor) fn unreachable(retry_after: Duration) -> Self {
        Self::NotRun {
            refusal: Refusal::retry(Reason::NoUpstream, retry_after),
            arrived: false,
            actual: None,
        }
    }
}
