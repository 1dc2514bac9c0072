//! What an instance reads and writes of the roster at the platform.

use std::rc::Rc;

use smol_str::format_smolstr;
use stoatstep_membership::{Announcement, Time};
use stoatstep_platform::{CommitRequest, Platform, RangeRead, ReadRequest, Write};
use stoatstep_versionlog::{Head, head_request, read_head};

use super::Node;
use super::control::take_in;

const STEP: Time = Time::from_millis(500);
const RETRY: Time = Time::from_secs(5);
const LOOK_INTERVAL: Time = Time::from_mins(10);
const SECOND_LOOK: Time = Time::from_secs(7);
const MAX_ANNOUNCEMENTS: usize = 4096;

/// Head and neighbours' rows in one view, all rows where `wide`.
pub(super) async fn roster(node: &Node, wide: bool) -> Option<(Head, Vec<Announcement>)> {
    let zone = format_smolstr!("instance/{}/", node.zone);
    let zone_end = format_smolstr!("instance/{}0", node.zone);
    let range = |start: &str, end: &str, limit| RangeRead {
        start: start.into(),
        end: end.into(),
        limit,
    };
    let ranges = if wide {
        vec![range("instance/", "instance0", MAX_ANNOUNCEMENTS)]
    } else {
        vec![
            range(&own_row(node), &zone_end, 2),
            range(&zone_end, "instance0", 1),
            range("instance/", &zone, 1),
        ]
    };
    let req = ReadRequest {
        ranges,
        ..head_request()
    };
    let answer = node.platform().read(req).await.ok()?;
    let head = read_head(&answer).ok()?.head;
    let rows = answer.ranges.into_iter().flatten();
    let rows = rows.filter_map(|row| rmp_serde::from_slice(&row.value).ok());
    Some((head, rows.collect()))
}

fn own_row(node: &Node) -> String {
    format!("instance/{}/{}", node.zone, node.instance)
}

/// Keeps this instance's row at the platform until it drains.
pub(super) async fn run(node: Rc<Node>) {
    while !is_settled(&node) {
        node.sleep(STEP).await;
    }
    while !node.is_draining() && !write_row(&node).await {
        let pause = RETRY.mul_f64(node.world.share() + 0.5);
        node.sleep(pause).await;
    }
    let mut look_due = node.now() + SECOND_LOOK.mul_f64(node.world.share() + 0.5);
    while !node.is_draining() {
        if look_due <= node.now() {
            look_due = node.now() + LOOK_INTERVAL;
            if let Some((head, rows)) = roster(&node, false).await {
                take_in(&node, &head, rows);
            }
        }
        node.sleep(STEP).await;
    }
    let key = own_row(&node).into();
    commit(&node, Write::Delete { key }).await;
}

fn is_settled(node: &Node) -> bool {
    let control = node.control.borrow();
    control.cold_start.has_read_roster() || control.cold_start.is_done()
}

async fn write_row(node: &Node) -> bool {
    let announcement = node.control.borrow().membership.announcement();
    let value = rmp_serde::to_vec(&announcement).expect("plain data always encodes");
    let key = own_row(node).into();
    commit(node, Write::Put { key, value }).await
}

async fn commit(node: &Node, write: Write) -> bool {
    let req = CommitRequest {
        conditions: Vec::new(),
        writes: vec![write],
    };
    node.platform().commit(req).await.is_ok()
}
