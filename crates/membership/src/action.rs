//! Inputs of the membership state machine and the actions it requests.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::member::{AnnouncedTarget, Incarnation, MemberKey};
use crate::wire::{ConfigId, Exchange, Row, ZoneDigest};

/// An event that the state machine processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed. Expected about four times a second.
    Tick,
    /// A peer answered an [`Action::Exchange`].
    Replied {
        /// The peer.
        peer: MemberKey,
        /// Its answer.
        reply: Exchange,
    },
    /// A peer did not answer an [`Action::Exchange`] in time.
    Unreached {
        /// The peer.
        peer: MemberKey,
    },
    /// The result of an [`Action::IndirectProbe`], or its timeout.
    IndirectProbeResult {
        /// The member that the peer was asked to probe.
        target: MemberKey,
        /// Whether the peer reached it.
        reached: bool,
    },
    /// A peer answered an [`Action::PullTable`].
    TablePulled {
        /// The rows of the zones whose digests differed.
        rows: Vec<Row>,
    },
    /// Announcement rows were read from the platform.
    AnnouncementsRead {
        /// Rows of the roster.
        rows: Vec<Row>,
    },
    /// This daemon begins a graceful shutdown.
    Leave,
    /// This daemon switched to another configuration.
    ConfigChanged(ConfigId),
    /// This daemon read the platform's head.
    HeadRead,
    /// The local target's announcement changed.
    TargetAnnounced(Option<AnnouncedTarget>),
}

/// A row or state update that was not believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disbelief {
    /// The instance that it is about.
    pub instance: SmolStr,
    /// Name of the field.
    pub field: &'static str,
    /// Value of the field.
    pub stated: Incarnation,
    /// Value that the field contradicts.
    pub known: Incarnation,
}

/// Work that the state machine requests from its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this message and feed back the reply as [`Input::Replied`], or its
    /// absence as [`Input::Unreached`].
    Exchange {
        /// The peer.
        peer: MemberKey,
        /// Address on which the peer listens.
        addr: SocketAddr,
        /// The message to send.
        message: Exchange,
    },
    /// Ask a peer to probe a member on this daemon's behalf, and feed back the
    /// result as [`Input::IndirectProbeResult`].
    IndirectProbe {
        /// Address on which the peer listens.
        addr: SocketAddr,
        /// The member that missed a probe.
        target: MemberKey,
    },
    /// Ask a peer for its rows of the zones whose digests differ.
    PullTable {
        /// Address on which the peer listens.
        addr: SocketAddr,
        /// Digests of this daemon's table.
        zones: Vec<ZoneDigest>,
    },
    /// A peer reported which configuration it holds.
    PeerConfig {
        /// The peer.
        peer: MemberKey,
        /// Address on which the peer listens.
        addr: SocketAddr,
        /// The configuration that the peer holds.
        config_id: ConfigId,
        /// Highest version that the peer has seen this instance report.
        floor: u64,
        /// Whether the report came in a reply to this daemon. A request may have
        /// waited in a socket while this process was frozen, and be out of date.
        answered: bool,
    },
    /// A member joined, changed state or moved: routing tables may be stale.
    Changed(MemberKey),
    /// A member of this daemon's zone was dead for [`Config::forget_after`] and was
    /// removed from the table. Only daemons of its own zone clean up what it left
    /// behind, such as its announcement row.
    ///
    /// [`Config::forget_after`]: crate::Config::forget_after
    Forgotten {
        /// Id of the instance.
        instance: SmolStr,
        /// Its last incarnation.
        incarnation: Incarnation,
    },
    /// Probes to this zone started to succeed or to fail. This is local knowledge
    /// and is not gossiped.
    ZoneReachable {
        /// The zone.
        zone: SmolStr,
        /// Whether the zone is reachable from this daemon.
        reachable: bool,
    },
    /// The process was frozen: its queues, views and leases are stale.
    Resumed {
        /// How long the process was frozen.
        gap: Duration,
    },
    /// A row or state update was not believed: it contradicts itself, or another process of this
    /// instance caused it.
    NotBelieved(Disbelief),
    /// A peer remembers that this generation of the local target is draining.
    TargetDrained(SmolStr),
    /// A process with a later birth answered under this instance's id at another address, so
    /// this process must stop and end.
    Superseded {
        /// Starting incarnation of the other process.
        birth: Incarnation,
    },
}
