//! Keys of the table's rows and names of the stored objects.

use smol_str::{SmolStr, format_smolstr};
use stoatstep_platform::RangeRead;
use stoatstep_resource::{OperationId, Version};

/// Key of the row that holds the newest version.
pub const HEAD: &str = "head";

/// Prefix of the keys of log rows.
pub const LOG_PREFIX: &str = "log/";

/// Prefix of the keys of operation rows.
pub const OPERATION_PREFIX: &str = "operation/";

/// Prefix of the names of snapshot objects.
pub const SNAPSHOT_PREFIX: &str = "snapshot/";

/// Exclusive upper bound of the keys of log rows; `0` is the byte after `/`.
const LOG_END: &str = "log0";

/// Key of the row with the delta that produces `version`. Leading zeros make the keys sort in the
/// order of the versions.
#[must_use]
pub fn log_key(version: Version) -> SmolStr {
    format_smolstr!("{LOG_PREFIX}{version:020}")
}

/// Key of the row that records the result of an operation.
#[must_use]
pub fn operation_key(operation: &OperationId) -> SmolStr {
    format_smolstr!("{OPERATION_PREFIX}{operation}")
}

/// Name of the snapshot of `version`.
#[must_use]
pub fn snapshot_name(version: Version) -> SmolStr {
    format_smolstr!("{SNAPSHOT_PREFIX}{version:020}")
}

/// The version whose snapshot has this name, or `None` for the name of another object.
#[must_use]
pub fn snapshot_version(name: &str) -> Option<Version> {
    let version = name.strip_prefix(SNAPSHOT_PREFIX)?.parse().ok()?;
    (snapshot_name(version) == name).then_some(version)
}

/// The first `limit` log rows from version `from` on.
pub(crate) fn log_range(from: Version, limit: usize) -> RangeRead {
    RangeRead {
        start: log_key(from),
        end: SmolStr::new_static(LOG_END),
        limit,
    }
}
