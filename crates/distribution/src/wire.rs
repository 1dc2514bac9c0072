//! Messages about configuration between daemons.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use stoatstep_membership::{ConfigId, MemberKey};
use stoatstep_resource::wire::{DeltaWire, SnapshotWire};
use stoatstep_resource::{Delta, SnapshotError, State};

use crate::collect::Holdings;

/// Body of `/peer/push`: the next version, pushed down the tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PushRequest {
    /// The daemon that first pushed the change. It needs no push itself.
    pub origin: MemberKey,
    /// The change.
    pub delta: DeltaWire,
}

/// Body of `/peer/log`: requests the versions that the sender lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRequest {
    /// The configuration that the sender holds.
    pub held: ConfigId,
    /// Whether the sender needs the whole state because it refused a delta.
    pub whole: bool,
}

/// Answer to a [`LogRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogReply {
    /// The answering daemon has nothing newer than the sender. Holds the id of its
    /// configuration.
    #[serde(rename = "n")]
    Nothing(ConfigId),
    /// The versions after the sender's, oldest first.
    #[serde(rename = "d")]
    Deltas(Vec<DeltaWire>),
    /// The whole state.
    #[serde(rename = "s")]
    Snapshot(SnapshotWire),
}

/// A [`LogReply`] whose contents were checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogTail {
    /// The answering daemon has nothing newer than the sender. Holds the id of its
    /// configuration.
    Nothing(ConfigId),
    /// Versions, oldest first.
    Deltas(Vec<Arc<Delta>>),
    /// A whole state whose digest is correct.
    Snapshot(State),
}

impl TryFrom<LogReply> for LogTail {
    type Error = SnapshotError;

    fn try_from(reply: LogReply) -> Result<Self, SnapshotError> {
        Ok(match reply {
            LogReply::Nothing(config_id) => Self::Nothing(config_id),
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
    /// Whether the receiver also asks the daemons below it in its zone's tree.
    pub below: bool,
    /// Time within which the sender needs the answer, in milliseconds.
    pub bound_ms: u16,
}

/// Answer to a [`CollectRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CollectReply {
    /// The holdings of the receiver and, if requested, of the daemons below it.
    pub holdings: Holdings,
}
