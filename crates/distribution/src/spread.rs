//! Whom a change is pushed to.

use stoatstep_membership::MemberKey;
use stoatstep_resource::Version;

use crate::tree::{Tree, View};

/// Children of an inner node. At 76 daemons a zone a change takes four steps,
/// and nobody sends it more than a handful of times.
const DEFAULT_FAN_OUT: usize = 4;

/// Generations of failed pushes that a sender reaches past. Beyond that the
/// zone is more likely cut off than full of dead daemons, and exchanges of
/// marks repair what is left.
const MAX_BYPASSES: u32 = 2;

/// Decides who passes a version on to whom.
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
    /// Children of an inner node. Default 4. More make the tree flatter and the
    /// load of its inner nodes less even.
    #[must_use]
    pub fn fan_out(mut self, fan_out: usize) -> Self {
        self.fan_out = fan_out.max(1);
        self
    }

    /// The tree of one zone's members.
    #[must_use]
    pub fn tree(&self, seed: u64, members: &[MemberKey]) -> Tree {
        Tree::new(seed, members, self.fan_out)
    }

    /// Whom the daemon that accepted a change, or was the first of its zone to
    /// find it at the platform, pushes it to: the roots of every zone in
    /// `view`, and its own children, since nobody else will push to those once
    /// this daemon answers that it holds the version already.
    pub fn originate(&mut self, version: Version, view: &View, me: MemberKey) -> Vec<MemberKey> {
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

    /// Whom a daemon that was pushed a version passes it on to: its children,
    /// once for each version, however it came to hold it. A daemon that pulled
    /// the version before the push arrived still owes it to its children. The
    /// origin is left out: it holds the version, and serves its own children.
    pub fn forward(
        &mut self,
        version: Version,
        view: &View,
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

    /// Whom a sender pushes to in place of one that did not answer. `bypassed`
    /// counts the failures above it on this branch.
    #[must_use]
    pub fn bypass(
        &self,
        version: Version,
        view: &View,
        failed: MemberKey,
        bypassed: u32,
    ) -> Vec<MemberKey> {
        if bypassed >= MAX_BYPASSES {
            return Vec::new();
        }
        self.children(version, view, failed)
    }

    fn children(&self, version: Version, view: &View, parent: MemberKey) -> Vec<MemberKey> {
        let zone = view.values().find(|members| members.contains(&parent));
        zone.map_or_else(Vec::new, |members| {
            self.tree(version, members).children(parent).to_vec()
        })
    }
}
