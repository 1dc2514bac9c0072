//! A platform in this process's memory, with faults by script.

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

/// The kinds of request that can be given a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// [`Platform::read`].
    Read,
    /// [`Platform::commit`].
    Commit,
    /// [`Platform::get_object`].
    GetObject,
    /// [`Platform::put_object`].
    PutObject,
    /// [`Platform::delete_object`].
    DeleteObject,
    /// [`Platform::list_objects`].
    ListObjects,
}

/// What becomes of a request that was given a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// As if there were no fault; lets a later request have the next one.
    Pass,
    /// Refused, not carried out.
    Unavailable,
    /// Refused for being over the limit, not carried out.
    Throttled(Duration),
    /// Carried out, and the answer is lost.
    LoseAnswer,
    /// Lost on its way: never carried out, and the caller can't know.
    LoseRequest,
    /// The caller sees no answer now; the request is carried out when
    /// [`MemoryPlatform::land_delayed`] is called. Only writes can be late.
    Delay,
}

enum Late {
    Commit(CommitRequest),
    Put(SmolStr, Vec<u8>),
    Delete(SmolStr),
}

#[derive(Default)]
struct Shared {
    table: Table,
    objects: Objects,
    script: VecDeque<(Operation, Outcome)>,
    late: VecDeque<Late>,
    down: bool,
}

/// A table and objects in memory, shared by all clones.
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
    /// An empty platform without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Gives the next request of this kind that has no outcome yet this one.
    pub fn script(&self, operation: Operation, outcome: Outcome) {
        let mut shared = self.shared.borrow_mut();
        shared.script.push_back((operation, outcome));
    }

    /// Refuses everything while `down`.
    pub fn set_down(&self, down: bool) {
        self.shared.borrow_mut().down = down;
    }

    /// Carries out the oldest request that was delayed. Answers false if none
    /// was.
    #[must_use]
    pub fn land_delayed(&self) -> bool {
        let mut shared = self.shared.borrow_mut();
        let Some(late) = shared.late.pop_front() else {
            return false;
        };
        match late {
            Late::Commit(req) => {
                shared.table.commit(req);
            }
            Late::Put(name, bytes) => shared.objects.put(name, bytes),
            Late::Delete(name) => shared.objects.delete(&name),
        }
        true
    }

    /// Lets a test look into the table or change rows behind everyone's back.
    pub fn with_table<T>(&self, f: impl FnOnce(&mut Table) -> T) -> T {
        f(&mut self.shared.borrow_mut().table)
    }

    /// Lets a test look into the objects or damage them.
    pub fn with_objects<T>(&self, f: impl FnOnce(&mut Objects) -> T) -> T {
        f(&mut self.shared.borrow_mut().objects)
    }

    /// What was asked so far; bytes are not counted.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.usage.get()
    }

    /// Runs a request under whatever fault it was given. A delayed read is a
    /// lost one.
    fn run<T>(
        &self,
        operation: Operation,
        late: Option<Late>,
        apply: impl FnOnce(&mut Shared) -> Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        let mut shared = self.shared.borrow_mut();
        match shared.outcome(operation) {
            Outcome::Pass => apply(&mut shared),
            Outcome::Unavailable => Err(PlatformError::Unavailable {
                reason: "down".into(),
                retry_after: None,
            }),
            Outcome::Throttled(retry_after) => Err(PlatformError::Throttled { retry_after }),
            Outcome::LoseAnswer => {
                let _ = apply(&mut shared);
                Err(lost())
            }
            Outcome::LoseRequest => Err(lost()),
            Outcome::Delay => {
                shared.late.extend(late);
                Err(lost())
            }
        }
    }
}

impl Shared {
    fn outcome(&mut self, operation: Operation) -> Outcome {
        if self.down {
            return Outcome::Unavailable;
        }
        let position = self.script.iter().position(|(it, _)| *it == operation);
        position
            .and_then(|position| self.script.remove(position))
            .map_or(Outcome::Pass, |(_, outcome)| outcome)
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
        let late = Late::Commit(req.clone());
        self.run(Operation::Commit, Some(late), |shared| {
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
        let late = Late::Put(name.into(), bytes.clone());
        self.run(Operation::PutObject, Some(late), |shared| {
            shared.objects.put(name.into(), bytes);
            Ok(())
        })
    }

    async fn delete_object(&self, name: &str) -> Result<(), PlatformError> {
        self.usage.update(|usage| usage.object_writes += 1);
        let late = Late::Delete(name.into());
        self.run(Operation::DeleteObject, Some(late), |shared| {
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
