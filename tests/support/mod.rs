//! What tests of `stoatstep-sidecar` as a process share: its start, its end, and stand-ins of the
//! platform's store, of a target and of callers, each on threads of its own.

pub(crate) mod caller;
pub(crate) mod process;
pub(crate) mod serving;
pub(crate) mod store;
