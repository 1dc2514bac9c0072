//! Messages about calls that daemons exchange. See `docs/contributing/interfaces.md`.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::http::Method;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use stoatstep_body::Body;
use stoatstep_calls::{
    Answer, AttemptId, AttemptStatus, Class, Header, HomeAnswer, IdempotencyKey, KeyText, Load,
    RateLimit, Refusal, Ticket, UpstreamSetId,
};
use stoatstep_resource::{CustomerName, ServiceName, UpstreamName, Version};

/// The request of a call, as all of its attempts carry it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct WireCall {
    pub(super) service: ServiceName,
    pub(super) method: SmolStr,
    /// Path and query.
    pub(super) path: SmolStr,
    pub(super) headers: Vec<Header>,
    pub(super) body: Body,
    pub(super) tenant: CustomerName,
    pub(super) class: Class,
    pub(super) depth: u32,
    pub(super) idempotent: bool,
    /// Text of the idempotency key; `None` if the call is idempotent anyway.
    pub(super) key: Option<SmolStr>,
    /// Id of the set of upstreams from which the entry chose the key's home.
    pub(super) set: UpstreamSetId,
    pub(super) weight: u32,
    pub(super) concurrency: Option<u32>,
    pub(super) request_id: SmolStr,
}

/// Message to `POST /peer/attempt`: asks an executor to run an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct WireAttempt {
    pub(super) attempt: AttemptId,
    pub(super) ticket: Ticket,
    /// Time left, in microseconds.
    pub(super) left_us: u64,
    /// Limit that the target stated to the entry. The executor may have been restarted since.
    pub(super) limit: Option<RateLimit>,
    pub(super) call: Rc<WireCall>,
}

/// A validated [`WireAttempt`].
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) ticket: Ticket,
    pub(super) left: Duration,
    pub(super) limit: Option<RateLimit>,
    pub(super) method: Method,
    pub(super) key: Option<IdempotencyKey>,
    /// Whether the claim row of its key may have been written.
    pub(super) claimed: Cell<bool>,
    pub(super) call: Rc<WireCall>,
}

/// Why another daemon's message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WireError {
    Method,
    Path,
    Key,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Method => "not a valid HTTP method",
            Self::Path => "path does not begin with a slash",
            Self::Key => "idempotency key is malformed",
        })
    }
}

impl std::error::Error for WireError {}

impl TryFrom<WireAttempt> for Attempt {
    type Error = WireError;

    fn try_from(wire: WireAttempt) -> Result<Self, Self::Error> {
        let call = wire.call;
        let method = Method::from_bytes(call.method.as_bytes()).map_err(|_| WireError::Method)?;
        if !call.path.starts_with('/') {
            return Err(WireError::Path);
        }
        let key = call
            .key
            .as_ref()
            .map(|text| KeyText::try_from(text.as_str()));
        let key = key.transpose().map_err(|_| WireError::Key)?;
        let key = key.map(|key| IdempotencyKey {
            service: call.service.clone(),
            tenant: call.tenant.clone(),
            key,
        });
        Ok(Self {
            id: wire.attempt,
            ticket: wire.ticket,
            left: Duration::from_micros(wire.left_us),
            limit: wire.limit,
            method,
            key,
            claimed: Cell::new(false),
            call,
        })
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum WireEnd {
    Answered(Arc<Answer>),
    Refused(Refusal),
}

/// Answer to [`WireAttempt`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct WireReply {
    /// Ticket for the entry's next attempts at this executor.
    pub(super) ticket: Ticket,
    pub(super) load: Load,
    /// Time that the attempt spent in the queue, in microseconds.
    pub(super) queue_us: u64,
    /// Time that the attempt spent in the target, in microseconds.
    pub(super) target_us: u64,
    pub(super) end: WireEnd,
}

/// Message to `POST /peer/peek`, `/peer/revoke` and `/peer/cancel`: the attempt in question.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct WireAttemptRef {
    pub(super) attempt: AttemptId,
    pub(super) ticket: Ticket,
}

/// Answer to [`WireAttemptRef`]: what the executor's ledger knows of the attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum WireAttemptStatus {
    NeverSeen,
    Queued,
    Running,
    NotRun,
    Done(Arc<Answer>),
    DoneWithoutAnswer,
    Unknown,
}

impl From<AttemptStatus> for WireAttemptStatus {
    fn from(settled: AttemptStatus) -> Self {
        match settled {
            AttemptStatus::NeverSeen => Self::NeverSeen,
            AttemptStatus::Queued => Self::Queued,
            AttemptStatus::Running => Self::Running,
            AttemptStatus::NotRun => Self::NotRun,
            AttemptStatus::Done(answer) => Self::Done(answer),
            AttemptStatus::DoneWithoutAnswer => Self::DoneWithoutAnswer,
            AttemptStatus::Unknown => Self::Unknown,
        }
    }
}

impl From<WireAttemptStatus> for AttemptStatus {
    fn from(settled: WireAttemptStatus) -> Self {
        match settled {
            WireAttemptStatus::NeverSeen => Self::NeverSeen,
            WireAttemptStatus::Queued => Self::Queued,
            WireAttemptStatus::Running => Self::Running,
            WireAttemptStatus::NotRun => Self::NotRun,
            WireAttemptStatus::Done(answer) => Self::Done(answer),
            WireAttemptStatus::DoneWithoutAnswer => Self::DoneWithoutAnswer,
            WireAttemptStatus::Unknown => Self::Unknown,
        }
    }
}

/// Message to `POST /peer/home`: the new home of a key asks the previous one whether it ran.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct WireHomeQuery {
    pub(super) key: IdempotencyKey,
    /// Upstream whose instance is the new home.
    pub(super) asker: UpstreamName,
}

/// What a previous home knows about a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum WireHomeAnswer {
    Never,
    Running,
    Done(Arc<Answer>),
    Unknown,
}

/// Answer to [`WireHomeQuery`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct WireHomeReply {
    /// Configuration version that the previous home has applied. It is 0 if, by that version,
    /// the asker is not the key's home; the answer then says nothing about the key.
    pub(super) version: Version,
    pub(super) answer: WireHomeAnswer,
}

impl From<HomeAnswer> for WireHomeAnswer {
    fn from(answer: HomeAnswer) -> Self {
        match answer {
            HomeAnswer::Never => Self::Never,
            HomeAnswer::Running => Self::Running,
            HomeAnswer::Done(answer) => Self::Done(answer),
            HomeAnswer::Unknown => Self::Unknown,
        }
    }
}

impl From<WireHomeAnswer> for HomeAnswer {
    fn from(answer: WireHomeAnswer) -> Self {
        match answer {
            WireHomeAnswer::Never => Self::Never,
            WireHomeAnswer::Running => Self::Running,
            WireHomeAnswer::Done(answer) => Self::Done(answer),
            WireHomeAnswer::Unknown => Self::Unknown,
        }
    }
}
