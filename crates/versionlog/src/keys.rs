//! Keys of the rows and names of the objects.

use smol_str::{SmolStr, format_smolstr};
use stoatstep_platform::RangeRead;
use stoatstep_resource::{OperationId, Version};

/// Key of the row that names the newest version.
pub const HEAD: &str = "head";

/// What the key of every log row begins with.
pub const LOG_PREFIX: &str = "log/";

/// What the key of every operation row begins with.
pub const OPERATION_PREFIX: &str = "operation/";

/// What the name of every snapshot begins with.
pub const SNAPSHOT_PREFIX: &str = "snapshot/";

/// Follows every log row: `0` is the byte after `/`.
const LOG_END: &str = "log0";

/// Key of the row with the delta that leads to `version`. Leading zeros make
/// the order of keys that of versions.
#[must_use]
pub fn log_key(version: Version) -> SmolStr {
    format_smolstr!("{LOG_PREFIX}{version:020}")
}

/// Key of the row that says what became of an operation.
#[must_use]
pub fn operation_key(operation: &OperationId) -> SmolStr {
    format_smolstr!("{OPERATION_PREFIX}{operation}")
}

/// Name of the snapshot of `version`.
#[must_use]
pub fn snapshot_name(version: Version) -> SmolStr {
    format_smolstr!("{SNAPSHOT_PREFIX}{version:020}")
}

/// The version whose snapshot has this name.
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
