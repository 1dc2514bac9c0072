//! Announcement of this instance: its row at the platform, through which starting
//! daemons find it.

use std::rc::Rc;
use std::time::Duration;

use ntex::time::{Millis, sleep};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use smol_str::SmolStr;
use stoatstep_distribution::RosterReadSchedule;

use super::warning::warn;
use super::{cold_start, platform};
use crate::node::Node;

/// Mean time between two writes of the row. Peers have newer information through
/// gossip, so the row may be old. At this interval 610 daemons together write about
/// once a second.
const WRITE_INTERVAL: Duration = Duration::from_mins(10);

/// Mean delay before a failed write is retried. It is randomized, so that many
/// daemons that failed at once don't retry at once.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// Interval at which the task checks whether a write or read is due, and whether the
/// daemon drains.
const CHECK_INTERVAL: Millis = Millis(500);

pub(super) async fn run(node: Rc<Node>) {
    // The platform or peers know the incarnation of this instance's previous process.
    // This process must use a higher one. A row written before that is known could be
    // taken for an outdated one.
    while !knows_previous_incarnation(&node) {
        sleep(CHECK_INTERVAL).await;
    }
    let mut write_due = node.control.now();
    let mut read_schedule =
        RosterReadSchedule::new(write_due, Xoshiro256PlusPlus::from_rng(&mut rand::rng()));
    while !node.draining.get() {
        if write_due <= node.control.now() {
            write_due = node.control.now() + write(&node).await;
        }
        let is_alone = node.control.members().len() == 1;
        if read_schedule.is_due(node.control.now(), is_alone) {
            refresh_roster(&node).await;
        }
        sleep(CHECK_INTERVAL).await;
    }
    // A row that is left over only costs starting daemons a few failed connections.
    let own = node.control.membership.borrow().own_entry().member.clone();
    let deleted = platform::delete_row_of(&node, &own.instance, own.incarnation).await;
    if let Err(err) = deleted {
        warn(&node, "announcement not deleted", &err);
    }
}

fn knows_previous_incarnation(node: &Node) -> bool {
    let cold_start = node.control.cold_start.borrow();
    cold_start.has_read_roster() || cold_start.is_done()
}

async fn refresh_roster(node: &Rc<Node>) {
    match platform::read_roster(node, false).await {
        Ok(roster) => {
            cold_start::apply_roster(node, roster);
        }
        Err(err) => warn(node, "roster not read", &err),
    }
}

/// Writes the row and returns the time until the next write.
async fn write(node: &Rc<Node>) -> Duration {
    let announcement = node.control.membership.borrow().announcement();
    let written = platform::announce(node, &announcement).await;
    let jitter = rand::rng().random_range(0.5..1.5);
    match written {
        Ok(()) => WRITE_INTERVAL.mul_f64(jitter),
        Err(err) => {
            warn(node, "announcement failed", &err);
            RETRY_DELAY.mul_f64(jitter)
        }
    }
}

/// Deletes the row of an instance of this zone that crashed long ago. Only the
/// zone's pollers do this: if every member did, the failure of one daemon would cost
/// 76 reads.
pub(super) fn delete_row_of_crashed(node: &Rc<Node>, instance: SmolStr, incarnation: u64) {
    if !node.control.poller.borrow().is_poller() {
        return;
    }
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        let deleted = platform::delete_row_of(&node, &instance, incarnation).await;
        if let Err(err) = deleted {
            warn(&node, "row of a crashed instance not deleted", &err);
        }
    });
}
