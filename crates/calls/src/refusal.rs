//! How a call ended, in the words that callers and programs read.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What is known about whether the call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The target's own whole answer.
    Answered,
    /// It did not run and never will: safe to send again.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// The value of the `stoatstep-outcome` header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident => $text:literal, $outcome:ident;)+) => {
        /// Why a call was not answered by its target.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason {
            $($(#[$doc])* $name,)+
        }

        impl Reason {
            /// Every reason.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            /// The value of the `stoatstep-reason` header.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)+
                }
            }

            /// What the reason says about the run. Fixed for each reason, so
            /// that no code path can pair "not run" with a reason that leaves
            /// the run open.
            #[must_use]
            pub fn outcome(self) -> Outcome {
                match self {
                    $(Self::$name => Outcome::$outcome,)+
                }
            }
        }
    };
}

reasons! {
    /// Slots and queue are taken, or the tenant's share is.
    Overload => "overload", NotRun;
    /// Most calls like it fail, for want of something that they need.
    Throttled => "throttled", NotRun;
    /// The instance is leaving.
    Draining => "draining", NotRun;
    /// The target's version gets no calls, or no more of them, at this step of a roll-out.
    Held => "held", NotRun;
    /// Targets end whenever they run it.
    Quarantined => "quarantined", NotRun;
    /// The daemon has just started and may not serve by any version yet.
    NotReady => "not-ready", NotRun;
    /// No customer holds the caller's key, or there is none.
    Unauthenticated => "unauthenticated", NotRun;
    /// The daemon has been cut off, and the key may have been taken away meanwhile.
    Unconfirmed => "unconfirmed", NotRun;
    /// The customer's quota is used up.
    OverQuota => "over-quota", NotRun;
    /// Nobody can tell what is left of the customer's quota.
    QuotaUnknown => "quota-unknown", NotRun;
    /// No route matches the path.
    NoRoute => "no-route", NotRun;
    /// No upstream of the service can be reached.
    NoUpstream => "no-upstream", NotRun;
    /// It could not finish in time, so it was not started.
    Deadline => "deadline", NotRun;
    /// The request is malformed or over a limit.
    BadRequest => "bad-request", NotRun;
    /// The body is larger than what is kept for another try.
    TooLarge => "too-large", NotRun;
    /// The target refused without running.
    Shed => "shed", NotRun;
    /// The attempt was revoked before it started.
    Revoked => "revoked", NotRun;
    /// The attempt's ticket is too old or of another process.
    StaleTicket => "stale-ticket", NotRun;
    /// Entry and executor hold different sets of upstreams.
    StaleConfig => "stale-config", NotRun;
    /// The key's previous home has not confirmed the change of homes.
    HomeMoving => "home-moving", NotRun;
    /// The executor that owns the key cannot be reached.
    HomeUnreachable => "home-unreachable", NotRun;
    /// The executor remembers all that it can.
    MemoryFull => "memory-full", NotRun;
    /// The platform, which has to record the key, is not available.
    PlatformDown => "platform-down", NotRun;
    /// The executor woke from a freeze and emptied its queue.
    Woke => "woke", NotRun;
    /// The key was used with another request.
    KeyReused => "key-reused", NotRun;
    /// The key states a time in the future.
    KeyFromFuture => "key-from-future", NotRun;
    /// The key is older than what is remembered: it may have run long ago.
    KeyExpired => "key-expired", Unknown;
    /// The key may have run where no memory of it is left.
    KeyUnsettled => "key-unsettled", Unknown;
    /// It ran or may have run, and the answer cannot be had.
    LostAnswer => "lost-answer", Unknown;
    /// The deadline passed while it ran.
    TimedOut => "timed-out", Unknown;
    /// It ran, and the answer was too large to keep.
    AnswerTooLarge => "answer-too-large", Unknown;
}

impl Reason {
    /// Whether another attempt of the same call can end otherwise.
    #[must_use]
    pub fn allows_retry(self) -> bool {
        !matches!(
            self,
            Self::TimedOut
                | Self::BadRequest
                | Self::TooLarge
                | Self::Quarantined
                | Self::Unauthenticated
                | Self::KeyReused
                | Self::KeyFromFuture
                | Self::KeyExpired
                | Self::KeyUnsettled
        )
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An ending without the target's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When it is worth coming back; `None` where another try cannot help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal that another try may get past after `retry_after`.
    #[must_use]
    pub fn retry(reason: Reason, retry_after: Duration) -> Self {
        let retry_after = Some(retry_after);
        Self {
            reason,
            retry_after,
        }
    }

    /// A refusal that holds for every further try.
    #[must_use]
    pub fn permanent(reason: Reason) -> Self {
        let retry_after = None;
        Self {
            reason,
            retry_after,
        }
    }

    /// What it says about the run.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.reason.outcome()
    }
}
