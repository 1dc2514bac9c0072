//! Messages between daemons. They are sent over [links](crate::link), encoded by `rmp-serde`, which
//! writes structs as arrays.

use std::mem;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use stoatstep_body::Body;
use stoatstep_calls::{
    Answer, AttemptId, AttemptStatus, Fingerprint, Header, LateWait, LoadReport, Occupancy,
    QuarantineFinding, RateLimit, Refusal, Ticket, TokenGrant, UsageLevel, ZoneAdvice, ZoneRoom,
};
use stoatstep_membership::{ConfigId, GossipReply, GossipRequest, MemberKey};
use stoatstep_resource::wire::{DifferenceWire, SnapshotWire};
use stoatstep_resource::{
    CustomerName, KeyId, RouteName, ServiceName, UpstreamName, Version, ZoneName,
};
use stoatstep_rollout::{Evidence, OrderId, Progress};

/// Identifies a request on a link.
pub(crate) type AskId = u64;

/// Message of the daemon that opened a link.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum ToServer {
    /// A request, which is answered under its id.
    #[serde(rename = "a")]
    Ask(AskId, Ask),
    /// An attempt whose call's body was sent before, apart from the message.
    #[serde(rename = "b")]
    RunWithBody(AskId, Attempt),
    /// The answer to this request is no longer needed.
    #[serde(rename = "c")]
    Cancel(AskId),
    /// The sender stops: it can pass on only the answers that reach it within this time, to
    /// requests that it has sent or is going to send on this link.
    #[serde(rename = "x")]
    Stops(Duration),
}

/// Answer of the daemon at the other end of a link.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ToClient(pub(crate) AskId, pub(crate) Reply);

/// A request to another daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Ask {
    /// Runs an attempt.
    #[serde(rename = "r")]
    Run(Attempt),
    /// Asks how an attempt ended that was sent over a lost link. An attempt that has not started
    /// never will; for a running one the answer waits.
    #[serde(rename = "s")]
    Settle(AttemptId, Ticket),
    /// A membership message, with other new state.
    #[serde(rename = "g")]
    Gossip(GossipRequest, Piggyback),
    /// Asks for the configuration, if it is newer than this one.
    #[serde(rename = "n")]
    Newer(ConfigId),
    /// Announces that the sender has just put this configuration in force; answered like a ping.
    #[serde(rename = "h")]
    Holds(MemberKey, ConfigId),
    /// Reports the progress of a roll-out; answered like a ping.
    #[serde(rename = "o")]
    Rollout(Progress),
    /// Reports findings about requests under which targets end; answered like a ping.
    #[serde(rename = "q")]
    Findings(Vec<QuarantineFinding>),
    /// Asks for the receiver's evidence about its target since the order.
    #[serde(rename = "e")]
    Evidence(ServiceName, OrderId),
    /// Asks how occupied the receiver's target is.
    #[serde(rename = "u")]
    Occupancy,
    /// Asks until when the receiver's configuration was known to be the store's newest.
    #[serde(rename = "f")]
    Confirmed,
    /// Asks whether the receiver follows the store for its zone, and what it holds.
    #[serde(rename = "w")]
    Following,
    /// Reports that the store does not answer the sender, which follows it for its zone; answered
    /// like a ping.
    #[serde(rename = "l")]
    LostStore(MemberKey),
    /// Asks a customer's home for tokens of its quota.
    #[serde(rename = "t")]
    Tokens(CustomerName, u32),
    /// Asks a customer's home in another zone to lend tokens of its quota, and states the calls
    /// per second that the sender granted.
    #[serde(rename = "b")]
    Borrow(CustomerName, f64, f64),
    /// Reports the sender's load to the maker of its zone.
    #[serde(rename = "d")]
    Load(MemberKey, LoadReport),
    /// States the room of the sender's zone to the maker of another one.
    #[serde(rename = "z")]
    ZoneRoom(ZoneName, ZoneRoom),
    /// Checks that the receiver answers.
    #[serde(rename = "p")]
    Ping,
}

/// Answer to an [`Ask`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// Answers [`Ask::Run`].
    #[serde(rename = "r")]
    Ran(Ran),
    /// Answers [`Ask::Run`] with an answer whose body was sent before, apart from the message.
    #[serde(rename = "v")]
    RanWithBody(Ran),
    /// Answers [`Ask::Settle`].
    #[serde(rename = "s")]
    Settled(WireSettled),
    /// Answers [`Ask::Gossip`].
    #[serde(rename = "g")]
    Gossip(GossipReply, Piggyback),
    /// Answers [`Ask::Newer`], with all roll-outs if the sender of the request has just started.
    #[serde(rename = "n")]
    Newer(Newer, Vec<Progress>),
    /// Answers [`Ask::Evidence`].
    #[serde(rename = "e")]
    Evidence(Evidence),
    /// Answers [`Ask::Occupancy`].
    #[serde(rename = "u")]
    Occupancy(Occupancy),
    /// Answers [`Ask::Confirmed`].
    #[serde(rename = "f")]
    Confirmed(Option<ConfirmedVersion>),
    /// Answers [`Ask::Following`].
    #[serde(rename = "w")]
    Following(Following, ConfigId),
    /// Answers [`Ask::Tokens`]; `None` if the receiver is not the home.
    #[serde(rename = "t")]
    Tokens(Option<GrantWire>),
    /// Answers [`Ask::Borrow`] with the tokens lent and the calls per second that the receiver
    /// granted; `None` if it is not the home.
    #[serde(rename = "b")]
    Lent(Option<(f64, f64)>),
    /// Answers [`Ask::Load`].
    #[serde(rename = "d")]
    Advice(ZoneAdvice),
    /// Answers [`Ask::ZoneRoom`] with the room of the receiver's zone.
    #[serde(rename = "z")]
    ZoneRoom(ZoneRoom),
    /// Answers [`Ask::Ping`], [`Ask::Holds`], [`Ask::Rollout`], [`Ask::Findings`] and
    /// [`Ask::LostStore`].
    #[serde(rename = "p")]
    Pong,
}

/// Whether a daemon follows the store for its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Following {
    /// It follows the store and announces new versions.
    #[serde(rename = "f")]
    Follows,
    /// It is to follow the store, which does not answer it.
    #[serde(rename = "l")]
    LostStore,
    /// It does not follow the store.
    #[serde(rename = "n")]
    No,
}

/// State that is sent along with regular exchanges, so that a daemon that missed the message about
/// a change receives it within seconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Piggyback {
    /// Progress of the active roll-outs.
    pub(crate) rollouts: Vec<Progress>,
    /// Findings about requests under which targets end.
    pub(crate) findings: Vec<QuarantineFinding>,
}

/// Confirmation that a configuration was the store's newest.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct ConfirmedVersion {
    pub(crate) version: Version,
    /// Time since the confirmation.
    pub(crate) age: Duration,
}

/// Wire form of [`TokenGrant`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct GrantWire {
    tokens: u32,
    retry_after: Option<Duration>,
    usage: UsageLevel,
}

impl From<TokenGrant> for GrantWire {
    fn from(grant: TokenGrant) -> Self {
        Self {
            tokens: grant.tokens,
            retry_after: grant.retry_after,
            usage: grant.usage,
        }
    }
}

impl From<GrantWire> for TokenGrant {
    fn from(wire: GrantWire) -> Self {
        Self {
            tokens: wire.tokens,
            retry_after: wire.retry_after,
            usage: wire.usage,
        }
    }
}

/// An update to a newer configuration.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Newer {
    /// There is no newer one.
    #[serde(rename = "n")]
    Nothing,
    /// The difference from the configuration of the sender of the request.
    #[serde(rename = "d")]
    Difference(DifferenceWire),
    /// The whole configuration.
    #[serde(rename = "w")]
    Whole(SnapshotWire),
    /// One of the other variants, compressed.
    #[serde(rename = "z")]
    Packed(Bytes),
}

/// The part of a call that all its attempts share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CallParts {
    pub(crate) request_id: SmolStr,
    pub(crate) service: ServiceName,
    pub(crate) method: SmolStr,
    /// Path and query, as the caller sent them.
    pub(crate) path: SmolStr,
    /// Host name that the caller used.
    pub(crate) host: SmolStr,
    /// Headers that are passed to the target.
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Body,
    pub(crate) idempotent: bool,
    /// Route of the call. Calls of one route take about the same time.
    pub(crate) route: RouteName,
    /// Priority among other calls; 0 is the most urgent.
    pub(crate) priority: u8,
    /// Service of the instance on which the call began.
    pub(crate) caller_service: ServiceName,
    /// The customer that holds the caller's key.
    pub(crate) identity: Option<Identity>,
}

/// Identity of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Identity {
    pub(crate) customer: CustomerName,
    pub(crate) key: KeyId,
    /// Version of the configuration by which the customer holds the key.
    pub(crate) version: Version,
}

impl CallParts {
    /// Identifies the request as its target sees it. Callers' own headers are left out, since many
    /// of them differ between attempts to send the same request.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let parts = [
            self.caller_service.as_bytes(),
            self.method.as_bytes(),
            self.host.as_bytes(),
            self.path.as_bytes(),
        ];
        Fingerprint::over_body(parts, &self.body)
    }
}

/// One attempt of a call at one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) ticket: Ticket,
    /// Generation of the target for which the attempt is meant.
    pub(crate) upstream: UpstreamName,
    /// Time until the caller stops waiting.
    pub(crate) left: Duration,
    /// Time until an answer loses its full value; zero if that has passed.
    pub(crate) objective: Duration,
    /// Whether it may wait past the objective.
    pub(crate) late_wait: LateWait,
    /// What its customer was served lately.
    pub(crate) usage: UsageLevel,
    /// Limit that the target stated to the entry. The executor may have been restarted since.
    pub(crate) limit: Option<RateLimit>,
    pub(crate) call: Rc<CallParts>,
}

/// Result of an attempt at its executor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ran {
    /// Ticket for the next attempts at this executor.
    pub(crate) ticket: Ticket,
    pub(crate) occupancy: Occupancy,
    /// Time in the executor's queue.
    pub(crate) in_queue: Duration,
    /// Time at the target.
    pub(crate) at_target: Duration,
    /// Whether the request reached the target.
    pub(crate) arrived: bool,
    pub(crate) end: End,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum End {
    /// The complete answer of the target.
    #[serde(rename = "a")]
    Answered(Arc<Answer>),
    /// The attempt did not run, or that is unknown; the reason says which.
    #[serde(rename = "r")]
    Refused(Refusal),
}

impl End {
    /// Length of the answer's body; 0 without an answer.
    pub(crate) fn body_len(&self) -> usize {
        match self {
            Self::Answered(answer) => answer.body.len(),
            Self::Refused(_) => 0,
        }
    }

    /// Leaves the answer without its body, which is returned.
    pub(crate) fn take_body(&mut self) -> Option<Body> {
        let Self::Answered(answer) = self else {
            return None;
        };
        Some(mem::take(&mut Arc::make_mut(answer).body))
    }

    /// Whether the target gave an answer that is not a failure.
    pub(crate) fn is_success(&self) -> bool {
        matches!(self, Self::Answered(answer) if !answer.is_failure())
    }
}

/// Wire form of [`AttemptStatus`]. States that the executor does not report are left out: it waits until
/// the attempt has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireSettled {
    /// The attempt did not run and never will.
    #[serde(rename = "n")]
    NotRun,
    /// The attempt ran, and this is its answer.
    #[serde(rename = "d")]
    Done(Arc<Answer>),
    /// The attempt ran or may have run, and there is no answer.
    #[serde(rename = "u")]
    Unknown,
}

impl From<AttemptStatus> for WireSettled {
    fn from(settled: AttemptStatus) -> Self {
        match settled {
            AttemptStatus::NotRun => Self::NotRun,
            AttemptStatus::Done(answer) => Self::Done(answer),
            AttemptStatus::NeverSeen
            | AttemptStatus::Queued
            | AttemptStatus::Running
            | AttemptStatus::DoneWithoutAnswer
            | AttemptStatus::Unknown => Self::Unknown,
        }
    }
}
