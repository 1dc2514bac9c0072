//! Mechanisms that can be switched off, to measure the effect of each.

use std::str::FromStr;

/// A mechanism of the daemon. All of them are on unless a setting names them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mechanism {
    /// Refuses a share of a route's calls while most of those let through fail.
    Throttle,
    /// Ejects targets that fail often for a while.
    Ejection,
    /// Refuses calls in queues by the latency objective instead of the deadline.
    QueueObjective,
    /// Offers a call that one queue refused to a second one.
    SecondQueue,
    /// Sends calls with small answers to other zones before those with large answers.
    AnswerSize,
    /// Places calls by the run time of their own route.
    RouteTime,
    /// Paces large answers to the capacity of the instance's link, and refuses them if it has none
    /// left.
    LinkPace,
    /// Asks a few targets for their occupancy beside each call.
    LoadProbes,
    /// Refuses requests under which targets end.
    Quarantine,
    /// Moves calls from a zone that is short of room to zones that have some left.
    ZoneRooms,
    /// Serves calls after their objective, behind those in time, and tells apart callers that come
    /// back after a refusal.
    LateCalls,
    /// Lets the customer that was served least go first.
    CustomerOrder,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 12] = [
        Self::Throttle,
        Self::Ejection,
        Self::QueueObjective,
        Self::SecondQueue,
        Self::AnswerSize,
        Self::RouteTime,
        Self::LinkPace,
        Self::LoadProbes,
        Self::Quarantine,
        Self::ZoneRooms,
        Self::LateCalls,
        Self::CustomerOrder,
    ];

    /// The name of the mechanism in settings.
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
            Self::ZoneRooms => "zone-rooms",
            Self::LateCalls => "late-calls",
            Self::CustomerOrder => "customer-order",
        }
    }
}

/// Error for a setting that names an unknown mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownMechanism;

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(text: &str) -> Result<Self, UnknownMechanism> {
        let named = |it: &Self| it.as_str() == text;
        Self::ALL.into_iter().find(named).ok_or(UnknownMechanism)
    }
}
