//! Properties that must hold in every state.

use std::fmt;

/// A property that must hold in every reachable state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// An operation takes effect at most once: it produces at most one version, however often it is
    /// sent.
    OperationOnce,
    /// An accepted change is in the log: the version that is reported to an operator contains that
    /// operator's change.
    AcceptedIsInLog,
    /// A refused operation is not in the log: it does not produce a version, then or later.
    RefusedIsNotInLog,
    /// A change takes effect only if its resources are at the revisions that its operator read.
    ExpectedRevision,
    /// An accepted configuration is never changed or removed: later reads of the log extend the
    /// earlier ones.
    LogIsFinal,
    /// Every version in the log can be applied to the previous one.
    LogIsValid,
    /// No daemon goes back to an older version than its instance held or served by before.
    NeverBack,
    /// No route in force at a daemon refers to a service that the daemon does not hold.
    NoDanglingReference,
    /// A daemon has all of a version or none of it: its state in force is an accepted version,
    /// unchanged.
    WholeVersion,
    /// An accepted configuration comes into force everywhere: a daemon that can read the platform
    /// reaches the newest version with one read, or with two if the result of the first has to be
    /// refused.
    CatchesUp,
    /// An attempt that was reported as not run has not run and never will.
    NotRunIsTrue,
    /// A call that is not idempotent runs at most once, and so does a call with an idempotency key
    /// (printed as "intent").
    RunsOnce,
    /// A caller receives only the answer to its own request.
    OwnAnswer,
    /// The outcome "unknown" is reported only after a fault, a restart or the passing of time.
    UnknownIsHonest,
    /// An attempt starts only before its caller's deadline, after which the caller has given up.
    StartsInTime,
    /// A revoked key is not accepted by any daemon after the allowed delay.
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
