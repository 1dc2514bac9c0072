//! A test process with its own clock and an in-memory platform.

#![allow(dead_code)] // Each test file uses a part of it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use stoatstep_platform::{MemoryPlatform, Platform, Row};
use stoatstep_resource::wire::Change;
use stoatstep_resource::{Key, Kind, Resource, Revision, Route, Service, State, Upstream, Version};
use stoatstep_versionlog::{
    AcceptedChange, Environment, LOG_PREFIX, LogConfig, LogEntry, VersionLog, WriteAction,
    WriteError, WriteInput, Writer,
};

type WhileAsleep = Box<dyn FnOnce(&MemoryPlatform)>;

/// A process whose waits take no real time. A test can register actions to run during them.
#[derive(Default)]
pub(crate) struct Process {
    pub(crate) platform: MemoryPlatform,
    pub(crate) now: Cell<Duration>,
    pub(crate) slept: RefCell<Vec<Duration>>,
    pub(crate) while_asleep: RefCell<VecDeque<WhileAsleep>>,
    seed: Cell<u64>,
}

impl Environment for Process {
    type Platform = MemoryPlatform;

    fn platform(&self) -> &MemoryPlatform {
        &self.platform
    }

    fn now(&self) -> Duration {
        self.now.get()
    }

    async fn sleep(&self, time: Duration) {
        self.now.set(self.now.get() + time);
        self.slept.borrow_mut().push(time);
        let happens = self.while_asleep.borrow_mut().pop_front();
        if let Some(happens) = happens {
            happens(&self.platform);
        }
    }

    fn seed(&self) -> u64 {
        self.seed.set(self.seed.get() + 1);
        self.seed.get()
    }
}

pub(crate) fn log(platform: &MemoryPlatform, cfg: &LogConfig) -> VersionLog<Process> {
    let process = Process {
        platform: platform.clone(),
        ..Process::default()
    };
    VersionLog::new(process, cfg.clone())
}

/// Runs a future that completes without waiting for another task.
pub(crate) fn run<T>(future: impl Future<Output = T>) -> T {
    let mut future = pin!(future);
    let mut cx = Context::from_waker(Waker::noop());
    match future.as_mut().poll(&mut cx) {
        Poll::Ready(value) => value,
        Poll::Pending => panic!("the future is pending"),
    }
}

pub(crate) fn service(name: &str) -> Resource {
    Resource::Service(Service {
        name: name.into(),
        policy: None,
        health_path: None,
    })
}

pub(crate) fn route(name: &str, prefix: &str, service: &str) -> Resource {
    Resource::Route(Route {
        name: name.into(),
        prefix: prefix.into(),
        service: service.into(),
        policy: None,
        host: None,
        split: Vec::new(),
        idempotent: false,
        public: false,
    })
}

pub(crate) fn upstream(name: &str, slots: u32) -> Resource {
    Resource::Upstream(Upstream {
        name: name.into(),
        service: "floatdesk".into(),
        slots,
        connections: 120,
    })
}

pub(crate) fn service_key(name: &str) -> Key {
    Key {
        kind: Kind::Service,
        name: name.into(),
    }
}

pub(crate) fn change(operation: &str, puts: Vec<(Resource, Option<Revision>)>) -> Change {
    Change {
        operation: operation.into(),
        puts,
        deletes: Vec::new(),
    }
}

pub(crate) fn put_service(operation: &str, name: &str) -> Change {
    change(operation, vec![(service(name), None)])
}

/// Writes a change from a new process.
pub(crate) fn write(
    platform: &MemoryPlatform,
    change: Change,
) -> Result<AcceptedChange, WriteError> {
    let log = log(platform, &LogConfig::default());
    run(log.write(change, "tester".into(), Arc::default()))
}

/// Writes versions until the log is at `version`.
pub(crate) fn fill(platform: &MemoryPlatform, version: Version) -> Arc<State> {
    let log = log(platform, &LogConfig::default());
    let mut state: Arc<State> = Arc::default();
    if let Ok(recovered) = run(log.recover()) {
        state = recovered.state;
    }
    while state.version() < version {
        let next = state.version() + 1;
        let change = put_service(&format!("fill-{next}"), &format!("service-{}", next % 7));
        state = run(log.write(change, "tester".into(), state))
            .unwrap()
            .state;
    }
    state
}

/// Every version in the log, with its operation.
pub(crate) fn log_entries(platform: &MemoryPlatform) -> Vec<LogEntry> {
    let rows: Vec<Row> = platform.with_table(|table| table.with_prefix(LOG_PREFIX).collect());
    rows.iter()
        .map(|row| LogEntry::try_from(row).unwrap())
        .collect()
}

pub(crate) fn operations(platform: &MemoryPlatform) -> Vec<String> {
    let entries = log_entries(platform).into_iter();
    entries.map(|entry| entry.operation.to_string()).collect()
}

/// A writer that a test advances one request at a time.
pub(crate) struct Stepper {
    pub(crate) writer: Writer,
    pub(crate) action: WriteAction,
    pub(crate) now: Duration,
}

impl Stepper {
    pub(crate) fn new(change: Change, seed: u64) -> Self {
        let cfg = LogConfig::default();
        let mut writer = Writer::new(change, "tester".into(), Arc::default(), &cfg, seed);
        let action = writer.step(Duration::ZERO, WriteInput::Start);
        Self {
            writer,
            action,
            now: Duration::ZERO,
        }
    }

    /// Carries out the next action. Returns false if the writer has finished.
    pub(crate) fn step(&mut self, platform: &MemoryPlatform) -> bool {
        let input = match self.action.clone() {
            WriteAction::Read(req) => WriteInput::Read(run(platform.read(req))),
            WriteAction::Commit(req) => WriteInput::Commit(run(platform.commit(req))),
            WriteAction::Recover => {
                let log = log(platform, &LogConfig::default());
                WriteInput::Recovered(run(log.recover()).map(|it| it.state))
            }
            WriteAction::Wait(time) => {
                self.now += time;
                WriteInput::WaitElapsed
            }
            WriteAction::Finish(_) => return false,
        };
        self.action = self.writer.step(self.now, input);
        true
    }

    pub(crate) fn commits_next(&self) -> bool {
        matches!(self.action, WriteAction::Commit(_))
    }

    pub(crate) fn finish(
        &mut self,
        platform: &MemoryPlatform,
    ) -> Result<AcceptedChange, WriteError> {
        while self.step(platform) {}
        match self.action.clone() {
            WriteAction::Finish(result) => result,
            other => panic!("ended at {other:?}"),
        }
    }
}
