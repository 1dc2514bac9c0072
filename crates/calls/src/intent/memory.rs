//! What a home that leaves hands to the process that follows it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::key::IntentKey;
use crate::answer::Answer;
use crate::fingerprint::Fingerprint;
use crate::ids::Wall;

/// The whole memory of an [`IntentTable`] whose process runs nothing any more.
///
/// It is worth something only to the very next process of the same upstream:
/// one in between may have run keys that are not in it.
///
/// [`IntentTable`]: super::IntentTable
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentMemory {
    /// Keys made since then that are not in the memory never ran.
    pub since: Wall,
    /// The keys that ran or may have run.
    pub intents: Vec<Remembered>,
}

/// One key that ran or may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Remembered {
    /// The key.
    pub key: IntentKey,
    /// What it was used for.
    pub fingerprint: Fingerprint,
    /// When it may be forgotten.
    pub expires: Wall,
    /// How its run ended.
    pub run: RememberedRun,
}

/// How a remembered run ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RememberedRun {
    /// It ran, and this is its whole answer.
    Done(Arc<Answer>),
    /// It ran, and its answer was not kept.
    DoneWithoutAnswer,
    /// It may have run.
    Unknown,
}
