//! Tests of the membership state machine under virtual time.

mod births;
mod codec;
mod failures;
mod fleet;
mod local_target;
mod local_target_beliefs;
mod merging;
