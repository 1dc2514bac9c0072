//! The roster, the store's list of instances, in which daemons find their first peers.

mod writes;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use stoatstep_membership::Input;
use stoatstep_telemetry::fields;
use tokio::time::timeout;

use super::{gossip, role};
use crate::fleet_store::{FleetStore, FleetStoreError, RosterContents, RowVersion};
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

/// How often a follower checks that its row is still on the roster. Rows vanish through writes that
/// are carried out late, and when the store is restored. Instances that are added meet the others
/// through these rows alone.
const ROSTER_CHECK_INTERVAL: Duration = Duration::from_secs(20);

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
        own_row: OwnRow::Unknown,
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
        task.note_customers().await;
        task.catch_up().await;
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    if task.own_row == OwnRow::Listed {
        // The process may exit before the store has answered.
        let _ = timeout(ANSWER_TIMEOUT, task.withdraw_own()).await;
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

/// What is known of this instance's row on the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnRow {
    /// Nothing: it was not read yet, or may have changed since.
    Unknown,
    /// Its version was this, 0 if there was none, and it does not lead to this process.
    Missing(RowVersion),
    /// An earlier process left it with this version, and its removal may be under way.
    Inherited(RowVersion),
    /// It leads to this process.
    Listed,
}

struct RosterTask<S> {
    node: Rc<Node>,
    store: Rc<S>,
    own_row: OwnRow,
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
        self.own_row = OwnRow::Unknown;
        self.due = self.node.clock.now();
        self.node.quarantine.schedule_store_all(self.due);
    }

    /// Does what is due and returns the delay until the next step.
    async fn step(&mut self) -> Duration {
        let is_first = self.reads == 0;
        let is_alone = self.node.fleet.size() == 1;
        // A zone has followers for as long as it has members, and they change only with its
        // members.
        let follows = role::follows_store(&self.node);
        if is_alone || is_first || follows && self.is_read_due() {
            let Some(listed) = self.read_members().await else {
                return RETRY_DELAY;
            };
            if self.is_needed(listed) && !self.announce().await {
                return RETRY_DELAY;
            }
        } else if follows && self.own_row != OwnRow::Listed && !self.announce().await {
            return RETRY_DELAY;
        }
        if is_alone || is_first {
            let doublings = self.reads.min(MAX_DOUBLINGS) - 1;
            return (SECOND_READ_DELAY * (1 << doublings)).min(MAX_READ_DELAY);
        }
        ANNOUNCE_CHECK_INTERVAL
    }

    /// Whether a follower has to read the roster, to know of its own row and to meet members that
    /// were added while no row led to the others.
    fn is_read_due(&self) -> bool {
        let read_at = self.node.fleet.roster_read_at.get();
        let is_old = read_at.is_none_or(|at| self.node.clock.now() >= at + ROSTER_CHECK_INTERVAL);
        is_old || self.own_row == OwnRow::Unknown
    }

    /// Whether this instance has to be on the roster, which has `listed` rows of its zone. If
    /// nobody was met after the first read, those rows belong to instances that are gone.
    fn is_needed(&self, listed: usize) -> bool {
        match self.own_row {
            OwnRow::Listed => false,
            OwnRow::Inherited(_) => true,
            OwnRow::Unknown | OwnRow::Missing(_) => listed < ROWS_PER_ZONE || self.reads > 1,
        }
    }

    /// Reads the roster and returns the number of its rows that belong to the own zone; `None`
    /// without an answer.
    ///
    /// Two daemons that both read before either is on the roster miss each other, but are then alone
    /// and read again.
    async fn read_members(&mut self) -> Option<usize> {
        let listed = self.read(Delivery::Exchange).await?;
        let rows: Vec<_> = listed
            .members
            .iter()
            .map(|it| it.value.row.clone())
            .collect();
        gossip::input(&self.node, Input::AnnouncementsRead { rows });
        self.own_row = self.find_own_row(&listed);
        self.reads += 1;
        self.node
            .fleet
            .roster_read_at
            .set(Some(self.node.clock.now()));
        let zone = &self.node.cfg.zone;
        let of_zone = listed
            .members
            .iter()
            .filter(|it| it.value.row.zone == *zone);
        Some(of_zone.count())
    }

    /// A row that an earlier process of this instance left has the same address as a new one would,
    /// so most are kept: when 295 instances lose power at once, that saves a write for each. The
    /// first [`ROWS_PER_ZONE`] of a zone are written again, since their removal by the earlier
    /// process would succeed for as long as they have not changed.
    fn find_own_row(&self, listed: &RosterContents) -> OwnRow {
        let cfg = &self.node.cfg;
        let Some(held) = listed.member(&cfg.instance) else {
            return OwnRow::Missing(0);
        };
        let own = &held.value.row;
        let birth = self.node.fleet.membership.borrow().own_entry().member.birth;
        let rows = listed.members.iter().map(|it| &it.value.row);
        let before = rows.filter(|it| it.zone == cfg.zone && it.instance < cfg.instance);
        if own.peer != cfg.addresses.peers {
            OwnRow::Missing(held.version)
        } else if own.birth != birth && before.count() < ROWS_PER_ZONE {
            OwnRow::Inherited(held.version)
        } else {
            OwnRow::Listed
        }
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
        self.node
            .fleet
            .had_customers
            .set(Some(listed.had_customers));
        Some(listed)
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
