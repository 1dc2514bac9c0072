//! The roster, the store's list of instances, in which daemons find their first peers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use stoatstep_membership::{Input, Row};
use stoatstep_telemetry::fields;
use tokio::time::timeout;

use super::{gossip, role};
use crate::fleet_store::{FleetStore, FleetStoreError, RosterContents};
use crate::node::Node;
use crate::quarantine::{self, Delivery};

/// Timeout of a request to the store.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval of the checks for due work.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Delay before a retry after a request that failed.
const RETRY_DELAY: Duration = Duration::from_millis(750);

/// Delay before the second read of a daemon that met nobody after the first one.
const SECOND_READ_DELAY: Duration = Duration::from_millis(1500);

/// Longest delay between two reads of a daemon that knows no peer.
const MAX_READ_DELAY: Duration = Duration::from_secs(30);

/// How often a daemon that is not on the roster checks whether it has to be.
const ANNOUNCE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Limit on the doublings of the delay, which by then has reached `MAX_READ_DELAY`.
const MAX_DOUBLINGS: u32 = 8;

/// How often the roster is read while other daemons are out of reach.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(1500);

/// Rows per zone that suffice for a starting daemon to meet its zone, even if some of those
/// instances die at once. All others stay off the roster, so that a start of the whole fleet writes
/// as little for a large fleet as for a small one.
const ROWS_PER_ZONE: usize = 3;

/// Time over which the first reads are spread in the first start of a fleet. There are no callers
/// yet, and the daemons that read first announce themselves.
const FIRST_READ_SPREAD: Duration = Duration::from_secs(2);

/// Reads the roster while no peer is known, and keeps enough instances on it.
pub(crate) async fn run<S: FleetStore>(node: Rc<Node>, store: Rc<S>) {
    // With millisecond resolution: all daemons that read in the same step would find the roster
    // empty.
    tokio::time::sleep(first_read_delay(&node)).await;
    let mut task = RosterTask {
        node: Rc::clone(&node),
        store,
        is_announced: false,
        reads: 0,
        due: node.clock.now(),
        caught_up_at: Duration::ZERO,
        store_after: Cell::default(),
    };
    while !node.is_leaving() {
        if node.fleet.was_restored.take() {
            task.rewrite_rows();
        }
        if node.clock.now() >= task.due {
            let pause = task.step().await;
            let share = rand::rng().random_range(0.75..1.25);
            task.due = node.clock.now() + pause.mul_f64(share);
        }
        task.delete_removed().await;
        task.store_requests().await;
        task.catch_up().await;
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    if task.is_announced {
        let own = node.cfg.instance.clone();
        task.send("withdrawn", task.store.withdraw(&own)).await;
    }
}

/// Delay of the first read.
fn first_read_delay(node: &Node) -> Duration {
    if node.cfg.is_first_start {
        FIRST_READ_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0))
    } else {
        Duration::ZERO
    }
}

struct RosterTask<S> {
    node: Rc<Node>,
    store: Rc<S>,
    is_announced: bool,
    /// Number of answered reads.
    reads: u32,
    due: Duration,
    /// When the stored requests were last read because other daemons were out of reach.
    caught_up_at: Duration,
    /// Requests are not stored before this time, since storing the last one failed.
    store_after: Cell<Duration>,
}

impl<S: FleetStore> RosterTask<S> {
    /// Schedules this daemon's own row and the quarantined requests to be written again, after the
    /// store was restored from an older copy. Followers notice that, and they are the daemons that
    /// have to be on the roster.
    fn rewrite_rows(&mut self) {
        self.is_announced = false;
        self.due = self.node.clock.now();
        self.node.quarantine.schedule_store_all(self.due);
    }

    /// Does what is due and returns the delay until the next step.
    async fn step(&mut self) -> Duration {
        let is_alone = self.node.fleet.size() == 1;
        if is_alone || self.reads == 0 {
            let Some(listed) = self.read_members().await else {
                return RETRY_DELAY;
            };
            if self.is_needed(listed) && !self.announce().await {
                return RETRY_DELAY;
            }
            let doublings = self.reads.min(MAX_DOUBLINGS) - 1;
            return (SECOND_READ_DELAY * (1 << doublings)).min(MAX_READ_DELAY);
        }
        // A zone has followers for as long as it has members, and they change only with its
        // members.
        let is_missing = !self.is_announced && role::follows_store(&self.node);
        if is_missing && !self.announce().await {
            return RETRY_DELAY;
        }
        ANNOUNCE_CHECK_INTERVAL
    }

    /// Whether this instance has to be on the roster, which has `listed` rows of its zone. If
    /// nobody was met after the first read, those rows belong to instances that are gone.
    fn is_needed(&self, listed: usize) -> bool {
        !self.is_announced && (listed < ROWS_PER_ZONE || self.reads > 1)
    }

    /// Reads the roster and returns the number of its rows that belong to the own zone; `None`
    /// without an answer.
    ///
    /// A row that an earlier process of this instance left has the same address as a new one would,
    /// so it is kept: when 295 instances lose power at once, that saves a write for each. Two
    /// daemons that both read before either is on the roster miss each other, but are then alone
    /// and read again.
    async fn read_members(&mut self) -> Option<usize> {
        let listed = self.read(Delivery::Exchange).await?;
        let rows: Vec<_> = listed.members.into_iter().map(|it| it.row).collect();
        let cfg = &self.node.cfg;
        let is_own = |it: &Row| it.instance == cfg.instance && it.peer == cfg.addresses.peers;
        self.is_announced |= rows.iter().any(is_own);
        let of_zone = rows.iter().filter(|it| it.zone == cfg.zone).count();
        gossip::input(&self.node, Input::AnnouncementsRead { rows });
        self.reads += 1;
        self.node
            .fleet
            .roster_read_at
            .set(Some(self.node.clock.now()));
        Some(of_zone)
    }

    /// Reads the stored requests while other daemons are out of reach. Findings of those are sent
    /// only to the daemons that they can reach, so the store is the only way for them to arrive
    /// here.
    async fn catch_up(&mut self) {
        let now = self.node.clock.now();
        let is_due = now >= self.caught_up_at + CATCH_UP_INTERVAL;
        if !is_due || !role::reads_findings_from_store(&self.node) {
            return;
        }
        self.caught_up_at = now;
        self.read(Delivery::Direct).await;
    }

    /// Reads the roster and applies its requests as if they had come from a peer by `delivery`.
    async fn read(&self, delivery: Delivery) -> Option<RosterContents> {
        let listed = self.send("read", self.store.roster()).await?;
        quarantine::apply_stored(&self.node, &listed.requests, delivery);
        Some(listed)
    }

    async fn announce(&mut self) -> bool {
        let announcement = self.node.fleet.membership.borrow().announcement();
        let written = self.send("announced", self.store.announce(&announcement));
        self.is_announced = written.await.is_some();
        self.node.fleet.is_on_roster.set(self.is_announced);
        self.is_announced
    }

    async fn delete_removed(&self) {
        let removed_members = std::mem::take(&mut *self.node.fleet.removed_members.borrow_mut());
        // All daemons of the zone remove the member, and one deletion is enough.
        if !role::follows_store(&self.node) {
            return;
        }
        for instance in removed_members {
            self.send("cleaned up", self.store.withdraw(&instance))
                .await;
        }
    }

    /// Writes and deletes stored requests as the quarantine demands. What fails is retried; until
    /// then every daemon still knows it.
    async fn store_requests(&self) {
        if self.node.clock.now() < self.store_after.get() {
            return;
        }
        while let Some(next) = self.node.quarantine.next_to_store() {
            let stored = quarantine::stored(&self.node, next);
            let done = match &stored {
                Some(request) => self.send("kept", self.store.store_request(request)).await,
                None => self.send("kept", self.store.delete_request(next)).await,
            };
            if done.is_none() {
                self.node.quarantine.schedule_store(next);
                self.store_after.set(self.node.clock.now() + RETRY_DELAY);
                return;
            }
        }
    }

    /// Returns the answer, or logs which operation failed.
    async fn send<T>(
        &self,
        what: &'static str,
        asked: impl Future<Output = Result<T, FleetStoreError>>,
    ) -> Option<T> {
        let answer = timeout(ANSWER_TIMEOUT, asked).await;
        let answer = answer
            .unwrap_or_else(|_| Err(FleetStoreError::Unavailable("no answer in time".into())));
        match answer {
            Ok(answer) => Some(answer),
            Err(err) => {
                slog::warn!(self.node.log, "roster not {}", what; fields::ERROR => %err);
                None
            }
        }
    }
}
