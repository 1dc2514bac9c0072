//! State of one daemon: the version that it holds, whether it may serve, and the versions that
//! other daemons reported to it.

use std::sync::Arc;
use std::time::Duration;

use stoatstep_distribution::{OfferOutcome, Replica, Serving};
use stoatstep_resource::{Delta, Digest, State, Version, VersionedResource};

use super::DaemonIndex;
use crate::safeguard::{Safeguard, Safeguards};

/// A fixed time, since what a replica accepts does not depend on the time.
const NOW: Duration = Duration::ZERO;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Daemon {
    replica: Replica,
    /// The state in force in place of the replica's, where a safeguard of the replica is switched
    /// off.
    forced: Option<Arc<State>>,
    serving: Serving,
    /// The highest version that each other daemon reported to this one.
    remembered: Vec<Version>,
    /// The highest version that this process held.
    highest_held: Version,
    /// The version by which this process serves, or 0 if it does not serve.
    serving_version: Version,
    /// The highest version by which any process of this instance served.
    highest_served: Version,
}

impl Daemon {
    pub(super) fn new(daemons: usize) -> Self {
        Self {
            replica: Replica::default(),
            forced: None,
            serving: Serving::default(),
            remembered: vec![0; daemons],
            highest_held: 0,
            serving_version: 0,
            highest_served: 0,
        }
    }

    pub(super) fn restart(&mut self) {
        let highest_served = self.highest_served;
        *self = Self::new(self.remembered.len());
        self.highest_served = highest_served;
    }

    pub(super) fn in_force(&self) -> &Arc<State> {
        self.forced.as_ref().unwrap_or(self.replica.state())
    }

    pub(super) fn version(&self) -> Version {
        self.in_force().version()
    }

    pub(super) fn highest_served(&self) -> Version {
        self.highest_served
    }

    pub(super) fn remembers(&self, i: DaemonIndex) -> Version {
        self.remembered[i]
    }

    pub(super) fn has_reverted(&self) -> bool {
        let serves_older = self.serving_version > 0 && self.serving_version < self.highest_served;
        serves_older || self.version() < self.highest_held
    }

    pub(super) fn needs_state(&self) -> bool {
        self.replica.needs_state()
    }

    pub(super) fn handle_head(&mut self, version: Version, digest: Digest) {
        self.replica.record_head(version, digest);
        self.serving.platform_answered(version);
    }

    pub(super) fn handle_failed_read(&mut self) {
        self.serving.platform_failed();
    }

    pub(super) fn resume(&mut self) {
        self.serving.resumed();
    }

    pub(super) fn serve_alone(&mut self) {
        self.serving.serve_alone();
    }

    /// Handles the answer of another daemon to this one's request.
    pub(super) fn handle_answer(
        &mut self,
        me: DaemonIndex,
        peer: DaemonIndex,
        other: &Self,
        safeguards: Safeguards,
    ) {
        let floor = other.floor_of(me, safeguards);
        self.serving
            .peer_answered(peer as u64, other.version(), floor);
        self.remember(peer, other.version());
    }

    /// Handles a request of another daemon, which reports the versions that it holds and remembers.
    pub(super) fn handle_request(
        &mut self,
        me: DaemonIndex,
        peer: DaemonIndex,
        other: &Self,
        safeguards: Safeguards,
    ) {
        self.serving.raise_floor(other.floor_of(me, safeguards));
        self.remember(peer, other.version());
    }

    /// The version by which another daemon served, as far as this one remembers it.
    fn floor_of(&self, other: DaemonIndex, safeguards: Safeguards) -> Version {
        if safeguards.has(Safeguard::RestartFloor) {
            self.remembered[other]
        } else {
            0
        }
    }

    fn remember(&mut self, peer: DaemonIndex, version: Version) {
        self.remembered[peer] = self.remembered[peer].max(version);
    }

    pub(super) fn serve(&mut self, others: usize, safeguards: Safeguards) {
        let version = self.version();
        if !safeguards.has(Safeguard::EnoughHeard) {
            self.serving.platform_answered(0);
        }
        if !safeguards.has(Safeguard::PlatformFirst) {
            self.serving.platform_failed();
        }
        if version > 0 && self.serving.may_serve(version, others) {
            self.serving_version = version;
            self.highest_served = self.highest_served.max(version);
        }
    }

    pub(super) fn apply_delta(&mut self, delta: &Arc<Delta>, safeguards: Safeguards) {
        let offer = self.replica.offer_delta(NOW, Arc::clone(delta));
        let checks_digest = safeguards.has(Safeguard::DigestCheck);
        let checks_references = safeguards.has(Safeguard::ReferenceCheck);
        let is_next = delta.version == self.version() + 1;
        match offer {
            OfferOutcome::Refused(_) if !checks_digest => self.force(delta),
            OfferOutcome::Refused(_) if !checks_references && self.has_digest(delta) => {
                self.force(delta);
            }
            OfferOutcome::Waiting { .. } if !safeguards.has(Safeguard::OrderCheck) && !is_next => {
                self.force(delta);
            }
            _ => {}
        }
        self.highest_held = self.highest_held.max(self.version());
    }

    pub(super) fn apply_state(&mut self, state: &State, safeguards: Safeguards) {
        let is_older = state.version() < self.version();
        if is_older && !safeguards.has(Safeguard::VersionAboveOwn) {
            self.replica = Replica::default();
        }
        self.replica.offer_state(NOW, state.clone());
        self.highest_held = self.highest_held.max(self.version());
    }

    fn has_digest(&self, delta: &Delta) -> bool {
        let state = self.in_force();
        let made = state.delta(delta.puts.clone(), delta.deletes.clone());
        made.digest == delta.digest
    }

    /// Applies the delta without checks and puts the result in force.
    fn force(&mut self, delta: &Delta) {
        let mut items: Vec<_> = self
            .in_force()
            .iter()
            .map(|(_, held)| held.clone())
            .collect();
        items.retain(|held| !delta.deletes.contains(&held.resource.key()));
        items.extend(delta.puts.iter().map(|resource| VersionedResource {
            revision: delta.version,
            resource: Arc::new(resource.clone()),
        }));
        let forced = State::from_snapshot(delta.version, items);
        self.forced = forced.ok().map(Arc::new);
    }
}
