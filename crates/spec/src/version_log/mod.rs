//! Operators who write to the version log while answers are lost and transactions arrive late.
//!
//! Each request is a production [`Writer`](stoatstep_versionlog::Writer), and the platform is a
//! production [`Table`](stoatstep_platform::Table). The simulated environment decides which request
//! proceeds next, and whether a transaction is answered, applied with its answer lost, delayed for
//! any time, or refused.

mod log;
mod request;

use stoatstep_platform::{CommitAnswer, CommitRequest, PlatformError, Table};
use stoatstep_resource::OperationId;
use stoatstep_resource::wire::Change;
use stoatstep_versionlog::{WriteAction, WriteInput};

use crate::invariant::Invariant;
use crate::safeguard::{Safeguard, Safeguards};
use crate::search::Spec;
use crate::shared::Shared;

pub use log::Log;
use request::Request;
pub use request::{Edit, WriteOutcome};

/// Specification of operators' requests, with a bound on the faults.
#[derive(Clone, Debug)]
pub struct VersionLogSpec {
    edits: Vec<Edit>,
    faults: u8,
    safeguards: Safeguards,
}

/// State of the platform and of the requests. `log` is the decoded form of the table's log rows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VersionLogState {
    table: Shared<Table>,
    log: Shared<Log>,
    in_flight: Vec<CommitRequest>,
    requests: Vec<Shared<Request>>,
    faults: u8,
    log_violation: Option<Invariant>,
}

/// One event. The number is the index of the request, unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStep {
    /// The platform answers a read.
    Read(usize),
    /// The platform does not answer before the request times out.
    GaveUp(usize),
    /// A transaction is applied or refused by its conditions, and answered.
    Committed(usize),
    /// A transaction is applied or refused by its conditions, and the answer is lost.
    AnswerLost(usize),
    /// A transaction is delayed, and the writer gets no answer.
    Delayed(usize),
    /// The platform answers that it is unavailable.
    Unavailable(usize),
    /// A delayed transaction arrives; the number is its index among those in flight.
    Landed(usize),
}

impl VersionLogSpec {
    /// Creates a specification of requests that start at the same time from one service,
    /// `floatdesk`, at version 1, with at most `faults` lost, delayed or refused messages.
    #[must_use]
    pub fn new(edits: Vec<Edit>, faults: u8, safeguards: Safeguards) -> Self {
        Self {
            edits,
            faults,
            safeguards,
        }
    }

    /// The transaction without the parts that belong to a safeguard which is switched off.
    fn as_sent(&self, mut req: CommitRequest) -> CommitRequest {
        if !self.safeguards.has(Safeguard::HeadCondition) {
            req.conditions.retain(log::is_operation_condition);
        }
        if !self.safeguards.has(Safeguard::OperationRow) {
            req.conditions.retain(|it| !log::is_operation_condition(it));
            req.writes.retain(|it| !log::writes_operation(it));
        }
        req
    }

    fn step_request(
        &self,
        state: &VersionLogState,
        i: usize,
        input: WriteInput,
    ) -> VersionLogState {
        let mut next = state.clone();
        let step = |request: &mut Request| request.step(input, self.safeguards);
        next.change(i, step);
        if !self.safeguards.has(Safeguard::Validation) && next.requests[i].is_invalid() {
            let version = next.write_unchecked(state.requests[i].change());
            next.change(i, |it| it.outcome = Some(WriteOutcome::Accepted(version)));
        }
        next
    }

    fn step_with_fault(
        &self,
        state: &VersionLogState,
        i: usize,
        input: WriteInput,
    ) -> VersionLogState {
        let mut next = self.step_request(state, i, input);
        next.faults -= 1;
        next
    }

    fn after_read(&self, state: &VersionLogState, i: usize) -> Vec<(WriteStep, VersionLogState)> {
        let WriteAction::Read(req) = &state.requests[i].action else {
            return Vec::new();
        };
        let mut answer = state.table.read(req);
        if !self.safeguards.has(Safeguard::OperationRow) {
            answer.rows[log::OPERATION_ROW] = None;
        }
        let read = self.step_request(state, i, WriteInput::Read(Ok(answer)));
        let mut next = vec![(WriteStep::Read(i), read)];
        let mut given_up = state.clone();
        given_up.change(i, |it| it.time_out(self.safeguards));
        next.push((WriteStep::GaveUp(i), given_up));
        next
    }

    fn after_commit(&self, state: &VersionLogState, i: usize) -> Vec<(WriteStep, VersionLogState)> {
        let WriteAction::Commit(req) = &state.requests[i].action else {
            return Vec::new();
        };
        let req = self.as_sent(req.clone());
        let mut done = state.clone();
        let answer = done.commit(req.clone());
        let committed = self.step_request(&done, i, WriteInput::Commit(Ok(answer)));
        let mut next = vec![(WriteStep::Committed(i), committed)];
        if state.faults == 0 {
            return next;
        }
        let lost_input = || WriteInput::Commit(Err(answer_lost()));
        next.push((
            WriteStep::AnswerLost(i),
            self.step_with_fault(&done, i, lost_input()),
        ));
        let mut delayed = self.step_with_fault(state, i, lost_input());
        delayed.in_flight.push(req);
        next.push((WriteStep::Delayed(i), delayed));
        let out = WriteInput::Commit(Err(unavailable()));
        next.push((
            WriteStep::Unavailable(i),
            self.step_with_fault(state, i, out),
        ));
        next
    }
}

impl VersionLogState {
    fn change(&mut self, i: usize, change: impl FnOnce(&mut Request)) {
        self.requests[i] = self.requests[i].changed(change).0;
    }

    fn commit(&mut self, req: CommitRequest) -> CommitAnswer {
        let (table, answer) = self.table.changed(|it| it.commit(req));
        self.table = table;
        if matches!(answer, CommitAnswer::Committed { .. }) {
            self.read_log();
        }
        answer
    }

    fn read_log(&mut self) {
        let log = Log::read(&self.table);
        if !log.extends(&self.log) {
            self.log_violation.get_or_insert(Invariant::LogIsFinal);
        }
        self.log = Shared::new(log);
    }

    /// Commits the change as a writer without validation would.
    fn write_unchecked(&mut self, change: &Change) -> u64 {
        let (version, writes) = self.log.unchecked(change);
        let conditions = Vec::new();
        self.commit(CommitRequest { conditions, writes });
        version
    }

    fn violated_by_outcomes(&self) -> Option<Invariant> {
        let mut requests = self.requests.iter();
        requests.find_map(|request| self.check_outcome(request))
    }

    fn check_outcome(&self, request: &Request) -> Option<Invariant> {
        let operation = request.operation();
        match request.outcome? {
            WriteOutcome::Accepted(version) => {
                let found = self.log.operation(version) == Some(operation);
                (!found).then_some(Invariant::AcceptedIsInLog)
            }
            WriteOutcome::Refused => {
                let refused = self.all_refused(operation) && self.log.count(operation) > 0;
                refused.then_some(Invariant::RefusedIsNotInLog)
            }
            WriteOutcome::Unsettled => None,
        }
    }

    /// Whether every request of this operation was refused. While another one is still in progress,
    /// a refusal applies to its own request only.
    fn all_refused(&self, operation: &OperationId) -> bool {
        let mut same = self
            .requests
            .iter()
            .filter(|it| it.operation() == operation);
        same.all(|it| it.outcome == Some(WriteOutcome::Refused))
    }
}

impl Spec for VersionLogSpec {
    type State = VersionLogState;
    type Step = WriteStep;

    fn start(&self) -> VersionLogState {
        let (table, base) = log::with_one_service();
        let request = |edit: &Edit| {
            let request = Request::new(edit, base.clone(), self.safeguards);
            Shared::new(request)
        };
        VersionLogState {
            log: Shared::new(Log::read(&table)),
            table: Shared::new(table),
            in_flight: Vec::new(),
            requests: self.edits.iter().map(request).collect(),
            faults: self.faults,
            log_violation: None,
        }
    }

    fn steps(&self, state: &VersionLogState) -> Vec<(WriteStep, VersionLogState)> {
        let mut next = Vec::new();
        for i in 0..state.requests.len() {
            next.extend(self.after_read(state, i));
            next.extend(self.after_commit(state, i));
        }
        for i in 0..state.in_flight.len() {
            let mut landed = state.clone();
            let req = landed.in_flight.remove(i);
            landed.commit(req);
            next.push((WriteStep::Landed(i), landed));
        }
        next
    }

    fn violated(&self, state: &VersionLogState) -> Option<Invariant> {
        let by_log = || state.log.violated(&self.edits);
        state
            .log_violation
            .or_else(by_log)
            .or_else(|| state.violated_by_outcomes())
    }
}

fn answer_lost() -> PlatformError {
    let reason = "answer lost".into();
    PlatformError::Unknown { reason }
}

fn unavailable() -> PlatformError {
    PlatformError::Unavailable {
        reason: "down".into(),
        retry_after: None,
    }
}
