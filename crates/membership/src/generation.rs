//! Ids of target generations.
//!
//! A generation is one run of a target, from its start to its end. A target may
//! restart under the same id, and then has lost all state of its former run.
//! Everything that is remembered of a target (its departure, its failures, where
//! its calls go) is therefore stored under an id made of the target's id and its
//! start time, so that no other module has to tell two generations apart.

use smol_str::{SmolStr, format_smolstr};

/// Start time of a target, in milliseconds since the Unix epoch by its own clock.
pub type StartMillis = u64;

/// Separates the target's id from its start time. Ids are parts of paths, in which it
/// cannot occur.
const SEPARATOR: char = '#';

/// Returns the id of the generation of target `id` that started at `born`, which is `id`
/// alone for a target that does not report its start time.
#[must_use]
pub fn generation_id(id: &str, born: Option<StartMillis>) -> SmolStr {
    match born {
        Some(born) => format_smolstr!("{id}{SEPARATOR}{born}"),
        None => id.into(),
    }
}

/// Returns the target's id within a generation's id. The target itself knows only this
/// part and uses it in messages.
#[must_use]
pub fn target_id_of(generation: &str) -> &str {
    generation
        .split_once(SEPARATOR)
        .map_or(generation, |(id, _)| id)
}

/// Whether a generation that started at `one` has ended, given that another one at the
/// same address started at `other`. Returns false if either start time is unknown.
#[must_use]
pub(crate) fn started_before(one: Option<StartMillis>, other: Option<StartMillis>) -> bool {
    matches!((one, other), (Some(one), Some(other)) if one < other)
}

/// Whether generation `one` ended before generation `other` started, which has the same target
/// id and states a later start time, or one at all.
#[must_use]
pub(crate) fn precedes(one: &str, other: &str) -> bool {
    let start = |of: &str| -> Option<StartMillis> {
        let (_, start) = of.split_once(SEPARATOR)?;
        start.parse().ok()
    };
    target_id_of(one) == target_id_of(other) && start(one) < start(other)
}
