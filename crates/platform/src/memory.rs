//! A platform in the memory of this process, with scripted faults.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::api::Platform;
use crate::error::PlatformError;
use crate::objects::Objects;
use crate::request::{CommitAnswer, CommitRequest, ReadAnswer, ReadRequest};
use crate::table::Table;
use crate::usage::{Usage, UsageCounters};

/// Kind of a request to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A call of [`Platform::read`].
    Read,
    /// A call of [`Platform::commit`].
    Commit,
    /// A call of [`Platform::get_object`].
    GetObject,
    /// A call of [`Platform::put_object`].
    PutObject,
    /// A call of [`Platform::delete_object`].
    DeleteObject,
    /// A call of [`Platform::list_objects`].
    ListObjects,
}

/// Scripted outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScriptedOutcome {
    /// The request succeeds, so that a scripted fault applies to a later request.
    Pass,
    /// The request is refused and not executed.
    Unavailable,
    /// The request is refused as over the limit and not executed.
    Throttled(Duration),
    /// The request is executed, but its answer is lost.
    LoseAnswer,
    /// The request is lost and never executed, which the caller can't tell from a lost answer.
    LoseRequest,
    /// The caller gets no answer, and the request is executed when
    /// [`MemoryPlatform::apply_delayed`] is called. Only writes can be delayed.
    Delay,
}

enum DelayedWrite {
    Commit(CommitRequest),
    Put(SmolStr, Vec<u8>),
    Delete(SmolStr),
}

#[derive(Default)]
struct Shared {
    table: Table,
    objects: Objects,
    script: VecDeque<(Operation, ScriptedOutcome)>,
    delayed: VecDeque<DelayedWrite>,
    down: bool,
}

/// A platform in memory. Clones share its table and objects.
#[derive(Clone, Default)]
pub struct MemoryPlatform {
    shared: Rc<RefCell<Shared>>,
    usage: Rc<UsageCounters>,
}

impl std::fmt::Debug for MemoryPlatform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MemoryPlatform").finish_non_exhaustive()
    }
}

impl MemoryPlatform {
    /// Creates an empty platform without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Scripts the outcome of the next request of this kind that has none yet.
    pub fn script(&self, operation: Operation, outcome: ScriptedOutcome) {
        let mut shared = self.shared.borrow_mut();
        shared.script.push_back((operation, outcome));
    }

    /// Sets whether all requests are refused.
    pub fn set_down(&self, down: bool) {
        self.shared.borrow_mut().down = down;
    }

    /// Executes the oldest delayed write. Returns false if there is none.
    #[must_use]
    pub fn apply_delayed(&self) -> bool {
        let mut shared = self.shared.borrow_mut();
        let Some(delayed) = shared.delayed.pop_front() else {
            return false;
        };
        match delayed {
            DelayedWrite::Commit(req) => {
                shared.table.commit(req);
            }
            DelayedWrite::Put(name, bytes) => shared.objects.put(name, bytes),
            DelayedWrite::Delete(name) => shared.objects.delete(&name),
        }
        true
    }

    /// Gives a test direct access to the table, to inspect or change rows without a request.
    pub fn with_table<T>(&self, f: impl FnOnce(&mut Table) -> T) -> T {
        f(&mut self.shared.borrow_mut().table)
    }

    /// Gives a test direct access to the objects, to inspect or damage them.
    pub fn with_objects<T>(&self, f: impl FnOnce(&mut Objects) -> T) -> T {
        f(&mut self.shared.borrow_mut().objects)
    }

    /// Returns the numbers of requests so far. Bytes are not counted.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.usage.get()
    }

    /// Executes a request with its scripted outcome. A read that is delayed counts as lost.
    fn run<T>(
        &self,
        operation: Operation,
        delayed: Option<DelayedWrite>,
        apply: impl FnOnce(&mut Shared) -> Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        let mut shared = self.shared.borrow_mut();
        match shared.outcome(operation) {
            ScriptedOutcome::Pass => apply(&mut shared),
            ScriptedOutcome::Unavailable => Err(PlatformError::Unavailable {
                reason: "down".into(),
                retry_after: None,
            }),
            ScriptedOutcome::Throttled(retry_after) => {
                Err(PlatformError::Throttled { retry_after })
            }
            ScriptedOutcome::LoseAnswer => {
                let _ = apply(&mut shared);
                Err(lost())
            }
            ScriptedOutcome::LoseRequest => Err(lost()),
            ScriptedOutcome::Delay => {
                shared.delayed.extend(delayed);
                Err(lost())
            }
        }
    }
}

impl Shared {
    fn outcome(&mut self, operation: Operation) -> ScriptedOutcome {
        if self.down {
            return ScriptedOutcome::Unavailable;
        }
        let position = self.script.iter().position(|(it, _)| *it == operation);
        position
            .and_then(|position| self.script.remove(position))
            .map_or(ScriptedOutcome::Pass, |(_, outcome)| outcome)
    }
}

fn lost() -> PlatformError {
    PlatformError::Unknown {
        reason: "answer lost".into(),
    }
}

impl Platform for MemoryPlatform {
    async fn read(&self, req: ReadRequest) -> Result<ReadAnswer, PlatformError> {
        self.usage.update(|usage| usage.reads += 1);
        self.run(Operation::Read, None, |shared| Ok(shared.table.read(&req)))
    }

    async fn commit(&self, req: CommitRequest) -> Result<CommitAnswer, PlatformError> {
        self.usage.update(|usage| usage.commits += 1);
        let delayed = DelayedWrite::Commit(req.clone());
        self.run(Operation::Commit, Some(delayed), |shared| {
            Ok(shared.table.commit(req))
        })
    }

    async fn get_object(&self, name: &str) -> Result<Vec<u8>, PlatformError> {
        self.usage.update(|usage| usage.object_reads += 1);
        self.run(Operation::GetObject, None, |shared| {
            let bytes = shared.objects.get(name).map(<[u8]>::to_vec);
            bytes.ok_or(PlatformError::NotFound)
        })
    }

    async fn put_object(&self, name: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        self.usage.update(|usage| usage.object_writes += 1);
        let delayed = DelayedWrite::Put(name.into(), bytes.clone());
        self.run(Operation::PutObject, Some(delayed), |shared| {
            shared.objects.put(name.into(), bytes);
            Ok(())
        })
    }

    async fn delete_object(&self, name: &str) -> Result<(), PlatformError> {
        self.usage.update(|usage| usage.object_writes += 1);
        let delayed = DelayedWrite::Delete(name.into());
        self.run(Operation::DeleteObject, Some(delayed), |shared| {
            shared.objects.delete(name);
            Ok(())
        })
    }

    async fn list_objects(&self, prefix: &str) -> Result<Vec<SmolStr>, PlatformError> {
        self.usage.update(|usage| usage.object_reads += 1);
        self.run(Operation::ListObjects, None, |shared| {
            Ok(shared.objects.list(prefix))
        })
    }
}
