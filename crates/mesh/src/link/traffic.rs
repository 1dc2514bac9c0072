//! Bytes that this daemon sends over its links, by cause and by the zone of the receiver.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;

use stoatstep_resource::RouteName;

use crate::wire::{Ask, Reply};

/// Limit on the counts. Beyond it, the routes that are not counted yet are counted together.
const MAX_COUNTS: usize = 128;

/// Stands for the routes that are counted together.
const OTHER_ROUTES: &str = "other";

/// Why a message is sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Cause {
    /// A call of this route, on its way to the executor.
    Call(RouteName),
    /// The answer to a call of this route, or its refusal.
    Answer(RouteName),
    /// Questions about lost attempts, and their answers.
    Settling,
    Membership,
    Configuration,
    Rollouts,
    Quarantine,
    LoadProbes,
    Quotas,
    ZoneRooms,
    Pings,
}

impl Cause {
    pub(crate) fn of_ask(ask: &Ask) -> Self {
        match ask {
            Ask::Run(attempt) => Self::Call(attempt.call.route.clone()),
            Ask::Settle(..) => Self::Settling,
            Ask::Gossip(..) => Self::Membership,
            Ask::Newer(_)
            | Ask::Holds(..)
            | Ask::Confirmed
            | Ask::Following
            | Ask::LostStore(_) => Self::Configuration,
            Ask::Rollout(_) | Ask::Evidence(..) => Self::Rollouts,
            Ask::Findings(_) => Self::Quarantine,
            Ask::Occupancy => Self::LoadProbes,
            Ask::Tokens(..) | Ask::Borrow(..) => Self::Quotas,
            Ask::Load(..) | Ask::ZoneRoom(..) => Self::ZoneRooms,
            Ask::Ping => Self::Pings,
        }
    }

    /// The cause of a reply that is not the result of an attempt.
    pub(crate) fn of_reply(reply: &Reply) -> Self {
        match reply {
            Reply::Ran(_) | Reply::RanWithBody(_) | Reply::Settled(_) => Self::Settling,
            Reply::Gossip(..) => Self::Membership,
            Reply::Newer(..) | Reply::Confirmed(_) | Reply::Following(..) => Self::Configuration,
            Reply::Evidence(_) => Self::Rollouts,
            Reply::Occupancy(_) => Self::LoadProbes,
            Reply::Tokens(_) | Reply::Lent(_) => Self::Quotas,
            Reply::Advice(_) | Reply::ZoneRoom(_) => Self::ZoneRooms,
            Reply::Pong => Self::Pings,
        }
    }

    fn of_other_routes(self) -> Self {
        match self {
            Self::Call(_) => Self::Call(OTHER_ROUTES.into()),
            Self::Answer(_) => Self::Answer(OTHER_ROUTES.into()),
            cause => cause,
        }
    }

    /// Name of the cause in metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Call(_) => "call",
            Self::Answer(_) => "answer",
            Self::Settling => "settling",
            Self::Membership => "membership",
            Self::Configuration => "configuration",
            Self::Rollouts => "rollouts",
            Self::Quarantine => "quarantine",
            Self::LoadProbes => "load-probes",
            Self::Quotas => "quotas",
            Self::ZoneRooms => "zone-rooms",
            Self::Pings => "pings",
        }
    }

    /// Route of the call, if it is about one.
    pub(crate) fn route(&self) -> Option<&str> {
        match self {
            Self::Call(route) | Self::Answer(route) => Some(route),
            _ => None,
        }
    }
}

/// Where the receiver of a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Place {
    SameZone,
    OtherZone,
    /// No member with its address is known.
    Unknown,
}

impl Place {
    /// Name of the place in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::SameZone => "same-zone",
            Self::OtherZone => "other-zone",
            Self::Unknown => "unknown",
        }
    }
}

/// Counts what is sent since the last [`take`](Self::take).
#[derive(Debug, Default)]
pub(crate) struct LinkTraffic {
    places: RefCell<HashMap<IpAddr, Place>>,
    bytes: RefCell<HashMap<(Cause, Place), u64>>,
}

impl LinkTraffic {
    /// Replaces the places of all peers.
    pub(crate) fn set_places(&self, places: HashMap<IpAddr, Place>) {
        self.places.replace(places);
    }

    /// Counts a message of `bytes` to `peer`.
    pub(super) fn record(&self, cause: Cause, peer: IpAddr, bytes: usize) {
        let place = self.places.borrow().get(&peer).copied();
        let mut counts = self.bytes.borrow_mut();
        let mut key = (cause, place.unwrap_or(Place::Unknown));
        if counts.len() >= MAX_COUNTS && !counts.contains_key(&key) {
            key.0 = key.0.of_other_routes();
        }
        let count = counts.entry(key).or_default();
        *count += u64::try_from(bytes).unwrap_or(u64::MAX);
    }

    /// Returns the counts since the last call, and starts anew.
    pub(crate) fn take(&self) -> HashMap<(Cause, Place), u64> {
        std::mem::take(&mut self.bytes.borrow_mut())
    }
}
