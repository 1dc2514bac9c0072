//! The progress of a roll-out.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::order::Order;

/// Time since the Unix epoch. The daemons that take part in a roll-out have no other clock in
/// common.
pub type UnixTime = Duration;

/// The steps of a roll-out. A later variant supersedes an earlier one of the same order, so that
/// all daemons reach the same end in whatever order they receive updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Step {
    /// No daemon has begun, as far as this one knows. The new side gets no calls.
    #[serde(rename = "o")]
    Ordered,
    /// A small share of the calls goes to the canaries, a few targets of the new side.
    #[serde(rename = "t")]
    Trial,
    /// The canaries get enough calls to be as occupied as the targets of the old side.
    #[serde(rename = "l")]
    Load,
    /// All calls go to the new side, and the old one finishes its calls.
    #[serde(rename = "a")]
    All,
    /// The new version is bad, or the order was withdrawn: it gets no more calls. This is not
    /// stored yet, and a completion that was stored first takes precedence.
    #[serde(rename = "h")]
    Halted,
    /// Stored: the service has moved. The old side's targets exit at once.
    #[serde(rename = "c")]
    Completed,
    /// Stored: the service stays at the old version.
    #[serde(rename = "r")]
    RolledBack,
}

impl Step {
    /// Returns whether the roll-out has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Returns the name that is written to logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ordered => "ordered",
            Self::Trial => "trial",
            Self::Load => "load",
            Self::All => "all",
            Self::Halted => "halted",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }
}

/// The state of a roll-out, as daemons send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Progress {
    /// The order.
    pub order: Order,
    /// The present step.
    pub step: Step,
    /// The deadline.
    pub due: UnixTime,
}

impl Progress {
    /// Builds the progress of an order that was received `age` after it was given.
    #[must_use]
    pub fn ordered(order: Order, age: Duration, now: UnixTime) -> Self {
        let due = (now + order.lasts).saturating_sub(age);
        Self {
            order,
            step: Step::Ordered,
            due,
        }
    }

    /// Returns the progress of the same roll-out at another step.
    #[must_use]
    pub fn with_step(&self, step: Step) -> Self {
        Self {
            step,
            ..self.clone()
        }
    }

    /// Returns whether this progress is newer than `other`, which is of the same service.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.order.id, self.step) > (other.order.id, other.step)
    }
}
