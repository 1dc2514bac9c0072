//! What the control side reads and writes at the platform.

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

/// Announcements read at most. Twice the size to design for, since rows of
/// instances that crashed stay behind.
const MAX_ANNOUNCEMENTS: usize = 4096;

/// The version log's way to this daemon's client, clock and randomness.
pub(crate) struct NodeEdge(Rc<Node>);

impl Environment for NodeEdge {
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

/// The version log as this daemon uses it.
pub(crate) fn version_log(node: &Rc<Node>) -> VersionLog<NodeEdge> {
    VersionLog::new(NodeEdge(Rc::clone(node)), LogConfig::default())
}

/// Why the platform gave nothing that is of use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SourceError {
    /// Head or log could not be read.
    Poll(PollError),
    /// No whole state could be read.
    Recovery(RecoveryError),
}

impl fmt::Display for SourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Poll(err) => err.fmt(f),
            Self::Recovery(err) => err.fmt(f),
        }
    }
}

impl std::error::Error for SourceError {}

impl<E: Into<PollError>> From<E> for SourceError {
    fn from(err: E) -> Self {
        Self::Poll(err.into())
    }
}

/// Something newer than what is held, with the head in the same view.
#[derive(Clone, Debug)]
pub(super) struct Newer {
    pub(super) head: Head,
    pub(super) tail: LogTail,
}

/// What a starting daemon needs to know.
#[derive(Clone, Debug)]
pub(super) struct Roster {
    pub(super) head: Head,
    pub(super) announcements: Vec<Announcement>,
}

/// Reads head and roster in one view: of the roster this instance's own row,
/// its next neighbour in the zone and one row of each side of the zone, or all
/// rows where `wide`. A herd that starts thus reads a handful of rows each, and
/// the rows that they read form a ring with links out of the zone.
pub(super) async fn read_roster(node: &Node, wide: bool) -> Result<Roster, SourceError> {
    let own = key(&node.cfg);
    let zone = format_smolstr!("{PREFIX}{}/", node.cfg.zone);
    let zone_end = format_smolstr!("{PREFIX}{}0", node.cfg.zone);
    let start = SmolStr::new_static(PREFIX);
    let end = SmolStr::new_static(PREFIX_END);
    let ranges = if wide {
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
    // A row that can't be decoded is of another build; its daemon is found
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

/// Reads what follows `held`, as deltas where they are still there and not
/// `whole` is asked for.
pub(super) async fn read_after(
    node: &Rc<Node>,
    held: Version,
    whole: bool,
) -> Result<Newer, SourceError> {
    let log = version_log(node);
    if held > 0
        && !whole
        && let Tail::Deltas { head, deltas } = log.tail(held).await?
    {
        let tail = LogTail::Deltas(deltas.into_iter().map(Arc::new).collect());
        return Ok(Newer { head, tail });
    }
    let recovered = log.recover().await.map_err(SourceError::Recovery)?;
    for it in recovered.skipped {
        slog::error!(node.log, "a snapshot can't be used";
            "version" => it.version, "reason" => %it.reason);
    }
    Ok(Newer {
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
        key: key(&node.cfg),
        value,
    };
    commit(node, put).await
}

/// Deletes this instance's row.
pub(super) async fn delete_announcement(node: &Node) -> Result<(), PlatformError> {
    let key = key(&node.cfg);
    commit(node, Write::Delete { key }).await
}

/// Deletes the row of another instance of this zone, unless a life after the
/// given incarnation wrote it. The condition holds off one that starts just now.
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

async fn commit(node: &Node, write: Write) -> Result<(), PlatformError> {
    let req = CommitRequest {
        conditions: Vec::new(),
        writes: vec![write],
    };
    node.platform.commit(req).await.map(|_| ())
}

fn key(cfg: &Config) -> SmolStr {
    format_smolstr!("{PREFIX}{}/{}", cfg.zone, cfg.instance)
}
