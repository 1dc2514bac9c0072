//! The host's list of instances, by which daemons find their first peers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use stoatstep_membership::{Input, Row};
use stoatstep_telemetry::fields;
use tokio::time::timeout;

use super::{gossip, role};
use crate::host::{Host, HostError, Listed};
use crate::node::Node;
use crate::quarantine::{self, Way};

/// Time for an answer of the host.
const ANSWER_BOUND: Duration = Duration::from_secs(2);

/// How often it is looked whether something is due.
const STEP: Duration = Duration::from_millis(250);

/// Pause before another try where the host did not answer.
const RETRY: Duration = Duration::from_millis(750);

/// Second look of a daemon that met nobody at the first one.
const SECOND_LOOK: Duration = Duration::from_millis(1500);

/// Longest pause between two looks of a daemon that knows nobody.
const LONGEST_ALONE: Duration = Duration::from_secs(30);

/// How often a daemon that is not on the list looks whether it has to be.
const KEPT_UP_EVERY: Duration = Duration::from_secs(5);

/// Doublings of the pause, at most; by then it is the longest one.
const MAX_DOUBLINGS: u32 = 8;

/// How often the list is read while others are out of reach.
const CATCH_UP_EVERY: Duration = Duration::from_millis(1500);

/// Rows of a zone that are enough for whoever starts to meet it: the death of some of them
/// at once goes unnoticed. All others stay off the list, so that a start of all writes as
/// little in a large fleet as in a small one.
const LISTED_PER_ZONE: usize = 3;

/// Time over which the first looks of a fleet that starts for the first time are spread.
/// Nobody calls yet, and those that look first put themselves on the list.
const FIRST_START_SPREAD: Duration = Duration::from_secs(2);

/// Looks at the list while no peer is known, and keeps enough instances on it.
pub(crate) async fn run<H: Host>(node: Rc<Node>, host: Rc<H>) {
    // To the millisecond: those that look in one step would all find the list empty.
    tokio::time::sleep(first_look(&node)).await;
    let mut roster = Roster {
        node: Rc::clone(&node),
        host,
        is_announced: false,
        looks: 0,
        due: node.clock.now(),
        caught_up: Duration::ZERO,
        keeps_from: Cell::default(),
    };
    while !node.is_leaving() {
        if node.fleet.has_returned.take() {
            roster.write_again();
        }
        if node.clock.now() >= roster.due {
            let pause = roster.step().await;
            let share = rand::rng().random_range(0.75..1.25);
            roster.due = node.clock.now() + pause.mul_f64(share);
        }
        roster.delete_forgotten().await;
        roster.keep_requests().await;
        roster.catch_up().await;
        tokio::time::sleep(STEP).await;
    }
    if roster.is_announced {
        let own = node.cfg.instance.clone();
        roster.say("withdrawn", roster.host.withdraw(&own)).await;
    }
}

/// Time until the list is first looked at.
fn first_look(node: &Node) -> Duration {
    if node.cfg.is_first_start {
        FIRST_START_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0))
    } else {
        Duration::ZERO
    }
}

struct Roster<H> {
    node: Rc<Node>,
    host: Rc<H>,
    is_announced: bool,
    /// Looks at the list that were answered.
    looks: u32,
    due: Duration,
    /// When what is kept of requests was last read because others were out of reach.
    caught_up: Duration,
    /// Requests are not kept before that, since the host did not take the last one.
    keeps_from: Cell<Duration>,
}

impl<H: Host> Roster<H> {
    /// Has this daemon's own row written anew, and what is kept of requests: the host has
    /// come back from an older copy. Those that follow the host notice, and they are the
    /// ones that have to be on the list.
    fn write_again(&mut self) {
        self.is_announced = false;
        self.due = self.node.clock.now();
        self.node.requests.keep_all(self.due);
    }

    /// Does what is due and returns the time until the next step.
    async fn step(&mut self) -> Duration {
        let is_alone = self.node.fleet.size() == 1;
        if is_alone || self.looks == 0 {
            let Some(listed) = self.look().await else {
                return RETRY;
            };
            if self.is_needed(listed) && !self.announce().await {
                return RETRY;
            }
            let doublings = self.looks.min(MAX_DOUBLINGS) - 1;
            return (SECOND_LOOK * (1 << doublings)).min(LONGEST_ALONE);
        }
        // Those that follow the host are there for as long as their zone is, and who they
        // are changes with its members.
        let is_missing = !self.is_announced && role::follows_host(&self.node);
        if is_missing && !self.announce().await {
            return RETRY;
        }
        KEPT_UP_EVERY
    }

    /// Whether this instance has to be on the list, of which `listed` rows are of its zone.
    /// Nobody was met after a look where those rows are of instances that are gone.
    fn is_needed(&self, listed: usize) -> bool {
        !self.is_announced && (listed < LISTED_PER_ZONE || self.looks > 1)
    }

    /// Looks at the list, and returns how many instances of the own zone are on it; nothing
    /// where there was no answer.
    ///
    /// A row that a former process of this instance left says where to knock as well as a
    /// new one would, so it stays as it is: where 295 instances lose power at once, that
    /// saves a write of each. Two that look before either is on the list miss each other,
    /// but are then alone, and look again.
    async fn look(&mut self) -> Option<usize> {
        let listed = self.read(Way::Exchange).await?;
        let rows: Vec<_> = listed.members.into_iter().map(|it| it.row).collect();
        let cfg = &self.node.cfg;
        let is_own = |it: &Row| it.instance == cfg.instance && it.peer == cfg.addresses.peers;
        self.is_announced |= rows.iter().any(is_own);
        let of_zone = rows.iter().filter(|it| it.zone == cfg.zone).count();
        gossip::input(&self.node, Input::AnnouncementsRead { rows });
        self.looks += 1;
        self.node.fleet.looked_at.set(Some(self.node.clock.now()));
        Some(of_zone)
    }

    /// Reads what is kept of requests while other daemons are out of reach: what they find
    /// is told to those that they reach, and nobody else would hear of it here.
    async fn catch_up(&mut self) {
        let now = self.node.clock.now();
        let is_due = now >= self.caught_up + CATCH_UP_EVERY;
        if !is_due || !role::catches_up_by_host(&self.node) {
            return;
        }
        self.caught_up = now;
        self.read(Way::Direct).await;
    }

    /// Reads the list and takes in its requests, as if they had come in this way from a peer.
    async fn read(&self, way: Way) -> Option<Listed> {
        let listed = self.say("read", self.host.roster()).await?;
        quarantine::hear_kept(&self.node, &listed.requests, way);
        Some(listed)
    }

    async fn announce(&mut self) -> bool {
        let announcement = self.node.fleet.membership.borrow().announcement();
        let written = self.say("announced", self.host.announce(&announcement));
        self.is_announced = written.await.is_some();
        self.node.fleet.is_listed.set(self.is_announced);
        self.is_announced
    }

    async fn delete_forgotten(&self) {
        let forgotten = std::mem::take(&mut *self.node.fleet.forgotten.borrow_mut());
        // Every daemon of the zone forgets it, and one deletion is enough.
        if !role::follows_host(&self.node) {
            return;
        }
        for instance in forgotten {
            self.say("cleaned up", self.host.withdraw(&instance)).await;
        }
    }

    /// Writes and deletes what has to be kept of requests that are refused. What the host
    /// does not take is tried again; until then every daemon knows it.
    async fn keep_requests(&self) {
        if self.node.clock.now() < self.keeps_from.get() {
            return;
        }
        while let Some(next) = self.node.requests.next_to_keep() {
            let kept = quarantine::kept(&self.node, next);
            let done = match &kept {
                Some(request) => self.say("kept", self.host.keep(request)).await,
                None => self.say("kept", self.host.drop_kept(next)).await,
            };
            if done.is_none() {
                self.node.requests.keep(next);
                self.keeps_from.set(self.node.clock.now() + RETRY);
                return;
            }
        }
    }

    /// The answer, or a log line that says what was not done.
    async fn say<T>(
        &self,
        what: &'static str,
        asked: impl Future<Output = Result<T, HostError>>,
    ) -> Option<T> {
        let answer = timeout(ANSWER_BOUND, asked).await;
        let answer =
            answer.unwrap_or_else(|_| Err(HostError::Unavailable("no answer in time".into())));
        match answer {
            Ok(answer) => Some(answer),
            Err(err) => {
                slog::warn!(self.node.log, "roster not {}", what; fields::ERROR => %err);
                None
            }
        }
    }
}
