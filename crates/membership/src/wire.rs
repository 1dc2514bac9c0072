//! Messages that daemons exchange about membership.
//!
//! Structs are encoded as arrays by `rmp-serde` and members are identified by key,
//! so an exchange without updates takes about fifty bytes.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::member::{AnnouncedTarget, Incarnation, Member, MemberKey, MemberState, member_key};

/// Length limit in bytes of an id or label in a row.
const MAX_LABEL: usize = 128;

/// Identifies the configuration that a daemon holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigId {
    /// Version in force.
    pub version: u64,
    /// First eight bytes of the state's digest.
    pub digest: u64,
}

/// A probe or its reply. Both have the same shape, so that one round trip carries updates
/// both ways.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender.
    pub from: MemberKey,
    /// The sender's incarnation. Updates from an outdated incarnation are ignored.
    pub incarnation: Incarnation,
    /// Configuration that the sender holds.
    pub mark: ConfigId,
    /// Highest version that the sender has seen the receiver report. A receiver that
    /// restarted must not fall back below it.
    pub floor: u64,
    /// Tenths of a second since the head, which is the newest configuration version at the
    /// platform, was last read, by the sender or by any other daemon whose read is known to
    /// it; `u16::MAX` if no read is known.
    pub head_age: u16,
    /// Digest of the sender's table.
    pub table: u64,
    /// Whether the sender does not know the receiver and asks for its row.
    pub introduce: bool,
    /// Updates without addresses.
    pub words: Vec<StateUpdate>,
    /// Updates with addresses.
    pub rows: Vec<Row>,
    /// The last generation of the receiver's target that the receiver, or its former
    /// process, reported as draining.
    #[serde(default)]
    pub drained: Option<SmolStr>,
}

/// Update of one member's state, for receivers that hold its row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StateUpdate(pub MemberKey, pub Incarnation, pub WireState);

/// A member's state, encoded as a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "u8", into = "u8")]
pub struct WireState(pub(crate) MemberState);

impl From<WireState> for u8 {
    fn from(state: WireState) -> Self {
        match state.0 {
            MemberState::Alive => 0,
            MemberState::Suspect => 1,
            MemberState::Leaving => 2,
            MemberState::Dead => 3,
        }
    }
}

impl TryFrom<u8> for WireState {
    type Error = RowError;

    fn try_from(value: u8) -> Result<Self, RowError> {
        match value {
            0 => Ok(Self(MemberState::Alive)),
            1 => Ok(Self(MemberState::Suspect)),
            2 => Ok(Self(MemberState::Leaving)),
            3 => Ok(Self(MemberState::Dead)),
            _ => Err(RowError::UnknownState(value)),
        }
    }
}

impl From<MemberState> for WireState {
    fn from(state: MemberState) -> Self {
        Self(state)
    }
}

impl From<WireState> for MemberState {
    fn from(state: WireState) -> Self {
        state.0
    }
}

/// Encoded form of a [`Member`], with the addresses to reach it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// See [`Member::instance`].
    pub instance: SmolStr,
    /// See [`Member::region`].
    pub region: SmolStr,
    /// See [`Member::zone`].
    pub zone: SmolStr,
    /// See [`Member::upstream`].
    pub upstream: SmolStr,
    /// See [`Member::caller`].
    pub caller: SocketAddr,
    /// See [`Member::peer`].
    pub peer: SocketAddr,
    /// See [`Member::operator`].
    pub operator: SocketAddr,
    /// See [`Member::birth`].
    pub birth: Incarnation,
    /// See [`Member::incarnation`].
    pub incarnation: Incarnation,
    /// See [`Member::state`].
    pub state: WireState,
    /// See [`Member::announced`].
    #[serde(default)]
    pub announced: Option<AnnouncedTarget>,
}

impl From<&Member> for Row {
    fn from(member: &Member) -> Self {
        Self {
            instance: member.instance.clone(),
            region: member.region.clone(),
            zone: member.zone.clone(),
            upstream: member.upstream.clone(),
            caller: member.caller,
            peer: member.peer,
            operator: member.operator,
            birth: member.birth,
            incarnation: member.incarnation,
            state: member.state.into(),
            announced: member.announced.clone(),
        }
    }
}

impl TryFrom<Row> for Member {
    type Error = RowError;

    fn try_from(row: Row) -> Result<Self, RowError> {
        let labels = [&row.instance, &row.region, &row.zone, &row.upstream];
        if labels
            .iter()
            .any(|it| it.is_empty() || it.len() > MAX_LABEL)
        {
            return Err(RowError::BadLabel);
        }
        if row.announced.as_ref().is_some_and(has_bad_label) {
            return Err(RowError::BadLabel);
        }
        if row.incarnation < row.birth {
            return Err(RowError::BeforeBirth);
        }
        Ok(Self {
            instance: row.instance,
            region: row.region,
            zone: row.zone,
            upstream: row.upstream,
            caller: row.caller,
            peer: row.peer,
            operator: row.operator,
            birth: row.birth,
            incarnation: row.incarnation,
            state: row.state.0,
            announced: row.announced,
        })
    }
}

fn has_bad_label(announced: &AnnouncedTarget) -> bool {
    let is_bad = |it: &SmolStr| it.is_empty() || it.len() > MAX_LABEL;
    let has_bad_name = [&announced.upstream, &announced.service]
        .into_iter()
        .any(is_bad);
    has_bad_name || announced.software.len() > MAX_LABEL
}

impl Row {
    /// Returns the key of the member that this row describes.
    #[must_use]
    pub fn key(&self) -> MemberKey {
        member_key(&self.instance)
    }
}

/// Content of the announcement row that a daemon writes at the platform, from which
/// daemons that start learn their first peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The announced member.
    pub row: Row,
    /// Configuration version that the daemon held when it wrote the row. Its next process
    /// must not fall back below it.
    pub version: u64,
}

/// Digest of the entries of one zone in a table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ZoneDigest(pub SmolStr, pub u64);

/// Reason for which a row was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowError {
    /// An id or label is empty or too long.
    BadLabel,
    /// The incarnation is lower than the one with which the process started.
    BeforeBirth,
    /// The state is not known to this build.
    UnknownState(u8),
}

impl fmt::Display for RowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadLabel => f.write_str("an id or label is empty or too long"),
            Self::BeforeBirth => f.write_str("the incarnation is below the starting incarnation"),
            Self::UnknownState(state) => write!(f, "unknown member state {state}"),
        }
    }
}

impl std::error::Error for RowError {}

/// Body of a request to `/peer/gossip`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipRequest {
    /// A probe with updates.
    #[serde(rename = "e")]
    Exchange(Exchange),
    /// Asks the receiver to probe a member that the sender can't reach.
    #[serde(rename = "p")]
    Probe(MemberKey),
    /// Asks for the rows of the zones whose digests differ from those given.
    #[serde(rename = "t")]
    Table(Vec<ZoneDigest>),
}

/// Answer to a [`GossipRequest`] of the same variant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipReply {
    /// The reply to a probe, with updates.
    #[serde(rename = "e")]
    Exchange(Exchange),
    /// Whether the member answered the indirect probe.
    #[serde(rename = "p")]
    Probe(bool),
    /// The requested rows.
    #[serde(rename = "t")]
    Table(Vec<Row>),
}
