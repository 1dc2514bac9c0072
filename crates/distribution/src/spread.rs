//! The daemons to which a change is pushed.

use stoatstep_membership::MemberKey;
use stoatstep_resource::Version;

use crate::tree::{Tree, ZoneMembers};

/// Number of children of an inner node. At 76 daemons a zone a change takes four steps, and no
/// daemon sends it more than a handful of times.
const DEFAULT_FAN_OUT: usize = 4;

/// Levels of failed pushes that a sender bypasses. Beyond that the zone is more likely cut off than
/// full of failed daemons, and the regular exchanges between peers repair the rest.
const MAX_BYPASSES: u32 = 2;

/// Decides which daemon passes a version on to which.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spread {
    fan_out: usize,
    forwarded: Version,
}

impl Default for Spread {
    fn default() -> Self {
        Self {
            fan_out: DEFAULT_FAN_OUT,
            forwarded: 0,
        }
    }
}

impl Spread {
    /// Sets the number of children of an inner node. Default 4. More children make the tree flatter
    /// and the load of its inner nodes less even.
    #[must_use]
    pub fn fan_out(mut self, fan_out: usize) -> Self {
        self.fan_out = fan_out.max(1);
        self
    }

    /// Returns the tree of one zone's members.
    #[must_use]
    pub fn tree(&self, seed: u64, members: &[MemberKey]) -> Tree {
        Tree::new(seed, members, self.fan_out)
    }

    /// Returns the members to which the daemon pushes a change that it accepted, or that it was the
    /// first of its zone to find at the platform: the roots of every zone in `view`, and its own
    /// children. No other daemon pushes to these once this one answers that it holds the version
    /// already.
    pub fn originate(
        &mut self,
        version: Version,
        view: &ZoneMembers,
        me: MemberKey,
    ) -> Vec<MemberKey> {
        let mut targets: Vec<_> = view
            .values()
            .flat_map(|members| self.tree(version, members).roots().to_vec())
            .collect();
        targets.extend(self.forward(version, view, me, me));
        targets.retain(|key| *key != me);
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns the members to which a daemon passes on a version that was pushed to it: its
    /// children, once for each version, however it came to hold it. A daemon that pulled the
    /// version before the push arrived still has to push it to its children. The origin is left
    /// out: it holds the version, and pushes to its own children.
    pub fn forward(
        &mut self,
        version: Version,
        view: &ZoneMembers,
        me: MemberKey,
        origin: MemberKey,
    ) -> Vec<MemberKey> {
        if version <= self.forwarded {
            return Vec::new();
        }
        self.forwarded = version;
        let mut targets = self.children(version, view, me);
        targets.retain(|key| *key != origin);
        targets
    }

    /// Returns the members to which a sender pushes in place of one that did not answer. `bypassed`
    /// counts the failures above it on this branch.
    #[must_use]
    pub fn bypass(
        &self,
        version: Version,
        view: &ZoneMembers,
        failed: MemberKey,
        bypassed: u32,
    ) -> Vec<MemberKey> {
        if bypassed >= MAX_BYPASSES {
            return Vec::new();
        }
        self.children(version, view, failed)
    }

    fn children(&self, version: Version, view: &ZoneMembers, parent: MemberKey) -> Vec<MemberKey> {
        let zone = view.values().find(|members| members.contains(&parent));
        zone.map_or_else(Vec::new, |members| {
            self.tree(version, members).children(parent).to_vec()
        })
    }
}
