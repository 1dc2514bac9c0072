//! Writes one change to the log, despite lost answers, outages and competing writers.

mod error;
mod message;
mod prepare;

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use stoatstep_platform::{CommitAnswer, CommitRequest, Condition, PlatformError, ReadAnswer};
use stoatstep_resource::wire::Change;
use stoatstep_resource::{Delta, Digest, State};

use crate::backoff::Backoff;
use crate::config::LogConfig;
use crate::error::LogError;
use crate::keys::operation_key;
use crate::rows::{Head, HeadRow, LogEntry, OperationEntry};
use crate::tail::{Tail, apply_all, read_head, read_tail, tail_request};

pub use error::{RevisionConflict, WriteError};
pub use message::{AcceptedChange, WriteAction, WriteInput};

/// Index of the operation's row in a read; the head's row comes first.
const OPERATION_ROW: usize = 1;

/// A transaction that was sent, and the state that it produces.
#[derive(Clone, Debug)]
struct Prepared {
    delta: Delta,
    state: Arc<State>,
    head: Head,
    unchanged: Condition,
}

/// Everything that a writer's further decisions depend on, except the lengths of its delays. Two
/// writers of the same change with equal progress behave the same, which lets a model checker
/// recognize states that it has already visited.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WriteProgress {
    /// Digest of the state that the next transaction is based on; it covers the version.
    pub held: Digest,
    /// The condition on the head of the transaction that is being sent.
    pub sent: Option<Condition>,
    /// The condition on the head of a transaction whose answer was lost.
    pub unanswered: Option<Condition>,
}

/// Writes one change.
///
/// Every try reads the head, the operation's row and the missing versions in one consistent view,
/// and commits on condition that the head row has not changed since. So at most one of the
/// transactions that start from one head is applied, whether the others come from other operators,
/// from the same request at another daemon, or from this writer's own earlier try whose answer was
/// lost and which may still arrive.
#[derive(Clone, Debug)]
pub struct Writer {
    change: Change,
    author: SmolStr,
    fingerprint: Digest,
    cfg: LogConfig,
    backoff: Backoff,
    state: Arc<State>,
    deltas: Vec<Delta>,
    prepared: Option<Prepared>,
    /// The condition on the head of this writer's transaction whose answer was lost. As long as the
    /// condition holds, that transaction may still be applied.
    unanswered: Option<Condition>,
}

impl Writer {
    /// Creates a writer of `change` that starts from a state which the caller holds. `author` is
    /// stored for readers of the log.
    #[must_use]
    pub fn new(
        change: Change,
        author: SmolStr,
        state: Arc<State>,
        cfg: &LogConfig,
        seed: u64,
    ) -> Self {
        Self {
            fingerprint: prepare::fingerprint(&change),
            change,
            author,
            cfg: cfg.clone(),
            backoff: Backoff::new(cfg, seed),
            state,
            deltas: Vec::new(),
            prepared: None,
            unanswered: None,
        }
    }

    /// Handles an input at time `now` and returns the next action. The input has to be the answer
    /// to the previous action.
    pub fn step(&mut self, now: Duration, input: WriteInput) -> WriteAction {
        self.backoff.start(now);
        match input {
            WriteInput::Start | WriteInput::WaitElapsed => self.read(),
            WriteInput::Read(Ok(answer)) => self.after_read(&answer),
            WriteInput::Read(Err(e)) => self.after_error(now, &e),
            WriteInput::Commit(answer) => self.after_commit(now, answer),
            WriteInput::Recovered(Ok(state)) => {
                self.deltas.clear();
                self.state = state;
                self.read()
            }
            WriteInput::Recovered(Err(e)) => self.fail(WriteError::Recovery(e)),
        }
    }

    /// Everything that this writer's further decisions depend on.
    #[must_use]
    pub fn progress(&self) -> WriteProgress {
        WriteProgress {
            held: self.state.digest(),
            sent: self.prepared.as_ref().map(|it| it.unchanged.clone()),
            unanswered: self.unanswered.clone(),
        }
    }

    fn read(&self) -> WriteAction {
        let mut req = tail_request(self.state.version(), self.cfg.max_rows_per_read);
        req.gets.push(operation_key(&self.change.operation));
        WriteAction::Read(req)
    }

    /// Looks up the operation's row first; if it exists, the change has taken effect. Without this
    /// check a writer whose answer was lost would commit its change a second time, and one edit
    /// would become two versions. The check comes before any other that can fail, since the change
    /// that took effect may make this one look invalid.
    fn after_read(&mut self, answer: &ReadAnswer) -> WriteAction {
        match self.evaluate_read(answer) {
            Ok(action) => action,
            Err(e) => self.fail(WriteError::Log(e)),
        }
    }

    fn evaluate_read(&mut self, answer: &ReadAnswer) -> Result<WriteAction, LogError> {
        let head = read_head(answer)?;
        let operation_row = answer
            .rows
            .get(OPERATION_ROW)
            .ok_or(LogError::IncompleteAnswer)?;
        let tail = read_tail(self.state.version(), answer);
        if let Some(row) = operation_row {
            let entry = OperationEntry::try_from(row)?;
            return Ok(self.replay(entry, head.head, tail.ok()));
        }
        let Tail::Deltas { deltas, .. } = tail? else {
            return Ok(WriteAction::Recover);
        };
        self.catch_up(deltas)?;
        if self.state.version() < head.head.version {
            return Ok(self.read());
        }
        if self.state.digest() != head.head.digest {
            return Err(LogError::HeadDigest {
                version: head.head.version,
            });
        }
        Ok(self.commit(head))
    }

    fn catch_up(&mut self, deltas: Vec<Delta>) -> Result<(), LogError> {
        if let Some(state) = apply_all(&self.state, &deltas)? {
            self.state = Arc::new(state);
        }
        self.deltas.extend(deltas);
        Ok(())
    }

    fn replay(&mut self, entry: OperationEntry, head: Head, tail: Option<Tail>) -> WriteAction {
        if entry.fingerprint != self.fingerprint {
            let version = entry.version;
            return WriteAction::Finish(Err(WriteError::OperationReused { version }));
        }
        // The change is in the log even if the versions before it can't be read, so a malformed row
        // does not make this operation fail.
        if let Some(Tail::Deltas { deltas, .. }) = tail {
            let _ = self.catch_up(deltas);
        }
        WriteAction::Finish(Ok(AcceptedChange {
            version: entry.version,
            replayed: self.unanswered.is_none(),
            state: Arc::clone(&self.state),
            deltas: std::mem::take(&mut self.deltas),
            head,
        }))
    }

    fn commit(&mut self, head: HeadRow) -> WriteAction {
        let unchanged = head.unchanged();
        // The head was written since, so the unanswered transaction can no longer be applied.
        if self.unanswered.as_ref() != Some(&unchanged) {
            self.unanswered = None;
        }
        let (delta, state) = match prepare::prepare(&self.change, &self.state) {
            Ok(prepared) => prepared,
            Err(e) => return WriteAction::Finish(Err(e)),
        };
        let head = Head {
            version: delta.version,
            digest: delta.digest,
            ..head.head
        };
        let prepared = Prepared {
            delta,
            state: Arc::new(state),
            head,
            unchanged,
        };
        let req = self.transaction(&prepared);
        self.prepared = Some(prepared);
        WriteAction::Commit(req)
    }

    /// Builds the transaction. The condition on the head alone prevents an operation from being
    /// applied twice, provided that head and operation were read in one consistent view. If the
    /// platform breaks that guarantee, a stale absence of the operation's row beside a fresh head
    /// would produce a second version; the condition on the operation's row prevents that.
    fn transaction(&self, prepared: &Prepared) -> CommitRequest {
        let operation = &self.change.operation;
        let entry = LogEntry {
            delta: prepared.delta.clone(),
            operation: operation.clone(),
            author: self.author.clone(),
        };
        let done = OperationEntry {
            version: prepared.delta.version,
            fingerprint: self.fingerprint,
        };
        CommitRequest {
            conditions: vec![
                prepared.unchanged.clone(),
                Condition::Absent(operation_key(operation)),
            ],
            writes: vec![prepared.head.put(), entry.put(), done.put(operation)],
        }
    }

    fn after_commit(
        &mut self,
        now: Duration,
        answer: Result<CommitAnswer, PlatformError>,
    ) -> WriteAction {
        let prepared = self.prepared.take();
        match (answer, prepared) {
            (Ok(CommitAnswer::Committed { .. }), Some(prepared)) => self.accepted(prepared),
            // Another writer was first, or this writer's own earlier transaction was applied.
            (Ok(_), _) => self.wait(now, None),
            (Err(e), prepared) => {
                if !e.is_not_done() {
                    self.unanswered = prepared.map(|it| it.unchanged);
                }
                self.after_error(now, &e)
            }
        }
    }

    fn accepted(&mut self, prepared: Prepared) -> WriteAction {
        let version = prepared.delta.version;
        self.deltas.push(prepared.delta);
        WriteAction::Finish(Ok(AcceptedChange {
            version,
            replayed: false,
            state: prepared.state,
            deltas: std::mem::take(&mut self.deltas),
            head: prepared.head,
        }))
    }

    fn after_error(&mut self, now: Duration, error: &PlatformError) -> WriteAction {
        if let PlatformError::Refused { reason } = error {
            let reason = reason.clone();
            return self.fail(WriteError::Refused { reason });
        }
        match self.backoff.after_error(now, error) {
            Some(wait) => WriteAction::Wait(wait),
            None => self.timed_out(),
        }
    }

    fn wait(&mut self, now: Duration, hint: Option<Duration>) -> WriteAction {
        match self.backoff.next(now, hint) {
            Some(wait) => WriteAction::Wait(wait),
            None => self.timed_out(),
        }
    }

    fn timed_out(&mut self) -> WriteAction {
        let retry_after = self.backoff.retry_after();
        self.fail(WriteError::Unavailable { retry_after })
    }

    /// Ends with `error`, or with [`WriteError::Unsettled`] while a transaction may still be
    /// applied. An operator who is told "failed" would repeat the edit under a new id, and both
    /// could take effect.
    fn fail(&mut self, error: WriteError) -> WriteAction {
        let error = match &self.unanswered {
            Some(_) => WriteError::Unsettled {
                retry_after: self.backoff.retry_after(),
            },
            None => error,
        };
        WriteAction::Finish(Err(error))
    }
}
