//! What must hold in every state.

use std::fmt;

/// What must hold in every state that can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// One operation becomes at most one version, however often it is sent.
    OperationOnce,
    /// A version that an operator was told of is that operator's change.
    AcceptedIsInLog,
    /// An operation that was refused does not become a version, then or later.
    RefusedIsNotInLog,
    /// A change takes effect only on the revisions that its operator saw.
    ExpectedRevision,
    /// A version's row is never changed.
    LogIsFinal,
    /// Every version in the log can be applied to the one before.
    LogIsValid,
    /// No instance serves by an older version than one it served by before.
    NeverBack,
    /// No route in force points at a service that the daemon does not hold.
    NoDanglingReference,
    /// What is in force is a whole version as it was accepted.
    WholeVersion,
    /// A daemon that reaches the platform gets to the newest version by one
    /// exchange, or two where the first one has to be refused.
    CatchesUp,
    /// An attempt that was called "not run" has not run and never does.
    NotRunIsTrue,
    /// A call that is not idempotent runs at most once, and so does a key.
    RunsOnce,
    /// An answer is the one to the caller's own request.
    OwnAnswer,
    /// "Unknown" is said only where a message, a process or time was lost.
    UnknownIsHonest,
    /// What starts can still end before its caller's deadline.
    StartsInTime,
    /// A key that was taken away opens nothing after its time, at any daemon.
    KeyEnds,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OperationOnce => "an operation takes effect at most once",
            Self::AcceptedIsInLog => "what was accepted is in the log",
            Self::RefusedIsNotInLog => "what was refused is not in the log",
            Self::ExpectedRevision => "a change is made only to what its operator saw",
            Self::LogIsFinal => "an accepted configuration never reverts",
            Self::LogIsValid => "every accepted version can be applied",
            Self::NeverBack => "no proxy moves back to an older version",
            Self::NoDanglingReference => "no route points at a service that the proxy lacks",
            Self::WholeVersion => "a proxy has all of a version or none of it",
            Self::CatchesUp => "an accepted configuration comes into force everywhere",
            Self::NotRunIsTrue => "what was refused as not run did not run",
            Self::RunsOnce => "an intent runs at most once",
            Self::OwnAnswer => "a caller gets the answer to its own request",
            Self::UnknownIsHonest => "unknown is said only where it can't be known",
            Self::KeyEnds => "a key that was taken away opens nothing after its time",
            Self::StartsInTime => "nothing starts after its caller gave up",
        })
    }
}
