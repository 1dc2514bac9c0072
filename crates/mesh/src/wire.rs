//! Messages between daemons. They go over [links](crate::link), encoded by
//! `rmp-serde`, which writes structs as arrays.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use stoatstep_calls::{
    Answer, AttemptId, Finding, Fingerprint, Grant, Header, Occupancy, Refusal, Settled, Ticket,
};
use stoatstep_membership::{ConfigId, GossipReply, GossipRequest, MemberKey};
use stoatstep_resource::wire::{DifferenceWire, SnapshotWire};
use stoatstep_resource::{CustomerName, KeyId, RouteName, ServiceName, UpstreamName, Version};
use stoatstep_rollout::{Evidence, OrderId, Progress};

/// Names one question on one link.
pub(crate) type AskId = u64;

/// What the daemon that opened a link sends over it.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum ToServer {
    /// A question, which is answered under its id.
    #[serde(rename = "a")]
    Ask(AskId, Ask),
    /// Nobody waits for the answer any more.
    #[serde(rename = "c")]
    Cancel(AskId),
}

/// What the daemon at the other end sends back.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ToClient(pub(crate) AskId, pub(crate) Reply);

/// A question.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Ask {
    /// Run an attempt.
    #[serde(rename = "r")]
    Run(Attempt),
    /// How an attempt ended that was sent over a link that is lost. One that
    /// has not started never will; for one that runs the answer waits.
    #[serde(rename = "s")]
    Settle(AttemptId, Ticket),
    /// About membership, with what else is new.
    #[serde(rename = "g")]
    Gossip(GossipRequest, News),
    /// The configuration, if it is newer than this one.
    #[serde(rename = "n")]
    Newer(ConfigId),
    /// The sender holds this configuration since a moment ago; answered like a ping.
    #[serde(rename = "h")]
    Holds(MemberKey, ConfigId),
    /// A roll-out has come so far; answered like a ping.
    #[serde(rename = "o")]
    Rollout(Progress),
    /// What is known of requests under which targets end; answered like a ping.
    #[serde(rename = "q")]
    Findings(Vec<Finding>),
    /// What the receiver has seen of its target since the order.
    #[serde(rename = "e")]
    Evidence(ServiceName, OrderId),
    /// How occupied the receiver's target is.
    #[serde(rename = "u")]
    Occupancy,
    /// Until when the receiver's configuration was the host's newest.
    #[serde(rename = "f")]
    Confirmed,
    /// Whether the receiver follows the host for its zone, and what it holds.
    #[serde(rename = "w")]
    Following,
    /// The host does not answer the sender, which follows it for its zone; answered like a
    /// ping.
    #[serde(rename = "l")]
    LostHost(MemberKey),
    /// Tokens of a customer's quota, from its home.
    #[serde(rename = "t")]
    Tokens(CustomerName, u32),
    /// The same for the home of another zone.
    #[serde(rename = "b")]
    Borrow(CustomerName, u32),
    /// Whether anybody listens.
    #[serde(rename = "p")]
    Ping,
}

/// Answer to an [`Ask`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// To [`Ask::Run`].
    #[serde(rename = "r")]
    Ran(Ran),
    /// To [`Ask::Settle`].
    #[serde(rename = "s")]
    Settled(WireSettled),
    /// To [`Ask::Gossip`].
    #[serde(rename = "g")]
    Gossip(GossipReply, News),
    /// To [`Ask::Newer`]; with all roll-outs, where the asker has just started.
    #[serde(rename = "n")]
    Newer(Newer, Vec<Progress>),
    /// To [`Ask::Evidence`].
    #[serde(rename = "e")]
    Evidence(Evidence),
    /// To [`Ask::Occupancy`].
    #[serde(rename = "u")]
    Occupancy(Occupancy),
    /// To [`Ask::Confirmed`].
    #[serde(rename = "f")]
    Confirmed(Option<Confirmed>),
    /// To [`Ask::Following`].
    #[serde(rename = "w")]
    Following(Following, ConfigId),
    /// To [`Ask::Tokens`] and [`Ask::Borrow`]; nothing where the receiver is not the home.
    #[serde(rename = "t")]
    Tokens(Option<GrantWire>),
    /// To [`Ask::Ping`], [`Ask::Holds`], [`Ask::Rollout`], [`Ask::Findings`] and
    /// [`Ask::LostHost`].
    #[serde(rename = "p")]
    Pong,
}

/// Whether a daemon follows the host for its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Following {
    /// It does, and tells the others.
    #[serde(rename = "f")]
    Follows,
    /// It would, and the host does not answer it.
    #[serde(rename = "l")]
    LostHost,
    /// It leaves that to others.
    #[serde(rename = "n")]
    No,
}

/// What goes along with the regular exchanges, so that whoever missed a word of its own
/// about it hears of it within seconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct News {
    /// How far the roll-outs have come that go on.
    pub(crate) rollouts: Vec<Progress>,
    /// About requests under which targets end.
    pub(crate) findings: Vec<Finding>,
}

/// That a configuration was the host's newest.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Confirmed {
    pub(crate) version: Version,
    /// Time since then.
    pub(crate) age: Duration,
}

/// See [`Grant`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct GrantWire {
    tokens: u32,
    retry_after: Option<Duration>,
}

impl From<Grant> for GrantWire {
    fn from(grant: Grant) -> Self {
        Self {
            tokens: grant.tokens,
            retry_after: grant.retry_after,
        }
    }
}

impl From<GrantWire> for Grant {
    fn from(wire: GrantWire) -> Self {
        Self {
            tokens: wire.tokens,
            retry_after: wire.retry_after,
        }
    }
}

/// A newer configuration.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Newer {
    /// There is none.
    #[serde(rename = "n")]
    Nothing,
    /// What leads there from the one that the asker holds.
    #[serde(rename = "d")]
    Difference(DifferenceWire),
    /// All of it.
    #[serde(rename = "w")]
    Whole(SnapshotWire),
    /// One of the others, compressed.
    #[serde(rename = "z")]
    Packed(Bytes),
}

/// What every attempt of one call has in common.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CallParts {
    pub(crate) request_id: SmolStr,
    pub(crate) service: ServiceName,
    pub(crate) method: SmolStr,
    /// Path and query, as the caller sent them.
    pub(crate) path: SmolStr,
    /// Host that the caller named.
    pub(crate) host: SmolStr,
    /// Headers that go through to the target.
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    pub(crate) idempotent: bool,
    /// The route that it took. Calls of one route take about the same time.
    pub(crate) route: RouteName,
    /// Rank among other calls, 0 the most urgent.
    pub(crate) priority: u8,
    /// Service of the instance on which the call began.
    pub(crate) caller_service: ServiceName,
    /// The customer whose key the caller showed.
    pub(crate) identity: Option<Identity>,
}

/// Who a caller is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Identity {
    pub(crate) customer: CustomerName,
    pub(crate) key: KeyId,
    /// Configuration by which the customer holds the key.
    pub(crate) version: Version,
}

impl CallParts {
    /// Names what the call asks for, as its target sees it. Callers' own headers are left
    /// out: many differ with each try of the same request.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        Fingerprint::over([
            self.caller_service.as_bytes(),
            self.method.as_bytes(),
            self.host.as_bytes(),
            self.path.as_bytes(),
            &self.body,
        ])
    }
}

/// One attempt of a call at one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) ticket: Ticket,
    /// The life of the target for which it is meant.
    pub(crate) upstream: UpstreamName,
    /// Time until the caller stops waiting.
    pub(crate) left: Duration,
    /// Time until an answer is no longer worth its full price; zero where that
    /// has passed.
    pub(crate) objective: Duration,
    pub(crate) call: Rc<CallParts>,
}

/// How an attempt ended at its executor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ran {
    /// For the next attempts at this executor.
    pub(crate) ticket: Ticket,
    pub(crate) occupancy: Occupancy,
    /// Time in the executor's queue.
    pub(crate) in_queue: Duration,
    /// Time at the target.
    pub(crate) at_target: Duration,
    /// Whether the target got to see the request.
    pub(crate) arrived: bool,
    pub(crate) end: End,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum End {
    /// The target's whole answer.
    #[serde(rename = "a")]
    Answered(Arc<Answer>),
    /// It did not run, or nobody can tell; the reason says which.
    #[serde(rename = "r")]
    Refused(Refusal),
}

impl End {
    /// Whether the target answered, and not with a failure of its own.
    pub(crate) fn is_success(&self) -> bool {
        matches!(self, Self::Answered(answer) if !answer.is_failure())
    }
}

/// See [`Settled`]. States that the executor does not give are left out: it
/// waits until the attempt has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireSettled {
    /// It did not run and never will.
    #[serde(rename = "n")]
    NotRun,
    /// It ran, and this is its answer.
    #[serde(rename = "d")]
    Done(Arc<Answer>),
    /// It ran or may have run, and there is no answer.
    #[serde(rename = "u")]
    Unknown,
}

impl From<Settled> for WireSettled {
    fn from(settled: Settled) -> Self {
        match settled {
            Settled::NotRun => Self::NotRun,
            Settled::Done(answer) => Self::Done(answer),
            Settled::NeverSeen
            | Settled::Queued
            | Settled::Running
            | Settled::DoneWithoutAnswer
            | Settled::Unknown => Self::Unknown,
        }
    }
}
