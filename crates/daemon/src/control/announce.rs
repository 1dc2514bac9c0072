//! This instance's row at the platform, by which starting daemons find it.

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

/// Time between two writes of the row. Peers know more and know it sooner, so
/// it need not be fresh: 610 daemons write it about once a second in all.
const INTERVAL: Duration = Duration::from_mins(10);

/// Wait until the first daemon of a herd tries again after a failure.
const RETRY: Duration = Duration::from_secs(5);

/// How often it is looked whether the time has come, or the daemon drains.
const STEP: Millis = Millis(500);

pub(super) async fn run(node: Rc<Node>) {
    // Platform or peers name the last life's incarnation, above which this one
    // must start; a row written before would be taken for an old one.
    while !is_settled(&node) {
        sleep(STEP).await;
    }
    let mut write_due = node.control.now();
    let mut looks =
        RosterReadSchedule::new(write_due, Xoshiro256PlusPlus::from_rng(&mut rand::rng()));
    while !node.draining.get() {
        if write_due <= node.control.now() {
            write_due = node.control.now() + write(&node).await;
        }
        let is_alone = node.control.members().len() == 1;
        if looks.is_due(node.control.now(), is_alone) {
            look(&node).await;
        }
        sleep(STEP).await;
    }
    // A row that stays behind costs those who start a few knocks, no more.
    if let Err(err) = platform::delete_announcement(&node).await {
        warn(&node, "announcement not deleted", &err);
    }
}

fn is_settled(node: &Node) -> bool {
    let cold_start = node.control.cold_start.borrow();
    cold_start.has_read_roster() || cold_start.is_done()
}

async fn look(node: &Rc<Node>) {
    match platform::read_roster(node, false).await {
        Ok(roster) => {
            cold_start::take_in(node, roster);
        }
        Err(err) => warn(node, "roster not read", &err),
    }
}

/// Writes the row and returns the time until the next write.
async fn write(node: &Rc<Node>) -> Duration {
    let announcement = node.control.membership.borrow().announcement();
    let written = platform::announce(node, &announcement).await;
    let share = rand::rng().random_range(0.5..1.5);
    match written {
        Ok(()) => INTERVAL.mul_f64(share),
        Err(err) => {
            warn(node, "announcement failed", &err);
            RETRY.mul_f64(share)
        }
    }
}

/// Deletes the row of an instance of this zone that crashed long ago. Only the
/// zone's pollers do, so that the death of one daemon does not cost 76 reads.
pub(super) fn clean_up(node: &Rc<Node>, instance: SmolStr, incarnation: u64) {
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
