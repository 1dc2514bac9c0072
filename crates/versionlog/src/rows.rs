//! Contents and encoding of the table's rows.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use stoatstep_platform::{Condition, Row, TableRevision, Write};
use stoatstep_resource::wire::DeltaWire;
use stoatstep_resource::{Delta, Digest, OperationId, Version};

use crate::error::RowError;
use crate::keys::{HEAD, LOG_PREFIX, log_key, operation_key};

/// Version of the encoding that this code writes and reads. Decoding a row of another version fails
/// with an error that states that version.
const FORMAT: u8 = 1;

/// A snapshot that the head row refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotRef {
    /// The version that the snapshot contains.
    pub version: Version,
    /// Digest of the state at that version.
    pub digest: Digest,
}

/// Contents of the head row: the newest version and which older ones are stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The newest version.
    pub version: Version,
    /// Digest of the state at the newest version.
    pub digest: Digest,
    /// The oldest version whose log row is stored.
    pub log_start: Version,
    /// Snapshots after which the log is complete, newest first.
    pub snapshots: Vec<SnapshotRef>,
}

impl Head {
    /// The head of an empty log, which has no row yet.
    #[must_use]
    pub fn empty(digest: Digest) -> Self {
        Self {
            version: 0,
            digest,
            log_start: 1,
            snapshots: Vec::new(),
        }
    }

    /// Version of the newest snapshot, or 0 (the empty configuration) if there is none.
    #[must_use]
    pub fn snapshot_version(&self) -> Version {
        self.snapshots.first().map_or(0, |it| it.version)
    }

    /// Whether the log holds every version after `from`.
    #[must_use]
    pub fn log_continues_from(&self, from: Version) -> bool {
        self.log_start <= from + 1
    }
}

/// A head as it was read, with the row's revision for conditional writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadRow {
    /// Contents of the row.
    pub head: Head,
    /// Revision at which the row was last written, or `None` if it does not exist yet.
    pub revision: Option<TableRevision>,
}

impl HeadRow {
    /// The condition that the head row was not written since it was read.
    #[must_use]
    pub fn unchanged(&self) -> Condition {
        let key = SmolStr::new_static(HEAD);
        match self.revision {
            Some(revision) => Condition::AtRevision(key, revision),
            None => Condition::Absent(key),
        }
    }
}

/// One version in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// The resources that changed.
    pub delta: Delta,
    /// Id of the operation that made the change.
    pub operation: OperationId,
    /// Who made the change, for readers of the log.
    pub author: SmolStr,
}

/// Result of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperationEntry {
    /// The version that the operation produced.
    pub version: Version,
    /// Fingerprint of the requested change.
    pub fingerprint: Digest,
}

#[derive(Serialize, Deserialize)]
struct HeadWire {
    format: u8,
    version: Version,
    digest: Digest,
    log_start: Version,
    snapshots: Vec<(Version, Digest)>,
}

#[derive(Serialize, Deserialize)]
struct LogWire {
    format: u8,
    delta: DeltaWire,
    operation: SmolStr,
    author: SmolStr,
}

#[derive(Serialize, Deserialize)]
struct OperationWire {
    format: u8,
    version: Version,
    fingerprint: Digest,
}

impl TryFrom<&Row> for Head {
    type Error = RowError;

    fn try_from(row: &Row) -> Result<Self, RowError> {
        let wire: HeadWire = decode(row, |wire: &HeadWire| wire.format)?;
        let snapshots = wire.snapshots.into_iter();
        let head = Self {
            version: wire.version,
            digest: wire.digest,
            log_start: wire.log_start,
            snapshots: snapshots
                .map(|(version, digest)| SnapshotRef { version, digest })
                .collect(),
        };
        head.check().map_err(|reason| error(row, reason))?;
        Ok(head)
    }
}

impl Head {
    fn check(&self) -> Result<(), SmolStr> {
        if self.version == u64::MAX {
            return Err("the version is out of range".into());
        }
        if self.log_start == 0 || self.log_start > self.version + 1 {
            return Err(format_smolstr!("log starts at {}", self.log_start));
        }
        let descending = self.snapshots.is_sorted_by(|a, b| a.version > b.version);
        if !descending || self.snapshot_version() > self.version {
            return Err("snapshots are out of order".into());
        }
        Ok(())
    }

    /// The write that stores the head row.
    #[must_use]
    pub fn put(&self) -> Write {
        let snapshots = self.snapshots.iter();
        let wire = HeadWire {
            format: FORMAT,
            version: self.version,
            digest: self.digest,
            log_start: self.log_start,
            snapshots: snapshots.map(|it| (it.version, it.digest)).collect(),
        };
        Write::Put {
            key: SmolStr::new_static(HEAD),
            value: encode(&wire),
        }
    }
}

impl TryFrom<&Row> for LogEntry {
    type Error = RowError;

    fn try_from(row: &Row) -> Result<Self, RowError> {
        let wire: LogWire = decode(row, |wire: &LogWire| wire.format)?;
        let delta = Delta::from(wire.delta);
        if log_key(delta.version) != row.key {
            let reason = format_smolstr!("holds version {}", delta.version);
            return Err(error(row, reason));
        }
        Ok(Self {
            delta,
            operation: wire.operation,
            author: wire.author,
        })
    }
}

impl LogEntry {
    /// The write that stores the version's row.
    #[must_use]
    pub fn put(&self) -> Write {
        let wire = LogWire {
            format: FORMAT,
            delta: DeltaWire::from(&self.delta),
            operation: self.operation.clone(),
            author: self.author.clone(),
        };
        Write::Put {
            key: log_key(self.delta.version),
            value: encode(&wire),
        }
    }
}

impl TryFrom<&Row> for OperationEntry {
    type Error = RowError;

    fn try_from(row: &Row) -> Result<Self, RowError> {
        let wire: OperationWire = decode(row, |wire: &OperationWire| wire.format)?;
        Ok(Self {
            version: wire.version,
            fingerprint: wire.fingerprint,
        })
    }
}

impl OperationEntry {
    /// The write that stores the operation's row.
    #[must_use]
    pub fn put(&self, operation: &OperationId) -> Write {
        let wire = OperationWire {
            format: FORMAT,
            version: self.version,
            fingerprint: self.fingerprint,
        };
        Write::Put {
            key: operation_key(operation),
            value: encode(&wire),
        }
    }
}

/// Parses the version from a log row's key.
pub(crate) fn version_of(row: &Row) -> Result<Version, RowError> {
    let digits = row.key.strip_prefix(LOG_PREFIX);
    digits
        .and_then(|digits| digits.parse().ok())
        .ok_or_else(|| error(row, "the key names no version".into()))
}

fn encode<W: Serialize>(wire: &W) -> Vec<u8> {
    rmp_serde::to_vec(wire).expect("plain data always encodes")
}

fn decode<W: DeserializeOwned>(row: &Row, format: impl Fn(&W) -> u8) -> Result<W, RowError> {
    let wire: W = rmp_serde::from_slice(&row.value).map_err(|e| error(row, e.to_smolstr()))?;
    let found = format(&wire);
    if found != FORMAT {
        return Err(error(row, format_smolstr!("has format {found}")));
    }
    Ok(wire)
}

fn error(row: &Row, reason: SmolStr) -> RowError {
    RowError {
        key: row.key.clone(),
        reason,
    }
}
