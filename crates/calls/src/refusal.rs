//! Outcomes of calls and reasons of refusals, with the names that callers and programs read.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a call was answered, and otherwise whether it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The target answered, and its answer is complete.
    Answered,
    /// It did not run and never will, so it is safe to send it again.
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
        /// Reason for which a call was not answered by its target.
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

            /// The outcome that the reason implies. It is fixed for each reason, so that
            /// no code path can state "not run" with a reason for which the call may
            /// have run.
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
    /// Slots and queue are full, or the tenant has used its share of them.
    Overload => "overload", NotRun;
    /// The target accepts no more requests in this time, by the limit that it states.
    Limited => "limited", NotRun;
    /// Most recent calls of its route failed.
    Throttled => "throttled", NotRun;
    /// The instance is leaving.
    Draining => "draining", NotRun;
    /// The target's version gets no calls, or no more of them, at this step of a rollout.
    Held => "held", NotRun;
    /// Targets terminate when they run the request.
    Quarantined => "quarantined", NotRun;
    /// The daemon has just started and has no confirmed version of the configuration yet.
    NotReady => "not-ready", NotRun;
    /// The caller sent no API key, or one that belongs to no customer.
    Unauthenticated => "unauthenticated", NotRun;
    /// The daemon is cut off from the store and from the daemons that follow it, and the API
    /// key may have been revoked in the meantime.
    Unconfirmed => "unconfirmed", NotRun;
    /// The customer's quota is used up.
    OverQuota => "over-quota", NotRun;
    /// What is left of the customer's quota is unknown.
    QuotaUnknown => "quota-unknown", NotRun;
    /// No route matches the path.
    NoRoute => "no-route", NotRun;
    /// No upstream of the service can be reached.
    NoUpstream => "no-upstream", NotRun;
    /// It could not finish in time, so it was not started.
    Deadline => "deadline", NotRun;
    /// The request is malformed or over a limit.
    BadRequest => "bad-request", NotRun;
    /// The body is larger than the limit for bodies that are kept for a retry.
    TooLarge => "too-large", NotRun;
    /// The target refused the call without running it.
    Shed => "shed", NotRun;
    /// The attempt was revoked before it started.
    Revoked => "revoked", NotRun;
    /// The attempt's ticket is too old or was issued by another process.
    StaleTicket => "stale-ticket", NotRun;
    /// Entry and executor hold different sets of upstreams, or the caller's customer has changed since
    /// the call arrived.
    StaleConfig => "stale-config", NotRun;
    /// The idempotency key's previous home has not confirmed the change of homes.
    HomeMoving => "home-moving", NotRun;
    /// The executor that owns the idempotency key cannot be reached.
    HomeUnreachable => "home-unreachable", NotRun;
    /// The daemon already holds as many calls, or as much of their bodies, as its limits allow.
    MemoryFull => "memory-full", NotRun;
    /// The platform, which must record the idempotency key, is not available.
    PlatformDown => "platform-down", NotRun;
    /// The executor resumed after a freeze and emptied its queue.
    Woke => "woke", NotRun;
    /// The idempotency key was used with another request.
    KeyReused => "key-reused", NotRun;
    /// The idempotency key states a time in the future.
    KeyFromFuture => "key-from-future", NotRun;
    /// The idempotency key is older than the retention time, so its call may have run.
    KeyExpired => "key-expired", Unknown;
    /// The call of the idempotency key may have run, with no record of it left.
    KeyUnsettled => "key-unsettled", Unknown;
    /// It ran or may have run, and its answer is lost.
    LostAnswer => "lost-answer", Unknown;
    /// The deadline passed while it ran.
    TimedOut => "timed-out", Unknown;
    /// It ran, and its answer was too large to keep.
    AnswerTooLarge => "answer-too-large", Unknown;
}

impl Reason {
    /// Whether it is due to load that may have passed when the caller comes back.
    #[must_use]
    pub fn depends_on_load(&self) -> bool {
        matches!(
            self,
            Self::Overload | Self::Throttled | Self::Deadline | Self::Shed
        )
    }

    /// Whether another attempt of the same call can have a different result.
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

/// The end of a call or attempt without the target's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Refusal {
    /// Why it was not answered.
    pub reason: Reason,
    /// Time after which a retry can succeed; `None` if no retry can.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal after which a retry can succeed once `retry_after` has passed.
    #[must_use]
    pub fn retry(reason: Reason, retry_after: Duration) -> Self {
        let retry_after = Some(retry_after);
        Self {
            reason,
            retry_after,
        }
    }

    /// Creates a refusal that holds for every retry.
    #[must_use]
    pub fn permanent(reason: Reason) -> Self {
        let retry_after = None;
        Self {
            reason,
            retry_after,
        }
    }

    /// The outcome that its reason implies.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.reason.outcome()
    }
}
