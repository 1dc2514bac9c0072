//! Conversion of the table to and from an [`IdempotencySnapshot`].

use std::sync::Arc;

use super::{IdempotencyTable, Record, Run};
use crate::idempotency::snapshot::{IdempotencySnapshot, RememberedKey, RememberedRun};

impl IdempotencyTable {
    /// Returns the records that the next process has to restore, or `None` while a
    /// request is running, because its outcome would be missing.
    #[must_use]
    pub fn snapshot(&self) -> Option<IdempotencySnapshot> {
        let intents = self.records.iter().map(|(key, record)| {
            Some(RememberedKey {
                key: key.clone(),
                fingerprint: record.fingerprint,
                expires: record.expires,
                run: record.run.remembered()?,
            })
        });
        let intents = intents.collect::<Option<Vec<_>>>()?;
        Some(IdempotencySnapshot {
            since: self.since,
            intents,
        })
    }

    /// Restores the records of the previous process, which must not have run anything
    /// after it stored them. Without them, every key made before this process started
    /// is unsettled: after a planned restart, callers would be told "unknown" about
    /// requests that never ran.
    pub fn restore(&mut self, snapshot: IdempotencySnapshot) {
        self.since = self.since.min(snapshot.since);
        for remembered in snapshot.intents {
            self.restore_key(remembered);
        }
        self.evict_answers();
    }

    fn restore_key(&mut self, remembered: RememberedKey) {
        let RememberedKey {
            key,
            fingerprint,
            expires,
            run,
        } = remembered;
        if self.records.contains_key(&key) {
            return;
        }
        self.expiry.entry(expires).or_default().push(key.clone());
        let run = Run::from(run);
        if let Run::Done(answer) = &run {
            self.kept_bytes += answer.memory_size();
            self.answer_order.push_back(key.clone());
        }
        let record = Record {
            fingerprint,
            expires,
            run,
        };
        self.records.insert(key, record);
    }
}

impl Run {
    fn remembered(&self) -> Option<RememberedRun> {
        match self {
            Self::Running(_) => None,
            Self::Done(answer) => Some(RememberedRun::Done(Arc::clone(answer))),
            Self::DoneWithoutAnswer => Some(RememberedRun::DoneWithoutAnswer),
            Self::Unknown => Some(RememberedRun::Unknown),
        }
    }
}

impl From<RememberedRun> for Run {
    fn from(run: RememberedRun) -> Self {
        match run {
            RememberedRun::Done(answer) => Self::Done(answer),
            RememberedRun::DoneWithoutAnswer => Self::DoneWithoutAnswer,
            RememberedRun::Unknown => Self::Unknown,
        }
    }
}
