//! Keeps a watch from going back or skipping a change.

use std::fmt;

use stoatstep_resource::Version;
use stoatstep_resource::wire::{EventWire, WatchAnswer};

/// The version up to which a watch has shown every change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WatchCursor {
    version: Version,
}

/// An answer leaves out a change, so what follows cannot be shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Gap {
    expected: Version,
    found: Version,
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { expected, found } = self;
        write!(f, "version {expected} should come next, not {found}")
    }
}

impl WatchCursor {
    pub(crate) fn new(version: Version) -> Self {
        Self { version }
    }

    pub(crate) fn version(self) -> Version {
        self.version
    }

    /// The events that are new. After a daemon dies the next one may lag, and
    /// its answer may begin with changes that were shown already; those are
    /// left out, since a reader that applied them again would go back. What
    /// comes before a gap is still shown; the next answer then begins with it.
    pub(crate) fn advance(&mut self, answer: WatchAnswer) -> Result<Vec<EventWire>, Gap> {
        let mut events = Vec::new();
        for event in answer.events {
            if event.version <= self.version {
                continue;
            }
            let expected = self.version + 1;
            let found = event.version;
            if found != expected && events.is_empty() {
                return Err(Gap { expected, found });
            }
            if found != expected {
                break;
            }
            self.version = event.version;
            events.push(event);
        }
        Ok(events)
    }
}
