//! The named searches that the tests and the `search` example run.

use crate::api_keys::{ApiKeyBounds, ApiKeySpec};
use crate::attempt::{AttemptBounds, AttemptSpec};
use crate::distribution::{DistributionBounds, DistributionSpec};
use crate::idempotency::{Clocks, IdempotencyBounds, IdempotencySpec, Removal};
use crate::invariant::Invariant;
use crate::late_copies::{LateCopyBounds, LateCopySpec};
use crate::safeguard::{Safeguard, Safeguards};
use crate::search::{Spec, search};
use crate::version_log::{Edit, VersionLogSpec};

/// No bound on the number of steps; the search is finite since a case has bounded faults and
/// versions.
const UNBOUNDED: usize = usize::MAX;

/// A specification with its bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// One operator's request at two daemons, and a conflicting request of another operator.
    WriteRace,
    /// The requests of [`Case::WriteRace`] and one that edits another service, with fewer faults.
    WriteApart,
    /// One operator deletes a service while another adds a route to it.
    WriteReference,
    /// Deltas and whole states that are reordered, duplicated and damaged.
    Delivery,
    /// Two daemons that restart while the platform may be unavailable.
    RestartOutage,
    /// Two daemons at version 1, one restart and one freeze.
    RestartFreeze,
    /// Three daemons at version 1 and one restart, within a bound on the steps.
    RestartOutageThree,
    /// Two daemons that restart while the platform answers every request.
    RestartReachable,
    /// Three daemons at version 1 and one restart, while the platform answers every request, within
    /// a bound on the steps.
    RestartReachableThree,
    /// One call with two attempts.
    Attempt,
    /// One call with two attempts, each at another executor.
    AttemptElsewhere,
    /// Two calls on one connection.
    AttemptPair,
    /// Two calls at an executor with room for one record.
    AttemptFull,
    /// An idempotency key whose home changes, with a restart.
    Intent,
    /// An idempotency key whose home changes, with the first home's clock ahead.
    IntentFirstAhead,
    /// An idempotency key from a caller whose clock is ahead.
    IntentCallerAhead,
    /// An idempotency key from a caller whose clock is ahead by more than the allowed skew.
    IntentCallerWrong,
    /// The key's home changes and changes back; versions arrive in order.
    IntentBack,
    /// The key's home changes and changes back, with skipped versions and a restart; the key is
    /// created two ticks after the start.
    IntentBackSkip,
    /// The key's home changes and changes back; the removed upstream is stopped before the version
    /// that deletes it is accepted, and versions are skipped.
    IntentStopped,
    /// The key's home changes and changes back; the removed upstream is stopped before the version
    /// that deletes it is accepted, and there is a planned restart.
    IntentPlanned,
    /// A customer's key is revoked while answers are delayed and a daemon restarts.
    Keys,
    /// A customer's key is revoked while answers are delayed and a daemon is suspended.
    KeysAsleep,
    /// Four sends on two connections to a target that repeats answers.
    LateCopies,
    /// Five sends on one connection to a target that repeats answers.
    LateCopiesOnOne,
}

/// Every case, in the order of `docs/design/model-checking.md`.
pub const CASES: &[Case] = &[
    Case::WriteRace,
    Case::WriteApart,
    Case::WriteReference,
    Case::Delivery,
    Case::RestartOutage,
    Case::RestartFreeze,
    Case::RestartOutageThree,
    Case::RestartReachable,
    Case::RestartReachableThree,
    Case::Attempt,
    Case::AttemptElsewhere,
    Case::AttemptPair,
    Case::AttemptFull,
    Case::Intent,
    Case::IntentFirstAhead,
    Case::IntentCallerAhead,
    Case::IntentCallerWrong,
    Case::IntentBack,
    Case::IntentBackSkip,
    Case::IntentStopped,
    Case::IntentPlanned,
    Case::Keys,
    Case::KeysAsleep,
    Case::LateCopies,
    Case::LateCopiesOnOne,
];

/// For each safeguard, a case that violates an invariant without it.
pub const SAFEGUARD_CASES: &[(Safeguard, Case)] = &[
    (Safeguard::OperationRow, Case::WriteReference),
    (Safeguard::HeadCondition, Case::WriteRace),
    (Safeguard::RevisionCheck, Case::WriteRace),
    (Safeguard::Validation, Case::WriteReference),
    (Safeguard::UnansweredMemory, Case::WriteRace),
    (Safeguard::VersionAboveOwn, Case::Delivery),
    (Safeguard::DigestCheck, Case::Delivery),
    (Safeguard::ReferenceCheck, Case::Delivery),
    (Safeguard::OrderCheck, Case::Delivery),
    (Safeguard::RestartFloor, Case::RestartOutage),
    (Safeguard::EnoughHeard, Case::RestartOutage),
    (Safeguard::PlatformFirst, Case::RestartReachable),
    (Safeguard::RevokeFence, Case::Attempt),
    (Safeguard::TicketExpiry, Case::Attempt),
    (Safeguard::RecordRetention, Case::Attempt),
    (Safeguard::IncarnationCheck, Case::Attempt),
    (Safeguard::StartCheck, Case::Attempt),
    (Safeguard::DuplicateCheck, Case::Attempt),
    (Safeguard::AnswerId, Case::AttemptPair),
    (Safeguard::RetryRule, Case::Attempt),
    (Safeguard::DeadlineCheck, Case::Attempt),
    (Safeguard::HomeConfirm, Case::Intent),
    (Safeguard::AskerCheck, Case::IntentBackSkip),
    (Safeguard::MembersHandedOver, Case::IntentPlanned),
    (Safeguard::RecheckAfterAsk, Case::IntentBack),
    (Safeguard::AuthoritySince, Case::Intent),
    (Safeguard::SkewMargin, Case::IntentCallerAhead),
    (Safeguard::FutureKeyCheck, Case::IntentCallerWrong),
    (Safeguard::KeyExpiry, Case::Intent),
    (Safeguard::LostKeyKept, Case::Intent),
    (Safeguard::AgeFromQuestion, Case::Keys),
    (Safeguard::ConfirmsOnlyHeld, Case::Keys),
    (Safeguard::CopyConfirmsNothing, Case::Keys),
    (Safeguard::SleepCounts, Case::KeysAsleep),
    (Safeguard::SentOnceOnConnection, Case::LateCopies),
    (Safeguard::NamedConnection, Case::LateCopies),
    (Safeguard::ForeignAnswersDropped, Case::LateCopies),
    (Safeguard::UnnamedFailureCloses, Case::LateCopies),
];

/// Result of a search, with the steps as text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Number of visited states.
    pub states: usize,
    /// Number of steps to the farthest of them.
    pub depth: usize,
    /// Whether states beyond the bound were not visited.
    pub is_truncated: bool,
    /// The invariant that the shortest counterexample violates, and its steps as text.
    pub violation: Option<(Invariant, Vec<String>)>,
}

impl Case {
    /// Runs the search of this case with these safeguards.
    #[must_use]
    pub fn search(self, safeguards: Safeguards) -> Summary {
        match self {
            Self::WriteRace | Self::WriteApart | Self::WriteReference => {
                let (edits, faults) = self.edits();
                run(&VersionLogSpec::new(edits, faults, safeguards), UNBOUNDED)
            }
            Self::Delivery
            | Self::RestartOutage
            | Self::RestartFreeze
            | Self::RestartOutageThree
            | Self::RestartReachable
            | Self::RestartReachableThree => {
                let (bounds, depth) = self.distribution();
                run(&DistributionSpec::new(bounds, safeguards), depth)
            }
            Self::Attempt | Self::AttemptElsewhere | Self::AttemptPair | Self::AttemptFull => {
                run(&AttemptSpec::new(self.attempts(), safeguards), UNBOUNDED)
            }
            Self::Keys | Self::KeysAsleep => {
                run(&ApiKeySpec::new(self.api_keys(), safeguards), UNBOUNDED)
            }
            Self::LateCopies | Self::LateCopiesOnOne => run(
                &LateCopySpec::new(self.late_copies(), safeguards),
                UNBOUNDED,
            ),
            _ => run(
                &IdempotencySpec::new(self.idempotency(), safeguards),
                UNBOUNDED,
            ),
        }
    }

    fn edits(self) -> (Vec<Edit>, u8) {
        let put = |operation, name| Edit::PutService {
            operation,
            name,
            expected: Some(0),
        };
        let twice = vec![put("op-a", "refundhall"), put("op-a", "refundhall")];
        let race = put("op-b", "refundhall");
        match self {
            Self::WriteApart => {
                let apart = put("op-c", "donor-desk");
                ([twice, vec![race, apart]].concat(), 2)
            }
            Self::WriteReference => {
                let delete = Edit::DeleteService {
                    operation: "op-a",
                    name: "floatdesk",
                };
                let add = Edit::AddRoute {
                    operation: "op-b",
                    service: "floatdesk",
                };
                (vec![delete, add], 3)
            }
            _ => ([twice, vec![race]].concat(), 4),
        }
    }

    fn distribution(self) -> (DistributionBounds, usize) {
        let restart = DistributionBounds {
            daemons: 2,
            versions: 2,
            is_warm: false,
            in_flight: 0,
            faults: 0,
            restarts: 2,
            freezes: 0,
            has_platform: false,
        };
        match self {
            Self::Delivery => {
                let bounds = DistributionBounds {
                    versions: 3,
                    in_flight: 2,
                    faults: 2,
                    restarts: 0,
                    has_platform: true,
                    ..restart
                };
                (bounds, UNBOUNDED)
            }
            Self::RestartFreeze => {
                let bounds = DistributionBounds {
                    is_warm: true,
                    restarts: 1,
                    freezes: 1,
                    ..restart
                };
                (bounds, UNBOUNDED)
            }
            Self::RestartOutageThree => {
                let bounds = DistributionBounds {
                    daemons: 3,
                    is_warm: true,
                    restarts: 1,
                    ..restart
                };
                (bounds, 8)
            }
            Self::RestartReachable => {
                let bounds = DistributionBounds {
                    has_platform: true,
                    ..restart
                };
                (bounds, UNBOUNDED)
            }
            Self::RestartReachableThree => {
                let bounds = DistributionBounds {
                    daemons: 3,
                    is_warm: true,
                    restarts: 1,
                    has_platform: true,
                    ..restart
                };
                (bounds, 8)
            }
            _ => (restart, UNBOUNDED),
        }
    }

    fn attempts(self) -> AttemptBounds {
        let one = AttemptBounds {
            calls: 1,
            attempts: 2,
            executors: 1,
            records: 8,
            faults: 2,
            restarts: 1,
            ticks: 3,
        };
        let pair = AttemptBounds {
            calls: 2,
            attempts: 1,
            restarts: 0,
            ..one
        };
        match self {
            Self::AttemptElsewhere => AttemptBounds {
                executors: 2,
                ..one
            },
            Self::AttemptPair => AttemptBounds { faults: 1, ..pair },
            Self::AttemptFull => AttemptBounds {
                records: 1,
                faults: 1,
                ..pair
            },
            _ => one,
        }
    }

    fn api_keys(self) -> ApiKeyBounds {
        let awake = ApiKeyBounds {
            ticks: 6,
            in_flight: 2,
            restarts: 1,
            sleeps: 0,
        };
        match self {
            Self::KeysAsleep => ApiKeyBounds {
                restarts: 0,
                sleeps: 2,
                ..awake
            },
            _ => awake,
        }
    }

    fn late_copies(self) -> LateCopyBounds {
        let (connections, sends) = match self {
            Self::LateCopiesOnOne => (1, 5),
            _ => (2, 4),
        };
        LateCopyBounds { connections, sends }
    }

    fn idempotency(self) -> IdempotencyBounds {
        let moved = IdempotencyBounds {
            attempts: 2,
            created_at: 0,
            versions: 2,
            removal: Removal::Live,
            skips: false,
            restarts: 1,
            planned_restarts: 0,
            lost_answers: 1,
            ticks: 4,
            clocks: clocks(0, 0),
        };
        let back = IdempotencyBounds {
            versions: 3,
            lost_answers: 0,
            ticks: 1,
            restarts: 0,
            ..moved
        };
        match self {
            Self::IntentFirstAhead => IdempotencyBounds {
                lost_answers: 0,
                clocks: clocks(0, 1),
                ..moved
            },
            Self::IntentCallerAhead => IdempotencyBounds {
                versions: 1,
                clocks: clocks(1, 0),
                ..moved
            },
            Self::IntentCallerWrong => IdempotencyBounds {
                versions: 1,
                clocks: clocks(3, 0),
                ..moved
            },
            Self::IntentBack => back,
            Self::IntentBackSkip => IdempotencyBounds {
                created_at: 2,
                ticks: 2,
                skips: true,
                restarts: 1,
                ..back
            },
            Self::IntentStopped => IdempotencyBounds {
                ticks: 3,
                skips: true,
                removal: Removal::Stopped,
                ..back
            },
            Self::IntentPlanned => IdempotencyBounds {
                ticks: 3,
                planned_restarts: 1,
                removal: Removal::Stopped,
                ..back
            },
            _ => moved,
        }
    }
}

fn clocks(caller: u8, first: u8) -> Clocks {
    Clocks {
        caller,
        first,
        second: 0,
    }
}

fn run<S: Spec + Clone>(spec: &S, bound: usize) -> Summary {
    let report = search(spec, bound);
    let violation = report.counterexample.map(|it| {
        let steps = it.steps.iter().map(|step| format!("{step:?}"));
        (it.invariant, steps.collect())
    });
    Summary {
        states: report.states,
        depth: report.depth,
        is_truncated: report.is_truncated,
        violation,
    }
}
