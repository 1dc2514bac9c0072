//! The contents of an idempotency table that a process stores when it shuts down and
//! that its successor restores.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::key::IdempotencyKey;
use crate::answer::Answer;
use crate::fingerprint::Fingerprint;
use crate::ids::WallTime;

/// All records of an [`IdempotencyTable`] whose process has stopped running requests.
///
/// Only the next process of the same upstream may restore it. A process in between
/// may have run keys that it does not contain.
///
/// [`IdempotencyTable`]: super::IdempotencyTable
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencySnapshot {
    /// A key that was made after this time and is not in `intents` never ran.
    pub since: WallTime,
    /// The keys that ran or may have run.
    pub intents: Vec<RememberedKey>,
}

/// A key that ran or may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RememberedKey {
    /// The key.
    pub key: IdempotencyKey,
    /// Fingerprint of the request that was sent with the key.
    pub fingerprint: Fingerprint,
    /// When the key may be dropped.
    pub expires: WallTime,
    /// How the run of the request ended.
    pub run: RememberedRun,
}

/// How the run of a request with a key ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RememberedRun {
    /// The request ran, and this is its complete answer.
    Done(Arc<Answer>),
    /// The request ran, and its answer was not kept.
    DoneWithoutAnswer,
    /// The request may have run.
    Unknown,
}
