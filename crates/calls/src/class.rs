//! Classes of calls, which state how urgent a call is.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How urgent a call is, according to its caller.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A person waits for the answer, and a late answer is worthless.
    Urgent,
    /// The default.
    #[default]
    Standard,
    /// Nobody waits for the answer.
    Batch,
}

impl Class {
    /// Every class, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Standard, Self::Batch];

    /// The class's name in headers and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Standard => "standard",
            Self::Batch => "batch",
        }
    }

    /// Weight of the class in the shares of starts when calls of every class wait. With
    /// strict priority, a rush of urgent calls would delay batch calls until all of them
    /// expire.
    pub(crate) fn weight(self) -> u32 {
        match self {
            Self::Urgent => 16,
            Self::Standard => 4,
            Self::Batch => 1,
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error for a header that names a class that does not exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownClass;

impl fmt::Display for UnknownClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("class must be urgent, standard or batch")
    }
}

impl std::error::Error for UnknownClass {}

impl TryFrom<&str> for Class {
    type Error = UnknownClass;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let named = |class: &Self| class.as_str() == text;
        Self::ALL.into_iter().find(named).ok_or(UnknownClass)
    }
}
