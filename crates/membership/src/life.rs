//! Names of the lives of targets.
//!
//! A target may start again under the id that it had, and then knows nothing of
//! what it was told before. Whatever is remembered of a target (its departure, its
//! failures, where its calls go) is therefore kept by a name that is made of the id
//! and the moment of its start, so that no part of the product has to tell the two
//! lives apart by itself.

use smol_str::{SmolStr, format_smolstr};

/// When a target started, in milliseconds since the Unix epoch by its own clock.
pub type Birth = u64;

/// Stands between id and birth. Ids are parts of paths, in which it cannot occur.
const SEPARATOR: char = '#';

/// The name of the life of target `id` that began at `born`; of one that does not
/// tell its birth, the id alone.
#[must_use]
pub fn life_name(id: &str, born: Option<Birth>) -> SmolStr {
    match born {
        Some(born) => format_smolstr!("{id}{SEPARATOR}{born}"),
        None => id.into(),
    }
}

/// The id of the target whose life this is, as the target itself says and expects it.
#[must_use]
pub fn id_of_life(life: &str) -> &str {
    life.split_once(SEPARATOR).map_or(life, |(id, _)| id)
}

/// Whether a life that began at `one` is over where another at the same address
/// began at `other`. Nothing follows where either does not tell.
#[must_use]
pub(crate) fn is_earlier(one: Option<Birth>, other: Option<Birth>) -> bool {
    matches!((one, other), (Some(one), Some(other)) if one < other)
}
