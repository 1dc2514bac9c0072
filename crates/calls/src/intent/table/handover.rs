//! The table's way into and out of an [`IntentMemory`].

use std::sync::Arc;

use super::{Intent, IntentTable, Run};
use crate::intent::memory::{IntentMemory, Remembered, RememberedRun};

impl IntentTable {
    /// All that a following process has to know; `None` while something runs,
    /// since how that ends would be missing from it.
    #[must_use]
    pub fn memory(&self) -> Option<IntentMemory> {
        let intents = self.intents.iter().map(|(key, intent)| {
            Some(Remembered {
                key: key.clone(),
                fingerprint: intent.fingerprint,
                expires: intent.expires,
                run: intent.run.remembered()?,
            })
        });
        let intents = intents.collect::<Option<Vec<_>>>()?;
        Some(IntentMemory {
            since: self.since,
            intents,
        })
    }

    /// Takes over the memory of the process just before this one, which ran
    /// nothing after it was written. Without it each key that was made before
    /// this process started is unsettled, so that a planned restart would tell
    /// callers "unknown" about claims that never ran.
    pub fn resume(&mut self, memory: IntentMemory) {
        self.since = self.since.min(memory.since);
        for remembered in memory.intents {
            self.remember(remembered);
        }
        self.shed_answers();
    }

    fn remember(&mut self, remembered: Remembered) {
        let Remembered {
            key,
            fingerprint,
            expires,
            run,
        } = remembered;
        if self.intents.contains_key(&key) {
            return;
        }
        self.expiry.entry(expires).or_default().push(key.clone());
        let run = Run::from(run);
        if let Run::Done(answer) = &run {
            self.bytes += answer.weight();
            self.answers.push_back(key.clone());
        }
        let intent = Intent {
            fingerprint,
            expires,
            run,
        };
        self.intents.insert(key, intent);
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
