//! Announces this instance and learns of the others.

use std::rc::Rc;

use ntex::time::{Millis, sleep};
use smol_str::{SmolStr, format_smolstr};
use stoatstep_platform::{CommitRequest, Platform, PlatformError, RangeRead, ReadRequest, Write};

use super::Member;
use crate::config::Config;
use crate::node::Node;

const INTERVAL: Millis = Millis(2_000);
const PREFIX: &str = "instance/";
/// The first key after every key that starts with [`PREFIX`].
const PREFIX_END: &str = "instance0";
const MOST_INSTANCES: usize = 4096;

pub(super) async fn run(node: Rc<Node>) {
    while let Err(err) = announce(&node).await {
        slog::warn!(node.log, "announcement failed"; "error" => %err);
        sleep(INTERVAL).await;
    }
    loop {
        match read(&node).await {
            Ok(members) => node.control.set_members(members),
            Err(err) => slog::warn!(node.log, "roster not read"; "error" => %err),
        }
        sleep(INTERVAL).await;
    }
}

async fn announce(node: &Node) -> Result<(), PlatformError> {
    let member = myself(&node.cfg);
    let value = rmp_serde::to_vec(&member).expect("plain data always encodes");
    let put = Write::Put {
        key: key(&node.cfg),
        value,
    };
    let req = CommitRequest {
        conditions: Vec::new(),
        writes: vec![put],
    };
    node.platform.commit(req).await.map(|_| ())
}

async fn read(node: &Node) -> Result<Vec<Member>, PlatformError> {
    let range = RangeRead {
        start: SmolStr::new_static(PREFIX),
        end: SmolStr::new_static(PREFIX_END),
        limit: MOST_INSTANCES,
    };
    let req = ReadRequest {
        gets: Vec::new(),
        ranges: vec![range],
    };
    let answer = node.platform.read(req).await?;
    let rows = answer.ranges.into_iter().flatten();
    Ok(rows
        .filter_map(|row| rmp_serde::from_slice(&row.value).ok())
        .collect())
}

fn key(cfg: &Config) -> SmolStr {
    format_smolstr!("{PREFIX}{}/{}", cfg.zone, cfg.instance)
}

fn myself(cfg: &Config) -> Member {
    Member {
        instance: cfg.instance.clone(),
        region: cfg.region.clone(),
        zone: cfg.zone.clone(),
        upstream: cfg.upstream.clone(),
        caller_addr: cfg.caller_addr,
        peer_addr: cfg.peer_addr,
        operator_addr: cfg.operator_addr,
    }
}
