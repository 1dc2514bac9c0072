//! One operator's request at one daemon.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use stoatstep_platform::PlatformError;
use stoatstep_resource::wire::Change;
use stoatstep_resource::{Kind, OperationId, Revision, State, Version};
use stoatstep_versionlog::{LogConfig, WriteAction, WriteError, WriteInput, Writer};

use crate::resources::{key, route, service};
use crate::safeguard::{Safeguard, Safeguards};

/// A time after the timeout of every writer.
const AFTER_TIMEOUT: Duration = Duration::from_hours(1);

/// A change requested by an operator. Two edits with the same operation id are the same request
/// sent to two daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Edit {
    /// Writes a service.
    PutService {
        /// Id of the operation.
        operation: &'static str,
        /// The service.
        name: &'static str,
        /// Revision that the operator expects, if any.
        expected: Option<Revision>,
    },
    /// Deletes a service.
    DeleteService {
        /// Id of the operation.
        operation: &'static str,
        /// The service.
        name: &'static str,
    },
    /// Adds a route.
    AddRoute {
        /// Id of the operation.
        operation: &'static str,
        /// The service that the route refers to.
        service: &'static str,
    },
}

impl Edit {
    pub(super) fn change(&self) -> Change {
        let (operation, puts, deletes) = match *self {
            Self::PutService {
                operation,
                name,
                expected,
            } => (operation, vec![(service(name), expected)], Vec::new()),
            Self::DeleteService { operation, name } => {
                let deletes = vec![(key(Kind::Service, name), None)];
                (operation, Vec::new(), deletes)
            }
            Self::AddRoute { operation, service } => {
                (operation, vec![(route(service, service), None)], Vec::new())
            }
        };
        Change {
            operation: operation.into(),
            puts,
            deletes,
        }
    }
}

/// The outcome that was reported to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// The change produced this version.
    Accepted(Version),
    /// The change did not take effect and will not.
    Refused,
    /// The change may have taken effect or may still do so.
    Unsettled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Reading,
    Committing,
    Ended,
}

/// A writer with its pending action.
#[derive(Clone, Debug)]
pub(super) struct Request {
    change: Change,
    writer: Writer,
    pub(super) action: WriteAction,
    pub(super) outcome: Option<WriteOutcome>,
}

impl Request {
    pub(super) fn new(edit: &Edit, base: Arc<State>, safeguards: Safeguards) -> Self {
        let mut change = edit.change();
        if !safeguards.has(Safeguard::RevisionCheck) {
            change
                .puts
                .iter_mut()
                .for_each(|(_, expected)| *expected = None);
        }
        let cfg = LogConfig::default();
        let mut writer = Writer::new(change.clone(), "operator".into(), base, &cfg, 0);
        let action = writer.step(Duration::ZERO, WriteInput::Start);
        Self {
            change,
            writer,
            action,
            outcome: None,
        }
    }

    pub(super) fn change(&self) -> &Change {
        &self.change
    }

    pub(super) fn operation(&self) -> &OperationId {
        &self.change.operation
    }

    pub(super) fn is_invalid(&self) -> bool {
        matches!(
            self.action,
            WriteAction::Finish(Err(WriteError::Invalid(_)))
        )
    }

    /// Passes an input to the writer. Delays are skipped: only their order with other events
    /// matters, and the search tries all orders.
    pub(super) fn step(&mut self, input: WriteInput, safeguards: Safeguards) {
        self.action = self.writer.step(Duration::ZERO, input);
        if let WriteAction::Wait(_) = self.action {
            self.action = self.writer.step(Duration::ZERO, WriteInput::WaitElapsed);
        }
        self.record_outcome(safeguards);
    }

    pub(super) fn time_out(&mut self, safeguards: Safeguards) {
        let error = PlatformError::Unavailable {
            reason: "down".into(),
            retry_after: None,
        };
        self.action = self
            .writer
            .step(AFTER_TIMEOUT, WriteInput::Read(Err(error)));
        self.record_outcome(safeguards);
    }

    fn record_outcome(&mut self, safeguards: Safeguards) {
        let WriteAction::Finish(result) = &self.action else {
            return;
        };
        let remembers = safeguards.has(Safeguard::UnansweredMemory);
        self.outcome = Some(match result {
            Ok(accepted) => WriteOutcome::Accepted(accepted.version),
            Err(WriteError::Unsettled { .. }) if remembers => WriteOutcome::Unsettled,
            Err(_) => WriteOutcome::Refused,
        });
    }

    fn phase(&self) -> Phase {
        match self.action {
            WriteAction::Read(_) => Phase::Reading,
            WriteAction::Commit(_) => Phase::Committing,
            WriteAction::Recover | WriteAction::Wait(_) | WriteAction::Finish(_) => Phase::Ended,
        }
    }
}

/// Requests with equal indexes in two states have the same change, so it is not compared.
impl PartialEq for Request {
    fn eq(&self, other: &Self) -> bool {
        self.outcome == other.outcome
            && self.phase() == other.phase()
            && (self.outcome.is_some() || self.writer.progress() == other.writer.progress())
    }
}

impl Eq for Request {}

impl Hash for Request {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.outcome.hash(hasher);
        self.phase().hash(hasher);
        if self.outcome.is_none() {
            self.writer.progress().hash(hasher);
        }
    }
}
