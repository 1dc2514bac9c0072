//! Mechanisms that can be switched off, to see what each is worth.

use std::str::FromStr;

/// What a daemon decides by. All of them are on unless a setting names them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mechanism {
    /// Part of a route's calls is refused while most of those let through fail.
    Throttle,
    /// Targets that fail often are left out for a while.
    Ejection,
    /// Queues refuse by the latency objective; without it, by the deadline.
    QueueObjective,
    /// A call refused by one queue is offered to a second one.
    SecondQueue,
    /// Calls with small answers leave their zone before those with large ones.
    AnswerSize,
    /// Calls are placed by the run time of their own route.
    RouteTime,
    /// Large answers go at the pace of the instance's link, and are refused where it has
    /// no room.
    LinkPace,
    /// Beside each call a few targets are asked how occupied they are.
    LoadProbes,
    /// Requests under which targets end are refused.
    Quarantine,
}

impl Mechanism {
    /// Every mechanism.
    pub const ALL: [Self; 9] = [
        Self::Throttle,
        Self::Ejection,
        Self::QueueObjective,
        Self::SecondQueue,
        Self::AnswerSize,
        Self::RouteTime,
        Self::LinkPace,
        Self::LoadProbes,
        Self::Quarantine,
    ];

    /// Its name in settings.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Throttle => "throttle",
            Self::Ejection => "ejection",
            Self::QueueObjective => "queue-objective",
            Self::SecondQueue => "second-queue",
            Self::AnswerSize => "answer-size",
            Self::RouteTime => "route-time",
            Self::LinkPace => "link-pace",
            Self::LoadProbes => "load-probes",
            Self::Quarantine => "quarantine",
        }
    }
}

/// A setting names a mechanism that does not exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownMechanism;

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(text: &str) -> Result<Self, UnknownMechanism> {
        let named = |it: &Self| it.as_str() == text;
        Self::ALL.into_iter().find(named).ok_or(UnknownMechanism)
    }
}
