//! What goes into the state machine and what it wants done.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::member::{Announced, Incarnation, MemberKey};
use crate::wire::{Exchange, Mark, Row, ZoneDigest};

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time went on. Expected about four times a second.
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
    /// A helper's answer to an [`Action::AskHelper`], or that there was none.
    Helped {
        /// The member that the helper was to probe.
        target: MemberKey,
        /// Whether the helper reached it.
        reached: bool,
    },
    /// A peer's answer to an [`Action::PullTable`].
    TablePulled {
        /// The rows of the zones that differed.
        rows: Vec<Row>,
    },
    /// Announcement rows read from the platform.
    Announced {
        /// Rows of the roster.
        rows: Vec<Row>,
    },
    /// This daemon begins a graceful stop.
    Leave,
    /// This daemon holds another configuration.
    Holds(Mark),
    /// This daemon read the platform's head.
    HeadRead,
    /// The target beside this daemon announced something else than before.
    TargetAnnounced(Option<Announced>),
}

/// Something that the machine wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this message and feed back the answer or its absence.
    Exchange {
        /// The peer.
        peer: MemberKey,
        /// Where it listens.
        addr: SocketAddr,
        /// What to say.
        message: Exchange,
    },
    /// Ask a peer to probe a member, and feed back what it says.
    AskHelper {
        /// Where the helper listens.
        addr: SocketAddr,
        /// The member that missed a probe.
        target: MemberKey,
    },
    /// Ask a peer for its rows of the zones whose digests differ.
    PullTable {
        /// Where the peer listens.
        addr: SocketAddr,
        /// Digests of this table.
        zones: Vec<ZoneDigest>,
    },
    /// A peer said what configuration it holds.
    PeerHolds {
        /// The peer.
        peer: MemberKey,
        /// Where it listens.
        addr: SocketAddr,
        /// What it holds.
        mark: Mark,
        /// Highest version that it saw this instance report.
        floor: u64,
        /// Whether it said so in answer to this daemon. A request may have
        /// waited in a socket while the process was frozen, and tell of then.
        answered: bool,
    },
    /// A member joined, changed state or moved: routing tables may be stale.
    Changed(MemberKey),
    /// A member of the own zone was dead for long and is forgotten. Nobody else
    /// takes away what it left behind, such as its announcement row.
    Forgotten {
        /// Id of the instance.
        instance: SmolStr,
        /// Its last incarnation.
        incarnation: Incarnation,
    },
    /// Probes to this zone began or ceased to succeed. Local knowledge only.
    ZoneReachable {
        /// The zone.
        zone: SmolStr,
        /// Whether it can be reached from here.
        reachable: bool,
    },
    /// The process was frozen: queues, views and leases are stale.
    Woke {
        /// How long it was frozen.
        gap: Duration,
    },
    /// A peer remembers that this life of the target beside this daemon drains.
    TargetDrained(SmolStr),
    /// A newer process runs under this instance's id: this one must stop.
    Superseded {
        /// The other one's birth.
        birth: Incarnation,
    },
}
