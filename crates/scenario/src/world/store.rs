//! The platform in memory, with the faults that the stand-in program has too.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use smol_str::SmolStr;
use stoatstep_membership::Time;
use stoatstep_platform::{
    CommitAnswer, CommitRequest, Fault, FaultEffect, Faults, Objects, Platform, PlatformError,
    ReadAnswer, ReadRequest, Service, Table,
};

use super::exec::{Executor, OUTSIDE, oneshot};

/// Times of the shipped client: to connect, and to get an answer.
const CONNECT_TIMEOUT: Time = Time::from_millis(500);
const ANSWER_TIMEOUT: Time = Time::from_secs(2);

/// One way between an instance and the platform.
const LATENCY: Time = Time::from_millis(2);

/// Table, objects and faults, shared by every daemon's client.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) table: RefCell<Table>,
    objects: RefCell<Objects>,
    faults: RefCell<Faults>,
    cut_zones: RefCell<BTreeMap<SmolStr, Time>>,
    reads: RefCell<BTreeMap<u64, u32>>,
    most_reads: Cell<u32>,
}

impl Store {
    pub(crate) fn add_fault(&self, fault: Fault) {
        self.faults.borrow_mut().add(fault);
    }

    pub(crate) fn cut_zone(&self, zone: SmolStr, until: Time) {
        self.cut_zones.borrow_mut().insert(zone, until);
    }

    /// Most reads of the table in any second so far.
    pub(crate) fn most_reads_per_second(&self) -> u32 {
        self.most_reads.get()
    }

    fn is_cut(&self, zone: &SmolStr, now: Time) -> bool {
        let cuts = self.cut_zones.borrow();
        cuts.get(zone).is_some_and(|until| now < *until)
    }

    fn count_read(&self, now: Time) {
        let mut reads = self.reads.borrow_mut();
        let count = reads.entry(now.as_secs()).or_default();
        *count += 1;
        self.most_reads.set(self.most_reads.get().max(*count));
    }
}

/// One daemon's client.
#[derive(Clone)]
pub(crate) struct StoreClient {
    pub(crate) exec: Executor,
    pub(crate) store: Rc<Store>,
    pub(crate) zone: SmolStr,
}

impl StoreClient {
    fn verdict(&self, service: Service) -> FaultEffect {
        let mut faults = self.store.faults.borrow_mut();
        faults.effect(self.exec.now(), service, &self.zone)
    }

    async fn ask<T: 'static>(
        &self,
        service: Service,
        apply: impl FnOnce(&Store) -> T + 'static,
    ) -> Result<T, PlatformError> {
        if self.store.is_cut(&self.zone, self.exec.now()) {
            self.exec.sleep(CONNECT_TIMEOUT).await;
            return Err(unavailable("no connection"));
        }
        self.exec.sleep(LATENCY).await;
        let verdict = self.verdict(service);
        if verdict.refuse {
            return Err(unavailable("down"));
        }
        let (tx, rx) = oneshot();
        let (exec, store) = (self.exec.clone(), Rc::clone(&self.store));
        // What has reached the platform is carried out, whatever becomes of
        // the daemon that asked.
        self.exec.spawn(OUTSIDE, async move {
            exec.sleep(verdict.delay).await;
            let answer = apply(&store);
            exec.sleep(LATENCY).await;
            match verdict.lose_answer {
                Some(delay) => exec.sleep(delay).await,
                None => tx.send(answer),
            }
        });
        match self.exec.timeout(ANSWER_TIMEOUT, rx).await {
            Some(Some(answer)) => Ok(answer),
            Some(None) => Err(unknown("connection ended")),
            None => Err(unknown("timeout")),
        }
    }
}

impl Platform for StoreClient {
    async fn read(&self, req: ReadRequest) -> Result<ReadAnswer, PlatformError> {
        self.store.count_read(self.exec.now());
        let read = move |store: &Store| store.table.borrow().read(&req);
        self.ask(Service::Table, read).await
    }

    async fn commit(&self, req: CommitRequest) -> Result<CommitAnswer, PlatformError> {
        let commit = move |store: &Store| store.table.borrow_mut().commit(req);
        self.ask(Service::Table, commit).await
    }

    async fn get_object(&self, name: &str) -> Result<Vec<u8>, PlatformError> {
        let name = name.to_owned();
        let get = move |store: &Store| store.objects.borrow().get(&name).map(<[u8]>::to_vec);
        let object = self.ask(Service::Objects, get).await?;
        object.ok_or(PlatformError::NotFound)
    }

    async fn put_object(&self, name: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        let name = SmolStr::new(name);
        let put = move |store: &Store| store.objects.borrow_mut().put(name, bytes);
        self.ask(Service::Objects, put).await
    }

    async fn delete_object(&self, name: &str) -> Result<(), PlatformError> {
        let name = name.to_owned();
        let delete = move |store: &Store| store.objects.borrow_mut().delete(&name);
        self.ask(Service::Objects, delete).await
    }

    async fn list_objects(&self, prefix: &str) -> Result<Vec<SmolStr>, PlatformError> {
        let prefix = prefix.to_owned();
        let list = move |store: &Store| store.objects.borrow().list(&prefix);
        self.ask(Service::Objects, list).await
    }
}

fn unavailable(reason: &'static str) -> PlatformError {
    PlatformError::Unavailable {
        reason: SmolStr::new_static(reason),
        retry_after: None,
    }
}

fn unknown(reason: &'static str) -> PlatformError {
    PlatformError::Unknown {
        reason: SmolStr::new_static(reason),
    }
}
