//! Writes of the roster's rows. Each is preceded by a read, and has no effect if its row has changed
//! since.

use stoatstep_membership::Incarnation;
use stoatstep_resource::InstanceId;

use super::{OwnRow, RETRY_DELAY, RosterTask};
use crate::fleet::role;
use crate::fleet_store::{FleetStore, RosterContents};
use crate::quarantine::{self, Delivery};

impl<S: FleetStore> RosterTask<S> {
    /// Writes this daemon's own row in place of the one that was last read.
    pub(super) async fn announce(&mut self) -> bool {
        let held = match self.own_row {
            OwnRow::Missing(version) | OwnRow::Inherited(version) => version,
            OwnRow::Unknown | OwnRow::Listed => return false,
        };
        let announcement = self.node.fleet.membership.borrow().announcement();
        let written = self.store.announce(&announcement, held);
        let is_listed = self.send("announced", written).await.is_some();
        // After a failure, the row may have been written all the same.
        self.own_row = if is_listed {
            OwnRow::Listed
        } else {
            OwnRow::Unknown
        };
        self.node.fleet.is_on_roster.set(is_listed);
        is_listed
    }

    /// Deletes this daemon's own row, unless a newer process of the instance has written it.
    pub(super) async fn withdraw_own(&self) {
        let member = self
            .node
            .fleet
            .membership
            .borrow()
            .own_entry()
            .member
            .clone();
        if let Some(listed) = self.send("read", self.store.roster()).await {
            self.withdraw(&listed, &member.instance, member.incarnation)
                .await;
        }
    }

    /// Deletes the rows of members that were removed for good.
    pub(super) async fn delete_removed(&self) {
        let removed = std::mem::take(&mut *self.node.fleet.removed_members.borrow_mut());
        // All daemons of the zone remove the member, and one deletion is enough.
        if removed.is_empty() || !role::follows_store(&self.node) {
            return;
        }
        let Some(listed) = self.read(Delivery::Exchange).await else {
            return;
        };
        for (instance, incarnation) in removed {
            self.withdraw(&listed, &instance, incarnation).await;
        }
    }

    /// Deletes the row of an instance, unless a process that started after `incarnation` wrote it.
    async fn withdraw(
        &self,
        listed: &RosterContents,
        instance: &InstanceId,
        incarnation: Incarnation,
    ) {
        let held = listed.member(instance);
        if let Some(held) = held.filter(|it| it.value.row.birth <= incarnation) {
            let withdrawn = self.store.withdraw(instance, held.version);
            self.send("withdrawn", withdrawn).await;
        }
    }

    /// Notes that there are customers, for daemons that start when the configuration mentions none
    /// any more.
    pub(super) async fn note_customers(&self) {
        let fleet = &self.node.fleet;
        let are_checked = fleet.in_force().is_some_and(|it| it.keys.are_checked());
        let is_missing = fleet.had_customers.get() == Some(false);
        if !are_checked || !is_missing || !role::follows_store(&self.node) {
            return;
        }
        // Without an answer it is repeated once the next read shows that it has failed.
        fleet.had_customers.set(None);
        if self
            .send("noted", self.store.note_customers())
            .await
            .is_some()
        {
            fleet.had_customers.set(Some(true));
        }
    }

    /// Writes and deletes stored requests as the quarantine demands. What fails is retried; until
    /// then every daemon still knows it.
    pub(super) async fn store_requests(&self) {
        let is_due = self.node.clock.now() >= self.store_after.get();
        if !is_due || !self.node.quarantine.has_to_store() {
            return;
        }
        let Some(listed) = self.read(Delivery::Exchange).await else {
            self.store_after.set(self.node.clock.now() + RETRY_DELAY);
            return;
        };
        while let Some(next) = self.node.quarantine.next_to_store() {
            let held = listed.request(next);
            let version = held.map_or(0, |it| it.version);
            let done = match (quarantine::stored(&self.node, next), held) {
                (Some(request), Some(held)) if held.value.lives == request.lives => Some(()),
                (Some(request), _) => {
                    let stored = self.store.store_request(&request, version);
                    self.send("kept", stored).await
                }
                (None, Some(_)) => {
                    let deleted = self.store.delete_request(next, version);
                    self.send("kept", deleted).await
                }
                (None, None) => Some(()),
            };
            if done.is_none() {
                self.node.quarantine.schedule_store(next);
                self.store_after.set(self.node.clock.now() + RETRY_DELAY);
                return;
            }
        }
    }
}
