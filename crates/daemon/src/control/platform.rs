//! Reads and writes of the control plane at the platform: the version log and the
//! announcement rows.

use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::time::{Millis, sleep};
use rand::Rng;
use smol_str::{SmolStr, format_smolstr};
use stoatstep_distribution::LogTail;
use stoatstep_membership::Announcement;
use stoatstep_platform::{
    CommitRequest, Condition, HttpPlatform, Platform, PlatformError, RangeRead, ReadRequest, Write,
};
use stoatstep_resource::Version;
use stoatstep_versionlog::{
    Environment, Head, LogConfig, PollError, RecoveryError, Tail, VersionLog, head_request,
    read_head,
};

use crate::config::Config;
use crate::node::Node;

const PREFIX: &str = "instance/";
/// The first key after every key that starts with [`PREFIX`].
const PREFIX_END: &str = "instance0";

/// Maximum number of announcements read at once. It is twice the fleet size that the
/// daemon is designed for, since rows of crashed instances are left over.
const MAX_ANNOUNCEMENTS: usize = 4096;

/// Gives the version log this daemon's platform client, clock and random numbers.
pub(crate) struct NodeEnvironment(Rc<Node>);

impl Environment for NodeEnvironment {
    type Platform = HttpPlatform;

    fn platform(&self) -> &HttpPlatform {
        &self.0.platform
    }

    fn now(&self) -> Duration {
        self.0.started.elapsed()
    }

    fn sleep(&self, time: Duration) -> impl Future<Output = ()> {
        sleep(Millis::from(time))
    }

    fn seed(&self) -> u64 {
        rand::rng().next_u64()
    }
}

/// Returns a version log that uses this daemon's platform client.
pub(crate) fn version_log(node: &Rc<Node>) -> VersionLog<NodeEnvironment> {
    VersionLog::new(NodeEnvironment(Rc::clone(node)), LogConfig::default())
}

/// Why a read of the platform gave no usable result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PlatformReadError {
    /// The head or the log could not be read.
    Poll(PollError),
    /// The whole state could not be read.
    Recovery(RecoveryError),
}

impl fmt::Display for PlatformReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Poll(err) => err.fmt(f),
            Self::Recovery(err) => err.fmt(f),
        }
    }
}

impl std::error::Error for PlatformReadError {}

impl<E: Into<PollError>> From<E> for PlatformReadError {
    fn from(err: E) -> Self {
        Self::Poll(err.into())
    }
}

/// Versions newer than the held one, with the head from the same consistent read
/// or recovery.
#[derive(Clone, Debug)]
pub(super) struct PlatformUpdate {
    pub(super) head: Head,
    pub(super) tail: LogTail,
}

/// The head of the version log and announcement rows, from one consistent read.
#[derive(Clone, Debug)]
pub(super) struct Roster {
    pub(super) head: Head,
    pub(super) announcements: Vec<Announcement>,
}

/// Reads the head and the roster in one consistent read. With `all_rows` the whole
/// roster is read; otherwise this instance's own row, the next one in the zone and one
/// row on each side of the zone's range of keys. When many daemons start at once, each
/// then reads only a few rows, and the rows that they read form a ring with links to
/// other zones.
pub(super) async fn read_roster(node: &Node, all_rows: bool) -> Result<Roster, PlatformReadError> {
    let own = own_key(&node.cfg);
    let zone = format_smolstr!("{PREFIX}{}/", node.cfg.zone);
    let zone_end = format_smolstr!("{PREFIX}{}0", node.cfg.zone);
    let start = SmolStr::new_static(PREFIX);
    let end = SmolStr::new_static(PREFIX_END);
    let ranges = if all_rows {
        vec![range(start, end, MAX_ANNOUNCEMENTS)]
    } else {
        vec![
            range(own.clone(), zone_end.clone(), 2),
            range(zone_end, end, 1),
            range(start, zone, 1),
        ]
    };
    let req = ReadRequest {
        ranges,
        ..head_request()
    };
    let answer = node.platform.read(req).await?;
    let head = read_head(&answer).map_err(PollError::from)?.head;
    let rows = answer.ranges.into_iter().flatten();
    // A row that can't be decoded was written by another build; its daemon is found
    // through the others.
    let announcements = rows
        .filter_map(|row| rmp_serde::from_slice(&row.value).ok())
        .collect();
    Ok(Roster {
        head,
        announcements,
    })
}

fn range(start: SmolStr, end: SmolStr, limit: usize) -> RangeRead {
    RangeRead { start, end, limit }
}

/// Reads the versions after `held`: as deltas if the log still has them and `whole` is
/// not set, else as a whole state.
pub(super) async fn read_after(
    node: &Rc<Node>,
    held: Version,
    whole: bool,
) -> Result<PlatformUpdate, PlatformReadError> {
    let log = version_log(node);
    if held > 0
        && !whole
        && let Tail::Deltas { head, deltas } = log.tail(held).await?
    {
        let tail = LogTail::Deltas(deltas.into_iter().map(Arc::new).collect());
        return Ok(PlatformUpdate { head, tail });
    }
    let recovered = log.recover().await.map_err(PlatformReadError::Recovery)?;
    for it in recovered.skipped {
        slog::error!(node.log, "a snapshot can't be used";
            "version" => it.version, "reason" => %it.reason);
    }
    Ok(PlatformUpdate {
        head: recovered.head,
        tail: LogTail::Snapshot(Arc::unwrap_or_clone(recovered.state)),
    })
}

/// Writes this instance's row.
pub(super) async fn announce(
    node: &Node,
    announcement: &Announcement,
) -> Result<(), PlatformError> {
    let value = rmp_serde::to_vec(announcement).expect("plain data always encodes");
    let put = Write::Put {
        key: own_key(&node.cfg),
        value,
    };
    let req = CommitRequest {
        conditions: Vec::new(),
        writes: vec![put],
    };
    node.platform.commit(req).await.map(|_| ())
}

/// Deletes the row of an instance of this zone, unless a process that started after the
/// given incarnation wrote it. The condition on the revision protects the row of a process
/// that starts at the same time, also if the deletion is carried out seconds later.
pub(super) async fn delete_row_of(
    node: &Node,
    instance: &str,
    incarnation: u64,
) -> Result<(), PlatformError> {
    let key = format_smolstr!("{PREFIX}{}/{instance}", node.cfg.zone);
    let req = ReadRequest {
        gets: vec![key.clone()],
        ranges: Vec::new(),
    };
    let answer = node.platform.read(req).await?;
    let Some(row) = answer.rows.into_iter().flatten().next() else {
        return Ok(());
    };
    let written: Option<Announcement> = rmp_serde::from_slice(&row.value).ok();
    if written.is_some_and(|it| it.row.birth > incarnation) {
        return Ok(());
    }
    let req = CommitRequest {
        conditions: vec![Condition::AtRevision(key.clone(), row.revision)],
        writes: vec![Write::Delete { key }],
    };
    node.platform.commit(req).await.map(|_| ())
}

fn own_key(cfg: &Config) -> SmolStr {
    format_smolstr!("{PREFIX}{}/{}", cfg.zone, cfg.instance)
}
