//! Writing one change, whatever happens on the way.

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

pub use error::{Race, WriteError};
pub use message::{Accepted, WriteAction, WriteInput};

/// Where the operation's row stands in a read; the head's is first.
const OPERATION_ROW: usize = 1;

/// A transaction that was sent, and the state that it leads to.
#[derive(Clone, Debug)]
struct Prepared {
    delta: Delta,
    state: Arc<State>,
    head: Head,
    unchanged: Condition,
}

/// How far a writer has come: all that its further decisions depend on, but for
/// the lengths of its waits. Two writers of one change that have the same do the
/// same, by which a search over all orders of events knows that it has been
/// there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Progress {
    /// Digest of the state from which the next try starts; it covers the
    /// version.
    pub held: Digest,
    /// What the transaction under way is conditioned on.
    pub sent: Option<Condition>,
    /// What an unanswered transaction is conditioned on.
    pub unanswered: Option<Condition>,
}

/// Writes one change.
///
/// Every try reads the head, the operation's row and the missing versions in
/// one view, and commits on condition that the head row is still the one it
/// read. So of all transactions that start from one head at most one lands,
/// whether the others are of other operators, of this operator's request at
/// another daemon, or this writer's own first try whose answer was lost and
/// which is still on its way.
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
    /// What an unanswered transaction of this writer was conditioned on. As
    /// long as it holds, that transaction may still land.
    unanswered: Option<Condition>,
}

impl Writer {
    /// A writer of `change`, starting from a state that is held already.
    /// `author` is for people who read the log.
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

    /// Takes what happened at `now` and names what to do next. The input has
    /// to be the answer to the last action.
    pub fn step(&mut self, now: Duration, input: WriteInput) -> WriteAction {
        self.backoff.start(now);
        match input {
            WriteInput::Start | WriteInput::Woke => self.read(),
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

    /// How far this writer has come.
    #[must_use]
    pub fn progress(&self) -> Progress {
        Progress {
            held: self.state.digest(),
            sent: self.prepared.as_ref().map(|it| it.unchanged.clone()),
            unanswered: self.unanswered.clone(),
        }
    }

    fn read(&self) -> WriteAction {
        let mut req = tail_request(self.state.version(), self.cfg.rows_at_once);
        req.gets.push(operation_key(&self.change.operation));
        WriteAction::Read(req)
    }

    /// After a lost answer the operation's row decides: with it the change
    /// took effect. Without this look a writer would commit a second time on
    /// top of its own change, and the operator's one edit would be two
    /// versions. The look comes before anything that can fail, since the
    /// change that took effect may well make this one look invalid.
    fn after_read(&mut self, answer: &ReadAnswer) -> WriteAction {
        match self.follow(answer) {
            Ok(action) => action,
            Err(e) => self.fail(WriteError::Log(e)),
        }
    }

    fn follow(&mut self, answer: &ReadAnswer) -> Result<WriteAction, LogError> {
        let head = read_head(answer)?;
        let operation_row = answer.rows.get(OPERATION_ROW).ok_or(LogError::Shape)?;
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
        // The change is in the log whether or not the way there can be
        // followed, so a bad row is no failure of this operation.
        if let Some(Tail::Deltas { deltas, .. }) = tail {
            let _ = self.catch_up(deltas);
        }
        WriteAction::Finish(Ok(Accepted {
            version: entry.version,
            replayed: self.unanswered.is_none(),
            state: Arc::clone(&self.state),
            deltas: std::mem::take(&mut self.deltas),
            head,
        }))
    }

    fn commit(&mut self, head: HeadRow) -> WriteAction {
        let unchanged = head.unchanged();
        // The head was written again, so that transaction can't land any more.
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

    /// The head's condition alone keeps one operation from landing twice, as
    /// long as head and operation were read in one view. Should the platform
    /// ever break that promise, a stale "absent" next to a fresh head would
    /// make a second version; the operation's own condition refuses it.
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
            // Somebody else was first, or this writer's own earlier try was.
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
        WriteAction::Finish(Ok(Accepted {
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
        match self.backoff.after(now, error) {
            Some(wait) => WriteAction::Wait(wait),
            None => self.out_of_time(),
        }
    }

    fn wait(&mut self, now: Duration, hint: Option<Duration>) -> WriteAction {
        match self.backoff.next(now, hint) {
            Some(wait) => WriteAction::Wait(wait),
            None => self.out_of_time(),
        }
    }

    fn out_of_time(&mut self) -> WriteAction {
        let retry_after = self.backoff.hint();
        self.fail(WriteError::Unavailable { retry_after })
    }

    /// Whatever else went wrong, a transaction that may still land makes the
    /// outcome unknown: told "failed", an operator would give a second edit a
    /// new id while the first one lands.
    fn fail(&mut self, error: WriteError) -> WriteAction {
        let error = match &self.unanswered {
            Some(_) => WriteError::Unsettled {
                retry_after: self.backoff.hint(),
            },
            None => error,
        };
        WriteAction::Finish(Err(error))
    }
}
