//! What daemons send each other about configuration.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use stoatstep_membership::{ConfigId, MemberKey};
use stoatstep_resource::wire::{DeltaWire, SnapshotWire};
use stoatstep_resource::{Delta, SnapshotError, State};

use crate::collect::Holdings;

/// Body of `/peer/push`: the next version, on its way down the tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PushRequest {
    /// The daemon at which the change began its way, which needs no push.
    pub origin: MemberKey,
    /// The change.
    pub delta: DeltaWire,
}

/// Body of `/peer/log`: asks for what the sender lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRequest {
    /// What the sender holds.
    pub held: ConfigId,
    /// Deltas won't do: the sender refused one.
    pub whole: bool,
}

/// Answer to a [`LogRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogReply {
    /// The answering daemon holds nothing newer.
    #[serde(rename = "n")]
    Nothing(ConfigId),
    /// The versions after the sender's, oldest first.
    #[serde(rename = "d")]
    Deltas(Vec<DeltaWire>),
    /// The whole state.
    #[serde(rename = "s")]
    Snapshot(SnapshotWire),
}

/// A [`LogReply`] after its checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogTail {
    /// Nothing newer.
    Nothing(ConfigId),
    /// Versions, oldest first.
    Deltas(Vec<Arc<Delta>>),
    /// A whole state whose digest is right.
    Snapshot(State),
}

impl TryFrom<LogReply> for LogTail {
    type Error = SnapshotError;

    fn try_from(reply: LogReply) -> Result<Self, SnapshotError> {
        Ok(match reply {
            LogReply::Nothing(mark) => Self::Nothing(mark),
            LogReply::Deltas(deltas) => {
                let deltas = deltas.into_iter().map(Delta::from).map(Arc::new);
                Self::Deltas(deltas.collect())
            }
            LogReply::Snapshot(wire) => Self::Snapshot(State::try_from(wire)?),
        })
    }
}

/// Body of `/peer/collect`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CollectRequest {
    /// Whether the receiver also asks those below it in its zone's tree.
    pub below: bool,
    /// Milliseconds within which the sender wants the answer.
    pub bound_ms: u16,
}

/// Answer to a [`CollectRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CollectReply {
    /// What the receiver and those below it hold.
    pub holdings: Holdings,
}
