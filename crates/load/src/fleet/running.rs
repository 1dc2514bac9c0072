//! What can be done with a fleet that runs.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use stoatstep_resource::Version;
use stoatstep_resource::wire::MemberState;
use stoatstep_standin_target::Entry;

use crate::fleet::error::FleetError;
use crate::fleet::node::Node;
use crate::fleet::start::Fleet;
use crate::fleet::wait::wait_for;

impl Fleet {
    /// Starts the daemon of one node again.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn restart_daemon(&mut self, index: usize) -> Result<(), FleetError> {
        let node = &mut self.nodes[index];
        node.kill_daemon();
        Ok(node.start_daemon(&self.places)?)
    }

    /// Starts the target of one node again.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn restart_target(&mut self, index: usize) -> Result<(), FleetError> {
        let node = &mut self.nodes[index];
        node.kill_target();
        match &self.shape.target {
            Some(target) => Ok(node.start_target(&self.places, target)?),
            None => Ok(()),
        }
    }

    /// Waits until every running daemon serves by `version` or a newer one.
    ///
    /// # Errors
    ///
    /// One does not in time.
    pub async fn wait_in_force(&self, version: Version, limit: Duration) -> Result<(), FleetError> {
        for node in self.running() {
            let what = format!("version {version} on {}", node.instance);
            wait_for(&what, limit, async || {
                let status = self.operator.status(node.operator).await;
                status.is_ok_and(|it| it.version_in_force >= version)
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until every running daemon takes every other one to be alive.
    ///
    /// # Errors
    ///
    /// One does not in time.
    pub async fn wait_members(&self, limit: Duration) -> Result<(), FleetError> {
        let all = self.running().count();
        for node in self.running() {
            let what = format!("{all} members on {}", node.instance);
            wait_for(&what, limit, async || {
                let Ok(status) = self.operator.status(node.operator).await else {
                    return false;
                };
                let alive = |state| state == MemberState::Alive;
                status.members.iter().filter(|it| alive(it.state)).count() >= all
            })
            .await?;
        }
        Ok(())
    }

    /// The nodes whose daemon was started and not killed.
    pub fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.daemon.is_some())
    }

    /// Where callers connect: the running daemons, or else the routers.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        let routers = self.routers.iter().map(|router| router.addr);
        self.running().map(|it| it.caller).chain(routers).collect()
    }

    /// The ledgers of all targets.
    ///
    /// # Errors
    ///
    /// One cannot be read: what ran there would go unseen.
    pub async fn ledgers(&self) -> Result<Vec<Vec<Entry>>, FleetError> {
        let mut ledgers = Vec::new();
        for node in self.nodes.iter().filter(|node| node.target.is_some()) {
            let http = self.operator.http();
            ledgers.push(http.get(node.target_addr, "/admin/ledger", "").await?);
        }
        Ok(ledgers)
    }

    /// Ends the fleet and removes its logs. Without this call the logs stay, for
    /// whoever looks for the cause of a failed run.
    pub fn finish(self) {
        let logs = self.places.logs.clone();
        drop(self);
        let _ = fs::remove_dir_all(logs);
    }

    /// Finds processes that have ended though nothing ended them.
    ///
    /// # Errors
    ///
    /// One has crashed.
    pub fn check_running(&mut self) -> Result<(), FleetError> {
        for node in &mut self.nodes {
            for process in [&mut node.daemon, &mut node.target].into_iter().flatten() {
                if !process.is_running() {
                    let why = format!("a process of {} has ended by itself", node.instance);
                    return Err(FleetError::Io(why));
                }
            }
        }
        Ok(())
    }
}
