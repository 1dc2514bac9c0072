//! When a daemon may serve after a start.
//!
//! An instance stores nothing, so after a restart it does not know which version it used.
//! Serving with an older one would show callers a route that was removed, or hide one that they used.
//! The daemon therefore learns its former version from the platform or its peers.
//!
//! A daemon serves once all of this holds:
//!
//! 1. the platform's head was read; or the platform was asked and did not answer, and enough peers
//!    answered (two, or all others if there are fewer, but at least one);
//! 2. its version is at least its *floor*: the highest version that this instance ever reported, as
//!    known from its own announcement row or the peers that answered;
//! 3. before its first service only: its version is at least the newest that the platform or any
//!    such peer held.
//!
//! Afterwards only the floor applies, since being a little behind a peer is the normal state while
//! a change spreads.
//!
//! A process that resumes after a freeze has lost nothing, but its knowledge is old: the fleet has
//! moved on, while no time has passed by the clock of the process. It serves again once it has
//! received answers from as many peers, or from the platform, as after a start, and holds the
//! newest version that they hold.
//!
//! A restart while the platform is up is covered whatever happened to peers, because the head is
//! never older than what any instance used. A restart while the platform is out is covered if
//! one of the peers that answered had exchanged gossip with the former process after that process's
//! last change, or holds that version itself. One case is not covered: the platform is out, and all
//! peers that answered hold an older version and never learned of the newer one, because every
//! daemon that did has failed or is cut off. To wait for the platform in this case would keep a
//! whole cut-off zone from serving after a restart, which the requirements rule out.

use std::collections::BTreeSet;

use stoatstep_membership::MemberKey;
use stoatstep_resource::Version;

/// Number of peers whose answers replace the platform's.
const PEERS_NEEDED: usize = 2;

/// What a daemon knows about the version by which it may serve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Serving {
    floor: Version,
    newest: Version,
    platform: PlatformRead,
    answered_peers: BTreeSet<MemberKey>,
    service: Service,
}

/// The state of the read of the platform's head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum PlatformRead {
    #[default]
    Pending,
    Failed,
    Answered,
}

/// Whether this process serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Service {
    #[default]
    Never,
    Suspended,
    Running,
}

impl Serving {
    /// Records that the platform's head was read at this version.
    pub fn platform_answered(&mut self, version: Version) {
        self.platform = PlatformRead::Answered;
        self.newest = self.newest.max(version);
    }

    /// Records that the platform was asked and did not answer, so that answers of peers replace
    /// its.
    ///
    /// Without a failed read they do not. If the former process exited before any exchange of
    /// gossip, peers do not know the version by which it served. They would let this process serve
    /// by an older one, although the platform knows the newer one.
    pub fn platform_failed(&mut self) {
        if self.platform == PlatformRead::Pending {
            self.platform = PlatformRead::Failed;
        }
    }

    /// Records a peer's answer to a message of this daemon: the version that it holds, and the
    /// highest version that it saw this instance report. What peers send unasked counts for the
    /// floor only, by [`Self::raise_floor`].
    pub fn peer_answered(&mut self, peer: MemberKey, holds: Version, floor: Version) {
        self.floor = self.floor.max(floor);
        if self.service == Service::Running {
            return;
        }
        self.answered_peers.insert(peer);
        self.newest = self.newest.max(holds);
    }

    /// Records that the process was frozen. Without this it would go on by a version that the fleet
    /// left minutes ago, and a caller that was just served by a newer one elsewhere would see it go
    /// back.
    pub fn resumed(&mut self) {
        if self.service == Service::Never {
            if self.platform == PlatformRead::Answered {
                self.platform = PlatformRead::Pending;
            }
        } else {
            self.service = Service::Suspended;
            self.platform = PlatformRead::Failed;
        }
        self.answered_peers.clear();
        self.newest = 0;
    }

    /// Lets the daemon serve with what it holds if no one answered for a while after a freeze. A
    /// daemon that is cut off has nothing better and goes on serving.
    pub fn serve_alone(&mut self) {
        if self.service == Service::Suspended {
            self.service = Service::Running;
        }
    }

    /// Raises the floor to a version that a peer or the former process's announcement row names.
    pub fn raise_floor(&mut self, version: Version) {
        self.floor = self.floor.max(version);
    }

    /// Returns the highest version by which this instance is known to have served.
    #[must_use]
    pub fn floor(&self) -> Version {
        self.floor
    }

    /// Returns whether a daemon that holds `version`, in a fleet of `others` more, may serve now.
    pub fn may_serve(&mut self, version: Version, others: usize) -> bool {
        if version < self.floor {
            return false;
        }
        let is_running = self.service == Service::Running;
        let is_confirmed = self.has_enough_answers(others) && version >= self.newest;
        if !is_running && !is_confirmed {
            return false;
        }
        self.service = Service::Running;
        self.floor = version;
        self.answered_peers.clear();
        true
    }

    fn has_enough_answers(&self, others: usize) -> bool {
        let needed = others.clamp(1, PEERS_NEEDED);
        match self.platform {
            PlatformRead::Pending => false,
            PlatformRead::Failed => self.answered_peers.len() >= needed,
            PlatformRead::Answered => true,
        }
    }
}
