//! When a daemon that started may serve.
//!
//! An instance keeps nothing, so after a restart it has forgotten which version
//! it served by. Serving an older one would show callers a route that was
//! removed, or hide one that they used. It is therefore told by those who
//! remember.
//!
//! A daemon serves once all of this holds:
//!
//! 1. the platform's head was read; or the platform was asked and did not answer,
//!    and as many peers answered as are required (two, or all others where there
//!    are fewer, but at least one);
//! 2. its version is at least its *floor*: the highest that the peers which
//!    answered, or its own announcement row, ever saw this instance report;
//! 3. before its first service only: its version is at least the newest that
//!    the platform or any such peer held.
//!
//! Afterwards only the floor binds, since being a little behind a peer is the
//! normal state while a change spreads.
//!
//! A process that wakes from a freeze forgets nothing, but what it remembers is
//! old: others have moved on, and by its clock no time has passed. It serves
//! again once it has heard as many peers, or the platform, as after a start, and
//! holds the newest of what they hold.
//!
//! Covered: restart with the platform up, whatever happened to peers, because
//! the head is never older than what anyone served; restart with the platform
//! out while one of the peers that answered had exchanged with the former life
//! after its last change, or holds that version itself. Not covered: the
//! platform is out, and all who answered hold an older version and never heard
//! of the newer one, because every daemon that did is dead or cut off. Waiting
//! for the platform instead would keep a whole cut-off zone from serving after
//! a restart, which the users' brief rules out.

use std::collections::BTreeSet;

use stoatstep_membership::MemberKey;
use stoatstep_resource::Version;

/// Answers of peers that replace the platform's.
const PEERS_NEEDED: usize = 2;

/// What a daemon learned about the version by which it may serve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Serving {
    floor: Version,
    newest: Version,
    platform: Platform,
    heard_peers: BTreeSet<MemberKey>,
    service: Service,
}

/// What the platform said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Platform {
    #[default]
    Unasked,
    Silent,
    Heard,
}

/// Whether this life serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Service {
    #[default]
    Never,
    Suspended,
    Running,
}

impl Serving {
    /// The platform's head was read at this version.
    pub fn heard_platform(&mut self, version: Version) {
        self.platform = Platform::Heard;
        self.newest = self.newest.max(version);
    }

    /// The platform was asked and gave no answer: peers' words stand in for its.
    ///
    /// Before that they don't. Peers that have not heard of the version by which
    /// the former life served, because it died before any exchange, would let
    /// this life serve by an older one, although the platform could have told.
    pub fn platform_failed(&mut self) {
        if self.platform == Platform::Unasked {
            self.platform = Platform::Silent;
        }
    }

    /// A peer answered a message of this daemon: what it holds, and the highest
    /// version that it saw this instance report. What peers say unasked counts
    /// for the floor only, by [`Self::learn_floor`].
    pub fn heard_peer(&mut self, peer: MemberKey, holds: Version, floor: Version) {
        self.floor = self.floor.max(floor);
        if self.service == Service::Running {
            return;
        }
        self.heard_peers.insert(peer);
        self.newest = self.newest.max(holds);
    }

    /// The process was frozen. Without this it would go on by a version that the
    /// fleet left minutes ago, and a caller that was just served by a newer one
    /// elsewhere would see it go back.
    pub fn woke(&mut self) {
        if self.service == Service::Never {
            if self.platform == Platform::Heard {
                self.platform = Platform::Unasked;
            }
        } else {
            self.service = Service::Suspended;
            self.platform = Platform::Silent;
        }
        self.heard_peers.clear();
        self.newest = 0;
    }

    /// Nobody answered for a while after a wake. What is held is then the best
    /// there is, and a daemon that is cut off goes on serving by it.
    pub fn serve_alone(&mut self) {
        if self.service == Service::Suspended {
            self.service = Service::Running;
        }
    }

    /// The announcement row of the former life, or a peer, names this version.
    pub fn learn_floor(&mut self, version: Version) {
        self.floor = self.floor.max(version);
    }

    /// The highest version that this instance is known to have served by.
    #[must_use]
    pub fn floor(&self) -> Version {
        self.floor
    }

    /// Whether a daemon that holds `version`, in a fleet of `others` more, may
    /// serve now.
    pub fn may_serve(&mut self, version: Version, others: usize) -> bool {
        if version < self.floor {
            return false;
        }
        let is_running = self.service == Service::Running;
        let is_confirmed = self.heard_enough(others) && version >= self.newest;
        if !is_running && !is_confirmed {
            return false;
        }
        self.service = Service::Running;
        self.floor = version;
        self.heard_peers.clear();
        true
    }

    fn heard_enough(&self, others: usize) -> bool {
        let needed = others.clamp(1, PEERS_NEEDED);
        match self.platform {
            Platform::Unasked => false,
            Platform::Silent => self.heard_peers.len() >= needed,
            Platform::Heard => true,
        }
    }
}
