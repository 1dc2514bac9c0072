//! What one daemon knows of the roll-outs of all services.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::order::Software;
use crate::progress::{Progress, Step};

/// Time since the process started.
type Time = Duration;

/// Time for which the end of a roll-out is gossiped. Every daemon exchanges gossip with some peer
/// each second, so after this time all daemons that take part have received it.
const GOSSIP_ENDED_FOR: Duration = Duration::from_secs(15);

/// Time for which the old side is excluded after a completion. Its targets exit at once, and
/// membership notices within this time. Targets that join later are used whatever their version.
const EXCLUDE_OLD_FOR: Duration = Duration::from_secs(15);

/// Maximum number of services whose roll-outs are remembered. Progress of more services can only
/// come from a faulty peer.
const MAX_SERVICES: usize = 256;

/// What a reported progress changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing: the reported progress was already known or is older.
    None,
    /// The service has a newer order, or its roll-out is at another step.
    Updated {
        /// The previously known step of this order; `None` if the order is new.
        from: Option<Step>,
    },
}

#[derive(Clone, Debug)]
struct Record {
    progress: Progress,
    /// When this daemon learned of the order, and when it learned of the present step.
    received: Time,
    updated: Time,
}

/// The newest known progress of each service's roll-out.
#[derive(Clone, Debug, Default)]
pub struct ProgressTable {
    records: BTreeMap<SmolStr, Record>,
}

impl ProgressTable {
    /// Applies a progress that was reported by a peer, read from the store or decided here.
    pub fn apply(&mut self, progress: Progress, now: Time) -> Change {
        let service = &progress.order.service;
        let Some(record) = self.records.get_mut(service) else {
            if self.records.len() < MAX_SERVICES {
                let service = service.clone();
                self.records.insert(service, Record::new(progress, now));
                return Change::Updated { from: None };
            }
            return Change::None;
        };
        if !progress.supersedes(&record.progress) {
            return Change::None;
        }
        let is_same = progress.order.id == record.progress.order.id;
        let from = is_same.then_some(record.progress.step);
        let received = if is_same { record.received } else { now };
        *record = Record {
            received,
            ..Record::new(progress, now)
        };
        Change::Updated { from }
    }

    /// Returns the known progress of a service's roll-out.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<&Progress> {
        self.records.get(service).map(|it| &it.progress)
    }

    /// Iterates over the roll-outs that have not ended, each with the time since this daemon
    /// learned of the order and the time since it learned of the present step.
    pub fn unfinished(&self, now: Time) -> impl Iterator<Item = (&Progress, Duration, Duration)> {
        let unfinished = self
            .records
            .values()
            .filter(|it| !it.progress.step.is_final());
        unfinished.map(move |it| {
            let since = |at: Time| now.saturating_sub(at);
            (&it.progress, since(it.received), since(it.updated))
        })
    }

    /// Returns the progress to gossip: roll-outs that have not ended or ended recently.
    #[must_use]
    pub fn gossip(&self, now: Time) -> Vec<Progress> {
        let should_gossip = |it: &&Record| {
            !it.progress.step.is_final() || now.saturating_sub(it.updated) < GOSSIP_ENDED_FOR
        };
        let records = self.records.values().filter(should_gossip);
        records.map(|it| it.progress.clone()).collect()
    }

    /// Returns the progress of all services, for a peer that has just started.
    #[must_use]
    pub fn all(&self) -> Vec<Progress> {
        self.records
            .values()
            .map(|it| it.progress.clone())
            .collect()
    }

    /// Returns the step that calls for a service must follow now, with the version it is about.
    #[must_use]
    pub fn effective_step(&self, service: &str, now: Time) -> Option<(Step, &Software)> {
        let record = self.records.get(service)?;
        let step = record.progress.step;
        let is_over =
            step == Step::Completed && now.saturating_sub(record.updated) > EXCLUDE_OLD_FOR;
        (!is_over).then_some((step, &record.progress.order.target))
    }
}

impl Record {
    fn new(progress: Progress, now: Time) -> Self {
        Self {
            progress,
            received: now,
            updated: now,
        }
    }
}
