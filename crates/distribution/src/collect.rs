//! The versions that the fleet's instances hold, aggregated up the trees that spread changes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use stoatstep_membership::MemberKey;
use stoatstep_resource::Version;

/// Maximum length of a refusal's reason.
const MAX_REASON: usize = 256;

/// An instance that uses this configuration version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionInUse {
    /// The instance.
    pub member: MemberKey,
    /// The start of the service, in milliseconds since the Unix epoch by the instance's clock.
    pub since_unix_ms: u64,
}

/// A version that one or more instances refused for the same reason.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Refusal {
    /// The version.
    pub version: Version,
    /// The reason of the refusal.
    pub reason: String,
    /// The instances that refused the version.
    pub members: BTreeSet<MemberKey>,
}

/// The versions held by one daemon, or by all daemons below it in a tree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// The instances that use each version.
    pub holds: BTreeMap<Version, Vec<VersionInUse>>,
    /// Refused versions.
    pub refusals: Vec<Refusal>,
    /// Members that were asked and did not answer.
    pub silent: BTreeSet<MemberKey>,
}

impl Holdings {
    /// Builds the holdings of one daemon.
    #[must_use]
    pub fn of_one(version: Version, hold: VersionInUse) -> Self {
        Self {
            holds: BTreeMap::from([(version, vec![hold])]),
            ..Self::default()
        }
    }

    /// Adds a version that `member` refused.
    pub fn record_refusal(&mut self, version: Version, mut reason: String, member: MemberKey) {
        let end = reason.floor_char_boundary(MAX_REASON);
        reason.truncate(end);
        self.add_refusal(Refusal {
            version,
            reason,
            members: BTreeSet::from([member]),
        });
    }

    /// Records that a member did not answer.
    pub fn record_silent(&mut self, member: MemberKey) {
        self.silent.insert(member);
    }

    /// Merges the holdings of another part of the fleet. Membership views differ a little, so a
    /// member may be reported twice; the report with the newest version counts.
    pub fn merge(&mut self, other: Self) {
        for (version, holds) in other.holds {
            for hold in holds {
                self.add_hold(version, hold);
            }
        }
        for refusal in other.refusals {
            self.add_refusal(refusal);
        }
        self.silent.extend(other.silent);
        for hold in self.holds.values().flatten() {
            self.silent.remove(&hold.member);
        }
    }

    /// Iterates over all members that reported a version.
    pub fn reporting_members(&self) -> impl Iterator<Item = MemberKey> {
        self.holds.values().flatten().map(|hold| hold.member)
    }

    fn add_hold(&mut self, version: Version, hold: VersionInUse) {
        let known = self
            .holds
            .iter()
            .find(|(_, holds)| holds.iter().any(|it| it.member == hold.member))
            .map(|(version, _)| *version);
        match known {
            Some(known) if known >= version => return,
            Some(known) => self.remove_hold(known, hold.member),
            None => {}
        }
        self.holds.entry(version).or_default().push(hold);
    }

    fn remove_hold(&mut self, version: Version, member: MemberKey) {
        let Some(holds) = self.holds.get_mut(&version) else {
            return;
        };
        holds.retain(|it| it.member != member);
        if holds.is_empty() {
            self.holds.remove(&version);
        }
    }

    fn add_refusal(&mut self, refusal: Refusal) {
        let same = |it: &&mut Refusal| it.version == refusal.version && it.reason == refusal.reason;
        match self.refusals.iter_mut().find(same) {
            Some(known) => known.members.extend(refusal.members),
            None => self.refusals.push(refusal),
        }
    }
}
