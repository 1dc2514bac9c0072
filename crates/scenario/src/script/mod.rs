//! What a scenario says. See the language in `docs/contributing/testing.md`.

mod condition;
mod deed;
mod parse;
mod words;

use std::collections::BTreeSet;
use std::fmt;

use smol_str::SmolStr;
use stoatstep_calls::RateLimit;
use stoatstep_membership::Time;
use stoatstep_platform::FaultKind;
use stoatstep_resource::{Key, Resource};

use crate::world::net::LinkFault;
use crate::world::{Index, ZoneIndex};

pub use parse::parse;

/// Something wrong with a scenario file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Line, from 1.
    pub line: usize,
    /// Column of the word at fault, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// Enum whose variants are written as one word each.
macro_rules! named {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident => $text:literal,)+ }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)+
        }

        impl $name {
            /// Every variant.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// The word in a scenario.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

named! {
    /// A safeguard that a scenario can run without, to see that it is needed.
    Safeguard {
        /// Waiting for the floor before serving.
        RestartFloor => "restart-floor",
        /// Pulling what pushes did not bring.
        Repair => "repair",
        /// Comparing a state's digest with its writer's before it comes into force.
        DigestCheck => "digest-check",
        /// Pollers chosen by hash in place of everyone polling.
        PollBudget => "poll-budget",
        /// One operation id for all tries of an operator's change.
        OperationId => "operation-id",
        /// The revision that an operator expects.
        ExpectedRevision => "expected-revision",
        /// Asking the executor before an attempt counts as not run.
        Revoke => "revoke",
        /// The home's memory of keys.
        KeyMemory => "key-memory",
        /// A restarted home's refusal of keys that are older than itself.
        RestartAuthority => "restart-authority",
        /// The claim row of a key that states no time.
        ClaimRow => "claim-row",
        /// Saying that an instance is leaving, and refusing what comes still.
        Drain => "drain",
        /// A leaving home's memory of keys, handed to the next process.
        Handover => "handover",
        /// Waiting for calls in flight at the end of a drain.
        DrainWait => "drain-wait",
        /// Emptying the queue after a freeze.
        WakeFlush => "wake-flush",
        /// Shares of tenants under overload.
        TenantShares => "tenant-shares",
        /// The limiter of the requests to a target that states a limit.
        TargetLimit => "target-limit",
    }
}

named! {
    /// What must never happen, and what was expected and did not.
    Rule {
        /// An instance serves by an older version than it did, restarts included.
        NeverBack => "never-back",
        /// A route in force points at a resource that is not there.
        DanglingRoute => "dangling-route",
        /// Two states bear the same version.
        OtherState => "other-state",
        /// An accepted version is gone from the log.
        Reverted => "reverted",
        /// What may run once ran twice.
        RanTwice => "ran-twice",
        /// A call that ran was told to be not run.
        UntrueNotRun => "untrue-not-run",
        /// An answer belongs to another request.
        WrongAnswer => "wrong-answer",
        /// A target got work long after it began to leave.
        LateWork => "late-work",
        /// An instance left while its target ran something.
        CutInFlight => "cut-in-flight",
        /// A target got more work than the limit that it states allows.
        OverLimit => "over-limit",
        /// An `expect` line does not hold.
        Unmet => "unmet",
    }
}

/// A scenario that was read without findings.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    pub(crate) fleet: Fleet,
    pub(crate) without: BTreeSet<Safeguard>,
    pub(crate) expected: Option<Rule>,
    pub(crate) steps: Vec<Step>,
}

/// Size and pace of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fleet {
    pub(crate) zones: usize,
    pub(crate) per_zone: usize,
    pub(crate) seeds: u64,
    pub(crate) slots: u32,
    pub(crate) target_time: Time,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            zones: 2,
            per_zone: 3,
            seeds: 3,
            slots: 13,
            target_time: Time::from_millis(20),
        }
    }
}

impl Fleet {
    pub(crate) fn instances(&self) -> usize {
        self.zones * self.per_zone
    }
}

/// One line that has its time.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Step {
    pub(crate) line: usize,
    pub(crate) at: Time,
    pub(crate) action: Action,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    Do(Deed),
    Expect(Condition),
}

/// Instances that something happens to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    Everywhere,
    Zone(ZoneIndex),
    Instance(Index),
}

/// How far the time of day at an instance is off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ClockError {
    #[default]
    None,
    Ahead(Time),
    Back(Time),
}

impl ClockError {
    /// What a clock with this error shows.
    pub(crate) fn shown(self, time: Time) -> Time {
        match self {
            Self::None => time,
            Self::Ahead(by) => time + by,
            Self::Back(by) => time.saturating_sub(by),
        }
    }
}

/// One resource written or deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Edit {
    Put(Resource),
    Delete(Key),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// Idempotent.
    Read,
    /// Not idempotent, without a key.
    Write,
    /// Not idempotent, with a key that states its time.
    Claim,
    /// Not idempotent, with a key that states none.
    Plain,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallSpec {
    pub(crate) kind: CallKind,
    pub(crate) name: SmolStr,
    pub(crate) from: Index,
    pub(crate) tenant: SmolStr,
    pub(crate) deadline: Time,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Deed {
    Change {
        edit: Edit,
        by: Index,
    },
    Race {
        first: Index,
        second: Index,
        route: SmolStr,
    },
    CutZones(ZoneIndex, ZoneIndex, Time),
    CutPlatform(ZoneIndex, Time),
    Kill(Place),
    Restart(Place),
    Freeze(Index, Time),
    /// The time of day there is off from then on.
    Clock(Place, ClockError),
    Drain(Index),
    Platform {
        kind: FaultKind,
        delay: Time,
        time: Time,
    },
    Churn {
        per_second: u32,
        time: Time,
        by: Index,
    },
    LosePushes(Time),
    DamagePushes(Time),
    Link {
        from: Index,
        to: Index,
        fault: LinkFault,
        time: Time,
    },
    /// The target of an instance states this limit from then on, or none.
    Limit(Index, Option<RateLimit>),
    Call(CallSpec),
    Load {
        call: CallSpec,
        per_second: u32,
        time: Time,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeEnd {
    Accepted,
    Conflict,
    Invalid,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallEnd {
    Answered,
    NotRun,
    Unknown,
    Broken,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Condition {
    Version(u64, Place),
    Newest(Place),
    Head(u64),
    Serving(Place),
    Members(usize, Place),
    PlatformReadsBelow(u32),
    Changes(ChangeEnd, usize),
    Outcome {
        name: SmolStr,
        end: CallEnd,
        reason: Option<SmolStr>,
    },
    AnsweredAtLeast {
        name: SmolStr,
        percent: u32,
    },
    Ran {
        name: SmolStr,
        times: usize,
    },
}
